package config_test

import (
	"testing"

	"github.com/pollencart/pollencart/internal/config"
)

// For any input, Parse must return either an error or a configuration with the required keys.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{` + good + `} // comment`))
	f.Add([]byte(`{` + good + `, "TLS": {"Certificate": "a"}, "DrainTimeout": "-1s"}`))
	f.Add([]byte(`{"ID": [`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := config.Parse("node.jsonc", data)
		if err == nil && (c.ID == "" || c.PeerAddress == "" || c.DrainTimeout <= 0) {
			t.Fatalf("%+v", c)
		}
	})
}
