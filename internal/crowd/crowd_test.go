package crowd_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// stayFor is how long a crowd stays.
	stayFor = 8 * time.Second
	// headBytes is what the fields of a head may have within the limit of 16 KiB.
	headBytes = 15_800
	// trailerBytes is what fields behind a chunked body may have: net/http takes no more than its buffer holds.
	trailerBytes = 3_900
)

// meets has a crowd at the first host, and checks all hosts afterwards.
func meets(t *testing.T, size int, do client) {
	t.Helper()

	f := newFleet(t, "browse", "ledger")
	stay(t, size, f.hosts[0].process.Process.Pid, f.hosts[0].caller, do)
	f.check(t, memoryMB)
}

// Guards against answers that wait for callers who read next to nothing, at the entry and at the gate.
func TestAnswersToSlowReadersStayWithinMemory(t *testing.T) {
	meets(t, 400, longAnswer(megabyte, 512, 250*time.Millisecond))
}

// Guards against answers that wait for callers who read slowly but steadily.
func TestAnswersToSteadyReadersStayWithinMemory(t *testing.T) {
	meets(t, 200, longAnswer(2*megabyte, 20_000, 200*time.Millisecond))
}

// Guards against the answers of calls that were sent at once and are hardly read.
func TestAnswersOfPipelinesStayWithinMemory(t *testing.T) {
	meets(t, 60, pipeline(16, 256<<10))
}

// Guards against heads of many fields, whose decoded form takes several times their bytes.
func TestHeadsOfManyFieldsStayWithinMemory(t *testing.T) {
	meets(t, 500, heads("/safe/x", fields(headBytes), true))
}

// Guards against heads of very short fields that never end.
func TestHeadsWithoutEndStayWithinMemory(t *testing.T) {
	meets(t, 500, heads("/safe/x", shortFields(headBytes), false))
}

// Guards against heads of very short fields that are kept while their calls run.
func TestHeadsOfRunningCallsStayWithinMemory(t *testing.T) {
	meets(t, 300, heads("/safe/works", shortFields(headBytes), true))
}

// Guards against the fields behind chunked bodies, whose decoded form was not counted.
func TestTrailersOfPipelinesStayWithinMemory(t *testing.T) {
	meets(t, 100, trailers(16, shortFields(trailerBytes)))
}

// Guards against bodies in very small chunks.
func TestBodiesInSmallChunksStayWithinMemory(t *testing.T) {
	meets(t, 300, chunks(200_000, 1, true))
}

// Guards against bodies in large chunks that end together.
func TestBodiesInLargeChunksStayWithinMemory(t *testing.T) {
	meets(t, 100, chunks(2*megabyte, 64<<10, true))
}

// Guards against bodies that stop just short of their end and hold the memory for the bodies of others.
func TestOpenBodiesLeaveRoomForOthers(t *testing.T) {
	for name, do := range map[string]client{"Length": almost(8 * megabyte), "Chunks": chunks(100_000, 1, false)} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "browse", "ledger")
			c := newCrowd(400, f.hosts[0].caller, do)

			defer c.end()

			time.Sleep(stayFor)
			f.serves(t, 0) // while the crowd stays
			c.end()
			f.check(t, memoryMB)
		})
	}
}

// Guards against a stop that a crowd holds up, or in which the memory of its calls adds up.
func TestStopBesideACrowdEnds(t *testing.T) {
	f := newFleet(t, "browse", "ledger")
	h := f.hosts[0]
	c := newCrowd(300, h.caller, heads("/safe/works", shortFields(headBytes), true))

	defer c.end()

	time.Sleep(stayFor)
	checkProcess(t, h.name, h.process, h.ended, memoryMB)
	h.stop(t)
}

// Guards against heads without end at the listeners that no limit of the configuration bounds.
func TestHeadsAtOtherListenersStayWithinMemory(t *testing.T) {
	for name, address := range map[string]func(*host) string{
		"Ready":    func(h *host) string { return h.ready },
		"Announce": func(h *host) string { return h.announce },
		"Metrics":  func(h *host) string { return h.metrics },
		"Peers":    func(h *host) string { return h.peer },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "browse")
			h := f.hosts[0]
			stay(t, 100, h.process.Process.Pid, address(h), unread(900_000))
			assert.Assert(t, h.announces())
			assert.Assert(t, h.isReady())
			assert.Equal(t, get("http://"+h.metrics+"/metrics"), http.StatusOK)
			f.check(t, memoryMB)
		})
	}
}

// Guards against answers of /metrics that wait for slow readers.
func TestSlowReadersOfMetricsStayWithinMemory(t *testing.T) {
	f := newFleet(t, "browse")
	h := f.hosts[0]
	stay(t, 300, h.process.Process.Pid, h.metrics, func(ctx context.Context, c net.Conn, _ string) error {
		for range 20 {
			if _, err := io.WriteString(c, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
				return err
			}
		}

		return readSlowly(ctx, c, 16, time.Second)
	})
	assert.Equal(t, get("http://"+h.metrics+"/metrics"), http.StatusOK)
	f.check(t, memoryMB)
}

// Guards against long frames of other nodes that never end.
func TestFramesWithoutEndStayWithinMemory(t *testing.T) {
	const size = 8 << 20

	f := newFleet(t, "browse")
	h := f.hosts[0]
	body := strings.Repeat("x", size-10)

	stay(t, 60, h.process.Process.Pid, h.peer, func(_ context.Context, c net.Conn, _ string) error {
		if _, err := c.Write(binary.BigEndian.AppendUint32(nil, size)); err != nil {
			return err
		}

		if _, err := io.WriteString(c, body); err != nil {
			return err
		}

		return wait(c)
	})
	f.check(t, memoryMB)
}

// Guards against long names of calls in the log, whose lines wait for a reader that stalls.
func TestNamesInTheLogStayWithinMemory(t *testing.T) {
	reader, log, err := os.Pipe()
	assert.NilError(t, err)

	defer func() { _, _ = reader.Close(), log.Close() }()

	f := newFleetWith(t, options{memory: memoryMB, services: []string{"browse"}, routed: []string{"browse"}, log: log})
	id := strings.Repeat("\xff", 12_000)

	stay(t, 100, f.hosts[0].process.Process.Pid, f.hosts[0].caller, func(_ context.Context, c net.Conn, _ string) error {
		for {
			if _, err := io.WriteString(c, head("GET", "/none/", id)+"\r\n"); err != nil {
				return err
			}

			if _, err := c.Read(make([]byte, 64<<10)); err != nil {
				return err
			}
		}
	})
	f.check(t, memoryMB)
}

// Guards against a machine whose memory one upload within the limits exceeds, at the entry and at the gate.
func TestLargestUploadIsServed(t *testing.T) {
	const (
		memory = 184
		size   = 60_000_000
	)

	for name, service := range map[string]string{"Here": "browse", "Elsewhere": "ledger"} {
		t.Run(name, func(t *testing.T) {
			f := newFleetWith(t, options{memory: memory, services: []string{"browse", "ledger"}, routed: []string{service}})

			for range 3 {
				status, body := f.hosts[0].post("/once/drop", io.LimitReader(zeros{}, size), size)
				assert.Check(t, status == http.StatusOK, "%d %.200s", status, body)
			}

			f.check(t, memory)
		})
	}
}
