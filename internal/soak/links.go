package soak

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/idle"
)

// linkFaults is the body of a node's fault switch.
type linkFaults struct {
	Blocked []string `json:"Blocked"`
}

// cutDomain cuts the nodes of a failure domain off from all others; one way, its
// nodes can't reach the others and are still reached by them.
func (i *injector) cutDomain(ctx context.Context, s Step) bool {
	if !i.canCut() {
		return false
	}

	i.link(s, 1)
	idle.For(ctx, s.For)
	i.link(s, -1)

	return true
}

// canCut reports whether the nodes have the fault switch.
func (i *injector) canCut() bool {
	return post(i.fleet.Hosts[0].Control, "/v1/faults", i.linksOf(0)) == nil
}

func (i *injector) link(s Step, delta int) {
	i.mu.Lock()

	for a, from := range i.fleet.Hosts {
		for b, to := range i.fleet.Hosts {
			crosses := (from.FailureDomain == s.Domain) != (to.FailureDomain == s.Domain)
			if crosses && (s.Kind == KindCutDomain || from.FailureDomain == s.Domain) {
				i.block(a, b, delta)
			}
		}
	}
	i.mu.Unlock()

	for h := range i.fleet.Hosts {
		i.pushLinks(h)
	}
}

// block adds to how many steps cut the link from one host to another.
func (i *injector) block(from, to, delta int) {
	if i.blocked[from] == nil {
		i.blocked[from] = map[string]int{}
	}

	address := i.fleet.Hosts[to].Peer

	if i.blocked[from][address] += delta; i.blocked[from][address] == 0 {
		delete(i.blocked[from], address)
		i.mended[[2]string{i.fleet.Hosts[from].ID, i.fleet.Hosts[to].ID}] = time.Now()
	}
}

// inTouch reports whether the links between two hosts were whole since a time, both ways.
func (i *injector) inTouch(a, b string, since time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()

	return i.whole(a, b, since) && i.whole(b, a, since)
}

func (i *injector) whole(from, to string, since time.Time) bool {
	source, target := i.hostOf(from), i.hostOf(to)
	_, cut := i.blocked[source][i.fleet.Hosts[target].Peer]

	return !cut && !i.mended[[2]string{from, to}].After(since)
}

func (i *injector) hostOf(id string) int {
	return slices.IndexFunc(i.fleet.Hosts, func(h harness.Host) bool { return h.ID == id })
}

func (i *injector) linksOf(host int) linkFaults {
	i.mu.Lock()
	defer i.mu.Unlock()

	return linkFaults{Blocked: slices.Sorted(maps.Keys(i.blocked[host]))}
}

// pushLinks tells a node what it can't reach. A frozen or dead node does not
// answer; a frozen one gets it when it wakes.
func (i *injector) pushLinks(host int) {
	go func() { _ = post(i.fleet.Hosts[host].Control, "/v1/faults", i.linksOf(host)) }()
}

// heal tells all nodes twice that nothing is cut: one that was frozen may have
// read an older word in between.
func (i *injector) heal() {
	const (
		times = 2
		pause = 200 * time.Millisecond
	)

	for range times {
		time.Sleep(pause)

		for h := range i.fleet.Hosts {
			_ = post(i.fleet.Hosts[h].Control, "/v1/faults", i.linksOf(h))
		}
	}
}

func (i *injector) cutPlatform(ctx context.Context, s Step) bool {
	address := i.fleet.Platform[s.Domain]

	i.setPlatform(func() { i.cuts[address]++ })
	idle.For(ctx, s.For)
	i.setPlatform(func() {
		if i.cuts[address]--; i.cuts[address] == 0 {
			delete(i.cuts, address)
		}
	})

	return true
}

func (i *injector) platformDown(ctx context.Context, s Step) bool {
	i.setPlatform(func() { i.down++ })
	idle.For(ctx, s.For)
	i.setPlatform(func() { i.down-- })

	return true
}

func (i *injector) platformSlow(ctx context.Context, s Step) bool {
	i.setPlatform(func() { i.platform.SlowMs += slowPlatformMs })
	idle.For(ctx, s.For)
	i.setPlatform(func() { i.platform.SlowMs -= slowPlatformMs })

	return true
}

func (i *injector) loseAnswers(_ context.Context, s Step) bool {
	i.setPlatform(func() { i.platform.LoseAnswers = s.Count })
	i.setPlatform(func() {})

	return true
}

// setPlatform changes the faults of the platform and tells it all of them. Words go out one
// after the other: many faults are taken back in the moment in which a phase ends, and an
// older word that arrived last left a failure domain without its platform for good.
func (i *injector) setPlatform(change func()) {
	i.telling.Lock()
	defer i.telling.Unlock()

	i.mu.Lock()
	change()

	f := i.platform
	f.Down = i.down > 0
	f.Cut = slices.Sorted(maps.Keys(i.cuts))
	i.platform.LoseAnswers = 0
	i.mu.Unlock()

	_ = post(i.anyPlatform(), "/standin/faults", f)
}

func (i *injector) anyPlatform() string {
	for _, address := range i.fleet.Platform {
		return address
	}

	return ""
}

// restoreOlder plays a platform that comes back from a copy taken a while ago.
func (i *injector) restoreOlder(ctx context.Context, s Step) bool {
	_ = post(i.anyPlatform(), "/standin/copy", nil)
	idle.For(ctx, s.For)
	_ = post(i.anyPlatform(), "/standin/restore", nil)

	return true
}
