package retrybudget_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/retrybudget"
)

var bound = retrybudget.Bound{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}

// All backend servers of a service fail. Twelve nodes that know nothing of each other
// repeat all that they may, and together stay within their part of the bound in every
// window.
func TestTheBoundHoldsOverAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 12

		var budgets []*retrybudget.Budget
		for range nodes {
			budgets = append(budgets, retrybudget.New(bound))
		}

		const seconds = 40

		calls, again := make([]int, seconds), make([]int, seconds)

		for second := range seconds {
			for n, b := range budgets {
				for range 20 + n { // they do not get the same load
					b.First("ledger")
					calls[second]++

					if b.Again("ledger", retrybudget.Margin, nodes) {
						again[second]++
					}
				}
			}

			time.Sleep(time.Second)
		}

		for from := range seconds - 10 {
			c, a := 0, 0
			for i := from; i < from+10; i++ {
				c, a = c+calls[i], a+again[i]
			}

			assert.Assert(t, float64(a) <= retrybudget.Margin*(bound.Ratio*float64(c)+bound.Slack)+nodes, "%d of %d", a, c)
			assert.Assert(t, a > 0)
		}
	})
}

// What was counted long ago does not let repeats through now.
func TestOldCallsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := retrybudget.New(retrybudget.Bound{Ratio: 0.2, Window: 10 * time.Second})
		for range 100 {
			b.First("a")
		}

		assert.Assert(t, b.Again("a", retrybudget.Margin, 1))
		time.Sleep(11 * time.Second)
		assert.Assert(t, !b.Again("a", retrybudget.Margin, 1))
	})
}
