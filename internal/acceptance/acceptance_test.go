package acceptance_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/platform/etcd"
	standin "github.com/pollencart/pollencart/internal/standin/platform"
	"github.com/pollencart/pollencart/pkg/settings"
)

// fixture is an acceptor on a stand-in of the platform.
type fixture struct {
	*testing.T

	platform *standin.Platform
	acceptor *acceptance.Acceptor
}

func newFixture(t *testing.T) fixture {
	t.Helper()

	p := standin.New()
	s := httptest.NewServer(p.Handler())
	t.Cleanup(s.Close)

	return fixture{t, p, acceptance.New(etcd.New(etcd.Endpoints(s.URL), etcd.Timeout(time.Second)))}
}

// services returns a tree of n services with one route each.
func services(n int) settings.Tree {
	t := settings.Tree{}
	t.Branches = map[string]settings.Branch{}

	for i := range n {
		t.Branches[fmt.Sprintf("s%03d", i)] = settings.Branch{
			Service: &settings.Service{Slots: 10, Connections: 100},
			Routes: map[string]settings.Route{
				"open": {Match: settings.Match{Method: "GET", PathPrefix: fmt.Sprintf("/s%03d/", i)}},
			},
		}
	}

	return t
}

// withDeadline returns a copy of the tree with the deadline set on one branch.
func withDeadline(t settings.Tree, name string, d time.Duration) settings.Tree {
	next := settings.Tree{Branch: t.Branch}
	next.Branches = map[string]settings.Branch{}

	for k, v := range t.Branches {
		next.Branches[k] = v
	}

	b := next.Branches[name]
	deadline := settings.Duration(d)
	b.Overrides.Deadline = &deadline
	next.Branches[name] = b

	return next
}

func (b fixture) accept(id string, base uint64, tree settings.Tree) (settings.Version, error) {
	return b.acceptor.Accept(b.Context(), acceptance.Request{ID: id, Base: base, Tree: tree, Operator: id, Message: "by " + id})
}

func (b fixture) first(tree settings.Tree) settings.Version {
	b.Helper()

	v, err := b.accept("first", 0, tree)
	assert.NilError(b, err)

	return v
}

func (b fixture) accepted() *settings.Snapshot {
	b.Helper()

	head, _, err := b.acceptor.Head(b.Context())
	assert.NilError(b, err)

	s, err := b.acceptor.Snapshot(b.Context(), head.Version, nil)
	assert.NilError(b, err)

	return s
}

// Eight operators edit eight branches from the same version at the same time and
// each gets "accepted". If one swap overwrote another, an accepted change would
// silently be active on no node.
func TestRaceOnDifferentBranchesKeepsEveryEdit(t *testing.T) {
	b := newFixture(t)
	tree := services(8)
	base := b.first(tree).Number

	var wg sync.WaitGroup

	for i := range 8 {
		wg.Go(func() {
			name := fmt.Sprintf("s%03d", i)
			_, err := b.accept(name, base, withDeadline(tree, name, time.Second))
			assert.Check(t, err)
		})
	}

	wg.Wait()

	s := b.accepted()
	assert.Equal(t, s.Version().Number, base+8)

	for name, branch := range s.Tree().Branches {
		assert.Assert(t, branch.Overrides.Deadline != nil, "%s lost its edit", name)
	}
}

// Two operators change the same branch from the same version. The second gets a
// conflict with the changes of both sides; accepting it would silently discard the
// first change.
func TestRaceOnOneBranchReportsBothSides(t *testing.T) {
	b := newFixture(t)
	tree := services(2)
	base := b.first(tree).Number

	_, err := b.accept("anna", base, withDeadline(tree, "s000", 3*time.Second))
	assert.NilError(t, err)

	_, err = b.accept("bert", base, withDeadline(tree, "s000", 4*time.Second))
	assert.ErrorIs(t, err, acceptance.ErrConflict)
	golden.Assert(t, err.Error(), "conflict.golden")
}

// Each edit is valid alone: one removes a service, the other adds a route to it.
// Together they would route calls to a service that does not exist.
func TestEditsThatAreInvalidTogetherAreRejected(t *testing.T) {
	b := newFixture(t)
	tree := services(3)
	base := b.first(tree).Number

	less := settings.Tree{}
	less.Branches = map[string]settings.Branch{"s000": tree.Branches["s000"], "s001": tree.Branches["s001"]}
	_, err := b.accept("less", base, less)
	assert.NilError(t, err)

	service := "s002"
	crossed := withDeadline(tree, "s001", time.Second)
	branch := crossed.Branches["s001"]
	branch.Overrides.Service = &service
	crossed.Branches["s001"] = branch

	_, err = b.accept("crossed", base, crossed)
	assert.ErrorIs(t, err, settings.ErrInvalid)
	assert.ErrorContains(t, err, `service "s002" is not declared`)
}

// The platform loses a write or only its answer, at each write of an acceptance in
// turn. Treating a lost answer as a failure would make the operator accept twice;
// treating a lost write as a success would report a version that is active on no
// node.
func TestLostAnswersAndLostWritesAreDistinguished(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
	}{
		{"answer to the branches", standin.Faults{LoseAnswers: 1}},
		{"answer to the swap", standin.Faults{LoseAnswers: 1, SpareWrites: 1}},
		{"branches", standin.Faults{LoseWrites: 1}},
		{"swap", standin.Faults{LoseWrites: 1, SpareWrites: 1}},
		{"answers to both", standin.Faults{LoseAnswers: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t)
			tree := services(3)
			base := b.first(tree).Number

			b.platform.SetFaults(c.faults)

			v, err := b.accept("second", base, withDeadline(tree, "s000", time.Second))
			assert.NilError(t, err)
			assert.Equal(t, v.Number, base+1)

			history, err := b.acceptor.History(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, len(history), 2, "accepted twice")
			assert.Equal(t, b.accepted().Version().Digest, v.Digest)
		})
	}
}

// The platform goes down before it answers the swap, so the outcome is unknown.
// A retry with the same ID after the outage yields exactly one version, whether or
// not the swap took effect.
func TestRetryWithTheSameIDResolvesAnOutageDuringTheSwap(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
	}{
		{"swap took effect", standin.Faults{LoseAnswers: 1, SpareWrites: 1, DownAfterLoss: true}},
		{"swap was lost", standin.Faults{LoseWrites: 1, SpareWrites: 1, DownAfterLoss: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t)
			tree := services(3)
			base := b.first(tree).Number
			next := withDeadline(tree, "s000", time.Second)

			b.platform.SetFaults(c.faults)

			_, err := b.accept("second", base, next)
			assert.ErrorIs(t, err, acceptance.ErrUnknown)
			assert.ErrorContains(t, err, "ID second")

			// A retry during the outage leaves the outcome unknown.
			retry := acceptance.Request{ID: "second", Again: true, Base: base, Tree: next}
			_, err = b.acceptor.Accept(t.Context(), retry)
			assert.ErrorIs(t, err, acceptance.ErrUnknown)

			b.platform.SetFaults(standin.Faults{})

			v, err := b.acceptor.Accept(t.Context(), retry)
			assert.NilError(t, err)
			assert.Equal(t, v.Number, base+1)
			assert.Equal(t, b.accepted().Version().Number, base+1)
		})
	}
}

// The platform is down from the start, so nothing can have been accepted.
// ErrUnknown would make the operator retry needlessly.
func TestOutageBeforeTheSwapIsReportedAsNotAccepted(t *testing.T) {
	b := newFixture(t)
	base := b.first(services(2)).Number

	b.platform.SetFaults(standin.Faults{Down: true})

	_, err := b.accept("second", base, services(3))
	assert.ErrorIs(t, err, acceptance.ErrOutage)
}

// An operator whose answer was lost retries after so many other versions that the
// history contains neither the ID nor the base. Without the outcome record of the
// ID, the accepted version would be reported as not accepted.
func TestRetryResolvesAnIDThatLeftTheHistory(t *testing.T) {
	b := newFixture(t)
	tree := services(2)
	first := b.first(tree)

	const versions = 70
	for i := range versions {
		_, err := b.accept(fmt.Sprintf("v%d", i), first.Number+uint64(i), withDeadline(tree, "s000", time.Second+time.Duration(i)))
		assert.NilError(t, err)
	}

	history, err := b.acceptor.History(t.Context())
	assert.NilError(t, err)

	_, found := history.ID("first")
	assert.Assert(t, !found)

	v, err := b.accept("first", 0, tree)
	assert.NilError(t, err)
	assert.Equal(t, v.Number, first.Number)
	assert.Equal(t, b.accepted().Version().Number, first.Number+versions)
}

// The platform is restored from an older copy while nodes store newer versions. A
// version based on the old head would get a number that no node adopts: it would be
// reported as accepted and active on no node.
func TestRestoredOlderCopyIsRepairedBeforeTheNextAcceptance(t *testing.T) {
	b := newFixture(t)
	tree := services(3)
	b.first(tree)

	olderCopy := b.platform.Snapshot()

	second := withDeadline(tree, "s000", time.Second)
	_, err := b.accept("second", 1, second)
	assert.NilError(t, err)

	known := acceptance.Known{Snapshot: b.accepted()}
	known.Versions, err = b.acceptor.History(t.Context())
	assert.NilError(t, err)

	b.platform.Restore(olderCopy)

	v, err := b.acceptor.Accept(t.Context(), acceptance.Request{
		ID: "third", Base: 2, Tree: withDeadline(second, "s001", time.Second), Known: known,
	})
	assert.NilError(t, err)
	assert.Equal(t, v.Number, uint64(3))
	assert.Assert(t, b.accepted().Tree().Branches["s000"].Overrides.Deadline != nil, "the second version reverted")

	// A retry with the ID of a version that the copy lacked is resolved too.
	v, err = b.accept("second", 1, second)
	assert.NilError(t, err)
	assert.Equal(t, v.Number, uint64(2))
}

// The platform is restored from an older copy, and before any node repairs it, an
// operator accepts through a node that lacks the newer version. Both operators got
// "accepted", so both changes are kept.
func TestVersionAcceptedOnAnOlderCopyIsKeptByRepair(t *testing.T) {
	b := newFixture(t)
	tree := services(3)
	b.first(tree)

	olderCopy := b.platform.Snapshot()

	_, err := b.accept("second", 1, withDeadline(tree, "s000", time.Second))
	assert.NilError(t, err)

	known := acceptance.Known{Snapshot: b.accepted()}
	known.Versions, err = b.acceptor.History(t.Context())
	assert.NilError(t, err)

	b.platform.Restore(olderCopy)

	_, err = b.accept("fork", 1, withDeadline(tree, "s001", time.Second))
	assert.NilError(t, err)

	out, err := b.acceptor.Repair(t.Context(), known)
	assert.NilError(t, err)
	assert.Equal(t, len(out.Lost), 0)

	s := b.accepted()
	assert.Equal(t, s.Version().Number, uint64(3))
	assert.Assert(t, s.Tree().Branches["s000"].Overrides.Deadline != nil, "the second version reverted")
	assert.Assert(t, s.Tree().Branches["s001"].Overrides.Deadline != nil, "the version on the older copy reverted")
}

// Both operators change the same branch, before and after the restore from an older
// copy; in the second round the numbers on the copy exceed the lost one. Only one
// change can be kept: the repair reports the other as lost, and no two nodes store
// different trees under one number.
func TestRepairReportsConflictWithAnOlderCopy(t *testing.T) {
	for overtaken := range 2 {
		b := newFixture(t)
		tree := services(3)
		b.first(tree)

		olderCopy := b.platform.Snapshot()

		_, err := b.accept("second", 1, withDeadline(tree, "s000", time.Second))
		assert.NilError(t, err)

		known := acceptance.Known{Snapshot: b.accepted()}
		known.Versions, err = b.acceptor.History(t.Context())
		assert.NilError(t, err)

		b.platform.Restore(olderCopy)

		_, err = b.accept("clash", 1, withDeadline(tree, "s000", 9*time.Second))
		assert.NilError(t, err)

		if overtaken == 1 {
			_, err = b.accept("more", 2, withDeadline(tree, "s000", 8*time.Second))
			assert.NilError(t, err)
		}

		out, err := b.acceptor.Repair(t.Context(), known)
		assert.NilError(t, err)
		assert.Equal(t, len(out.Lost), 1)
		assert.Equal(t, out.Lost[0].AcceptanceID, "second")
		assert.Equal(t, b.accepted().Version().Number, uint64(3))

		// A repair by a second node changes nothing.
		known.Snapshot = b.accepted()
		known.Versions = known.Versions.With(known.Snapshot.Version())
		out, err = b.acceptor.Repair(t.Context(), known)
		assert.NilError(t, err)
		assert.Equal(t, len(out.Lost), 0)
		assert.Equal(t, b.accepted().Version().Number, uint64(3))
	}
}

// A tree over one megabyte does not fit into one value, but its branches do. The
// platform limits the rate of calls, so hundreds of branches take only a few.
func TestTreeOverOneMegabyteTakesFewPlatformCalls(t *testing.T) {
	b := newFixture(t)
	tree := services(310)

	for name, branch := range tree.Branches {
		for i := range 60 {
			branch.Routes[fmt.Sprintf("r%02d-%s", i, strings.Repeat("x", 20))] = settings.Route{
				Match: settings.Match{Method: "GET", PathPrefix: fmt.Sprintf("/%s/%d/", name, i)},
			}
		}
	}

	before := b.platform.Counts()
	v := b.first(tree)
	written := b.platform.Counts()

	assert.Assert(t, written.Writes-before.Writes <= 12, "%d writes", written.Writes-before.Writes)

	records := b.accepted().Records()
	size := 0

	for _, data := range records {
		size += len(data)
	}

	read := b.platform.Counts().Reads - written.Reads

	assert.Assert(t, size > platform.MaxValue, "%d bytes", size)
	assert.Assert(t, read <= 8, "%d reads", read)
	assert.Equal(t, b.accepted().Version().Digest, v.Digest)

	// A change of one leaf takes two calls: one for the branch and the manifest,
	// one for the head.
	before = b.platform.Counts()
	_, err := b.accept("leaf", v.Number, withDeadline(tree, "s000", time.Second))
	assert.NilError(t, err)
	assert.Equal(t, b.platform.Counts().Writes-before.Writes, int64(2))
}

func TestErrorNamesABranchOverOneMegabyte(t *testing.T) {
	b := newFixture(t)
	tree := services(1)

	for i := range 20_000 {
		tree.Branches["s000"].Routes[fmt.Sprintf("r%06d", i)] = settings.Route{
			Match: settings.Match{Method: "GET", PathPrefix: fmt.Sprintf("/a-rather-long-prefix/%06d/", i)},
		}
	}

	_, err := b.accept("first", 0, tree)
	assert.ErrorIs(t, err, platform.ErrTooLarge)
	assert.ErrorContains(t, err, "branch /s000 has")
}

func TestInvalidAcceptanceIDIsRejected(t *testing.T) {
	b := newFixture(t)

	for _, id := range []string{"", "a/b", strings.Repeat("x", 65)} {
		_, err := b.accept(id, 0, services(1))
		assert.ErrorIs(t, err, acceptance.ErrID)
	}
}

// The context ends while the platform is slow. Accept returns an error that says
// whether the tree may have been accepted.
func TestAcceptReportsAnOutcomeWhenItsContextEnds(t *testing.T) {
	b := newFixture(t)
	base := b.first(services(1)).Number

	b.platform.SetFaults(standin.Faults{SlowMs: 200})

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()

	_, err := b.acceptor.Accept(ctx, acceptance.Request{ID: "slow", Base: base, Tree: services(2)})
	assert.Assert(t, errors.Is(err, acceptance.ErrOutage) || errors.Is(err, acceptance.ErrUnknown), "%v", err)
}
