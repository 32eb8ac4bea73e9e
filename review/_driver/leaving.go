package main

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

const (
	drain = 2 * time.Second
	// storeAway is how long the store answers 503.
	storeAway = 2 * time.Second
	// stays is how long the upstream serves after its confirmation: drain-s and many seconds.
	stays = drain + 15*time.Second
	// atATime machines are stopped every rollPause.
	atATime   = 1
	rollPause = time.Second
)

// leaving has an upstream say that it leaves while the store is away. After the store's return the machines
// are restarted in turn, and a liveness report of the upstream from before arrives late.
func leaving(ctx context.Context, r *record, dir string, trouble bool) (int, error) {
	d, err := newDeployment(dir, r, map[string]any{
		"drain-s": drain.Seconds(), "grace-s": 6, "reuse-after-s": 2, "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 58,
	})
	if err != nil {
		return couldNot, err
	}
	defer d.stopAll()

	const service = "ledger"

	for _, zone := range []string{"nottm-a", "nottm-b", "derby", "leic"} {
		if _, err := d.add(zone, service, 9); err != nil {
			return couldNot, err
		}
	}

	d.store.write("op/config", configuration(3, []string{service}, []route{
		{"file-commit", "files.example", "/commit/", "unsafe", 1.2, 0.5, 0, 2, service},
	}))

	if err := d.startAll(ctx); err != nil {
		return couldNot, err
	}

	traffic, stop := context.WithCancel(ctx)
	defer stop()

	for _, h := range d.hosts {
		c := &requester{host: h}
		go c.follow(traffic)
		go c.stream(traffic, 10, func() call {
			return call{"POST", "files.example", "/commit/" + newID() + "?work=160", "page", 1200 * time.Millisecond}
		})
	}

	time.Sleep(3 * time.Second)

	if trouble {
		r.note("the store answers 503")
		d.store.setDown(true)
	}

	time.Sleep(time.Second)

	leaver := d.hosts[0].upstream
	late := leaver.prepare()

	confirmed, ok := leaver.deregister()
	if !ok {
		r.note("the leaving was not confirmed")

		return held, nil
	}

	r.note("the leaving of the upstream of %s is confirmed", leaver.host.name)
	time.AfterFunc(stays, func() {
		r.note("the upstream of %s exits", leaver.host.name)
		leaver.crash()
	})

	time.Sleep(storeAway - time.Second)

	if trouble {
		d.store.setDown(false)
		r.note("the store is back")
	}

	time.Sleep(200 * time.Millisecond)
	roll(d)

	r.note("a liveness report of the upstream of %s arrives %.1f s late, confirmed: %v", leaver.host.name,
		time.Since(confirmed).Seconds(), leaver.post("/-/Instances.Heartbeat/"+late.instance, late.body))

	time.Sleep(time.Until(confirmed.Add(stays + time.Second)))
	stop()
	time.Sleep(2 * time.Second)

	return judgeDrain(r, d, leaver, confirmed), ctx.Err()
}

// roll restarts all machines, some at a time, and waits until all have started again.
func roll(d *deployment) {
	var all sync.WaitGroup

	for i, h := range d.hosts {
		if i > 0 && i%atATime == 0 {
			time.Sleep(rollPause)
		}

		all.Go(func() { _ = h.restart(grace) })
	}

	all.Wait()

	for _, h := range d.hosts {
		for !h.isReady() {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// report is a liveness report that is not sent yet.
type report struct {
	instance string
	body     []byte
}

// prepare makes the next liveness report.
func (u *upstream) prepare() report {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": u.host.zone, "version": "v1", "slots": u.slots, "state": "ready",
		"warmup-left-s": 0, "sequence": u.sequence, "born": u.born,
	})

	return report{u.instance, body}
}

// deregister says without a report before that the upstream leaves. It asks until it is confirmed, for some
// seconds, and sends no liveness reports from then on.
func (u *upstream) deregister() (time.Time, bool) {
	u.mu.Lock()
	u.silent, u.draining = true, true
	instance := u.instance
	body, _ := json.Marshal(map[string]any{"born": u.born})
	u.mu.Unlock()

	for range 4 {
		if u.post("/-/Instances.Deregister/"+instance, body) {
			return time.Now(), true
		}

		time.Sleep(500 * time.Millisecond)
	}

	return time.Time{}, false
}

// judgeDrain looks for requests that reached the upstream later than drain-s after the confirmation, taken
// and sent on by machines that had run for the stability window.
func judgeDrain(r *record, d *deployment, leaver *upstream, confirmed time.Time) int {
	sent := map[string]*request{}
	for _, q := range r.requests {
		sent[q.id] = q
	}

	count := 0

	for id, runs := range r.runsOf() {
		q := sent[id]
		if q == nil {
			continue
		}

		for _, x := range runs {
			if x.upstream != leaver.service+" at "+leaver.host.name || x.began.Before(confirmed.Add(drain)) {
				continue
			}

			if inTouch(q.host, q.sent) && inTouch(leaver.host, q.sent) {
				count++

				if count <= 5 {
					r.note("DRAIN: %s sent at %s to %s reaches the upstream at %s, %.1f s after the confirmation", id, r.at(q.sent), q.host.name,
						r.at(x.began), x.began.Sub(confirmed).Seconds())
				}
			}
		}
	}

	r.note("%d requests reached the upstream later than drain-s after the confirmation", count)

	if count > 0 {
		return broken
	}

	return held
}

// inTouch reports whether the machine's process ran for the stability window before, without a signal.
func inTouch(h *host, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.started.After(at.Add(-stabilityWindow)) {
		return false
	}

	for _, t := range h.terms {
		if t.After(at.Add(-stabilityWindow)) && t.Before(at) {
			return false
		}
	}

	return true
}
