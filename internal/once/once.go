// Package once runs a call at most once per idempotency key, for calls that must not run twice:
// uploads, permission changes, enrolments.
//
// A caller that receives no answer retries its call, possibly through another node or in another
// failure domain, after a crash or during a process stall. Each key has one owner, the only
// process that may run it. Other nodes forward retries to the owner, which returns the outcome of
// the first run. Ownership depends neither on the membership view nor on clocks. When an owner
// process terminates, its records are lost and its keys end as unknown. The error texts and the
// header Pollencart-Home call the owner the "home" of the key.
//
//	h := once.New("nottm-a-browse-1", key.NewBootID(incarnation), once.WithShards(keeper))
//	answer, err := h.Run(ctx, c, run) // run sends attempts through h.Guard(peers)
//
// The record of a key ends in one of three outcomes, which only the owner decides:
//
//   - ran, with the answer;
//   - not-run: no attempt reached a backend server and none will;
//   - unknown: an attempt may have run; the mesh does not retry it.
package once

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/once/attempt"
	"github.com/pollencart/pollencart/internal/once/key"
	"github.com/pollencart/pollencart/internal/once/record"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of a keyed call.
var (
	ErrHomeGone    = errs.New("once.home_gone", http.StatusConflict, "the process that was the home of the key is gone")
	ErrNotHome     = errs.New("once.not_home", http.StatusServiceUnavailable, "this process is not the home of the key")
	ErrLeaving     = errs.New("once.leaving", http.StatusServiceUnavailable, "the home of the key hands it over to another process")
	ErrGivenUp     = errs.New("once.given_up", http.StatusBadGateway, "the home of the key ended before its run")
	ErrNotSent     = errs.New("once.not_sent", http.StatusServiceUnavailable, "the home of the key ended before it sent the call")
	ErrRunning     = errs.New("once.running", http.StatusGatewayTimeout, "the first run of the key has not ended; repeat the key")
	ErrAmbiguous   = errs.New("once.ambiguous", http.StatusGatewayTimeout, "an attempt of the key may have run; it is not sent again")
	ErrNotKept     = errs.New("once.answer_not_kept", http.StatusConflict, "the key ran; its answer was too large to keep for repeats")
	ErrUnreachable = errs.New("once.home_unreachable", http.StatusServiceUnavailable, "the home of the key can't be reached")
)

// Home runs the keys that its process owns.
type Home struct {
	options  Options
	node     string
	bootID   string
	table    *record.Table
	sequence *attempt.Sequence
	running  atomic.Int64
	closed   atomic.Bool
	// runsCtx is the parent of all runs and is cancelled to end them.
	runsCtx    context.Context //nolint:containedctx // lives as long as the Home
	cancelRuns context.CancelFunc
}

// New returns the Home of a node process; key.NewBootID creates its boot ID.
func New(node, bootID string, opts ...Option) *Home {
	o := newOptions(opts...)

	h := &Home{options: o, node: node, bootID: bootID, table: o.Table, sequence: attempt.NewSequence(node + "." + bootID)}
	h.runsCtx, h.cancelRuns = context.WithCancel(context.Background())

	return h
}

// Name returns the prefix that callers put before their own tokens to form a key.
func (h *Home) Name() key.Home {
	return key.Home{Node: h.node, BootID: h.bootID, Generation: h.table.Generation()}
}

// BootID returns the boot ID of the process.
func (h *Home) BootID() string { return h.bootID }

// Mint returns a new key of this process for a call that has none.
func (h *Home) Mint() string { return h.Name().Key(ulid.Make().String()) }

// Running returns the number of keys whose runs have not ended.
func (h *Home) Running() int64 { return h.running.Load() }

// Close rejects new keys, which would be cut off when the process exits. Retries of recorded keys
// still get their outcome.
func (h *Home) Close() { h.closed.Store(true) }

// CancelRuns cancels the runs of all keys, so that waiting callers get the outcome known so far.
func (h *Home) CancelRuns() { h.cancelRuns() }

// Size returns the number of records and the total size of their answers in bytes.
func (h *Home) Size() (records, bytes int) { return h.table.Size() }

// Rotate drops expired generations of records periodically until ctx ends.
func (h *Home) Rotate(ctx context.Context) {
	period := h.options.Retention / time.Duration(h.options.Generations-1)

	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(period):
			h.table.Rotate()
		}
	}
}

// Run runs the call under its key, or waits for the run of an earlier call with the same key. The
// run handler makes attempts until it has an answer or a refusal.
func (h *Home) Run(ctx context.Context, c call.Call, run call.Handler) (call.Answer, error) {
	k, err := h.key(c)
	if err != nil {
		return call.Answer{}, refuse(c, err, call.RanUnknown, 0)
	}

	if h.closed.Load() && !h.table.Has(k) {
		return call.Answer{}, refuse(c, ErrLeaving.With("%s", h.node), call.RanUnknown, time.Second).WithNotForwarded()
	}

	r, fresh, err := h.table.Open(k, digestOf(c))
	if err != nil {
		return call.Answer{}, refuse(c, err, call.RanUnknown, max(k.Wait, time.Second))
	}

	wait, err := h.table.Wait(r)
	if err != nil {
		return call.Answer{}, refuse(c, err, call.RanUnknown, time.Second)
	}

	if fresh {
		h.running.Add(1)

		go h.run(ctx, c, r, run)
	}

	select {
	case o := <-wait:
		if o.Answer != nil {
			membudget.From(ctx).Force(membudget.Answers, len(o.Answer.Body)) // until it is written
		}

		return answerOf(c, o, !fresh)
	case <-ctx.Done():
		return call.Answer{}, refuse(c, ErrRunning, call.RanUnknown, time.Second)
	}
}

// key returns the record key of a call, or an error if this process does not own the key. A
// key that names an earlier boot of this node is rejected, since that process may have run it.
func (h *Home) key(c call.Call) (record.Key, error) {
	k, named := key.Parse(c.Key)
	if !named {
		return h.opaqueRecordKey(c)
	}

	if k.Home.Node != h.node || k.Home.BootID != h.bootID {
		return record.Key{}, ErrHomeGone.With("%s.%s", k.Home.Node, k.Home.BootID)
	}

	return record.Key{ID: c.Key, Generation: k.Home.Generation}, nil
}

// opaqueRecordKey accepts an opaque key only if the entry node addressed this boot ID. Otherwise an
// entry node that stalled while it forwarded a call to the previous owner could deliver the call
// here after the time in which unseen keys are rejected.
func (h *Home) opaqueRecordKey(c call.Call) (record.Key, error) {
	own := h.options.Shards.Own(c.Key)
	if own.Draining {
		return record.Key{}, ErrLeaving.With("%s", h.node)
	}

	if !own.Owned || c.BootID != h.bootID {
		return record.Key{}, ErrNotHome.With("%s", h.node)
	}

	return record.Key{ID: c.Key, Opaque: true, Wait: own.Wait}, nil
}

// run continues when its caller disconnects: the caller will retry, and an upload that is cancelled
// half way could only end as unknown.
func (h *Home) run(ctx context.Context, c call.Call, r *record.Record, run call.Handler) {
	defer h.running.Add(-1)

	deadline, ok := ctx.Deadline()

	charge := membudget.From(ctx).Successor()
	defer charge.Close()

	ctx, cancel := context.WithCancel(membudget.With(membudget.Detach(ctx), charge))
	defer cancel()
	defer context.AfterFunc(h.runsCtx, cancel)()

	if ok {
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}

	attempts := &attempt.Run{}
	a, err := run(context.WithValue(ctx, runKey{}, attempts), c)

	h.settle(c, r, attempts, a, err)
}

// settle decides the outcome from the results of the attempts, so that a refusal made elsewhere in
// the pipeline cannot turn an ambiguous attempt into not-run.
func (h *Home) settle(c call.Call, r *record.Record, attempts *attempt.Run, a call.Answer, err error) {
	mayHaveRun := attempts.Finish()

	if err == nil {
		h.table.Settle(r, record.Outcome{Answer: &a})

		return
	}

	var refusal *call.Refusal
	if !errors.As(err, &refusal) {
		refusal = call.Refuse(err, call.RanUnknown, time.Second)
	}

	switch {
	case h.runsCtx.Err() == nil || refusal.Ran == call.RanYes:
	case mayHaveRun:
		refusal = call.Refuse(ErrGivenUp.Wrap(err), call.RanUnknown, time.Second)
	default:
		refusal = call.Refuse(ErrNotSent.Wrap(err), call.RanNo, time.Second)
	}

	out := *refusal

	switch {
	case !mayHaveRun:
		out.Ran = call.RanNo
	case out.Ran != call.RanYes:
		out.Ran = call.RanUnknown
	}

	h.options.Recorder.Record(event.KeySettled, timeline.Entry{Call: c.ID, Key: c.Key, Detail: out.Error()})
	h.table.Settle(r, record.Outcome{Refusal: &out})
}

func answerOf(c call.Call, o record.Outcome, repeat bool) (call.Answer, error) {
	if o.Refusal != nil {
		return call.Answer{}, o.Refusal.WithKey(c.Key)
	}

	if o.Dropped {
		return call.Answer{}, refuse(c, ErrNotKept.With("its status was %d", o.Answer.Status), call.RanYes, 0)
	}

	a := o.Answer.WithKey(c.Key)
	if repeat {
		a = a.WithRepeat()
	}

	return a, nil
}

func refuse(c call.Call, err error, ran call.Ran, after time.Duration) *call.Refusal {
	return call.Refuse(err, ran, after).WithKey(c.Key)
}

// digestOf distinguishes the requests of one key. Headers are left out, since traces and dates
// differ between retries of the same upload.
func digestOf(c call.Call) record.Digest {
	s := sha256.New()
	s.Write([]byte(c.Method))
	s.Write([]byte{0})
	s.Write([]byte(c.URI))
	s.Write([]byte{0})
	s.Write(c.Body)

	return record.Digest(s.Sum(nil)[:len(record.Digest{})])
}
