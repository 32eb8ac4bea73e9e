package peer

import (
	"crypto/tls"
	"time"

	"github.com/pollencart/pollencart/internal/contain"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Defaults of the options.
const (
	// DefaultDialTimeout bounds how long a call waits for a host that no longer runs. Round
	// trips between hosts take milliseconds, so a host that does not accept within a second
	// is considered unreachable.
	DefaultDialTimeout = time.Second
	// DefaultMaxConns allows two lanes from each node of a large service and for the members
	// that gossip at the same time.
	DefaultMaxConns = 4096
	// DefaultMaxInFlight bounds the concurrent requests of one connection.
	DefaultMaxInFlight = 1024
	// DefaultHelloTimeout bounds the time until the first whole frame of a connection.
	DefaultHelloTimeout = 5 * time.Second
	// DefaultIdleTimeout is when idle control connections are closed. Without it, probes of
	// random nodes would keep thousands of connections open for one probe an hour each.
	DefaultIdleTimeout = 10 * time.Second
)

// Keys provides the current TLS configurations.
type Keys interface {
	Server(verifyClient bool) *tls.Config
	Client() (*tls.Config, error)
}

// Clock provides the logical time that is sent with messages.
type Clock interface {
	Now() timeline.Stamp
	Observe(timeline.Stamp)
}

// Links reports which links are blocked; tests and experiments inject faults through it.
type Links interface {
	Blocked(address string) bool
}

// Options of a client or server.
type Options struct {
	// Address is the peer address of this node, announced to the peers it connects to.
	Address     string
	Clock       Clock
	Links       Links
	DialTimeout time.Duration
	MaxConns    int
	MaxInFlight int
	// TLS provides mutual authentication; nil means plaintext.
	TLS Keys
	// HelloTimeout bounds the time until the first whole frame of a connection.
	HelloTimeout time.Duration
	// IdleTimeout is how long an unused control connection is kept open.
	IdleTimeout time.Duration
	// Lost is called with the peer address of each request that got no answer.
	Lost func(address string)
	// Exchanged is called for each answered request.
	Exchanged func(Exchange)
	// AcceptFailed is called when connections can't be accepted for a moment.
	AcceptFailed func(error)
	// Panicked is called with a panic of a handler; its request is answered with ErrHandler.
	Panicked func(contain.Caught)
	// Budget is the memory for what other nodes send and for answers to them. Refusable are the methods whose
	// requests are refused with ErrOverloaded if it has no room.
	Budget    *membudget.Budget
	Refusable []string
	// Refused is called with the remote address of a node whose request was refused for lack of memory.
	Refused func(client string)
	// AnswerDropped is called with the peer address and the method of each request whose answer was dropped for lack of
	// memory.
	AnswerDropped func(address, method string)
	// WaitOnSuspect reports whether requests keep waiting on suspect connections instead of
	// failing. It is true while a node drains: the peer may still be working on the requests,
	// and the host has little processor time.
	WaitOnSuspect func() bool
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Clock:       &timeline.Clock{},
		Links:       noFaults{},
		DialTimeout: DefaultDialTimeout,
		MaxConns:    DefaultMaxConns,
		MaxInFlight: DefaultMaxInFlight,
		IdleTimeout: DefaultIdleTimeout,

		HelloTimeout:  DefaultHelloTimeout,
		Lost:          func(string) {},
		Exchanged:     func(Exchange) {},
		AcceptFailed:  func(error) {},
		Panicked:      func(contain.Caught) {},
		Refused:       func(string) {},
		AnswerDropped: func(string, string) {},
		WaitOnSuspect: func() bool { return false },
	}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Address sets the peer address of this node that is announced to peers.
func Address(a string) Option { return func(o *Options) { o.Address = a } }

// Lost sets the callback for peer addresses of requests that got no answer.
func Lost(f func(address string)) Option { return func(o *Options) { o.Lost = f } }

// Exchanged sets the callback for answered requests.
func Exchanged(f func(Exchange)) Option { return func(o *Options) { o.Exchanged = f } }

// AcceptFailed sets the callback for connections that can't be accepted for a moment.
func AcceptFailed(f func(error)) Option { return func(o *Options) { o.AcceptFailed = f } }

// Panicked sets the callback for panics of handlers.
func Panicked(f func(contain.Caught)) Option { return func(o *Options) { o.Panicked = f } }

// WaitOnSuspect sets the function that reports whether requests keep waiting on suspect
// connections.
func WaitOnSuspect(f func() bool) Option { return func(o *Options) { o.WaitOnSuspect = f } }

// WithBudget sets the memory for what other nodes send, and the methods whose requests are refused without.
func WithBudget(b *membudget.Budget, refusable ...string) Option {
	return func(o *Options) { o.Budget, o.Refusable = b, refusable }
}

// Refused sets the callback for requests that were refused for lack of memory.
func Refused(f func(client string)) Option { return func(o *Options) { o.Refused = f } }

// AnswerDropped sets the callback for answers that were dropped for lack of memory.
func AnswerDropped(f func(address, method string)) Option {
	return func(o *Options) { o.AnswerDropped = f }
}

// WithIdleTimeout sets how long an unused control connection is kept open.
func WithIdleTimeout(d time.Duration) Option { return func(o *Options) { o.IdleTimeout = d } }

// WithTLS enables mutual TLS with the given keys.
func WithTLS(k Keys) Option { return func(o *Options) { o.TLS = k } }

// WithHelloTimeout bounds the time until the first whole frame of a connection.
func WithHelloTimeout(d time.Duration) Option { return func(o *Options) { o.HelloTimeout = d } }

// WithClock sets the logical clock.
func WithClock(c Clock) Option { return func(o *Options) { o.Clock = c } }

// WithLinks sets the fault injection of links.
func WithLinks(l Links) Option { return func(o *Options) { o.Links = l } }

// WithDialTimeout bounds a dial, including the TLS handshake.
func WithDialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// WithMaxConns bounds the connections of a server.
func WithMaxConns(n int) Option { return func(o *Options) { o.MaxConns = n } }

// WithMaxInFlight bounds the concurrent requests of one connection.
func WithMaxInFlight(n int) Option { return func(o *Options) { o.MaxInFlight = n } }

type noFaults struct{}

func (noFaults) Blocked(string) bool { return false }
