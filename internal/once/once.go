// Package once runs a call that must not run twice: uploads, permission changes,
// enrolments.
//
// It answers repeats. A caller that hears nothing sends its enrolment again,
// through another node, in another failure domain, after a crash or while a
// process is frozen. Each key has one home, the only process that may start it;
// repeats are forwarded there and get the outcome of the first run. Nothing here
// depends on who is believed alive or on what time it is: a home that is gone
// takes its keys with it, and they end in unknown.
//
//	h := once.New("nottm-a-browse-1", key.NewLife(incarnation), once.WithShards(keeper))
//	answer, err := h.Run(ctx, c, run) // run sends attempts through h.Guard(peers)
//
// The record of a key ends in one of three ways, and the home is the only one
// that says so:
//
//   - ran, with the answer;
//   - not-run: no attempt reached a backend server and none ever will;
//   - unknown: an attempt may have run; the mesh never sends it again.
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

// Home starts the keys of one process.
type Home struct {
	options  Options
	node     string
	life     string
	table    *record.Table
	sequence *attempt.Sequence
	running  atomic.Int64
	closed   atomic.Bool
	// runs ends when runs are given up.
	runs   context.Context //nolint:containedctx // as long as the home
	giveUp context.CancelFunc
}

// New returns the home of a node's life, which key.NewLife made.
func New(node, life string, opts ...Option) *Home {
	o := newOptions(opts...)

	h := &Home{options: o, node: node, life: life, table: o.Table, sequence: attempt.NewSequence(node + "." + life)}
	h.runs, h.giveUp = context.WithCancel(context.Background())

	return h
}

// Name returns what callers put before their tokens.
func (h *Home) Name() key.Home {
	return key.Home{Node: h.node, Life: h.life, Generation: h.table.Generation()}
}

// Life names the process.
func (h *Home) Life() string { return h.life }

// Mint returns a key of this home for a call that came without one.
func (h *Home) Mint() string { return h.Name().Key(ulid.Make().String()) }

// Running returns how many keys have not ended.
func (h *Home) Running() int64 { return h.running.Load() }

// Close starts no key from now on; repeats of those that were started get their outcome.
// A key that is started while the process ends would be cut off with it.
func (h *Home) Close() { h.closed.Store(true) }

// GiveUp ends the runs of all keys, so that who waits for them hears what is known.
func (h *Home) GiveUp() { h.giveUp() }

// Size returns the number of records and the bytes of their answers.
func (h *Home) Size() (records, bytes int) { return h.table.Size() }

// Rotate drops the oldest records as time goes by, until ctx ends.
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

// Run runs the call under its key, or waits for the run that an earlier one
// began. run makes attempts until it has an answer or a refusal.
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
		return answerOf(c, o, !fresh)
	case <-ctx.Done():
		return call.Answer{}, refuse(c, ErrRunning, call.RanUnknown, time.Second)
	}
}

// key says how a key is recorded here, or that this process is not its home. A
// process that takes a key of the one before it for its own would run it again.
func (h *Home) key(c call.Call) (record.Key, error) {
	k, named := key.Parse(c.Key)
	if !named {
		return h.opaque(c)
	}

	if k.Home.Node != h.node || k.Home.Life != h.life {
		return record.Key{}, ErrHomeGone.With("%s.%s", k.Home.Node, k.Home.Life)
	}

	return record.Key{ID: c.Key, Generation: k.Home.Generation}, nil
}

// opaque takes a key only if its entry meant this process. An entry that was
// frozen with a call for the owner before would otherwise bring it here, after
// the time in which unseen keys are not started.
func (h *Home) opaque(c call.Call) (record.Key, error) {
	own := h.options.Shards.Own(c.Key)
	if own.Leaving {
		return record.Key{}, ErrLeaving.With("%s", h.node)
	}

	if !own.Mine || c.BootID != h.life {
		return record.Key{}, ErrNotHome.With("%s", h.node)
	}

	return record.Key{ID: c.Key, Opaque: true, Wait: own.Wait}, nil
}

// run goes on when its caller hangs up: the caller will ask again, and an
// upload that was cut off half way could only be answered with unknown.
func (h *Home) run(ctx context.Context, c call.Call, r *record.Record, run call.Handler) {
	defer h.running.Add(-1)

	deadline, ok := ctx.Deadline()

	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(h.runs, cancel)()

	if ok {
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}

	attempts := &attempt.Run{}
	a, err := run(context.WithValue(ctx, runKey{}, attempts), c)

	h.settle(c, r, attempts, a, err)
}

// settle ends the record by what the attempts themselves say: a refusal made
// anywhere in the pipe can't turn an ambiguous attempt into not-run.
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
	case h.runs.Err() == nil || refusal.Ran == call.RanYes:
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

// digestOf tells the requests of one key apart. Headers are left out: traces and
// dates differ between repeats of the same upload.
func digestOf(c call.Call) record.Digest {
	s := sha256.New()
	s.Write([]byte(c.Method))
	s.Write([]byte{0})
	s.Write([]byte(c.URI))
	s.Write([]byte{0})
	s.Write(c.Body)

	return record.Digest(s.Sum(nil)[:len(record.Digest{})])
}
