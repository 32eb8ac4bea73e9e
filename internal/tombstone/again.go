package tombstone

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// spreadChange is within what the processes of a fleet begin to write again after a
	// change of the epoch: nobody needs a record before the process that wrote it ends.
	spreadChange = 1500 * time.Millisecond
	// firstPause and lastPause bound the pause between tries while the store takes none.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
)

// WithEpoch sets the epoch of the store, and where it is told what was written again.
func (d *Departures) WithEpoch(e *epoch.Current, r *timeline.Recorder) *Departures {
	d.epoch, d.recorder = e, r
	d.changed = e.Changed()

	return d
}

// Run writes the records of this process again after each change of the epoch, until ctx
// ends: the store may have lost them.
func (d *Departures) Run(ctx context.Context) {
	changed := d.changed

	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}

		changed = d.epoch.Changed()

		idle.Unless(ctx, rand.N(spreadChange), changed)
		d.writeAgain(ctx, changed)
	}
}

func (d *Departures) writeAgain(ctx context.Context, changed <-chan struct{}) {
	written := 0

	for _, i := range d.own() {
		if d.writeUntil(ctx, i, changed) {
			written++
		}
	}

	if written > 0 {
		d.recorder.Record(event.PlatformRewritten, timeline.Entry{Detail: strconv.Itoa(written) + " leavings"})
	}
}

// writeUntil tries until the store has the record, the epoch changes or the record is of
// no use any more.
func (d *Departures) writeUntil(ctx context.Context, i Instance, changed <-chan struct{}) bool {
	for pause := firstPause; ctx.Err() == nil && !idle.Closed(changed) && d.remaining(i) > 0; pause = min(2*pause, lastPause) {
		if d.write(ctx, i) == nil {
			d.removeLater(i)

			return true
		}

		idle.Unless(ctx, pause/2+rand.N(pause), changed)
	}

	return false
}

// own returns what this process writes again.
func (d *Departures) own() []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()

	var out []Instance

	for id, r := range d.held {
		if r.own && time.Since(r.at) < life {
			out = append(out, Instance{ID: id, Started: r.started})
		}
	}

	return out
}

// remaining is how long a record is still of use.
func (d *Departures) remaining(i Instance) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	return life - time.Since(d.held[i.ID].at)
}

// removeLater has the store drop a record once nobody needs it any more.
func (d *Departures) removeLater(i Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()

	r, ok := d.held[i.ID]
	if !ok || r.started != i.Started || r.removes {
		return
	}

	r.removes = true
	d.held[i.ID] = r

	time.AfterFunc(life-time.Since(r.at), func() { d.remove(i) })
}

// removing reports whether the record is the newest of its instance, which is dropped now.
func (d *Departures) removing(i Instance) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	r := d.held[i.ID]
	if r.started != i.Started {
		return false
	}

	if r.removes {
		r.removes = false
		d.held[i.ID] = r
	}

	return true
}
