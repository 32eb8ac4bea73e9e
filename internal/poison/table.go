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
// callers are, so that a repeat finds them warned; one that can't be reached is told
// again until it answers, and the call itself brings the word to the next gate. After
// the second crash the request is refused for a while, finally and at once.
//
// Most suspects are innocent: calls that ran beside the bad one. A suspect that finished
// anywhere since shortly before the crashed call began is cleared, everywhere. Until then
// it runs in one place at a time, by permission of the gate that saw the crash, and only
// once all gates that are thought to run know of it: copies that are sent through many
// nodes at once, or on both sides of a cut, can't each take down a backend server.
//
// Thresholds: two crashes, since after one nobody can tell the guilty from the
// others, and a third would tell nothing new. A timeout, a broken connection to a
// backend server that goes on, and a drain are no crashes.
//
// # Usage
//
//	w := poison.NewWatch(self, members, peers, recorder)
//	go w.Run(ctx)
//	end, err := w.Begin(ctx, c) // before the call runs
//	crashes := end(poison.Crashed)
//
// Table is what a gate knows, Watch what it does about it, with the parts ask, tell and
// permission for what it asks of the others.
package poison

import (
	"crypto/sha256"
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
type Crash = call.Crash

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

// Table is what one gate knows of suspects.
type Table struct {
	mu       sync.Mutex
	entries  map[Digest]*entry
	revision uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Digest]*entry{}} }

// Crashed notes that the request was in flight in a crash. The same crash counts
// once, however often it is told.
func (t *Table) Crashed(s Suspect, c Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.note(s, known{crash: c}, Hold)
}

// Saw is Crashed for a crash that was seen here; the call began at the given time.
func (t *Table) Saw(s Suspect, c Crash, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.note(s, known{crash: c}, Hold)
	e.began = began
	t.own(e)
}

// own has what is known of the request told to the other gates.
func (t *Table) own(e *entry) {
	t.revision++
	e.revision = t.revision
}

// Adopt has the others told of a request as if it had crashed here, in place of a gate
// that is gone. It reports whether the request is known.
func (t *Table) Adopt(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.entries[d]
	if e == nil {
		return false
	}

	if e.revision == 0 {
		t.own(e)
	}

	return true
}

func (t *Table) note(s Suspect, k known, left time.Duration) *entry {
	now := time.Now()

	e := t.entries[s.Digest]
	if e == nil || now.After(e.until) {
		t.room()

		e = &entry{suspect: s}
		t.entries[s.Digest] = e
	}

	if e.add(k) {
		if until := now.Add(min(left, Hold)); until.After(e.until) {
			e.until = until
		}
	}

	return e
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

// Finished clears a suspect that ran to its end of all crashes that are known here, and
// reports whether it was one. A request that crashes each backend server which runs it
// never does.
func (t *Table) Finished(s Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.entries[s.Digest]
	if e == nil || e.suspect.Whole != s.Whole || len(e.counted()) == 0 {
		return false
	}

	for i := range e.crashes {
		e.crashes[i].cleared = true
	}

	t.own(e)

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

	crashes := e.counted()
	if len(crashes) == 0 {
		return Verdict{}
	}

	return Verdict{Suspected: true, Refused: len(crashes) >= Limit, Left: left, Crash: crashes[0]}
}

// Crashes returns the crashes of a request that count.
func (t *Table) Crashes(d Digest) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()

	if e := t.entries[d]; e != nil {
		return e.counted()
	}

	return nil
}

// Size returns the number of suspects.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.entries)
}
