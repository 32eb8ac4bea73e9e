package sidecar_test

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/workspace/survey"
	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

const (
	firstKey  = "ta828m82thhkmgjqnirt"
	secondKey = "h5mgjy5rcpihhacrudde"
)

// headers records the headers that backend servers got.
type headers struct {
	mu  sync.Mutex
	all []http.Header
}

func (h *headers) got(header http.Header) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.all = append(h.all, header.Clone())
}

func (h *headers) take() []http.Header {
	h.mu.Lock()
	defer h.mu.Unlock()

	out := h.all
	h.all = nil

	return out
}

// lines is a log that may be written concurrently.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.text.String()
}

// callWithKey sends a call on a connection of the client and returns its status.
func (h *host) callWithKey(t *testing.T, client *http.Client, key string) int {
	t.Helper()

	request, err := http.NewRequest(http.MethodPost, "http://"+h.config.CallerAddress+"/safe/x", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Header.Set(platform.Headers().Key, key)
	request.Header.Set(platform.Headers().Workspace, "forged")

	response, err := client.Do(request)
	assert.NilError(t, err)

	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())

	return response.StatusCode
}

// A key is taken away from a caller that keeps its connection, and given to another workspace. All hosts
// keep to each version within 2.5 s, backend servers get no key, and no line has one.
func TestKeysOfAVersionTakeEffectOnOpenConnections(t *testing.T) {
	var (
		seen headers
		log  lines
	)

	f := newConfiguredFleet(t, func(_ int, h *host) {
		h.backend.Got = seen.got
		h.logger = slog.New(slog.NewJSONHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}, "browse", "ledger", "ledger")
	write := func(version int, keys map[string]string) time.Time {
		f.store.Write(platform.ConfigurationKey, standin.WithTenants(standin.Document(version, "ledger"), keys))

		return time.Now()
	}

	clients := make([]*http.Client, len(f.hosts))
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	}

	expect := func(written time.Time, key string, status int, workspace string) {
		for i, h := range f.hosts {
			for h.callWithKey(t, clients[i], key) != status {
				assert.Assert(t, time.Since(written) < 2500*time.Millisecond, "%s at host %d", key, i)
				time.Sleep(20 * time.Millisecond)
			}

			seen.take()
			assert.Equal(t, h.callWithKey(t, clients[i], key), status, "a step back")

			for _, header := range seen.take() {
				assert.Equal(t, header.Get(platform.Headers().Workspace), workspace)
				assert.Equal(t, len(header.Values(platform.Headers().Key)), 0)
			}
		}
	}

	write(1, map[string]string{"acme": firstKey, "corp": ""})
	f.announceAll(t)

	for i, h := range f.hosts {
		eventually(t, func() bool { return h.ready() && h.callWithKey(t, clients[i], firstKey) == http.StatusOK })
	}

	expect(time.Now(), firstKey, http.StatusOK, "acme")
	expect(time.Now(), secondKey, http.StatusUnauthorized, "")

	at := write(2, map[string]string{"acme": secondKey, "corp": ""})
	expect(at, firstKey, http.StatusUnauthorized, "")
	expect(at, secondKey, http.StatusOK, "acme")

	at = write(3, map[string]string{"acme": secondKey, "corp": firstKey})
	expect(at, firstKey, http.StatusOK, "corp")

	// A version with an error in its workspaces is rejected whole.
	at = write(4, map[string]string{"acme": firstKey, "corp": firstKey})
	eventually(t, func() bool { return strings.Count(log.String(), "a key is held by workspaces") >= 2 })
	expect(at, secondKey, http.StatusOK, "acme")

	response, err := http.Get("http://" + f.hosts[0].config.MetricsAddress + "/metrics")
	assert.NilError(t, err)

	metrics, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Assert(t, strings.Contains(string(metrics), "\npollencart_unknown_keys_total "))
	assert.Assert(t, !strings.Contains(string(metrics), "\npollencart_unknown_keys_total 0\n"))

	for _, key := range []string{firstKey, secondKey} {
		assert.Assert(t, !strings.Contains(log.String(), key))
		assert.Assert(t, !strings.Contains(string(metrics), key))
	}
}

// An operator asks any host who uses the backend servers; calls came in at other hosts.
func TestUseOfWorkspacesIsShownOverAllNodes(t *testing.T) {
	f := newConfiguredFleet(t, func(_ int, h *host) { h.backend.Work = 20 * time.Millisecond }, "browse", "ledger")
	f.store.Write(platform.ConfigurationKey, standin.WithTenants(standin.Document(1, "ledger"), map[string]string{"acme": firstKey}))
	f.announceAll(t)

	for _, h := range f.hosts {
		eventually(t, func() bool { return h.ready() && h.callWithKey(t, http.DefaultClient, firstKey) == http.StatusOK })
	}

	eventually(t, func() bool {
		_, body := f.hosts[0].get(t, "/workspaces")

		var report survey.Report

		assert.NilError(t, json.Unmarshal([]byte(body), &report))

		return report.Nodes == len(f.hosts) && len(report.Rows) == 1 && report.Rows[0].Workspace == "acme" &&
			report.Rows[0].Calls >= uint64(len(f.hosts)) && report.Rows[0].SlotSeconds >= 0.04
	})

	metrics := f.hosts[1].metrics(t)
	assert.Assert(t, strings.Contains(metrics, `pollencart_workspace_calls_total{Workspace="acme"} `), metrics)
	assert.Assert(t, !strings.Contains(metrics, firstKey))
}
