package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/jsonc"
)

const good = `"ID": "a", "Region": "r", "FailureDomain": "d",
	"PeerAddress": "127.0.0.1:1", "CallerAddress": "127.0.0.1:2", "ControlAddress": "127.0.0.1:3"`

func TestExampleFileIsAccepted(t *testing.T) {
	_, err := config.Load("../../examples/midlands/node.jsonc")
	assert.NilError(t, err)
}

func TestErrorsNameFileKeyAndReason(t *testing.T) {
	for _, c := range []struct {
		name, text string
		is         error
		says       string
	}{
		{"truncated file", `{"ID": "a"`, jsonc.ErrSyntax, "node.jsonc"},
		{"unknown key", `{` + good + `, "Colour": 1}`, jsonc.ErrValue, `node.jsonc: unknown field "Colour"`},
		{"wrong type", `{"ID": 7}`, jsonc.ErrValue, "node.jsonc: key ID: a number does not fit"},
		{"missing key", `{"ID": "a"}`, config.ErrConfig, "node.jsonc: key Region: is missing"},
		{"host name", `{` + good + `, "Peers": ["db:1"]}`, config.ErrConfig, `key Peers: "db" is not an IP number`},
		{"invalid duration", `{` + good + `, "DrainTimeout": "soon"}`, jsonc.ErrValue, `"soon"`},
		{"mode", `{` + good + `, "Mode": "Slow"}`, config.ErrConfig, "key Mode: want Fast or Frugal"},
		{"two values", `{} {}`, jsonc.ErrSyntax, "node.jsonc"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := config.Parse("node.jsonc", []byte(c.text))
			assert.ErrorIs(t, err, c.is)
			assert.ErrorContains(t, err, c.says)
		})
	}
}
