package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/once"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/standin/backend"
)

// A call that does not end in time gets an answer, not the end of its connection.
func TestAStopAnswersTheCallsThatItGivesUp(t *testing.T) {
	t.Parallel()

	for _, c := range []struct {
		name, method, path string
	}{
		{"idempotent", http.MethodPost, "/archive/1"},
		{"at most once", http.MethodPost, "/uploads/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			f := startFleet(t, drainIn(4*time.Second))
			f.accept()

			h := f.hosts[browser]
			given := make(chan reply, 1)
			l, err := dial(h.Caller)
			assert.NilError(t, err)

			go func() {
				defer close(given)

				r, err := l.exchange(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\n%s: 60000\r\nContent-Length: 0\r\n\r\n",
					c.method, c.path, backend.HeaderWorkMs))
				if err == nil {
					given <- r
				}
			}()

			f.wait("the call", func() bool { return f.inFlight() > 0 })
			h.stop()
			time.AfterFunc(4*time.Second, l.close) // the DrainTimeout is over

			r, answered := <-given
			assert.Assert(t, answered)
			assert.Assert(t, r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout, "%d %+v", r.status, r.away)
			assert.Equal(t, r.away.Ran, call.RanUnknown)
			assert.NilError(t, <-h.done)
		})
	}
}

// Callers of other nodes must hear from the node that ran their call, not of a broken connection.
func TestAStopTellsOtherNodesWhatItGivesUp(t *testing.T) {
	t.Parallel()

	f := startFleet(t, drainIn(3*time.Second))
	f.accept()

	h := f.hosts[ledger]
	taken, sent := f.runBeside(ledger, time.Minute)
	beside := h.backend.InFlight()
	h.stop()
	assert.NilError(t, <-h.done)

	told := strings.Count(h.log.text(), "CallNotRun")
	assert.Assert(t, told >= beside, "%d of %d\n%s", told, beside, h.log.text())

	for range sent {
		r := <-taken
		assert.Check(t, r.away.ID != peer.ErrBroken.ID, "%+v\n%s", r.away, f.linesOf(r.away.Call))
		assert.Check(t, r.away.Ran == call.RanUnknown, "%+v", r.away)
	}
}

// A call that waits for the home of its key must hear from it, too.
func TestAStopTellsOtherNodesWhatBecameOfTheirKeys(t *testing.T) {
	t.Parallel()

	f := startFleet(t, drainIn(3*time.Second))
	f.accept()

	home := f.send(browser, http.MethodGet, "/folders/1", "", nil).header.Get(frontend.HeaderHome)
	taken := make(chan reply, 1)

	go func() {
		header := upload(home + ".seat")
		header[backend.HeaderWorkMs] = "60000"
		taken <- f.send(ledger, http.MethodPost, "/uploads/1", "a", header)
	}()

	f.wait("the upload", func() bool { return f.inFlight() > 0 })
	f.hosts[browser].stop()

	r := <-taken
	assert.Assert(t, r.away.ID != once.ErrUnreachable.ID && r.away.ID != peer.ErrBroken.ID, "%+v", r.away)
	assert.Equal(t, r.away.Ran, call.RanUnknown)
	assert.NilError(t, <-f.hosts[browser].done)
}
