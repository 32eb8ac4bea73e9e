package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/standin/platform"
)

// usage is what all nodes together have used so far.
type usage struct {
	at    time.Time
	bytes float64
	cpu   time.Duration
	rssMb float64
	calls int64
	// moves are pushes, offers and pulls of settings.
	moves float64
}

// nodeMetrics is what one node's metrics tell.
type nodeMetrics struct {
	version float64
	since   time.Time
	sent    float64
	moves   float64
}

// usage reads bytes from the nodes' metrics, processor time and memory from
// /proc of the processes that were started, and calls from the platform. A byte
// is counted where it is sent.
func (s *scale) usage(ctx context.Context) (usage, error) {
	u := usage{}

	for _, h := range s.fleet.Hosts {
		pid := s.fleet.Process(harness.NodeName(h.ID)).Pid()

		cpu, err := cpuOf(pid)
		if err != nil {
			return u, err
		}

		rss, err := rssOf(pid)
		if err != nil {
			return u, err
		}

		u.cpu += cpu
		u.rssMb += rss
	}

	var err error
	if u.calls, err = s.platformCalls(ctx); err != nil {
		return u, err
	}

	u.at = time.Now()
	all, err := scrapeAll(ctx, s.fleet)

	for _, m := range all {
		u.bytes += m.sent
		u.moves += m.moves
	}

	return u, err
}

func (s *scale) platformCalls(ctx context.Context) (int64, error) {
	address := s.fleet.Platform[s.fleet.Deployment.FailureDomains[0]]

	resp, err := get(ctx, "http://"+address+"/standin/counts")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()

	var n platform.Counts
	if err := json.NewDecoder(resp.Body).Decode(&n); err != nil {
		return 0, err
	}

	return n.Reads + n.Writes + n.Watches + n.Leases, nil
}

func get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}

	return http.DefaultClient.Do(req)
}

// scrapeAll reads the metrics of all nodes.
func scrapeAll(ctx context.Context, f *harness.Fleet) ([]nodeMetrics, error) {
	const atOnce = 16

	var g errgroup.Group

	g.SetLimit(atOnce)

	all := make([]nodeMetrics, len(f.Hosts))

	for i, h := range f.Hosts {
		g.Go(func() (err error) {
			all[i], err = scrape(ctx, h.Control)

			return err
		})
	}

	return all, g.Wait()
}

func scrape(ctx context.Context, address string) (nodeMetrics, error) {
	resp, err := get(ctx, "http://"+address+"/metrics")
	if err != nil {
		return nodeMetrics{}, err
	}
	defer func() { _ = resp.Body.Close() }()

	var m nodeMetrics

	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, text, _ := strings.Cut(lines.Text(), " ")

		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}

		switch name {
		case "pollencart_settings_version":
			m.version = value
		case "pollencart_settings_in_force_since_seconds":
			whole, part := math.Modf(value)
			m.since = time.Unix(int64(whole), int64(part*float64(time.Second)))
		case "pollencart_peer_sent_bytes":
			m.sent = value
		case "pollencart_settings_pushes", "pollencart_settings_offers", "pollencart_settings_pulls":
			m.moves += value
		}
	}

	return m, nil
}

// cpuOf returns the processor time of a process.
func cpuOf(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}

	// The fields after the name in parentheses, which may have spaces.
	const userField, systemField = 11, 12

	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	ticks := int64(0)

	for _, i := range []int{userField, systemField} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, err
		}

		ticks += n
	}

	const tick = 10 * time.Millisecond

	return time.Duration(ticks) * tick, nil
}

// rssOf returns the resident memory of a process in megabytes.
func rssOf(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}

	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)

	const megabyte = 1 << 20

	return pages * float64(os.Getpagesize()) / megabyte, err
}

func round(v float64) float64 {
	const places = 1000

	return math.Round(v*places) / places
}
