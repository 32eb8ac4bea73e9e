package hosts

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Report is what a run saw.
type Report struct {
	Seed   uint64
	Faults map[string]int
	// Answers counts what callers got by status, 0 for none.
	Answers map[int]int
	// Stalls is how often the machine itself stood still.
	Stalls int
	// Stops ended by themselves, the longest after LongestStop. Those of processes that
	// were paused or killed meanwhile are left out.
	Stops, StopsLeftOut int
	LongestStop         time.Duration
	LongestAt           string // host and moment of SIGTERM
	// Stayed counts the calls of callers that stay.
	Stayed Stayed
	// Poison counts poison requests.
	Poison Poison
	// Signals counts what backend servers said in their answers.
	Signals Signals
	// Versions counts the versions, and the questions of which one was active.
	Versions Versions
	// Strain counts what happened in a run with strain.
	Strain Strain
	// Answers counts the answers of backend servers in a run with broken ones.
	Answered Answers
	// Crowds counts the clients of a run with crowds.
	Crowds Crowds
	// Broken are the promises that did not hold.
	Broken []string

	mu      sync.Mutex
	uploads map[string]bool
	runs    map[string][]string // the hosts
	calls   []*stayed
	notRun  map[string]bool
	// endless are the calls that a backend server answered without end.
	endless map[string]bool
	// broke are the calls that a backend server answered brokenly, early those that it answered before it read them.
	broke, early map[string]bool
}

// Poison counts poison requests and the backend servers that they crashed.
type Poison struct {
	Requests, Copies, Crashes int
	// InTouch requests crashed one more at a host that could know of two.
	InTouch int
	// Excused are the other ones that crashed more than two, with what was done to their hosts.
	Excused []string
}

func newReport(seed uint64) *Report {
	return &Report{
		Seed: seed, Faults: map[string]int{}, Answers: map[int]int{}, uploads: map[string]bool{}, runs: map[string][]string{},
		notRun: map[string]bool{}, endless: map[string]bool{}, broke: map[string]bool{}, early: map[string]bool{},
	}
}

func (r *Report) fault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.Faults[name]++
}

func (r *Report) answered(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.Answers[status]++
}

func (r *Report) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

func (r *Report) answeredWithoutEnd(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.Strain.Endless.Add(1)

	r.endless[id] = true
}

func (r *Report) answeredBroken(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.Answered.Broken.Add(1)

	r.broke[id] = true
}

func (r *Report) hadBrokenAnswer(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.broke[id]
}

func (r *Report) answeredEarly(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.Answered.Sound.Add(1)

	r.early[id] = true
}

func (r *Report) hadEarlyAnswer(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.early[id]
}

func (r *Report) hadEndlessAnswer(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.endless[id]
}

func (r *Report) upload(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.uploads[id] = true
}

// ran notes that a backend server begins to run a call: an upload once at the most,
// and none whose caller was told that it will never run.
func (r *Report) ran(id, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.runs[id] = append(r.runs[id], host)

	switch {
	case r.uploads[id] && len(r.runs[id]) > 1:
		r.Broken = append(r.Broken, "upload "+id+" ran twice")
	case r.uploads[id] && r.notRun[id]:
		r.Broken = append(r.Broken, "upload "+id+" ran after its caller was told that it will not")
	}
}

func (r *Report) refused(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.notRun[id] = true

	if r.uploads[id] && len(r.runs[id]) > 0 {
		r.Broken = append(r.Broken, "upload "+id+" ran and its caller was told that it did not")
	}
}

// Print writes the report for a person.
func (r *Report) Print(out io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	statuses := make([]int, 0, len(r.Answers))
	for s := range r.Answers {
		statuses = append(statuses, s)
	}

	slices.Sort(statuses)

	if _, err := fmt.Fprintf(out, "seed %d\nfaults %v\nanswers", r.Seed, r.Faults); err != nil {
		return err
	}

	for _, s := range statuses {
		if _, err := fmt.Fprintf(out, " %d: %d", s, r.Answers[s]); err != nil {
			return err
		}
	}

	_, err := fmt.Fprintf(out, "\nplanned stops %d, longest %s (%s), left out %d\nstaying callers %s\n"+
		"uploads %d, stalls of the machine %d, broken %d\n",
		r.Stops, r.LongestStop.Round(time.Millisecond), r.LongestAt, r.StopsLeftOut, r.Stayed, len(r.uploads), r.Stalls, len(r.Broken))

	if err == nil {
		err = r.printChecks(out)
	}

	for _, b := range r.Broken {
		if err == nil {
			_, err = fmt.Fprintln(out, " ", b)
		}
	}

	return err
}

// printChecks writes what was counted in runs with poison requests, signals or versions.
func (r *Report) printChecks(out io.Writer) (err error) {
	if p := r.Poison; p.Requests > 0 {
		_, err = fmt.Fprintf(out, "poison requests %d, copies %d, crashes %d, more than two %d, in touch %d, excused %q\n",
			p.Requests, p.Copies, p.Crashes, p.InTouch+len(p.Excused), p.InTouch, p.Excused)
	}

	if s := r.Signals; err == nil && s.Limits+s.Leavings > 0 {
		_, err = fmt.Fprintf(out, "limits %d, leavings in answers %d, calls checked %d, excused %d, most of what is allowed %.2f\n",
			s.Limits, s.Leavings, s.Checked, s.Excused, s.Most)
	}

	if err == nil && r.Versions.Asked > 0 {
		_, err = fmt.Fprintln(out, r.Versions)
	}

	if err == nil && r.Answered.Long.Load() > 0 {
		_, err = fmt.Fprintln(out, &r.Answered)
	}

	if err == nil && r.Crowds.Clients.Load() > 0 {
		_, err = fmt.Fprintf(out, "%s, most memory of a process %d MB\n", &r.Crowds, r.Strain.Memory.Load()/megabyte)
	}

	if err == nil && r.Strain.Uploads.Load() > 0 {
		_, err = fmt.Fprintln(out, &r.Strain)
	}

	return err
}
