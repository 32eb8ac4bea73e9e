package selection_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/selection"
	"github.com/pollencart/pollencart/pkg/settings"
)

const (
	service     = "browse"
	slots       = 10
	serviceTime = 40 * time.Millisecond
	roundTrip   = time.Millisecond
)

// server is a gate and its backend server.
type server struct {
	id, domain  string
	ready       time.Time
	queue       *admission.Queue
	serviceTime time.Duration
	fails       bool
	outliers    *rand.Rand // if set, one of 50 calls takes ten times as long
	report      func(call.Load) call.Load

	mu          sync.Mutex
	ran         int
	maxInFlight int
}

func newServer(id, domain string) *server {
	return &server{
		id: id, domain: domain, ready: time.Now().Add(-time.Hour), serviceTime: serviceTime,
		queue:  admission.New(admission.Slots(slots), admission.ServiceTime(serviceTime)),
		report: func(l call.Load) call.Load { return l },
	}
}

func (s *server) candidate() selection.Candidate {
	return selection.Candidate{ID: s.id, Region: "midlands", FailureDomain: s.domain, Slots: slots, ReadySince: s.ready}
}

func (s *server) run(ctx context.Context, class settings.Class, duration time.Duration) selection.Outcome {
	time.Sleep(roundTrip / 2)

	start := time.Now()

	release, err := s.queue.Admit(ctx, admission.Request{Class: class, Caller: "desk", Queue: 256})
	if err != nil {
		return selection.Outcome{Result: selection.Refused, Load: s.report(s.queue.Load())}
	}

	begun := time.Now()

	s.mu.Lock()
	s.ran++
	s.maxInFlight = max(s.maxInFlight, s.queue.Load().InFlight)
	fails := s.fails

	if duration == 0 {
		duration = s.serviceTime
	}

	if s.outliers != nil && s.outliers.IntN(50) == 0 {
		duration *= 10
	}

	s.mu.Unlock()

	time.Sleep(duration)
	release()

	o := selection.Outcome{Load: s.report(s.queue.Load().WithTimes(begun.Sub(start), time.Since(begun)))}
	if fails {
		o.Result = selection.Failed
	}

	time.Sleep(roundTrip / 2)

	return o
}

func (s *server) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()

	change()
}

// strategy is a way to select a gate; selection.Selector implements it.
type strategy interface {
	Pick(string, []selection.Candidate, selection.Need) (selection.Candidate, bool)
	Start(string, string, settings.Class) selection.Attempt
}

// cluster is a set of entry nodes that send calls to a set of servers.
type cluster struct {
	servers []*server
	entries []strategy
	// hedge is the delay before a second attempt is made in parallel to the first.
	hedge time.Duration
	// class and duration of the calls. With a zero duration a call takes the server's
	// service time.
	class    settings.Class
	duration time.Duration
}

func newCluster(entries int, servers ...*server) *cluster {
	m := &cluster{servers: servers, class: settings.ClassInteractive}
	for i := range entries {
		m.entries = append(m.entries, selection.New(
			selection.Region("midlands"), selection.FailureDomain(fmt.Sprint("domain-", i%4)),
			selection.WithRandom(rand.New(rand.NewPCG(1, uint64(i)))),
		))
	}

	return m
}

func fourServers() []*server {
	var out []*server
	for i := range 4 {
		out = append(out, newServer(fmt.Sprint("server-", i), fmt.Sprint("domain-", i)))
	}

	return out
}

// results holds the outcomes of the calls.
type results struct {
	ok, failed, refused int
	took                []time.Duration
}

func (g *results) p99() time.Duration {
	if len(g.took) == 0 {
		return 0
	}

	slices.Sort(g.took)

	return g.took[len(g.took)*99/100]
}

func (g *results) mean() time.Duration {
	var sum time.Duration
	for _, d := range g.took {
		sum += d
	}

	return sum / time.Duration(max(1, len(g.took)))
}

// runLoad sends calls through all entry nodes, with exponentially distributed intervals
// at a fixed mean rate.
func (m *cluster) runLoad(t *testing.T, rate float64, d time.Duration) *results {
	t.Helper()

	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		out    = &results{}
		random = rand.New(rand.NewPCG(3, 3))
		end    = time.Now().Add(d)
	)

	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))

		entry := m.entries[random.IntN(len(m.entries))]

		wg.Go(func() {
			start := time.Now()
			o := m.sendHedged(t.Context(), entry)

			mu.Lock()
			defer mu.Unlock()

			out.add(o, time.Since(start))
		})
	}

	wg.Wait()

	return out
}

func (g *results) add(o selection.Outcome, took time.Duration) {
	switch o.Result {
	case selection.Answered:
		g.ok++
		g.took = append(g.took, took)
	case selection.Refused:
		g.refused++
	case selection.Failed, selection.TimedOut, selection.Abandoned:
		g.failed++
	}
}

// sendHedged returns the first answer of two attempts.
func (m *cluster) sendHedged(ctx context.Context, entry strategy) selection.Outcome {
	if m.hedge == 0 {
		return m.send(ctx, entry)
	}

	answers := make(chan selection.Outcome, 2)

	go func() { answers <- m.send(ctx, entry) }()

	select {
	case o := <-answers:
		return o
	case <-time.After(m.hedge):
	}

	go func() { answers <- m.send(ctx, entry) }()

	return <-answers
}

func (m *cluster) send(ctx context.Context, entry strategy) selection.Outcome {
	limit := time.Second
	if m.class == settings.ClassBackground {
		limit = 30 * time.Second
	}

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	candidates := make([]selection.Candidate, len(m.servers))
	for i, s := range m.servers {
		candidates[i] = s.candidate()
	}

	c, ok := entry.Pick(service, candidates, selection.Need{Class: m.class, Idempotent: true})
	if !ok {
		return selection.Outcome{Result: selection.Refused}
	}

	attempt := entry.Start(service, c.ID, m.class)
	i := slices.IndexFunc(m.servers, func(s *server) bool { return s.id == c.ID })
	o := m.servers[i].run(ctx, m.class, m.duration)
	attempt.End(o)

	return o
}

// Selection strategies that selection.Selector is compared with.

// atRandom picks a random candidate.
type atRandom struct {
	*selection.Selector
	random *lockedRand
}

type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.r.IntN(n)
}

func (a atRandom) Pick(_ string, c []selection.Candidate, _ selection.Need) (selection.Candidate, bool) {
	return c[a.random.intN(len(c))], true
}

// leastReported picks the candidate with the least work in its last report.
type leastReported struct {
	*selection.Selector
	load func(id string) int
}

func (l leastReported) Pick(_ string, c []selection.Candidate, _ selection.Need) (selection.Candidate, bool) {
	return slices.MinFunc(c, func(a, b selection.Candidate) int { return l.load(a.ID) - l.load(b.ID) }), true
}
