package peer

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/pkg/errs"
)

const (
	// pingAfter is how long a connection with requests in flight may receive nothing before
	// the peer is pinged. Most calls are answered sooner, so pings are rare.
	pingAfter = 250 * time.Millisecond
	// suspectAfter is how long a ping may stay unanswered before the connection is suspect:
	// no new requests are sent on it, and requests that can go to another peer do. It is a
	// hundred times the round-trip time.
	suspectAfter = 200 * time.Millisecond
	// failAfter is how long a ping may stay unanswered before the connection is closed with
	// its remaining requests. It exceeds the process stalls of a busy host that has a third of
	// a core.
	failAfter = 700 * time.Millisecond
)

// ErrSilent means that the peer does not answer on the connection; the request may have
// reached it.
var ErrSilent = errs.New("peer.silent", http.StatusGatewayTimeout, "the peer says nothing")

// liveness detects connections on which the peer no longer answers.
//
// A network partition, or a host that lost its connection state, sends no reset: requests on
// such a connection would wait until their deadlines, and so would all later ones, although a
// new connection works. A ping that gets no pong detects it. Pings are sent only while
// requests are pending.
type liveness struct {
	lastRead     atomic.Int64 // monotonic time of the last frame read
	pingedAt     atomic.Int64 // when the unanswered ping was sent, or 0
	checkDue     atomic.Int64 // when the next check is due
	checksActive bool         // checks are scheduled; guarded by clientConn.mu, like timer
	timer        *time.Timer  // runs the next check

	mu        sync.Mutex
	suspectCh chan struct{} // closed while the connection is suspect
	clearedCh chan struct{} // closed when the connection is no longer suspect; set while it is
	suspect   bool
}

// monotonicStart is the origin of monotonicNow.
var monotonicStart = time.Now()

func monotonicNow() int64 { return int64(time.Since(monotonicStart)) }

func (l *liveness) observeRead() {
	l.lastRead.Store(monotonicNow())

	if l.pingedAt.Swap(0) != 0 {
		l.clearSuspect()
	}
}

func (l *liveness) clearSuspect() {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.suspect {
		l.suspect, l.suspectCh = false, nil

		close(l.clearedCh)
	}
}

// markSuspect marks the connection as suspect and reports whether it was not suspect before.
func (l *liveness) markSuspect() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.suspect {
		return false
	}

	if l.suspectCh == nil {
		l.suspectCh = make(chan struct{})
	}

	l.suspect, l.clearedCh = true, make(chan struct{})

	close(l.suspectCh)

	return true
}

// whenSuspect returns a channel that is closed when the connection becomes suspect.
func (l *liveness) whenSuspect() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.suspectCh == nil {
		l.suspectCh = make(chan struct{})
	}

	return l.suspectCh
}

// whenCleared returns a channel that is closed when the connection is no longer suspect.
func (l *liveness) whenCleared() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !l.suspect {
		out := make(chan struct{})
		close(out)

		return out
	}

	return l.clearedCh
}

func (l *liveness) isSuspect() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.suspect
}

// start checks the connection periodically until no request is pending. cc.mu must be held.
func (l *liveness) start(cc *clientConn) {
	if !l.checksActive {
		l.lastRead.Store(monotonicNow())
		l.scheduleCheck(cc, pingAfter)
	}
}

// stop ends the checks unless a ping is unanswered or a check is already running, which then
// ends them itself. Most requests are answered long before the first check; left active, its
// timer would wake an idle process for each of them. clientConn.mu must be held.
func (l *liveness) stop() {
	if l.pingedAt.Load() == 0 && l.timer != nil && l.timer.Stop() {
		l.checksActive = false
	}
}

// ping pings the peer now, whether or not requests are pending.
func (l *liveness) ping(cc *clientConn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()

	if !l.pingedAt.CompareAndSwap(0, monotonicNow()) {
		return
	}

	go cc.writePing()

	if !l.checksActive {
		l.scheduleCheck(cc, suspectAfter)
	}
}

// scheduleCheck schedules the next check. cc.mu must be held.
func (l *liveness) scheduleCheck(cc *clientConn, delay time.Duration) {
	l.checksActive = true
	l.checkDue.Store(monotonicNow() + int64(delay))

	if l.timer != nil {
		l.timer.Reset(delay)

		return
	}

	l.timer = time.AfterFunc(delay, func() { l.check(cc, monotonicNow()-l.checkDue.Load()) })
}

// check evaluates the connection and acts on its state. delay is how late the check runs, in
// nanoseconds.
func (l *liveness) check(cc *clientConn, delay int64) {
	if l.stopIfIdle(cc) {
		return
	}

	now := monotonicNow()
	l.excludeStall(now, delay)

	switch v := l.classify(now); {
	case v == stateFailed && !cc.client.options.WaitOnSuspect():
		cc.fail()

		return
	case v == stateFailed, v == stateSuspect:
		if l.markSuspect() {
			cc.client.pingAll(cc.key.lane)
		}
	case v == stateQuiet:
		l.pingedAt.Store(now)

		go cc.writePing()
	}

	cc.mu.Lock()
	defer cc.mu.Unlock()

	l.scheduleCheck(cc, suspectAfter)
}

// minStall is the delay of a check, in nanoseconds, that counts as a process stall. It is a
// few times the delay that a busy scheduler causes.
const minStall = int64(100 * time.Millisecond)

// excludeStall excludes the duration of a process stall from the time that the peer was
// silent. What the peer sent during the stall is still in the socket buffer; without the
// correction, a host that resumes would close all its connections with unread answers and
// leave the outcome of those calls unknown. The time of a ping sent between the stall and
// this check is not moved beyond now.
func (l *liveness) excludeStall(now, delay int64) {
	if delay < minStall {
		return
	}

	for _, at := range []*atomic.Int64{&l.lastRead, &l.pingedAt} {
		if before := at.Load(); before != 0 {
			at.CompareAndSwap(before, min(before+delay, now)) // fails if a frame was read or the ping was answered in the meantime
		}
	}
}

// connState is the state of a connection with requests in flight.
type connState uint8

const (
	stateAlive   connState = iota
	stateQuiet             // no frame was read for pingAfter
	stateSuspect           // a ping is unanswered for suspectAfter
	stateFailed            // a ping is unanswered for failAfter
)

func (l *liveness) classify(now int64) connState {
	pingedAt := l.pingedAt.Load()

	switch {
	case pingedAt != 0 && now-pingedAt >= int64(failAfter):
		return stateFailed
	case pingedAt != 0 && now-pingedAt >= int64(suspectAfter):
		return stateSuspect
	case pingedAt == 0 && now-l.lastRead.Load() >= int64(pingAfter):
		return stateQuiet
	}

	return stateAlive
}

// stopIfIdle ends the checks if no request is pending and no ping is unanswered, and reports
// whether it did.
func (l *liveness) stopIfIdle(cc *clientConn) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()

	if !cc.broken && (len(cc.pending) > 0 || l.pingedAt.Load() != 0) {
		return false
	}

	l.checksActive = false
	l.pingedAt.Store(0)
	l.clearSuspect()

	return true
}

func (cc *clientConn) writePing() {
	data, err := Encode(&Frame{Kind: KindPing})
	if err != nil || cc.client.options.Links.Blocked(cc.key.address) {
		return
	}

	if cc.out.write(data) != nil {
		cc.fail()
	}
}

// Link is the state of the connection to an address.
type Link uint8

// The states of a link.
const (
	// LinkNone means that no connection is established.
	LinkNone Link = iota
	LinkReady
	// LinkDown means that the connection is suspect, or that a dial failed within the last
	// second: a request sent there is likely to fail or to wait.
	LinkDown
)

// dialFailureWindow is how long a failed dial marks the link as down. Further dials in the
// meantime detect when the link has recovered.
const dialFailureWindow = time.Second

// Link returns the state of the connection to the address.
func (c *Client) Link(address string, lane Lane) Link {
	key := connKey{address, lane}

	c.mu.Lock()
	cc := c.conns[key]
	dialFailed, hasFailed := c.dialFailed[key]
	c.mu.Unlock()

	switch {
	case cc.opened() && cc.liveness.isSuspect():
		return LinkDown
	case cc.opened():
		return LinkReady
	case hasFailed && time.Since(dialFailed) < dialFailureWindow:
		return LinkDown
	}

	return LinkNone
}

// Down returns the number of addresses whose link is down.
func (c *Client) Down() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	down := map[string]bool{}

	for key, cc := range c.conns {
		if cc.opened() && cc.liveness.isSuspect() {
			down[key.address] = true
		}
	}

	for key, at := range c.dialFailed {
		if time.Since(at) < dialFailureWindow {
			down[key.address] = true
		}
	}

	return len(down)
}

// opened reports whether the connection was established.
func (cc *clientConn) opened() bool {
	if cc == nil {
		return false
	}

	select {
	case <-cc.ready:
		return cc.dialErr == nil
	default:
		return false
	}
}

// Open starts to dial the address, unless a connection exists or is being dialled, and does
// not wait.
func (c *Client) Open(address string, lane Lane) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.connect(connKey{address, lane})
}

// pingAll pings the peers on all connections of a lane. One silent connection often means
// many, because a partitioned failure domain loses all its links to other domains at once;
// without it, each link would be detected at the cost of its own calls.
func (c *Client) pingAll(lane Lane) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for key, cc := range c.conns {
		if key.lane == lane && cc.opened() {
			cc.liveness.ping(cc)
		}
	}
}
