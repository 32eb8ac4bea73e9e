package peer

import (
	"bufio"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// speakOnce answers the first question on each connection and closes it.
func speakOnce(t *testing.T) (address string) {
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

// A host comes back from a cut and restarts in the same moment: the connection that replaces
// the old one ends while it is taken into use. Kept, it would refuse all calls to that host
// for good, since nobody looks for another one.
func TestAReplacementThatEndedIsNotKept(t *testing.T) {
	address := speakOnce(t)

	for range 200 {
		c := NewClient()
		key := connKey{address, LaneCalls}
		here, there := net.Pipe()
		old := newClientConn(c, key)
		old.conn = here
		c.conns[key] = old

		r := c.replace(old)
		<-r.done

		until(t, r.conn.isBroken)
		until(t, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()

			return c.conns[key] != r.conn
		})

		_ = here.Close()
		_ = there.Close()
	}
}

// until waits for what must come.
func until(t *testing.T, done func() bool) {
	t.Helper()

	const patience = 5 * time.Second

	for deadline := time.Now().Add(patience); !done(); {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(100 * time.Microsecond)
	}
}
