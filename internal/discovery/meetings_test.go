package discovery_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pollencart/pollencart/internal/discovery"
	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/timeline"
)

// fleet is a set of nodes in several failure domains and records which of them joined.
type fleet struct {
	domains map[string]string // by node ID
	tables  map[string]*membership.Table

	mu          sync.Mutex
	joined      map[string][]string
	partitioned bool
	stop        map[string]context.CancelFunc

	epochs map[string]*epoch.Current
	events map[string]*timeline.Recorder
}

func newFleet(domains, each int) *fleet {
	g := &fleet{
		domains: map[string]string{}, tables: map[string]*membership.Table{}, joined: map[string][]string{},
		stop: map[string]context.CancelFunc{}, epochs: map[string]*epoch.Current{}, events: map[string]*timeline.Recorder{},
	}

	for i := range domains * each {
		id := "n" + strconv.Itoa(i+1)
		g.epochs[id], g.events[id] = epoch.New(), timeline.New()
		g.domains[id] = "domain-" + strconv.Itoa(i/each)
		g.tables[id] = membership.NewTable(membership.Record{ID: id, PeerAddress: address(id), FailureDomain: g.domains[id]}, timeline.New())
	}

	return g
}

func (g *fleet) startNode(t *testing.T, s *store, id, domain string) {
	t.Helper()

	join := func(_ context.Context, to string) bool { return g.join(id, domain, to) }
	r := discovery.New(s.clientOf(g.epochs[id]), g.tables[id], join, g.events[id], true).WithEpoch(g.epochs[id])
	ctx, cancel := context.WithCancel(context.Background())
	g.stop[id] = cancel

	var wg sync.WaitGroup

	wg.Go(func() { r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// join makes two nodes exchange their member records.
func (g *fleet) join(id, domain, to string) bool {
	time.Sleep(2 * time.Millisecond) // network round trip
	g.mu.Lock()
	defer g.mu.Unlock()

	for other, d := range g.domains {
		if address(other) != to {
			continue
		}

		if g.partitioned && d != domain {
			return false
		}

		g.joined[id], g.joined[other] = append(g.joined[id], other), append(g.joined[other], id)
		g.tables[id].Merge(g.tables[other].Records())
		g.tables[other].Merge(g.tables[id].Records())
	}

	return true
}

// terminate stops nodes and announces it to all others.
func (g *fleet) terminate(ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, id := range ids {
		g.stop[id]()

		left := g.tables[id].Self().WithState(membership.StateLeft)
		left.Seq++

		for _, other := range g.tables {
			other.Merge([]membership.Record{left})
		}
	}
}

func (g *fleet) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.partitioned = false
}

// countReachable returns the number of nodes that gossip from n1 reaches.
func (g *fleet) countReachable() int {
	const from = "n1"

	g.mu.Lock()
	defer g.mu.Unlock()

	seen := map[string]bool{from: true}
	for next := []string{from}; len(next) > 0; next = next[1:] {
		for _, other := range g.joined[next[0]] {
			if !seen[other] {
				seen[other] = true
				next = append(next, other)
			}
		}
	}

	return len(seen)
}
