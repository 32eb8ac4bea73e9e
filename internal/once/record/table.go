// Package record stores the records of the idempotency keys that one process owns.
//
// The records let the owner answer retries: a caller that received no answer sends its upload
// again, and without a record of the first run a donation would be booked twice. A key is recorded
// before anything of its call leaves the process. Its record ends as ran, not-run or unknown and
// does not change after that.
//
// Memory is bounded in two ways. New keys are rejected once the table has its maximum number of
// records, and records are dropped by whole generations, never one by one. A key of a dropped
// generation is rejected as unknown, so a dropped record cannot cause a second run. An opaque key
// names no generation; a Bloom filter keeps the dropped opaque keys.
//
//	r, fresh, err := t.Open(record.Key{ID: text, Generation: 7}, digest)
//	if fresh { ...run the call...; t.Settle(r, record.Outcome{Answer: &answer}) }
//	wait, err := t.Wait(r)
//	outcome := <-wait
package record

import (
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/once/bloom"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of a key that cannot be recorded or waited for.
var (
	ErrFull    = errs.New("once.full", http.StatusServiceUnavailable, "the home of the key holds as many records as it may")
	ErrDropped = errs.New("once.dropped", http.StatusConflict, "the key is older than the records that are held")
	ErrFuture  = errs.New("once.future", http.StatusBadRequest, "the key names a generation that has not begun")
	// ErrTakenOver means that an earlier owner of the shard may have run the key.
	ErrTakenOver = errs.New("once.taken_over", http.StatusConflict, "the home of the key was replaced and may have run it before")
	// ErrWaiting bounds the memory that a caller can take by retrying one key in rapid succession.
	ErrWaiting  = errs.New("once.waiting", http.StatusTooManyRequests, "too many repeats wait for the same key")
	ErrMismatch = errs.New("once.mismatch", http.StatusUnprocessableEntity, "the key was used for another request")
)

// Digest distinguishes the requests of one key.
type Digest [16]byte

// Outcome is the result of a run: an answer, or a refusal that says whether the call ran.
type Outcome struct {
	Answer  *call.Answer
	Refusal *call.Refusal
	// Dropped reports that the body of the answer was too large to keep.
	Dropped bool
}

// Key identifies a record.
type Key struct {
	ID string
	// Generation is the generation that the key names.
	Generation uint64
	// Opaque is set for a key that names neither an owner nor a generation.
	Opaque bool
	// Wait is the remaining time in which an opaque key without a record is rejected, because an
	// earlier owner of its shard may have run it.
	Wait time.Duration
}

// Record is the state of one key.
type Record struct {
	id      string
	opaque  bool
	digest  Digest
	settled bool
	outcome Outcome
	waiters []chan Outcome
}

// Table stores records by key.
type Table struct {
	options Options

	mu           sync.Mutex
	records      map[string]*Record
	byGeneration map[uint64][]*Record // dropped as a whole
	generation   uint64
	oldest       uint64
	answerBytes  int // total size of the stored bodies
	dropped      bloom.Filter
}

// New returns an empty table in its first generation.
func New(opts ...Option) *Table {
	return &Table{
		options: newOptions(opts...), records: map[string]*Record{}, byGeneration: map[uint64][]*Record{},
		generation: 1, oldest: 1,
	}
}

// Generation returns the current generation, which new keys name.
func (t *Table) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.generation
}

// Size returns the number of records and the total size of their answers in bytes.
func (t *Table) Size() (records, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.records), t.answerBytes
}

// Has reports whether the key has a record.
func (t *Table) Has(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.records[k.ID] != nil
}

// Open returns the record of a key and whether this call created it. Only the caller that created
// the record may run the call.
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
		err = t.checkOpaque(k)
	} else {
		err = t.checkGeneration(k)
	}

	if err != nil {
		return nil, false, err
	}

	if len(t.records) >= t.options.Records {
		return nil, false, ErrFull.With("%d", t.options.Records)
	}

	r = &Record{id: k.ID, opaque: k.Opaque, digest: d}
	t.records[k.ID] = r
	t.byGeneration[k.Generation] = append(t.byGeneration[k.Generation], r)

	return r, true, nil
}

func (t *Table) checkGeneration(k Key) error {
	if k.Generation < t.oldest {
		return ErrDropped.With("generation %d, held from %d", k.Generation, t.oldest)
	}

	if k.Generation > t.generation {
		return ErrFuture
	}

	return nil
}

// checkOpaque rejects a key whose record may have been dropped here, or that an earlier owner of
// the shard may have run.
func (t *Table) checkOpaque(k Key) error {
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

// MaxWaiters bounds the calls that wait for the outcome of one key.
const MaxWaiters = 64

// Wait returns a channel that receives the outcome.
func (t *Table) Wait(r *Record) (<-chan Outcome, error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	out := make(chan Outcome, 1)

	if r.settled {
		out <- r.outcome

		return out, nil
	}

	if len(r.waiters) >= MaxWaiters {
		return nil, ErrWaiting
	}

	r.waiters = append(r.waiters, out)

	return out, nil
}

// Settle ends a record. Waiting calls receive the whole outcome; the outcome stored for later
// retries may lack the body.
func (t *Table) Settle(r *Record, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, w := range r.waiters {
		w <- o
	}

	r.waiters = nil
	r.settled = true
	r.outcome = t.limitBody(o)
}

// limitBody removes a body that exceeds the limits, so that a few large answers cannot exhaust the
// node's memory.
func (t *Table) limitBody(o Outcome) Outcome {
	if o.Answer == nil {
		return o
	}

	size := len(o.Answer.Body)
	if size > t.options.Answer || t.answerBytes+size > t.options.Answers {
		short := *o.Answer
		short.Body = nil

		return Outcome{Answer: &short, Dropped: true}
	}

	t.answerBytes += size

	return o
}

// Rotate starts a generation and drops those over the limit. Records that are not settled move to
// the new generation, since dropping them would leave their keys without an outcome.
func (t *Table) Rotate() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.generation++
	for t.generation-t.oldest >= t.options.Generations {
		for _, r := range t.byGeneration[t.oldest] {
			t.drop(r)
		}

		delete(t.byGeneration, t.oldest)
		t.oldest++
	}
}

func (t *Table) drop(r *Record) {
	if !r.settled {
		t.byGeneration[t.generation] = append(t.byGeneration[t.generation], r)

		return
	}

	delete(t.records, r.id)

	if r.opaque {
		t.dropped.Add(r.id)
	}

	if r.outcome.Answer != nil {
		t.answerBytes -= len(r.outcome.Answer.Body)
	}
}
