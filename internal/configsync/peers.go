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
	// askEvery is the pause between questions to a watcher.
	askEvery = 500 * time.Millisecond
	// askTime bounds a question, pushTime a push to a host with a slow link.
	askTime  = 400 * time.Millisecond
	pushTime = 2 * time.Second
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

// ask asks a watcher of the own failure domain now and then, and one of any failure
// domain while none of them knows what is current.
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

		if f.pullOne(ctx, watchers) || (!f.current.Load() && f.pullOne(ctx, without(f.watchersOfAll(), self.ID))) {
			f.informed.Store(steady())
		}
	}
}

// watchersOfAll returns the watchers of all failure domains.
func (f *Feed) watchersOfAll() []membership.Record {
	var out []membership.Record

	for _, domain := range f.options.Members.Domains() {
		out = append(out, f.options.Members.FirstOf(domain, Watchers)...)
	}

	return out
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

	f.answered.Store(steady())

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

		before, _ := f.options.Holder.Before()

		message, err := f.newer(before)
		if err != nil {
			continue // the others ask by themselves
		}

		for _, r := range f.options.Members.Neighbours() {
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
