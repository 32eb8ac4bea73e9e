// Package frontend is the HTTP server for callers. The node that receives a call from its
// caller is the entry node of the call.
//
// A call passes through these stages: decode, match the route, apply the deadline, route a
// keyed call to its home, send attempts to gates, write the answer. A gate is the node on a
// backend server's host. The home of an idempotency key is the node that owns the key.
//
//	entry := frontend.New(frontend.Settings(holder), frontend.Members(table), frontend.WithPeers(client))
//	http.Serve(listener, entry.Handler())
package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/contain"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/retry"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Errors that the entry node reports to callers.
var (
	ErrNoSettings     = errs.New("entry.no_settings", http.StatusServiceUnavailable, "this node holds no settings yet")
	ErrNoRoute        = errs.New("entry.no_route", http.StatusNotFound, "no route takes this request")
	ErrPanic          = errs.New("entry.panic", http.StatusBadGateway, "the node failed to handle the request")
	ErrBody           = errs.New("entry.body", http.StatusRequestEntityTooLarge, "request body over the route's limit")
	ErrOverloaded     = errs.New("entry.overloaded", http.StatusServiceUnavailable, "no memory for the request")
	ErrNoUpstream     = errs.New("entry.no_upstream", http.StatusServiceUnavailable, "no backend server of the service is ready")
	ErrDraining       = errs.New("entry.leaving", http.StatusServiceUnavailable, "this node is leaving")
	ErrNodeStopped    = errs.New("entry.given_up", http.StatusBadGateway, "this node ended before the answer came")
	ErrDeadline       = errs.New("entry.deadline", http.StatusGatewayTimeout, "no answer came before the deadline")
	ErrCanceled       = errs.New("entry.canceled", admission.StatusClientClosed, "the caller went away")
	ErrAnswerMismatch = errs.New("entry.crossed", http.StatusBadGateway, "the answer belongs to another call")
	ErrHeader         = errs.New("entry.header", http.StatusBadRequest, "header not accepted")
)

// Headers of requests from callers and of responses to them.
const (
	HeaderCall     = "Pollencart-Call"
	HeaderCaller   = "Pollencart-Caller"
	HeaderNode     = "Pollencart-Node"
	HeaderUpstream = "Pollencart-Upstream"
	HeaderVersion  = "Pollencart-Version"
	HeaderRan      = "Pollencart-Ran"
	HeaderRepeat   = "Pollencart-Repeat"
	HeaderDeadline = "Pollencart-Deadline-Ms"
	HeaderAttempt  = "Pollencart-Attempt"
	HeaderDepth    = "Pollencart-Depth"
	HeaderAttempts = "Pollencart-Attempts"
	HeaderReason   = "Pollencart-Reason"
	HeaderRetryMs  = "Pollencart-Retry-After-Ms"
	HeaderKey      = "Idempotency-Key"
	HeaderHome     = "Pollencart-Home"
)

// drainingRetryAfter is the retry delay in refusals of a draining node. It is short because
// other nodes accept the call immediately.
const drainingRetryAfter = 100 * time.Millisecond

// Entry handles the calls that callers send to this node.
type Entry struct {
	options Options
	pipe    call.Handler
	home    call.Handler // handles calls that other nodes forward to this node as the home of the key
	gates   *gates
}

// New returns an Entry with the given options.
func New(opts ...Option) *Entry {
	o := newOptions(opts...)
	e := &Entry{options: o}
	o.Peers = o.Home.Guard(o.Peers)
	e.gates = &gates{options: o, budget: retry.New()}
	e.pipe = call.Chain(e.gates.attempt, e.deadline, e.once, e.runAtHome)
	e.home = call.Chain(e.gates.attempt, e.deadline, e.runAtHome)

	return e
}

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	s := echo.New()
	s.HideBanner = true
	s.Any("/*", e.serve)

	return s
}

func (e *Entry) serve(c echo.Context) error {
	snapshot := e.options.Settings.Load()
	id := callID(c.Request())

	a, err := e.run(c.Request(), id, snapshot)
	if snapshot != nil {
		c.Response().Header().Set(HeaderVersion, strconv.FormatUint(snapshot.Version().Number, 10))
	}

	c.Response().Header().Set(HeaderNode, e.options.Node)
	c.Response().Header().Set(HeaderCall, id)
	c.Response().Header().Set(HeaderHome, e.options.Home.Name().String())

	if err != nil {
		return e.writeRejection(c, id, err)
	}

	e.options.Recorder.Record(event.CallAnswered, timeline.Entry{Call: id, Peer: a.Upstream})

	return writeAnswer(c, a)
}

func callID(r *http.Request) string {
	if id := r.Header.Get(HeaderCall); id != "" {
		return id
	}

	return ulid.Make().String()
}

func (e *Entry) run(r *http.Request, id string, snapshot *settings.Snapshot) (a call.Answer, err error) {
	defer contain.Panic(func(p contain.Caught) {
		e.options.Recorder.Record(event.PanicContained, timeline.Entry{Call: id, Detail: p.String()})

		a, err = call.Answer{}, call.Refuse(ErrPanic, call.RanUnknown, 0)
	})

	if snapshot == nil {
		return call.Answer{}, call.Refuse(ErrNoSettings, call.RanNo, time.Second)
	}

	route, ok := snapshot.Match(r.Method, r.URL.Path)
	if !ok {
		return call.Answer{}, call.Refuse(ErrNoRoute.With("%s %s", r.Method, r.URL.Path), call.RanNo, 0)
	}

	c, err := decode(r, id, route.Values.BodyLimit)
	if err != nil && !e.options.Intake.Takes(time.Now()) {
		return call.Answer{}, call.Refuse(ErrDraining.Wrap(err), call.RanNo, drainingRetryAfter)
	}

	if err != nil {
		return call.Answer{}, call.Refuse(err, call.RanNo, retryAfter(err))
	}

	c = c.WithRoute(route, snapshot.Version().Number)
	if !e.options.Intake.Takes(time.Now().Add(timeLimit(c))) {
		return call.Answer{}, call.Refuse(ErrDraining, call.RanNo, drainingRetryAfter)
	}

	return e.pipe(r.Context(), c)
}

func decode(r *http.Request, id string, limit int) (call.Call, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return call.Call{}, bodyError(err)
	}

	if len(body) > limit {
		return call.Call{}, ErrBody.With("limit %d bytes", limit)
	}

	remaining, err := headerInt(r, HeaderDeadline)
	if err != nil {
		return call.Call{}, err
	}

	attempt, err := headerInt(r, HeaderAttempt)
	if err != nil {
		return call.Call{}, err
	}

	depth, err := headerInt(r, HeaderDepth)
	if err != nil {
		return call.Call{}, err
	}

	return call.Call{
		ID: id, Caller: callerOf(r), Method: r.Method, URI: r.URL.RequestURI(), Header: fields(r.Header), Body: body,
		Key: r.Header.Get(HeaderKey), Attempt: attempt, Depth: depth + 1,
		Remaining: settings.Duration(time.Duration(remaining) * time.Millisecond),
	}, nil
}

// bodyError returns the reason for which a body was not read.
func bodyError(err error) error {
	if errors.Is(err, membudget.ErrNoRoom) {
		return ErrOverloaded.Wrap(err)
	}

	return ErrBody.Wrap(err)
}

// retryAfter returns the retry delay of a call that was not accepted, or 0 if another attempt has the same end.
func retryAfter(err error) time.Duration {
	if errors.Is(err, ErrOverloaded) {
		return memoryRetryAfter
	}

	return 0
}

// memoryRetryAfter is the retry delay of a call for which there is no memory. Most calls end within it.
const memoryRetryAfter = 500 * time.Millisecond

// RefuseForMemory answers a call for which there is no memory.
func (e *Entry) RefuseForMemory(w http.ResponseWriter, r *http.Request) {
	c := echo.New().NewContext(r, w)
	id := callID(r)

	w.Header().Set(HeaderNode, e.options.Node)
	w.Header().Set(HeaderCall, id)
	w.Header().Set("Connection", "close")

	_ = e.writeRejection(c, id, call.Refuse(ErrOverloaded, call.RanNo, memoryRetryAfter)) // fails if the caller has left
}

func headerInt(r *http.Request, name string) (int, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}

	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, ErrHeader.With("%s: %q is not a number", name, text)
	}

	return n, nil
}

func callerOf(r *http.Request) string {
	if c := r.Header.Get(HeaderCaller); c != "" {
		return c
	}

	host, _, _ := strings.Cut(r.RemoteAddr, ":")

	return host
}

func fields(h http.Header) []call.Field {
	out := make([]call.Field, 0, len(h))

	for name, values := range h {
		if hopByHop(name) || strings.HasPrefix(name, "Pollencart-") || name == HeaderKey {
			continue
		}

		for _, v := range values {
			out = append(out, call.Field{Name: name, Value: v})
		}
	}

	return out
}

func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
		"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}

	return false
}

// deadline limits the call to the route's deadline or the remaining time that the caller
// states, whichever is shorter.
func (e *Entry) deadline(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		ctx, cancel := context.WithTimeout(ctx, timeLimit(c))
		defer cancel()

		return next(ctx, c)
	}
}

func timeLimit(c call.Call) time.Duration {
	limit := c.Values.Deadline
	if c.Remaining > 0 {
		limit = min(limit, c.Remaining)
	}

	return time.Duration(limit)
}

func writeAnswer(c echo.Context, a call.Answer) error {
	h := c.Response().Header()
	for _, f := range a.Header {
		if !hopByHop(f.Name) {
			h.Add(f.Name, f.Value)
		}
	}

	h.Set(HeaderRan, string(a.Ran))
	h.Set(HeaderUpstream, a.Upstream)
	h.Set(HeaderAttempts, strconv.Itoa(a.Attempts))

	if a.Key != "" {
		h.Set(HeaderKey, a.Key)
	}

	if a.Repeat {
		h.Set(HeaderRepeat, "true")
	}

	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	c.Response().WriteHeader(a.Status)
	_, err := c.Response().Write(a.Body)

	return err
}

// Rejection is the JSON body of the response to a rejected or failed call.
type Rejection struct {
	ID           string   `json:"ID"`
	Code         int      `json:"Code"`
	Detail       string   `json:"Detail"`
	Call         string   `json:"Call"`
	Node         string   `json:"Node"`
	Ran          call.Ran `json:"Ran"`
	RetryAfterMs int64    `json:"RetryAfterMs"`
	Attempts     int      `json:"Attempts"`
	Key          string   `json:"Key,omitempty"`
	NotForwarded bool     `json:"NotForwarded,omitempty"`
}

func (e *Entry) writeRejection(c echo.Context, id string, err error) error {
	var r *call.Refusal
	if !errors.As(err, &r) {
		r = call.Refuse(err, call.RanUnknown, time.Second)
	}

	r = withRequestKey(c.Request(), r)
	number := event.CallTurnedAway
	if r.Ran == call.RanUnknown {
		number = event.CallUnknown
	}

	e.options.Recorder.Record(number, timeline.Entry{Call: id, Detail: r.Error()})

	h := c.Response().Header()
	h.Set(HeaderRan, string(r.Ran))
	h.Set(HeaderAttempts, strconv.Itoa(r.Attempts))
	h.Set(HeaderReason, r.Fault.ID)

	if r.Key != "" {
		h.Set(HeaderKey, r.Key)
	}

	wait := time.Duration(r.RetryAfter)
	if wait > 0 {
		h.Set(HeaderRetryMs, strconv.FormatInt(wait.Milliseconds(), 10))
		h.Set("Retry-After", strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10))
	}

	return c.JSON(r.Fault.Code, Rejection{
		ID: r.Fault.ID, Code: r.Fault.Code, Detail: r.Fault.Detail, Call: id, Node: e.options.Node,
		Ran: r.Ran, RetryAfterMs: wait.Milliseconds(), Attempts: r.Attempts,
		Key: r.Key, NotForwarded: r.NotForwarded,
	})
}
