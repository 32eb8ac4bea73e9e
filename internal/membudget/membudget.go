// Package membudget bounds the memory that clients and other nodes make a process keep.
//
// A bound for each kind of input does not bound their sum, and the sum is what ends a process. All parts
// take from one budget before they allocate: connections with the buffers of their sockets, heads at their
// decoded size, bodies, answers that wait for their readers, frames of other nodes.
//
// A connection has an account. If the budget is used up, connections whose clients move too little for
// what they hold are closed, the slowest for its size first. Without such, a request is refused. The more a
// client holds, the more must be left, so that small requests fit when large ones are refused. A part of the budget
// is left for answers, whose calls have run.
//
// Bytes that were given back still take memory until the collector has freed them. The budget counts them, and whoever
// takes a large buffer runs the collector first if they do not fit beside what is held.
//
// # Usage
//
//	budget := membudget.New(membudget.SizeFor(machineBytes))
//	account, ok := budget.Open(remoteAddress, bytes, closeConnection)
//	charge := account.Charge()
//	defer charge.Close()
//
//	if !charge.Take(membudget.Requests, len(head)) { // refuse the request
//	}
//	ctx = membudget.With(ctx, charge) // clients of other nodes and of backend servers take answers from it
package membudget

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Part is what bytes of the budget are used for.
type Part int

// The parts of the budget.
const (
	// Connections are the buffers and goroutines of connections.
	Connections Part = iota
	// Requests are heads and bodies, of callers and of other nodes.
	Requests
	// Answers are those of backend servers, until they are written.
	Answers
	parts
)

// String returns the name of the part.
func (p Part) String() string { return [...]string{"Connections", "Requests", "Answers"}[p] }

// Parts returns all parts.
func Parts() []Part { return []Part{Connections, Requests, Answers} }

const (
	// DefaultMachineMB is the memory of a machine, in MiB, if the settings don't name it.
	DefaultMachineMB = 512
	// MinMachineMB is the least memory, in MiB, that leaves room for calls beside the program.
	MinMachineMB = 64
	// programBytes is left for the program, its members and its versions of the configuration.
	programBytes = 32 << 20
	// budgetPercent of the rest may be held. What is left is for garbage that is not collected yet.
	budgetPercent = 55
	// limitPercent of the machine's memory is the limit of the collector.
	limitPercent = 80
	percent      = 100
)

// SizeFor returns the size of the budget of a machine, in bytes.
func SizeFor(machineBytes int) int { return (machineBytes - programBytes) / percent * budgetPercent }

// CollectorLimit returns the memory, in bytes, up to which the collector of the runtime runs as seldom as usual.
func CollectorLimit(machineBytes int) int64 { return int64(machineBytes) / percent * limitPercent }

const (
	// reserveFactor is how many times as much as a client holds must be left after it takes more for requests.
	reserveFactor = 16
	// reservePart divides the size: one such part is left for answers, and one at the most for other requests.
	reservePart = 16
	// greed is how many times as much as a call a client may hold that has the connection of the call closed.
	greed = 4
	// minWait is how long a client must have been waited for until it may be closed as slow.
	minWait = time.Second
	// maxTransfer is how long a client may need for what it holds.
	maxTransfer = 10 * time.Second
	// rescanAfter is the pause until slow clients are searched for again after none was found.
	rescanAfter = 50 * time.Millisecond
	// retryWait bounds the wait for freed memory: clients may have become slow meanwhile.
	retryWait = 100 * time.Millisecond
	// largeBuffer is the size, in bytes, from which a taker runs the collector. Smaller ones are paced by the runtime.
	largeBuffer = 64 << 10
	// unwindWait bounds the wait for the goroutines of connections that were closed to make room.
	unwindWait = 200 * time.Millisecond
)

// Closed describes a connection that was closed to make room.
type Closed struct {
	// Client is its remote address.
	Client string
	// Held is what it held, in bytes, and Pace how many bytes it moved in a second.
	Held, Pace int
	// Waited is how long the client was waited for.
	Waited time.Duration
}

// String describes the connection for logs.
func (c Closed) String() string {
	return fmt.Sprintf("held %d bytes, moved %d a second, waited for %s", c.Held, c.Pace, c.Waited.Round(time.Millisecond))
}

// Budget is the memory of one process for its clients. A nil budget is unlimited.
type Budget struct {
	size int

	mu       sync.Mutex
	closed   func(Closed)
	held     int
	parts    [parts]int
	accounts map[*Account]struct{}
	freed    chan struct{} // closed when bytes are freed, if someone waits
	evicted  int64
	refused  int64
	noSlow   time.Time // when no slow client was found last
	// garbage was given back, but may not have been freed by the collector. What evicted connections held counts as
	// unwinding until their goroutines have ended.
	garbage, unwinding int

	collecting sync.Mutex // held while the collector runs for a taker
}

// New returns a budget of size bytes.
func New(size int) *Budget {
	return &Budget{size: size, closed: func(Closed) {}, accounts: map[*Account]struct{}{}}
}

// OnClosed sets the function that is called for each connection that is closed to make room.
func (b *Budget) OnClosed(f func(Closed)) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.closed = f
}

// Usage is how much of a budget is used.
type Usage struct {
	// Size is the size of the budget, Held what of it is used, in bytes.
	Size, Held int
	// ByPart is what each part uses.
	ByPart map[Part]int
	// Closed counts the connections closed to make room, Refused what did not fit.
	Closed, Refused int64
}

// Usage returns how much of the budget is used.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	u := Usage{Size: b.size, Held: b.held, ByPart: map[Part]int{}, Closed: b.evicted, Refused: b.refused}
	for _, p := range Parts() {
		u.ByPart[p] = b.parts[p]
	}

	return u
}

// String describes the usage for logs.
func (u Usage) String() string {
	text := fmt.Sprintf("%d of %d", u.Held, u.Size)
	for _, p := range Parts() {
		text += fmt.Sprintf(" %s %d", strings.ToLower(p.String()), u.ByPart[p])
	}

	return text
}

// Gauge is a figure of a budget for metrics.
type Gauge struct {
	Name, Help string
	Value      func() float64
}

// Gauges returns the figures of the budget.
func (b *Budget) Gauges() []Gauge {
	gauges := []Gauge{
		{"pollencart_memory_budget_bytes", "Bytes that clients and other nodes may make this process keep.", func() float64 {
			return float64(b.Usage().Size)
		}},
		{"pollencart_memory_evicted", "Connections closed since others needed their memory.", func() float64 { return float64(b.Usage().Closed) }},
		{"pollencart_memory_refused", "Takings of memory that were refused.", func() float64 { return float64(b.Usage().Refused) }},
	}

	for _, p := range Parts() {
		name := strings.ToLower(p.String())
		gauges = append(gauges, Gauge{"pollencart_memory_" + name + "_bytes", "Bytes of the budget used by " + name + ".", func() float64 {
			return float64(b.Usage().ByPart[p])
		}})
	}

	return gauges
}

// limit returns what may be held in all once a client holds own bytes with its requests.
func (b *Budget) limit(own int) int {
	part := b.size / reservePart

	return b.size - part - min(part, min(own, b.size)*reserveFactor)
}

// fits makes room for n more bytes of a client that then holds own bytes, and reports whether there is below a
// limit. The caller holds mu.
func (b *Budget) fits(a *Account, n, own, limit int) bool {
	if n > b.size {
		return false // others may choose n, and a sum with it may overflow
	}

	for b.held+n > limit {
		if !b.closeSlowest(a, own) {
			return false
		}
	}

	return true
}

// add changes what a part holds. The caller holds mu.
func (b *Budget) add(p Part, n int) {
	b.held += n
	b.parts[p] += n

	if n >= 0 {
		return
	}

	if p != Connections {
		b.garbage -= n
	}

	b.wake()
}

// wake wakes those who wait for bytes to be freed. The caller holds mu.
func (b *Budget) wake() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// CloseSlowest closes the connection whose client would need the longest for what it holds, if one is slow. It reports
// whether there was one.
func (b *Budget) CloseSlowest() bool {
	if b == nil {
		return false
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	return b.closeSlowest(nil, 0)
}

// closeSlowest closes the connection, other than that of an account, whose client would need the longest for
// what it holds, for a client that holds own bytes. One that holds much closes no call that holds little. It reports
// whether there was one to close. The caller holds mu.
func (b *Budget) closeSlowest(except *Account, own int) bool {
	now := time.Now()
	if now.Sub(b.noSlow) < rescanAfter {
		return false
	}

	var (
		slowest *Account
		longest = maxTransfer
	)

	for a := range b.accounts {
		if a == except || a.inCall() && a.held*greed < own {
			continue
		}

		if transfer := a.slowness(now); transfer > longest {
			slowest, longest = a, transfer
		}
	}

	if slowest == nil {
		b.noSlow = now

		return false
	}

	b.evict(slowest, now)

	return true
}

// closeGreediest closes the connection that holds the most of those whose clients are waited for and have not moved
// at an ordinary pace, if it holds more than a number of bytes. The caller holds mu.
func (b *Budget) closeGreediest(except *Account, own int) bool {
	var greediest *Account

	now := time.Now()

	for a := range b.accounts {
		if a.waits > 0 && a != except && a.held > own && a.transferTime(now) > maxTransfer {
			greediest, own = a, a.held
		}
	}

	if greediest == nil {
		return false
	}

	b.evict(greediest, now)

	return true
}

// evict closes the connection of an account. What it holds is garbage once its goroutines have ended. The
// caller holds mu.
func (b *Budget) evict(a *Account, now time.Time) {
	b.evicted++

	out := Closed{Client: a.client, Held: a.held, Pace: a.pace(now), Waited: now.Sub(a.waitingSince)}

	a.unwinding = a.buffers()
	b.unwinding += a.unwinding
	a.settle()
	b.garbage -= a.unwinding

	go func() {
		a.close()
		b.closed(out)
	}()
}

// refuse counts what did not fit. The caller holds mu.
func (b *Budget) refuse() bool {
	b.refused++

	return false
}
