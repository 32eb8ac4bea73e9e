package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// Promise is what is checked from outside.
type Promise string

// The promises.
const (
	PromiseVersionsGoUp    Promise = "NoVersionGoesBack"
	PromiseVersionsWhole   Promise = "AllOrNoneOfAVersion"
	PromiseAnswersMatch    Promise = "AnswerIsOfItsRequest"
	PromiseKeyOnce         Promise = "KeyRunsAtMostOnce"
	PromiseNotRun          Promise = "NotRunIsTrue"
	PromiseRan             Promise = "RanIsTrue"
	PromiseLeaving         Promise = "LeavingGetsNothingNew"
	PromisePlannedStop     Promise = "PlannedStopCutsNothing"
	PromiseOpenConnections Promise = "OpenConnectionsAreAnswered"
	PromiseNoHang          Promise = "NoCallWaitsPastItsDeadline"
	PromisePoison          Promise = "PoisonCrashesAtMostTwo"
	PromisePoisonInTouch   Promise = "PoisonCrashesAtMostTwoInTouch"
	PromiseInvariants      Promise = "InvariantsInside"
	PromiseAcceptedOnce    Promise = "AcceptanceIsSettledOnce"
	PromiseNoLostUpdate    Promise = "AcceptedChangeStays"
	PromiseRepairs         Promise = "RepairsItself"
	PromiseNodeStays       Promise = "NodeDoesNotCrash"
	PromiseServesAfterHeal Promise = "ServesAllAfterHealing"
)

// Promises lists all.
func Promises() []Promise {
	return []Promise{
		PromiseVersionsGoUp, PromiseVersionsWhole, PromiseAnswersMatch, PromiseKeyOnce, PromiseNotRun, PromiseRan,
		PromiseLeaving, PromisePlannedStop, PromiseOpenConnections, PromiseNoHang, PromisePoison, PromisePoisonInTouch,
		PromiseInvariants, PromiseAcceptedOnce,
		PromiseNoLostUpdate, PromiseRepairs, PromiseNodeStays, PromiseServesAfterHeal,
	}
}

// Result of one promise.
type Result struct {
	Checked int    `json:"Checked"`
	Broken  int    `json:"Broken"`
	First   string `json:"First,omitempty"`
}

// Calls is what callers got.
type Calls struct {
	Sent       int `json:"Sent"`
	Answered   int `json:"Answered"`
	NotRun     int `json:"NotRun"`
	Unknown    int `json:"Unknown"`
	Ran        int `json:"Ran"`
	NoAnswer   int `json:"NoAnswer"`
	Keys       int `json:"Keys"`
	Repeats    int `json:"Repeats"`
	KeysRun    int `json:"KeysRun"`
	KeysAnswer int `json:"KeysAnswer"`
}

// Report is what came of a soak.
type Report struct {
	Seed        uint64       `json:"Seed"`
	Rounds      int          `json:"Rounds"`
	Seconds     float64      `json:"Seconds"`
	Steps       map[Kind]int `json:"Steps"`
	Skipped     map[Kind]int `json:"Skipped"`
	Calls       Calls        `json:"Calls"`
	Accepted    int          `json:"Accepted"`
	NotAccepted int          `json:"NotAccepted"`
	Unsettled   int          `json:"Unsettled"`
	// InvariantChecks is how often nodes checked themselves.
	InvariantChecks int64 `json:"InvariantChecks"`
	// OlderAfterRestart is how often a fresh process began with an older version
	// than the one before it on its host had held.
	OlderAfterRestart int                `json:"OlderAfterRestart"`
	RepairMs          []int64            `json:"RepairMs"`
	Poisons           map[string]int     `json:"Poisons"`
	Results           map[Promise]Result `json:"Results"`
	Broken            int                `json:"Broken"`
}

// recorder collects the report; all parts of a soak write to it.
type recorder struct {
	mu     sync.Mutex
	report Report
	log    io.Writer
}

func newRecorder(seed uint64, log io.Writer) *recorder {
	r := &recorder{log: log, report: Report{
		Seed: seed, Steps: map[Kind]int{}, Skipped: map[Kind]int{}, Results: map[Promise]Result{}, Poisons: map[string]int{},
	}}

	for _, p := range Promises() {
		r.report.Results[p] = Result{}
	}

	return r
}

// check notes a check of a promise; detail says what was seen.
func (r *recorder) check(p Promise, holds bool, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	result := r.report.Results[p]
	result.Checked++

	if !holds {
		detail := fmt.Sprintf(format, args...)
		if result.Broken == 0 {
			result.First = detail
		}

		result.Broken++
		r.report.Broken++

		// With the time, so that the lines of the nodes can be found.
		fmt.Fprintf(r.log, "%s BROKEN %s: %s\n", time.Now().UTC().Format("15:04:05.000"), p, detail)
	}

	r.report.Results[p] = result
}

func (r *recorder) add(f func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()

	f(&r.report)
}

func (r *recorder) get() Report {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.report
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)

	fmt.Fprintln(t, "PROMISE\tCHECKED\tBROKEN\tFIRST SEEN")

	for _, p := range Promises() {
		result := r.Results[p]
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", p, result.Checked, result.Broken, result.First)
	}

	_ = t.Flush()

	c := r.Calls
	fmt.Fprintf(w, "\ncalls %d: answered %d, not-run %d, unknown %d, ran without answer %d, no reply %d\n",
		c.Sent, c.Answered, c.NotRun, c.Unknown, c.Ran, c.NoAnswer)
	fmt.Fprintf(w, "keys %d, repeats %d, ran %d, answered %d\n", c.Keys, c.Repeats, c.KeysRun, c.KeysAnswer)
	fmt.Fprintf(w, "nodes checked invariants %d times; began older after a restart %d times\n",
		r.InvariantChecks, r.OlderAfterRestart)
	fmt.Fprintf(w, "versions accepted %d, refused %d, unsettled %d; repair ms %v\n",
		r.Accepted, r.NotAccepted, r.Unsettled, r.RepairMs)

	for _, k := range slices.Sorted(maps.Keys(r.Steps)) {
		fmt.Fprintf(w, "%s %d (skipped %d)  ", k, r.Steps[k], r.Skipped[k])
	}

	fmt.Fprintln(w)
}
