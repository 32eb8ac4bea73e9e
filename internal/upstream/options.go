package upstream

// Options of a host.
type Options struct {
	// Changed is called after the own record changed.
	Changed func()
	// Restarted is called after another process of the backend server announced itself.
	Restarted func()
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{Changed: func() {}, Restarted: func() {}}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Changed sets who is told that the own record changed.
func Changed(f func()) Option { return func(o *Options) { o.Changed = f } }

// Restarted sets who is told that the backend server was started again.
func Restarted(f func()) Option { return func(o *Options) { o.Restarted = f } }
