package hosts

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/platform/standin"
)

// backend is the backend server of a host. It outlives the host's process, and another
// instance follows it at the same address.
type backend struct {
	name    string
	service string
	version string
	trial   *trial
	host    *host
	work    time.Duration
	address string
	report  *Report
	poisons *poisons
	signals *signals

	restart sync.Mutex // one start of the host's process at a time

	mu       sync.Mutex
	number   int
	current  *standin.Backend
	listener net.Listener
	server   *http.Server
	// confirmed is when the leaving of an instance was confirmed.
	confirmed map[string]time.Time
	leaving   bool
	// endless says that some calls are answered without end.
	endless atomic.Bool
	// breaking counts the spans that go on in which some calls get broken answers.
	breaking atomic.Int32
	// ends are when instances ended.
	ends []time.Time
}

const (
	backendSlots = 4
	backendWork  = 20 * time.Millisecond
	// stayAfter is how long a backend server serves after its leaving was confirmed.
	stayAfter = drainBound + time.Second
	// askLeave bounds how long it asks for the confirmation.
	askLeave = 8 * time.Second
)

func (r *run) newBackend(h *host, name, service, version string) *backend {
	b := &backend{
		name: name, service: service, version: version, trial: r.trial, host: h, work: r.options.work(), address: standin.FreeAddress(),
		report: r.report, poisons: r.poisons, signals: r.signals, confirmed: map[string]time.Time{},
	}
	b.up()

	return b
}

// up starts the next instance, unless one runs.
func (b *backend) up() {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.listener != nil {
		return
	}

	l, err := net.Listen("tcp", b.address)
	if err != nil {
		b.report.broken("%s: the backend server can't listen again: %v", b.name, err)

		return
	}

	b.number++
	b.leaving = false
	b.current = &standin.Backend{
		Instance: fmt.Sprintf("%s-%d", b.name, b.number), Service: b.service, Version: b.version, Slots: backendSlots, Work: b.work, Ran: b.ran,
		Got:   b.gotHeaders,
		Fails: func() bool { return b.trial.fails(b.version) },
	}
	b.listener = l
	b.server = &http.Server{Handler: b.breakingHandler(b.current, b.endlessHandler(b.current)), ReadHeaderTimeout: time.Minute}

	go func(s *http.Server) { _ = s.Serve(l) }(b.server) // it ends with down
}

// down ends the instance at once, with all calls that run.
func (b *backend) down() { b.end("") }

// end ends an instance, whichever runs if it is not named, and reports whether it ran.
func (b *backend) end(instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.listener == nil || instance != "" && instance != b.current.Instance {
		return false
	}

	b.ends = append(b.ends, time.Now())
	_ = b.server.Close() // it ends whatever the calls do
	b.listener = nil

	return true
}

// ran notes a call that an instance begins to run.
func (b *backend) ran(instance, id string) {
	b.report.ran(id, b.name)
	b.signals.arrived(instance, id)

	if b.trial != nil && b.service == rolledOut {
		b.trial.ran(b.version, id)
	}

	if isPoison(id) {
		b.poisons.crash(b, instance, id)
	}

	b.mu.Lock()
	at, ok := b.confirmed[instance]
	b.mu.Unlock()

	if ok && time.Since(at) > drainBound {
		b.report.broken("call %s reached %s, %s after its leaving was confirmed", id, instance, time.Since(at))
	}
}

func (b *backend) state() (current *standin.Backend, runs, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.current, b.listener != nil, b.leaving
}

// announce reports whether the host's process took a heartbeat.
func (b *backend) announce() bool {
	current, runs, leaving := b.state()
	if !runs || leaving || b.trial != nil && b.version == newVersion && !b.trial.isOrdered() {
		return false
	}

	status, err := current.Announce(b.host.config.AnnounceAddress, b.address, false)

	return err == nil && status == http.StatusOK
}

func (b *backend) announceAll(ctx context.Context) {
	for ctx.Err() == nil {
		b.announce() // a process that is away is asked again

		idle.For(ctx, announceEvery)
	}
}

// leave asks for the confirmation, serves on and ends.
func (b *backend) leave() {
	b.mu.Lock()
	current := b.current

	if b.listener == nil || b.leaving {
		b.mu.Unlock()

		return
	}

	b.leaving = true
	b.mu.Unlock()

	for end := time.Now().Add(askLeave); time.Now().Before(end); time.Sleep(announceEvery) {
		status, err := current.Announce(b.host.config.AnnounceAddress, b.address, true)
		if err != nil || status != http.StatusOK {
			continue
		}

		b.mu.Lock()
		b.confirmed[current.Instance] = time.Now()
		b.mu.Unlock()
		time.Sleep(stayAfter)

		break
	}

	b.down()
}

// check looks at what can be said only at the end.
func (b *backend) check() {
	current, _, _ := b.state()

	if most := current.MaxRunning(); most > backendSlots {
		b.report.broken("%d calls ran at once at %s, which has %d slots", most, b.name, backendSlots)
	}
}

// endedIn reports whether an instance ended in a span of time.
func (b *backend) endedIn(s span) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return slices.ContainsFunc(b.ends, func(at time.Time) bool { return s.meets(span{at, at}) })
}
