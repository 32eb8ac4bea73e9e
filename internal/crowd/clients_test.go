package crowd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/platform"
)

// client is what one member of a crowd does on a connection. An error ends the connection.
type client func(ctx context.Context, c net.Conn, id string) error

// crowd is a number of clients that keep connections to an address. A client whose connection ends opens another.
type crowd struct {
	leave   context.CancelFunc
	clients sync.WaitGroup
}

// reconnectPause is the time until a client whose connection ended opens another.
const reconnectPause = 200 * time.Millisecond

func newCrowd(size int, address string, do client) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{leave: cancel}

	for i := range size {
		c.clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				connect(ctx, address, fmt.Sprintf("crowd-%d-%d", i, n), do)
				pause(ctx, reconnectPause)
			}
		})
	}

	return c
}

func connect(ctx context.Context, address, id string, do client) {
	raw, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		return
	}

	defer func() { _ = raw.Close() }()

	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()

	_ = do(ctx, raw, id) // a node may close the connection
}

// end closes the connections of the crowd.
func (c *crowd) end() {
	c.leave()
	c.clients.Wait()
}

// stay keeps a crowd at an address for stayFor, and checks the descriptors of the process meanwhile.
func stay(t *testing.T, size, pid int, address string, do client) {
	t.Helper()

	c := newCrowd(size, address, do)
	defer c.end()

	for began := time.Now(); time.Since(began) < stayFor; time.Sleep(200 * time.Millisecond) {
		n := files(pid)
		assert.Assert(t, n <= size+ordinaryFiles, "%d descriptors with %d clients", n, size)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// readSlowly reads some bytes after each pause until the connection ends.
func readSlowly(ctx context.Context, c net.Conn, size int, every time.Duration) error {
	buffer := make([]byte, size)

	for ctx.Err() == nil {
		if _, err := io.ReadFull(c, buffer); err != nil {
			return err
		}

		pause(ctx, every)
	}

	return nil
}

// head returns the beginning of a head. Fields may follow.
func head(method, path, id string) string {
	names := platform.Headers()

	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: %s\r\n%s: 15000\r\n", method, path, names.Call, id, names.Deadline)
}

// longAnswer gets a long answer and reads it slowly.
func longAnswer(size, read int, every time.Duration) client {
	return func(ctx context.Context, c net.Conn, id string) error {
		if _, err := io.WriteString(c, head("GET", fmt.Sprintf("/safe/long/%d", size), id)+"\r\n"); err != nil {
			return err
		}

		return readSlowly(ctx, c, read, every)
	}
}

// pipeline sends many calls at once and hardly reads.
func pipeline(calls, size int) client {
	return func(ctx context.Context, c net.Conn, id string) error {
		for i := range calls {
			text := head("GET", fmt.Sprintf("/safe/long/%d", size), fmt.Sprintf("%s-%d", id, i)) + "\r\n"
			if _, err := io.WriteString(c, text); err != nil {
				return err
			}
		}

		return readSlowly(ctx, c, 16, time.Second)
	}
}

// shortFields returns header fields of a few bytes each, about size bytes in all.
func shortFields(size int) string {
	var b strings.Builder

	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%c%x:\r\n", 'a'+rune(i%26), i/26)
	}

	return b.String()
}

// fields returns header fields with values, about size bytes in all.
func fields(size int) string {
	var b strings.Builder

	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "X-%d-a: %d\r\n", i, i)
	}

	return b.String()
}

// wait reads until the node closes the connection or the crowd leaves.
func wait(c net.Conn) error {
	_, err := io.Copy(io.Discard, c)

	return err
}

// heads sends a call with many fields, and reads its answer if the head ends.
func heads(path, fields string, ends bool) client {
	return func(_ context.Context, c net.Conn, id string) error {
		text := head("GET", path, id) + fields
		if ends {
			text += "\r\n"
		}

		if _, err := io.WriteString(c, text); err != nil {
			return err
		}

		return wait(c)
	}
}

// unread ends no head of a listener that has no limit of the configuration.
func unread(size int) client {
	return func(_ context.Context, c net.Conn, _ string) error {
		if _, err := io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: a\r\n"+shortFields(size)); err != nil {
			return err
		}

		return wait(c)
	}
}

// chunks sends a body in chunks of some bytes, and ends it or stays.
func chunks(size, chunk int, ends bool) client {
	return func(_ context.Context, c net.Conn, id string) error {
		if _, err := io.WriteString(c, head("POST", "/safe/x", id)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}

		one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
		block := strings.Repeat(one, max(1, 8192/chunk))

		for sent := 0; sent < size; sent += max(1, 8192/chunk) * chunk {
			if _, err := io.WriteString(c, block); err != nil {
				return err
			}
		}

		if ends {
			if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
				return err
			}
		}

		return wait(c)
	}
}

// almost sends a body with a length but for its last bytes.
func almost(size int) client {
	const missing = 10

	body := strings.Repeat("x", size-missing)

	return func(_ context.Context, c net.Conn, id string) error {
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head("POST", "/safe/x", id), size); err != nil {
			return err
		}

		if _, err := io.WriteString(c, body); err != nil {
			return err
		}

		return wait(c)
	}
}

// echo sends a body, which is the answer, and reads the answer slowly.
func echo(size, read int, every time.Duration) client {
	body := strings.Repeat("x", size)

	return func(ctx context.Context, c net.Conn, id string) error {
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head("POST", "/safe/x", id), size, body); err != nil {
			return err
		}

		return readSlowly(ctx, c, read, every)
	}
}

// trailers sends many calls at once whose chunked bodies end with many fields, and hardly reads.
func trailers(calls int, fields string) client {
	return func(ctx context.Context, c net.Conn, id string) error {
		for i := range calls {
			text := head("POST", "/safe/works", fmt.Sprintf("%s-%d", id, i)) + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + fields + "\r\n"
			if _, err := io.WriteString(c, text); err != nil {
				return err
			}
		}

		return readSlowly(ctx, c, 16, time.Second)
	}
}
