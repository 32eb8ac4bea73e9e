package hosts

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
)

const (
	// activeWithin is the time within which a version has to be active on a host that is well.
	activeWithin = 2 * time.Second
	// wellFor is how long a host and the store have to be without trouble before that holds.
	wellFor = 3 * time.Second
	// askVersions is the mean pause between questions to a host which version is active.
	askVersions = 250 * time.Millisecond
	// idleRoutes is the number of routes beside those that callers use.
	idleRoutes = 2000
	// slowTurn is the time in which a slowed process runs once, for slowRun.
	slowTurn = 250 * time.Millisecond
	slowRun  = 6 * time.Millisecond
	// mostSlowed is how many hosts of a failure domain are slowed at a time at the most.
	mostSlowed = 3
	// storeOneIn of the troubles is one of the store.
	storeOneIn = 12
)

// versions are the operator's versions and what hosts showed of them.
type versions struct {
	mu      sync.Mutex
	written []time.Time // by version, when its write was confirmed
	// storeTrouble counts the troubles of the store, storeAt is when the last one ended.
	storeTrouble int
	storeAt      time.Time
	asked        int
	gone, added  int
}

// Versions counts the questions of which version was active.
type Versions struct {
	Written, Asked int
	// Gone and Added are the calls with keys that a version took away or added, as far as they told something.
	Gone, Added int
}

func (v *versions) wrote(version int) {
	v.mu.Lock()
	defer v.mu.Unlock()

	for len(v.written) <= version {
		v.written = append(v.written, time.Now())
	}
}

// at returns the newest version, and the newest one that was confirmed long enough before.
func (v *versions) at(now time.Time) (latest, due int) {
	v.mu.Lock()
	defer v.mu.Unlock()

	latest = len(v.written) - 1

	due = latest
	for due > 0 && now.Sub(v.written[due]) <= activeWithin {
		due--
	}

	return latest, due
}

// troubleStore counts a trouble of the store until the returned function is called.
func (v *versions) troubleStore() (end func()) {
	v.mu.Lock()
	defer v.mu.Unlock()

	v.storeTrouble++

	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()

		v.storeTrouble--
		v.storeAt = time.Now()
	}
}

func (v *versions) storeIsWell(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()

	return v.storeTrouble == 0 && now.Sub(v.storeAt) > wellFor
}

// trouble counts a trouble of a host until the returned function is called.
func (h *host) trouble() (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.troubles++

	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()

		h.troubles--
		h.troubledAt = time.Now()
	}
}

// isWell reports whether the process of the host ran on without trouble for long enough.
func (h *host) isWell(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	l := h.lives[len(h.lives)-1]

	return h.troubles == 0 && l.over.IsZero() && now.Sub(h.troubledAt) > wellFor && now.Sub(l.started) > wellFor
}

// versionFaults are the troubles of a run that checks versions. Those of the store are rare, since
// the time bound does not hold beside them.
func versionFaults(random *rand.Rand) []fault {
	if random.IntN(storeOneIn) == 0 {
		return []fault{
			{"store down", (*run).storeDown},
			{"store loses answers", (*run).storeLoses},
			{"store silent", (*run).storeSilent},
			{"store resets", func(r *run, _ *rand.Rand, _ *host) { r.link.reset() }},
		}
	}

	write := fault{"new version", func(r *run, _ *rand.Rand, _ *host) { r.write() }}
	slow := fault{"slowed", (*run).slow}

	return []fault{
		write, write, write, slow, slow, {"storm of versions", (*run).storm},
		{"kill", (*run).kill}, {"stop", (*run).stop}, {"pause", (*run).pause},
		{"settings signal", func(_ *run, _ *rand.Rand, h *host) { h.signal(syscall.SIGHUP) }},
		{"backend server crashes", (*run).crash}, {"backend server leaves", (*run).leave},
	}
}

func (r *run) storm(random *rand.Rand, _ *host) {
	for range 2 + random.IntN(10) {
		r.write()
		time.Sleep(time.Duration(random.Int64N(int64(askVersions))))
	}
}

// slow lets hosts of one failure domain run in short turns only.
func (r *run) slow(random *rand.Rand, h *host) {
	var slowed sync.WaitGroup

	length := time.Duration(random.Int64N(int64(2 * longest)))
	left := 1 + random.IntN(mostSlowed)

	for _, other := range r.hosts {
		if left > 0 && other.config.FailureDomain == h.config.FailureDomain {
			left--

			slowed.Go(func() { other.slow(length) })
		}
	}

	slowed.Wait()
}

func (h *host) slow(length time.Duration) {
	defer h.trouble()()

	from := time.Now()

	for end := from.Add(length); time.Now().Before(end); {
		h.signal(syscall.SIGSTOP)
		time.Sleep(slowTurn - slowRun)
		h.signal(syscall.SIGCONT)
		time.Sleep(slowRun)
		h.plan()
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.pauses = append(h.pauses, span{from, time.Now()})
}

// checkVersions asks a host again and again which version is active, as callers see it.
func (r *run) checkVersions(ctx context.Context, h *host) {
	var seen int // newest version that a process showed

	for life := h.current(); ctx.Err() == nil; idle.For(ctx, askVersions/2+rand.N(askVersions)) {
		if next := h.current(); next != life {
			life, seen = next, 0
		}

		seen = max(seen, r.checkVersion(ctx, h, life, seen))
	}
}

// checkVersion returns the version that is active on the host, or 0 if that is not known.
func (r *run) checkVersion(ctx context.Context, h *host, l *life, seen int) int {
	now := time.Now()
	latest, due := r.versions.at(now)
	well := h.isWell(now) && r.versions.storeIsWell(now)

	before := 0
	if due > 1 {
		before = ask(ctx, newest(h, due-1))
	}

	status := ask(ctx, newest(h, latest))
	keys := askKeys(ctx, h, due)
	end := time.Now()

	if l != h.current() || r.stalls.overlap(now.Add(-wellFor), end) {
		return 0
	}

	if known, _ := r.versions.at(end); known == latest && status == http.StatusNotFound && seen == latest {
		r.report.broken("%s went back from version %d at %s", h.config.Node, seen, now.Format(clock))
	}

	if well && h.isWell(end) && r.versions.storeIsWell(end) {
		r.judgeVersion(h, now, due, latest, before, status)
		r.judgeKeys(h, now, due, latest, keys)
	}

	if status == http.StatusOK {
		return latest
	}

	return 0
}

// judgeVersion requires that a host that is well handles calls as the version that is due says, or a
// newer one: it no longer has the route of the version before.
func (r *run) judgeVersion(h *host, at time.Time, due, latest, before, status int) {
	r.versions.mu.Lock()
	r.versions.asked++
	r.versions.mu.Unlock()

	if before == http.StatusOK {
		r.report.broken("%s has version %d at %s, version %d was due", h.config.Node, due-1, at.Format(clock), due)
	}

	if known, _ := r.versions.at(time.Now()); known == latest && due == latest && status == http.StatusNotFound {
		r.report.broken("%s does not have version %d at %s, which was due", h.config.Node, due, at.Format(clock))
	}
}

// reportVersions adds what was asked to the report.
func (r *run) reportVersions() {
	r.versions.mu.Lock()
	defer r.versions.mu.Unlock()

	r.report.Versions = Versions{Written: len(r.versions.written) - 1, Asked: r.versions.asked, Gone: r.versions.gone, Added: r.versions.added}
}

func (v Versions) String() string {
	return fmt.Sprintf("versions %d, asked %d times on hosts that were well, calls with keys taken away %d, added %d",
		v.Written, v.Asked, v.Gone, v.Added)
}
