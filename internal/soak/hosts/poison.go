package hosts

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
)

// poisons are the poison requests of a run.
type poisons struct {
	client  http.Client
	first   sync.Once
	pending sync.WaitGroup // requests, copies through new processes, and restarts of backend servers

	mu       sync.Mutex
	requests []*poison
}

// poison is a request that crashes each backend server that runs it.
type poison struct {
	name     string
	upload   bool
	answered bool             // the first copy that crashed a backend server
	copies   map[string]*host // where each copy came in
	crashes  []*crash
}

// crash is the end of the backend server of a host by a copy that came in at entry. The next
// instance listened at up, and the host's process knew of it at told.
type crash struct {
	host, entry  *host
	at, up, told time.Time
}

const (
	// poisonStream sets the schedule of poison requests apart from the others.
	poisonStream = 0x9015047
	// poisonLimit is how many backend servers one request may crash.
	poisonLimit = 2
	// poisonPause bounds the pauses between requests, between rounds of copies, and before a restart.
	poisonPause = time.Second
	// poisonRounds is how many rounds of copies follow the answer to a request.
	poisonRounds = 6
	// atOnceOneIn of the crashed backend servers start again at once.
	atOnceOneIn = 3
	// newestPoisons is how many requests are sent through a new process, copiesAtStart times each.
	newestPoisons = 3
	copiesAtStart = 2
	// startTries is how often such a copy is sent while it is not served.
	startTries = 5
	tryPause   = 20 * time.Millisecond
	// spreadTime is how long after a crash or a pause hosts may not know of each other's crashes.
	spreadTime = 2 * time.Second
	// onTheWay is how long a call, or the news of a broken connection, takes.
	onTheWay = 100 * time.Millisecond
)

// isPoison reports whether a call is a copy of a poison request.
func isPoison(id string) bool { return strings.HasPrefix(id, "p") }

func (p *poisons) add(upload bool) *poison {
	p.mu.Lock()
	defer p.mu.Unlock()

	q := &poison{name: fmt.Sprintf("p%d", len(p.requests)), upload: upload, copies: map[string]*host{}}
	p.requests = append(p.requests, q)

	return q
}

// crash ends the instance that runs a copy, and starts the next one.
func (p *poisons) crash(b *backend, instance, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	c := &crash{host: b.host, at: time.Now()}
	if !b.end(instance) {
		return // it has ended already
	}

	q := p.requests[slices.IndexFunc(p.requests, func(q *poison) bool { return q.copies[id] != nil })]
	c.entry = q.copies[id]
	q.crashes = append(q.crashes, c)

	p.pending.Go(func() {
		if rand.IntN(atOnceOneIn) != 0 {
			time.Sleep(rand.N(poisonPause))
		}

		b.up()

		up := time.Now()
		for !b.announce() && time.Since(up) < startTime {
			time.Sleep(tryPause)
		}

		p.mu.Lock()
		defer p.mu.Unlock()

		c.up, c.told = up, time.Now()
	})
}

// sendCopy sends a copy through a host and waits for the answer.
func (r *run) sendCopy(ctx context.Context, q *poison, h *host) outcome {
	m := message{fmt.Sprintf("%s-%d", q.name, lastID.Add(1)), q.name, q.upload}

	r.poisons.mu.Lock()
	q.copies[m.id] = h
	r.poisons.mu.Unlock()

	o := r.send(ctx, &r.poisons.client, h, m, callTime)
	r.judge(h, o)

	return o
}

// sendFirst sends one copy after the other until one has crashed a backend server and is answered.
func (r *run) sendFirst(ctx context.Context, q *poison, end time.Time, pick func() *host) {
	for !q.answered && ctx.Err() == nil && time.Now().Before(end) {
		r.sendCopy(ctx, q, pick())

		r.poisons.mu.Lock()
		q.answered = len(q.crashes) > 0
		r.poisons.mu.Unlock()

		idle.For(ctx, tryPause)
	}
}

// poisonStart sends copies through a new process as soon as it is ready. The first process of all
// sends the first request, and the others wait for its answer.
func (r *run) poisonStart(ctx context.Context, h *host) {
	deadline := time.Now().Add(startTime)

	for l := h.current(); !h.ready(ctx); idle.For(ctx, tryPause) {
		if idle.Closed(l.ended) || time.Now().After(deadline) {
			return
		}
	}

	r.poisons.first.Do(func() { r.sendFirst(ctx, r.poisons.add(true), deadline, func() *host { return h }) })

	r.poisons.mu.Lock()
	requests := slices.DeleteFunc(slices.Clone(r.poisons.requests), func(q *poison) bool { return !q.answered })
	r.poisons.mu.Unlock()

	for _, q := range requests[max(0, len(requests)-newestPoisons):] {
		for range copiesAtStart {
			r.poisons.pending.Go(func() {
				for i := 0; i < startTries && r.sendCopy(ctx, q, h).status == http.StatusServiceUnavailable; i++ {
					idle.For(ctx, tryPause)
				}
			})
		}
	}
}

// poisonSeries sends new poison requests until a moment. Their copies overlap.
func (r *run) poisonSeries(ctx context.Context, random *rand.Rand, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))

		r.poisons.pending.Go(func() { r.poisonRequest(ctx, own, end) })
		idle.For(ctx, time.Duration(random.Int64N(int64(poisonPause))))
	}
}

// poisonRequest sends a request, and after its answer copies through all hosts, at the same time or
// one after the other.
func (r *run) poisonRequest(ctx context.Context, random *rand.Rand, end time.Time) {
	q := r.poisons.add(random.IntN(2) == 0)
	r.sendFirst(ctx, q, end, func() *host { return r.hosts[random.IntN(len(r.hosts))] })

	for i := 0; q.answered && i < poisonRounds && time.Now().Before(end); i++ {
		var copies sync.WaitGroup

		together := random.IntN(2) == 0

		for _, n := range random.Perm(len(r.hosts)) {
			copies.Go(func() { r.sendCopy(ctx, q, r.hosts[n]) })

			if !together {
				copies.Wait()
			}
		}

		copies.Wait()
		idle.For(ctx, time.Duration(random.Int64N(int64(poisonPause))))
	}
}

// judgePoisons counts the crashes of each request, and those of which the host that ran it could know.
func (r *run) judgePoisons() {
	count := &r.report.Poison

	for _, q := range r.poisons.requests {
		text, most := fmt.Sprintf("poison request %s crashed %d backend servers", q.name, len(q.crashes)), 0

		for i, c := range q.crashes {
			known := 0
			text += fmt.Sprintf("; of %s at %s through %s", c.host.config.Node, c.at.Format(clock), c.entry.config.Node)

			for _, before := range q.crashes[:i] {
				if why := before.hidden(c); why != "" {
					text += fmt.Sprintf(" (may not know of %s: %s)", before.host.config.Node, why)
				} else {
					known++
				}
			}

			most = max(most, known)
		}

		count.Requests, count.Copies, count.Crashes = count.Requests+1, count.Copies+len(q.copies), count.Crashes+len(q.crashes)

		switch {
		case most >= poisonLimit:
			count.InTouch++

			r.report.broken("%s", text)
		case len(q.crashes) > poisonLimit:
			count.Excused = append(count.Excused, text)
		}
	}
}

// hidden says what was done to the hosts so that the one of a later crash may not know of this one.
func (c *crash) hidden(later *crash) string {
	lately := span{later.at.Add(-spreadTime), later.at}
	if c.at.After(lately.from) {
		lately.from = c.at
	}

	switch {
	case c.host.harmed(span{c.at.Add(-onTheWay), c.at.Add(spreadTime)}):
		return "its process was killed or paused"
	case c.entry.harmed(span{c.at.Add(-onTheWay), c.at.Add(onTheWay)}):
		return "the process that sent the call was killed or paused"
	case c.up.Before(c.at.Add(onTheWay)) && later.at.Before(c.told.Add(onTheWay)):
		return "its backend server listened again at " + c.up.Format(clock) + " and told its start at " + c.told.Format(clock)
	case c.host.paused(lately), later.host.paused(lately):
		return "a process was paused"
	}

	return ""
}
