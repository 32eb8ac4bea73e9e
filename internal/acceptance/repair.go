package acceptance

import (
	"context"
	"errors"

	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Known is the newest version that a node stores and the history of versions that
// it has received.
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

// missingFrom reports whether the platform has lost the node's version: the
// accepted version does not descend from it. Numbers alone do not show this, since
// versions accepted on an older copy can reach numbers above those that were lost.
func (k Known) missingFrom(s state) bool {
	if k.Snapshot == nil {
		return false
	}

	if _, ok := s.record.Versions.ID(k.Snapshot.Version().AcceptanceID); ok {
		return false
	}

	historyFull := len(s.record.Versions) == historyLength

	return !historyFull || s.record.Versions[historyLength-1].Number <= k.number()
}

// diverged returns the versions that the platform accepted on an older copy,
// oldest first, and the number of the newest version that the node and the
// platform have in common.
func (k Known) diverged(s state) (diverged []settings.Version, common uint64) {
	for _, v := range s.record.Versions {
		if _, ok := k.Versions.ID(v.AcceptanceID); ok {
			return diverged, v.Number
		}

		diverged = append([]settings.Version{v}, diverged...)
	}

	return diverged, 0
}

// Outcome is the result of a repair.
type Outcome struct {
	Repaired bool
	// Lost lists the accepted versions that could not be kept, because both sides
	// changed the same branches.
	Lost []settings.Version
}

// Repair restores the node's version on the platform if the platform has lost it.
//
// A platform that is restored from an older copy lacks accepted versions that
// nodes still use. Without the repair, each later acceptance would be based on a
// tree that is active on no node.
func (a *Acceptor) Repair(ctx context.Context, k Known) (Outcome, error) {
	s, err := a.state(ctx, "")
	if err != nil || !k.missingFrom(s) {
		return Outcome{}, err
	}

	diverged, common := k.diverged(s)
	if s.head.Version.Number >= k.number() {
		return a.reacceptLocal(ctx, s, k, common)
	}

	if err := a.restore(ctx, s, k); err != nil {
		return Outcome{}, err
	}

	out := Outcome{Repaired: true}

	for _, v := range diverged {
		err := a.reaccept(ctx, v, common)
		if errors.Is(err, ErrConflict) {
			out.Lost = append(out.Lost, v)
		} else if err != nil {
			return out, err
		}
	}

	return out, nil
}

// reacceptLocal accepts the node's version again, above versions with the same or
// higher numbers that may already be active on other nodes.
func (a *Acceptor) reacceptLocal(ctx context.Context, s state, k Known, common uint64) (Outcome, error) {
	v, head := k.Snapshot.Version(), s.head.Version

	_, err := a.accept(ctx, reacceptRequest(v, common), k.Snapshot.Records())
	if !errors.Is(err, ErrConflict) {
		return Outcome{Repaired: err == nil}, err
	}

	// The platform's version is kept. Nodes that store the other version under the
	// same number would never replace it, so the kept one is accepted again with a
	// number above both.
	if head.Number == v.Number {
		err = a.reaccept(ctx, head, head.Number)
	} else {
		err = nil
	}

	v.Branches = nil

	return Outcome{Repaired: true, Lost: []settings.Version{v}}, err
}

// restore makes the node's version the head again, with the node's history merged
// into the platform's.
func (a *Acceptor) restore(ctx context.Context, s state, k Known) error {
	v := k.Snapshot.Version()

	digests := v.Branches
	if err := a.writeValues(ctx, v.Digest, digests, k.Snapshot.Records(), nil); err != nil {
		return err
	}

	v.Branches = nil

	// The changes of the restored versions are unknown, so the record lists no
	// values and none are deleted while these versions are in it.
	return a.swap(ctx, s, Head{Version: v}, record{Versions: s.record.Versions.With(k.Versions...).With(v)}, nil)
}

// reaccept accepts a version from the platform again, rebased from the common
// version onto the current head.
func (a *Acceptor) reaccept(ctx context.Context, v settings.Version, common uint64) error {
	manifest, err := a.Manifest(ctx, v.Digest)
	if err != nil {
		return err
	}

	records, err := a.Records(ctx, manifest, nil)
	if err != nil {
		return err
	}

	_, err = a.accept(ctx, reacceptRequest(v, common), records)

	return err
}

func reacceptRequest(v settings.Version, base uint64) Request {
	return Request{ID: v.AcceptanceID + "-again", Base: base, Operator: v.Operator, Message: v.Message}
}

// swap replaces the head record. The same transaction writes the history record
// and the outcome record of the ID, and deletes the keys in drop.
func (a *Acceptor) swap(ctx context.Context, s state, next Head, r record, drop []string) error {
	head, outcome, history, err := encodeAll(next, next.Version, r)
	if err != nil {
		return err
	}

	lease, err := a.store.Grant(ctx, idRetention)
	if err != nil {
		// The swap was not sent, whether or not the lease was granted.
		return platform.ErrUnavailable.With("lease: %v", err)
	}

	_, err = a.store.Swap(ctx, HeadKey, s.revision, head, platform.Drop(drop...), platform.Also(
		platform.Entry{Key: idPrefix + next.Version.AcceptanceID, Value: outcome, Lease: lease},
		platform.Entry{Key: historyKey, Value: history},
	))

	return err
}
