package peer

import (
	"context"
	"time"
)

// replacement is a connection that is dialled to replace a suspect one.
type replacement struct {
	conn *clientConn
	done chan struct{} // closed when conn is installed or has failed
	err  error         // set before done is closed
}

// conn returns a connection for a new request that is not suspect.
//
// A suspect connection may still deliver requests, for example when the link has recovered or
// only the other host lost its connection state. A request sent on it would run, and fail
// with the connection milliseconds later: its caller gets CallUnknown with peer.broken. Until
// another connection has answered, the request is therefore not sent, so that its caller
// learns that it did not run.
func (c *Client) conn(ctx context.Context, key connKey, p suspectPolicy) (*clientConn, error) {
	for {
		cc, err := c.currentConn(ctx, key)
		if err != nil || !cc.liveness.isSuspect() {
			return cc, err
		}

		if err := c.awaitReplacement(ctx, cc, p); err != nil {
			return nil, err
		}
	}
}

// currentConn returns the current connection, or dials one, and waits until it is open.
func (c *Client) currentConn(ctx context.Context, key connKey) (*clientConn, error) {
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

// awaitReplacement waits until the connection is replaced or no longer suspect.
func (c *Client) awaitReplacement(ctx context.Context, cc *clientConn, p suspectPolicy) error {
	r := c.startReplacement(cc)

	if p == failOnSuspect {
		return ErrUnreachable.With("%s: the connection is in doubt", cc.key.address)
	}

	select {
	case <-r.done:
		return r.err
	case <-cc.liveness.whenCleared():
		return nil
	case <-ctx.Done():
		return ErrUnreachable.With("%s: the connection is in doubt", cc.key.address).Wrap(ctx.Err())
	}
}

// startReplacement dials another connection unless that is already in progress.
func (c *Client) startReplacement(cc *clientConn) *replacement {
	c.mu.Lock()
	defer c.mu.Unlock()

	if cc.replacement == nil {
		cc.replacement = &replacement{conn: newClientConn(c, cc.key), done: make(chan struct{})}

		go c.tryReplace(cc, cc.replacement)
	}

	return cc.replacement
}

// tryReplace installs the new connection after the peer has sent a frame on it: a
// partitioned link may still accept connections.
func (c *Client) tryReplace(cc *clientConn, r *replacement) {
	defer close(r.done)

	r.conn.dial()
	r.err = r.conn.verify()

	if r.err == nil && c.install(r.conn, cc) {
		cc.retire()
	} else if r.conn.dialErr == nil {
		r.conn.fail()
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	cc.replacement = nil
}

// install replaces cc with next, unless cc has already been replaced or next is broken.
func (c *Client) install(next, cc *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if current := c.conns[cc.key]; current != nil && current != cc || next.isBroken() {
		return false
	}

	c.conns[cc.key] = next
	c.retired[cc] = true

	return true
}

// verify pings the peer on a new connection and waits for its first frame.
func (cc *clientConn) verify() error {
	if cc.dialErr != nil {
		return cc.dialErr
	}

	cc.liveness.ping(cc)

	select {
	case <-cc.firstFrame:
	case <-time.After(failAfter):
		return ErrUnreachable.With("%s: nothing is heard on a new connection", cc.key.address)
	}

	if cc.isBroken() {
		return ErrUnreachable.With("%s: a new connection ended", cc.key.address)
	}

	return nil
}

// retire closes the connection once no request is pending on it.
func (cc *clientConn) retire() {
	cc.mu.Lock()
	cc.retired = true
	retiredAndIdle := cc.retiredAndIdle()
	cc.mu.Unlock()

	if retiredAndIdle {
		cc.fail()
	}
}

// retiredAndIdle reports whether the connection was replaced and no request is pending on
// it. cc.mu must be held.
func (cc *clientConn) retiredAndIdle() bool { return cc.retired && len(cc.pending) == 0 }
