// Package retry decides at the entry whether a call is sent once more.
//
// # The load it answers
//
// Failing backend servers, and the load that callers and layers add by trying
// again. Without a bound each failure doubles the load at the worst moment, and
// in a chain of calls each layer multiplies it: two attempts in each of 12
// layers are 4,096 calls to the lowest.
//
//   - Only what is safe: the call surely did not run, or it is idempotent.
//   - A budget for each route: a fraction (RetryBudget in the tree) of the calls
//     that were answered. In a full outage nothing is answered, so after the few
//     attempts that were saved up calls are sent once.
//   - One layer only: a call that a layer above is already sending again
//     (Pollencart-Attempt over 1) is not sent again below, and an answer of a
//     backend server, whatever its status, is passed on. So in a chain only the
//     layer next to the fault tries again, and 12 layers add 12 calls in the
//     worst case instead of multiplying.
//   - Not if turned away for being over a share: another gate would be made to
//     carry what this one refused with reason.
//   - A gate that is leaving costs no budget: it says so in its refusal, is not
//     picked again, and a planned stop has to cut off nobody.
//
// Hedging (a second attempt before the first has failed) is not done; docs/design/0203-retries.md
// has the figures.
//
// # Usage
//
//	b := retry.New()
//	for n := 1; ; n++ {
//		answer, err := send(n)
//		if err == nil {
//			b.Answered(route, fraction)
//			return answer, nil
//		}
//		if !b.Again(ctx, c, n, err) {
//			return nil, err
//		}
//	}
package retry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/call"
)

const (
	// saved bounds the attempts that a route may save up: enough for the calls
	// that are in flight to one gate when it dies, few against an outage.
	saved = 10
	// first is what a route starts with, so that a seldom used one can try
	// again before it has earned an attempt.
	first = 2
	// leastTime is too short for another attempt to bring an answer.
	leastTime = 2 * time.Millisecond
)

// Budget holds the budgets of all routes on one node.
type Budget struct {
	mu     sync.Mutex
	routes map[string]float64
}

// New returns a budget in which each route may make its first attempts.
func New() *Budget { return &Budget{routes: map[string]float64{}} }

// Answered adds the fraction of a call that was answered.
func (b *Budget) Answered(route string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.routes[route] = min(saved, b.left(route)+fraction)
}

func (b *Budget) left(route string) float64 {
	if left, ok := b.routes[route]; ok {
		return left
	}

	return first
}

// Again reports whether the call is sent once more after attempt n failed.
func (b *Budget) Again(ctx context.Context, c call.Call, n int, failed error) bool {
	var r *call.Refusal
	if !errors.As(failed, &r) || !Safe(c, r) {
		return false
	}

	if n >= c.Values.Attempts || c.Attempt > 1 || !timeLeft(ctx) {
		return false
	}

	if r.Fault.Code == http.StatusTooManyRequests {
		return false
	}

	if r.Load.Leaving {
		return true
	}

	return b.take(c.Route, c.Values.RetryBudget)
}

// Safe reports whether another attempt can't run the call twice where that
// matters.
func Safe(c call.Call, r *call.Refusal) bool { return r.Ran == call.RanNo || c.Idempotent }

func timeLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}

	deadline, ok := ctx.Deadline()

	return !ok || time.Until(deadline) > leastTime
}

func (b *Budget) take(route string, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	left := b.left(route)
	if left < 1 || fraction == 0 {
		return false
	}

	b.routes[route] = left - 1

	return true
}
