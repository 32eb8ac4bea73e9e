package poison

import "time"

// Report is what one gate tells another of one suspect.
type Report struct {
	// Age is how long ago the call began that crashed at the gate that tells, 0 if it
	// only heard of it.
	Age     time.Duration `msgpack:"Age"`
	Suspect Suspect       `msgpack:"Suspect"`
	Crashes []Crash       `msgpack:"Crashes"`
	// Cleared are crashes that the request was cleared of.
	Cleared []Crash `msgpack:"Cleared"`
	// Left is how long the suspicion lasts.
	Left time.Duration `msgpack:"Left"`
}

func (e *entry) report(now time.Time) Report {
	r := Report{Suspect: e.suspect, Crashes: e.counted(), Left: e.until.Sub(now)}

	for _, k := range e.crashes {
		if k.cleared {
			r.Cleared = append(r.Cleared, k.crash)
		}
	}

	if !e.began.IsZero() {
		r.Age = now.Sub(e.began)
	}

	return r
}

// Reports returns all that is known, for a gate that starts afresh.
func (t *Table) Reports() []Report {
	out, _ := t.reports(func(*entry) bool { return true })

	return out
}

// Known returns what is known of the requests that others report.
func (t *Table) Known(reports []Report) []Report {
	asked := map[Digest]bool{}
	for _, r := range reports {
		asked[r.Suspect.Digest] = true
	}

	out, _ := t.reports(func(e *entry) bool { return asked[e.suspect.Digest] })

	return out
}

// Since returns what this gate saw by itself after a revision, and the revision now.
func (t *Table) Since(revision uint64) ([]Report, uint64) {
	return t.reports(func(e *entry) bool { return e.revision > revision })
}

func (t *Table) reports(takes func(*entry) bool) ([]Report, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()

	var out []Report

	for _, e := range t.entries {
		if takes(e) && now.Before(e.until) {
			out = append(out, e.report(now))
		}
	}

	return out, t.revision
}

// Revision returns up to which revision others have to be told of a request.
func (t *Table) Revision(d Digest) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	if e := t.entries[d]; e != nil {
		return e.revision
	}

	return 0
}

// Heard notes crashes that a call, or a gate that permits, brought the word of.
func (t *Table) Heard(s Suspect, crashes []Crash) {
	t.Merge([]Report{{Suspect: s, Crashes: crashes, Left: Hold}})
}

// Merge takes reports of another gate.
func (t *Table) Merge(reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, r := range reports {
		for _, c := range r.Crashes {
			t.note(r.Suspect, known{crash: c}, r.Left)
		}

		for _, c := range r.Cleared {
			t.note(r.Suspect, known{crash: c, cleared: true}, r.Left)
		}
	}
}
