package sidecar_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

// versionFleet is a fleet whose backend servers have versions, under load.
type versionFleet struct {
	*fleet

	calls    atomic.Int64
	statuses [600]atomic.Int64
}

// newVersionFleet starts hosts of the ledger with the given versions.
func newVersionFleet(t *testing.T, versions ...string) *versionFleet {
	t.Helper()

	services := make([]string, len(versions))
	for i := range services {
		services[i] = "ledger"
	}

	f := &versionFleet{fleet: newConfiguredFleet(t, func(i int, h *host) {
		h.config.Bounds.ExposeShare = 0.1
		h.backend.Version = versions[i]
		h.backend.Work = 10 * time.Millisecond
	}, services...)}

	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))

	return f
}

// announceVersion announces the backend servers of a version, and goes on to do so until the end
// of the test.
func (f *versionFleet) announceVersion(t *testing.T, version string) {
	t.Helper()

	for _, h := range f.hosts {
		if h.backend.Version != version {
			continue
		}

		eventually(t, func() bool { return h.announce(false) == http.StatusOK })
		f.repeat(t, 300*time.Millisecond, func() { h.announce(false) })
	}
}

// repeat calls a function at an interval until the end of the test.
func (f *versionFleet) repeat(t *testing.T, interval time.Duration, call func()) {
	t.Helper()

	var running sync.WaitGroup

	ended := make(chan struct{})
	ticks := time.NewTicker(interval)

	running.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-ticks.C:
				call()
			}
		}
	})

	t.Cleanup(func() {
		ticks.Stop()
		close(ended)
		running.Wait()
	})
}

// load sends calls through all nodes until the end of the test.
func (f *versionFleet) load(t *testing.T) {
	t.Helper()

	for _, h := range f.hosts {
		for range 3 {
			f.repeat(t, 30*time.Millisecond, func() {
				status, _, _ := h.call(fmt.Sprintf("call-%d", f.calls.Add(1)))
				f.statuses[status].Add(1)
			})
		}
	}
}

// ran returns the number of calls that ran at backend servers of a version.
func (f *versionFleet) ran(version string) int {
	sum := 0

	for _, h := range f.hosts {
		if h.backend.Version == version {
			sum += len(h.backend.Calls())
		}
	}

	return sum
}

func (f *versionFleet) state() string {
	state, _ := f.store.RolloutStatus("ledger")

	return state
}

// A version that fails half of its calls gets no more than its share of them, is rolled back, and
// gets no call after that.
func TestBadVersionIsRolledBack(t *testing.T) {
	f := newVersionFleet(t, "v1", "v1", "v1", "v2", "v2", "v2")

	for _, h := range f.hosts[3:] {
		h.backend.Fails = func() bool { return rand.IntN(2) == 0 }
	}

	f.announceVersion(t, "v1")
	eventually(t, f.hosts[0].serves)
	f.load(t)
	f.store.OrderRollout("ledger", "v2", 20)
	f.announceVersion(t, "v2")
	eventually(t, func() bool { return f.state() == "rolled_back" })

	exposed, all := f.ran("v2"), f.ran("v1")+f.ran("v2")
	t.Logf("%d of %d calls at the new version", exposed, all)
	assert.Check(t, exposed > 0)
	assert.Check(t, 10*exposed < all+500)

	time.Sleep(500 * time.Millisecond)

	exposed = f.ran("v2")

	time.Sleep(2 * time.Second)
	assert.Equal(t, f.ran("v2"), exposed)
	assert.Equal(t, f.state(), "rolled_back")
}

// A version like the one in use takes over all calls before its roll-out is completed, and no call
// fails meanwhile.
func TestGoodVersionTakesOverBeforeItIsCompleted(t *testing.T) {
	f := newVersionFleet(t, "v1", "v1", "v1", "v2", "v2", "v2")
	for _, h := range f.hosts {
		h.backend.Work = 40 * time.Millisecond // enough for a turn of canary calls to load a backend server
	}

	f.announceVersion(t, "v1")
	eventually(t, f.hosts[0].serves)
	f.load(t)
	f.store.OrderRollout("ledger", "v2", 12)
	f.announceVersion(t, "v2")
	eventually(t, func() bool { return f.state() == "completed" })

	old := f.ran("v1")

	time.Sleep(time.Second)
	assert.Equal(t, f.ran("v1"), old, "calls ran at the version that was replaced")
	assert.Check(t, f.statuses[http.StatusOK].Load() > 0)

	for status := range f.statuses {
		if n := f.statuses[status].Load(); status != http.StatusOK && n > 0 {
			t.Errorf("%d calls with status %d of %d", n, status, f.calls.Load())
		}
	}
}

// All nodes restart after a verdict. Their processes know it from the store alone, and the version
// that was rolled back gets no call.
func TestVerdictHoldsAfterRestartOfAllNodes(t *testing.T) {
	f := newVersionFleet(t, "v1", "v1", "v2")
	f.announceVersion(t, "v1")
	eventually(t, f.hosts[0].serves)
	f.store.OrderRollout("ledger", "v2", 0)
	eventually(t, func() bool { return f.state() == "rolled_back" })

	for _, h := range f.hosts {
		h.stop()
		<-h.ended
	}

	for _, h := range f.hosts {
		h.start(t)
	}

	f.announceVersion(t, "v2")
	eventually(t, f.hosts[0].serves)
	f.load(t)
	time.Sleep(2 * time.Second)
	assert.Equal(t, f.ran("v2"), 0)
	assert.Equal(t, f.state(), "rolled_back")
}

// A version comes up before the order for it has reached any node, and gets no call.
func TestVersionWithoutOrderGetsNoCall(t *testing.T) {
	f := newVersionFleet(t, "v1", "v1", "v2")
	f.announceVersion(t, "v1")
	eventually(t, f.hosts[0].serves)
	f.announceVersion(t, "v2")
	f.load(t)
	time.Sleep(2 * time.Second)
	assert.Equal(t, f.ran("v2"), 0)
}

// An order that can't be carried out is refused once and harms nothing; the next one is carried out.
func TestMalformedOrderHarmsNothing(t *testing.T) {
	f := newVersionFleet(t, "v1", "v1")
	f.announceVersion(t, "v1")
	eventually(t, f.hosts[0].serves)

	for _, value := range []string{`{`, `[]`, `{"service":"ledger","duration-s":5}`, `{"service":"other","target-version":"v2","duration-s":5}`} {
		f.store.Write("op/rollout/ledger", []byte(value))
		time.Sleep(100 * time.Millisecond)
	}

	f.store.OrderRollout("nobody", "v2", 3)
	f.store.OrderRollout("ledger", "v2", -1)
	eventually(t, func() bool { return f.state() == "rolled_back" })
	eventually(t, func() bool {
		state, _ := f.store.RolloutStatus("nobody")

		return state == "rolled_back"
	})
	assert.Assert(t, f.hosts[0].serves())
}
