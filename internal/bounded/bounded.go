// Package bounded provides a size-limited map for learned values whose names change over time.
//
// New configuration versions rename routes and services, and nothing reports which names
// are no longer used. Without a bound, a process that runs for months keeps them all. A full map
// is cleared at once, since its values are learned again within seconds.
//
// # Usage
//
//	times := bounded.New[estimate](4096)
//	times.At("search").observe(took)
//	if e, ok := times.Get("search"); ok { ... }
package bounded

// Map holds values by name. It is not safe for concurrent use.
type Map[V any] struct {
	limit int
	items map[string]*V
}

// New returns a map that holds at most limit names.
func New[V any](limit int) *Map[V] { return &Map[V]{limit: limit, items: map[string]*V{}} }

// At returns the value of a name and adds a zero value if there is none. A full map is
// cleared first.
func (m *Map[V]) At(name string) *V {
	v := m.items[name]
	if v == nil {
		if len(m.items) >= m.limit {
			clear(m.items)
		}

		v = new(V)
		m.items[name] = v
	}

	return v
}

// Get returns the value of a name, if there is one.
func (m *Map[V]) Get(name string) (*V, bool) {
	v, ok := m.items[name]

	return v, ok
}
