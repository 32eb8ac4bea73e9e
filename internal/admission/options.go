package admission

import "time"

// Options of a queue.
type Options struct {
	Slots       int
	ServiceTime time.Duration
	Order       Order
}

// Option sets a field of Options.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{ServiceTime: time.Millisecond}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Slots sets the maximum number of running calls.
func Slots(n int) Option { return func(o *Options) { o.Slots = n } }

// ServiceTime sets the initial estimate of the service time.
func ServiceTime(d time.Duration) Option { return func(o *Options) { o.ServiceTime = d } }

// WithOrder sets the order of a caller's waiting calls.
func WithOrder(order Order) Option { return func(o *Options) { o.Order = order } }
