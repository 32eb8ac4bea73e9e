package record

// Default limits of a table.
const (
	// DefaultRecords allows a node to start about 100 new keys per second over a retention of 5
	// minutes. At the size expected in two years a node starts 42 calls per second. A full table
	// with answers of 100 bytes takes 19 MB.
	DefaultRecords = 1 << 15
	// DefaultGenerations is the number of stored generations. A key lives through 15 whole rotation
	// periods in addition to the one in which it starts.
	DefaultGenerations = 16
	// DefaultAnswer is the largest answer body that is kept for retries. It fits a receipt,
	// not a download.
	DefaultAnswer = 16 << 10
	// DefaultAnswers bounds all stored bodies together to a quarter of a node's memory.
	DefaultAnswers = 16 << 20
)

// Options configures a Table.
type Options struct {
	Records     int
	Generations uint64
	Answer      int
	Answers     int
}

// Option changes one of the Options.
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

// Records bounds the number of records.
func Records(n int) Option { return func(o *Options) { o.Records = n } }

// Generations sets the number of generations that are stored.
func Generations(n uint64) Option { return func(o *Options) { o.Generations = n } }

// Answer bounds the body of one stored answer.
func Answer(n int) Option { return func(o *Options) { o.Answer = n } }

// Answers bounds the bodies of all stored answers together.
func Answers(n int) Option { return func(o *Options) { o.Answers = n } }
