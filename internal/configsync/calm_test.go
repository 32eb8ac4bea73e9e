package configsync

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

var (
	calmSeed  = flag.Uint64("calm-seed", 1, "first seed of the scenarios beside faults")
	calmSeeds = flag.Uint64("calm-seeds", 3, "number of seeds of the scenarios beside faults")
)

// calmWindow is how long a node has to be without impairment before the bound holds for it.
const calmWindow = 3 * time.Second

// fleet is the size of a simulation and the time within which a version has to be active.
type fleet struct {
	domains, nodes int
	bound          time.Duration
}

// start returns a simulation of the fleet in which version 1 is active.
func (f fleet) start(t *testing.T) *simulation {
	t.Helper()

	sim := newSimulationIn(t, f.domains, f.nodes)
	sim.gossipNearby(t, rand.New(rand.NewPCG(1, 2)))
	sim.write(1)
	sim.awaitVersion(t, 1, f.bound)
	time.Sleep(5 * time.Second)

	return sim
}

var (
	smallFleet  = fleet{4, 12, 2 * time.Second}
	mediumFleet = fleet{4, 88, 2500 * time.Millisecond}
	largeFleet  = fleet{14, 300, 2500 * time.Millisecond}
)

// A node without impairment keeps an older version for too long because others are slow, frozen, cut
// off, restarted, late to decode or without answers of the store.
func TestCalmNodesGetVersionsBesideFaults(t *testing.T) {
	for _, f := range []fleet{smallFleet, mediumFleet, largeFleet} {
		for seed := *calmSeed; seed < *calmSeed+*calmSeeds; seed++ {
			if f == largeFleet && seed%3 != 0 {
				continue // takes as long as ten of the others
			}

			t.Run(strconv.Itoa(f.nodes)+" nodes seed "+strconv.FormatUint(seed, 10), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runBesideFaults(t, f, rand.New(rand.NewPCG(seed, seed))) })
			})
		}
	}
}

// calmScenario is a simulation with versions and faults of single nodes.
type calmScenario struct {
	*simulation

	t         *testing.T
	fleet     fleet
	random    *rand.Rand
	newest    int64
	confirmed []time.Time // by version
	faultyAt  map[string]time.Time
	faulty    map[string]func()
	highest   map[*node]uint64
	history   []string
}

func runBesideFaults(t *testing.T, f fleet, random *rand.Rand) {
	t.Helper()

	const (
		length = time.Minute
		// mostCalls to the store a second by one watcher, on average.
		mostCalls = 4
	)

	d := &calmScenario{
		simulation: newSimulationIn(t, f.domains, f.nodes), t: t, fleet: f, random: random, confirmed: []time.Time{{}},
		faultyAt: map[string]time.Time{}, faulty: map[string]func(){}, highest: map[*node]uint64{},
	}
	d.limitLinks()
	d.gossipNearby(t, rand.New(rand.NewPCG(random.Uint64(), 1)))
	d.write()
	d.awaitVersion(t, 1, f.bound)
	time.Sleep(calmWindow)
	d.locked(func() { d.calls = 0 })

	start := time.Now()
	nextFault, nextWrite := start, start

	for time.Since(start) < length {
		now := time.Now()

		if !now.Before(nextFault) {
			d.beginFault()
			nextFault = now.Add(time.Duration(300+random.IntN(3000)) * time.Millisecond)
		}

		if !now.Before(nextWrite) {
			d.write()
			nextWrite = now.Add(time.Duration(200+random.IntN(4000)) * time.Millisecond)
		}

		if d.check() {
			break
		}

		time.Sleep(20 * time.Millisecond)
	}

	for id := range d.faulty {
		d.endFault(id)
	}

	most := int(length/time.Second) * f.domains * Watchers * mostCalls
	d.locked(func() {
		t.Logf("%d calls to the store in %s, %d allowed", d.calls, length, most)

		if d.calls > most {
			t.Errorf("%d calls to the store in %s", d.calls, length)
		}
	})
}

// limitLinks gives all nodes but the watchers a link of 7 Mbit/s.
func (d *calmScenario) limitLinks() {
	const bytesPerSecond = 7e6 / 8

	d.locked(func() {
		for i, r := range d.records {
			if i >= d.domains*Watchers {
				d.faults.links[r.ID] = &link{bytesPerSecond: bytesPerSecond}
			}
		}
	})
}

func (d *calmScenario) write() {
	d.newest++
	d.simulation.write(d.newest)
	d.confirmed = append(d.confirmed, time.Now())
	d.note("version " + strconv.FormatInt(d.newest, 10))
}

func (d *calmScenario) note(s string) {
	d.history = append(d.history, time.Now().Format("05.000 ")+s)
	if len(d.history) > 40 {
		d.history = d.history[1:]
	}
}

// beginFault impairs some nodes: the watchers of a failure domain, or random ones.
func (d *calmScenario) beginFault() {
	var ids []string

	first := d.records[d.random.IntN(len(d.records))]

	if d.random.IntN(2) == 0 {
		for _, r := range d.listedRecords() {
			if r.FailureDomain == first.FailureDomain && len(ids) < Watchers+d.random.IntN(2) {
				ids = append(ids, r.ID)
			}
		}
	} else {
		for range max(1, len(d.records)/8) {
			ids = append(ids, d.records[d.random.IntN(len(d.records))].ID)
		}
	}

	kind := d.random.IntN(7)
	length := time.Duration(500+d.random.IntN(6000)) * time.Millisecond

	for _, id := range ids {
		if d.faulty[id] != nil || len(d.faulty) > len(d.records)/3 {
			continue
		}

		d.begin(id, kind)
		d.faultyAt[id] = time.Now().Add(length)
	}
}

func (d *calmScenario) begin(id string, kind int) {
	f := &d.faults

	var name string

	d.locked(func() {
		switch kind {
		case 0:
			name = "frozen"
			f.frozen[id] = true
			d.faulty[id] = func() { delete(f.frozen, id) }
		case 1:
			name = "slow"
			f.delay[id] = time.Duration(20+d.random.IntN(300)) * time.Millisecond
			d.faulty[id] = func() { delete(f.delay, id) }
		case 2:
			name = "cut off from nodes"
			f.cut[id] = true
			d.faulty[id] = func() { delete(f.cut, id) }
		case 3:
			name = "cut off from the store"
			d.silent[id] = true
			d.faulty[id] = func() { delete(d.silent, id) }
		case 4:
			name = "cut off"
			f.cut[id], d.silent[id] = true, true
			d.faulty[id] = func() { delete(f.cut, id); delete(d.silent, id) }
		case 6:
			name = "lags"
			f.decodes[id] = time.Duration(500+d.random.IntN(5000)) * time.Millisecond
			d.faulty[id] = func() { delete(f.decodes, id) }
		case 5:
			name = "ended"
			f.deadAt[id] = time.Now()
			d.faulty[id] = func() { delete(f.deadAt, id) }
		}
	})

	if kind == 5 {
		d.node(id).stop()
	}

	d.note(id + " " + name)
}

func (d *calmScenario) endFault(id string) {
	var dead bool

	d.locked(func() {
		_, dead = d.faults.deadAt[id]
		d.faulty[id]()
		delete(d.faulty, id)
	})

	if dead {
		n, stop := d.restart(id)
		n.stop = stop
		d.t.Cleanup(stop)
		d.locked(func() { d.nodes[id] = n })
	}

	d.faultyAt[id] = time.Now()
	d.note(id + " well")
}

// check requires that each node that was calm long enough has the versions confirmed before the bound.
func (d *calmScenario) check() bool {
	now := time.Now()

	for id, until := range d.faultyAt {
		if d.faulty[id] != nil && !now.Before(until) {
			d.endFault(id)
		}
	}

	due := len(d.confirmed) - 1
	for due > 0 && now.Sub(d.confirmed[due]) <= d.fleet.bound {
		due--
	}

	for _, r := range d.records {
		n := d.node(r.ID)
		version := n.holder.Number()

		if version < d.highest[n] {
			d.t.Errorf("%s went back from %d to %d", r.ID, d.highest[n], version)
		}

		d.highest[n] = version

		if d.faulty[r.ID] != nil || now.Sub(d.faultyAt[r.ID]) < calmWindow {
			continue
		}

		if version < uint64(due) {
			late := now.Sub(d.confirmed[version+1])
			d.t.Errorf("%s %s has version %d, version %d is confirmed for %s; %s; %q",
				now.Format("05.000"), r.ID, version, version+1, late, n.syncer.describe(), d.history)

			return true
		}
	}

	return false
}

// describe returns what a node knows of versions.
func (s *Syncer) describe() string {
	gap, lacks := s.fresh.Gap()
	age, known := s.fresh.Age()

	s.mu.Lock()
	defer s.mu.Unlock()

	return fmt.Sprintf("lacks %t %v, age %s %t, confirmed %s ago, from %s, informed %s ago, answered %s ago, reads %t, watch %t, decoding %d",
		lacks, gap.Sources, age, known, time.Since(s.fresh.ConfirmedAt()), s.sourceName, time.Since(s.informedAt),
		time.Since(s.answeredAt), s.storeReachable.Load(), s.watchOpen.Load(), s.decoding)
}
