// Package dispatch handles a call from its arrival to its final response: it matches the
// route, picks a node, forwards the call and decides whether to retry it.
//
// The route decides what may be retried. An idempotent call is retried after any failure,
// any other call only if it certainly did not run. A node that rejects a call has not passed
// it to a backend server, so contacting the next node is free; a retry of a call that reached
// a backend server takes from the retry budget.
//
// A call that fails gets its response at once: 503 with a Retry-After header if it did not
// run, 502 or 504 if it may have run.
//
// # Usage
//
//	d := dispatch.New(dispatch.Options{...})
//	server := ingress.New(d)
package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/loglimit"
	"github.com/pollencart/pollencart/internal/notice/memory"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// noConfigRetryAfter is the Retry-After of a node without configuration, which polls
	// the store every 100 ms.
	noConfigRetryAfter = 300 * time.Millisecond
	// noBackendRetryAfter is the Retry-After if no node serves the service. After a restart,
	// all nodes learn within 500 ms which nodes serve it.
	noBackendRetryAfter = 250 * time.Millisecond
	// drainingRetryAfter is the Retry-After of a draining node. It is short because callers
	// that are directed to another node are served there at once, and the time until the
	// next process of this node is ready is unknown.
	drainingRetryAfter = 100 * time.Millisecond
	// maxContacted limits the nodes contacted for one call, so that searching for a free
	// slot adds little load to a busy service.
	maxContacted = 4
	// minRetryTime is the least remaining time with which another node can still respond.
	minRetryTime = 5 * time.Millisecond
)

// Dispatcher answers calls.
type Dispatcher struct {
	options       Options
	splitter      *splitter
	retryDetector *retryDetector
	subsets       *subsets
	notices       *memory.Memory
	endings       *endings
	refusedKeys   loglimit.Limiter
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	if o.CountNodes == nil {
		o.CountNodes = o.Members.CountLive
	}

	return &Dispatcher{
		options: o, splitter: newSplitter(), retryDetector: newRetryDetector(), subsets: newSubsets(o), notices: memory.New(),
		endings: newEndings(),
	}
}

var _ ingress.Handler = (*Dispatcher)(nil)

// Outcome is the response that a caller got, with its cause.
type Outcome struct {
	ID    string
	Route string
	// Workspace is the workspace that the call runs for, or "".
	Workspace string
	// KeyRefused reports that the caller's key was unknown, OverLimit that the call was beyond the limit of
	// its workspace.
	KeyRefused bool
	OverLimit  bool
	// BelowLimit reports that the limit as a whole was not known to be used up.
	BelowLimit bool
	Status     int
	Reason     string
	Held       time.Duration // that backend servers worked on the call
	Sent       int           // attempts that may have reached a backend server
	Asked      int           // nodes contacted
	Waited     time.Duration // since the caller's first attempt, if this is a detected retry
	Node       string
	// Canary is the version on trial that the call was sent to, or "".
	Canary  string
	Took    time.Duration
	Version uint64
	// Stopping reports that this node was draining when the call arrived. Connected is
	// the age of the caller's connection at that time, Ahead the number of earlier calls
	// on it without a response.
	Stopping  bool
	Connected time.Duration
	Ahead     int
}

// Serve handles one call and implements [ingress.Handler].
func (d *Dispatcher) Serve(ctx context.Context, r ingress.Request) ingress.Response {
	o := Outcome{ID: r.Header.Get(d.options.Names.Call)}
	if o.ID == "" {
		o.ID = ulid.Make().String()
	}

	if o.Stopping = d.options.Intake.Leaving(); o.Stopping {
		o.Connected, o.Ahead = r.Arrived.Sub(r.Connected), r.Ahead
	}

	response := d.serve(ctx, r, &o)
	response.Call = o.ID
	o.Status, o.Took = response.Status, time.Since(r.Arrived)
	d.record(ctx, o)

	return response
}

func (d *Dispatcher) serve(ctx context.Context, r ingress.Request, o *Outcome) ingress.Response {
	table := d.options.Tables.Load()
	if table == nil {
		return d.reject(o, "no version is held yet", noConfigRetryAfter)
	}

	o.Version = table.Version()

	matched, ok := table.Match(r.Host, r.Path)
	if !ok {
		o.Reason = "no route takes the request"

		return d.localResponse(o, http.StatusNotFound)
	}

	o.Route = matched.Name

	w, ok := d.holder(table, matched, r.Header)
	if !ok {
		// The next version may have become active after the table was loaded.
		if d.options.Tables.Load() != table {
			return d.serve(ctx, r, o)
		}

		return d.refuseKey(o)
	}

	if w != nil {
		o.Workspace = w.Name
	}

	return d.run(ctx, r, o, permit{table, matched, w})
}

// run runs a call that the active version permits.
func (d *Dispatcher) run(ctx context.Context, r ingress.Request, o *Outcome, p permit) ingress.Response {
	callerTimeout := d.callerTimeout(r)
	current := waitingCaller{firstArrival: r.Arrived, deadline: r.Arrived.Add(callerTimeout)}
	timeLimit := p.route.Timeout

	if callerTimeout > 0 {
		timeLimit = min(timeLimit, callerTimeout-min(callerRoundTrip, callerTimeout/callerRoundTripDivisor))
		current = d.retryDetector.match(r, current)
		o.Waited = r.Arrived.Sub(current.firstArrival)
	}

	callDeadline := r.Arrived.Add(timeLimit)
	if !d.options.Intake.Takes(callDeadline) {
		return d.reject(o, "not run: this node is being stopped", drainingRetryAfter)
	}

	ctx, cancel := context.WithDeadline(ctx, callDeadline)
	defer cancel()

	if decision := d.takeQuota(ctx, p.workspace); !decision.Allowed {
		if o.Waited > 0 {
			d.retryDetector.remember(r, current)
		}

		o.OverLimit, o.BelowLimit = true, decision.BelowLimit

		return d.rejectWith(o, http.StatusTooManyRequests, decision.Reason, decision.RetryAfter)
	}

	current.service = d.splitter.pick(p.route, current.service)
	d.options.Budget.CountCall(current.service)

	state := &callState{
		dispatcher: d, ctx: ctx, route: p.route, outcome: o, target: r.Arrived.Add(min(p.route.Target-o.Waited, timeLimit)),
		request: forward.Request{
			ID: o.ID, Service: current.service, Route: p.route.Name, Origin: d.options.Service, Method: r.Method, Host: r.Host, URI: r.URI,
			Header: p.header(d.options.Names, r.Header), Body: r.Body, Idempotent: p.route.Idempotent, Rank: p.rank(),
		},
	}

	response := state.run()
	if !state.reached {
		d.returnQuota(p.workspace)
	}

	if callerTimeout > 0 && response.Status >= http.StatusInternalServerError {
		d.retryDetector.remember(r, current)
	}

	return response
}

// callerRoundTrip is the network round trip to a caller. The caller's clock runs during it,
// so the node responds this much before the caller timeout ends.
const (
	callerRoundTrip        = 20 * time.Millisecond
	callerRoundTripDivisor = 20 // at most this fraction of the caller timeout
)

// callerTimeout returns the timeout that the caller sent, or 0 if there is no valid one.
func (d *Dispatcher) callerTimeout(r ingress.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(d.options.Names.Deadline), 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}

	return time.Duration(ms) * time.Millisecond
}

// reject returns the response to a call that did not run and will not be attempted again.
func (d *Dispatcher) reject(o *Outcome, reason string, after time.Duration) ingress.Response {
	return d.rejectWith(o, http.StatusServiceUnavailable, reason, after)
}

func (d *Dispatcher) rejectWith(o *Outcome, status int, reason string, after time.Duration) ingress.Response {
	o.Reason = reason

	response := d.localResponse(o, status)
	response.Header = append(response.Header, call.Field{
		Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', 3, 64),
	})

	return response
}

// localResponse returns a response that this node makes itself, with the reason as its body.
func (d *Dispatcher) localResponse(o *Outcome, status int) ingress.Response {
	return ingress.Response{
		Status: status,
		Header: []call.Field{
			{Name: d.options.Names.Call, Value: o.ID},
			{Name: "Content-Type", Value: "text/plain; charset=utf-8"},
		},
		Body: []byte(o.Reason + "\n"),
	}
}

// record reports the outcome to the meter and to the timeline.
func (d *Dispatcher) record(ctx context.Context, o Outcome) {
	if d.options.Meter != nil {
		d.options.Meter.Answered(o)
	}

	e := event.CallAnswered

	switch {
	case errors.Is(context.Cause(ctx), ingress.ErrClosed):
		e = event.CallFailed
	case ctx.Err() != nil:
		e = event.CallAbandoned
	case o.KeyRefused:
		d.recordKeyRefused(o)

		return
	case o.OverLimit:
		e = event.CallTurnedAway
	case o.Reason != "", o.Status >= http.StatusInternalServerError:
		e = event.CallFailed
	}

	d.options.Recorder.Record(e, timeline.Entry{Call: o.ID, Peer: o.Node, Version: o.Version, Detail: o.detail()})
}

// detail formats the outcome as the Detail of its event.
func (o Outcome) detail() string {
	const typicalSize = 96

	b := make([]byte, 0, typicalSize)
	b = append(b, "status "...)
	b = strconv.AppendInt(b, int64(o.Status), 10)
	b = append(b, " route "...)
	b = append(b, o.Route...)
	b = append(b, " ms "...)
	b = strconv.AppendInt(b, o.Took.Milliseconds(), 10)
	b = append(b, " asked "...)
	b = strconv.AppendInt(b, int64(o.Asked), 10)
	b = append(b, " sent "...)
	b = strconv.AppendInt(b, int64(o.Sent), 10)

	if o.Workspace != "" {
		b = append(b, " workspace "...)
		b = append(b, o.Workspace...)
	}

	if o.Waited > 0 {
		b = append(b, " waited "...)
		b = strconv.AppendInt(b, o.Waited.Milliseconds(), 10)
	}

	if o.Canary != "" {
		b = append(b, " canary "...)
		b = append(b, o.Canary...)
	}

	if o.Stopping {
		b = append(b, " stopping, connected "...)
		b = strconv.AppendInt(b, o.Connected.Milliseconds(), 10)
		b = append(b, " ahead "...)
		b = strconv.AppendInt(b, int64(o.Ahead), 10)
	}

	if o.Reason != "" {
		b = append(b, " reason "...)
		b = append(b, o.Reason...)
	}

	return string(b)
}
