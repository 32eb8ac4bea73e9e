package record

// Defaults of the options.
const (
	// DefaultRecords lets a node start about 100 new keys a second for the
	// retention of five minutes. At the size of two years it starts 42 calls a
	// second. A full table with answers of 100 bytes takes 19 MB.
	DefaultRecords = 1 << 15
	// DefaultGenerations is how many generations are held; one more than 15
	// periods makes sure that a key lives through 15 whole ones.
	DefaultGenerations = 16
	// DefaultAnswer is the largest body that is kept for repeats: a receipt, not
	// a download.
	DefaultAnswer = 16 << 10
	// DefaultAnswers bounds all bodies together, a quarter of a node's memory.
	DefaultAnswers = 16 << 20
)

// Options of a table.
type Options struct {
	Records     int
	Generations uint64
	Answer      int
	Answers     int
}

// Option sets an option.
type Option func(*Options)

func newOptions(opts ...Option) Options {
	o := Options{
		Records: DefaultRecords, Generations: DefaultGenerations, Answer: DefaultAnswer, Answers: DefaultAnswers,
	}
	for _, opt := range opts {
		opt(&o)
	}

	return o
}

// Records bounds how many records are held.
func Records(n int) Option { return func(o *Options) { o.Records = n } }

// Generations sets how many generations are held.
func Generations(n uint64) Option { return func(o *Options) { o.Generations = n } }

// Answer bounds the body of one answer that is kept for repeats.
func Answer(n int) Option { return func(o *Options) { o.Answer = n } }

// Answers bounds the bodies of all answers that are kept.
func Answers(n int) Option { return func(o *Options) { o.Answers = n } }
