package poison_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/poison"
)

// A gate starts anew and asks the others what they know before it lets a call through.
// That takes a moment; calls beside the first one did not wait for it and were let
// through unjudged.
func TestNoCallGoesBeforeTheOthersHaveAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := crashedTwice(t)

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
		m := crashedTwice(t)

		m.cutOff("c", true)
		m.gates["c"].start()
		m.finish("c", "/folders/first")
		m.cutOff("c", false)
		time.Sleep(600 * time.Millisecond)

		assert.ErrorIs(t, m.press("c"), poison.ErrRefused)
	})
}

// A gate starts anew while the nodes that it should meet first are down as well. For some
// tenths of a second it knows nobody, and the call that it had was the poison request: a
// 520 without a 524 before it, 0.24 s after 100. It waits until it has met somebody.
func TestAGateThatKnowsNobodyYetWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := crashedTwice(t)

		c := m.gates["c"]
		c.holdsForDead("a")
		c.holdsForDead("b")
		c.start()
		time.AfterFunc(400*time.Millisecond, func() { c.meets("a", "b") })

		assert.ErrorIs(t, m.press("c"), poison.ErrRefused)
	})
}

// A node that is alone serves on.
func TestAGateThatStaysAloneServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a")
		start := time.Now()

		m.gates["a"].start()
		time.Sleep(700 * time.Millisecond)
		m.finish("a", "/folders/1")
		assert.Equal(t, time.Since(start), time.Second)
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

// Half of the gates of a large service start anew at the same moment. If each asked all
// others, messages would grow with the square of the fleet, and every call would wait for
// the slowest of them. A few are asked, those that have run for long among them, and a
// poison request is refused all the same.
func TestAGateOfALargeServiceAsksAFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size      = 60
			most      = 16 // asked by one gate
			restarted = 40
		)

		var ids []string
		for i := range size {
			ids = append(ids, fmt.Sprintf("gate-%02d", i))
		}

		m := newMesh(t, ids...)
		_ = m.press(ids[0])
		_ = m.press(ids[1])
		assert.Equal(t, m.crashes(), 2)

		for _, id := range ids[size-restarted:] {
			m.gates[id].start()
		}

		before := m.sentOf(poison.MethodPull)

		for _, id := range ids[size-restarted:] {
			assert.ErrorIs(t, m.press(id), poison.ErrRefused)
		}

		asked := m.sentOf(poison.MethodPull) - before
		assert.Assert(t, asked <= restarted*most, "%d messages of %d gates", asked, restarted)
	})
}

// A process that was frozen wakes. Calls wait in its sockets beside the warnings, and the
// first of them is the poison request.
func TestAGateThatStoodStillAsksFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		m.cutOff("c", true) // as if frozen
		m.gates["a"].holdsForDead("c")
		m.gates["b"].holdsForDead("c")

		_ = m.press("a")
		_ = m.press("b")
		assert.Equal(t, m.crashes(), 2)

		m.cutOff("c", false)
		m.gates["c"].stood.n.Add(1)
		assert.ErrorIs(t, m.press("c"), poison.ErrRefused)
	})
}
