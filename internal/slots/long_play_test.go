package slots_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Long reads of up to twice the usual rate hold all slots. A nested call that waits for the end of one is
// late or rejected, and the call that waits for it is lost.
func TestNestedCallsFindSlotsBesideLongReads(t *testing.T) {
	for _, load := range []float64{0.7, 1, 1.5, 2} {
		synctest.Test(t, func(t *testing.T) {
			long := workload{route: "roster", rank: 2, took: 800 * ms, target: 4 * time.Second, deadline: 8 * time.Second, spread: 0.5}
			long.interval = time.Duration(36 / load * float64(ms))

			check := workload{
				route: "check", rank: 1, took: 80 * ms, target: 300 * ms, deadline: time.Second, interval: 48 * ms, nested: true, spread: 0.5,
			}

			g := runLoad(newQueue(18), 100*time.Second, long, check)
			t.Logf("load %.1f: long %.3f on time, %.3f served; nested %.3f on time, %.3f rejected", load, g[0].onTimeShare(),
				float64(g[0].onTime+g[0].late)/float64(g[0].sent), g[1].onTimeShare(), float64(g[1].rejected)/float64(g[1].sent))
			assert.Check(t, g[1].onTimeShare() > 0.96)
		})
	}
}

// The nested calls have ended. A slot that stays reserved would be lost to all.
func TestNoSlotStaysReservedWithoutNestedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(18)
		long := workload{route: "roster", rank: 2, took: 800 * ms, target: 4 * time.Second, deadline: 8 * time.Second, interval: 20 * ms}
		check := workload{route: "check", rank: 1, took: 80 * ms, target: 300 * ms, deadline: time.Second, interval: 20 * ms, nested: true}

		runLoad(q, 5*time.Second, long, check)
		time.AfterFunc(7*time.Second, func() { assert.Check(t, q.Load().Running == 18) })
		runLoad(q, 8*time.Second, long)
	})
}
