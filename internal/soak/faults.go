package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/standin/backend"
	"github.com/pollencart/pollencart/internal/standin/platform"
)

// injector brings faults about and takes them back.
type injector struct {
	recorder  *recorder
	fleet     *harness.Fleet
	ledger    *ledger
	callers   *callers
	operators *operators
	poisons   int

	// One step at a time may act on a process.
	nodes    []sync.Mutex
	backends []sync.Mutex

	telling  sync.Mutex // held while the platform is told
	mu       sync.Mutex
	platform platform.Faults
	down     int                     // steps that hold the platform down
	cuts     map[string]int          // platform addresses, by how many steps cut them
	blocked  map[int]map[string]int  // peer addresses that a node can't reach
	mended   map[[2]string]time.Time // when a link from one host to another was whole again
}

func newInjector(r *recorder, f *harness.Fleet) *injector {
	return &injector{
		recorder: r, fleet: f, nodes: make([]sync.Mutex, len(f.Hosts)), backends: make([]sync.Mutex, len(f.Hosts)),
		cuts: map[string]int{}, blocked: map[int]map[string]int{}, mended: map[[2]string]time.Time{},
	}
}

// run plays one step; it returns when the fault is taken back. Hosts that
// another step works on are left out.
func (i *injector) run(ctx context.Context, s Step) {
	play := map[Kind]func(context.Context, Step) bool{
		KindKillNodes: i.killNodes, KindFreezeNode: i.freeze, KindDrainNode: i.drainNode,
		KindCutDomain: i.cutDomain, KindCutOneWay: i.cutDomain, KindCutPlatform: i.cutPlatform,
		KindPlatformDown: i.platformDown, KindPlatformSlow: i.platformSlow, KindLoseAnswers: i.loseAnswers,
		KindRestoreOlder: i.restoreOlder, KindKillBackend: i.killBackend, KindSlowBackend: i.faultyBackend,
		KindHangBackend: i.faultyBackend, KindShedBackend: i.faultyBackend, KindServiceDown: i.killBackend,
		KindDrainBackend: i.drainBackend,
		KindAccept:       i.operate, KindRaceSame: i.operate, KindRaceDifferent: i.operate, KindPoison: i.poison,
	}

	done := play[s.Kind](ctx, s)

	i.recorder.add(func(r *Report) {
		if done {
			r.Steps[s.Kind]++
		} else {
			r.Skipped[s.Kind]++
		}
	})
}

// operate lets operators work; they go on after the phase until they are told
// how it ended.
func (i *injector) operate(ctx context.Context, s Step) bool {
	ctx = context.WithoutCancel(ctx)

	switch s.Kind { //nolint:exhaustive // the other kinds are faults
	case KindRaceSame:
		i.operators.raceSame(ctx)
	case KindRaceDifferent:
		i.operators.raceDifferent(ctx)
	default:
		i.operators.some(ctx, s.Count)
	}

	return true
}

// claim locks those of the hosts that no other step works on.
func claim(locks []sync.Mutex, hosts []int) []int {
	return slices.DeleteFunc(slices.Clone(hosts), func(h int) bool { return !locks[h].TryLock() })
}

func (i *injector) killNodes(ctx context.Context, s Step) bool {
	hosts := claim(i.nodes, s.Hosts)

	for _, h := range hosts {
		i.fleet.Process(harness.NodeName(i.fleet.Hosts[h].ID)).Kill()
	}

	idle.For(ctx, s.For)

	for _, h := range hosts {
		i.startNode(h)
		i.nodes[h].Unlock()
	}

	return len(hosts) > 0
}

func (i *injector) startNode(h int) {
	if err := i.fleet.StartNode(h); err != nil {
		i.recorder.check(PromiseNodeStays, false, "%v", err)
	}

	const patience = 10 * time.Second

	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()

	if err := harness.WaitOK(ctx, "http://"+i.fleet.Hosts[h].Control+"/healthz"); err != nil {
		i.recorder.check(PromiseNodeStays, false, "%s does not start: %v", i.fleet.Hosts[h].ID, err)
	}

	i.pushLinks(h)
}

func (i *injector) freeze(ctx context.Context, s Step) bool {
	hosts := claim(i.nodes, s.Hosts)

	for _, h := range hosts {
		i.callers.freeze(i.fleet.Hosts[h].ID, time.Now().Add(s.For+time.Minute))
		i.fleet.Process(harness.NodeName(i.fleet.Hosts[h].ID)).Pause()
	}

	idle.For(ctx, s.For)

	for _, h := range hosts {
		i.fleet.Process(harness.NodeName(i.fleet.Hosts[h].ID)).Resume()
		i.callers.freeze(i.fleet.Hosts[h].ID, time.Now())
		i.nodes[h].Unlock()
	}

	return len(hosts) > 0
}

// noticeTime is how long callers go on sending to a node that leaves.
const noticeTime = 500 * time.Millisecond

// stopBound is longer than any deadline of the routes and the drain's notice.
const stopBound = 40 * time.Second

func (i *injector) drainNode(ctx context.Context, s Step) bool {
	hosts := claim(i.nodes, s.Hosts)

	for _, h := range hosts {
		id := i.fleet.Hosts[h].ID
		// Callers look at /readyz now and then: they notice a little later.
		notice := time.AfterFunc(noticeTime, func() { i.callers.leave(h, id) })

		clean := i.fleet.Process(harness.NodeName(id)).Terminate(stopBound)
		i.recorder.check(PromisePlannedStop, clean, "node %s did not end by itself", id)
		notice.Stop()
		i.callers.leave(h, id)
		idle.For(ctx, s.For/2) // half of the time it is away
		i.startNode(h)
		i.callers.stopping.Delete(id)
		i.nodes[h].Unlock()
	}

	return len(hosts) > 0
}

func (i *injector) drainBackend(ctx context.Context, s Step) bool {
	hosts := claim(i.backends, s.Hosts)

	for _, h := range hosts {
		name := i.fleet.Hosts[h].ID
		i.ledger.leave(name)

		clean := i.fleet.Process(harness.BackendName(name)).Terminate(stopBound)
		i.recorder.check(PromisePlannedStop, clean, "backend server %s did not end by itself", name)
		idle.For(ctx, s.For/2) // half of the time it is away
		i.ledger.stay(name)
		i.startBackend(h)
		i.backends[h].Unlock()
	}

	return len(hosts) > 0
}

func (i *injector) startBackend(h int) {
	if err := i.fleet.StartBackend(h); err != nil {
		i.recorder.check(PromiseRepairs, false, "%v", err)
	}
}

func (i *injector) killBackend(ctx context.Context, s Step) bool {
	hosts := claim(i.backends, s.Hosts)

	for _, h := range hosts {
		i.fleet.Process(harness.BackendName(i.fleet.Hosts[h].ID)).Kill()
	}

	idle.For(ctx, s.For)

	for _, h := range hosts {
		i.startBackend(h)
		i.backends[h].Unlock()
	}

	return len(hosts) > 0
}

// Times of a slow backend server and platform, against a usual 2 ms.
const (
	slowBackendMs  = 40
	slowPlatformMs = 400
)

func (i *injector) faultyBackend(ctx context.Context, s Step) bool {
	hosts := claim(i.backends, s.Hosts)

	f := backend.Faults{WorkMs: slowBackendMs}

	switch s.Kind { //nolint:exhaustive // the other kinds don't get here
	case KindHangBackend:
		f = backend.Faults{Hang: true}
	case KindShedBackend:
		f = backend.Faults{WorkMs: slowBackendMs, Shed: true}
	}

	for _, h := range hosts {
		_ = post(i.fleet.Hosts[h].Backend, "/standin/faults", f)
	}

	idle.For(ctx, s.For)

	for _, h := range hosts {
		_ = post(i.fleet.Hosts[h].Backend, "/standin/faults", backend.Faults{})
		i.backends[h].Unlock()
	}

	return len(hosts) > 0
}

// restartCrashed starts backend servers that a request ended, as the platform's
// own supervisor does, and notices nodes that ended by themselves.
func (i *injector) restartCrashed(ctx context.Context) {
	const pause = 100 * time.Millisecond

	for ctx.Err() == nil {
		for h := range i.fleet.Hosts {
			i.restartCrashedOn(h)
		}

		idle.For(ctx, pause)
	}
}

func (i *injector) restartCrashedOn(h int) {
	id := i.fleet.Hosts[h].ID

	if i.backends[h].TryLock() {
		if !i.fleet.Process(harness.BackendName(id)).Running() {
			i.startBackend(h)
		}

		i.backends[h].Unlock()
	}

	if i.nodes[h].TryLock() {
		running := i.fleet.Process(harness.NodeName(id)).Running()
		i.recorder.check(PromiseNodeStays, running, "node %s ended by itself, see its log", id)

		if !running {
			i.startNode(h)
		}

		i.nodes[h].Unlock()
	}
}

func (i *injector) poison(ctx context.Context, _ Step) bool {
	i.mu.Lock()
	i.poisons++
	name := fmt.Sprintf("poison-%d", i.poisons)
	i.mu.Unlock()

	i.callers.poison(ctx, name)

	return true
}

func post(address, path string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}

	const timeout = 2 * time.Second

	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}

	req.Header.Set("Content-Type", "application/json")

	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}

	_ = resp.Body.Close()

	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s%s: status %d", address, path, resp.StatusCode)
	}

	return nil
}
