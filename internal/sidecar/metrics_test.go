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
	eventually(t, func() bool {
		return strings.Contains(f.hosts[0].metrics(t), `pollencart_messages_total{Method="Member.Exchange"`)
	})

	text := f.hosts[0].metrics(t)
	for _, wanted := range []string{
		`pollencart_message_bytes_total{Method="Member.Exchange",Near="true"}`, `pollencart_store_seconds_count{Call="List"`,
	} {
		assert.Assert(t, strings.Contains(text, wanted), wanted)
	}
}

func (h *host) metrics(t *testing.T) string {
	t.Helper()

	response, err := http.Get("http://" + h.config.MetricsAddress + "/metrics")
	if err != nil {
		return "" // it does not listen yet
	}
	defer func() { _ = response.Body.Close() }()

	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)

	return string(text)
}
