package peer

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/pkg/errs"
)

const (
	// askAfter is how long a connection with requests in flight may say nothing
	// before the other end is asked whether it still reads. Most calls are answered
	// sooner, so that the question is seldom sent.
	askAfter = 250 * time.Millisecond
	// doubtAfter is how long after the question nothing new is sent on the
	// connection, and requests that can go elsewhere do: a hundred times the way.
	doubtAfter = 200 * time.Millisecond
	// giveUpAfter is how long after it the connection is given up, with requests
	// that could not: longer than a busy host on a third of a core stands still.
	giveUpAfter = 700 * time.Millisecond
)

// ErrSilent means that the connection says nothing; the request may have reached
// the peer.
var ErrSilent = errs.New("peer.silent", http.StatusGatewayTimeout, "the peer says nothing")

// silence finds connections that went silent for good.
//
// A cut network, or a host that forgot its connections, sends no reset: requests
// that wait on such a connection would wait for their deadline, and so would all
// that follow, while a new connection works. It is seen by a question that gets no
// answer, and asked only while requests wait.
type silence struct {
	last    atomic.Int64 // when something was read, on the steady clock
	asked   atomic.Int64 // when the open question was sent, or 0
	due     atomic.Int64 // when the next look is due
	watched bool         // the connection's lock guards this and the next
	next    *time.Timer  // brings the next look

	mu      sync.Mutex
	doubted chan struct{} // closed while the connection is in doubt
	trusted chan struct{} // closed when it is no longer, made while it is
	inDoubt bool
}

// epoch is where the steady clock is read from.
var epoch = time.Now()

func steady() int64 { return int64(time.Since(epoch)) }

func (s *silence) heard() {
	s.last.Store(steady())

	if s.asked.Swap(0) != 0 {
		s.trust()
	}
}

func (s *silence) trust() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.inDoubt {
		s.inDoubt, s.doubted = false, nil

		close(s.trusted)
	}
}

// doubt reports whether the connection was not in doubt before.
func (s *silence) doubt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.inDoubt {
		return false
	}

	if s.doubted == nil {
		s.doubted = make(chan struct{})
	}

	s.inDoubt, s.trusted = true, make(chan struct{})

	close(s.doubted)

	return true
}

// doubts is closed once the connection is in doubt.
func (s *silence) doubts() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.doubted == nil {
		s.doubted = make(chan struct{})
	}

	return s.doubted
}

// trusts is closed once the connection is out of doubt.
func (s *silence) trusts() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()

	if !s.inDoubt {
		out := make(chan struct{})
		close(out)

		return out
	}

	return s.trusted
}

func (s *silence) isInDoubt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.inDoubt
}

// watch looks at the connection until no request waits. The connection's lock is held.
func (s *silence) watch(cc *clientConn) {
	if !s.watched {
		s.last.Store(steady())
		s.lookAfter(cc, askAfter)
	}
}

// rest ends the watch if no question is open and no look is under way, which would end it.
// Most requests are answered long before the first look: left to itself, it would wake an
// idle process for each of them. The connection's lock is held.
func (s *silence) rest() {
	if s.asked.Load() == 0 && s.next != nil && s.next.Stop() {
		s.watched = false
	}
}

// ask asks now, whether requests wait or not.
func (s *silence) ask(cc *clientConn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()

	if !s.asked.CompareAndSwap(0, steady()) {
		return
	}

	go cc.ping()

	if !s.watched {
		s.lookAfter(cc, doubtAfter)
	}
}

// lookAfter sets the next look. The connection's lock is held.
func (s *silence) lookAfter(cc *clientConn, pause time.Duration) {
	s.watched = true
	s.due.Store(steady() + int64(pause))

	if s.next != nil {
		s.next.Reset(pause)

		return
	}

	s.next = time.AfterFunc(pause, func() { s.look(cc, steady()-s.due.Load()) })
}

// look does what is due, and is itself late by so many nanoseconds.
func (s *silence) look(cc *clientConn, late int64) {
	if s.done(cc) {
		return
	}

	now := steady()
	s.discount(now, late)

	switch v := s.judge(now); {
	case v == lost && !cc.client.options.Patient():
		cc.fail()

		return
	case v == lost, v == doubtful:
		if s.doubt() {
			cc.client.askAll(cc.key.lane)
		}
	case v == quiet:
		s.asked.Store(now)

		go cc.ping()
	}

	cc.mu.Lock()
	defer cc.mu.Unlock()

	s.lookAfter(cc, doubtAfter)
}

// stoodStill is how late a look is if this process did not run: some times what a busy
// scheduler makes of it.
const stoodStill = int64(100 * time.Millisecond)

// discount takes the time out in which this process stood still. What the other end said
// meanwhile waits in the socket; judged by the clock, a host that wakes gives up all its
// connections with answers on them, and nobody knows what became of those calls. A question
// asked after waking but before this look counts from now, not from a time to come.
func (s *silence) discount(now, late int64) {
	if late < stoodStill {
		return
	}

	for _, at := range []*atomic.Int64{&s.last, &s.asked} {
		if before := at.Load(); before != 0 {
			at.CompareAndSwap(before, min(before+late, now)) // else the other end was just heard
		}
	}
}

// verdict is what is thought of a connection with requests in flight.
type verdict uint8

const (
	heardOf  verdict = iota
	quiet            // nothing was heard for a while
	doubtful         // the other end was asked and says nothing
	lost             // for too long
)

func (s *silence) judge(now int64) verdict {
	asked := s.asked.Load()

	switch {
	case asked != 0 && now-asked >= int64(giveUpAfter):
		return lost
	case asked != 0 && now-asked >= int64(doubtAfter):
		return doubtful
	case asked == 0 && now-s.last.Load() >= int64(askAfter):
		return quiet
	}

	return heardOf
}

// done reports whether no request waits and no question is open, and ends the watch
// if so.
func (s *silence) done(cc *clientConn) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()

	if !cc.broken && (len(cc.pending) > 0 || s.asked.Load() != 0) {
		return false
	}

	s.watched = false
	s.asked.Store(0)
	s.trust()

	return true
}

func (cc *clientConn) ping() {
	data, err := Encode(&Frame{Kind: KindPing})
	if err != nil || cc.client.options.Links.Blocked(cc.key.address) {
		return
	}

	if cc.out.write(data) != nil {
		cc.fail()
	}
}

// Link is what is known of the connection to an address.
type Link uint8

// The states of a link.
const (
	// LinkNone means that there is no connection, or none yet.
	LinkNone Link = iota
	LinkReady
	// LinkDown means that the connection is in doubt, or could not be made a moment
	// ago: what is sent there now is likely to be lost or to wait.
	LinkDown
)

// downFor is how long a failed connection attempt counts: another one is under way
// all the while, and finds out when the link is back.
const downFor = time.Second

// Link returns what is known of the connection to the address.
func (c *Client) Link(address string, lane Lane) Link {
	key := connKey{address, lane}

	c.mu.Lock()
	cc := c.conns[key]
	failed, hasFailed := c.failed[key]
	c.mu.Unlock()

	switch {
	case cc.opened() && cc.silence.isInDoubt():
		return LinkDown
	case cc.opened():
		return LinkReady
	case hasFailed && time.Since(failed) < downFor:
		return LinkDown
	}

	return LinkNone
}

// Down counts the addresses to which calls can't be sent now.
func (c *Client) Down() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	down := map[string]bool{}

	for key, cc := range c.conns {
		if cc.opened() && cc.silence.isInDoubt() {
			down[key.address] = true
		}
	}

	for key, at := range c.failed {
		if time.Since(at) < downFor {
			down[key.address] = true
		}
	}

	return len(down)
}

// opened reports whether the connection was made.
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

// Open begins to connect to the address unless a connection is there or on its
// way, and does not wait.
func (c *Client) Open(address string, lane Lane) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.connect(connKey{address, lane})
}

// askAll asks on all connections of a lane whether the other ends still read. Where
// one went silent many may have: a failure domain that is cut off loses the links to
// all others in one moment. Without this each link costs the calls that find it out.
func (c *Client) askAll(lane Lane) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for key, cc := range c.conns {
		if key.lane == lane && cc.opened() {
			cc.silence.ask(cc)
		}
	}
}
