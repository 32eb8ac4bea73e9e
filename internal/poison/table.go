// Package poison keeps a request that crashes the backend servers which run it
// from taking down more than two of them.
//
// It answers one bad request that its caller, or the mesh itself by its retries,
// sends again and again: each time another backend server of the service ends,
// with all calls that run on it, until none is left.
//
// A request is told by a digest of method, URI and body; not by its key, since a
// caller that tries again may take a new one. What was in flight when a backend
// server crashed is suspected, and every gate of the service is told before the
// callers are, so that a repeat finds them warned. After the second crash the
// request is refused for a while, finally and at once.
//
// Most suspects are innocent: calls that ran beside the bad one. A suspect that
// finished anywhere since shortly before the crashed call began is cleared, everywhere. Until then it runs in one place at a
// time, by permission of the gate that saw the crash, so that copies sent through
// many nodes at once can't each take down a backend server.
//
// Thresholds: two crashes, since after one nobody can tell the guilty from the
// others, and a third would tell nothing new. A timeout, a broken connection to a
// backend server that still listens, and a drain are no crashes.
//
//	t := poison.NewTable()
//	t.Crashed(suspect, crash, reporter)
//	verdict := t.Judge(suspect.Digest)
package poison

import (
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/call"
)

const (
	// Limit is how many backend servers a request may take down.
	Limit = 2
	// Hold is how long a request is refused after its second crash, and how long a
	// suspicion lasts: long enough for somebody to look, and for the next release
	// of the service or its caller to be there on the next working day's first try.
	Hold = 10 * time.Minute
	// MaxSuspects bounds the table. A crash adds no more than the slots of one
	// backend server; a thousand crashes within Hold fit.
	MaxSuspects = 10_000
)

// Digest tells requests apart.
type Digest [16]byte

// Suspect is a request that was in flight when a backend server crashed.
type Suspect struct {
	Digest Digest `msgpack:"Digest"`
	// Whole also covers the headers: only a request that is equal to the last
	// detail clears a suspect, since the crash may hang on a header.
	Whole uint64 `msgpack:"Whole"`
}

// Of returns what a request is suspected by.
func Of(c call.Call) Suspect {
	s := sha256.New()
	s.Write([]byte(c.Method))
	s.Write([]byte{0})
	s.Write([]byte(c.URI))
	s.Write([]byte{0})
	s.Write(c.Body)

	return Suspect{Digest: Digest(s.Sum(nil)[:len(Digest{})]), Whole: wholeOf(c)}
}

// wholeOf is cheap, since it is worked out for every call. Headers come in any
// order, so their hashes are added up.
func wholeOf(c call.Call) uint64 {
	sum := pair(c.Method, c.URI) + xxhash.Sum64(c.Body)
	for _, f := range c.Header {
		sum += pair(f.Name, f.Value)
	}

	return sum
}

func pair(a, b string) uint64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)

	return d.Sum64()
}

// Crash names one end of one backend server.
type Crash struct {
	// Gate is the node that saw it, by its life, and Number counts there.
	Gate   string `msgpack:"Gate"`
	Number uint64 `msgpack:"Number"`
	// Address is where the gate is asked for permission.
	Address string `msgpack:"Address"`
}

// Verdict is what is known of a request.
type Verdict struct {
	// Suspected is set after the first crash, Refused after the second.
	Suspected bool
	Refused   bool
	// Left is how long the verdict holds.
	Left time.Duration
	// Crash is the first one; its gate permits to run the request.
	Crash Crash
}

type entry struct {
	suspect Suspect
	crashes []Crash
	until   time.Time
}

// Table is what one gate knows of suspects.
type Table struct {
	mu      sync.Mutex
	entries map[Digest]*entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Digest]*entry{}} }

// Crashed notes that the request was in flight in a crash. The same crash counts
// once, however often it is told.
func (t *Table) Crashed(s Suspect, c Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.entries[s.Digest]
	if e == nil || time.Now().After(e.until) {
		t.room()

		e = &entry{suspect: s}
		t.entries[s.Digest] = e
	}

	known := slices.ContainsFunc(e.crashes, func(o Crash) bool { return o.Gate == c.Gate && o.Number == c.Number })
	if known {
		return
	}

	if len(e.crashes) < Limit {
		e.crashes = append(e.crashes, c)
	}

	e.until = time.Now().Add(Hold)
}

// room drops what has run out, and at the bound the suspicion that ends first;
// refused requests go last, since they are known to be guilty.
func (t *Table) room() {
	if len(t.entries) < MaxSuspects {
		return
	}

	now := time.Now()

	var (
		oldest Digest
		first  *entry
	)

	for d, e := range t.entries {
		if now.After(e.until) {
			delete(t.entries, d)

			continue
		}

		if first == nil || before(e, first) {
			oldest, first = d, e
		}
	}

	if len(t.entries) >= MaxSuspects {
		delete(t.entries, oldest)
	}
}

func before(a, b *entry) bool {
	if len(a.crashes) != len(b.crashes) {
		return len(a.crashes) < len(b.crashes)
	}

	return a.until.Before(b.until)
}

// Finished clears a suspect that ran to its end, and reports whether it was one.
// A request that crashes each backend server which runs it never does.
func (t *Table) Finished(s Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.entries[s.Digest]
	if e == nil || e.suspect.Whole != s.Whole {
		return false
	}

	delete(t.entries, s.Digest)

	return true
}

// Judge says whether a request may run.
func (t *Table) Judge(d Digest) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.entries[d]
	if e == nil {
		return Verdict{}
	}

	left := time.Until(e.until)
	if left <= 0 {
		delete(t.entries, d)

		return Verdict{}
	}

	return Verdict{Suspected: true, Refused: len(e.crashes) >= Limit, Left: left, Crash: e.crashes[0]}
}

// Size returns the number of suspects.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.entries)
}

// Report is what one gate tells another of one suspect.
type Report struct {
	// Age is how long the call had run when it crashed.
	Age     time.Duration `msgpack:"Age"`
	Suspect Suspect       `msgpack:"Suspect"`
	Crashes []Crash       `msgpack:"Crashes"`
	// Cleared says that the suspect finished.
	Cleared bool `msgpack:"Cleared"`
}

// Reports returns all that is known, for a gate that starts afresh.
func (t *Table) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()

	out := make([]Report, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, Report{Suspect: e.suspect, Crashes: slices.Clone(e.crashes)})
	}

	return out
}

// Merge takes reports of another gate.
func (t *Table) Merge(reports []Report) {
	for _, r := range reports {
		if r.Cleared {
			t.Finished(r.Suspect)

			continue
		}

		for _, c := range r.Crashes {
			t.Crashed(r.Suspect, c)
		}
	}
}
