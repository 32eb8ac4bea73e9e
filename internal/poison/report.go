package poison

import "time"

// Report is what one gate reports to another about one suspect.
type Report struct {
	// Age is the time since the call that crashed at the reporting gate began, 0 if the
	// crash was elsewhere.
	Age     time.Duration `msgpack:"Age"`
	Suspect Suspect       `msgpack:"Suspect"`
	Crashes []Crash       `msgpack:"Crashes"`
	// Exonerated are the crashes that the request did not cause.
	Exonerated []Crash `msgpack:"Cleared"`
	// Left is the remaining time of the suspicion.
	Left time.Duration `msgpack:"Left"`
}

func (e *entry) report(now time.Time) Report {
	r := Report{Suspect: e.suspect, Crashes: e.counted(), Left: e.until.Sub(now)}

	for _, k := range e.crashes {
		if k.exonerated {
			r.Exonerated = append(r.Exonerated, k.crash)
		}
	}

	if !e.began.IsZero() {
		r.Age = now.Sub(e.began)
	}

	return r
}

// Reports returns all known suspects, for a gate that has just started.
func (t *Table) Reports() []Report {
	out, _ := t.reports(func(*entry) bool { return true })

	return out
}

// Known returns what this gate knows of the requests in the given reports.
func (t *Table) Known(reports []Report) []Report {
	wanted := map[Digest]bool{}
	for _, r := range reports {
		wanted[r.Suspect.Digest] = true
	}

	out, _ := t.reports(func(e *entry) bool { return wanted[e.suspect.Digest] })

	return out
}

// ReportsSince returns what this gate reports to others after a revision, and the current
// revision.
func (t *Table) ReportsSince(revision uint64) ([]Report, uint64) {
	return t.reports(func(e *entry) bool { return e.revision > revision })
}

func (t *Table) reports(include func(*entry) bool) ([]Report, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Now()

	var out []Report

	for _, e := range t.entries {
		if include(e) && now.Before(e.until) {
			out = append(out, e.report(now))
		}
	}

	return out, t.revision
}

// Revision returns the revision up to which other gates must be notified to know of a
// request.
func (t *Table) Revision(d Digest) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	if e := t.entries[d]; e != nil {
		return e.revision
	}

	return 0
}

// MergeCrashes records crashes that a call or a permit message carried.
func (t *Table) MergeCrashes(s Suspect, crashes []Crash) {
	t.Merge([]Report{{Suspect: s, Crashes: crashes, Left: Hold}})
}

// Merge records the reports of another gate.
func (t *Table) Merge(reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, r := range reports {
		for _, c := range r.Crashes {
			t.record(r.Suspect, crashRecord{crash: c}, r.Left)
		}

		for _, c := range r.Exonerated {
			t.record(r.Suspect, crashRecord{crash: c, exonerated: true}, r.Left)
		}
	}
}
