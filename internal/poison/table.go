// Package poison keeps a request that crashes the backend servers which run it
// from crashing more than two of them.
//
// Without it, one bad request that its caller or the mesh retries crashes one
// backend server of the service after the other, with all calls that run there.
//
// A request is identified by a digest of method, URI and body, not by its key, since
// a caller may retry with a new one. Requests in flight when a backend server crashes
// become suspects. All live gates of the service are notified before the callers get
// their answers, so that a retry finds them notified. Gates that can't be reached are
// notified again until they answer, and the call itself carries its crashes to the
// next gate. After the second crash the request is refused at once, for Hold.
//
// Most suspects are unrelated calls that ran at the same time as the cause. A suspect
// that finished anywhere since shortly before the crashed call began is exonerated on
// all gates. Until then it runs in one place at a time, with a permit of the gate that
// saw the crash and only once all live gates know of it. So copies that are sent through
// many nodes at once, or on both sides of a partition, can't each crash a backend server.
//
// The limit is two crashes: one does not distinguish the cause from other suspects, and
// a third adds no information. A timeout, a broken connection to a backend server that
// keeps running, and a drain do not count as crashes.
//
// # Usage
//
//	w := poison.NewWatch(self, members, peers, recorder)
//	go w.Run(ctx)
//	end, err := w.Begin(ctx, c) // before the call runs
//	crashes := end(poison.Crashed)
//
// Table stores what a gate knows of suspects. Watch handles crashes and exchanges
// reports and permits with the other gates.
package poison

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/call"
)

const (
	// Limit is how many backend servers a request may crash.
	Limit = 2
	// Hold is how long a request is refused after its second crash, and how long a
	// suspicion lasts: long enough for an operator to investigate, and for a fixed
	// release of the service or its caller to be in place at the first try of the next
	// working day.
	Hold = 10 * time.Minute
	// MaxSuspects bounds the table. One crash adds at most as many suspects as a backend
	// server has slots; a thousand crashes within Hold fit.
	MaxSuspects = 10_000
)

// Digest identifies a request.
type Digest [16]byte

// Suspect is a request that was in flight when a backend server crashed.
type Suspect struct {
	Digest Digest `msgpack:"Digest"`
	// Whole also covers the headers: only an identical request exonerates a suspect,
	// since a header may cause the crash.
	Whole uint64 `msgpack:"Whole"`
}

// Of returns the suspect of a call's request.
func Of(c call.Call) Suspect {
	s := sha256.New()
	s.Write([]byte(c.Method))
	s.Write([]byte{0})
	s.Write([]byte(c.URI))
	s.Write([]byte{0})
	s.Write(c.Body)

	return Suspect{Digest: Digest(s.Sum(nil)[:len(Digest{})]), Whole: wholeHash(c)}
}

// wholeHash is cheap, since it runs for every call. It adds up the hashes of the headers,
// so that their order does not matter.
func wholeHash(c call.Call) uint64 {
	sum := hashPair(c.Method, c.URI) + xxhash.Sum64(c.Body)
	for _, f := range c.Header {
		sum += hashPair(f.Name, f.Value)
	}

	return sum
}

func hashPair(a, b string) uint64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)

	return d.Sum64()
}

// Crash identifies one crash of one backend server.
type Crash = call.Crash

// Verdict is what is known of a request.
type Verdict struct {
	// Suspected is set after the first crash, Refused after the second.
	Suspected bool
	Refused   bool
	// Left is how long the verdict remains valid.
	Left time.Duration
	// Crash is the first one; the gate that saw it grants permits for the request.
	Crash Crash
}

// Table stores what one gate knows of suspects.
type Table struct {
	mu       sync.Mutex
	entries  map[Digest]*entry
	revision uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Digest]*entry{}} }

// Crashed records that the request was in flight during a crash. A crash counts once,
// however often it is reported.
func (t *Table) Crashed(s Suspect, c Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.record(s, crashRecord{crash: c}, Hold)
}

// CrashedLocally is Crashed for a crash that this gate saw; the call began at the given
// time.
func (t *Table) CrashedLocally(s Suspect, c Crash, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.record(s, crashRecord{crash: c}, Hold)
	e.began = began
	t.bumpRevision(e)
}

// bumpRevision marks an entry as one that this gate reports to the others.
func (t *Table) bumpRevision(e *entry) {
	t.revision++
	e.revision = t.revision
}

// Adopt has this gate report a request to the others in place of a terminated gate, as if
// it had crashed here. It reports whether the request is known.
func (t *Table) Adopt(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.entries[d]
	if e == nil {
		return false
	}

	if e.revision == 0 {
		t.bumpRevision(e)
	}

	return true
}

// Renew has this gate report a request to all others again, also to those that know it.
func (t *Table) Renew(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if e := t.entries[d]; e != nil {
		t.bumpRevision(e)
	}
}

func (t *Table) record(s Suspect, k crashRecord, left time.Duration) *entry {
	now := time.Now()

	e := t.entries[s.Digest]
	if e == nil || now.After(e.until) {
		t.evict()

		e = &entry{suspect: s}
		t.entries[s.Digest] = e
	}

	if e.merge(k) {
		if until := now.Add(min(left, Hold)); until.After(e.until) {
			e.until = until
		}
	}

	return e
}

// evict drops expired entries and, if the table is still full, the suspicion that ends
// first. Refused requests are dropped last, since they are known to cause crashes.
func (t *Table) evict() {
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

		if first == nil || evictsBefore(e, first) {
			oldest, first = d, e
		}
	}

	if len(t.entries) >= MaxSuspects {
		delete(t.entries, oldest)
	}
}

// Finished exonerates a suspect that finished of all crashes known here, and reports
// whether it was suspected. A request that crashes each backend server which runs it
// never finishes.
func (t *Table) Finished(s Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.entries[s.Digest]
	if e == nil || e.suspect.Whole != s.Whole || len(e.counted()) == 0 {
		return false
	}

	for i := range e.crashes {
		e.crashes[i].exonerated = true
	}

	t.bumpRevision(e)

	return true
}

// Evaluate returns whether a request is suspected or refused.
func (t *Table) Evaluate(d Digest) Verdict {
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

// Crashes returns the crashes that count against a request.
func (t *Table) Crashes(d Digest) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()

	if e := t.entries[d]; e != nil {
		return e.counted()
	}

	return nil
}

// Size returns the number of entries.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.entries)
}
