package configsync

import (
	"context"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/store"
)

// contents are what the store holds, and the number of its epoch.
type contents struct {
	version, written, revision int64
	number                     uint64
}

func (c contents) value() []byte { return []byte(strconv.FormatInt(c.version, 10)) }

func (c contents) changes() store.Changes {
	return store.Changes{Revision: c.revision, Entries: []store.Change{{Entry: platform.Entry{Value: c.value(), Revision: c.written}}}}
}

// contents is called with the lock held.
func (w *world) contents() contents { return contents{w.version, w.written, w.revision, w.number} }

// copied returns what the store holds now.
func (w *world) copied() (c contents) {
	w.set(func() { c = w.contents() })

	return c
}

// back has the store come back from an older copy. Watches that wait go on waiting.
func (w *world) back(c contents) {
	w.set(func() {
		w.version, w.written, w.revision = c.version, c.written, c.revision
		w.number++
	})
}

// others writes other keys, as many as it takes to get to a revision.
func (w *world) others(revision int64) { w.set(func() { w.revision = max(w.revision, revision) }) }

func (n *node) isSilent() bool {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()

	return n.world.silent[n.id]
}

func (n *node) isTurned() bool {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()

	return n.world.turned[n.id]
}

// call is one call to the store, which tells the epoch with its answer.
func (n *node) call(ctx context.Context) (contents, error) {
	n.world.set(func() {
		n.world.calls++
		n.calls++
	})

	if n.isSilent() {
		<-ctx.Done()

		return contents{}, ctx.Err()
	}

	n.world.mu.Lock()
	defer n.world.mu.Unlock()

	if n.world.turned[n.id] {
		return contents{}, platform.ErrUnavailable
	}

	return n.world.contents(), n.heard(n.world.number)
}

// heard takes the epoch of an answer.
func (n *node) heard(number uint64) error {
	if !n.epoch.Observe(number) {
		return platform.ErrUnknown
	}

	return nil
}

func (n *node) Get(ctx context.Context, _ string) (platform.Entry, int64, error) {
	c, err := n.call(ctx)
	time.Sleep(4 * time.Millisecond)

	n.world.set(func() {
		if n.unread > 0 && err == nil {
			n.unread--
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
	n.world.set(func() { n.looked = time.Now() })

	return c.revision, err
}

func (n *node) Watch(ctx context.Context, _ string, after int64, patience time.Duration) (store.Changes, error) {
	c, err := n.call(ctx)
	if err != nil {
		return store.Changes{}, err
	}

	if after > c.revision {
		return store.Changes{}, store.ErrCompacted
	}

	n.world.set(func() { n.world.watchers++ })
	defer n.world.set(func() { n.world.watchers-- })

	end := time.After(patience)

	for {
		n.world.mu.Lock()
		c, changed, deaf := n.world.contents(), n.world.changed, n.world.deaf
		n.world.mu.Unlock()

		if c.written > after && !deaf {
			return c.changes(), n.heard(c.number)
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
		case n.isTurned():
			return store.Changes{}, platform.ErrUnknown
		}
	}
}
