package propagation

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/pkg/settings"
)

// PullRequest requests the delta from the version Have, starting behind the path
// After, at which the previous piece ended.
type PullRequest struct {
	Have  uint64 `msgpack:"Have"`
	After string `msgpack:"After,omitempty"`
}

// source is a version number and the address of a node that announced it.
type source struct {
	number  uint64
	address string
}

// ServePull returns the delta to a peer that is behind.
//
// After a mass restart many nodes pull the whole tree at once. A few are served at a
// time and the rest get a retry delay; without the limit all pulls would be slow and
// time out together.
func (s *Propagator) ServePull(_ context.Context, in PullRequest) (Delta, error) {
	d, err := s.holder.Delta(in.Have, in.After)
	if err != nil {
		return Delta{}, err
	}

	if d.From == 0 {
		select {
		case s.serving <- struct{}{}:
			defer func() { <-s.serving }()
		default:
			return Delta{RetryMs: serveRetryPause.Milliseconds()}, nil
		}
	}

	return d.pack(), nil
}

// serveRetryPause is about the time in which MaxTreesServed whole trees are served.
const serveRetryPause = 100 * time.Millisecond

// Number is the active version number of a node.
type Number struct {
	Number uint64 `msgpack:"Number"`
}

// ServeNumber returns the active version number.
func (s *Propagator) ServeNumber(context.Context, struct{}) (Number, error) {
	return Number{Number: s.holder.Number()}, nil
}

// ObserveVersion starts a pull in the background if a peer has a newer version. It does not
// block.
func (s *Propagator) ObserveVersion(ctx context.Context, address string, number uint64) {
	if number <= s.holder.Number() || s.options.Strategy == StrategyPoll || s.isRejected(number) {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if number >= s.wanted.number {
		s.wanted = source{number, address}
	}

	if s.catchingUp {
		return
	}

	s.catchingUp = true

	go s.catchUp(membudget.Detach(ctx))
}

// catchUp pulls the wanted version, with one pull at a time for the whole node: every
// gossip message of a round carries the new number, and a pull for each would multiply
// the traffic.
func (s *Propagator) catchUp(ctx context.Context) {
	defer func() {
		s.mu.Lock()
		s.catchingUp = false
		s.mu.Unlock()
	}()

	// A push that is already in flight is cheaper than a pull.
	idle.For(ctx, jitter(s.options.MaxPullDelay))

	for attempt := range maxPullAttempts {
		s.mu.Lock()
		from := s.wanted
		s.mu.Unlock()

		if from.number <= s.holder.Number() || s.isRejected(from.number) {
			return
		}

		if s.pull(ctx, from.address) == nil {
			continue
		}

		idle.For(ctx, jitter(s.options.MaxPullDelay<<attempt))
		s.chooseOtherSource()
	}
}

// maxPullAttempts limits the attempts of one catchUp; the next gossip message starts
// another.
const maxPullAttempts = 4

// chooseOtherSource replaces a source that failed by a random other node.
func (s *Propagator) chooseOtherSource() {
	others := s.options.Others()
	if len(others) == 0 {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.wanted.address = others[rand.IntN(len(others))]
}

// pull brings this node to the version of a peer.
func (s *Propagator) pull(ctx context.Context, address string) error {
	d, err := s.pullDelta(ctx, address, s.holder.Number())
	if err != nil {
		return err
	}

	err = s.applyDelta(d, address, true)
	if err == nil || errors.Is(err, settings.ErrInvalid) || d.From == 0 {
		return err
	}

	// The delta does not fit the active version, such as when a platform restored from
	// an older copy reused its version number.
	if d, err = s.pullDelta(ctx, address, 0); err != nil {
		return err
	}

	return s.applyDelta(d, address, true)
}

// pullDelta requests all pieces of a delta and combines them. If the peer activates
// another version meanwhile, the pieces do not fit together and the pull starts again.
func (s *Propagator) pullDelta(ctx context.Context, address string, have uint64) (Delta, error) {
	all, err := s.pullPiece(ctx, address, PullRequest{Have: have})
	if err != nil {
		return Delta{}, err
	}

	for all.Rest != "" {
		d, err := s.pullPiece(ctx, address, PullRequest{Have: have, After: all.Rest})
		if err != nil {
			return Delta{}, err
		}

		if d.Version.Digest != all.Version.Digest || d.From != all.From {
			all, err = s.pullPiece(ctx, address, PullRequest{Have: have})
			if err != nil {
				return Delta{}, err
			}

			continue
		}

		for path, data := range d.Changed {
			all.Changed[path] = data
		}

		all.Removed = append(all.Removed, d.Removed...)
		all.Rest = d.Rest
	}

	return all, nil
}

// pullPiece requests one piece, and retries after the peer's delay while the peer is
// busy.
func (s *Propagator) pullPiece(ctx context.Context, address string, in PullRequest) (Delta, error) {
	for attempt := range maxPullAttempts {
		var d Delta

		s.Pulls.Add(1)

		err := s.do(ctx, address, MethodPull, in, &d)
		if err != nil || d.RetryMs == 0 {
			return d, err
		}

		idle.For(ctx, jitter(time.Duration(d.RetryMs)*time.Millisecond<<attempt))
	}

	return Delta{}, ErrDelta.With("%s is busy", address)
}

func (s *Propagator) do(ctx context.Context, address, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()

	return s.peers.Do(ctx, address, peer.LaneControl, method, in, out)
}
