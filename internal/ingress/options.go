package ingress

import (
	"time"

	"github.com/pollencart/pollencart/internal/contain"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/route"
)

// Defaults of the options.
const (
	// DefaultMaxConns is below the file descriptor limit of a process and leaves room for
	// the connections to other nodes and to the backend server.
	DefaultMaxConns = 3000
	// DefaultHeaderTimeout, DefaultHeaderBytes and DefaultBodyBytes apply until a
	// configuration version is active.
	DefaultHeaderTimeout = 5 * time.Second
	DefaultHeaderBytes   = 16 << 10
	DefaultBodyBytes     = 64 << 20
	// DefaultMemoryBytes is the memory for all callers without a budget of the process.
	DefaultMemoryBytes = 96 << 20
	// DefaultIdleTimeout is longer than any caller keeps an unused connection, since a
	// caller has to retry a call that it sends while the server closes the connection.
	DefaultIdleTimeout = 2 * time.Minute
	// idleTimeoutFactor multiplies the configured idle timeout. Callers use up to four fifths of
	// that timeout and may still apply an older value after a change.
	idleTimeoutFactor = 2
)

// Options configure a server.
type Options struct {
	MaxConns int
	Limits   func() route.Limits
	Observer Observer
	// AcceptFailed is called when connections can't be accepted for a moment.
	AcceptFailed func(error)
	// Budget is the memory for all callers.
	Budget *membudget.Budget
	// Refused is called with the remote address of a client whose call was refused since there is no memory for it.
	Refused func(client string)
	// Panicked is called with a panic of the handler; its call is answered with 502.
	Panicked func(contain.Caught)
}

// Option changes the options.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		MaxConns: DefaultMaxConns, Limits: DefaultLimits, Observer: noopObserver{}, AcceptFailed: func(error) {},
		Panicked: func(contain.Caught) {}, Refused: func(string) {}, Budget: membudget.New(DefaultMemoryBytes),
	}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// DefaultLimits returns the limits that apply until a configuration version is active.
func DefaultLimits() route.Limits {
	return route.Limits{
		HeaderBytes: DefaultHeaderBytes, BodyBytes: DefaultBodyBytes,
		HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout,
	}
}

// Limits takes the limits for callers from the active configuration version in the holder.
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

// MaxConns bounds the open connections. For a further one the connection of the slowest caller is closed, or the
// further one if no caller is slow.
func MaxConns(n int) Option { return func(o *Options) { o.MaxConns = n } }

// WithBudget sets the memory for all callers.
func WithBudget(b *membudget.Budget) Option { return func(o *Options) { o.Budget = b } }

// WithObserver sets the observer of delayed and undelivered answers.
func WithObserver(to Observer) Option { return func(o *Options) { o.Observer = to } }

// AcceptFailed sets the callback for connections that can't be accepted for a moment.
func AcceptFailed(f func(error)) Option { return func(o *Options) { o.AcceptFailed = f } }

// Refused sets the callback for calls that were refused since there is no memory for them.
func Refused(f func(client string)) Option { return func(o *Options) { o.Refused = f } }

// Panicked sets the callback for panics of the handler.
func Panicked(f func(contain.Caught)) Option { return func(o *Options) { o.Panicked = f } }
