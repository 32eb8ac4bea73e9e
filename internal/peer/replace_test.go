package peer

import (
	"bufio"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answerOneFrame starts a server that answers the first frame on each connection with a pong
// and closes the connection.
func answerOneFrame(t *testing.T) (address string) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}

			_, _, _ = Read(bufio.NewReader(conn))

			pong, _ := Encode(&Frame{Kind: KindPong})
			_, _ = conn.Write(pong)
			_ = conn.Close()
		}
	}()

	return l.Addr().String()
}

// A host becomes reachable again and restarts at once, so the replacement connection closes
// while it is installed. If it stayed installed, all requests to the host would fail for
// good, because nothing would replace it.
func TestBrokenReplacementIsRemoved(t *testing.T) {
	address := answerOneFrame(t)

	for range 200 {
		c := NewClient()
		key := connKey{address, LaneCalls}
		local, remote := net.Pipe()
		old := newClientConn(c, key)
		old.conn = local
		c.conns[key] = old

		r := c.startReplacement(old)
		<-r.done

		waitUntil(t, r.conn.isBroken)
		waitUntil(t, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()

			return c.conns[key] != r.conn
		})

		_ = local.Close()
		_ = remote.Close()
	}
}

// waitUntil polls until done returns true.
func waitUntil(t *testing.T, done func() bool) {
	t.Helper()

	const timeout = 5 * time.Second

	for deadline := time.Now().Add(timeout); !done(); {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(100 * time.Microsecond)
	}
}
