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

const (
	// shortBody, in bytes, is what of a body is copied behind its head and sent with it.
	shortBody = 16 << 10
	// writeBlock, in bytes, is what of a body is written at a time, so that the pace of its caller is known.
	writeBlock = 64 << 10
)

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
			c.reset()
		case time.Since(e.readyAt) > heldThreshold:
			c.server.options.Observer.Held(c.delivery(e, nil))
		}

		c.release(e)
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

	if err := c.sendBytes(e.response.encode(e.request.Method, last)); err != nil {
		return err
	}

	if !last {
		return nil
	}

	return c.closeWrite()
}

// sendBytes writes the parts of an answer. Their caller is waited for meanwhile.
func (c *conn) sendBytes(head, body []byte) error {
	c.account.Wait()
	defer c.account.Resume()

	if err := c.writeBytes(head); err != nil {
		return err
	}

	if len(body) > 0 {
		c.holdUnread()
	}

	for len(body) > 0 {
		block := body[:min(len(body), writeBlock)]
		if err := c.writeBytes(block); err != nil {
			return err
		}

		body = body[len(block):]
	}

	return nil
}

func (c *conn) writeBytes(data []byte) error {
	n, err := c.raw.Write(data)
	c.account.Moved(n)

	return err
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
// detect a truncated answer. A short body follows the head; a long one is returned as it is.
func (r Response) encode(method string, last bool) (head, body []byte) {
	const usualHead = 256

	short := min(len(r.Body), shortBody)
	b := bytes.NewBuffer(make([]byte, 0, usualHead+short))
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

		return b.Bytes(), nil
	}

	b.WriteString("Content-Length: ")
	b.WriteString(strconv.Itoa(len(r.Body)))
	b.WriteString("\r\n\r\n")

	if method == http.MethodHead {
		return b.Bytes(), nil
	}

	b.Write(r.Body[:short])

	return b.Bytes(), r.Body[short:]
}

func bodyless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}
