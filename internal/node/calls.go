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

// calls makes the two ends of a call's path.
func (n *Node) calls() {
	n.queue = admission.New()
	n.host = upstream.New(n.table, n.queue, n.recorder, upstream.Changed(n.announced), upstream.Restarted(func() {
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

// within ends calls of other nodes with the work on calls.
func within[Out any](work context.Context, serve func(context.Context, call.Call) (Out, error)) func(context.Context, call.Call) (Out, error) {
	return func(ctx context.Context, c call.Call) (Out, error) {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		defer context.AfterFunc(work, func() { cancel(context.Cause(work)) })()

		return serve(ctx, c)
	}
}

// announced takes a change of what the backend server says of itself; one comes after the
// other. What other gates of a service were told before, this one was not told.
func (n *Node) announced() {
	if s := n.table.Self().Upstream.Service; s != n.serves {
		n.serves = s
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
			defer b.read()

			r.Body = b
		}

		next.ServeHTTP(w, r)
	})
}

// body is that of a request, read only for as long as calls are taken.
type body struct {
	io.ReadCloser

	read func() bool
}

func (n *Node) newBody(w http.ResponseWriter, r *http.Request) body {
	conn := http.NewResponseController(w)

	return body{r.Body, context.AfterFunc(n.taking, func() { _ = conn.SetReadDeadline(time.Now()) })} // a closed connection needs no waking
}

// Read leaves the connection alone after the last byte, since net/http reads on to see whether
// the caller goes away.
func (b body) Read(p []byte) (int, error) {
	size, err := b.ReadCloser.Read(p)
	if err != nil {
		b.read()
	}

	return size, err
}
