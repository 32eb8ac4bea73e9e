// Package node puts one process together: settings, requests and fleet.
//
//	n, err := node.New(config, logger)
//	err = n.Run(ctx) // until ctx ends, then drains
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/bootstrap"
	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/credentials"
	"github.com/pollencart/pollencart/internal/draining"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/once"
	"github.com/pollencart/pollencart/internal/once/attempt"
	"github.com/pollencart/pollencart/internal/once/shard"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform/etcd"
	"github.com/pollencart/pollencart/internal/poison"
	"github.com/pollencart/pollencart/internal/propagation"
	"github.com/pollencart/pollencart/internal/selection"
	"github.com/pollencart/pollencart/internal/stall"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/upstream"
	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrListen is returned if an address can't be listened on.
var ErrListen = errs.New("node.listen", http.StatusServiceUnavailable, "can't listen")

// Node is one process beside one backend server.
type Node struct {
	config   config.Config
	recorder *timeline.Recorder
	draining *draining.Intake
	inFlight atomic.Int64 // callers' requests
	// taking ends once calls of callers are refused.
	taking     context.Context //nolint:containedctx // as long as the node
	stopTaking context.CancelFunc
	// work is what calls end with; it ends once a stop gives them up.
	work   context.Context //nolint:containedctx // as long as the node
	giveUp context.CancelCauseFunc

	server *peer.Server
	client *peer.Client
	faults *peer.Faults
	keys   *credentials.Source // nil without TLS

	store    *etcd.Store
	acceptor *acceptance.Acceptor
	holder   *propagation.Holder
	spreader *propagation.Spreader
	started  time.Time

	table  *membership.Table
	gossip *membership.Gossip

	bootstrap *bootstrap.Bootstrap

	queue    *admission.Queue
	host     *upstream.Host
	gate     *gate.Gate
	selector *selection.Selector
	entry    *frontend.Entry
	home     *once.Home
	shards   *shard.Keeper
	register *attempt.Register
	suspects *poison.Watch
	serves   string // the service of the backend server that announced itself last
	// stall notices when this process stands still.
	stall *stall.Watchdog

	listeners      []net.Listener
	callerListener net.Listener
	https          []*http.Server
	callers        *http.Server
}

// New returns a node that does not listen yet.
func New(c config.Config, logger *slog.Logger) *Node {
	n := &Node{config: c, draining: draining.New(), stall: stall.New()}
	n.taking, n.stopTaking = context.WithCancel(context.Background())
	n.work, n.giveUp = context.WithCancelCause(context.Background())
	n.recorder = timeline.New(timeline.Node(c.ID), timeline.Logger(logger))
	n.faults = &peer.Faults{}

	links := []peer.Option{
		peer.WithClock(n.recorder.Clock()), peer.WithLinks(n.faults), peer.Address(c.PeerAddress),
		peer.Lost(func(address string) { n.gossip.ProbeSoon(address) }), peer.WaitOnSuspect(n.draining.Leaving),
	}

	if c.TLS != nil {
		n.keys = credentials.New(credentials.Files{
			Certificate: c.TLS.Certificate, Key: c.TLS.Key, Authority: c.TLS.Authority,
		})
		links = append(links, peer.WithTLS(n.keys))
	}

	n.server = peer.NewServer(links...)
	n.client = peer.NewClient(links...)
	n.settings()
	n.fleet()
	n.once()
	n.calls()
	n.methods()

	return n
}

// methods adds what other nodes may ask of this one.
func (n *Node) methods() {
	n.server.Handle(membership.MethodExchange, peer.Typed(n.gossip.Serve))
	n.server.Handle(membership.MethodProbe, peer.Typed(n.gossip.ServeProbe))
	n.server.Handle(membership.MethodDigest, peer.Typed(n.gossip.ServeDigest))
	n.server.Handle(membership.MethodRecords, peer.Typed(n.gossip.ServeRecords))
	n.server.Handle(gate.MethodRun, peer.Typed(within(n.work, n.gate.Serve)))
	n.onceMethods()
	n.server.Handle(methodStatus, peer.Typed(n.ownStatus))
	n.server.Handle(methodTimeline, peer.Typed(n.ownTimeline))
}

// Run serves until ctx ends, then drains and returns.
func (n *Node) Run(ctx context.Context) error {
	if err := n.listen(); err != nil {
		n.recorder.Record(event.NodeFailed, timeline.Entry{Detail: err.Error()})

		return err
	}

	n.recorder.Record(event.NodeStarted, timeline.Entry{Detail: n.config.PeerAddress})

	// The background work goes on while the node drains.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))

	var running sync.WaitGroup

	running.Go(func() { n.bootstrap.Run(work, n.gossip.Join) })

	for _, f := range []func(context.Context){n.gossip.Run, n.spreader.Run, n.expire, n.announceReady, n.runOnce} {
		running.Go(func() { f(work) })
	}

	<-ctx.Done()
	n.drain()
	stop()
	running.Wait()
	n.close()
	n.recorder.Record(event.NodeStopped, timeline.Entry{})

	return nil
}

func (n *Node) listen() error {
	if n.keys != nil {
		if err := n.keys.Check(); err != nil {
			return err
		}
	}

	n.callers = newHTTP(n.entryHandler())
	n.callers.BaseContext = func(net.Listener) context.Context { return n.work }
	handlers := []struct {
		address string
		serve   func(net.Listener)
	}{
		{n.config.PeerAddress, func(l net.Listener) { _ = n.server.Serve(l) }},
		{n.config.CallerAddress, n.serveHTTP(n.callers)},
		{n.config.ControlAddress, n.serveHTTP(newHTTP(n.controlHandler()))},
	}

	for _, h := range handlers {
		l, err := net.Listen("tcp", h.address)
		if err != nil {
			n.close()

			return ErrListen.With("%s", h.address).Wrap(err)
		}

		n.listeners = append(n.listeners, l)

		if h.address == n.config.CallerAddress {
			n.callerListener = l
		}

		if h.address == n.config.ControlAddress && n.keys != nil && n.config.TLS.Operators {
			l = tls.NewListener(l, n.keys.Server(false))
		}

		go h.serve(l)
	}

	return nil
}

// headerTime bounds how long a connection may take over its request header;
// without it idle connections of slow callers use up the process.
const headerTime = 5 * time.Second

func newHTTP(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTime}
}

func (n *Node) serveHTTP(s *http.Server) func(net.Listener) {
	n.https = append(n.https, s)

	return func(l net.Listener) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.recorder.Record(event.NodeFailed, timeline.Entry{Detail: err.Error()})
		}
	}
}

func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()

	for _, s := range n.https {
		if s.Shutdown(ctx) != nil {
			_ = s.Close() // what says nothing, or does not end
		}
	}

	for _, l := range n.listeners {
		_ = l.Close()
	}

	n.flush(ctx)
	n.server.Close()
	n.client.Close()
}
