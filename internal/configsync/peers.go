package configsync

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Methods between nodes.
const (
	methodPull = "Feed.Pull"
	methodPush = "Feed.Push"
)

const (
	// pullInterval is the mean pause between pulls from a watcher.
	pullInterval = 400 * time.Millisecond
	// requestTimeout bounds a request to another node, pushTimeout a push to a host with a
	// slow link.
	requestTimeout = 400 * time.Millisecond
	pushTimeout    = 2 * time.Second
	// maxPullTimeout bounds a pull of a version that this node lacks and did not get within
	// requestTimeout: many nodes may pull a whole document from one host with a slow link.
	maxPullTimeout = 4 * time.Second
	// maxDocument is the maximum size of a configuration in bytes: the largest value that the
	// store accepts.
	maxDocument = 2 << 20
)

// errInvalidMessage is returned for a message that fails its Check.
var errInvalidMessage = errs.New("feed.message", http.StatusBadRequest, "message not accepted")

// versionMessage reports the active version of a node.
type versionMessage struct {
	Version uint64 `msgpack:"Version"`
	// Claim is nil if the message is not about the store.
	Claim *claim `msgpack:"Claim,omitempty"`
}

// versionUpdate carries the active version of a node, with its document if the receiver has
// an older one.
type versionUpdate struct {
	Version uint64 `msgpack:"Version"`
	// Base is the version that Packed was compressed against, 0 if none.
	Base   uint64 `msgpack:"Base"`
	Packed []byte `msgpack:"Packed"`
	// Current is true if the sender vouches for its version. Nodes that know Claim use that.
	Current bool   `msgpack:"Current"`
	Claim   *claim `msgpack:"Claim,omitempty"`
}

// Check reports whether a decoded message is valid.
func (n *versionUpdate) Check() error {
	if len(n.Packed) > maxDocument {
		return errInvalidMessage.With("document of %d bytes", len(n.Packed))
	}

	return nil
}

// versionUpdate returns the active version, compressed for a node that has the version held.
func (s *Syncer) versionUpdate(held uint64) (versionUpdate, error) {
	version, raw := s.options.Holder.Raw()
	base, document := s.options.Holder.Before()

	if held != base {
		base, document = 0, nil
	}

	packed, err := pack(document, raw)
	c := s.claim()

	return versionUpdate{Version: version, Base: base, Packed: packed, Current: c.isCurrent(), Claim: c}, err
}

// queueUpdate queues the version of another node for decoding. It fails if the document was
// compressed against a version that is not the active one; the caller then pulls it in full.
func (s *Syncer) queueUpdate(n versionUpdate, from string) error {
	if n.Version <= s.options.Holder.Number() || len(n.Packed) == 0 {
		return nil
	}

	var base []byte

	if n.Base != 0 {
		held, raw := s.options.Holder.Raw()
		if held != n.Base {
			return errDelta.With("against version %d, version %d is held", n.Base, held)
		}

		base = raw
	}

	data, err := unpack(base, n.Packed)
	if err != nil {
		return err
	}

	s.enqueue(fromPeer, document{version: n.Version, data: data, from: from})

	return nil
}

func (s *Syncer) servePull(_ context.Context, in versionMessage) (versionUpdate, error) {
	if s.options.Holder.Number() <= in.Version {
		c := s.claim()

		return versionUpdate{Version: s.options.Holder.Number(), Current: c.isCurrent(), Claim: c}, nil
	}

	return s.versionUpdate(in.Version)
}

func (s *Syncer) servePush(_ context.Context, in versionUpdate) (versionMessage, error) {
	from := ""

	if in.Claim != nil {
		from = in.Claim.From
		// A push may take up to pushTimeout to arrive.
		s.learn(said{version: in.Version, claim: in.Claim, at: time.Now().Add(-pushTimeout)})
	}

	if s.queueUpdate(in, from) != nil {
		signal(s.pullNow)
	}

	return versionMessage{Version: s.options.Holder.Number()}, nil
}

// pullLoop periodically pulls from a watcher of this node's failure domain, and from a
// watcher of any failure domain while none of these is up to date.
func (s *Syncer) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.pullNow:
		case <-time.After(pullInterval*3/4 + rand.N(pullInterval/2)):
		}

		if s.storeReachable.Load() && s.isWatcher() {
			continue
		}

		self := s.options.Members.Self()
		watchers := membership.Without(s.options.Members.FirstOf(self.FailureDomain, Watchers), self.ID)

		switch {
		case s.pullFromAny(ctx, watchers):
			s.useSource(sourceWatchers, "a watcher is up to date")
		case s.storeReachable.Load():
			s.useSource(sourceStore, "no watcher is up to date")
		case s.pullFromAny(ctx, membership.Without(s.allWatchers(), self.ID)):
			s.useSource(sourceOthers, "no watcher of this failure domain is up to date")
		}
	}
}

// allWatchers returns the watchers of all failure domains.
func (s *Syncer) allWatchers() []membership.Record {
	return membership.FirstOfEach(s.options.Members, Watchers)
}

// pullFromAny pulls from a random one of the nodes and reports whether that node vouches for its
// version.
func (s *Syncer) pullFromAny(ctx context.Context, nodes []membership.Record) bool {
	if len(nodes) == 0 {
		return false
	}

	return s.pull(ctx, nodes[rand.IntN(len(nodes))].PeerAddress)
}

func (s *Syncer) pull(ctx context.Context, address string) bool {
	vouched, err := s.pullWithin(ctx, address, requestTimeout)

	return err == nil && vouched // the next pull picks another node
}

// pullWithin pulls from a node within a time limit and reports whether that node vouches for its
// version.
func (s *Syncer) pullWithin(ctx context.Context, address string, limit time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	var n versionUpdate

	sent := time.Now()

	err := s.options.Peers.Do(ctx, address, peer.LaneControl, methodPull, versionMessage{Version: s.options.Holder.Number()}, &n)
	if err != nil {
		return false, err
	}

	s.mu.Lock()
	s.answeredAt = time.Now()
	s.mu.Unlock()

	vouched := s.learn(said{version: n.Version, claim: claimOf(n.Claim, n.Version, address, n.Current), at: sent})

	return vouched, s.queueUpdate(n, address)
}

// pushLoop pushes each newly activated version to the other nodes of the failure domain while
// this node is a watcher or stands in for one.
func (s *Syncer) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.activated:
		}

		if !s.storeReachable.Load() && !s.isWatcher() || !s.needsStore() {
			continue
		}

		before, _ := s.options.Holder.Before()

		message, err := s.versionUpdate(before)
		if err != nil {
			continue // the other nodes pull it
		}

		for _, r := range s.options.Members.Neighbours() {
			go s.pushTo(ctx, r.PeerAddress, message)
		}
	}
}

// pushTo pushes a version to one node, unless a push to that node is in flight: outdated
// versions would fill a slow link. The node pulls the versions that were skipped.
func (s *Syncer) pushTo(ctx context.Context, address string, message versionUpdate) {
	if _, busy := s.pushing.LoadOrStore(address, true); busy {
		return
	}
	defer s.pushing.Delete(address)

	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()

	var held versionMessage

	// A node whose active version is not the base pulls the document in full.
	_ = s.options.Peers.Do(ctx, address, peer.LaneControl, methodPush, message, &held)
}
