package etcd_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/http1/http1test"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/platform/etcd"
)

// Guards against a broken answer of the store that counts as an entry, as none, or as a write that took effect.
func TestBrokenAnswerOfTheStoreIsAnUnknownOutcome(t *testing.T) {
	const body = `{"succeeded":true,"header":{"revision":"1"},"kvs":[{"key":"L2s=","value":"AA==","mod_revision":"1"}]}` + "\n"

	s := http1test.NewServer(t)

	for name, a := range http1test.Broken("", body) {
		s.Send(a)

		c := etcd.New(etcd.Endpoints("http://" + s.Address))

		_, getErr := c.Get(t.Context(), "/k")
		_, swapErr := c.Swap(t.Context(), "/k", 0, []byte("v"))

		for call, err := range map[string]error{"get": getErr, "swap": swapErr} {
			assert.ErrorIs(t, err, platform.ErrUnknown, "%s, %s", name, call)
			assert.Assert(t, !strings.Contains(err.Error(), http1test.Secret), "%s, %s: %v", name, call, err)
		}
	}
}

// Guards against a process that ends for its memory since the store sends without end.
func TestAnswerWithoutEndIsBounded(t *testing.T) {
	const maxBytes = 130 << 20 // 64 MiB in chunks of 8 bytes, and what the buffers of a connection hold

	for name, a := range http1test.Endless() {
		s := http1test.NewServer(t)
		s.Send(a)

		_, err := etcd.New(etcd.Endpoints("http://"+s.Address)).Get(t.Context(), "/k")
		assert.ErrorIs(t, err, platform.ErrUnknown, name)

		assert.Assert(t, s.Repeated() < maxBytes, "%s: %d MB", name, s.Repeated()>>20)
	}
}
