package frontend_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/pkg/settings"
)

const tree = `{
  "Overrides": {"Deadline": "1s", "Idempotent": true},
  "Branches": {"midlands": {
    "Region": {"FailureDomains": ["derby"]},
    "Branches": {"browse": {
      "Service": {"Slots": 10, "Connections": 100},
      "Routes": {"open-folder": {"Match": {"Method": "GET", "PathPrefix": "/folders/"}}}
    }}
  }}
}`

// held is settings that do not change.
type held struct{ snapshot *settings.Snapshot }

func (h held) Load() *settings.Snapshot { return h.snapshot }

// fixed is members that do not change.
type fixed []membership.Record

func (f fixed) Serving(string) []membership.Record { return f }

// answers is a backend server that takes no time.
type answers struct{}

func (answers) Run(_ context.Context, c call.Call) (call.Answer, error) {
	return call.Answer{
		Status: http.StatusOK, Header: []call.Field{{Name: "Content-Type", Value: "application/json"}},
		Body: []byte(`{"Name":"` + c.URI + `"}`), Ran: call.RanYes,
	}, nil
}

// newPath is an entry and a gate, joined by real connections on loopback.
func newPath(tb testing.TB) http.Handler {
	tb.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)

	server, client := peer.NewServer(), peer.NewClient()
	g := gate.New("derby-browse-1", answers{}, admission.New(admission.Slots(100)))
	server.Handle(gate.MethodRun, peer.Typed(g.Serve))

	go func() { _ = server.Serve(l) }()

	tb.Cleanup(func() {
		client.Close()
		server.Close()
		_ = l.Close()
	})

	return frontend.New(
		frontend.Node("derby-browse-2"), frontend.Settings(held{newSnapshot(tb)}), frontend.WithPeers(client),
		frontend.Members(fixed{{
			ID: "derby-browse-1", PeerAddress: l.Addr().String(), State: membership.StateAlive,
			Upstream: membership.Upstream{Service: "browse", State: membership.UpstreamReady, Slots: 100},
		}}),
	).Handler()
}

func newSnapshot(tb testing.TB) *settings.Snapshot {
	tb.Helper()

	return snapshotOf(tb, tree)
}

func snapshotOf(tb testing.TB, text string) *settings.Snapshot {
	tb.Helper()

	parsed, err := settings.Parse("tree.jsonc", []byte(text))
	assert.NilError(tb, err)

	records, err := parsed.Records()
	assert.NilError(tb, err)

	s, err := settings.NewSnapshot(settings.Version{Number: 1, Digest: settings.TreeDigest(records.Digests())}, records)
	assert.NilError(tb, err)

	return s
}

func open(tb testing.TB, h http.Handler) {
	tb.Helper()

	req := httptest.NewRequestWithContext(tb.Context(), http.MethodGet, "/folders/1", nil)
	req.Header.Set("Accept", "application/json")
	req.Header.Set("User-Agent", "desk")

	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	assert.Equal(tb, w.Code, http.StatusOK)
}

// The bound is on both ends of the path together, with the request and the
// recorder of the test. What a call leaves to collect is paid by all calls.
func TestACallAllocatesWithinItsBound(t *testing.T) {
	h := newPath(t)
	open(t, h)

	n := testing.AllocsPerRun(500, func() { open(t, h) })
	t.Logf("%.0f allocations", n)
	assert.Assert(t, n <= mostAllocations, "%.0f allocations", n)
}

const mostAllocations = 135

// BenchmarkCall reports processor time a call too: it says what a call costs
// also on a machine that does other work.
func BenchmarkCall(b *testing.B) {
	h := newPath(b)

	b.Run("one at a time", func(b *testing.B) {
		b.ReportAllocs()

		start := processorTime(b)

		for b.Loop() {
			open(b, h)
		}

		report(b, start)
	})
	b.Run("many at once", func(b *testing.B) {
		b.ReportAllocs()
		b.SetParallelism(4)

		start := processorTime(b)

		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				open(b, h)
			}
		})
		report(b, start)
	})
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()

	var u syscall.Rusage

	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func report(b *testing.B, start time.Duration) {
	b.Helper()

	used := processorTime(b) - start
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}
