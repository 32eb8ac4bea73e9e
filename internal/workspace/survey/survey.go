// Package survey asks all nodes how much of the limits is used and what the calls of workspaces used, when an operator
// wants to know. No message passes otherwise.
//
// # Usage
//
//	s := survey.New(survey.Options{...})
//	server.Handle(survey.MethodUse, peer.Typed(s.Serve))
//	report := s.Report(ctx)
package survey

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/workspace/usage"
)

// MethodUse is the method by which nodes are asked.
const MethodUse = "Workspace.Use"

const (
	// maxAtOnce bounds the nodes that are asked at once, answerTimeout the wait for each.
	maxAtOnce     = 16
	answerTimeout = time.Second
	// minInterval is how long a report is used again: each asks all nodes.
	minInterval = time.Second
)

// Limit is what a home has counted of a workspace's limit.
type Limit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Workspace string  `msgpack:"Workspace" json:"Workspace"`
	Rate      float64 `msgpack:"Rate" json:"Rate"`
	Burst     float64 `msgpack:"Burst" json:"Burst"`
	Version   uint64  `msgpack:"Version" json:"Version"`
	// Share is the part of the limit that the home grants, Counted the calls granted in the last window.
	Share   float64 `msgpack:"Share" json:"Share"`
	Counted int     `msgpack:"Counted" json:"Counted"`
}

// Ask asks a node for its use.
type Ask struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
}

// Use is what one node has counted.
type Use struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Limits []Limit       `msgpack:"Limits"`
	Counts []usage.Count `msgpack:"Counts"`
}

// Row is a workspace over all nodes.
type Row struct {
	Limit

	// Calls and those below are sums over the entries since their start.
	Calls       uint64  `json:"Calls"`
	OverLimit   uint64  `json:"OverLimit"`
	BelowLimit  uint64  `json:"BelowLimit"`
	SlotSeconds float64 `json:"SlotSeconds"`
}

// Report is the use over all nodes.
type Report struct {
	Node          string    `json:"Node"`
	Time          time.Time `json:"Time"`
	WindowSeconds float64   `json:"WindowSeconds"`
	// Nodes is the number of nodes that answered, Missing the live ones that did not.
	Nodes   int      `json:"Nodes"`
	Missing []string `json:"Missing"`
	Rows    []Row    `json:"Rows"`
}

// Members is the membership view.
type Members interface {
	Self() membership.Record
	Live() []membership.Record
}

// Peers sends requests to other nodes.
type Peers interface {
	DoElsewhere(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Options of a survey.
type Options struct {
	Members Members
	Peers   Peers
	// Window is the window of the limits, 0 if none are kept.
	Window time.Duration
	// Own returns the use at this node.
	Own func() Use
}

// Survey asks all nodes.
type Survey struct {
	options Options

	// asking is full while a report is made; it guards last.
	asking chan struct{}
	last   Report
}

// New returns a survey.
func New(o Options) *Survey { return &Survey{options: o, asking: make(chan struct{}, 1)} }

// Serve answers the survey of another node.
func (s *Survey) Serve(context.Context, Ask) (Use, error) { return s.options.Own(), nil }

// Report returns the use over all nodes that answer. Concurrent calls share a report.
func (s *Survey) Report(ctx context.Context) Report {
	select {
	case s.asking <- struct{}{}:
		defer func() { <-s.asking }()
	case <-ctx.Done():
		return Report{Node: s.options.Members.Self().ID}
	}

	if time.Since(s.last.Time) >= minInterval {
		s.last = s.ask(ctx)
	}

	return s.last
}

func (s *Survey) ask(ctx context.Context) Report {
	self := s.options.Members.Self().ID
	out := Report{Node: self, Time: time.Now(), WindowSeconds: s.options.Window.Seconds(), Missing: []string{}}
	sum := newSum()
	sum.add(s.options.Own())

	out.Nodes = 1

	var (
		mu     sync.Mutex
		asking sync.WaitGroup
	)

	slots := make(chan struct{}, maxAtOnce)

	for _, m := range s.options.Members.Live() {
		if m.ID == self {
			continue
		}

		slots <- struct{}{}

		asking.Go(func() {
			defer func() { <-slots }()

			use, err := s.use(ctx, m.PeerAddress)

			mu.Lock()
			defer mu.Unlock()

			if err != nil {
				out.Missing = append(out.Missing, m.ID)

				return
			}

			out.Nodes++

			sum.add(use)
		})
	}

	asking.Wait()
	slices.Sort(out.Missing)

	out.Rows = sum.rows()

	return out
}

func (s *Survey) use(ctx context.Context, address string) (Use, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()

	var out Use

	err := s.options.Peers.DoElsewhere(ctx, address, peer.LaneControl, MethodUse, Ask{}, &out)

	return out, err
}

// sum adds up what nodes answer.
type sum struct {
	limits map[string]Limit
	counts map[string]usage.Count
}

func newSum() sum { return sum{limits: map[string]Limit{}, counts: map[string]usage.Count{}} }

// add adds the use of a node. Nodes may have counted by different versions; the newest says the limit.
func (s sum) add(u Use) {
	for _, l := range u.Limits {
		all, ok := s.limits[l.Workspace]
		if !ok || l.Version > all.Version {
			all.Workspace, all.Rate, all.Burst, all.Version = l.Workspace, l.Rate, l.Burst, l.Version
		}

		all.Share += l.Share
		all.Counted += l.Counted
		s.limits[l.Workspace] = all
	}

	for _, c := range u.Counts {
		s.counts[c.Workspace] = c.Plus(s.counts[c.Workspace])
	}
}

// rows returns a row for each workspace, the largest by slot time first.
func (s sum) rows() []Row {
	names := map[string]bool{}
	for name := range s.limits {
		names[name] = true
	}

	for name := range s.counts {
		names[name] = true
	}

	out := make([]Row, 0, len(names))

	for name := range names {
		l, c := s.limits[name], s.counts[name]
		l.Workspace = name
		out = append(out, Row{
			Limit: l, Calls: c.Calls, OverLimit: c.OverLimit, BelowLimit: c.BelowLimit,
			SlotSeconds: (time.Duration(c.HeldMs) * time.Millisecond).Seconds(),
		})
	}

	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.SlotSeconds, a.SlotSeconds), cmp.Compare(b.Counted, a.Counted), cmp.Compare(a.Workspace, b.Workspace))
	})

	return out
}
