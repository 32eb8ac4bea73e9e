package hosts

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// seriesStream sets the schedule of the series apart from that of the single faults.
	seriesStream = 0x5e41e5
	// hostsPerSeries is for how many hosts one series of stops goes on at a time.
	hostsPerSeries = 15
	// mostStopped is how many hosts of a failure domain are stopped in one round at the most.
	mostStopped = 3
	// meanwhile is the time after SIGTERM in which something else happens to the host.
	meanwhile = 4 * time.Second
	// rightBefore and rightAfter are the pauses of what comes right before a stop, and of
	// a stop right after the start.
	rightBefore = 20 * time.Millisecond
	rightAfter  = 400 * time.Millisecond
)

// companion is what comes beside a stop.
type companion struct {
	name  string
	oneIn int
	play  func(r *run, random *rand.Rand, h *host, l *life)
}

func companions() []companion {
	return []companion{
		{"SIGHUP", 2, func(_ *run, _ *rand.Rand, h *host, l *life) { h.signalTo(l, syscall.SIGHUP) }},
		{"SIGTERM", 3, func(_ *run, _ *rand.Rand, h *host, l *life) { h.signalTo(l, syscall.SIGTERM) }},
		{"backend server leaves", 4, func(r *run, random *rand.Rand, h *host, _ *life) { r.leave(random, h) }},
		{"store down", 5, func(r *run, random *rand.Rand, h *host, _ *life) { r.storeDown(random, h) }},
	}
}

// series plays rounds of planned stops until a moment.
func (r *run) series(ctx context.Context, random *rand.Rand, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		r.round(random)
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	}
}

// round stops hosts of one failure domain, at the same time or one after the other.
func (r *run) round(random *rand.Rand) {
	var members []*host

	domain := random.IntN(failureDomains)
	for i := domain; i < len(r.hosts); i += failureDomains {
		members = append(members, r.hosts[i])
	}

	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })

	var stops sync.WaitGroup

	gap := time.Duration(random.IntN(mostStopped+1)) * time.Second

	for i, h := range members[:min(len(members), 2+random.IntN(mostStopped-1))] {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))

		stops.Go(func() {
			time.Sleep(time.Duration(i) * gap)
			r.planned(own, h)
		})
	}

	stops.Wait()
}

// planned stops a host with what the schedule has beside it, and starts it again.
func (r *run) planned(random *rand.Rand, h *host) {
	defer h.trouble()()

	if random.IntN(2) == 0 {
		h.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(random.Int64N(int64(rightBefore))))
	}

	l := h.current()
	line := time.Now().Format(clock) + " series: stop " + h.config.Node

	h.plan()
	h.signalTo(l, syscall.SIGTERM)

	var beside sync.WaitGroup

	for _, t := range companions() {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		if own.IntN(t.oneIn) != 0 {
			continue
		}

		wait := time.Duration(own.Int64N(int64(meanwhile)))
		line += fmt.Sprintf(", %s after %s", t.name, wait.Round(time.Millisecond))

		beside.Go(func() {
			time.Sleep(wait)
			t.play(r, own, h, l)
		})
	}

	fmt.Fprintln(r.options.Log, line)
	r.again(random, h, l)

	if random.IntN(mostStopped) == 0 {
		time.Sleep(time.Duration(random.Int64N(int64(rightAfter))))
		fmt.Fprintln(r.options.Log, time.Now().Format(clock), "series: stop", h.config.Node, "right after its start")
		r.stop(random, h)
	}

	beside.Wait()
}
