package timeline

import (
	"fmt"
	"time"
)

// Collapse merges entries that report the same event about the same node or version on
// several nodes into the first of them. When a node fails, every other node records
// it; in a fleet of thousands these entries would hide all others.
func Collapse(entries []Entry) []Entry {
	var out []Entry

	groups := map[groupKey]int{}
	merged := map[int]*duplicates{}

	for _, e := range entries {
		s := groupKey{number: e.Number, peer: e.Peer, version: e.Version}

		if at, ok := groups[s]; ok && sameOccurrence(out[at], e) {
			merged[at].add(e)

			continue
		}

		groups[s] = len(out)
		merged[len(out)] = &duplicates{}
		out = append(out, e)
	}

	for at, o := range merged {
		out[at].Detail += o.text(out[at])
	}

	return out
}

// groupKey holds the fields that merged entries have in common.
type groupKey struct {
	number  int
	peer    string
	version uint64
}

// collapseWindow is the maximum time between the first and the last merged entry.
const collapseWindow = 10 * time.Second

func sameOccurrence(first, e Entry) bool {
	if e.Call != "" || e.Key != "" || (e.Peer == "" && e.Version == 0) || e.Node == first.Node {
		return false
	}

	return time.Duration(e.Stamp.WallMs-first.Stamp.WallMs)*time.Millisecond < collapseWindow
}

type duplicates struct {
	count int
	last  Stamp
}

func (s *duplicates) add(e Entry) {
	s.count++
	s.last = e.Stamp
}

func (s *duplicates) text(first Entry) string {
	if s.count == 0 {
		return ""
	}

	return fmt.Sprintf(" [and on %d more nodes within %d ms]", s.count, s.last.WallMs-first.Stamp.WallMs)
}
