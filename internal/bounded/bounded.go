// Package bounded keeps what is learnt by name, of names that come and go.
//
// Routes and services are renamed with versions, and nobody tells which are gone for
// good. Without a bound a process that runs for months keeps all that ever were. What
// is dropped here is learnt again within seconds, so all of it is dropped at once.
//
// # Usage
//
//	sizes := bounded.New[size](4096)
//	sizes.At("search").learn(took)
//	if s, ok := sizes.Get("search"); ok { ... }
package bounded

// Map holds values by name. It is not safe for concurrent use.
type Map[V any] struct {
	most  int
	items map[string]*V
}

// New returns a map that holds so many names at the most.
func New[V any](most int) *Map[V] { return &Map[V]{most: most, items: map[string]*V{}} }

// At returns the value of a name, a new one if there is none.
func (m *Map[V]) At(name string) *V {
	v := m.items[name]
	if v == nil {
		if len(m.items) >= m.most {
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
