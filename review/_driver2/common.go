package main

import "time"

const (
	routeHost = "ficu95.example"
	routePath = "/lohu930/"

	// stabilityWindow is the bound of the same name.
	stabilityWindow = 3 * time.Second
	// settleTime is the pause after the start of all nodes.
	settleTime = 5 * time.Second
	downTime   = time.Second
	usualLimit = time.Second
	usualPause = 100 * time.Millisecond
)

// deskConfig has one service and one route.
func deskConfig(version int) map[string]any {
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

// usualTraffic sends requests that do no harm.
func (w *world) usualTraffic(n *node, end chan struct{}) {
	c := newClient()

	for {
		select {
		case <-end:
			return
		case <-time.After(usualPause):
			q := request{id: newID(), method: "GET", host: routeHost, uri: routePath + "a", limit: usualLimit}
			w.note("sent  %s to %s", q.id, n.name)
			a := c.send(n, q)
			w.note("got   %s from %s: %d", q.id, n.name, a.status)
		}
	}
}
