package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// stabilityWindow is the bound of the same name; mostRetries is what the rule allows.
	stabilityWindow = 3 * time.Second
	mostRetries     = 3
	// crashesBefore is the number of crashes after which retries count.
	crashesBefore = 3
	poisonLimit   = time.Second
	// wavePause is the pause between two waves of the request. Crashed servers are back within it.
	wavePause = 5 * time.Second
	downTime  = time.Second
	// waveSpread is the time within which the requesters of a wave send.
	waveSpread = 100 * time.Millisecond
	waves      = 2 // before and after the disruption
)

func poisonConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "path-prefix", "kind", "timeout-s", "target-latency-s", "priority", "service", "attempts"},
			"rows":    [][]any{{"r-1", routeHost, routePath, "safe", 2, 0.4, 0, "desk", 2}},
		},
		"services": map[string]any{
			"columns": []string{"name", "health-path", "max-connections"}, "rows": [][]any{{"desk", "/health", 110}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-s": 3, "idle-timeout-s": 15},
	}
}

// poisonCase has a request that crashes each server that runs it come again after all processes were killed.
func poisonCase(w *world) int {
	w.store.write("op/config", poisonConfig(7))

	for i := range 8 {
		w.addNode(fmt.Sprintf("sidecar-%d", i+1), fmt.Sprintf("zone-%d", i%4+1), "desk", 9, 30*time.Millisecond)
	}

	if err := w.startAll(); err != nil {
		return fail(err)
	}

	time.Sleep(wavePause)

	end := make(chan struct{})

	var usual sync.WaitGroup

	for _, n := range w.nodes {
		usual.Go(func() { w.usualTraffic(n, end) })
	}

	c := newFreshClient()

	for range waves {
		w.wave(c)
		time.Sleep(wavePause)
	}

	if w.trouble {
		if err := w.killAll(downTime); err != nil {
			return fail(err)
		}

		if err := w.awaitReady(10 * time.Second); err != nil {
			return fail(err)
		}

		w.note("all nodes are ready")
	}

	time.Sleep(wavePause)

	for range waves {
		w.wave(c)
		time.Sleep(wavePause)
	}

	close(end)
	usual.Wait()

	return w.judgePoison()
}

// usualTraffic sends requests that do no harm.
func (w *world) usualTraffic(n *node, end chan struct{}) {
	c := newClient()

	for {
		select {
		case <-end:
			return
		case <-time.After(100 * time.Millisecond):
			c.send(n, request{id: newID(), method: "GET", host: routeHost, uri: routePath + "a", limit: poisonLimit})
		}
	}
}

// wave sends the request to each machine once within waveSpread, as users do who open the same page. Each
// requester retries once.
func (w *world) wave(c *client) {
	var wg sync.WaitGroup

	for _, n := range w.nodes {
		wg.Go(func() {
			left := poisonLimit

			time.Sleep(rand.N(waveSpread))

			for range 2 {
				q := request{id: "p" + newID(), method: "GET", host: routeHost, uri: routePath + crashPart[1:], limit: left}
				began := time.Now()

				w.note("sent  %s to %s", q.id, n.name)
				a := c.send(n, q)
				w.note("got   %s from %s: %d %s", q.id, n.name, a.status, a.body)

				left -= time.Since(began)
				pause := min(a.retryAfter, left/3)
				left -= pause
				time.Sleep(pause)

				if left < 10*time.Millisecond {
					return
				}
			}
		})
	}

	wg.Wait()
}

// judgePoison counts the retries that reached a server later than stabilityWindow after the third crash.
func (w *world) judgePoison() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	if len(w.crashes) < crashesBefore {
		fmt.Printf("POISON: only %d crashes\n", len(w.crashes))
		w.line(time.Now(), "only %d crashes", len(w.crashes))

		return couldNotRun
	}

	third, retries := w.crashes[crashesBefore-1], 0

	for _, r := range w.runs {
		if r.id[0] == 'p' && r.at.Sub(third) > stabilityWindow {
			retries++
		}
	}

	text := fmt.Sprintf("%d crashes, %d retries reached a server later than %s after the third; %d are allowed",
		len(w.crashes), retries, stabilityWindow, mostRetries)
	w.line(time.Now(), "%s", text)
	fmt.Println("BUDGET: " + text)

	if retries > mostRetries {
		return broken
	}

	return held
}
