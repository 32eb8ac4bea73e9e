package tombstone

import (
	"context"
	"time"
)

// record is a leaving that this node holds.
type record struct {
	started int64
	at      time.Time
	own     bool // this process kept it
	removes bool // the store will be told to drop it
}

// ServeKeep holds a record for another node.
func (d *Departures) ServeKeep(_ context.Context, in Instance) (Known, error) {
	d.hold(in, false)

	return Known{Departed: true}, nil
}

// ServeAsk tells another node whether a record is held here.
func (d *Departures) ServeAsk(_ context.Context, in Instance) (Known, error) {
	return d.known(in), nil
}

func (d *Departures) hold(i Instance, own bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := time.Now()

	if len(d.held) >= maxHeld {
		d.forget(now)
	}

	before := d.held[i.ID]
	after := record{started: max(i.Started, before.started), at: now, own: own || before.own}
	after.removes = before.removes && after.started == before.started
	d.held[i.ID] = after
}

func (d *Departures) forget(now time.Time) {
	for id, r := range d.held {
		if now.Sub(r.at) > life {
			delete(d.held, id)
		}
	}
}

func (d *Departures) known(i Instance) Known {
	d.mu.Lock()
	defer d.mu.Unlock()

	r, ok := d.held[i.ID]

	return Known{Departed: ok && Instance{ID: i.ID, Started: r.started}.binds(i), Started: r.started}
}
