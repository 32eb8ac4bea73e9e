package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// request is one requester attempt as its requester saw it.
type request struct {
	id      string
	host    *host
	line    string
	sent    time.Time
	limit   time.Duration
	ended   time.Time
	status  int // 0: the connection ended without a complete answer
	signed  bool
	body    string
	failure string
}

// record keeps what was sent, answered and run.
type record struct {
	file  *os.File
	began time.Time

	mu       sync.Mutex
	requests []*request
	runs     []*run
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)

	return &record{file: f, began: time.Now()}, err
}

func (r *record) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.began).Seconds()) }

func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	line := r.at(time.Now()) + "  " + fmt.Sprintf(format, values...)
	_, _ = fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

func (r *record) begin(x run) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.runs = append(r.runs, &x)

	return len(r.runs) - 1
}

func (r *record) end(n int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.runs[n].ended, r.runs[n].how = time.Now(), how
}

func (r *record) add(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.requests = append(r.requests, q)
}

// runsOf returns the runs by request.
func (r *record) runsOf() map[string][]*run {
	r.mu.Lock()
	defer r.mu.Unlock()

	out := map[string][]*run{}
	for _, x := range r.runs {
		out[x.id] = append(out[x.id], x)
	}

	return out
}

// write writes what was sent, answered and run to the end of the file.
func (r *record) write() {
	runs := r.runsOf()

	r.mu.Lock()
	defer r.mu.Unlock()

	_, _ = fmt.Fprintln(r.file, "\nrequests, by time of sending (seconds from the start of the script)")

	for _, q := range r.requests {
		outcome := fmt.Sprintf("%d", q.status)
		if q.status == 0 {
			outcome = "no answer: " + q.failure
		}

		if q.status != 0 && !q.signed {
			outcome += " of the node: " + q.body
		}

		_, _ = fmt.Fprintf(r.file, "%s  %s  %s at %s, limit %v, ended %s: %s\n", r.at(q.sent), q.id, q.line, q.host.name, q.limit, r.at(q.ended), outcome)

		for _, x := range runs[q.id] {
			ended := "still at work"
			if !x.ended.IsZero() {
				ended = r.at(x.ended) + " " + x.how
			}

			_, _ = fmt.Fprintf(r.file, "          run by %s from %s to %s\n", x.upstream, r.at(x.began), ended)
		}
	}
}
