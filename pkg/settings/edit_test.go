package settings_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/pkg/settings"
)

func parseMidlands(t *testing.T) settings.Tree {
	t.Helper()

	data, err := os.ReadFile("../../examples/midlands/tree.jsonc")
	assert.NilError(t, err)

	tree, err := settings.Parse("tree.jsonc", data)
	assert.NilError(t, err)

	return tree
}

func edit(t *testing.T, tree settings.Tree, path string, texts ...string) (settings.Tree, error) {
	t.Helper()

	var edits []settings.Edit

	for _, text := range texts {
		e, err := settings.ParseEdit(text)
		assert.NilError(t, err)

		edits = append(edits, e)
	}

	return tree.With(path, edits...)
}

func TestEditChangesOnlyNamedTreeNode(t *testing.T) {
	tree := parseMidlands(t)

	next, err := edit(t, tree, "/midlands/ledger/upload", "Deadline=7s", "Match.PathPrefix=/up/", "BodyLimit=")
	assert.NilError(t, err)

	next, err = edit(t, next, "midlands/browse", "Service.Slots=12", "Class=Background", "Service=7")
	assert.NilError(t, err)

	lines := ""
	for _, c := range settings.Diff(tree, next) {
		lines += c.String() + "\n"
	}

	assert.Equal(t, lines, `+ /midlands/browse Overrides.Class "Background"
+ /midlands/browse Overrides.Service "7"
~ /midlands/browse Service.Slots 10 -> 12
~ /midlands/ledger/upload Match.PathPrefix "/uploads/" -> "/up/"
- /midlands/ledger/upload Overrides.BodyLimit 2097152
~ /midlands/ledger/upload Overrides.Deadline "5s" -> "7s"
`)
	assert.DeepEqual(t, tree, parseMidlands(t))
}

func TestInvalidEditsAreRejected(t *testing.T) {
	tree := parseMidlands(t)

	for _, c := range []struct {
		path, text string
		is         error
	}{
		{"/midlands/nowhere", "Deadline=1s", settings.ErrPath},
		{"/midlands/ledger/upload/deeper", "Deadline=1s", settings.ErrPath},
		{"/midlands", "Colour=red", settings.ErrEdit},
		{"/midlands", "Attempts=many", settings.ErrEdit},
		{"/midlands", "Deadline=soon", settings.ErrEdit},
		{"/midlands/ledger/upload", "Service.Slots=1", settings.ErrEdit},
	} {
		_, err := edit(t, tree, c.path, c.text)
		assert.ErrorIs(t, err, c.is, c.text)
	}

	_, err := settings.ParseEdit("Deadline")
	assert.ErrorIs(t, err, settings.ErrEdit)
}

func TestExplainReportsOriginOfEachValue(t *testing.T) {
	origins, err := parseMidlands(t).Explain("/midlands/ledger/permission-lookup")
	assert.NilError(t, err)

	lines := ""
	for _, o := range origins {
		lines += o.Key + " " + o.Value + " " + o.From + "\n"
	}

	assert.Equal(t, lines, `Attempts 3 /midlands/ledger
BodyLimit 1048576 default
Class "Interactive" /midlands/ledger/permission-lookup
Deadline "500ms" /midlands/ledger/permission-lookup
Idempotent true /midlands/ledger/permission-lookup
Queue 64 default
RetryBudget 0.1 /
Service "ledger" name of the service branch /midlands/ledger
`)

	_, err = parseMidlands(t).Explain("/midlands/nowhere")
	assert.ErrorIs(t, err, settings.ErrPath)
}

// Check must report all faults at once, so that an operator can fix them in one edit.
func TestCheckReturnsAllFaults(t *testing.T) {
	tree, err := edit(t, parseMidlands(t), "/midlands/ledger", "Attempts=9", "Deadline=1h", "Class=Urgent", "RetryBudget=2")
	assert.NilError(t, err)

	tree, err = edit(t, tree, "/midlands/browse", "Service=nowhere", "Service.Slots=0")
	assert.NilError(t, err)

	got := tree.Check()
	assert.Assert(t, len(got) >= 9, "%v", got)
}
