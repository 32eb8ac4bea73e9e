// Package caller is the client for sending requests to the nodes of a mesh. It
// generates idempotency keys, retries with the same key until there is an answer,
// generates a new key once the old one is known not to have run, honours the retry
// delay of a refusal, and fails over to another node when one does not answer.
//
// # Usage
//
//	c := caller.New(caller.Nodes("127.0.0.1:8000", "127.0.0.1:8100"))
//	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
//	defer cancel()
//
//	answer, err := c.Do(ctx, caller.Request{Method: "POST", Path: "/uploads/1", Body: data, Once: true})
//	switch {
//	case errors.Is(err, caller.ErrNotRun):  // not run and never will be; safe to send anew
//	case errors.Is(err, caller.ErrUnknown): // may have run; check before sending anew
//	}
//
// docs/IDEMPOTENCY.md specifies the protocol for callers in other languages.
package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of a request, by what is known about its execution.
var (
	// ErrNotRun means that no backend server has run the request or will run it.
	ErrNotRun = errs.New("caller.not_run", http.StatusServiceUnavailable, "the request was not run")
	// ErrUnknown means that the request may have run.
	ErrUnknown = errs.New("caller.unknown", http.StatusGatewayTimeout, "the request may have run")
	// ErrRan means that the request ran and its answer is lost.
	ErrRan = errs.New("caller.ran", http.StatusConflict, "the request ran; its answer is lost")
	// ErrNodes means that no nodes are configured.
	ErrNodes = errs.New("caller.nodes", http.StatusBadRequest, "no nodes given")
)

// Request is a request to a backend server.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Once requests at-most-once execution through an idempotency key.
	Once bool
}

// Answer is the answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Key is the idempotency key under which the request ran.
	Key string
	// Repeat is set if the answer is the stored one of an earlier run of the key.
	Repeat bool
}

// Caller is a client of a set of nodes. It is safe for concurrent use.
type Caller struct {
	options Options

	mu          sync.Mutex
	next        int
	keyPrefixes map[string]string // key prefix of the owner node, by node address
}

// New returns a caller that starts at a random node.
func New(opts ...Option) *Caller {
	o := newOptions(opts...)

	return &Caller{options: o, next: rand.IntN(max(len(o.Nodes), 1)), keyPrefixes: map[string]string{}}
}

// Do sends the request until there is an answer or a final refusal, Options.Tries is
// reached, or ctx leaves no time for a retry. The error is one of this package's
// sentinels; except for ErrNodes it wraps the last Refusal.
func (c *Caller) Do(ctx context.Context, r Request) (Answer, error) {
	if len(c.options.Nodes) == 0 {
		return Answer{}, ErrNodes
	}

	t := &requestState{caller: c, request: r}

	for n := range c.options.Tries {
		answer, refusal := t.send(ctx, c.node())
		if refusal == nil {
			return answer, nil
		}

		t.record(refusal)

		if refusal.final() || !sleep(ctx, refusal.retryDelay(n)) {
			break
		}

		c.Leave()
	}

	return Answer{}, t.err()
}

// requestState is the state of one request across retries, nodes and keys.
type requestState struct {
	caller  *Caller
	request Request
	key     string
	// mayHaveRun is set while an earlier send of the request may have run.
	mayHaveRun bool
	last       *Refusal
}

func (t *requestState) send(ctx context.Context, node string) (Answer, *Refusal) {
	if t.request.Once && t.key == "" {
		keyPrefix, refusal := t.caller.keyPrefix(ctx, node)
		if refusal != nil {
			return Answer{}, refusal
		}

		t.key = keyPrefix + "." + ulid.Make().String()
	}

	return t.caller.exchange(ctx, node, t.request, t.key)
}

// record stores the refusal and updates what is known about the key. A key that did
// not run is dropped, so that the next send generates a new one.
func (t *requestState) record(r *Refusal) {
	t.last = r

	// A key that was never sent can be dropped; its owner node is probably down.
	if r.notSent && !t.mayHaveRun {
		t.key = ""

		return
	}

	if r.Ran != NotRun {
		t.mayHaveRun = true

		return
	}

	// Only the owner node of a key reports not-run for it, and the report covers every
	// send under that key. Without a key it covers this send alone.
	if t.request.Once {
		t.mayHaveRun = false
		t.key = ""
	}
}

func (t *requestState) err() error {
	switch {
	case t.last.Ran == Ran:
		return ErrRan.Wrap(t.last)
	case t.mayHaveRun:
		return ErrUnknown.Wrap(t.last)
	}

	return ErrNotRun.Wrap(t.last)
}

// keyPrefix returns the key prefix of a node, which any answer of the node carries.
func (c *Caller) keyPrefix(ctx context.Context, node string) (string, *Refusal) {
	if keyPrefix := c.cachedKeyPrefix(node); keyPrefix != "" {
		return keyPrefix, nil
	}

	_, refusal := c.exchange(ctx, node, Request{Method: http.MethodOptions, Path: "/"}, "")
	if keyPrefix := c.cachedKeyPrefix(node); keyPrefix != "" {
		return keyPrefix, nil
	}

	if refusal == nil {
		refusal = &Refusal{ID: "caller.no_home", Ran: NotRun, Detail: "the node names no home of keys"}
	}

	refusal.Ran = NotRun // the request itself was not sent

	return "", refusal
}

func (c *Caller) cachedKeyPrefix(node string) string {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.keyPrefixes[node]
}

func (c *Caller) cacheKeyPrefix(node, keyPrefix string) {
	if keyPrefix == "" {
		return
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.keyPrefixes[node] = keyPrefix
}

// node returns the address of the current node.
func (c *Caller) node() string {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.options.Nodes[c.next%len(c.options.Nodes)]
}

// Leave switches to the next node. Call it to distribute requests over the nodes.
func (c *Caller) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.next++
}

// sleep waits for d. It returns false without waiting if the deadline of ctx comes
// first, and false if ctx is cancelled meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}

	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// IsRefusal returns the Refusal that err wraps, if any.
func IsRefusal(err error) (*Refusal, bool) {
	var r *Refusal

	return r, errors.As(err, &r)
}
