package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// node is one machine: a process of the system beside an application server.
type node struct {
	world    *world
	name     string
	zone     string
	settings map[string]any
	file     string
	server   *server

	outbound, ready string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	first   bool
}

// nextPort is the port that is tried next. The ports are below those that the system gives to clients.
var nextPort = 10_000 + 8*int(time.Now().UnixNano()/1000%2000)

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() string {
	for {
		nextPort++

		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}

		_ = l.Close()

		return l.Addr().String()
	}
}

// bounds are those of a small deployment, with the limits of tenants.
var bounds = map[string]any{
	"DrainSeconds": 2, "GraceSeconds": 6, "ReuseSeconds": 2, "RetryRatio": 0.2, "RetryWindowSeconds": 10, "RetrySlack": 58,
}

func (w *world) addNode(name, zone, service string, slots int, work time.Duration) *node {
	n := &node{world: w, name: name, zone: zone, outbound: freeAddress(), ready: freeAddress(), first: true}
	s := &server{world: w, name: name, service: service, zone: zone, address: freeAddress(), control: freeAddress(), slots: slots, work: work}
	n.server = s
	n.file = filepath.Join(w.dir, name+".jsonc")
	n.settings = map[string]any{
		"Node": name, "Region": "region", "FailureDomain": zone, "Service": service, "BackendAddress": s.address,
		"CallerAddress": n.outbound, "PeerAddress": freeAddress(), "ReadyAddress": n.ready, "AnnounceAddress": s.control,
		"MetricsAddress": freeAddress(), "StoreAddress": w.store.address, "MemoryMb": 284, "LinkMbps": 1000.0,
		"AnnounceEverySeconds": beatTime.Seconds(), "Bounds": w.bounds,
	}
	w.nodes = append(w.nodes, n)

	return n
}

func (n *node) writeSettings() error {
	n.settings["FirstStart"] = n.first

	text, err := json.MarshalIndent(n.settings, "", "  ")
	if err != nil {
		return err
	}

	return os.WriteFile(n.file, text, 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}

	log, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	defer func() { _ = log.Close() }()

	p := exec.Command(n.world.program, "--settings", n.file)
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := p.Start(); err != nil {
		return err
	}

	ended := make(chan struct{})

	n.mu.Lock()
	n.process, n.ended, n.first = p, ended, false
	n.mu.Unlock()

	go func() {
		_ = p.Wait()
		close(ended)
	}()

	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()

	if p != nil {
		_ = p.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)

	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()

	if ended != nil {
		<-ended
	}
}

// isReady asks as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}

	response, err := client.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}

	_ = response.Body.Close()

	return response.StatusCode == http.StatusOK
}
