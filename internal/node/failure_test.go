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

// block makes a host send nothing to the given peer addresses.
func (f *fleet) block(i int, addresses ...string) {
	f.t.Helper()

	data, err := json.Marshal(node.Faults{Blocked: addresses})
	assert.NilError(f.t, err)

	resp, err := http.Post("http://"+f.hosts[i].Control+"/v1/faults", "application/json", bytes.NewReader(data))
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
	assert.Equal(f.t, resp.StatusCode, http.StatusNoContent)
}

// cutLinks blocks all links for which crosses returns true, and unblocks all others.
func (f *fleet) cutLinks(crosses func(from, to *host) bool) {
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

// memberState returns the state of a node in the membership view of another.
func (f *fleet) memberState(by int, id string) string {
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

// knownBackends returns how many ready backend servers a node knows, or -1 if it gives no status.
func (f *fleet) knownBackends(i int) int {
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

// The settings files name no peers, as on hosts that may be replaced at any time. Nodes must
// find each other through the records that their watchers store on the platform.
func TestFleetFormsThroughPlatformWithoutSeeds(t *testing.T) {
	t.Parallel()

	f := startFleet(t, func(c *config.Config) { c.Peers = nil })
	f.accept()
}

// The platform is down when the whole fleet starts. Nodes must find each other through the
// peers in their settings files.
func TestFleetFormsThroughSeedsWithoutPlatform(t *testing.T) {
	t.Parallel()

	f := startFleet(t, func(c *config.Config) { c.Platform = []string{"http://127.0.0.1:1"} })

	for i := range f.hosts {
		f.wait("all backend servers to be known on "+f.hosts[i].ID, func() bool { return f.knownBackends(i) == len(f.hosts) })
	}
}

// By default, a node must not offer fault injection at its control address: any client that
// reaches the address could cut the node's links.
func TestFaultInjectionIsOffByDefault(t *testing.T) {
	t.Parallel()

	f := startFleet(t)

	resp, err := http.Post("http://"+f.hosts[0].Control+"/v1/faults", "application/json", bytes.NewReader([]byte("{}")))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
}

// A failure domain loses its links to all other domains and the platform is down. Each side
// must serve its callers from its own backend servers. After the partition heals, the domain
// must rejoin without an operator, and a newly accepted version must become active in it.
func TestIsolatedFailureDomainServesAndRecovers(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withFaults)
	f.accept()

	inDomain := func(h *host) bool { return h.FailureDomain == "derby" }
	f.cutLinks(func(from, to *host) bool { return inDomain(from) != inDomain(to) })
	f.platform.SetFaults(platform.Faults{Down: true})

	in := slices.IndexFunc(f.hosts, inDomain)
	out := slices.IndexFunc(f.hosts, func(h *host) bool { return !inDomain(h) })

	for _, i := range []int{in, out} {
		sameSide := 0

		for _, h := range f.hosts {
			if inDomain(h) == inDomain(f.hosts[i]) {
				sameSide++
			}
		}

		f.wait("only backend servers on the same side to be known", func() bool { return f.knownBackends(i) == sameSide })

		for range 50 {
			r := f.send(i, http.MethodGet, "/folders/1", "", nil)
			f.assertServed(r)
		}
	}

	f.platform.SetFaults(platform.Faults{})
	f.cutLinks(func(*host, *host) bool { return false })
	f.accept()
}

// Messages pass in one direction only between two failure domains. No call may hang, and all
// healthy backend servers must be known again after the partition heals.
func TestCallsDoNotHangDuringOneWayPartition(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withFaults)
	f.accept()

	f.cutLinks(func(from, to *host) bool { return from.FailureDomain == "leic" && to.FailureDomain == "derby" })

	in := slices.IndexFunc(f.hosts, func(h *host) bool { return h.FailureDomain == "derby" })
	served := 0

	const (
		calls     = 40
		hangLimit = 20 * time.Second // twenty times the route's deadline
	)

	for range calls {
		start := time.Now()
		r := f.send(in, http.MethodGet, "/folders/1", "", nil)
		assert.Assert(t, time.Since(start) < hangLimit)

		if r.status == http.StatusOK {
			served++
		}
	}

	t.Logf("%d of %d calls served during the one-way partition", served, calls)
	assert.Assert(t, served >= calls/2)
	f.cutLinks(func(*host, *host) bool { return false })

	for i := range f.hosts {
		f.wait("all backend servers to be known again", func() bool { return f.knownBackends(i) == len(f.hosts) })
	}
}

// A host accepts connections but never answers. Other nodes must consider it failed and send
// it no calls.
func TestSilentHostIsConsideredFailed(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withFaults)
	f.accept()

	h := f.hosts[1]
	f.cutLinks(func(from, to *host) bool { return from == h && to != h })
	f.wait("the silent host to be considered failed", func() bool { return f.memberState(2, h.ID) == membership.StateDead.String() })

	before := h.backend.Counts().Calls

	for range 50 {
		r := f.send(2, http.MethodGet, "/folders/1", "", nil)
		f.assertServed(r)
	}

	assert.Equal(t, h.backend.Counts().Calls, before)
	f.cutLinks(func(*host, *host) bool { return false })
	f.wait("the host to be known again", func() bool { return f.knownBackends(2) == len(f.hosts) })
}
