// Package ledger decides at a home how many calls of a workspace its entries may run.
//
// # How the limit holds over all nodes
//
// Each node owns an equal share of every limit: rate / known nodes. It delegates its share to the home
// of the workspace with each ask, for [Lease]. A home refills a token bucket at the sum of the shares
// that are delegated to it, so the homes of all sides of a partition together never refill more than
// the limit, whatever they think of each other.
//
// A delegation is counted from the time at which the home sent its last answer that the node has
// received. Before a node uses another set of homes, it stops to renew at those that lose workspaces by
// that, and waits for [Lease] from the receipt. The home's time is over first, also if either was
// frozen or a message was late.
//
// A bucket starts empty, loses what it holds beyond its share, and is emptied after a freeze.
//
// # Usage
//
//	l := ledger.New("node-1", boot, bound)
//	l.Begin() // once the other nodes are known
//	answer := l.Ask(ask, knownNodes)
//	l.Tick(knownNodes) // every TickInterval
package ledger

import (
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/quota/home"
)

const (
	// Lease is how long a delegation lasts. After a cut the home counts the shares of the nodes that
	// are cut off for this long while they go on alone.
	Lease = time.Second
	// TickInterval is how often Tick is called. A gap of more than maxGap is a freeze of the process.
	TickInterval = 100 * time.Millisecond
	maxGap       = 500 * time.Millisecond
	// groupInterval is how often lapsed delegations are looked for.
	groupInterval = 20 * time.Millisecond
	// dropAfter is when the bucket of a workspace that nobody asks for is dropped.
	dropAfter = 10 * time.Second
	// warmUp is how long a home grants nothing after Begin: it may not know enough nodes.
	warmUp = 500 * time.Millisecond
	// youngTime is how long new buckets are refilled from Begin on, by the shares of nodes that started with
	// this one: nobody has used these meanwhile.
	youngTime = 1500 * time.Millisecond
	// takeOver is how long a new bucket fills while entries come to a new home.
	takeOver = 700 * time.Millisecond
	// readyShare is the part of the nodes whose delegations a young home waits for.
	readyShare = 0.8
	// maxSets bounds the sets of homes that entries have named.
	maxSets = 64
)

// Ledger holds the delegations to one home and its buckets.
type Ledger struct {
	self  string
	boot  uint64
	bound Bound
	start time.Time

	mu sync.Mutex
	// began is when this node had learned which nodes share the limits, zero before. Until then it grants nothing.
	began   time.Time
	nodes   map[string]*delegation
	sets    map[uint64]*home.Set
	groups  map[uint64]group
	known   int       // nodes that share a limit
	grouped time.Time // of the last regroup
	// steady is since when the delegated shares have not grown. A new bucket is refilled from then on.
	steady  time.Time
	buckets map[string]*bucket
}

// delegation is that of one node.
type delegation struct {
	set   *home.Set
	ends  time.Time
	known int
	young bool
}

// group counts the nodes that use the same set of homes.
type group struct {
	set   *home.Set
	count int
}

// New returns the ledger of a process that has just started.
func New(self string, boot uint64, b Bound) *Ledger {
	now := time.Now()

	return &Ledger{
		self: self, boot: boot, bound: b, start: now, nodes: map[string]*delegation{}, sets: map[uint64]*home.Set{},
		groups: map[uint64]group{}, grouped: now, steady: now, buckets: map[string]*bucket{},
	}
}

// Begin says that this node knows from now on which nodes share the limits. What was not used until then is not granted later.
func (l *Ledger) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.began = time.Now()
	l.steady = l.began
	clear(l.buckets)
}

// age returns the time since Begin, 0 before.
func (l *Ledger) age(now time.Time) time.Duration {
	if l.began.IsZero() {
		return 0
	}

	return now.Sub(l.began)
}

// Ask renews a delegation and grants calls. known is the number of nodes that this node knows of.
func (l *Ledger) Ask(in Ask, known int) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()
	l.unfreeze(now)
	out := Answer{Boot: l.boot, Stamp: l.stamp(now), Set: l.delegate(in, now)}
	l.regroup(known, now)
	out.Ready = l.ready(now)

	for _, i := range in.Items {
		b := l.bucket(i, now)
		b.adopt(i.Limit, now)
		out.Grants = append(out.Grants, b.take(i, now))
	}

	return out
}

// ready reports whether the home has the delegations that it can expect.
func (l *Ledger) ready(now time.Time) bool {
	age := l.age(now)

	return age >= youngTime || age >= warmUp && float64(len(l.nodes)) >= readyShare*float64(l.known)
}

// stamp returns the time of this home that an answer carries, in milliseconds and never 0.
func (l *Ledger) stamp(now time.Time) int64 { return now.Sub(l.start).Milliseconds() + 1 }

// delegate stores the delegation of an ask, and returns the hash of its set of homes if it is known.
func (l *Ledger) delegate(in Ask, now time.Time) uint64 {
	set := l.sets[in.Set]
	if len(in.Homes) > 0 {
		set = home.New(in.Homes)
		l.sets[set.Hash()] = set
	}

	if set == nil {
		return 0
	}

	ends := l.start.Add(time.Duration(in.Stamp-1)*time.Millisecond + Lease)
	if in.Boot != l.boot || in.Stamp <= 0 || !now.Before(ends) {
		return set.Hash()
	}

	d := l.nodes[in.Node]
	if d == nil {
		d = &delegation{}
		l.nodes[in.Node] = d
		l.grouped = now.Add(-groupInterval)
	}

	d.set, d.known, d.young = set, in.Known, in.Young
	if ends.After(d.ends) {
		d.ends = ends
	}

	return set.Hash()
}

// Tick finds lapsed delegations and drops what is not used. It must be called every TickInterval.
func (l *Ledger) Tick(known int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()
	l.unfreeze(now)
	l.regroup(known, now)

	for name, b := range l.buckets {
		if b.refill(now); now.Sub(b.asked) > dropAfter && b.tokens >= b.depth() {
			delete(l.buckets, name)
		}
	}

	if len(l.nodes) == 0 || len(l.sets) > maxSets {
		clear(l.sets) // entries send the nodes of their set again
	}
}

// Idle reports whether the ledger holds nothing.
func (l *Ledger) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.nodes) == 0 && len(l.buckets) == 0
}

// unfreeze empties all buckets if the process was frozen.
func (l *Ledger) unfreeze(now time.Time) {
	if now.Sub(l.grouped) <= maxGap {
		return
	}

	for _, b := range l.buckets {
		b.tokens, b.at = 0, now
	}

	l.steady = now
}

// regroup counts the delegations that hold now, and applies a change to all buckets.
func (l *Ledger) regroup(known int, now time.Time) {
	if now.Sub(l.grouped) < groupInterval {
		return
	}

	l.grouped = now
	groups := map[uint64]group{}
	before, nodes := l.known, 0

	l.known = known

	for id, d := range l.nodes {
		if !now.Before(d.ends) {
			delete(l.nodes, id)

			continue
		}

		if l.age(now) < warmUp {
			continue
		}

		k := d.set.Hash()
		groups[k] = group{set: d.set, count: groups[k].count + 1}
		l.known, nodes = max(l.known, d.known), nodes+1
	}

	l.known = max(l.known, nodes)
	if l.known == before && sameGroups(groups, l.groups) {
		return
	}

	if l.known < before || grows(groups, l.groups) {
		l.steady = now
	}

	l.groups = groups
	for name, b := range l.buckets {
		b.setShare(l.share(name), now)
	}
}

func sameGroups(a, b map[uint64]group) bool {
	return len(a) == len(b) && !grows(a, b) && !grows(b, a)
}

// grows reports whether a group has more nodes than before.
func grows(a, b map[uint64]group) bool {
	for k, g := range a {
		if g.count > b[k].count {
			return true
		}
	}

	return false
}

// share returns the part of a workspace's limit that is delegated to this home.
func (l *Ledger) share(workspace string) float64 {
	nodes := 0

	for _, g := range l.groups {
		if g.set.Of(workspace) == l.self {
			nodes += g.count
		}
	}

	return float64(nodes) / float64(max(l.known, 1))
}

// youngShare returns the part of the delegating nodes that have just started.
func (l *Ledger) youngShare() float64 {
	young := 0

	for _, d := range l.nodes {
		if d.young {
			young++
		}
	}

	return float64(young) / float64(max(len(l.nodes), 1))
}

// bucket returns the bucket of a workspace. A new one has what was refilled since the shares are
// steady: nobody asked for it meanwhile.
func (l *Ledger) bucket(i Item, now time.Time) *bucket {
	b := l.buckets[i.Workspace]
	if b == nil {
		b = &bucket{bound: l.bound, limit: i.Limit, limitSeen: now, share: l.share(i.Workspace), at: l.steady, asked: now}
		l.buckets[i.Workspace] = b

		if age := l.age(now); age < youngTime {
			b.refill(now)
			b.tokens = max(b.tokens, min(b.depth(), b.pace()*l.youngShare()*age.Seconds()))
		}

		if now.Sub(l.steady) < takeOver {
			b.settled = now.Add(takeOver)
		}
	}

	return b
}
