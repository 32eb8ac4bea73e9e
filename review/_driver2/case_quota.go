package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// The limit of the tenant, and what the deployment promises of it.
const (
	quotaRate    = 120.0
	quotaBurst   = 120.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0

	tenantName = "huka270"
	tenantKey  = "ta828m82thhkmgjqnirt"
)

// The traffic of the tenant, over all machines. Its limit is 1.6 times what it usually sends.
const (
	usualDemand = quotaRate / 1.6
	hotFactor   = 7.5
	hotTime     = 6500 * time.Millisecond
	timeLimit   = 2 * time.Second
)

// The disruption: the store does not answer, and meanwhile all processes are killed.
const (
	outage       = 4500 * time.Millisecond
	killAfter    = 500 * time.Millisecond
	restartAfter = 1600 * time.Millisecond
	hotBefore    = 2500 * time.Millisecond // of the end of the outage
)

func quotaConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "path-prefix", "kind", "timeout-s", "target-latency-s", "priority", "service", "attempts", "public", "weighted-clusters"},
			"rows":    [][]any{{"r-1", routeHost, routePath, "safe", 2, 1, 0, "desk", 2, false, nil}},
		},
		"services": map[string]any{
			"columns": []string{"name", "health-path", "max-connections", "protocol", "tls"},
			"rows":    [][]any{{"desk", "/health", 540, "h1", false}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
		"tenants": map[string]any{
			"columns": []string{"name", "api-keys", "priority", "rate-per-s", "burst"},
			"rows":    [][]any{{tenantName, []string{tenantKey}, 1, quotaRate, quotaBurst}},
		},
	}
}

// tenantTraffic is what the requesters of the tenant send.
type tenantTraffic struct {
	world *world
	kept  *client
	fresh *client // each retry is on a new connection
	end   chan struct{}
	wg    sync.WaitGroup

	mu     sync.Mutex
	demand float64
	sent   map[string]time.Time
	counts map[int]int
}

func (t *tenantTraffic) setDemand(perSecond float64) {
	t.world.note("the tenant sends %.0f requests a second", perSecond)

	t.mu.Lock()
	defer t.mu.Unlock()

	t.demand = perSecond
}

func (t *tenantTraffic) pause() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()

	return time.Duration(float64(time.Second) * float64(len(t.world.nodes)) / t.demand)
}

// requesters sends the share of one machine.
func (t *tenantTraffic) requesters(n *node) {
	for {
		select {
		case <-t.end:
			return
		case <-time.After(t.pause()):
			t.wg.Go(func() { t.request(n) })
		}
	}
}

// request sends one request, and once more if it was refused or failed, after the time that the answer
// names, up to a third of the time that is left.
func (t *tenantTraffic) request(n *node) {
	began := time.Now()
	a := t.attempt(t.kept, n, timeLimit)

	if a.status == 200 {
		return
	}

	time.Sleep(min(a.retryAfter, (timeLimit-time.Since(began))/3))
	t.attempt(t.fresh, n, timeLimit-time.Since(began))
}

func (t *tenantTraffic) attempt(c *client, n *node, limit time.Duration) answer {
	q := request{id: newID(), method: "GET", host: routeHost, uri: routePath + "a", key: tenantKey, limit: limit}

	t.mu.Lock()
	t.sent[q.id] = time.Now()
	t.mu.Unlock()

	t.world.note("sent  %s to %s", q.id, n.name)
	a := c.send(n, q)
	t.world.note("got   %s from %s: %d", q.id, n.name, a.status)

	t.mu.Lock()
	t.counts[a.status]++
	t.mu.Unlock()

	return a
}

// quotaCase has a tenant send more than its limit after all processes were killed while the store was away.
func quotaCase(w *world) int {
	w.bounds = map[string]any{"QuotaWindowSeconds": quotaWindow.Seconds(), "QuotaOverage": quotaOverage, "QuotaSlack": quotaSlack}
	for k, v := range bounds {
		w.bounds[k] = v
	}

	w.store.silent = true
	w.store.write("op/config", quotaConfig(7))

	for i := range 12 {
		w.addNode(fmt.Sprintf("sidecar-%d", i+1), fmt.Sprintf("zone-%d", i%3+1), "desk", 18, 30*time.Millisecond)
	}

	if err := w.startAll(); err != nil {
		return fail(err)
	}

	t := &tenantTraffic{
		world: w, kept: newClient(), fresh: newFreshClient(), end: make(chan struct{}), sent: map[string]time.Time{}, counts: map[int]int{},
	}
	t.setDemand(usualDemand)

	for _, n := range w.nodes {
		t.wg.Go(func() { t.requesters(n) })
	}

	time.Sleep(8 * time.Second)

	if err := t.disrupt(); err != nil {
		return fail(err)
	}

	time.Sleep(hotTime - hotBefore)
	t.setDemand(usualDemand)
	time.Sleep(4 * time.Second)
	close(t.end)
	t.wg.Wait()

	return t.judge()
}

// disrupt returns at the end of the outage.
func (t *tenantTraffic) disrupt() error {
	w := t.world
	began := time.Now()

	if w.trouble {
		w.note("the store does not answer")
		w.store.setDown(true)
		time.Sleep(killAfter)

		if err := w.killAll(restartAfter); err != nil {
			return err
		}
	}

	time.Sleep(time.Until(began.Add(outage - hotBefore)))
	t.setDemand(hotFactor * usualDemand)
	time.Sleep(time.Until(began.Add(outage)))

	if w.trouble {
		w.note("the store answers again")
		w.store.setDown(false)
	}

	return nil
}

// judge looks for the window with the most requests that were both sent and run in it.
func (t *tenantTraffic) judge() int {
	w := t.world

	w.mu.Lock()
	runs := append([]run(nil), w.runs...)
	w.mu.Unlock()

	sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })

	most, from := 0, time.Time{}

	for _, first := range runs {
		start, n := t.sent[first.id], 0

		for _, r := range runs {
			if !t.sent[r.id].Before(start) && r.at.Sub(start) <= quotaWindow && r.tenant == tenantName {
				n++
			}
		}

		if n > most {
			most, from = n, start
		}
	}

	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	w.note("answers by status (0: none): %v", t.counts)
	w.note("at most %d requests of the tenant were sent and run within %s, from %.3f s on; %.0f are allowed",
		most, quotaWindow, from.Sub(w.began).Seconds(), allowed)
	fmt.Printf("QUOTA: %d sent and run within %s, %.0f allowed; answers %v\n", most, quotaWindow, allowed, t.counts)

	switch {
	case t.counts[200] == 0:
		return couldNotRun
	case float64(most) > allowed:
		return broken
	}

	return held
}
