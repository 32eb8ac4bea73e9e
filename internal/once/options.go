package once

import (
	"time"

	"github.com/pollencart/pollencart/internal/once/record"
	"github.com/pollencart/pollencart/internal/once/shard"
	"github.com/pollencart/pollencart/internal/timeline"
)

// DefaultCloseTimeout bounds how long a home waits for a gate's word that an
// attempt was not started, before it says unknown: a hundred round trips between
// failure domains.
const DefaultCloseTimeout = 250 * time.Millisecond

// DefaultRetention is how long a caller may repeat a key. The people behind the
// calls press a button again within a minute or two.
const DefaultRetention = 5 * time.Minute

// Shards says whether this process is the home of an opaque key.
type Shards interface {
	Own(text string) shard.Own
}

type noShards struct{}

func (noShards) Own(string) shard.Own { return shard.Own{} }

// Options of a home.
type Options struct {
	Shards       Shards
	Table        *record.Table
	Recorder     *timeline.Recorder
	CloseTimeout time.Duration
	Retention    time.Duration
	Generations  uint64
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Shards:   noShards{},
		Recorder: timeline.New(), CloseTimeout: DefaultCloseTimeout,
		Retention: DefaultRetention, Generations: record.DefaultGenerations,
	}
	for _, opt := range opts {
		opt(&o)
	}

	if o.Table == nil {
		o.Table = record.New(record.Generations(o.Generations))
	}

	return o
}

// WithTable sets where the records are.
func WithTable(b *record.Table) Option { return func(o *Options) { o.Table = b } }

// WithShards sets who knows the home of opaque keys.
func WithShards(s Shards) Option { return func(o *Options) { o.Shards = s } }

// Recorder sets where events go.
func Recorder(r *timeline.Recorder) Option { return func(o *Options) { o.Recorder = r } }

// CloseTimeout bounds the wait for a gate to close an attempt.
func CloseTimeout(d time.Duration) Option { return func(o *Options) { o.CloseTimeout = d } }

// Retention sets how long a key can be repeated.
func Retention(d time.Duration) Option { return func(o *Options) { o.Retention = d } }
