package poison

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// archiveTimeout bounds one update of the archive, and the wait of the first calls for it. Callers of a
	// crashed backend server wait for the update.
	archiveTimeout = 250 * time.Millisecond
	// archiveBatch is how many requests one update writes. A crash may have ended as many as the backend server has slots.
	archiveBatch = 16
	// archiveRetryInterval is the pause until a failed access to the archive is repeated, and until changes that arrived
	// from other gates are written.
	archiveRetryInterval = time.Second
	// archiveStaleness is how old a list of the archive may be. It is read again after that time.
	archiveStaleness = 5 * time.Second
)

// Archive keeps the refused requests of one service where they outlast its gates.
type Archive interface {
	// Keep writes what is known of a request, for the time that is left.
	Keep(ctx context.Context, r Report) error
	// Forget removes a request.
	Forget(ctx context.Context, d Digest) error
	// Load returns all requests. Those of the last seconds may be missing.
	Load(ctx context.Context) ([]Report, error)
	// Changed returns a channel that is closed when the archive may have lost requests.
	Changed() <-chan struct{}
}

// archived is the state of the access to the archive.
type archived struct {
	in       Archive       // nil without an archive
	loaded   chan struct{} // closed after the first attempt to load
	wake     chan struct{} // wakes runArchive
	updating chan struct{} // has room for the update that runs
	failed   atomic.Bool   // the last update failed
	unread   bool          // the last attempt to load failed
}

func (a *archived) wakeRun() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// waitForArchive waits for the first attempt to load the archive.
func (w *Watch) waitForArchive() {
	if w.archive.in == nil {
		return
	}

	select {
	case <-w.archive.loaded:
	case <-time.After(archiveTimeout):
	}
}

// runArchive loads the archive and updates it until ctx ends.
func (w *Watch) runArchive(ctx context.Context) {
	if w.archive.in == nil {
		return
	}

	changed := w.archive.in.Changed()
	ok := w.loadArchive(ctx)
	close(w.archive.loaded)

	again := time.Now().Add(archiveStaleness)

	for ctx.Err() == nil {
		if w.awaitArchiveWork(ctx, changed, !ok || !again.IsZero()) {
			changed = w.archive.in.Changed()
			w.table.clearArchived()
		}

		due := !again.IsZero() && time.Now().After(again)
		if due {
			again = time.Time{}
		}

		if !ok || due {
			ok = w.loadArchive(ctx)
		}

		w.updateArchive(ctx)
	}
}

// awaitArchiveWork waits until the archive may need an update and reports whether it may have lost requests. It waits for
// archiveRetryInterval at most while there are requests, or the archive is to be loaded.
func (w *Watch) awaitArchiveWork(ctx context.Context, changed <-chan struct{}, load bool) bool {
	var next <-chan time.Time
	if load || w.table.Size() > 0 {
		next = time.After(archiveRetryInterval)
	}

	select {
	case <-ctx.Done():
	case <-changed:
		return true
	case <-w.archive.wake:
	case <-next:
	}

	return false
}

// loadArchive merges the requests of the archive and reports whether it could be read.
func (w *Watch) loadArchive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()

	reports, err := w.archive.in.Load(ctx)
	w.table.Merge(reports)

	for _, r := range reports {
		w.table.setArchived(r.Suspect.Digest, true)
	}

	switch {
	case err == nil:
		w.recorder.Record(event.PoisonLoaded, timeline.Entry{Detail: fmt.Sprintf("%d requests", len(reports))})
	case !w.archive.unread:
		w.recorder.Record(event.PoisonLoaded, timeline.Entry{Detail: err.Error()})
	}

	w.archive.unread = err != nil

	return err == nil
}

// updateArchive writes the refused requests that this gate reports, and removes those that were exonerated since.
func (w *Watch) updateArchive(ctx context.Context) {
	if w.archive.in == nil || w.table.Size() == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()

	if keep, forget := w.table.unarchived(1); len(keep)+len(forget) == 0 {
		return
	}

	select {
	case w.archive.updating <- struct{}{}:
	case <-ctx.Done():
		return // runArchive goes on
	}

	defer func() { <-w.archive.updating }()

	keep, forget := w.table.unarchived(archiveBatch)

	for _, r := range keep {
		if !w.archivedOne(r.Suspect.Digest, true, w.archive.in.Keep(ctx, r)) {
			return
		}
	}

	for _, d := range forget {
		if !w.archivedOne(d, false, w.archive.in.Forget(ctx, d)) {
			return
		}
	}

	if len(keep)+len(forget) == archiveBatch {
		w.archive.wakeRun() // there may be more
	}
}

// archivedOne records the result of an update of the archive and reports whether it succeeded.
func (w *Watch) archivedOne(d Digest, kept bool, err error) bool {
	failedBefore := w.archive.failed.Swap(err != nil)

	switch {
	case err == nil:
		w.table.setArchived(d, kept)
		w.recorder.Record(event.PoisonArchived, timeline.Entry{Detail: fmt.Sprintf("%x kept %t", d, kept)})
	case !failedBefore:
		w.recorder.Record(event.PoisonArchived, timeline.Entry{Detail: fmt.Sprintf("%x kept %t: %v", d, kept, err)})
	}

	return err == nil
}

// setArchived records whether the archive has a request.
func (t *Table) setArchived(d Digest, is bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if e := t.entries[d]; e != nil {
		e.archived = is
	}
}

// clearArchived records that the archive may have lost all requests.
func (t *Table) clearArchived() {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, e := range t.entries {
		e.archived = false
	}
}

// unarchived returns some refused requests that this gate reports and that the archive does not have, and some that
// the archive has and that are no longer refused. The archive itself drops those whose time is over.
func (t *Table) unarchived(most int) (keep []Report, forget []Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()

	for d, e := range t.entries {
		if len(keep)+len(forget) >= most {
			break
		}

		switch refused := e.refused(now); {
		case refused && !e.archived && e.revision > 0:
			keep = append(keep, e.report(now))
		case !refused && e.archived && now.Before(e.until):
			forget = append(forget, d)
		}
	}

	return keep, forget
}
