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

// MethodOnce is the peer method by which a call gets to the home of its key.
const MethodOnce = "Caller.Once"

// Errors of a keyed call at its entry.
var (
	ErrNoHome     = errs.New("once.no_home", http.StatusServiceUnavailable, "no node is the home of this key's shard now")
	ErrStoodStill = errs.New("once.stood_still", http.StatusServiceUnavailable, "this node stood still and can't tell how old the request is")
)

// once takes a call that must not run twice to the home of its key.
func (e *Entry) once(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		if c.Idempotent {
			return next(ctx, c)
		}

		if c.Key == "" {
			c = c.WithKey(e.options.Home.Mint())
		}

		a, err := e.atHome(ctx, c, next)
		if err != nil {
			return call.Answer{}, keyed(c.Key, err)
		}

		return a.WithKey(c.Key), nil
	}
}

// handovers bounds how often a call follows an opaque key to its next home, and
// handoverPause how long a home takes to hand its keys over.
const (
	handovers     = 20
	handoverPause = 50 * time.Millisecond
)

// atHome takes the call to the home of its key. A home that has just handed its
// opaque keys over says so; the call then goes on to the next one. Nothing was
// started before.
func (e *Entry) atHome(ctx context.Context, c call.Call, next call.Handler) (call.Answer, error) {
	if err := key.Check(c.Key); err != nil {
		return call.Answer{}, call.Refuse(err, call.RanUnknown, 0).WithNotForwarded()
	}

	for n := 1; ; n++ {
		a, err := e.tryHome(ctx, c, next)
		if n == handovers || !e.moved(ctx, c, err) {
			return a, err
		}
	}
}

// moved reports whether the call may go to another home than the one that did
// not take it. A key that names its home has no other.
func (e *Entry) moved(ctx context.Context, c call.Call, err error) bool {
	if _, named := key.Parse(c.Key); named {
		return false
	}

	switch {
	case errors.Is(err, once.ErrLeaving):
		idle.For(ctx, handoverPause)

		return ctx.Err() == nil
	case errors.Is(err, once.ErrNotHome), errors.Is(err, once.ErrUnreachable) && notForwarded(err):
		return e.options.Shards.Renew(ctx, c.Key)
	}

	return false
}

func notForwarded(err error) bool {
	var r *call.Refusal

	return errors.As(err, &r) && r.NotForwarded
}

func (e *Entry) tryHome(ctx context.Context, c call.Call, next call.Handler) (call.Answer, error) {
	node, life, err := e.homeOf(c)
	if err != nil {
		return call.Answer{}, err
	}

	c = c.WithBootID(life)

	if node == e.options.Node {
		return next(ctx, c)
	}

	return e.forward(ctx, node, c)
}

// homeOf returns the node of a key's home, and of an opaque key its life. A key that
// names its home tells its age by its generation; an opaque one does not, so that one
// which is read just after a standstill, and may be old, is not forwarded. The
// owner is looked up before the watchdog: a call that stood still after the lookup
// goes to that life or to nobody.
func (e *Entry) homeOf(c call.Call) (node, life string, err error) {
	if k, named := key.Parse(c.Key); named {
		return k.Home.Node, k.Home.BootID, nil
	}

	node, life, ok := e.options.Shards.Owner(c.Key)
	if !ok {
		e.options.Shards.Nudge()

		return "", "", call.Refuse(ErrNoHome, call.RanUnknown, time.Second).WithNotForwarded()
	}

	if e.options.Standstill.Resumed() {
		e.options.Recorder.Record(event.EntryStoodStill, timeline.Entry{Call: c.ID, Key: c.Key})

		return "", "", call.Refuse(ErrStoodStill, call.RanUnknown, stall.Settle).WithNotForwarded()
	}

	return node, life, nil
}

// start runs the call as the home of its key.
func (e *Entry) start(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		if c.Idempotent {
			return next(ctx, c)
		}

		return e.options.Home.Run(ctx, c, next)
	}
}

// keyed makes sure that only the home of a key says not-run of it. Any other
// stage knows of this attempt alone; an earlier one may have run.
func keyed(text string, err error) error {
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

// ofKey does the same for a call that was turned away before its route was
// known.
func ofKey(req *http.Request, r *call.Refusal) *call.Refusal {
	text := req.Header.Get(HeaderKey)
	if text == "" || r.Key != "" {
		return r
	}

	var out *call.Refusal

	_ = errors.As(keyed(text, r), &out)

	return out
}

// forward sends the call to the home of its key. It looks at beliefs only to
// answer at once where nobody will: a wrong one costs an answer, never a second
// run.
func (e *Entry) forward(ctx context.Context, node string, c call.Call) (call.Answer, error) {
	home, ok := e.options.Nodes.Find(node)
	if !ok || home.State != membership.StateAlive {
		return call.Answer{}, e.notForwarded(node, c, nil)
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	go e.watch(ctx, cancel, node)

	deadline, _ := ctx.Deadline()

	var reply gate.Reply

	err := e.options.Peers.Do(ctx, home.PeerAddress, peer.LaneCalls, MethodOnce, c.WithRemaining(time.Until(deadline)), &reply)

	switch {
	case errors.Is(err, peer.ErrUnreachable):
		return call.Answer{}, e.notForwarded(node, c, err)
	case errors.Is(context.Cause(ctx), ErrGivenUp):
		return call.Answer{}, call.Refuse(ErrGivenUp.Wrap(err), call.RanUnknown, time.Second)
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

// watch ends the wait for a home that is held for dead: its connection may stay open, and
// its caller would wait until the deadline. A link that says nothing is given up by the
// peer client, by what this node sees itself; that another one suspects the home is no
// reason: just after a cut the word of one node that had not reached it went round, and
// all entries gave up uploads that the home ran, and told their callers unknown. A home that
// left by itself answers what it has started before it closes its connections.
func (e *Entry) watch(ctx context.Context, cancel context.CancelFunc, node string) {
	const pause = 100 * time.Millisecond

	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}

		if r, ok := e.options.Nodes.Find(node); !ok || r.State == membership.StateDead {
			cancel()

			return
		}
	}
}

func (e *Entry) notForwarded(node string, c call.Call, cause error) error {
	e.options.Recorder.Record(event.KeyHomeLost, timeline.Entry{Call: c.ID, Key: c.Key, Peer: node})

	return call.Refuse(once.ErrUnreachable.With("%s", node).Wrap(cause), call.RanUnknown, time.Second).WithNotForwarded()
}

// ServeOnce takes a call that another node forwarded to the home of its key.
func (e *Entry) ServeOnce(ctx context.Context, c call.Call) (gate.Reply, error) {
	a, err := e.serveOnce(ctx, c)
	if err == nil {
		return gate.Reply{Answer: &a}, nil
	}

	var r *call.Refusal

	_ = errors.As(keyed(c.Key, err), &r)

	return gate.Reply{Refusal: r}, nil
}

// serveOnce uses the settings of the home: they say how often it may try.
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
	c.Idempotent = false // the entry took it for one that must not run twice

	return e.home(ctx, c)
}
