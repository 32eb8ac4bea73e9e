package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/rollout"
	"github.com/pollencart/pollencart/internal/rollout/evidence"
	"github.com/pollencart/pollencart/internal/rollout/exposure"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// canaryReportInterval and baselineReportInterval are how often the node beside a backend
	// server reports its counts.
	canaryReportInterval   = 250 * time.Millisecond
	baselineReportInterval = 500 * time.Millisecond
	// roleInterval is how often the role of the local backend server is determined.
	roleInterval = 200 * time.Millisecond
	// candidates is the number of canary nodes that an entry node may try for a call.
	candidates = 3
	// moveSettle is how long the target version accepts calls beside the baseline before the
	// first baseline node withdraws. The others follow within moveSpreadPart of the time limit,
	// but at least minMoveSpread and at most maxMoveSpread.
	moveSettle     = time.Second
	moveSpreadPart = 0.12
	minMoveSpread  = time.Second
	maxMoveSpread  = 30 * time.Second
	// A canary pauses for canaryPause once it has failed pauseAfter more calls than
	// failureAllowance of its recent ones.
	pauseAfter       = 6.0
	failureAllowance = 0.3
	canaryPause      = 3 * time.Second
)

// local is the state of the local backend server in the roll-out of its service.
type local struct {
	mu      sync.Mutex
	version string
	// established is the last version that was regular.
	established string
	failures    float64 // recent failures in excess of failureAllowance
	pausedUntil time.Time

	role     atomic.Uint32 // a rollout.Role
	counting atomic.Bool   // a roll-out of the service is not settled
}

// SetVersion sets the version of the local backend server, "" if it is unknown.
func (a *Agent) SetVersion(version string) {
	a.local.mu.Lock()
	a.local.version = version
	a.local.mu.Unlock()

	a.updateRole()
}

// Role returns what the local backend server may receive.
func (a *Agent) Role() rollout.Role { return rollout.Role(a.local.role.Load()) }

// updateRole determines the role and reports whether it has changed.
func (a *Agent) updateRole() bool {
	v, ok := a.view(a.options.Service)
	a.local.counting.Store(ok && !v.State.Final())

	next := a.determineRole()
	before := rollout.Role(a.local.role.Swap(uint32(next)))

	if next != before {
		a.options.Recorder.Record(event.RolloutRole, timeline.Entry{Detail: a.localVersion() + " " + next.String()})
	}

	return next != before
}

func (a *Agent) determineRole() rollout.Role {
	a.local.mu.Lock()
	defer a.local.mu.Unlock()

	if !a.loaded.Load() {
		return rollout.Excluded
	}

	version := a.local.version
	v, ok := a.view(a.options.Service)

	switch {
	case ok && version == "":
		return rollout.Excluded // until its next heartbeat
	case ok && version == v.Target:
		return a.targetRole(v)
	case ok && a.hasWithdrawn(version, v):
		return rollout.Excluded
	case version != a.local.established && a.isUnordered(version, v):
		return rollout.Excluded
	}

	// An established version is not excluded by others of which no order is known, so that two
	// versions can't exclude each other.
	a.local.established = version

	return rollout.Regular
}

// targetRole returns what the target version may receive. If the order names the version in use, its
// backend servers go on as before.
func (a *Agent) targetRole(v view) rollout.Role {
	role := v.Role(v.Target)

	switch {
	case role == rollout.Canary && a.local.established == v.Target && a.inUse(v):
		return rollout.Regular
	case role == rollout.Canary && time.Now().Before(a.local.pausedUntil):
		return rollout.Excluded
	}

	return role
}

// hasWithdrawn reports whether a version other than the target receives no more calls.
func (a *Agent) hasWithdrawn(version string, v view) bool {
	return v.Role(version) == rollout.Excluded || (v.State == rollout.Moving && time.Since(v.since) > a.withdrawAfter(v))
}

// isUnordered reports whether this version appears to be a new one whose order is not known here:
// other backend servers of the service receive calls and have another version. The order may not
// have arrived yet, or there is none.
func (a *Agent) isUnordered(version string, v view) bool {
	if version == "" {
		return false
	}

	self := a.options.Members.Self().ID
	all := map[string]presence{version: {version: version, count: 1}}

	for _, r := range a.options.Members.OfService(a.options.Service) {
		other := r.Upstream.Version
		if r.Live() && r.ID != self && other != "" && other != v.Target && !slices.Contains(v.Rejected, other) {
			all[other] = presence{other, all[other].count + 1, all[other].ready || r.Ready()}
		}
	}

	for _, p := range all {
		if p.precedes(all[version]) {
			return true
		}
	}

	return false
}

// presence is what is known of the backend servers of one version.
type presence struct {
	version string
	count   int
	ready   bool // some receive calls
}

// precedes reports whether p rather than o is the version in use.
func (p presence) precedes(o presence) bool {
	switch {
	case p.version == o.version:
		return false
	case p.ready != o.ready:
		return p.ready
	case p.count != o.count:
		return p.count > o.count
	}

	return isEarlier(p.version, o.version)
}

// isEarlier orders versions of the form v9, v10.
func isEarlier(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}

	return a < b
}

// withdrawAfter returns when the local backend server of the baseline withdraws.
func (a *Agent) withdrawAfter(v view) time.Duration {
	spread := moveSpread(v)

	return moveSettle + time.Duration(xxhash.Sum64String(a.options.Members.Self().ID)%uint64(spread))
}

func moveSpread(v view) time.Duration {
	return min(max(time.Duration(moveSpreadPart*float64(v.Duration())), minMoveSpread), maxMoveSpread)
}

// roleLoop reports changes of the role that come about by time or by the versions of other
// backend servers.
func (a *Agent) roleLoop(ctx context.Context) {
	for ctx.Err() == nil {
		a.applyRole()

		idle.For(ctx, roleInterval)
	}
}

// applyRole has the node act on a changed role.
func (a *Agent) applyRole() {
	if a.updateRole() {
		a.options.Changed()
	}
}

// Counting reports whether outcomes are to be added.
func (a *Agent) Counting() bool { return a.local.counting.Load() }

// Add counts the outcome of a call at the local backend server.
func (a *Agent) Add(o evidence.Outcome) {
	a.counter.Add(o)
	a.options.Counted(a.localVersion(), o.Failed)
	a.pauseIfFailing(o)
}

// pauseIfFailing stops calls to a canary that fails, for a while, without waiting for a judge.
// If no judge can be reached, the calls that a bad version spoils stay few.
func (a *Agent) pauseIfFailing(o evidence.Outcome) {
	v, ok := a.view(a.options.Service)

	a.local.mu.Lock()
	defer a.local.mu.Unlock()

	if !ok || a.local.version != v.Target || v.State != rollout.Running {
		return
	}

	if a.local.failures = max(a.local.failures-failureAllowance, 0); o.Failed {
		a.local.failures++
	}

	if a.local.failures >= pauseAfter {
		a.local.failures = 0
		a.local.pausedUntil = time.Now().Add(canaryPause)
		a.options.Recorder.Record(event.RolloutPaused, timeline.Entry{Detail: v.Service + " " + v.Target + " for " + canaryPause.String()})

		go a.applyRole()
	}
}

// reportLoop reports counts to the judges while a roll-out of the service runs.
func (a *Agent) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		interval := baselineReportInterval

		if v, ok := a.view(a.options.Service); ok && !v.State.Final() {
			a.report(ctx, v)

			if a.localVersion() == v.Target {
				interval = canaryReportInterval
			}
		}

		idle.For(ctx, interval)
	}
}

func (a *Agent) localVersion() string {
	a.local.mu.Lock()
	defer a.local.mu.Unlock()

	return a.local.version
}

func (a *Agent) report(ctx context.Context, v view) {
	self := a.options.Members.Self()

	r := evidence.Report{
		Node: self.ID, Boot: a.options.Boot, Service: v.Service, Version: a.localVersion(), Epoch: v.Epoch, Revision: v.Revision,
		InFlight: a.options.InFlight(), Strata: a.counter.Strata(),
	}
	if r.Version == "" || (len(r.Strata) == 0 && v.State != rollout.Moving) {
		return
	}

	for _, judge := range a.judgeRecords() {
		if judge.ID == self.ID {
			a.addReport(r)

			continue
		}

		go a.sendReport(ctx, judge, r)
	}
}

func (a *Agent) sendReport(ctx context.Context, judge membership.Record, r evidence.Report) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()

	_ = a.options.Peers.Do(ctx, judge.PeerAddress, peer.LaneControl, methodReport, r, &empty{}) // the next report has the same counts
}

// Assign returns the canary nodes at which a call is to be tried first, or none. It is called
// once for each call.
func (a *Agent) Assign(service, route string) []membership.Record {
	v, ok := a.view(service)
	if !ok || v.State != rollout.Running {
		return nil
	}

	turn, open := exposure.Turn(time.Since(v.ordered), v.Duration())

	canaries := a.options.Members.OnTrial(service)
	if len(canaries) == 0 || !a.options.Budget.Take(v.Revision, route, open) {
		return nil
	}

	out := make([]membership.Record, 0, candidates)

	for i := range canaries {
		c := canaries[(turn+i)%len(canaries)]
		if c.Upstream.Version == v.Target && len(out) < candidates {
			out = append(out, c)
		}
	}

	return out
}

// Unassign takes back the assignment of a call that reached no canary.
func (a *Agent) Unassign(service, route string) {
	if v, ok := a.view(service); ok {
		a.options.Budget.Return(v.Revision, route)
	}
}
