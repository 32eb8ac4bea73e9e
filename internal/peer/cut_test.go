package peer_test

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/peer"
)

// relay passes all bytes to a node and the first of its replies back, and then closes or resets the connection.
type relay struct {
	address string
	passed  atomic.Int64 // bytes that are passed back; further ones are dropped
	reset   atomic.Bool
	replied atomic.Int64 // bytes of the last connection
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	r := &relay{address: l.Addr().String()}

	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}

			go r.serve(in.(*net.TCPConn), target)
		}
	}()

	return r
}

func (r *relay) serve(in *net.TCPConn, target string) {
	defer func() { _ = in.Close() }()

	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()

	// A link that breaks before the request is sent is another failure.
	begun := make([]byte, 1)
	if _, err := io.ReadFull(in, begun); err != nil {
		return
	}

	go func() { _, _ = io.Copy(out, io.MultiReader(bytes.NewReader(begun), in)) }()

	n, _ := io.Copy(in, io.LimitReader(out, r.passed.Load()))
	r.replied.Store(n)

	if r.reset.Load() {
		_ = in.SetLinger(0)
	}
}

// Guards against a reply that is taken for whole, or for one that was never asked for, since the link broke in its middle.
func TestCutReplyIsNeitherWholeNorUnsent(t *testing.T) {
	e := newEndpoint(t)
	text := strings.Repeat("reply ", 10)

	for _, reset := range []bool{false, true} {
		r := newRelay(t, e.address)
		r.reset.Store(reset)

		whole := false

		for n := int64(0); !whole; n++ {
			r.passed.Store(n)

			client := peer.NewClient(peer.WithDialTimeout(testTimeout))

			var out ping

			err := client.Do(t.Context(), r.address, peer.LaneCalls, "Ping", ping{text}, &out)
			client.Close()

			if whole = err == nil; whole {
				assert.Equal(t, out.Text, text)
				assert.Assert(t, n > int64(len(text)))

				continue
			}

			assert.ErrorIs(t, err, peer.ErrBroken, "%d bytes, reset %t", n, reset)
			assert.Equal(t, out, ping{})
		}
	}
}

// Guards against bytes that are no reply being decoded as one, or quoted in an error.
func TestBytesThatAreNoReplyBreakTheLink(t *testing.T) {
	const secret = "b3c0ffee"

	for name, text := range map[string]string{
		"Text":        secret + strings.Repeat("x", 100),
		"HTTP":        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + secret,
		"EmptyFrame":  "\x00\x00\x00\x00",
		"ShortFrame":  "\x00\x00\x00\x08" + secret,
		"HugeFrame":   "\xff\xff\xff\xff" + secret,
		"NoArray":     "\x00\x00\x00\x09\xa8" + secret,
		"EmptyArray":  "\x00\x00\x00\x01\x90",
		"NestedArray": "\x00\x00\x00\x40" + strings.Repeat("\x91", 64),
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })

			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}

					_, _ = c.Read(make([]byte, 1<<10))
					_, _ = io.WriteString(c, text)
					_ = c.Close()
				}
			}()

			client := peer.NewClient(peer.WithDialTimeout(testTimeout))
			defer client.Close()

			var out ping

			err = client.Do(t.Context(), l.Addr().String(), peer.LaneCalls, "Ping", ping{"x"}, &out)
			assert.ErrorIs(t, err, peer.ErrBroken)
			assert.Assert(t, !strings.Contains(err.Error(), secret), "%v", err)
			assert.Equal(t, out, ping{})
		})
	}
}
