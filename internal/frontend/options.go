package frontend

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/draining"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/once"
	"github.com/pollencart/pollencart/internal/once/key"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/selection"
	"github.com/pollencart/pollencart/internal/stall"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Snapshots provides the active settings.
type Snapshots interface {
	Load() *settings.Snapshot
}

// Serving lists the nodes whose backend server accepts calls of a service.
type Serving interface {
	Serving(service string) []membership.Record
}

// Finder returns the member record of a node.
type Finder interface {
	Find(id string) (membership.Record, bool)
}

// Owners maps an opaque key to its home, the process that owns the key's shard.
type Owners interface {
	Owner(text string) (node, bootID string, ok bool)
	// Nudge triggers a search for owners after a call found none.
	Nudge()
	// Refresh requests a newer list of owners from the node at the address.
	Refresh(ctx context.Context, address string)
	// Renew requests a newer list of owners from the node that is next in line to own the
	// key, and reports whether there is one.
	Renew(ctx context.Context, text string) bool
}

type noOwners struct{}

func (noOwners) Nudge() {}

func (noOwners) Refresh(context.Context, string) {}

func (noOwners) Renew(context.Context, string) bool { return false }

func (noOwners) Owner(string) (node, bootID string, ok bool) { return "", "", false }

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Intake decides which calls a draining node still accepts.
type Intake interface {
	// Takes reports whether a call that may last until the limit is accepted.
	Takes(limit time.Time) bool
}

// Options configures an Entry.
type Options struct {
	Node     string
	Settings Snapshots
	Members  Serving
	Peers    Peers
	Selector *selection.Selector
	Recorder *timeline.Recorder
	Intake   Intake
	Home     *once.Home
	Nodes    Finder
	Shards   Owners
	// Stall detects stalls of this process.
	Stall *stall.Watchdog
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Selector: selection.New(),
		Recorder: timeline.New(),
		Intake:   draining.New(),
		Shards:   noOwners{},

		Stall: stall.New(),
	}
	for _, opt := range opts {
		opt(&o)
	}

	if o.Home == nil {
		o.Home = once.New(o.Node, key.NewBootID(0))
	}

	return o
}

// Node sets the ID of this node.
func Node(id string) Option { return func(o *Options) { o.Node = id } }

// Settings sets the source of the active settings.
func Settings(s Snapshots) Option { return func(o *Options) { o.Settings = s } }

// Members sets the list of nodes that serve each service.
func Members(m Serving) Option { return func(o *Options) { o.Members = m } }

// WithPeers sets the client that sends messages to other nodes.
func WithPeers(p Peers) Option { return func(o *Options) { o.Peers = p } }

// Selector sets the selector of the gate for each attempt.
func Selector(s *selection.Selector) Option { return func(o *Options) { o.Selector = s } }

// Recorder sets the recorder of events.
func Recorder(r *timeline.Recorder) Option { return func(o *Options) { o.Recorder = r } }

// WithIntake sets the check that a draining node applies to new calls.
func WithIntake(i Intake) Option { return func(o *Options) { o.Intake = i } }

// Home sets the store of the keys whose home is this process.
func Home(h *once.Home) Option { return func(o *Options) { o.Home = h } }

// Nodes sets the lookup of the member records of other homes.
func Nodes(f Finder) Option { return func(o *Options) { o.Nodes = f } }

// Shards sets the lookup of the homes of opaque keys.
func Shards(s Owners) Option { return func(o *Options) { o.Shards = s } }

// Stall sets the detector of stalls of this process.
func Stall(w *stall.Watchdog) Option { return func(o *Options) { o.Stall = w } }
