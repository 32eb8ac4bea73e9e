package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pollencart/pollencart/internal/route"
)

// next reads one call. The answer to one that is over a limit is there at once.
func (c *conn) next() (*exchange, []byte, error) {
	limits := c.server.options.Limits()
	c.limit.N = int64(limits.HeaderBytes) + readBuffer

	if err := c.awaitFirstByte(limits); err != nil {
		return nil, nil, err
	}

	if err := c.readUntil(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, nil, err
	}

	request, err := http.ReadRequest(c.in)
	if err != nil {
		e, err := c.badHead(err)

		return e, nil, err
	}

	e := &exchange{request: request, done: make(chan struct{})}
	body, err := c.readBody(e, limits)

	return e, body, err
}

// awaitFirstByte waits between calls. Retire ends the wait.
func (c *conn) awaitFirstByte(limits route.Limits) error {
	if c.in.Buffered() > 0 {
		return nil
	}

	if err := c.await(time.Now().Add(idleSpare * limits.IdleTimeout)); err != nil {
		return err
	}

	_, err := c.in.Peek(1)

	c.mu.Lock()
	defer c.mu.Unlock()

	c.waiting = false

	if err != nil && c.ended {
		return errEnded
	}

	return err
}

// readUntil bounds what is read next, unless the last answer has: its bound is to stay.
func (c *conn) readUntil(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.ended {
		return errEnded
	}

	return c.raw.SetReadDeadline(t)
}

// errEnded means that the last answer has gone out.
var errEnded = errors.New("connection has had its last answer")

// await notes that nothing of the next call has come, unless none is wanted.
func (c *conn) await(until time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	switch {
	case c.ended:
		return errEnded
	case c.closing && c.used && !c.busy():
		return net.ErrClosed
	}

	c.waiting = true

	return c.raw.SetReadDeadline(until)
}

// badHead answers a head that is too large or is not HTTP, and ends the
// connection; one that did not come in time just ends.
func (c *conn) badHead(err error) (*exchange, error) {
	switch {
	case c.limit.N <= 0:
		return refusal(http.StatusRequestHeaderFieldsTooLarge), nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, err
	}

	if broken := c.broken(); broken != nil {
		return nil, broken
	}

	return refusal(http.StatusBadRequest), nil
}

// broken says why the connection can't be read any more, if so. The reader of requests
// tells a part of a line that came in time from one that did not only by its text.
func (c *conn) broken() error {
	var fault net.Error

	if _, err := c.in.Peek(1); errors.As(err, &fault) {
		return err
	}

	return nil
}

// refusal is an exchange whose answer is known; its connection ends with it.
func refusal(status int) *exchange {
	e := &exchange{request: &http.Request{Method: http.MethodGet}, done: make(chan struct{})}
	e.refuse(status)

	return e
}

func (e *exchange) refuse(status int) {
	e.request.Close = true
	e.response.Status = status
	e.finish()
}

func (c *conn) readBody(e *exchange, limits route.Limits) ([]byte, error) {
	if e.request.ContentLength > int64(limits.BodyBytes) {
		e.refuse(http.StatusRequestEntityTooLarge)

		return nil, nil
	}

	if e.request.ContentLength == 0 {
		return nil, c.readUntil(time.Time{})
	}

	c.limit.N = int64(limits.BodyBytes) + readBuffer

	if err := c.readUntil(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}

	if err := c.invite(e); err != nil {
		return nil, err
	}

	body, err := io.ReadAll(io.LimitReader(e.request.Body, int64(limits.BodyBytes)+1))
	if err != nil {
		return nil, err
	}

	if len(body) > limits.BodyBytes {
		e.refuse(http.StatusRequestEntityTooLarge)
	}

	return body, c.readUntil(time.Time{})
}

// invite tells a caller that waits for it to send the body.
func (c *conn) invite(e *exchange) error {
	if !strings.EqualFold(e.request.Header.Get("Expect"), "100-continue") || !c.idle() {
		return nil
	}

	_, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n")

	return err
}
