package timeline

import (
	"fmt"
	"time"
)

// Collapse joins entries that say the same of the same node or version on many
// nodes at about the same time into the first of them. When one node dies, every
// other one tells so; at thousands of nodes nothing else could be seen.
func Collapse(entries []Entry) []Entry {
	var out []Entry

	groups := map[subject]int{}
	others := map[int]*spread{}

	for _, e := range entries {
		s := subject{number: e.Number, peer: e.Peer, version: e.Version}

		if at, ok := groups[s]; ok && joins(out[at], e) {
			others[at].add(e)

			continue
		}

		groups[s] = len(out)
		others[len(out)] = &spread{}
		out = append(out, e)
	}

	for at, o := range others {
		out[at].Detail += o.text(out[at])
	}

	return out
}

// subject is what entries must have in common.
type subject struct {
	number  int
	peer    string
	version uint64
}

// apart is how far entries of one happening lie apart at the most.
const apart = 10 * time.Second

func joins(first, e Entry) bool {
	if e.Call != "" || e.Key != "" || (e.Peer == "" && e.Version == 0) || e.Node == first.Node {
		return false
	}

	return time.Duration(e.Stamp.WallMs-first.Stamp.WallMs)*time.Millisecond < apart
}

type spread struct {
	count int
	last  Stamp
}

func (s *spread) add(e Entry) {
	s.count++
	s.last = e.Stamp
}

func (s *spread) text(first Entry) string {
	if s.count == 0 {
		return ""
	}

	return fmt.Sprintf(" [and on %d more nodes within %d ms]", s.count, s.last.WallMs-first.Stamp.WallMs)
}
