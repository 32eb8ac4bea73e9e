package spread

import "time"

// DefaultRetry is the pause between tries to follow the platform.
const DefaultRetry = 500 * time.Millisecond

// Options of a spreader.
type Options struct {
	// Watching reports whether this node is one of its domain's watchers.
	Watching func() bool
	Retry    time.Duration
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{Watching: func() bool { return true }, Retry: DefaultRetry}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Watching sets who decides whether this node watches the platform.
func Watching(f func() bool) Option { return func(o *Options) { o.Watching = f } }

// Retry sets the pause between tries.
func Retry(d time.Duration) Option { return func(o *Options) { o.Retry = d } }
