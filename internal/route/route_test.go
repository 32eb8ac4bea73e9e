package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/route"
)

func newRoute(name, prefix string) *route.Route {
	return &route.Route{
		Name: name, Host: "A.example", Prefix: prefix, Timeout: 1, Destinations: []route.Destination{{Service: "s", Weight: 1}},
	}
}

func newTable(t *testing.T, version uint64, routes ...*route.Route) *route.Table {
	t.Helper()

	out, err := route.New(version, route.Limits{}, []route.Service{{Name: "s"}}, routes)
	assert.NilError(t, err)

	return out
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	table := newTable(t, 1, newRoute("root", "/"), newRoute("a", "/a/"), newRoute("ab", "/a/b/"))

	for path, want := range map[string]string{"/": "root", "/a": "root", "/a/": "a", "/a/b": "a", "/a/b/c": "ab", "/x/a/b/": "root"} {
		r, ok := table.Match("a.EXAMPLE:8080", path)
		assert.Assert(t, ok)
		assert.Equal(t, r.Name, want, path)
	}

	_, ok := table.Match("b.example", "/")
	assert.Assert(t, !ok)
}

// A version with an invalid route must not be applied in part, or calls could be sent to a
// service that is not declared.
func TestInvalidRouteRejectsTheVersion(t *testing.T) {
	for _, change := range []func(*route.Route){
		func(r *route.Route) { r.Destinations[0].Service = "unknown" },
		func(r *route.Route) { r.Destinations = nil },
		func(r *route.Route) { r.Destinations[0].Weight = 0 },
		func(r *route.Route) { r.Prefix = "a" },
		func(r *route.Route) { r.Host = "" },
		func(r *route.Route) { r.Timeout = 0 },
		func(r *route.Route) { r.Prefix = "/" },
		func(r *route.Route) { r.Prefix = "/bad" },
		func(r *route.Route) { r.Target = -1 },
		func(r *route.Route) { r.Attempts = -1 },
		func(r *route.Route) { r.Priority = -1 },
		func(r *route.Route) {
			r.Destinations = []route.Destination{{Service: "s", Weight: 2}, {Service: "s", Weight: -1}}
		},
	} {
		bad := newRoute("bad", "/bad/")
		change(bad)

		_, err := route.New(1, route.Limits{}, []route.Service{{Name: "s"}}, []*route.Route{newRoute("root", "/"), bad})
		assert.ErrorIs(t, err, route.ErrTable)
	}
}

// A limit below zero would make a node reject all callers, or none.
func TestInvalidLimitsRejectTheVersion(t *testing.T) {
	for _, l := range []route.Limits{{HeaderBytes: -1}, {BodyBytes: -1}, {HeaderTimeout: -1}, {IdleTimeout: -1}} {
		_, err := route.New(1, l, nil, nil)
		assert.ErrorIs(t, err, route.ErrTable)
	}
}

// A delayed answer of the store or of a partitioned node contains an older version. It must
// not replace the newer active version.
func TestHolderRejectsOlderVersions(t *testing.T) {
	var h route.Holder

	assert.Equal(t, h.Number(), uint64(0))
	assert.Assert(t, h.Offer(newTable(t, 5), []byte("five")))
	assert.Assert(t, !h.Offer(newTable(t, 4), []byte("four")))
	assert.Assert(t, !h.Offer(newTable(t, 5), []byte("again")))
	assert.Assert(t, h.Offer(newTable(t, 9), []byte("nine")))

	version, raw := h.Raw()
	assert.Equal(t, version, uint64(9))
	assert.Equal(t, string(raw), "nine")

	version, raw = h.Before()
	assert.Equal(t, version, uint64(5))
	assert.Equal(t, string(raw), "five")
}
