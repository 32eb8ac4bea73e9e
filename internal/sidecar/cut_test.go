package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

// rawBackend is a backend server that writes the answers to calls as bytes and closes the connection.
type rawBackend struct {
	instance string
	calls    atomic.Int32
	// leavesBody is set if it answers before it has read the body of a call.
	leavesBody bool
	write      func(c net.Conn, id string)
}

func (b *rawBackend) serve(t *testing.T) string {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go b.answer(c)
		}
	}()

	return l.Addr().String()
}

func (b *rawBackend) answer(c net.Conn) {
	defer func() { _ = c.Close() }()

	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}

	names := platform.Headers()

	if r.URL.Path == "/health" {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0,0,4\r\nContent-Length: 0\r\n\r\n", names.Instance, b.instance, names.Load)

		return
	}

	if !b.leavesBody {
		_, _ = io.Copy(io.Discard, r.Body)
	}

	b.calls.Add(1)
	b.write(c, r.Header.Get(names.Call))
}

// signedHead returns the head of a success with a body of the given length in bytes, the last answer of its connection.
func signedHead(id string, length int) string {
	names := platform.Headers()

	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		names.Call, id, names.Signature, length)
}

// Guards against an empty or short success that is framed as whole, since the backend server closed in the middle of its answer.
func TestAnswerCutShortIsNoSuccessThroughTwoNodes(t *testing.T) {
	answer := func(id string) string { return signedHead(id, len("hello")) + "hello" }

	var cut atomic.Int32

	raw := &rawBackend{instance: "i-1", write: func(c net.Conn, id string) {
		text := answer(id)
		_, _ = io.WriteString(c, text[:min(len(text), int(cut.Load()))])
	}}
	f := newConfiguredFleet(t, func(i int, h *host) {
		if i == 1 {
			h.config.BackendAddress = raw.serve(t)
		}
	}, "browse", "ledger")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announceAll(t)

	entry, whole := f.hosts[0], len(answer("c-000"))
	cut.Store(int32(whole))
	eventually(t, entry.ready)
	eventually(t, entry.serves)

	reached := raw.calls.Load()

	for i := range whole {
		cut.Store(int32(i))

		status, body, _ := entry.call(fmt.Sprintf("c-%03d", i))
		assert.Assert(t, status >= http.StatusInternalServerError, "cut after %d of %d bytes: %d %q", i, whole, status, body)
	}

	assert.Assert(t, int(raw.calls.Load()-reached) > whole/2, "%d of %d calls reached the backend server", raw.calls.Load()-reached, whole)

	cut.Store(int32(whole))
	eventually(t, entry.serves)
}

// Guards against a large answer that its gate takes and that does not pass between two nodes.
func TestLargeAnswerPassesTwoNodes(t *testing.T) {
	const size = 7 << 20

	body := strings.Repeat("b", size)
	raw := &rawBackend{instance: "i-1", write: func(c net.Conn, id string) {
		_, _ = io.WriteString(c, signedHead(id, len(body))+body)
	}}
	f := newConfiguredFleet(t, func(i int, h *host) {
		if i == 1 {
			h.config.BackendAddress = raw.serve(t)
		}
	}, "browse", "ledger")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announceAll(t)
	eventually(t, f.hosts[0].ready)

	eventually(t, func() bool {
		status, got, _ := f.hosts[0].call("large")

		return status == http.StatusOK && len(got) == len(body)
	})
}
