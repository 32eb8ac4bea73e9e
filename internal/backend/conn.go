package backend

import (
	"bufio"
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
)

// readBuffer holds the head of an answer and most bodies.
const readBuffer = 4 << 10

// conn is one connection; it carries one request at a time.
type conn struct {
	raw  net.Conn
	in   *bufio.Reader
	used time.Time
	keep time.Duration
}

func newConn(raw net.Conn) *conn {
	return &conn{raw: raw, in: bufio.NewReaderSize(raw, readBuffer), used: time.Now(), keep: defaultIdle}
}

func (c *conn) close() { _ = c.raw.Close() }

// fresh reports whether a connection that was idle for so long may carry a call.
func (c *conn) fresh(idle time.Duration, idempotent bool) bool {
	return idle <= c.keep && (idempotent || idle <= freshIdle)
}

// quiet reports whether nothing has come on an idle connection. What has come
// belongs to no request that waits: an answer sent twice, an end, or a reset.
func (c *conn) quiet() bool {
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

	quiet := false

	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte

		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)

		return true
	})

	return err == nil && quiet
}

// exchange sends the request and reads its answer. Reusable says whether the
// connection may carry another request.
func (c *conn) exchange(ctx context.Context, r Request, names header.Names) (a Answer, reusable bool, err error) {
	stop := context.AfterFunc(ctx, c.close)
	defer stop()

	head := encode(ctx, r, names)
	written := make(chan error, 1)

	if len(r.Body) <= readBuffer {
		_, err := c.raw.Write(append(head, r.Body...))
		written <- err
	} else {
		// A backend server may answer before it has read a long body, and would
		// wait for its answer to be read before it reads on.
		go func() {
			_, err := (&net.Buffers{head, r.Body}).WriteTo(c.raw)
			written <- err
		}()
	}

	a, reusable, err = c.answer(r, names)
	if err != nil {
		return a, false, err
	}

	// The next request's bytes must not land where the rest of a body is due.
	select {
	case werr := <-written:
		return a, reusable && werr == nil && stop(), nil
	default:
		return a, false, nil
	}
}

// answer reads until the answer to the request.
func (c *conn) answer(r Request, names header.Names) (Answer, bool, error) {
	request := &http.Request{Method: r.Method}

	for {
		response, err := http.ReadResponse(c.in, request) //nolint:bodyclose // read to its end below; the connection is ours
		if err != nil {
			return Answer{}, false, ErrLost.Wrap(err)
		}

		if response.StatusCode < http.StatusOK {
			continue
		}

		body, err := io.ReadAll(response.Body)
		if err != nil {
			return Answer{}, false, ErrLost.Wrap(err)
		}

		id := response.Header.Get(names.Call)
		if id != "" && id != r.ID {
			if response.Close {
				return Answer{}, false, ErrLost.With("only an answer to another call came")
			}

			continue
		}

		return c.result(response, body, id, names)
	}
}

func (c *conn) result(response *http.Response, body []byte, id string, names header.Names) (Answer, bool, error) {
	signed := response.Header.Get(names.Signature) != ""
	other := response.StatusCode == http.StatusMisdirectedRequest
	notRun := other || response.Header.Get(names.NotRun) != ""

	// An answer that does not say to which call it belongs may be a leftover. Only
	// a refusal of the connection's first request can be nothing else.
	if !notRun && (id == "" || (!signed && response.StatusCode < http.StatusMultipleChoices)) {
		return Answer{}, false, ErrLost.With("an answer without a call ID or signature, status %d", response.StatusCode)
	}

	c.learnKeep(response.Header.Get("Keep-Alive"))

	a := Answer{
		Status: response.StatusCode, Header: names.Returned(response.Header), Body: body,
		NotRun: notRun, Other: other,
	}

	return a, !response.Close && c.in.Buffered() == 0 && response.ContentLength >= 0 || chunked(response), nil
}

func chunked(response *http.Response) bool {
	return !response.Close && len(response.TransferEncoding) > 0
}

// learnKeep takes the idle time that the backend server states.
func (c *conn) learnKeep(value string) {
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}

		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			c.keep = time.Duration(float64(seconds) * idlePart * float64(time.Second))
		}
	}
}

func (c *conn) probe(ctx context.Context, path string, names header.Names) Health {
	stop := context.AfterFunc(ctx, c.close)
	defer stop()

	if _, err := io.WriteString(c.raw, "GET "+path+" HTTP/1.1\r\nHost: health\r\nConnection: close\r\n\r\n"); err != nil {
		return Health{}
	}

	response, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodGet})
	if err != nil {
		return Health{}
	}
	defer func() { _ = response.Body.Close() }()

	return Health{
		Instance: response.Header.Get(names.Instance), Healthy: response.StatusCode == http.StatusOK,
		Slots: names.Slots(response.Header),
	}
}

// encode writes the head of a request.
func encode(ctx context.Context, r Request, names header.Names) []byte {
	const usualHead = 512

	b := bytes.NewBuffer(make([]byte, 0, usualHead+len(r.Body)))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\n")
	line(b, "Host", r.Host)

	for _, f := range r.Header {
		line(b, f.Name, f.Value)
	}

	line(b, names.Call, r.ID)
	line(b, names.Caller, r.Origin)
	line(b, names.Expected, r.Instance)

	if deadline, ok := ctx.Deadline(); ok {
		line(b, names.Deadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}

	if len(r.Body) > 0 || r.Method != http.MethodGet {
		line(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}

	b.WriteString("\r\n")

	return b.Bytes()
}

func line(b *bytes.Buffer, name, value string) {
	if value == "" {
		return
	}

	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}
