// Package config reads the settings file of one node.
//
// The file is JSON with comments. It holds the settings that a node can't learn from
// other nodes or the platform: its identity, its addresses, its failure domain and the
// peers that it contacts first.
//
//	c, err := config.Load("node.jsonc")
package config

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/jsonc"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// ErrConfig is returned for a file that can't be read or holds an invalid value.
var ErrConfig = errs.New("config.invalid", http.StatusBadRequest, "settings file not accepted")

// Config is the settings file of one node.
type Config struct {
	// ID identifies the node; it stays the same when the process is replaced.
	ID string `json:"ID"`
	// Region and FailureDomain give the location of the host.
	Region        string `json:"Region"`
	FailureDomain string `json:"FailureDomain"`
	// PeerAddress accepts connections from other nodes, CallerAddress from callers,
	// ControlAddress from operators, the backend server and metrics collectors.
	PeerAddress    string `json:"PeerAddress"`
	CallerAddress  string `json:"CallerAddress"`
	ControlAddress string `json:"ControlAddress"`
	// Peers are the addresses of the nodes to contact first.
	Peers []string `json:"Peers"`
	// Platform are the base URLs of the key-value service.
	Platform []string `json:"Platform"`
	// Mode sets the trade-off between convergence time and control traffic.
	Mode Mode `json:"Mode"`
	// DrainTimeout limits the duration of a graceful shutdown.
	DrainTimeout settings.Duration `json:"DrainTimeout"`
	// FaultInjection lets experiments cut this node's links through the control
	// address. Leave it off in production.
	FaultInjection bool `json:"FaultInjection"`
	// TLS configures the certificates of this node. Without it, links are not encrypted.
	TLS *TLS `json:"TLS"`
	// OperatorTokenFile is the file with the token that operators must send; without
	// it, every client of the control address has operator access.
	OperatorTokenFile string `json:"OperatorTokenFile"`
	// MemoryMb is the memory of the machine, in MiB, that the process must not exceed.
	MemoryMb int `json:"MemoryMb"`
	// LogLevel is the minimum level of log lines: debug, info, warn or error.
	LogLevel string `json:"LogLevel"`
}

// TLS configures the certificate, key and authority files of a node, in PEM. The files are
// reloaded when they change.
type TLS struct {
	// Certificate and Key authenticate this node to other nodes; the certificate
	// must be valid for the DNS name node.pollencart.
	Certificate string `json:"Certificate"`
	Key         string `json:"Key"`
	// Authority holds the CA certificates that must have issued other nodes' certificates.
	Authority string `json:"Authority"`
	// Operators enables TLS on the control address as well.
	Operators bool `json:"Operators"`
}

// Mode selects how accepted versions of the settings propagate to the nodes.
type Mode string

// Propagation modes.
const (
	// ModeFast sends more bytes so that versions become active sooner.
	ModeFast Mode = "Fast"
	// ModeFrugal sends fewer bytes; versions become active later.
	ModeFrugal Mode = "Frugal"
	// ModePoll and ModeFullPush are baselines for measurements. With ModePoll every node
	// polls the platform; with ModeFullPush watchers push the whole tree to each node of
	// their failure domain.
	ModePoll     Mode = "Poll"
	ModeFullPush Mode = "FullPush"
)

// defaultDrain exceeds the deadline of most routes, so that calls in flight can finish.
const defaultDrain = 15 * time.Second

// Default returns the configuration that applies to keys missing from the file.
func Default() Config {
	return Config{
		Mode:         ModeFast,
		DrainTimeout: settings.Duration(defaultDrain),
		LogLevel:     "info",
		MemoryMb:     membudget.DefaultMachineMB,
	}
}

// MemoryBytes returns the memory of the machine in bytes.
func (c Config) MemoryBytes() int { return cmp.Or(c.MemoryMb, membudget.DefaultMachineMB) << bitsPerMB }

const bitsPerMB = 20

// Load reads, decodes and validates a file.
func Load(file string) (Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Config{}, ErrConfig.With("%s", file).Wrap(err)
	}

	return Parse(file, data)
}

// Parse decodes and validates the contents of a file; errors name the file.
func Parse(file string, data []byte) (Config, error) {
	c := Default()
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
		{"ID", c.ID},
		{"Region", c.Region},
		{"FailureDomain", c.FailureDomain},
	} {
		if f.value == "" {
			return f.key, "is missing"
		}
	}

	for _, f := range []struct{ key, value string }{
		{"PeerAddress", c.PeerAddress},
		{"CallerAddress", c.CallerAddress},
		{"ControlAddress", c.ControlAddress},
	} {
		if reason := checkAddress(f.value); reason != "" {
			return f.key, reason
		}
	}

	for _, p := range c.Peers {
		if reason := checkAddress(p); reason != "" {
			return "Peers", reason
		}
	}

	if !slices.Contains([]Mode{ModeFast, ModeFrugal, ModePoll, ModeFullPush}, c.Mode) {
		return "Mode", "want Fast or Frugal"
	}

	if c.MemoryMb < membudget.MinMachineMB {
		return "MemoryMb", fmt.Sprintf("want %d or more", membudget.MinMachineMB)
	}

	if c.DrainTimeout <= 0 {
		return "DrainTimeout", "want more than 0s"
	}

	return "", ""
}

func checkAddress(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err.Error()
	}

	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP number", host)
	}

	return ""
}
