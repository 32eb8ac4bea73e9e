// Package harness starts a deployment as separate processes on loopback
// addresses: a platform, and on each host a node and a backend server. The
// demonstration and the experiments use it; no part of a node does.
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

// Deployment is which hosts there are.
type Deployment struct {
	Region         string      `json:"Region"`
	Mode           config.Mode `json:"Mode"`
	FailureDomains []string    `json:"FailureDomains"`
	Services       []Service   `json:"Services"`
}

// Service is one service and the failure domains of its upstreams.
type Service struct {
	Name        string   `json:"Name"`
	Slots       int      `json:"Slots"`
	Connections int      `json:"Connections"`
	Upstreams   []string `json:"Upstreams"`
}

// perHost is how many addresses a host has.
const perHost = 4

// Host is one host: a node and a backend server.
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

// Hosts returns the hosts with free addresses.
func (d Deployment) Hosts() ([]Host, error) {
	var hosts []Host

	for _, s := range d.Services {
		for i, domain := range s.Upstreams {
			hosts = append(hosts, Host{ID: fmt.Sprintf("%s-%s-%d", domain, s.Name, i+1), FailureDomain: domain, Service: s})
		}
	}

	addresses, err := FreeAddresses(perHost * len(hosts))
	if err != nil {
		return nil, err
	}

	for i := range hosts {
		a := addresses[perHost*i:]
		hosts[i].Peer, hosts[i].Caller, hosts[i].Control, hosts[i].Backend = a[0], a[1], a[2], a[3]
	}

	return hosts, nil
}

// Addresses of this process: each process has a loopback address of its own by
// its ID, so that experiments at the same time never meet.
const (
	firstNet  = 16
	firstPort = 20_000
	lastPort  = 32_000
	byteBits  = 8
	byteMask  = 0xff
)

var lastAddress atomic.Int32

// FreeAddresses returns loopback addresses that nobody else uses.
func FreeAddresses(n int) ([]string, error) {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(firstNet+pid>>(2*byteBits)), byte(pid>>byteBits&byteMask), byte(pid&byteMask)) //nolint:mnd // loopback
	out := make([]string, 0, n)

	for range n {
		port := firstPort + int(lastAddress.Add(1))
		if port > lastPort {
			return nil, ErrHarness.With("no free addresses left")
		}

		out = append(out, fmt.Sprintf("%s:%d", ip, port))
	}

	return out, nil
}
