// Package control carries out roll-outs: it reads orders from the platform's store, makes the
// state of each roll-out known to all nodes, collects evidence, and stores verdicts.
//
// # Who decides
//
// Two nodes of each failure domain, the judges, receive the reports of the nodes beside the
// backend servers of the service, and one of them watches the store for orders. Each judge decides
// by itself. Any of them may store what it decided: a write is conditional on the order and on
// the state that the judge has read, so one verdict is stored and never replaced.
//
// A judge tells the nodes of the service of a bad version before it stores the verdict. The
// node beside a backend server refuses calls to a version that is excluded, so exposure ends
// even if entry nodes or the store can't be reached.
//
// # Failures
//
//   - Nothing is known of roll-outs at first: a node accepts no calls for its backend server
//     before it has asked a judge or the store. A version that no order names is excluded while
//     another version of the service receives calls, since the order may not have arrived yet.
//   - A write without an answer may have happened: the next attempt fails by its condition,
//     and the state is read again.
//   - The store comes back from an older copy and has lost a verdict: nodes keep what they
//     know of an order that the operator repeats, and judges store it again.
//   - All nodes restart: the state is read from the store. The evidence starts anew.
//
// # Usage
//
//	a := control.New(control.Options{...})
//	for method, h := range a.Handlers() {
//		server.Handle(method, h)
//	}
//	go a.Run(ctx)
//	if a.Role() == rollout.Excluded { ... }
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/rollout"
	"github.com/pollencart/pollencart/internal/rollout/evidence"
	"github.com/pollencart/pollencart/internal/rollout/exposure"
	"github.com/pollencart/pollencart/internal/rollout/verdict"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Judges is the number of nodes of each failure domain that decide.
const Judges = 2

// watchers is the number of nodes of each failure domain that watch the store. Orders have time
// limits of seconds and more, and each watch is a paid call.
const watchers = 1

// Document is a roll-out as it was stored, with the revision of its entry.
type Document struct {
	Rollout  rollout.Rollout
	Revision int64
}

// Snapshot is what the store holds of roll-outs.
type Snapshot struct {
	Orders    []rollout.Order
	Documents []Document
	Epoch     uint64
	// Revision is the revision of the store to continue a watch from.
	Revision int64
}

// Store is the part of the platform's store that holds orders and verdicts.
type Store interface {
	Read(ctx context.Context) (Snapshot, error)
	// ReadOld returns documents that may be some seconds old. It costs little.
	ReadOld(ctx context.Context) ([]Document, error)
	// Wait returns once orders have changed after a revision, or the timeout has passed.
	Wait(ctx context.Context, after int64, timeout time.Duration) (at int64, changed bool, err error)
	// Write stores a roll-out and reports its state to the operator, if the order still has its
	// revision and the document still has the given one (0: there is none). It returns the
	// document's revision.
	Write(ctx context.Context, r rollout.Rollout, document int64) (int64, error)
}

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Members is the membership view of this node.
type Members interface {
	Self() membership.Record
	Neighbours() []membership.Record
	Domains() []string
	FirstOf(domain string, count int) []membership.Record
	Chosen(id, domain string, count int) bool
	OfService(service string) []membership.Record
	// OnTrial returns the live nodes whose backend server is a canary.
	OnTrial(service string) []membership.Record
}

// Options configures New.
type Options struct {
	Service string
	// Boot identifies this process.
	Boot string
	// FirstStart reports that the deployment starts for the first time.
	FirstStart bool
	Store      Store
	Peers      Peers
	Members    Members
	Recorder   *timeline.Recorder
	Budget     *exposure.Budget
	// Changed is called when the role of the local backend server may have changed.
	Changed func()
	// InFlight returns the number of calls that the local backend server has.
	InFlight func() int
	// Counted is called with each outcome at the local backend server.
	Counted func(version string, failed bool)
}

// Agent is the part of one node in all roll-outs.
type Agent struct {
	options Options
	counter *evidence.Counter
	current atomic.Pointer[map[string]view] // for reads without a lock
	loaded  atomic.Bool                     // something is known of the orders, if only that there are none
	local   local

	mu     sync.Mutex
	views  map[string]view
	judges map[string]*verdict.Judge // by service, for the order in views
	writes map[string]*write         // by service
	idle   map[string]idleReport     // last report of calls in flight, by node
}

// view is what this node knows of one roll-out. A view is immutable.
type view struct {
	rollout.Rollout

	// ordered and since are when the order and the state became known to the first node.
	ordered, since time.Time
	// document is the revision of the stored roll-out, 0 if there is none.
	document int64
}

// idleReport is the number of calls in flight at a node.
type idleReport struct {
	at       time.Time
	inFlight int
}

// New returns an agent that knows of no roll-outs.
func New(o Options) *Agent {
	a := &Agent{
		options: o, counter: evidence.New(), views: map[string]view{}, judges: map[string]*verdict.Judge{},
		writes: map[string]*write{}, idle: map[string]idleReport{},
	}
	a.current.Store(&map[string]view{})
	a.local.role.Store(uint32(rollout.Excluded))

	return a
}

// Handlers returns the handlers for messages of other nodes, by method.
func (a *Agent) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		methodPush: peer.Typed(a.servePush), methodPull: peer.Typed(a.servePull), methodReport: peer.Typed(a.serveReport),
	}
}

// Run takes part in roll-outs until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup

	for _, loop := range []func(context.Context){a.followOrders, a.followVerdicts, a.pullLoop, a.reportLoop, a.judgeLoop, a.roleLoop} {
		wg.Go(func() { loop(ctx) })
	}

	wg.Wait()
}

// view returns what is known of the roll-out of a service.
func (a *Agent) view(service string) (view, bool) {
	v, ok := (*a.current.Load())[service]

	return v, ok
}

// active reports whether any roll-out is not settled yet.
func (a *Agent) active() bool {
	for _, v := range *a.current.Load() {
		if !v.State.Final() || !v.Stored {
			return true
		}
	}

	return false
}

// isJudge reports whether this node is a judge of its failure domain.
func (a *Agent) isJudge() bool {
	self := a.options.Members.Self()

	return a.options.Members.Chosen(self.ID, self.FailureDomain, Judges)
}

// isWatcher reports whether this node watches the store for its failure domain.
func (a *Agent) isWatcher() bool {
	self := a.options.Members.Self()

	return a.options.Members.Chosen(self.ID, self.FailureDomain, watchers)
}

// judgeRecords returns the judges of all failure domains.
func (a *Agent) judgeRecords() []membership.Record {
	return membership.FirstOfEach(a.options.Members, Judges)
}
