// Package caller sends requests to the nodes of a mesh, as a caller should: it
// makes idempotency keys, repeats with the same key until there is an answer,
// takes a new key once the old one is known not to have run, comes back when it
// is told to, and goes to another node when one does not answer.
//
// # Usage
//
//	c := caller.New(caller.Nodes("127.0.0.1:8000", "127.0.0.1:8100"))
//	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
//	defer cancel()
//
//	answer, err := c.Do(ctx, caller.Request{Method: "POST", Path: "/uploads/1", Body: data, Once: true})
//	switch {
//	case errors.Is(err, caller.ErrNotRun):  // it was not run and never will be; safe to start anew
//	case errors.Is(err, caller.ErrUnknown): // it may have run; look before you start anew
//	}
//
// docs/IDEMPOTENCY.md says what callers in other languages must do.
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

// Errors of a request, by what is known of it.
var (
	// ErrNotRun means that no backend server ran the request and none ever will.
	ErrNotRun = errs.New("caller.not_run", http.StatusServiceUnavailable, "the request was not run")
	// ErrUnknown means that it may have run.
	ErrUnknown = errs.New("caller.unknown", http.StatusGatewayTimeout, "the request may have run")
	// ErrRan means that it ran, and that its answer is lost.
	ErrRan = errs.New("caller.ran", http.StatusConflict, "the request ran; its answer is lost")
	// ErrNodes means that there is no node to send to.
	ErrNodes = errs.New("caller.nodes", http.StatusBadRequest, "no nodes given")
)

// Request is what is sent.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Once is set for a request that must not run twice.
	Once bool
}

// Answer is the answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Key is the idempotency key under which the request ran.
	Key string
	// Repeat says that an earlier try had run, whose answer this is.
	Repeat bool
}

// Caller sends requests.
type Caller struct {
	options Options

	mu    sync.Mutex
	next  int
	homes map[string]string // names of homes, by node
}

// New returns a caller.
func New(opts ...Option) *Caller {
	o := newOptions(opts...)

	return &Caller{options: o, next: rand.IntN(max(len(o.Nodes), 1)), homes: map[string]string{}}
}

// Do sends the request until it has an answer, a final refusal, or ctx ends. The
// error is one of this package's sentinels and wraps the last Refusal.
func (c *Caller) Do(ctx context.Context, r Request) (Answer, error) {
	if len(c.options.Nodes) == 0 {
		return Answer{}, ErrNodes
	}

	t := &try{caller: c, request: r}

	for n := range c.options.Tries {
		answer, refusal := t.send(ctx, c.node())
		if refusal == nil {
			return answer, nil
		}

		t.note(refusal)

		if refusal.final() || !pause(ctx, refusal.wait(n)) {
			break
		}

		c.Leave()
	}

	return Answer{}, t.fault()
}

// try is one request on its way through nodes and keys.
type try struct {
	caller  *Caller
	request Request
	key     string
	// unsure is set while an attempt without an answer may have run.
	unsure bool
	last   *Refusal
}

func (t *try) send(ctx context.Context, node string) (Answer, *Refusal) {
	if t.request.Once && t.key == "" {
		home, refusal := t.caller.home(ctx, node)
		if refusal != nil {
			return Answer{}, refusal
		}

		t.key = home + "." + ulid.Make().String()
	}

	return t.caller.exchange(ctx, node, t.request, t.key)
}

// note keeps what is known. A key that did not run is done with: the next try
// takes a new one.
func (t *try) note(r *Refusal) {
	t.last = r

	// A key that never left can be given up: its home is likely gone.
	if r.unsent && !t.unsure {
		t.key = ""

		return
	}

	if r.Ran != NotRun {
		t.unsure = true

		return
	}

	// Only the home of a key says not-run of it, and means every try under it. Of
	// a request without a key it holds for this try alone.
	if t.request.Once {
		t.unsure = false
		t.key = ""
	}
}

func (t *try) fault() error {
	switch {
	case t.last.Ran == Ran:
		return ErrRan.Wrap(t.last)
	case t.unsure:
		return ErrUnknown.Wrap(t.last)
	}

	return ErrNotRun.Wrap(t.last)
}

// home returns the name of a node's home of keys, from any of its answers.
func (c *Caller) home(ctx context.Context, node string) (string, *Refusal) {
	if home := c.known(node); home != "" {
		return home, nil
	}

	_, refusal := c.exchange(ctx, node, Request{Method: http.MethodOptions, Path: "/"}, "")
	if home := c.known(node); home != "" {
		return home, nil
	}

	if refusal == nil {
		refusal = &Refusal{ID: "caller.no_home", Ran: NotRun, Detail: "the node names no home of keys"}
	}

	refusal.Ran = NotRun // nothing of the request itself was sent

	return "", refusal
}

func (c *Caller) known(node string) string {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.homes[node]
}

func (c *Caller) learn(node, home string) {
	if home == "" {
		return
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.homes[node] = home
}

// node returns the node in use.
func (c *Caller) node() string {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.options.Nodes[c.next%len(c.options.Nodes)]
}

// Leave goes on to the next node, for callers that want to spread their requests.
func (c *Caller) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.next++
}

// pause waits until it is time to come back, and reports whether there is time
// for that.
func pause(ctx context.Context, d time.Duration) bool {
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

// IsRefusal returns the last refusal of a request.
func IsRefusal(err error) (*Refusal, bool) {
	var r *Refusal

	return r, errors.As(err, &r)
}
