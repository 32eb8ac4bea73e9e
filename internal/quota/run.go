package quota

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/quota/ledger"
	"github.com/pollencart/pollencart/internal/timeline"
)

// reportInterval is the pause between lines about refused calls.
const reportInterval = time.Second

// Run renews the delegations and keeps the ledger until ctx ends. It sends nothing while the active
// version limits no workspace.
func (a *Agent) Run(ctx context.Context) {
	reported := time.Now()

	for {
		a.ledger.Tick(a.countKnown())

		if a.limited() && a.learned() {
			a.renew()
		}

		if now := time.Now(); now.Sub(reported) >= reportInterval {
			reported = now

			a.report()
			a.dropIdle(now)
		}

		select {
		case <-ctx.Done():
			return
		case <-time.After(ledger.TickInterval):
		}
	}
}

// limited reports whether the active version limits any workspace.
func (a *Agent) limited() bool {
	t := a.options.Tables.Load()
	if t == nil || t.Workspaces() == nil {
		return false
	}

	if a.limits.version != t.Version() {
		a.limits.version, a.limits.any = t.Version(), t.Workspaces().Limited()
	}

	return a.limits.any
}

// renew chooses the homes and renews the delegations to them.
func (a *Agent) renew() {
	m := a.options.Members
	if a.homes.choose(m.Live(), m.FirstOf(m.Self().FailureDomain, domainHomes)) {
		a.options.Recorder.Record(event.QuotaHomes, timeline.Entry{Detail: strings.Join(a.homes.current(), " ")})
	}

	for _, t := range a.homes.due() {
		go func() { _, _ = a.ask(t) }() // ask records a home that is lost
	}
}

func (a *Agent) dropIdle(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()

	for name, e := range a.entries {
		if now.Sub(e.wallet.Used()) > dropAfter {
			delete(a.entries, name)
		}
	}
}

// report writes a line for each workspace with refused calls, of the largest ones.
func (a *Agent) report() {
	for _, line := range a.counts.lines() {
		a.options.Recorder.Record(event.QuotaExceeded, timeline.Entry{Detail: line})
	}
}

// Held returns the number of wallets and buckets that this node holds.
func (a *Agent) Held() (wallets, buckets int) {
	a.mu.Lock()
	defer a.mu.Unlock()

	return len(a.entries), len(a.ledger.Uses())
}

// UsesPath is the path of the metrics address that serves [Agent.Uses].
const UsesPath = "/limits"

// Uses returns the use of the limits that this node is the home of, by workspace.
func (a *Agent) Uses() []ledger.Use {
	uses := a.ledger.Uses()
	slices.SortFunc(uses, func(a, b ledger.Use) int { return strings.Compare(a.Workspace, b.Workspace) })

	return uses
}

// Lost returns the number of homes that do not answer this node.
func (a *Agent) Lost() int { return a.homes.lost() }
