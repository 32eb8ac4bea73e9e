package control

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/rollout"
	"github.com/pollencart/pollencart/internal/rollout/verdict"
	"github.com/pollencart/pollencart/internal/timeline"
)

// adopt takes over a view if it supersedes what is known, and reports whether it does.
func (a *Agent) adopt(v view) bool {
	a.mu.Lock()
	known, ok := a.views[v.Service]

	if ok && !v.Supersedes(known.Rollout) {
		a.mu.Unlock()

		return false
	}

	if sameOrder := ok && v.SameOrder(known.Rollout); sameOrder {
		v.ordered = known.ordered
	} else {
		a.judges[v.Service] = verdict.New(v.Target, v.Duration())
		delete(a.writes, v.Service)

		if v.Service == a.options.Service {
			a.counter.Reset()
		}
	}

	a.views[v.Service] = v
	current := maps.Clone(a.views)
	a.current.Store(&current)
	a.mu.Unlock()

	a.recordChange(known, v)
	a.applyRole()

	return true
}

func (a *Agent) recordChange(before, v view) {
	if v.SameOrder(before.Rollout) && v.State == before.State && v.Stored == before.Stored {
		return
	}

	e := map[rollout.State]event.Event{
		rollout.Running: event.RolloutRunning, rollout.Moving: event.RolloutMoving,
		rollout.Completed: event.RolloutCompleted, rollout.RolledBack: event.RolloutRolledBack,
	}[v.State]
	a.options.Recorder.Record(e, timeline.Entry{Detail: v.describe()})
}

func (v view) describe() string {
	out := v.Service + " to " + v.Target + ", order " + strconv.FormatInt(v.Revision, 10) + " of " +
		time.Since(v.ordered).Round(time.Millisecond).String() + " ago, limit " + v.Duration().String()
	if !v.Stored {
		out += ", not stored yet"
	}

	if v.Reason != "" {
		out += ": " + v.Reason
	}

	return out
}

// adoptSnapshot takes over what the store holds and reports whether anything is new.
func (a *Agent) adoptSnapshot(s Snapshot) bool {
	documents := map[string]Document{}
	for _, d := range s.Documents {
		documents[d.Rollout.Service] = d
	}

	news := false
	ordered := map[string]bool{}

	for _, o := range s.Orders {
		ordered[o.Service] = true
		news = a.adopt(a.viewOf(o, documents[o.Service])) || news
		a.setDocument(o, documents[o.Service].Revision)
	}

	for service, v := range *a.current.Load() {
		if !ordered[service] && !v.State.Final() && v.Epoch == s.Epoch {
			// The order is gone, so that no status can be reported for it.
			v.Rollout = v.WithState(rollout.RolledBack, "the order was withdrawn").WithStored()
			v.since = time.Now()
			news = a.adopt(v) || news
		}
	}

	if !a.loaded.Swap(true) {
		a.applyRole()
	}

	return news
}

// setDocument corrects the revision of the stored roll-out, on which the next write depends.
func (a *Agent) setDocument(o rollout.Order, revision int64) {
	a.mu.Lock()
	defer a.mu.Unlock()

	v, ok := a.views[o.Service]
	if !ok || v.Revision != o.Revision || v.Epoch != o.Epoch || v.document == revision {
		return
	}

	v.document = revision
	a.views[o.Service] = v
	current := maps.Clone(a.views)
	a.current.Store(&current)
}

// viewOf returns the view of an order by what is stored and what this node knows.
func (a *Agent) viewOf(o rollout.Order, d Document) view {
	now := time.Now()
	held, known := a.view(o.Service)
	next := view{Rollout: rollout.New(o), ordered: now, since: now, document: d.Revision}

	switch {
	case d.Revision != 0 && d.Rollout.Revision == o.Revision && d.Rollout.Target == o.Target:
		next.Rollout = d.Rollout.WithOrder(o).WithStored()
	case d.Revision != 0:
		next.Rollout = next.After(d.Rollout)
	}

	switch {
	case !known || held.SameOrder(next.Rollout):
	case held.Repeats(o):
		// The store lost the verdict when it came back from an older copy.
		if repeated := held.WithOrder(o); repeated.Supersedes(next.Rollout) {
			next.Rollout, next.ordered, next.since = repeated, held.ordered, held.since
		}
	default:
		next.Rollout = next.After(held.Rollout)
	}

	return next
}

const (
	// watchTimeout is how long the store keeps a watch open; each watch is a paid call.
	watchTimeout = 25 * time.Second
	readTimeout  = time.Second
	// roleCheckInterval is how often a node checks whether it is a watcher.
	roleCheckInterval = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause between attempts while the store does not
	// answer.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// verdictInterval is how often a judge reads verdicts while a roll-out is not settled.
	verdictInterval = time.Second
	// loadTimeout is how long a node waits for a judge before it reads the store itself, and
	// joinDelay the same when the deployment starts for the first time. No callers wait then.
	loadTimeout = 300 * time.Millisecond
	joinDelay   = 1500 * time.Millisecond
)

// followOrders reads the orders and watches them while this node is a watcher.
func (a *Agent) followOrders(ctx context.Context) {
	backoff := minBackoff

	a.awaitMembers(ctx)

	for ctx.Err() == nil {
		if !a.isWatcher() && a.loaded.Load() {
			idle.For(ctx, roleCheckInterval)

			continue
		}

		if err := a.watchOrders(ctx); err != nil {
			idle.For(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)

			continue
		}

		backoff = minBackoff
	}
}

// awaitMembers waits until this node knows others or has been told of the roll-outs. Alone, each
// node takes itself for a judge, and a fleet that starts would read the store once for each.
func (a *Agent) awaitMembers(ctx context.Context) {
	timeout := loadTimeout
	if a.options.FirstStart {
		timeout = joinDelay
	}

	for began := time.Now(); ctx.Err() == nil && !a.loaded.Load() && time.Since(began) < timeout; {
		knowsJudge := len(membership.Without(a.judgeRecords(), a.options.Members.Self().ID)) > 0
		if !a.options.FirstStart && knowsJudge && a.isWatcher() {
			return
		}

		idle.For(ctx, firstPullInterval)
	}
}

// watchOrders reads the store, and waits for changes until a call fails or this node is not a
// watcher.
func (a *Agent) watchOrders(ctx context.Context) error {
	at, err := a.readStore(ctx)
	if err != nil {
		return err
	}

	for ctx.Err() == nil && a.isWatcher() {
		next, changed, err := a.wait(ctx, at)
		if err != nil {
			return err
		}

		if at = max(at, next); !changed {
			continue
		}

		if at, err = a.readStore(ctx); err != nil {
			return err
		}
	}

	return ctx.Err()
}

func (a *Agent) wait(ctx context.Context, at int64) (int64, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+readTimeout)
	defer cancel()

	return a.options.Store.Wait(ctx, at, watchTimeout)
}

// readStore reads orders and verdicts and tells other nodes what is new.
func (a *Agent) readStore(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	s, err := a.options.Store.Read(ctx)
	if err != nil {
		return 0, err
	}

	if a.adoptSnapshot(s) {
		a.pushAll(membudget.Detach(ctx))
	}

	return s.Revision, nil
}

// followVerdicts reads verdicts of other judges from the store, which may be the only way by
// which they reach this failure domain.
func (a *Agent) followVerdicts(ctx context.Context) {
	for ctx.Err() == nil {
		idle.For(ctx, jitter(verdictInterval))

		if a.active() && a.isJudge() {
			a.readVerdicts(ctx)
		}
	}
}

func (a *Agent) readVerdicts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	documents, err := a.options.Store.ReadOld(ctx)
	if err != nil {
		return // the next round tries again
	}

	news := false

	for _, d := range documents {
		held, ok := a.view(d.Rollout.Service)
		if !ok || held.Revision != d.Rollout.Revision || held.Target != d.Rollout.Target {
			continue
		}

		held.Rollout = d.Rollout.WithOrder(rollout.Order{Epoch: held.Epoch, Revision: held.Revision}).WithStored()
		held.since, held.document = time.Now(), d.Revision
		news = a.adopt(held) || news
	}

	if news {
		a.pushAll(membudget.Detach(ctx))
	}
}
