// Package dispatch takes a call from its caller to its final answer: it finds the
// route, chooses a node, hands the call over, and decides whether it is sent once
// more.
//
// What may be repeated follows from the route. An idempotent call may be sent
// again after any failure, another one only if it surely did not run. A node that
// turns a call away has not passed it on, so asking the next one costs no budget;
// what reached a backend server does.
//
// The final answer comes at once when the call is given up: 503 with a time to come
// back if it did not run, 502 or 504 if nobody knows.
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
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// noTableRetry is when to come back to a node that holds no version yet: it
	// asks the store every tenth of a second.
	noTableRetry = 300 * time.Millisecond
	// noNodeRetry is when to come back if nobody serves the service; who does is
	// known within half a second of a restart.
	noNodeRetry = 250 * time.Millisecond
	// stoppingRetry is when to come back after a refusal by a node that is being stopped:
	// callers who are led elsewhere are served there at once, and nobody knows when the next
	// process is ready.
	stoppingRetry = 100 * time.Millisecond
	// maxAsked bounds the nodes that are asked for one call. After that a busy
	// service is not made busier by asking around.
	maxAsked = 4
	// leastTime is too short for another node to bring an answer.
	leastTime = 5 * time.Millisecond
)

// Dispatcher answers calls.
type Dispatcher struct {
	options   Options
	splitter  *splitter
	returning *returning
	reach     *reach
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{options: o, splitter: newSplitter(), returning: newReturning(), reach: newReach(o)}
}

var _ ingress.Handler = (*Dispatcher)(nil)

// Outcome is what a caller got, and why.
type Outcome struct {
	ID      string
	Route   string
	Status  int
	Reason  string
	Sent    int           // to backend servers
	Asked   int           // nodes
	Waited  time.Duration // by the caller before this attempt, as far as can be told
	Node    string
	Took    time.Duration
	Version uint64
	// Stopping says that the node was being stopped when the call came. Connected is how
	// old its connection was, Ahead how many earlier calls of it had no answer.
	Stopping  bool
	Connected time.Duration
	Ahead     int
}

// Serve answers one call.
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
	d.tell(ctx, o)

	return response
}

func (d *Dispatcher) serve(ctx context.Context, r ingress.Request, o *Outcome) ingress.Response {
	table := d.options.Tables.Load()
	if table == nil {
		return d.refuse(o, "no version is held yet", noTableRetry)
	}

	o.Version = table.Version()

	found, ok := table.Match(r.Host, r.Path)
	if !ok {
		o.Reason = "no route takes the request"

		return d.own(o, http.StatusNotFound)
	}

	o.Route = found.Name

	stated := d.stated(r)
	c := caller{first: r.Arrived, deadline: r.Arrived.Add(stated)}
	patience := found.Timeout

	if stated > 0 {
		patience = min(patience, stated-min(callerWay, stated/callerWayPart))
		c = d.returning.recall(r, c)
		o.Waited = r.Arrived.Sub(c.first)
	}

	limit := r.Arrived.Add(patience)
	if !d.options.Intake.Takes(limit) {
		return d.refuse(o, "not run: this node is being stopped", stoppingRetry)
	}

	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()

	c.service = d.splitter.pick(found, c.service)
	d.options.Budget.CountCall(c.service)

	t := &try{
		dispatcher: d, ctx: ctx, route: found, outcome: o, target: r.Arrived.Add(min(found.Target-o.Waited, patience)),
		request: forward.Request{
			ID: o.ID, Service: c.service, Route: found.Name, Origin: d.options.Service, Method: r.Method, Host: r.Host, URI: r.URI,
			Header: d.options.Names.Forwarded(r.Header), Body: r.Body, Idempotent: found.Idempotent, Rank: found.Priority,
		},
	}

	response := t.run()
	if stated > 0 && response.Status >= http.StatusInternalServerError {
		d.returning.note(r, c)
	}

	return response
}

// callerWay is the way to a caller and back, for which its own clock runs as well:
// some ten milliseconds. An answer of this node that takes longer comes too late.
const (
	callerWay     = 20 * time.Millisecond
	callerWayPart = 20 // of what the caller says, at most
)

// stated is how long the caller says that it waits, or 0 if it does not say, or nothing
// that can be read.
func (d *Dispatcher) stated(r ingress.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(d.options.Names.Deadline), 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}

	return time.Duration(ms) * time.Millisecond
}

// refuse answers a call that has not run and will not.
func (d *Dispatcher) refuse(o *Outcome, reason string, after time.Duration) ingress.Response {
	o.Reason = reason

	response := d.own(o, http.StatusServiceUnavailable)
	response.Header = append(response.Header, call.Field{
		Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', 3, 64),
	})

	return response
}

// own makes an answer of this node's own.
func (d *Dispatcher) own(o *Outcome, status int) ingress.Response {
	return ingress.Response{
		Status: status,
		Header: []call.Field{
			{Name: d.options.Names.Call, Value: o.ID},
			{Name: "Content-Type", Value: "text/plain; charset=utf-8"},
		},
		Body: []byte(o.Reason + "\n"),
	}
}

func (d *Dispatcher) tell(ctx context.Context, o Outcome) {
	if d.options.Meter != nil {
		d.options.Meter.Answered(o)
	}

	e := event.CallAnswered

	switch {
	case errors.Is(context.Cause(ctx), ingress.ErrClosed):
		e = event.CallFailed
	case ctx.Err() != nil:
		e = event.CallAbandoned
	case o.Reason != "", o.Status >= http.StatusInternalServerError:
		e = event.CallFailed
	}

	d.options.Recorder.Record(e, timeline.Entry{Call: o.ID, Peer: o.Node, Version: o.Version, Detail: o.text()})
}

func (o Outcome) text() string {
	const usual = 96

	b := make([]byte, 0, usual)
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

	if o.Waited > 0 {
		b = append(b, " waited "...)
		b = strconv.AppendInt(b, o.Waited.Milliseconds(), 10)
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
