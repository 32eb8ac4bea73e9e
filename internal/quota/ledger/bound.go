package ledger

import "time"

const (
	// overlapTime is for how long the shares of nodes may be used twice within a window: a cut-off node
	// uses its own share while its delegation lasts, and granted calls run somewhat later.
	overlapTime = 900 * time.Millisecond
	// leastPace is the least part of a rate at which a bucket is refilled.
	leastPace = 0.96
	// depthPart and slackPart are the parts of a burst and of the slack that a bucket may hold. The rest
	// of the burst is granted over the window.
	depthPart = 0.7
	slackPart = 0.5
	// lifePart is the part of the overage that granted calls may use by running later than they were
	// granted. minLife and maxLife bound their life.
	lifePart = 0.6
	minLife  = 20 * time.Millisecond
	maxLife  = time.Second
)

// Bound is what the deployment promises: in any Window a workspace runs at most
// (rate x Window + burst) x (1 + Overage) + Slack calls.
type Bound struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Life returns how long granted calls may wait for callers.
func (b Bound) Life() time.Duration {
	return min(max(time.Duration(lifePart*b.Overage*float64(b.Window)), minLife), maxLife)
}

// Pace returns the calls a second that may run for long. They come to the calls of a whole window, with
// room for shares that are used twice for overlapTime.
func (b Bound) Pace(l Limit) float64 {
	window := b.Window.Seconds()
	allowed := (l.Rate*window+l.Burst)*(1+b.Overage) + b.Slack - b.Depth(l)
	pace := min(allowed/(window+overlapTime.Seconds()), l.Rate+l.Burst/window)

	return max(pace, leastPace*l.Rate)
}

// Depth returns the calls that may run in a moment.
func (b Bound) Depth(l Limit) float64 { return depthPart*l.Burst + slackPart*b.Slack }
