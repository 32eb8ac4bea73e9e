// Package memory keeps what other nodes replied about their backend servers: a limit in calls a second,
// and that one is leaving. This node sends it back with its next calls, because the process beside a
// backend server may restart and lose what it heard.
//
// # Usage
//
//	m := memory.New()
//	m.Replied("n1", sent, time.Now(), reply)
//	request.Notice = m.About("n1", time.Now())
package memory

import (
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/bounded"
	"github.com/pollencart/pollencart/internal/forward"
)

const (
	// maxNodes bounds the nodes that are remembered.
	maxNodes = 4096
	// ttl is how long a notice is kept without a reply of its node. It outlasts the time between the
	// departure of a backend server and its end.
	ttl = 2 * time.Minute
)

// entry is what a node replied last.
type entry struct {
	notice *forward.Notice
	// at is when the backend server said so, replied when the node's last reply with it came.
	at, replied time.Time
}

// Memory holds the newest notice of each node.
type Memory struct {
	mu    sync.Mutex
	nodes *bounded.Map[entry]
}

// New returns a memory without notices.
func New() *Memory { return &Memory{nodes: bounded.New[entry](maxNodes)} }

// Replied takes in the reply of a node to a call that was sent at the given time. Replies overlap: only
// one that the backend server answered after this node had the notice shows that a limit ended, and the
// departure of an instance is never taken back.
func (m *Memory) Replied(node string, sent, now time.Time, r forward.Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()

	e, known := m.nodes.Get(node)

	if r.Notice != nil {
		newest := entry{r.Notice, now.Add(-r.Notice.Age()), now}

		if known && e.notice != nil && e.notice.IsAbout(r.Notice.Instance, r.Notice.Started) {
			leaving := e.notice.Leaving || r.Notice.Leaving
			if newest.at.Before(e.at) {
				newest.notice, newest.at = e.notice, e.at
			}

			kept := *newest.notice
			kept.Leaving = leaving
			newest.notice = &kept
		}

		*m.nodes.At(node) = newest

		return
	}

	if !known || e.notice == nil || r.Result != forward.Answered || !sent.After(e.replied) {
		return
	}

	if !e.notice.Leaving {
		m.nodes.At(node).notice = nil

		return
	}

	// The answer may come from the next instance. The notice names the one that it is about.
	kept := *e.notice
	kept.Limited, kept.Limit = false, 0
	m.nodes.At(node).notice = &kept
}

// About returns what is known of a node's backend server, or nil.
func (m *Memory) About(node string, now time.Time) *forward.Notice {
	m.mu.Lock()
	defer m.mu.Unlock()

	e, ok := m.nodes.Get(node)
	if !ok || e.notice == nil || now.Sub(e.replied) > ttl {
		return nil
	}

	out := *e.notice
	out.AgeMs = max(now.Sub(e.at).Milliseconds(), 0)

	return &out
}
