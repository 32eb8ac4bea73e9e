package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/backend"
	"github.com/pollencart/pollencart/internal/header"
)

// patience bounds waits for what must come.
const patience = 20 * time.Second

// peerConn is the backend server's end of one connection.
type peerConn struct {
	*net.TCPConn

	in     *bufio.Reader
	number int
}

// request reads the next request with its body.
func (c *peerConn) request() (*http.Request, string, error) {
	r, err := http.ReadRequest(c.in)
	if err != nil {
		return nil, "", err
	}

	body, err := io.ReadAll(r.Body)

	return r, string(body), err
}

// answer writes a whole answer to the call.
func (c *peerConn) answer(id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nPollencart-Call: %s\r\nPollencart-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// serve runs a script for each connection and returns a pool that leads there.
func serve(t *testing.T, script func(c *peerConn)) *backend.Pool {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for number := 1; ; number++ {
			raw, err := l.Accept()
			if err != nil {
				return
			}

			conn := raw.(*net.TCPConn)

			go func() {
				defer func() { _ = conn.Close() }()

				script(&peerConn{TCPConn: conn, in: bufio.NewReader(conn), number: number})
			}()
		}
	}()

	return backend.New(l.Addr().String(), header.Default())
}

// echo answers every request with its body and ID.
func echo(c *peerConn) {
	for {
		r, body, err := c.request()
		if err != nil {
			return
		}

		c.answer(r.Header.Get("Pollencart-Call"), body)
	}
}

func do(t *testing.T, p *backend.Pool, id, body string) (backend.Answer, error) {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()

	return p.Do(ctx, backend.Request{
		ID: id, Origin: "browse", Instance: "i-1", Method: http.MethodPost, Host: "a.example", URI: "/x?y=1", Body: []byte(body),
		Idempotent: true,
	})
}

// The request arrives unchanged, with the headers that the node sets.
func TestRequestIsUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	p := serve(t, func(c *peerConn) {
		r, body, err := c.request()
		if err != nil {
			return
		}

		seen <- r
		c.answer("id-1", body)
	})

	a, err := do(t, p, "id-1", "bytes")
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "bytes")

	r := <-seen
	assert.Equal(t, r.RequestURI, "/x?y=1")
	assert.Equal(t, r.Host, "a.example")
	assert.Equal(t, r.Header.Get("Pollencart-Caller"), "browse")
	assert.Equal(t, r.Header.Get("Pollencart-Expected-Instance"), "i-1")
	assert.Assert(t, r.Header.Get("Pollencart-Deadline-Ms") != "")
}

// A backend server sends the answer to one call a second time, and it arrives where
// the answer to the next call is due. A client pool would give it to the next
// caller, who would see somebody else's data.
func TestAnAnswerSentTwiceIsNotTheNextOne(t *testing.T) {
	p := serve(t, func(c *peerConn) {
		r, _, err := c.request()
		if err != nil {
			return
		}

		first := r.Header.Get("Pollencart-Call")
		c.answer(first, "first")

		r, _, err = c.request()
		if err != nil {
			return
		}

		c.answer(first, "first")
		c.answer(r.Header.Get("Pollencart-Call"), "second")
	})

	a, err := do(t, p, "id-1", "")
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "first")

	a, err = do(t, p, "id-2", "")
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "second")
	assert.Equal(t, p.Opened(), int64(1))
}

// Bytes come on a connection while nothing is asked. Whatever they are, the next
// answer can't be told from them, so the connection is not used again.
func TestAConnectionWithUnexplainedBytesIsNotUsed(t *testing.T) {
	wrote := make(chan struct{})
	p := serve(t, func(c *peerConn) {
		if c.number > 1 {
			echo(c)

			return
		}

		r, _, err := c.request()
		if err != nil {
			return
		}

		c.answer(r.Header.Get("Pollencart-Call"), "first")
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(c, "not an answer")
		close(wrote)
		_, _ = io.Copy(io.Discard, c)
	})

	_, err := do(t, p, "id-1", "")
	assert.NilError(t, err)

	<-wrote
	time.Sleep(20 * time.Millisecond)

	a, err := do(t, p, "id-2", "second")
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "second")
}

// An answer without a length ends with its connection. A reset in the middle looks
// the same to a careless reader, and the caller would take half of an answer for
// the whole.
func TestAResetIsNotTheEndOfAnAnswer(t *testing.T) {
	for _, reset := range []bool{false, true} {
		p := serve(t, func(c *peerConn) {
			if _, _, err := c.request(); err != nil {
				return
			}

			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nPollencart-Call: id-1\r\nPollencart-Signature: s\r\nConnection: close\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond)

			if reset {
				_ = c.SetLinger(0)
			}
		})

		a, err := do(t, p, "id-1", "")
		if reset {
			assert.ErrorIs(t, err, backend.ErrLost)
		} else {
			assert.NilError(t, err)
			assert.Equal(t, string(a.Body), "half")
		}
	}
}

// An answer states more bytes than come. The caller must not get it as whole.
func TestAnAnswerCutShortIsLost(t *testing.T) {
	p := serve(t, func(c *peerConn) {
		if _, _, err := c.request(); err != nil {
			return
		}

		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nPollencart-Call: id-1\r\nPollencart-Signature: s\r\nContent-Length: 100\r\n\r\nshort")
	})

	_, err := do(t, p, "id-1", "")
	assert.ErrorIs(t, err, backend.ErrLost)
}

// A backend server answers before it has read a long body and reads on later. If the
// connection were used again, the next request would be read as the rest of the body.
func TestAnEarlyAnswerEndsItsConnection(t *testing.T) {
	const long = 8 << 20

	p := serve(t, func(c *peerConn) {
		if c.number > 1 {
			echo(c)

			return
		}

		r, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}

		c.answer(r.Header.Get("Pollencart-Call"), "early")
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, c)
	})

	a, err := do(t, p, "id-1", strings.Repeat("x", long))
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "early")

	a, err = do(t, p, "id-2", "second")
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "second")
	assert.Equal(t, p.Opened(), int64(2))
}

// The caller goes away. The backend server sees the connection end and can stop.
func TestACallerThatLeavesEndsTheConnection(t *testing.T) {
	ended := make(chan struct{})
	began := make(chan struct{})
	p := serve(t, func(c *peerConn) {
		if _, _, err := c.request(); err != nil {
			return
		}

		close(began)

		_, _ = io.Copy(io.Discard, c)

		close(ended)
	})

	ctx, cancel := context.WithCancel(context.Background())

	go func() {
		<-began
		cancel()
	}()

	_, err := p.Do(ctx, backend.Request{ID: "id-1", Method: http.MethodGet, Host: "a", URI: "/"})
	assert.ErrorIs(t, err, backend.ErrLost)

	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the connection is still open")
	}
}

// Nobody listens: nothing was sent, and the call may go elsewhere.
func TestNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())

	_, err = do(t, backend.New(l.Addr().String(), header.Default()), "id-1", "")
	assert.ErrorIs(t, err, backend.ErrDown)
}

// The address belongs to another backend server by now. It says so and runs nothing.
func TestAnotherInstanceAnswers(t *testing.T) {
	p := serve(t, func(c *peerConn) {
		if _, _, err := c.request(); err == nil {
			fmt.Fprint(c, "HTTP/1.1 421 Misdirected Request\r\nPollencart-Instance: i-2\r\nContent-Length: 0\r\n\r\n")
		}
	})

	a, err := do(t, p, "id-1", "")
	assert.NilError(t, err)
	assert.Assert(t, a.Other && a.NotRun)
}

// A success without a signature or a call ID is not the backend server's word on
// this call, whatever it is.
func TestAnAnswerThatSaysNotWhoseItIs(t *testing.T) {
	for _, head := range []string{"Pollencart-Signature: s", "Pollencart-Call: id-1"} {
		p := serve(t, func(c *peerConn) {
			if _, _, err := c.request(); err == nil {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 0\r\n\r\n", head)
			}
		})

		_, err := do(t, p, "id-1", "")
		assert.Assert(t, errors.Is(err, backend.ErrLost), head)
	}
}

// Many calls one after the other need one connection.
func TestConnectionsAreKept(t *testing.T) {
	p := serve(t, echo)

	for range 20 {
		_, err := do(t, p, "id", "x")
		assert.NilError(t, err)
	}

	assert.Equal(t, p.Opened(), int64(1))
}
