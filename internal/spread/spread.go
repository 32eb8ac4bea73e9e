package spread

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
)

// MethodPull is the peer method that answers a PullRequest.
const MethodPull = "Settings.Pull"

// Caller sends a message to a peer.
type Caller interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Spreader keeps the holder up to date.
type Spreader struct {
	holder   *Holder
	acceptor *acceptance.Acceptor
	store    platform.Store
	peers    Caller
	recorder *timeline.Recorder
	options  Options
}

// New returns a spreader.
func New(
	h *Holder, a *acceptance.Acceptor, s platform.Store, c Caller, r *timeline.Recorder, opts ...Option,
) *Spreader {
	return &Spreader{holder: h, acceptor: a, store: s, peers: c, recorder: r, options: newOptions(opts...)}
}

// Serve answers a peer that is behind.
func (s *Spreader) Serve(_ context.Context, in PullRequest) (Delta, error) {
	snapshot := s.holder.Load()
	if snapshot == nil || snapshot.Version().Number <= in.Have {
		return Delta{}, ErrNoVersion
	}

	return Whole(snapshot), nil
}

// Hear is called when a peer says which version it holds.
func (s *Spreader) Hear(ctx context.Context, address string, number uint64) {
	if number <= s.holder.Number() {
		return
	}

	var d Delta
	if err := s.peers.Do(ctx, address, peer.LaneControl, MethodPull, PullRequest{Have: s.holder.Number()}, &d); err != nil {
		return
	}

	snapshot, err := Apply(s.holder.Load(), d)
	if err != nil {
		s.recorder.Record(event.VersionRefused, timeline.Entry{Version: number, Peer: address, Detail: err.Error()})

		return
	}

	s.holder.Offer(snapshot)
}

// Watch follows the platform's head while this node is one of the watchers of
// its failure domain. It returns when ctx ends.
func (s *Spreader) Watch(ctx context.Context) {
	up := true

	for ctx.Err() == nil {
		if !s.options.Watching() {
			sleep(ctx, s.options.Retry)

			continue
		}

		err := s.follow(ctx)
		if ctx.Err() != nil {
			return
		}

		if err != nil && up {
			s.recorder.Record(event.PlatformLost, timeline.Entry{Detail: err.Error()})
		}

		if err == nil && !up {
			s.recorder.Record(event.PlatformBack, timeline.Entry{})
		}

		up = err == nil

		sleep(ctx, s.options.Retry)
	}
}

func (s *Spreader) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	changes, err := s.store.Watch(ctx, acceptance.HeadKey, 0)
	if err != nil {
		return err
	}

	for e := range changes {
		if err := s.take(ctx, e.Value); err != nil {
			return err
		}
	}

	return nil
}

func (s *Spreader) take(ctx context.Context, data []byte) error {
	head, err := acceptance.DecodeHead(data)
	if err != nil {
		return err
	}

	if head.Version.Number <= s.holder.Number() {
		return nil
	}

	snapshot, err := s.acceptor.Snapshot(ctx, head.Version, s.holder.Load())
	if err != nil {
		s.recorder.Record(event.VersionRefused, timeline.Entry{Version: head.Version.Number, Detail: err.Error()})

		return err
	}

	s.holder.Offer(snapshot)

	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
