package upstream

import (
	"time"

	"github.com/pollencart/pollencart/pkg/upstream"
)

// damping delays the Ready state of a backend server that flaps.
//
// A server that crashes repeatedly, or whose health check alternates, changes its state
// several times a second. Each change is propagated to the whole fleet, and calls sent to the
// server while it is briefly ready fail. The loss of readiness is published at once. The
// first return to Ready is published at once too; after repeated losses it is delayed by a
// time that doubles with each loss.
type damping struct {
	losses   int
	lastLoss time.Time
}

const (
	// stableTime without a loss resets the count of losses.
	stableTime = time.Minute
	// firstHold is the delay after the second loss, as long as a change takes to reach all
	// nodes; maxHold bounds the delay of a repaired server.
	firstHold = 2 * time.Second
	maxHold   = 30 * time.Second
)

// recordLoss records that a ready server is no longer ready.
func (d *damping) recordLoss(now time.Time) {
	if now.Sub(d.lastLoss) >= stableTime {
		d.losses = 0
	}

	d.losses++
	d.lastLoss = now
}

// state returns the state to publish for a server that announces s, after published. While
// the server is held back the published state does not change: other nodes only need to know
// that it is not ready.
func (d *damping) state(s, published upstream.State, now time.Time) upstream.State {
	if published != upstream.Ready && now.Before(d.lastLoss.Add(d.hold())) {
		return published
	}

	return s
}

func (d *damping) hold() time.Duration {
	if d.losses < 2 {
		return 0
	}

	const maxDoublings = 5 // beyond them the delay is maxHold

	return min(firstHold<<min(d.losses-2, maxDoublings), maxHold)
}
