// Package acceptance stores versions of the settings tree on the platform and
// decides which of them is the accepted one.
//
// The branches and the manifest of a version are stored under their digests
// first; then a compare-and-swap replaces the single head record. A reader that
// sees a head can therefore read its whole version, and no version is ever
// accepted in part.
//
//	a := acceptance.New(store)
//	version, err := a.Accept(ctx, acceptance.Request{ID: id, Base: 6, Tree: tree})
//
// An acceptance has one of three outcomes: accepted; not accepted, with the
// reason; or ErrUnknown, which a retry with the same ID resolves.
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

// Errors of an acceptance. All except ErrUnknown and ErrForgotten mean that
// nothing was accepted.
var (
	ErrConflict = errs.New("acceptance.conflict", http.StatusConflict, "the same branches were changed by another acceptance")
	ErrUnknown  = errs.New("acceptance.unknown", http.StatusGatewayTimeout,
		"no answer from the platform; the version may have been accepted, ask again with the same ID")
	ErrOutage = errs.New("acceptance.outage", http.StatusServiceUnavailable, "not accepted: the platform can't be reached")
	ErrBase   = errs.New("acceptance.base", http.StatusConflict, "not accepted: the base version is not known")
	// ErrForgotten is returned for a retry after all records of its ID have
	// expired, which takes a week.
	ErrForgotten = errs.New("acceptance.forgotten", http.StatusGone, "the ID is too old to be settled; look at the tree in force")
	// ErrVersion is returned for a version that is no longer in the history.
	ErrVersion = errs.New("acceptance.version", http.StatusNotFound, "no such version in the history")
	ErrBusy    = errs.New("acceptance.busy", http.StatusServiceUnavailable, "not accepted: other acceptances went first too often")
	ErrID      = errs.New("acceptance.id", http.StatusBadRequest,
		"an acceptance ID of 1 to 64 letters, digits, dots, dashes or underscores is needed")
)

// Bounds of one acceptance. Sixteen operators can race at once. A platform
// outage is retried for about two seconds: usual interruptions are shorter, and
// an operator prefers an answer to a longer wait.
const (
	maxConflicts = 16
	maxOutages   = 4
	firstBackoff = 100 * time.Millisecond
)

// Request is an operator's request to accept a tree.
type Request struct {
	// ID identifies the acceptance; a retry with the same ID never accepts twice.
	ID string
	// Again marks a retry of a request whose outcome was unknown.
	Again bool
	// Base is the version that the tree was edited from.
	Base uint64
	// Known is the state stored on the requesting node. The new version number is
	// above its number, even if the platform was restored from an older copy.
	Known    Known
	Tree     settings.Tree
	Operator string
	Message  string
}

// idPattern restricts acceptance IDs, which become part of a platform key.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

func (r Request) check() error {
	if !idPattern.MatchString(r.ID) {
		return ErrID.With("%q", r.ID)
	}

	return r.Tree.CheckErr()
}

// Acceptor accepts settings trees and reads accepted versions.
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

// Plan returns the changes that Accept would make, without accepting them. Like
// Accept, it fails for an invalid tree and for a conflict.
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

	current := settings.Records{}

	if s.head.Version.Number > 0 {
		head, err := a.Snapshot(ctx, s.head.Version, r.Known.Snapshot)
		if err != nil {
			return nil, err
		}

		current = head.Records()
	}

	next, err := a.rebase(ctx, r, s, mine)
	if err != nil {
		return nil, err
	}

	return settings.DiffRecords(current, next), nil
}

// Version reads an accepted version by its number; 0 means the newest.
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
	// After the answer to a swap is lost, only the outcome record of the ID on the
	// platform shows whether the swap took effect.
	outcomeUnknown := r.Again

	for conflicts, outages := 0, 0; ; {
		v, sent, err := a.attempt(ctx, r, mine)
		outcomeUnknown = outcomeUnknown || sent && errors.Is(err, platform.ErrUnknown)

		switch {
		case errors.Is(err, platform.ErrConflict):
			conflicts++
		case errors.Is(err, platform.ErrUnknown), errors.Is(err, platform.ErrUnavailable):
			outages++
		case err != nil:
			return settings.Version{}, err
		default:
			return v, nil
		}

		if conflicts == maxConflicts || outages == maxOutages || !backOff(ctx, conflicts+outages) {
			return settings.Version{}, finalError(r, outcomeUnknown, err)
		}
	}
}

func finalError(r Request, outcomeUnknown bool, err error) error {
	switch {
	case outcomeUnknown:
		return ErrUnknown.With("ID %s", r.ID).Wrap(err)
	case errors.Is(err, platform.ErrConflict):
		return ErrBusy
	default:
		return ErrOutage.Wrap(err)
	}
}

// backOff waits with full jitter, so that operators that lost the same race do
// not collide again. It reports whether the context is still active.
func backOff(ctx context.Context, n int) bool {
	const maxDoublings = 4

	select {
	case <-ctx.Done():
		return false
	case <-time.After(rand.N(firstBackoff << min(n, maxDoublings))):
		return true
	}
}

// attempt reads the state, rebases the tree, writes its values and swaps the head,
// once. It reports whether the swap was sent.
func (a *Acceptor) attempt(ctx context.Context, r Request, mine settings.Records) (settings.Version, bool, error) {
	s, err := a.state(ctx, r.ID)
	if err != nil {
		return settings.Version{}, false, err
	}

	if s.outcome != nil {
		return *s.outcome, false, nil
	}

	if r.Known.missingFrom(s) {
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

	manifest, err := a.headManifest(ctx, s)
	if err != nil {
		return settings.Version{}, false, err
	}

	next, err := a.write(ctx, r, s, records, manifest)
	if err != nil {
		return settings.Version{}, false, err
	}

	values, complete := compareValues(manifest, records.Digests())
	record, drop := s.record.with(next.Version, values, complete)

	return next.Version, true, a.swap(ctx, s, next, record, drop)
}

func (a *Acceptor) headManifest(ctx context.Context, s state) (map[string]settings.Digest, error) {
	if s.head.Version.Number == 0 {
		return map[string]settings.Digest{}, nil
	}

	return a.Manifest(ctx, s.head.Version.Digest)
}

// write stores the values of the next version and returns its head record.
func (a *Acceptor) write(
	ctx context.Context, r Request, s state, records settings.Records, manifest map[string]settings.Digest,
) (Head, error) {
	digests := records.Digests()
	changed := changes(manifest, digests)
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

	if len(changed) <= maxChanged {
		next.Base, next.Changed = s.head.Version.Number, selectPaths(digests, changed)
		next.Removed = slices.DeleteFunc(changed, func(path string) bool { return digests[path] != "" })
	}

	return next, a.writeValues(ctx, next.Version.Digest, digests, records, manifest)
}

func encodeAll(head Head, outcome settings.Version, r record) (h, o, history []byte, err error) {
	if h, err = msgpack.Marshal(head); err != nil {
		return nil, nil, nil, settings.ErrRecord.Wrap(err)
	}

	if o, err = msgpack.Marshal(outcome); err != nil {
		return nil, nil, nil, settings.ErrRecord.Wrap(err)
	}

	if history, err = msgpack.Marshal(r); err != nil {
		return nil, nil, nil, settings.ErrRecord.Wrap(err)
	}

	return h, o, history, nil
}
