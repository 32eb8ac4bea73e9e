package membership

import (
	"context"
	"time"
)

// Default values of the options.
const (
	// DefaultInterval is the mean pause between rounds while there are changes. Each round
	// roughly triples the number of nodes that know a change; with some margin, 4,300 nodes
	// learn of a draining backend server within two seconds.
	DefaultInterval = 100 * time.Millisecond
	// DefaultProbe is the mean pause between probes of random nodes. Each node is probed about
	// once a second at any fleet size.
	DefaultProbe = time.Second
	// DefaultTimeout bounds a probe: some hundred times the round-trip time between hosts.
	DefaultTimeout = 500 * time.Millisecond
	// DefaultShortest and DefaultLongest are the times in which a node can refute a suspicion
	// by three observers or by one. Two seconds are ten rounds of gossip in each direction,
	// enough that a garbage collector pause or a lost frame does not cause a false death.
	DefaultShortest = 2 * time.Second
	DefaultLongest  = 6 * time.Second
	// DefaultFanout is the number of nodes that changes are sent to in a round.
	DefaultFanout = 2
	// DefaultHelpers is the number of nodes that are asked to probe an unresponsive node
	// before it is suspected.
	DefaultHelpers = 3
	// DefaultReconnect is the mean pause between attempts to reach a dead node, or a seed that
	// is not live. These attempts detect that a network partition has healed.
	DefaultReconnect = 5 * time.Second
	// DefaultSync is the mean pause after a successful digest comparison.
	DefaultSync = 5 * time.Second
	// DefaultForget is how long the record of a dead or left node is kept.
	DefaultForget = 24 * time.Hour
)

// Epochs tracks the latest known epoch of the platform's store.
type Epochs interface {
	Number() uint64
	// Observe reports an epoch received from a peer; it returns false if the epoch is over.
	Observe(number uint64) bool
}

// Options configures a Gossip.
type Options struct {
	Interval       time.Duration
	Probe          time.Duration
	Timeout        time.Duration
	Suspicion      Suspicion
	Fanout         int
	Helpers        int
	Reconnect      time.Duration
	Sync           time.Duration
	Forget         time.Duration
	Seeds          []string
	Version        func() uint64
	ObserveVersion func(ctx context.Context, address string, version uint64)
	FindPeers      func(ctx context.Context) []string
	Epochs         Epochs
}

// Option modifies Options.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Interval:       DefaultInterval,
		Probe:          DefaultProbe,
		Timeout:        DefaultTimeout,
		Suspicion:      Suspicion{Shortest: DefaultShortest, Longest: DefaultLongest},
		Fanout:         DefaultFanout,
		Helpers:        DefaultHelpers,
		Reconnect:      DefaultReconnect,
		Sync:           DefaultSync,
		Forget:         DefaultForget,
		Version:        func() uint64 { return 0 },
		ObserveVersion: func(context.Context, string, uint64) {},
		FindPeers:      func(context.Context) []string { return nil },
		Epochs:         noEpochs{},
	}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Seeds sets the addresses to contact first when joining.
func Seeds(addresses ...string) Option { return func(o *Options) { o.Seeds = addresses } }

// FindPeers sets the source of addresses to join if no seed answers.
func FindPeers(f func(ctx context.Context) []string) Option {
	return func(o *Options) { o.FindPeers = f }
}

// Version sets the function that returns the stored configuration version.
func Version(f func() uint64) Option { return func(o *Options) { o.Version = f } }

// ObserveVersion sets the function that is called with configuration versions reported by peers.
func ObserveVersion(f func(ctx context.Context, address string, version uint64)) Option {
	return func(o *Options) { o.ObserveVersion = f }
}

// WithEpochs sets where the store epoch sent to peers comes from and received epochs go to.
func WithEpochs(e Epochs) Option { return func(o *Options) { o.Epochs = e } }

// noEpochs is the default if no Epochs is set.
type noEpochs struct{}

func (noEpochs) Number() uint64      { return 0 }
func (noEpochs) Observe(uint64) bool { return true }

// Interval sets the mean pause between rounds while there are changes.
func Interval(d time.Duration) Option { return func(o *Options) { o.Interval = d } }

// Probe sets the mean pause between probes.
func Probe(d time.Duration) Option { return func(o *Options) { o.Probe = d } }

// WithSuspicion sets how long a suspected node can refute.
func WithSuspicion(s Suspicion) Option { return func(o *Options) { o.Suspicion = s } }

// Forget sets how long the record of a dead or left node is kept.
func Forget(d time.Duration) Option { return func(o *Options) { o.Forget = d } }
