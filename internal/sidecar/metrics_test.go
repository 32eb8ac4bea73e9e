package sidecar_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Operators need to find out which messages between nodes, within a failure domain or across, and
// which store calls cause unexpected load.
func TestMetricsCountMessagesByMethodAndDomain(t *testing.T) {
	f := newFleet(t, "browse", "ledger")
	f.announceAll(t)

	const far = `pollencart_messages_total{Method="Member.Exchange",Near="false"}`

	var text string

	// The first exchange may be with an address whose failure domain is unknown.
	eventually(t, func() bool {
		text = f.hosts[0].metrics(t)

		return strings.Contains(text, `pollencart_messages_total{Method="Member.Exchange",Near="true"}`)
	})
	assert.Assert(t, !strings.Contains(text, far) || strings.Contains(text, far+" 1\n"))

	for _, wanted := range []string{
		`pollencart_message_bytes_total{Method="Member.Exchange",Near="true"}`, `pollencart_store_seconds_count{Call="List"`,
	} {
		assert.Assert(t, strings.Contains(text, wanted), wanted)
	}
}

// Operators take profiles of a node that uses much CPU time or memory. They are off by default, since
// any client that reaches the address could load the node with profiles.
func TestProfilesAreServedOnlyIfEnabled(t *testing.T) {
	const profile = "/debug/pprof/heap"

	f := newFleet(t, "browse")
	h := f.hosts[0]

	eventually(t, func() bool { return h.metrics(t) != "" })
	status, _ := h.get(t, profile)
	assert.Equal(t, status, http.StatusNotFound)

	h.stop()
	<-h.ended

	h.config.Profiles = true
	h.start(t)

	eventually(t, func() bool { return h.metrics(t) != "" })
	status, body := h.get(t, profile)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, body != "")
}

func (h *host) metrics(t *testing.T) string {
	t.Helper()

	_, text := h.get(t, "/metrics")

	return text
}

// get fetches a page from the metrics address; its status is 0 if the node does not listen yet.
func (h *host) get(t *testing.T, path string) (status int, body string) {
	t.Helper()

	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+h.config.MetricsAddress+path, http.NoBody)
	assert.NilError(t, err)

	request.Close = true // a reused connection could lead to a node that this test has stopped

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()

	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)

	return response.StatusCode, string(data)
}
