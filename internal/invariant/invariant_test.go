package invariant

import (
	"strconv"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

func recorder() *timeline.Recorder { return timeline.New(timeline.Node("a")) }

// doNotPanic makes a violation behave as in a running node.
func doNotPanic(t *testing.T) {
	t.Helper()

	panicOnViolation = false

	t.Cleanup(func() { panicOnViolation = true })
}

func TestViolationIsRecordedAndCounted(t *testing.T) {
	doNotPanic(t)

	r := recorder()
	checked, violated := Counts(VersionsGoUp)

	assert.Assert(t, Check(r, VersionsGoUp, true, timeline.Entry{Version: 7}))
	assert.Assert(t, !Check(r, VersionsGoUp, false, timeline.Entry{Version: 6, Detail: "after 7"}))

	c, v := Counts(VersionsGoUp)
	assert.Equal(t, c-checked, int64(2))
	assert.Equal(t, v-violated, int64(1))

	entries := r.Entries(timeline.Filter{})
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, entries[0].Number, event.InvariantBroken.Number)
	assert.Equal(t, entries[0].Version, uint64(6))
	assert.Equal(t, entries[0].Detail, "VersionsGoUp after 7")
}

func TestViolationPanicsInTests(t *testing.T) {
	defer func() { assert.Assert(t, recover() != nil) }()

	Check(recorder(), AnswersMatch, false, timeline.Entry{})
}

func TestKeyStartsAgainOnlyIfItDidNotRun(t *testing.T) {
	doNotPanic(t)

	k := NewKeys(recorder())
	assert.Assert(t, k.Start("a", "1"))
	k.NotRun("a")
	assert.Assert(t, k.Start("a", "2"))
	assert.Assert(t, !k.Start("a", "3"))
	assert.Assert(t, k.Start("b", "4"))
}

func TestTrackedKeysAreBounded(t *testing.T) {
	k := NewKeys(recorder())
	for n := range 2 * MaxKeys {
		k.Start(strconv.Itoa(n), "")
	}

	assert.Equal(t, len(k.started), MaxKeys)
	assert.Equal(t, len(k.order), MaxKeys)
}

func TestPassingCheckDoesNotAllocate(t *testing.T) {
	r := recorder()
	got := testing.AllocsPerRun(100, func() {
		Check(r, AnswersMatch, true, timeline.Entry{Call: "c", Detail: "d"})
	})
	assert.Equal(t, got, 0.0)
}

func TestEveryInvariantHasMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(Collector{})

	families, err := registry.Gather()
	assert.NilError(t, err)
	assert.Equal(t, len(families), 2)

	for _, f := range families {
		assert.Equal(t, len(f.GetMetric()), len(All()))
	}
}
