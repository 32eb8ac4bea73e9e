package ingress

import (
	"time"

	"github.com/pollencart/pollencart/internal/route"
)

// Defaults of the options.
const (
	// DefaultMaxConns is below the descriptors that a process has, with room for
	// the connections to other nodes and to the backend server.
	DefaultMaxConns = 3000
	// DefaultHeaderTimeout, DefaultHeaderBytes and DefaultBodyBytes hold until a
	// version is in force.
	DefaultHeaderTimeout = 5 * time.Second
	DefaultHeaderBytes   = 16 << 10
	DefaultBodyBytes     = 64 << 20
	// DefaultIdleTimeout is longer than any caller keeps an unused connection; one
	// that is closed while its caller sends costs the caller a repeat.
	DefaultIdleTimeout = 2 * time.Minute
	// idleSpare lengthens the configured idle time, which callers use up to four
	// fifths of, so that a change of it does not meet a caller half way.
	idleSpare = 2
)

// Options of a server.
type Options struct {
	MaxConns int
	Limits   func() route.Limits
	Observer Observer
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{MaxConns: DefaultMaxConns, Limits: DefaultLimits, Observer: unobserved{}}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// DefaultLimits hold until a version is in force.
func DefaultLimits() route.Limits {
	return route.Limits{
		HeaderBytes: DefaultHeaderBytes, BodyBytes: DefaultBodyBytes,
		HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout,
	}
}

// Limits sets where the limits towards callers are.
func Limits(h *route.Holder) Option {
	return func(o *Options) {
		o.Limits = func() route.Limits {
			if t := h.Load(); t != nil {
				return t.Limits()
			}

			return DefaultLimits()
		}
	}
}

// MaxConns bounds the connections.
func MaxConns(n int) Option { return func(o *Options) { o.MaxConns = n } }

// WithObserver sets who is told how answers were delivered.
func WithObserver(to Observer) Option { return func(o *Options) { o.Observer = to } }
