package main

import (
	"context"
	"syscall"
	"time"
)

const (
	// stabilityWindow is stability-window-s.
	stabilityWindow = 3 * time.Second
	// retryEvery is the pause between two attempts of the request that crashes upstreams.
	retryEvery = 5 * time.Second
	// herds is how often the processes of the service are killed at the same moment.
	herds = 3
	// mostRetries may reach upstreams after the third crash.
	mostRetries = 3
)

// poison has a requester send a request again that crashes each upstream which runs it, while all processes
// beside the upstreams of its service are killed at the same moment, three times.
func poison(ctx context.Context, r *record, dir string, trouble bool) (int, error) {
	d, err := newDeployment(dir, r, map[string]any{
		"drain-s": 2, "grace-s": 6, "reuse-after-s": 2, "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 64,
	})
	if err != nil {
		return couldNot, err
	}
	defer d.stopAll()

	const small, large = "agenda", "registro"

	for i, service := range []string{small, small, small, large, large, large, large, large, large} {
		if _, err := d.add("sul-"+string(rune('a'+i%3)), service, 12); err != nil {
			return couldNot, err
		}
	}

	d.store.write("op/config", configuration(3, []string{small, large}, []route{
		{"retest-book", "book.example", "/book/", "unsafe", 1.2, 0.5, 0, 2, small},
		{"device-lookup", "look.example", "/look/", "safe", 1.5, 0.6, 1, 2, large},
	}))

	if err := d.startAll(ctx); err != nil {
		return couldNot, err
	}

	traffic, stop := context.WithCancel(ctx)
	defer stop()

	for _, h := range d.hosts {
		c := &requester{host: h}
		go c.follow(traffic)
		go c.stream(traffic, 2, func() call {
			return call{"POST", "book.example", "/book/" + newID() + "?work=180", "slot", 1200 * time.Millisecond}
		})
	}

	var (
		bad    = call{"POST", "book.example", "/book/7c41?work=40&crash=1", "the same body", 1200 * time.Millisecond}
		tries  []*request
		starts []time.Time
	)

	try := func() {
		h := d.hosts[len(d.hosts)-1-len(tries)%6] // at machines that run on
		q := (&requester{host: h}).send(bad)
		r.note("attempt %d at %s: %d %s", len(tries)+1, h.name, q.status, q.body)

		tries = append(tries, q)
	}

	for round := range 1 + herds {
		if round > 0 && trouble {
			if err := herd(d, small); err != nil {
				return couldNot, err
			}

			starts = append(starts, time.Now())
		}

		for range 3 {
			time.Sleep(retryEvery)
			try()
		}
	}

	stop()
	time.Sleep(2 * time.Second)

	return judgePoison(r, d, tries, starts), ctx.Err()
}

// herd kills the processes beside the upstreams of a service at the same moment, and starts them again.
func herd(d *deployment, service string) error {
	var all []*host

	for _, h := range d.hosts {
		if h.upstream.service == service {
			all = append(all, h)
			h.signal(syscall.SIGKILL)
		}
	}

	time.Sleep(300 * time.Millisecond)

	for _, h := range all {
		<-h.done

		if err := h.start(); err != nil {
			return err
		}
	}

	return nil
}

// judgePoison counts the attempts that reached an upstream, sent later than the stability window after the
// third crash, with all processes running for that long.
func judgePoison(r *record, d *deployment, tries []*request, starts []time.Time) int {
	d.mu.Lock()
	crashes := d.crashes
	d.mu.Unlock()

	r.note("%d crashes of upstreams by one request", len(crashes))

	if len(crashes) < 3 {
		return held
	}

	runs := r.runsOf()
	reached := 0

	for _, q := range tries {
		inTouch := true

		for _, at := range starts {
			if q.sent.After(at.Add(-time.Second)) && q.sent.Before(at.Add(stabilityWindow)) {
				inTouch = false
			}
		}

		if q.sent.After(crashes[2].Add(stabilityWindow)) && inTouch && len(runs[q.id]) > 0 {
			reached++

			r.note("counts: %s sent at %s", q.id, r.at(q.sent))
		}
	}

	r.note("%d retries reached upstreams, %d may", reached, mostRetries)

	if reached > mostRetries {
		return broken
	}

	return held
}
