package quota

import (
	"fmt"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// membersWait is how long this node waits after it has learned of others, if it can't look for them or join them
	// itself: some rounds of gossip.
	membersWait = 500 * time.Millisecond
	// maxLearning is how long this node grants nothing at most, from the first limited version on. The search for other
	// nodes takes some round trips once the store answers.
	maxLearning = 3 * time.Second
)

// Search reports what this node knows of others that are no members yet.
type Search interface {
	// Searched reports whether this node has looked for others since its start.
	Searched() bool
	// CountUnjoined returns the number of nodes that have a record in the store and are unknown to this node.
	CountUnjoined() int
}

// learning is the time after the start of a process in which it does not know yet which nodes share the limits.
type learning struct {
	mu sync.Mutex
	// since is when a limit was first to be kept, othersSince when others were first known.
	since, othersSince time.Time
	over               bool
}

// learned reports whether this node knows which nodes share the limits, as far as it can, and starts to grant calls when it
// does. It is called once a version limits a workspace.
func (a *Agent) learned() bool {
	a.learning.mu.Lock()
	defer a.learning.mu.Unlock()

	l := &a.learning
	if l.over {
		return true
	}

	now := time.Now()
	if l.since.IsZero() {
		l.since = now
	}

	others := len(a.options.Members.Live()) > 1 || a.options.Search.CountUnjoined() > 0
	if others && l.othersSince.IsZero() {
		l.othersSince = now
	}

	searched := a.options.Search.Searched()

	switch {
	case searched:
	case others && now.Sub(l.othersSince) >= membersWait:
	case now.Sub(l.since) >= maxLearning:
	default:
		return false
	}

	l.over = true

	a.ledger.Begin()
	a.homes.begin()
	a.options.Recorder.Record(event.QuotaLearned, timeline.Entry{Detail: fmt.Sprintf(
		"%d nodes share the limits, searched %t, %d ms after the first limit", a.countKnown(), searched, now.Sub(l.since).Milliseconds())})

	return true
}
