package sidecar_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/quota"
	"github.com/pollencart/pollencart/internal/quota/ledger"
	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

// withLimit gives the only workspace of a configuration a limit.
func withLimit(document []byte, rate string) []byte {
	out := bytes.Replace(document, []byte(`["api-keys","name"]`), []byte(`["api-keys","name","rate-per-s"]`), 1)

	return bytes.Replace(out, []byte(`"acme"]`), []byte(`"acme",`+rate+`]`), 1)
}

// Each of three hosts could let the whole limit of a workspace run.
func TestLimitOfAWorkspaceHoldsOverAllHosts(t *testing.T) {
	const rate, window, slack = 20, 5, 10

	f := newConfiguredFleet(t, func(_ int, h *host) {
		h.config.Bounds.QuotaWindowSeconds, h.config.Bounds.QuotaOverage, h.config.Bounds.QuotaSlack = window, 0.1, slack
	}, "browse", "ledger", "ledger")
	document := standin.WithTenants(standin.Document(1, "ledger"), map[string]string{"acme": firstKey})
	f.store.Write(platform.ConfigurationKey, withLimit(document, "20"))
	f.announceAll(t)

	for _, h := range f.hosts {
		eventually(t, func() bool { return h.ready() && h.callWithKey(t, http.DefaultClient, firstKey) == http.StatusOK })
	}

	ran, refused := 0, 0

	for began := time.Now(); time.Since(began) < window*time.Second; {
		for _, h := range f.hosts {
			switch h.callWithKey(t, http.DefaultClient, firstKey) {
			case http.StatusOK:
				ran++
			case http.StatusTooManyRequests:
				refused++
			}
		}

		time.Sleep(5 * time.Millisecond)
	}

	assert.Assert(t, refused > 0)
	assert.Assert(t, ran <= rate*window*11/10+slack, "%d", ran)
	assert.Assert(t, ran >= rate*window*9/10, "%d", ran)

	var uses []ledger.Use

	for _, h := range f.hosts {
		var own []ledger.Use

		assert.NilError(t, json.Unmarshal(fetch(t, h, quota.UsesPath), &own))

		uses = append(uses, own...)
	}

	assert.Equal(t, len(uses), 1)
	assert.Equal(t, uses[0].Workspace, "acme")
	assert.Equal(t, uses[0].Share, 1.0)
	assert.Assert(t, uses[0].Granted >= rate*window/2, "%+v", uses[0])
	assert.Assert(t, strings.Contains(string(fetch(t, f.hosts[0], "/metrics")), `pollencart_workspace_refused_total{Workspace="acme"}`))
}

func fetch(t *testing.T, h *host, path string) []byte {
	t.Helper()

	response, err := http.Get("http://" + h.config.MetricsAddress + path)
	assert.NilError(t, err)

	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())

	return body
}
