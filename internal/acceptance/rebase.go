package acceptance

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pollencart/pollencart/pkg/settings"
)

// rebase applies the operator's changes to the current head, which other
// operators may have changed since the base version.
func (a *Acceptor) rebase(ctx context.Context, r Request, s state, mine settings.Records) (settings.Records, error) {
	if s.head.Version.Number == r.Base {
		return mine, nil
	}

	base, err := a.manifestOf(ctx, s, r.Base)
	if err != nil {
		return nil, err
	}

	theirs, err := a.Manifest(ctx, s.head.Version.Digest)
	if err != nil {
		return nil, err
	}

	digests := mine.Digests()
	own := changes(base, digests)

	if conflicting := conflicts(own, changes(base, theirs), digests, theirs); len(conflicting) > 0 {
		return nil, a.conflict(ctx, r, s, mine, conflictSides{paths: conflicting, base: base, theirs: theirs})
	}

	merged, err := a.Records(ctx, theirs, mine)
	if err != nil {
		return nil, err
	}

	for _, path := range own {
		if data, ok := mine[path]; ok {
			merged[path] = data
		} else {
			delete(merged, path)
		}
	}

	tree, err := merged.Tree()
	if err != nil {
		return nil, err
	}

	// Two valid edits can be invalid together: one removes a service, the other
	// adds a route to it.
	return merged, tree.CheckErr()
}

func (a *Acceptor) manifestOf(ctx context.Context, s state, number uint64) (map[string]settings.Digest, error) {
	if number == 0 {
		return map[string]settings.Digest{}, nil
	}

	v, ok := s.record.Versions.Number(number)
	if !ok {
		return nil, ErrBase.With("version %d, accepted is %d", number, s.head.Version.Number)
	}

	return a.Manifest(ctx, v.Digest)
}

// changes returns the sorted paths at which the digests differ.
func changes(from, to map[string]settings.Digest) []string {
	all := maps.Clone(from)
	maps.Copy(all, to)

	return slices.DeleteFunc(slices.Sorted(maps.Keys(all)), func(path string) bool { return from[path] == to[path] })
}

// conflicts returns the paths that both sides changed to different values.
func conflicts(own, other []string, mine, theirs map[string]settings.Digest) []string {
	var paths []string

	for _, path := range own {
		if slices.Contains(other, path) && mine[path] != theirs[path] {
			paths = append(paths, path)
		}
	}

	return paths
}

// conflictSides holds the conflicting paths, the base manifest and the accepted
// manifest.
type conflictSides struct {
	paths        []string
	base, theirs map[string]settings.Digest
}

// conflict returns an ErrConflict that lists the changes of both sides, value by
// value: the paths alone would not let the second operator resolve the conflict.
func (a *Acceptor) conflict(ctx context.Context, r Request, s state, mine settings.Records, c conflictSides) error {
	base, err := a.Records(ctx, selectPaths(c.base, c.paths), nil)
	if err != nil {
		return err
	}

	theirs, err := a.Records(ctx, selectPaths(c.theirs, c.paths), nil)
	if err != nil {
		return err
	}

	var b strings.Builder

	v := s.head.Version
	fmt.Fprintf(&b, "/%s\nyours, edited from version %d:", strings.Join(c.paths, ", /"), r.Base)
	writeChanges(&b, settings.DiffRecords(base, selectPaths(mine, c.paths)))
	fmt.Fprintf(&b, "\ntheirs, up to version %d by %q, %q:", v.Number, v.Operator, v.Message)
	writeChanges(&b, settings.DiffRecords(base, theirs))

	return ErrConflict.With("%s", b.String())
}

func writeChanges(b *strings.Builder, list []settings.Change) {
	for _, c := range list {
		b.WriteString("\n  " + c.String())
	}
}

func selectPaths[M ~map[string]V, V any](m M, paths []string) M {
	out := M{}

	for _, path := range paths {
		if v, ok := m[path]; ok {
			out[path] = v
		}
	}

	return out
}
