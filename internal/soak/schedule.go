package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pollencart/pollencart/internal/harness"
)

// Kind is a kind of fault or operation.
type Kind string

// The kinds.
const (
	KindKillNodes     Kind = "KillNodes"
	KindFreezeNode    Kind = "FreezeNode"
	KindDrainNode     Kind = "DrainNode"
	KindCutDomain     Kind = "CutDomain"
	KindCutOneWay     Kind = "CutOneWay"
	KindCutPlatform   Kind = "CutPlatform"
	KindPlatformDown  Kind = "PlatformDown"
	KindPlatformSlow  Kind = "PlatformSlow"
	KindLoseAnswers   Kind = "LoseAnswers"
	KindRestoreOlder  Kind = "RestoreOlder"
	KindKillBackend   Kind = "KillBackend"
	KindSlowBackend   Kind = "SlowBackend"
	KindHangBackend   Kind = "HangBackend"
	KindShedBackend   Kind = "ShedBackend"
	KindServiceDown   Kind = "ServiceDown"
	KindDrainBackend  Kind = "DrainBackend"
	KindAccept        Kind = "Accept"
	KindRaceSame      Kind = "RaceSame"
	KindRaceDifferent Kind = "RaceDifferent"
	KindPoison        Kind = "Poison"
)

const (
	herdShare    = 3 // a herd is at most a third of the nodes
	leastFaultMs = 500
)

// weights say how often a kind is drawn in the random phase.
var weights = []struct {
	kind   Kind
	weight int
}{
	{KindKillNodes, 3}, {KindFreezeNode, 3}, {KindDrainNode, 2}, {KindCutDomain, 2}, {KindCutOneWay, 1},
	{KindCutPlatform, 2}, {KindPlatformDown, 2}, {KindPlatformSlow, 1}, {KindLoseAnswers, 2}, {KindRestoreOlder, 1},
	{KindKillBackend, 3}, {KindSlowBackend, 2}, {KindHangBackend, 1}, {KindShedBackend, 1}, {KindServiceDown, 2}, {KindDrainBackend, 2},
	{KindAccept, 8}, {KindRaceSame, 2}, {KindRaceDifferent, 2}, {KindPoison, 3},
}

// Kinds returns the names of all kinds.
func Kinds() []string {
	out := make([]string, len(weights))
	for i, w := range weights {
		out[i] = string(w.kind)
	}

	return out
}

// Step is one fault or operation of the schedule.
type Step struct {
	At      time.Duration
	For     time.Duration
	Kind    Kind
	Hosts   []int
	Domain  string
	Count   int
	Planned bool
}

// String returns the step on one line.
func (s Step) String() string {
	var target string

	switch {
	case s.Domain != "":
		target = s.Domain
	case len(s.Hosts) > 0:
		target = fmt.Sprint(s.Hosts)
	case s.Count > 0:
		target = fmt.Sprint(s.Count)
	}

	return strings.TrimRight(fmt.Sprintf("%7s for %6s %-14s %s", s.At, s.For, s.Kind, target), " ")
}

// Round is a random phase, in which anything may come at any moment, and a
// planned phase, in which nodes and backend servers are stopped gracefully and
// nothing else happens.
type Round struct {
	Random  []Step
	Planned []Step
}

// Lengths of the phases.
type Lengths struct {
	Random  time.Duration
	Planned time.Duration
	// Gap is the mean time between two steps of the random phase.
	Gap time.Duration
	// Kinds are drawn in the random phase instead of the usual mix, each as often as
	// it stands here.
	Kinds []Kind
	// Stops is how many nodes and backend servers are stopped in a planned phase, one
	// after the other and, the more there are, beside each other; usualStops if 0.
	Stops int
}

const usualStops = 4

// Schedule makes the rounds from the seed alone, so that a seed that found a
// fault plays the same faults again.
func Schedule(seed uint64, rounds int, l Lengths, d harness.Deployment, hosts []harness.Host) []Round {
	const stream = 7

	g := &generator{rand: rand.New(rand.NewPCG(seed, stream)), deployment: d, hosts: len(hosts), lengths: l}
	out := make([]Round, rounds)

	for i := range out {
		out[i] = Round{Random: g.random(), Planned: g.planned()}
	}

	return out
}

type generator struct {
	rand       *rand.Rand
	deployment harness.Deployment
	hosts      int
	lengths    Lengths
}

func (g *generator) random() []Step {
	var steps []Step

	for at := time.Duration(0); at < g.lengths.Random; at += g.between(0, 2*g.lengths.Gap) {
		left := g.lengths.Random - at
		s := Step{At: at, Kind: g.kind(), For: g.between(leastFaultMs*time.Millisecond, max(left, time.Second))}
		steps = append(steps, g.target(s))
	}

	return steps
}

// between returns a time rounded to milliseconds.
func (g *generator) between(from, to time.Duration) time.Duration {
	return (from + time.Duration(g.rand.Int64N(int64(max(to-from, 1))))).Round(time.Millisecond)
}

func (g *generator) kind() Kind {
	if n := len(g.lengths.Kinds); n > 0 {
		return g.lengths.Kinds[g.rand.IntN(n)]
	}

	total := 0
	for _, w := range weights {
		total += w.weight
	}

	n := g.rand.IntN(total)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}

	return KindAccept
}

func (g *generator) target(s Step) Step {
	switch s.Kind {
	case KindKillNodes:
		s.Hosts = g.some(1 + g.rand.IntN(max(g.hosts/herdShare, 1)))
	case KindFreezeNode, KindDrainNode, KindKillBackend, KindSlowBackend, KindHangBackend, KindShedBackend, KindDrainBackend:
		s.Hosts = g.some(1)
	case KindServiceDown:
		s.Hosts = g.service()
	case KindCutDomain, KindCutOneWay, KindCutPlatform:
		s.Domain = g.deployment.FailureDomains[g.rand.IntN(len(g.deployment.FailureDomains))]
	case KindLoseAnswers, KindAccept, KindRaceSame, KindRaceDifferent, KindPoison:
		s.Count = 1 + g.rand.IntN(3) //nolint:mnd // up to three at once
	case KindPlatformDown, KindPlatformSlow, KindRestoreOlder:
	}

	return s
}

// service returns the hosts of one service; the list of hosts goes service by
// service.
func (g *generator) service() []int {
	chosen, first := g.rand.IntN(len(g.deployment.Services)), 0

	var out []int

	for i, s := range g.deployment.Services {
		for n := range s.Upstreams {
			if i == chosen {
				out = append(out, first+n)
			}
		}

		first += len(s.Upstreams)
	}

	return out
}

func (g *generator) some(n int) []int {
	out := g.rand.Perm(g.hosts)[:n]
	slices.Sort(out)

	return out
}

// planned stops each chosen node and backend server after the other.
func (g *generator) planned() []Step {
	stops := g.lengths.Stops
	if stops == 0 {
		stops = usualStops
	}

	var steps []Step

	gap := g.lengths.Planned / time.Duration(stops+1)

	for i, host := range g.some(min(stops, g.hosts)) {
		kind := KindDrainNode
		if i%2 == 1 {
			kind = KindDrainBackend
		}

		steps = append(steps, Step{
			At: time.Duration(i) * gap, For: gap, Kind: kind, Hosts: []int{host}, Planned: true,
		})
	}

	return steps
}

// Print returns the schedule as text.
func Print(rounds []Round) string {
	var b strings.Builder

	for i, r := range rounds {
		fmt.Fprintf(&b, "round %d, random phase\n", i+1)

		for _, s := range r.Random {
			fmt.Fprintf(&b, "  %s\n", s)
		}

		fmt.Fprintf(&b, "round %d, planned stops\n", i+1)

		for _, s := range r.Planned {
			fmt.Fprintf(&b, "  %s\n", s)
		}
	}

	return b.String()
}
