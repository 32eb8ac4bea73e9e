package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/http1/transport"
	"github.com/pollencart/pollencart/internal/invariant"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of a run.
var (
	ErrNone      = errs.New("upstream.none", http.StatusServiceUnavailable, "no backend server on this host")
	ErrUnreached = errs.New("upstream.unreached", http.StatusServiceUnavailable, "the backend server can't be reached")
	ErrNoAnswer  = errs.New("upstream.no_answer", http.StatusGatewayTimeout, "the backend server gave no whole answer")
	ErrCrashed   = errs.New("upstream.crashed", http.StatusBadGateway, "the backend server ended while it ran the call")
	ErrShed      = errs.New("upstream.shed", http.StatusServiceUnavailable, "the backend server shed the call")
	ErrBrokenOff = errs.New("upstream.broken_off", http.StatusBadGateway, "the connection ended without an answer, and its address takes new ones")
	ErrTwice     = errs.New("upstream.twice", http.StatusConflict, "the key was sent to the backend server before")
	ErrTooLarge  = errs.New("upstream.too_large", http.StatusBadGateway, "the answer is over the limit")
)

// MaxAnswer is the maximum size of an answer's body in bytes, so that an answer fits into a
// frame.
const MaxAnswer = 4 << 20

// maxAnswerHead bounds the head of an answer in bytes.
const maxAnswerHead = 64 << 10

// Headers of requests to the backend server and of its answers.
const (
	HeaderCall     = "Pollencart-Call"
	HeaderDeadline = "Pollencart-Deadline-Ms"
	HeaderAttempt  = "Pollencart-Attempt"
	HeaderDepth    = "Pollencart-Depth"
	// HeaderNotRun marks the answer to a call that the backend server shed without running any
	// part of it.
	HeaderNotRun = "Pollencart-Not-Run"
	HeaderKey    = "Idempotency-Key"
)

func newClient(connections int) *http.Client {
	return &http.Client{
		Transport: transport.New(&http.Transport{
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxAnswerHead,
			DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// unreplayableBody prevents net/http from retrying a request. After a broken connection
// net/http retries a request that has an Idempotency-Key and a replayable body, so that an
// upload would run twice.
type unreplayableBody struct{ io.Reader }

func (unreplayableBody) Close() error { return nil }

// Run sends the call to the backend server and returns its whole answer. The error is a
// Refusal that says whether the call may have run.
func (h *Host) Run(ctx context.Context, c call.Call) (call.Answer, error) {
	h.mu.Lock()
	client, current, expired := h.client, h.current, h.expired()
	h.mu.Unlock()

	// The entry node's view may be older than a change of the service on this host.
	if client == nil || current.Service != c.Service || expired {
		return call.Answer{}, call.Refuse(ErrNone, call.RanNo, time.Second)
	}

	req, err := newRequest(ctx, current.Address, c)
	if err != nil {
		return call.Answer{}, call.Refuse(ErrUnreached.Wrap(err), call.RanNo, 0)
	}

	invariant.Check(h.recorder, invariant.ServicesAreKnown, c.Service == current.Service, timeline.Entry{Call: c.ID})

	if !h.recordStart(c) {
		return call.Answer{}, call.Refuse(ErrTwice, call.RanUnknown, 0)
	}

	a, err := exchange(client, req)

	if errors.Is(err, ErrNoAnswer) {
		err = h.classifyFailure(ctx, c, current, err)
	}

	var r *call.Refusal
	if tracksKey(c) && errors.As(err, &r) && r.Ran == call.RanNo {
		h.keys.NotRun(c.Key)
	}

	return a, err
}

// recordStart records that the call's key is sent to the backend server and reports whether
// it was not sent before. It is the last check against sending a key twice.
func (h *Host) recordStart(c call.Call) bool {
	return !tracksKey(c) || h.keys.Start(c.Key, c.ID)
}

// tracksKey reports whether the call's key must be sent to the backend server only once.
func tracksKey(c call.Call) bool { return !c.Idempotent && c.Key != "" }

// errTransportRetry cancels a request that net/http is about to retry.
var errTransportRetry = errors.New("the connection ended without an answer")

// exchange sends the request once. After a broken connection net/http retries a GET; if the
// backend server has restarted meanwhile, one attempt of a crashing request would crash two
// instances and count as one. The second connection is therefore closed before anything is
// written to it.
func exchange(client *http.Client, req *http.Request) (call.Answer, error) {
	var wrote atomic.Bool

	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)

	trace := &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
		GotConn: func(info httptrace.GotConnInfo) {
			if wrote.Load() {
				cancel(errTransportRetry)

				_ = info.Conn.Close()
			}
		},
	}

	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errTransportRetry) {
			err = cause
		}

		return call.Answer{}, refusalOf(err, wrote.Load())
	}
	defer func() { _ = resp.Body.Close() }()

	return readAnswer(req.Context(), resp)
}

func newRequest(ctx context.Context, address string, c call.Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.URI, nil)
	if err != nil {
		return nil, err
	}

	req.Body = unreplayableBody{bytes.NewReader(c.Body)}
	req.ContentLength = int64(len(c.Body))

	if len(c.Body) == 0 && c.Idempotent {
		req.Body = http.NoBody
	}

	for _, f := range c.Header {
		req.Header.Add(f.Name, f.Value)
	}

	req.Header.Set(HeaderCall, c.ID)
	req.Header.Set(HeaderAttempt, strconv.Itoa(c.Attempt))
	req.Header.Set(HeaderDepth, strconv.Itoa(c.Depth))

	if c.Key != "" {
		req.Header.Set(HeaderKey, c.Key)
	}

	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}

	return req, nil
}

// refusalOf distinguishes a call that never reached the backend server from one that may
// have run. Only a failed connection attempt with nothing written before proves that the call
// did not run: net/http retries a GET after its connection broke, and the refused second
// connection hides that the first request ran and crashed the backend server.
func refusalOf(err error, wrote bool) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && !wrote {
		return call.Refuse(ErrUnreached.Wrap(err), call.RanNo, time.Second)
	}

	return call.Refuse(ErrNoAnswer.Wrap(err), call.RanUnknown, time.Second)
}

// readAnswer reads an answer. Its memory is that of the call.
func readAnswer(ctx context.Context, resp *http.Response) (call.Answer, error) {
	charge, size := membudget.From(ctx), MaxAnswer+1
	if resp.ContentLength >= 0 {
		size = int(min(resp.ContentLength, MaxAnswer+1))
	}

	body, err := membudget.ReadBody(resp.Body, size, func(n int) bool {
		return charge.Await(ctx, membudget.Answers, n)
	}, func(n int) { charge.Free(membudget.Answers, n) })
	if err != nil {
		return call.Answer{}, call.Refuse(ErrNoAnswer.Wrap(err), call.RanUnknown, time.Second)
	}

	if len(body) > MaxAnswer {
		return call.Answer{}, call.Refuse(ErrTooLarge, call.RanYes, 0)
	}

	if resp.Header.Get(HeaderNotRun) != "" {
		return call.Answer{}, call.Refuse(ErrShed, call.RanNo, retryAfter(resp))
	}

	a := call.Answer{Status: resp.StatusCode, Body: body, Ran: call.RanYes}

	for name, values := range resp.Header {
		for _, v := range values {
			a.Header = append(a.Header, call.Field{Name: name, Value: v})
		}
	}

	return a, nil
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return time.Second
	}

	return time.Duration(seconds) * time.Second
}
