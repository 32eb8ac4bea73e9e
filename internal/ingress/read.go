package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/route"
)

// readCall reads one call. A call over a limit is returned already rejected.
func (c *conn) readCall() (*exchange, error) {
	limits := c.server.options.Limits()

	if err := c.awaitFirstByte(limits); err != nil {
		return nil, err
	}

	c.beginReading()

	if err := c.setReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}

	e := &exchange{charge: c.account.Charge(), done: make(chan struct{})}

	request, err := c.readHead(limits.HeaderBytes+readBuffer, e.charge)
	if err != nil {
		return e, c.rejectHead(e, err)
	}

	e.request = request

	e.body, err = c.readBody(e, limits)
	if err != nil {
		err = c.rejectBody(e, err)
	}

	return e, err
}

// awaitFirstByte waits for the next call to begin. Retire ends the wait.
func (c *conn) awaitFirstByte(limits route.Limits) error {
	if c.in.Buffered() > 0 {
		return nil
	}

	if err := c.startAwaiting(time.Now().Add(idleTimeoutFactor * limits.IdleTimeout)); err != nil {
		return err
	}

	_, err := c.in.Peek(1)

	c.mu.Lock()
	defer c.mu.Unlock()

	c.awaitingCall = false

	if err != nil && c.ended {
		return errEnded
	}

	return err
}

// setReadDeadline sets the read deadline, unless the last answer has already set the one
// for lingering.
func (c *conn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.ended {
		return errEnded
	}

	return c.raw.SetReadDeadline(t)
}

// Reasons for which no further call is read.
var (
	// errEnded means that the connection's last answer was begun.
	errEnded = errors.New("connection has no further answers")
	// errCutShort means that the caller ended its side of the connection within a call. That call is
	// not valid, but the caller may still read the answers to the calls before it.
	errCutShort = errors.New("call was cut short")
)

// startAwaiting marks the connection as idle between calls and sets the read deadline. It
// fails if the connection accepts no further calls.
func (c *conn) startAwaiting(until time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	switch {
	case c.ended:
		return errEnded
	case c.closing && c.hasCalls && !c.busy():
		return net.ErrClosed
	}

	c.awaitingCall = true

	return c.raw.SetReadDeadline(until)
}

// rejectHead rejects a call whose head is too large, is not valid HTTP or does not fit in the memory. If the head
// was not received as a whole, it returns the error.
func (c *conn) rejectHead(e *exchange, err error) error {
	e.request = &http.Request{Method: http.MethodGet}

	switch {
	case errors.Is(err, errHeadTooLarge):
		e.reject(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, errMalformed):
		e.reject(http.StatusBadRequest)
	case errors.Is(err, membudget.ErrNoRoom):
		c.refuse(e)
	case errors.Is(err, io.EOF):
		return errCutShort
	default:
		return err
	}

	return nil
}

// refuse rejects a call for which there is no memory. It has not run.
func (c *conn) refuse(e *exchange) {
	c.server.bodies.refuse()
	c.server.options.Refused(c.raw.RemoteAddr().String())

	e.response.Header = []call.Field{{Name: "Retry-After", Value: memoryRetryAfter}}
	e.reject(http.StatusServiceUnavailable)
}

// rejectBody rejects a call whose body is malformed. If the body was not received as a whole, it
// returns the error.
func (c *conn) rejectBody(e *exchange, err error) error {
	var netErr net.Error

	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return errCutShort
	case errors.Is(err, errEnded), errors.As(err, &netErr):
		return err
	case errors.Is(err, membudget.ErrNoRoom):
		c.refuse(e)

		return nil
	}

	e.reject(http.StatusBadRequest)

	return nil
}

func (e *exchange) reject(status int) {
	e.request.Close = true
	e.response.Status = status
	e.complete()
}

func (c *conn) readBody(e *exchange, limits route.Limits) ([]byte, error) {
	if e.request.ContentLength > int64(limits.BodyBytes) {
		e.reject(http.StatusRequestEntityTooLarge)

		return nil, nil
	}

	if e.request.ContentLength == 0 {
		return nil, c.setReadDeadline(time.Time{})
	}

	if err := c.setReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}

	if err := c.sendContinue(e); err != nil {
		return nil, err
	}

	size := limits.BodyBytes + 1
	if e.request.ContentLength > 0 {
		size = int(e.request.ContentLength)
	}

	body, err := c.server.bodies.read(e.request.Body, size, e.charge)
	e.request.Trailer = nil // no one reads it, and its memory is not counted

	if err != nil {
		return nil, err
	}

	if len(body) > limits.BodyBytes {
		e.reject(http.StatusRequestEntityTooLarge)

		return body, nil
	}

	return body, c.setReadDeadline(time.Time{})
}

// sendContinue sends 100 Continue if the caller expects it and no earlier answer is due.
func (c *conn) sendContinue(e *exchange) error {
	if !strings.EqualFold(e.request.Header.Get("Expect"), "100-continue") || !c.allAnswered() {
		return nil
	}

	_, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n")

	return err
}
