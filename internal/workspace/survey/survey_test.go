package survey_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/workspace/survey"
	"github.com/pollencart/pollencart/internal/workspace/usage"
)

// fleet answers for nodes by address; an address without a use doesn't answer.
type fleet struct {
	uses map[string]survey.Use
	wait time.Duration

	mu           sync.Mutex
	asked        []string
	atOnce, most int
}

func (f *fleet) Self() membership.Record { return membership.Record{ID: "n0", PeerAddress: "n0"} }

func (f *fleet) Live() []membership.Record {
	out := []membership.Record{f.Self()}
	for i := range 40 {
		id := fmt.Sprintf("n%d", i+1)
		out = append(out, membership.Record{ID: id, PeerAddress: id})
	}

	return out
}

func (f *fleet) DoElsewhere(ctx context.Context, address string, _ peer.Lane, _ string, _, out any) error {
	f.mu.Lock()
	f.asked = append(f.asked, address)
	f.atOnce++
	f.most = max(f.most, f.atOnce)
	f.mu.Unlock()

	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()

		f.atOnce--
	}()

	time.Sleep(f.wait)

	use, ok := f.uses[address]
	if !ok {
		<-ctx.Done()

		return ctx.Err()
	}

	*out.(*survey.Use) = use

	return nil
}

// Homes and entries of a limit are on different nodes, two versions are about, and nodes do not answer.
func TestReportSumsUpAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{uses: map[string]survey.Use{}}
		for _, m := range f.Live()[1:] {
			f.uses[m.ID] = survey.Use{Counts: []usage.Count{{Workspace: "a", Calls: 2, OverLimit: 1, HeldMs: 500}}}
		}

		delete(f.uses, "n39")
		delete(f.uses, "n40")

		f.uses["n1"] = survey.Use{Limits: []survey.Limit{{Workspace: "a", Rate: 40, Burst: 5, Version: 7, Share: 0.7, Counted: 100}}}
		own := survey.Use{
			Limits: []survey.Limit{{Workspace: "a", Rate: 50, Burst: 5, Version: 8, Share: 0.3, Counted: 20}},
			Counts: []usage.Count{{Workspace: "b", Calls: 1, BelowLimit: 1, HeldMs: 90_000}},
		}
		s := survey.New(survey.Options{Members: f, Peers: f, Window: 5 * time.Second, Own: func() survey.Use { return own }})

		r := s.Report(t.Context())
		assert.Equal(t, r.Nodes, 39)
		assert.Assert(t, slices.Equal(r.Missing, []string{"n39", "n40"}))
		assert.Equal(t, len(r.Rows), 2)
		assert.Equal(t, r.Rows[0].Workspace, "b") // holds backend servers longest
		assert.Equal(t, r.Rows[0].SlotSeconds, 90.0)

		a := r.Rows[1]
		assert.Equal(t, a.Calls, uint64(2*37))
		assert.Equal(t, a.OverLimit, uint64(37))
		assert.Equal(t, a.Rate, 50.0)
		assert.Equal(t, a.Counted, 120)
		assert.Equal(t, a.Share, 1.0)
	})
}

// Each report asks all nodes: reports that come in a flood must not become a flood of messages.
func TestFloodOfReportsAsksEachNodeOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{uses: map[string]survey.Use{}, wait: time.Millisecond}
		for _, m := range f.Live() {
			f.uses[m.ID] = survey.Use{}
		}

		s := survey.New(survey.Options{Members: f, Peers: f, Own: func() survey.Use { return survey.Use{} }})

		var readers sync.WaitGroup

		for range 200 {
			readers.Go(func() { s.Report(t.Context()) })
		}

		readers.Wait()
		assert.Equal(t, len(f.asked), 40)
		assert.Assert(t, f.most <= 16, "%d asked at once", f.most)

		time.Sleep(time.Second)
		s.Report(t.Context())
		assert.Equal(t, len(f.asked), 80)
	})
}
