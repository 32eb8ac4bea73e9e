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

// Snapshots gives the settings in force.
type Snapshots interface {
	Load() *settings.Snapshot
}

// Serving gives the nodes whose backend server takes calls of a service.
type Serving interface {
	Serving(service string) []membership.Record
}

// Finder gives the record of a node.
type Finder interface {
	Find(id string) (membership.Record, bool)
}

// Owners gives the process that is the home of an opaque key.
type Owners interface {
	Owner(text string) (node, life string, ok bool)
	// Nudge tells that a call found no owner.
	Nudge()
	// Refresh asks the node that was taken for the owner for a newer list.
	Refresh(ctx context.Context, address string)
	// Renew asks whoever would follow the owner of a key, and reports whether there
	// is a newer list.
	Renew(ctx context.Context, text string) bool
}

type noOwners struct{}

func (noOwners) Nudge() {}

func (noOwners) Refresh(context.Context, string) {}

func (noOwners) Renew(context.Context, string) bool { return false }

func (noOwners) Owner(string) (node, life string, ok bool) { return "", "", false }

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Intake says what a node that is being stopped still takes.
type Intake interface {
	// Takes reports whether a call is taken that may last until its time limit.
	Takes(limit time.Time) bool
}

// Options of an entry.
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
	// Standstill notices when this process stands still.
	Standstill *stall.Watchdog
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Selector: selection.New(),
		Recorder: timeline.New(),
		Intake:   draining.New(),
		Shards:   noOwners{},

		Standstill: stall.New(),
	}
	for _, opt := range opts {
		opt(&o)
	}

	if o.Home == nil {
		o.Home = once.New(o.Node, key.NewBootID(0))
	}

	return o
}

// Node names this node.
func Node(id string) Option { return func(o *Options) { o.Node = id } }

// Settings sets where the settings in force are.
func Settings(s Snapshots) Option { return func(o *Options) { o.Settings = s } }

// Members sets who knows the nodes.
func Members(m Serving) Option { return func(o *Options) { o.Members = m } }

// WithPeers sets who sends messages.
func WithPeers(p Peers) Option { return func(o *Options) { o.Peers = p } }

// Selector sets who picks a gate.
func Selector(s *selection.Selector) Option { return func(o *Options) { o.Selector = s } }

// Recorder sets where events go.
func Recorder(r *timeline.Recorder) Option { return func(o *Options) { o.Recorder = r } }

// WithIntake sets what says which calls are taken.
func WithIntake(i Intake) Option { return func(o *Options) { o.Intake = i } }

// Home sets the home of the keys that this process starts.
func Home(h *once.Home) Option { return func(o *Options) { o.Home = h } }

// Nodes sets who finds the homes of other keys.
func Nodes(f Finder) Option { return func(o *Options) { o.Nodes = f } }

// Shards sets who knows the homes of opaque keys.
func Shards(s Owners) Option { return func(o *Options) { o.Shards = s } }

// Standstill sets what notices when this process stands still.
func Standstill(w *stall.Watchdog) Option { return func(o *Options) { o.Standstill = w } }
