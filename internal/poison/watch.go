package poison

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
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

// Members gives the nodes beside backend servers of a service, also those that are held
// for dead: they may be back, and take calls, before this node knows.
type Members interface {
	OfService(service string) []membership.Record
	// CountLive counts the nodes that are thought to run, this one too.
	CountLive() int
}

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Standstills tells when this process was last seen to have stood still.
type Standstills interface {
	Woke() time.Duration
}

type neverStands struct{}

func (neverStands) Woke() time.Duration { return 0 }

// Self is the gate that watches.
type Self struct {
	Node    string
	Life    string
	Address string
}

// Watch is what a gate does about crashes of its backend server.
type Watch struct {
	self        Self
	members     Members
	peers       Peers
	recorder    *timeline.Recorder
	standstills Standstills
	table       *Table
	permits     *Permits
	recent      recent
	told        told
	asking      asking
	began       time.Time
	wake        chan struct{} // wakes Run

	mu      sync.Mutex
	number  uint64 // of the crashes seen here
	service string // of the calls that come here
	broken  []*run // of which nobody knows yet whether they ran in a crash
}

// NewWatch returns a watch that has seen nothing.
func NewWatch(self Self, m Members, p Peers, r *timeline.Recorder) *Watch {
	w := &Watch{
		self: self, members: m, peers: p, recorder: r, standstills: neverStands{}, table: NewTable(), permits: NewPermits(),
		began: time.Now(), wake: make(chan struct{}, 1),
	}
	w.told.acks = map[string]ack{}
	w.Stale()

	return w
}

// WithStandstills sets what tells when this process stood still: what others told it in
// that time waits in its sockets, beside calls.
func (w *Watch) WithStandstills(s Standstills) *Watch {
	w.standstills = s

	return w
}

// Stale tells that this gate may not have been told what others were: its process has just
// started, or its host has another service. It asks before it lets the next call through.
// A backend server that comes and goes is no reason, since its gate is told meanwhile: asked
// at each change, its calls would wait each time for a gate that can't be reached.
func (w *Watch) Stale() { w.asking.changed.Add(1) }

// Table returns what is known of suspects.
func (w *Watch) Table() *Table { return w.table }

// Begin reports whether the call may run now. The returned function must be called at
// its end with what came of it; it returns the crashes that the request is known to have
// been running in.
func (w *Watch) Begin(ctx context.Context, c call.Call) (func(Result) []Crash, error) {
	w.Freshen(ctx, c.Service) // something may have been missed while the call waited for its slot

	r := &run{watch: w, call: c, began: time.Now(), number: w.seen()}

	v, err := w.judge(c)

	switch {
	case err != nil:
		return nil, err
	case !v.Suspected:
		return func(o Result) []Crash { return r.end(ctx, o) }, nil
	}

	return w.beginSuspect(ctx, r, v)
}

// Refused returns the refusal of a request that is known to be refused, nil for all others.
// It comes before the queue: waiting for a slot in vain takes the place of calls that can be
// served, and a backend server that takes no calls just now would have its callers try the
// request elsewhere again and again.
func (w *Watch) Refused(c call.Call) error {
	_, err := w.judge(c)

	return err
}

// judge tells what is held of a call's request, with the refusal if it is refused.
func (w *Watch) judge(c call.Call) (Verdict, error) {
	if len(c.Crashes) > 0 {
		w.table.Heard(Of(c), c.Crashes)
	}

	if w.table.Size() == 0 { // almost always
		return Verdict{}, nil
	}

	v := w.table.Judge(Of(c).Digest)
	if v.Refused {
		return v, w.refuse(c, ErrRefused, v.Left)
	}

	return v, nil
}

func (w *Watch) beginSuspect(ctx context.Context, r *run, v Verdict) (func(Result) []Crash, error) {
	s := Of(r.call)
	p := Permit{Service: r.call.Service, Suspect: s, Crashes: w.table.Crashes(s.Digest)}

	giver, err := w.take(ctx, v.Crash, p)

	// Another one may have crashed while this one waited for its permit, or who permits
	// knows of one that was not known here.
	if v := w.table.Judge(s.Digest); v.Refused {
		if err == nil {
			w.give(ctx, giver, p)
		}

		return nil, w.refuse(r.call, ErrRefused, v.Left)
	}

	if err != nil {
		w.recorder.Record(event.PoisonJudged, timeline.Entry{Call: r.call.ID, Peer: giver.node, Detail: "not permitted: " + err.Error()})

		return nil, w.refuse(r.call, ErrWaiting, waitingRetry)
	}

	w.recorder.Record(event.PoisonJudged, timeline.Entry{Call: r.call.ID, Peer: giver.node, Detail: "permitted after " + v.Crash.Gate})

	r.began, r.number = time.Now(), w.seen()

	return func(o Result) []Crash {
		crashes := r.end(ctx, o)
		w.give(ctx, giver, p)

		return crashes
	}, nil
}

// run is one run of a call here.
type run struct {
	watch  *Watch
	call   call.Call
	began  time.Time
	ended  time.Time // when it broke off
	number uint64    // of the last crash before it began
}

func (r *run) end(ctx context.Context, o Result) []Crash {
	switch o {
	case Lost:
	case BrokenOff:
		r.watch.keepBroken(r)
	case Finished:
		r.finished()
	case Crashed:
		return r.watch.crashed(ctx, append([]*run{r}, r.watch.takeBroken()...)...)
	case Down:
		r.watch.Restarted(ctx)
	}

	return nil
}

func (r *run) finished() {
	w := r.watch
	w.recent.add(wholeOf(r.call))

	if w.table.Size() > 0 && w.table.Finished(Of(r.call)) {
		w.nudge(r.call.Service)
	}
}

// crashed notes the crash that runs were in, warns the other gates, and returns the
// crashes that the first of the requests is known to have been in.
func (w *Watch) crashed(ctx context.Context, runs ...*run) []Crash {
	if len(runs) == 0 {
		return nil
	}

	for _, r := range runs {
		s, c := Of(r.call), w.crash(r.number)

		w.table.Saw(s, c, r.began)
		w.recorder.Record(event.PoisonSuspected, timeline.Entry{
			Call: r.call.ID, Key: r.call.Key, Detail: describe(r.call, c, len(w.table.Crashes(s.Digest))),
		})
	}

	service := runs[0].call.Service
	w.warn(ctx, service)

	for _, r := range runs {
		if s := Of(r.call); w.recent.has(s.Whole, time.Since(r.began)) {
			w.table.Finished(s)
		}
	}

	w.nudge(service)

	return w.table.Crashes(Of(runs[0].call).Digest)
}

func describe(c call.Call, crash Crash, count int) string {
	return fmt.Sprintf("%s %s crash %d of %s, %d count", c.Method, c.URI, crash.Number, crash.Gate, count)
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
	// BrokenOff means that nobody knows yet: the call was given up while it ran, or its
	// connection ended without an answer and somebody listens at the address, the backend
	// server or one that was started in its place.
	BrokenOff
	// Down means that the call found nobody who listens, and did not run.
	Down
)

func (w *Watch) refuse(c call.Call, fault error, after time.Duration) error {
	crashes := w.table.Crashes(Of(c).Digest)
	w.recorder.Record(event.PoisonRefused, timeline.Entry{
		Call: c.ID, Key: c.Key, Detail: fmt.Sprintf("%s %s for %s: %v", c.Method, c.URI, after.Round(time.Millisecond), crashes),
	})

	return call.Refuse(fault, call.RanNo, after).WithCrashes(crashes)
}

// seen returns how many crashes were seen here.
func (w *Watch) seen() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.number
}

// crash numbers the crash that a call was running in. All that began after the crash
// before it report the same one, whenever they notice; what begins afterwards runs on a
// backend server that was started again, and its crash is another one. Counted as the
// same until a call had finished, a request that was always the first to come ended the
// backend server of one host five times of five.
func (w *Watch) crash(before uint64) Crash {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.number = max(w.number, before+1)

	return Crash{Gate: w.self.Life, Number: before + 1, Address: w.self.Address}
}

const (
	// maxBroken bounds the runs that are kept, for brokenTime: some calls of one backend
	// server; one that is started again has said so long before.
	maxBroken  = 64
	brokenTime = 2 * time.Second
)

// keepBroken keeps a run that broke off until it is known whether its backend server
// was started again.
func (w *Watch) keepBroken(r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()

	r.ended = time.Now()

	w.broken = append(w.broken, r)
	w.broken = w.broken[max(0, len(w.broken)-maxBroken):]
}

// Restarted tells that the backend server ended, or is another process than before. What
// broke off a moment ago was running when it did. On a busy host it was started again
// before the gate looked whether its address still took connections, and the crash was
// taken for a lost answer; and where the entry of the call ended in the same moment, the
// gate did not look.
func (w *Watch) Restarted(ctx context.Context) { w.crashed(ctx, w.takeBroken()...) }

// takeBroken returns the runs of which it was not known, and keeps them no longer.
func (w *Watch) takeBroken() []*run {
	w.mu.Lock()
	defer w.mu.Unlock()

	out := slices.DeleteFunc(w.broken, func(r *run) bool { return time.Since(r.ended) >= brokenTime })
	w.broken = nil

	return out
}
