package shard

import (
	"time"

	"github.com/pollencart/pollencart/internal/timeline"
)

// Defaults of the options.
const (
	// DefaultSettle is how long a node listens to gossip before it claims vacant
	// shards: the first node of a domain would otherwise take them all.
	DefaultSettle = time.Second
	// DefaultRepeat is the longest time after which a caller may still repeat an
	// opaque key whose home was replaced.
	DefaultRepeat = 5 * time.Minute
	// DefaultRefresh is how often a node compares its list with a peer's.
	DefaultRefresh = 5 * time.Second
	// DefaultRetry is how often a node tries while a shard has no owner.
	DefaultRetry = 250 * time.Millisecond
)

// Options of a keeper.
type Options struct {
	Settle   time.Duration
	Repeat   time.Duration
	Refresh  time.Duration
	Retry    time.Duration
	Domains  func() []string
	Watching func() bool
	Recorder *timeline.Recorder
}

// Option sets an option.
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

// Repeat sets how long a caller may repeat a key after its home was replaced.
func Repeat(d time.Duration) Option { return func(o *Options) { o.Repeat = d } }

// Domains sets what gives the failure domains, from the settings in force; they
// are asked for once in the life of a deployment.
func Domains(f func() []string) Option { return func(o *Options) { o.Domains = f } }

// Watching sets what tells whether this node reads the platform for others.
func Watching(f func() bool) Option { return func(o *Options) { o.Watching = f } }

// Recorder sets where events go.
func Recorder(r *timeline.Recorder) Option { return func(o *Options) { o.Recorder = r } }
