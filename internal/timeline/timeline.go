// Package timeline records what one node did, in bounded memory, and merges the
// records of many nodes into one time line.
//
//	r := timeline.New(timeline.Node("nottm-a-1"))
//	r.Record(event.VersionInForce, timeline.Entry{Version: 7})
//	entries := timeline.Merge(mine, theirs)
package timeline

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"

	"github.com/pollencart/pollencart/internal/event"
)

// Entry is one event on one node.
type Entry struct {
	Stamp   Stamp  `json:"Stamp" msgpack:"Stamp"`
	Node    string `json:"Node" msgpack:"Node"`
	Number  int    `json:"Number" msgpack:"Number"`
	Name    string `json:"Name" msgpack:"Name"`
	Call    string `json:"Call,omitempty" msgpack:"Call,omitempty"`
	Key     string `json:"Key,omitempty" msgpack:"Key,omitempty"`
	Version uint64 `json:"Version,omitempty" msgpack:"Version,omitempty"`
	Peer    string `json:"Peer,omitempty" msgpack:"Peer,omitempty"`
	Detail  string `json:"Detail,omitempty" msgpack:"Detail,omitempty"`
}

// Recorder holds the newest entries of one node and logs each.
type Recorder struct {
	options Options
	clock   Clock

	mu   sync.Mutex
	ring []Entry
	next int
}

// New returns a recorder.
func New(opts ...Option) *Recorder {
	o := newOptions(opts...)

	return &Recorder{options: o, ring: make([]Entry, 0, o.Size)}
}

// Clock returns the node's clock.
func (r *Recorder) Clock() *Clock { return &r.clock }

// Record stamps the entry, keeps it and logs it.
func (r *Recorder) Record(e event.Event, entry Entry) {
	entry.Stamp = r.clock.Now()
	entry.Node = r.options.Node
	entry.Number = e.Number
	entry.Name = e.Name
	r.keep(entry)
	r.log(e, entry)
}

func (r *Recorder) keep(entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if len(r.ring) < r.options.Size {
		r.ring = append(r.ring, entry)

		return
	}

	r.ring[r.next] = entry
	r.next = (r.next + 1) % r.options.Size
}

func (r *Recorder) log(e event.Event, entry Entry) {
	if !r.options.Logger.Enabled(context.Background(), e.Level) {
		return
	}

	attrs := []slog.Attr{slog.Int("Event", e.Number), slog.String("Node", entry.Node)}
	for _, f := range []struct{ key, value string }{
		{"Call", entry.Call}, {"Key", entry.Key}, {"Peer", entry.Peer}, {"Detail", entry.Detail},
	} {
		if f.value != "" {
			attrs = append(attrs, slog.String(f.key, f.value))
		}
	}

	if entry.Version != 0 {
		attrs = append(attrs, slog.Uint64("Version", entry.Version))
	}

	r.options.Logger.LogAttrs(context.Background(), e.Level, e.Name, attrs...)
}

// Entries returns the kept entries that the filter takes, oldest first.
func (r *Recorder) Entries(f Filter) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()

	var out []Entry

	for i := range r.ring {
		entry := r.ring[(r.next+i)%len(r.ring)]
		if f.Takes(entry) {
			out = append(out, entry)
		}
	}

	return out
}

// Filter says which entries are wanted; a zero field takes all.
type Filter struct {
	Call    string `json:"Call" msgpack:"Call"`
	Key     string `json:"Key" msgpack:"Key"`
	Version uint64 `json:"Version" msgpack:"Version"`
	Node    string `json:"Node" msgpack:"Node"`
	SinceMs int64  `json:"SinceMs" msgpack:"SinceMs"`
}

// Takes reports whether the entry passes.
func (f Filter) Takes(e Entry) bool {
	return (f.Call == "" || f.Call == e.Call) &&
		(f.Key == "" || f.Key == e.Key) &&
		(f.Version == 0 || f.Version == e.Version) &&
		(f.Node == "" || f.Node == e.Node) &&
		f.SinceMs <= e.Stamp.WallMs
}

// Merge orders entries of many nodes by their stamps.
func Merge(lists ...[]Entry) []Entry {
	out := slices.Concat(lists...)
	slices.SortStableFunc(out, func(a, b Entry) int {
		if c := a.Stamp.Compare(b.Stamp); c != 0 {
			return c
		}

		return strings.Compare(a.Node, b.Node)
	})

	return out
}
