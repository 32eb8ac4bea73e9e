package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/platform"
)

// checkShare is the mean pause between looks of all watchers at the store's revision.
// Each takes its turn after as many of these as there are watchers, so that a missed
// change is found after 0.4 s in the mean, of the 2 s in which a version has to be in
// force, and more watchers look no more often in all.
const checkShare = 800 * time.Millisecond

// check looks for changes that the watch has missed.
func (f *Feed) check(ctx context.Context) {
	var last int64 // in the epoch until changed

	changed := f.options.Epoch.Changed()

	for ctx.Err() == nil {
		every := checkShare * time.Duration(max(len(f.watchersOfAll()), 1))
		idle.For(ctx, every/2+rand.N(every))

		if !f.current.Load() || !f.needsStore() {
			continue
		}

		heard := f.options.Epoch.Changed()

		at, err := f.revision(ctx)
		if err != nil {
			// The watch may wait on a connection that has gone silent.
			f.lost(err)
			signal(f.hurry)

			continue
		}

		if at == last && !idle.Closed(changed) {
			continue
		}

		before := f.options.Holder.Number()

		if f.missed(ctx) != nil {
			continue // the next look tries again
		}

		last, changed = at, heard

		if f.options.Holder.Number() > before {
			f.hint(ctx)
		}
	}
}

func (f *Feed) revision(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()

	return f.options.Store.Revision(ctx)
}

// missed reads the configuration, and has it in force if it is newer.
func (f *Feed) missed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()

	entry, _, err := f.options.Store.Get(ctx, f.options.Key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}

	if err == nil {
		f.apply(ctx, fromStore, document{data: entry.Value})
	}

	return err
}
