package timeline

import "log/slog"

// DefaultSize bounds the kept entries of each of the two rings: at some 200 bytes
// each about 800 KB.
const DefaultSize = 4096

// Options of a recorder.
type Options struct {
	Node   string
	Size   int
	Logger *slog.Logger
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{Size: DefaultSize, Logger: slog.New(slog.DiscardHandler)}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Node names the node whose events are recorded.
func Node(id string) Option { return func(o *Options) { o.Node = id } }

// Size bounds the number of kept entries in each of the two rings.
func Size(n int) Option { return func(o *Options) { o.Size = n } }

// Logger sets where events are logged.
func Logger(l *slog.Logger) Option { return func(o *Options) { o.Logger = l } }
