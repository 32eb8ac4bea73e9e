package hosts

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
)

// fault is one kind of trouble. It returns when it is taken back.
type fault struct {
	name string
	play func(r *run, random *rand.Rand, h *host)
}

func faults() []fault {
	return []fault{
		{"kill", (*run).kill},
		{"stop", (*run).stop},
		{"pause", (*run).pause},
		{"settings signal", func(_ *run, _ *rand.Rand, h *host) { h.signal(syscall.SIGHUP) }},
		{"store down", (*run).storeDown},
		{"store loses answers", (*run).storeLoses},
		{"store forgets", func(r *run, _ *rand.Rand, _ *host) { r.store.DropHistory() }},
		{"store silent", (*run).storeSilent},
		{"store resets", func(r *run, _ *rand.Rand, _ *host) { r.link.reset() }},
		{"store restored", (*run).storeRestored},
		{"new version", func(r *run, _ *rand.Rand, _ *host) { r.write() }},
		{"backend server crashes", (*run).crash},
		{"backend server leaves", (*run).leave},
	}
}

// play sends calls and faults for the length of the run, then waits until the fleet is
// whole and looks at what was seen.
func (r *run) play(ctx, callers context.Context, stop func()) {
	var troubles sync.WaitGroup

	for _, h := range r.hosts {
		r.attend(callers, h)
	}

	if r.trial != nil {
		r.calling.Go(func() { r.rollOut(callers) })
	}

	end := time.Now().Add(r.options.Length)

	for i := range uint64(1 + len(r.hosts)/hostsPerSeries) {
		random := rand.New(rand.NewPCG(r.options.Seed, seriesStream+i))

		troubles.Go(func() { r.series(ctx, random, end) })
	}

	r.beginSeries(ctx, &troubles, end)

	for time.Now().Before(end) && ctx.Err() == nil {
		f := r.drawFault()
		h := r.hosts[r.random.IntN(len(r.hosts))]
		random := rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))

		fmt.Fprintf(r.options.Log, "%6.1f s before the end: %s %s\n", time.Until(end).Seconds(), f.name, h.config.Node)
		r.report.fault(f.name)
		troubles.Go(func() { f.play(r, random, h) })

		time.Sleep(time.Duration(r.random.Int64N(int64(time.Second))))
	}

	troubles.Wait()

	r.poisons.pending.Wait()
	r.settle(ctx)
	stop()
	r.calling.Wait()
	r.judgeStayed()
	r.judgeSignals()
	r.reportVersions()

	r.judgePoisons()

	if r.trial != nil {
		r.trial.check()
	}
}

// attend starts the callers and checks of a host.
func (r *run) attend(callers context.Context, h *host) {
	r.calling.Go(func() { r.call(callers, h) })
	r.calling.Go(func() { r.stay(callers, h) })

	if r.options.Versions {
		r.calling.Go(func() { r.checkVersions(callers, h) })
	}

	if r.options.Strain {
		r.strain(callers, h)
	}

	if r.options.Answers {
		r.calling.Go(func() { r.sendLong(callers, h) })
	}

	if r.options.Crowds {
		r.calling.Go(func() { r.watchMemory(callers, h) })
	}
}

// beginSeries starts the series of poison requests and of signals.
func (r *run) beginSeries(ctx context.Context, troubles *sync.WaitGroup, end time.Time) {
	if r.options.Poison {
		random := rand.New(rand.NewPCG(r.options.Seed, poisonStream))

		troubles.Go(func() { r.poisonSeries(ctx, random, end) })
	}

	if r.options.Strain {
		random := rand.New(rand.NewPCG(r.options.Seed, strainStream))

		troubles.Go(func() { r.strainSeries(ctx, random, end) })
	}

	if r.options.Answers {
		for i := range uint64(1 + len(r.hosts)/hostsPerSeries) {
			random := rand.New(rand.NewPCG(r.options.Seed, answerStream+i))

			troubles.Go(func() { r.answerSeries(ctx, random, end) })
		}
	}

	if r.options.Crowds {
		random := rand.New(rand.NewPCG(r.options.Seed, crowdStream))

		troubles.Go(func() { r.crowdSeries(ctx, random, end) })
	}

	if r.options.Signals {
		for i := range uint64(1 + len(r.hosts)/hostsPerSignals) {
			random := rand.New(rand.NewPCG(r.options.Seed, signalStream+i))

			troubles.Go(func() { r.signalSeries(ctx, random, end) })
		}
	}
}

func (r *run) drawFault() fault {
	all := faults()
	if r.options.Versions {
		all = versionFaults(r.random)
	}

	return all[r.random.IntN(len(all))]
}

// settle gives the fleet its time, and then asks for calls and the newest version.
func (r *run) settle(ctx context.Context) {
	deadline := time.Now().Add(settle)
	missing := "not looked at"

	for missing != "" && time.Now().Before(deadline) {
		missing = r.missing(ctx)
	}

	if missing != "" {
		r.report.broken("the fleet is not whole %s after the last fault: %s", settle, missing)
	}

	for _, h := range r.hosts {
		h.backend.check()
	}

	r.checkLines()
}

// missing says what keeps the fleet from being whole: every host answers by the newest
// version and serves.
func (r *run) missing(ctx context.Context) string {
	served, asked := 0, 0

	for _, h := range r.hosts {
		if !h.ready(ctx) {
			return h.config.Node + " is not ready"
		}

		if ask(ctx, newest(h, r.version)) == http.StatusNotFound {
			return h.config.Node + " does not have the newest version"
		}

		for range 10 {
			asked++

			if o := r.one(ctx, http.DefaultClient, h, false, time.Second); o.status == http.StatusOK {
				served++
			}
		}
	}

	if float64(served) < servedAtEnd*float64(asked) {
		return fmt.Sprintf("%d of %d calls are served", served, asked)
	}

	return ""
}

func newest(h *host, version int) string {
	return fmt.Sprintf("http://%s/v%d/", h.config.CallerAddress, version)
}

func (r *run) kill(random *rand.Rand, h *host) {
	defer h.trouble()()

	l := h.current()

	h.plan()
	h.signalTo(l, syscall.SIGKILL)
	r.again(random, h, l)
}

// stop is a planned stop: nothing that was taken may be cut off by it.
func (r *run) stop(random *rand.Rand, h *host) {
	defer h.trouble()()

	l := h.current()

	h.plan()
	h.signalTo(l, syscall.SIGTERM)
	r.again(random, h, l)
}

// again starts a process once the last one has ended. A second fault may have done so.
func (r *run) again(random *rand.Rand, h *host, l *life) {
	if !l.wait(grace) {
		h.force(l)
		l.wait(grace)
	}

	time.Sleep(time.Duration(random.Int64N(int64(time.Second))))

	h.backend.restart.Lock()
	defer h.backend.restart.Unlock()

	if !idle.Closed(h.current().ended) {
		return // another fault's start was first
	}

	if err := h.start(r.options.Program); err != nil {
		r.report.broken("%s does not start: %v", h.config.Node, err)
	} else if r.options.Poison {
		r.poisons.pending.Go(func() { r.poisonStart(context.Background(), h) })
	}
}

func (r *run) pause(random *rand.Rand, h *host) {
	defer h.trouble()()

	from := time.Now()

	h.plan()
	h.signal(syscall.SIGSTOP)
	time.Sleep(time.Duration(random.Int64N(int64(longest))))
	h.signal(syscall.SIGCONT)

	h.mu.Lock()
	defer h.mu.Unlock()

	h.pauses = append(h.pauses, span{from, time.Now()})
}

func (r *run) storeDown(random *rand.Rand, _ *host) {
	defer r.versions.troubleStore()()

	r.store.Fault(func(string) int { return http.StatusServiceUnavailable })
	time.Sleep(time.Duration(random.Int64N(int64(longest))))
	r.store.Fault(nil)
}

// storeLoses has writes carried out and not answered.
func (r *run) storeLoses(random *rand.Rand, _ *host) {
	defer r.versions.troubleStore()()

	r.store.Fault(func(path string) int {
		if strings.Contains(path, "txn") {
			return -1
		}

		return 0
	})
	time.Sleep(time.Duration(random.Int64N(int64(longest))))
	r.store.Fault(nil)
}

func (r *run) storeSilent(random *rand.Rand, _ *host) {
	defer r.versions.troubleStore()()

	r.link.silence(true)
	time.Sleep(time.Duration(random.Int64N(int64(longest))))
	r.link.silence(false)
}

func (r *run) crash(random *rand.Rand, h *host) {
	h.backend.down()
	time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
	h.backend.up()
}

// leave has the backend server leave as it should and another instance come.
func (r *run) leave(_ *rand.Rand, h *host) {
	h.backend.leave()
	h.backend.up()
}
