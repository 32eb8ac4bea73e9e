package ingress

import (
	"io"
	"sync"

	"github.com/pollencart/pollencart/internal/membudget"
)

// memoryRetryAfter is the retry delay, in seconds, of a call that does not fit in the memory. Calls with large
// bodies end within a second.
const memoryRetryAfter = "0.500"

// bodies counts the bytes of the bodies of all calls that are not answered.
type bodies struct {
	mu      sync.Mutex
	held    int
	refused int64
}

func (b *bodies) add(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.held += n
}

func (b *bodies) refuse() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.refused++
}

// read reads a body of size bytes at most. Its memory is that of the call's charge, and the caller takes it
// out of the count.
func (b *bodies) read(from io.Reader, size int, charge *membudget.Charge) ([]byte, error) {
	body, err := membudget.ReadBody(from, size,
		func(n int) bool { return charge.TakeForBody(membudget.Requests, n) }, func(n int) { charge.Free(membudget.Requests, n) })
	if err != nil {
		return nil, err
	}

	b.add(len(body))

	return body, nil
}

// Bodies returns the bytes of the bodies that the node holds, and how many calls it has refused for
// lack of memory for their heads or bodies.
func (s *Server) Bodies() (held int, refused int64) {
	s.bodies.mu.Lock()
	defer s.bodies.mu.Unlock()

	return s.bodies.held, s.bodies.refused
}
