package hosts

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/platform"
)

const (
	// crowdStream sets the schedule of crowds apart from those of the other faults.
	crowdStream = 0xc70d
	// crowdMemoryMB is the memory of each machine in a run with crowds.
	crowdMemoryMB = 96
	// maxCrowd is how many clients a crowd has at the most, and longestCrowd how long it stays.
	maxCrowd     = 100
	longestCrowd = 4 * time.Second
	// crowdHead and crowdUnread are the bytes of heads, at callers' listeners and at those without a limit.
	crowdHead, crowdUnread = 15_000, 300_000
	// crowdBody is the size of a body, which is echoed.
	crowdBody = 400_000
	// crowdFrame is the size that an endless frame names.
	crowdFrame = 8 << 20
	// crowdCalls is how many calls a client sends at once.
	crowdCalls = 8
	// slowRead is what a slow client reads after each slowPause.
	slowRead  = 512
	slowPause = 100 * time.Millisecond
)

// Crowds counts the clients of a run with crowds.
type Crowds struct{ Clients, Connections atomic.Int64 }

// String describes the crowds for the report.
func (c *Crowds) String() string {
	return fmt.Sprintf("clients of crowds %d, their connections %d", c.Clients.Load(), c.Connections.Load())
}

// crowdKind is what the clients of one crowd do.
type crowdKind struct {
	name    string
	address func(h *host) string
	send    func(w io.Writer, id string) error
	reads   bool // slowly; otherwise not at all
}

func crowdKinds() []crowdKind {
	caller := func(h *host) string { return h.config.CallerAddress }
	fields := shortFields(crowdHead)
	body := strings.Repeat("x", crowdBody)
	upload := func(id string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", crowdCall("POST", id), crowdBody, body)
	}
	send := func(text func(id string) string) func(io.Writer, string) error {
		return func(w io.Writer, id string) error {
			_, err := io.WriteString(w, text(id))

			return err
		}
	}
	unread := send(func(string) string { return "GET /-/ready HTTP/1.1\r\nHost: a\r\n" + shortFields(crowdUnread) })

	return []crowdKind{
		{"slow readers", caller, send(upload), true},
		{"pipelines", caller, func(w io.Writer, id string) error {
			for i := range crowdCalls {
				if _, err := io.WriteString(w, upload(fmt.Sprintf("%s-%d", id, i))); err != nil {
					return err
				}
			}

			return nil
		}, false},
		{"heads", caller, send(func(id string) string { return crowdCall("GET", id) + fields + "\r\n" }), true},
		{"open heads", caller, send(func(id string) string { return crowdCall("GET", id) + fields }), true},
		{"open bodies", caller, send(func(id string) string { return upload(id)[:crowdBody] }), true},
		{"small chunks", caller, send(func(id string) string {
			return crowdCall("POST", id) + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", crowdBody/slowRead)
		}), true},
		{"ready", func(h *host) string { return h.config.ReadyAddress }, unread, true},
		{"announce", func(h *host) string { return h.config.AnnounceAddress }, unread, true},
		{"metrics", func(h *host) string { return h.config.MetricsAddress }, unread, true},
		{"frames", func(h *host) string { return h.config.PeerAddress }, func(w io.Writer, _ string) error {
			_, err := w.Write(append(binary.BigEndian.AppendUint32(nil, crowdFrame), body...))

			return err
		}, true},
	}
}

// crowdCall returns the beginning of a call that may run more than once.
func crowdCall(method, id string) string {
	return fmt.Sprintf("%s /safe/%s HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: %s\r\n%s: %d\r\n",
		method, id, platform.Headers().Call, id, platform.Headers().Deadline, callTime.Milliseconds())
}

// shortFields returns header fields of a few bytes each, about size bytes in all.
func shortFields(size int) string {
	const letters = 26

	var b strings.Builder

	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%c%x:\r\n", 'a'+rune(i%letters), i/letters)
	}

	return b.String()
}

// crowdSeries has crowds come to hosts, in spans that overlap, until a moment.
func (r *run) crowdSeries(ctx context.Context, random *rand.Rand, end time.Time) {
	kinds := crowdKinds()

	for time.Now().Before(end) && ctx.Err() == nil {
		k, h := kinds[random.IntN(len(kinds))], r.hosts[random.IntN(len(r.hosts))]
		size, length := 1+random.IntN(maxCrowd), time.Duration(random.Int64N(int64(longestCrowd)))

		fmt.Fprintln(r.options.Log, time.Now().Format(clock), "crowd:", k.name, size, h.config.Node, length)
		r.report.fault("crowd of " + k.name)

		for range size {
			r.calling.Go(func() { r.joinCrowd(ctx, h, k, time.Now().Add(length)) })
		}

		idle.For(ctx, time.Duration(random.Int64N(int64(time.Second))))
	}
}

// joinCrowd is one client, which opens another connection when one ends.
func (r *run) joinCrowd(ctx context.Context, h *host, k crowdKind, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()

	r.report.Crowds.Clients.Add(1)

	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: callTime}
		if raw, err := dialer.DialContext(ctx, "tcp", k.address(h)); err == nil {
			r.report.Crowds.Connections.Add(1)
			crowdOut(ctx, raw, k)
		}

		idle.For(ctx, slowPause)
	}
}

// crowdOut sends on a connection and keeps it until it ends.
func crowdOut(ctx context.Context, raw net.Conn, k crowdKind) {
	defer func() { _ = raw.Close() }()

	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()

	if k.send(raw, fmt.Sprintf("x%d", lastID.Add(1))) != nil {
		return // the host may close the connection
	}

	for ctx.Err() == nil {
		idle.For(ctx, slowPause)

		if !k.reads {
			continue
		}

		if _, err := io.CopyN(io.Discard, raw, slowRead); err != nil {
			return
		}
	}
}
