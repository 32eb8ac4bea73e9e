// Package acceptance decides which tree is the accepted one.
//
// Branches and the manifest of a version are values addressed by their digest
// and are written first; then one head record is changed by compare-and-swap.
// A reader that sees a head can therefore read all of its version, and nothing
// is ever accepted in part.
//
//	a := acceptance.New(store)
//	version, err := a.Accept(ctx, acceptance.Request{ID: id, Base: 6, Tree: tree})
//
// An acceptance ends in one of three ways: accepted; not accepted, with the
// reason; or ErrUnknown, and asking again with the same ID settles it.
package acceptance

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Errors of an acceptance. All but ErrUnknown and ErrForgotten mean that nothing was accepted.
var (
	ErrConflict = errs.New("acceptance.conflict", http.StatusConflict, "the same branches were changed by another acceptance")
	ErrUnknown  = errs.New("acceptance.unknown", http.StatusGatewayTimeout,
		"no answer from the platform; the version may have been accepted, ask again with the same ID")
	ErrOutage = errs.New("acceptance.outage", http.StatusServiceUnavailable, "not accepted: the platform can't be reached")
	ErrBase   = errs.New("acceptance.base", http.StatusConflict, "not accepted: the base version is not known")
	// ErrForgotten is returned for an ID that is asked again when all records of it
	// are gone, a week later.
	ErrForgotten = errs.New("acceptance.forgotten", http.StatusGone, "the ID is too old to be settled; look at the tree in force")
	// ErrVersion is returned for a version that left the history.
	ErrVersion = errs.New("acceptance.version", http.StatusNotFound, "no such version in the history")
	ErrBusy    = errs.New("acceptance.busy", http.StatusServiceUnavailable, "not accepted: other acceptances went first too often")
	ErrID      = errs.New("acceptance.id", http.StatusBadRequest,
		"an acceptance ID of 1 to 64 letters, digits, dots, dashes or underscores is needed")
)

// Bounds of one acceptance. Sixteen operators can race at once; an outage of
// the platform is waited out for about two seconds, since its usual hiccups are
// shorter and an operator prefers an answer to a longer wait.
const (
	maxRaces   = 16
	maxOutages = 4
	firstPause = 100 * time.Millisecond
)

// Request is what an operator asks for.
type Request struct {
	// ID tells this acceptance apart from all others; asking again with the same
	// ID never accepts twice.
	ID string
	// Again says that the ID was used before with an unknown outcome.
	Again bool
	// Base is the version that the tree was edited from.
	Base uint64
	// Known is what the asking node holds; the new number is above it even if
	// the platform came back from an older copy.
	Known    Known
	Tree     settings.Tree
	Operator string
	Message  string
}

// idForm bounds what becomes a part of a key on the platform.
var idForm = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

func (r Request) check() error {
	if !idForm.MatchString(r.ID) {
		return ErrID.With("%q", r.ID)
	}

	return r.Tree.CheckErr()
}

// Acceptor accepts trees and reads accepted ones.
type Acceptor struct {
	store platform.Store
}

// New returns an acceptor on the store.
func New(store platform.Store) *Acceptor { return &Acceptor{store: store} }

// Accept checks the tree as a whole and makes it the accepted version.
func (a *Acceptor) Accept(ctx context.Context, r Request) (settings.Version, error) {
	if err := r.check(); err != nil {
		return settings.Version{}, err
	}

	mine, err := r.Tree.Records()
	if err != nil {
		return settings.Version{}, err
	}

	v, err := a.accept(ctx, r, mine)
	if r.Again && errors.Is(err, ErrBase) {
		return settings.Version{}, ErrForgotten.With("ID %s", r.ID)
	}

	return v, err
}

// Plan returns what accepting would change, and accepts nothing. It fails as
// Accept would: for a tree that does not check and for a conflict.
func (a *Acceptor) Plan(ctx context.Context, r Request) ([]settings.Change, error) {
	if err := r.Tree.CheckErr(); err != nil {
		return nil, err
	}

	mine, err := r.Tree.Records()
	if err != nil {
		return nil, err
	}

	s, err := a.state(ctx, r.ID)
	if err != nil {
		return nil, err
	}

	now := settings.Records{}

	if s.head.Version.Number > 0 {
		head, err := a.Snapshot(ctx, s.head.Version, r.Known.Snapshot)
		if err != nil {
			return nil, err
		}

		now = head.Records()
	}

	next, err := a.rebase(ctx, r, s, mine)
	if err != nil {
		return nil, err
	}

	return settings.DiffRecords(now, next), nil
}

// Version reads an accepted version by its number; 0 is the newest.
func (a *Acceptor) Version(ctx context.Context, number uint64, k Known) (*settings.Snapshot, error) {
	if number > 0 && number == k.number() {
		return k.Snapshot, nil
	}

	s, err := a.state(ctx, "")
	if err != nil {
		return nil, err
	}

	if number == 0 {
		number = s.head.Version.Number
	}

	v, ok := s.record.Versions.Number(number)
	if !ok {
		return nil, ErrVersion.With("%d", number)
	}

	return a.Snapshot(ctx, v, k.Snapshot)
}

func (a *Acceptor) accept(ctx context.Context, r Request, mine settings.Records) (settings.Version, error) {
	// Once a swap was sent whose answer is lost, only the platform's own record
	// of the ID says whether it took effect.
	unsure := r.Again

	for races, outages := 0, 0; ; {
		v, sent, err := a.attempt(ctx, r, mine)
		unsure = unsure || sent && errors.Is(err, platform.ErrUnknown)

		switch {
		case errors.Is(err, platform.ErrConflict):
			races++
		case errors.Is(err, platform.ErrUnknown), errors.Is(err, platform.ErrUnavailable):
			outages++
		case err != nil:
			return settings.Version{}, err
		default:
			return v, nil
		}

		if races == maxRaces || outages == maxOutages || !pause(ctx, races+outages) {
			return settings.Version{}, failure(r, unsure, err)
		}
	}
}

func failure(r Request, unsure bool, err error) error {
	switch {
	case unsure:
		return ErrUnknown.With("ID %s", r.ID).Wrap(err)
	case errors.Is(err, platform.ErrConflict):
		return ErrBusy
	default:
		return ErrOutage.Wrap(err)
	}
}

// pause waits with full jitter, so that operators who lost the same race do not
// meet again in the next one.
func pause(ctx context.Context, n int) bool {
	const most = 4

	select {
	case <-ctx.Done():
		return false
	case <-time.After(rand.N(firstPause << min(n, most))):
		return true
	}
}

// attempt reads, rebases, writes and swaps once. It reports whether the swap was
// sent.
func (a *Acceptor) attempt(ctx context.Context, r Request, mine settings.Records) (settings.Version, bool, error) {
	s, err := a.state(ctx, r.ID)
	if err != nil {
		return settings.Version{}, false, err
	}

	if s.outcome != nil {
		return *s.outcome, false, nil
	}

	if r.Known.lacks(s) {
		if _, err := a.Repair(ctx, r.Known); err != nil {
			return settings.Version{}, false, err
		}

		if s, err = a.state(ctx, r.ID); err != nil {
			return settings.Version{}, false, err
		}
	}

	records, err := a.rebase(ctx, r, s, mine)
	if err != nil {
		return settings.Version{}, false, err
	}

	known, err := a.headManifest(ctx, s)
	if err != nil {
		return settings.Version{}, false, err
	}

	next, err := a.write(ctx, r, s, records, known)
	if err != nil {
		return settings.Version{}, false, err
	}

	values, small := valuesOf(known, records.Digests())
	record, drop := s.record.with(next.Version, values, small)

	return next.Version, true, a.swap(ctx, s, next, record, drop)
}

func (a *Acceptor) headManifest(ctx context.Context, s state) (map[string]settings.Digest, error) {
	if s.head.Version.Number == 0 {
		return map[string]settings.Digest{}, nil
	}

	return a.Manifest(ctx, s.head.Version.Digest)
}

// write writes the values of the next version and returns its head.
func (a *Acceptor) write(
	ctx context.Context, r Request, s state, records settings.Records, known map[string]settings.Digest,
) (Head, error) {
	digests := records.Digests()
	differ := changes(known, digests)
	next := Head{
		Version: settings.Version{
			Number:       max(s.head.Version.Number, r.Known.number()) + 1,
			Digest:       settings.TreeDigest(digests),
			AcceptanceID: r.ID,
			AcceptedAt:   time.Now().UTC(),
			Operator:     r.Operator,
			Message:      r.Message,
		},
	}

	if len(differ) <= maxChanged {
		next.Base, next.Changed = s.head.Version.Number, only(digests, differ)
		next.Removed = slices.DeleteFunc(differ, func(path string) bool { return digests[path] != "" })
	}

	return next, a.writeValues(ctx, next.Version.Digest, digests, records, known)
}

func encodeAll(head Head, outcome settings.Version, r record) (h, o, past []byte, err error) {
	if h, err = msgpack.Marshal(head); err != nil {
		return nil, nil, nil, settings.ErrRecord.Wrap(err)
	}

	if o, err = msgpack.Marshal(outcome); err != nil {
		return nil, nil, nil, settings.ErrRecord.Wrap(err)
	}

	if past, err = msgpack.Marshal(r); err != nil {
		return nil, nil, nil, settings.ErrRecord.Wrap(err)
	}

	return h, o, past, nil
}
