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

// heldThreshold is how long an answer has to wait behind earlier answers of its connection
// to be reported to Observer.Held.
const heldThreshold = 100 * time.Millisecond

// write writes the answers in the order of the calls.
func (c *conn) write() {
	var failed error

	for e := range c.queue {
		<-e.done

		last := c.beginAnswer()

		if failed == nil {
			failed = c.send(e, last)
		}

		if c.endAnswer() && failed == nil {
			failed = c.closeWrite()
		}

		switch {
		case failed != nil:
			// Later answers can't be delivered either, so their calls are canceled.
			c.cancel(ErrNotRead)
			c.undelivered(e, failed)
		case time.Since(e.readyAt) > heldThreshold:
			c.server.options.Observer.Held(c.delivery(e, nil))
		}
	}
}

// undelivered reports an answer that could not be delivered, unless the caller disconnected.
func (c *conn) undelivered(e *exchange, why error) {
	if !errors.Is(context.Cause(c.ctx), ErrCallerDisconnected) {
		c.server.options.Observer.Undelivered(c.delivery(e, why))
	}
}

func (c *conn) delivery(e *exchange, err error) Delivery {
	now := time.Now()

	return Delivery{
		Call: e.response.Call, Status: e.response.Status, Err: err,
		Took: e.readyAt.Sub(e.acceptedAt), Held: now.Sub(e.readyAt), Connected: now.Sub(c.connectedAt),
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

	return c.closeWrite()
}

// closeWrite half-closes the connection and bounds the time in which the caller can read the
// last answer.
func (c *conn) closeWrite() error {
	if err := c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return err
	}

	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}

	return nil
}

var _ interface{ CloseWrite() error } = (*net.TCPConn)(nil)

// encode returns the answer in HTTP/1.1 form, with its length, so that the caller can
// detect a truncated answer.
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
