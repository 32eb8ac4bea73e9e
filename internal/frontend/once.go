package frontend

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/once"
	"github.com/pollencart/pollencart/internal/once/key"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/stall"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
)

// MethodOnce is the peer method that forwards a call to the home of its key.
const MethodOnce = "Caller.Once"

// Errors that the entry node reports for calls with an idempotency key.
var (
	ErrNoHome  = errs.New("once.no_home", http.StatusServiceUnavailable, "no node is the home of this key's shard now")
	ErrStalled = errs.New("once.stood_still", http.StatusServiceUnavailable, "this node stood still and can't tell how old the request is")
)

// once routes a call that must not run twice to the home of its key. A call without a key gets
// one whose home is this node.
func (e *Entry) once(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		if c.Idempotent {
			return next(ctx, c)
		}

		if c.Key == "" {
			c = c.WithKey(e.options.Home.Mint())
		}

		a, err := e.routeToHome(ctx, c, next)
		if err != nil {
			return call.Answer{}, withKey(c.Key, err)
		}

		return a.WithKey(c.Key), nil
	}
}

// maxHomes limits how many homes are tried for a call with an opaque key, a key that names no
// home. handoverPause is the time that a draining home needs to hand over its keys.
const (
	maxHomes      = 20
	handoverPause = 50 * time.Millisecond
)

// routeToHome sends the call to the home of its key. A home that has handed over its opaque
// keys rejects the call without running it, so the call can safely go to the next home.
func (e *Entry) routeToHome(ctx context.Context, c call.Call, next call.Handler) (call.Answer, error) {
	if err := key.Check(c.Key); err != nil {
		return call.Answer{}, call.Refuse(err, call.RanUnknown, 0).WithNotForwarded()
	}

	for n := 1; ; n++ {
		a, err := e.callHome(ctx, c, next)
		if n == maxHomes || !e.mayTryNextHome(ctx, c, err) {
			return a, err
		}
	}
}

// mayTryNextHome reports whether the call may go to another home after a home rejected it. A
// key that names its home has no other home.
func (e *Entry) mayTryNextHome(ctx context.Context, c call.Call, err error) bool {
	if _, named := key.Parse(c.Key); named {
		return false
	}

	switch {
	case errors.Is(err, once.ErrLeaving):
		idle.For(ctx, handoverPause)

		return ctx.Err() == nil
	case errors.Is(err, once.ErrNotHome), errors.Is(err, once.ErrUnreachable) && wasNotForwarded(err):
		return e.options.Shards.Renew(ctx, c.Key)
	}

	return false
}

func wasNotForwarded(err error) bool {
	var r *call.Refusal

	return errors.As(err, &r) && r.NotForwarded
}

func (e *Entry) callHome(ctx context.Context, c call.Call, next call.Handler) (call.Answer, error) {
	node, bootID, err := e.homeOf(c)
	if err != nil {
		return call.Answer{}, err
	}

	c = c.WithBootID(bootID)

	if node == e.options.Node {
		return next(ctx, c)
	}

	return e.forward(ctx, node, c)
}

// homeOf returns the node and the boot ID of a key's home. The generation in a key that names
// its home shows the age of the key. An opaque key has none, so a call with an opaque key that
// is read just after a process stall, and may be old, is rejected. The owner is looked up
// before the stall check, so a call that stalls after the lookup can only run at the process
// with that boot ID.
func (e *Entry) homeOf(c call.Call) (node, bootID string, err error) {
	if k, named := key.Parse(c.Key); named {
		return k.Home.Node, k.Home.BootID, nil
	}

	node, bootID, ok := e.options.Shards.Owner(c.Key)
	if !ok {
		e.options.Shards.Nudge()

		return "", "", call.Refuse(ErrNoHome, call.RanUnknown, time.Second).WithNotForwarded()
	}

	if e.options.Stall.Resumed() {
		e.options.Recorder.Record(event.EntryStoodStill, timeline.Entry{Call: c.ID, Key: c.Key})

		return "", "", call.Refuse(ErrStalled, call.RanUnknown, stall.Settle).WithNotForwarded()
	}

	return node, bootID, nil
}

// runAtHome runs the call at this node as the home of its key.
func (e *Entry) runAtHome(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		if c.Idempotent {
			return next(ctx, c)
		}

		return e.options.Home.Run(ctx, c, next)
	}
}

// withKey adds the key to a refusal. Only the home of a key may report "not run". Every other
// stage knows only the current attempt, and an earlier one may have run, so its "not run"
// becomes "unknown", marked as not forwarded.
func withKey(text string, err error) error {
	var r *call.Refusal
	if !errors.As(err, &r) {
		r = call.Refuse(err, call.RanUnknown, time.Second)
	}

	if r.Key != "" {
		return r
	}

	out := r.WithKey(text)
	if r.Ran == call.RanNo {
		out = out.WithNotForwarded()
	}

	return out
}

// withRequestKey does the same as withKey for a call that was rejected before the once stage.
func withRequestKey(req *http.Request, r *call.Refusal) *call.Refusal {
	text := req.Header.Get(HeaderKey)
	if text == "" || r.Key != "" {
		return r
	}

	var out *call.Refusal

	_ = errors.As(withKey(text, r), &out)

	return out
}

// forward sends the call to the home of its key. It uses the membership view only to fail fast
// when the home is not alive: a wrong view can cost an answer but never causes a second run.
func (e *Entry) forward(ctx context.Context, node string, c call.Call) (call.Answer, error) {
	home, ok := e.options.Nodes.Find(node)
	if !ok || home.State != membership.StateAlive {
		return call.Answer{}, e.refuseNotForwarded(node, c, nil)
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	go e.cancelIfHomeFails(ctx, cancel, node)

	deadline, _ := ctx.Deadline()

	var reply gate.Reply

	err := e.options.Peers.Do(ctx, home.PeerAddress, peer.LaneCalls, MethodOnce, c.WithRemaining(time.Until(deadline)), &reply)

	switch {
	case errors.Is(err, peer.ErrUnreachable):
		return call.Answer{}, e.refuseNotForwarded(node, c, err)
	case errors.Is(context.Cause(ctx), ErrNodeStopped):
		return call.Answer{}, call.Refuse(ErrNodeStopped.Wrap(err), call.RanUnknown, time.Second)
	case err != nil:
		return call.Answer{}, call.Refuse(once.ErrUnreachable.With("no answer from %s", node).Wrap(err), call.RanUnknown, time.Second)
	case reply.Refusal != nil:
		if errors.Is(reply.Refusal, once.ErrLeaving) {
			e.options.Shards.Refresh(ctx, home.PeerAddress)
		}

		return call.Answer{}, reply.Refusal
	}

	return *reply.Answer, nil
}

// cancelIfHomeFails cancels the wait for a home that is considered failed: its connection may
// stay open, and the caller would wait until the deadline. A suspicion does not cancel the
// wait: after a brief network failure the suspicion of one node spreads to all entry nodes,
// which would report "unknown" for calls that the home completes. The peer client itself
// closes links that are silent. A home that leaves the fleet answers the calls it has started
// before it closes its connections.
func (e *Entry) cancelIfHomeFails(ctx context.Context, cancel context.CancelFunc, node string) {
	const interval = 100 * time.Millisecond

	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}

		if r, ok := e.options.Nodes.Find(node); !ok || r.State == membership.StateDead {
			cancel()

			return
		}
	}
}

func (e *Entry) refuseNotForwarded(node string, c call.Call, cause error) error {
	e.options.Recorder.Record(event.KeyHomeLost, timeline.Entry{Call: c.ID, Key: c.Key, Peer: node})

	return call.Refuse(once.ErrUnreachable.With("%s", node).Wrap(cause), call.RanUnknown, time.Second).WithNotForwarded()
}

// ServeOnce handles a call that another node forwarded to this node as the home of the key.
func (e *Entry) ServeOnce(ctx context.Context, c call.Call) (gate.Reply, error) {
	a, err := e.serveOnce(ctx, c)
	if err == nil {
		return gate.Reply{Answer: &a}, nil
	}

	var r *call.Refusal

	_ = errors.As(withKey(c.Key, err), &r)

	return gate.Reply{Refusal: r}, nil
}

// serveOnce matches the route in the settings of the home, which determine the number of
// attempts that the home may make.
func (e *Entry) serveOnce(ctx context.Context, c call.Call) (call.Answer, error) {
	snapshot := e.options.Settings.Load()
	if snapshot == nil {
		return call.Answer{}, call.Refuse(ErrNoSettings, call.RanNo, time.Second)
	}

	u, err := url.ParseRequestURI(c.URI)
	if err != nil {
		return call.Answer{}, call.Refuse(ErrNoRoute.Wrap(err), call.RanNo, 0)
	}

	route, ok := snapshot.Match(c.Method, u.Path)
	if !ok {
		return call.Answer{}, call.Refuse(ErrNoRoute.With("%s %s", c.Method, u.Path), call.RanNo, 0)
	}

	c = c.WithRoute(route, snapshot.Version().Number)
	c.Idempotent = false // the entry node forwards only calls that must not run twice

	return e.home(ctx, c)
}
