package acceptance

import (
	"slices"

	"github.com/pollencart/pollencart/pkg/settings"
)

// Values are the digests of the branch values that a version added to those of
// the version before it, and of those that it no longer uses.
type Values struct {
	Added    []settings.Digest `msgpack:"Added"`
	Replaced []settings.Digest `msgpack:"Replaced"`
}

// compareValues compares two manifests. It reports whether the change is small
// enough for the history record; the values that a larger change replaces stay on
// the platform.
func compareValues(from, to map[string]settings.Digest) (Values, bool) {
	const maxValues = 2 * maxChanged

	before, after := digestSet(from), digestSet(to)

	var v Values

	for d := range after {
		if !before[d] {
			v.Added = append(v.Added, d)
		}
	}

	for d := range before {
		if !after[d] {
			v.Replaced = append(v.Replaced, d)
		}
	}

	return v, len(v.Added)+len(v.Replaced) <= maxValues
}

func digestSet(manifest map[string]settings.Digest) map[settings.Digest]bool {
	out := make(map[settings.Digest]bool, len(manifest))
	for _, d := range manifest {
		out[d] = true
	}

	return out
}

// record is the history record on the platform: the newest versions and the
// values that each of them added and replaced.
type record struct {
	Versions History           `msgpack:"Versions"`
	Values   map[uint64]Values `msgpack:"Values"`
}

// with returns the record with the next version added, and the keys that no
// version in it needs any more. complete says that values lists the whole change.
//
// The keys are deleted in the transaction that swaps the head. A concurrent
// acceptance that relies on a deleted value loses the race for the head, reads
// the state again and writes the missing values. A deletion at any other time
// could remove a value that a head being swapped in needs.
func (r record) with(v settings.Version, values Values, complete bool) (record, []string) {
	next := record{Versions: r.Versions.With(v), Values: map[uint64]Values{}}

	for _, kept := range next.Versions {
		if old, ok := r.Values[kept.Number]; ok {
			next.Values[kept.Number] = old
		}
	}

	if complete {
		next.Values[v.Number] = values
	}

	last := r.Versions[max(0, len(r.Versions)-1):]
	if len(next.Versions) < historyLength || len(last) == 0 || len(r.Versions) < historyLength {
		return next, nil
	}

	return next, next.unused(last[0])
}

// unused returns the keys that are no longer needed after the version dropped
// left the record. It returns none if the change of a remaining version is not
// recorded, since that version may need any of them.
func (r record) unused(dropped settings.Version) []string {
	needed := map[settings.Digest]bool{}

	for _, v := range r.Versions {
		values, ok := r.Values[v.Number]
		if !ok {
			return nil
		}

		for _, d := range values.Added {
			needed[d] = true
		}
	}

	oldest := r.Versions[len(r.Versions)-1]

	var keys []string

	for _, d := range r.Values[oldest.Number].Replaced {
		if !needed[d] {
			keys = append(keys, branchPrefix+string(d))
		}
	}

	if !slices.ContainsFunc(r.Versions, func(v settings.Version) bool { return v.Digest == dropped.Digest }) {
		keys = append(keys, manifestPrefix+string(dropped.Digest))
	}

	return keys
}
