package membership

import (
	"context"
	"time"
)

// Defaults of the options.
const (
	DefaultInterval = 200 * time.Millisecond
	DefaultTimeout  = 500 * time.Millisecond
	// DefaultSuspicion is how long a suspected node may refute: some ten rounds,
	// so that a pause of the garbage collector or a lost frame kills nobody.
	DefaultSuspicion = 2 * time.Second
	DefaultFanout    = 3
)

// Options of a gossip.
type Options struct {
	Interval  time.Duration
	Timeout   time.Duration
	Suspicion time.Duration
	Fanout    int
	Seeds     []string
	Version   func() uint64
	Hear      func(ctx context.Context, address string, version uint64)
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Interval:  DefaultInterval,
		Timeout:   DefaultTimeout,
		Suspicion: DefaultSuspicion,
		Fanout:    DefaultFanout,
		Version:   func() uint64 { return 0 },
		Hear:      func(context.Context, string, uint64) {},
	}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Seeds sets the addresses to ask first.
func Seeds(addresses ...string) Option { return func(o *Options) { o.Seeds = addresses } }

// Version sets what tells the version held here.
func Version(f func() uint64) Option { return func(o *Options) { o.Version = f } }

// Hear sets who hears of versions held elsewhere.
func Hear(f func(ctx context.Context, address string, version uint64)) Option {
	return func(o *Options) { o.Hear = f }
}

// Interval sets the mean pause between rounds.
func Interval(d time.Duration) Option { return func(o *Options) { o.Interval = d } }

// Suspicion sets how long a suspected node may refute.
func Suspicion(d time.Duration) Option { return func(o *Options) { o.Suspicion = d } }
