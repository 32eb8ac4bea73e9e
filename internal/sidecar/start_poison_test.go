package sidecar_test

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/poison"
	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

var starts = flag.Int("starts", 2, "number of starts of each fleet")

// A fleet starts, and its hosts send copies of a poison request as soon as they serve. A gate that the
// others do not know yet must not run one unjudged.
func TestPoisonRequestWhileFleetStarts(t *testing.T) {
	for _, play := range []struct {
		hosts    int
		services []string
	}{
		{16, []string{"ledger"}},
		{32, []string{"ledger"}},
		{32, []string{"ledger", "browse", "search"}},
	} {
		for i := range *starts {
			t.Run(fmt.Sprintf("%d hosts, %d services, start %d", play.hosts, len(play.services), i), func(t *testing.T) {
				services := make([]string, play.hosts)
				for k := range services {
					services[k] = play.services[k%len(play.services)]
				}

				crashes := startWithPoison(t, services)
				assert.Assert(t, crashes <= poison.Limit, "%d backend servers crashed", crashes)
			})
		}
	}
}

// startWithPoison starts a fleet and returns how many backend servers crashed. The first host that
// serves sends the request, and after its answer each other one sends two copies.
func startWithPoison(t *testing.T, services []string) int {
	t.Helper()

	var (
		crashes atomic.Int32
		first   atomic.Bool
		hosts   sync.WaitGroup
	)

	f := newConfiguredFleet(t, func(_ int, h *host) {
		h.config.Bounds.DrainSeconds = 1
		h.server.Config.Handler = &crashingBackend{Backend: h.backend, server: h.server, crashes: &crashes}
	}, services...)
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))

	answered := make(chan struct{})

	for _, h := range f.hosts {
		hosts.Go(func() {
			eventually(t, func() bool { return h.announce(false) == http.StatusOK })
			eventually(t, h.serves)

			if first.CompareAndSwap(false, true) {
				h.upload("broken")
				close(answered)

				return
			}

			<-answered
			h.upload("broken")
			h.upload("broken")
		})
	}

	hosts.Wait()

	return int(crashes.Load())
}
