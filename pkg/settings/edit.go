package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"strings"

	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of ParseEdit and Tree.With.
var (
	ErrPath = errs.New("settings.path", http.StatusNotFound, "no such branch or route in the tree")
	ErrEdit = errs.New("settings.edit", http.StatusBadRequest, "edit not understood")
)

// Edit sets or removes one value of a tree node.
type Edit struct {
	// Field is the dotted name of a field of the tree node, such as
	// Match.PathPrefix or Overrides.Deadline.
	Field string
	// Value is JSON or plain text. An empty value removes the field, so that the tree
	// node inherits it again.
	Value string
}

// ParseEdit parses "Key=Value". A key without a dot is a field of Overrides.
func ParseEdit(text string) (Edit, error) {
	field, value, ok := strings.Cut(text, "=")
	if !ok || field == "" {
		return Edit{}, ErrEdit.With("%q is not Key=Value", text)
	}

	if !strings.Contains(field, ".") {
		field = "Overrides." + field
	}

	return Edit{Field: field, Value: value}, nil
}

// With returns a copy of the tree with edits applied to the branch or route at path.
func (t Tree) With(path string, edits ...Edit) (Tree, error) {
	b, err := withBranch(t.Branch, split(path), edits)
	if errors.Is(err, ErrPath) {
		return Tree{}, ErrPath.With("/%s", strings.Trim(path, "/"))
	}

	return Tree{Branch: b}, err
}

func split(path string) []string {
	path = strings.Trim(path, "/")
	if path == RootPath {
		return nil
	}

	return strings.Split(path, "/")
}

// withBranch copies the branches along the path and shares all others.
func withBranch(b Branch, names []string, edits []Edit) (Branch, error) {
	if len(names) == 0 {
		return b, apply(&b, edits)
	}

	name := names[0]

	if child, ok := b.Branches[name]; ok {
		next, err := withBranch(child, names[1:], edits)
		b.Branches = maps.Clone(b.Branches)
		b.Branches[name] = next

		return b, err
	}

	route, ok := b.Routes[name]
	if !ok || len(names) > 1 {
		return b, ErrPath
	}

	err := apply(&route, edits)
	b.Routes = maps.Clone(b.Routes)
	b.Routes[name] = route

	return b, err
}

// apply edits fields of a tree node by their JSON names.
func apply[T Branch | Route](node *T, edits []Edit) error {
	for _, e := range edits {
		next, err := withField(*node, e, json.RawMessage(e.Value))
		if err != nil {
			// A value that is not JSON of the field's type may be an unquoted string.
			quoted, _ := json.Marshal(e.Value)
			if next, err = withField(*node, e, quoted); err != nil {
				return ErrEdit.With("%s=%s: %v", e.Field, e.Value, err)
			}
		}

		*node = next
	}

	return nil
}

func withField[T any](node T, e Edit, value json.RawMessage) (T, error) {
	var next T

	data, err := json.Marshal(node)
	if err != nil {
		return next, err
	}

	fields := map[string]any{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return next, err
	}

	at := fields
	names := strings.Split(e.Field, ".")

	for _, name := range names[:len(names)-1] {
		inner, ok := at[name].(map[string]any)
		if !ok {
			inner = map[string]any{}
			at[name] = inner
		}

		at = inner
	}

	if last := names[len(names)-1]; e.Value == "" {
		delete(at, last)
	} else {
		at[last] = value
	}

	if data, err = json.Marshal(fields); err != nil {
		return next, err
	}

	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()

	return next, dec.Decode(&next)
}
