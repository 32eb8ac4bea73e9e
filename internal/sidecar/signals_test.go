package sidecar_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

const (
	limitWindow = 4 * time.Second
	// limitSettles is the time from the first answer that names a limit until the limit binds.
	limitSettles = 3 * time.Second
	// drainTime is the time from an answer that says leaving until no call may arrive.
	drainTime = 2 * time.Second
	// limited is the limit of a backend server, in calls a second, as its answers name it.
	limited     = 8.2
	limitedText = "8.2"
)

// allowedCalls is the number of calls in a window that the limit allows: the limit and half of it, and 5.
func allowedCalls() int { return int(1.5*limited*limitWindow.Seconds() + 5) }

// load is a steady rate of calls at each host, and what they came to.
type load struct {
	sent, served atomic.Int64
	stop         chan struct{}
	calls        sync.WaitGroup
}

func (f *fleet) startLoad() *load {
	const perHost = 30 // calls a second

	l := &load{stop: make(chan struct{})}
	pause := time.Second / perHost

	for i, h := range f.hosts {
		l.calls.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-time.After(pause/2 + rand.N(pause)):
				}

				l.calls.Go(func() {
					l.sent.Add(1)

					if status, _, _ := h.call(fmt.Sprintf("load-%d-%d", i, n)); status == http.StatusOK {
						l.served.Add(1)
					}
				})
			}
		})
	}

	return l
}

func (l *load) end() {
	close(l.stop)
	l.calls.Wait()
}

// newServingFleet returns hosts of one service that all serve.
func newServingFleet(t *testing.T) *fleet {
	t.Helper()

	services := slices.Repeat([]string{"ledger"}, 6)

	f := newConfiguredFleet(t, func(_ int, h *host) { h.backend.Work = 20 * time.Millisecond }, services...)
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announceAll(t)

	for _, h := range f.hosts {
		eventually(t, h.ready)
		eventually(t, h.serves)
	}

	return f
}

func (h *host) restart(t *testing.T) {
	t.Helper()
	h.stop()
	<-h.ended
	h.start(t)
	eventually(t, h.ready)
	eventually(t, func() bool { return h.announce(false) == http.StatusOK })
}

// A backend server that names a limit in its answers gets more calls from all nodes together.
func TestBackendServerGetsNoMoreCallsThanItsLimit(t *testing.T) {
	f := newServingFleet(t)
	b := f.hosts[0].backend
	b.SetLimit(limitedText)

	l := f.startLoad()
	named := time.Now()

	time.Sleep(limitSettles + 2*limitWindow)

	since := named.Add(limitSettles)
	most, used := b.MostInWindow(since, limitWindow), float64(b.ArrivedSince(since))/time.Since(since).Seconds()

	l.end()
	t.Logf("most %d in %s, allowed %d, used %.1f a second of %s, served %d of %d", most, limitWindow, allowedCalls(), used, limitedText,
		l.served.Load(), l.sent.Load())
	assert.Assert(t, most <= allowedCalls())
	assert.Equal(t, l.served.Load(), l.sent.Load())
}

// The node beside a backend server with a limit restarts and no longer holds the limit.
func TestLimitHoldsWhenTheNodeOfTheBackendServerRestarts(t *testing.T) {
	f := newServingFleet(t)
	b := f.hosts[0].backend
	b.SetLimit(limitedText)

	l := f.startLoad()
	named := time.Now()

	time.Sleep(limitSettles + limitWindow/2)
	f.hosts[0].restart(t)
	time.Sleep(limitWindow)

	most := b.MostInWindow(named.Add(limitSettles), limitWindow)

	l.end()
	t.Logf("most %d in %s, allowed %d", most, limitWindow, allowedCalls())
	assert.Assert(t, most <= allowedCalls())
}

// A backend server says only in its answers that it leaves, and gets calls on.
func TestBackendServerThatSaysInAnswersThatItLeavesGetsNoMoreCalls(t *testing.T) {
	f := newServingFleet(t)
	b := f.hosts[0].backend

	l := f.startLoad()
	time.Sleep(time.Second)
	b.SetLeaving(true)

	left := time.Now()

	time.Sleep(drainTime + limitWindow)

	// An answer that says so takes up to half a second to come at this rate.
	late := b.ArrivedSince(left.Add(drainTime + time.Second/2))

	l.end()
	t.Logf("%d calls arrived later than %s, served %d of %d", late, drainTime, l.served.Load(), l.sent.Load())
	assert.Equal(t, late, 0)
	assert.Equal(t, l.served.Load(), l.sent.Load())
}

// The node beside a backend server that said in an answer that it leaves restarts, with the store away.
func TestLeavingToldInAnswersHoldsWhenTheNodeRestarts(t *testing.T) {
	f := newServingFleet(t)
	b := f.hosts[0].backend

	l := f.startLoad()
	time.Sleep(time.Second)
	b.SetLeaving(true)

	left := time.Now()

	time.Sleep(drainTime)
	f.store.SetUnavailable(http.StatusServiceUnavailable)
	f.hosts[0].stop()
	<-f.hosts[0].ended
	f.store.SetUnavailable(0)
	f.hosts[0].start(t)
	eventually(t, f.hosts[0].ready)
	eventually(t, func() bool { return f.hosts[0].announce(false) == http.StatusOK })
	time.Sleep(limitWindow / 2)

	late := b.ArrivedSince(left.Add(drainTime + time.Second/2))

	l.end()
	t.Logf("%d calls arrived later than %s", late, drainTime)
	assert.Equal(t, late, 0)
}
