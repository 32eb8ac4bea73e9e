package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/freshness"
	"github.com/pollencart/pollencart/internal/idle"
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
// at the same moment; otherwise fetchNoticed pulls it from the sender.
func (s *Syncer) serveNotify(_ context.Context, in notice) (versionMessage, error) {
	s.informedAt.Store(monotonic())
	s.fresh.Hear(freshness.Report{Version: in.Version, Address: in.Address, Grace: noticeGrace})

	s.mu.Lock()
	defer s.mu.Unlock()

	if in.Version > max(s.newest.Version, s.options.Holder.Number()) {
		s.newest = in
		signal(s.noticed)
	}

	return versionMessage{Version: s.options.Holder.Number()}, nil
}

// fetchNoticed pulls noticed versions that do not arrive within noticeGrace.
func (s *Syncer) fetchNoticed(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.noticed:
		}

		idle.For(ctx, noticeGrace)

		s.mu.Lock()
		newest := s.newest
		s.mu.Unlock()

		if newest.Version > s.options.Holder.Number() {
			s.pullMissed(ctx, newest.Address)
		}
	}
}

// serveHint handles a hint that this node's watch may have missed a version.
func (s *Syncer) serveHint(_ context.Context, in versionMessage) (versionMessage, error) {
	if in.Version > s.options.Holder.Number() {
		signal(s.restartWatch)
	}

	return versionMessage{Version: s.options.Holder.Number()}, nil
}

// ObserveVersion handles gossip that the node at address has a version. Usually the version is about to
// arrive from the store or a watcher. Only if it does not arrive in time is it pulled, if
// necessary from another failure domain.
func (s *Syncer) ObserveVersion(ctx context.Context, address string, version uint64) {
	s.fresh.Hear(freshness.Report{Version: version, Address: address, Grace: gossipGrace})

	if version <= s.options.Holder.Number() || s.awaitingVersion.Swap(true) {
		return
	}
	defer s.awaitingVersion.Store(false)

	idle.For(ctx, gossipGrace)

	switch {
	case version <= s.options.Holder.Number():
	case s.storeReachable.Load():
		s.pullMissed(ctx, address)
	case monotonic()-s.informedAt.Load() > int64(informedTimeout):
		s.pull(ctx, address)
	}
}

// pullMissed restarts the watch, which did not return a version that another node has, and
// pulls that version.
func (s *Syncer) pullMissed(ctx context.Context, address string) {
	signal(s.restartWatch)
	s.pull(ctx, address)
}

// hint notifies the watchers of all failure domains that their watch may have missed a
// version.
func (s *Syncer) hint(ctx context.Context) {
	for _, r := range membership.Without(s.allWatchers(), s.options.Members.Self().ID) {
		go s.sendHint(ctx, r.PeerAddress)
	}
}

func (s *Syncer) sendHint(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()

	var held versionMessage

	// A watcher that misses the hint finds the change when it polls the revision.
	_ = s.options.Peers.Do(ctx, address, peer.LaneControl, methodHint, versionMessage{Version: s.options.Holder.Number()}, &held)
}
