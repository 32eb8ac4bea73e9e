package config_test

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/pkg/settings"
)

// docs/SETTINGS.md is generated from the structs that the files are decoded into, which
// keeps the reference in step with the code. Run `go test ./internal/config -update`
// after changing a key or its comment.
func TestReferenceMatchesSettingsPage(t *testing.T) {
	var b strings.Builder

	b.WriteString("# Settings reference\n\nMade from the code. Files are JSON with comments; an unknown key is refused.\n" +
		"Durations are text such as `\"250ms\"`.\n\n## The file of a node\n\nRead once, at the start of `pollencart node`.\n")

	s := parse(t, ".")
	s.writeTable(&b, "Config", jsonOf(t, config.Default()))
	s.writeQueued(&b)

	b.WriteString("\n## The tree\n\nEdited and accepted by operators; the root is a Branch.\n")

	s = parse(t, "../../pkg/settings")
	s.writeTable(&b, "Branch", nil)
	s.writeQueued(&b)

	b.WriteString("\n### Values above the root\n\nWhat a route gets if no node of the tree overrides it.\n\n| key | value |\n| --- | --- |\n")

	v := reflect.ValueOf(settings.DefaultValues())
	for i := range v.NumField() {
		fmt.Fprintf(&b, "| %s | `%v` |\n", v.Type().Field(i).Name, v.Field(i))
	}

	golden.Assert(t, b.String(), abs(t, "../../docs/SETTINGS.md"))
}

func abs(t *testing.T, file string) string {
	t.Helper()

	path, err := filepath.Abs(file)
	assert.NilError(t, err)

	return path
}

func jsonOf(t *testing.T, v any) map[string]any {
	t.Helper()

	data, err := json.Marshal(v)
	assert.NilError(t, err)

	out := map[string]any{}
	assert.NilError(t, json.Unmarshal(data, &out))

	return out
}

// structs holds the struct types of a package with their doc comments, and the types that
// are queued for a table or have one.
type structs struct {
	types map[string]*ast.StructType
	docs  map[string]string
	queue []string
	done  map[string]bool
}

func parse(t *testing.T, dir string) *structs {
	t.Helper()

	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	assert.NilError(t, err)

	s := &structs{types: map[string]*ast.StructType{}, docs: map[string]string{}, done: map[string]bool{}}

	for _, file := range files {
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		assert.NilError(t, err)

		for _, d := range f.Decls {
			s.add(d)
		}
	}

	return s
}

func (s *structs) add(d ast.Decl) {
	g, ok := d.(*ast.GenDecl)
	if !ok {
		return
	}

	for _, spec := range g.Specs {
		t, ok := spec.(*ast.TypeSpec)
		if !ok {
			continue
		}

		if st, ok := t.Type.(*ast.StructType); ok {
			s.types[t.Name.Name] = st
			s.docs[t.Name.Name] = oneLine(g.Doc.Text())
		}
	}
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// writeTable writes the keys of a struct. A comment above several consecutive keys describes
// all of them and appears at the first.
func (s *structs) writeTable(b *strings.Builder, name string, defaults map[string]any) {
	s.done[name] = true

	fmt.Fprintf(b, "\n### %s\n\n%s\n\n| key | type | default | meaning |\n| --- | --- | --- | --- |\n", name, s.docs[name])

	for _, f := range s.types[name].Fields.List {
		if f.Tag == nil {
			continue
		}

		tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`")).Get("json")
		key, _, _ := strings.Cut(tag, ",")

		if key == "" || key == "-" {
			continue
		}

		kind := types.ExprString(f.Type)
		s.enqueue(kind)
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", key, kind, defaultOf(defaults[key]), oneLine(f.Doc.Text()))
	}
}

func defaultOf(v any) string {
	if v == nil || reflect.ValueOf(v).IsZero() {
		return ""
	}

	data, err := json.Marshal(v)
	if err != nil {
		return ""
	}

	return "`" + string(data) + "`"
}

func (s *structs) enqueue(kind string) {
	kind = kind[strings.LastIndexAny(kind, "]*")+1:]
	if _, known := s.types[kind]; known && !s.done[kind] {
		s.done[kind] = true
		s.queue = append(s.queue, kind)
	}
}

// writeQueued writes the tables of the structs that occur as types of keys.
func (s *structs) writeQueued(b *strings.Builder) {
	for len(s.queue) > 0 {
		name := s.queue[0]
		s.queue = s.queue[1:]
		s.writeTable(b, name, nil)
	}
}
