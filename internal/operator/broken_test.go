package operator_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/http1/http1test"
	"github.com/pollencart/pollencart/internal/operator"
)

// Guards against a version that counts as accepted, or as rejected, by a broken answer of the node.
func TestBrokenAnswerOfTheNodeIsNoAnswer(t *testing.T) {
	const body = `{"ID":"acceptance.conflict","Code":409,"Detail":"x","Number":7}` + "\n"

	s := http1test.NewServer(t)
	c := operator.NewClient(s.Address)

	for name, a := range http1test.Broken("Content-Type: application/json\r\n", body) {
		s.Send(a)

		before := s.Requests()
		_, err := c.Accept(t.Context(), operator.AcceptRequest{File: "tree", Tree: []byte("{}"), ID: "1"})
		assert.ErrorIs(t, err, operator.ErrNoAnswer, name)
		assert.Assert(t, !strings.Contains(err.Error(), http1test.Secret), "%s: %v", name, err)
		assert.Equal(t, s.Requests(), before+1, name)
	}
}

// Guards against a process that ends for its memory since the node sends without end.
func TestAnswerWithoutEndIsBounded(t *testing.T) {
	const maxBytes = 130 << 20 // 64 MiB in chunks of 8 bytes, and what the buffers of a connection hold

	for name, a := range http1test.Endless() {
		s := http1test.NewServer(t)
		s.Send(a)

		_, err := operator.NewClient(s.Address).Status(t.Context())
		assert.ErrorIs(t, err, operator.ErrNoAnswer, name)

		assert.Assert(t, s.Repeated() < maxBytes, "%s: %d MB", name, s.Repeated()>>20)
	}
}
