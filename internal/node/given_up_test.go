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

// A call that does not end within the DrainTimeout must get an answer before its connection
// is closed.
func TestDrainAnswersAbandonedCalls(t *testing.T) {
	t.Parallel()

	for _, c := range []struct {
		name, method, path string
	}{
		{"idempotent", http.MethodPost, "/archive/1"},
		{"at most once", http.MethodPost, "/uploads/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			f := startFleet(t, withDrainTimeout(4*time.Second))
			f.accept()

			h := f.hosts[browseHost]
			replies := make(chan reply, 1)
			l, err := dial(h.Caller)
			assert.NilError(t, err)

			go func() {
				defer close(replies)

				r, err := l.exchange(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\n%s: 60000\r\nContent-Length: 0\r\n\r\n",
					c.method, c.path, backend.HeaderWorkMs))
				if err == nil {
					replies <- r
				}
			}()

			f.wait("the call to run", func() bool { return f.inFlight() > 0 })
			h.stop()
			time.AfterFunc(4*time.Second, l.close) // the end of the DrainTimeout

			r, answered := <-replies
			assert.Assert(t, answered)
			assert.Assert(t, r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout, "%d %+v", r.status, r.refusal)
			assert.Equal(t, r.refusal.Ran, call.RanUnknown)
			assert.NilError(t, <-h.done)
		})
	}
}

// Other nodes must get an answer for each call that the draining node abandons at its gate, not
// a broken connection.
func TestDrainAnswersAbandonedCallsOfOtherNodes(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withDrainTimeout(3*time.Second))
	f.accept()

	h := f.hosts[ledgerHost]
	replies, sent := f.runOnHost(ledgerHost, time.Minute)
	localCalls := h.backend.InFlight()
	h.stop()
	assert.NilError(t, <-h.done)

	reported := strings.Count(h.log.text(), "CallNotRun")
	assert.Assert(t, reported >= localCalls, "%d of %d\n%s", reported, localCalls, h.log.text())

	for range sent {
		r := <-replies
		assert.Check(t, r.refusal.ID != peer.ErrBroken.ID, "%+v\n%s", r.refusal, f.logLines(r.refusal.Call))
		assert.Check(t, r.refusal.Ran == call.RanUnknown, "%+v", r.refusal)
	}
}

// A call that waits at another node for the draining owner node of its key must get an answer
// from the owner node, too.
func TestDrainAnswersAbandonedKeysOfOtherNodes(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withDrainTimeout(3*time.Second))
	f.accept()

	home := f.send(browseHost, http.MethodGet, "/folders/1", "", nil).header.Get(frontend.HeaderHome)
	replies := make(chan reply, 1)

	go func() {
		header := uploadHeader(home + ".seat")
		header[backend.HeaderWorkMs] = "60000"
		replies <- f.send(ledgerHost, http.MethodPost, "/uploads/1", "a", header)
	}()

	f.wait("the upload to run", func() bool { return f.inFlight() > 0 })
	f.hosts[browseHost].stop()

	r := <-replies
	assert.Assert(t, r.refusal.ID != once.ErrUnreachable.ID && r.refusal.ID != peer.ErrBroken.ID, "%+v", r.refusal)
	assert.Equal(t, r.refusal.Ran, call.RanUnknown)
	assert.NilError(t, <-f.hosts[browseHost].done)
}
