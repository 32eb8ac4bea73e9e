package poison

import (
	"slices"
	"time"
)

// crashRecord is a crash during which the request was in flight. A record stays after the
// request is exonerated: a gate that missed the exoneration would otherwise report the
// crash again, and a popular request would be refused for a crash that another request
// caused.
type crashRecord struct {
	crash      Crash
	exonerated bool
}

type entry struct {
	suspect Suspect
	crashes []crashRecord
	until   time.Time
	// began is when the call that crashed here began, zero if it crashed elsewhere.
	began time.Time
	// revision is the table revision at the last change that this gate reports to the
	// others; 0 if the request is known only from reports of other gates.
	revision uint64
	// archived reports that the archive has the request.
	archived bool
}

// refused reports whether the request is refused at a time.
func (e *entry) refused(now time.Time) bool { return now.Before(e.until) && len(e.counted()) >= Limit }

// counted returns the crashes that the request is not exonerated of.
func (e *entry) counted() []Crash {
	var out []Crash

	for _, k := range e.crashes {
		if !k.exonerated {
			out = append(out, k.crash)
		}
	}

	return out
}

// maxCrashRecords bounds the crash records of one request. A refused request has two that
// count; a popular one may have more, all exonerated.
const maxCrashRecords = 8

// merge adds a crash record and reports whether it changed the entry.
func (e *entry) merge(r crashRecord) bool {
	i := slices.IndexFunc(e.crashes, func(k crashRecord) bool { return k.crash == r.crash })
	if i >= 0 {
		changed := r.exonerated && !e.crashes[i].exonerated
		e.crashes[i].exonerated = e.crashes[i].exonerated || r.exonerated

		return changed
	}

	if len(e.crashes) >= maxCrashRecords {
		i = slices.IndexFunc(e.crashes, func(k crashRecord) bool { return k.exonerated })
		if i < 0 {
			return false // already refused
		}

		e.crashes = slices.Delete(e.crashes, i, i+1)
	}

	e.crashes = append(e.crashes, r)

	return true
}

func evictsBefore(a, b *entry) bool {
	if x, y := min(len(a.counted()), Limit), min(len(b.counted()), Limit); x != y {
		return x < y
	}

	return a.until.Before(b.until)
}
