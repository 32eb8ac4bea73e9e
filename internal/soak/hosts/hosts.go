// Package hosts plays a randomised run against real `pollencart sidecar` processes on
// one machine and checks from outside what must always hold.
//
// Faults come from outside the processes, in series that overlap: they are killed,
// stopped, paused, sent SIGHUP and started again by signals; the store is down, loses
// answers or its history, comes back from an older copy, or falls silent behind a proxy;
// backend servers crash, leave, and come back as other instances; callers leave early. The
// schedule is made from the seed alone. Beside single faults hosts of one failure domain are
// stopped in series, and callers that stay use open connections until the process is gone.
//
//	report, err := hosts.Run(ctx, hosts.Options{Seed: 1, Length: 20 * time.Second, Program: "bin/pollencart", Dir: dir})
package hosts

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pollencart/pollencart/internal/sidecar/config"
	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

// Options of a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	// Hosts is how many processes there are, Rate the calls a second of all callers.
	Hosts int
	Rate  int
	// Work is how long a call runs at a backend server, 20 ms if not set.
	Work time.Duration
	// Program is the binary, Dir is where settings files and logs go.
	Program string
	Dir     string
	Log     io.Writer
	// Rollout orders a roll-out of one service, whose new version is bad if the seed is even.
	Rollout bool
	// Poison sends requests that crash each backend server that runs them. All hosts then have one
	// service, since what is known of such a request is known for a service.
	Poison bool
	// Signals has backend servers name limits, and leave without an announcement.
	Signals bool
	// Strain has backend servers answer without end, file descriptors run short, readers of logs leave, odd
	// entries lie in the store, and bad calls follow uploads in chunks on kept connections.
	Strain bool
	// Answers has backend servers send broken answers, and answers to long uploads before they are read.
	Answers bool
	// Crowds has crowds of clients at single hosts hold what they can, on machines with little memory.
	Crowds bool
	// Versions has versions with many routes come often, beside hosts that are slowed, and checks which
	// one is active on each host, and which keys of callers it takes.
	Versions bool
}

func (o Options) work() time.Duration {
	if o.Work > 0 {
		return o.Work
	}

	return backendWork
}

// memory returns the memory, in bytes, that a process may have at its peak.
func (o Options) memory() int64 {
	if o.Crowds {
		return crowdMemoryMB * megabyte
	}

	return maxMemory
}

const (
	// settle is how long the fleet has to be whole again after the last fault.
	settle = 15 * time.Second
	// drainBound is how long after its confirmation a backend server may get calls.
	drainBound = 2 * time.Second
	// grace is how long a process has after SIGTERM.
	grace = 6 * time.Second
	// startTime bounds the start of the fleet.
	startTime = 20 * time.Second
	// announceEvery is the pause between heartbeats.
	announceEvery = 500 * time.Millisecond
	// failureDomains is how many the hosts stand in.
	failureDomains = 3
	// longest is how long a fault lasts at the most.
	longest = 4 * time.Second
	// private is the mode of a settings file.
	private = 0o600
	// servedAtEnd is the part of calls that is served when all is well again.
	servedAtEnd = 0.95
)

// host is one host: a process, and a backend server that outlives it.
type host struct {
	config  config.Config
	file    string
	log     *os.File
	backend *backend
	// pipeLogs says that the output of processes passes a pipe, which logReader reads.
	pipeLogs  bool
	logReader *os.File
	// shorts are spans without descriptors.
	shorts []span

	mu sync.Mutex
	// lives are the processes, the one that runs last.
	lives  []*life
	pauses []span
	// planned is when a stop was asked for, zero while the process is to run.
	planned time.Time
	// troubles counts the troubles that go on, troubledAt is when the last one ended.
	troubles   int
	troubledAt time.Time
}

// run is one run.
type run struct {
	options Options
	random  *rand.Rand
	report  *Report
	store   *standin.Store
	link    *link
	hosts   []*host
	version int
	// versions is when the versions were written and what was seen of them.
	versions versions
	writing  sync.Mutex
	stalls   stalls
	trial    *trial // nil without a roll-out
	poisons  *poisons
	signals  *signals
	calling  sync.WaitGroup
}

// Run plays the schedule of the seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{
		options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), report: newReport(o.Seed), store: standin.NewStore(),
		signals: newSignals(), poisons: &poisons{client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}},
	}

	if o.Rollout {
		r.trial = &trial{report: r.report, bad: o.Seed%2 == 0}
	}

	server := httptest.NewServer(r.store.Handler())
	defer server.Close()
	defer server.CloseClientConnections()

	var err error
	if r.link, err = newLink(strings.TrimPrefix(server.URL, "http://")); err != nil {
		return nil, err
	}
	defer r.link.close()

	defer r.stopAll()

	go r.stalls.watch(ctx)

	callers, stop := context.WithCancel(ctx)
	defer stop()

	if err := r.start(callers); err != nil {
		return nil, err
	}

	r.play(ctx, callers, stop)
	r.report.Stalls = r.stalls.count()

	return r.report, ctx.Err()
}

func (r *run) start(ctx context.Context) error {
	r.write()

	for i := range r.options.Hosts {
		h, err := r.newHost(i)
		if err != nil {
			return err
		}

		r.hosts = append(r.hosts, h)

		if err := h.start(r.options.Program); err != nil {
			return err
		}
	}

	var g errgroup.Group

	for _, h := range r.hosts {
		g.Go(func() error { return r.serve(ctx, h) })
	}

	return g.Wait()
}

// serve waits until a host is ready for the first time.
func (r *run) serve(ctx context.Context, h *host) error {
	for deadline := time.Now().Add(startTime); !h.ready(ctx); time.Sleep(announceEvery / 10) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is not ready", h.config.Node) //nolint:err113 // a report to a person
		}

		h.backend.announce()
	}

	r.calling.Go(func() { h.backend.announceAll(ctx) })

	if r.options.Poison {
		r.poisonStart(ctx, h)
	}

	return nil
}

// services are what the routes lead to.
func (o Options) services() []string {
	if o.Poison {
		return []string{rolledOut}
	}

	return []string{"browse", rolledOut}
}

func (r *run) newHost(i int) (*host, error) {
	name := fmt.Sprintf("n%d", i)
	services := r.options.services()
	service := services[i%len(services)]

	h := &host{file: filepath.Join(r.options.Dir, name+".jsonc"), pipeLogs: r.options.Strain}
	h.backend = r.newBackend(h, name, service, versionOf(services, i))
	h.config = config.Config{
		Node: name, Region: "here", FailureDomain: fmt.Sprintf("d%d", i%failureDomains), Service: service, BackendAddress: h.backend.address,
		StoreAddress: r.link.address, AnnounceEverySeconds: announceEvery.Seconds(),
		Bounds: config.Bounds{
			DrainSeconds: drainBound.Seconds(), GraceSeconds: grace.Seconds(), RetryRatio: 0.2, RetryWindowSeconds: 10, RetrySlack: 50,
		},
	}

	if r.trial != nil {
		h.config.Bounds.ExposeShare = exposeShare
	}

	if r.options.Crowds {
		h.config.MemoryMb = crowdMemoryMB
	}

	for _, address := range []*string{
		&h.config.CallerAddress, &h.config.PeerAddress, &h.config.ReadyAddress, &h.config.AnnounceAddress, &h.config.MetricsAddress,
	} {
		*address = standin.FreeAddress()
	}

	var err error
	if h.log, err = os.Create(filepath.Join(r.options.Dir, name+".log")); err != nil {
		return nil, err
	}

	data, err := json.Marshal(h.config)
	if err != nil {
		return nil, err
	}

	return h, os.WriteFile(h.file, data, private)
}

// write is the operator's next version. Its number stands in a route's name, so that
// what is in force can be seen.
func (r *run) write() {
	r.writing.Lock()
	defer r.writing.Unlock()

	routes := 0
	if r.options.Versions {
		routes = idleRoutes
	}

	r.version++
	document := standin.DocumentWith(routes, r.version, r.options.services()...)

	if r.options.Answers {
		document = bytes.Replace(document, []byte("1000000"), []byte(maxLongBytes), 1)
	}

	if r.options.Versions {
		document = standin.WithTenants(document, keysOf(r.version))
	}

	r.store.Write(platform.ConfigurationKey, document)
	r.versions.wrote(r.version)
}

func (h *host) start(program string) error {
	h.mu.Lock()
	defer h.mu.Unlock()

	process := exec.Command(program, "sidecar", "--settings", h.file) //nolint:gosec,noctx // the program under test; it is ended by its own id
	process.Stdout, process.Stderr = h.log, h.log
	h.planned = time.Time{}

	if h.pipeLogs {
		writer, err := h.logThroughPipe()
		if err != nil {
			return err
		}

		defer func() { _ = writer.Close() }() // the process has its own

		process.Stdout = writer
	}

	if err := process.Start(); err != nil {
		return err
	}

	l := &life{process: process, ended: make(chan struct{}), started: time.Now()}
	h.lives = append(h.lives, l)

	go func() {
		defer close(l.ended)

		err := process.Wait()

		h.mu.Lock()
		defer h.mu.Unlock()

		l.over, l.status = time.Now(), err
	}()

	return nil
}

func (h *host) plan() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.planned = time.Now()
}

func (h *host) ready(ctx context.Context) bool {
	return ask(ctx, "http://"+h.config.ReadyAddress+"/-/ready") == http.StatusOK
}

func ask(ctx context.Context, url string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}

	_ = response.Body.Close() // only the status is asked for

	return response.StatusCode
}

// stopAll ends the processes that this run started.
func (r *run) stopAll() {
	for _, h := range r.hosts {
		if len(h.lives) > 0 {
			h.force(h.current())
			h.current().wait(grace)
		}

		h.backend.down()

		_ = h.log.Close() // a log that is cut short still tells what it tells
	}
}
