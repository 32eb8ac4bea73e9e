package record

import (
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/once/bloom"
)

// Row is a record as it is handed over to the next owner of an opaque key.
type Row struct {
	ID      string        `msgpack:"ID"`
	Digest  Digest        `msgpack:"Digest"`
	Answer  *call.Answer  `msgpack:"Answer,omitempty"`
	Refusal *call.Refusal `msgpack:"Refusal,omitempty"`
	Dropped bool          `msgpack:"Dropped"`
}

// OpenOpaque returns the number of opaque keys whose runs have not ended.
func (t *Table) OpenOpaque() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	n := 0

	for _, r := range t.records {
		if r.opaque && !r.settled {
			n++
		}
	}

	return n
}

// Rows returns the opaque records that match wanted. A record that is not settled gets the refusal
// open as its outcome: its run continues here, where no node forwards the key any more.
func (t *Table) Rows(wanted func(id string) bool, open *call.Refusal) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()

	var out []Row

	for _, r := range t.records {
		if !r.opaque || !wanted(r.id) {
			continue
		}

		p := Row{ID: r.id, Digest: r.digest, Answer: r.outcome.Answer, Refusal: r.outcome.Refusal, Dropped: r.outcome.Dropped}
		if !r.settled {
			p.Refusal = open
		}

		out = append(out, p)
	}

	return out
}

// Adopt adds the records of another owner. It reports false, and adds none, if they exceed the
// limit of the table.
func (t *Table) Adopt(rows []Row) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if len(t.records)+len(rows) > t.options.Records {
		return false
	}

	for _, p := range rows {
		if t.records[p.ID] != nil {
			continue
		}

		r := &Record{id: p.ID, opaque: true, digest: p.Digest, settled: true}
		r.outcome = t.limitBody(Outcome{Answer: p.Answer, Refusal: p.Refusal, Dropped: p.Dropped})
		t.records[p.ID] = r
		t.byGeneration[t.generation] = append(t.byGeneration[t.generation], r)
	}

	return true
}

// Filter returns a copy of the Bloom filter of dropped opaque keys.
func (t *Table) Filter() bloom.Filter {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.dropped.Clone()
}

// AdoptFilter adds the dropped opaque keys of another owner.
func (t *Table) AdoptFilter(f bloom.Filter) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.dropped.Union(f)
}
