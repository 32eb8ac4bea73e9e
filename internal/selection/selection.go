// Package selection decides at the entry which gate a call goes to.
//
// It answers uneven load: of two candidates taken at random the one with less
// work wins. Without the second choice random peaks queue up on one backend
// server while others idle; with a choice among all, every entry runs after the
// one that looked empty a moment ago.
//
//	s := selection.New()
//	c, ok := s.Pick(candidates)
//	done := s.Start(c.ID)
//	defer done(load)
package selection

import (
	"math/rand/v2"
	"sync"

	"github.com/pollencart/pollencart/internal/call"
)

// Candidate is a gate that a call could go to.
type Candidate struct {
	ID            string
	Address       string
	FailureDomain string
	Slots         int
}

// Selector picks gates by what this node has seen of them.
type Selector struct {
	mu    sync.Mutex
	gates map[string]*gate
}

type gate struct {
	inFlight int
	load     call.Load
}

// New returns a selector that has seen nothing.
func New() *Selector { return &Selector{gates: map[string]*gate{}} }

// Pick returns one of the candidates, or false if there is none.
func (s *Selector) Pick(candidates []Candidate) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}

	a := candidates[rand.IntN(len(candidates))]
	b := candidates[rand.IntN(len(candidates))]

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.cost(b) < s.cost(a) {
		return b, true
	}

	return a, true
}

func (s *Selector) cost(c Candidate) float64 {
	g := s.gates[c.ID]
	if g == nil {
		return 0
	}

	return float64(g.inFlight+g.load.Queued) / float64(max(c.Slots, 1))
}

// Start notes a call to the gate; the returned function notes its end.
func (s *Selector) Start(id string) func(call.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()

	g := s.gates[id]
	if g == nil {
		g = &gate{}
		s.gates[id] = g
	}

	g.inFlight++

	return func(l call.Load) {
		s.mu.Lock()
		defer s.mu.Unlock()

		g.inFlight--
		g.load = l
	}
}
