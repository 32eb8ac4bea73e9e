package explain

import (
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"

	"github.com/pollencart/pollencart/internal/event"
)

var (
	// refusedPattern matches the detail of a call that was refused by its key or the limit of its workspace.
	refusedPattern = regexp.MustCompile(`^status (401|429) route (\S*) .*? reason (.*)$`)
	// exceededPattern matches the detail of QuotaExceeded, leftOutPattern the end of that of KeyRefused.
	exceededPattern = regexp.MustCompile(`^workspace (.*): refused (\d+) of (\d+) calls(?:; last by: .*)?$`)
	leftOutPattern  = regexp.MustCompile(`, and (\d+) calls before it that have no line$`)
)

// writeRefusal writes why the call was refused by its key or by a limit, if it was.
func writeRefusal(out io.Writer, all, callLines []line) error {
	titled := false

	for _, l := range callLines {
		m := refusedPattern.FindStringSubmatch(l.Detail)
		if m == nil || l.Number != event.KeyRefused.Number && l.Number != event.CallTurnedAway.Number {
			continue
		}

		if !titled {
			titled = true

			if _, err := fmt.Fprintf(out, "\nwhy it was refused\n"); err != nil {
				return err
			}
		}

		text := leftOutPattern.ReplaceAllString(m[3], "")
		if m[1] == "401" {
			text = "no workspace of that version has its key"
		}

		if _, err := fmt.Fprintf(out, "  %s by %s with version %d: %s%s\n", m[1], l.Node, l.Version, text, newerVersion(all, l)); err != nil {
			return err
		}
	}

	return nil
}

// newerVersion says which newer version was in force at another node by then.
func newerVersion(all []line, refused line) string {
	newest := line{Version: refused.Version}

	for _, l := range all {
		if l.Number == event.VersionInForce.Number && l.Version > newest.Version && !l.Time.After(refused.Time) {
			newest = l
		}
	}

	if newest.Version == refused.Version {
		return ""
	}

	before := refused.Time.Sub(newest.Time).Milliseconds()

	return fmt.Sprintf("; version %d was in force at %s %d ms before", newest.Version, newest.Node, before)
}

// exceeded sums up the calls of a workspace that its limit refused.
type exceeded struct {
	workspace      string
	refused, calls int
	nodes          map[string]bool
}

// writeRefusals writes the calls that were refused by limits and keys. Nodes count all of them, though few have
// lines of their own. Earlier logs have none.
func writeRefusals(out io.Writer, all []line) error {
	sums, keys := map[string]*exceeded{}, 0

	for _, l := range all {
		switch l.Number {
		case event.KeyRefused.Number:
			keys++

			if m := leftOutPattern.FindStringSubmatch(l.Detail); m != nil {
				keys += parseNumber(m[1])
			}
		case event.QuotaExceeded.Number:
			m := exceededPattern.FindStringSubmatch(l.Detail)
			if m == nil {
				continue
			}

			if sums[m[1]] == nil {
				sums[m[1]] = &exceeded{workspace: m[1], nodes: map[string]bool{}}
			}

			s := sums[m[1]]
			s.refused, s.calls = s.refused+parseNumber(m[2]), s.calls+parseNumber(m[3])
			s.nodes[l.Node] = true
		}
	}

	if keys > 0 {
		if _, err := fmt.Fprintf(out, "\n%d calls with unknown keys\n", keys); err != nil {
			return err
		}
	}

	return writeExceeded(out, sums)
}

func writeExceeded(out io.Writer, sums map[string]*exceeded) error {
	if len(sums) == 0 {
		return nil
	}

	rows := make([]*exceeded, 0, len(sums))
	for _, s := range sums {
		rows = append(rows, s)
	}

	slices.SortFunc(rows, func(a, b *exceeded) int {
		return cmp.Or(cmp.Compare(b.refused, a.refused), cmp.Compare(a.workspace, b.workspace))
	})

	if _, err := fmt.Fprintf(out, "\nrefused by limits, in seconds with refusals\n\n%7s %8s %6s  %s\n",
		"refused", "of calls", "nodes", "workspace"); err != nil {
		return err
	}

	for _, r := range rows[:min(len(rows), maxCauses)] {
		if _, err := fmt.Fprintf(out, "%7d %8d %6d  %s\n", r.refused, r.calls, len(r.nodes), r.workspace); err != nil {
			return err
		}
	}

	return nil
}
