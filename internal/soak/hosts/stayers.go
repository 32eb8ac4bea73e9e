package hosts

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/platform"
)

// stayed is a call of a caller that stays with its host until the process is gone, as it
// saw it.
type stayed struct {
	id      string
	upload  bool
	host    *host
	at, end time.Time
	limit   time.Duration
	status  int // 0 without an answer
	// dropped says that the caller itself closed the connection, since an earlier call's
	// time was over.
	dropped bool
	ahead   int // calls of the connection without an answer when it was sent
}

// connection is one of a caller that stays. It reads answers itself, so that its end is
// told apart, and never sends a call again.
type connection struct {
	run  *run
	host *host
	raw  net.Conn
	in   *bufio.Reader

	mu      sync.Mutex
	waiting []*stayed // in the order in which they were sent
	over    bool      // no call can be sent any more
}

const (
	// stayAway is the pause before a caller connects to its host again.
	stayAway = 20 * time.Millisecond
	// aloneEvery is the mean pause between calls on connections of their own.
	aloneEvery = 100 * time.Millisecond
	// longestIdle is how long a kept connection carries nothing.
	longestIdle = 3 * time.Second
	// shortest is by how much the time limits of calls are below callTime at the most.
	shortest = 4
	// keepers are how many connections are kept idle at each host.
	keepers = 2
)

// stay keeps calls coming at a host, whatever happens to its process.
func (r *run) stay(ctx context.Context, h *host) {
	var callers sync.WaitGroup
	defer callers.Wait()

	callers.Go(func() { r.reconnect(ctx, h, (*connection).ahead) })

	for range keepers {
		callers.Go(func() { r.reconnect(ctx, h, (*connection).keep) })
	}

	for ctx.Err() == nil {
		callers.Go(func() {
			if c := r.connect(ctx, h); c != nil {
				c.once(rand.IntN(uploadOneIn) == 0)
				c.close()
			}
		})
		time.Sleep(aloneEvery/2 + rand.N(aloneEvery))
	}
}

// reconnect uses one connection after the other.
func (r *run) reconnect(ctx context.Context, h *host, use func(*connection, context.Context)) {
	for ctx.Err() == nil {
		if c := r.connect(ctx, h); c != nil {
			use(c, ctx)
			c.close()
		}

		time.Sleep(stayAway)
	}
}

func (r *run) connect(ctx context.Context, h *host) *connection {
	dialer := net.Dialer{Timeout: callTime}

	raw, err := dialer.DialContext(ctx, "tcp", h.config.CallerAddress)
	if err != nil {
		return nil // refused before anything was sent
	}

	return &connection{run: r, host: h, raw: raw, in: bufio.NewReader(raw)}
}

// ahead sends the next call before the last one is answered. Only what may be repeated is
// sent so.
func (c *connection) ahead(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()

	work := c.run.options.work()

	sending.Go(func() {
		for ctx.Err() == nil && c.send(false) {
			time.Sleep(work/2 + rand.N(work/2))
		}

		c.finish()
	})

	for c.read() {
	}
}

// keep sends single calls with long pauses.
func (c *connection) keep(ctx context.Context) {
	for ctx.Err() == nil && c.once(rand.IntN(uploadOneIn) == 0) {
		time.Sleep(rand.N(longestIdle))
	}
}

// once sends a call, and reports whether its answer leaves the connection open.
func (c *connection) once(upload bool) bool { return c.send(upload) && c.read() }

// finish sends nothing more.
func (c *connection) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.over = true
}

// send reports false if the connection takes no more calls.
func (c *connection) send(upload bool) bool {
	id := fmt.Sprintf("s%d", lastID.Add(1))
	names := platform.Headers()
	limit := (callTime / time.Duration(1+rand.IntN(shortest))).Truncate(time.Millisecond) // as the header has it
	head := fmt.Sprintf("Host: 127.0.0.1\r\n%s: %s\r\n%s: %d\r\n", names.Call, id, names.Deadline, limit.Milliseconds())
	text := "GET /safe/" + id + " HTTP/1.1\r\n" + head + "\r\n"

	if upload {
		text = fmt.Sprintf("POST /once/%s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", id, head, len(id), id)

		c.run.report.upload(id)
	}

	if c.run.options.Signals {
		c.run.signals.send(id, c.host)
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.over {
		return false
	}

	c.waiting = append(c.waiting, &stayed{id: id, upload: upload, host: c.host, at: time.Now(), limit: limit, ahead: len(c.waiting)})
	_, err := io.WriteString(c.raw, text)
	c.over = err != nil

	return true // what became of a call that can't be written is found by reading
}

// read reads the next answer, and reports whether another one may follow.
func (c *connection) read() bool {
	if err := c.raw.SetReadDeadline(time.Now().Add(callTime + late)); err != nil {
		return c.end(err)
	}

	r, err := http.ReadResponse(c.in, nil) //nolint:bodyclose // read to its end below; the connection is ours
	if err != nil {
		return c.end(err)
	}

	body, err := io.ReadAll(r.Body)
	if err != nil {
		return c.end(err)
	}

	c.mu.Lock()

	if len(c.waiting) == 0 {
		c.mu.Unlock()
		c.run.report.broken("%s: an answer with status %d came to no call", c.host.config.Node, r.StatusCode)

		return c.end(io.EOF)
	}

	s := c.waiting[0]
	c.waiting = c.waiting[1:]
	none := c.over && len(c.waiting) == 0
	c.mu.Unlock()

	s.status = r.StatusCode

	if c.run.options.Signals {
		c.run.signals.answered(c.host, r.Header)
	}

	c.run.report.compare(s, r, string(body))
	c.run.report.stayed(s)

	if !r.Close {
		return !none
	}

	if _, err := c.in.Peek(1); err == nil {
		c.run.report.broken("%s: something comes behind the last answer, that to call %s", c.host.config.Node, s.id)
	}

	return c.end(io.EOF)
}

// end notes the calls that got no answer.
func (c *connection) end(why error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.over = true

	var network net.Error

	timeout := errors.As(why, &network) && network.Timeout()

	if !errors.Is(why, io.EOF) && !errors.Is(why, io.ErrUnexpectedEOF) && network == nil {
		c.run.report.broken("%s: not an answer: %v", c.host.config.Node, why)
	}

	for i, s := range c.waiting {
		s.dropped = timeout && i > 0
		c.run.report.stayed(s)
	}

	c.waiting = nil

	return false
}

func (c *connection) close() {
	c.finish()

	_ = c.raw.Close() // the other side may have closed it
}

// compare checks that an answer is that to its call.
func (r *Report) compare(s *stayed, answer *http.Response, body string) {
	path, want := "/safe/", ""
	if s.upload {
		path, want = "/once/", s.id
	}

	r.checkAnswer(s.id, s.upload, answer.StatusCode, answer.Header, body)

	if id := answer.Header.Get(platform.Headers().Call); id != "" && id != s.id {
		r.broken("call %s got the answer to %s", s.id, id)
	}

	if answer.StatusCode == http.StatusOK && body != path+s.id+" "+want {
		r.broken("call %s got the answer %.60q", s.id, body)
	}
}
