package upstream_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/http1/http1test"
	"github.com/pollencart/pollencart/pkg/upstream"
)

// Guards against an announcement that counts as taken by a broken answer of the node.
func TestBrokenAnswerOfTheNodeIsAnError(t *testing.T) {
	s := http1test.NewServer(t)

	for name, a := range http1test.Broken("", "{}\n") {
		s.Send(a)

		err := upstream.New(s.Address, upstream.Announcement{Service: "browse"}).Announce(t.Context())
		assert.ErrorIs(t, err, upstream.ErrNode, name)
		assert.Assert(t, !strings.Contains(err.Error(), http1test.Secret), "%s: %v", name, err)
	}
}

// Guards against a process that ends for its memory since the node sends without end.
func TestAnswerWithoutEndIsBounded(t *testing.T) {
	const maxBytes = 16 << 20 // what is read, and what the buffers of a connection hold

	for name, a := range http1test.Endless() {
		s := http1test.NewServer(t)
		s.Send(a)

		err := upstream.New(s.Address, upstream.Announcement{Service: "browse"}).Announce(t.Context())
		assert.ErrorIs(t, err, upstream.ErrNode, name)

		assert.Assert(t, s.Repeated() < maxBytes, "%s: %d MB", name, s.Repeated()>>20)
	}
}
