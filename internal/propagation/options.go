package propagation

import "time"

// Options of a spreader.
type Options struct {
	// ID, Address and Domain are the node's own.
	ID, Address, Domain string
	// Domains gives the live members of the failure domain, the node included.
	Members func() []Member
	// Others gives addresses of live nodes anywhere and of the seeds.
	Others func() []string
	// Watching reports whether this node is one of its domain's watchers.
	Watching func() bool
	Strategy Strategy

	// Fanout is how many members a node pushes to. With 16, a domain of 307
	// nodes is two steps deep behind its watchers.
	Fanout int
	// Pace is the least time between two pushes to one member. Changes that come
	// closer together travel as one delta.
	Pace time.Duration
	// Wait bounds the random pause before a pull, in which a push may arrive.
	Wait time.Duration
	// Timeout bounds a push or a pull of one piece.
	Timeout time.Duration
	// Retry is the first pause after the platform failed, and MaxRetry the
	// longest; both are jittered in full.
	Retry, MaxRetry time.Duration
	// Recheck is how often a watcher reads the head besides watching it: a watch
	// on a link that is cut without notice never ends.
	Recheck time.Duration
	// Serves bounds the whole trees served at a time.
	Serves int
}

// Strategy is how versions reach nodes.
type Strategy int

// The strategies. All but StrategyTree are baselines for measurements.
const (
	// StrategyTree pushes deltas from watchers down a tree in each domain.
	StrategyTree Strategy = iota
	// StrategyPoll has every node poll the platform.
	StrategyPoll
	// StrategyFullPush has watchers push the whole tree to each member.
	StrategyFullPush
)

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Members:  func() []Member { return nil },
		Others:   func() []string { return nil },
		Watching: func() bool { return true },
		Fanout:   16,
		Wait:     200 * time.Millisecond,
		Timeout:  time.Second,
		Retry:    500 * time.Millisecond,
		MaxRetry: 8 * time.Second,
		Recheck:  15 * time.Second,
		Serves:   4,
	}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Self sets the node's own name, peer address and failure domain.
func Self(id, address, domain string) Option {
	return func(o *Options) { o.ID, o.Address, o.Domain = id, address, domain }
}

// Members sets who gives the live members of the failure domain.
func Members(f func() []Member) Option { return func(o *Options) { o.Members = f } }

// Others sets who gives addresses to ask when the domain does not help.
func Others(f func() []string) Option { return func(o *Options) { o.Others = f } }

// Watching sets who decides whether this node watches the platform.
func Watching(f func() bool) Option { return func(o *Options) { o.Watching = f } }

// Frugal saves bytes at the price of time: changes within two seconds travel
// together, and a node that hears of a version waits longer for the push.
func Frugal() Option {
	return func(o *Options) {
		o.Pace = 2 * time.Second
		o.Wait = time.Second
		o.Recheck = time.Minute
	}
}

// With sets the strategy.
func With(s Strategy) Option { return func(o *Options) { o.Strategy = s } }

// Retry sets the first pause between tries.
func Retry(d time.Duration) Option { return func(o *Options) { o.Retry = d } }
