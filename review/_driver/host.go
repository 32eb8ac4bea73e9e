package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is the pause between liveness reports, as in the site files.
const heartbeat = 1500 * time.Millisecond

// host is a machine: a process of the project and an upstream, which outlives it.
type host struct {
	deployment *deployment
	name       string
	zone       string
	ip         string
	outbound   string
	inbound    string
	ready      string
	control    string
	file       string
	log        *os.File
	upstream   *upstream

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	started time.Time
	ended   time.Time
	terms   []time.Time
	first   bool
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir    string
	net    string // the first three numbers of the addresses
	port   int
	bounds map[string]any
	store  *store
	record *record
	hosts  []*host

	// crashBack is how long an upstream is away after a crash.
	crashBack time.Duration
	// crashes are when upstreams crashed.
	mu      sync.Mutex
	crashes []time.Time
}

func (d *deployment) storeAddress() string { return fmt.Sprintf("%s.250:%d", d.net, d.port+9) }

// newDeployment finds addresses that are free.
func newDeployment(dir string, r *record, bounds map[string]any) (*deployment, error) {
	for try := range 50 {
		d := &deployment{
			dir: dir, net: fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try*7)%200, (os.Getpid()/200+try)%250), port: 8300 + 20*(try%20),
			bounds: bounds, store: newStore(), record: r, crashBack: 4 * time.Second,
		}
		if free(d.storeAddress()) && free(d.net+".1:9464") {
			return d, d.store.serve(d.storeAddress())
		}
	}

	return nil, fmt.Errorf("no free addresses")
}

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}

	_ = l.Close()

	return true
}

// add adds a machine with an upstream of a service.
func (d *deployment) add(zone, service string, slots int) (*host, error) {
	n := len(d.hosts) + 1
	ip := fmt.Sprintf("%s.%d", d.net, n)
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, d.port+i) }
	h := &host{
		deployment: d, name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, ip: ip, inbound: at(0), ready: at(2), outbound: at(4), control: at(6),
		first: true,
	}
	h.file = filepath.Join(d.dir, h.name+".jsonc")
	h.upstream = &upstream{deployment: d, host: h, service: service, address: at(1), slots: slots, path: "/health"}

	var err error
	if h.log, err = os.Create(filepath.Join(d.dir, h.name+".log")); err != nil {
		return nil, err
	}

	d.hosts = append(d.hosts, h)

	return h, h.upstream.start()
}

// settings are the fields of the platform's settings file as plain tables.
func (h *host) settings() map[string]any {
	d := h.deployment

	return map[string]any{
		"node": h.name, "region": "here", "zone": h.zone, "service": h.upstream.service, "app-addr": h.upstream.address, "ip": h.ip,
		"listen":    map[string]any{"outbound": h.outbound, "inbound": h.inbound, "ready": h.ready, "control": h.control},
		"platform":  map[string]any{"address": d.storeAddress()},
		"limits":    map[string]any{"bandwidth-mbps": 1000.0},
		"bootstrap": h.first, "heartbeat-s": heartbeat.Seconds(), "bounds": d.bounds,
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z.-]+)\}\}(.*?)\{\{/([a-z.-]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z.-]+)(\|json)?\}\}`)
)

// render fills in the deploy file's template.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)

		value := lookup(fields, m[1])
		if value == nil {
			return ""
		}

		data, _ := json.Marshal(value)

		return strings.ReplaceAll(strings.ReplaceAll(m[2], "{{.|json}}", string(data)), "{{.}}", fmt.Sprint(value))
	})

	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)

		value := lookup(fields, m[1])
		if m[2] == "" {
			return fmt.Sprint(value)
		}

		data, _ := json.Marshal(value)

		return string(data)
	})
}

func lookup(fields map[string]any, path string) any {
	var value any = fields

	for part := range strings.SplitSeq(path, ".") {
		table, ok := value.(map[string]any)
		if !ok {
			return nil
		}

		value = table[part]
	}

	return value
}

// processes are those that this process started.
type processes struct {
	mu  sync.Mutex
	all []*os.Process
}

var started processes

func (p *processes) add(o *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.all = append(p.all, o)
}

// start starts a process with the command of the deploy file.
func (h *host) start() error {
	template, err := os.ReadFile("deploy/node.jsonc.tmpl")
	if err != nil {
		return err
	}

	if err := os.WriteFile(h.file, []byte(render(string(template), h.settings())), 0o600); err != nil {
		return err
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	h.first = false
	h.process = exec.Command("target/pollencart-sidecar", "--settings", h.file)
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "POLLENCART_BOOT=" + h.file}
	h.process.Stdout, h.process.Stderr = h.log, h.log

	if err := h.process.Start(); err != nil {
		return err
	}

	started.add(h.process.Process)

	done := make(chan struct{})
	h.done, h.started = done, time.Now()
	process := h.process

	go func() {
		_ = process.Wait()

		h.mu.Lock()
		h.ended = time.Now()
		h.mu.Unlock()
		close(done)
	}()

	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()

	select {
	case <-h.done:
		return
	default:
	}

	if s == syscall.SIGTERM {
		h.terms = append(h.terms, time.Now())
	}

	h.deployment.record.note("%s to %s", s, h.name)
	_ = h.process.Process.Signal(s)
}

// restart stops the process as planned, with SIGKILL after the grace time, and starts it again.
func (h *host) restart(grace time.Duration) error {
	h.signal(syscall.SIGTERM)

	select {
	case <-h.done:
	case <-time.After(grace):
		h.deployment.record.note("%s outlasts the grace time", h.name)
		h.signal(syscall.SIGKILL)
		<-h.done
	}

	h.deployment.record.note("%s has ended", h.name)
	time.Sleep(300 * time.Millisecond)

	return h.start()
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.done
}

// isReady asks as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

	response, err := client.Get("http://" + h.ready + "/-/ready")
	if err != nil {
		return false
	}

	_ = response.Body.Close()

	return response.StatusCode == http.StatusOK
}

// startAll starts all processes within 0.3 s and waits until all are ready and their upstreams are known.
func (d *deployment) startAll(ctx context.Context) error {
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}

		go h.upstream.heartbeats(ctx)
	}

	deadline := time.Now().Add(15 * time.Second)

	for _, h := range d.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}

			time.Sleep(100 * time.Millisecond)
		}
	}

	time.Sleep(5 * time.Second)

	return nil
}

func (d *deployment) stopAll() {
	for _, h := range d.hosts {
		if h.done == nil {
			continue
		}

		h.signal(syscall.SIGCONT)
		h.kill()
	}
}

// crashed ends the upstream's boot and starts the next one after some seconds.
func (d *deployment) crashed(u *upstream) {
	instance, _ := u.current()
	if instance == "" {
		return
	}

	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	n := len(d.crashes)
	d.mu.Unlock()

	d.record.note("crash %d: upstream of %s", n, u.host.name)
	u.crash()
	time.Sleep(d.crashBack)

	if err := u.start(); err != nil {
		d.record.note("upstream of %s does not start: %v", u.host.name, err)
	}
}

// route is one route of the configuration.
type route struct {
	name, host, prefix, kind string
	timeout, target          float64
	priority, attempts       int
	service                  string
}

// configuration encodes a version as the operator does.
func configuration(version int, services []string, routes []route) []byte {
	var rows, all [][]any

	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeout, r.target, r.priority, r.service, r.attempts, nil})
	}

	for _, s := range services {
		all = append(all, []any{s, "/health", 540, "h1", false})
	}

	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "path-prefix", "kind", "timeout-s", "target-latency-s", "priority", "service", "attempts", "weighted-clusters"},
			"rows":    rows,
		},
		"services": map[string]any{"columns": []string{"name", "health-path", "max-connections", "protocol", "tls"}, "rows": all},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
	})

	return data
}
