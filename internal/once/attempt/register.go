// Package attempt makes sure that a gate starts an attempt of a keyed call at
// most once, and never after its home gave it up.
//
// What goes wrong without it: the home sends an attempt, its connection breaks,
// it says not-run; the attempt sat in the buffer of a frozen gate, which wakes
// up and runs it. The caller had been told that its enrolment was not run.
//
// A home numbers its attempts (Sequence) and sends with each the lowest number
// that it still cares for. A gate holds the numbers from there on (Register), so
// its memory is bounded by what homes have under way, without any clock. Each
// ticket names the gate's epoch; a gate that starts afresh, or that drops its
// register at the bound, has a new epoch and refuses tickets of the old one.
//
//	t := sequence.Next(epoch)       // home
//	err := register.Start(t)        // gate, just before the backend server
//	closed := register.Close(t)     // gate, when the home gives up
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

// DefaultBound is how many attempts a register holds. Homes care for what they
// have under way, a few thousand in all; more means many idle homes.
const DefaultBound = 1 << 16

type fate uint8

const (
	started fate = iota + 1
	closed
)

// Register is the gate's memory of attempts.
type Register struct {
	life  string
	bound int

	mu    sync.Mutex
	turn  uint64
	size  int
	homes map[string]*window
}

// window holds the attempts of one home from low on.
type window struct {
	low   uint64
	fates map[uint64]fate
}

// NewRegister returns an empty register of a process's life.
func NewRegister(life string, bound int) *Register {
	return &Register{life: life, bound: bound, homes: map[string]*window{}}
}

// Epoch returns what tickets must name.
func (r *Register) Epoch() string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.epoch()
}

func (r *Register) epoch() string { return r.life + "/" + strconv.FormatUint(r.turn, 10) }

// Start allows the attempt to run. After ErrEpoch or ErrClosed it has not run and
// never will; after ErrRepeated or ErrLate it may have run before.
func (r *Register) Start(t call.Ticket) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	if t.Epoch != r.epoch() {
		return ErrEpoch
	}

	if !r.fits() {
		return ErrEpoch
	}

	w := r.window(t)

	switch {
	case t.Number < w.low:
		return ErrLate
	case w.fates[t.Number] == closed:
		return ErrClosed
	case w.fates[t.Number] == started:
		return ErrRepeated
	}

	r.put(w, t.Number, started)

	return nil
}

// Close reports whether the attempt has not been started; then it never will be.
func (r *Register) Close(t call.Ticket) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	// An attempt of an old epoch is not startable, but may have been.
	if t.Epoch != r.epoch() || !r.fits() {
		return false
	}

	w := r.window(t)
	if t.Number < w.low || w.fates[t.Number] == started {
		return false
	}

	r.put(w, t.Number, closed)

	return true
}

// fits makes room by a new epoch when the register is full: every ticket under
// way is then refused as not run, which is safe, and homes fetch the new epoch.
func (r *Register) fits() bool {
	if r.size < r.bound {
		return true
	}

	r.turn++
	r.size = 0
	r.homes = map[string]*window{}

	return false
}

func (r *Register) put(w *window, n uint64, f fate) {
	if w.fates[n] == 0 {
		r.size++
	}

	w.fates[n] = f
}

func (r *Register) window(t call.Ticket) *window {
	w := r.homes[t.Home]
	if w == nil {
		w = &window{low: t.Low, fates: map[uint64]fate{}}
		r.homes[t.Home] = w
		r.size++
	}

	for ; w.low < t.Low && len(w.fates) > 0; w.low++ {
		if w.fates[w.low] != 0 {
			delete(w.fates, w.low)
			r.size--
		}
	}

	w.low = max(w.low, t.Low)

	return w
}
