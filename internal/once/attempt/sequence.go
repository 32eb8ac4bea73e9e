package attempt

import (
	"sync"

	"github.com/pollencart/pollencart/internal/call"
)

// Sequence numbers the attempts of one home.
type Sequence struct {
	home string

	mu   sync.Mutex
	last uint64
	open map[uint64]struct{}
	low  uint64
}

// NewSequence returns the sequence of a home's life.
func NewSequence(home string) *Sequence {
	return &Sequence{home: home, open: map[uint64]struct{}{}, low: 1}
}

// Next returns the ticket of a new attempt.
func (s *Sequence) Next(epoch string) call.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.last++
	s.open[s.last] = struct{}{}

	return call.Ticket{Home: s.home, Number: s.last, Low: s.low, Epoch: epoch}
}

// End notes that the fate of an attempt no longer matters to the home.
func (s *Sequence) End(t call.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.open, t.Number)

	for s.low <= s.last {
		if _, open := s.open[s.low]; open {
			return
		}

		s.low++
	}
}

// Run is what became of the attempts of one key. It lets the next one out only
// if all before surely did not run.
type Run struct {
	mu       sync.Mutex
	out      bool
	unknown  bool
	finished bool
}

// Begin allows an attempt, or reports that there must be none.
func (r *Run) Begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.out || r.unknown || r.finished {
		return false
	}

	r.out = true

	return true
}

// End notes what became of the attempt.
func (r *Run) End(ran call.Ran) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.out = false
	r.unknown = r.unknown || ran != call.RanNo
}

// Finish allows no attempt from now on and reports whether any may have run.
func (r *Run) Finish() (mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.finished = true

	return r.out || r.unknown
}
