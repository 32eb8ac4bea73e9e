package once

import (
	"time"

	"github.com/pollencart/pollencart/internal/once/record"
	"github.com/pollencart/pollencart/internal/once/shard"
	"github.com/pollencart/pollencart/internal/timeline"
)

// DefaultCloseTimeout bounds how long an owner waits for a gate to confirm that an attempt was not
// started before the outcome becomes unknown. It is about 100 round trips between failure domains.
const DefaultCloseTimeout = 250 * time.Millisecond

// DefaultRetention is how long a caller may retry a key. People retry a failed action within a
// minute or two.
const DefaultRetention = 5 * time.Minute

// Shards reports whether this process owns an opaque key.
type Shards interface {
	Own(text string) shard.Own
}

type noShards struct{}

func (noShards) Own(string) shard.Own { return shard.Own{} }

// Options configures a Home.
type Options struct {
	Shards       Shards
	Table        *record.Table
	Recorder     *timeline.Recorder
	CloseTimeout time.Duration
	Retention    time.Duration
	Generations  uint64
}

// Option changes one of the Options.
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

// WithTable sets the table of records.
func WithTable(t *record.Table) Option { return func(o *Options) { o.Table = t } }

// WithShards sets the source of shard ownership for opaque keys.
func WithShards(s Shards) Option { return func(o *Options) { o.Shards = s } }

// Recorder sets the recorder of timeline events.
func Recorder(r *timeline.Recorder) Option { return func(o *Options) { o.Recorder = r } }

// CloseTimeout bounds the wait for a gate to close an attempt.
func CloseTimeout(d time.Duration) Option { return func(o *Options) { o.CloseTimeout = d } }

// Retention sets how long a key can be retried.
func Retention(d time.Duration) Option { return func(o *Options) { o.Retention = d } }
