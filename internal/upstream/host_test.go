package upstream_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/upstream"
	"github.com/pollencart/pollencart/pkg/settings"
)

type fixture struct {
	table  *membership.Table
	queue  *admission.Queue
	host   *upstream.Host
	states []membership.UpstreamState
}

func newFixture() *fixture {
	f := &fixture{queue: admission.New()}
	r := timeline.New()
	f.table = membership.NewTable(membership.Record{ID: "a", Incarnation: 1, PeerAddress: "127.0.0.1:1"}, r)
	f.host = upstream.New(f.table, f.queue, r, upstream.Changed(func() {
		f.states = append(f.states, f.table.Self().Upstream.State)
	}))

	return f
}

func (f *fixture) announce(t *testing.T, s membership.UpstreamState) {
	t.Helper()

	assert.NilError(t, f.host.Announce(upstream.Announcement{
		Service: "browse", Address: unusedAddress, Slots: 10, Connections: 100, State: s, TTL: settings.Duration(2 * time.Second),
	}))
}

const unusedAddress = "127.0.0.1:9"

// A backend server that hangs or crashes without notice stops renewing its announcement.
// Without expiry, calls would still be sent to it.
func TestBackendServerIsWithdrawnWithoutRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.announce(t, membership.UpstreamWarming)
		assert.Equal(t, len(f.table.Serving("browse")), 0)
		f.announce(t, membership.UpstreamReady)
		assert.Equal(t, len(f.table.Serving("browse")), 1)

		time.Sleep(1900 * time.Millisecond)
		f.host.Expire()
		assert.Equal(t, len(f.table.Serving("browse")), 1)

		time.Sleep(200 * time.Millisecond)
		f.host.Expire()
		assert.Equal(t, len(f.table.Serving("browse")), 0)
	})
}

// A node stalls for longer than its announcement lasts and resumes with calls in its
// connections before its timers run. The backend server may have left long ago, so the calls
// are refused as not run.
func TestExpiredAnnouncementRunsNoCall(t *testing.T) {
	ran := 0
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ }))

	defer s.Close()

	f := newFixture()
	assert.NilError(t, f.host.Announce(upstream.Announcement{
		Service: "browse", Address: s.Listener.Addr().String(), Slots: 10, Connections: 100,
		State: membership.UpstreamReady, TTL: settings.Duration(50 * time.Millisecond),
	}))

	c := call.Call{ID: "1", Service: "browse", Method: http.MethodGet, URI: "/", Idempotent: true}
	_, err := f.host.Run(t.Context(), c)
	assert.NilError(t, err)

	time.Sleep(60 * time.Millisecond)

	_, err = f.host.Run(t.Context(), c)

	var refusal *call.Refusal

	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Ran, call.RanNo)
	assert.Equal(t, ran, 1)
}

// A backend server crashes and restarts once a second. Without damping, calls would be sent
// to it and fail at each start, and each change would be propagated to the whole fleet.
func TestFlappingBackendServerIsDamped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()

		const seconds = 60

		for range seconds {
			f.announce(t, membership.UpstreamReady)
			time.Sleep(500 * time.Millisecond)
			f.announce(t, membership.UpstreamGone)
			time.Sleep(500 * time.Millisecond)
		}

		ready := 0

		for _, s := range f.states {
			if s == membership.UpstreamReady {
				ready++
			}
		}

		t.Logf("published Ready %d times in %d s of flapping, %d changes", ready, seconds, len(f.states))
		assert.Assert(t, ready <= 7, "published Ready %d times", ready)
		// While it is held back, its changes of state are not published.
		assert.Assert(t, len(f.states) <= 20, "%d changes", len(f.states))

		f.announce(t, membership.UpstreamReady)

		for range 2 * 31 {
			time.Sleep(500 * time.Millisecond)
			f.announce(t, membership.UpstreamReady)
		}

		assert.Equal(t, f.table.Self().Upstream.State, membership.UpstreamReady)
	})
}

// The first restart of a backend server is routine and must not cost the service capacity.
func TestFirstRestartIsNotDamped(t *testing.T) {
	f := newFixture()
	for _, s := range []membership.UpstreamState{
		membership.UpstreamWarming, membership.UpstreamReady, membership.UpstreamDraining, membership.UpstreamGone,
		membership.UpstreamWarming, membership.UpstreamReady,
	} {
		f.announce(t, s)
		assert.Equal(t, f.table.Self().Upstream.State, s)
	}
}

// No announcement of a backend server may reopen the queue while its node drains.
func TestAnnouncementsDuringADrainAdmitNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		states := []membership.UpstreamState{
			membership.UpstreamReady, membership.UpstreamReady, membership.UpstreamDraining, membership.UpstreamReady,
			membership.UpstreamGone, membership.UpstreamWarming, membership.UpstreamReady,
		}

		for _, before := range []membership.UpstreamState{"", membership.UpstreamWarming, membership.UpstreamReady, membership.UpstreamGone} {
			f := newFixture()
			if before != "" {
				f.announce(t, before)
			}

			f.host.Leave()

			for n, s := range states {
				f.announce(t, s)
				time.Sleep(time.Second)
				f.host.Expire()
				assert.Assert(t, f.queue.Load().Leaving, "%q, then %q", before, s)
				assert.Equal(t, len(f.table.Serving("browse")), 0)

				if n == len(states)/2 {
					f.table.Update(func(r membership.Record) membership.Record { return r.WithState(membership.StateLeft) })
				}
			}

			assert.Equal(t, f.table.Self().State, membership.StateLeft)
			time.Sleep(3 * time.Second)
			f.host.Expire()
			f.announce(t, membership.UpstreamReady)
			assert.Assert(t, f.queue.Load().Leaving)
		}
	})
}
