package configsync

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/store"
)

// contents is the state of the store.
type contents struct {
	version, written, revision int64
	epochNumber                uint64
}

func (c contents) value() []byte { return []byte(strconv.FormatInt(c.version, 10)) }

func (c contents) changes() store.Changes {
	return store.Changes{Revision: c.revision, Entries: []store.Change{{Entry: platform.Entry{Value: c.value(), Revision: c.written}}}}
}

// contents returns the state of the store; sim.mu is held.
func (sim *simulation) contents() contents {
	return contents{sim.version, sim.written, sim.revision, sim.epochNumber}
}

// snapshot returns the state of the store.
func (sim *simulation) snapshot() (c contents) {
	sim.locked(func() { c = sim.contents() })

	return c
}

// restore replaces the state of the store by an older copy. Open watches stay open.
func (sim *simulation) restore(c contents) {
	sim.locked(func() {
		sim.version, sim.written, sim.revision = c.version, c.written, c.revision
		sim.epochNumber++
	})
}

// writeOtherKeys writes unrelated keys until the store reaches the revision.
func (sim *simulation) writeOtherKeys(revision int64) {
	sim.locked(func() { sim.revision = max(sim.revision, revision) })
}

func (n *node) isSilent() bool {
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()

	return n.simulation.silent[n.id]
}

func (n *node) isRejected() bool {
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()

	return n.simulation.rejected[n.id]
}

// call simulates a call to the store, whose answer carries the epoch.
func (n *node) call(ctx context.Context) (contents, error) {
	n.simulation.locked(func() {
		n.simulation.calls++
		n.calls++
	})

	n.pause(ctx)

	if n.isSilent() {
		<-ctx.Done()
	}

	if ctx.Err() != nil {
		return contents{}, ctx.Err()
	}

	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()

	if n.simulation.rejected[n.id] {
		return contents{}, platform.ErrUnavailable
	}

	return n.simulation.contents(), n.observeEpoch(n.simulation.epochNumber)
}

// observeEpoch handles the epoch of an answer.
func (n *node) observeEpoch(epochNumber uint64) error {
	if !n.epoch.Observe(epochNumber) {
		return platform.ErrUnknown
	}

	return nil
}

// stallTimeout is how long a read of the configuration waits without receiving anything.
const stallTimeout = time.Second

func (n *node) Get(ctx context.Context, _ string) (platform.Entry, int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, stallTimeout)
	defer cancel()

	c, err := n.call(callCtx)
	time.Sleep(4 * time.Millisecond)
	n.simulation.transfer(ctx, storedBytes, n.id)

	if err == nil {
		err = ctx.Err()
	}

	n.simulation.locked(func() {
		if n.failingReads > 0 && err == nil {
			n.failingReads--
			err = platform.ErrUnavailable
		}
	})

	if err == nil && c.version == 0 {
		err = platform.ErrNotFound
	}

	return platform.Entry{Value: c.value()}, c.revision, err
}

func (n *node) Revision(ctx context.Context) (int64, error) {
	c, err := n.call(ctx)
	n.simulation.locked(func() { n.checkedAt = time.Now() })

	return c.revision, err
}

func (n *node) Watch(ctx context.Context, _ string, after int64, timeout time.Duration) (store.Changes, error) {
	c, err := n.call(ctx)
	if err != nil {
		return store.Changes{}, err
	}

	if after > c.revision {
		return store.Changes{}, store.ErrCompacted
	}

	n.simulation.locked(func() { n.simulation.watchers++ })
	defer n.simulation.locked(func() { n.simulation.watchers-- })

	end := time.After(timeout)

	for {
		n.simulation.mu.Lock()
		c, changed, watchesSilent := n.simulation.contents(), n.simulation.changed, n.simulation.watchesSilent
		n.simulation.mu.Unlock()

		if c.written > after && !watchesSilent && !n.isSilent() {
			n.pause(ctx)
			n.simulation.transfer(ctx, storedBytes, n.id)

			return c.changes(), errors.Join(ctx.Err(), n.observeEpoch(c.epochNumber))
		}

		select {
		case <-changed:
		case <-end:
			return store.Changes{Revision: after}, nil
		case <-ctx.Done():
			return store.Changes{}, ctx.Err()
		}

		switch {
		case n.isSilent():
			<-ctx.Done()

			return store.Changes{}, ctx.Err()
		case n.isRejected():
			return store.Changes{}, platform.ErrUnknown
		}
	}
}
