// Package load is a caller that makes load at a fixed rate, whether or not
// answers come, and checks that each answer belongs to its request.
//
//	report := load.Run(ctx, load.Plan{Nodes: nodes, Requests: requests, Rate: 200, Duration: 5 * time.Second})
package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/standin/backend"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Request is one kind of request in the mix.
type Request struct {
	Name   string
	Method string
	Path   string
	Keyed  bool
	Body   string
	Weight int
	Caller string
	Header map[string]string
}

// OfTree returns one request for each route of a tree.
func OfTree(t settings.Tree) []Request {
	var out []Request

	for _, r := range t.Resolve() {
		q := Request{Name: r.Path, Method: r.Match.Method, Path: r.Match.PathPrefix, Keyed: !r.Values.Idempotent, Weight: 1}
		if q.Method != http.MethodGet {
			q.Body = "body of " + r.Path
		}

		out = append(out, q)
	}

	return out
}

// Plan is what is sent where.
type Plan struct {
	Nodes    []string
	Requests []Request
	Rate     int
	Duration time.Duration
	Timeout  time.Duration
}

// Row is what came of one kind of request.
type Row struct {
	Name       string         `json:"Name"`
	Sent       int            `json:"Sent"`
	Answered   int            `json:"Answered"`
	TurnedAway int            `json:"TurnedAway"`
	Failed     int            `json:"Failed"`
	Wrong      int            `json:"Wrong"`
	Reasons    map[string]int `json:"Reasons,omitempty"`
	P50Ms      float64        `json:"P50Ms"`
	P99Ms      float64        `json:"P99Ms"`
	// AwayP99Ms is how long it took until callers heard that they were turned away.
	AwayP99Ms float64 `json:"AwayP99Ms"`
	// Attempts is how many times nodes sent these calls to gates.
	Attempts int `json:"Attempts"`

	histogram *hdrhistogram.Histogram
	away      *hdrhistogram.Histogram
}

// Report is what came of a run.
type Report struct {
	Rows  []Row          `json:"Rows"`
	Total Row            `json:"Total"`
	Keys  map[string]int `json:"-"`
}

type runner struct {
	plan   Plan
	client *http.Client

	mu    sync.Mutex
	rows  []Row
	total Row
	keys  map[string]int
	homes map[string]string // of keys, by node
}

// Bounds of the latency histogram, in microseconds.
const (
	lowest  = 1
	highest = 60_000_000
	digits  = 3
)

func newRow(name string) Row {
	return Row{Name: name, Reasons: map[string]int{}, histogram: hdrhistogram.New(lowest, highest, digits),
		away: hdrhistogram.New(lowest, highest, digits)}
}

// Run sends the plan's requests and waits for their answers.
func Run(ctx context.Context, p Plan) Report {
	const idle = 256

	if p.Timeout == 0 {
		p.Timeout = 10 * time.Second
	}

	r := &runner{plan: p, keys: map[string]int{}, homes: map[string]string{}, total: newRow("total"), client: &http.Client{
		Timeout: p.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: idle},
	}}
	for _, q := range p.Requests {
		r.rows = append(r.rows, newRow(q.Name))
	}

	r.send(ctx)

	return r.report()
}

func (r *runner) send(ctx context.Context) {
	var (
		wg    sync.WaitGroup
		start = time.Now()
		order = weighted(r.plan.Requests)
		gap   = time.Second / time.Duration(max(r.plan.Rate, 1))
	)

	for n := 0; ctx.Err() == nil; n++ {
		due := time.Duration(n) * gap
		if due >= r.plan.Duration {
			break
		}

		time.Sleep(time.Until(start.Add(due)))

		i, node := order[n%len(order)], r.plan.Nodes[rand.IntN(len(r.plan.Nodes))]

		wg.Go(func() { r.one(ctx, i, node) })
	}

	wg.Wait()
}

func weighted(requests []Request) []int {
	var out []int

	for i, q := range requests {
		for range max(q.Weight, 1) {
			out = append(out, i)
		}
	}

	rand.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })

	return out
}

type outcome struct {
	status  int
	reason  string
	key     string
	wrong   bool
	tries   int
	elapsed time.Duration
}

func (r *runner) one(ctx context.Context, i int, node string) {
	q := r.plan.Requests[i]
	start := time.Now()
	o := r.exchange(ctx, q, node)
	o.elapsed = time.Since(start)

	r.mu.Lock()
	defer r.mu.Unlock()

	r.rows[i].add(o)
	r.total.add(o)

	if o.key != "" {
		r.keys[o.key] = o.status
	}
}

func (w *Row) add(o outcome) {
	w.Sent++
	w.Attempts += o.tries

	switch {
	case o.wrong:
		w.Wrong++
	case o.status == http.StatusOK:
		w.Answered++
		_ = w.histogram.RecordValue(o.elapsed.Microseconds())
	case o.reason != "":
		w.TurnedAway++
		w.Reasons[o.reason]++
		_ = w.away.RecordValue(o.elapsed.Microseconds())
	default:
		w.Failed++
	}
}

func (r *runner) exchange(ctx context.Context, q Request, node string) outcome {
	id := ulid.Make().String()

	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+node+q.Path+id, strings.NewReader(q.Body))
	if err != nil {
		return outcome{}
	}

	req.Header.Set(backend.HeaderEcho, id)

	if q.Caller != "" {
		req.Header.Set(frontend.HeaderCaller, q.Caller)
	}

	for k, v := range q.Header {
		req.Header.Set(k, v)
	}

	o := outcome{}

	if q.Keyed {
		o.key = r.key(node, id)
		req.Header.Set(frontend.HeaderKey, o.key)
		req.GetBody = nil // the transport must not send an upload twice
	}

	resp, err := r.client.Do(req)
	if err != nil {
		return o
	}
	defer func() { _ = resp.Body.Close() }()

	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return o
	}

	o.status = resp.StatusCode
	o.tries, _ = strconv.Atoi(resp.Header.Get(frontend.HeaderAttempts))
	r.learn(node, resp.Header)

	if o.status != http.StatusOK {
		var t frontend.Rejection
		if json.Unmarshal(data, &t) == nil {
			o.reason = t.ID
		}

		return o
	}

	o.wrong = !matches(data, id, q)

	return o
}

// key makes a key that names its home, as callers should; before the first
// answer of a node it leaves that to the node.
func (r *runner) key(node, id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	if home := r.homes[node]; home != "" {
		return home + "." + id
	}

	return ""
}

func (r *runner) learn(node string, h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if home := h.Get(frontend.HeaderHome); home != "" {
		r.homes[node] = home
	}
}

func matches(data []byte, id string, q Request) bool {
	var a backend.Answer
	if json.Unmarshal(data, &a) != nil {
		return false
	}

	sum := sha256.Sum256([]byte(q.Body))

	return a.Echo == id && a.Path == q.Path+id && a.Digest == hex.EncodeToString(sum[:8])
}

func (r *runner) report() Report {
	const (
		us     = 1000
		median = 50
		tail   = 99
	)

	finish := func(w Row) Row {
		w.P50Ms = float64(w.histogram.ValueAtQuantile(median)) / us
		w.P99Ms = float64(w.histogram.ValueAtQuantile(tail)) / us
		w.AwayP99Ms = float64(w.away.ValueAtQuantile(tail)) / us

		return w
	}

	out := Report{Total: finish(r.total), Keys: r.keys}
	for _, w := range r.rows {
		out.Rows = append(out.Rows, finish(w))
	}

	return out
}
