package acceptance

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pollencart/pollencart/pkg/settings"
)

// rebase puts the operator's changes on top of what others accepted meanwhile.
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

	if both := conflicts(own, changes(base, theirs), digests, theirs); len(both) > 0 {
		return nil, a.conflict(ctx, r, s, mine, sides{paths: both, base: base, theirs: theirs})
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

	// Two edits that are right by themselves can be wrong together: one removes
	// a service, the other adds a route to it.
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

// changes returns the paths at which the digests differ, in order.
func changes(from, to map[string]settings.Digest) []string {
	all := maps.Clone(from)
	maps.Copy(all, to)

	return slices.DeleteFunc(slices.Sorted(maps.Keys(all)), func(path string) bool { return from[path] == to[path] })
}

// conflicts returns the paths that both sides changed to something different.
func conflicts(own, other []string, mine, theirs map[string]settings.Digest) []string {
	var both []string

	for _, path := range own {
		if slices.Contains(other, path) && mine[path] != theirs[path] {
			both = append(both, path)
		}
	}

	return both
}

// sides is what two operators made of the same branches.
type sides struct {
	paths        []string
	base, theirs map[string]settings.Digest
}

// conflict tells the second operator what both sides changed, value by value;
// with the paths alone nobody could decide without asking the other.
func (a *Acceptor) conflict(ctx context.Context, r Request, s state, mine settings.Records, c sides) error {
	base, err := a.Records(ctx, only(c.base, c.paths), nil)
	if err != nil {
		return err
	}

	theirs, err := a.Records(ctx, only(c.theirs, c.paths), nil)
	if err != nil {
		return err
	}

	var b strings.Builder

	v := s.head.Version
	fmt.Fprintf(&b, "/%s\nyours, edited from version %d:", strings.Join(c.paths, ", /"), r.Base)
	lines(&b, settings.DiffRecords(base, only(mine, c.paths)))
	fmt.Fprintf(&b, "\ntheirs, up to version %d by %q, %q:", v.Number, v.Operator, v.Message)
	lines(&b, settings.DiffRecords(base, theirs))

	return ErrConflict.With("%s", b.String())
}

func lines(b *strings.Builder, list []settings.Change) {
	for _, c := range list {
		b.WriteString("\n  " + c.String())
	}
}

func only[M ~map[string]V, V any](m M, paths []string) M {
	out := M{}

	for _, path := range paths {
		if v, ok := m[path]; ok {
			out[path] = v
		}
	}

	return out
}
