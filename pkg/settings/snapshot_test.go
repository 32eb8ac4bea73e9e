package settings_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pollencart/pollencart/pkg/settings"
)

func tree(services int) settings.Tree {
	t := settings.Tree{}
	t.Branches = map[string]settings.Branch{}

	for i := range services {
		t.Branches[fmt.Sprintf("s%03d", i)] = service(i)
	}

	return t
}

func service(i int) settings.Branch {
	return settings.Branch{
		Service: &settings.Service{Slots: 10 + i, Connections: 100},
		Routes: map[string]settings.Route{
			"open": {Match: settings.Match{Method: "GET", PathPrefix: fmt.Sprintf("/s%03d/", i)}},
			"save": {Match: settings.Match{Method: "PUT", PathPrefix: fmt.Sprintf("/s%03d/", i)}},
		},
	}
}

func snapshot(t assert.TestingT, number uint64, tree settings.Tree) *settings.Snapshot {
	records, err := tree.Records()
	assert.NilError(t, err)

	v := settings.Version{Number: number, Digest: settings.TreeDigest(records.Digests())}
	s, err := settings.NewSnapshot(v, records)
	assert.NilError(t, err)

	return s
}

// Applying changes one by one must give the same snapshot as loading the whole tree.
// Otherwise two nodes with the same version number would route a request differently.
func TestApplyGivesSameSnapshotAsWholeTree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := tree(8)
		current := snapshot(rt, 1, now)

		for step := range rapid.IntRange(1, 6).Draw(rt, "steps") {
			next := settings.Tree{Branch: now.Branch}
			next.Branches = map[string]settings.Branch{}

			for name, b := range now.Branches {
				if rapid.Bool().Draw(rt, "keep") {
					next.Branches[name] = b
				}
			}

			for range rapid.IntRange(0, 3).Draw(rt, "edits") {
				i := rapid.IntRange(0, 12).Draw(rt, "service")
				b := service(i)
				attempts := rapid.IntRange(1, settings.MaxAttempts).Draw(rt, "attempts")
				b.Overrides.Attempts = &attempts
				next.Branches[fmt.Sprintf("s%03d", i)] = b
			}

			whole := snapshot(rt, uint64(step+2), next)
			changed, removed := difference(current, whole)

			got, err := current.Apply(whole.Version(), changed, removed)
			assert.NilError(rt, err)
			assert.DeepEqual(rt, got.Tree(), whole.Tree())
			assert.DeepEqual(rt, got.Version(), whole.Version())

			current, now = got, next
		}
	})
}

func difference(from, to *settings.Snapshot) (settings.Records, []string) {
	changed := settings.Records{}

	for path, data := range to.Records() {
		if string(from.Records()[path]) != string(data) {
			changed[path] = data
		}
	}

	var removed []string

	for path := range from.Records() {
		if _, ok := to.Records()[path]; !ok {
			removed = append(removed, path)
		}
	}

	return changed, removed
}

// A change with a missing branch or a branch of another version must be rejected; the
// digest over all branches detects it.
func TestMixedRecordsAreRejected(t *testing.T) {
	one := snapshot(t, 1, tree(3))
	two := tree(3)
	b := two.Branches["s001"]
	b.Service = &settings.Service{Slots: 1, Connections: 1}
	two.Branches["s001"] = b

	_, err := one.Apply(snapshot(t, 2, two).Version(), nil, nil)
	assert.ErrorIs(t, err, settings.ErrRecord)
}

func BenchmarkOneLeafOf310(b *testing.B) {
	one := tree(310)
	two := tree(310)
	x := two.Branches["s001"]
	x.Service = &settings.Service{Slots: 1, Connections: 1}
	two.Branches["s001"] = x

	from, to := snapshot(b, 1, one), snapshot(b, 2, two)
	changed, removed := difference(from, to)

	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			_, err := settings.NewSnapshot(to.Version(), to.Records())
			assert.NilError(b, err)
		}
	})
	b.Run("change", func(b *testing.B) {
		for b.Loop() {
			_, err := from.Apply(to.Version(), changed, removed)
			assert.NilError(b, err)
		}
	})
}

// The index must find the same route as a scan of all routes for the longest prefix.
func TestMatchUsesLongestPrefixOfMethod(t *testing.T) {
	prefixes := []string{"/", "/a", "/a/", "/ab", "/a/b/", "/a/b/c", "/é/"}
	two := tree(1)
	b := two.Branches["s000"]
	b.Routes = map[string]settings.Route{}

	for i, p := range prefixes {
		b.Routes[fmt.Sprint(i)] = settings.Route{Match: settings.Match{Method: "GET", PathPrefix: p}}
	}

	b.Routes["put"] = settings.Route{Match: settings.Match{Method: "PUT", PathPrefix: "/a/"}}
	two.Branches["s000"] = b
	s := snapshot(t, 1, two)

	rapid.Check(t, func(rt *rapid.T) {
		path := "/" + rapid.StringMatching(`[ab/éc]{0,8}`).Draw(rt, "path")
		want := ""

		for _, p := range prefixes {
			if strings.HasPrefix(path, p) && len(p) > len(want) {
				want = p
			}
		}

		r, ok := s.Match("GET", path)
		assert.Assert(rt, ok)
		assert.Equal(rt, r.Match.PathPrefix, want)
	})

	_, ok := s.Match("PUT", "/ab")
	assert.Assert(t, !ok)

	_, ok = s.Match("DELETE", "/a/")
	assert.Assert(t, !ok)
}

func BenchmarkMatch(b *testing.B) {
	for _, services := range []int{10, 310} {
		s := snapshot(b, 1, tree(services))

		b.Run(fmt.Sprint(services), func(b *testing.B) {
			for b.Loop() {
				s.Match("GET", "/s009/folders/1")
			}
		})
	}
}
