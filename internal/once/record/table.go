// Package record holds the records of the keys that one process is the home of.
//
// It answers repeats: a caller that got no answer sends its upload again, and a
// donation is booked twice unless somebody knows that the first one was started.
// A key is recorded before anything of its call leaves the process. The record
// ends in ran, not-run or unknown and never changes after that.
//
// Memory is bounded twice: by a number of records, at which new keys are
// refused, and by generations, which are dropped whole. A record is never
// dropped before its generation, and a key of a dropped generation is refused as
// unknown, so that forgetting can't run a key again. An opaque key names no
// generation; a filter remembers the dropped ones.
//
//	r, fresh, err := t.Open(record.Key{ID: text, Generation: 7}, digest)
//	if fresh { ...run the call...; t.Settle(r, record.Outcome{Answer: &answer}) }
//	outcome := <-t.Wait(r)
package record

import (
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/once/bloom"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of a key that gets no record.
var (
	ErrFull    = errs.New("once.full", http.StatusServiceUnavailable, "the home of the key holds as many records as it may")
	ErrDropped = errs.New("once.dropped", http.StatusConflict, "the key is older than the records that are held")
	ErrFuture  = errs.New("once.future", http.StatusBadRequest, "the key names a generation that has not begun")
	// ErrTakenOver means that an earlier owner of the shard may have run the key.
	ErrTakenOver = errs.New("once.taken_over", http.StatusConflict, "the home of the key was replaced and may have run it before")
	// ErrWaiting keeps a caller that hammers one key from taking the memory.
	ErrWaiting  = errs.New("once.waiting", http.StatusTooManyRequests, "too many repeats wait for the same key")
	ErrMismatch = errs.New("once.mismatch", http.StatusUnprocessableEntity, "the key was used for another request")
)

// Digest tells requests apart.
type Digest [16]byte

// Outcome is how a record ends: an answer, or a refusal that says whether the
// call ran.
type Outcome struct {
	Answer  *call.Answer
	Refusal *call.Refusal
	// Dropped says that the body of the answer was too large to keep.
	Dropped bool
}

// Key is what a record is found by.
type Key struct {
	ID string
	// Generation is the one that a key names.
	Generation uint64
	// Opaque says that the key names none.
	Opaque bool
	// Wait is set for an opaque key whose shard another process owned before: it
	// is not started for so long.
	Wait time.Duration
}

// Record is what is known of one key.
type Record struct {
	id      string
	opaque  bool
	digest  Digest
	settled bool
	outcome Outcome
	waiting []chan Outcome
}

// Table holds records.
type Table struct {
	options Options

	mu         sync.Mutex
	records    map[string]*Record
	lists      map[uint64][]*Record // by generation, to drop them whole
	generation uint64
	lowest     uint64
	answers    int // bytes
	dropped    bloom.Filter
}

// New returns an empty table in its first generation.
func New(opts ...Option) *Table {
	return &Table{
		options: newOptions(opts...), records: map[string]*Record{}, lists: map[uint64][]*Record{},
		generation: 1, lowest: 1,
	}
}

// Generation returns the newest generation, which new keys name.
func (t *Table) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.generation
}

// Size returns the number of records and the bytes of their answers.
func (t *Table) Size() (records, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.records), t.answers
}

// Has reports whether the key was opened before.
func (t *Table) Has(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.records[k.ID] != nil
}

// Open returns the record of a key and whether it was made now. Only who made it
// may run the call.
func (t *Table) Open(k Key, d Digest) (r *Record, fresh bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if r := t.records[k.ID]; r != nil {
		if r.digest != d {
			return nil, false, ErrMismatch
		}

		return r, false, nil
	}

	if k.Opaque {
		k.Generation = t.generation
		err = t.mayOpenOpaque(k)
	} else {
		err = t.mayOpen(k)
	}

	if err != nil {
		return nil, false, err
	}

	if len(t.records) >= t.options.Records {
		return nil, false, ErrFull.With("%d", t.options.Records)
	}

	r = &Record{id: k.ID, opaque: k.Opaque, digest: d}
	t.records[k.ID] = r
	t.lists[k.Generation] = append(t.lists[k.Generation], r)

	return r, true, nil
}

func (t *Table) mayOpen(k Key) error {
	if k.Generation < t.lowest {
		return ErrDropped.With("generation %d, held from %d", k.Generation, t.lowest)
	}

	if k.Generation > t.generation {
		return ErrFuture
	}

	return nil
}

// mayOpenOpaque refuses what may have been dropped here or run by an earlier
// owner of the shard.
func (t *Table) mayOpenOpaque(k Key) error {
	if t.dropped.Has(k.ID) {
		return ErrDropped
	}

	if k.Wait > 0 {
		return ErrTakenOver.With("for %s", k.Wait.Round(time.Second))
	}

	if t.dropped.Full() {
		return ErrFull.With("%d opaque keys dropped", bloom.Capacity)
	}

	return nil
}

// MaxWaiting bounds the repeats that wait for one key.
const MaxWaiting = 64

// Wait returns a channel that gets the outcome.
func (t *Table) Wait(r *Record) (<-chan Outcome, error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	out := make(chan Outcome, 1)

	if r.settled {
		out <- r.outcome

		return out, nil
	}

	if len(r.waiting) >= MaxWaiting {
		return nil, ErrWaiting
	}

	r.waiting = append(r.waiting, out)

	return out, nil
}

// Settle ends a record. Who waits gets the whole outcome; what is kept for later
// repeats may be without the body.
func (t *Table) Settle(r *Record, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, w := range r.waiting {
		w <- o
	}

	r.waiting = nil
	r.settled = true
	r.outcome = t.fit(o)
}

// fit drops a body that is over the bounds, so that a few large answers can't
// take the memory of the node.
func (t *Table) fit(o Outcome) Outcome {
	if o.Answer == nil {
		return o
	}

	size := len(o.Answer.Body)
	if size > t.options.Answer || t.answers+size > t.options.Answers {
		short := *o.Answer
		short.Body = nil

		return Outcome{Answer: &short, Dropped: true}
	}

	t.answers += size

	return o
}

// Rotate begins a generation and drops the ones that are over the number held.
// What has not ended yet is moved to the new one: dropping it would let its key
// end in nothing.
func (t *Table) Rotate() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.generation++
	for t.generation-t.lowest >= t.options.Generations {
		for _, r := range t.lists[t.lowest] {
			t.drop(r)
		}

		delete(t.lists, t.lowest)
		t.lowest++
	}
}

func (t *Table) drop(r *Record) {
	if !r.settled {
		t.lists[t.generation] = append(t.lists[t.generation], r)

		return
	}

	delete(t.records, r.id)

	if r.opaque {
		t.dropped.Add(r.id)
	}

	if r.outcome.Answer != nil {
		t.answers -= len(r.outcome.Answer.Body)
	}
}
