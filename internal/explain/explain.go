// Package explain finds the cause of a failed call in the logs of the nodes.
//
// Call prints, in order of time, the events of a call and of the calls nested in it, and then
// the changes in the views of the nodes involved shortly before the call ended: for example a
// backend server that was avoided, a member that was suspected, or a store that was unavailable.
//
//	err := explain.Call(os.Stdout, "9c41d07be2a35f68", logFiles...)
//
// For a call that was refused by its key or by a limit, Call also prints by which version or limit, with its counts.
//
// Causes counts all failed calls by route and cause and by time, and those refused by keys and limits.
//
//	err := explain.Causes(os.Stdout, logFiles...)
//
// Rollout prints the course of the roll-outs of a service.
//
//	err := explain.Rollout(os.Stdout, "browse", logFiles...)
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

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrUnknown reports that no log line mentions the call.
var ErrUnknown = errs.New("explain.unknown", http.StatusNotFound, "no line speaks of the call")

const (
	// viewPeriod is the time before a call's last event in which changes of view count as
	// possible causes. A suspicion takes some seconds to be confirmed or refuted.
	viewPeriod = 5 * time.Second
	// maxLine is the maximum length of a log line in bytes. Nodes write no longer lines.
	maxLine = 1 << 20
	// Events of single calls have numbers from firstCallEvent up to, not including,
	// endCallEvents.
	firstCallEvent = 400
	endCallEvents  = 600
)

// line is a line of a node's log. Time and Name have the JSON names that log/slog writes.
type line struct {
	Time   time.Time `json:"time"` //nolint:tagliatelle // as log/slog writes it
	Name   string    `json:"msg"`  //nolint:tagliatelle // as log/slog writes it
	Number int       `json:"Event"`
	Node   string    `json:"Node"`
	Call   string    `json:"Call"`
	Peer   string    `json:"Peer"`
	Detail string    `json:"Detail"`
	// Version is the settings version that the node used.
	Version uint64 `json:"Version"`
}

// Call writes the events of a call and the changes of view that may have caused its failure.
func Call(out io.Writer, id string, logs ...io.Reader) error {
	all, err := merge(logs)
	if err != nil {
		return err
	}

	callLines := slices.DeleteFunc(slices.Clone(all), func(l line) bool { return !l.concerns(id) })
	if len(callLines) == 0 {
		return ErrUnknown.With("%s; lines of calls that went well, or were refused by keys and limits, are a sample", id)
	}

	if err := write(out, id, callLines, viewChanges(all, callLines)); err != nil {
		return err
	}

	return writeRefusal(out, all, callLines)
}

// concerns reports whether the line is about the call or about a call nested in it.
func (l line) concerns(id string) bool { return l.Call == id || strings.HasPrefix(l.Call, id+".") }

// viewChanges returns the changes of view at the involved nodes in the viewPeriod before the
// call's last event.
func viewChanges(all, callLines []line) []line {
	involved := map[string]bool{}
	for _, l := range callLines {
		involved[l.Node] = true
		involved[l.Peer] = true
	}

	last := callLines[len(callLines)-1].Time

	return slices.DeleteFunc(slices.Clone(all), func(l line) bool {
		call := l.Number >= firstCallEvent && l.Number < endCallEvents || l.Number == event.KeyRefused.Number

		return call || l.Number == 0 || !involved[l.Node] || l.Time.After(last) || l.Time.Before(last.Add(-viewPeriod))
	})
}

func write(out io.Writer, id string, callLines, changes []line) error {
	first := callLines[0].Time

	if _, err := fmt.Fprintf(out, "call %s\n", id); err != nil {
		return err
	}

	if err := writeSection(out, "what was decided on it", callLines, first); err != nil {
		return err
	}

	return writeSection(out, "what its nodes came to believe in the 5 s before", changes, first)
}

func writeSection(out io.Writer, title string, lines []line, first time.Time) error {
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

// merge returns the lines of all logs, sorted by time.
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

// read returns the lines that a node wrote. Log collectors may put a prefix before the JSON
// object of a line.
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
			continue // not a line of a node
		}

		out = append(out, l)
	}

	return out, s.Err()
}
