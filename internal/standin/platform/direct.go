package platform

import (
	"context"
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/platform"
)

// Direct is the fake without HTTP, for tests with a paused clock. Faults and
// counts are the same; From is what Faults.Cut names.
type Direct struct {
	platform *Platform
	from     string
}

var _ platform.Store = Direct{}

// Direct returns the store as it is seen from somewhere.
func (p *Platform) Direct(from string) Direct { return Direct{p, from} }

// call waits as a call does and reports whether it gets through.
func (d Direct) call(ctx context.Context) error {
	p := d.platform

	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()

	const roundTrip = time.Millisecond

	select {
	case <-time.After(roundTrip + time.Duration(f.SlowMs)*time.Millisecond):
	case <-ctx.Done():
		return platform.ErrUnknown.Wrap(ctx.Err())
	}

	if f.Down || slices.Contains(f.Cut, d.from) {
		return platform.ErrUnavailable
	}

	return nil
}

// Get implements platform.Store.
func (d Direct) Get(ctx context.Context, key string) (platform.Entry, error) {
	found, err := d.GetMany(ctx, key)
	if err != nil {
		return platform.Entry{}, err
	}

	e, ok := found[key]
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}

	return e, nil
}

// GetMany implements platform.Store.
func (d Direct) GetMany(ctx context.Context, keys ...string) (map[string]platform.Entry, error) {
	if err := d.call(ctx); err != nil {
		return nil, err
	}

	p := d.platform
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.Reads++

	out := map[string]platform.Entry{}

	for _, key := range keys {
		if v, ok := p.values[key]; ok {
			out[key] = platform.Entry{Key: key, Value: v.data, Revision: v.revision}
		}
	}

	return out, nil
}

// List implements platform.Store.
func (d Direct) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if err := d.call(ctx); err != nil {
		return nil, err
	}

	end := []byte(prefix)
	end[len(end)-1]++

	p := d.platform
	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.Reads++

	var out []platform.Entry
	for _, kv := range p.read(rangeIn{Key: []byte(prefix), RangeEnd: end}).Kvs {
		out = append(out, platform.Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision})
	}

	return out, nil
}

// PutMany implements platform.Store.
func (d Direct) PutMany(ctx context.Context, entries ...platform.Entry) error {
	_, err := d.write(ctx, "", 0, entries, nil)

	return err
}

// Swap implements platform.Store.
func (d Direct) Swap(
	ctx context.Context, key string, revision int64, value []byte, opts ...platform.PutOption,
) (int64, error) {
	var o platform.PutOptions
	for _, opt := range opts {
		opt(&o)
	}

	return d.write(ctx, key, revision, append([]platform.Entry{{Key: key, Value: value}}, o.Also...), o.Drop)
}

func (d Direct) write(ctx context.Context, key string, revision int64, entries []platform.Entry, drop []string) (int64, error) {
	if err := d.call(ctx); err != nil {
		return 0, err
	}

	var in txnIn
	if key != "" {
		in.Compare = []txnCompare{{Key: []byte(key), ModRevision: revision}}
	}

	for _, e := range entries {
		in.Success = append(in.Success, txnOp{RequestPut: &txnPut{Key: []byte(e.Key), Value: e.Value}})
	}

	for _, k := range drop {
		in.Success = append(in.Success, txnOp{RequestDrop: &rangeIn{Key: []byte(k)}})
	}

	out, lost := d.platform.apply(in)

	switch {
	case lost:
		return 0, platform.ErrUnknown
	case !out.Succeeded:
		return 0, platform.ErrConflict
	default:
		return out.Header.Revision, nil
	}
}

// Watch implements platform.Store.
func (d Direct) Watch(ctx context.Context, key string, _ int64) (<-chan platform.Entry, error) {
	if err := d.call(ctx); err != nil {
		return nil, err
	}

	p := d.platform

	p.mu.Lock()
	p.counts.Watches++
	broken := p.broken
	p.mu.Unlock()

	out := make(chan platform.Entry)

	go func() {
		defer close(out)

		d.send(ctx, key, broken, out)
	}()

	return out, nil
}

func (d Direct) send(ctx context.Context, key string, broken <-chan struct{}, out chan<- platform.Entry) {
	var seen int64

	for {
		d.platform.mu.Lock()
		v, ok := d.platform.values[key]
		changed := d.platform.changed
		d.platform.mu.Unlock()

		if ok && v.revision > seen {
			seen = v.revision

			select {
			case out <- platform.Entry{Key: key, Value: v.data, Revision: v.revision}:
			case <-ctx.Done():
				return
			}
		}

		select {
		case <-changed:
		case <-broken:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Grant implements platform.Store; leases last in the paused clock's tests.
func (d Direct) Grant(ctx context.Context, _ time.Duration) (platform.Lease, error) {
	return 1, d.call(ctx)
}

// KeepAlive implements platform.Store.
func (d Direct) KeepAlive(ctx context.Context, _ platform.Lease) error { return d.call(ctx) }
