package poison

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// notifyTimeout bounds how long the callers of a crashed backend server wait until
	// the other gates are notified.
	notifyTimeout = 250 * time.Millisecond
	// notifyConcurrency is how many gates are notified at the same time.
	notifyConcurrency = 64
	// notifyRetryInterval is the pause before unreachable gates are notified again. A
	// user retries by hand after some tenths of a second, so a gate that is reachable
	// again must know before that.
	notifyRetryInterval = 100 * time.Millisecond
	// reconcileInterval is how often a gate with something to report looks for gates that
	// have joined since.
	reconcileInterval = 250 * time.Millisecond
)

// notified tracks which reports of this gate the other gates have received.
type notified struct {
	mu   sync.Mutex
	acks map[string]ack // by node
}

// ack is the revision up to which one incarnation of a gate is notified.
type ack struct {
	incarnation uint64
	revision    uint64
	failedSince time.Time // start of the current failure to notify the gate, or zero
	// running are the suspects that still ran there when it was notified last.
	running map[Digest]bool
}

// ackOf returns what a gate has received; one that has restarted has received nothing.
func (t *notified) ackOf(m membership.Record) ack {
	t.mu.Lock()
	defer t.mu.Unlock()

	a := t.acks[m.ID]
	if a.incarnation != m.Incarnation {
		return ack{incarnation: m.Incarnation}
	}

	return a
}

// record stores the result of notifying a gate of suspects and returns the state before.
func (t *notified) record(m membership.Record, revision uint64, reports []Report, running []Suspect, err error) (before ack) {
	t.mu.Lock()
	defer t.mu.Unlock()

	a := t.acks[m.ID]
	if a.incarnation != m.Incarnation {
		a = ack{incarnation: m.Incarnation}
	}

	before = a

	switch {
	case err == nil && revision >= a.revision: // else a later notification was replied to first
		a.revision, a.failedSince, a.running = revision, time.Time{}, runningAfter(a.running, reports, running)
	case err != nil && a.failedSince.IsZero():
		a.failedSince = time.Now()
	}

	t.acks[m.ID] = a

	return before
}

// runningAfter returns the suspects that run at a gate after it replied to reports.
func runningAfter(before map[Digest]bool, reports []Report, running []Suspect) map[Digest]bool {
	if len(before) == 0 && len(running) == 0 {
		return nil
	}

	out := maps.Clone(before)
	if out == nil {
		out = map[Digest]bool{}
	}

	for _, r := range reports {
		delete(out, r.Suspect.Digest)
	}

	for _, s := range running {
		out[s.Digest] = true
	}

	return out
}

// otherGates returns the other gates of a service that the filter includes, also those
// whose backend server is unavailable: it may be back before the retry arrives.
func (w *Watch) otherGates(service string, include func(membership.Record) bool) []membership.Record {
	var out []membership.Record

	for _, m := range w.contacts.merge(service, w.candidates(service), anyContact) {
		if m.ID != w.self.Node && include(m) {
			out = append(out, m)
		}
	}

	return out
}

func live(m membership.Record) bool { return m.Live() }

func anyState(membership.Record) bool { return true }

func notLeft(m membership.Record) bool { return m.State != membership.StateLeft }

// notifyLive notifies all live gates before the caller gets its answer, so that its retry
// can't arrive before the notification.
func (w *Watch) notifyLive(ctx context.Context, service string) {
	w.notify(membudget.Detach(ctx), service, live)
}

// notify sends the included gates of a service the reports that they have not received yet, and
// reports whether all of them know them now. A suspect that finished at one of them since the
// crashed call began is exonerated.
//
// Each gate replies with those that are unknown here, which are notified next. Gates that start
// together know different ones of each other, and one that none of them passes on runs the request
// without a permit.
func (w *Watch) notify(ctx context.Context, service string, include func(membership.Record) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()

	notified := map[string]uint64{} // incarnations by node
	all := true

	for {
		gates := w.otherGates(service, func(m membership.Record) bool {
			incarnation, done := notified[m.ID]

			return include(m) && (!done || incarnation < m.Incarnation)
		})
		if len(gates) == 0 {
			return all
		}

		for _, m := range gates {
			notified[m.ID] = m.Incarnation
		}

		all = w.notifyGates(ctx, service, gates) && all
	}
}

// notifyGates notifies gates concurrently and reports whether all of them know the reports now.
func (w *Watch) notifyGates(ctx context.Context, service string, gates []membership.Record) bool {
	var (
		g      errgroup.Group
		failed atomic.Bool
		known  = sync.OnceValue(func() []uint64 { return w.hashes(service) })
	)

	g.SetLimit(notifyConcurrency)

	for _, m := range gates {
		g.Go(func() error {
			if err := w.notifyOne(ctx, service, known, m); err != nil {
				failed.Store(true) // Run retries
			}

			return nil
		})
	}

	_ = g.Wait() // no error is returned above

	return !failed.Load()
}

func (w *Watch) notifyOne(ctx context.Context, service string, known func() []uint64, m membership.Record) error {
	a := w.notified.ackOf(m)

	reports, revision := w.table.reports(func(e *entry) bool { return e.revision > a.revision || a.running[e.suspect.Digest] })
	if len(reports) == 0 {
		return nil
	}

	var out NotificationReply

	in := Notification{From: w.asGate(service), KnownGates: known(), Reports: reports}
	err := w.peers.Do(ctx, m.PeerAddress, peer.LaneControl, MethodNotify, in, &out)
	w.contacts.reached(m.ID, err == nil)

	// The reply is merged before the gate counts as notified: a permit may be granted from then on.
	w.table.Merge(out.Known)

	for _, g := range out.Gates {
		g.Service = service // the gate that names it may not know its service yet
		w.contacts.add(g, false)
	}

	for _, s := range out.Finished {
		w.table.Finished(s)
	}

	before := w.notified.record(m, revision, reports, out.Running, err)

	switch {
	case err != nil && before.failedSince.IsZero():
		w.recorder.Record(event.PoisonUntold, timeline.Entry{Peer: m.ID, Detail: m.State.String() + ": " + err.Error()})
	case err == nil && !before.failedSince.IsZero():
		w.recorder.Record(event.PoisonTold, timeline.Entry{
			Peer: m.ID, Detail: "after " + time.Since(before.failedSince).Round(time.Millisecond).String(),
		})
	}

	if err == nil && len(out.Running) > 0 {
		return errRunsElsewhere // notified again until the runs have ended
	}

	return err
}

// wakeRun makes Run reconcile at once.
func (w *Watch) wakeRun(service string) {
	w.mu.Lock()
	w.service = service
	w.mu.Unlock()

	select {
	case w.wake <- struct{}{}:
	default:
	}

	w.archive.wakeRun()
}

// Run notifies gates that missed reports, pulls reports that were missed here, and forgets contacts
// that membership has, until ctx ends.
//
// Without it, a gate that was stalled, unreachable or slow for 0.25 s during the first
// notification misses the report until the suspicion ends, and the next retry that
// reaches it crashes a third backend server.
func (w *Watch) Run(ctx context.Context) {
	var archiving sync.WaitGroup

	defer archiving.Wait()
	archiving.Go(func() { w.runArchive(ctx) })

	timer := time.After(contactSweepInterval)

	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-timer:
		}

		timer = time.After(w.reconcile(ctx))
	}
}

// reconcile notifies and pulls once, and returns when to do so again.
func (w *Watch) reconcile(ctx context.Context) time.Duration {
	w.mu.Lock()
	service := w.service
	w.mu.Unlock()

	w.forgetContacts()

	notified := w.notify(ctx, service, notLeft) // first, since a pull may wait for a slow gate
	pulled := !w.pulls.failed.Load() || w.pull(ctx, service)
	reports, _ := w.table.ReportsSince(0)

	switch {
	case !pulled || !notified:
		return notifyRetryInterval
	case len(reports) > 0:
		return reconcileInterval
	}

	return contactSweepInterval
}
