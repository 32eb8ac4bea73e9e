package upstream

import (
	"time"

	"github.com/pollencart/pollencart/pkg/upstream"
)

// damping holds back a backend server that flaps.
//
// A server that crashes and starts again, or a health check of it that goes up
// and down, changes its state several times a second. Each change goes round the
// whole fleet, and each time it is ready calls are sent to it that then fail. So
// it is told at once that it is not ready; that it is ready again is told at once
// the first time, and after a pause that doubles when it happens again soon.
type damping struct {
	losses int
	lost   time.Time
}

const (
	// calm is how long a server must stay up for its losses to be forgotten.
	calm = time.Minute
	// firstHold is the pause after the second loss, maxHold the longest one. Two
	// seconds are as long as a change takes to be known everywhere; half a minute
	// bounds what a repaired server waits.
	firstHold = 2 * time.Second
	maxHold   = 30 * time.Second
)

// lose notes that a ready server is ready no more.
func (d *damping) lose(now time.Time) {
	if now.Sub(d.lost) >= calm {
		d.losses = 0
	}

	d.losses++
	d.lost = now
}

// state returns what others are told when the server says s and they were told
// told before. Between the losses of a server that flaps they hear nothing: that
// it is not ready is all they need to know.
func (d *damping) state(s, told upstream.State, now time.Time) upstream.State {
	if told != upstream.Ready && now.Before(d.lost.Add(d.hold())) {
		return told
	}

	return s
}

func (d *damping) hold() time.Duration {
	if d.losses < 2 {
		return 0
	}

	const most = 5 // doublings that reach the longest pause

	return min(firstHold<<min(d.losses-2, most), maxHold)
}
