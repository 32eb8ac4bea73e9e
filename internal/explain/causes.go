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
	// window is what the second table adds up: shorter than most troubles, longer than
	// a caller waits.
	window = 2 * time.Second
	// mostCauses is how many rows the table of causes has at the most.
	mostCauses = 24
)

// cause is why calls of a route ended without success.
type cause struct {
	route, status, reason string
}

// loss is what a cause took.
type loss struct {
	cause

	calls int
	took  time.Duration
	asked int
}

// Causes writes what calls were lost to, over the lines of the nodes that callers reached:
// by route and cause, and by time. Lines of failures are no sample, so the counts are
// whole as long as no line was left out.
func Causes(out io.Writer, logs ...io.Reader) error {
	all, err := merge(logs)
	if err != nil {
		return err
	}

	failed := slices.DeleteFunc(all, func(l line) bool { return l.Number != event.CallFailed.Number })

	if err := writeLosses(out, failed); err != nil {
		return err
	}

	return writeWindows(out, failed)
}

// outcome is how a dispatcher tells the end of a call.
var outcome = regexp.MustCompile(`^status (\d+) route (\S*) ms (\d+) asked (\d+) sent \d+(?: waited \d+)?(?: reason (.*))?$`)

// varying are the parts of a reason that differ from call to call.
var varying = regexp.MustCompile(`[0-9a-f.:]{7,}|\d+`)

// longestReason keeps a row on one line.
const longestReason = 70

func (l line) loss() (loss, bool) {
	m := outcome.FindStringSubmatch(l.Detail)
	if m == nil {
		return loss{}, false
	}

	took, asked := number(m[3]), number(m[4])

	reason := m[5]
	if reason == "" {
		reason = "the backend server's own answer"
	}

	reason = varying.ReplaceAllString(reason, "N")

	return loss{
		cause: cause{route: m[2], status: m[1], reason: reason[:min(len(reason), longestReason)]},
		calls: 1, took: time.Duration(took) * time.Millisecond, asked: asked,
	}, true
}

// number reads digits; the expression has matched nothing else.
func number(digits string) int {
	n, _ := strconv.Atoi(digits) // more than an int holds is no time of a call

	return n
}

func writeLosses(out io.Writer, failed []line) error {
	sums := map[cause]*loss{}

	for _, l := range failed {
		x, ok := l.loss()
		if !ok {
			continue
		}

		if sums[x.cause] == nil {
			sums[x.cause] = &loss{cause: x.cause}
		}

		s := sums[x.cause]
		s.calls, s.took, s.asked = s.calls+1, s.took+x.took, s.asked+x.asked
	}

	rows := make([]*loss, 0, len(sums))
	for _, s := range sums {
		rows = append(rows, s)
	}

	slices.SortFunc(rows, func(a, b *loss) int {
		return cmp.Or(cmp.Compare(b.calls, a.calls), cmp.Compare(a.route, b.route), cmp.Compare(a.status, b.status), cmp.Compare(a.reason, b.reason))
	})

	if _, err := fmt.Fprintf(out, "%d calls without success, by route and cause\n\n%7s  %-12s %6s %8s %6s  %s\n",
		len(failed), "calls", "route", "status", "mean ms", "asked", "cause"); err != nil {
		return err
	}

	for _, r := range rows[:min(len(rows), mostCauses)] {
		if _, err := fmt.Fprintf(out, "%7d  %-12s %6s %8d %6.1f  %s\n",
			r.calls, r.route, r.status, r.took.Milliseconds()/int64(r.calls), float64(r.asked)/float64(r.calls), r.reason); err != nil {
			return err
		}
	}

	return nil
}

// writeWindows writes how many calls were lost when, and to what most.
func writeWindows(out io.Writer, failed []line) error {
	if _, err := fmt.Fprintf(out, "\nby %s from the first of them\n\n%7s %7s  %s\n", window, "second", "calls", "most of them"); err != nil {
		return err
	}

	for i := 0; i < len(failed); {
		in := func(l line) int { return int(l.Time.Sub(failed[0].Time) / window) }
		next := i

		for next < len(failed) && in(failed[next]) == in(failed[i]) {
			next++
		}

		most, count := commonest(failed[i:next])
		if _, err := fmt.Fprintf(out, "%7d %7d  %d %s %s %s\n",
			in(failed[i])*int(window.Seconds()), next-i, count, most.route, most.status, most.reason); err != nil {
			return err
		}

		i = next
	}

	return nil
}

func commonest(lines []line) (most cause, count int) {
	counts := map[cause]int{}

	for _, l := range lines {
		x, ok := l.loss()
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
