// Package attempt ensures that a gate starts each attempt of a keyed call at most once, and never
// after the owner of the key has abandoned the attempt.
//
// Without it, an attempt could run after its caller was told that it did not: the owner sends the
// attempt, its connection breaks and it reports not-run, but the message is still buffered in a
// stalled gate process, which runs it after the stall.
//
// An owner numbers its attempts (Sequence). Each attempt ticket carries the lowest number that the
// owner still needs, and a gate stores only the states of numbers from there on (Register). The
// memory of the gate is thus bounded by the attempts in flight, without a clock. Each ticket also
// names the epoch of the gate. A gate that restarts, or that resets its full register, has a new
// epoch and rejects tickets of the old one.
//
//	t := sequence.Next(epoch)       // owner
//	err := register.Start(t)        // gate, just before the call goes to the backend server
//	closed := register.Close(t)     // gate, when the owner abandons the attempt
package attempt

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of an attempt that is not started.
var (
	ErrEpoch    = errs.New("once.epoch", http.StatusServiceUnavailable, "the ticket is of another epoch of the gate")
	ErrClosed   = errs.New("once.attempt_closed", http.StatusConflict, "the home gave the attempt up before it came")
	ErrLate     = errs.New("once.attempt_late", http.StatusConflict, "the home no longer cares for the attempt")
	ErrRepeated = errs.New("once.attempt_repeated", http.StatusConflict, "the attempt was started before")
)

// DefaultBound is the number of attempts that a register stores. Owners have a few thousand
// attempts in flight in total; more entries indicate many idle owners.
const DefaultBound = 1 << 16

type state uint8

const (
	started state = iota + 1
	closed
)

// Register stores the states of the attempts that a gate received.
type Register struct {
	bootID   string
	capacity int

	mu          sync.Mutex
	epochNumber uint64
	size        int
	windows     map[string]*window
}

// window holds the attempts of one owner, starting from number low.
type window struct {
	low    uint64
	states map[uint64]state
}

// NewRegister returns an empty register for the process with this boot ID.
func NewRegister(bootID string, capacity int) *Register {
	return &Register{bootID: bootID, capacity: capacity, windows: map[string]*window{}}
}

// Epoch returns the epoch that tickets must name.
func (r *Register) Epoch() string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.epoch()
}

func (r *Register) epoch() string { return r.bootID + "/" + strconv.FormatUint(r.epochNumber, 10) }

// Start allows the attempt to run. After ErrEpoch or ErrClosed it has not run and never will; after
// ErrRepeated or ErrLate it may have run before.
func (r *Register) Start(t call.Ticket) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	if t.Epoch != r.epoch() {
		return ErrEpoch
	}

	if !r.ensureCapacity() {
		return ErrEpoch
	}

	w := r.window(t)

	switch {
	case t.Number < w.low:
		return ErrLate
	case w.states[t.Number] == closed:
		return ErrClosed
	case w.states[t.Number] == started:
		return ErrRepeated
	}

	r.setState(w, t.Number, started)

	return nil
}

// Close prevents the attempt from starting. It reports false if the attempt was started or may have
// been.
func (r *Register) Close(t call.Ticket) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	// An attempt of an old epoch can no longer start, but may have started before.
	if t.Epoch != r.epoch() || !r.ensureCapacity() {
		return false
	}

	w := r.window(t)
	if t.Number < w.low || w.states[t.Number] == started {
		return false
	}

	r.setState(w, t.Number, closed)

	return true
}

// ensureCapacity starts a new epoch if the register is full, and reports whether it had room. A new
// epoch rejects every outstanding ticket as not run, which is safe; owners then fetch the new
// epoch.
func (r *Register) ensureCapacity() bool {
	if r.size < r.capacity {
		return true
	}

	r.epochNumber++
	r.size = 0
	r.windows = map[string]*window{}

	return false
}

func (r *Register) setState(w *window, n uint64, f state) {
	if w.states[n] == 0 {
		r.size++
	}

	w.states[n] = f
}

func (r *Register) window(t call.Ticket) *window {
	w := r.windows[t.Home]
	if w == nil {
		w = &window{low: t.Low, states: map[uint64]state{}}
		r.windows[t.Home] = w
		r.size++
	}

	for ; w.low < t.Low && len(w.states) > 0; w.low++ {
		if w.states[w.low] != 0 {
			delete(w.states, w.low)
			r.size--
		}
	}

	w.low = max(w.low, t.Low)

	return w
}
