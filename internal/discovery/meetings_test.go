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

// meetings are nodes of several failure domains, and who met whom.
type meetings struct {
	domains map[string]string // by node
	tables  map[string]*membership.Table

	mu   sync.Mutex
	met  map[string][]string
	cut  bool
	stop map[string]context.CancelFunc

	epochs map[string]*epoch.Current
	told   map[string]*timeline.Recorder
}

func newMeetings(domains, each int) *meetings {
	g := &meetings{
		domains: map[string]string{}, tables: map[string]*membership.Table{}, met: map[string][]string{},
		stop: map[string]context.CancelFunc{}, epochs: map[string]*epoch.Current{}, told: map[string]*timeline.Recorder{},
	}

	for i := range domains * each {
		id := "n" + strconv.Itoa(i+1)
		g.epochs[id], g.told[id] = epoch.New(), timeline.New()
		g.domains[id] = "domain-" + strconv.Itoa(i/each)
		g.tables[id] = membership.NewTable(membership.Record{ID: id, PeerAddress: address(id), FailureDomain: g.domains[id]}, timeline.New())
	}

	return g
}

func (g *meetings) run(t *testing.T, s *store, id, domain string) {
	t.Helper()

	meet := func(_ context.Context, to string) bool { return g.meet(id, domain, to) }
	r := discovery.New(s.at(g.epochs[id]), g.tables[id], meet, g.told[id], true).WithEpoch(g.epochs[id])
	ctx, cancel := context.WithCancel(context.Background())
	g.stop[id] = cancel

	var wg sync.WaitGroup

	wg.Go(func() { r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// meet has both nodes know each other.
func (g *meetings) meet(id, domain, to string) bool {
	time.Sleep(2 * time.Millisecond) // there and back
	g.mu.Lock()
	defer g.mu.Unlock()

	for other, d := range g.domains {
		if address(other) != to {
			continue
		}

		if g.cut && d != domain {
			return false
		}

		g.met[id], g.met[other] = append(g.met[id], other), append(g.met[other], id)
		g.tables[id].Merge(g.tables[other].Records())
		g.tables[other].Merge(g.tables[id].Records())
	}

	return true
}

// end ends nodes, and has all others know of it.
func (g *meetings) end(ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, id := range ids {
		g.stop[id]()

		gone := g.tables[id].Self().WithState(membership.StateLeft)
		gone.Seq++

		for _, other := range g.tables {
			other.Merge([]membership.Record{gone})
		}
	}
}

func (g *meetings) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.cut = false
}

// reached is how many nodes are known over any number of others, as gossip carries it.
func (g *meetings) reached() int {
	const from = "n1"

	g.mu.Lock()
	defer g.mu.Unlock()

	seen := map[string]bool{from: true}
	for next := []string{from}; len(next) > 0; next = next[1:] {
		for _, other := range g.met[next[0]] {
			if !seen[other] {
				seen[other] = true
				next = append(next, other)
			}
		}
	}

	return len(seen)
}
