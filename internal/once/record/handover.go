package record

import (
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/once/bloom"
)

// Row is one record as it is handed to the next home of an opaque key.
type Row struct {
	ID      string        `msgpack:"ID"`
	Digest  Digest        `msgpack:"Digest"`
	Answer  *call.Answer  `msgpack:"Answer,omitempty"`
	Refusal *call.Refusal `msgpack:"Refusal,omitempty"`
	Dropped bool          `msgpack:"Dropped"`
}

// OpenOpaque returns how many opaque keys have not ended.
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

// Rows returns the opaque records that are wanted. One that has not ended gets
// the outcome that is given: its run goes on here, where nobody asks any more.
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

// Adopt puts in the records of another home; it reports false if they do not
// fit.
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
		r.outcome = t.fit(Outcome{Answer: p.Answer, Refusal: p.Refusal, Dropped: p.Dropped})
		t.records[p.ID] = r
		t.lists[t.generation] = append(t.lists[t.generation], r)
	}

	return true
}

// Filter returns a copy of the dropped opaque keys.
func (t *Table) Filter() bloom.Filter {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.dropped.Clone()
}

// AdoptFilter adds the dropped opaque keys of another home.
func (t *Table) AdoptFilter(f bloom.Filter) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.dropped.Union(f)
}
