package ledger

import (
	"math"
	"time"
)

const (
	// limitMemory is how long a limit stays in force after the last ask with its version. Asks with an
	// older version don't bring an older limit back meanwhile.
	limitMemory = 5 * time.Second
	// minDepth is the least depth of a bucket in seconds of its rate, so that calls which come in a
	// moment find what was refilled in the moment before.
	minDepth = 0.1
	// spareDepth is the part of the depth below which only calls that wait are granted: spare calls may
	// end unused.
	spareDepth = 0.25
	// maxWait is the longest wait told to a caller: a third of the time that most callers have. Callers
	// that would have to wait longer give up.
	maxWait = 1200 * time.Millisecond
	// parts divide the window in which granted calls are counted.
	parts = 10
)

// bucket is the token bucket of one workspace at its home.
type bucket struct {
	bound     Bound
	limit     Limit
	limitSeen time.Time
	share     float64 // part of the limit that is delegated to this home
	tokens    float64
	at        time.Time // of the last refill
	asked     time.Time
	// settled is when the bucket has what can be expected of it: a new home has taken over by then.
	settled time.Time
	// reserved is until when refused calls were told to come back.
	reserved time.Time

	counts [parts]int
	part   int64
}

// adopt takes the limit of an ask, unless a newer version is in force.
func (b *bucket) adopt(l Limit, now time.Time) {
	if l.Version < b.limit.Version && now.Sub(b.limitSeen) < limitMemory {
		return
	}

	b.limit, b.limitSeen = l, now
	b.tokens = min(b.tokens, b.depth())
}

// depth returns the most tokens that the bucket may hold.
func (b *bucket) depth() float64 {
	if b.share <= 0 {
		return 0
	}

	return max(1, b.bound.Depth(b.limit)*b.share, b.pace()*minDepth)
}

// pace returns the calls a second that are refilled.
func (b *bucket) pace() float64 { return b.bound.Pace(b.limit) * b.share }

// refill adds the tokens of the time since the last refill.
func (b *bucket) refill(now time.Time) {
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		b.tokens += b.pace() * dt
	}

	b.tokens, b.at = min(b.tokens, b.depth()), now
}

// setShare changes the delegated part of the limit from now on.
func (b *bucket) setShare(share float64, now time.Time) {
	b.refill(now)
	b.share = share
	b.tokens = min(b.tokens, b.depth())
}

// take grants an item as far as there are tokens.
func (b *bucket) take(i Item, now time.Time) Grant {
	b.refill(now)

	b.asked = now
	want := i.Need

	if b.tokens-float64(want) > spareDepth*b.depth() {
		want += i.Spare
	}

	n := min(want, int(b.tokens))
	b.tokens -= float64(n)
	b.count(n, now)

	g := Grant{Calls: n, Version: b.limit.Version, Counted: b.counted(), Unready: b.share <= 0 || n < i.Need && now.Before(b.settled)}
	if missing := max(i.Need-n, 0); missing+i.Refused > 0 {
		g.Short = missing > 0
		g.WaitMs, g.SpreadMs = b.reserve(missing+i.Refused, now)
	}

	return g
}

// reserve finds room for refused calls behind those that were refused before.
func (b *bucket) reserve(calls int, now time.Time) (waitMs, spreadMs int64) {
	refill := b.pace()
	if refill <= 0 {
		return (maxWait / 2).Milliseconds(), (maxWait / 2).Milliseconds()
	}

	first := now.Add(seconds((1 - b.tokens) / refill))
	if b.reserved.After(first) {
		first = b.reserved
	}

	spread := seconds(float64(calls) / refill)
	latest := now.Add(maxWait)
	b.reserved = earlier(first.Add(spread), latest)
	first = earlier(first, latest)
	spread = min(spread, maxWait)

	return first.Sub(now).Milliseconds(), spread.Milliseconds()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), math.MaxInt32) * float64(time.Second))
}

// count counts granted calls.
func (b *bucket) count(n int, now time.Time) {
	part := now.UnixNano() / int64(b.bound.Window/parts)
	for p := max(b.part+1, part-parts+1); p <= part; p++ {
		b.counts[p%parts] = 0
	}

	b.part = part
	b.counts[part%parts] += n
}

func (b *bucket) counted() int {
	n := 0
	for _, c := range b.counts {
		n += c
	}

	return n
}
