package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/node"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/standin/backend"
	"github.com/pollencart/pollencart/internal/standin/platform"
)

// waitTimeout bounds waits for conditions that must become true; no test asserts on how long
// they take.
const waitTimeout = 60 * time.Second

// fleet is a deployment inside the test process: real nodes on loopback addresses, with
// stand-ins for the platform and the backend servers.
type fleet struct {
	t        *testing.T
	platform *platform.Platform
	url      string
	hosts    []*host
}

type host struct {
	harness.Host
	config     config.Config
	backend    *backend.Server
	crashCount atomic.Int32
	log        nodeLog
	stop       context.CancelFunc
	done       chan error
}

// startFleet starts the deployment of examples/midlands; change edits the settings file of
// each node.
func startFleet(t *testing.T, change ...func(*config.Config)) *fleet {
	t.Helper()

	d, err := harness.LoadDeployment("../../examples/midlands/deployment.jsonc")
	assert.NilError(t, err)

	hosts, err := d.Hosts()
	assert.NilError(t, err)

	f := &fleet{t: t, platform: platform.New()}
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(f.writeLogs)
	f.url = server.URL

	for _, h := range hosts {
		c := config.Default()
		c.ID, c.Region, c.FailureDomain = h.ID, d.Region, h.FailureDomain
		c.PeerAddress, c.CallerAddress, c.ControlAddress = h.Peer, h.Caller, h.Control
		c.Peers, c.Platform = []string{hosts[0].Peer, hosts[len(hosts)/2].Peer}, []string{f.url}

		for _, apply := range change {
			apply(&c)
		}

		f.hosts = append(f.hosts, &host{Host: h, config: c})
	}

	for _, h := range f.hosts {
		f.start(h)
		f.startBackend(h)
	}

	return f
}

// startNode starts the node of a host and does not wait for it.
func (f *fleet) startNode(h *host) {
	f.t.Helper()

	ctx, stop := context.WithCancel(f.t.Context())
	h.stop, h.done = stop, make(chan error, 1)

	go func() { h.done <- node.New(h.config, h.log.logger()).Run(ctx) }()

	f.t.Cleanup(stop)
}

// start starts the node of a host and waits until it listens.
func (f *fleet) start(h *host) {
	f.t.Helper()
	f.startNode(h)
	f.wait("health of "+h.ID, func() bool { return httpStatus("http://"+h.Control+"/healthz") == http.StatusOK })
}

func (f *fleet) startBackend(h *host) {
	f.t.Helper()

	s := &http.Server{}
	ctx, stop := context.WithCancel(f.t.Context())
	h.backend = backend.New(backend.Config{
		Name: h.ID, Service: h.Service.Name, Slots: h.Service.Slots, Connections: h.Service.Connections,
		Work: time.Millisecond,
		Crash: func() { // closes all sockets, as the end of a process does
			h.crashCount.Add(1)
			stop()

			_ = s.Close()
		},
	})
	s.Handler = h.backend.Handler()

	l, err := net.Listen("tcp", h.Backend)
	assert.NilError(f.t, err)

	go func() { _ = s.Serve(l) }()

	go h.backend.Announce(ctx, h.Control, h.Backend)

	f.t.Cleanup(func() {
		stop()
		_ = s.Close()
	})
}

func httpStatus(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}

	_ = resp.Body.Close()

	return resp.StatusCode
}

func (f *fleet) wait(what string, condition func() bool) {
	f.t.Helper()

	ctx, cancel := context.WithTimeout(f.t.Context(), waitTimeout)
	defer cancel()

	assert.NilError(f.t, harness.Wait(ctx, what, condition))
}

func (f *fleet) operator(i int) *operator.Client { return operator.NewClient(f.hosts[i].Control) }

// accept accepts the example's tree and waits until it is active on every node and every node
// knows all backend servers.
func (f *fleet) accept() uint64 {
	f.t.Helper()

	data, err := os.ReadFile("../../examples/midlands/tree.jsonc")
	assert.NilError(f.t, err)

	v, err := f.operator(0).Accept(f.t.Context(), operator.AcceptRequest{
		File: "tree.jsonc", Tree: data, ID: ulid.Make().String(),
	})
	assert.NilError(f.t, err)
	f.wait("the version to be active and all backend servers to be known", func() bool {
		s, err := f.operator(1).Status(f.t.Context())
		if err != nil || s.ActiveNodes != len(f.hosts) {
			return false
		}

		for _, n := range s.Nodes {
			if n.ReadyBackends != len(f.hosts) {
				return false
			}
		}

		return s.Newest == v.Number
	})

	return v.Number
}

type nodeStatus = operator.NodeStatus

type reply struct {
	status  int
	header  http.Header
	answer  backend.Answer
	refusal frontend.Rejection
}

// send sends a request through a node.
func (f *fleet) send(i int, method, path, body string, header map[string]string) reply {
	f.t.Helper()

	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.hosts[i].Caller+path, strings.NewReader(body))
	assert.NilError(f.t, err)

	for k, v := range header {
		req.Header.Set(k, v)
	}

	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)

	defer resp.Body.Close()

	data, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)

	r := reply{status: resp.StatusCode, header: resp.Header}
	if resp.StatusCode == http.StatusOK {
		assert.NilError(f.t, json.NewDecoder(bytes.NewReader(data)).Decode(&r.answer))
	} else {
		assert.NilError(f.t, json.Unmarshal(data, &r.refusal), "%s", data)
	}

	return r
}
