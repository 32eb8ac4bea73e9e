package ingress

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/route"
)

// readCall reads one call. A call over a limit is returned already rejected.
func (c *conn) readCall() (*exchange, []byte, error) {
	limits := c.server.options.Limits()
	c.limit.N = int64(limits.HeaderBytes) + readBuffer

	if err := c.awaitFirstByte(limits); err != nil {
		return nil, nil, err
	}

	if err := c.setReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, nil, err
	}

	request, err := http.ReadRequest(c.in)
	if err != nil {
		e, err := c.rejectHead(err)

		return e, nil, err
	}

	e := &exchange{request: request, done: make(chan struct{})}

	body, err := c.readBody(e, limits)
	if err != nil {
		err = c.rejectBody(e, err)
	}

	return e, body, err
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

// rejectHead returns a rejected call for a request head that is too large or is not valid
// HTTP. If the head was not received in time, it returns the error and no call.
func (c *conn) rejectHead(err error) (*exchange, error) {
	switch {
	case c.limit.N <= 0:
		return rejectedExchange(http.StatusRequestHeaderFieldsTooLarge), nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errCutShort
	}

	if connErr := c.connErr(); connErr != nil {
		return nil, connErr
	}

	return rejectedExchange(http.StatusBadRequest), nil
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
	case errors.Is(err, errNoRoom):
		e.response.Header = []call.Field{{Name: "Retry-After", Value: bodyRetryAfter}}
		e.reject(http.StatusServiceUnavailable)

		return nil
	}

	e.reject(http.StatusBadRequest)

	return nil
}

// connErr returns the network error, if any, that stops reading from the connection.
// http.ReadRequest reports a line cut off by the read deadline, or by the end of the connection,
// and a malformed line with errors that differ only in their text.
func (c *conn) connErr() error {
	var netErr net.Error

	_, err := c.in.Peek(1)

	switch {
	case errors.As(err, &netErr):
		return err
	case errors.Is(err, io.EOF) && !c.allAnswered():
		return errCutShort
	}

	return nil
}

// rejectedExchange returns an exchange that is already answered with the status. Its
// connection closes after that answer.
func rejectedExchange(status int) *exchange {
	e := &exchange{request: &http.Request{Method: http.MethodGet}, done: make(chan struct{})}
	e.reject(status)

	return e
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

	// Chunks may have more framing than data. The decoder bounds it.
	c.limit.N = math.MaxInt64

	if err := c.setReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}

	if err := c.sendContinue(e); err != nil {
		return nil, err
	}

	body, err := c.server.bodies.read(e.request.Body, limits.BodyBytes)
	if err != nil {
		return nil, err
	}

	if len(body) > limits.BodyBytes {
		c.server.bodies.free(len(body))
		e.reject(http.StatusRequestEntityTooLarge)

		return nil, nil
	}

	if err := c.setReadDeadline(time.Time{}); err != nil {
		c.server.bodies.free(len(body))

		return nil, err
	}

	return body, nil
}

// sendContinue sends 100 Continue if the caller expects it and no earlier answer is due.
func (c *conn) sendContinue(e *exchange) error {
	if !strings.EqualFold(e.request.Header.Get("Expect"), "100-continue") || !c.allAnswered() {
		return nil
	}

	_, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n")

	return err
}
