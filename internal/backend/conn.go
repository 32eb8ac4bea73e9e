package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/http1"
	"github.com/pollencart/pollencart/internal/membudget"
)

// Limits of what is read for one call. A faulty backend server may send bytes without end.
const (
	// readBuffer, in bytes, holds the head of an answer and most bodies.
	readBuffer = 4 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// MaxBodyBytes bounds the body of an answer. Callers on this host get it whole; between nodes a
	// frame is smaller.
	MaxBodyBytes = 32 << 20
	// smallBodyBytes is the largest body that is read without waiting for other large ones.
	smallBodyBytes = 64 << 10
	// finishTimeout bounds the rest of a request after its answer has ended with the connection.
	finishTimeout = time.Second
	// maxSkipped bounds the informational responses and the answers to other calls before the answer.
	maxSkipped = 16
)

// conn is one connection to the backend server; it carries one request at a time.
type conn struct {
	raw       net.Conn
	in        *http1.Reader
	large     chan struct{} // held while a large body is read
	written   chan error    // holds the result of writing the request once it is known
	lastUsed  time.Time
	idleLimit time.Duration
}

func newConn(raw net.Conn, large chan struct{}) *conn {
	return &conn{
		raw: raw, in: http1.NewReader(raw, readBuffer), large: large, lastUsed: time.Now(), idleLimit: defaultIdleLimit,
	}
}

func (c *conn) close() { _ = c.raw.Close() }

// interrupt ends reads and writes and leaves the connection open.
func (c *conn) interrupt() { _ = c.raw.SetDeadline(time.Unix(1, 0)) }

// giveUp tells the backend server that nobody waits for the answer, and waits until it has closed
// the connection. A backend server that runs the call to its end answers first.
func (c *conn) giveUp() {
	defer c.close()

	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.raw.SetReadDeadline(time.Now().Add(giveUpTimeout)) != nil {
		return
	}

	_, _ = io.CopyN(io.Discard, c.raw, MaxBodyBytes)
}

// reusableAfter reports whether the connection may carry a call after it was idle for the given
// time.
func (c *conn) reusableAfter(idle time.Duration, idempotent bool) bool {
	return idle <= c.idleLimit && (idempotent || idle <= nonIdempotentIdleLimit)
}

// hasNoInput reports whether an idle connection has no unread input. Input there belongs to
// no pending request: it is a duplicate answer, a close or a reset.
func (c *conn) hasNoInput() bool {
	if c.in.Buffered() > 0 {
		return false
	}

	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}

	hasNoInput := false

	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte

		_, err := syscall.Read(int(fd), b[:])
		hasNoInput = errors.Is(err, syscall.EAGAIN)

		return true
	})

	return err == nil && hasNoInput
}

// exchange sends the request and reads its answer. It also returns whether the connection
// is reusable for another request.
func (c *conn) exchange(ctx context.Context, r Request, names header.Names) (a Answer, reusable bool, err error) {
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()

	head := encode(ctx, r, names)
	written := make(chan error, 1)
	c.written = written

	if len(r.Body) <= readBuffer {
		_, err := c.raw.Write(append(head, r.Body...))
		written <- err
	} else {
		// A backend server may answer before it has read a long body, and may block on
		// writing the answer before it reads the rest.
		go func() {
			_, err := (&net.Buffers{head, r.Body}).WriteTo(c.raw)
			written <- err
		}()
	}

	a, reusable, err = c.readAnswer(ctx, r, names)
	if err != nil {
		return a, false, err
	}

	// While the body is not fully written, the backend server would read the next request as
	// part of it.
	select {
	case werr := <-written:
		return a, reusable && werr == nil && stop(), nil
	default:
		return a, false, nil
	}
}

// readAnswer reads up to the answer to the request. It skips informational responses and
// answers to other calls.
func (c *conn) readAnswer(ctx context.Context, r Request, names header.Names) (Answer, bool, error) {
	for range maxSkipped {
		response, err := c.readHead(r.Method) //nolint:bodyclose // the body is read to its end, or the connection is closed
		if err != nil {
			return Answer{}, false, err
		}

		if response.StatusCode < http.StatusOK {
			continue
		}

		id := response.Header.Get(names.Call)

		// An answer without the call ID may be a leftover, and 421 comes from another instance.
		if id == r.ID && r.Signaled != nil && response.StatusCode != http.StatusMisdirectedRequest {
			r.Signaled(names.Signals(response.Header))
		}

		body, err := c.readWholeBody(ctx, response)
		if err != nil {
			return Answer{}, false, err
		}

		if id != "" && id != r.ID {
			if response.Close {
				return Answer{}, false, ErrLost.With("only an answer to another call came")
			}

			continue
		}

		return c.parseAnswer(response, body, id, names)
	}

	return Answer{}, false, ErrTooLarge.With("%d responses before the answer", maxSkipped)
}

// readWholeBody reads the body of a response, and returns ErrLost if its end may be that of a reset.
func (c *conn) readWholeBody(ctx context.Context, response *http.Response) ([]byte, error) {
	body, err := c.readBody(ctx, response)
	if err == nil && http1.EndsWithConnection(response) && !c.isWritten(ctx) {
		return nil, ErrLost.With("the connection ended while the request was written")
	}

	return body, err
}

// isWritten reports whether the whole request was written. Otherwise the end of the connection may be
// that of a reset: the socket reports a reset once, and if a write gets the error, reads return io.EOF.
// A backend server that ends only its own side reads the rest of the request meanwhile.
func (c *conn) isWritten(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()

	select {
	case err := <-c.written:
		c.written <- err

		return err == nil
	case <-ctx.Done():
		return false
	}
}

// readHead reads the head of a response.
func (c *conn) readHead(method string) (*http.Response, error) {
	response, err := c.in.ReadHead(method, maxHeadBytes)

	switch {
	case errors.Is(err, http1.ErrTooLarge):
		return nil, ErrTooLarge.Wrap(err)
	case err != nil:
		return nil, ErrLost.Wrap(err)
	}

	return response, nil
}

// readBody reads the body of a response. Its memory is that of the call. Large bodies are read a few at a time,
// since the slots of the backend server bound the number of answers, but not their memory.
func (c *conn) readBody(ctx context.Context, response *http.Response) ([]byte, error) {
	if response.ContentLength > MaxBodyBytes {
		return nil, ErrTooLarge.With("body of %d bytes, limit %d", response.ContentLength, MaxBodyBytes)
	}

	if response.Body == http.NoBody {
		return nil, nil
	}

	size := MaxBodyBytes + 1
	if response.ContentLength >= 0 {
		size = int(response.ContentLength)
	}

	charge, reading := membudget.From(ctx), false

	defer func() {
		if reading {
			<-c.large
		}
	}()

	body, err := membudget.ReadBody(response.Body, size, func(n int) bool {
		if n > smallBodyBytes && !reading {
			if reading = c.readLarge(ctx); !reading {
				return false
			}
		}

		return charge.Await(ctx, membudget.Answers, n)
	}, func(n int) { charge.Free(membudget.Answers, n) })

	switch {
	case err != nil:
		return nil, ErrLost.Wrap(err)
	case len(body) > MaxBodyBytes:
		return nil, ErrTooLarge.With("body over %d bytes", MaxBodyBytes)
	}

	return body, nil
}

// readLarge waits until a large body may be read, and reports whether it may.
func (c *conn) readLarge(ctx context.Context) bool {
	select {
	case c.large <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *conn) parseAnswer(response *http.Response, body []byte, id string, names header.Names) (Answer, bool, error) {
	signed := response.Header.Get(names.Signature) != ""
	other := response.StatusCode == http.StatusMisdirectedRequest
	notRun := other || response.Header.Get(names.NotRun) != ""

	// An answer without a call ID may be left over from an earlier request. It counts only if
	// it states that the call was not run: on a connection's first request it can't be a
	// leftover. A success also needs the backend server's signature.
	if !notRun && (id == "" || (!signed && response.StatusCode < http.StatusMultipleChoices)) {
		return Answer{}, false, ErrLost.With("an answer without a call ID or signature, status %d", response.StatusCode)
	}

	c.updateIdleLimit(response.Header.Get("Keep-Alive"))

	a := Answer{
		Status: response.StatusCode, Header: names.Returned(response.Header), Body: body,
		NotRun: notRun, Other: other,
	}

	return a, !response.Close && c.in.Buffered() == 0 && response.ContentLength >= 0 || isReusableChunked(response), nil
}

func isReusableChunked(response *http.Response) bool {
	return !response.Close && len(response.TransferEncoding) > 0
}

// updateIdleLimit sets the idle limit from the value of a Keep-Alive header.
func (c *conn) updateIdleLimit(value string) {
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}

		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			c.idleLimit = time.Duration(float64(seconds) * idleLimitFactor * float64(time.Second))
		}
	}
}

func (c *conn) probe(ctx context.Context, path string, names header.Names) Health {
	stop := context.AfterFunc(ctx, c.close)
	defer stop()

	if _, err := io.WriteString(c.raw, "GET "+path+" HTTP/1.1\r\nHost: health\r\nConnection: close\r\n\r\n"); err != nil {
		return Health{}
	}

	response, err := c.readHead(http.MethodGet) //nolint:bodyclose // the connection is closed
	if err != nil {
		return Health{}
	}

	if _, err := io.CopyN(io.Discard, response.Body, MaxBodyBytes+1); !errors.Is(err, io.EOF) {
		return Health{} // cut short, malformed or over the limit
	}

	load := names.Reported(response.Header)

	return Health{
		Instance: response.Header.Get(names.Instance), Healthy: response.StatusCode == http.StatusOK,
		Slots: load.Slots, Slowness: load.Slowness,
	}
}

// encode returns the head of a request, with capacity for a short body.
func encode(ctx context.Context, r Request, names header.Names) []byte {
	const usualHead = 512

	b := bytes.NewBuffer(make([]byte, 0, usualHead+min(len(r.Body), readBuffer)))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\n")
	writeField(b, "Host", r.Host)

	for _, f := range r.Header {
		writeField(b, f.Name, f.Value)
	}

	writeField(b, names.Call, r.ID)
	writeField(b, names.Caller, r.Origin)
	writeField(b, names.Expected, r.Instance)

	if deadline, ok := ctx.Deadline(); ok {
		writeField(b, names.Deadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}

	if len(r.Body) > 0 || r.Method != http.MethodGet {
		writeField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}

	b.WriteString("\r\n")

	return b.Bytes()
}

func writeField(b *bytes.Buffer, name, value string) {
	if value == "" {
		return
	}

	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}
