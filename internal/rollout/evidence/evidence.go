// Package evidence counts what calls came to at one backend server while a roll-out of its
// service runs.
//
// Counts are kept by route, and apart for calls that met a busy backend server: some versions
// fail under load only. They are cumulative, so that a lost report costs nothing.
//
//	c := evidence.New()
//	c.Add(evidence.Outcome{Route: "search", Took: 80 * time.Millisecond})
//	strata := c.Strata()
package evidence

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrReport is returned for an invalid report.
var ErrReport = errs.New("rollout.report", http.StatusBadRequest, "report not accepted")

const (
	// Buckets is the number of classes of service times. Each covers bucketRatio times the
	// range of the one before, from bucketStart on.
	Buckets     = 24
	bucketStart = 10 * time.Millisecond
	bucketRatio = 1.3
	// maxStrata bounds the counts of one backend server. Routes beyond it are not counted.
	maxStrata = 64
)

// Outcome is what a call came to.
type Outcome struct {
	Route string
	// Busy reports that most slots were in use when the call began.
	Busy bool
	// Failed reports an answer with a server error, or none although there was time for one.
	Failed bool
	// Took is the service time; 0 if it says nothing of the backend server.
	Took time.Duration
}

// Key identifies a stratum: calls that are compared with each other.
type Key struct {
	Route string
	Busy  bool
}

// Counts are the outcomes of the calls of a stratum.
type Counts struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Calls  uint32
	Failed uint32
	// Times counts calls by service time.
	Times [Buckets]uint32
}

// Since returns the counts that were added after an earlier state.
func (c Counts) Since(earlier Counts) Counts {
	c.Calls -= earlier.Calls
	c.Failed -= earlier.Failed

	for i := range c.Times {
		c.Times[i] -= earlier.Times[i]
	}

	return c
}

// Plus returns the sum of both counts.
func (c Counts) Plus(o Counts) Counts {
	c.Calls += o.Calls
	c.Failed += o.Failed

	for i := range c.Times {
		c.Times[i] += o.Times[i]
	}

	return c
}

// Slow returns the number of calls whose service time is in the bucket or a later one.
func (c Counts) Slow(bucket int) uint32 {
	var sum uint32

	for i := max(bucket, 0); i < Buckets; i++ {
		sum += c.Times[i]
	}

	return sum
}

// Stratum is a key with its counts.
type Stratum struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Route  string
	Busy   bool
	Counts Counts
}

// Key returns the key of the stratum.
func (s Stratum) Key() Key { return Key{s.Route, s.Busy} }

// Report is what the node beside a backend server sends to nodes that decide.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Node string
	// Boot identifies the process of the node, whose counts start at zero.
	Boot     string
	Service  string
	Version  string
	Epoch    uint64
	Revision int64
	// InFlight is the number of calls that the node handles.
	InFlight int
	Strata   []Stratum
}

// Check returns an error if a decoded report is invalid.
func (r *Report) Check() error {
	if r.Node == "" || r.Boot == "" || r.Service == "" || len(r.Strata) > maxStrata {
		return ErrReport.With("node %q, service %q, %d strata", r.Node, r.Service, len(r.Strata))
	}

	return nil
}

// Counter counts the outcomes at one backend server.
type Counter struct {
	mu     sync.Mutex
	counts map[Key]*Counts
}

// New returns a counter at zero.
func New() *Counter { return &Counter{counts: map[Key]*Counts{}} }

// Add counts a call.
func (c *Counter) Add(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()

	key := Key{o.Route, o.Busy}

	n := c.counts[key]
	if n == nil {
		if len(c.counts) >= maxStrata {
			return
		}

		n = &Counts{}
		c.counts[key] = n
	}

	n.Calls++

	switch {
	case o.Failed:
		n.Failed++
	case o.Took > 0:
		n.Times[Bucket(o.Took)]++
	}
}

// Bucket returns the class of a service time.
func Bucket(took time.Duration) int {
	if took <= bucketStart {
		return 0
	}

	return min(int(math.Log(float64(took)/float64(bucketStart))/math.Log(bucketRatio))+1, Buckets-1)
}

// Strata returns the counts in a stable order.
func (c *Counter) Strata() []Stratum {
	c.mu.Lock()
	defer c.mu.Unlock()

	out := make([]Stratum, 0, len(c.counts))
	for key, n := range c.counts {
		out = append(out, Stratum{Route: key.Route, Busy: key.Busy, Counts: *n})
	}

	slices.SortFunc(out, func(a, b Stratum) int {
		if a.Route != b.Route {
			return cmp.Compare(a.Route, b.Route)
		}

		return cmp.Compare(number(a.Busy), number(b.Busy))
	})

	return out
}

func number(b bool) int {
	if b {
		return 1
	}

	return 0
}

// Reset sets all counts to zero.
func (c *Counter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()

	clear(c.counts)
}
