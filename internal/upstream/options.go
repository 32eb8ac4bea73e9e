package upstream

// Options of a host.
type Options struct {
	// Changed is called after the local member record changed.
	Changed func()
	// Restarted is called after a new instance of the backend server announced itself.
	Restarted func()
}

// Option configures a Host.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{Changed: func() {}, Restarted: func() {}}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Changed sets the function that is called after the local member record changed.
func Changed(f func()) Option { return func(o *Options) { o.Changed = f } }

// Restarted sets the function that is called after a new instance of the backend server
// announced itself.
func Restarted(f func()) Option { return func(o *Options) { o.Restarted = f } }
