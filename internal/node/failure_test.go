package node_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/node"
	"github.com/pollencart/pollencart/internal/standin/platform"
)

// block cuts what a host sends to others.
func (f *fleet) block(i int, addresses ...string) {
	f.t.Helper()

	data, err := json.Marshal(node.Faults{Blocked: addresses})
	assert.NilError(f.t, err)

	resp, err := http.Post("http://"+f.hosts[i].Control+"/v1/faults", "application/json", bytes.NewReader(data))
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
	assert.Equal(f.t, resp.StatusCode, http.StatusNoContent)
}

// cut cuts the links for which it is true.
func (f *fleet) cut(crosses func(from, to *host) bool) {
	f.t.Helper()

	for i, from := range f.hosts {
		var blocked []string

		for _, to := range f.hosts {
			if crosses(from, to) {
				blocked = append(blocked, to.Peer)
			}
		}

		f.block(i, blocked...)
	}
}

func withFaults(c *config.Config) { c.FaultInjection = true }

// believed returns what a node holds of another.
func (f *fleet) believed(by int, id string) string {
	s, err := f.operator(by).Status(f.t.Context())
	if err != nil {
		return ""
	}

	for _, n := range s.Nodes {
		if n.ID == id {
			return n.MemberState
		}
	}

	return ""
}

// know returns how many ready backend servers a node could send calls to.
func (f *fleet) know(i int) int {
	s, err := f.operator(i).Status(f.t.Context())
	if err != nil {
		return -1
	}

	for _, n := range s.Nodes {
		if n.ID == f.hosts[i].ID {
			return n.ReadyBackends
		}
	}

	return -1
}

// The settings files name no peers, as on hosts that are replaced at any time.
// Nodes must find each other by what their watchers keep on the platform.
func TestFleetComesTogetherByThePlatformAlone(t *testing.T) {
	t.Parallel()

	f := startFleet(t, func(c *config.Config) { c.Peers = nil })
	f.accept()
}

// The platform is down when the whole fleet starts. Nodes must find each other by
// the peers in their settings files.
func TestFleetComesTogetherWithoutThePlatform(t *testing.T) {
	t.Parallel()

	f := startFleet(t, func(c *config.Config) { c.Platform = []string{"http://127.0.0.1:1"} })

	for i := range f.hosts {
		f.wait("all backend servers to be known on "+f.hosts[i].ID, func() bool { return f.know(i) == len(f.hosts) })
	}
}

// The switch that cuts links must not be there for whoever reaches the control
// address of a node that serves callers.
func TestFaultsAreOffByDefault(t *testing.T) {
	t.Parallel()

	f := startFleet(t)

	resp, err := http.Post("http://"+f.hosts[0].Control+"/v1/faults", "application/json", bytes.NewReader([]byte("{}")))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
}

// A failure domain loses all others and the platform. Its callers must be served
// by its own backend servers, the others' callers by theirs; when the cut heals a
// version accepted meanwhile must come in force inside, with nobody's help.
func TestAFailureDomainCutOffServesAndComesBack(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withFaults)
	f.accept()

	inside := func(h *host) bool { return h.FailureDomain == "derby" }
	f.cut(func(from, to *host) bool { return inside(from) != inside(to) })
	f.platform.SetFaults(platform.Faults{Down: true})

	in := slices.IndexFunc(f.hosts, inside)
	out := slices.IndexFunc(f.hosts, func(h *host) bool { return !inside(h) })

	for _, i := range []int{in, out} {
		own := 0

		for _, h := range f.hosts {
			if inside(h) == inside(f.hosts[i]) {
				own++
			}
		}

		f.wait("only the own side to be sent calls", func() bool { return f.know(i) == own })

		for range 50 {
			r := f.send(i, http.MethodGet, "/folders/1", "", nil)
			f.assertServed(r)
		}
	}

	f.platform.SetFaults(platform.Faults{})
	f.cut(func(*host, *host) bool { return false })
	f.accept()
}

// Calls go one way between two domains and nothing comes back. No call may wait
// longer than its deadline, and no healthy backend server be lost for good.
func TestAOneWayCutEndsEveryCallInTime(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withFaults)
	f.accept()

	f.cut(func(from, to *host) bool { return from.FailureDomain == "leic" && to.FailureDomain == "derby" })

	in := slices.IndexFunc(f.hosts, func(h *host) bool { return h.FailureDomain == "derby" })
	served := 0

	const (
		calls = 40
		hangs = 20 * time.Second // twenty times the route's deadline
	)

	for range calls {
		start := time.Now()
		r := f.send(in, http.MethodGet, "/folders/1", "", nil)
		assert.Assert(t, time.Since(start) < hangs)

		if r.status == http.StatusOK {
			served++
		}
	}

	t.Logf("%d of %d served during the one-way cut", served, calls)
	assert.Assert(t, served >= calls/2)
	f.cut(func(*host, *host) bool { return false })

	for i := range f.hosts {
		f.wait("all backend servers to be known again", func() bool { return f.know(i) == len(f.hosts) })
	}
}

// A host's process hangs: connections to it are accepted and nothing ever
// answers. Others must take it for dead and send calls elsewhere.
func TestAHostThatAcceptsAndNeverAnswersIsTakenForDead(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withFaults)
	f.accept()

	h := f.hosts[1]
	f.cut(func(from, to *host) bool { return from == h && to != h })
	f.wait("the silent host to be taken for dead", func() bool { return f.believed(2, h.ID) == membership.StateDead.String() })

	before := h.backend.Counts().Calls

	for range 50 {
		r := f.send(2, http.MethodGet, "/folders/1", "", nil)
		f.assertServed(r)
	}

	assert.Equal(t, h.backend.Counts().Calls, before)
	f.cut(func(*host, *host) bool { return false })
	f.wait("it to be taken back", func() bool { return f.know(2) == len(f.hosts) })
}
