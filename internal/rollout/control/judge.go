package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/rollout"
	"github.com/pollencart/pollencart/internal/rollout/verdict"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// judgeInterval is how often a judge decides.
	judgeInterval = 100 * time.Millisecond
	// writeStagger is the time between the writes of successive judges, of which one suffices.
	writeStagger = 150 * time.Millisecond
	writeTimeout = time.Second
	// writeRetry is the pause after a write that failed.
	writeRetry = 400 * time.Millisecond
	// minCapacity is the part of the baseline's slots that the target version needs.
	minCapacity = 0.8
	// reportTTL is how long a report of calls in flight is used.
	reportTTL = 1500 * time.Millisecond
	// longestCall is how long the calls of a withdrawn backend server may take at most.
	longestCall = 10 * time.Second
)

// write is a state to be stored.
type write struct {
	next     rollout.Rollout
	after    time.Time
	inFlight bool
}

// judgeLoop decides on all roll-outs while this node is a judge.
func (a *Agent) judgeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if a.active() && a.isJudge() {
			for service := range *a.current.Load() {
				a.judge(ctx, service)
			}
		}

		idle.For(ctx, judgeInterval)
	}
}

// judge decides on one roll-out and stores what was decided.
func (a *Agent) judge(ctx context.Context, service string) {
	v, ok := a.view(service)
	if !ok || (v.State.Final() && v.Stored) {
		return
	}

	d := a.decide(v)

	if d.State == v.State {
		if !v.Stored {
			a.store(ctx, v.Rollout)
		}

		return
	}

	// The other states begin once they are stored: after a restart of all nodes, the baseline must
	// not receive calls while some nodes go on moving them.
	if d.State != rollout.RolledBack {
		a.store(ctx, v.WithState(d.State, d.Reason))

		return
	}

	// Calls to a bad version end now, whether the store can be reached or not.
	v.Rollout = v.WithState(rollout.RolledBack, d.Reason)
	v.since = time.Now()

	if a.adopt(v) {
		a.pushToService(ctx, service)
		a.pushAll(ctx)
	}
}

// decide returns the state that a roll-out should be in.
func (a *Agent) decide(v view) verdict.Decision {
	if v.State.Final() {
		return verdict.Decision{State: v.State, Reason: v.Reason}
	}

	if v.Duration() <= 0 {
		return verdict.Decision{State: rollout.RolledBack, Reason: "the time limit of the order is not positive"}
	}

	if v.State == rollout.Running && a.inUse(v) {
		return verdict.Decision{State: rollout.Completed, Reason: "the version is in use"}
	}

	records := slices.DeleteFunc(a.options.Members.OfService(v.Service), func(r membership.Record) bool { return !r.Live() })
	progress := verdict.Progress{Elapsed: time.Since(v.ordered), Moving: v.State == rollout.Moving}

	var targetSlots, baselineSlots int

	for _, r := range records {
		if r.Upstream.Version != v.Target {
			baselineSlots += r.Upstream.Slots

			continue
		}

		progress.Canaries++
		targetSlots += r.Upstream.Slots
	}

	progress.Capacity = float64(targetSlots) >= minCapacity*float64(baselineSlots)

	a.mu.Lock()
	d := a.judges[v.Service].Decide(progress)
	a.mu.Unlock()

	if d.State == rollout.Moving && v.State == rollout.Moving && a.moved(v, records) {
		return verdict.Decision{State: rollout.Completed, Reason: v.Reason}
	}

	return d
}

// inUse reports whether the target version of a roll-out that has not moved any calls receives all of
// them: the order names the version that was in use before it.
func (a *Agent) inUse(v view) bool {
	target := false

	for _, r := range a.options.Members.OfService(v.Service) {
		if !r.Ready() {
			continue
		}

		if r.Upstream.Version != v.Target {
			return false
		}

		target = true
	}

	return target
}

// moved reports whether no backend server of the baseline has calls or receives any.
func (a *Agent) moved(v view, records []membership.Record) bool {
	since := time.Since(v.since)
	if since < moveSettle+moveSpread(v) {
		return false
	}

	if since > moveSettle+moveSpread(v)+longestCall {
		return true
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	for _, r := range records {
		if r.Upstream.Version == v.Target {
			continue
		}

		if last := a.idle[r.ID]; r.Ready() || last.inFlight > 0 || time.Since(last.at) > reportTTL {
			return false
		}
	}

	return true
}

// store writes a state, unless a write of it is under way or not due yet. Judges write one
// after the other, since the first write suffices.
func (a *Agent) store(ctx context.Context, next rollout.Rollout) {
	a.mu.Lock()
	defer a.mu.Unlock()

	w := a.writes[next.Service]
	if w == nil || !w.next.SameOrder(next) || w.next.State != next.State {
		w = &write{next: next, after: time.Now().Add(time.Duration(a.judgeIndex()) * writeStagger)}
		a.writes[next.Service] = w
	}

	if w.inFlight || time.Now().Before(w.after) {
		return
	}

	w.inFlight = true
	document := a.views[next.Service].document

	go a.write(ctx, w, document)
}

// judgeIndex returns the position of this node among the judges.
func (a *Agent) judgeIndex() int {
	self := a.options.Members.Self().ID

	return max(slices.IndexFunc(a.judgeRecords(), func(r membership.Record) bool { return r.ID == self }), 0)
}

func (a *Agent) write(ctx context.Context, w *write, document int64) {
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()

	revision, err := a.options.Store.Write(call, w.next, document)

	a.mu.Lock()
	w.inFlight = false
	w.after = time.Now().Add(jitter(writeRetry))
	v, ok := a.views[w.next.Service]
	a.mu.Unlock()

	if err != nil {
		a.options.Recorder.Record(event.RolloutNotStored, timeline.Entry{
			Detail: fmt.Sprintf("%s to %s, %s: %v", w.next.Service, w.next.Target, w.next.State, err),
		})

		// Another judge was first, the order has changed, or an earlier write without an answer
		// has happened.
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknown) {
			_, _ = a.readStore(ctx) // the next attempt reads again
		}

		return
	}

	if ok && v.SameOrder(w.next) {
		v.Rollout, v.since, v.document = w.next.WithStored(), time.Now(), revision
		if a.adopt(v) {
			a.pushAll(ctx)
			a.pushToService(ctx, v.Service)
		}
	}
}
