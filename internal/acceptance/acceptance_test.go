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

// bench is an acceptor on a stand-in of the platform.
type bench struct {
	*testing.T

	platform *standin.Platform
	acceptor *acceptance.Acceptor
}

func start(t *testing.T) bench {
	t.Helper()

	p := standin.New()
	s := httptest.NewServer(p.Handler())
	t.Cleanup(s.Close)

	return bench{t, p, acceptance.New(etcd.New(etcd.Endpoints(s.URL), etcd.Timeout(time.Second)))}
}

// services returns a tree of n services with a route each.
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

// withDeadline returns the tree with the deadline of one branch.
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

func (b bench) accept(id string, base uint64, tree settings.Tree) (settings.Version, error) {
	return b.acceptor.Accept(b.Context(), acceptance.Request{ID: id, Base: base, Tree: tree, Operator: id, Message: "by " + id})
}

func (b bench) first(tree settings.Tree) settings.Version {
	b.Helper()

	v, err := b.accept("first", 0, tree)
	assert.NilError(b, err)

	return v
}

func (b bench) accepted() *settings.Snapshot {
	b.Helper()

	head, _, err := b.acceptor.Head(b.Context())
	assert.NilError(b, err)

	s, err := b.acceptor.Snapshot(b.Context(), head.Version, nil)
	assert.NilError(b, err)

	return s
}

// Eight operators edit eight branches from the same version at the same time.
// Each was told "accepted"; if one swap hid another, that operator's change
// would be in force nowhere and nobody would notice.
func TestRaceOnDifferentBranchesKeepsEveryEdit(t *testing.T) {
	b := start(t)
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

// Two operators change the same branch from the same version. The second one
// must see both sides; were it accepted, the first one's change would be gone
// without a word.
func TestRaceOnOneBranchShowsBothSides(t *testing.T) {
	b := start(t)
	tree := services(2)
	base := b.first(tree).Number

	_, err := b.accept("anna", base, withDeadline(tree, "s000", 3*time.Second))
	assert.NilError(t, err)

	_, err = b.accept("bert", base, withDeadline(tree, "s000", 4*time.Second))
	assert.ErrorIs(t, err, acceptance.ErrConflict)
	golden.Assert(t, err.Error(), "conflict.golden")
}

// Each edit is right by itself: one removes a service, the other sends a route
// to it. Together they would send calls to a service that is not there.
func TestRaceThatIsWrongTogetherIsRefused(t *testing.T) {
	b := start(t)
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

// The platform takes a write and the answer is lost, at each write of an
// acceptance in turn. An acceptor that took this for a failure would have the
// operator accept twice; one that took a lost write for a success would report
// a version that is in force nowhere.
func TestLostAnswersAndLostWritesAreToldApart(t *testing.T) {
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
			b := start(t)
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

// The platform goes down with the answer to the swap. The operator is told that
// the outcome is unknown and asks again with the same ID when it is back: once
// the swap had taken effect, once it had not. Either way there is one version.
func TestOutageDuringTheSwapIsSettledByAskingAgain(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
	}{
		{"swap took effect", standin.Faults{LoseAnswers: 1, SpareWrites: 1, DownAfterLoss: true}},
		{"swap was lost", standin.Faults{LoseWrites: 1, SpareWrites: 1, DownAfterLoss: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := start(t)
			tree := services(3)
			base := b.first(tree).Number
			next := withDeadline(tree, "s000", time.Second)

			b.platform.SetFaults(c.faults)

			_, err := b.accept("second", base, next)
			assert.ErrorIs(t, err, acceptance.ErrUnknown)
			assert.ErrorContains(t, err, "ID second")

			// Asked again while the platform is still down, it is still unknown.
			again := acceptance.Request{ID: "second", Again: true, Base: base, Tree: next}
			_, err = b.acceptor.Accept(t.Context(), again)
			assert.ErrorIs(t, err, acceptance.ErrUnknown)

			b.platform.SetFaults(standin.Faults{})

			v, err := b.acceptor.Accept(t.Context(), again)
			assert.NilError(t, err)
			assert.Equal(t, v.Number, base+1)
			assert.Equal(t, b.accepted().Version().Number, base+1)
		})
	}
}

// The platform is down from the start. "Unknown" would make the operator ask
// again for nothing; what can be said for certain is said.
func TestOutageBeforeTheSwapIsNotAccepted(t *testing.T) {
	b := start(t)
	base := b.first(services(2)).Number

	b.platform.SetFaults(standin.Faults{Down: true})

	_, err := b.accept("second", base, services(3))
	assert.ErrorIs(t, err, acceptance.ErrOutage)
}

// An operator with a lost answer comes back when a hundred other versions were
// accepted. The history has forgotten the ID, and the base; without the record
// of the ID the operator would be told "not accepted" of what was accepted.
func TestAskingAgainSettlesAnIDThatLeftTheHistory(t *testing.T) {
	b := start(t)
	tree := services(2)
	first := b.first(tree)

	const versions = 70
	for i := range versions {
		_, err := b.accept(fmt.Sprintf("v%d", i), first.Number+uint64(i), withDeadline(tree, "s000", time.Second+time.Duration(i)))
		assert.NilError(t, err)
	}

	history, err := b.acceptor.History(t.Context())
	assert.NilError(t, err)

	_, kept := history.ID("first")
	assert.Assert(t, !kept)

	v, err := b.accept("first", 0, tree)
	assert.NilError(t, err)
	assert.Equal(t, v.Number, first.Number)
	assert.Equal(t, b.accepted().Version().Number, first.Number+versions)
}

// The platform comes back from an older copy while nodes hold newer versions.
// A version built on the old head would have a number that no node takes: told
// "accepted" and in force nowhere.
func TestOlderCopyIsRepairedBeforeTheNextAcceptance(t *testing.T) {
	b := start(t)
	tree := services(3)
	b.first(tree)

	old := b.platform.Snapshot()

	second := withDeadline(tree, "s000", time.Second)
	_, err := b.accept("second", 1, second)
	assert.NilError(t, err)

	known := acceptance.Known{Snapshot: b.accepted()}
	known.Versions, err = b.acceptor.History(t.Context())
	assert.NilError(t, err)

	b.platform.Restore(old)

	v, err := b.acceptor.Accept(t.Context(), acceptance.Request{
		ID: "third", Base: 2, Tree: withDeadline(second, "s001", time.Second), Known: known,
	})
	assert.NilError(t, err)
	assert.Equal(t, v.Number, uint64(3))
	assert.Assert(t, b.accepted().Tree().Branches["s000"].Overrides.Deadline != nil, "the second version reverted")

	// The ID of a version that the copy had forgotten is settled too.
	v, err = b.accept("second", 1, second)
	assert.NilError(t, err)
	assert.Equal(t, v.Number, uint64(2))
}

// The platform comes back from an older copy, and before any node has repaired
// it, an operator accepts through a node that was cut off from the newer
// version. Both operators were told "accepted", so both changes have to stand.
func TestVersionAcceptedOnAnOlderCopyIsPutOnTop(t *testing.T) {
	b := start(t)
	tree := services(3)
	b.first(tree)

	old := b.platform.Snapshot()

	_, err := b.accept("second", 1, withDeadline(tree, "s000", time.Second))
	assert.NilError(t, err)

	known := acceptance.Known{Snapshot: b.accepted()}
	known.Versions, err = b.acceptor.History(t.Context())
	assert.NilError(t, err)

	b.platform.Restore(old)

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

// The same, but both changed one branch, and the number on the older copy has
// overtaken the one that was forgotten. One of them can't stand; it is told, and
// no two nodes are left with different trees under one number.
func TestClashWithAnOlderCopyIsTold(t *testing.T) {
	for overtaken := range 2 {
		b := start(t)
		tree := services(3)
		b.first(tree)

		old := b.platform.Snapshot()

		_, err := b.accept("second", 1, withDeadline(tree, "s000", time.Second))
		assert.NilError(t, err)

		known := acceptance.Known{Snapshot: b.accepted()}
		known.Versions, err = b.acceptor.History(t.Context())
		assert.NilError(t, err)

		b.platform.Restore(old)

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

		// A second watcher that repairs too finds nothing to do.
		known.Snapshot = b.accepted()
		known.Versions = known.Versions.With(known.Snapshot.Version())
		out, err = b.acceptor.Repair(t.Context(), known)
		assert.NilError(t, err)
		assert.Equal(t, len(out.Lost), 0)
		assert.Equal(t, b.accepted().Version().Number, uint64(3))
	}
}

// A tree over a megabyte does not fit in one value. Its branches do, and the
// platform counts calls, so that hundreds of branches must not be hundreds.
func TestTreeOverAMegabyteIsAFewCalls(t *testing.T) {
	b := start(t)
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

	// A change of one leaf writes its branch and the manifest in one call, and
	// the head in another.
	before = b.platform.Counts()
	_, err := b.accept("leaf", v.Number, withDeadline(tree, "s000", time.Second))
	assert.NilError(t, err)
	assert.Equal(t, b.platform.Counts().Writes-before.Writes, int64(2))
}

func TestBranchOverAMegabyteIsNamed(t *testing.T) {
	b := start(t)
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

func TestAcceptanceIDIsNeeded(t *testing.T) {
	b := start(t)

	for _, id := range []string{"", "a/b", strings.Repeat("x", 65)} {
		_, err := b.accept(id, 0, services(1))
		assert.ErrorIs(t, err, acceptance.ErrID)
	}
}

// An operator gives up while the platform is slow. The answer comes at once and
// says what is known.
func TestOperatorWhoGivesUpGetsAnAnswer(t *testing.T) {
	b := start(t)
	base := b.first(services(1)).Number

	b.platform.SetFaults(standin.Faults{SlowMs: 200})

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()

	_, err := b.acceptor.Accept(ctx, acceptance.Request{ID: "slow", Base: base, Tree: services(2)})
	assert.Assert(t, errors.Is(err, acceptance.ErrOutage) || errors.Is(err, acceptance.ErrUnknown), "%v", err)
}
