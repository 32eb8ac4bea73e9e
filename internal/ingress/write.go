package ingress

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"
)

// heldLong is how long an answer waits behind those to earlier calls of its connection
// until that is told.
const heldLong = 100 * time.Millisecond

// write sends the answers in the order of the calls.
func (c *conn) write() {
	var failed error

	for e := range c.queue {
		<-e.done

		last := c.answered()

		if failed == nil {
			failed = c.send(e, last)
		}

		if c.written() && failed == nil {
			failed = c.finish()
		}

		switch {
		case failed != nil:
			// What the caller still waits for is of no use to it.
			c.cancel(ErrNotRead)
			c.undelivered(e, failed)
		case time.Since(e.ready) > heldLong:
			c.server.options.Observer.Held(c.delivery(e, nil))
		}
	}
}

// undelivered tells of an answer that its caller did not get, unless the caller left.
func (c *conn) undelivered(e *exchange, why error) {
	if !errors.Is(context.Cause(c.ctx), ErrCallerLeft) {
		c.server.options.Observer.Undelivered(c.delivery(e, why))
	}
}

func (c *conn) delivery(e *exchange, err error) Delivery {
	now := time.Now()

	return Delivery{
		Call: e.response.Call, Status: e.response.Status, Err: err,
		Took: e.ready.Sub(e.taken), Held: now.Sub(e.ready), Connected: now.Sub(c.made),
	}
}

func (c *conn) send(e *exchange, last bool) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}

	if _, err := c.raw.Write(e.response.encode(e.request.Method, last)); err != nil {
		return err
	}

	if !last {
		return nil
	}

	return c.finish()
}

// finish lets the caller read the last answer before the connection ends.
func (c *conn) finish() error {
	if err := c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return err
	}

	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}

	return nil
}

var _ interface{ CloseWrite() error } = (*net.TCPConn)(nil)

// encode writes an answer with its length, so that one that is cut short on the
// way never looks whole.
func (r Response) encode(method string, last bool) []byte {
	const usualHead = 256

	b := bytes.NewBuffer(make([]byte, 0, usualHead+len(r.Body)))
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(r.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(r.Status))
	b.WriteString("\r\n")

	for _, f := range r.Header {
		b.WriteString(f.Name)
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}

	if last {
		b.WriteString("Connection: close\r\n")
	}

	if bodyless(r.Status) {
		b.WriteString("\r\n")

		return b.Bytes()
	}

	b.WriteString("Content-Length: ")
	b.WriteString(strconv.Itoa(len(r.Body)))
	b.WriteString("\r\n\r\n")

	if method != http.MethodHead {
		b.Write(r.Body)
	}

	return b.Bytes()
}

func bodyless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}
