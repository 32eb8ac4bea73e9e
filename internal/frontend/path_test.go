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

// fixedSettings provides settings that do not change.
type fixedSettings struct{ snapshot *settings.Snapshot }

func (f fixedSettings) Load() *settings.Snapshot { return f.snapshot }

// fixedMembers is a list of member records that does not change.
type fixedMembers []membership.Record

func (f fixedMembers) Serving(string) []membership.Record { return f }

// instantBackend is a backend server that answers immediately.
type instantBackend struct{}

func (instantBackend) Run(_ context.Context, c call.Call) (call.Answer, error) {
	return call.Answer{
		Status: http.StatusOK, Header: []call.Field{{Name: "Content-Type", Value: "application/json"}},
		Body: []byte(`{"Name":"` + c.URI + `"}`), Ran: call.RanYes,
	}, nil
}

// newPath returns the handler of an entry node that reaches a gate over loopback connections.
func newPath(tb testing.TB) http.Handler {
	tb.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)

	server, client := peer.NewServer(), peer.NewClient()
	g := gate.New("derby-browse-1", instantBackend{}, admission.New(admission.Slots(100)))
	server.Handle(gate.MethodRun, peer.Typed(g.Serve))

	go func() { _ = server.Serve(l) }()

	tb.Cleanup(func() {
		client.Close()
		server.Close()
		_ = l.Close()
	})

	return frontend.New(
		frontend.Node("derby-browse-2"), frontend.Settings(fixedSettings{newSnapshot(tb)}), frontend.WithPeers(client),
		frontend.Members(fixedMembers{{
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

// Every allocation of a call adds to the garbage collection that slows all calls. The bound
// covers the entry node, the gate, and the request and response recorder of the test.
func TestCallStaysWithinAllocationLimit(t *testing.T) {
	h := newPath(t)
	open(t, h)

	n := testing.AllocsPerRun(500, func() { open(t, h) })
	t.Logf("%.0f allocations", n)
	assert.Assert(t, n <= maxAllocations, "%.0f allocations", n)
}

const maxAllocations = 135

// BenchmarkCall also reports CPU time per call, which stays meaningful on a busy machine.
func BenchmarkCall(b *testing.B) {
	h := newPath(b)

	b.Run("one at a time", func(b *testing.B) {
		b.ReportAllocs()

		start := cpuTime(b)

		for b.Loop() {
			open(b, h)
		}

		report(b, start)
	})
	b.Run("many at once", func(b *testing.B) {
		b.ReportAllocs()
		b.SetParallelism(4)

		start := cpuTime(b)

		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				open(b, h)
			}
		})
		report(b, start)
	})
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()

	var u syscall.Rusage

	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func report(b *testing.B, start time.Duration) {
	b.Helper()

	used := cpuTime(b) - start
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}
