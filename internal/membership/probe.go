package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/peer"
)

// probesPerCrossDomain is the mean number of probes per probe of another failure domain.
// Probes within the failure domain detect failed nodes; the others detect unreachable failure
// domains, and return digests that show records missing in the whole local failure domain.
const probesPerCrossDomain = 8

// probeRandom probes one random node, mostly of the local failure domain. Each node is thereby
// probed about once a second, and the number of messages per node does not grow with the
// fleet.
func (g *Gossip) probeRandom(ctx context.Context) {
	targets := g.table.RandomNear(1)

	if otherDomains := g.table.RandomPerOtherDomain(); len(otherDomains) > 0 && rand.IntN(probesPerCrossDomain) == 0 {
		targets = randomOne(otherDomains)
	}

	for _, target := range targets {
		go g.probe(ctx, target)
	}
}

// probe probes a node directly, then through other nodes, and suspects it if nothing succeeds.
//
// A process that is stalled or dead, and a host that accepts connections but never answers,
// all time out. So does a broken link of this node; the indirect probes distinguish it.
func (g *Gossip) probe(ctx context.Context, target Record) {
	err := g.exchange(ctx, target)
	if err == nil {
		g.health.answered()

		return
	}

	if ctx.Err() != nil {
		return
	}

	answered, observers := g.probeIndirectly(ctx, target)
	if answered || ctx.Err() != nil {
		return
	}

	g.health.missed()

	// Skip if the record has changed: the failed probe does not apply to the process that
	// wrote the newer one.
	if now, ok := g.table.Find(target.ID); !ok || now.compareEpochSeq(target) != 0 {
		return
	}

	g.table.Suspect(target.ID, err.Error(), append([]string{g.table.Self().ID}, observers...)...)

	for _, r := range g.table.RandomSameDomain(target, domainProbes) {
		g.probeQueue.add(r.PeerAddress)
	}
}

// domainProbes is the number of nodes that are probed next in the failure domain of an
// unresponsive node. A failed or partitioned failure domain is thereby detected within
// seconds, although it is rarely probed from other failure domains.
const domainProbes = 2

func (g *Gossip) probeIndirectly(ctx context.Context, target Record) (answered bool, observers []string) {
	ctx, cancel := context.WithTimeout(ctx, 2*g.health.scaleTimeout(g.options.Timeout))
	defer cancel()

	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)

	for _, helper := range g.table.Random(g.options.Helpers, target.ID) {
		wg.Go(func() {
			var a ProbeAnswer

			in := ProbeRequest{ID: target.ID, Address: target.PeerAddress}
			if g.peers.Do(ctx, helper.PeerAddress, peer.LaneControl, MethodProbe, in, &a) != nil {
				return
			}

			mu.Lock()
			defer mu.Unlock()

			if a.Answered {
				answered = true

				cancel()
			} else {
				observers = append(observers, a.By)
			}
		})
	}

	wg.Wait()

	return answered, observers
}

// ServeProbe probes a node on behalf of another one.
func (g *Gossip) ServeProbe(ctx context.Context, in ProbeRequest) (ProbeAnswer, error) {
	err := g.exchange(ctx, Record{ID: in.ID, PeerAddress: in.Address})

	return ProbeAnswer{By: g.table.Self().ID, Answered: err == nil}, nil
}

// ProbeSoon queues a probe of the node at an address after a call to it failed.
func (g *Gossip) ProbeSoon(address string) { g.probeQueue.add(address) }

// runQueuedProbes probes live nodes that calls could not reach, and dead nodes that are live
// on other nodes. The probe carries the belief that the node is dead, so that it refutes it.
func (g *Gossip) runQueuedProbes(ctx context.Context) {
	for _, target := range g.table.ByAddress(g.probeQueue.take(maxQueuedProbes)) {
		if target.State == StateAlive {
			go g.probe(ctx, target)
		}
	}

	for _, id := range g.disputed.take(maxQueuedProbes) {
		if target, ok := g.table.Find(id); ok && target.State == StateDead {
			go g.probe(ctx, target)
		}
	}
}

// maxQueuedProbes bounds the queued probes per round and queue. After a partition between
// thousands of nodes heals, this avoids a burst of probes; since each node takes random
// entries, all targets are still probed within seconds.
const maxQueuedProbes = 4

// probeQueue holds addresses or IDs of nodes to be probed.
type probeQueue struct {
	mu      sync.Mutex
	pending map[string]bool
	probed  map[string]time.Time
}

// reprobeInterval is the time after a queued probe in which the node is not queued again.
const reprobeInterval = time.Second

func newProbeQueue() probeQueue {
	return probeQueue{pending: map[string]bool{}, probed: map[string]time.Time{}}
}

func (q *probeQueue) add(address string) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if time.Since(q.probed[address]) >= reprobeInterval {
		q.pending[address] = true
	}
}

func (q *probeQueue) take(count int) []string {
	q.mu.Lock()
	defer q.mu.Unlock()

	for address, at := range q.probed {
		if time.Since(at) >= reprobeInterval {
			delete(q.probed, address)
		}
	}

	var out []string

	for address := range q.pending {
		if len(out) == count {
			break
		}

		out = append(out, address)
		q.probed[address] = time.Now()
		delete(q.pending, address)
	}

	return out
}

// health tracks how well this node itself works.
//
// A node that lacks processor time or was stalled misses replies that arrived in time, and
// would suspect healthy nodes. It detects this by consecutive failed probes and by delayed
// rounds, and then extends its timeouts.
type health struct {
	mu        sync.Mutex
	misses    int
	lastRound time.Time
}

const (
	// maxMisses bounds how far timeouts are extended.
	maxMisses = 4
	// stallThreshold is the gap between rounds that counts as a process stall; garbage
	// collection or a busy host delays a round by less.
	stallThreshold = 4 * idlePause
)

func (h *health) answered() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.misses = max(h.misses-1, 0)
}

func (h *health) missed() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.misses = min(h.misses+1, maxMisses)
}

func (h *health) scaleTimeout(d time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()

	return d * time.Duration(1+h.misses)
}

// recordRound records a round and returns the gap before it if the process was stalled,
// otherwise 0.
func (h *health) recordRound() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()

	now := time.Now()
	gap := now.Sub(h.lastRound)
	first := h.lastRound.IsZero()
	h.lastRound = now

	if first || gap < stallThreshold {
		return 0
	}

	return gap
}
