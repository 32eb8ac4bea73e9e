package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

// Callers that keep sending to a node that is not ready must not delay its drain until calls are cut
// off.
func TestDrainEndsWhileCallersKeepSending(t *testing.T) {
	const lastSixth = 5 * time.Second // the last sixth of the grace time is left for calls still in flight

	f := newFleet(t, "ledger", "ledger", "browse")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announceAll(t)

	for _, h := range f.hosts {
		eventually(t, h.serves)
		h.backend.Work = 100 * time.Millisecond
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	stopping := f.hosts[2]
	s := newPersistentCallers(stopping, 2*time.Second)
	s.keepSending(ctx, 80*time.Millisecond)
	time.Sleep(500 * time.Millisecond)

	began := time.Now()
	stopping.stop()
	<-stopping.ended

	took := time.Since(began)

	cancel()
	s.inFlight.Wait()
	t.Logf("%s, %d calls, answers %v, cut off %d", took, s.sent, s.statuses, len(s.lostIDs))

	assert.Check(t, took < lastSixth, "%s", took)
	assert.Check(t, len(s.ranWithoutAnswer(f)) == 0, "%v", s.ranWithoutAnswer(f))
	assert.Check(t, s.withoutRetryAfter == 0)
	assert.Check(t, s.statuses[http.StatusOK] > 0)
}

// A call that arrives after the intake has closed must be rejected at once with 503, and not run.
func TestDrainRejectsLateCallsWithoutRunningThem(t *testing.T) {
	f := newFleet(t, "ledger", "browse")
	f.store.Write(platform.ConfigurationKey, slowDocument("ledger"))
	f.announceAll(t)

	stopping := f.hosts[1]
	eventually(t, stopping.serves)
	f.hosts[0].backend.Work = 4500 * time.Millisecond

	taken := newPersistentCallers(stopping, 20*time.Second)
	taken.inFlight.Go(taken.sendOne)
	eventually(t, func() bool { return len(f.hosts[0].backend.Calls()) > 1 })
	stopping.stop()
	stopping.drainSteps.await(t, "calls of callers are refused")
	time.Sleep(50 * time.Millisecond) // the step is logged before the intake closes

	before := len(f.hosts[0].backend.Calls())
	late := newPersistentCallers(stopping, 2*time.Second)

	for range 10 {
		began := time.Now()

		late.sendOne()
		assert.Check(t, time.Since(began) < 500*time.Millisecond)
	}

	<-stopping.ended
	taken.inFlight.Wait()

	assert.DeepEqual(t, taken.statuses, map[int]int{http.StatusOK: 1})
	assert.DeepEqual(t, late.statuses, map[int]int{http.StatusServiceUnavailable: 10})
	assert.Equal(t, late.drainRefusals, 10)
	assert.Equal(t, late.withoutRetryAfter, 0)
	assert.Equal(t, len(f.hosts[0].backend.Calls()), before)
}

// A call that does not end within the grace time gets a response before its connection is closed.
func TestDrainAnswersAbandonedCalls(t *testing.T) {
	f := newFleet(t, "ledger", "browse")
	f.store.Write(platform.ConfigurationKey, slowDocument("ledger"))
	f.announceAll(t)

	stopping := f.hosts[1]
	eventually(t, stopping.serves)
	f.hosts[0].backend.Work = time.Minute

	s := newPersistentCallers(stopping, 20*time.Second)
	s.inFlight.Go(s.sendOne)
	eventually(t, func() bool { return len(f.hosts[0].backend.Calls()) > 1 })
	stopping.stop()
	<-stopping.ended
	s.inFlight.Wait()

	assert.Equal(t, len(s.lostIDs), 0, "%v", s.lostIDs)
	assert.DeepEqual(t, s.statuses, map[int]int{http.StatusBadGateway: 1})
}

// A caller that reads a large response slowly gets all of it if it finishes within the grace time.
func TestDrainWaitsForResponseBeingWritten(t *testing.T) {
	const size = 24 << 20

	f := newFleet(t, "ledger")
	f.store.Write(platform.ConfigurationKey, []byte(strings.ReplaceAll(string(standin.Document(1, "ledger")), "1000000", "64000000")))
	f.announceAll(t)

	h := f.hosts[0]
	eventually(t, h.serves)

	c, err := net.Dial("tcp", h.config.CallerAddress)
	assert.NilError(t, err)

	defer func() { _ = c.Close() }()

	names := platform.Headers()
	_, err = fmt.Fprintf(c, "POST /safe/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: large\r\n%s: 2000\r\nContent-Length: %d\r\n\r\n%s",
		names.Call, names.Deadline, size, strings.Repeat("a", size))
	assert.NilError(t, err)

	in := bufio.NewReader(c)
	r, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, http.StatusOK)

	began := time.Now()
	h.stop()
	time.Sleep(4 * time.Second)

	n, err := io.Copy(io.Discard, r.Body)
	<-h.ended
	t.Logf("%d of %d bytes, stop took %s", n, size, time.Since(began))
	assert.NilError(t, err)
}

// A call from another node that still waits for a slot at the end of the drain has not run, and its
// caller must get a response that says so.
func TestDrainRejectsCallsQueuedAtTheGate(t *testing.T) {
	f := newFleet(t, "ledger", "browse")
	f.store.Write(platform.ConfigurationKey, slowDocument("ledger"))
	f.announceAll(t)

	eventually(t, f.hosts[1].serves)
	stopping := f.hosts[0]
	stopping.backend.Work = time.Minute

	s := newPersistentCallers(f.hosts[1], 20*time.Second)
	for range 6 {
		s.inFlight.Go(s.sendOne)
		time.Sleep(50 * time.Millisecond)
	}

	before := len(stopping.backend.Calls())
	stopping.stop()
	<-stopping.ended
	t.Logf("ran %d", before)
	s.inFlight.Wait()
	t.Logf("%v, cut %v", s.statuses, s.lostIDs)
	assert.DeepEqual(t, s.statuses, map[int]int{
		http.StatusBadGateway: stopping.backend.Slots, http.StatusServiceUnavailable: 6 - stopping.backend.Slots,
	})
}

// The drain ends in time although the store responds late and a caller keeps its connection open.
func TestDrainEndsInTimeWithSlowStoreAndOpenConnection(t *testing.T) {
	f := newFleet(t, "ledger", "browse")
	f.store.Write(platform.ConfigurationKey, slowDocument("ledger"))
	f.announceAll(t)

	stopping := f.hosts[1]
	eventually(t, stopping.serves)
	f.hosts[0].backend.Work = time.Minute

	c, err := net.Dial("tcp", stopping.config.CallerAddress)
	assert.NilError(t, err)

	defer func() { _ = c.Close() }()

	names := platform.Headers()
	_, err = fmt.Fprintf(c, "GET /safe/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: x\r\n%s: 20000\r\n\r\n", names.Call, names.Deadline)
	assert.NilError(t, err)
	eventually(t, func() bool { return len(f.hosts[0].backend.Calls()) > 1 })

	began := time.Now()
	stopping.stop()
	time.Sleep(5 * time.Second)
	f.store.Fault(func(string) int {
		time.Sleep(2 * time.Second)

		return 0
	})
	<-stopping.ended

	took := time.Since(began)
	assert.Check(t, took < 5900*time.Millisecond, "%s", took)
}

// A departure whose record is being written when the process ends must still be confirmed.
func TestDepartureDuringDrainIsConfirmed(t *testing.T) {
	f := newFleet(t, "ledger", "ledger")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announceAll(t)

	stopping := f.hosts[0]
	eventually(t, stopping.serves)

	stopping.stop()
	stopping.drainSteps.await(t, "other nodes are told to send no calls")

	var first atomic.Bool // the first write is the record of the departure

	f.store.Fault(func(path string) int {
		if strings.Contains(path, "txn") && !first.Swap(true) {
			time.Sleep(280 * time.Millisecond)
		}

		return 0
	})

	answered := make(chan int, 1)

	go func() { answered <- stopping.announce(true) }()

	<-stopping.ended

	select {
	case status := <-answered:
		assert.Equal(t, status, http.StatusOK)
	case <-time.After(20 * time.Millisecond): // for the answer to be read
		t.Error("the process ended before it confirmed the departure")
	}
}
