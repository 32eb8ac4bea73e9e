package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// world is a small deployment on loopback addresses.
type world struct {
	dir     string
	program string
	trouble bool
	bounds  map[string]any
	store   *store
	nodes   []*node
	done    chan struct{}
	began   time.Time

	mu   sync.Mutex
	out  io.Writer
	runs []run
}

func newWorld(dir, program string, trouble bool, record io.Writer) (*world, error) {
	s, err := startStore()
	if err != nil {
		return nil, err
	}

	return &world{
		dir: dir, program: program, trouble: trouble, bounds: bounds, store: s, done: make(chan struct{}), began: time.Now(), out: record,
	}, nil
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.line(time.Now(), format, args...)
}

// line writes a line; w.mu is held.
func (w *world) line(at time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(w.out, "%8.3f  %s\n", at.Sub(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) ran(r run) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.runs = append(w.runs, r)
	w.line(r.at, "run   %s %s %s at %s tenant %q", r.id, r.method, r.uri, r.instance, r.tenant)
}

// startAll starts all servers and nodes, and waits until all nodes are ready.
func (w *world) startAll() error {
	for _, n := range w.nodes {
		if err := n.server.start(); err != nil {
			return err
		}

		if err := n.start(); err != nil {
			return err
		}

		go n.server.beats()
	}

	return w.awaitReady(20 * time.Second)
}

func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0

		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}

		if ready == len(w.nodes) {
			return nil
		}
	}

	return fmt.Errorf("not all nodes are ready after %s", limit)
}

// stopAll ends all processes.
func (w *world) stopAll() {
	close(w.done)

	for _, n := range w.nodes {
		n.kill()
	}
}

// killAll kills all processes at once and starts them again after a pause.
func (w *world) killAll(pause time.Duration) error {
	w.note("all %d processes are killed", len(w.nodes))

	for _, n := range w.nodes {
		n.kill()
	}

	time.Sleep(pause)
	w.note("all processes are started again")

	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}

	return nil
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)

	return hex.EncodeToString(b)
}

// answer is what a requester got.
type answer struct {
	status     int // 0: no answer
	retryAfter time.Duration
	body       string
}

// request is one attempt of a requester.
type request struct {
	id, method, host, uri, key string
	body                       []byte
	limit                      time.Duration
}

// client sends requests over kept connections.
type client struct{ http *http.Client }

func newClient() *client {
	return &client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}}
}

// newFreshClient sends each request on a connection of its own.
func newFreshClient() *client {
	return &client{&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends one attempt to a node and returns its answer.
func (c *client) send(n *node, q request) answer {
	r, err := http.NewRequest(q.method, "http://"+n.outbound+q.uri, bytes.NewReader(q.body))
	if err != nil {
		return answer{}
	}

	r.Host = q.host
	r.Header.Set("Attempt-Id", q.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.limit.Milliseconds()))

	if q.key != "" {
		r.Header.Set("Key", q.key)
	}

	h := *c.http
	h.Timeout = q.limit

	response, err := h.Do(r)
	if err != nil {
		return answer{}
	}

	defer func() { _ = response.Body.Close() }()

	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}

	var seconds float64
	_, _ = fmt.Sscan(response.Header.Get("Retry-After"), &seconds)

	return answer{response.StatusCode, time.Duration(seconds * float64(time.Second)), strings.TrimSpace(string(body))}
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)

	return couldNotRun
}
