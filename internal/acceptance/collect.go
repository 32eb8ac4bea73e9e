package acceptance

import (
	"slices"

	"github.com/pollencart/pollencart/pkg/settings"
)

// Values are the branch values that a version brought, and those of the version
// before that it does without.
type Values struct {
	Added    []settings.Digest `msgpack:"Added"`
	Replaced []settings.Digest `msgpack:"Replaced"`
}

// valuesOf compares two manifests. A large change is not noted, so that the
// history stays small; its values then stay on the platform.
func valuesOf(from, to map[string]settings.Digest) (Values, bool) {
	const most = 2 * maxChanged

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

	return v, len(v.Added)+len(v.Replaced) <= most
}

func digestSet(manifest map[string]settings.Digest) map[settings.Digest]bool {
	out := make(map[settings.Digest]bool, len(manifest))
	for _, d := range manifest {
		out[d] = true
	}

	return out
}

// record is what the platform holds of the newest versions.
type record struct {
	Versions History           `msgpack:"Versions"`
	Values   map[uint64]Values `msgpack:"Values"`
}

// with returns the record after the next version, and the keys that no version
// in it needs any more.
//
// They are deleted in the transaction of the head. An acceptance that counts on
// such a value meanwhile loses the race for the head, reads it again and writes
// what the new head lacks; a deletion at any other time could take away what a
// head that is just being swapped in needs.
func (r record) with(v settings.Version, values Values, known bool) (record, []string) {
	next := record{Versions: r.Versions.With(v), Values: map[uint64]Values{}}

	for _, kept := range next.Versions {
		if old, ok := r.Values[kept.Number]; ok {
			next.Values[kept.Number] = old
		}
	}

	if known {
		next.Values[v.Number] = values
	}

	last := r.Versions[max(0, len(r.Versions)-1):]
	if len(next.Versions) < historyLength || len(last) == 0 || len(r.Versions) < historyLength {
		return next, nil
	}

	return next, next.unused(last[0])
}

// unused returns the keys of a version that just left the record.
func (r record) unused(gone settings.Version) []string {
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

	if !slices.ContainsFunc(r.Versions, func(v settings.Version) bool { return v.Digest == gone.Digest }) {
		keys = append(keys, manifestPrefix+string(gone.Digest))
	}

	return keys
}
