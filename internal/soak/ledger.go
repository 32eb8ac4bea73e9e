package soak

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/standin/backend"
)

// ledger outlives the backend servers and knows what each key ran.
type ledger struct {
	recorder *recorder
	// inTouch reports whether the links between two hosts were whole since a time.
	inTouch func(a, b string, since time.Time) bool
	server  *http.Server
	url     string

	mu      sync.Mutex
	keys    map[string][]string  // backend servers by key
	poisons map[string][]crash   // by poison request
	leaving map[string]time.Time // since when a backend server is leaving
	late    map[string][]string  // calls that reached it after LeaveBound
}

// crash is one end of a backend server by a poison request.
type crash struct {
	backend string
	at      time.Time
}

// spreadTime is how long after a cut the gates on both sides may not know of each
// other's crashes: a link that came back is seen within a second, and told then.
const spreadTime = 2 * time.Second

// LeaveBound is how long after a drain began new calls may still arrive.
const LeaveBound = 2 * time.Second

func newLedger(r *recorder) (*ledger, error) {
	const headerTime = 5 * time.Second

	l := &ledger{
		recorder: r, keys: map[string][]string{}, poisons: map[string][]crash{}, leaving: map[string]time.Time{},
		late: map[string][]string{},
	}

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	l.url = "http://" + listener.Addr().String() + "/"
	l.server = &http.Server{Handler: l, ReadHeaderTimeout: headerTime}

	go func() { _ = l.server.Serve(listener) }()

	return l, nil
}

// ServeHTTP takes the word of a backend server that it is about to run a call.
func (l *ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var run backend.Run
	if err := json.NewDecoder(r.Body).Decode(&run); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	l.note(run)
	w.WriteHeader(http.StatusNoContent)
}

func (l *ledger) note(run backend.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if run.Key != "" {
		l.keys[run.Key] = append(l.keys[run.Key], run.Backend)
	}

	if run.Crash != "" {
		l.noteCrash(run.Crash, crash{run.Backend, time.Now()})
	}

	if since, ok := l.leaving[run.Backend]; ok && time.Since(since) > LeaveBound {
		l.late[run.Backend] = append(l.late[run.Backend], time.Since(since).String()+" "+run.Call)
	}
}

// noteCrash checks that the gate knew of less than two crashes of the request. Those on the
// other side of a cut it can't know of.
func (l *ledger) noteCrash(name string, c crash) {
	known := 0

	for _, o := range l.poisons[name] {
		since := o.at
		if recent := c.at.Add(-spreadTime); recent.After(since) {
			since = recent
		}

		if l.inTouch(o.backend, c.backend, since) {
			known++
		}
	}

	l.poisons[name] = append(l.poisons[name], c)
	l.recorder.check(PromisePoisonInTouch, known < poisonLimit, "%s ended %v, in touch with %d of those before", name, l.poisons[name], known)
}

// poisonLimit is how many backend servers one request may end.
const poisonLimit = 2

// leave notes that a backend server was asked to stop; stay that it is back.
func (l *ledger) leave(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.leaving[name] = time.Now()
}

func (l *ledger) stay(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.recorder.check(PromiseLeaving, len(l.late[name]) == 0, "%s got calls after its drain began: %v", name, l.late[name])
	delete(l.leaving, name)
	delete(l.late, name)
}

// ran returns on which backend servers a key ran.
func (l *ledger) ran(key string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]string(nil), l.keys[key]...)
}

// all returns every key that ran.
func (l *ledger) all() map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return maps.Clone(l.keys)
}

func (l *ledger) crashes(poison string) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.poisons[poison])
}

func (l *ledger) close() { _ = l.server.Close() }
