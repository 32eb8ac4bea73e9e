package shard

import (
	"time"

	"github.com/pollencart/pollencart/internal/timeline"
)

// Default intervals of a keeper.
const (
	// DefaultSettle is how long a node collects members through gossip before it claims vacant
	// shards. Without it, the first node of a failure domain would claim them all.
	DefaultSettle = time.Second
	// DefaultRepeat is how long a caller may retry an opaque key after its owner was replaced.
	DefaultRepeat = 5 * time.Minute
	// DefaultRefresh is how often a node compares its list with that of a peer.
	DefaultRefresh = 5 * time.Second
	// DefaultRetry is the interval between rounds while a shard is vacant.
	DefaultRetry = 250 * time.Millisecond
)

// Options configures a Keeper.
type Options struct {
	Settle   time.Duration
	Repeat   time.Duration
	Refresh  time.Duration
	Retry    time.Duration
	Domains  func() []string
	Watching func() bool
	Recorder *timeline.Recorder
}

// Option changes one of the Options.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Settle: DefaultSettle, Repeat: DefaultRepeat, Refresh: DefaultRefresh, Retry: DefaultRetry,
		Domains:  func() []string { return nil },
		Watching: func() bool { return true },
		Recorder: timeline.New(),
	}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Settle sets how long a node waits before it claims vacant shards.
func Settle(d time.Duration) Option { return func(o *Options) { o.Settle = d } }

// Repeat sets how long a caller may retry a key after its owner was replaced.
func Repeat(d time.Duration) Option { return func(o *Options) { o.Repeat = d } }

// Domains sets the source of the failure domains in the active settings. It is used only to create
// the list, once per deployment.
func Domains(f func() []string) Option { return func(o *Options) { o.Domains = f } }

// Watching sets the function that reports whether this node reads the platform on behalf of its
// failure domain.
func Watching(f func() bool) Option { return func(o *Options) { o.Watching = f } }

// Recorder sets the recorder of timeline events.
func Recorder(r *timeline.Recorder) Option { return func(o *Options) { o.Recorder = r } }
