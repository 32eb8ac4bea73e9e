package peer

import (
	"context"
	"time"
)

// replacement is a connection made in place of one that is in doubt.
type replacement struct {
	conn *clientConn
	done chan struct{} // closed once it is in use or could not be made
	err  error         // set before done is closed
}

// conn returns a connection for a new request, which is not in doubt.
//
// What goes wrong otherwise: the link is back, or the other host forgot this connection
// only. A request that is put on it runs there, and ends with it when it is given up: nobody
// knows whether it ran. One sees CallUnknown with peer.broken some milliseconds after the
// call came. While no other connection has answered, the request is not sent at all, and
// its caller can be told so.
func (c *Client) conn(ctx context.Context, key connKey, p patience) (*clientConn, error) {
	for {
		cc, err := c.made(ctx, key)
		if err != nil || !cc.silence.isInDoubt() {
			return cc, err
		}

		if err := c.replaced(ctx, cc, p); err != nil {
			return nil, err
		}
	}
}

// made returns the connection that is there, or a new one.
func (c *Client) made(ctx context.Context, key connKey) (*clientConn, error) {
	c.mu.Lock()
	cc := c.connect(key)
	c.mu.Unlock()

	select {
	case <-cc.ready:
		return cc, cc.dialErr
	case <-ctx.Done():
		return nil, ErrUnreachable.With("%s", key.address).Wrap(ctx.Err())
	}
}

// replaced waits until the connection is replaced, or out of doubt.
func (c *Client) replaced(ctx context.Context, cc *clientConn, p patience) error {
	r := c.replace(cc)

	if p == leaves {
		return ErrUnreachable.With("%s: the connection is in doubt", cc.key.address)
	}

	select {
	case <-r.done:
		return r.err
	case <-cc.silence.trusts():
		return nil
	case <-ctx.Done():
		return ErrUnreachable.With("%s: the connection is in doubt", cc.key.address).Wrap(ctx.Err())
	}
}

// replace begins to make another connection unless one is on its way.
func (c *Client) replace(cc *clientConn) *replacement {
	c.mu.Lock()
	defer c.mu.Unlock()

	if cc.replacement == nil {
		cc.replacement = &replacement{conn: newClientConn(c, cc.key), done: make(chan struct{})}

		go c.tryReplace(cc, cc.replacement)
	}

	return cc.replacement
}

// tryReplace takes the new connection into use once the other end has said something on it: a
// link that is cut may well take connections.
func (c *Client) tryReplace(cc *clientConn, r *replacement) {
	defer close(r.done)

	r.conn.dial()
	r.err = r.conn.prove()

	if r.err == nil && c.use(r.conn, cc) {
		cc.retire()
	} else if r.conn.dialErr == nil {
		r.conn.fail()
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	cc.replacement = nil
}

// use puts a connection in the place of another one, unless that was done meanwhile, or it
// has ended already.
func (c *Client) use(next, cc *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if current := c.conns[cc.key]; current != nil && current != cc || next.isBroken() {
		return false
	}

	c.conns[cc.key] = next
	c.retired[cc] = true

	return true
}

// prove asks the other end of a new connection to say something.
func (cc *clientConn) prove() error {
	if cc.dialErr != nil {
		return cc.dialErr
	}

	cc.silence.ask(cc)

	select {
	case <-cc.spoke:
	case <-time.After(giveUpAfter):
		return ErrUnreachable.With("%s: nothing is heard on a new connection", cc.key.address)
	}

	if cc.isBroken() {
		return ErrUnreachable.With("%s: a new connection ended", cc.key.address)
	}

	return nil
}

// retire closes the connection once nothing waits on it.
func (cc *clientConn) retire() {
	cc.mu.Lock()
	cc.retired = true
	unused := cc.unused()
	cc.mu.Unlock()

	if unused {
		cc.fail()
	}
}

// unused reports whether the connection was replaced and nothing waits on it; cc.mu is held.
func (cc *clientConn) unused() bool { return cc.retired && len(cc.pending) == 0 }
