// Package timeline records the events of one node in bounded memory, and merges the
// records of several nodes into one time line.
//
//	r := timeline.New(timeline.Node("nottm-a-1"))
//	r.Record(event.VersionInForce, timeline.Entry{Version: 7})
//	entries := timeline.Merge(mine, theirs)
package timeline

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pollencart/pollencart/internal/bounded"
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

// Recorder stores the newest entries of one node and logs each entry.
//
// Events of single calls have a separate ring: at hundreds of calls a second they
// would soon evict the entries that explain an outage, such as which node was
// considered failed and when a version became active.
type Recorder struct {
	options Options
	clock   Clock

	mu       sync.Mutex
	other    ring
	calls    ring
	recorded *bounded.Map[struct{}]
}

// Range of the event numbers of single calls and their keys.
const (
	firstCallEvent = 400
	endOfKeyEvents = 600
)

// ring stores the newest entries.
type ring struct {
	size    int
	entries []Entry
	next    int
}

func (r *ring) add(e Entry) {
	if len(r.entries) < r.size {
		r.entries = append(r.entries, e)

		return
	}

	r.entries[r.next] = e
	r.next = (r.next + 1) % r.size
}

// matching returns the entries that match the filter, oldest first.
func (r *ring) matching(f Filter) []Entry {
	var out []Entry

	for i := range r.entries {
		if e := r.entries[(r.next+i)%len(r.entries)]; f.Matches(e) {
			out = append(out, e)
		}
	}

	return out
}

// New returns a recorder.
func New(opts ...Option) *Recorder {
	o := newOptions(opts...)

	return &Recorder{options: o, other: ring{size: o.Size}, calls: ring{size: o.Size}, recorded: bounded.New[struct{}](maxRecordedOnce)}
}

// Clock returns the node's clock.
func (r *Recorder) Clock() *Clock { return &r.clock }

// maxRecordedOnce limits the remembered entries of Once. It fits several hundred
// instances and keys with a few reasons each.
const maxRecordedOnce = 4096

// Once records an entry unless an entry with the same event and detail was already
// recorded by Once. A sender of unreadable data retries several times a second.
func (r *Recorder) Once(e event.Event, entry Entry) {
	name := e.Name + " " + clip(entry.Detail, maxDetailBytes)

	r.mu.Lock()
	_, known := r.recorded.Get(name)
	r.recorded.At(name)
	r.mu.Unlock()

	if !known {
		r.Record(e, entry)
	}
}

// Record stamps, stores and logs the entry.
func (r *Recorder) Record(e event.Event, entry Entry) {
	entry = entry.clipped()
	entry.Stamp = r.clock.Now()
	entry.Node = r.options.Node
	entry.Number = e.Number
	entry.Name = e.Name
	r.add(e, entry)
	r.log(e, entry)
}

const (
	// maxNameBytes bounds the names of an entry, and maxDetailBytes its detail: clients choose some of them.
	maxNameBytes   = 128
	maxDetailBytes = 2 << 10
)

// clipped returns the entry with its texts cut to their bounds.
func (e Entry) clipped() Entry {
	e.Call, e.Key, e.Peer = clip(e.Call, maxNameBytes), clip(e.Key, maxNameBytes), clip(e.Peer, maxNameBytes)
	e.Detail = clip(e.Detail, maxDetailBytes)

	return e
}

// clip returns a copy of the beginning of a long text, which does not keep the rest in memory.
func clip(text string, most int) string {
	if len(text) <= most {
		return text
	}

	return strings.Clone(text[:most])
}

func (r *Recorder) add(e event.Event, entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e.Number >= firstCallEvent && e.Number < endOfKeyEvents {
		r.calls.add(entry)
	} else {
		r.other.add(entry)
	}
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

// Entries returns the stored entries that match the filter, oldest first. A limit
// keeps the newest entries, and drops those of single calls first.
func (r *Recorder) Entries(f Filter) []Entry {
	f.Call, f.Key = clip(f.Call, maxNameBytes), clip(f.Key, maxNameBytes) // as they are stored

	r.mu.Lock()
	other, calls := r.other.matching(f), r.calls.matching(f)
	r.mu.Unlock()

	if f.Limit > 0 {
		other = newest(other, f.Limit)
		calls = newest(calls, f.Limit-len(other))
	}

	return Merge(other, calls)
}

func newest(entries []Entry, count int) []Entry {
	return entries[max(len(entries)-count, 0):]
}

// Filter selects entries; a zero field matches all.
type Filter struct {
	Call    string `json:"Call" msgpack:"Call"`
	Key     string `json:"Key" msgpack:"Key"`
	Version uint64 `json:"Version" msgpack:"Version"`
	// Node matches entries of the node and entries of other nodes about it.
	Node string `json:"Node" msgpack:"Node"`
	// Event is the name or the number of an event.
	Event   string `json:"Event" msgpack:"Event"`
	SinceMs int64  `json:"SinceMs" msgpack:"SinceMs"`
	// Limit is the maximum number of entries of each node; the newest are kept.
	Limit int `json:"Limit" msgpack:"Limit"`
}

// Matches reports whether the filter selects the entry.
func (f Filter) Matches(e Entry) bool {
	return matchesField(f.Call, e.Call) && matchesField(f.Key, e.Key) &&
		matchesField(f.Node, e.Node, e.Peer) && matchesField(f.Event, e.Name, strconv.Itoa(e.Number)) &&
		(f.Version == 0 || f.Version == e.Version) &&
		f.SinceMs <= e.Stamp.WallMs
}

// matchesField reports whether a filter field is empty or equals one of the values.
func matchesField(field string, values ...string) bool {
	return field == "" || slices.Contains(values, field)
}

// Merge sorts the entries of several nodes by their stamps.
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
