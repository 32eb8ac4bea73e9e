package gate

import "github.com/pollencart/pollencart/internal/timeline"

// Options of a gate.
type Options struct {
	Recorder *timeline.Recorder
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{Recorder: timeline.New()}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Recorder sets the recorder of events.
func Recorder(r *timeline.Recorder) Option { return func(o *Options) { o.Recorder = r } }
