package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/route"
)

func one(name, prefix string) *route.Route {
	return &route.Route{
		Name: name, Host: "A.example", Prefix: prefix, Timeout: 1, Destinations: []route.Destination{{Service: "s", Weight: 1}},
	}
}

func table(t *testing.T, version uint64, routes ...*route.Route) *route.Table {
	t.Helper()

	out, err := route.New(version, route.Limits{}, []route.Service{{Name: "s"}}, routes)
	assert.NilError(t, err)

	return out
}

func TestTheLongestPrefixWins(t *testing.T) {
	x := table(t, 1, one("root", "/"), one("a", "/a/"), one("ab", "/a/b/"))

	for path, want := range map[string]string{"/": "root", "/a": "root", "/a/": "a", "/a/b": "a", "/a/b/c": "ab", "/x/a/b/": "root"} {
		r, ok := x.Match("a.EXAMPLE:8080", path)
		assert.Assert(t, ok)
		assert.Equal(t, r.Name, want, path)
	}

	_, ok := x.Match("b.example", "/")
	assert.Assert(t, !ok)
}

// A version with one bad route must not come in force in part, or calls would reach a
// service that nobody knows.
func TestABadRouteRefusesTheVersion(t *testing.T) {
	for _, change := range []func(*route.Route){
		func(r *route.Route) { r.Destinations[0].Service = "unknown" },
		func(r *route.Route) { r.Destinations = nil },
		func(r *route.Route) { r.Destinations[0].Weight = 0 },
		func(r *route.Route) { r.Prefix = "a" },
		func(r *route.Route) { r.Host = "" },
		func(r *route.Route) { r.Timeout = 0 },
		func(r *route.Route) { r.Prefix = "/" },
	} {
		bad := one("bad", "/bad/")
		change(bad)

		_, err := route.New(1, route.Limits{}, []route.Service{{Name: "s"}}, []*route.Route{one("root", "/"), bad})
		assert.ErrorIs(t, err, route.ErrTable)
	}
}

// An old answer of the store, or of a node that was cut off, arrives late. It must not
// take this node back.
func TestTheHolderOnlyGoesUp(t *testing.T) {
	var h route.Holder

	assert.Equal(t, h.Number(), uint64(0))
	assert.Assert(t, h.Offer(table(t, 5), []byte("five")))
	assert.Assert(t, !h.Offer(table(t, 4), []byte("four")))
	assert.Assert(t, !h.Offer(table(t, 5), []byte("again")))
	assert.Assert(t, h.Offer(table(t, 9), []byte("nine")))

	version, raw := h.Raw()
	assert.Equal(t, version, uint64(9))
	assert.Equal(t, string(raw), "nine")

	version, raw = h.Before()
	assert.Equal(t, version, uint64(5))
	assert.Equal(t, string(raw), "five")
}
