package propagation

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/peer"
)

// Push sends a version to a member: the delta if it is known to fit, else only the
// number, and the member pulls from Address if it is behind.
type Push struct {
	Address string `msgpack:"Address"`
	Number  uint64 `msgpack:"Number"`
	Delta   *Delta `msgpack:"Delta,omitempty"`
}

// Check reports whether a decoded message can be used.
func (p *Push) Check() error {
	if p.Number == 0 || p.Delta != nil && p.Delta.Version.Number != p.Number {
		return ErrDelta.With("push of version %d", p.Number)
	}

	if p.Delta != nil {
		return p.Delta.Check()
	}

	return nil
}

// PushAck returns the member's active version number, and whether the member rejected
// the pushed version.
type PushAck struct {
	Have    uint64 `msgpack:"Have"`
	Refused bool   `msgpack:"Refused,omitempty"`
}

// maxPushBytes limits a pushed delta. A larger one is pulled, so that a member
// receives it from one source only.
const maxPushBytes = 64 << 10

// ServePush handles a push from a peer.
func (s *Propagator) ServePush(ctx context.Context, in Push) (PushAck, error) {
	if s.options.Strategy == StrategyPoll {
		return PushAck{Have: in.Number}, nil
	}

	switch {
	case in.Delta == nil:
		s.ObserveVersion(ctx, in.Address, in.Number)
	case in.Delta.From == 0 || in.Delta.From == s.holder.Number():
		if s.applyDelta(*in.Delta, in.Address, false) != nil {
			s.ObserveVersion(ctx, in.Address, in.Number)
		}
	}

	return PushAck{Have: s.holder.Number(), Refused: s.isRejected(in.Number)}, nil
}

// pushSession is the push state of one member, with at most one push in flight.
type pushSession struct {
	member  Member
	acked   uint64
	running bool
}

// propagate pushes the active version to the children of this node in the tree. If the
// version came from outside the tree, the node also announces it to the root.
func (s *Propagator) propagate(fromOutsideTree bool) {
	if s.options.Strategy == StrategyPoll {
		return
	}

	order := Order(s.options.Domain, s.options.Members())
	self := memberIndex(order, s.options.ID)

	if s.options.Strategy == StrategyFullPush {
		if fromOutsideTree {
			s.startPushes(order, order, false)
		}

		return
	}

	s.startPushes(order, children(order, self, s.options.Fanout), false)

	if fromOutsideTree && self > 0 {
		s.startPushes(order, order[:1], true)
	}
}

func (s *Propagator) startPushes(order, members []Member, numberOnly bool) {
	for _, m := range members {
		if m.ID != s.options.ID {
			s.startPush(order, m, numberOnly)
		}
	}
}

// startPush starts to push the active version to a member. If a push to the member is
// running, it continues with the newest version by itself.
func (s *Propagator) startPush(order []Member, m Member, numberOnly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	l := s.sessions[m.ID]
	if l == nil || l.member != m {
		l = &pushSession{member: m}
		s.sessions[m.ID] = l
	}

	if l.running {
		return
	}

	l.running = true

	go s.runPushes(order, l, numberOnly)
}

func (s *Propagator) runPushes(order []Member, l *pushSession, numberOnly bool) {
	for {
		number := s.holder.Number()
		if !s.pushWithRetry(l, number, numberOnly) {
			// The members below an unreachable one would have to wait for gossip, so
			// this node pushes to them in its place.
			position := memberIndex(order, l.member.ID)
			s.startPushes(order, children(order, position, s.options.Fanout), false)
		}

		time.Sleep(s.options.PushInterval)

		s.mu.Lock()
		if s.holder.Number() == number {
			l.running = false
			s.mu.Unlock()

			return
		}
		s.mu.Unlock()
	}
}

// pushWithRetry pushes once, and a second time if the member's version differs from
// the assumed one. It reports whether the member answered.
func (s *Propagator) pushWithRetry(l *pushSession, number uint64, numberOnly bool) bool {
	base := l.acked
	if base == 0 {
		base = s.holder.Previous()
	}

	for range 2 {
		ack, err := s.push(l.member, base, numberOnly)
		if err != nil {
			return false
		}

		l.acked = ack.Have
		if ack.Have >= number || ack.Refused || numberOnly {
			return true
		}

		base = ack.Have
	}

	return true
}

func (s *Propagator) push(m Member, base uint64, numberOnly bool) (PushAck, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.options.Timeout)
	defer cancel()

	p := Push{Address: s.options.Address, Number: s.holder.Number()}

	if d, err := s.pushableDelta(base); err == nil && !numberOnly {
		p.Delta, p.Number = &d, d.Version.Number
		s.Pushes.Add(1)
	} else {
		s.Offers.Add(1)
	}

	var ack PushAck

	err := s.peers.Do(ctx, m.Address, peer.LaneControl, MethodPush, p, &ack)

	return ack, err
}

// pushableDelta returns the delta from base if it is small enough to be pushed.
func (s *Propagator) pushableDelta(base uint64) (Delta, error) {
	if s.options.Strategy == StrategyFullPush {
		base = 0
	}

	d, err := s.holder.Delta(base, "")
	if err != nil {
		return Delta{}, err
	}

	if d.Rest != "" || d.From == 0 && s.options.Strategy != StrategyFullPush {
		return Delta{}, ErrDelta
	}

	if d = d.pack(); d.size() > maxPushBytes {
		return Delta{}, ErrDelta
	}

	return d, nil
}
