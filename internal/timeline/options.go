package timeline

import "log/slog"

// DefaultSize is the number of entries in each of the two rings, which take about 800
// KB each at some 200 bytes an entry.
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

// Node sets the ID of the node whose events are recorded.
func Node(id string) Option { return func(o *Options) { o.Node = id } }

// Size sets the maximum number of entries in each of the two rings.
func Size(n int) Option { return func(o *Options) { o.Size = n } }

// Logger sets the logger for the events.
func Logger(l *slog.Logger) Option { return func(o *Options) { o.Logger = l } }
