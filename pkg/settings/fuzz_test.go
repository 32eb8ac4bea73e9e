package settings_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/pkg/settings"
)

// Every tree without faults survives a round trip through Text and Parse with the
// same number of routes.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"midlands", "kyushu"} {
		data, err := os.ReadFile("../../examples/" + name + "/tree.jsonc")
		assert.NilError(f, err)
		f.Add(data)
	}

	f.Add([]byte(`{"Branches": {"a": null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := settings.Parse("tree.jsonc", data)
		if err != nil || len(tree.Check()) > 0 {
			return
		}

		text, err := tree.Text()
		if err != nil {
			t.Fatal(err)
		}

		again, err := settings.Parse("tree.jsonc", text)
		if err != nil || len(again.Resolve()) != len(tree.Resolve()) {
			t.Fatalf("%v: %s", err, text)
		}
	})
}
