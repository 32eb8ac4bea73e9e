package record_test

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/once/record"
)

func named(id string, generation uint64) record.Key {
	return record.Key{ID: id, Generation: generation}
}

func answer(body int) record.Outcome {
	return record.Outcome{Answer: &call.Answer{Status: http.StatusOK, Body: make([]byte, body), Ran: call.RanYes}}
}

func open(t *testing.T, b *record.Table, k record.Key) *record.Record {
	t.Helper()

	r, fresh, err := b.Open(k, record.Digest{})
	assert.NilError(t, err)
	assert.Assert(t, fresh)

	return r
}

// A burst of new keys fills the table. Dropping an old record to make room would allow a second run
// of its key, so new keys are rejected instead.
func TestFullTableRejectsNewKeysAndKeepsRecords(t *testing.T) {
	b := record.New(record.Records(2))
	first := open(t, b, named("a", 1))
	b.Settle(first, answer(1))
	open(t, b, named("b", 1))

	_, _, err := b.Open(named("c", 1), record.Digest{})
	assert.ErrorIs(t, err, record.ErrFull)

	r, fresh, err := b.Open(named("a", 1), record.Digest{})
	assert.NilError(t, err)
	assert.Assert(t, !fresh && r == first)
}

// A key that is retried after its record was dropped must not be treated as new, since its call
// would run a second time.
func TestDroppedKeyIsNotTreatedAsNew(t *testing.T) {
	b := record.New(record.Generations(2))
	b.Settle(open(t, b, named("a", 1)), answer(1))
	b.Settle(open(t, b, record.Key{ID: "donation-1", Opaque: true}), answer(1))
	running := open(t, b, named("slow", 1))

	for range 3 {
		b.Rotate()
	}

	_, _, err := b.Open(named("a", 1), record.Digest{})
	assert.ErrorIs(t, err, record.ErrDropped)

	_, _, err = b.Open(record.Key{ID: "donation-1", Opaque: true}, record.Digest{})
	assert.ErrorIs(t, err, record.ErrDropped)

	_, _, err = b.Open(named("b", b.Generation()+1), record.Digest{})
	assert.ErrorIs(t, err, record.ErrFuture)

	// A record that is not settled is kept regardless of its age.
	r, fresh, err := b.Open(named("slow", 1), record.Digest{})
	assert.NilError(t, err)
	assert.Assert(t, !fresh && r == running)

	records, bytes := b.Size()
	assert.Equal(t, records, 1)
	assert.Equal(t, bytes, 0)
}

// A few large answers must not exhaust the node's memory. A call that waits for the run receives
// the whole answer; a later retry learns only that the key ran.
func TestLargeAnswersAreNotKept(t *testing.T) {
	b := record.New(record.Answer(10), record.Answers(15))
	r := open(t, b, named("a", 1))
	wait, err := b.Wait(r)
	assert.NilError(t, err)

	b.Settle(r, answer(11))
	assert.Equal(t, len((<-wait).Answer.Body), 11)

	wait, err = b.Wait(r)
	assert.NilError(t, err)

	later := <-wait
	assert.Assert(t, later.Dropped && later.Answer.Status == http.StatusOK && later.Answer.Body == nil)

	for i := range 3 {
		b.Settle(open(t, b, named(fmt.Sprint(i), 1)), answer(8))
	}

	_, bytes := b.Size()
	assert.Equal(t, bytes, 8)
}

// A caller that keeps retrying a key whose run is slow must not take unbounded memory.
func TestWaitersPerKeyAreBounded(t *testing.T) {
	b := record.New()
	r := open(t, b, named("a", 1))

	for range record.MaxWaiters {
		_, err := b.Wait(r)
		assert.NilError(t, err)
	}

	_, err := b.Wait(r)
	assert.ErrorIs(t, err, record.ErrWaiting)
}

const longKey = "pc1.nottm-a-browse-1.mjf2k0x1-9f8e7d6c5b4a3021.7.01JE2Z9T4S0W5Q8R6M%08d"

// Operators size nodes by the memory of a full table: at most 1 KB per key whose answer is a small
// receipt.
func TestMemoryPerKeyIsBounded(t *testing.T) {
	const keys = 10_000

	b := record.New()
	before := heap()

	for i := range keys {
		b.Settle(open(t, b, named(fmt.Sprintf(longKey, i), 1)), answer(100))
	}

	each := (heap() - before) / keys
	t.Logf("%d bytes per key with an answer of 100 bytes", each)
	assert.Assert(t, each < 1000, "%d", each)
	runtime.KeepAlive(b)
}

func heap() uint64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&m)

	return m.HeapAlloc
}

// Bounds the allocations per record: the record, the channel and list of its waiters, and shares of
// the maps.
func TestAllocationsPerRecordAreBounded(t *testing.T) {
	b := record.New(record.Records(1 << 20))
	o := answer(100)
	n := 0

	allocations := testing.AllocsPerRun(2000, func() {
		n++
		runRecord(b, fmt.Sprintf(longKey, n), o)
	})
	assert.Assert(t, allocations <= 8, "%v", allocations)
}

func runRecord(b *record.Table, id string, o record.Outcome) {
	r, _, err := b.Open(record.Key{ID: id, Generation: b.Generation()}, record.Digest{})
	if err != nil {
		panic(err)
	}

	wait, err := b.Wait(r)
	if err != nil {
		panic(err)
	}

	b.Settle(r, o)
	<-wait
}

func BenchmarkRecord(b *testing.B) {
	table := record.New(record.Records(1 << 30))
	o := answer(100)

	b.ReportAllocs()

	for n := 0; b.Loop(); n++ {
		runRecord(table, fmt.Sprintf(longKey, n), o)
	}
}
