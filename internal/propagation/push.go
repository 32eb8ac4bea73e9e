package propagation

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/peer"
)

// Push brings a version to a member: the delta if it is known to fit, or only
// the number, upon which the member pulls from Address if it is behind.
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

// PushAck tells which version the member holds now, and whether it refuses the
// one that was pushed.
type PushAck struct {
	Have    uint64 `msgpack:"Have"`
	Refused bool   `msgpack:"Refused,omitempty"`
}

// maxPush bounds a delta that is pushed unasked; a larger one is pulled, so that
// it comes from one source only.
const maxPush = 64 << 10

// Receive takes a push.
func (s *Spreader) Receive(ctx context.Context, in Push) (PushAck, error) {
	if s.options.Strategy == StrategyPoll {
		return PushAck{Have: in.Number}, nil
	}

	switch {
	case in.Delta == nil:
		s.ObserveVersion(ctx, in.Address, in.Number)
	case in.Delta.From == 0 || in.Delta.From == s.holder.Number():
		if s.take(*in.Delta, in.Address, false) != nil {
			s.ObserveVersion(ctx, in.Address, in.Number)
		}
	}

	return PushAck{Have: s.holder.Number(), Refused: s.isRefused(in.Number)}, nil
}

// link is the way to one member; one push is under way on it at a time.
type link struct {
	member Member
	acked  uint64
	busy   bool
}

// passOn pushes the version held to the members behind this one in the tree. A
// node that learned it from outside the tree pushes it to the top as well.
func (s *Spreader) passOn(outside bool) {
	if s.options.Strategy == StrategyPoll {
		return
	}

	order := Order(s.options.Domain, s.options.Members())
	self := index(order, s.options.ID)

	if s.options.Strategy == StrategyFullPush {
		if outside {
			s.feedAll(order, order, false)
		}

		return
	}

	s.feedAll(order, children(order, self, s.options.Fanout), false)

	if outside && self > 0 {
		s.feedAll(order, order[:1], true)
	}
}

func (s *Spreader) feedAll(order, members []Member, offer bool) {
	for _, m := range members {
		if m.ID != s.options.ID {
			s.feed(order, m, offer)
		}
	}
}

// feed starts to bring a member up to the version held. If a push to it is under
// way, that one goes on to the newest version by itself.
func (s *Spreader) feed(order []Member, m Member, offer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	l := s.links[m.ID]
	if l == nil || l.member != m {
		l = &link{member: m}
		s.links[m.ID] = l
	}

	if l.busy {
		return
	}

	l.busy = true

	go s.drive(order, l, offer)
}

func (s *Spreader) drive(order []Member, l *link, offer bool) {
	for {
		number := s.holder.Number()
		if !s.bring(l, number, offer) {
			// A member that does not answer would leave all behind it waiting for
			// gossip; who pushed to it takes its place.
			position := index(order, l.member.ID)
			s.feedAll(order, children(order, position, s.options.Fanout), false)
		}

		time.Sleep(s.options.Pace)

		s.mu.Lock()
		if s.holder.Number() == number {
			l.busy = false
			s.mu.Unlock()

			return
		}
		s.mu.Unlock()
	}
}

// bring pushes once, and once more if the member holds another version than was
// thought. It reports whether the member answered.
func (s *Spreader) bring(l *link, number uint64, offer bool) bool {
	base := l.acked
	if base == 0 {
		base = s.holder.Previous()
	}

	for range 2 {
		ack, err := s.push(l.member, base, offer)
		if err != nil {
			return false
		}

		l.acked = ack.Have
		if ack.Have >= number || ack.Refused || offer {
			return true
		}

		base = ack.Have
	}

	return true
}

func (s *Spreader) push(m Member, base uint64, offer bool) (PushAck, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.options.Timeout)
	defer cancel()

	p := Push{Address: s.options.Address, Number: s.holder.Number()}

	if d, err := s.delta(base); err == nil && !offer {
		p.Delta, p.Number = &d, d.Version.Number
		s.Pushes.Add(1)
	} else {
		s.Offers.Add(1)
	}

	var ack PushAck

	err := s.peers.Do(ctx, m.Address, peer.LaneControl, MethodPush, p, &ack)

	return ack, err
}

// delta returns what can be pushed unasked.
func (s *Spreader) delta(base uint64) (Delta, error) {
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

	if d = d.pack(); d.size() > maxPush {
		return Delta{}, ErrDelta
	}

	return d, nil
}
