package selection

import (
	"math/rand/v2"
	"time"
)

// Options of a selector.
type Options struct {
	Region        string
	FailureDomain string
	// Distances is how much cheaper a gate in another failure domain of the
	// region, and in another region, has to be.
	Distances [tiers]time.Duration
	Random    Random
}

// Random draws from the exponential distribution.
type Random interface{ ExpFloat64() float64 }

// Option sets an option.
type Option func(*Options)

// A way to another failure domain and back takes one to two milliseconds in the
// deployments that we know, one to another region about ten.
const (
	domainDistance = time.Millisecond
	regionDistance = 10 * time.Millisecond
)

func newOptions(opts ...Option) Options {
	o := Options{Distances: [tiers]time.Duration{0, domainDistance, regionDistance}, Random: global{}}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Region says where this node is.
func Region(name string) Option { return func(o *Options) { o.Region = name } }

// FailureDomain says where in the region this node is.
func FailureDomain(name string) Option { return func(o *Options) { o.FailureDomain = name } }

// WithRandom sets the source of random choices; tests fix it.
func WithRandom(r Random) Option { return func(o *Options) { o.Random = r } }

type global struct{}

func (global) ExpFloat64() float64 { return rand.ExpFloat64() }
