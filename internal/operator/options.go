package operator

import (
	"context"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/upstream"
	"github.com/pollencart/pollencart/pkg/settings"
)

// FleetView asks all nodes.
type FleetView interface {
	Status(ctx context.Context) Status
	Timeline(ctx context.Context, f timeline.Filter) []timeline.Entry
	// Floor is the newest version known here.
	Floor() uint64
}

// Snapshots gives the settings in force.
type Snapshots interface {
	Load() *settings.Snapshot
	// Known is the version in force here and the ones before it.
	Known() acceptance.Known
}

// Options of the interface.
type Options struct {
	Acceptor  *acceptance.Acceptor
	Snapshots Snapshots
	Fleet     FleetView
	Host      *upstream.Host
	Accepted  func(settings.Version)
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{Accepted: func(settings.Version) {}}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Acceptor sets who accepts trees.
func Acceptor(a *acceptance.Acceptor) Option { return func(o *Options) { o.Acceptor = a } }

// WithSnapshots sets where the settings in force are.
func WithSnapshots(s Snapshots) Option { return func(o *Options) { o.Snapshots = s } }

// Fleet sets who asks all nodes.
func Fleet(f FleetView) Option { return func(o *Options) { o.Fleet = f } }

// Host sets who takes announcements.
func Host(h *upstream.Host) Option { return func(o *Options) { o.Host = h } }

// Accepted sets who is told of an accepted version.
func Accepted(f func(settings.Version)) Option { return func(o *Options) { o.Accepted = f } }
