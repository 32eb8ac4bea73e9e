package ingress

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Causes with which the contexts of a connection's calls are canceled.
var (
	ErrCallerDisconnected = errs.New("ingress.caller_left", http.StatusBadRequest, "the caller closed the connection")
	ErrNotRead            = errs.New("ingress.not_read", http.StatusRequestTimeout, "the caller does not read its answers")
	ErrEvicted            = errs.New("ingress.evicted", http.StatusRequestTimeout, "others need the memory that this caller holds")
	ErrClosed             = errs.New("ingress.closed", http.StatusServiceUnavailable, "this node closed the connection")
)

// Delivery describes how the answer to a call was delivered.
type Delivery struct {
	Call   string
	Status int
	// Took is from the receipt of the whole request until the answer was available, Held from
	// then until now, and Connected is the age of the connection.
	Took, Held, Connected time.Duration
	Err                   error
}

// Observer is notified of answers that were delayed or not delivered.
type Observer interface {
	// Held reports an answer that waited behind the answers to earlier calls.
	Held(d Delivery)
	// Undelivered reports an answer that was not delivered to a caller that waited for it.
	Undelivered(d Delivery)
}

type noopObserver struct{}

func (noopObserver) Held(Delivery)        {}
func (noopObserver) Undelivered(Delivery) {}

// Pending is a connection with unanswered calls, or one that was not closed yet after its
// last answer.
type Pending struct {
	// Age is that of the connection, Oldest that of its first unanswered call.
	Age, Oldest time.Duration
	// Calls counts the unanswered calls, Ready those of them whose response only waits for
	// earlier ones.
	Calls, Ready int
	// Late is set if the connection was accepted after Busy stopped counting new ones.
	Late bool
	// Sending is set while an answer is being written, Ended from the start of the last answer
	// until the connection is closed.
	Sending, Ended bool
}

// String describes the connection for logs.
func (p Pending) String() string {
	const usualLen = 48

	b := make([]byte, 0, usualLen)
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

// Pending returns the connections that a graceful shutdown has to wait for, oldest first.
func (s *Server) Pending() []Pending {
	s.mu.Lock()
	defer s.mu.Unlock()

	var out []Pending

	for c := range s.conns {
		if p, ok := c.pendingAt(time.Now()); ok {
			out = append(out, p)
		}
	}

	slices.SortFunc(out, func(a, b Pending) int { return int(b.Age - a.Age) })

	return out
}

func (c *conn) pendingAt(now time.Time) (Pending, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	p := Pending{Age: now.Sub(c.connectedAt), Calls: len(c.pending), Sending: c.writing, Ended: c.ended, Late: c.excluded}

	if len(c.pending) == 0 {
		return p, c.ended || c.writing
	}

	p.Oldest = now.Sub(c.pending[0].acceptedAt)

	for _, e := range c.pending {
		if idle.Closed(e.done) {
			p.Ready++
		}
	}

	return p, true
}
