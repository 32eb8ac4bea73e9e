// Package retry decides at the entry node whether a failed call is retried.
//
// # The load it answers
//
// Failing backend servers, and the load that callers and layers add by retrying.
// Without a bound each failure doubles the load at the worst moment, and in a chain
// of calls each layer multiplies it: two attempts in each of 12 layers are 4,096 calls
// to the lowest.
//
//   - Only safe retries: the call certainly did not run, or it is idempotent.
//   - A budget for each route: a fraction (RetryBudget in the tree) of the answered
//     calls. In a full outage no call is answered, so once the saved budget is used
//     each call is sent once.
//   - One layer only: a call that a layer above already retries (Pollencart-Attempt
//     over 1) is not retried below, and an answer of a backend server is passed on
//     whatever its status. So in a chain only the layer next to the fault retries, and
//     12 layers add at most 12 calls instead of multiplying.
//   - No retry of a call rejected for exceeding its share: it would move the
//     excess to another gate.
//   - A retry after a refusal by a draining gate costs no budget: the gate is not
//     picked again, and a planned stop must not fail any call.
//
// Hedging (a second attempt before the first has failed) is not implemented;
// docs/design/0203-retries.md has the measurements.
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
//		if !b.Allow(ctx, c, n, err) {
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
	// maxTokens bounds the retries that a route saves up: enough for the calls in flight
	// to one gate when it terminates, few compared with an outage.
	maxTokens = 10
	// initialTokens lets a rarely used route retry before it has earned a token.
	initialTokens = 2
	// minRemaining is the least time to the deadline that another attempt needs to be
	// answered.
	minRemaining = 2 * time.Millisecond
)

// Budget holds a token bucket for each route of one node; a retry takes one token.
type Budget struct {
	mu     sync.Mutex
	routes map[string]float64 // tokens by route
}

// New returns a budget in which each route has its initial tokens.
func New() *Budget { return &Budget{routes: map[string]float64{}} }

// Answered adds a fraction of a token for an answered call.
func (b *Budget) Answered(route string, fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.routes[route] = min(maxTokens, b.tokens(route)+fraction)
}

func (b *Budget) tokens(route string) float64 {
	if tokens, ok := b.routes[route]; ok {
		return tokens
	}

	return initialTokens
}

// Allow reports whether the call is retried after attempt n failed.
func (b *Budget) Allow(ctx context.Context, c call.Call, n int, failed error) bool {
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

	return b.takeToken(c.Route, c.Values.RetryBudget)
}

// Safe reports whether a retry can't run the call twice, or may because the call is
// idempotent.
func Safe(c call.Call, r *call.Refusal) bool { return r.Ran == call.RanNo || c.Idempotent }

func timeLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}

	deadline, ok := ctx.Deadline()

	return !ok || time.Until(deadline) > minRemaining
}

func (b *Budget) takeToken(route string, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	tokens := b.tokens(route)
	if tokens < 1 || fraction == 0 {
		return false
	}

	b.routes[route] = tokens - 1

	return true
}
