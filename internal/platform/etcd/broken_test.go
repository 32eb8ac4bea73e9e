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
