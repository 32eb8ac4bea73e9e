// Package invariant checks, while the program runs, the promises that must
// always hold.
//
// A broken promise is a fault of this program, never of its surroundings: it is
// counted in metrics, recorded as event 900 with the version, key or call that
// it concerns, and ends a test at once, so that the stack shows who broke it.
// A running node goes on: one wrong call must not take the other calls with it.
//
// # Usage
//
//	invariant.Check(recorder, invariant.VersionsGoUp, next > held, timeline.Entry{Version: next})
//
// Checks are counted too, since a promise that was never checked was not shown.
// A check costs one atomic addition and no allocation while it holds.
package invariant

import (
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Invariant is one promise.
type Invariant int

// The promises.
const (
	// VersionsGoUp: a node never takes a version lower than the one it holds.
	VersionsGoUp Invariant = iota
	// VersionsAreWhole: the records in force are exactly those of one version.
	VersionsAreWhole
	// ServicesAreKnown: each route in force leads to a declared service, and a
	// call runs on a backend server of its route's service.
	ServicesAreKnown
	// KeysStartOnce: this process starts a non-idempotent key at most once.
	KeysStartOnce
	// AnswersMatch: an answer goes to the call that it was given for.
	AnswersMatch
	// NothingAfterDrain: a backend server that is leaving gets no new call.
	NothingAfterDrain

	count
)

// String returns the name used in metrics and events.
func (i Invariant) String() string {
	names := [count]string{
		"VersionsGoUp", "VersionsAreWhole", "ServicesAreKnown", "KeysStartOnce", "AnswersMatch", "NothingAfterDrain",
	}

	return names[i]
}

// All returns the promises.
func All() []Invariant {
	out := make([]Invariant, count)
	for i := range out {
		out[i] = Invariant(i)
	}

	return out
}

// Recorder takes events.
type Recorder interface {
	Record(e event.Event, entry timeline.Entry)
}

type tally struct{ checked, broken atomic.Int64 }

// Counts are of the process: a promise broken anywhere in it is broken.
var tallies [count]tally

// fatal is replaced by the tests of this package only.
var fatal = testing.Testing()

// Check counts the check, and reports a promise that does not hold. It returns
// whether it holds, so that the caller can refuse to go on.
func Check(r Recorder, i Invariant, holds bool, entry timeline.Entry) bool {
	tallies[i].checked.Add(1)

	if !holds {
		broken(r, i, entry)
	}

	return holds
}

func broken(r Recorder, i Invariant, entry timeline.Entry) {
	tallies[i].broken.Add(1)

	entry.Detail = i.String() + " " + entry.Detail
	r.Record(event.InvariantBroken, entry)

	if fatal {
		panic("invariant broken: " + entry.Detail)
	}
}

// Counts returns how often the promise was checked and found broken.
func Counts(i Invariant) (checked, broken int64) {
	return tallies[i].checked.Load(), tallies[i].broken.Load()
}

// Names of the metrics.
const (
	MetricChecked = "pollencart_invariant_checks_total"
	MetricBroken  = "pollencart_invariant_broken_total"
)

// Collector gives the counts as metrics.
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
		checked, broken := Counts(i)
		out <- prometheus.MustNewConstMetric(checkedDesc, prometheus.CounterValue, float64(checked), i.String())
		out <- prometheus.MustNewConstMetric(brokenDesc, prometheus.CounterValue, float64(broken), i.String())
	}
}
