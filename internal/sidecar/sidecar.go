// Package sidecar assembles the node process that runs on the host of each backend server on the
// users' platform. It keeps no state on disk; durable state is in the platform's store.
//
// Package ingress receives a call, dispatch chooses the node to run it, and runner on that node
// admits it to the backend server. Nodes find each other through discovery and track each other
// through membership. Package configsync distributes the configuration, announce tracks the local
// backend server, and tombstone records its confirmed departures.
//
// # Usage
//
//	n := sidecar.New(config, logger)
//	err := n.Run(ctx) // until ctx ends, then drains
package sidecar

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/announce"
	"github.com/pollencart/pollencart/internal/backend"
	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/configsync"
	"github.com/pollencart/pollencart/internal/discovery"
	"github.com/pollencart/pollencart/internal/dispatch"
	"github.com/pollencart/pollencart/internal/draining"
	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/forward/upload"
	"github.com/pollencart/pollencart/internal/httpserver"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/poison"
	"github.com/pollencart/pollencart/internal/poison/archive"
	"github.com/pollencart/pollencart/internal/quota"
	"github.com/pollencart/pollencart/internal/retrybudget"
	"github.com/pollencart/pollencart/internal/rollout"
	"github.com/pollencart/pollencart/internal/rollout/control"
	"github.com/pollencart/pollencart/internal/rollout/exposure"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/runner"
	"github.com/pollencart/pollencart/internal/sidecar/config"
	"github.com/pollencart/pollencart/internal/sidecar/meter"
	"github.com/pollencart/pollencart/internal/slots"
	"github.com/pollencart/pollencart/internal/stall"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/tombstone"
	"github.com/pollencart/pollencart/internal/workspace/survey"
	"github.com/pollencart/pollencart/platform"
)

// timelineSize is the number of events in each of the two rings of the timeline.
const timelineSize = 512

// dialTimeout is about a hundred times the round-trip time between hosts. A call waits for it if no
// other node can run the call.
const dialTimeout = 300 * time.Millisecond

// Sidecar is one node process on a backend server's host.
type Sidecar struct {
	config   config.Config                 // as read at the start
	settings atomic.Pointer[config.Config] // as reloaded last
	budget   *retrybudget.Budget
	recorder *timeline.Recorder
	meter    *meter.Meter
	draining *draining.Intake
	memory   *membudget.Budget
	lines    memoryLines
	// withdrawn is set once the drain has announced the backend server as draining.
	withdrawn atomic.Bool

	server *peer.Server
	client *peer.Client
	table  *membership.Table
	gossip *membership.Gossip

	epoch      *epoch.Current // of the store
	store      *platform.Store
	holder     *route.Holder
	configsync *configsync.Syncer
	discovery  *discovery.Agent
	tombstone  *tombstone.Registry
	rollouts   *control.Agent // nil if versions are not told apart
	quotas     *quota.Agent   // nil if no limits are kept
	survey     *survey.Survey

	host  *announce.Host
	queue *slots.Queue
	pool  *backend.Pool
	watch *poison.Watch
	// stall detects stalls of this process.
	stall      *stall.Watchdog
	runner     *runner.Runner
	dispatcher *dispatch.Dispatcher
	ingress    *ingress.Server

	mu        sync.Mutex
	instance  tombstone.Instance // the instance that the pool is connected to
	listeners []net.Listener
	// callerListener is the element of listeners that accepts callers.
	callerListener net.Listener
	servers        []*httpserver.Server
}

// New returns a sidecar that does not listen until Run.
func New(c config.Config, logger *slog.Logger) *Sidecar {
	m := meter.New()
	n := &Sidecar{
		config: c, budget: retrybudget.New(retryBound(c)), meter: m, holder: &route.Holder{}, draining: draining.New(), stall: stall.New(),
		epoch: epoch.New(),
	}
	n.settings.Store(&c)
	n.recorder = timeline.New(timeline.Node(c.Node), timeline.Logger(logger), timeline.Size(timelineSize))
	n.store = platform.NewStore(c.StoreAddress, n.epoch, m.StoreCalled, n.recordSkippedEntry)
	n.initBudget()
	n.initMembership()
	n.initQuotas()
	n.initSurvey()
	n.backend()
	n.initIngress()
	n.registerPeerMethods()
	n.registerGauges()

	return n
}

// initMembership creates the components that communicate with other nodes and the store.
func (n *Sidecar) initMembership() {
	c := n.config
	links := []peer.Option{
		peer.WithClock(n.recorder.Clock()), peer.Address(c.PeerAddress), peer.WithDialTimeout(dialTimeout),
		peer.Lost(func(address string) { n.gossip.ProbeSoon(address) }), peer.WaitOnSuspect(n.draining.Leaving),
		peer.AcceptFailed(n.recordAcceptFailed), peer.Panicked(n.recordPanic), peer.Refused(n.recordRefused),
		peer.AnswerDropped(n.recordAnswerDropped),
		peer.WithBudget(n.memory, forward.MethodRun, forward.MethodPart, forward.MethodRunUploaded),
		peer.Exchanged(func(e peer.Exchange) { n.meter.Exchanged(e, n.table.NearAt(e.Address)) }),
	}
	n.server = peer.NewServer(links...)
	n.client = peer.NewClient(links...)
	n.table = membership.NewTable(membership.Record{
		ID: c.Node, Incarnation: uint64(time.Now().UnixMicro()), Region: c.Region, FailureDomain: c.FailureDomain,
		PeerAddress: c.PeerAddress, CallerAddress: c.CallerAddress, ControlAddress: c.AnnounceAddress, Capacity: uint32(c.LinkMbps),
	}, n.recorder)
	n.configsync = configsync.New(configsync.Options{
		Key: platform.ConfigurationKey, Decode: new(platform.Configurations).Decode, Store: n.store, Holder: n.holder,
		Peers: n.client, Members: n.table, Recorder: n.recorder, FirstStart: c.FirstStart,
		Epoch: n.epoch,
	})
	n.gossip = membership.NewGossip(
		n.table, n.client, membership.Version(n.holder.Number), membership.ObserveVersion(n.configsync.ObserveVersion), membership.WithEpochs(n.epoch),
	)
	n.discovery = discovery.New(n.store, n.table, n.gossip.Join, n.recorder, c.FirstStart).WithEpoch(n.epoch)
	n.tombstone = tombstone.New(n.store, n.client, n.table).WithEpoch(n.epoch, n.recorder).WithSearch(n.discovery)

	if c.Bounds.ExposeShare > 0 {
		n.rollouts = control.New(control.Options{
			Service: c.Service, Boot: ulid.Make().String(), FirstStart: c.FirstStart, Store: platform.NewRollouts(n.store),
			Peers: n.client, Members: n.table, Recorder: n.recorder, Budget: exposure.New(c.Bounds.ExposeShare),
			InFlight: func() int { return int(n.runner.Busy()) }, Counted: n.meter.RanVersion,
			Changed: func() { n.publishBackendState(n.host.State()) },
		})
	}
}

// permitted reports whether the version of the local backend server may receive calls.
func (n *Sidecar) permitted() bool { return n.rollouts == nil || n.rollouts.Role() != rollout.Excluded }

// backend creates the components that run calls at the local backend server.
func (n *Sidecar) backend() {
	c := n.config
	n.pool = backend.New(c.BackendAddress, platform.Headers())
	n.queue = slots.New()
	n.watch = poison.NewWatch(
		poison.Self{Node: c.Node, Incarnation: n.table.Self().Incarnation, BootID: ulid.Make().String(), Address: c.PeerAddress},
		n.table, n.client, n.recorder,
	).
		WithStallDetector(n.stall).
		WithSearch(n.discovery).
		WithArchive(archive.New(n.store, c.Service).WithFirstStart(c.FirstStart).WithEpoch(n.epoch))
	n.host = announce.New(
		announce.Recorder(n.recorder), announce.WithKeeper(n.tombstone), announce.Changed(n.publishBackendState), announce.Probe(n.probe),
		announce.FirstStart(c.FirstStart), announce.Service(c.Service), announce.Permits(n.permitted),
	)
	options := runner.Options{
		Service: c.Service, Host: n.host, Queue: n.queue, Pool: n.pool, Suspects: n.watch, Recorder: n.recorder, Meter: n.meter,
		Workspace: n.workspace,
	}
	if n.rollouts != nil {
		options.Trial = n.rollouts
	}

	n.runner = runner.New(options)
}

// initIngress creates the components that accept and dispatch calls from callers.
func (n *Sidecar) initIngress() {
	c := n.config
	options := dispatch.Options{
		Node: c.Node, FailureDomain: c.FailureDomain, Service: c.Service, Names: platform.Headers(), Tables: n.holder,
		Members: n.table, Peers: n.client, Own: n.runner, Balancer: balancer.New(), Recorder: n.recorder, Meter: n.meter,
		Budget: n.budget, CountNodes: n.discovery.CountNodes, Intake: n.draining, Versions: n.configsync.Freshness(),
	}
	if n.rollouts != nil {
		options.Trials = n.rollouts
	}

	if n.quotas != nil {
		options.Quotas = n.quotas
	}

	n.dispatcher = dispatch.New(options)
	n.ingress = ingress.New(n.dispatcher, ingress.Limits(n.holder), ingress.WithObserver(deliveryObserver{n.recorder, n.meter}),
		ingress.AcceptFailed(n.recordAcceptFailed), ingress.Panicked(n.recordPanic), ingress.WithBudget(n.memory),
		ingress.Refused(n.recordRefused))
}

// registerPeerMethods registers the methods that other nodes call.
func (n *Sidecar) registerPeerMethods() {
	n.server.Handle(membership.MethodExchange, peer.Typed(n.gossip.Serve))
	n.server.Handle(membership.MethodProbe, peer.Typed(n.gossip.ServeProbe))
	n.server.Handle(membership.MethodDigest, peer.Typed(n.gossip.ServeDigest))
	n.server.Handle(membership.MethodRecords, peer.Typed(n.gossip.ServeRecords))
	n.server.Handle(forward.MethodRun, peer.Typed(n.runner.ServeNode))

	uploads := upload.NewStore(n.memory)
	n.server.Handle(forward.MethodPart, peer.Typed(uploads.ServePart))
	n.server.Handle(forward.MethodRunUploaded, peer.Typed(uploads.Runs(n.runner.ServeNode)))

	n.configsync.Register(n.server)

	n.server.Handle(survey.MethodUse, peer.Typed(n.survey.Serve))
	n.server.Handle(tombstone.MethodKeep, peer.Typed(n.tombstone.ServeKeep))
	n.server.Handle(tombstone.MethodAsk, peer.Typed(n.tombstone.ServeAsk))

	for method, h := range n.watch.Handlers() {
		n.server.Handle(method, h)
	}

	if n.rollouts == nil {
		return
	}

	for method, h := range n.rollouts.Handlers() {
		n.server.Handle(method, h)
	}
}

// recordSkippedEntry records a store entry that can't be read and was left out of a list or watch.
func (n *Sidecar) recordSkippedEntry(key, reason string) {
	n.recorder.Once(event.EntryDoubted, timeline.Entry{Detail: key + ": " + reason})
}

// publishBackendState applies the state of the local backend server to the queue and the membership
// record, and announces the record.
func (n *Sidecar) publishBackendState(announce.State) {
	n.mu.Lock()
	defer n.mu.Unlock()

	role := rollout.Regular

	if n.rollouts != nil {
		n.rollouts.SetVersion(n.host.State().Version)
		role = n.rollouts.Role()
	}

	s := n.host.State()
	available := s.Slots

	if !s.Takes {
		available = 0
	}

	// Connections to an earlier instance are dead. Some may not be closed yet, and a call that fails
	// on one is indistinguishable from a call that ran.
	if start := (tombstone.Instance{ID: s.Instance, Started: s.Started}); start != n.instance {
		n.instance = start
		n.pool.CloseIdle()
		n.runner.Instance(start.ID, start.Started)

		go n.watch.Restarted(context.Background())
	}

	n.queue.Resize(available)
	n.table.Update(func(r membership.Record) membership.Record {
		r.Upstream = membership.Upstream{Service: n.config.Service, State: membership.UpstreamDraining, Slots: s.Slots}
		if n.rollouts != nil {
			r.Upstream.Version = s.Version
		}

		switch {
		case !s.Takes || n.withdrawn.Load():
		case role == rollout.Canary:
			r.Upstream.State = membership.UpstreamCanary
		default:
			r.Upstream.State = membership.UpstreamReady
		}

		return r
	})

	go n.gossip.SendChanges(context.Background())
}

// Run serves calls until ctx ends, then drains and returns.
func (n *Sidecar) Run(ctx context.Context) error {
	if err := n.listen(); err != nil {
		n.recorder.Record(event.NodeFailed, timeline.Entry{Detail: err.Error()})

		return err
	}

	n.recorder.Record(event.NodeStarted, timeline.Entry{Detail: n.config.PeerAddress})

	work, stop := context.WithCancel(context.WithoutCancel(ctx)) //nolint:forbidigo // not the context of a call

	var running sync.WaitGroup

	parts := []func(context.Context){
		n.configsync.Run, n.gossip.Run, n.discovery.Run, n.tombstone.Run, n.stall.Run, n.watch.Run, n.waitForFirstVersion,
		n.reportEpochChanges,
	}
	if n.rollouts != nil {
		parts = append(parts, n.rollouts.Run)
	}

	if n.quotas != nil {
		parts = append(parts, n.quotas.Run)
	}

	for _, f := range parts {
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
