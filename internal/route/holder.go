package route

import (
	"sync"
	"sync/atomic"
)

// Holder holds the table in force. It only goes up: a table with a lower or equal
// version is not taken, whoever offers it, so that an old answer of the store or
// of a peer that arrives late never takes a node back.
type Holder struct {
	current atomic.Pointer[Table]

	mu     sync.Mutex
	raw    []byte
	before struct {
		version uint64
		raw     []byte
	}
}

// Load returns the table in force, or nil.
func (h *Holder) Load() *Table { return h.current.Load() }

// Number returns the version in force, 0 before the first.
func (h *Holder) Number() uint64 {
	if t := h.current.Load(); t != nil {
		return t.version
	}

	return 0
}

// Offer takes a table, with the bytes that it was decoded from, if it is newer
// than the one in force, and reports whether it was.
func (h *Holder) Offer(t *Table, raw []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if t.version <= h.Number() {
		return false
	}

	h.before.version, h.before.raw = h.Number(), h.raw
	h.raw = raw
	h.current.Store(t)

	return true
}

// Raw returns the version in force and the bytes that it was decoded from, for a
// node that has no way to the store.
func (h *Holder) Raw() (uint64, []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.Number(), h.raw
}

// Before returns the version that was in force before, and its bytes.
func (h *Holder) Before() (uint64, []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.before.version, h.before.raw
}
