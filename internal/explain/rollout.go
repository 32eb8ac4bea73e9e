package explain

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrNoRollout reports that no log line mentions a roll-out of the service.
var ErrNoRollout = errs.New("explain.no_rollout", http.StatusNotFound, "no line speaks of a roll-out of the service")

// Rollout writes the course of the roll-outs of a service: each state when the first node knew of
// it, with the reason and the evidence of a verdict, and how many nodes came to know of it.
func Rollout(out io.Writer, service string, logs ...io.Reader) error {
	all, err := merge(logs)
	if err != nil {
		return err
	}

	lines := slices.DeleteFunc(all, func(l line) bool { return !l.concernsRollout(service) })
	if len(lines) == 0 {
		return ErrNoRollout.With("%s", service)
	}

	nodes := map[string]int{}
	for _, l := range lines {
		nodes[l.rolloutStep()]++
	}

	written := map[string]bool{}

	for _, l := range lines {
		step := l.rolloutStep()
		if written[step] {
			continue
		}

		written[step] = true

		if _, err := fmt.Fprintf(out, "%s (%d lines)\n", l.text(lines[0].Time), nodes[step]); err != nil {
			return err
		}
	}

	return nil
}

func (l line) concernsRollout(service string) bool {
	return l.Number >= event.RolloutRunning.Number && l.Number <= event.RolloutPaused.Number && strings.HasPrefix(l.Detail, service+" ")
}

// rolloutStep identifies what a line reports, whichever node wrote it. Details go on with ages,
// which differ between nodes.
func (l line) rolloutStep() string {
	head, rest, _ := strings.Cut(l.Detail, " of ")
	_, reason, _ := strings.Cut(rest, ": ")

	return l.Name + head + reason
}
