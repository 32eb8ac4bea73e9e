// Package propagation distributes accepted versions to every node and stores the
// active version of this node.
//
// A few watchers in each failure domain follow the head on the platform and push
// changes down a tree of the domain's live members. Gossip carries version numbers: a
// node that learns that it is behind pulls from a peer.
//
//	h := propagation.NewHolder(recorder)
//	s := propagation.New(h, acceptor, store, client, recorder, propagation.Self(id, address, domain))
//	s.Register(server)
//	go s.Run(ctx)
//	route, ok := h.Load().Match("GET", "/folders/1")
package propagation

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Peer methods.
const (
	MethodPull   = "Settings.Pull"
	MethodPush   = "Settings.Push"
	MethodNumber = "Settings.Number"
)

// Caller sends a message to a peer.
type Caller interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Propagator keeps the holder at the newest version and passes new versions on to other
// nodes.
type Propagator struct {
	holder   *Holder
	acceptor *acceptance.Acceptor
	store    platform.Store
	peers    Caller
	recorder *timeline.Recorder
	options  Options
	serving  chan struct{}

	// Pushes, Offers and Pulls count the deltas pushed, the version numbers offered
	// and the pull requests sent by this node.
	Pushes, Offers, Pulls atomic.Int64

	mu         sync.Mutex
	sessions   map[string]*pushSession
	wanted     source
	catchingUp bool
	rejected   rejection
}

// rejection is the newest version that failed validation.
type rejection struct {
	number uint64
	digest settings.Digest
	reason string
}

// New returns a propagator.
func New(
	h *Holder, a *acceptance.Acceptor, s platform.Store, c Caller, r *timeline.Recorder, opts ...Option,
) *Propagator {
	o := newOptions(opts...)

	return &Propagator{
		holder: h, acceptor: a, store: s, peers: c, recorder: r, options: o,
		serving: make(chan struct{}, o.MaxTreesServed), sessions: map[string]*pushSession{},
	}
}

// Register adds the peer methods to a server.
func (s *Propagator) Register(server *peer.Server) {
	server.Handle(MethodPull, peer.Typed(s.ServePull))
	server.Handle(MethodPush, peer.Typed(s.ServePush))
	server.Handle(MethodNumber, peer.Typed(s.ServeNumber))
}

// Run keeps the holder up to date until ctx ends.
func (s *Propagator) Run(ctx context.Context) {
	if s.options.Strategy == StrategyPoll {
		s.poll(ctx)

		return
	}

	s.join(ctx)
	s.watch(ctx)
}

// Trouble returns why this node has not activated a newer version that it knows of, or
// an empty string.
func (s *Propagator) Trouble() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch active := s.holder.Number(); {
	case s.rejected.number > active:
		return "refused: " + s.rejected.reason
	case s.wanted.number > active:
		return "pulling from " + s.wanted.address
	default:
		return ""
	}
}

// Heard returns the newest version number that this node knows of.
func (s *Propagator) Heard() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return max(s.holder.Number(), s.wanted.number, s.rejected.number)
}

// reject records a version that fails validation, and logs it once. Only a version
// that arrived whole can be invalid; a piece that was damaged in transit is requested
// again.
func (s *Propagator) reject(v settings.Version, from string, err error) {
	if !errors.Is(err, settings.ErrInvalid) {
		return
	}

	s.mu.Lock()
	known := s.rejected.number == v.Number && s.rejected.digest == v.Digest
	s.rejected = rejection{v.Number, v.Digest, err.Error()}
	s.mu.Unlock()

	if !known {
		s.recorder.Record(event.VersionRefused, timeline.Entry{Version: v.Number, Peer: from, Detail: err.Error()})
	}
}

func (s *Propagator) isRejected(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.rejected.number == number && number > 0
}

// applyDelta activates the version of a delta and pushes it to other nodes.
func (s *Propagator) applyDelta(d Delta, from string, fromOutsideTree bool) error {
	if d.Version.Number <= s.holder.Number() || s.isRejected(d.Version.Number) {
		return nil
	}

	snapshot, err := Apply(s.holder.Load(), d)
	if err != nil {
		s.reject(d.Version, from, err)

		return err
	}

	if s.holder.OfferFrom(snapshot, from) {
		s.propagate(fromOutsideTree)
	}

	return nil
}

// jitter returns a random duration below d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}

	return rand.N(d)
}
