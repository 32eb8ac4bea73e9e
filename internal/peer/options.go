package peer

import (
	"crypto/tls"
	"time"

	"github.com/pollencart/pollencart/internal/timeline"
)

// Defaults of the options.
const (
	// DefaultDialTimeout bounds how long a call waits on a host that is gone:
	// hosts are milliseconds apart, so a second means that nobody is there.
	DefaultDialTimeout = time.Second
	// DefaultMaxConns leaves room for two lanes from each node of a large
	// service and for the members that gossip at the same time.
	DefaultMaxConns = 4096
	// DefaultMaxInFlight bounds the requests of one connection.
	DefaultMaxInFlight = 1024
	// DefaultHelloTimeout bounds a connection that says nothing.
	DefaultHelloTimeout = 5 * time.Second
	// DefaultIdleTimeout closes connections that probes of random nodes opened. A
	// node that kept them all would hold thousands for one probe an hour each.
	DefaultIdleTimeout = 10 * time.Second
)

// Keys gives the keys in use.
type Keys interface {
	Server(prove bool) *tls.Config
	Client() (*tls.Config, error)
}

// Clock stamps messages.
type Clock interface {
	Now() timeline.Stamp
	Observe(timeline.Stamp)
}

// Links tells which links are cut; tests and experiments cut them.
type Links interface {
	Blocked(address string) bool
}

// Options of a client or server.
type Options struct {
	// Address is the peer address of this node, told to those it connects to.
	Address     string
	Clock       Clock
	Links       Links
	DialTimeout time.Duration
	MaxConns    int
	MaxInFlight int
	// TLS has both ends of a connection prove themselves; nil is in the clear.
	TLS Keys
	// HelloTimeout bounds the time until the first whole frame of a connection.
	HelloTimeout time.Duration
	// IdleTimeout is how long a connection for control is kept unused.
	IdleTimeout time.Duration
	// Lost is told of peer addresses that a request could not reach.
	Lost func(address string)
	// Exchanged is told of each request that was answered.
	Exchanged func(Exchange)
	// Patient reports whether requests wait on connections that say nothing: during a
	// planned stop nothing may be given up that a peer works at, and the host has little
	// processor time.
	Patient func() bool
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Clock:       &timeline.Clock{},
		Links:       noCuts{},
		DialTimeout: DefaultDialTimeout,
		MaxConns:    DefaultMaxConns,
		MaxInFlight: DefaultMaxInFlight,
		IdleTimeout: DefaultIdleTimeout,

		HelloTimeout: DefaultHelloTimeout,
		Lost:         func(string) {},
		Exchanged:    func(Exchange) {},
		Patient:      func() bool { return false },
	}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Address sets the peer address that others are told.
func Address(a string) Option { return func(o *Options) { o.Address = a } }

// Lost sets who is told of peer addresses that a request could not reach.
func Lost(f func(address string)) Option { return func(o *Options) { o.Lost = f } }

// Exchanged sets who is told of each request that was answered.
func Exchanged(f func(Exchange)) Option { return func(o *Options) { o.Exchanged = f } }

// Patient sets what reports whether requests wait on connections that say nothing.
func Patient(f func() bool) Option { return func(o *Options) { o.Patient = f } }

// WithIdleTimeout sets how long a connection for control is kept unused.
func WithIdleTimeout(d time.Duration) Option { return func(o *Options) { o.IdleTimeout = d } }

// WithTLS sets the keys of both ends.
func WithTLS(k Keys) Option { return func(o *Options) { o.TLS = k } }

// WithHelloTimeout bounds the time until the first whole frame.
func WithHelloTimeout(d time.Duration) Option { return func(o *Options) { o.HelloTimeout = d } }

// WithClock sets the clock.
func WithClock(c Clock) Option { return func(o *Options) { o.Clock = c } }

// WithLinks sets the switch that cuts links.
func WithLinks(l Links) Option { return func(o *Options) { o.Links = l } }

// WithDialTimeout bounds connection attempts.
func WithDialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// WithMaxConns bounds the connections of a server.
func WithMaxConns(n int) Option { return func(o *Options) { o.MaxConns = n } }

// WithMaxInFlight bounds the requests of one connection.
func WithMaxInFlight(n int) Option { return func(o *Options) { o.MaxInFlight = n } }

type noCuts struct{}

func (noCuts) Blocked(string) bool { return false }
