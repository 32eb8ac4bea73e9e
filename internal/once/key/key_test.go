package key_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/once/key"
)

func TestKeyNamesItsOwner(t *testing.T) {
	h := key.Home{Node: "nottm.a-1", BootID: key.NewBootID(7), Generation: 12}

	k, named := key.Parse(h.Key("t0"))
	assert.Assert(t, named)
	assert.DeepEqual(t, k, key.Key{Home: h, Token: "t0"})

	for _, opaque := range []string{"", "donation-1", "pc1.", "pc1.a.b.1", "pc1.a.b.x.t", "pc1.a.b.1.", "pc2.a.b.1.t", "pc1..b.1.t"} {
		_, named := key.Parse(opaque)
		assert.Assert(t, !named, opaque)
	}

	assert.ErrorIs(t, key.Check(""), key.ErrKey)
	assert.ErrorIs(t, key.Check(strings.Repeat("x", key.MaxLength+1)), key.ErrKey)
	assert.NilError(t, key.Check(h.Key("t0")))
}

// After a host's clock was set back, a restarted process can get the incarnation of its
// predecessor. With equal boot IDs it would accept the keys of the predecessor as its own.
func TestBootIDsDifferForEqualIncarnations(t *testing.T) {
	first, second := key.NewBootID(7), key.NewBootID(7)
	assert.Assert(t, first != second)
}
