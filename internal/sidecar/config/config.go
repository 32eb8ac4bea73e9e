// Package config reads the settings file of a node that runs as a sidecar on the
// users' platform.
//
// The file is JSON with comments, rendered by the platform at every start and
// whenever the settings change. It tells what the process can't learn from anyone
// else: who it is, its addresses, where the store is, and the bounds that the
// deployment promises.
//
//	c, err := config.Load("/etc/pollencart/node.jsonc")
package config

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pollencart/pollencart/internal/jsonc"
	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrConfig is returned for a file that can't be used.
var ErrConfig = errs.New("sidecar.config", http.StatusBadRequest, "settings file not accepted")

// Config is the settings file of one node.
type Config struct {
	// Node names the host; Region and FailureDomain say where it stands.
	Node          string `json:"Node"`
	Region        string `json:"Region"`
	FailureDomain string `json:"FailureDomain"`
	// Service and BackendAddress are those of the backend server on this host.
	Service        string `json:"Service"`
	BackendAddress string `json:"BackendAddress"`
	// CallerAddress takes calls, PeerAddress frames of other nodes, ReadyAddress
	// the platform's questions, AnnounceAddress heartbeats of the backend server.
	CallerAddress   string `json:"CallerAddress"`
	PeerAddress     string `json:"PeerAddress"`
	ReadyAddress    string `json:"ReadyAddress"`
	AnnounceAddress string `json:"AnnounceAddress"`
	MetricsAddress  string `json:"MetricsAddress"`
	// Profiles serves profiles of the process on the metrics address, for whoever asks
	// where its processor time or memory goes. Each costs some of both while it is taken.
	Profiles bool `json:"Profiles"`
	// StoreAddress is where the platform's store listens.
	StoreAddress string `json:"StoreAddress"`
	// LinkMbps is the bandwidth of the host's link. The nodes of a failure domain that
	// have most of it pass settings on to the others.
	LinkMbps float64 `json:"LinkMbps"`
	// FirstStart says that the whole system starts for the first time: no earlier
	// process can have confirmed anything.
	FirstStart bool `json:"FirstStart"`
	// AnnounceEverySeconds is the pause between heartbeats of a backend server.
	AnnounceEverySeconds float64 `json:"AnnounceEverySeconds"`
	Bounds               Bounds  `json:"Bounds"`
}

// Bounds are the figures that the deployment promises to its users.
type Bounds struct {
	// DrainSeconds is how long after its leaving was confirmed a backend server
	// may still get calls.
	DrainSeconds float64 `json:"DrainSeconds"`
	// GraceSeconds is how long a process has after SIGTERM.
	GraceSeconds float64 `json:"GraceSeconds"`
	// ReuseSeconds is after how long an address may belong to another service.
	ReuseSeconds float64 `json:"ReuseSeconds"`
	// RetryRatio and RetrySlack bound the repeats of a service in any window of
	// RetryWindowSeconds: ratio x its calls + slack, over all nodes together.
	RetryRatio         float64 `json:"RetryRatio"`
	RetryWindowSeconds float64 `json:"RetryWindowSeconds"`
	RetrySlack         float64 `json:"RetrySlack"`
}

// WithBounds returns the settings with other bounds.
func (c Config) WithBounds(b Bounds) Config {
	c.Bounds = b

	return c
}

// Seconds returns a duration of the file.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks a file.
func Load(file string) (Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Config{}, ErrConfig.With("%s", file).Wrap(err)
	}

	return Parse(file, data)
}

// Parse decodes and checks the text of a file.
func Parse(file string, data []byte) (Config, error) {
	var c Config
	if err := jsonc.Decode(file, data, &c); err != nil {
		return Config{}, err
	}

	if key, reason := c.fault(); key != "" {
		return Config{}, ErrConfig.With("%s: key %s: %s", file, key, reason)
	}

	return c, nil
}

func (c Config) fault() (key, reason string) {
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

	return c.Bounds.fault()
}

func (b Bounds) fault() (key, reason string) {
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

	return "", ""
}
