package etcd

import "time"

// DefaultTimeout is the default timeout of one call. The store normally answers
// within milliseconds.
const DefaultTimeout = 3 * time.Second

// Options are the options of a store.
type Options struct {
	Endpoints []string
	Timeout   time.Duration
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{Timeout: DefaultTimeout}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Endpoints sets the base URLs. A request that gets no
// response moves the store on to the next URL.
func Endpoints(urls ...string) Option { return func(o *Options) { o.Endpoints = urls } }

// Timeout sets the timeout of one call.
func Timeout(d time.Duration) Option { return func(o *Options) { o.Timeout = d } }
