package feed

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
	methodHint = "Feed.Hint"
)

const (
	// askEvery is the pause between questions to a watcher.
	askEvery = 500 * time.Millisecond
	// askTime bounds a question, pushTime a push to a host with a slow link.
	askTime  = 400 * time.Millisecond
	pushTime = 2 * time.Second
	// usualDelay is within what a version comes to a node that nothing is wrong with.
	usualDelay = 600 * time.Millisecond
	// maxDocument bounds a configuration: the largest value that the store holds.
	maxDocument = 2 << 20
)

// errMessage is returned for a message that does not check.
var errMessage = errs.New("feed.message", http.StatusBadRequest, "message not accepted")

// have tells which version a node holds.
type have struct {
	Version uint64 `msgpack:"Version"`
}

// newer is a version that is newer than what was held, if there is one.
type newer struct {
	Version uint64 `msgpack:"Version"`
	// Base is the version that Packed was made against, 0 if against none.
	Base   uint64 `msgpack:"Base"`
	Packed []byte `msgpack:"Packed"`
	// Current says that the store answers the node, so that it knows of no newer one
	// because there is none.
	Current bool `msgpack:"Current"`
}

// Check reports whether a decoded message can be used.
func (n *newer) Check() error {
	if len(n.Packed) > maxDocument {
		return errMessage.With("document of %d bytes", len(n.Packed))
	}

	return nil
}

// newer makes a message of the version in force for a node that holds the given one.
func (f *Feed) newer(held uint64) (newer, error) {
	version, raw := f.options.Holder.Raw()
	base, document := f.options.Holder.Before()

	if held != base {
		base, document = 0, nil
	}

	packed, err := pack(document, raw)

	return newer{Version: version, Base: base, Packed: packed, Current: f.current.Load()}, err
}

// takeNewer leaves a version of another node to be decoded. One that was made against
// a version that is not held here is asked for in full.
func (f *Feed) takeNewer(n newer) error {
	if n.Version <= f.options.Holder.Number() || len(n.Packed) == 0 {
		return nil
	}

	var base []byte

	if n.Base != 0 {
		held, raw := f.options.Holder.Raw()
		if held != n.Base {
			return errDelta.With("against version %d, version %d is held", n.Base, held)
		}

		base = raw
	}

	data, err := unpack(base, n.Packed)
	if err != nil {
		return err
	}

	f.offer(fromPeer, document{version: n.Version, data: data})

	return nil
}

func (f *Feed) servePull(_ context.Context, in have) (newer, error) {
	if f.options.Holder.Number() <= in.Version {
		return newer{Version: f.options.Holder.Number(), Current: f.current.Load()}, nil
	}

	return f.newer(in.Version)
}

func (f *Feed) servePush(_ context.Context, in newer) (have, error) {
	if in.Current {
		f.informed.Store(steady())
	}

	if f.takeNewer(in) != nil {
		signal(f.behind)
	}

	return have{Version: f.options.Holder.Number()}, nil
}

// serveHint takes word of a version that this node's watch may have missed.
func (f *Feed) serveHint(_ context.Context, in have) (have, error) {
	if in.Version > f.options.Holder.Number() {
		signal(f.hurry)
	}

	return have{Version: f.options.Holder.Number()}, nil
}

// Hear takes word by gossip that a node holds a version. Mostly it is on its way
// here already, from the store or a watcher; only if it does not come is it fetched,
// across failure domains if need be.
func (f *Feed) Hear(ctx context.Context, address string, version uint64) {
	if version <= f.options.Holder.Number() || f.late.Swap(true) {
		return
	}
	defer f.late.Store(false)

	sleep(ctx, usualDelay)

	switch {
	case version <= f.options.Holder.Number():
	case f.current.Load():
		signal(f.hurry)
	case steady()-f.informed.Load() > int64(uninformed):
		f.pull(ctx, address)
	}
}

// ask asks a watcher of the own failure domain now and then, and anyone while none
// of them knows what is current.
func (f *Feed) ask(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.behind:
		case <-time.After(askEvery/2 + rand.N(askEvery)):
		}

		if f.current.Load() && f.watches() {
			continue
		}

		self := f.options.Members.Self()
		watchers := without(f.options.Members.FirstOf(self.FailureDomain, Watchers), self.ID)

		if f.pullOne(ctx, watchers) {
			f.informed.Store(steady())

			continue
		}

		if !f.current.Load() {
			f.pullOne(ctx, without(f.options.Members.Live(), self.ID))
		}
	}
}

func without(records []membership.Record, id string) []membership.Record {
	out := make([]membership.Record, 0, len(records))

	for _, r := range records {
		if r.ID != id {
			out = append(out, r)
		}
	}

	return out
}

// pullOne asks one of the nodes and reports whether it is current.
func (f *Feed) pullOne(ctx context.Context, nodes []membership.Record) bool {
	if len(nodes) == 0 {
		return false
	}

	return f.pull(ctx, nodes[rand.IntN(len(nodes))].PeerAddress)
}

func (f *Feed) pull(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()

	var n newer

	err := f.options.Peers.Do(ctx, address, peer.LaneControl, methodPull, have{Version: f.options.Holder.Number()}, &n)
	if err != nil {
		return false // another one is asked the next time
	}

	return f.takeNewer(n) == nil && n.Current
}

// push passes what comes in force to the others of the failure domain while this
// node is a watcher.
func (f *Feed) push(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.fresh:
		}

		if !f.watches() {
			continue
		}

		self := f.options.Members.Self()
		before, _ := f.options.Holder.Before()

		message, err := f.newer(before)
		if err != nil {
			continue // the others ask by themselves
		}

		for _, r := range f.options.Members.Live() {
			if r.ID == self.ID || r.FailureDomain != self.FailureDomain {
				continue
			}

			go f.pushTo(ctx, r.PeerAddress, message)
		}
	}
}

// pushTo sends a version to one node, unless one is on its way there already: a slow
// link would be filled with versions that are out of date. The node asks for what it
// has missed.
func (f *Feed) pushTo(ctx context.Context, address string, message newer) {
	if _, busy := f.pushing.LoadOrStore(address, true); busy {
		return
	}
	defer f.pushing.Delete(address)

	ctx, cancel := context.WithTimeout(ctx, pushTime)
	defer cancel()

	var held have

	// A node that holds another version than the one before asks for what it needs.
	_ = f.options.Peers.Do(ctx, address, peer.LaneControl, methodPush, message, &held)
}

// hint tells the watchers of all failure domains that their watch may have missed a
// version.
func (f *Feed) hint(ctx context.Context) {
	self := f.options.Members.Self()
	domains := map[string]bool{}

	for _, r := range f.options.Members.Live() {
		domains[r.FailureDomain] = true
	}

	for domain := range domains {
		for _, r := range f.options.Members.FirstOf(domain, Watchers) {
			if r.ID != self.ID {
				go f.hintTo(ctx, r.PeerAddress)
			}
		}
	}
}

func (f *Feed) hintTo(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()

	var held have

	// A watcher that does not hear finds out by its own look at the store.
	_ = f.options.Peers.Do(ctx, address, peer.LaneControl, methodHint, have{Version: f.options.Holder.Number()}, &held)
}
