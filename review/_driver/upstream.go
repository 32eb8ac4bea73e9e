package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that an upstream began to work on.
type run struct {
	id       string
	upstream string
	headers  http.Header
	target   string
	began    time.Time
	ended    time.Time
	how      string // "done", "deadline", "dropped" (its connection closed), "crashed"
}

// upstream is a stand-in of an application upstream. It works on slots requests at a time, queues a
// few more, tells its load, and drops a request whose connection closes.
type upstream struct {
	deployment *deployment
	host       *host
	service    string
	address    string
	slots      int
	path       string // health path

	mu       sync.Mutex
	instance string
	born     int64
	sequence int
	draining bool
	silent   bool // sends no heartbeats
	running  int
	waiting  int
	waiters  []chan struct{}
	server   *http.Server
	conns    map[net.Conn]struct{}
}

const queueLength = 36

func newID() string {
	var b [8]byte

	_, _ = rand.Read(b[:])

	return hex.EncodeToString(b[:])
}

// start begins a new boot at the upstream's address.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}

	u.mu.Lock()
	u.instance, u.born, u.sequence, u.draining = "i-"+newID()[:10], time.Now().UnixMilli(), 0, false
	u.running, u.waiting, u.waiters = 0, 0, nil
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), IdleTimeout: 10 * time.Second}
	server := u.server
	u.mu.Unlock()

	go func() { _ = server.Serve(l) }()

	return nil
}

// crash ends the boot at once, with all that it runs.
func (u *upstream) crash() {
	u.mu.Lock()
	server := u.server
	u.instance = ""
	u.mu.Unlock()

	_ = server.Close()
}

func (u *upstream) current() (instance string, draining bool) {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.instance, u.draining
}

func (u *upstream) load() string { return fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots) }

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	instance, draining, load := u.instance, u.draining, u.load()
	u.mu.Unlock()

	w.Header().Set("Instance-Id", instance)
	w.Header().Set("Server-Load", load)

	if r.URL.Path == u.path {
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}

		return
	}

	arrived := time.Now()
	id := r.Header.Get("Attempt-Id")

	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	w.Header().Set("Attempt-Id", id)

	if want := r.Header.Get("Expected-Instance"); want != "" && want != instance {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	ctx := r.Context()

	if ms, err := strconv.ParseInt(r.Header.Get("Deadline-Ms"), 10, 64); err == nil {
		var cancel context.CancelFunc

		ctx, cancel = context.WithDeadline(ctx, arrived.Add(time.Duration(ms)*time.Millisecond))
		defer cancel()
	}

	if !u.enter(ctx) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	defer u.leave()

	n := u.deployment.record.begin(run{
		id: id, upstream: u.service + " at " + u.host.name, headers: r.Header.Clone(), target: r.Method + " " + r.RequestURI, began: time.Now(),
	})

	how := u.work(ctx, r)
	u.deployment.record.end(n, how)

	w.Header().Set("Server-Signature", newID()+"."+instance)

	switch how {
	case "done":
		_, _ = w.Write(append([]byte("served "+id+" "), body...))
	case "deadline":
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		panic(http.ErrAbortHandler)
	}
}

// work takes the time that the request names in its query.
func (u *upstream) work(ctx context.Context, r *http.Request) string {
	ms, _ := strconv.Atoi(r.URL.Query().Get("work"))

	if r.URL.Query().Get("crash") != "" {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		go u.deployment.crashed(u)

		<-ctx.Done()

		return "crashed"
	}

	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return "done"
	case <-ctx.Done():
		if r.Context().Err() != nil {
			return "dropped"
		}

		return "deadline"
	}
}

// enter waits for a slot. It reports false if the queue is full or the time is over.
func (u *upstream) enter(ctx context.Context) bool {
	u.mu.Lock()

	if u.running < u.slots {
		u.running++
		u.mu.Unlock()

		return true
	}

	if len(u.waiters) >= queueLength {
		u.mu.Unlock()

		return false
	}

	turn := make(chan struct{}, 1)
	u.waiters = append(u.waiters, turn)
	u.waiting++
	u.mu.Unlock()

	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}

	u.mu.Lock()

	for i, w := range u.waiters {
		if w == turn {
			u.waiters = append(u.waiters[:i], u.waiters[i+1:]...)
			u.waiting--
			u.mu.Unlock()

			return false
		}
	}

	u.mu.Unlock()
	u.leave() // the slot was given meanwhile

	return false
}

func (u *upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()

	if len(u.waiters) == 0 {
		u.running = max(u.running-1, 0)

		return
	}

	u.waiters[0] <- struct{}{}
	u.waiters = u.waiters[1:]
	u.waiting--
}

// heartbeats sends liveness reports to the control address of the own machine.
func (u *upstream) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		u.beat()
		time.Sleep(heartbeat)
	}
}

// beat sends one liveness report and reports whether it was confirmed.
func (u *upstream) beat() bool {
	u.mu.Lock()
	if u.instance == "" || u.silent {
		u.mu.Unlock()

		return false
	}

	u.sequence++
	state := "ready"

	if u.draining {
		state = "draining"
	}

	instance := u.instance
	body, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": u.host.zone, "version": "v1", "slots": u.slots, "state": state,
		"warmup-left-s": 0, "sequence": u.sequence, "born": u.born,
	})
	u.mu.Unlock()

	return u.post("/-/Instances.Heartbeat/"+instance, body)
}

func (u *upstream) post(path string, body []byte) bool {
	client := http.Client{Timeout: time.Second}

	response, err := client.Post("http://"+u.host.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}

	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()

	return response.StatusCode/100 == 2
}
