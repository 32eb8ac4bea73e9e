package event_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/pollencart/pollencart/internal/event"
)

// docs/EVENTS.md is the golden file of the catalogue, which keeps the page that
// operators read in step with the code.
func TestCatalogueMatchesEventsPage(t *testing.T) {
	var b strings.Builder

	b.WriteString("# Events\n\nEvery log line and every entry of the time line has one of these numbers.\n\n")
	b.WriteString("| number | name | level | meaning |\n| --- | --- | --- | --- |\n")

	for _, e := range event.All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Text)
	}

	golden.Assert(t, b.String(), "../../../docs/EVENTS.md")
}

func TestEventNumbersAreUnique(t *testing.T) {
	seen := map[int]string{}

	for _, e := range event.All() {
		assert.Equal(t, seen[e.Number], "", "%d is used by two events", e.Number)
		seen[e.Number] = e.Name
	}
}
