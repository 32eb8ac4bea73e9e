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
	// rewriteSpread is the interval over which the processes of a fleet spread their rewrites
	// after an epoch change. A record is not read before the process that wrote it ends.
	rewriteSpread = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay between retries while the store rejects writes.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// WithEpoch sets the epoch of the store and the recorder that logs rewrites.
func (d *Registry) WithEpoch(e *epoch.Current, r *timeline.Recorder) *Registry {
	d.epoch, d.recorder = e, r
	d.epochChanged = e.Changed()

	return d
}

// Run writes the records of this process that the store has not taken yet, and all of them again after each epoch
// change, because the store may have lost them. It returns when ctx ends.
func (d *Registry) Run(ctx context.Context) {
	epochChanged := d.epochChanged

	for {
		select {
		case <-ctx.Done():
			return
		case <-d.unwritten:
			d.writeAll(ctx, d.owned(func(r record) bool { return !r.written }), epochChanged)

			continue
		case <-epochChanged:
		}

		epochChanged = d.epoch.Changed()

		idle.Unless(ctx, rand.N(rewriteSpread), epochChanged)
		d.writeAll(ctx, d.owned(func(record) bool { return true }), epochChanged)
	}
}

// writeLater has Run write the records that the store has not taken.
func (d *Registry) writeLater() {
	select {
	case d.unwritten <- struct{}{}:
	default:
	}
}

func (d *Registry) writeAll(ctx context.Context, records []Instance, changed <-chan struct{}) {
	written := 0

	for _, i := range records {
		if d.writeWithRetry(ctx, i, changed) {
			written++
		}
	}

	if written > 0 {
		d.recorder.Record(event.PlatformRewritten, timeline.Entry{Detail: strconv.Itoa(written) + " confirmed departures"})
	}
}

// writeWithRetry retries until the store has the record, the epoch changes or the record
// expires.
func (d *Registry) writeWithRetry(ctx context.Context, i Instance, changed <-chan struct{}) bool {
	for pause := minBackoff; ctx.Err() == nil && !idle.Closed(changed) && d.timeToLive(i) > 0; pause = min(2*pause, maxBackoff) {
		if d.write(ctx, i) == nil {
			d.scheduleRemoval(i)

			return true
		}

		idle.Unless(ctx, pause/2+rand.N(pause), changed)
	}

	return false
}

// owned returns the instances whose records this process writes and that a condition holds for.
func (d *Registry) owned(holds func(record) bool) []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()

	var out []Instance

	for id, r := range d.records {
		if r.owned && time.Since(r.storedAt) < recordTTL && holds(r) {
			out = append(out, Instance{ID: id, Started: r.started})
		}
	}

	return out
}

// timeToLive returns the time until the record expires.
func (d *Registry) timeToLive(i Instance) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	return recordTTL - time.Since(d.records[i.ID].storedAt)
}

// scheduleRemoval deletes the record from the store once it expires.
func (d *Registry) scheduleRemoval(i Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()

	r, ok := d.records[i.ID]
	if !ok || r.started != i.Started || r.removalScheduled {
		return
	}

	r.removalScheduled = true
	d.records[i.ID] = r

	time.AfterFunc(recordTTL-time.Since(r.storedAt), func() { d.remove(i) })
}

// beginRemoval clears the scheduled removal and reports whether the record is still the
// newest of its instance ID.
func (d *Registry) beginRemoval(i Instance) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	r := d.records[i.ID]
	if r.started != i.Started {
		return false
	}

	if r.removalScheduled {
		r.removalScheduled = false
		d.records[i.ID] = r
	}

	return true
}
