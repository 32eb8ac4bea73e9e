package sidecar_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/sidecar"
	"github.com/pollencart/pollencart/internal/sidecar/config"
	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

// waitTimeout bounds waits for conditions that must become true.
const waitTimeout = 30 * time.Second

// fleet is a store and a number of hosts, each with a node and a backend server.
type fleet struct {
	store *standin.Store
	hosts []*host
}

type host struct {
	config     config.Config
	backend    *standin.Backend
	server     *httptest.Server
	stop       context.CancelFunc
	ended      chan struct{}
	node       *sidecar.Sidecar
	drainSteps drainSteps
	logger     *slog.Logger // default: drainSteps
}

func newFleet(t *testing.T, services ...string) *fleet {
	t.Helper()

	return newConfiguredFleet(t, func(int, *host) {}, services...)
}

// newConfiguredFleet is newFleet with a function that changes each host before its node starts.
func newConfiguredFleet(t *testing.T, configure func(i int, h *host), services ...string) *fleet {
	t.Helper()

	f := &fleet{store: standin.NewStore()}
	server := httptest.NewServer(f.store.Handler())

	for i, service := range services {
		h := &host{drainSteps: make(drainSteps, 16), backend: &standin.Backend{Instance: fmt.Sprintf("i-%d", i), Service: service, Slots: 4}}
		b := httptest.NewServer(h.backend)
		h.server = b
		t.Cleanup(b.Close)

		h.config = config.Config{
			Node: fmt.Sprintf("n%d", i), Region: "midlands", FailureDomain: "derby", Service: service,
			BackendAddress: strings.TrimPrefix(b.URL, "http://"), StoreAddress: strings.TrimPrefix(server.URL, "http://"),
			CallerAddress: standin.FreeAddress(), PeerAddress: standin.FreeAddress(), ReadyAddress: standin.FreeAddress(),
			AnnounceAddress: standin.FreeAddress(), MetricsAddress: standin.FreeAddress(),
			Bounds: config.Bounds{DrainSeconds: 2, GraceSeconds: 6, RetryRatio: 0.2, RetryWindowSeconds: 10, RetrySlack: 50},
		}
		f.hosts = append(f.hosts, h)
		configure(i, h)
		h.start(t)
	}

	t.Cleanup(func() {
		for _, h := range f.hosts {
			h.stop()
		}

		for _, h := range f.hosts {
			<-h.ended
		}

		server.CloseClientConnections()
		server.Close()
	})

	return f
}

// start starts a new node with the configuration of the host.
func (h *host) start(t *testing.T) {
	t.Helper()

	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.ended = cancel, make(chan struct{})
	h.node = sidecar.New(h.config, cmp.Or(h.logger, slog.New(h.drainSteps)))

	go func() {
		defer close(h.ended)

		assert.Check(t, h.node.Run(ctx))
	}()
}

func (h *host) announce(departing bool) int {
	status, err := h.backend.Announce(h.config.AnnounceAddress, h.config.BackendAddress, departing)
	if err != nil {
		return 0
	}

	return status
}

// announceAll announces all backend servers, and retries until each node accepts the announcement.
func (f *fleet) announceAll(t *testing.T) {
	t.Helper()

	for _, h := range f.hosts {
		eventually(t, func() bool { return h.announce(false) == http.StatusOK })
	}
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()

	for start := time.Now(); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > waitTimeout {
			t.Fatal("condition not met within the wait timeout")
		}
	}
}

func (h *host) call(id string) (int, string, http.Header) {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.config.CallerAddress+"/once/x?y=1", strings.NewReader("body"))
	if err != nil {
		return 0, err.Error(), nil
	}

	names := platform.Headers()
	request.Header.Set(names.Call, id)
	request.Header.Set(names.Deadline, "4000")
	request.Header.Set(names.Caller, "forged")

	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = response.Body.Close() }()

	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), nil
	}

	return response.StatusCode, string(body), response.Header
}

func (h *host) ready() bool {
	response, err := http.Get("http://" + h.config.ReadyAddress + "/-/ready")

	return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

func (h *host) serves() bool {
	status, _, _ := h.call("probe")

	return status == http.StatusOK
}

// A call reaches a backend server on another host unchanged, with the service of the host that it
// comes from. A new configuration version takes effect on all nodes.
func TestCallRunsOnAnotherNodeAndNewVersionTakesEffect(t *testing.T) {
	f := newFleet(t, "browse", "ledger", "ledger")
	assert.Assert(t, !f.hosts[0].ready())
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announceAll(t)
	eventually(t, f.hosts[0].ready)
	eventually(t, f.hosts[0].serves)

	status, body, header := f.hosts[0].call("id-1")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "/once/x?y=1 body")
	assert.Equal(t, header.Get(platform.Headers().Call), "id-1")
	assert.Equal(t, header.Get("Origin"), "browse")
	assert.Equal(t, header.Get(platform.Headers().Signature), "signed")

	f.store.Write(platform.ConfigurationKey, standin.Document(2, "browse"))
	eventually(t, func() bool {
		f.hosts[1].call("moved")

		return len(f.hosts[0].backend.Calls()) > 0
	})
}

// A backend server has a confirmation of its departure. Its node restarts and receives a delayed
// heartbeat: the backend server must get no more calls.
func TestNoCallReachesBackendServerAfterConfirmedDeparture(t *testing.T) {
	f := newFleet(t, "ledger", "ledger")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announceAll(t)
	eventually(t, f.hosts[1].serves)
	eventually(t, f.hosts[0].serves)

	departing := f.hosts[0]
	assert.Equal(t, departing.announce(true), http.StatusOK)

	before := departing.backend.Calls()

	for i := range 20 {
		status, _, _ := f.hosts[i%2].call("after")
		assert.Equal(t, status, http.StatusOK)
	}

	departing.stop()
	<-departing.ended
	departing.start(t)
	eventually(t, departing.ready)
	assert.Equal(t, departing.announce(false), http.StatusOK)
	eventually(t, departing.serves)

	for range 20 {
		departing.call("after the restart")
	}

	after := departing.backend.Calls()
	assert.Equal(t, len(after), len(before))
}

// A node that drains while calls run reports at once that it is not ready, and answers all calls.
func TestDrainAnswersCallsInFlight(t *testing.T) {
	f := newFleet(t, "ledger", "ledger")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announceAll(t)

	for _, h := range f.hosts {
		eventually(t, h.serves)
		h.backend.Work = 200 * time.Millisecond
	}

	statuses := make(chan int, 100)
	stopping := f.hosts[0]

	for range 4 {
		go func() {
			status, _, _ := stopping.call("long")
			statuses <- status
		}()
	}

	time.Sleep(50 * time.Millisecond)
	stopping.stop()
	eventually(t, func() bool { return !stopping.ready() })

	for range 4 {
		assert.Equal(t, <-statuses, http.StatusOK)
	}

	<-stopping.ended
}

// A node drains whose backend server, still running, is the only one of its service. Other nodes must
// not fail their calls while the draining node still serves its own callers.
func TestDrainingNodeServesOtherNodesWhileItServesItsCallers(t *testing.T) {
	f := newFleet(t, "ledger", "browse")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announceAll(t)
	eventually(t, f.hosts[1].serves)

	stopping := f.hosts[0]
	stopping.stop()
	eventually(t, func() bool { return !stopping.ready() })

	for range 20 {
		status, body, _ := f.hosts[1].call("while it stops")
		assert.Equal(t, status, http.StatusOK, body)
		time.Sleep(50 * time.Millisecond)
	}

	<-stopping.ended
}

// Without the store, nodes continue with their stored configuration, and a backend server runs no more
// calls at once than it has slots.
func TestNodeServesCallsWithoutTheStore(t *testing.T) {
	f := newFleet(t, "ledger")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announceAll(t)
	eventually(t, f.hosts[0].serves)
	f.store.Fault(func(string) int { return http.StatusServiceUnavailable })

	f.hosts[0].backend.Work = 20 * time.Millisecond
	statuses := make(chan int, 30)

	for range 30 {
		go func() {
			status, _, _ := f.hosts[0].call("many")
			statuses <- status
		}()
	}

	for range 30 {
		assert.Equal(t, <-statuses, http.StatusOK)
	}

	assert.Assert(t, f.hosts[0].backend.MaxRunning() <= 4)
}

// The settings file changes without a signal. Changed bounds are applied; a truncated file is rejected.
func TestChangedSettingsFileUpdatesBounds(t *testing.T) {
	f := newFleet(t, "ledger")
	h := f.hosts[0]
	file := filepath.Join(t.TempDir(), "node.jsonc")

	write := func(c config.Config) {
		data, err := json.Marshal(c)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(file, data, 0o600))
	}

	write(h.config)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	signals := make(chan os.Signal, 1)
	go h.node.Follow(ctx, file, signals)

	next := h.config
	next.Bounds.RetrySlack = 7
	write(next)
	eventually(t, func() bool { return h.node.Settings().Bounds.RetrySlack == 7 })

	assert.NilError(t, os.WriteFile(file, []byte("{"), 0o600))
	signals <- os.Interrupt
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, h.node.Settings().Bounds.RetrySlack, 7.0)
}
