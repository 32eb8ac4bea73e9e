// Package upload sends the long bodies of calls to the nodes that run them, in parts.
//
// A gate keeps the parts in the memory for its clients until the call comes, or for a time. Without memory it refuses
// the first part, and the call has not run.
//
// # Usage
//
//	id, err := upload.Send(ctx, peers, address, body)
//	// the request that names id runs the call
//
//	s := upload.NewStore(budget)
//	server.Handle(forward.MethodPart, peer.Typed(s.ServePart))
//	server.Handle(forward.MethodRunUploaded, peer.Typed(s.Runs(runner.Serve)))
package upload

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/pkg/errs"
)

// MinBytes is the size from which bodies are sent in parts: a longer one does not fit into a message with its head.
const MinBytes = peer.MaxMessage - 64<<10

const (
	// partBytes is the size of a part. Other calls on the connection wait for one at most.
	partBytes = 256 << 10
	// keepParts is how long parts are kept after the last one.
	keepParts = 5 * time.Second
)

// ErrUnknown means that no whole body is kept for a call. It has not run.
var ErrUnknown = errs.New("upload.unknown", http.StatusServiceUnavailable, "the body of the call is not kept")

// Peers sends requests to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Send sends a body to a node and returns the name under which the node keeps it.
func Send(ctx context.Context, peers Peers, address string, body []byte) (string, error) {
	id := ulid.Make().String()

	for offset := 0; offset < len(body); offset += partBytes {
		part := forward.Part{Upload: id, Bytes: len(body), Offset: offset, Data: body[offset:min(offset+partBytes, len(body))]}
		if err := peers.Do(ctx, address, peer.LaneCalls, forward.MethodPart, part, &forward.PartReply{}); err != nil {
			return "", err
		}
	}

	return id, nil
}

// Store keeps bodies until their calls come.
type Store struct {
	budget *membudget.Budget

	mu     sync.Mutex
	bodies map[string]*body
}

// body is the part of a body that has come.
type body struct {
	charge *membudget.Charge
	data   []byte
	expiry *time.Timer
}

// NewStore returns a store without bodies.
func NewStore(b *membudget.Budget) *Store { return &Store{budget: b, bodies: map[string]*body{}} }

// ServePart keeps a part. Parts come in order; the first one takes the memory for all.
func (s *Store) ServePart(_ context.Context, p forward.Part) (forward.PartReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	b := s.bodies[p.Upload]

	if b == nil && p.Offset == 0 {
		b = &body{charge: s.budget.Charge()}
		if !b.charge.Take(membudget.Requests, p.Bytes) {
			return forward.PartReply{}, peer.ErrOverloaded.With("body of %d bytes", p.Bytes)
		}

		b.data = make([]byte, 0, p.Bytes)
		b.expiry = time.AfterFunc(keepParts, func() { s.drop(p.Upload) })
		s.bodies[p.Upload] = b
	}

	if b == nil || len(b.data) != p.Offset || cap(b.data) < p.Offset+len(p.Data) {
		return forward.PartReply{}, ErrUnknown
	}

	b.data = append(b.data, p.Data...)
	b.expiry.Reset(keepParts)

	return forward.PartReply{}, nil
}

// take returns a body, which is no longer kept.
func (s *Store) take(id string) *body {
	s.mu.Lock()
	defer s.mu.Unlock()

	b := s.bodies[id]
	delete(s.bodies, id)

	return b
}

// drop frees a body whose call did not come.
func (s *Store) drop(id string) {
	if b := s.take(id); b != nil {
		b.charge.Release()
	}
}

// Run runs a call.
type Run func(ctx context.Context, r forward.Request) (forward.Reply, error)

// Runs returns a handler that runs calls with the bodies that are kept for them.
func (s *Store) Runs(run Run) func(ctx context.Context, u forward.Uploaded) (forward.Reply, error) {
	return func(ctx context.Context, u forward.Uploaded) (forward.Reply, error) {
		b := s.take(u.Upload)
		if b == nil {
			return forward.Reply{Result: forward.Refused, Reason: ErrUnknown.Error()}, nil
		}

		b.expiry.Stop()

		defer b.charge.Close()

		if len(b.data) < cap(b.data) {
			return forward.Reply{Result: forward.Refused, Reason: ErrUnknown.Error()}, nil
		}

		u.Request.Body = b.data

		return run(ctx, u.Request)
	}
}
