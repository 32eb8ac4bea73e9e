package poison

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// tellTime bounds how long the callers of a crashed backend server wait until
	// the other gates are warned.
	tellTime = 250 * time.Millisecond
	// tellAtOnce is how many gates are told at the same time.
	tellAtOnce = 64
	// tellAgain is the pause before a gate that was not reached is told again. A caller
	// presses the button again after some tenths of a second, so that a gate that is
	// back knows before.
	tellAgain = 100 * time.Millisecond
	// lookAgain is how often a gate that has something to tell looks for gates that
	// came since.
	lookAgain = 250 * time.Millisecond
)

// told is which of the other gates know what this one saw.
type told struct {
	mu   sync.Mutex
	acks map[string]ack // by node
}

// ack is up to which revision one life of a gate knows.
type ack struct {
	incarnation uint64
	revision    uint64
	missed      time.Time // since when it could not be told, or zero
}

// of returns what is known of a gate; one that was started again knows nothing.
func (t *told) of(m membership.Record) ack {
	t.mu.Lock()
	defer t.mu.Unlock()

	a := t.acks[m.ID]
	if a.incarnation != m.Incarnation {
		return ack{incarnation: m.Incarnation}
	}

	return a
}

// note keeps that a gate was told, or could not be told.
func (t *told) note(m membership.Record, revision uint64, err error) (before ack) {
	t.mu.Lock()
	defer t.mu.Unlock()

	a := t.acks[m.ID]
	if a.incarnation != m.Incarnation {
		a = ack{incarnation: m.Incarnation}
	}

	before = a

	switch {
	case err == nil:
		a.revision, a.missed = max(a.revision, revision), time.Time{}
	case a.missed.IsZero():
		a.missed = time.Now()
	}

	t.acks[m.ID] = a

	return before
}

// others returns the other gates of a service that the filter takes, also those whose
// backend server is away: it may be back before the repeat comes.
func (w *Watch) others(service string, takes func(membership.Record) bool) []membership.Record {
	var out []membership.Record

	for _, m := range w.members.OfService(service) {
		if m.ID != w.self.Node && takes(m) {
			out = append(out, m)
		}
	}

	return out
}

func live(m membership.Record) bool { return m.Live() }

func anyState(m membership.Record) bool { return m.State != membership.StateLeft }

// warn tells the gates that are thought to run before the caller has its answer, so
// that its repeat can't be faster than the warning.
func (w *Watch) warn(ctx context.Context, service string) {
	w.tell(context.WithoutCancel(ctx), w.others(service, live))
}

// tell tells gates what this one saw and they don't know yet, and reports whether
// all of them know now. A suspect that finished at one of them since the crashed call
// began is cleared.
func (w *Watch) tell(ctx context.Context, gates []membership.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()

	var (
		g      errgroup.Group
		missed atomic.Bool
	)

	g.SetLimit(tellAtOnce)

	for _, m := range gates {
		g.Go(func() error {
			if err := w.tellOne(ctx, m); err != nil {
				missed.Store(true) // told again by Run
			}

			return nil
		})
	}

	_ = g.Wait() // no error is returned above

	return !missed.Load()
}

func (w *Watch) tellOne(ctx context.Context, m membership.Record) error {
	reports, revision := w.table.Since(w.told.of(m).revision)
	if len(reports) == 0 {
		return nil
	}

	var out Heard

	err := w.peers.Do(ctx, m.PeerAddress, peer.LaneControl, MethodTell, News{Reports: reports}, &out)
	before := w.told.note(m, revision, err)

	switch {
	case err != nil && before.missed.IsZero():
		w.recorder.Record(event.PoisonUntold, timeline.Entry{Peer: m.ID, Detail: m.State.String() + ": " + err.Error()})
	case err == nil && !before.missed.IsZero():
		w.recorder.Record(event.PoisonTold, timeline.Entry{
			Peer: m.ID, Detail: "after " + time.Since(before.missed).Round(time.Millisecond).String(),
		})
	}

	w.table.Merge(out.Known)

	for _, s := range out.Finished {
		w.table.Finished(s)
	}

	return err
}

// nudge has Run look at once whom to tell.
func (w *Watch) nudge(service string) {
	w.mu.Lock()
	w.service = service
	w.mu.Unlock()

	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run tells gates what they missed, and asks for what was missed here, until ctx ends.
//
// What goes wrong without it: a gate that was frozen, cut off or slow for a quarter of
// a second while others were warned stays without the warning for as long as the
// suspicion lasts, and the next repeat that reaches it ends a third backend server.
func (w *Watch) Run(ctx context.Context) {
	var again <-chan time.Time // nil is never ready

	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-again:
		}

		again = nil
		if pause := w.even(ctx); pause > 0 {
			again = time.After(pause)
		}
	}
}

// even tells and asks once, and returns when to do so again, 0 if there is nothing to
// tell and nobody to ask.
func (w *Watch) even(ctx context.Context) time.Duration {
	w.mu.Lock()
	service := w.service
	w.mu.Unlock()

	asked := !w.asking.failed.Load() || w.ask(ctx, service)
	all := w.tell(ctx, w.others(service, anyState))
	reports, _ := w.table.Since(0)

	switch {
	case !asked || !all:
		return tellAgain
	case len(reports) > 0:
		return lookAgain
	}

	return 0
}
