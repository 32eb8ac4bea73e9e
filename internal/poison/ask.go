package poison

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
)

// askAgain is how long calls do not wait for another round after one that got no answer:
// a gate that is alone serves on with what it knows, and Run goes on asking.
const askAgain = time.Second

// meetTime is how long after its start a gate that knows no other node at all lets no call
// run, and meetAgain how often it looks. Nodes that start meet each other in a tenth of a
// second, some tenths more with all seeds down; a poison request that has ended two backend
// servers would end a third at a gate that has nobody to ask. A node that is alone serves on
// after that.
const (
	meetTime  = time.Second
	meetAgain = 20 * time.Millisecond
)

// asking is what a gate does to learn what it may have missed.
type asking struct {
	changed atomic.Uint64 // counts the times since which something may have been missed
	fresh   atomic.Uint64 // the count at the last round that got answers
	stood   atomic.Int64  // the standstill that was counted last
	failed  atomic.Bool   // the last round got no answer

	mu    sync.Mutex
	round chan struct{} // closed at the end of the round under way
	last  time.Time     // when the last round that got no answer began
}

// Freshen asks the other gates if something may have been missed here, and waits for
// what they know. A gate that starts afresh, or wakes, would let a refused request
// through; so would calls beside the first one that did not wait. It comes before a call
// takes a slot: held in one, calls of a node that had just started took its backend server
// for a second slower than it was, and were turned away for it.
func (w *Watch) Freshen(ctx context.Context, service string) {
	a := &w.asking

	if woke := int64(w.standstills.Woke()); a.stood.Load() != woke && a.stood.Swap(woke) != woke {
		w.Stale()
	}

	if a.changed.Load() == a.fresh.Load() {
		return
	}

	a.mu.Lock()
	round := a.round

	if round == nil {
		if time.Since(a.last) < askAgain {
			a.mu.Unlock()

			return
		}

		round = make(chan struct{})
		a.round = round

		go w.askRound(context.WithoutCancel(ctx), service, round)
	}
	a.mu.Unlock()

	select {
	case <-round:
	case <-ctx.Done():
	}
}

func (w *Watch) askRound(ctx context.Context, service string, done chan struct{}) {
	w.meet()

	began := time.Now()
	ok := w.ask(ctx, service)

	w.asking.mu.Lock()
	w.asking.round = nil
	w.asking.last = time.Time{}

	if !ok {
		w.asking.last = began
	}
	w.asking.mu.Unlock()

	close(done)

	if !ok {
		w.nudge(service)
	}
}

// meet waits until this node knows another one, or has run for a while.
func (w *Watch) meet() {
	for w.members.CountLive() < 2 && time.Since(w.began) < meetTime {
		time.Sleep(meetAgain)
	}
}

// askedOldest and askedAnyhow are how many gates are asked: those that have run for
// longest, which were told of all that happened, and some others, since hosts' clocks may
// tell wrongly who that is. All of a service would be as many messages at a start of the
// fleet as the square of it, and each call would wait for the slowest.
const (
	askedOldest = 8
	askedAnyhow = 4
)

// askable returns the gates to be asked.
func (w *Watch) askable(service string) []membership.Record {
	gates := w.others(service, live)
	slices.SortStableFunc(gates, func(a, b membership.Record) int { return cmp.Compare(a.Incarnation, b.Incarnation) })

	if len(gates) <= askedOldest {
		return gates
	}

	rest := gates[askedOldest:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })

	return gates[:min(len(gates), askedOldest+askedAnyhow)]
}

// ask asks gates that are thought to run for all that they know. It waits for all of
// these, up to tellTime: those that answer first may have started anew as well and know
// nothing. It reports whether one answered: a
// gate that knows nobody yet has just started itself.
func (w *Watch) ask(ctx context.Context, service string) bool {
	changed := w.asking.changed.Load()
	gates := w.askable(service)

	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()

	var (
		g    sync.WaitGroup
		good atomic.Int64
	)

	for _, m := range gates {
		g.Go(func() {
			var reports []Report

			err := w.peers.Do(ctx, m.PeerAddress, peer.LaneControl, MethodPull, Done{}, &reports)
			if err == nil { // else counted in the line below, and asked again if nobody answers
				w.table.Merge(reports)
				good.Add(1)
			}
		})
	}

	g.Wait()

	ok := good.Load() > 0
	failed := w.asking.failed.Swap(!ok)

	if ok {
		w.asking.fresh.Store(changed)
	}

	if len(gates) > 0 && (ok || !failed) { // not again for each round without an answer
		w.recorder.Record(event.PoisonAsked, timeline.Entry{
			Detail: fmt.Sprintf("%d of %d gates answered, %d suspects", good.Load(), len(gates), w.table.Size()),
		})
	}

	return ok
}
