package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

// lateCall is a call that may not be repeated.
type lateCall struct {
	id     string
	sentAt time.Time
	status int // 0 if the connection ended without a whole answer
}

// lateCaller sends calls over one connection, one at a time, and opens the next one when it ends.
type lateCaller struct {
	host    *host
	name    string
	timeout time.Duration
	calls   []lateCall
}

// callPause is the time between two calls of a caller.
const callPause = 10 * time.Millisecond

// send sends calls until the host refuses connections.
func (l *lateCaller) send() {
	for {
		c, err := net.Dial("tcp", l.host.config.CallerAddress)
		if err != nil {
			return
		}

		in := bufio.NewReader(c)
		for l.sendOne(c, in) {
			time.Sleep(callPause)
		}

		_ = c.Close()

		time.Sleep(callPause)
	}
}

// sendOne reports whether the connection can be used again.
func (l *lateCaller) sendOne(c net.Conn, in *bufio.Reader) bool {
	names := platform.Headers()
	call := lateCall{id: fmt.Sprintf("%s-%d", l.name, len(l.calls)), sentAt: time.Now()}

	_, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: %s\r\n%s: %d\r\nContent-Length: 4\r\n\r\nbody",
		names.Call, call.id, names.Deadline, l.timeout.Milliseconds())

	r := &http.Response{Close: true}
	if err == nil {
		r, err = http.ReadResponse(in, nil)
	}

	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}

	if err == nil {
		call.status = r.StatusCode
	}

	l.calls = append(l.calls, call)

	return err == nil && !r.Close
}

// Guards against calls that arrive late in a planned stop of the only node, run, and are cut when it ends.
func TestLateCallsInAStopOfOneNodeAreAnsweredOrNotRun(t *testing.T) {
	t.Parallel()

	document := strings.ReplaceAll(string(standin.Document(1, "ledger")), `"unsafe",2,1,1`, `"unsafe",30,30,1`)

	for name, work := range map[string]time.Duration{
		"Short": 100 * time.Millisecond, "Medium": 700 * time.Millisecond, "Long": 3200 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			const (
				taken = 3 * time.Second // since the stop began; calls that come later must be answered by the backend server or not run
				slots = 64
			)

			f := newConfiguredFleet(t, func(_ int, h *host) { h.backend.Slots = slots }, "ledger")
			f.store.Write(platform.ConfigurationKey, []byte(document))
			f.announceAll(t)

			h := f.hosts[0]
			eventually(t, h.serves)
			h.backend.Work = work

			var callers []*lateCaller

			for i := range slots / 2 {
				callers = append(callers, &lateCaller{
					host: h, name: fmt.Sprintf("%s-%d", name, i), timeout: []time.Duration{time.Second, 4 * time.Second, 20 * time.Second}[i%3],
				})
			}

			var sending sync.WaitGroup

			// Spread over the length of a call: with all calls in step, the process ends between two of them and refuses none.
			for i, c := range callers {
				sending.Go(func() {
					time.Sleep(work * time.Duration(i) / time.Duration(len(callers)))
					c.send()
				})
			}

			time.Sleep(time.Second)
			h.stop()

			stopped := time.Now()

			sending.Wait()
			<-h.ended

			ran, statuses := h.backend.Calls(), map[int]int{}

			for _, caller := range callers {
				for _, call := range caller.calls {
					statuses[call.status]++

					after, hasRun := call.sentAt.Sub(stopped), slices.Contains(ran, call.id)
					assert.Check(t, call.status != 0 || !hasRun, "%s, sent %s after the stop began, ran and got no answer", call.id, after)
					assert.Check(t, call.status != http.StatusServiceUnavailable || !hasRun, "%s, %s, was run and refused", call.id, after)
					assert.Check(t, call.status != http.StatusBadGateway || after <= taken, "%s, %s, was cut off", call.id, after)
				}
			}

			t.Logf("statuses %v", statuses)
			assert.Check(t, statuses[http.StatusOK] > 0)
			assert.Check(t, statuses[http.StatusServiceUnavailable] > 0)
		})
	}
}
