package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/peer"
)

// farProbes is of how many probes one goes to another failure domain. Those within find
// nodes that died; the others find failure domains that can't be reached, and bring the
// digest from which a node learns that its whole failure domain lacks something.
const farProbes = 8

// probeRandom probes one random node, mostly of the own failure domain. With everyone
// doing so each node is probed about once a second, and each message is one that the
// fleet's size does not multiply.
func (g *Gossip) probeRandom(ctx context.Context) {
	targets := g.table.Near(1)

	if far := g.table.Elsewhere(); len(far) > 0 && rand.IntN(farProbes) == 0 {
		targets = anyOf(far)
	}

	for _, target := range targets {
		go g.probe(ctx, target)
	}
}

// probe asks a node, then others whether it answers them, then suspects it.
//
// A frozen or dead process, and a host that accepts connections and never
// answers, look the same from here: nothing comes in time. So does a broken link
// of this node; the others tell the two apart.
func (g *Gossip) probe(ctx context.Context, target Record) {
	err := g.exchange(ctx, target)
	if err == nil {
		g.health.answered()

		return
	}

	if ctx.Err() != nil {
		return
	}

	answered, observers := g.askOthers(ctx, target)
	if answered || ctx.Err() != nil {
		return
	}

	g.health.missed()

	// A record that is newer by now is the word of a process that was not asked.
	if now, ok := g.table.Find(target.ID); !ok || now.compareWritten(target) != 0 {
		return
	}

	g.table.Suspect(target.ID, err.Error(), append([]string{g.table.Self().ID}, observers...)...)

	for _, r := range g.table.Beside(target, beside) {
		g.doubts.add(r.PeerAddress)
	}
}

// beside is how many nodes of the failure domain of one that does not answer are probed
// next. A whole failure domain that dies or is cut off is then known within seconds,
// though it is seldom probed from elsewhere: who finds one finds two more.
const beside = 2

func (g *Gossip) askOthers(ctx context.Context, target Record) (answered bool, observers []string) {
	ctx, cancel := context.WithTimeout(ctx, 2*g.health.stretch(g.options.Timeout))
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

// ServeProbe probes a node for another one.
func (g *Gossip) ServeProbe(ctx context.Context, in ProbeRequest) (ProbeAnswer, error) {
	err := g.exchange(ctx, Record{ID: in.ID, PeerAddress: in.Address})

	return ProbeAnswer{By: g.table.Self().ID, Answered: err == nil}, nil
}

// Doubt has the node at an address probed soon: a call to it has just failed.
func (g *Gossip) Doubt(address string) { g.doubts.add(address) }

// examine probes nodes that there is reason to doubt: live ones that calls could
// not reach, and dead ones that live elsewhere. A dead one that answers refutes,
// since it is told what is held of it.
func (g *Gossip) examine(ctx context.Context) {
	for _, target := range g.table.At(g.doubts.take(maxExamined)) {
		if target.State == StateAlive {
			go g.probe(ctx, target)
		}
	}

	for _, id := range g.disputes.take(maxExamined) {
		if target, ok := g.table.Find(id); ok && target.State == StateDead {
			go g.probe(ctx, target)
		}
	}
}

// maxExamined bounds the doubted nodes that are probed in a round, so that a cut
// that heals between thousands of nodes is not answered by a storm of probes:
// with each node taking random ones all are asked within seconds.
const maxExamined = 4

// doubts are addresses or IDs of nodes to be probed.
type doubts struct {
	mu      sync.Mutex
	pending map[string]bool
	asked   map[string]time.Time
}

// askAgain is how long a node that was probed is not probed for doubt again.
const askAgain = time.Second

func newDoubts() doubts { return doubts{pending: map[string]bool{}, asked: map[string]time.Time{}} }

func (d *doubts) add(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if time.Since(d.asked[address]) >= askAgain {
		d.pending[address] = true
	}
}

func (d *doubts) take(count int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()

	for address, at := range d.asked {
		if time.Since(at) >= askAgain {
			delete(d.asked, address)
		}
	}

	var out []string

	for address := range d.pending {
		if len(out) == count {
			break
		}

		out = append(out, address)
		d.asked[address] = time.Now()
		delete(d.pending, address)
	}

	return out
}

// health is what this node thinks of itself.
//
// A node that is short of processor time, or was frozen, misses answers that
// came in time and would suspect the healthy. It notices by probes that fail one
// after the other and by its own late rounds, and then allows more time.
type health struct {
	mu     sync.Mutex
	misses int
	last   time.Time
}

const (
	// maxMisses bounds how far timeouts are stretched.
	maxMisses = 4
	// standstill is how late a round must be to count as a pause of the process:
	// longer than a collector or a busy host delays it.
	standstill = 4 * idlePause
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

func (h *health) stretch(d time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()

	return d * time.Duration(1+h.misses)
}

// pulse notes a round and returns how long the process stood still before it, or
// 0 if it did not.
func (h *health) pulse() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()

	now := time.Now()
	gap := now.Sub(h.last)
	first := h.last.IsZero()
	h.last = now

	if first || gap < standstill {
		return 0
	}

	return gap
}
