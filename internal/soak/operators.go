package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// operators edit the tree and accept versions through any node.
type operators struct {
	recorder *recorder
	fleet    *harness.Fleet
	branches []string // services whose branch is edited

	mu       sync.Mutex
	edits    int
	versions map[uint64]accepted
	last     map[string]accepted // newest accepted change of each branch
	open     int                 // acceptances without a final word
	bases    map[baseOf]string   // acceptance by what it replaced
	// refusedIDs are acceptances that were told to have failed, with the reason.
	refusedIDs map[string]string
}

// baseOf is what an edit replaced: a branch as it was in a version.
type baseOf struct {
	branch string
	base   uint64
}

// accepted is a change that an operator was told is accepted.
type accepted struct {
	ID      string
	Branch  string
	Value   int
	Base    uint64
	Version settings.Version
}

func newOperators(r *recorder, f *harness.Fleet) *operators {
	o := &operators{
		recorder: r, fleet: f, versions: map[uint64]accepted{}, last: map[string]accepted{},
		bases: map[baseOf]string{}, refusedIDs: map[string]string{},
	}

	for _, s := range f.Deployment.Services {
		o.branches = append(o.branches, s.Name)
	}

	return o
}

func (o *operators) client() *operator.Client { return o.fleet.Operator(rand.IntN(len(o.fleet.Hosts))) }

// edit is one change on its way.
type edit struct {
	id     string
	branch string
	value  int
	base   uint64
	text   []byte
}

// prepare reads the tree from a node and changes one value of a branch.
func (o *operators) prepare(ctx context.Context, branch string) (edit, error) {
	now, err := o.client().Tree(ctx)
	if err != nil {
		return edit{}, err
	}

	o.mu.Lock()
	o.edits++
	e := edit{id: ulid.Make().String(), branch: branch, value: firstValue + o.edits, base: now.Version.Number}
	o.mu.Unlock()

	if !change(&now.Tree.Branch, branch, e.value) {
		return edit{}, fmt.Errorf("branch %s is not in the tree", branch)
	}

	e.text, err = now.Tree.Text()

	return e, err
}

// firstValue is over the default of the value that is edited.
const firstValue = 1<<20 + 1

func change(b *settings.Branch, name string, value int) bool {
	for child, next := range b.Branches {
		if child == name && next.Service != nil {
			next.Overrides.BodyLimit = &value
			b.Branches[child] = next

			return true
		}

		if change(&next, name, value) {
			return true
		}
	}

	return false
}

func valueOf(t settings.Tree, branch string) int {
	found := 0

	t.Walk(func(path string, b settings.Branch) {
		if b.Service != nil && (path == branch || len(path) > len(branch) && path[len(path)-len(branch)-1:] == "/"+branch) &&
			b.Overrides.BodyLimit != nil {
			found = *b.Overrides.BodyLimit
		}
	})

	return found
}

// accept sends the edit and asks again with its ID until it is settled.
func (o *operators) accept(ctx context.Context, e edit) {
	const (
		tries   = 40
		pause   = 250 * time.Millisecond
		timeout = 5 * time.Second
	)

	for range tries {
		v, err := o.once(ctx, e, timeout)
		if err == nil {
			o.note(accepted{ID: e.id, Branch: e.branch, Value: e.value, Base: e.base, Version: v})

			return
		}

		if final(err) {
			o.refused(e, err)

			return
		}

		time.Sleep(pause)
	}

	o.mu.Lock()
	o.open++
	o.mu.Unlock()
	o.recorder.add(func(r *Report) { r.Unsettled++ })
}

func (o *operators) once(ctx context.Context, e edit, timeout time.Duration) (settings.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	return o.client().Accept(ctx, operator.AcceptRequest{
		File: "soak.jsonc", Tree: e.text, Base: e.base, ID: e.id, Operator: "soak", Message: e.branch,
	})
}

// final reports whether the word is that the change was not accepted.
func final(err error) bool {
	e := errs.From(err)

	return e.ID == "acceptance.conflict" || e.ID == "acceptance.base"
}

func (o *operators) refused(e edit, err error) {
	o.mu.Lock()
	o.refusedIDs[e.id] = err.Error()
	o.mu.Unlock()

	fmt.Fprintf(o.recorder.log, "edit %s of %s refused: %v\n", e.id, e.branch, err)
	o.recorder.add(func(r *Report) { r.NotAccepted++ })
}

func (o *operators) note(a accepted) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.recorder.add(func(r *Report) { r.Accepted++ })

	other, taken := o.versions[a.Version.Number]
	o.recorder.check(PromiseAcceptedOnce, !taken || other.ID == a.ID,
		"version %d was given to acceptances %s and %s", a.Version.Number, other.ID, a.ID)

	o.versions[a.Version.Number] = a

	key := baseOf{a.Branch, a.Base}
	o.recorder.check(PromiseAcceptedOnce, o.bases[key] == "" || o.bases[key] == a.ID,
		"acceptances %s and %s both replaced %s of version %d", o.bases[key], a.ID, a.Branch, a.Base)
	o.bases[key] = a.ID

	if a.Version.Number > o.last[a.Branch].Version.Number {
		o.last[a.Branch] = a
	}
}

// some accepts changes of different branches one after the other.
func (o *operators) some(ctx context.Context, n int) {
	for range n {
		if e, err := o.prepare(ctx, o.branches[rand.IntN(len(o.branches))]); err == nil {
			o.accept(ctx, e)
		}
	}
}

// race accepts edits with the same base at the same moment.
func (o *operators) race(ctx context.Context, branches ...string) {
	var wg sync.WaitGroup

	for _, b := range branches {
		e, err := o.prepare(ctx, b)
		if err != nil {
			continue
		}

		wg.Go(func() { o.accept(ctx, e) })
	}

	wg.Wait()
}

func (o *operators) raceSame(ctx context.Context) {
	b := o.branches[rand.IntN(len(o.branches))]
	o.race(ctx, b, b)
}

func (o *operators) raceDifferent(ctx context.Context) {
	i := rand.IntN(len(o.branches))
	o.race(ctx, o.branches[i], o.branches[(i+1)%len(o.branches)])
}

// newest returns the newest version that an operator was told is accepted.
func (o *operators) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()

	var n uint64
	for number := range o.versions {
		n = max(n, number)
	}

	return n
}

// settle checks that every accepted change is in the tree, unless a later one of
// the same branch is.
func (o *operators) settle(t settings.Tree, number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()

	for branch, a := range o.last {
		got := valueOf(t, branch)
		o.recorder.check(PromiseNoLostUpdate, got == a.Value || o.open > 0 && got > a.Value,
			"%s: version %d set %d, version %d in force has %d", branch, a.Version.Number, a.Value, number, got)
	}
}

// truthful checks that no change which was told to have failed took effect.
func (o *operators) truthful(history []settings.Version) {
	o.mu.Lock()
	defer o.mu.Unlock()

	for _, v := range history {
		reason, refused := o.refusedIDs[v.AcceptanceID]
		o.recorder.check(PromiseAcceptedOnce, !refused, "acceptance %s was refused (%s) and is version %d",
			v.AcceptanceID, reason, v.Number)
	}
}

// digestOf returns the digest that operators were told for a version.
func (o *operators) digestOf(number uint64) (settings.Digest, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	a, ok := o.versions[number]

	return a.Version.Digest, ok
}
