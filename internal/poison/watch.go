package poison

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of a suspected request. The status tells retries, too, to leave it.
var (
	ErrRefused = errs.New("poison.refused", http.StatusTooManyRequests, "the request was running in two crashes of backend servers")
	ErrWaiting = errs.New("poison.waiting", http.StatusTooManyRequests, "the request was running in a crash and runs elsewhere now")
)

// Methods between gates.
const (
	MethodReport = "Poison.Report"
	MethodPull   = "Poison.Pull"
	MethodTake   = "Poison.Take"
	MethodGive   = "Poison.Give"
)

const (
	// tellTime bounds how long the callers of a crashed backend server wait until
	// the other gates are warned.
	tellTime = 250 * time.Millisecond
	// tellAtOnce is how many gates are told at the same time.
	tellAtOnce = 64
)

// Members gives the nodes that are thought to run.
type Members interface {
	Live() []membership.Record
}

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Self is the gate that watches.
type Self struct {
	Node    string
	Life    string
	Address string
}

// Watch is what a gate does about crashes of its backend server.
type Watch struct {
	self     Self
	members  Members
	peers    Peers
	recorder *timeline.Recorder
	table    *Table
	permits  *Permits
	recent   recent
	stale    atomic.Bool

	mu     sync.Mutex
	number uint64 // of the crashes seen here
	down   bool
	asked  time.Time // when the other gates were last asked
}

// NewWatch returns a watch that has seen nothing.
func NewWatch(self Self, m Members, p Peers, r *timeline.Recorder) *Watch {
	w := &Watch{self: self, members: m, peers: p, recorder: r, table: NewTable(), permits: NewPermits()}
	w.stale.Store(true)

	return w
}

// Stale tells that the backend server of this gate changed its state. A gate
// whose backend server was away may have missed a warning, and asks the others
// before it lets the next call through.
func (w *Watch) Stale() { w.stale.Store(true) }

// Table returns what is known of suspects.
func (w *Watch) Table() *Table { return w.table }

// Begin reports whether the call may run now. The returned function must be
// called at its end with what came of it.
func (w *Watch) Begin(ctx context.Context, c call.Call) (func(Result), error) {
	if w.stale.Load() {
		w.pull(ctx, c.Service)
	}

	r := &run{watch: w, call: c, began: time.Now(), epoch: w.epoch()}

	if w.table.Size() == 0 { // almost always
		return func(o Result) { r.end(ctx, o) }, nil
	}

	v := w.table.Judge(Of(c).Digest)

	switch {
	case v.Refused:
		return nil, w.refuse(c, ErrRefused, v.Left)
	case !v.Suspected:
		return func(o Result) { r.end(ctx, o) }, nil
	}

	return w.beginSuspect(ctx, r, v.Crash)
}

func (w *Watch) beginSuspect(ctx context.Context, r *run, first Crash) (func(Result), error) {
	d := Of(r.call).Digest

	if !w.take(ctx, first, d) {
		return nil, w.refuse(r.call, ErrWaiting, time.Second)
	}

	// Another one may have crashed while this one waited for its permit.
	if v := w.table.Judge(d); v.Refused {
		w.give(ctx, first, d)

		return nil, w.refuse(r.call, ErrRefused, v.Left)
	}

	r.began, r.epoch = time.Now(), w.epoch()

	return func(o Result) {
		r.end(ctx, o)
		w.give(ctx, first, d)
	}, nil
}

// run is one run of a call here.
type run struct {
	watch *Watch
	call  call.Call
	began time.Time
	epoch epoch
}

func (r *run) end(ctx context.Context, o Result) {
	switch o {
	case Lost:
	case Finished:
		r.finished(ctx)
	case Crashed:
		r.crashed(ctx)
	}
}

func (r *run) finished(ctx context.Context) {
	w := r.watch
	w.up(r.epoch)
	w.recent.add(wholeOf(r.call))

	if w.table.Size() == 0 {
		return
	}

	if s := Of(r.call); w.table.Finished(s) {
		w.tell(ctx, r.call.Service, Report{Suspect: s, Cleared: true})
	}
}

func (r *run) crashed(ctx context.Context) {
	w := r.watch
	s, age := Of(r.call), time.Since(r.began)
	report := Report{Suspect: s, Age: age, Crashes: []Crash{w.crash()}}

	w.table.Merge([]Report{report})
	w.recorder.Record(event.PoisonSuspected, timeline.Entry{
		Call: r.call.ID, Key: r.call.Key, Detail: r.call.Method + " " + r.call.URI,
	})

	innocent := w.tell(ctx, r.call.Service, report) || w.recent.has(s.Whole, age)
	if innocent && w.table.Finished(s) {
		w.tell(ctx, r.call.Service, Report{Suspect: s, Cleared: true})
	}
}

// Result is what came of a run.
type Result int

// The results.
const (
	// Lost says nothing: a timeout, a cancellation, a shed call.
	Lost Result = iota
	// Finished means that the backend server answered.
	Finished
	// Crashed means that the backend server ended while it ran the call.
	Crashed
)

func (w *Watch) refuse(c call.Call, fault error, after time.Duration) error {
	w.recorder.Record(event.PoisonRefused, timeline.Entry{Call: c.ID, Key: c.Key, Detail: c.Method + " " + c.URI})

	return call.Refuse(fault, call.RanNo, after)
}

type epoch struct {
	number uint64
	down   bool
}

func (w *Watch) epoch() epoch {
	w.mu.Lock()
	defer w.mu.Unlock()

	return epoch{w.number, w.down}
}

// crash numbers the crash: all calls that were in flight report the same one. A
// success counts as the end of the outage only if its call began in it.
func (w *Watch) crash() Crash {
	w.mu.Lock()
	defer w.mu.Unlock()

	if !w.down {
		w.number++
		w.down = true
	}

	return Crash{Gate: w.self.Life, Number: w.number, Address: w.self.Address}
}

func (w *Watch) up(began epoch) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.down && began.down && began.number == w.number {
		w.down = false
	}
}
