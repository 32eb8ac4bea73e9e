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

// Recorder holds the newest entries of one node and logs each.
//
// Events of single calls have a ring of their own: at hundreds of calls a second
// they would push out within seconds what explains an outage, such as who was
// taken for dead and when a version came in force.
type Recorder struct {
	options Options
	clock   Clock

	mu    sync.Mutex
	rare  ring
	calls ring
	once  *bounded.Map[struct{}]
}

// The numbers of events of single calls and their keys.
const (
	firstCall = 400
	afterKeys = 600
)

// ring keeps the newest entries.
type ring struct {
	size    int
	entries []Entry
	next    int
}

func (r *ring) keep(e Entry) {
	if len(r.entries) < r.size {
		r.entries = append(r.entries, e)

		return
	}

	r.entries[r.next] = e
	r.next = (r.next + 1) % r.size
}

// take returns the entries that the filter takes, oldest first.
func (r *ring) take(f Filter) []Entry {
	var out []Entry

	for i := range r.entries {
		if e := r.entries[(r.next+i)%len(r.entries)]; f.Takes(e) {
			out = append(out, e)
		}
	}

	return out
}

// New returns a recorder.
func New(opts ...Option) *Recorder {
	o := newOptions(opts...)

	return &Recorder{options: o, rare: ring{size: o.Size}, calls: ring{size: o.Size}, once: bounded.New[struct{}](maxOnce)}
}

// Clock returns the node's clock.
func (r *Recorder) Clock() *Clock { return &r.clock }

// maxOnce bounds what is remembered of entries that are told once: some hundred
// instances and keys with a few reasons each.
const maxOnce = 4096

// Once records an entry unless one with the same number and detail was recorded by it
// before. Who sends what can't be read sends it again, several times a second.
func (r *Recorder) Once(e event.Event, entry Entry) {
	name := e.Name + " " + entry.Detail

	r.mu.Lock()
	_, told := r.once.Get(name)
	r.once.At(name)
	r.mu.Unlock()

	if !told {
		r.Record(e, entry)
	}
}

// Record stamps the entry, keeps it and logs it.
func (r *Recorder) Record(e event.Event, entry Entry) {
	entry.Stamp = r.clock.Now()
	entry.Node = r.options.Node
	entry.Number = e.Number
	entry.Name = e.Name
	r.keep(e, entry)
	r.log(e, entry)
}

func (r *Recorder) keep(e event.Event, entry Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e.Number >= firstCall && e.Number < afterKeys {
		r.calls.keep(entry)
	} else {
		r.rare.keep(entry)
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

// Entries returns the kept entries that the filter takes, oldest first; with a
// limit the newest of them, those of single calls first to go.
func (r *Recorder) Entries(f Filter) []Entry {
	r.mu.Lock()
	rare, calls := r.rare.take(f), r.calls.take(f)
	r.mu.Unlock()

	if f.Limit > 0 {
		rare = newest(rare, f.Limit)
		calls = newest(calls, f.Limit-len(rare))
	}

	return Merge(rare, calls)
}

func newest(entries []Entry, count int) []Entry {
	return entries[max(len(entries)-count, 0):]
}

// Filter says which entries are wanted; a zero field takes all.
type Filter struct {
	Call    string `json:"Call" msgpack:"Call"`
	Key     string `json:"Key" msgpack:"Key"`
	Version uint64 `json:"Version" msgpack:"Version"`
	// Node takes what the node tells and what others tell of it.
	Node string `json:"Node" msgpack:"Node"`
	// Event is the name or the number of an event.
	Event   string `json:"Event" msgpack:"Event"`
	SinceMs int64  `json:"SinceMs" msgpack:"SinceMs"`
	// Limit bounds the entries of each node, the newest ones.
	Limit int `json:"Limit" msgpack:"Limit"`
}

// Takes reports whether the entry passes.
func (f Filter) Takes(e Entry) bool {
	return wants(f.Call, e.Call) && wants(f.Key, e.Key) &&
		wants(f.Node, e.Node, e.Peer) && wants(f.Event, e.Name, strconv.Itoa(e.Number)) &&
		(f.Version == 0 || f.Version == e.Version) &&
		f.SinceMs <= e.Stamp.WallMs
}

// wants reports whether a field of a filter takes one of the values.
func wants(field string, values ...string) bool {
	return field == "" || slices.Contains(values, field)
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
