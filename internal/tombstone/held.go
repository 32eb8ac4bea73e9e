package tombstone

import (
	"context"
	"time"
)

// record is a confirmed departure that this node holds.
type record struct {
	started          int64
	storedAt         time.Time
	owned            bool // this process writes it to the store, again after an epoch change
	written          bool // the store has taken it from this process
	removalScheduled bool // a deletion from the store is scheduled
}

// ServeKeep stores a record for another node.
func (d *Registry) ServeKeep(_ context.Context, in Instance) (Reply, error) {
	d.add(in, false)

	return Reply{Departed: true}, nil
}

// ServeAsk reports to another node whether this node holds a record.
func (d *Registry) ServeAsk(_ context.Context, in Instance) (Reply, error) {
	return d.lookup(in), nil
}

func (d *Registry) add(i Instance, owned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := time.Now()

	if len(d.records) >= maxRecords {
		d.evictExpired(now)
	}

	before := d.records[i.ID]
	after := record{started: max(i.Started, before.started), storedAt: now, owned: owned || before.owned}
	after.written = before.written && after.started == before.started
	after.removalScheduled = before.removalScheduled && after.started == before.started
	d.records[i.ID] = after
}

// setWritten records that the store has taken the record.
func (d *Registry) setWritten(i Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if r, ok := d.records[i.ID]; ok && r.started == i.Started {
		r.written = true
		d.records[i.ID] = r
	}
}

func (d *Registry) evictExpired(now time.Time) {
	for id, r := range d.records {
		if now.Sub(r.storedAt) > recordTTL {
			delete(d.records, id)
		}
	}
}

func (d *Registry) lookup(i Instance) Reply {
	d.mu.Lock()
	defer d.mu.Unlock()

	r, ok := d.records[i.ID]

	return Reply{Departed: ok && Instance{ID: i.ID, Started: r.started}.covers(i), Started: r.started}
}
