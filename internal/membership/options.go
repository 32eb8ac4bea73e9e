package membership

import (
	"context"
	"time"
)

// Defaults of the options.
const (
	// DefaultInterval is the pause between rounds while there is news. Each round
	// triples who has heard of a change, with some rounds for chance, so that a
	// leaving backend server is known to 4,300 nodes within two seconds.
	DefaultInterval = 100 * time.Millisecond
	// DefaultProbe is the pause between probes of random nodes. Each node is then
	// probed once a second whatever the fleet's size.
	DefaultProbe = time.Second
	// DefaultTimeout bounds a probe: some hundred times the way between hosts.
	DefaultTimeout = 500 * time.Millisecond
	// DefaultShortest and DefaultLongest are how long a suspected node may refute,
	// if three observers or one accuse it. Two seconds are ten rounds of gossip
	// each way, so that a pause of the garbage collector or a lost frame kills
	// nobody.
	DefaultShortest = 2 * time.Second
	DefaultLongest  = 6 * time.Second
	// DefaultFanout is to how many nodes news goes in a round.
	DefaultFanout = 2
	// DefaultHelpers is how many others are asked to probe a node that gave no
	// answer, before it is suspected.
	DefaultHelpers = 3
	// DefaultReconnect is the pause between tries to reach a node that is held for
	// dead, or a seed that is not among the live: it is how a cut that has healed
	// is noticed, by whichever node tries first.
	DefaultReconnect = 5 * time.Second
	// DefaultSync is the least pause between comparisons of digests.
	DefaultSync = 5 * time.Second
	// DefaultForget is how long a dead or left node is remembered.
	DefaultForget = 24 * time.Hour
)

// Epochs holds the newest epoch of the platform's store that was heard of.
type Epochs interface {
	Number() uint64
	// Observe takes an epoch, and reports false for one that is over.
	Observe(number uint64) bool
}

// Options of a gossip.
type Options struct {
	Interval  time.Duration
	Probe     time.Duration
	Timeout   time.Duration
	Suspicion Suspicion
	Fanout    int
	Helpers   int
	Reconnect time.Duration
	Sync      time.Duration
	Forget    time.Duration
	Seeds     []string
	Version   func() uint64
	Hear      func(ctx context.Context, address string, version uint64)
	Seek      func(ctx context.Context) []string
	Epochs    Epochs
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Interval:  DefaultInterval,
		Probe:     DefaultProbe,
		Timeout:   DefaultTimeout,
		Suspicion: Suspicion{Shortest: DefaultShortest, Longest: DefaultLongest},
		Fanout:    DefaultFanout,
		Helpers:   DefaultHelpers,
		Reconnect: DefaultReconnect,
		Sync:      DefaultSync,
		Forget:    DefaultForget,
		Version:   func() uint64 { return 0 },
		Hear:      func(context.Context, string, uint64) {},
		Seek:      func(context.Context) []string { return nil },
		Epochs:    noEpochs{},
	}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Seeds sets the addresses to ask first.
func Seeds(addresses ...string) Option { return func(o *Options) { o.Seeds = addresses } }

// Seek sets where addresses come from if no seed answers.
func Seek(f func(ctx context.Context) []string) Option { return func(o *Options) { o.Seek = f } }

// Version sets what tells the version held here.
func Version(f func() uint64) Option { return func(o *Options) { o.Version = f } }

// Hear sets who hears of versions held elsewhere.
func Hear(f func(ctx context.Context, address string, version uint64)) Option {
	return func(o *Options) { o.Hear = f }
}

// WithEpochs has the epoch told to other nodes, and taken from them.
func WithEpochs(e Epochs) Option { return func(o *Options) { o.Epochs = e } }

// noEpochs is for a node that knows of none.
type noEpochs struct{}

func (noEpochs) Number() uint64      { return 0 }
func (noEpochs) Observe(uint64) bool { return true }

// Interval sets the mean pause between rounds while there is news.
func Interval(d time.Duration) Option { return func(o *Options) { o.Interval = d } }

// Probe sets the mean pause between probes.
func Probe(d time.Duration) Option { return func(o *Options) { o.Probe = d } }

// WithSuspicion sets how long a suspected node may refute.
func WithSuspicion(s Suspicion) Option { return func(o *Options) { o.Suspicion = s } }

// Forget sets how long a dead or left node is remembered.
func Forget(d time.Duration) Option { return func(o *Options) { o.Forget = d } }
