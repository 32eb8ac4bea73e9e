package wallet_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/quota/ledger"
	"github.com/pollencart/pollencart/internal/quota/wallet"
)

var bound = ledger.Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// Granted calls that nobody used could add up to a burst.
func TestGrantedCallsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := wallet.New(bound)
		w.Granted(ledger.Grant{Calls: 3}, time.Now())
		assert.Equal(t, w.Take(), wallet.Run)
		time.Sleep(bound.Life())
		assert.Equal(t, w.Take(), wallet.Ask)
	})
}

// Calls beyond the limit could each cost a message.
func TestRefusalIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := wallet.New(bound)
		w.Granted(ledger.Grant{Short: true, WaitMs: 100, SpreadMs: 400}, time.Now())

		for range 10 {
			assert.Equal(t, w.Take(), wallet.Refuse)
		}

		after := w.Last().RetryAfter()
		assert.Assert(t, after >= 100*time.Millisecond && after < 500*time.Millisecond, "%v", after)
		assert.Equal(t, w.Refused(), 10)
		time.Sleep(60 * time.Millisecond)
		assert.Equal(t, w.Take(), wallet.Ask)
	})
}

// A call that comes back late could run a second time in a later window.
func TestReturnedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := wallet.New(bound)
		w.Granted(ledger.Grant{Calls: 2}, time.Now())
		assert.Equal(t, w.Take(), wallet.Run)
		assert.Equal(t, w.Take(), wallet.Run)
		w.Return()
		assert.Equal(t, w.Take(), wallet.Run)
		time.Sleep(bound.Life())
		w.Return()
		assert.Equal(t, w.Take(), wallet.Ask)
	})
}

// Entries on their own could together exceed the limit, at once or later.
func TestEntriesAloneKeepTheLimitTogether(t *testing.T) {
	for _, limit := range []ledger.Limit{{Rate: 5, Burst: 5}, {Rate: 500, Burst: 500}, {Rate: 40}} {
		synctest.Test(t, func(t *testing.T) {
			const nodes = 80

			lost := time.Now()
			random := rand.New(rand.NewPCG(1, 1))

			var wallets []*wallet.Wallet
			for range nodes {
				wallets = append(wallets, wallet.New(bound))
			}

			var ran []time.Time

			for time.Since(lost) < 30*time.Second {
				time.Sleep(time.Millisecond)

				if time.Since(lost) > 10*time.Second && time.Since(lost) < 15*time.Second {
					continue // calls come again where all were idle
				}

				s := wallet.Share{Limit: limit, Nodes: nodes, Lost: lost, Own: lost}
				if wallets[random.IntN(nodes)].TakeAlone(s) == wallet.Run {
					ran = append(ran, time.Now())
				}
			}

			worst, first := 0, 0
			for i, at := range ran {
				for at.Sub(ran[first]) > bound.Window {
					first++
				}

				worst = max(worst, i-first+1)
			}

			allowed := (limit.Rate*bound.Window.Seconds()+limit.Burst)*(1+bound.Overage) + bound.Slack
			assert.Assert(t, float64(worst) <= allowed, "%d of %.0f", worst, allowed)
			assert.Assert(t, float64(len(ran)) >= 0.5*25*min(limit.Rate, 500), "%d", len(ran))
		})
	}
}
