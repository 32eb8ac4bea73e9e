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

var drills = flag.Int("drills", 2, "number of store restores from an older copy")

// hasVersion reports whether a version is active on a node, by a route that only this version has.
func (h *host) hasVersion(version int) bool {
	response, err := http.Get(fmt.Sprintf("http://%s/v%d/", h.config.CallerAddress, version))

	return err == nil && response.Body.Close() == nil && response.StatusCode != http.StatusNotFound
}

// A confirmed departure and an accepted version must survive a restore of the store from a copy that
// has neither.
func TestDeparturesAndVersionsSurviveStoreRestore(t *testing.T) {
	const bound = 3 * time.Second // two seconds after the restore is learned of, and one poll to learn of it

	services := make([]string, 0, *drills+2)
	for range *drills + 2 {
		services = append(services, "ledger")
	}

	f := newFleet(t, services...)
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announceAll(t)

	for _, h := range f.hosts {
		eventually(t, h.serves)
	}

	for i := range *drills {
		departing, version := f.hosts[i], i+2

		older := f.store.Copy()

		f.store.Write(platform.ConfigurationKey, standin.Document(version, "ledger"))
		assert.Equal(t, departing.announce(true), http.StatusOK)

		before := departing.backend.Calls()

		f.store.SetUnavailable(http.StatusServiceUnavailable)
		time.Sleep(100 * time.Millisecond)
		f.store.Restore(older)

		if i%2 == 0 { // the process that confirmed the departure ends before it can rewrite the record
			departing.stop()
			<-departing.ended
			departing.start(t)
			eventually(t, departing.ready)
		}

		f.store.RepeatOperatorWrites()

		since := time.Now()

		for _, h := range f.hosts {
			eventually(t, func() bool { return h.hasVersion(version) })
		}

		assert.Check(t, time.Since(since) < bound, "%s", time.Since(since))

		departing.announce(false) // a delayed heartbeat
		assert.Equal(t, f.hosts[*drills].announce(false), http.StatusOK)

		for range 5 {
			for _, h := range f.hosts {
				h.call("after the departure")
			}
		}

		assert.DeepEqual(t, departing.backend.Calls(), before)
	}
}
