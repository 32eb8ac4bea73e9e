package route

import (
	"sync"
	"sync/atomic"
)

// Holder stores the active table. Its version only increases: a table with a lower or
// equal version is rejected from any source, so that a delayed answer of the store or of a
// peer never reverts a node to an older version.
type Holder struct {
	current atomic.Pointer[Table]

	mu       sync.Mutex
	raw      []byte
	previous struct {
		version uint64
		raw     []byte
	}
}

// Load returns the active table, or nil.
func (h *Holder) Load() *Table { return h.current.Load() }

// Number returns the active version, or 0 before the first one.
func (h *Holder) Number() uint64 {
	if t := h.current.Load(); t != nil {
		return t.version
	}

	return 0
}

// Offer activates a table if it is newer than the active one, and reports whether it did.
// The bytes that the table was decoded from are stored with it.
func (h *Holder) Offer(t *Table, raw []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if t.version <= h.Number() {
		return false
	}

	h.previous.version, h.previous.raw = h.Number(), h.raw
	h.raw = raw
	h.current.Store(t)

	return true
}

// Raw returns the active version and the bytes that it was decoded from. They are sent to
// nodes that can't reach the store.
func (h *Holder) Raw() (uint64, []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.Number(), h.raw
}

// Before returns the previously active version and the bytes that it was decoded from.
func (h *Holder) Before() (uint64, []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.previous.version, h.previous.raw
}
