// Package invariant checks at run time the invariants of the program.
//
// A violation is a defect of this program, never an effect of its environment. It is counted in
// metrics and recorded as event 900 with the version, key or call that it concerns. In a test
// it panics, so that the stack shows the cause. A running node continues: one wrong call must
// not fail the other calls.
//
// # Usage
//
//	invariant.Check(recorder, invariant.VersionsGoUp, next > held, timeline.Entry{Version: next})
//
// Passed checks are counted too, since an invariant that is never checked is not verified. A
// passed check costs one atomic addition and no allocation.
package invariant

import (
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Invariant identifies one invariant.
type Invariant int

// The checked invariants.
const (
	// VersionsGoUp: a node never activates a version lower than its active one.
	VersionsGoUp Invariant = iota
	// VersionsAreWhole: the active records are exactly those of one version.
	VersionsAreWhole
	// ServicesAreKnown: each active route leads to a declared service, and a call
	// runs on a backend server of its route's service.
	ServicesAreKnown
	// KeysStartOnce: this process starts a non-idempotent key at most once.
	KeysStartOnce
	// AnswersMatch: an answer is returned only to its own call.
	AnswersMatch
	// NothingAfterDrain: a draining backend server gets no new call.
	NothingAfterDrain

	count
)

// String returns the name that metrics and events use.
func (i Invariant) String() string {
	names := [count]string{
		"VersionsGoUp", "VersionsAreWhole", "ServicesAreKnown", "KeysStartOnce", "AnswersMatch", "NothingAfterDrain",
	}

	return names[i]
}

// All returns all invariants.
func All() []Invariant {
	out := make([]Invariant, count)
	for i := range out {
		out[i] = Invariant(i)
	}

	return out
}

// Recorder records events.
type Recorder interface {
	Record(e event.Event, entry timeline.Entry)
}

type counters struct{ checked, violated atomic.Int64 }

// counts are shared by the whole process, so that a violation anywhere in it is reported.
var counts [count]counters

// Only the tests of this package change panicOnViolation.
var panicOnViolation = testing.Testing()

// Check counts a check of the invariant and reports a violation unless holds is true. It
// returns holds, so that the caller can stop.
func Check(r Recorder, i Invariant, holds bool, entry timeline.Entry) bool {
	counts[i].checked.Add(1)

	if !holds {
		violated(r, i, entry)
	}

	return holds
}

// Violation is the value of the panic with which a violated invariant ends a test.
type Violation string

// violated counts and records a violation, and panics in a test.
func violated(r Recorder, i Invariant, entry timeline.Entry) {
	counts[i].violated.Add(1)

	entry.Detail = i.String() + " " + entry.Detail
	r.Record(event.InvariantBroken, entry)

	if panicOnViolation {
		panic(Violation("invariant violated: " + entry.Detail))
	}
}

// Counts returns the numbers of checks and of violations of the invariant.
func Counts(i Invariant) (checked, violated int64) {
	return counts[i].checked.Load(), counts[i].violated.Load()
}

// Names of the metrics.
const (
	MetricChecked = "pollencart_invariant_checks_total"
	MetricBroken  = "pollencart_invariant_broken_total"
)

// Collector exports the counts as metrics.
type Collector struct{}

var (
	checkedDesc = prometheus.NewDesc(MetricChecked, "Checks of promises that always hold.", []string{"Invariant"}, nil)
	brokenDesc  = prometheus.NewDesc(MetricBroken, "Promises found broken; report any.", []string{"Invariant"}, nil)
)

// Describe implements prometheus.Collector.
func (Collector) Describe(out chan<- *prometheus.Desc) {
	out <- checkedDesc
	out <- brokenDesc
}

// Collect implements prometheus.Collector.
func (Collector) Collect(out chan<- prometheus.Metric) {
	for _, i := range All() {
		checked, violated := Counts(i)
		out <- prometheus.MustNewConstMetric(checkedDesc, prometheus.CounterValue, float64(checked), i.String())
		out <- prometheus.MustNewConstMetric(brokenDesc, prometheus.CounterValue, float64(violated), i.String())
	}
}
