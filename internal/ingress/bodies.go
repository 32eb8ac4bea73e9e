package ingress

import (
	"bytes"
	"errors"
	"io"
	"sync"
)

const (
	// maxBodyBytes bounds the bodies of all calls of a node together. Each connection may send one up
	// to the limit of the configuration, which says nothing about their sum.
	maxBodyBytes = 32 << 20
	// bodyStep is how much of a body is read at a time.
	bodyStep = 64 << 10
	// bodyRetryAfter is the retry delay, in seconds, of a call whose body does not fit. Calls with large
	// bodies end within a second.
	bodyRetryAfter = "0.500"
)

// errNoRoom means that the bodies of other calls leave no memory for this one.
var errNoRoom = errors.New("no memory for the body")

// bodies counts the bytes of the bodies of all calls that are not answered.
type bodies struct {
	mu      sync.Mutex
	held    int
	refused int64
}

// take reserves n more bytes for a body that has some. A body may always have the room
// that others leave, or all of it if there are no others.
func (b *bodies) take(has, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.held > has && b.held+n > maxBodyBytes {
		b.refused++

		return false
	}

	b.held += n

	return true
}

func (b *bodies) free(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.held -= n
}

// read reads a body of limit bytes at most, and one more if it is longer. The caller frees the body.
func (b *bodies) read(from io.Reader, limit int) ([]byte, error) {
	var body bytes.Buffer

	for {
		step := min(bodyStep, limit+1-body.Len())
		if step == 0 {
			return body.Bytes(), nil
		}

		if !b.take(body.Len(), step) {
			b.free(body.Len())

			return nil, errNoRoom
		}

		n, err := io.CopyN(&body, from, int64(step))
		b.free(step - int(n))

		switch {
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			b.free(body.Len())

			return nil, err
		}
	}
}

// Bodies returns the bytes of the bodies that the node holds, and how many calls it has refused for
// lack of room for theirs.
func (s *Server) Bodies() (held int, refused int64) {
	s.bodies.mu.Lock()
	defer s.bodies.mu.Unlock()

	return s.bodies.held, s.bodies.refused
}
