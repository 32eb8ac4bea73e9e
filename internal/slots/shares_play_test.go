package slots_test

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/slots"
)

const (
	playGates      = 12
	playSlots      = 18
	playWorkspaces = 82
	playHot        = 6 // times its usual
	playUsual      = 15 * time.Second
	playBurst      = 30 * time.Second
)

// hotWorkspaces send playHot times their usual in the second part of a play; number 0 is the largest.
var hotWorkspaces = []int{2, 6, 13, 25, 44, 70}

// sharesPlay sends calls of many workspaces to the queues of several backend servers.
type sharesPlay struct {
	seed    uint64
	queues  []*slots.Queue
	results [playWorkspaces]results
	named   bool // calls have a workspace
	wg      sync.WaitGroup
}

// usualRates returns the calls a second of each workspace by Zipf 1.2, and with hot ones the given
// multiple of what all slots can run.
func usualRates(took time.Duration, load float64) [playWorkspaces]float64 {
	var (
		rates [playWorkspaces]float64
		hot   float64
	)

	for i := range rates {
		rates[i] = math.Pow(float64(i+1), -1.2)

		hot += rates[i]
		if slices.Contains(hotWorkspaces, i) {
			hot += rates[i] * (playHot - 1)
		}
	}

	for i := range rates {
		rates[i] *= load * playGates * playSlots / took.Seconds() / hot
	}

	return rates
}

// run plays the usual load, then the burst, and counts the calls of the burst.
func (p *sharesPlay) run(w workload, load float64) {
	for range playGates {
		p.queues = append(p.queues, newQueue(playSlots))
	}

	for i, rate := range usualRates(w.took, load) {
		p.wg.Go(func() { p.send(w, i, rate) })
	}

	p.wg.Wait()
}

// send sends the calls of one workspace.
func (p *sharesPlay) send(w workload, workspace int, rate float64) {
	random, began := rand.New(rand.NewPCG(p.seed, uint64(workspace))), time.Now()

	for {
		now, r := rate, &results{}

		switch since := time.Since(began); {
		case since > playUsual+playBurst:
			return
		case since > playUsual:
			if r = &p.results[workspace]; slices.Contains(hotWorkspaces, workspace) {
				now *= playHot
			}
		}

		time.Sleep(min(time.Duration(random.ExpFloat64()/now*float64(time.Second)), playUsual))

		tries, took := random.Perm(playGates), w.sampleServiceTime(random)
		p.wg.Go(func() { p.call(w, workspace, tries, took, r) })
	}
}

// call sends one call to the less busy of two queues, and to a third one if that rejects it.
func (p *sharesPlay) call(w workload, workspace int, tries []int, took time.Duration, r *results) {
	first := p.queues[tries[0]]
	if other := p.queues[tries[1]]; other.Busy() < first.Busy() {
		first = other
	}

	start := time.Now()
	work := slots.Work{Route: w.route, Rank: w.rank, Target: start.Add(w.target), Deadline: start.Add(w.deadline), Elsewhere: true}

	if p.named {
		work.Workspace = strconv.Itoa(workspace)
	}

	s, err := first.Enter(context.Background(), work)
	if err != nil {
		work.Elsewhere = false
		s, err = p.queues[tries[2]].Enter(context.Background(), work)
	}

	if err == nil {
		time.Sleep(took)
		s.Leave(took)
	}

	r.count(w, start, err)
}

func (r *results) count(w workload, start time.Time, err error) {
	r.Lock()
	defer r.Unlock()

	r.sent++

	switch {
	case err != nil:
		r.rejected++
		r.took = append(r.took, time.Since(start))
	case time.Since(start) <= w.target:
		r.onTime++
	default:
		r.late++
	}
}

// shareOutcome is what the workspaces got.
type shareOutcome struct {
	onTime, keepers, worstKeepers, worst, hot, leastServed, refusedAfter float64
}

func (p *sharesPlay) outcome() shareOutcome {
	var (
		out                  shareOutcome
		sent, onTime, served int
		all, keepers         []float64
		took                 []time.Duration
	)

	for i := range p.results {
		r := &p.results[i]
		sent, onTime, served = sent+r.sent, onTime+r.onTime, served+r.onTime+r.late
		took = append(took, r.took...)

		if r.sent == 0 {
			continue
		}

		all = append(all, r.onTimeShare())

		if slices.Contains(hotWorkspaces, i) {
			out.hot += r.onTimeShare() / float64(len(hotWorkspaces))
		} else {
			keepers = append(keepers, r.onTimeShare())
		}
	}

	out.leastServed = 1
	for i := range p.results {
		if r := &p.results[i]; r.sent > 0 {
			out.leastServed = min(out.leastServed, float64(r.onTime+r.late)/float64(r.sent)/(float64(served)/float64(sent)))
		}
	}

	slices.Sort(took)
	out.onTime = float64(onTime) / float64(sent)
	out.keepers, out.worstKeepers, out.worst = mean(keepers), mean(worstTenth(keepers)), mean(worstTenth(all))

	if len(took) > 0 {
		out.refusedAfter = took[len(took)*9/10].Seconds()
	}

	return out
}

func worstTenth(shares []float64) []float64 {
	slices.Sort(shares)

	return shares[:max(len(shares)/10, 1)]
}

func mean(all []float64) float64 {
	sum := 0.0
	for _, f := range all {
		sum += f
	}

	return sum / float64(max(len(all), 1))
}

// playShares returns what the workspaces got in the plays of several seeds together. In one play the
// smallest workspaces have some forty calls, and chance alone puts a tenth of them far under the mean.
func playShares(t *testing.T, load float64, named bool, seeds int) shareOutcome {
	t.Helper()

	all := &sharesPlay{}

	for seed := range seeds {
		synctest.Test(t, func(*testing.T) {
			p := &sharesPlay{seed: uint64(seed), named: named}
			p.run(workload{route: "status", took: 320 * ms, target: 1000 * ms, deadline: 4000 * ms, spread: 0.5}, load)
			all.add(p)
		})
	}

	o := all.outcome()
	t.Logf("load %.1f, workspaces %t: on time %.3f; those that keep to their usual %.3f, worst tenth of them %.3f; "+
		"worst tenth of all %.3f, hot ones %.3f, least served / all %.3f, refused after %.0f ms (90th percentile)",
		load, named, o.onTime, o.keepers, o.worstKeepers, o.worst, o.hot, o.leastServed, 1000*o.refusedAfter)

	return o
}

func (p *sharesPlay) add(o *sharesPlay) {
	for i := range o.results {
		mine, theirs := &p.results[i], &o.results[i]
		mine.sent, mine.onTime, mine.late = mine.sent+theirs.sent, mine.onTime+theirs.onTime, mine.late+theirs.late
		mine.took = append(mine.took, theirs.took...)
	}
}

// Six workspaces send six times their usual. Those that keep to theirs must get nearly all that they
// ask for as long as there is room for it, equally well served, and no less may be on time in all.
func TestHotWorkspacesDoNotCrowdOutTheOthers(t *testing.T) {
	const tolerance = 0.01 // of two measurements of the same queue

	loads, seeds := []float64{1.3, 2}, 4
	if raceDetected { // a call takes six times as long
		loads, seeds = loads[:1], 1
	}

	for _, load := range loads {
		before, fair := playShares(t, load, false, 1), playShares(t, load, true, seeds)
		assert.Check(t, fair.worstKeepers > before.keepers)
		assert.Check(t, fair.worst > before.worst)
		assert.Check(t, fair.leastServed > 0.4)
		assert.Check(t, fair.onTime > before.onTime-tolerance)

		if seeds > 1 { // with the calls of one seed, chance alone puts the worst tenth lower
			assert.Check(t, fair.worstKeepers > 0.9*fair.keepers)
		}
	}
}
