// Package quota keeps the limits of workspaces over all nodes.
//
// Each limited workspace has a home, which grants calls to all entries (package ledger). An entry asks
// it over the links between nodes, never the store, and keeps a few granted calls (package wallet).
// While no home answers, an entry goes on with its own equal share of each limit.
//
// # Usage
//
//	a := quota.New(quota.Options{...})
//	a.Register(server)
//	go a.Run(ctx)
//	if d := a.Take(ctx, workspace); !d.Allowed { ... }
package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/dispatch"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/quota/ledger"
	"github.com/pollencart/pollencart/internal/quota/wallet"
	"github.com/pollencart/pollencart/internal/workspace"
)

// MethodAsk is the method by which entries ask a home.
const MethodAsk = "Quota.Ask"

const (
	// deadCounted is how long a dead node still owns its share of the limits. A partition that lasts
	// longer lets each of its sides use the whole limit.
	deadCounted = 10 * time.Minute
	// dropAfter is when the wallet of a workspace without calls is dropped.
	dropAfter = 10 * time.Second
	// maxTries bounds the asks for one call, if other calls use what was granted.
	maxTries = 3
	// contendedWait is the time to come back for a call that got nothing in them.
	contendedWait = 100 * time.Millisecond
	// maxPatience is how long a call waits for a home that grants, looking each patienceStep, and maxHeld
	// the number of calls that do so at the same time.
	maxPatience  = 800 * time.Millisecond
	patienceStep = 100 * time.Millisecond
	maxHeld      = 64
)

// Agent keeps the limits at one node, as an entry and as a home.
type Agent struct {
	options Options
	self    string
	ledger  *ledger.Ledger
	homes   *homes

	held atomic.Int64 // calls that wait for a home

	counted atomic.Int64 // nodes known, 0 before they were counted

	learning learning

	mu      sync.Mutex
	entries map[string]*entry
	counts  *counts

	limits struct {
		version uint64
		any     bool
	}
}

// entry is one workspace at this node.
type entry struct {
	name   string
	wallet *wallet.Wallet

	mu      sync.Mutex
	flight  *flight // the ask in flight
	waiting int     // calls that wait for an ask
	limit   ledger.Limit
}

var _ dispatch.Quotas = (*Agent)(nil)

// New returns an agent that asks nobody before Run.
func New(o Options) *Agent {
	self := o.Members.Self()

	if o.Search == nil {
		o.Search = searched{}
	}

	return &Agent{
		options: o, self: self.ID, ledger: ledger.New(self.ID, self.Incarnation, o.Bound), homes: newHomes(self.ID),
		entries: map[string]*entry{}, counts: newCounts(),
	}
}

// Register registers the method that other nodes call.
func (a *Agent) Register(server *peer.Server) { server.Handle(MethodAsk, peer.Typed(a.ServeAsk)) }

// ServeAsk answers the ask of an entry.
func (a *Agent) ServeAsk(_ context.Context, in ledger.Ask) (ledger.Answer, error) {
	return a.serve(in), nil
}

func (a *Agent) serve(in ledger.Ask) ledger.Answer {
	out := a.ledger.Ask(in, a.known())
	out.Leaving = a.options.Leaving()

	return out
}

// known returns the number of nodes that share the limits, as counted in the last tick.
func (a *Agent) known() int {
	if n := a.counted.Load(); n > 0 {
		return int(n)
	}

	return a.countKnown()
}

func (a *Agent) countKnown() int {
	n := a.options.Members.CountKnown(deadCounted) + a.options.Search.CountUnjoined()
	a.counted.Store(int64(n))

	return n
}

// Take implements [dispatch.Quotas].
func (a *Agent) Take(ctx context.Context, w *workspace.Workspace) dispatch.QuotaDecision {
	if !w.Limited() {
		return dispatch.QuotaDecision{Allowed: true}
	}

	e := a.entry(w.Name)
	e.wallet.Offer()

	d := a.decide(ctx, e, w)
	a.counts.add(w.Name, d)

	return d
}

func (a *Agent) decide(ctx context.Context, e *entry, w *workspace.Workspace) dispatch.QuotaDecision {
	limit := ledger.Limit{Rate: w.Rate, Burst: w.Burst, Version: a.version()}
	began := time.Now()

	for !a.learned() {
		if !a.patient(ctx, began) {
			return dispatch.QuotaDecision{
				RetryAfter: contendedWait + rand.N(contendedWait),
				Reason:     describe(w, "this node does not know yet how many nodes share it"), BelowLimit: true,
			}
		}
	}

	for tries := 0; tries < maxTries; tries++ {
		switch e.wallet.Take() {
		case wallet.Run:
			a.prefetch(e, limit)

			return dispatch.QuotaDecision{Allowed: true}
		case wallet.Refuse:
			return a.refuse(e, w)
		case wallet.Ask:
		}

		t := a.homes.of(w.Name)
		if t.reachable && a.wait(ctx, e, t, limit) == answered {
			continue
		}

		d := a.alone(e, w, limit)
		if d.Allowed || !a.patient(ctx, began) {
			return d
		}

		tries = 0
	}

	return dispatch.QuotaDecision{RetryAfter: contendedWait, Reason: describe(w, "other calls took what was granted"), BelowLimit: true}
}

// alone decides with this entry's own share of the limit.
func (a *Agent) alone(e *entry, w *workspace.Workspace, l ledger.Limit) dispatch.QuotaDecision {
	t := a.homes.of(w.Name)
	if t.reachable { // an ask failed, but the home answers others
		return dispatch.QuotaDecision{RetryAfter: contendedWait, Reason: describe(w, "its home does not grant calls yet"), BelowLimit: true}
	}

	share := wallet.Share{Limit: l, Nodes: a.known(), Lost: t.lost, Own: t.own}
	if e.wallet.TakeAlone(share) == wallet.Run {
		return dispatch.QuotaDecision{Allowed: true}
	}

	return a.refuse(e, w)
}

// patient waits a moment for a home, and reports whether the call may wait longer. While no home
// grants, a call that waits costs less than a caller that comes back on a new connection.
func (a *Agent) patient(ctx context.Context, began time.Time) bool {
	if time.Since(began) >= maxPatience {
		return false
	}

	if a.held.Add(1) > maxHeld {
		a.held.Add(-1)

		return false
	}

	defer a.held.Add(-1)

	select {
	case <-ctx.Done():
		return false
	case <-time.After(patienceStep):
		return true
	}
}

// refuse returns the refusal that the wallet holds.
func (a *Agent) refuse(e *entry, w *workspace.Workspace) dispatch.QuotaDecision {
	r := e.wallet.Last()
	cause := fmt.Sprintf("%d calls granted in %v, counted %d ms ago by version %d",
		r.Counted, a.options.Bound.Window, time.Since(r.At).Milliseconds(), r.Version)

	if r.Alone {
		cause = fmt.Sprintf("its home is not reachable, this node has a share of 1/%d", r.Counted)
	}

	return dispatch.QuotaDecision{RetryAfter: r.RetryAfter(), Reason: describe(w, cause), BelowLimit: r.Alone}
}

func describe(w *workspace.Workspace, cause string) string {
	return fmt.Sprintf("limit of workspace %s, %g/s and burst %g: %s", w.Name, w.Rate, w.Burst, cause)
}

// Return implements [dispatch.Quotas].
func (a *Agent) Return(w *workspace.Workspace) {
	if w.Limited() {
		a.entry(w.Name).wallet.Return()
	}
}

func (a *Agent) entry(name string) *entry {
	a.mu.Lock()
	defer a.mu.Unlock()

	e := a.entries[name]
	if e == nil {
		e = &entry{name: name, wallet: wallet.New(a.options.Bound)}
		a.entries[name] = e
	}

	return e
}

func (a *Agent) version() uint64 {
	if t := a.options.Tables.Load(); t != nil {
		return t.Version()
	}

	return 0
}
