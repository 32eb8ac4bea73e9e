package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/freshness"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
)

// Methods that announce a newer version to other nodes.
const (
	methodNotify = "Feed.Tell"
	methodHint   = "Feed.Hint"
)

const (
	// gossipGrace is the time within which a version reaches a healthy node.
	gossipGrace = 600 * time.Millisecond
	// noticeGrace is the time within which a version reaches a healthy watcher from the store.
	// All watches are answered at the same moment, and the slowest hosts take a tenth of a
	// second to decode the largest configuration.
	noticeGrace = 200 * time.Millisecond
)

// notice announces a version that the sender got from the store.
type notice struct {
	Version uint64 `msgpack:"Version"`
	Address string `msgpack:"Address"`
}

// Check reports whether a decoded message is valid.
func (t *notice) Check() error {
	if t.Version == 0 || t.Address == "" {
		return errInvalidMessage.With("Version or Address is missing")
	}

	return nil
}

// notifyDomains notifies one watcher of each other failure domain of a version that came from
// the store.
//
// The store may stop answering all nodes of a failure domain while their watches stay open
// without an error. A new version would reach that failure domain only after the dead watches
// are detected, which takes longer than a version may take to become active. With the notice
// it arrives within half a second.
func (s *Syncer) notifyDomains(ctx context.Context, version uint64) {
	self := s.options.Members.Self()
	message := notice{Version: version, Address: self.PeerAddress}
	ownWatchers := s.options.Members.FirstOf(self.FailureDomain, Watchers)
	index := slices.IndexFunc(ownWatchers, func(r membership.Record) bool { return r.ID == self.ID })

	if index < 0 {
		// The store rejects the watchers of this failure domain, so that this node notifies them.
		for _, r := range ownWatchers {
			go s.sendNotice(ctx, r.PeerAddress, message)
		}
	}

	for _, domain := range s.options.Members.Domains() {
		watchers := s.options.Members.FirstOf(domain, Watchers)
		if domain != self.FailureDomain && len(watchers) > 0 {
			go s.sendNotice(ctx, watchers[max(index, 0)%len(watchers)].PeerAddress, message)
		}
	}
}

func (s *Syncer) sendNotice(ctx context.Context, address string, message notice) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()

	var held versionMessage

	// A watcher that misses this notice gets one from another failure domain.
	_ = s.options.Peers.Do(ctx, address, peer.LaneControl, methodNotify, message, &held)
}

// serveNotify handles a notice of a version. Usually this node's own watch returns the version
// at the same moment; otherwise closeGaps pulls it from the sender.
func (s *Syncer) serveNotify(_ context.Context, in notice) (versionMessage, error) {
	s.fresh.Hear(freshness.Report{Version: in.Version, Address: in.Address, Grace: noticeGrace})

	return versionMessage{Version: s.options.Holder.Number()}, nil
}

// serveHint handles what a watcher of any failure domain found in a check of the store. Without a
// claim it found a version that the watches have missed.
func (s *Syncer) serveHint(_ context.Context, in versionMessage) (versionMessage, error) {
	switch c := in.Claim; {
	case c != nil:
		s.learn(said{version: in.Version, claim: c, at: time.Now()})
	case in.Version > s.options.Holder.Number() && s.watchOpen.Load():
		signal(s.restartWatch)
	}

	return versionMessage{Version: s.options.Holder.Number()}, nil
}

// ObserveVersion handles gossip that the node at address has a version. Usually the version is about to
// arrive from the store or a watcher. Only if it does not arrive in time is it pulled, if
// necessary from another failure domain.
func (s *Syncer) ObserveVersion(_ context.Context, address string, version uint64) {
	s.fresh.Hear(freshness.Report{Version: version, Address: address, Grace: gossipGrace})
}

func (s *Syncer) sendHint(ctx context.Context, address string, message versionMessage) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()

	var held versionMessage

	// A watcher that misses the hint checks the store itself.
	_ = s.options.Peers.Do(ctx, address, peer.LaneControl, methodHint, message, &held)
}
