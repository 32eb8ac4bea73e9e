package caller

import (
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/http1/transport"
)

// Defaults of the options.
const (
	// DefaultTries is the maximum number of sends of a request. The deadline of its
	// context usually comes first.
	DefaultTries = 8
	// DefaultPatience is the timeout for one node: longer than calls take, and short
	// enough to try another node before a user abandons the request.
	DefaultPatience = 3 * time.Second
)

// Options configures a Caller.
type Options struct {
	Nodes    []string
	Client   *http.Client
	Tries    int
	Patience time.Duration
	Name     string
}

// Option sets a field of Options.
type Option func(*Options)

var defaultClient = &http.Client{Transport: transport.NewDefault()}

func newOptions(opts ...Option) Options {
	o := Options{Client: defaultClient, Tries: DefaultTries, Patience: DefaultPatience}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Nodes sets the addresses at which nodes accept requests of callers, in any order.
func Nodes(addresses ...string) Option { return func(o *Options) { o.Nodes = addresses } }

// Client sets the HTTP client; the default is one for all callers that rejects broken answers.
func Client(c *http.Client) Option { return func(o *Options) { o.Client = c } }

// Tries sets the maximum number of sends of a request.
func Tries(n int) Option { return func(o *Options) { o.Tries = n } }

// Patience sets the timeout for one node.
func Patience(d time.Duration) Option { return func(o *Options) { o.Patience = d } }

// Name sets the caller name by which nodes share their capacity fairly.
func Name(name string) Option { return func(o *Options) { o.Name = name } }
