package announce

import (
	"context"

	"github.com/pollencart/pollencart/internal/backend"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Keeper persists confirmed departures beyond the end of this process.
type Keeper interface {
	Keep(ctx context.Context, instance string, started int64) error
	// Departed reports whether the departure of the instance, or of a later one with the
	// same ID, was confirmed. A start time of 0 matches any instance.
	Departed(ctx context.Context, instance string, started int64) (bool, error)
}

// Options configure a Host.
type Options struct {
	Keeper   Keeper
	Recorder *timeline.Recorder
	// Probe queries the backend server for its instance ID and health.
	Probe func(ctx context.Context) backend.Health
	// FirstStart reports that no earlier process can have confirmed a departure.
	FirstStart bool
	// Service is the service of the backend server on this host. Heartbeats of other services
	// are rejected; an empty Service accepts any.
	Service string
	// Changed is called with each new state.
	Changed func(State)
	// Permits reports whether the backend server may accept calls, as far as others decide.
	Permits func() bool
}

// Option configures a Host.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Recorder: timeline.New(),
		Probe:    func(context.Context) backend.Health { return backend.Health{} },
		Changed:  func(State) {},
		Permits:  func() bool { return true },
	}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// WithKeeper sets the storage for confirmed departures.
func WithKeeper(k Keeper) Option { return func(o *Options) { o.Keeper = k } }

// Recorder sets the recorder of events.
func Recorder(r *timeline.Recorder) Option { return func(o *Options) { o.Recorder = r } }

// Probe sets the function that queries the backend server for its instance ID and health.
func Probe(f func(ctx context.Context) backend.Health) Option {
	return func(o *Options) { o.Probe = f }
}

// FirstStart sets whether no earlier process can have confirmed a departure.
func FirstStart(first bool) Option { return func(o *Options) { o.FirstStart = first } }

// Service sets the service of the backend server on this host.
func Service(name string) Option { return func(o *Options) { o.Service = name } }

// Changed sets the function that is called with each new state.
func Changed(f func(State)) Option { return func(o *Options) { o.Changed = f } }

// Permits sets the function that reports whether the backend server may accept calls, as far as
// others decide. State reflects its current result.
func Permits(f func() bool) Option { return func(o *Options) { o.Permits = f } }
