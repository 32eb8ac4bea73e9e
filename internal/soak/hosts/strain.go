package hosts

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pollencart/pollencart/internal/discovery"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/platform"
)

const (
	// strainStream sets the schedule of the strain apart from those of the other faults.
	strainStream = 0x57a1
	// maxMemory is the memory, in bytes, that a process may have at its peak.
	maxMemory = 284 * megabyte
	megabyte  = 1 << 20
	// checkMemoryEvery is the pause between two looks at the memory of a process.
	checkMemoryEvery = 200 * time.Millisecond
	// longestStrain is how long descriptors are short, or answers endless, at the most.
	longestStrain = 2 * time.Second
	// endlessOneIn of the calls get an answer without end while a backend server sends such.
	endlessOneIn = 3
	chunkBytes   = 4 << 10
	// badOneIn of the calls on kept connections are followed by a bad one.
	badOneIn = 15
	// keptUploads are how many connections with uploads are kept at each host.
	keptUploads = 3
)

// Strain counts what happened in a run with strain.
type Strain struct {
	// Endless counts answers without end, Cut the uploads that were followed by a bad call.
	Endless, Cut atomic.Int64
	// Uploads counts uploads in chunks on kept connections, Checked those at hosts that were well.
	Uploads, Checked atomic.Int64
	// Memory is the largest memory of a process, in bytes.
	Memory atomic.Int64
}

// String describes the strain for the report.
func (s *Strain) String() string {
	return fmt.Sprintf("endless answers %d, uploads in chunks %d, checked %d, followed by a bad call %d, most memory of a process %d MB",
		s.Endless.Load(), s.Uploads.Load(), s.Checked.Load(), s.Cut.Load(), s.Memory.Load()/megabyte)
}

// oddEntries are records of another writer among those of the nodes.
func oddEntries() []string {
	const levels = 20_000

	deep := strings.Repeat("[", levels) + strings.Repeat("]", levels)

	return []string{
		deep, `{"Address":` + deep + `}`, `{"Address":"127.0.0.1:7","Other":1e400}`, `{"Address":"127.0.0.1:99999"}`,
		`{"Address":"0.0.0.0:0"}`, `{"Address":"224.0.0.1:7"}`, "\x91\x91\x91",
	}
}

// strainSeries plays what a process must survive until a moment.
func (r *run) strainSeries(ctx context.Context, random *rand.Rand, end time.Time) {
	kinds := []fault{
		{"answers without end", (*run).answerWithoutEnd},
		{"descriptors short", (*run).shortenDescriptors},
		{"reader of the log leaves", func(_ *run, _ *rand.Rand, h *host) { h.closeLogReader() }},
		{"odd entries", func(r *run, _ *rand.Rand, _ *host) { r.writeOddEntries() }},
	}

	for time.Now().Before(end) && ctx.Err() == nil {
		f, h := kinds[random.IntN(len(kinds))], r.hosts[random.IntN(len(r.hosts))]

		fmt.Fprintln(r.options.Log, time.Now().Format(clock), "strain:", f.name, h.config.Node)
		r.report.fault(f.name)

		go f.play(r, rand.New(rand.NewPCG(random.Uint64(), random.Uint64())), h)

		idle.For(ctx, time.Duration(random.Int64N(int64(time.Second/2))))
	}
}

// strain starts the callers and checks of a run with strain at a host.
func (r *run) strain(ctx context.Context, h *host) {
	r.calling.Go(func() { r.watchMemory(ctx, h) })

	for range keptUploads {
		r.calling.Go(func() { r.keepUploading(ctx, h) })
	}
}

func (r *run) writeOddEntries() {
	for i, text := range oddEntries() {
		r.store.Write(discovery.Prefix+"odd-"+strconv.Itoa(i), []byte(text))
	}
}

// answerWithoutEnd has the backend server of a host send without end to some of its calls.
func (r *run) answerWithoutEnd(random *rand.Rand, h *host) {
	h.backend.endless.Store(true)
	time.Sleep(time.Duration(random.Int64N(int64(longestStrain))))
	h.backend.endless.Store(false)
}

// endlessHandler answers some calls without end while the backend server sends such answers.
func (b *backend) endlessHandler(next http.Handler) http.Handler {
	heads := []string{"", "HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !b.endless.Load() || rand.IntN(endlessOneIn) > 0 {
			next.ServeHTTP(w, r)

			return
		}

		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}

		defer func() { _ = conn.Close() }()

		b.report.answeredWithoutEnd(r.Header.Get(platform.Headers().Call))

		block := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))

		for _, err = io.WriteString(conn, heads[rand.IntN(len(heads))]); err == nil; {
			_, err = conn.Write(block)
		}
	})
}

// shortenDescriptors lets the process of a host open no more file descriptors for a time.
func (r *run) shortenDescriptors(random *rand.Rand, h *host) {
	pid := h.current().process.Process.Pid

	var usual unix.Rlimit
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &usual) != nil {
		return // the process has ended
	}

	defer h.noteShort(time.Now())

	short, usual := unix.Rlimit{Cur: 1, Max: usual.Max}, unix.Rlimit{Cur: usual.Max, Max: usual.Max} // as a program of Go raises it
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, &short, nil) != nil {
		return
	}

	time.Sleep(time.Duration(random.Int64N(int64(longestStrain))))

	_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &usual, nil) // fails only if the process has ended
}

// noteShort keeps a span in which the process could open no descriptor, and so accepted no caller.
func (h *host) noteShort(from time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.shorts = append(h.shorts, span{from, time.Now()})
}

// wasShort reports whether the process lacked descriptors in a span of time.
func (h *host) wasShort(s span) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return slices.ContainsFunc(h.shorts, s.meets)
}

// logThroughPipe returns the end of a pipe for the output of a process. What is written to it is
// copied to the log until its reader leaves.
func (h *host) logThroughPipe() (*os.File, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}

	h.logReader = reader

	go func() { _, _ = io.Copy(h.log, reader) }()

	return writer, nil
}

func (h *host) closeLogReader() {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.logReader != nil {
		_ = h.logReader.Close()
	}
}

// watchMemory looks at the memory of a host's processes.
func (r *run) watchMemory(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		used := peakMemory(h.current().process.Process.Pid)

		for most := r.report.Strain.Memory.Load(); used > most; most = r.report.Strain.Memory.Load() {
			if r.report.Strain.Memory.CompareAndSwap(most, used) && used > r.options.memory() {
				r.report.broken("%s: a process had %d MB", h.config.Node, used/megabyte)
			}
		}

		idle.For(ctx, checkMemoryEvery)
	}
}

// peakMemory returns the peak resident memory of a process in bytes, or 0 if it has ended.
func peakMemory(pid int) int64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}

	_, text, _ := strings.Cut(string(data), "VmHWM:")
	text, _, _ = strings.Cut(text, "kB")

	kilobytes, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0
	}

	return kilobytes << 10
}

// keepUploading sends uploads in chunks on a kept connection, again and again.
func (r *run) keepUploading(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		if c := r.connect(ctx, h); c != nil {
			// Without descriptors a host accepts no connection, so that the first call may not be read.
			for accepted := false; ctx.Err() == nil && r.uploadInChunks(c, accepted); accepted = true {
				idle.For(ctx, rand.N(aloneEvery))
			}

			c.close()
		}

		idle.For(ctx, stayAway)
	}
}

// uploadInChunks sends one upload and reads its answer. It reports whether the connection may carry
// another. A host that was well all the while must answer on a connection that it has accepted.
func (r *run) uploadInChunks(c *connection, accepted bool) bool {
	id := fmt.Sprintf("u%d", lastID.Add(1))
	names := platform.Headers()
	began := time.Now()
	well := c.host.isWell(began)
	bad := rand.IntN(badOneIn) == 0

	const form = "POST /once/%s HTTP/1.1\r\nHost: 127.0.0.1\r\nTransfer-Encoding: chunked\r\n"

	text := fmt.Sprintf(form+"%s: %s\r\n%s: %d\r\n\r\n1\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
		id, names.Call, id, names.Deadline, callTime.Milliseconds(), id[:1], len(id)-1, id[1:])
	if bad {
		text += fmt.Sprintf(form, "bad") + "\r\nno chunk\r\n"

		r.report.Strain.Cut.Add(1)
	}

	r.report.upload(id)
	r.report.Strain.Uploads.Add(1)

	status, err := exchange(c.raw, c.in, text)
	r.report.answered(status)

	if status == http.StatusServiceUnavailable {
		r.report.refused(id)
	}

	if !accepted || !well || !c.host.isWell(time.Now()) || r.stalls.overlap(began, time.Now()) {
		return err == nil && !bad
	}

	r.report.Strain.Checked.Add(1)

	if status == 0 {
		r.report.broken("upload %s at %s had no answer after %s: %v", id, c.host.config.Node, time.Since(began), err)
	}

	return err == nil && !bad
}

// exchange writes a request and reads one response. The status is 0 if none came.
func exchange(raw net.Conn, in *bufio.Reader, text string) (int, error) {
	if err := raw.SetDeadline(time.Now().Add(callTime + late)); err != nil {
		return 0, err
	}

	if _, err := io.WriteString(raw, text); err != nil {
		return 0, err
	}

	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}

	defer func() { _ = response.Body.Close() }()

	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}

	if response.Close {
		return response.StatusCode, syscall.ECONNRESET // no call may follow
	}

	return response.StatusCode, nil
}
