package poison_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/poison"
)

// A supervisor starts the backend server again within a moment, and the next call
// there is the poison request once more. Nothing finished in between, so that each
// crash was taken for the first one: the log has one 520 after the other with the same
// crash number and never a 521, and users of the host lose their calls each time.
func TestABackendServerIsEndedTwiceAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a")

		for range 5 {
			_ = m.press("a")
			time.Sleep(time.Second)
		}

		assert.Equal(t, m.crashes(), 2)
		assert.ErrorIs(t, m.press("a"), poison.ErrRefused)
	})
}

// Two copies of a request run beside each other when their backend server ends. That is
// one crash; counted as two it would refuse a popular folder for ten minutes.
func TestCopiesInOneCrashCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a")
		g := m.gates["a"]

		first, err := g.begin("/folders/popular")
		assert.NilError(t, err)
		second, err := g.begin("/folders/popular")
		assert.NilError(t, err)

		first(poison.Crashed)
		g.watch.Stale()
		second(poison.Crashed)

		end, err := g.begin("/folders/popular")
		assert.NilError(t, err)
		end(poison.Finished)
	})
}

// One gate is cut off for a moment, just while the others are told of two crashes. It
// never heard of them: the links were back, nobody told it again, and the next repeat
// ended a third backend server.
func TestAGateThatMissedTheWarningIsToldAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		m.cutOff("c", true)

		_ = m.press("a")
		_ = m.press("b")

		m.cutOff("c", false)
		time.Sleep(time.Second)

		_ = m.press("c")
		assert.Assert(t, m.crashes() <= 2, "%d crashes", m.crashes())
	})
}

// A failure domain that was cut off for long is held for dead. It is back, and callers
// beside it reach it at once, long before the others hold it for alive again; told were
// only those that are held for alive.
func TestAGateThatIsHeldForDeadIsToldToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		m.cutOff("c", true)
		m.gates["a"].holds("c", membership.StateDead)
		m.gates["b"].holds("c", membership.StateDead)

		_ = m.press("a")
		_ = m.press("b")
		assert.Equal(t, m.crashes(), 2)

		m.cutOff("c", false)
		time.Sleep(time.Second)

		assert.ErrorIs(t, m.press("c"), poison.ErrRefused)
	})
}

// A gate starts anew and asks the others what they know before it lets a call through.
// That takes a moment; calls beside the first one did not wait for it and were let
// through unjudged.
func TestNoCallGoesBeforeTheOthersHaveAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		_ = m.press("a")
		_ = m.press("b")
		assert.Equal(t, m.crashes(), 2)

		m.gates["c"].start()
		m.slow(50 * time.Millisecond)

		var wg sync.WaitGroup

		wg.Go(func() { m.finish("c", "/folders/first") })
		time.Sleep(time.Millisecond)

		assert.ErrorIs(t, m.press("c"), poison.ErrRefused)
		wg.Wait()
	})
}

// The gate that starts anew can reach nobody in the first moment. It asked once, then
// not again until its backend server changed its state the next time.
func TestAGateThatGotNoAnswerAsksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		_ = m.press("a")
		_ = m.press("b")
		assert.Equal(t, m.crashes(), 2)

		m.cutOff("c", true)
		m.gates["c"].start()
		m.finish("c", "/folders/first")
		m.cutOff("c", false)
		time.Sleep(600 * time.Millisecond)

		assert.ErrorIs(t, m.press("c"), poison.ErrRefused)
	})
}

// The gates that are asked first started anew as well and know nothing; the one that
// knows stands behind them in the list.
func TestAGateAsksMoreThanTheFirstOfTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c", "d", "e", "f")
		_ = m.press("e")
		_ = m.press("f")
		assert.Equal(t, m.crashes(), 2)

		for _, id := range []string{"a", "b", "c"} {
			m.gates[id].start()
		}

		m.gates["d"].start()
		assert.ErrorIs(t, m.press("d"), poison.ErrRefused)
	})
}

// The gate that saw the first crash has permitted a copy of the request elsewhere, and
// a third gate can't reach it. It let its copy through, so that two copies ran side by
// side and took down two more.
func TestWhoCannotAskForPermissionWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		_ = m.press("a")

		end, err := m.gates["b"].begin("/folders/broken")
		assert.NilError(t, err)
		m.cut("a", "c", true)

		_ = m.press("c")
		m.gates["b"].crashes++
		end(poison.Crashed)

		assert.Assert(t, m.crashes() <= 2, "%d crashes", m.crashes())
	})
}

// The node that saw the first crash is gone. Others permit the request in its place,
// or an innocent one would wait for ten minutes.
func TestAnotherGatePermitsForOneThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		_ = m.press("a")
		m.cutOff("a", true)
		m.gates["b"].holds("a", membership.StateDead)
		m.gates["c"].holds("a", membership.StateDead)

		m.finish("c", "/folders/broken")
	})
}
