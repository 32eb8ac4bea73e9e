package sidecar_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A fleet spends more on itself than its operators expect. The metrics of one node have to
// tell which messages, within its failure domain or to others, and which calls to the
// store.
func TestMetricsTellWhatNodesSayToEachOther(t *testing.T) {
	f := newFleet(t, "browse", "ledger")
	f.announced(t)

	const far = `pollencart_messages_total{Method="Member.Exchange",Near="false"}`

	var text string

	// The first exchange may be with an address of which nothing is known yet.
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

// A node takes more processor time or memory than its operators expect. They ask it for a
// profile, which it gives only where its settings say so: whoever reaches the address could
// keep it busy with profiles.
func TestProfilesAreServedWhereSettingsSaySo(t *testing.T) {
	const profile = "/debug/pprof/heap"

	f := newFleet(t, "browse")
	h := f.hosts[0]

	eventually(t, func() bool { return h.metrics(t) != "" })
	status, _ := h.ask(t, profile)
	assert.Equal(t, status, http.StatusNotFound)

	h.stop()
	<-h.ended

	h.config.Profiles = true
	h.start(t)

	eventually(t, func() bool { return h.metrics(t) != "" })
	status, body := h.ask(t, profile)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, body != "")
}

func (h *host) metrics(t *testing.T) string {
	t.Helper()

	_, text := h.ask(t, "/metrics")

	return text
}

// ask gets a page of the metrics address, with status 0 if nobody listens there yet.
func (h *host) ask(t *testing.T, path string) (status int, body string) {
	t.Helper()

	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+h.config.MetricsAddress+path, http.NoBody)
	assert.NilError(t, err)

	request.Close = true // a kept connection would go on to an ended node of this process

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()

	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)

	return response.StatusCode, string(data)
}
