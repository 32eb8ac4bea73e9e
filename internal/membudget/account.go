package membudget

import (
	"sync/atomic"
	"time"
)

// Account is what one connection makes the process keep. A nil account is unlimited.
type Account struct {
	budget *Budget
	client string
	close  func()
	moved  atomic.Int64 // bytes read from the client and written to it

	// Guarded by budget.mu.
	held    int
	parts   [parts]int
	settled bool // the connection is closed, and nothing is held
	// unwinding is what an evicted connection held, while its goroutines may still use it.
	unwinding int
	waits     int // parts of the connection that wait for the client
	// waitingSince is when the client was first waited for, windowAt when its pace is measured from.
	waitingSince, windowAt time.Time
	windowMoved            int64
}

// Open opens an account for a connection that takes n bytes by itself. Connections of slow clients are closed
// for it. It reports whether there is room; without, the connection has to be closed. Otherwise the function
// closes the connection if its memory is needed. The client is its remote address.
func (b *Budget) Open(client string, n int, closeConn func()) (*Account, bool) {
	if b == nil {
		return nil, true
	}

	return b.open(client, n, b.limit(n), closeConn)
}

// OpenNeeded is Open for a connection of another node or of the platform, whose number has a bound of its own: like an
// answer it may use all of the budget. Without such connections a node that is full would seem to have failed.
func (b *Budget) OpenNeeded(client string, n int, closeConn func()) (*Account, bool) {
	if b == nil {
		return nil, true
	}

	return b.open(client, n, b.size, closeConn)
}

func (b *Budget) open(client string, n, limit int, closeConn func()) (*Account, bool) {
	now := time.Now()
	a := &Account{budget: b, client: client, close: closeConn, waits: 1, waitingSince: now, windowAt: now}

	b.mu.Lock()
	defer b.mu.Unlock()

	if !b.fits(nil, n, n, limit) {
		return nil, b.refuse()
	}

	b.accounts[a] = struct{}{}
	a.add(Connections, n)

	return a, true
}

// Close frees all that the account holds.
func (a *Account) Close() {
	if a == nil {
		return
	}

	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()

	a.settle()
	a.unwound()
}

// unwound says that the goroutines of a connection have ended. The caller holds budget.mu.
func (a *Account) unwound() {
	if a.unwinding == 0 {
		return
	}

	a.budget.unwinding -= a.unwinding
	a.budget.garbage += a.unwinding
	a.unwinding = 0
	a.budget.wake()
}

// buffers returns what the account holds beside its connection. The caller holds budget.mu.
func (a *Account) buffers() int { return a.held - a.parts[Connections] }

// settle frees all that the account holds. The caller holds budget.mu.
func (a *Account) settle() {
	if a.settled {
		return
	}

	for p, n := range a.parts {
		a.budget.add(Part(p), -n)
	}

	a.held, a.parts, a.settled = 0, [parts]int{}, true
	delete(a.budget.accounts, a)
}

// add changes what the account holds. The caller holds budget.mu.
func (a *Account) add(p Part, n int) {
	if a.settled {
		return
	}

	a.held += n
	a.parts[p] += n
	a.budget.add(p, n)
}

// Moved counts bytes that were read from the client or written to it.
func (a *Account) Moved(n int) {
	if a != nil && n > 0 {
		a.moved.Add(int64(n))
	}
}

// Wait says that a part of the connection waits for the client from now on. A new account has one such part.
func (a *Account) Wait() {
	if a == nil {
		return
	}

	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()

	if a.waits == 0 {
		a.waitingSince = time.Now()
		a.windowAt, a.windowMoved = a.waitingSince, a.moved.Load()
	}

	a.waits++
}

// Resume ends a Wait.
func (a *Account) Resume() {
	if a == nil {
		return
	}

	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()

	a.waits--
}

// pace returns how many bytes the client has moved in a second of late. The caller holds budget.mu.
func (a *Account) pace(now time.Time) int {
	const window = 4 * time.Second

	moved, span := a.moved.Load()-a.windowMoved, max(now.Sub(a.windowAt), minWait)
	pace := int(float64(moved) / span.Seconds())

	if span > window {
		a.windowAt, a.windowMoved = now.Add(-minWait), a.windowMoved+moved-int64(pace)
	}

	return pace
}

// inCall reports whether the account holds more than its connection. The caller holds budget.mu.
func (a *Account) inCall() bool { return a.buffers() > 0 }

// slowness returns the transfer time of a client that has been waited for long enough to know it, or 0. The caller
// holds budget.mu.
func (a *Account) slowness(now time.Time) time.Duration {
	if a.waits == 0 || now.Sub(a.waitingSince) < minWait {
		return 0
	}

	return a.transferTime(now)
}

// transferTime returns how long the client needs for what it holds at its pace. In its first second the pace is what
// it has moved so far. The caller holds budget.mu.
func (a *Account) transferTime(now time.Time) time.Duration {
	return time.Duration(float64(a.held) / float64(a.pace(now)+1) * float64(time.Second))
}
