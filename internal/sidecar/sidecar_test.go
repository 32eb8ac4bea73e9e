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

// patience bounds waits for what must come.
const patience = 30 * time.Second

// fleet is a store and hosts with a node and a backend server each.
type fleet struct {
	store *standin.Store
	hosts []*host
}

type host struct {
	config  config.Config
	backend *standin.Backend
	server  *httptest.Server
	stop    context.CancelFunc
	ended   chan struct{}
	node    *sidecar.Sidecar
	steps   steps
	logger  *slog.Logger // steps if none
}

func newFleet(t *testing.T, services ...string) *fleet {
	t.Helper()

	f := &fleet{store: standin.NewStore()}
	server := httptest.NewServer(f.store.Handler())

	for i, service := range services {
		h := &host{steps: make(steps, 16), backend: &standin.Backend{Instance: fmt.Sprintf("i-%d", i), Service: service, Slots: 4}}
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

// start runs a process of the node.
func (h *host) start(t *testing.T) {
	t.Helper()

	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.ended = cancel, make(chan struct{})
	h.node = sidecar.New(h.config, cmp.Or(h.logger, slog.New(h.steps)))

	go func() {
		defer close(h.ended)

		assert.Check(t, h.node.Run(ctx))
	}()
}

func (h *host) announce(leaving bool) int {
	status, err := h.backend.Announce(h.config.AnnounceAddress, h.config.BackendAddress, leaving)
	if err != nil {
		return 0
	}

	return status
}

// announced has all backend servers announce themselves until all nodes serve.
func (f *fleet) announced(t *testing.T) {
	t.Helper()

	for _, h := range f.hosts {
		eventually(t, func() bool { return h.announce(false) == http.StatusOK })
	}
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()

	for start := time.Now(); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > patience {
			t.Fatal("it did not come about")
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

// A call reaches a backend server beside another node, unchanged, with the service of
// the host where it began; and the operator's next version is in force.
func TestTheWholePath(t *testing.T) {
	f := newFleet(t, "browse", "ledger", "ledger")
	assert.Assert(t, !f.hosts[0].ready())
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announced(t)
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

// A backend server says that it leaves and has its confirmation. The node is killed
// and started anew, and an old heartbeat arrives: nothing is sent there any more.
func TestNothingReachesABackendServerThatWasConfirmedToLeave(t *testing.T) {
	f := newFleet(t, "ledger", "ledger")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announced(t)
	eventually(t, f.hosts[1].serves)
	eventually(t, f.hosts[0].serves)

	leaving := f.hosts[0]
	assert.Equal(t, leaving.announce(true), http.StatusOK)

	before := leaving.backend.Calls()

	for i := range 20 {
		status, _, _ := f.hosts[i%2].call("after")
		assert.Equal(t, status, http.StatusOK)
	}

	leaving.stop()
	<-leaving.ended
	leaving.start(t)
	eventually(t, leaving.ready)
	assert.Equal(t, leaving.announce(false), http.StatusOK)
	eventually(t, leaving.serves)

	for range 20 {
		leaving.call("after the restart")
	}

	after := leaving.backend.Calls()
	assert.Equal(t, len(after), len(before))
}

// The node is stopped while calls run. It is not ready at once, and every call has its
// answer.
func TestAPlannedStopCutsNothingOff(t *testing.T) {
	f := newFleet(t, "ledger", "ledger")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announced(t)

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

// A node is stopped as planned, and its backend server, which runs on, is the only one
// of its service. Callers elsewhere must not be told that nobody serves them for the
// whole time in which the node keeps its own callers.
func TestANodeThatIsStoppedServesOthersAsLongAsItsOwnCallers(t *testing.T) {
	f := newFleet(t, "ledger", "browse")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announced(t)
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

// The store is away. Nodes go on with what they hold, and no more calls run at a
// backend server than it has slots.
func TestAStoreThatIsAway(t *testing.T) {
	f := newFleet(t, "ledger")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announced(t)
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

// The settings file changes without a signal. Bounds are taken over; what needs a
// restart is refused, and so is a file that is cut short.
func TestSettingsAreReadAgain(t *testing.T) {
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
