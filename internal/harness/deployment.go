// Package harness starts a deployment as separate processes on loopback addresses: a fake
// platform, and a node and a backend server per host. The demonstration and the experiments
// use it; node code does not.
//
//	d, err := harness.LoadDeployment("examples/midlands/deployment.jsonc")
//	f, err := harness.Start(ctx, d, harness.Options{Binaries: "bin", Dir: dir})
//	defer f.Stop()
package harness

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/jsonc"
	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrHarness is returned if the deployment can't be started.
var ErrHarness = errs.New("harness", http.StatusInternalServerError, "deployment failed")

// Deployment describes the failure domains, services and hosts to start.
type Deployment struct {
	Region         string      `json:"Region"`
	Mode           config.Mode `json:"Mode"`
	FailureDomains []string    `json:"FailureDomains"`
	Services       []Service   `json:"Services"`
}

// Service describes a service; Upstreams has the failure domain of each backend server.
type Service struct {
	Name        string   `json:"Name"`
	Slots       int      `json:"Slots"`
	Connections int      `json:"Connections"`
	Upstreams   []string `json:"Upstreams"`
}

// addressesPerHost is the number of addresses of a host: peer, caller, control and backend server.
const addressesPerHost = 4

// Host is a host with a node and a backend server, and their addresses.
type Host struct {
	ID            string
	FailureDomain string
	Service       Service
	Peer          string
	Caller        string
	Control       string
	Backend       string
}

// LoadDeployment reads a deployment file.
func LoadDeployment(file string) (Deployment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Deployment{}, ErrHarness.Wrap(err)
	}

	var d Deployment

	return d, jsonc.Decode(file, data, &d)
}

// Hosts returns the hosts of the deployment and assigns an address to each listener.
func (d Deployment) Hosts() ([]Host, error) {
	var hosts []Host

	for _, s := range d.Services {
		for i, domain := range s.Upstreams {
			hosts = append(hosts, Host{ID: fmt.Sprintf("%s-%s-%d", domain, s.Name, i+1), FailureDomain: domain, Service: s})
		}
	}

	addresses, err := FreeAddresses(addressesPerHost * len(hosts))
	if err != nil {
		return nil, err
	}

	for i := range hosts {
		a := addresses[addressesPerHost*i:]
		hosts[i].Peer, hosts[i].Caller, hosts[i].Control, hosts[i].Backend = a[0], a[1], a[2], a[3]
	}

	return hosts, nil
}

// Each process derives its own loopback IP address from its process ID, so that concurrent
// experiments do not share addresses.
const (
	firstSubnet = 16
	firstPort   = 20_000
	lastPort    = 32_000
	byteBits    = 8
	byteMask    = 0xff
)

// portCounter is the number of ports assigned so far.
var portCounter atomic.Int32

// FreeAddresses returns n loopback addresses that no earlier call in this process returned, or
// an error if the port range is exhausted. It does not check that the ports are free.
func FreeAddresses(n int) ([]string, error) {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(firstSubnet+pid>>(2*byteBits)), byte(pid>>byteBits&byteMask), byte(pid&byteMask)) //nolint:mnd // loopback
	out := make([]string, 0, n)

	for range n {
		port := firstPort + int(portCounter.Add(1))
		if port > lastPort {
			return nil, ErrHarness.With("no free addresses left")
		}

		out = append(out, fmt.Sprintf("%s:%d", ip, port))
	}

	return out, nil
}
