package once_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/once"
	"github.com/pollencart/pollencart/internal/once/key"
	"github.com/pollencart/pollencart/internal/once/record"
)

func receipt(context.Context, call.Call) (call.Answer, error) {
	return call.Answer{Status: http.StatusOK, Body: []byte("receipt"), Ran: call.RanYes}, nil
}

func keyedCall(h *once.Home, n int) call.Call {
	return call.Call{Method: http.MethodPost, URI: "/uploads/1", Body: []byte("gift aid"), Key: h.Name().Key(fmt.Sprint(n))}
}

// Bounds the allocations per keyed call in the owner: the record, its goroutine with a context, the
// digest and the channel of the waiting caller.
func TestAllocationsPerKeyedCallAreBounded(t *testing.T) {
	h := once.New("a", key.NewBootID(1), once.WithTable(record.New(record.Records(1<<20))))
	n := 0

	allocations := testing.AllocsPerRun(1000, func() {
		n++

		_, err := h.Run(t.Context(), keyedCall(h, n), receipt)
		assert.NilError(t, err)
	})

	t.Logf("%v allocations per keyed call", allocations)
	assert.Assert(t, allocations <= 24, "%v", allocations)
}

func BenchmarkKeyedCall(b *testing.B) {
	h := once.New("a", key.NewBootID(1), once.WithTable(record.New(record.Records(1<<30))))

	b.ReportAllocs()

	for n := 0; b.Loop(); n++ {
		if _, err := h.Run(b.Context(), keyedCall(h, n), receipt); err != nil {
			b.Fatal(err)
		}
	}
}

// Bounds the keyed calls that are rejected during a network partition and after a crash. Callers
// whose keys name their owner lose none, because they choose a reachable owner. Opaque keys whose
// owner is unreachable or terminated are rejected immediately.
func TestRejectedKeyedCallsAreBoundedDuringFaults(t *testing.T) {
	s := uploadSettings(t)

	for name, c := range map[string]struct {
		fault         func(w *world)
		named, opaque int // upper bounds per 100 calls
	}{
		"nothing": {func(*world) {}, 0, 0},
		// The membership view here does not reflect the partition. Calls with named keys that run
		// out of attempts on unreachable gates are rejected as not run.
		"domains cut":          {cutDomains, 10, 60},
		"one of four crashed":  {func(w *world) { w.replace(3) }, 0, 40},
		"platform down":        {func(w *world) { w.store.setDown(true) }, 0, 0},
		"platform down, crash": {func(w *world) { w.store.setDown(true); w.replace(3) }, 0, 40},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(s, 1, mutant{}, record.DefaultRecords)
				w.setCalm()

				time.Sleep(20 * time.Second)
				c.fault(w)
				time.Sleep(20 * time.Second)

				named, opaque, longest := w.countRejected(100)

				for i := range nodes {
					w.proc(i).stop()
				}

				time.Sleep(time.Minute)
				t.Logf("rejected of 100 calls: named keys %d, opaque keys %d; longest wait %s", named, opaque, longest)
				assert.Assert(t, named <= c.named && opaque <= c.opaque)
				assert.Assert(t, longest < 100*time.Millisecond)
			})
		})
	}
}

func cutDomains(w *world) {
	for a := range nodes {
		for b := range nodes {
			w.setCut(a, b, domain(a) != domain(b))
		}
	}
}

// countRejected sends n new keys of each kind through node 0 and counts the rejected calls.
func (w *world) countRejected(n int) (named, opaque int, longest time.Duration) {
	send := func(text string) int {
		began := time.Now()
		w.send(0, text)
		longest = max(longest, time.Since(began))

		if w.reported[tokenOf(text)][call.RanYes] > 0 {
			return 0
		}

		return 1
	}

	for i := range n {
		named += send(w.proc(0).home.Name().Key(fmt.Sprintf("n%d", i)))
		opaque += send(fmt.Sprintf("p%d", i))
	}

	return named, opaque, longest
}
