package caller

import (
	"net/http"
	"time"
)

// Defaults of the options.
const (
	// DefaultTries bounds how often a request is sent; the deadline of its context
	// usually ends it before.
	DefaultTries = 8
	// DefaultPatience is how long one node is waited for: longer than calls take,
	// and short enough to try another one before a person gives up.
	DefaultPatience = 3 * time.Second
)

// Options of a caller.
type Options struct {
	Nodes    []string
	Client   *http.Client
	Tries    int
	Patience time.Duration
	Name     string
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{Client: http.DefaultClient, Tries: DefaultTries, Patience: DefaultPatience}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Nodes sets the caller addresses of nodes, in any order.
func Nodes(addresses ...string) Option { return func(o *Options) { o.Nodes = addresses } }

// Client sets the HTTP client.
func Client(c *http.Client) Option { return func(o *Options) { o.Client = c } }

// Tries bounds how often a request is sent.
func Tries(n int) Option { return func(o *Options) { o.Tries = n } }

// Patience bounds how long one node is waited for.
func Patience(d time.Duration) Option { return func(o *Options) { o.Patience = d } }

// Name sets who the caller is; nodes are fair between callers.
func Name(name string) Option { return func(o *Options) { o.Name = name } }
