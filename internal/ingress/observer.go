package ingress

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Reasons for which the work on a connection's calls ends.
var (
	ErrCallerLeft = errs.New("ingress.caller_left", http.StatusBadRequest, "the caller closed the connection")
	ErrNotRead    = errs.New("ingress.not_read", http.StatusRequestTimeout, "the caller does not read its answers")
	ErrClosed     = errs.New("ingress.closed", http.StatusServiceUnavailable, "this node closed the connection")
)

// Delivery is how the answer to a call went out.
type Delivery struct {
	Call   string
	Status int
	// Took is from the whole request to the answer, Held from there until now, Connected
	// the age of the connection.
	Took, Held, Connected time.Duration
	Err                   error
}

// Observer is told how answers were delivered.
type Observer interface {
	// Held is told of an answer that waited behind those to earlier calls.
	Held(d Delivery)
	// Undelivered is told of an answer that its caller did not get and waited for.
	Undelivered(d Delivery)
}

type unobserved struct{}

func (unobserved) Held(Delivery)        {}
func (unobserved) Undelivered(Delivery) {}

// Pending is a connection on which a caller waits for answers, or has just had its last.
type Pending struct {
	// Age of the connection, and how long ago its first call without an answer was taken.
	Age, Oldest time.Duration
	// Calls without an answer, and how many of them only wait for earlier ones.
	Calls, Ready int
	// Late says that the connection was made after Settle.
	Late bool
	// Sending says that an answer is being written, Ended that the last one was and the
	// caller has not closed yet.
	Sending, Ended bool
}

// String describes it for the log.
func (p Pending) String() string {
	const usual = 48

	b := make([]byte, 0, usual)
	b = append(b, "age "...)
	b = append(b, p.Age.Round(time.Millisecond).String()...)

	switch {
	case p.Sending && p.Calls == 0:
		return string(append(b, " answer being written"...))
	case p.Ended:
		return string(append(b, " last answer sent"...))
	}

	b = append(b, " calls "...)
	b = strconv.AppendInt(b, int64(p.Calls), 10)
	b = append(b, " oldest "...)
	b = append(b, p.Oldest.Round(time.Millisecond).String()...)
	b = append(b, " ready "...)

	return string(strconv.AppendInt(b, int64(p.Ready), 10))
}

// Pending returns the connections that a stop has to wait for, the oldest first.
func (s *Server) Pending() []Pending {
	s.mu.Lock()
	defer s.mu.Unlock()

	var out []Pending

	for c := range s.conns {
		if p, ok := c.pendingNow(time.Now()); ok {
			out = append(out, p)
		}
	}

	slices.SortFunc(out, func(a, b Pending) int { return int(b.Age - a.Age) })

	return out
}

func (c *conn) pendingNow(now time.Time) (Pending, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	p := Pending{Age: now.Sub(c.made), Calls: len(c.pending), Sending: c.sending, Ended: c.ended, Late: c.late}

	if len(c.pending) == 0 {
		return p, c.ended || c.sending
	}

	p.Oldest = now.Sub(c.pending[0].taken)

	for _, e := range c.pending {
		if idle.Closed(e.done) {
			p.Ready++
		}
	}

	return p, true
}
