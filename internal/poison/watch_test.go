package poison_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/poison"
)

// A supervisor restarts the backend server and the next call is the poison request again.
// No call finishes in between; counting all crashes as the first one would never refuse
// the request.
func TestRequestCrashesRestartingBackendAtMostTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a")

		for range 5 {
			_ = m.sendPoison("a")
			time.Sleep(time.Second)
		}

		assert.Equal(t, m.crashes(), 2)
		assert.ErrorIs(t, m.sendPoison("a"), poison.ErrRefused)
	})
}

// Two copies of a request run concurrently when their backend server crashes. That is one
// crash; counted as two, a popular request would be refused for ten minutes.
func TestCopiesInOneCrashCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a")
		g := m.gates["a"]

		first, err := g.begin("/folders/popular")
		assert.NilError(t, err)
		second, err := g.begin("/folders/popular")
		assert.NilError(t, err)

		first(poison.Crashed)
		second(poison.Crashed)

		end, err := g.begin("/folders/popular")
		assert.NilError(t, err)
		end(poison.Finished)
	})
}

// A gate is unreachable while the others are notified of two crashes. If it is not
// notified again once the links are back, the next retry crashes a third backend server.
func TestUnreachableGateIsNotifiedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		m.isolate("c", true)

		_ = m.sendPoison("a")
		_ = m.sendPoison("b")

		m.isolate("c", false)
		time.Sleep(time.Second)

		_ = m.sendPoison("c")
		assert.Assert(t, m.crashes() <= 2, "%d crashes", m.crashes())
	})
}

// A partitioned failure domain is considered failed. When the partition heals, callers in
// the domain reach its gates before the others consider them alive again, so gates that
// are considered failed must be notified too.
func TestGateConsideredFailedIsNotified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		m.isolate("c", true)
		m.gates["a"].considersFailed("c")
		m.gates["b"].considersFailed("c")

		_ = m.sendPoison("a")
		_ = m.sendPoison("b")
		assert.Equal(t, m.crashes(), 2)

		m.isolate("c", false)
		time.Sleep(time.Second)

		assert.ErrorIs(t, m.sendPoison("c"), poison.ErrRefused)
	})
}

// The gate that saw the first crash has granted a permit to another gate, and a third
// gate can't reach the granter. If the third gate ran its copy, two copies would run at
// the same time and crash two more backend servers.
func TestSuspectWaitsWhileGranterIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		_ = m.sendPoison("a")

		end, err := m.gates["b"].begin("/folders/broken")
		assert.NilError(t, err)
		m.cut("a", "c", true)

		_ = m.sendPoison("c")
		m.gates["b"].crashes++
		end(poison.Crashed)

		assert.Assert(t, m.crashes() <= 2, "%d crashes", m.crashes())
	})
}

// A gate that runs a suspect with a permit loses its backend server, and its
// notifications time out while its host stalls for 0.25 s. The release of the permit must
// carry the crash; otherwise the next gate gets the permit and a third backend server
// crashes.
func TestReleaseOfPermitReportsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		_ = m.sendPoison("a")

		end, err := m.gates["b"].begin("/folders/broken")
		assert.NilError(t, err)
		m.isolate("b", true)
		time.AfterFunc(240*time.Millisecond, func() { m.isolate("b", false) }) // notifications sent before are lost

		m.gates["b"].crashes++
		end(poison.Crashed)

		assert.ErrorIs(t, m.sendPoison("c"), poison.ErrRefused)
		assert.Equal(t, m.crashes(), 2)
	})
}

// The node that saw the first crash has terminated. Another gate grants the permit in its
// place; otherwise an unrelated request would wait for ten minutes.
func TestSubstituteGrantsPermitForTerminatedGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		_ = m.sendPoison("a")
		m.isolate("a", true)
		m.gates["b"].considersFailed("a")
		m.gates["c"].considersFailed("a")

		m.finish("c", "/folders/broken")
	})
}

// During a short partition both sides consider each other alive. If each side counted
// crashes alone, one request would crash four backend servers.
func TestPartitionLosesTwoBackendsAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c", "d")

		for _, x := range []string{"a", "b"} {
			m.cut(x, "c", true)
			m.cut(x, "d", true)
		}

		for range 3 {
			for _, id := range []string{"a", "c", "b", "d"} {
				_ = m.sendPoison(id)
				time.Sleep(100 * time.Millisecond)
			}
		}

		assert.Equal(t, m.crashes(), 2)
	})
}

// A gate's backend server crashed while the gate was isolated, and the gate has not
// notified the others since when the request crashes another one. The notification of the
// second crash returns the first one; otherwise the third request crashes a third backend
// server.
func TestNotificationReplyReportsKnownCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		m.isolate("a", true)
		_ = m.sendPoison("a")
		m.gates["a"].stop() // does not notify by itself any more
		time.Sleep(time.Second)
		m.isolate("a", false)

		_ = m.sendPoison("b")
		assert.Equal(t, m.crashes(), 2)
		assert.ErrorIs(t, m.sendPoison("c"), poison.ErrRefused)
	})
}

// The gate whose backend server crashed can send no messages, but its answers arrive, so
// the entry node retries the call on a gate that was not notified. The call itself must
// carry the crash; without it one call crashed two backend servers within 4 ms.
func TestCallCarriesItsCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		m.cut("a", "b", true)
		m.cut("a", "c", true)

		end, err := m.gates["a"].begin("/folders/broken")
		assert.NilError(t, err)
		crashes := end(poison.Crashed)
		assert.Equal(t, len(crashes), 1)

		c := call.Call{ID: "c", Service: service, Method: "GET", URI: "/folders/broken"}
		_, err = m.gates["b"].watch.Begin(t.Context(), c.WithCrashes(crashes))
		assert.ErrorIs(t, err, poison.ErrWaiting)
	})
}

// On a busy host the backend server restarts before its gate tests whether the address
// accepts connections, so the broken connection alone does not show a crash. The new
// process reports that it is another instance.
func TestCrashIsCountedAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b")
		w := m.gates["a"].watch

		for range 2 {
			end, err := m.gates["a"].begin("/folders/broken")
			assert.NilError(t, err)
			end(poison.BrokenOff)
			w.Restarted(t.Context())
		}

		assert.ErrorIs(t, m.sendPoison("a"), poison.ErrRefused)
		assert.ErrorIs(t, m.sendPoison("b"), poison.ErrRefused)
	})
}

// The entry node terminates at the moment when the call crashes the backend server. The
// gate sees only a canceled call; the crash must still count, from the next call or a
// restart.
func TestCrashOfCanceledCallCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, sign := range []poison.Result{poison.Down, poison.Crashed} {
			m := newMesh(t, "a", "b")

			for range 2 {
				end, err := m.gates["a"].begin("/folders/broken")
				assert.NilError(t, err)
				end(poison.BrokenOff)

				end, err = m.gates["a"].begin("/folders/next")
				assert.NilError(t, err)
				end(sign)
			}

			assert.ErrorIs(t, m.sendPoison("a"), poison.ErrRefused)
			assert.ErrorIs(t, m.sendPoison("b"), poison.ErrRefused)
		}
	})
}

// A handler panics, and the connection ends without an answer. The backend server did not
// restart, so the request is no suspect.
func TestBrokenConnectionWithoutRestartIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a")

		end, err := m.gates["a"].begin("/folders/broken")
		assert.NilError(t, err)
		end(poison.BrokenOff)
		time.Sleep(10 * time.Second)
		m.gates["a"].watch.Restarted(t.Context())

		m.finish("a", "/folders/broken")
	})
}

// A popular request was in flight in two crashes and finished after each. A gate that
// missed the second exoneration reports the crash again; the others must not refuse the
// request.
func TestExoneratedCrashStaysExonerated(t *testing.T) {
	popular := request("/folders/popular", "phone")
	knows, missed := poison.NewTable(), poison.NewTable()

	for _, c := range []poison.Crash{first, second} {
		knows.Crashed(popular, c)
		missed.Crashed(popular, c)
	}

	assert.Assert(t, knows.Finished(popular))
	assert.Assert(t, missed.Evaluate(popular.Digest).Refused)

	knows.Merge(missed.Reports())
	assert.Assert(t, !knows.Evaluate(popular.Digest).Suspected)

	missed.Merge(knows.Reports())
	assert.Assert(t, !missed.Evaluate(popular.Digest).Suspected)

	knows.Crashed(popular, poison.Crash{Gate: "c", Number: 1})
	assert.Assert(t, knows.Evaluate(popular.Digest).Suspected)
}
