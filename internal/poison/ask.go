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
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
)

// pullRetryInterval is how long after a failed pull calls start no other one. A gate that
// is alone keeps serving with what it knows, and Run keeps pulling.
const pullRetryInterval = time.Second

// discoveryTimeout is how long after its start a gate that knows no other gate holds
// calls back, discoveryPollInterval how often it checks. Without the wait, a poison
// request that has already crashed two backend servers crashes a third one here. Nodes
// usually find each other within 0.1 s of starting, or some tenths of a second later if
// all seeds are down.
const (
	discoveryTimeout      = time.Second
	discoveryPollInterval = 20 * time.Millisecond
	// firstPullWait is how long the first call waits at least if other nodes are known, but no gate. A
	// node that found no peers for a while takes calls as soon as it has joined one, and knows the
	// gates of its service some rounds of gossip later.
	firstPullWait = 250 * time.Millisecond
	// searchTimeout is how long the first call waits at most while this node has not looked for others
	// yet. A node that started while the store was down takes calls as soon as the store gives it a
	// version, which may be seconds before it reads from the store whom to join.
	searchTimeout = 3 * time.Second
)

// pulls tracks whether reports of other gates may be missing here, and the pull that
// fetches them.
type pulls struct {
	staleMarks  atomic.Uint64 // incremented whenever reports may have been missed
	pulledMarks atomic.Uint64 // value of staleMarks that the last successful pull covers
	lastStall   atomic.Int64  // last process stall that was handled
	failed      atomic.Bool   // the last pull got no answer
	first       atomic.Bool   // the first pull has begun

	mu          sync.Mutex
	round       chan struct{} // closed at the end of the current pull, nil if there is none
	lastFailure time.Time     // start time of the last pull if it failed, else zero
	alone       bool          // the last pull failed since no other gate was known
}

// Freshen pulls reports from the other gates if some may have been missed here, and waits
// until they are merged; concurrent calls wait for the same pull. Without it, a gate that
// has just started or stalled runs requests that are refused elsewhere.
//
// Callers invoke it before they take a slot: waiting inside a slot made a newly started
// node's backend server look slower for a second, and calls to it were rejected.
func (w *Watch) Freshen(ctx context.Context, service string) { w.freshen(ctx, service) }

// freshen is Freshen and reports whether the call may go on: its context has not ended during the
// pull.
func (w *Watch) freshen(ctx context.Context, service string) bool {
	p := &w.pulls

	if stall := int64(w.stalls.LastStall()); p.lastStall.Load() != stall && p.lastStall.Swap(stall) != stall {
		w.MarkStale()
	}

	if p.staleMarks.Load() == p.pulledMarks.Load() {
		return true
	}

	p.mu.Lock()
	round := p.round

	if round == nil {
		known := p.alone && len(w.otherGates(service, live)) > 0
		if time.Since(p.lastFailure) < pullRetryInterval && !known {
			p.mu.Unlock()

			return true
		}

		round = make(chan struct{})
		p.round = round

		go w.pullRound(membudget.Detach(ctx), service, round)
	}
	p.mu.Unlock()

	select {
	case <-round:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *Watch) pullRound(ctx context.Context, service string, done chan struct{}) {
	w.waitForGates(service)
	w.waitForArchive()

	began := time.Now()
	ok := w.pull(ctx, service)

	w.pulls.mu.Lock()
	w.pulls.round = nil
	w.pulls.alone = !ok && len(w.otherGates(service, live)) == 0
	w.pulls.lastFailure = time.Time{}

	if !ok {
		w.pulls.lastFailure = began
	}
	w.pulls.mu.Unlock()

	close(done)

	if !ok {
		w.wakeRun(service)
	}
}

// waitForGates waits until this gate knows another one of its service, or discoveryTimeout has
// passed since its start. A gate that has joined only nodes of other services is unknown to those
// of its own.
func (w *Watch) waitForGates(service string) {
	end := w.began.Add(discoveryTimeout)

	if w.pulls.first.CompareAndSwap(false, true) {
		w.waitForSearch()

		if w.members.CountLive() > 1 {
			end = time.Now().Add(max(firstPullWait, time.Until(end)))
		}
	}

	for len(w.otherGates(service, live)) == 0 && time.Now().Before(end) {
		time.Sleep(discoveryPollInterval)
	}
}

// waitForSearch waits until this node has looked for others: searchTimeout at most, and firstPullWait
// if another node has joined this one. While the store is down nodes get versions from those that
// join them, and serve.
func (w *Watch) waitForSearch() {
	began := time.Now()

	for limit := searchTimeout; !w.search.Searched() && time.Since(began) < limit; {
		time.Sleep(discoveryPollInterval)

		if w.members.CountLive() > 1 {
			limit = firstPullWait
		}
	}
}

// pullOldest and pullRandom are how many gates a pull contacts: those with the oldest
// incarnations, which have most likely received every report, and some random others,
// since the clocks of hosts may order incarnations wrongly. Contacting all gates of a
// service would cost a quadratic number of messages at a fleet start, and each call would
// wait for the slowest gate.
const (
	pullOldest = 8
	pullRandom = 4
)

// pullTargets returns the gates that a pull contacts.
func (w *Watch) pullTargets(service string) []membership.Record {
	gates := w.otherGates(service, live)
	slices.SortStableFunc(gates, func(a, b membership.Record) int { return cmp.Compare(a.Incarnation, b.Incarnation) })

	if len(gates) <= pullOldest {
		return gates
	}

	rest := gates[pullOldest:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })

	return gates[:min(len(gates), pullOldest+pullRandom)]
}

// pull fetches all reports of some gates that are considered alive, and reports whether
// one answered. It waits for all answers, up to notifyTimeout, since the gates that
// answer first may have just started and know nothing. Without any other gate to contact
// it reports false: this node may itself have just started.
func (w *Watch) pull(ctx context.Context, service string) bool {
	staleMarks := w.pulls.staleMarks.Load()
	gates := w.pullTargets(service)

	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()

	var (
		g        sync.WaitGroup
		answered atomic.Int64
	)

	for _, m := range gates {
		g.Go(func() {
			var reports []Report

			err := w.peers.Do(ctx, m.PeerAddress, peer.LaneControl, MethodPull, w.asGate(service), &reports)
			if err == nil { // a failure shows in the event below; Run retries if no gate answers
				w.table.Merge(reports)
				answered.Add(1)
			}
		})
	}

	g.Wait()

	ok := answered.Load() > 0
	failed := w.pulls.failed.Swap(!ok)

	if ok {
		w.pulls.pulledMarks.Store(staleMarks)
	}

	if len(gates) > 0 && (ok || !failed) { // only once per series of failed pulls
		w.recorder.Record(event.PoisonAsked, timeline.Entry{
			Detail: fmt.Sprintf("%d of %d gates answered, %d suspects, pulled from %s", answered.Load(), len(gates), w.table.Size(), names(gates)),
		})
	}

	return ok
}
