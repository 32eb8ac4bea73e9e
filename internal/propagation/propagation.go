// Package propagation brings accepted versions to every node and keeps the one that
// this node answers with.
//
// A few watchers in each failure domain follow the head on the platform and push
// what changed down a tree of the domain's live members. Version numbers that
// travel with gossip show a node that it is behind; it then pulls from a peer.
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

// Spreader keeps the holder up to date.
type Spreader struct {
	holder   *Holder
	acceptor *acceptance.Acceptor
	store    platform.Store
	peers    Caller
	recorder *timeline.Recorder
	options  Options
	serving  chan struct{}

	// Pushes, Offers and Pulls count the messages that this node sent.
	Pushes, Offers, Pulls atomic.Int64

	mu      sync.Mutex
	links   map[string]*link
	wanted  source
	filling bool
	refused refusal
}

// refusal is the newest version that does not check.
type refusal struct {
	number uint64
	digest settings.Digest
	reason string
}

// New returns a spreader.
func New(
	h *Holder, a *acceptance.Acceptor, s platform.Store, c Caller, r *timeline.Recorder, opts ...Option,
) *Spreader {
	o := newOptions(opts...)

	return &Spreader{
		holder: h, acceptor: a, store: s, peers: c, recorder: r, options: o,
		serving: make(chan struct{}, o.Serves), links: map[string]*link{},
	}
}

// Register adds the peer methods to a server.
func (s *Spreader) Register(server *peer.Server) {
	server.Handle(MethodPull, peer.Typed(s.Serve))
	server.Handle(MethodPush, peer.Typed(s.Receive))
	server.Handle(MethodNumber, peer.Typed(s.Tell))
}

// Run keeps the holder up to date until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	if s.options.Strategy == StrategyPoll {
		s.poll(ctx)

		return
	}

	s.join(ctx)
	s.watch(ctx)
}

// Trouble tells why this node does not hold a newer version that it has heard
// of, or nothing.
func (s *Spreader) Trouble() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch held := s.holder.Number(); {
	case s.refused.number > held:
		return "refused: " + s.refused.reason
	case s.wanted.number > held:
		return "pulling from " + s.wanted.address
	default:
		return ""
	}
}

// Heard returns the newest version number that this node has heard of.
func (s *Spreader) Heard() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return max(s.holder.Number(), s.wanted.number, s.refused.number)
}

// refuse notes a version that does not check, and tells it once. Only a version
// that arrived whole can be found bad; a piece that was damaged on the way is
// asked for again.
func (s *Spreader) refuse(v settings.Version, from string, err error) {
	if !errors.Is(err, settings.ErrInvalid) {
		return
	}

	s.mu.Lock()
	known := s.refused.number == v.Number && s.refused.digest == v.Digest
	s.refused = refusal{v.Number, v.Digest, err.Error()}
	s.mu.Unlock()

	if !known {
		s.recorder.Record(event.VersionRefused, timeline.Entry{Version: v.Number, Peer: from, Detail: err.Error()})
	}
}

func (s *Spreader) isRefused(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.refused.number == number && number > 0
}

// take applies a delta and passes the version on.
func (s *Spreader) take(d Delta, from string, outside bool) error {
	if d.Version.Number <= s.holder.Number() || s.isRefused(d.Version.Number) {
		return nil
	}

	snapshot, err := Apply(s.holder.Load(), d)
	if err != nil {
		s.refuse(d.Version, from, err)

		return err
	}

	if s.holder.OfferFrom(snapshot, from) {
		s.passOn(outside)
	}

	return nil
}

// jitter returns a random pause up to d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}

	return rand.N(d)
}
