package crowd_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

const (
	megabyte = 1 << 20
	// memoryMB is the memory of the machine in the settings of a process, and the bound of its peak.
	memoryMB = 96
	// ordinaryFiles bounds the descriptors of a process without a crowd.
	ordinaryFiles = 200
	// waitTimeout bounds waits for conditions that must become true.
	waitTimeout = 60 * time.Second
	// longWork is how long calls of the path /safe/works take.
	longWork = 3 * time.Second
)

// programs is the directory of the programs under test.
var programs string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the programs without the race detector, which needs several times the memory.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 1
	}

	defer func() { _ = os.RemoveAll(dir) }()

	out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/pollencart", "../../cmd/pollencart-sidecar",
		"../../cmd/standin").CombinedOutput()
	if err != nil {
		fmt.Fprintln(os.Stderr, string(out))

		return 1
	}

	programs = dir

	return m.Run()
}

// host is a sidecar process with its backend server.
type host struct {
	name    string
	backend *standin.Backend
	process *exec.Cmd
	ended   chan error

	caller, peer, ready, announce, metrics string
	backendAddress                         string
}

// fleet is a store and hosts. The crowd meets the first host.
type fleet struct {
	store *standin.Store
	hosts []*host
}

// options of a fleet.
type options struct {
	memory int // of each machine, in MB
	// services has a host each. Routes lead to those in routed, or to all.
	services, routed []string
	log              *os.File // of all processes, or nil for a file each
}

// newFleet starts a host for each service, to which all routes lead.
func newFleet(t *testing.T, services ...string) *fleet {
	t.Helper()

	return newFleetWith(t, options{memory: memoryMB, services: services, routed: services})
}

func newFleetWith(t *testing.T, o options) *fleet {
	t.Helper()

	f := &fleet{store: standin.NewStore()}
	server := httptest.NewServer(f.store.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)

	for i, service := range o.services {
		f.hosts = append(f.hosts, newHost(t, i, service, o, strings.TrimPrefix(server.URL, "http://")))
	}

	document := bytes.ReplaceAll(standin.Document(1, o.routed...), []byte(`,2,1,1,`), []byte(`,20,10,1,`))
	f.store.Write(platform.ConfigurationKey, bytes.Replace(document, []byte(`:1000000`), []byte(`:67108864`), 1))

	for _, h := range f.hosts {
		eventually(t, h.announces)
		eventually(t, h.isReady)
	}

	for i := range f.hosts {
		f.serves(t, i)
	}

	return f
}

func newHost(t *testing.T, i int, service string, o options, store string) *host {
	t.Helper()

	h := &host{
		name: fmt.Sprintf("n%d", i), backend: &standin.Backend{Instance: fmt.Sprintf("i-%d", i), Service: service, Slots: 64},
		caller: standin.FreeAddress(), peer: standin.FreeAddress(), ready: standin.FreeAddress(), announce: standin.FreeAddress(),
		metrics: standin.FreeAddress(),
	}
	b := httptest.NewServer(answers(h.backend))
	t.Cleanup(b.Close)
	t.Cleanup(b.CloseClientConnections)

	h.backendAddress = strings.TrimPrefix(b.URL, "http://")
	settings := map[string]any{
		"Node": h.name, "Region": "midlands", "FailureDomain": "derby", "Service": service, "BackendAddress": h.backendAddress,
		"StoreAddress": store, "CallerAddress": h.caller, "PeerAddress": h.peer, "ReadyAddress": h.ready, "AnnounceAddress": h.announce,
		"MetricsAddress": h.metrics, "MemoryMb": o.memory,
		"Bounds": map[string]any{"DrainSeconds": 2, "GraceSeconds": 6, "RetryRatio": 0.2, "RetryWindowSeconds": 10, "RetrySlack": 50},
	}
	h.process, h.ended = start(t, h.name, o.log, settings, "pollencart-sidecar")

	return h
}

// start starts a program with settings in a file.
func start(t *testing.T, name string, log *os.File, settings any, program string, command ...string) (*exec.Cmd, chan error) {
	t.Helper()

	dir := t.TempDir()
	data, err := json.Marshal(settings)
	assert.NilError(t, err)

	file := filepath.Join(dir, name+".jsonc")
	assert.NilError(t, os.WriteFile(file, data, 0o600))

	return launch(t, name, log, program, append(command, "--settings", file)...)
}

// launch starts a program with arguments. The process is ended with the test.
func launch(t *testing.T, name string, log *os.File, program string, args ...string) (*exec.Cmd, chan error) {
	t.Helper()

	if log == nil {
		var err error

		log, err = os.Create(filepath.Join(t.TempDir(), name+".log"))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = log.Close() })
	}

	process := exec.Command(filepath.Join(programs, program), args...)
	process.Stdout, process.Stderr = log, log
	assert.NilError(t, process.Start())

	ended := make(chan error, 1)

	go func() { ended <- process.Wait() }()

	t.Cleanup(func() {
		_ = process.Process.Kill()

		if lines, err := os.ReadFile(log.Name()); t.Failed() && err == nil {
			t.Logf("last lines of %s:\n%s", name, lines[max(0, len(lines)-4000):])
		}
	})

	return process, ended
}

// answers serves long answers, long work and uploads that are not echoed besides what the stand-in serves.
// The name of the path of a long answer ends with its size.
func answers(next *standin.Backend) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		names := platform.Headers()
		instance := r.Header.Get(names.Expected)
		_, size, long := strings.Cut(r.URL.Path, "/long/")
		works, drops := strings.HasSuffix(r.URL.Path, "/works"), strings.HasSuffix(r.URL.Path, "/drop")

		if instance != next.Instance || !long && !works && !drops {
			next.ServeHTTP(w, r)

			return
		}

		if n, err := io.Copy(io.Discard, r.Body); err != nil || drops && n != r.ContentLength {
			return
		}

		if works {
			select {
			case <-time.After(longWork):
			case <-r.Context().Done():
				return
			}
		}

		n, _ := strconv.Atoi(size)

		w.Header().Set(names.Call, r.Header.Get(names.Call))
		w.Header().Set(names.Signature, "signed")
		w.Header().Set("Content-Length", strconv.Itoa(n))
		_, _ = io.CopyN(w, zeros{}, int64(n))
	})
}

// zeros reads as bytes without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

func eventually(t *testing.T, f func() bool) {
	t.Helper()

	for began := time.Now(); !f(); time.Sleep(100 * time.Millisecond) {
		if time.Since(began) > waitTimeout {
			t.Fatal("condition not met within the wait timeout")
		}
	}
}

func (h *host) announces() bool {
	status, err := h.backend.Announce(h.announce, h.backendAddress, false)

	return err == nil && status == http.StatusOK
}

func get(url string) int {
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

	response, err := client.Get(url)
	if err != nil {
		return 0
	}

	defer func() { _ = response.Body.Close() }()

	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}

	return response.StatusCode
}

func (h *host) isReady() bool { return get("http://"+h.ready+"/-/ready") == http.StatusOK }

// callID makes the IDs of ordinary calls.
var callID int

// post sends one call to a path and returns the status and the body of its answer.
func (h *host) post(path string, body io.Reader, size int) (int, string) {
	callID++

	request, err := http.NewRequest(http.MethodPost, "http://"+h.caller+path, body)
	if err != nil {
		return 0, err.Error()
	}

	request.ContentLength = int64(size)
	request.Host = "127.0.0.1"
	request.Header.Set(platform.Headers().Call, fmt.Sprintf("ordinary-%d", callID))
	request.Header.Set(platform.Headers().Deadline, "15000")

	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}

	defer func() { _ = response.Body.Close() }()

	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}

	return response.StatusCode, string(text)
}

// serves waits until a host answers an ordinary call with a body of 20 kB. Refused calls come again.
func (f *fleet) serves(t *testing.T, i int) {
	t.Helper()

	const size = 20_000

	last := ""

	for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(100 * time.Millisecond) {
		status, body := f.hosts[i].post("/safe/x", strings.NewReader(strings.Repeat("x", size)), size)
		if status == http.StatusOK && len(body) == len("/safe/x ")+size {
			return
		}

		last = fmt.Sprintf("%d %.200s", status, body)
	}

	t.Fatalf("no ordinary call is answered at %s: %s", f.hosts[i].name, last)
}

// status returns a figure of /proc/PID/status in bytes.
func status(pid int, field string) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}

	_, text, _ := strings.Cut(string(data), field+":")
	text, _, _ = strings.Cut(text, "kB")

	kilobytes, _ := strconv.Atoi(strings.TrimSpace(text))

	return kilobytes << 10
}

func files(pid int) int {
	list, err := os.ReadDir("/proc/" + strconv.Itoa(pid) + "/fd")
	if err != nil {
		return 0
	}

	return len(list)
}

// checkProcess checks that a process lives and that its memory stayed below that of its machine.
func checkProcess(t *testing.T, name string, process *exec.Cmd, ended chan error, memory int) {
	t.Helper()

	select {
	case err := <-ended:
		t.Fatalf("%s ended: %v", name, err)
	default:
	}

	pid := process.Process.Pid
	peak := status(pid, "VmHWM")
	t.Logf("%s: peak %d MB, now %d MB, %d descriptors", name, peak/megabyte, status(pid, "VmRSS")/megabyte, files(pid))
	assert.Check(t, peak <= memory*megabyte, "%s had %d MB of %d", name, peak/megabyte, memory)
}

// check checks all processes after the crowd has left, and one ordinary call at each.
func (f *fleet) check(t *testing.T, memory int) {
	t.Helper()

	for i, h := range f.hosts {
		checkProcess(t, h.name, h.process, h.ended, memory)
		f.serves(t, i)
		eventually(t, func() bool { return files(h.process.Process.Pid) <= ordinaryFiles })
	}
}

// stop sends SIGTERM and waits for the end of the process.
func (h *host) stop(t *testing.T) {
	t.Helper()

	assert.NilError(t, h.process.Process.Signal(syscall.SIGTERM))

	select {
	case err := <-h.ended:
		assert.NilError(t, err)
	case <-time.After(waitTimeout):
		t.Fatal("the process did not end after SIGTERM")
	}
}
