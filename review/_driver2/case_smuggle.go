package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// smuggled is the number of requests that carry another one in their body.
	smuggled    = 20
	uploadLimit = time.Second
)

func smuggleConfig(version int) map[string]any {
	c := deskConfig(version)
	c["routes"].(map[string]any)["rows"] = [][]any{
		{"r-1", routeHost, routePath, "safe", 2, 0.4, 0, "desk", 2}, {"r-2", routeHost, "/xapu221/", "unsafe", 2, 0.4, 0, "desk", 2},
	}

	return c
}

// smuggleCase has requesters send bodies that hold a request, under a length with a blank before its colon.
func smuggleCase(w *world) int {
	w.store.write("op/config", smuggleConfig(7))

	for i := range 4 {
		w.addNode(fmt.Sprintf("sidecar-%d", i+1), fmt.Sprintf("zone-%d", i%4+1), "desk", 9, 30*time.Millisecond)
	}

	if err := w.startAll(); err != nil {
		return fail(err)
	}

	time.Sleep(settleTime)

	field := "Content-Length:"
	if w.trouble {
		field = "Content-Length :"
	}

	inner := map[string]bool{}
	answered := 0

	for i := range smuggled {
		outerID, innerID := newID(), newID()
		inner[innerID] = true

		status, err := w.upload(w.nodes[i%len(w.nodes)], field, outerID, innerID)
		if err == nil {
			answered++
		}

		w.note("sent  %s with %q and %s in its body; got %v", outerID, field, innerID, status)
	}

	time.Sleep(time.Second)

	w.mu.Lock()
	defer w.mu.Unlock()

	ran := 0

	for _, r := range w.runs {
		if inner[r.id] {
			ran++
		}
	}

	text := fmt.Sprintf("%d of %d requests that were in the body of another one were run, %d of the others were answered", ran, smuggled, answered)
	w.line(time.Now(), "%s", text)
	fmt.Println("UNASKED: " + text)

	switch {
	case ran > 0:
		return broken
	case answered == 0:
		return couldNotRun
	}

	return held
}

// upload sends one request on a connection of its own, and returns the statuses that come.
func (w *world) upload(n *node, field, id, innerID string) (statuses []int, err error) {
	c, err := net.Dial("tcp", n.outbound)
	if err != nil {
		return nil, err
	}

	defer func() { _ = c.Close() }()

	body := fmt.Sprintf("POST /xapu221/inner HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n", routeHost, innerID)
	head := fmt.Sprintf("POST /xapu221/outer HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s %d\r\n\r\n",
		routeHost, id, uploadLimit.Milliseconds(), field, len(body))

	if _, err := strings.NewReader(head + body).WriteTo(c); err != nil {
		return nil, err
	}

	if err := c.SetReadDeadline(time.Now().Add(uploadLimit)); err != nil {
		return nil, err
	}

	in := bufio.NewReader(c)

	for {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			if len(statuses) > 0 {
				return statuses, nil
			}

			return nil, err
		}

		statuses = append(statuses, response.StatusCode)
		if _, err := bufio.NewReader(response.Body).WriteTo(discard{}); err != nil {
			return statuses, nil
		}
	}
}

// discard drops what is written.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
