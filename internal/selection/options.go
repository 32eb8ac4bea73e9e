package selection

import (
	"math/rand/v2"
	"time"
)

// Options configures a selector.
type Options struct {
	Region        string
	FailureDomain string
	// Distances is the cost added to a gate in the same failure domain, in another
	// failure domain of the region, and in another region.
	Distances [tiers]time.Duration
	Random    Random
}

// Random samples the exponential distribution.
type Random interface{ ExpFloat64() float64 }

// Option sets an option.
type Option func(*Options)

// Typical round-trip times are one to two milliseconds to another failure domain and about
// ten to another region.
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

// Region sets the region of this node.
func Region(name string) Option { return func(o *Options) { o.Region = name } }

// FailureDomain sets the failure domain of this node.
func FailureDomain(name string) Option { return func(o *Options) { o.FailureDomain = name } }

// WithRandom sets the source of randomness. Tests use a fixed seed.
func WithRandom(r Random) Option { return func(o *Options) { o.Random = r } }

type global struct{}

func (global) ExpFloat64() float64 { return rand.ExpFloat64() }
