package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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

const (
	beatTime = 1500 * time.Millisecond
	// crashPart is the path element of a request that crashes each server that runs it.
	crashPart = "/crash"
	crashTime = 20 * time.Millisecond
	// awayTime is how long a crashed server is down.
	awayTime = 1500 * time.Millisecond
)

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

// crash ends the boot at once, with all requests, and starts the next one later.
func (s *server) crash(instance string) {
	s.mu.Lock()
	h := s.http

	if s.instance != instance || h == nil {
		s.mu.Unlock()

		return
	}

	s.http = nil
	s.mu.Unlock()
	_ = h.Close()

	time.AfterFunc(awayTime, func() { _ = s.start() })
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
			w.WriteHeader(http.StatusOK)

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

		if strings.Contains(r.URL.Path, crashPart) {
			time.Sleep(crashTime)
			s.world.crashed(s.name, instance, id)
			s.crash(instance)

			return
		}

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

// beats sends heartbeats until the world ends.
func (s *server) beats() {
	client := &http.Client{Timeout: time.Second}

	for {
		s.mu.Lock()
		up := s.http != nil
		s.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
			"warmup-left-s": 0, "sequence": s.sequence,
		})
		url := "http://" + s.control + "/-/Instances.Heartbeat/" + s.instance
		s.mu.Unlock()

		if up {
			response, err := client.Post(url, "application/json", bytes.NewReader(body))
			if err == nil {
				_ = response.Body.Close()
			}
		}

		select {
		case <-s.world.done:
			return
		case <-time.After(beatTime):
		}
	}
}
