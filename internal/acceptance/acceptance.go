// Package acceptance decides which tree is the accepted one.
//
// Branches and the manifest of a version are values addressed by their digest
// and are written first; then one head record is changed by compare-and-swap.
// A reader that sees a head can therefore read all of its version, and nothing
// is ever accepted in part.
//
//	a := acceptance.New(store)
//	version, err := a.Accept(ctx, acceptance.Request{ID: id, Base: 6, Tree: tree})
package acceptance

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Errors of an acceptance.
var (
	ErrConflict = errs.New("acceptance.conflict", http.StatusConflict, "the same branches were changed by another acceptance")
	ErrUnknown  = errs.New("acceptance.unknown", http.StatusGatewayTimeout, "no answer from the platform; ask again with the same ID")
	ErrBase     = errs.New("acceptance.base", http.StatusConflict, "the base version is not known")
	ErrBusy     = errs.New("acceptance.busy", http.StatusServiceUnavailable, "other acceptances went first too often; try again")
)

// Keys on the platform.
const (
	HeadKey        = "/pollencart/head"
	branchPrefix   = "/pollencart/branch/"
	manifestPrefix = "/pollencart/manifest/"
)

// historyLength bounds the head record: an acceptance ID can be asked for again
// while it is among the last so many versions.
const historyLength = 64

// maxRaces bounds how often an acceptance starts again after losing a race.
const maxRaces = 16

// Head is the accepted version and the ones before it, newest first.
type Head struct {
	Version settings.Version   `msgpack:"Version"`
	History []settings.Version `msgpack:"History"`
}

// Find returns the version that an acceptance ID led to.
func (h Head) Find(id string) (settings.Version, bool) {
	if id != "" && h.Version.AcceptanceID == id {
		return h.Version, true
	}

	for _, v := range h.History {
		if id != "" && v.AcceptanceID == id {
			return v, true
		}
	}

	return settings.Version{}, false
}

// With returns the head after the next version.
func (h Head) With(v settings.Version) Head {
	next := Head{Version: v}
	if h.Version.Number > 0 {
		next.History = append([]settings.Version{h.Version}, h.History...)
	}

	if len(next.History) > historyLength {
		next.History = next.History[:historyLength]
	}

	return next
}

// Request is what an operator asks for.
type Request struct {
	// ID tells this acceptance apart from all others; asking again with the same
	// ID never accepts twice.
	ID string
	// Base is the version that the tree was edited from.
	Base uint64
	// Floor is the newest version that the asking node knows; the new number is
	// above it even if the platform came back from an older copy.
	Floor    uint64
	Tree     settings.Tree
	Operator string
	Message  string
}

// Acceptor accepts trees and reads accepted ones.
type Acceptor struct {
	store platform.Store
}

// New returns an acceptor on the store.
func New(store platform.Store) *Acceptor { return &Acceptor{store: store} }

// Accept checks the tree as a whole and makes it the accepted version.
func (a *Acceptor) Accept(ctx context.Context, r Request) (settings.Version, error) {
	if err := r.Tree.CheckErr(); err != nil {
		return settings.Version{}, err
	}

	mine, err := r.Tree.Records()
	if err != nil {
		return settings.Version{}, err
	}

	for range maxRaces {
		v, err := a.attempt(ctx, r, mine)
		if !errors.Is(err, platform.ErrConflict) {
			return v, err
		}
	}

	return settings.Version{}, ErrBusy
}

func (a *Acceptor) attempt(ctx context.Context, r Request, mine settings.Records) (settings.Version, error) {
	head, revision, err := a.Head(ctx)
	if err != nil {
		return settings.Version{}, err
	}

	if v, ok := head.Find(r.ID); ok {
		return v, nil
	}

	records, err := a.rebase(ctx, r, head, mine)
	if err != nil {
		return settings.Version{}, err
	}

	digests := records.Digests()
	v := settings.Version{
		Number:       max(head.Version.Number, r.Floor) + 1,
		Digest:       settings.TreeDigest(digests),
		AcceptanceID: r.ID,
		AcceptedAt:   time.Now().UTC(),
		Operator:     r.Operator,
		Message:      r.Message,
	}

	if err := a.write(ctx, v, digests, records); err != nil {
		return settings.Version{}, err
	}

	return a.swap(ctx, head, revision, v)
}

// swap makes the version the accepted one. If the answer is lost, the head is
// read again: it names the acceptance ID if the swap took effect.
func (a *Acceptor) swap(ctx context.Context, head Head, revision int64, v settings.Version) (settings.Version, error) {
	data, err := msgpack.Marshal(head.With(v))
	if err != nil {
		return settings.Version{}, err
	}

	_, err = a.store.Swap(ctx, HeadKey, revision, data)
	if err == nil {
		return v, nil
	}

	if !errors.Is(err, platform.ErrUnknown) {
		return settings.Version{}, err
	}

	now, _, readErr := a.Head(ctx)
	if readErr != nil {
		return settings.Version{}, ErrUnknown.With("ID %s", v.AcceptanceID).Wrap(err)
	}

	if found, ok := now.Find(v.AcceptanceID); ok {
		return found, nil
	}

	return settings.Version{}, ErrUnknown.With("ID %s", v.AcceptanceID).Wrap(err)
}

// Head returns the head and its revision; before the first acceptance both are
// zero.
func (a *Acceptor) Head(ctx context.Context) (Head, int64, error) {
	e, err := a.store.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, 0, nil
	}

	if err != nil {
		return Head{}, 0, err
	}

	h, err := DecodeHead(e.Value)

	return h, e.Revision, err
}

// DecodeHead decodes a head record.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := msgpack.Unmarshal(data, &h); err != nil {
		return Head{}, settings.ErrRecord.Wrap(err)
	}

	return h, nil
}

// rebase puts the operator's changes on top of what others accepted meanwhile.
func (a *Acceptor) rebase(ctx context.Context, r Request, head Head, mine settings.Records) (settings.Records, error) {
	if head.Version.Number == r.Base {
		return mine, nil
	}

	base, err := a.manifestOf(ctx, head, r.Base)
	if err != nil {
		return nil, err
	}

	theirs, err := a.Manifest(ctx, head.Version.Digest)
	if err != nil {
		return nil, err
	}

	own := changes(base, mine.Digests())
	other := changes(base, theirs)

	if both := intersect(own, other); len(both) > 0 {
		return nil, ErrConflict.With("branches %s; yours on version %d, theirs is version %d by %q: %s",
			strings.Join(both, ", "), r.Base, head.Version.Number, head.Version.Operator, head.Version.Message)
	}

	merged, err := a.Records(ctx, theirs, nil)
	if err != nil {
		return nil, err
	}

	for _, path := range own {
		if data, ok := mine[path]; ok {
			merged[path] = data
		} else {
			delete(merged, path)
		}
	}

	tree, err := merged.Tree()
	if err != nil {
		return nil, err
	}

	return merged, tree.CheckErr()
}

func (a *Acceptor) manifestOf(ctx context.Context, head Head, number uint64) (map[string]settings.Digest, error) {
	if number == 0 {
		return map[string]settings.Digest{}, nil
	}

	for _, v := range append([]settings.Version{head.Version}, head.History...) {
		if v.Number == number {
			return a.Manifest(ctx, v.Digest)
		}
	}

	return nil, ErrBase.With("version %d, accepted is %d", number, head.Version.Number)
}

// changes returns the paths at which the digests differ, in order.
func changes(from, to map[string]settings.Digest) []string {
	set := map[string]bool{}

	for path, d := range to {
		if from[path] != d {
			set[path] = true
		}
	}

	for path := range from {
		if _, ok := to[path]; !ok {
			set[path] = true
		}
	}

	return slices.Sorted(maps.Keys(set))
}

func intersect(a, b []string) []string {
	var out []string

	for _, s := range a {
		if slices.Contains(b, s) {
			out = append(out, "/"+s)
		}
	}

	return out
}

func (a *Acceptor) write(
	ctx context.Context, v settings.Version, digests map[string]settings.Digest, records settings.Records,
) error {
	known := map[string]settings.Digest{}
	if head, _, err := a.Head(ctx); err == nil && head.Version.Number > 0 {
		if m, err := a.Manifest(ctx, head.Version.Digest); err == nil {
			known = m
		}
	}

	for path, d := range digests {
		if known[path] == d {
			continue
		}

		if err := a.writeOnce(ctx, branchPrefix+string(d), records[path]); err != nil {
			return err
		}
	}

	manifest, err := msgpack.Marshal(digests)
	if err != nil {
		return err
	}

	return a.writeOnce(ctx, manifestPrefix+string(v.Digest), manifest)
}

// writeOnce writes a value addressed by its digest; it is right if it is there
// already, and a lost answer is settled by writing again.
func (a *Acceptor) writeOnce(ctx context.Context, key string, data []byte) error {
	_, err := a.store.Swap(ctx, key, 0, data)
	if errors.Is(err, platform.ErrUnknown) {
		_, err = a.store.Swap(ctx, key, 0, data)
	}

	if errors.Is(err, platform.ErrConflict) {
		return nil
	}

	return err
}

// Manifest returns the branch digests of the version with the tree digest.
func (a *Acceptor) Manifest(ctx context.Context, tree settings.Digest) (map[string]settings.Digest, error) {
	e, err := a.store.Get(ctx, manifestPrefix+string(tree))
	if err != nil {
		return nil, err
	}

	out := map[string]settings.Digest{}
	if err := msgpack.Unmarshal(e.Value, &out); err != nil {
		return nil, settings.ErrRecord.Wrap(err)
	}

	return out, nil
}

// Records returns the records of a manifest, from those at hand where they fit.
func (a *Acceptor) Records(
	ctx context.Context, manifest map[string]settings.Digest, have settings.Records,
) (settings.Records, error) {
	out := make(settings.Records, len(manifest))

	for path, d := range manifest {
		if data, ok := have[path]; ok && settings.DigestOf(data) == d {
			out[path] = data

			continue
		}

		e, err := a.store.Get(ctx, branchPrefix+string(d))
		if err != nil {
			return nil, err
		}

		out[path] = e.Value
	}

	return out, nil
}

// Snapshot reads a version whole.
func (a *Acceptor) Snapshot(
	ctx context.Context, v settings.Version, have settings.Records,
) (*settings.Snapshot, error) {
	manifest, err := a.Manifest(ctx, v.Digest)
	if err != nil {
		return nil, err
	}

	records, err := a.Records(ctx, manifest, have)
	if err != nil {
		return nil, err
	}

	return settings.NewSnapshot(v, records)
}
