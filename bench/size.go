// Package bench measures what the parts of a node cost as the fleet grows, and
// bounds what must not grow.
//
// Benchmarks run at 100, 1,000 and 4,300 records; times are read as ratios
// within one run (make bench). Bounds on allocations and bytes are ordinary
// tests, so that a regression stops the build.
package bench

import (
	"fmt"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Sizes of a fleet in nodes; the last is the size of the two-year aim.
func Sizes() []int { return []int{100, 1000, 4300} }

// Size of the two-year aim.
const (
	Services       = 310
	Regions        = 4
	FailureDomains = 14
	routesEach     = 4
)

// Tree returns a tree with so many services, over the regions.
func Tree(services int) settings.Tree {
	t := settings.Tree{Branch: settings.Branch{Branches: map[string]settings.Branch{}}}

	for region := range Regions {
		b := settings.Branch{Region: &settings.Region{}, Branches: map[string]settings.Branch{}}

		for d := region; d < FailureDomains; d += Regions {
			b.Region.FailureDomains = append(b.Region.FailureDomains, domain(d))
		}

		for s := region; s < services; s += Regions {
			b.Branches[service(s)] = branch(s)
		}

		t.Branches[fmt.Sprintf("region-%d", region)] = b
	}

	return t
}

func domain(n int) string { return fmt.Sprintf("domain-%02d", n) }

func service(n int) string { return fmt.Sprintf("service-%03d", n) }

func branch(s int) settings.Branch {
	const slots, connections = 10, 100

	b := settings.Branch{
		Service: &settings.Service{Slots: slots, Connections: connections}, Routes: map[string]settings.Route{},
	}

	for r := range routesEach {
		b.Routes[fmt.Sprintf("route-%d", r)] = settings.Route{
			Match: settings.Match{Method: "GET", PathPrefix: fmt.Sprintf("/service-%03d/route-%d/", s, r)},
		}
	}

	return b
}

// Members returns the records of a fleet of n nodes.
func Members(n int) []membership.Record {
	const slots, connections, byteSize = 10, 100, 256

	out := make([]membership.Record, n)
	for i := range out {
		address := fmt.Sprintf("10.%d.%d.%d", i%FailureDomains, i/byteSize%byteSize, i%byteSize)
		out[i] = membership.Record{
			ID: fmt.Sprintf("%s-%s-%04d", domain(i%FailureDomains), service(i%Services), i), Incarnation: 1_790_000_000_000,
			Seq: 3, State: membership.StateAlive, Region: fmt.Sprintf("region-%d", i%Regions), FailureDomain: domain(i % FailureDomains),
			PeerAddress: address + ":7000", CallerAddress: address + ":8000", ControlAddress: address + ":8001",
			Upstream: membership.Upstream{
				Service: service(i % Services), State: membership.UpstreamReady, Slots: slots, Connections: connections,
				ReadySince: 1_790_000_000_000,
			},
		}
	}

	return out
}

// Snapshot returns version 1 of the tree.
func Snapshot(t settings.Tree, number uint64) (*settings.Snapshot, error) {
	records, err := t.Records()
	if err != nil {
		return nil, err
	}

	return settings.NewSnapshot(settings.Version{
		Number: number, Digest: settings.TreeDigest(records.Digests()), AcceptanceID: "01JBENCH",
	}, records)
}
