package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// requester sends the requests of one machine. The platform gives it no new work after two questions in a
// row without a 200, until the next 200.
type requester struct {
	host *host
	out  atomic.Bool
}

// follow asks the node once a second whether it is ready.
func (c *requester) follow(ctx context.Context) {
	misses := 0

	for ctx.Err() == nil {
		if c.host.isReady() {
			misses = 0
		} else {
			misses++
		}

		c.out.Store(misses >= 2)
		time.Sleep(time.Second)
	}
}

// call is what to send.
type call struct {
	method, host, path, body string
	limit                    time.Duration
}

// head returns the head of the request.
func (x call) head(id string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", x.method, x.path, x.host, id, x.limit.Milliseconds())
	if x.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(x.body))
	}

	return head + "\r\n"
}

// send sends one request on a new connection and waits for its answer until the time limit.
func (c *requester) send(x call) *request {
	q := &request{id: newID(), host: c.host, line: x.method + " " + x.path, sent: time.Now(), limit: x.limit}
	defer func() {
		q.ended = time.Now()
		c.host.deployment.record.add(q)
	}()

	conn, err := net.DialTimeout("tcp", c.host.outbound, time.Second)
	if err != nil {
		q.failure = "no connection"

		return q
	}
	defer conn.Close()

	_ = conn.SetDeadline(q.sent.Add(x.limit))

	q.sent = time.Now()

	if _, err := io.WriteString(conn, x.head(q.id)+x.body); err != nil {
		q.failure = err.Error()

		return q
	}

	q.read(bufio.NewReader(conn), x.method)

	return q
}

func (q *request) read(in *bufio.Reader, method string) {
	response, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		q.failure = err.Error()

		return
	}
	defer response.Body.Close()

	body, err := io.ReadAll(response.Body)
	if err != nil {
		q.failure = err.Error()

		return
	}

	q.status, q.signed, q.body = response.StatusCode, response.Header.Get("Server-Signature") != "", strings.TrimSpace(string(body))
}

// stream sends calls at a mean rate until the context ends.
func (c *requester) stream(ctx context.Context, perSecond float64, next func() call) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))

		if ctx.Err() == nil && !c.out.Load() {
			go c.send(next())
		}
	}
}
