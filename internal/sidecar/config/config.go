// Package config reads the settings file of a node that runs as a sidecar on the users' platform.
//
// The file is JSON with comments. The platform renders it at every start and whenever the settings
// change. It contains what the process can't discover: the node's identity, its addresses, the
// address of the store, and the bounds that the deployment guarantees.
//
//	c, err := config.Load("/etc/pollencart/node.jsonc")
package config

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pollencart/pollencart/internal/jsonc"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/pkg/errs"
)

// DefaultCollectorPercent is half of what Go programs use. Between bursts of versions a node has
// little to collect, so that it costs few milliseconds a version (docs/design/0905-memory-of-a-node.md).
const DefaultCollectorPercent = 50

const bitsPerMB = 20

// ErrConfig is returned for a settings file that can't be read or has invalid values.
var ErrConfig = errs.New("sidecar.config", http.StatusBadRequest, "settings file not accepted")

// Config is the settings file of one node.
type Config struct {
	// Node names the host; Region and FailureDomain are its location.
	Node          string `json:"Node"`
	Region        string `json:"Region"`
	FailureDomain string `json:"FailureDomain"`
	// Service and BackendAddress describe the local backend server.
	Service        string `json:"Service"`
	BackendAddress string `json:"BackendAddress"`
	// CallerAddress accepts calls, PeerAddress frames from other nodes, ReadyAddress readiness checks
	// of the platform, and AnnounceAddress heartbeats of the backend server.
	CallerAddress   string `json:"CallerAddress"`
	PeerAddress     string `json:"PeerAddress"`
	ReadyAddress    string `json:"ReadyAddress"`
	AnnounceAddress string `json:"AnnounceAddress"`
	MetricsAddress  string `json:"MetricsAddress"`
	// Profiles serves CPU and memory profiles on MetricsAddress. Taking one costs CPU time and memory.
	Profiles bool `json:"Profiles"`
	// CollectorPercent is how far the heap may grow over what is in use, in percent, until the
	// collector runs. Less saves memory and costs processor time; 0 means DefaultCollectorPercent.
	CollectorPercent int `json:"CollectorPercent"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `json:"StoreAddress"`
	// MemoryMb is the memory of the machine, in MiB, that the process must not exceed; 0 means
	// 512. A change needs a restart.
	MemoryMb int `json:"MemoryMb"`
	// LinkMbps is the bandwidth of the host's link. The nodes with the highest bandwidth in a failure
	// domain relay settings to the others.
	LinkMbps float64 `json:"LinkMbps"`
	// FirstStart marks the first start of the whole system: no earlier process can have confirmed
	// anything.
	FirstStart bool `json:"FirstStart"`
	// AnnounceEverySeconds is the heartbeat interval of a backend server.
	AnnounceEverySeconds float64 `json:"AnnounceEverySeconds"`
	Bounds               Bounds  `json:"Bounds"`
}

// Bounds are the limits that the deployment guarantees to its users.
type Bounds struct {
	// DrainSeconds is how long a backend server may still receive calls after its departure was
	// confirmed.
	DrainSeconds float64 `json:"DrainSeconds"`
	// GraceSeconds is how long a process may run after SIGTERM.
	GraceSeconds float64 `json:"GraceSeconds"`
	// ReuseSeconds is the time after which the platform may assign an address to another service.
	ReuseSeconds float64 `json:"ReuseSeconds"`
	// RetryRatio and RetrySlack bound the retries of a service in any window of RetryWindowSeconds,
	// over all nodes together: RetryRatio x calls + RetrySlack.
	RetryRatio         float64 `json:"RetryRatio"`
	RetryWindowSeconds float64 `json:"RetryWindowSeconds"`
	RetrySlack         float64 `json:"RetrySlack"`
	// ExposeShare is the part of a service's calls that the target version of a roll-out may
	// receive before it is known to be good. With 0, versions are not told apart and orders of
	// roll-outs are not read. A change needs a restart.
	ExposeShare float64 `json:"ExposeShare"`
	// QuotaOverage and QuotaSlack bound the calls of a workspace beyond its limit in any window of
	// QuotaWindowSeconds, over all nodes together: limit x QuotaOverage + QuotaSlack. With a window of 0
	// no limits are kept. A change needs a restart.
	QuotaWindowSeconds float64 `json:"QuotaWindowSeconds"`
	QuotaOverage       float64 `json:"QuotaOverage"`
	QuotaSlack         float64 `json:"QuotaSlack"`
}

// WithBounds returns a copy of the settings with other bounds.
func (c Config) WithBounds(b Bounds) Config {
	c.Bounds = b

	return c
}

// Seconds converts a number of seconds from the file to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and validates a settings file.
func Load(file string) (Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Config{}, ErrConfig.With("%s", file).Wrap(err)
	}

	return Parse(file, data)
}

// Parse decodes and validates the content of a settings file.
func Parse(file string, data []byte) (Config, error) {
	var c Config
	if err := jsonc.Decode(file, data, &c); err != nil {
		return Config{}, err
	}

	if key, reason := c.validate(); key != "" {
		return Config{}, ErrConfig.With("%s: key %s: %s", file, key, reason)
	}

	return c, nil
}

func (c Config) validate() (key, reason string) {
	for _, f := range []struct{ key, value string }{
		{"Node", c.Node}, {"FailureDomain", c.FailureDomain}, {"Service", c.Service},
	} {
		if f.value == "" {
			return f.key, "is missing"
		}
	}

	for _, f := range []struct{ key, value string }{
		{"BackendAddress", c.BackendAddress}, {"CallerAddress", c.CallerAddress}, {"PeerAddress", c.PeerAddress},
		{"ReadyAddress", c.ReadyAddress}, {"AnnounceAddress", c.AnnounceAddress}, {"MetricsAddress", c.MetricsAddress},
		{"StoreAddress", c.StoreAddress},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return f.key, err.Error()
		}
	}

	if c.CollectorPercent < 0 {
		return "CollectorPercent", "want 0 or more"
	}

	if c.MemoryMb != 0 && c.MemoryMb < membudget.MinMachineMB {
		return "MemoryMb", fmt.Sprintf("want 0, or %d or more", membudget.MinMachineMB)
	}

	return c.Bounds.validate()
}

// MemoryBytes returns the memory of the machine in bytes.
func (c Config) MemoryBytes() int { return cmp.Or(c.MemoryMb, membudget.DefaultMachineMB) << bitsPerMB }

// Collector returns how far the heap may grow, in percent.
func (c Config) Collector() int {
	if c.CollectorPercent == 0 {
		return DefaultCollectorPercent
	}

	return c.CollectorPercent
}

func (b Bounds) validate() (key, reason string) {
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"Bounds.DrainSeconds", b.DrainSeconds}, {"Bounds.GraceSeconds", b.GraceSeconds},
		{"Bounds.RetryWindowSeconds", b.RetryWindowSeconds},
	} {
		if f.value <= 0 {
			return f.key, "want more than 0"
		}
	}

	if b.ExposeShare < 0 || b.ExposeShare > 1 {
		return "Bounds.ExposeShare", "want 0 to 1"
	}

	for _, f := range []struct {
		key   string
		value float64
	}{
		{"Bounds.QuotaWindowSeconds", b.QuotaWindowSeconds}, {"Bounds.QuotaOverage", b.QuotaOverage}, {"Bounds.QuotaSlack", b.QuotaSlack},
	} {
		if f.value < 0 {
			return f.key, "want 0 or more"
		}
	}

	return "", ""
}
