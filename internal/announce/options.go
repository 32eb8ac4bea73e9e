package announce

import (
	"context"

	"github.com/pollencart/pollencart/internal/backend"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Keeper keeps who is leaving beyond the life of this process.
type Keeper interface {
	Keep(ctx context.Context, instance string, started int64) error
	// Departed reports whether the start was confirmed to leave, or one after it; a
	// start of 0 is any.
	Departed(ctx context.Context, instance string, started int64) (bool, error)
}

// Options of a host.
type Options struct {
	Keeper   Keeper
	Recorder *timeline.Recorder
	// Probe asks the backend server for its instance, and whether it is healthy.
	Probe func(ctx context.Context) backend.Health
	// FirstStart says that no earlier process can have confirmed a leaving.
	FirstStart bool
	// Service is that of the backend server on this host; a heartbeat of another one
	// names nobody to use. Empty believes any.
	Service string
	// Changed is told of each new state.
	Changed func(State)
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Recorder: timeline.New(),
		Probe:    func(context.Context) backend.Health { return backend.Health{} },
		Changed:  func(State) {},
	}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// WithKeeper sets who keeps leavings.
func WithKeeper(k Keeper) Option { return func(o *Options) { o.Keeper = k } }

// Recorder sets where events go.
func Recorder(r *timeline.Recorder) Option { return func(o *Options) { o.Recorder = r } }

// Probe sets what asks the backend server for its instance.
func Probe(f func(ctx context.Context) backend.Health) Option {
	return func(o *Options) { o.Probe = f }
}

// FirstStart sets whether no earlier process can have confirmed a leaving.
func FirstStart(first bool) Option { return func(o *Options) { o.FirstStart = first } }

// Service sets the service of the backend server on this host.
func Service(name string) Option { return func(o *Options) { o.Service = name } }

// Changed sets who is told of new states.
func Changed(f func(State)) Option { return func(o *Options) { o.Changed = f } }
