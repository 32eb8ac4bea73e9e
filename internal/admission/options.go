package admission

import "time"

// Options of a queue.
type Options struct {
	Slots       int
	ServiceTime time.Duration
	Order       Order
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{ServiceTime: time.Millisecond}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Slots sets how many calls run at once.
func Slots(n int) Option { return func(o *Options) { o.Slots = n } }

// ServiceTime sets the first guess of how long a call holds a slot.
func ServiceTime(d time.Duration) Option { return func(o *Options) { o.ServiceTime = d } }

// WithOrder sets which of a caller's waiting calls goes next.
func WithOrder(order Order) Option { return func(o *Options) { o.Order = order } }
