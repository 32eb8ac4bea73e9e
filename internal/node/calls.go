package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/selection"
	"github.com/pollencart/pollencart/internal/upstream"
)

// initCallPath creates the entry node's frontend and the gate of the local backend server.
func (n *Node) initCallPath() {
	n.queue = admission.New()
	n.host = upstream.New(n.table, n.queue, n.recorder, upstream.Changed(n.onUpstreamChange), upstream.Restarted(func() {
		go n.suspects.Restarted(context.Background())
	}))
	n.gate = gate.New(n.config.ID, n.host, n.queue, gate.Recorder(n.recorder)).WithStarts(n.register).WithSuspects(n.suspects)
	n.selector = selection.New(selection.Region(n.config.Region), selection.FailureDomain(n.config.FailureDomain))
	n.entry = frontend.New(
		frontend.Node(n.config.ID),
		frontend.Settings(n.holder),
		frontend.Members(n.table),
		frontend.WithPeers(n.client),
		frontend.Selector(n.selector),
		frontend.Recorder(n.recorder),
		frontend.WithIntake(n.draining),
		frontend.Home(n.home),
		frontend.Nodes(n.table),
		frontend.Shards(n.shards),
		frontend.Stall(n.stall),
	)
}

// withWork wraps a handler of calls from other nodes: the context of a call is also
// canceled, with the same cause, when work is.
func withWork[Out any](work context.Context, serve func(context.Context, call.Call) (Out, error)) func(context.Context, call.Call) (Out, error) {
	return func(ctx context.Context, c call.Call) (Out, error) {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		defer context.AfterFunc(work, func() { cancel(context.Cause(work)) })()

		return serve(ctx, c)
	}
}

// onUpstreamChange handles a changed announcement of the local backend server; calls of it
// don't overlap. After a change of service the suspects are stale, since this gate received
// none of the notifications sent to the gates of the new service.
func (n *Node) onUpstreamChange() {
	if s := n.table.Self().Upstream.Service; s != n.lastService {
		n.lastService = s
		n.suspects.MarkStale()
	}

	go n.gossip.SendChanges(context.Background())
}

func (n *Node) entryHandler() http.Handler {
	next := n.entry.Handler()

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.inFlight.Add(1)
		defer n.inFlight.Add(-1)

		if n.draining.Leaving() {
			w.Header().Set("Connection", "close")
		}

		if r.Body != http.NoBody {
			b := n.newBody(w, r)
			defer b.disarm()

			r.Body = b
		}

		next.ServeHTTP(w, r)
	})
}

// body is a request body whose reads fail once the node accepts no more calls.
type body struct {
	io.ReadCloser

	disarm func() bool // prevents the read deadline from being set
}

func (n *Node) newBody(w http.ResponseWriter, r *http.Request) body {
	conn := http.NewResponseController(w)

	return body{r.Body, context.AfterFunc(n.accepting, func() { _ = conn.SetReadDeadline(time.Now()) })} // fails only on a closed connection
}

// Read disarms the read deadline at the end of the body, since net/http then reads from the
// connection in the background to detect that the caller disconnects.
func (b body) Read(p []byte) (int, error) {
	size, err := b.ReadCloser.Read(p)
	if err != nil {
		b.disarm()
	}

	return size, err
}
