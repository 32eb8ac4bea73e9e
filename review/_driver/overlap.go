package main

import (
	"context"
	"math/rand/v2"
	"time"
)

// Figures of the deployment in demands/awab-mesh-grown.toml.
func awabBounds() map[string]any {
	return map[string]any{
		"drain-s": 2.5, "grace-s": 6, "reuse-after-s": 2, "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 200,
	}
}

const (
	grace     = 6 * time.Second
	lossSlack = 200 * time.Millisecond
	// rollGap is the pause between two machines of a rolling restart.
	rollGap = 1300 * time.Millisecond
	// seatLimit is the time limit of seat-confirm.
	seatLimit = 5 * time.Second
	// seatWork and longSeatWork are how long it takes; the long ones are within its time limit.
	seatWork     = "420"
	longSeatWork = "3600"
)

// overlap restarts the machines in turn while requesters confirm seats.
func overlap(ctx context.Context, r *record, dir string, trouble bool) (int, error) {
	d, err := newDeployment(dir, r, awabBounds())
	if err != nil {
		return couldNot, err
	}
	defer d.stopAll()

	const service = "desk"

	for i := range 9 {
		zone := "muscat-" + string(rune('a'+i%3))

		if _, err := d.add(zone, service, 18); err != nil {
			return couldNot, err
		}
	}

	d.store.write("op/config", configuration(3, []string{service}, []route{
		{"seat-confirm", "seats.example", "/confirm/", "unsafe", seatLimit.Seconds(), 1.2, 0, 2, service},
	}))

	if err := d.startAll(ctx); err != nil {
		return couldNot, err
	}

	traffic, stop := context.WithCancel(ctx)
	defer stop()

	for _, h := range d.hosts {
		c := &requester{host: h}
		go c.follow(traffic)
		go c.stream(traffic, 8, func() call {
			work := seatWork
			if rand.IntN(10) < 3 {
				work = longSeatWork
			}

			return call{"POST", "seats.example", "/confirm/" + newID() + "?work=" + work, "seat", seatLimit}
		})
	}

	time.Sleep(6 * time.Second)

	for _, h := range d.hosts {
		if trouble {
			go func() { _ = h.restart(grace) }()
		}

		time.Sleep(rollGap)
	}

	time.Sleep(9 * time.Second)
	stop()
	time.Sleep(seatLimit + time.Second)

	return judgeLost(r), ctx.Err()
}

// judgeLost looks for requests that the machine which took them broke off around its SIGTERM: an upstream
// was at work, and the requester got an answer of the node or none.
func judgeLost(r *record) int {
	runs := r.runsOf()
	result := held
	counts := map[string]int{}

	for _, q := range r.requests {
		if q.status != 0 && q.signed {
			counts["served or failed by an upstream"]++

			continue
		}

		why := excuse(q, runs[q.id])
		counts[why]++

		if why == "LOST" {
			result = broken

			x := runs[q.id][len(runs[q.id])-1]
			r.note("LOST: %s sent at %s to %s, at work from %s to %s by %s, then: status %d %s %s",
				q.id, r.at(q.sent), q.host.name, r.at(x.began), r.at(x.ended), x.upstream, q.status, q.body, q.failure)
		}
	}

	for why, n := range counts {
		r.note("%d requests: %s", n, why)
	}

	return result
}

// excuse says why a request without an upstream's answer doesn't count, or "LOST".
func excuse(q *request, runs []*run) string {
	if len(runs) == 0 {
		return "not run"
	}

	last := runs[len(runs)-1]

	switch {
	case last.how != "dropped":
		return "the upstream had ended its work by itself"
	case last.ended.After(q.ended.Add(lossSlack)):
		return "the requester left"
	case q.ended.Sub(q.sent) > q.limit*95/100:
		return "the time limit was reached"
	}

	for _, at := range q.host.terms {
		if q.ended.Before(at) || q.ended.After(at.Add(grace+time.Second)) {
			continue
		}

		lastSixth := at.Add(grace * 5 / 6)
		if !q.ended.Before(lastSixth) && q.sent.Before(at.Add(3*time.Second)) {
			return "the upstream was at work in the last sixth of the grace time"
		}

		return "LOST"
	}

	return "broken off, but no SIGTERM of the machine that took it"
}
