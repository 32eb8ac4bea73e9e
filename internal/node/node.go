// Package node assembles a node's process from its parts: settings, membership, and the
// serving of callers, other nodes and operators.
//
//	n, err := node.New(config, logger)
//	err = n.Run(ctx) // until ctx ends, then drains
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/accept"
	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/bootstrap"
	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/contain"
	"github.com/pollencart/pollencart/internal/credentials"
	"github.com/pollencart/pollencart/internal/draining"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/httpserver"
	"github.com/pollencart/pollencart/internal/loglimit"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/membudget"
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

// ErrListen is returned if the node can't listen on one of its addresses.
var ErrListen = errs.New("node.listen", http.StatusServiceUnavailable, "can't listen")

// Node is one process, which runs on the host of one backend server.
type Node struct {
	config   config.Config
	recorder *timeline.Recorder
	draining *draining.Intake
	inFlight atomic.Int64 // callers' requests
	// accepting is canceled once callers' requests are rejected.
	accepting     context.Context //nolint:containedctx // lives as long as the node
	stopAccepting context.CancelFunc
	// work is the parent context of all calls; a drain cancels it to abandon them.
	work       context.Context //nolint:containedctx // lives as long as the node
	cancelWork context.CancelCauseFunc

	server    *peer.Server
	client    *peer.Client
	faults    *peer.Faults
	tlsSource *credentials.Source // nil without TLS

	store      *etcd.Store
	acceptor   *acceptance.Acceptor
	holder     *propagation.Holder
	propagator *propagation.Propagator
	started    time.Time

	table  *membership.Table
	gossip *membership.Gossip

	bootstrap *bootstrap.Bootstrap

	queue       *admission.Queue
	host        *upstream.Host
	gate        *gate.Gate
	selector    *selection.Selector
	entry       *frontend.Entry
	home        *once.Home
	shards      *shard.Keeper
	register    *attempt.Register
	suspects    *poison.Watch
	lastService string // service of the last announcement of the local backend server
	// stall detects process stalls.
	stall *stall.Watchdog

	listeners      []net.Listener
	callerListener net.Listener
	httpServers    []*httpserver.Server
	callerServer   *httpserver.Server
	memory         *membudget.Budget
	// These bound the lines about connections that were closed, requests that were refused and answers that were dropped
	// for lack of memory.
	evicted, refused, dropped loglimit.Limiter
}

// New returns a node that does not listen yet.
func New(c config.Config, logger *slog.Logger) *Node {
	n := &Node{config: c, draining: draining.New(), stall: stall.New()}
	n.accepting, n.stopAccepting = context.WithCancel(context.Background())
	n.work, n.cancelWork = context.WithCancelCause(context.Background())
	n.recorder = timeline.New(timeline.Node(c.ID), timeline.Logger(logger))
	n.faults = &peer.Faults{}

	n.memory = membudget.New(membudget.SizeFor(c.MemoryBytes()))
	n.memory.OnClosed(n.recordEvicted)

	peerOptions := []peer.Option{
		peer.WithClock(n.recorder.Clock()), peer.WithLinks(n.faults), peer.Address(c.PeerAddress),
		peer.Lost(func(address string) { n.gossip.ProbeSoon(address) }), peer.WaitOnSuspect(n.draining.Leaving),
		peer.AcceptFailed(n.recordAcceptFailed), peer.Panicked(n.recordPanic), peer.WithBudget(n.memory, gate.MethodRun),
		peer.Refused(n.recordRefused), peer.AnswerDropped(n.recordAnswerDropped),
	}

	if c.TLS != nil {
		n.tlsSource = credentials.New(credentials.Files{
			Certificate: c.TLS.Certificate, Key: c.TLS.Key, Authority: c.TLS.Authority,
		})
		peerOptions = append(peerOptions, peer.WithTLS(n.tlsSource))
	}

	n.server = peer.NewServer(peerOptions...)
	n.client = peer.NewClient(peerOptions...)
	n.initSettings()
	n.initFleet()
	n.once()
	n.initCallPath()
	n.registerMethods()

	return n
}

// registerMethods registers the handlers of requests from other nodes.
func (n *Node) registerMethods() {
	n.server.Handle(membership.MethodExchange, peer.Typed(n.gossip.Serve))
	n.server.Handle(membership.MethodProbe, peer.Typed(n.gossip.ServeProbe))
	n.server.Handle(membership.MethodDigest, peer.Typed(n.gossip.ServeDigest))
	n.server.Handle(membership.MethodRecords, peer.Typed(n.gossip.ServeRecords))
	n.server.Handle(gate.MethodRun, peer.Typed(withWork(n.work, n.gate.Serve)))
	n.registerOnceMethods()
	n.server.Handle(methodStatus, peer.Typed(n.localStatus))
	n.server.Handle(methodTimeline, peer.Typed(n.localTimeline))
}

// Run serves until ctx ends, then drains and returns.
func (n *Node) Run(ctx context.Context) error {
	if err := n.listen(); err != nil {
		n.recorder.Record(event.NodeFailed, timeline.Entry{Detail: err.Error()})

		return err
	}

	n.recorder.Record(event.NodeStarted, timeline.Entry{Detail: n.config.PeerAddress})

	// Background tasks keep running while the node drains.
	background, stop := context.WithCancel(context.WithoutCancel(ctx)) //nolint:forbidigo // not the context of a call

	var running sync.WaitGroup

	running.Go(func() { n.bootstrap.Run(background, n.gossip.Join) })

	for _, f := range []func(context.Context){n.gossip.Run, n.propagator.Run, n.expireAnnouncements, n.recordReady, n.runKeyTasks} {
		running.Go(func() { f(background) })
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
	if n.tlsSource != nil {
		if err := n.tlsSource.Check(); err != nil {
			return err
		}
	}

	n.callerServer = httpserver.New(n.entryHandler(), n.memory, httpserver.MaxConns(maxCallers), httpserver.Refuse(n.entry.RefuseForMemory))
	n.callerServer.BaseContext = func(net.Listener) context.Context { return n.work }
	control := httpserver.New(n.controlHandler(), n.memory)
	handlers := []struct {
		address string
		serve   func(net.Listener)
	}{
		{n.config.PeerAddress, n.servePeers},
		{n.config.CallerAddress, n.serveHTTP(n.callerServer)},
		{n.config.ControlAddress, n.serveHTTP(control)},
	}

	for _, h := range handlers {
		l, err := accept.Listen(h.address)
		if err != nil {
			n.close()

			return ErrListen.With("%s", h.address).Wrap(err)
		}

		n.listeners = append(n.listeners, l)
		l = accept.New(l, accept.Failed(n.recordAcceptFailed))

		if h.address == n.config.CallerAddress {
			n.callerListener = n.listeners[len(n.listeners)-1]
			l = n.callerServer.Listener(l)
		}

		if h.address == n.config.ControlAddress {
			l = control.Listener(l)
		}

		if h.address == n.config.ControlAddress && n.tlsSource != nil && n.config.TLS.Operators {
			l = tls.NewListener(l, n.tlsSource.Server(false))
		}

		go h.serve(l)
	}

	return nil
}

// maxCallers bounds the connections of callers.
const maxCallers = 3000

func (n *Node) serveHTTP(s *httpserver.Server) func(net.Listener) {
	n.httpServers = append(n.httpServers, s)

	return func(l net.Listener) { n.recordServeError(s.Serve(l)) }
}

func (n *Node) servePeers(l net.Listener) { n.recordServeError(n.server.Serve(l)) }

func (n *Node) recordServeError(err error) {
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		n.recorder.Record(event.NodeFailed, timeline.Entry{Detail: err.Error()})
	}
}

func (n *Node) recordPanic(p contain.Caught) {
	n.recorder.Record(event.PanicContained, timeline.Entry{Detail: p.String()})
}

func (n *Node) recordEvicted(c membudget.Closed) {
	if leftOut, ok := n.evicted.Next(time.Now()); ok {
		n.recorder.Record(event.ConnectionEvicted, timeline.Entry{Peer: c.Client, Detail: fmt.Sprintf(
			"%s, budget %s, without a line before %d", c, n.memory.Usage(), leftOut)})
	}
}

// recordRefused records a request of another node that was refused for lack of memory. Calls of callers have lines of their own.
func (n *Node) recordRefused(client string) {
	if leftOut, ok := n.refused.Next(time.Now()); ok {
		n.recorder.Record(event.MemoryRefused, timeline.Entry{Peer: client, Detail: fmt.Sprintf(
			"budget %s, without a line before %d", n.memory.Usage(), leftOut)})
	}
}

// recordAnswerDropped records an answer of another node that was dropped for lack of memory.
func (n *Node) recordAnswerDropped(address, method string) {
	if leftOut, ok := n.dropped.Next(time.Now()); ok {
		n.recorder.Record(event.AnswerDropped, timeline.Entry{Peer: address, Detail: fmt.Sprintf(
			"answer to %s, budget %s, without a line before %d", method, n.memory.Usage(), leftOut)})
	}
}

func (n *Node) recordAcceptFailed(err error) {
	n.recorder.Record(event.AcceptFailed, timeline.Entry{Detail: err.Error()})
}

func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()

	for _, s := range n.httpServers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close() // idle connections, or requests that do not end
		}
	}

	for _, l := range n.listeners {
		_ = l.Close()
	}

	n.waitForReplies(ctx)
	n.server.Close()
	n.client.Close()
}
