package hosts

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A third crash must not be taken for allowed unless something was done to the hosts that saw the others.
func TestAThirdCrashIsBrokenUnlessItsHostCouldNotKnow(t *testing.T) {
	at := time.Now()
	before, after := at.Add(-time.Second), at.Add(time.Second)

	// The request crashes backend servers of saw, other and runs a second apart.
	for name, c := range map[string]struct {
		change  func(q *poison, saw, runs, entry *host)
		excused int
	}{
		"nothing":       {func(*poison, *host, *host, *host) {}, 0},
		"killed":        {func(_ *poison, saw, _, _ *host) { saw.lives = []*life{{killed: at, over: at}} }, 1},
		"killed before": {func(_ *poison, saw, _, _ *host) { saw.lives = []*life{{killed: before, over: before}} }, 0},
		"stopped":       {func(_ *poison, saw, _, _ *host) { saw.lives = []*life{{asked: at, over: at}} }, 0},
		"entry killed":  {func(_ *poison, _, _, entry *host) { entry.lives = []*life{{killed: at, over: at}} }, 1},
		"entry killed later": {func(_ *poison, _, _, entry *host) {
			entry.lives = []*life{{killed: at.Add(time.Second / 2), over: at.Add(time.Second / 2)}}
		}, 0},
		"started just before": {func(_ *poison, _, runs, _ *host) { runs.lives = []*life{{killed: after, over: after}, {}} }, 0},
		"paused":              {func(_ *poison, _, runs, _ *host) { runs.pauses = []span{{at, after.Add(time.Second)}} }, 1},
		"paused before":       {func(_ *poison, _, runs, _ *host) { runs.pauses = []span{{before, before}} }, 0},
		"start not told":      {func(q *poison, _, _, _ *host) { q.crashes[0].told = at.Add(time.Minute) }, 1},
		"start told":          {func(q *poison, _, _, _ *host) { q.crashes[0].told = after }, 0},
		"down for long":       {func(q *poison, _, _, _ *host) { q.crashes[0].up, q.crashes[0].told = after, at.Add(time.Minute) }, 0},
	} {
		r := &run{report: newReport(1), poisons: &poisons{}}
		saw, other, runs, entry := &host{}, &host{}, &host{}, &host{}
		q := r.poisons.add(true)

		for i, h := range []*host{saw, other, runs} {
			now := at.Add(time.Duration(i) * time.Second)
			q.crashes = append(q.crashes, &crash{host: h, entry: entry, at: now, up: now, told: now})
		}

		c.change(q, saw, runs, entry)
		r.judgePoisons()
		assert.Check(t, len(r.report.Poison.Excused) == c.excused, "%s: %v", name, r.report.Poison.Excused)
		assert.Check(t, len(r.report.Broken) == 1-c.excused, "%s: %v", name, r.report.Broken)
	}
}
