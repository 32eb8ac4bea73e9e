// Package explain walks from the ID of a failed call to its cause, over the log lines
// of the nodes that the call touched.
//
// It prints what each node decided on the call and on the calls that its run made, in
// the order of time, and what these nodes believed anew shortly before: a node or a
// backend server that was avoided, a member that was suspected, a store that was lost.
//
//	err := explain.Call(os.Stdout, "9c41d07be2a35f68", logFiles...)
//
// Causes adds up what all calls without success were lost to, by route and by time.
//
//	err := explain.Causes(os.Stdout, logFiles...)
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrUnknown means that no line speaks of the call.
var ErrUnknown = errs.New("explain.unknown", http.StatusNotFound, "no line speaks of the call")

const (
	// before is how long before a call's last line beliefs count as its causes:
	// suspicions need some seconds to be settled.
	before = 5 * time.Second
	// maxLine bounds a line; longer ones are not ours.
	maxLine = 1 << 20
	// firstCall and afterCalls are the numbers of events of single calls.
	firstCall  = 400
	afterCalls = 600
)

// line is one line of a node's log. The first names are those of log/slog.
type line struct {
	Time   time.Time `json:"time"` //nolint:tagliatelle // as log/slog writes it
	Name   string    `json:"msg"`  //nolint:tagliatelle // as log/slog writes it
	Number int       `json:"Event"`
	Node   string    `json:"Node"`
	Call   string    `json:"Call"`
	Peer   string    `json:"Peer"`
	Detail string    `json:"Detail"`
	// Version of the settings by which the node decided.
	Version uint64 `json:"Version"`
}

// Call writes the walk of a call.
func Call(out io.Writer, id string, logs ...io.Reader) error {
	all, err := merge(logs)
	if err != nil {
		return err
	}

	own := slices.DeleteFunc(slices.Clone(all), func(l line) bool { return !l.of(id) })
	if len(own) == 0 {
		return ErrUnknown.With("%s; lines of calls that went well are a sample", id)
	}

	return write(out, id, own, beliefs(all, own))
}

// of reports whether the line speaks of the call, or of a call that its run made.
func (l line) of(id string) bool { return l.Call == id || strings.HasPrefix(l.Call, id+".") }

// beliefs are what the touched nodes came to believe shortly before the call's end.
func beliefs(all, own []line) []line {
	touched := map[string]bool{}
	for _, l := range own {
		touched[l.Node] = true
		touched[l.Peer] = true
	}

	last := own[len(own)-1].Time

	return slices.DeleteFunc(slices.Clone(all), func(l line) bool {
		call := l.Number >= firstCall && l.Number < afterCalls

		return call || l.Number == 0 || !touched[l.Node] || l.Time.After(last) || l.Time.Before(last.Add(-before))
	})
}

func write(out io.Writer, id string, own, around []line) error {
	first := own[0].Time

	if _, err := fmt.Fprintf(out, "call %s\n", id); err != nil {
		return err
	}

	if err := section(out, "what was decided on it", own, first); err != nil {
		return err
	}

	return section(out, "what its nodes came to believe in the 5 s before", around, first)
}

func section(out io.Writer, title string, lines []line, first time.Time) error {
	if _, err := fmt.Fprintf(out, "\n%s\n", title); err != nil {
		return err
	}

	if len(lines) == 0 {
		_, err := fmt.Fprintln(out, "  nothing")

		return err
	}

	for _, l := range lines {
		if _, err := fmt.Fprintf(out, "  %s\n", l.text(first)); err != nil {
			return err
		}
	}

	return nil
}

func (l line) text(first time.Time) string {
	text := fmt.Sprintf("%+8.0f ms  %-24s %d %s", float64(l.Time.Sub(first).Microseconds())/1000, l.Node, l.Number, l.Name)

	if l.Peer != "" {
		text += " at " + l.Peer
	}

	if l.Version != 0 {
		text += fmt.Sprintf(" version %d", l.Version)
	}

	if l.Detail != "" {
		text += ": " + l.Detail
	}

	return text
}

// merge returns the lines of all logs in the order of time.
func merge(logs []io.Reader) ([]line, error) {
	var all []line

	for _, l := range logs {
		lines, err := read(l)
		if err != nil {
			return nil, err
		}

		all = append(all, lines...)
	}

	slices.SortStableFunc(all, func(a, b line) int { return a.Time.Compare(b.Time) })

	return all, nil
}

// read takes the lines that are a node's; whatever collects logs may put its own text
// in front of them.
func read(in io.Reader) ([]line, error) {
	var out []line

	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLine)

	for s.Scan() {
		text := s.Bytes()

		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}

		var l line
		if json.Unmarshal(text[start:], &l) != nil {
			continue // another program's line
		}

		out = append(out, l)
	}

	return out, s.Err()
}
