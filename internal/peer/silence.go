package peer

import (
	"sync/atomic"
	"time"
)

const (
	// askAfter is how long a connection with requests in flight may say nothing
	// before the other end is asked whether it still reads. Most calls are answered
	// sooner, so that the question is seldom sent.
	askAfter = 300 * time.Millisecond
	// giveUpAfter is how long the other end has to answer: hundreds of times the
	// way, and longer than a busy host on a third of a core stands still.
	giveUpAfter = 700 * time.Millisecond
)

// silence finds connections that went silent for good.
//
// A cut network, or a host that forgot its connections, sends no reset: requests
// that wait on such a connection would wait for their deadline, and so would all
// that follow, while a new connection works. It is seen by a question that gets no
// answer, and asked only while requests wait.
type silence struct {
	last    atomic.Int64 // when something was read, on the steady clock
	asked   atomic.Int64 // when the open question was sent, or 0
	watched atomic.Bool
}

// epoch is where the steady clock is read from.
var epoch = time.Now()

func steady() int64 { return int64(time.Since(epoch)) }

func (s *silence) heard() {
	s.last.Store(steady())
	s.asked.Store(0)
}

// watch looks at the connection until no request waits.
func (s *silence) watch(cc *clientConn) {
	if s.watched.CompareAndSwap(false, true) {
		s.last.Store(steady())
		time.AfterFunc(askAfter, func() { s.look(cc) })
	}
}

func (s *silence) look(cc *clientConn) {
	cc.mu.Lock()
	done := cc.broken || len(cc.pending) == 0

	if done {
		s.watched.Store(false)
		s.asked.Store(0)
	}
	cc.mu.Unlock()

	if done {
		return
	}

	now := steady()
	asked := s.asked.Load()

	switch {
	case asked != 0 && now-asked >= int64(giveUpAfter):
		cc.fail()

		return
	case asked == 0 && now-s.last.Load() >= int64(askAfter):
		s.asked.Store(now)

		go cc.ping()
	}

	time.AfterFunc(askAfter, func() { s.look(cc) })
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

// Ready reports whether there is a connection to the address.
func (c *Client) Ready(address string, lane Lane) bool {
	c.mu.Lock()
	cc := c.conns[connKey{address, lane}]
	c.mu.Unlock()

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
