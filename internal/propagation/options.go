package propagation

import "time"

// Options of a propagator.
type Options struct {
	// ID, Address and Domain describe this node.
	ID, Address, Domain string
	// Members returns the live members of the failure domain, this node included.
	Members func() []Member
	// Others returns addresses of live nodes in any failure domain and of the seeds.
	Others func() []string
	// Watching reports whether this node is one of the watchers of its failure domain.
	Watching func() bool
	Strategy Strategy

	// Fanout is how many members a node pushes to. With 16, a domain of 307 nodes has
	// two levels below its watchers.
	Fanout int
	// PushInterval is the minimum time between two pushes to one member. Changes
	// within it are sent as one delta.
	PushInterval time.Duration
	// MaxPullDelay limits the random pause before a pull, during which a push may
	// arrive.
	MaxPullDelay time.Duration
	// Timeout limits a push, or the pull of one piece.
	Timeout time.Duration
	// Retry is the first pause after a failed call to the platform, and MaxRetry the
	// longest; both have full jitter.
	Retry, MaxRetry time.Duration
	// RecheckInterval is how often a watcher reads the head in addition to its watch:
	// a watch on a connection that breaks without notice never ends.
	RecheckInterval time.Duration
	// MaxTreesServed limits the concurrent pulls of the whole tree.
	MaxTreesServed int
}

// Strategy selects how versions reach the nodes.
type Strategy int

// The strategies. All but StrategyTree are baselines for measurements.
const (
	// StrategyTree pushes deltas from the watchers down a tree in each failure domain.
	StrategyTree Strategy = iota
	// StrategyPoll makes every node poll the platform.
	StrategyPoll
	// StrategyFullPush makes watchers push the whole tree to each member.
	StrategyFullPush
)

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Members:         func() []Member { return nil },
		Others:          func() []string { return nil },
		Watching:        func() bool { return true },
		Fanout:          16,
		MaxPullDelay:    200 * time.Millisecond,
		Timeout:         time.Second,
		Retry:           500 * time.Millisecond,
		MaxRetry:        8 * time.Second,
		RecheckInterval: 15 * time.Second,
		MaxTreesServed:  4,
	}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Self sets the node's own ID, peer address and failure domain.
func Self(id, address, domain string) Option {
	return func(o *Options) { o.ID, o.Address, o.Domain = id, address, domain }
}

// Members sets the function that returns the live members of the failure domain.
func Members(f func() []Member) Option { return func(o *Options) { o.Members = f } }

// Others sets the function that returns addresses to contact if the failure domain has
// no newer version.
func Others(f func() []string) Option { return func(o *Options) { o.Others = f } }

// Watching sets the function that decides whether this node watches the platform.
func Watching(f func() bool) Option { return func(o *Options) { o.Watching = f } }

// Frugal saves bytes at the cost of latency: changes within two seconds are sent
// together, and a node that learns of a newer version waits longer for the push.
func Frugal() Option {
	return func(o *Options) {
		o.PushInterval = 2 * time.Second
		o.MaxPullDelay = time.Second
		o.RecheckInterval = time.Minute
	}
}

// With sets the strategy.
func With(s Strategy) Option { return func(o *Options) { o.Strategy = s } }

// Retry sets the first pause between attempts to reach the platform.
func Retry(d time.Duration) Option { return func(o *Options) { o.Retry = d } }
