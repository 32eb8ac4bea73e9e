// Package fairshare tells which workspaces use more than their fair share of a backend server's slot
// time.
//
// The fair share of a workspace is its share of the slot time of the last minute, applied to the
// slot time of the last seconds: a workspace that sends seven times its usual is above it, a large one
// that keeps to its usual is not, and where all send more, or the backend server does less, nobody is.
// No slot time is kept for a workspace that sends nothing: others use it, and its share ends within
// minutes. One that was never seen has no share; its first calls are covered by an allowance for chance.
//
// Shares need no exchange between nodes. Every call passes the queue of one backend server, and entry
// nodes spread the calls of each workspace over the backend servers, so each sees a sample of the
// whole. The allowance grows with the root of the expected number of calls, as chance does: of a
// workspace with few calls, a queue can't tell a burst from chance, and a burst of it takes little.
//
// # Usage
//
//	shares := fairshare.New(4096)
//	shares.Charge("acme", expected, now)
//	shares.Charge("acme", took-expected, now)
//	shares.Record("acme", true)
//	if shares.Above("acme", 0.9, now) { ... }
package fairshare

import (
	"math"
	"time"
)

const (
	// recentWindow is the time constant of the slot time that is compared with the usual one: longer
	// than most calls.
	recentWindow = 2 * time.Second
	// usualWindow is the time constant of the usual slot time.
	usualWindow = time.Minute
	// aboveWeight is the part of the slot time that counts as usual while a workspace is above its
	// share. Otherwise a burst becomes usual while it lasts.
	aboveWeight = 0.25
	// excessFactor is how far above its usual share a workspace may be before it counts.
	excessFactor = 1.25
	// chanceDeviations is the allowance for chance, in standard deviations of the expected number of
	// calls, and chanceCalls its least, in calls.
	chanceDeviations = 0.5
	chanceCalls      = 1.0
	// meanSamples is the number of calls over which the slot time of a call is smoothed.
	meanSamples = 64
	// admittedSamples is the number of calls over which a workspace's admitted share is smoothed.
	admittedSamples = 16
	// leastAdmitted is the share of the admitted share of all below which a workspace is not held back.
	leastAdmitted = 0.5
	// sweepInterval is the least time between removals of workspaces that send nothing any more.
	sweepInterval = time.Second
	// negligible is the usual slot time below which a workspace is removed.
	negligible = time.Millisecond
)

// Shares is the recent use of slot time by workspace. It is not safe for concurrent use.
type Shares struct {
	limit      int
	workspaces map[string]*share
	all        use
	mean       float64 // slot time of a call, in seconds
	swept      time.Time
}

// share is the use of one workspace.
type share struct {
	use

	admitted float64 // recent share of admitted calls
	above    bool
}

// use is slot time in seconds with exponential decay over two windows.
type use struct {
	recent, usual float64
	updated       time.Time
}

// New returns the shares of at most limit workspaces. Further ones are never above theirs.
func New(limit int) *Shares { return &Shares{limit: limit, workspaces: map[string]*share{}} }

// Charge adds slot time to a workspace's use. A call is charged what it is expected to take when it
// starts, and the difference, which may be negative, when it ends.
func (s *Shares) Charge(workspace string, slotTime time.Duration, now time.Time) {
	w := s.at(workspace, now)
	if w == nil {
		return
	}

	seconds, usual := slotTime.Seconds(), slotTime.Seconds()
	if w.above {
		usual *= aboveWeight
	}

	w.add(seconds, usual, now)
	s.all.add(seconds, usual, now)

	if seconds > 0 {
		s.mean += (seconds - s.mean) / meanSamples
	}
}

// Record counts whether a call of a workspace that has used slot time was admitted.
func (s *Shares) Record(workspace string, admitted bool) {
	w := s.workspaces[workspace]
	if w == nil {
		return
	}

	outcome := 0.0
	if admitted {
		outcome = 1
	}

	w.admitted += (outcome - w.admitted) / admittedSamples
}

// Above reports whether the workspace's calls go after those of others. It is false for a workspace
// whose calls are admitted much more rarely than those of all, of which admitted is the share.
func (s *Shares) Above(workspace string, admitted float64, now time.Time) bool {
	w := s.workspaces[workspace]
	if w == nil {
		return false
	}

	w.decay(now)
	s.all.decay(now)

	fair := s.fair(w)
	w.above = w.recent > excessFactor*fair+chanceDeviations*math.Sqrt(fair*s.mean)+chanceCalls*s.mean

	return w.above && w.admitted >= leastAdmitted*admitted
}

// fair returns the workspace's fair share of the recent slot time.
func (s *Shares) fair(w *share) float64 {
	if s.all.usual <= 0 {
		return 0
	}

	return s.all.recent * w.usual / s.all.usual
}

// Share returns the workspace's part of the recent slot time, from 0 to 1.
func (s *Shares) Share(workspace string, now time.Time) float64 {
	w := s.workspaces[workspace]
	if w == nil {
		return 0
	}

	w.decay(now)
	s.all.decay(now)

	if s.all.recent <= 0 {
		return 0
	}

	return min(w.recent/s.all.recent, 1)
}

// Len returns the number of workspaces whose use is kept.
func (s *Shares) Len() int { return len(s.workspaces) }

// at returns the use of a workspace, or nil if there is no room for it.
func (s *Shares) at(workspace string, now time.Time) *share {
	if w := s.workspaces[workspace]; w != nil {
		return w
	}

	if len(s.workspaces) >= s.limit {
		s.sweep(now)
	}

	if len(s.workspaces) >= s.limit {
		return nil
	}

	w := &share{admitted: 1}
	s.workspaces[workspace] = w

	return w
}

// sweep removes the workspaces that send nothing any more.
func (s *Shares) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepInterval {
		return
	}

	s.swept = now

	for name, w := range s.workspaces {
		if w.decay(now); w.usual < negligible.Seconds() {
			delete(s.workspaces, name)
		}
	}
}

func (u *use) add(recent, usual float64, now time.Time) {
	u.decay(now)
	u.recent = max(u.recent+recent, 0)
	u.usual = max(u.usual+usual, 0)
}

func (u *use) decay(now time.Time) {
	passed := now.Sub(u.updated)
	if passed <= 0 {
		return
	}

	if !u.updated.IsZero() {
		u.recent *= math.Exp(-float64(passed) / float64(recentWindow))
		u.usual *= math.Exp(-float64(passed) / float64(usualWindow))
	}

	u.updated = now
}
