package poison

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/call"
)

// run is one run of a call on this gate.
type run struct {
	watch         *Watch
	call          call.Call
	began         time.Time
	ended         time.Time // when it broke off
	crashesBefore uint64    // number of crashes seen before it began
}

// end concludes the run and untracks it.
func (r *run) end(ctx context.Context, o Result) []Crash {
	// A crash is recorded before the run is untracked: a gate that asks for it learns of one of both.
	defer r.watch.untrack(r)

	return r.conclude(ctx, o)
}

func (r *run) conclude(ctx context.Context, o Result) []Crash {
	switch o {
	case Lost:
	case BrokenOff:
		if !r.watch.keepBrokenOff(r) {
			return r.watch.reportCrash(ctx, r)
		}
	case Finished:
		r.finished()
	case Crashed:
		r.watch.markReplaced()

		return r.watch.reportCrash(ctx, append([]*run{r}, r.watch.takeBrokenOff()...)...)
	case Down:
		r.watch.Restarted(ctx)
	}

	return nil
}

func (r *run) finished() {
	w := r.watch
	w.recentFinishes.add(wholeHash(r.call))

	if w.table.Size() > 0 && w.table.Finished(Of(r.call)) {
		w.wakeRun(r.call.Service)
	}
}

// Result is the outcome of a run.
type Result int

// The results.
const (
	// Lost allows no conclusion: the call timed out, was canceled or was shed.
	Lost Result = iota
	// Finished means that the backend server answered.
	Finished
	// Crashed means that the backend server crashed while it ran the call.
	Crashed
	// BrokenOff means that it is unknown whether the backend server crashed: the call was
	// canceled while it ran, or its connection ended without an answer while its address
	// accepts connections, from the same process or one started in its place.
	BrokenOff
	// Down means that nothing listens at the backend server's address, or another process than
	// before; the call did not run.
	Down
)

// track marks that a run begins now.
func (w *Watch) track(r *run) *run {
	w.mu.Lock()
	defer w.mu.Unlock()

	r.began, r.crashesBefore = time.Now(), w.lastCrash
	w.running[r] = struct{}{}

	return r
}

func (w *Watch) untrack(r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()

	delete(w.running, r)
}

// runningRequests returns the requests that run here now.
func (w *Watch) runningRequests() map[Digest]bool {
	w.mu.Lock()
	running := slices.Collect(maps.Keys(w.running))
	w.mu.Unlock()

	out := make(map[Digest]bool, len(running))
	for _, r := range running {
		out[Of(r.call).Digest] = true
	}

	return out
}

const (
	// maxBrokenOff bounds the runs that are kept, for brokenOffTime. A restarted backend
	// server is noticed well within that time.
	maxBrokenOff  = 64
	brokenOffTime = 2 * time.Second
)

// keepBrokenOff keeps a run that broke off until it is known whether the backend server crashed. It
// reports false if that is known already: the crash or
// the start of the next process became known within brokenOffTime before, while the run lasted.
func (w *Watch) keepBrokenOff(r *run) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	r.ended = time.Now()

	if w.replaced.After(r.began) && r.ended.Sub(w.replaced) < brokenOffTime {
		return false
	}

	w.brokenOff = append(w.brokenOff, r)
	w.brokenOff = w.brokenOff[max(0, len(w.brokenOff)-maxBrokenOff):]

	return true
}

// Restarted reports that the backend server crashed or is another process than before, so
// runs that broke off within brokenOffTime ended in a crash. The gate's own check misses
// a crash if the backend server restarts before the gate tests its address, as on a busy
// host, and is skipped if the entry node of the call terminates at the same moment.
func (w *Watch) Restarted(ctx context.Context) {
	w.markReplaced()
	w.reportCrash(ctx, w.takeBrokenOff()...)
}

// markReplaced marks that the backend server that ran calls until now has ended.
func (w *Watch) markReplaced() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.replaced = time.Now()
}

// takeBrokenOff removes and returns the runs that broke off recently.
func (w *Watch) takeBrokenOff() []*run {
	w.mu.Lock()
	defer w.mu.Unlock()

	out := slices.DeleteFunc(w.brokenOff, func(r *run) bool { return time.Since(r.ended) >= brokenOffTime })
	w.brokenOff = nil

	return out
}
