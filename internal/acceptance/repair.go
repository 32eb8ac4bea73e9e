package acceptance

import (
	"context"
	"errors"

	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Known is the newest version that a node holds and the versions before it that
// it has seen.
type Known struct {
	Snapshot *settings.Snapshot
	Versions History
}

func (k Known) number() uint64 {
	if k.Snapshot == nil {
		return 0
	}

	return k.Snapshot.Version().Number
}

// lacks reports whether the accepted version does not go back to the one that
// the node holds. A higher number alone does not show it: versions accepted on
// an older copy can have overtaken the numbers that the copy had forgotten.
func (k Known) lacks(s state) bool {
	if k.Snapshot == nil {
		return false
	}

	if _, ok := s.record.Versions.ID(k.Snapshot.Version().AcceptanceID); ok {
		return false
	}

	full := len(s.record.Versions) == historyLength

	return !full || s.record.Versions[historyLength-1].Number <= k.number()
}

// forked returns the versions that the platform accepted while it did not know
// the newest ones, oldest first, and the version that both have in common.
func (k Known) forked(s state) (forked []settings.Version, common uint64) {
	for _, v := range s.record.Versions {
		if _, ok := k.Versions.ID(v.AcceptanceID); ok {
			return forked, v.Number
		}

		forked = append([]settings.Version{v}, forked...)
	}

	return forked, 0
}

// Outcome of a repair.
type Outcome struct {
	Repaired bool
	// Lost are the acceptances that could not be kept, because both sides changed
	// the same branches.
	Lost []settings.Version
}

// Repair gives the platform back the version that the node holds, if the
// platform has lost it.
//
// A platform that comes back from an older copy has forgotten accepted
// versions. Nodes keep answering with them, and without the repair each later
// acceptance would be built on a tree that is in force nowhere.
func (a *Acceptor) Repair(ctx context.Context, k Known) (Outcome, error) {
	s, err := a.state(ctx, "")
	if err != nil || !k.lacks(s) {
		return Outcome{}, err
	}

	forked, common := k.forked(s)
	if s.head.Version.Number >= k.number() {
		return a.putOnTop(ctx, s, k, common)
	}

	if err := a.restore(ctx, s, k); err != nil {
		return Outcome{}, err
	}

	out := Outcome{Repaired: true}

	for _, v := range forked {
		err := a.again(ctx, v, common)
		if errors.Is(err, ErrConflict) {
			out.Lost = append(out.Lost, v)
		} else if err != nil {
			return out, err
		}
	}

	return out, nil
}

// putOnTop accepts the node's version anew, above versions that have the same or
// higher numbers and may be in force elsewhere already.
func (a *Acceptor) putOnTop(ctx context.Context, s state, k Known, common uint64) (Outcome, error) {
	v, head := k.Snapshot.Version(), s.head.Version

	_, err := a.accept(ctx, againRequest(v, common), k.Snapshot.Records())
	if !errors.Is(err, ErrConflict) {
		return Outcome{Repaired: err == nil}, err
	}

	// The platform's version stands. Nodes that hold the other one under the same
	// number would keep it for good, so it needs a number above both.
	if head.Number == v.Number {
		err = a.again(ctx, head, head.Number)
	} else {
		err = nil
	}

	v.Branches = nil

	return Outcome{Repaired: true, Lost: []settings.Version{v}}, err
}

func (a *Acceptor) restore(ctx context.Context, s state, k Known) error {
	v := k.Snapshot.Version()

	digests := v.Branches
	if err := a.writeValues(ctx, v.Digest, digests, k.Snapshot.Records(), nil); err != nil {
		return err
	}

	v.Branches = nil

	// What the restored versions changed is not known, so nothing that they use is
	// deleted while they are in the record.
	return a.swap(ctx, s, Head{Version: v}, record{Versions: s.record.Versions.With(k.Versions...).With(v)}, nil)
}

// again accepts a version of the older copy anew, on top of what was restored.
func (a *Acceptor) again(ctx context.Context, v settings.Version, common uint64) error {
	manifest, err := a.Manifest(ctx, v.Digest)
	if err != nil {
		return err
	}

	records, err := a.Records(ctx, manifest, nil)
	if err != nil {
		return err
	}

	_, err = a.accept(ctx, againRequest(v, common), records)

	return err
}

func againRequest(v settings.Version, base uint64) Request {
	return Request{ID: v.AcceptanceID + "-again", Base: base, Operator: v.Operator, Message: v.Message}
}

// swap changes the head, with the record and the outcome of the ID in the same
// transaction.
func (a *Acceptor) swap(ctx context.Context, s state, next Head, r record, drop []string) error {
	head, outcome, past, err := encodeAll(next, next.Version, r)
	if err != nil {
		return err
	}

	lease, err := a.store.Grant(ctx, idKept)
	if err != nil {
		// Nothing was swapped, whatever became of the lease.
		return platform.ErrUnavailable.With("lease: %v", err)
	}

	_, err = a.store.Swap(ctx, HeadKey, s.revision, head, platform.Drop(drop...), platform.Also(
		platform.Entry{Key: idPrefix + next.Version.AcceptanceID, Value: outcome, Lease: lease},
		platform.Entry{Key: historyKey, Value: past},
	))

	return err
}
