package membudget

import (
	"context"
	"time"
)

// Charge is what one call makes the process keep. A nil charge is unlimited.
type Charge struct {
	budget  *Budget
	account *Account // nil for a call of another node

	// Guarded by budget.mu.
	held   int
	parts  [parts]int
	closed bool // the call has ended, and nothing more is taken
}

// Charge returns a charge without bytes for a call of the connection.
func (a *Account) Charge() *Charge {
	if a == nil {
		return nil
	}

	return &Charge{budget: a.budget, account: a}
}

// Charge returns a charge without bytes for a call of another node.
func (b *Budget) Charge() *Charge {
	if b == nil {
		return nil
	}

	return &Charge{budget: b}
}

// Take takes n more bytes before they are allocated. Connections of slow clients are closed for it. It
// reports whether there is room.
func (c *Charge) Take(p Part, n int) bool {
	if c == nil {
		return true
	}

	if !c.take(p, n) {
		return false
	}

	c.budget.collectFor(n)

	return true
}

// TakeForBody is Take for the body of a caller's request. It also waits until connections that were closed to make room
// no longer use their memory, which the reader of a connection of many calls must not.
func (c *Charge) TakeForBody(p Part, n int) bool {
	if c == nil {
		return true
	}

	if !c.take(p, n) {
		return false
	}

	c.budget.awaitRoom(n)

	return true
}

func (c *Charge) take(p Part, n int) bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()

	if !c.fits(n, c.budget.limit(c.own()+n)) {
		return c.budget.refuse()
	}

	c.add(p, n)

	return true
}

// Claim is Take for an answer, whose call has run: it may use all of the budget, and a client that holds more than
// this one and is waited for is closed if nothing else makes room.
func (c *Charge) Claim(p Part, n int) bool {
	if c == nil {
		return true
	}

	if !c.claim(p, n) {
		return c.refuse()
	}

	c.budget.collectFor(n)

	return true
}

func (c *Charge) refuse() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()

	return c.budget.refuse()
}

func (c *Charge) claim(p Part, n int) bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()

	for !c.fits(n, c.budget.size) {
		if c.closed || c.account != nil && c.account.settled || !c.budget.closeGreediest(c.account, c.own()+n) {
			return false
		}
	}

	c.add(p, n)

	return true
}

// Await is Claim that waits for room until ctx ends, and for closed connections as TakeForBody does.
func (c *Charge) Await(ctx context.Context, p Part, n int) bool {
	for c != nil && !c.claim(p, n) {
		retry := time.NewTimer(retryWait)

		select {
		case <-ctx.Done():
			retry.Stop()

			return c.refuse()
		case <-c.budget.whenFreed():
			retry.Stop()
		case <-retry.C:
		}
	}

	if c != nil {
		c.budget.awaitRoom(n)
	}

	return true
}

// Force takes bytes that can't be refused, such as those of messages that nodes need to work together.
func (c *Charge) Force(p Part, n int) {
	if c == nil {
		return
	}

	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()

	c.add(p, n)
}

// Free gives back n bytes of a part.
func (c *Charge) Free(p Part, n int) {
	if c == nil {
		return
	}

	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()

	c.add(p, -n)
}

// Release gives back all bytes of the charge.
func (c *Charge) Release() {
	if c == nil {
		return
	}

	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()

	for p, n := range c.parts {
		c.add(Part(p), -n)
	}
}

// Close gives back all bytes of the charge for good: what is taken later, such as for an answer that comes after its call
// has ended, is refused.
func (c *Charge) Close() {
	if c == nil {
		return
	}

	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()

	for p, n := range c.parts {
		c.add(Part(p), -n)
	}

	c.closed = true
}

// own returns what the client holds. The caller holds budget.mu.
func (c *Charge) own() int {
	if c.account != nil {
		return c.account.held
	}

	return c.held
}

// fits reports whether n more bytes fit below a limit. The caller holds budget.mu.
func (c *Charge) fits(n, limit int) bool {
	if c.closed || c.account != nil && c.account.settled {
		return false
	}

	return c.budget.fits(c.account, n, c.own()+n, limit)
}

// add changes what the charge holds. The caller holds budget.mu.
func (c *Charge) add(p Part, n int) {
	if c.closed {
		return
	}

	c.held += n
	c.parts[p] += n

	if c.account != nil {
		c.account.add(p, n)
	} else {
		c.budget.add(p, n)
	}
}

// whenFreed returns a channel that is closed when bytes are given back.
func (b *Budget) whenFreed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.freed == nil {
		b.freed = make(chan struct{})
	}

	return b.freed
}

// key is the key of a charge in a context.
type key struct{}

// With returns a context with the charge of the call that it belongs to.
func With(ctx context.Context, c *Charge) context.Context {
	if c == nil {
		return ctx
	}

	return context.WithValue(ctx, key{}, c)
}

// From returns the charge of the call that a context belongs to, or nil.
func From(ctx context.Context) *Charge {
	c, _ := ctx.Value(key{}).(*Charge)

	return c
}

// Detach returns a context for work that may outlive its call. It is not canceled with the call and has no charge: the
// charge of a call that has ended refuses the answers that the work waits for.
func Detach(ctx context.Context) context.Context {
	ctx = context.WithoutCancel(ctx)
	if From(ctx) == nil {
		return ctx
	}

	return context.WithValue(ctx, key{}, (*Charge)(nil))
}

// Successor returns a charge without bytes, and of no connection, for work that outlives its call and takes much memory.
func (c *Charge) Successor() *Charge {
	if c == nil {
		return nil
	}

	return c.budget.Charge()
}
