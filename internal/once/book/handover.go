package book

import (
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/once/filter"
)

// Page is one record as it is handed to the next home of an opaque key.
type Page struct {
	ID      string        `msgpack:"ID"`
	Digest  Digest        `msgpack:"Digest"`
	Answer  *call.Answer  `msgpack:"Answer,omitempty"`
	Refusal *call.Refusal `msgpack:"Refusal,omitempty"`
	Dropped bool          `msgpack:"Dropped"`
}

// OpenOpaque returns how many opaque keys have not ended.
func (b *Book) OpenOpaque() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	n := 0

	for _, r := range b.records {
		if r.opaque && !r.settled {
			n++
		}
	}

	return n
}

// Pages returns the opaque records that are wanted. One that has not ended gets
// the outcome that is given: its run goes on here, where nobody asks any more.
func (b *Book) Pages(wanted func(id string) bool, open *call.Refusal) []Page {
	b.mu.Lock()
	defer b.mu.Unlock()

	var out []Page

	for _, r := range b.records {
		if !r.opaque || !wanted(r.id) {
			continue
		}

		p := Page{ID: r.id, Digest: r.digest, Answer: r.outcome.Answer, Refusal: r.outcome.Refusal, Dropped: r.outcome.Dropped}
		if !r.settled {
			p.Refusal = open
		}

		out = append(out, p)
	}

	return out
}

// Adopt puts in the records of another home; it reports false if they do not
// fit.
func (b *Book) Adopt(pages []Page) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if len(b.records)+len(pages) > b.options.Records {
		return false
	}

	for _, p := range pages {
		if b.records[p.ID] != nil {
			continue
		}

		r := &Record{id: p.ID, opaque: true, digest: p.Digest, settled: true}
		r.outcome = b.fit(Outcome{Answer: p.Answer, Refusal: p.Refusal, Dropped: p.Dropped})
		b.records[p.ID] = r
		b.lists[b.generation] = append(b.lists[b.generation], r)
	}

	return true
}

// Filter returns a copy of the dropped opaque keys.
func (b *Book) Filter() filter.Filter {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.dropped.Clone()
}

// AdoptFilter adds the dropped opaque keys of another home.
func (b *Book) AdoptFilter(f filter.Filter) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.dropped.Union(f)
}
