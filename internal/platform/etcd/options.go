package etcd

import "time"

// DefaultTimeout bounds one call: the platform answers in milliseconds.
const DefaultTimeout = 3 * time.Second

// Options of a store.
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

// Endpoints sets the base URLs.
func Endpoints(urls ...string) Option { return func(o *Options) { o.Endpoints = urls } }

// Timeout bounds one call.
func Timeout(d time.Duration) Option { return func(o *Options) { o.Timeout = d } }
