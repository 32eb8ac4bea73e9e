package hosts

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
)

const (
	// oldVersion and newVersion are the versions of the backend servers of rolledOut.
	oldVersion = "v1"
	newVersion = "v2"
	rolledOut  = "ledger"
	// orderAfter is the part of a run after which the roll-out is ordered, orderLimit its time
	// limit.
	orderAfter = 5
	orderLimit = 8 * time.Second
	// exposeShare and exposeSlack bound the calls of a bad version.
	exposeShare = 0.1
	exposeSlack = 50
	// verdictSpread is the time in which a verdict reaches all nodes.
	verdictSpread  = 1500 * time.Millisecond
	statusInterval = 20 * time.Millisecond
)

// trial watches one roll-out. Its new version is bad in runs with an even seed.
type trial struct {
	report *Report
	bad    bool

	mu       sync.Mutex
	ordered  time.Time
	verdict  string // first final status
	at       time.Time
	old, new int // calls that ran since the order
}

// versionOf returns the version of the backend server of a host: one in two of the service that is
// rolled out is new.
func versionOf(services []string, i int) string {
	if services[i%len(services)] == rolledOut && i/len(services)%2 == 1 {
		return newVersion
	}

	return oldVersion
}

// fails reports whether the next call of a version fails.
func (x *trial) fails(version string) bool {
	return x != nil && x.bad && version == newVersion && rand.IntN(2) == 0
}

// isOrdered reports whether the backend servers of the new version may start.
func (x *trial) isOrdered() bool {
	x.mu.Lock()
	defer x.mu.Unlock()

	return !x.ordered.IsZero()
}

// ran checks a call that begins to run at a version.
func (x *trial) ran(version, id string) {
	x.mu.Lock()
	defer x.mu.Unlock()

	if x.ordered.IsZero() {
		return
	}

	if version == newVersion {
		x.new++
	} else {
		x.old++
	}

	switch {
	case x.verdict == "completed" && version == oldVersion:
		x.report.broken("call %s ran at %s %s after the roll-out was completed", id, version, time.Since(x.at))
	case x.verdict == "rolled_back" && version == newVersion && time.Since(x.at) > verdictSpread:
		x.report.broken("call %s ran at %s %s after the roll-out was rolled back", id, version, time.Since(x.at))
	}
}

// observe checks a status: a verdict never turns round, and a bad version is not completed.
func (x *trial) observe(state string) {
	if state != "completed" && state != "rolled_back" {
		return
	}

	x.mu.Lock()
	defer x.mu.Unlock()

	if x.verdict == "" {
		x.verdict, x.at = state, time.Now()
	}

	switch {
	case x.verdict != state:
		x.report.broken("the verdict %s became %s", x.verdict, state)
	case x.bad && state == "completed":
		x.report.broken("a bad version was completed")
	}
}

// check looks at what can be said only at the end.
func (x *trial) check() {
	x.mu.Lock()
	defer x.mu.Unlock()

	if x.verdict == "" {
		x.report.broken("no verdict on the roll-out")
	}

	if limit := exposeShare*float64(x.old+x.new) + exposeSlack; x.bad && float64(x.new) > limit {
		x.report.broken("a bad version got %d of %d calls", x.new, x.old+x.new)
	}

	x.report.fault("roll-out " + x.verdict)
}

// rollOut orders a roll-out and follows its status until ctx ends.
func (r *run) rollOut(ctx context.Context) {
	idle.For(ctx, r.options.Length/orderAfter)

	r.trial.mu.Lock()
	r.trial.ordered = time.Now()
	r.trial.mu.Unlock()
	r.store.OrderRollout(rolledOut, newVersion, orderLimit.Seconds())

	for ctx.Err() == nil {
		state, _ := r.store.RolloutStatus(rolledOut)
		r.trial.observe(state)
		idle.For(ctx, statusInterval)
	}
}
