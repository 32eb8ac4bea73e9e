package poison

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
)

// tell warns the other gates of the service before the caller has its answer,
// so that its repeat can't be faster than the warning. It reports whether one of
// them finished the request since the crashed call began.
func (w *Watch) tell(ctx context.Context, service string, r Report) (finished bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTime)
	defer cancel()

	var (
		g     errgroup.Group
		found atomic.Bool
	)

	g.SetLimit(tellAtOnce)

	for _, m := range w.gates(service) {
		g.Go(func() error {
			var out Done

			err := w.peers.Do(ctx, m.PeerAddress, peer.LaneControl, MethodReport, r, &out)
			if err == nil && out.Granted {
				found.Store(true)
			}

			return err
		})
	}

	_ = g.Wait() // a gate that is cut off is not warned; it pulls when it starts afresh

	return found.Load()
}

// gates returns the other gates of a service, also those whose backend server is
// away or that are only suspected: they may be back before the repeat comes.
func (w *Watch) gates(service string) []membership.Record {
	var out []membership.Record

	for _, m := range w.members.Live() {
		if m.Upstream.Service == service && m.ID != w.self.Node {
			out = append(out, m)
		}
	}

	return out
}

const (
	// pullFrom is how many gates are asked; one alone may have missed a warning too.
	pullFrom = 3
	// pullAgain bounds how often they are asked when none answers.
	pullAgain = time.Second
)

// pull asks gates of the service for what they know. A gate that starts afresh
// would let a refused request through.
func (w *Watch) pull(ctx context.Context, service string) {
	if !w.mayPull() {
		return
	}

	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTime)
	defer cancel()

	var g errgroup.Group

	gates := w.gates(service)
	for _, m := range gates[:min(pullFrom, len(gates))] {
		g.Go(func() error {
			var reports []Report
			if err := w.peers.Do(ctx, m.PeerAddress, peer.LaneControl, MethodPull, Done{}, &reports); err != nil {
				return err
			}

			w.table.Merge(reports)
			w.stale.Store(false)

			return nil
		})
	}

	_ = g.Wait()
}

func (w *Watch) mayPull() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if time.Since(w.asked) < pullAgain {
		return false
	}

	w.asked = time.Now()

	return true
}

// take asks the gate that saw the first crash for permission. Without an answer the
// call runs: that gate's host may be gone for good, and one caller's repeats,
// one after the other, are bounded without it.
func (w *Watch) take(ctx context.Context, c Crash, d Digest) bool {
	if c.Gate == w.self.Life {
		return w.permits.Take(ctx, d)
	}

	var out Done

	err := w.peers.Do(ctx, c.Address, peer.LaneControl, MethodTake, Permit{Gate: c.Gate, Digest: d}, &out)

	return (err != nil && ctx.Err() == nil) || out.Granted
}

func (w *Watch) give(ctx context.Context, c Crash, d Digest) {
	if c.Gate == w.self.Life {
		w.permits.Give(d)

		return
	}

	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTime)
	defer cancel()

	var out Done

	_ = w.peers.Do(ctx, c.Address, peer.LaneControl, MethodGive, Permit{Gate: c.Gate, Digest: d}, &out)
}
