package acceptance

import (
	"context"
	"errors"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Bounds of one platform call that carries many values. The platform limits the
// rate of calls, so the hundreds of branches of a tree are batched; it rejects a
// call with too many bytes.
const (
	keysPerCall  = 64
	bytesPerCall = platform.MaxValue
	// maxParallelCalls keeps one large tree from using up the platform's call rate.
	maxParallelCalls = 4
)

// state is a consistent read of the head, the history and one outcome record.
type state struct {
	head     Head
	record   record
	revision int64
	// outcome is the version that was accepted under the requested ID, if any.
	outcome *settings.Version
}

func (a *Acceptor) state(ctx context.Context, id string) (state, error) {
	found, err := a.store.GetMany(ctx, HeadKey, historyKey, idPrefix+id)
	if err != nil {
		return state{}, err
	}

	var s state

	if e, ok := found[HeadKey]; ok {
		s.revision = e.Revision
		if s.head, err = DecodeHead(e.Value); err != nil {
			return state{}, err
		}
	}

	if e, ok := found[historyKey]; ok {
		if err := msgpack.Unmarshal(e.Value, &s.record); err != nil {
			return state{}, settings.ErrRecord.Wrap(err)
		}
	}

	if e, ok := found[idPrefix+id]; ok && id != "" {
		s.outcome = &settings.Version{}
		if err := msgpack.Unmarshal(e.Value, s.outcome); err != nil {
			return state{}, settings.ErrRecord.Wrap(err)
		}
	} else if v, ok := s.record.Versions.ID(id); ok && id != "" {
		s.outcome = &v
	}

	return s, nil
}

// Head returns the head record and its revision; before the first acceptance both
// are zero.
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

// History returns the most recent accepted versions, newest first.
func (a *Acceptor) History(ctx context.Context) (History, error) {
	s, err := a.state(ctx, "")

	return s.record.Versions, err
}

// writeValues writes the manifest and the branches that are not in the head's
// manifest. The keys are digests of the values, so writing a value again after a
// lost answer or a concurrent acceptance of the same value changes nothing.
func (a *Acceptor) writeValues(
	ctx context.Context, tree settings.Digest, digests map[string]settings.Digest, records settings.Records,
	headManifest map[string]settings.Digest,
) error {
	manifest, err := msgpack.Marshal(digests)
	if err != nil {
		return settings.ErrRecord.Wrap(err)
	}

	entries := []platform.Entry{{Key: manifestPrefix + string(tree), Value: manifest}}

	for _, path := range slices.Sorted(maps.Keys(digests)) {
		if headManifest[path] == digests[path] {
			continue
		}

		if len(records[path]) > platform.MaxValue {
			return platform.ErrTooLarge.With("branch /%s has %d bytes, limit %d", path, len(records[path]), platform.MaxValue)
		}

		entries = append(entries, platform.Entry{Key: branchPrefix + string(digests[path]), Value: records[path]})
	}

	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelCalls)

	for _, batch := range batches(entries) {
		g.Go(func() error { return a.store.PutMany(ctx, batch...) })
	}

	return g.Wait()
}

// batches splits the entries into calls within keysPerCall and bytesPerCall.
func batches(entries []platform.Entry) [][]platform.Entry {
	var (
		out  [][]platform.Entry
		size int
	)

	for _, e := range entries {
		last := len(out) - 1
		if last < 0 || len(out[last]) == keysPerCall || size+len(e.Value) > bytesPerCall {
			out, size = append(out, nil), 0
			last++
		}

		out[last] = append(out[last], e)
		size += len(e.Value)
	}

	return out
}

// Manifest returns the branch digests, by path, of the version with the given tree
// digest.
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

// Records returns the records of a manifest. Records in have with a matching digest
// are reused; the others are read from the platform.
func (a *Acceptor) Records(
	ctx context.Context, manifest map[string]settings.Digest, have settings.Records,
) (settings.Records, error) {
	out := make(settings.Records, len(manifest))

	var keys []string

	for path, d := range manifest {
		if data, ok := have[path]; ok && settings.DigestOf(data) == d {
			out[path] = data
		} else {
			keys = append(keys, branchPrefix+string(d))
		}
	}

	values, err := a.getAll(ctx, keys)
	if err != nil {
		return nil, err
	}

	for path, d := range manifest {
		if _, ok := out[path]; ok {
			continue
		}

		data, ok := values[branchPrefix+string(d)]
		if !ok {
			return nil, platform.ErrNotFound.With("branch /%s", path)
		}

		out[path] = data
	}

	return out, nil
}

func (a *Acceptor) getAll(ctx context.Context, keys []string) (map[string][]byte, error) {
	parts := slices.Collect(slices.Chunk(keys, keysPerCall))
	found := make([]map[string]platform.Entry, len(parts))

	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelCalls)

	for i, part := range parts {
		g.Go(func() (err error) {
			found[i], err = a.store.GetMany(ctx, part...)

			return err
		})
	}

	if err := g.Wait(); err != nil {
		return nil, err
	}

	out := make(map[string][]byte, len(keys))

	for _, part := range found {
		for key, e := range part {
			out[key] = e.Value
		}
	}

	return out, nil
}

// Snapshot reads a whole version; branches that are unchanged in base are reused.
func (a *Acceptor) Snapshot(
	ctx context.Context, v settings.Version, base *settings.Snapshot,
) (*settings.Snapshot, error) {
	manifest, err := a.Manifest(ctx, v.Digest)
	if err != nil {
		return nil, err
	}

	var have settings.Records
	if base != nil {
		have = base.Records()
	}

	records, err := a.Records(ctx, manifest, have)
	if err != nil {
		return nil, err
	}

	return settings.NewSnapshot(v, records)
}

// Changed reads the branches that the head changed relative to its base.
func (a *Acceptor) Changed(ctx context.Context, h Head) (settings.Records, error) {
	return a.Records(ctx, h.Changed, nil)
}
