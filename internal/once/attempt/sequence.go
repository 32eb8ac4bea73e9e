package attempt

import (
	"sync"

	"github.com/pollencart/pollencart/internal/call"
)

// Sequence numbers the attempts of one owner process.
type Sequence struct {
	home string

	mu         sync.Mutex
	last       uint64
	open       map[uint64]struct{}
	lowestOpen uint64
}

// NewSequence returns the sequence of the owner process that home identifies uniquely.
func NewSequence(home string) *Sequence {
	return &Sequence{home: home, open: map[uint64]struct{}{}, lowestOpen: 1}
}

// Next returns the ticket of a new attempt.
func (s *Sequence) Next(epoch string) call.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.last++
	s.open[s.last] = struct{}{}

	return call.Ticket{Home: s.home, Number: s.last, Low: s.lowestOpen, Epoch: epoch}
}

// End marks an attempt as finished, so that gates can drop its state.
func (s *Sequence) End(t call.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.open, t.Number)

	for s.lowestOpen <= s.last {
		if _, open := s.open[s.lowestOpen]; open {
			return
		}

		s.lowestOpen++
	}
}

// Run tracks the attempts of one key. It allows the next attempt only if all earlier ones certainly
// did not run.
type Run struct {
	mu        sync.Mutex
	inFlight  bool
	ambiguous bool
	finished  bool
}

// Begin reports whether an attempt may start, and marks it as in flight.
func (r *Run) Begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.inFlight || r.ambiguous || r.finished {
		return false
	}

	r.inFlight = true

	return true
}

// End records whether the attempt in flight ran.
func (r *Run) End(ran call.Ran) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.inFlight = false
	r.ambiguous = r.ambiguous || ran != call.RanNo
}

// Finish prevents further attempts and reports whether any may have run.
func (r *Run) Finish() (mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.finished = true

	return r.inFlight || r.ambiguous
}
