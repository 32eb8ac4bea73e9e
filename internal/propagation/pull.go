package propagation

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/pkg/settings"
)

// PullRequest asks a peer for what leads up from the version held, after the
// path at which the piece before ended.
type PullRequest struct {
	Have  uint64 `msgpack:"Have"`
	After string `msgpack:"After,omitempty"`
}

// source is a version number and who is said to hold it.
type source struct {
	number  uint64
	address string
}

// Serve answers a peer that is behind.
//
// After a herd of restarts many nodes want the whole tree at once. A few are
// served at a time and the rest told when to come back; without the bound all
// would be slow together, and time out together.
func (s *Spreader) Serve(_ context.Context, in PullRequest) (Delta, error) {
	d, err := s.holder.Delta(in.Have, in.After)
	if err != nil {
		return Delta{}, err
	}

	if d.From == 0 {
		select {
		case s.serving <- struct{}{}:
			defer func() { <-s.serving }()
		default:
			return Delta{RetryMs: comeBack.Milliseconds()}, nil
		}
	}

	return d.pack(), nil
}

// comeBack is about how long a few whole trees take to be served.
const comeBack = 100 * time.Millisecond

// Number is the version that a node holds.
type Number struct {
	Number uint64 `msgpack:"Number"`
}

// Tell answers which version is held here.
func (s *Spreader) Tell(context.Context, struct{}) (Number, error) {
	return Number{Number: s.holder.Number()}, nil
}

// ObserveVersion is called when a peer says which version it holds. It does not wait.
func (s *Spreader) ObserveVersion(ctx context.Context, address string, number uint64) {
	if number <= s.holder.Number() || s.options.Strategy == StrategyPoll || s.isRefused(number) {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if number >= s.wanted.number {
		s.wanted = source{number, address}
	}

	if s.filling {
		return
	}

	s.filling = true

	go s.fill(context.WithoutCancel(ctx))
}

// fill pulls what was heard of, one pull at a time for the whole node: every
// gossip message of a round names the new version, and a pull for each would
// multiply the bytes.
func (s *Spreader) fill(ctx context.Context) {
	defer func() {
		s.mu.Lock()
		s.filling = false
		s.mu.Unlock()
	}()

	// The push that is on its way is cheaper than a pull.
	idle.For(ctx, jitter(s.options.Wait))

	for tries := range maxTries {
		s.mu.Lock()
		from := s.wanted
		s.mu.Unlock()

		if from.number <= s.holder.Number() || s.isRefused(from.number) {
			return
		}

		if s.pull(ctx, from.address) == nil {
			continue
		}

		idle.For(ctx, jitter(s.options.Wait<<tries))
		s.tryOther()
	}
}

// maxTries bounds one fill; the next gossip message starts another.
const maxTries = 4

// tryOther takes any other node in place of one that did not help.
func (s *Spreader) tryOther() {
	others := s.options.Others()
	if len(others) == 0 {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.wanted.address = others[rand.IntN(len(others))]
}

// pull brings the node up to what a peer holds.
func (s *Spreader) pull(ctx context.Context, address string) error {
	d, err := s.collect(ctx, address, s.holder.Number())
	if err != nil {
		return err
	}

	err = s.take(d, address, true)
	if err == nil || errors.Is(err, settings.ErrInvalid) || d.From == 0 {
		return err
	}

	// The delta does not fit what is held here, such as when a version with the
	// same number came from a platform with an older copy.
	if d, err = s.collect(ctx, address, 0); err != nil {
		return err
	}

	return s.take(d, address, true)
}

// collect asks for the pieces of a delta and puts them together. If the peer
// moves on to another version meanwhile, the pieces do not belong together and
// the pull starts again.
func (s *Spreader) collect(ctx context.Context, address string, have uint64) (Delta, error) {
	all, err := s.piece(ctx, address, PullRequest{Have: have})
	if err != nil {
		return Delta{}, err
	}

	for all.Rest != "" {
		d, err := s.piece(ctx, address, PullRequest{Have: have, After: all.Rest})
		if err != nil {
			return Delta{}, err
		}

		if d.Version.Digest != all.Version.Digest || d.From != all.From {
			all, err = s.piece(ctx, address, PullRequest{Have: have})
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

// piece asks for one piece, and comes back as told while the peer is busy.
func (s *Spreader) piece(ctx context.Context, address string, in PullRequest) (Delta, error) {
	for tries := range maxTries {
		var d Delta

		s.Pulls.Add(1)

		err := s.do(ctx, address, MethodPull, in, &d)
		if err != nil || d.RetryMs == 0 {
			return d, err
		}

		idle.For(ctx, jitter(time.Duration(d.RetryMs)*time.Millisecond<<tries))
	}

	return Delta{}, ErrDelta.With("%s is busy", address)
}

func (s *Spreader) do(ctx context.Context, address, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()

	return s.peers.Do(ctx, address, peer.LaneControl, method, in, out)
}
