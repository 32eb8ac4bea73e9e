package explain

import (
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/event"
)

const (
	// window is the time that a row of the second table covers: shorter than most outages,
	// longer than callers wait.
	window = 2 * time.Second
	// maxCauses is the maximum number of rows in the table of causes.
	maxCauses = 24
)

// cause is the route, status and reason that failed calls have in common.
type cause struct {
	route, status, reason string
}

// causeStats sums up the failed calls of a cause: their number, their total duration and the
// total number of nodes contacted.
type causeStats struct {
	cause

	calls     int
	took      time.Duration
	contacted int
}

// Causes writes two tables of failed calls, by route and cause and by time, from the logs of
// the nodes that callers reached. Nodes log every failed call, not a sample, so the counts are
// complete unless log lines were dropped.
func Causes(out io.Writer, logs ...io.Reader) error {
	all, err := merge(logs)
	if err != nil {
		return err
	}

	failed := slices.DeleteFunc(slices.Clone(all), func(l line) bool { return l.Number != event.CallFailed.Number })

	if err := writeCauses(out, failed); err != nil {
		return err
	}

	if err := writeWindows(out, failed); err != nil {
		return err
	}

	return writeRefusals(out, all)
}

// outcomePattern matches the detail of the event that the dispatcher records for a finished call.
var outcomePattern = regexp.MustCompile(`^status (\d+) route (\S*) ms (\d+) asked (\d+) sent \d+(?: workspace .+?)?(?: waited \d+)?` +
	`(?: canary \S+)?(?: stopping, connected \d+ ahead \d+)?(?: reason (.*))?$`)

// variablePart matches the parts of a reason that differ between calls, such as addresses and IDs.
var variablePart = regexp.MustCompile(`[0-9a-f.:]{7,}|\d+`)

// maxReasonLen limits the length of a reason in bytes, so that a row fits on one line.
const maxReasonLen = 70

// causeStats returns the cause and the figures of a failed call.
func (l line) causeStats() (causeStats, bool) {
	m := outcomePattern.FindStringSubmatch(l.Detail)
	if m == nil {
		return causeStats{}, false
	}

	took, contacted := parseNumber(m[3]), parseNumber(m[4])

	reason := m[5]
	if reason == "" {
		reason = "the backend server's own answer"
	}

	reason = variablePart.ReplaceAllString(reason, "N")

	return causeStats{
		cause: cause{route: m[2], status: m[1], reason: reason[:min(len(reason), maxReasonLen)]},
		calls: 1, took: time.Duration(took) * time.Millisecond, contacted: contacted,
	}, true
}

// parseNumber parses a string that outcomePattern has matched as digits.
func parseNumber(digits string) int {
	n, _ := strconv.Atoi(digits) // no duration or count of a call overflows an int

	return n
}

func writeCauses(out io.Writer, failed []line) error {
	sums := map[cause]*causeStats{}

	for _, l := range failed {
		x, ok := l.causeStats()
		if !ok {
			continue
		}

		if sums[x.cause] == nil {
			sums[x.cause] = &causeStats{cause: x.cause}
		}

		s := sums[x.cause]
		s.calls, s.took, s.contacted = s.calls+1, s.took+x.took, s.contacted+x.contacted
	}

	rows := make([]*causeStats, 0, len(sums))
	for _, s := range sums {
		rows = append(rows, s)
	}

	slices.SortFunc(rows, func(a, b *causeStats) int {
		return cmp.Or(cmp.Compare(b.calls, a.calls), cmp.Compare(a.route, b.route), cmp.Compare(a.status, b.status), cmp.Compare(a.reason, b.reason))
	})

	if _, err := fmt.Fprintf(out, "%d calls without success, by route and cause\n\n%7s  %-12s %6s %8s %6s  %s\n",
		len(failed), "calls", "route", "status", "mean ms", "asked", "cause"); err != nil {
		return err
	}

	for _, r := range rows[:min(len(rows), maxCauses)] {
		if _, err := fmt.Fprintf(out, "%7d  %-12s %6s %8d %6.1f  %s\n",
			r.calls, r.route, r.status, r.took.Milliseconds()/int64(r.calls), float64(r.contacted)/float64(r.calls), r.reason); err != nil {
			return err
		}
	}

	return nil
}

// writeWindows writes the number of failed calls and the most frequent cause for each window.
func writeWindows(out io.Writer, failed []line) error {
	if _, err := fmt.Fprintf(out, "\nby %s from the first of them\n\n%7s %7s  %s\n", window, "second", "calls", "most of them"); err != nil {
		return err
	}

	for i := 0; i < len(failed); {
		windowOf := func(l line) int { return int(l.Time.Sub(failed[0].Time) / window) }
		next := i

		for next < len(failed) && windowOf(failed[next]) == windowOf(failed[i]) {
			next++
		}

		most, count := mostFrequent(failed[i:next])
		if _, err := fmt.Fprintf(out, "%7d %7d  %d %s %s %s\n",
			windowOf(failed[i])*int(window.Seconds()), next-i, count, most.route, most.status, most.reason); err != nil {
			return err
		}

		i = next
	}

	return nil
}

// mostFrequent returns the most frequent cause and its number of calls.
func mostFrequent(lines []line) (most cause, count int) {
	counts := map[cause]int{}

	for _, l := range lines {
		x, ok := l.causeStats()
		if !ok {
			continue
		}

		counts[x.cause]++

		if counts[x.cause] > count {
			most, count = x.cause, counts[x.cause]
		}
	}

	return most, count
}
