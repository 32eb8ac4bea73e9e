package sidecar_test

import (
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

var drills = flag.Int("drills", 2, "how often the store comes back from an older copy")

// holds reports whether a node has a version in force, by a route that only this one has.
func (h *host) holds(version int) bool {
	response, err := http.Get(fmt.Sprintf("http://%s/v%d/", h.config.CallerAddress, version))

	return err == nil && response.Body.Close() == nil && response.StatusCode != http.StatusNotFound
}

// A leaving and a version that the store lost with an older copy must hold all the same.
func TestLeavingsAndVersionsOutliveAStoreThatComesBackOlder(t *testing.T) {
	const bound = 3 * time.Second // two seconds from hearing of it, and a look to hear of it

	services := make([]string, 0, *drills+2)
	for range *drills + 2 {
		services = append(services, "ledger")
	}

	f := newFleet(t, services...)
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announced(t)

	for _, h := range f.hosts {
		eventually(t, h.serves)
	}

	for i := range *drills {
		leaving, version := f.hosts[i], i+2

		older := f.store.Copy()

		f.store.Write(platform.ConfigurationKey, standin.Document(version, "ledger"))
		assert.Equal(t, leaving.announce(true), http.StatusOK)

		before := leaving.backend.Calls()

		f.store.SetUnavailable(http.StatusServiceUnavailable)
		time.Sleep(100 * time.Millisecond)
		f.store.Restore(older)

		if i%2 == 0 { // the process that confirmed it is gone before it could write again
			leaving.stop()
			<-leaving.ended
			leaving.start(t)
			eventually(t, leaving.ready)
		}

		f.store.RepeatOperatorWrites()

		since := time.Now()

		for _, h := range f.hosts {
			eventually(t, func() bool { return h.holds(version) })
		}

		assert.Check(t, time.Since(since) < bound, "%s", time.Since(since))

		leaving.announce(false) // a late one
		assert.Equal(t, f.hosts[*drills].announce(false), http.StatusOK)

		for range 5 {
			for _, h := range f.hosts {
				h.call("after the leaving")
			}
		}

		assert.DeepEqual(t, leaving.backend.Calls(), before)
	}
}
