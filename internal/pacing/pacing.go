// Package pacing spaces the starts of calls at a backend server that names a limit in calls a
// second.
//
// # Windows
//
// The limit holds for any span of time, not only for spans that begin at a full second, and for
// all nodes together. All calls to a backend server pass the node on its host, so one count there
// suffices. In a span of length T at most limit * (T + BurstTime) + 1 calls start.
//
// An allowance that is saved up while no calls come would be a burst, so at most BurstTime of it
// is kept. A process that has just learned of the limit starts with none: an earlier process may
// have used it.
//
// A backend server whose limit is below MinRate gets calls at MinRate. Without any call it could not
// say that its need has ended.
//
// # Usage
//
//	p := pacing.New()
//	p.Limit(8.2, now)
//	if p.Wait(1, now) == 0 {
//		p.Start(now)
//	}
package pacing

import "time"

const (
	// BurstTime is the time for which unused allowance is kept.
	BurstTime = 250 * time.Millisecond
	// MinRate is the lowest rate, in calls a second.
	MinRate = 0.5
	// MaxRate is the highest rate, in calls a second. No backend server comes near it.
	MaxRate = 1e6
)

// Pacer says when calls may start. It is not safe for concurrent use.
type Pacer struct {
	limited bool
	limit   float64 // as it was named
	since   time.Time
	started int
	// full is when the allowance of BurstTime would be whole if no call started until then.
	full time.Time
}

// New returns a pacer without a limit.
func New() *Pacer { return &Pacer{} }

// Limit sets the limit in calls a second. Allowance that is used up stays so.
func (p *Pacer) Limit(limit float64, now time.Time) {
	if p.limited && limit == p.limit {
		return
	}

	used := 1 + BurstTime.Seconds()*rate(limit) // calls
	if p.limited {
		used = max(p.full.Sub(now).Seconds(), 0) * rate(p.limit)
	} else {
		p.since, p.started = now, 0
	}

	p.limited, p.limit = true, limit
	p.full = now.Add(p.timeFor(used))
}

// Unlimit removes the limit.
func (p *Pacer) Unlimit() { *p = Pacer{} }

// Limited returns the limit as it was named, when the first one was named without an end in between,
// and the number of calls started since.
func (p *Pacer) Limited() (limit float64, since time.Time, started int, ok bool) {
	return p.limit, p.since, p.started, p.limited
}

// Start notes that a call starts.
func (p *Pacer) Start(now time.Time) {
	if !p.limited {
		return
	}

	p.started++

	if p.full.Before(now) {
		p.full = now
	}

	p.full = p.full.Add(p.timeFor(1))
}

// Wait returns the time until as many further calls as given may have started, 0 if they may start now.
func (p *Pacer) Wait(calls int, now time.Time) time.Duration {
	if !p.limited {
		return 0
	}

	from := p.full
	if from.Before(now) {
		from = now
	}

	return max(from.Add(p.timeFor(float64(calls-1))).Sub(now)-BurstTime, 0)
}

func (p *Pacer) timeFor(calls float64) time.Duration {
	return time.Duration(calls / rate(p.limit) * float64(time.Second))
}

func rate(limit float64) float64 { return min(max(limit, MinRate), MaxRate) }
