package operator

import (
	"context"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/upstream"
	"github.com/pollencart/pollencart/pkg/settings"
)

// FleetView queries all nodes of the fleet.
type FleetView interface {
	Status(ctx context.Context) Status
	Timeline(ctx context.Context, f timeline.Filter) []timeline.Entry
	// Floor returns the newest version that this node has learned of.
	Floor() uint64
}

// Snapshots provides the active settings.
type Snapshots interface {
	Load() *settings.Snapshot
	// Known returns the active version of this node and the versions before it.
	Known() acceptance.Known
}

// Options configures an API.
type Options struct {
	Acceptor   *acceptance.Acceptor
	Snapshots  Snapshots
	Fleet      FleetView
	Host       *upstream.Host
	OnAccepted func(settings.Version)
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{OnAccepted: func(settings.Version) {}}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Acceptor sets the acceptor of settings trees.
func Acceptor(a *acceptance.Acceptor) Option { return func(o *Options) { o.Acceptor = a } }

// WithSnapshots sets the source of the active settings.
func WithSnapshots(s Snapshots) Option { return func(o *Options) { o.Snapshots = s } }

// Fleet sets the FleetView that queries all nodes.
func Fleet(f FleetView) Option { return func(o *Options) { o.Fleet = f } }

// Host sets the receiver of announcements of the local backend server.
func Host(h *upstream.Host) Option { return func(o *Options) { o.Host = h } }

// OnAccepted sets the function that is called after a version is accepted.
func OnAccepted(f func(settings.Version)) Option { return func(o *Options) { o.OnAccepted = f } }
