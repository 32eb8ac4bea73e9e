package poison

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of a suspected request. Their status, 429, also keeps the mesh from retrying it.
var (
	ErrRefused = errs.New("poison.refused", http.StatusTooManyRequests, "the request was running in two crashes of backend servers")
	ErrWaiting = errs.New("poison.waiting", http.StatusTooManyRequests, "the request was running in a crash and runs elsewhere now")
)

// Members lists the gates of a service, also those that are considered failed: they may
// be running and take calls before this node learns of it.
type Members interface {
	OfService(service string) []membership.Record
	// CountLive counts the nodes that are considered alive, including this one.
	CountLive() int
}

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// StallDetector reports when this process last stalled.
type StallDetector interface {
	LastStall() time.Duration
}

type neverStalls struct{}

func (neverStalls) LastStall() time.Duration { return 0 }

// Search reports whether this node has looked for others since its start.
type Search interface {
	Searched() bool
}

type alwaysSearched struct{}

func (alwaysSearched) Searched() bool { return true }

// Self identifies the gate that this watch belongs to.
type Self struct {
	Node string
	// Incarnation is that of the node's membership record.
	Incarnation uint64
	BootID      string
	Address     string
}

// Watch handles crashes of the gate's backend server.
type Watch struct {
	self           Self
	members        Members
	peers          Peers
	recorder       *timeline.Recorder
	stalls         StallDetector
	search         Search
	table          *Table
	permits        *Permits
	recentFinishes recentFinishes
	notified       notified
	pulls          pulls
	contacts       contacts
	archive        archived
	began          time.Time
	wake           chan struct{} // wakes Run

	mu        sync.Mutex
	running   map[*run]struct{}
	lastCrash uint64    // number of the last crash seen here
	service   string    // service of the last call
	brokenOff []*run    // runs that broke off, of which it is unknown whether a crash ended them
	replaced  time.Time // when the last end of the backend server became known
}

// NewWatch returns a watch that has seen no crash.
func NewWatch(self Self, m Members, p Peers, r *timeline.Recorder) *Watch {
	w := &Watch{
		self: self, members: m, peers: p, recorder: r, stalls: neverStalls{}, search: alwaysSearched{}, table: NewTable(),
		permits: NewPermits(), began: time.Now(), wake: make(chan struct{}, 1), running: map[*run]struct{}{},
	}
	w.notified.acks = map[string]ack{}
	w.archive.wake, w.archive.updating = make(chan struct{}, 1), make(chan struct{}, 1)
	w.MarkStale()

	return w
}

// WithStallDetector sets the detector of process stalls. Reports that arrive during a stall
// wait in sockets together with calls, so the watch pulls before it runs the first call
// after a stall.
func (w *Watch) WithStallDetector(s StallDetector) *Watch {
	w.stalls = s

	return w
}

// WithSearch sets what looks for other nodes. A node that has not done so may seem to be alone.
func (w *Watch) WithSearch(s Search) *Watch {
	w.search = s

	return w
}

// WithArchive sets where refused requests outlast the gates of the service.
func (w *Watch) WithArchive(a Archive) *Watch {
	w.archive.in, w.archive.loaded = a, make(chan struct{})

	return w
}

// MarkStale marks that this gate may have missed reports: its process has just started, or
// its host now has another service. The next call waits for a pull. A backend server that
// stops and starts again is no reason, since its gate still receives reports; a pull at
// each change would make calls wait for unreachable gates each time.
func (w *Watch) MarkStale() { w.pulls.staleMarks.Add(1) }

// Table returns what is known of suspects.
func (w *Watch) Table() *Table { return w.table }

// Begin reports whether the call may run now. The caller must call the returned function
// with the result when the call ends; it returns the crashes that count against the
// request.
func (w *Watch) Begin(ctx context.Context, c call.Call) (func(Result) []Crash, error) {
	// Reports may have been missed while the call waited for its slot.
	if !w.freshen(ctx, c.Service) {
		return nil, w.refuse(c, ErrWaiting, waitingRetryAfter)
	}

	// The run is tracked before the request is evaluated, so that a notification which arrives
	// meanwhile either is seen here or is replied to as running.
	r := w.track(&run{watch: w, call: c})

	v, err := w.evaluate(c)
	if err == nil && !v.Suspected {
		return func(o Result) []Crash { return r.end(ctx, o) }, nil
	}

	w.untrack(r)

	if err != nil {
		return nil, err
	}

	return w.beginSuspect(ctx, r, v)
}

// Refused returns the refusal if the request is known to be refused, else nil. Gates
// check it before the queue: a refused request would take the place of calls that can
// run, and with a closed queue its caller would keep retrying on other nodes.
func (w *Watch) Refused(c call.Call) error {
	_, err := w.evaluate(c)

	return err
}

// evaluate returns the verdict on a call's request, with the refusal if it is refused.
func (w *Watch) evaluate(c call.Call) (Verdict, error) {
	if len(c.Crashes) > 0 {
		w.table.MergeCrashes(Of(c), c.Crashes)
	}

	if w.table.Size() == 0 { // the usual case
		return Verdict{}, nil
	}

	v := w.table.Evaluate(Of(c).Digest)
	if v.Refused {
		return v, w.refuse(c, ErrRefused, v.Left)
	}

	return v, nil
}

func (w *Watch) beginSuspect(ctx context.Context, r *run, v Verdict) (func(Result) []Crash, error) {
	s := Of(r.call)
	p := PermitRequest{Service: r.call.Service, Suspect: s, Crashes: w.table.Crashes(s.Digest)}

	granter, err := w.acquirePermit(ctx, v.Crash, p)

	// While this run waited for its permit another one may have crashed, or the granter
	// may know of a crash that was unknown here.
	if v := w.table.Evaluate(s.Digest); v.Refused {
		if err == nil {
			w.releasePermit(ctx, granter, p)
		}

		return nil, w.refuse(r.call, ErrRefused, v.Left)
	}

	if err != nil {
		w.recorder.Record(event.PoisonJudged, timeline.Entry{Call: r.call.ID, Peer: granter.node, Detail: "not permitted: " + err.Error()})

		return nil, w.refuse(r.call, ErrWaiting, waitingRetryAfter)
	}

	w.recorder.Record(event.PoisonJudged, timeline.Entry{Call: r.call.ID, Peer: granter.node, Detail: "permitted after " + v.Crash.Gate})

	w.track(r)

	return func(o Result) []Crash {
		crashes := r.conclude(ctx, o)
		end := func() {
			if granter.address == "" {
				w.untrack(r) // a copy that waits here runs next
			}

			// If the permit has expired, the run must count as running until the release has arrived,
			// or it releases the permit of the next one.
			w.releasePermit(ctx, granter, p)
			w.untrack(r)
		}

		// The backend server may still run the request and crash.
		if o == BrokenOff {
			time.AfterFunc(brokenOffTime, end)
		} else {
			end()
		}

		return crashes
	}, nil
}

// reportCrash records the crash that ended the runs and notifies the other gates. It
// returns the crashes that count against the first request.
func (w *Watch) reportCrash(ctx context.Context, runs ...*run) []Crash {
	if len(runs) == 0 {
		return nil
	}

	service := runs[0].call.Service
	gates := w.otherGates(service, live)

	for _, r := range runs {
		s, c := Of(r.call), w.crashAfter(r.crashesBefore)

		w.table.CrashedLocally(s, c, r.began)
		w.recorder.Record(event.PoisonSuspected, timeline.Entry{
			Call: r.call.ID, Key: r.call.Key, Detail: describe(r.call, c, len(w.table.Crashes(s.Digest))) + ", notifies " + names(gates),
		})
	}

	w.notifyLive(ctx, service)

	for _, r := range runs {
		if s := Of(r.call); w.recentFinishes.has(s.Whole, time.Since(r.began)) {
			w.table.Finished(s)
		}
	}

	// Before the callers try again: the gates of the service may all end at once.
	w.updateArchive(membudget.Detach(ctx))
	w.wakeRun(service)

	return w.table.Crashes(Of(runs[0].call).Digest)
}

func describe(c call.Call, crash Crash, count int) string {
	return fmt.Sprintf("%s %s crash %d of %s, %d count", c.Method, c.URI, crash.Number, crash.Gate, count)
}

func (w *Watch) refuse(c call.Call, fault error, after time.Duration) error {
	crashes := w.table.Crashes(Of(c).Digest)
	w.recorder.Record(event.PoisonRefused, timeline.Entry{
		Call: c.ID, Key: c.Key, Detail: fmt.Sprintf("%s %s for %s: %v", c.Method, c.URI, after.Round(time.Millisecond), crashes),
	})

	return call.Refuse(fault, call.RanNo, after).WithCrashes(crashes)
}

// crashAfter identifies the crash of a run that began after the given number of crashes.
// All runs that began between two crashes report the same crash, whenever they notice it;
// a run that begins later runs on a restarted backend server, so its crash is another
// one. Counting all crashes as one until a call finished let a request that always came
// first crash the same backend server five times out of five.
func (w *Watch) crashAfter(before uint64) Crash {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.lastCrash = max(w.lastCrash, before+1)

	return Crash{Gate: w.self.BootID, Number: before + 1, Address: w.self.Address}
}
