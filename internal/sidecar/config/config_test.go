package config_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/sidecar/config"
)

const valid = `// rendered by the platform
{
  "Node": "n", "Region": "r", "FailureDomain": "d", "Service": "s",
  "BackendAddress": "10.0.0.1:1", "CallerAddress": "10.0.0.1:2", "PeerAddress": "10.0.0.1:3", "ReadyAddress": "10.0.0.1:4",
  "AnnounceAddress": "10.0.0.1:5", "MetricsAddress": "10.0.0.1:6", "StoreAddress": "10.0.0.2:1", "LinkMbps": 5, "FirstStart": true,
  "AnnounceEverySeconds": 1.5,
  "Bounds": {"DrainSeconds": 2, "GraceSeconds": 6, "ReuseSeconds": 2, "RetryRatio": 0.2, "RetryWindowSeconds": 10, "RetrySlack": 58}
}`

func TestParseAcceptsValidSettings(t *testing.T) {
	c, err := config.Parse("f", []byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, c.Bounds.RetrySlack, 58.0)
	assert.Equal(t, c.Collector(), config.DefaultCollectorPercent)
	assert.Equal(t, c.MemoryBytes(), 512<<20)
}

func TestParseNamesTheInvalidKey(t *testing.T) {
	for change, want := range map[string]string{
		`"Node": "n"->"Node": ""`:                 "key Node",
		`"10.0.0.2:1"->"10.0.0.2"`:                "key StoreAddress",
		`"GraceSeconds": 6->"GraceSeconds": 0`:    "key Bounds.GraceSeconds",
		`"LinkMbps": 5->"CollectorPercent": -1`:   "key CollectorPercent",
		`"LinkMbps": 5->"MemoryMb": 63`:           "key MemoryMb",
		`"LinkMbps": 5->"LinkMbps": "fast"`:       "LinkMbps",
		`"RetryRatio": 0.2->"QuotaSlack": -1`:     "key Bounds.QuotaSlack",
		`"FirstStart": true->"SecondStart": true`: "SecondStart",
	} {
		from, to, _ := strings.Cut(change, "->")
		_, err := config.Parse("f", []byte(strings.Replace(valid, from, to, 1)))
		assert.ErrorContains(t, err, want)
	}
}
