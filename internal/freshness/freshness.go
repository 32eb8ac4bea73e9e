// Package freshness tracks whether the active version of a node is the newest one.
//
// A node learns two things. It hears from other nodes that they have a newer version, and lacks
// that version until it is active. And it learns that a version was the newest in the store at some
// moment: the older that knowledge, the more likely is a newer version that nobody has told it of.
// That a connection to the store or to another node works proves neither.
//
// # Usage
//
//	t := freshness.New(holder.Number)
//	t.Hear(freshness.Report{Version: 8, Address: "10.0.0.7:7000", Grace: 600 * time.Millisecond})
//	if gap, lacks := t.Gap(); lacks {
//		// after gap.Due, get gap.Version from one of gap.Sources
//	}
//	t.Confirm(8, time.Now())
//	age, ok := t.Age()
package freshness

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxReports limits the remembered nodes with a newer version.
	maxReports = 4
	// reportTTL is how long a report is believed without being repeated. A version that no
	// reachable node has is forgotten after it.
	reportTTL = 10 * time.Second
	// refutedAfter is how much younger than a report the knowledge must be that the store has no
	// such version. It is more than messages take that can cross each other.
	refutedAfter = time.Second
)

// Report says that a node has a version.
type Report struct {
	Version uint64
	// Address is the peer address of the node that has it.
	Address string
	// Relayed is true if another node passed the report on. Such a report is not passed on again,
	// or reports would keep each other alive.
	Relayed bool
	// Grace is the time within which the version usually arrives by itself.
	Grace time.Duration
}

// Gap describes a version that a node lacks.
type Gap struct {
	Version uint64
	// Since is when the node began to lack a version, or last made progress. Due is the end of the
	// time within which the version usually arrives by itself.
	Since, Due time.Time
	// Sources are nodes with a newer version than the active one, the newest version first.
	Sources []Report
}

// Direct returns the first source that was not reported by a third node, if there is one.
func (g Gap) Direct() (Report, bool) {
	i := slices.IndexFunc(g.Sources, func(r Report) bool { return !r.Relayed })
	if i < 0 {
		return Report{}, false
	}

	return g.Sources[i], true
}

// Tracker compares the active version of a node with what it has heard.
type Tracker struct {
	active func() uint64

	mu         sync.Mutex
	reports    []received
	since      time.Time // zero while no version is missing
	lastActive uint64
	confirmed  confirmation
	missing    chan struct{}
}

type received struct {
	Report

	at time.Time
}

// confirmation says that a version was the newest in the store at a moment.
type confirmation struct {
	version uint64
	at      time.Time
}

// refutes reports whether the store had no version as new as reported, well after the report.
func (c confirmation) refutes(r received) bool {
	return c.version < r.Version && c.at.Sub(r.at) > refutedAfter
}

// New returns a tracker for a node whose active version the function returns.
func New(active func() uint64) *Tracker {
	return &Tracker{active: active, missing: make(chan struct{}, 1)}
}

// Hear records a report. It has no effect if the active version is not older.
func (t *Tracker) Hear(r Report) {
	if r.Version <= t.active() || r.Address == "" {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()
	i := slices.IndexFunc(t.reports, func(known received) bool { return known.Address == r.Address })

	switch {
	case i < 0:
		t.reports = append(t.reports, received{r, now})
	case r.Version > t.reports[i].Version, r.Version == t.reports[i].Version && (!r.Relayed || t.reports[i].Relayed):
		t.reports[i] = received{r, now}
	}

	t.refresh(now)

	select {
	case t.missing <- struct{}{}:
	default:
	}
}

// Missing signals that a version may be missing.
func (t *Tracker) Missing() <-chan struct{} { return t.missing }

// refresh drops reports that are settled, expired or refuted; t.mu is held.
func (t *Tracker) refresh(now time.Time) {
	active := t.active()
	t.reports = slices.DeleteFunc(t.reports, func(r received) bool {
		return r.Version <= active || now.Sub(r.at) > reportTTL || t.confirmed.refutes(r)
	})

	// The newest versions come first, and of these the latest reports.
	slices.SortStableFunc(t.reports, func(a, b received) int {
		if a.Version != b.Version {
			return compare(a.Version > b.Version)
		}

		return compare(a.at.After(b.at))
	})

	t.reports = t.reports[:min(len(t.reports), maxReports)]

	switch {
	case len(t.reports) == 0:
		t.since = time.Time{}
	case t.since.IsZero() || active != t.lastActive:
		t.since = now
	}

	t.lastActive = active
}

func compare(first bool) int {
	if first {
		return -1
	}

	return 1
}

// Gap returns the version that the node lacks, if it lacks one.
func (t *Tracker) Gap() (Gap, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.refresh(time.Now())

	if len(t.reports) == 0 {
		return Gap{}, false
	}

	gap := Gap{Version: t.reports[0].Version, Since: t.since}
	grace := t.reports[0].Grace

	for _, r := range t.reports {
		gap.Sources = append(gap.Sources, r.Report)
		grace = min(grace, r.Grace)
	}

	gap.Due = t.since.Add(grace)

	return gap, true
}

// Lacks reports whether the node lacks a version that it has heard of.
func (t *Tracker) Lacks() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.refresh(time.Now())

	return len(t.reports) > 0
}

// Confirm records that a version was the newest in the store at a moment.
func (t *Tracker) Confirm(version uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if at.After(t.confirmed.at) {
		t.confirmed = confirmation{version, at}
	}
}

// ConfirmedAt returns the latest moment for which the newest version in the store is known. It is
// zero if there is none.
func (t *Tracker) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.confirmed.at
}

// Age returns the time since the active version was known to be the newest. It returns false if
// that was never known, or if the node lacks a version.
func (t *Tracker) Age() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()
	t.refresh(now)

	if len(t.reports) > 0 || t.confirmed.at.IsZero() || t.confirmed.version > t.active() {
		return 0, false
	}

	return now.Sub(t.confirmed.at), true
}
