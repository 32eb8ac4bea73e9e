package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/operator"
)

// Options configures Start.
type Options struct {
	// Binaries is the directory of the programs, Dir the one for settings files and logs.
	Binaries string
	Dir      string
	// Work is the service time of a call on a backend server; zero means 2 ms.
	Work time.Duration
	// NoBackends disables the start of backend servers.
	NoBackends bool
	// BackendArgs are appended to the command line of every backend server.
	BackendArgs []string
	// LogLevel is the log level of the nodes; empty means the default.
	LogLevel string
	// FaultInjection enables the control API with which tests cut the links of a node.
	FaultInjection bool
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment Deployment
	Hosts      []Host
	Platform   map[string]string // address by failure domain

	options Options

	mu        sync.Mutex
	processes map[string]*Process
}

// Start starts all processes of the deployment and waits until every node is healthy.
func Start(ctx context.Context, d Deployment, o Options) (*Fleet, error) {
	hosts, err := d.Hosts()
	if err != nil {
		return nil, err
	}

	f := &Fleet{Deployment: d, Hosts: hosts, Platform: map[string]string{}, options: o, processes: map[string]*Process{}}

	if err := f.startPlatform(); err != nil {
		return nil, err
	}

	for i := range f.Hosts {
		if err := f.StartHost(i); err != nil {
			f.Stop()

			return nil, err
		}
	}

	return f, f.waitHealthy(ctx)
}

func (f *Fleet) startPlatform() error {
	addresses, err := FreeAddresses(len(f.Deployment.FailureDomains))
	if err != nil {
		return err
	}

	args := []string{"platform"}
	for i, domain := range f.Deployment.FailureDomains {
		f.Platform[domain] = addresses[i]
		args = append(args, "--listen", addresses[i])
	}

	return f.start("platform", "standin", args...)
}

// StartHost starts the node of a host and, unless NoBackends is set, its backend server.
func (f *Fleet) StartHost(i int) error {
	if err := f.StartNode(i); err != nil || f.options.NoBackends {
		return err
	}

	return f.StartBackend(i)
}

// StartNode starts the node of a host.
func (f *Fleet) StartNode(i int) error {
	h := f.Hosts[i]
	file := filepath.Join(f.options.Dir, h.ID+".jsonc")

	data, err := json.MarshalIndent(f.config(i), "", "  ")
	if err != nil {
		return err
	}

	const fileMode = 0o600
	if err := os.WriteFile(file, data, fileMode); err != nil {
		return err
	}

	return f.start(NodeName(h.ID), "pollencart", "node", "--settings", file)
}

func (f *Fleet) config(i int) config.Config {
	h := f.Hosts[i]
	c := config.Default()
	c.ID, c.Region, c.FailureDomain = h.ID, f.Deployment.Region, h.FailureDomain
	c.PeerAddress, c.CallerAddress, c.ControlAddress = h.Peer, h.Caller, h.Control
	c.Platform = []string{"http://" + f.Platform[h.FailureDomain]}
	c.Mode = f.Deployment.Mode
	c.FaultInjection = f.options.FaultInjection

	if f.options.LogLevel != "" {
		c.LogLevel = f.options.LogLevel
	}

	// Two seeds far apart in the list are unlikely to fail together.
	for _, seed := range []int{0, len(f.Hosts) / 2} {
		c.Peers = append(c.Peers, f.Hosts[seed].Peer)
	}

	return c
}

// StartBackend starts the backend server of a host.
func (f *Fleet) StartBackend(i int) error {
	h := f.Hosts[i]

	args := []string{
		"backend",
		"--name", h.ID, "--service", h.Service.Name, "--listen", h.Backend, "--node", h.Control,
		"--slots", strconv.Itoa(h.Service.Slots), "--connections", strconv.Itoa(h.Service.Connections),
		"--work", f.serviceTime().String(),
	}

	return f.start(BackendName(h.ID), "standin", append(args, f.options.BackendArgs...)...)
}

func (f *Fleet) serviceTime() time.Duration {
	if f.options.Work > 0 {
		return f.options.Work
	}

	const defaultWork = 2 * time.Millisecond

	return defaultWork
}

// NodeName returns the process name of a host's node.
func NodeName(host string) string { return "node-" + host }

// BackendName returns the process name of a host's backend server.
func BackendName(host string) string { return "backend-" + host }

func (f *Fleet) start(name, program string, args ...string) error {
	p, err := startProcess(name, filepath.Join(f.options.Binaries, program), f.options.Dir, args...)
	if err != nil {
		return err
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.processes[name] = p

	return nil
}

// Process returns the most recently started process with the name, or nil.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.processes[name]
}

// Processes returns the most recently started process of each name.
func (f *Fleet) Processes() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()

	out := make([]*Process, 0, len(f.processes))
	for _, p := range f.processes {
		out = append(out, p)
	}

	return out
}

// Stop kills the processes that Processes returns.
func (f *Fleet) Stop() {
	for _, p := range f.Processes() {
		p.Kill()
	}
}

// Callers returns the caller addresses of all nodes.
func (f *Fleet) Callers() []string {
	out := make([]string, len(f.Hosts))
	for i, h := range f.Hosts {
		out[i] = h.Caller
	}

	return out
}

// Operator returns an operator client for the node of a host.
func (f *Fleet) Operator(i int) *operator.Client { return operator.NewClient(f.Hosts[i].Control) }

func (f *Fleet) waitHealthy(ctx context.Context) error {
	for _, h := range f.Hosts {
		if err := WaitOK(ctx, "http://"+h.Control+"/healthz"); err != nil {
			return err
		}
	}

	return nil
}

// WaitOK polls a URL until it responds with 200 or ctx ends.
func WaitOK(ctx context.Context, url string) error {
	return Wait(ctx, url, func() bool {
		resp, err := http.Get(url) //nolint:gosec,noctx // a loopback address of this fleet
		if err != nil {
			return false
		}

		_ = resp.Body.Close()

		return resp.StatusCode == http.StatusOK
	})
}

// Wait polls until the condition holds or ctx ends.
func Wait(ctx context.Context, what string, condition func() bool) error {
	const pollInterval = 20 * time.Millisecond

	for !condition() {
		select {
		case <-ctx.Done():
			return ErrHarness.With("waiting for %s", what).Wrap(ctx.Err())
		case <-time.After(pollInterval):
		}
	}

	return nil
}

// WaitVersion waits until the version or a newer one is active on all nodes, as host 0 reports
// it, and returns the last status.
func (f *Fleet) WaitVersion(ctx context.Context, number uint64) (operator.Status, error) {
	var s operator.Status

	err := Wait(ctx, fmt.Sprintf("version %d", number), func() bool {
		status, err := f.Operator(0).Status(ctx)
		s = status

		return err == nil && s.Newest >= number && s.ActiveNodes == len(f.Hosts)
	})

	return s, err
}

// WaitServing waits until every node reports as many ready backend servers as there are hosts.
func (f *Fleet) WaitServing(ctx context.Context) error {
	return Wait(ctx, "backend servers", func() bool {
		s, err := f.Operator(0).Status(ctx)
		if err != nil || len(s.Nodes) < len(f.Hosts) {
			return false
		}

		for _, n := range s.Nodes {
			if n.ReadyBackends != len(f.Hosts) {
				return false
			}
		}

		return true
	})
}
