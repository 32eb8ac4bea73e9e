package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is the application server beside a node. It outlives the node's process.
type server struct {
	world   *world
	name    string
	service string
	zone    string
	address string
	control string
	slots   int
	work    time.Duration

	mu       sync.Mutex
	boot     int
	instance string
	http     *http.Server // nil while the server is down
	sequence int
	leaving  bool
	running  atomic.Int64
	gate     chan struct{}
}

// run is one request that a server began to work on.
type run struct {
	at       time.Time
	server   string
	instance string
	id       string
	method   string
	uri      string
	tenant   string
}

const beatTime = 1500 * time.Millisecond

// start begins a new boot of the server.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}

	s.mu.Lock()
	s.boot++
	s.sequence = 0
	s.instance = fmt.Sprintf("i-%s-%d", s.name, s.boot)
	s.gate = make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: s.handler(s.instance, s.gate)}
	h := s.http
	s.mu.Unlock()

	go func() { _ = h.Serve(l) }()

	return nil
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return fmt.Sprintf("%d,0,%d", len(s.gate), s.slots)
}

func (s *server) handler(instance string, gate chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		w.Header().Set("Server-Load", s.load())

		if r.URL.Path == "/health" {
			w.Header().Set("Instance-Id", instance)

			if s.isLeaving() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}

			return
		}

		w.Header().Set("Attempt-Id", id)

		if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != instance {
			w.Header().Set("Instance-Id", instance)
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)

			return
		}

		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}

		select {
		case gate <- struct{}{}:
		default:
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}

		defer func() { <-gate }()

		s.world.ran(run{time.Now(), s.name, instance, id, r.Method, r.RequestURI, r.Header.Get("Tenant")})

		limit := time.Hour
		if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
			limit = time.Duration(ms) * time.Millisecond
		}

		select {
		case <-time.After(min(s.work, limit)):
		case <-r.Context().Done():
			return
		}

		w.Header().Set("Server-Signature", "sig."+instance+"."+id)

		if s.work > limit {
			w.WriteHeader(http.StatusGatewayTimeout)

			return
		}

		_, _ = fmt.Fprintf(w, "answer to %s with %d bytes\n", id, len(body))
	})
}

// beats sends heartbeats until the world ends or the server leaves.
func (s *server) beats() {
	client := &http.Client{Timeout: time.Second}

	for !s.isLeaving() {
		s.mu.Lock()
		up := s.http != nil
		s.mu.Unlock()

		if up {
			_, _ = post(client, s.beat())
		}

		select {
		case <-s.world.done:
			return
		case <-time.After(beatTime):
		}
	}
}

// message is a call to the control address.
type message struct {
	url  string
	body []byte
}

// beat returns the next heartbeat.
func (s *server) beat() message {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"warmup-left-s": 0, "sequence": s.sequence,
	})

	return message{"http://" + s.control + "/-/Instances.Heartbeat/" + s.instance, body}
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.leaving
}

func post(client *http.Client, m message) (int, error) {
	response, err := client.Post(m.url, "application/json", bytes.NewReader(m.body))
	if err != nil {
		return 0, err
	}

	defer func() { _ = response.Body.Close() }()

	_, err = io.Copy(io.Discard, response.Body)

	return response.StatusCode, err
}

// deliver sends a message whose sender has given up: it closes the connection and reads no answer.
func deliver(m message) error {
	u, err := url.Parse(m.url)
	if err != nil {
		return err
	}

	c, err := net.Dial("tcp", u.Host)
	if err != nil {
		return err
	}

	defer func() { _ = c.Close() }()

	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		u.Path, u.Host, len(m.body), m.body)

	return err
}

// deregister leaves without a draining state, and asks until that is confirmed or the limit has passed. The server
// goes on serving, and its health check fails.
func (s *server) deregister(limit time.Duration) (instance string, confirmed bool) {
	s.mu.Lock()
	s.leaving = true
	instance = s.instance
	m := message{"http://" + s.control + "/-/Instances.Deregister/" + instance, nil}
	s.mu.Unlock()

	client := &http.Client{Timeout: time.Second}

	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status, err := post(client, m); err == nil && status == http.StatusOK {
			return instance, true
		}
	}

	return instance, false
}

// exit ends the server for good.
func (s *server) exit() {
	s.mu.Lock()
	h := s.http
	s.http = nil
	s.mu.Unlock()

	if h != nil {
		_ = h.Close()
	}
}
