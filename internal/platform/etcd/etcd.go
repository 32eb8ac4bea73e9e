// Package etcd implements platform.Store as a client of the JSON gateway of etcd v3.
//
//	store := etcd.New(etcd.Endpoints("http://127.0.0.1:2379"))
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/http1"
	"github.com/pollencart/pollencart/internal/http1/transport"
	"github.com/pollencart/pollencart/internal/platform"
)

// Store implements platform.Store over HTTP. It is safe for concurrent use.
type Store struct {
	options       Options
	http          *http.Client
	endpointIndex atomic.Uint32

	// Calls counts the requests sent by this store.
	Calls atomic.Int64
}

var _ platform.Store = (*Store)(nil)

// New returns a store that connects on first use.
func New(opts ...Option) *Store {
	o := newOptions(opts...)

	return &Store{options: o, http: &http.Client{Transport: transport.New(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
	})}}
}

const maxIdleConns = 4

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	var out rangeResponse
	if err := s.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &out); err != nil {
		return platform.Entry{}, err
	}

	if len(out.Kvs) == 0 {
		return platform.Entry{}, platform.ErrNotFound.With("%s", key)
	}

	return toEntry(out.Kvs[0]), nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	end := []byte(prefix)
	end[len(end)-1]++

	var out rangeResponse
	if err := s.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(prefix), RangeEnd: end}, &out); err != nil {
		return nil, err
	}

	entries := make([]platform.Entry, 0, len(out.Kvs))
	for _, kv := range out.Kvs {
		entries = append(entries, toEntry(kv))
	}

	return entries, nil
}

func toEntry(kv keyValue) platform.Entry {
	return platform.Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// Swap implements platform.Store.
func (s *Store) Swap(
	ctx context.Context, key string, revision int64, value []byte, opts ...platform.PutOption,
) (int64, error) {
	var o platform.PutOptions
	for _, opt := range opts {
		opt(&o)
	}

	puts, err := putOps(append([]platform.Entry{{Key: key, Value: value, Lease: o.Lease}}, o.Also...))
	if err != nil {
		return 0, err
	}

	for _, drop := range o.Drop {
		puts = append(puts, requestOp{RequestDelete: &rangeRequest{Key: []byte(drop)}})
	}

	in := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: revision}},
		Success: puts,
	}

	var out txnResponse
	if err := s.call(ctx, "/v3/kv/txn", in, &out); err != nil {
		return 0, err
	}

	if !out.Succeeded {
		return 0, platform.ErrConflict.With("%s", key)
	}

	return out.Header.Revision, nil
}

// GetMany implements platform.Store.
func (s *Store) GetMany(ctx context.Context, keys ...string) (map[string]platform.Entry, error) {
	if len(keys) > platform.MaxOps {
		return nil, platform.ErrTooLarge.With("%d keys, limit %d", len(keys), platform.MaxOps)
	}

	var in txnRequest
	for _, key := range keys {
		in.Success = append(in.Success, requestOp{RequestRange: &rangeRequest{Key: []byte(key)}})
	}

	var out txnResponse
	if err := s.call(ctx, "/v3/kv/txn", in, &out); err != nil {
		return nil, err
	}

	found := make(map[string]platform.Entry, len(keys))

	for _, r := range out.Responses {
		if r.ResponseRange == nil {
			continue
		}

		for _, kv := range r.ResponseRange.Kvs {
			found[string(kv.Key)] = toEntry(kv)
		}
	}

	return found, nil
}

// PutMany implements platform.Store.
func (s *Store) PutMany(ctx context.Context, entries ...platform.Entry) error {
	puts, err := putOps(entries)
	if err != nil {
		return err
	}

	var out txnResponse

	return s.call(ctx, "/v3/kv/txn", txnRequest{Success: puts}, &out)
}

func putOps(entries []platform.Entry) ([]requestOp, error) {
	if len(entries) > platform.MaxOps {
		return nil, platform.ErrTooLarge.With("%d keys, limit %d", len(entries), platform.MaxOps)
	}

	puts := make([]requestOp, len(entries))

	for i, e := range entries {
		if len(e.Value) > platform.MaxValue {
			return nil, platform.ErrTooLarge.With("%s has %d bytes, limit %d", e.Key, len(e.Value), platform.MaxValue)
		}

		puts[i] = requestOp{RequestPut: &putRequest{Key: []byte(e.Key), Value: e.Value, Lease: int64(e.Lease)}}
	}

	return puts, nil
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.Lease, error) {
	var out leaseResponse
	if err := s.call(ctx, "/v3/lease/grant", leaseRequest{TTL: int64(ttl / time.Second)}, &out); err != nil {
		return 0, err
	}

	return platform.Lease(out.ID), nil
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, l platform.Lease) error {
	var out keepAliveResponse
	if err := s.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: int64(l)}, &out); err != nil {
		return err
	}

	if out.Result.TTL <= 0 {
		return platform.ErrNotFound.With("lease %d has lapsed", l)
	}

	return nil
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, key string, from int64) (<-chan platform.Entry, error) {
	in := watchRequest{CreateRequest: watchCreate{Key: []byte(key), StartRevision: from}}

	resp, err := s.post(ctx, "/v3/watch", in) //nolint:bodyclose // closed by the goroutine below
	if err != nil {
		return nil, err
	}

	out := make(chan platform.Entry)

	go func() {
		defer close(out)
		defer func() { _ = resp.Body.Close() }()

		forwardEvents(ctx, resp.Body, out)
	}()

	return out, nil
}

// maxMessageBytes bounds one message of the gateway: a page of a list, or the events of a watch.
const maxMessageBytes = 64 << 20

func forwardEvents(ctx context.Context, body io.Reader, out chan<- platform.Entry) {
	limit := &io.LimitedReader{R: body}
	dec := json.NewDecoder(limit)

	for {
		limit.N = maxMessageBytes

		var r watchResponse
		if err := dec.Decode(&r); err != nil {
			return
		}

		for _, e := range r.Result.Events {
			select {
			case out <- toEntry(e.Kv):
			case <-ctx.Done():
				return
			}
		}
	}
}

func (s *Store) call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()

	resp, err := s.post(ctx, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()

	data, err := http1.ReadAll(resp.Body, maxMessageBytes)
	if err != nil {
		return platform.ErrUnknown.Wrap(err)
	}

	if err := json.Unmarshal(data, out); err != nil {
		return platform.ErrUnknown.Wrap(err)
	}

	return nil
}

func (s *Store) post(ctx context.Context, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, platform.ErrUnavailable.Wrap(err)
	}

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.endpoint()+path, bytes.NewReader(body))
	if err != nil {
		return nil, platform.ErrUnavailable.Wrap(err)
	}

	req.Header.Set("Content-Type", "application/json")
	s.Calls.Add(1)

	resp, err := s.http.Do(req)
	if err != nil {
		s.endpointIndex.Add(1)

		return nil, classify(err)
	}

	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()

		return nil, readError(resp)
	}

	return resp, nil
}

// maxErrorBytes bounds the body of an error, and maxDetailBytes what is kept of it.
const (
	maxErrorBytes  = 64 << 10
	maxDetailBytes = 512
)

// readError returns the error that a response reports. A body that breaks off says nothing.
func readError(resp *http.Response) error {
	detail, err := http1.ReadAll(resp.Body, maxErrorBytes)
	if err != nil {
		return platform.ErrUnknown.Wrap(err)
	}

	return statusError(resp.StatusCode, string(detail[:min(len(detail), maxDetailBytes)]))
}

func (s *Store) endpoint() string {
	if len(s.options.Endpoints) == 0 {
		return "http://127.0.0.1:0"
	}

	return s.options.Endpoints[int(s.endpointIndex.Load())%len(s.options.Endpoints)]
}

// classify distinguishes requests that were not sent from requests that may have
// taken effect. If a lost answer were reported as a failure, the caller would
// retry and accept a version twice.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return platform.ErrUnavailable.Wrap(err)
	}

	return platform.ErrUnknown.Wrap(err)
}

func statusError(status int, detail string) error {
	if status == http.StatusRequestEntityTooLarge {
		return platform.ErrTooLarge.With("%s", detail)
	}

	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return platform.ErrUnavailable.With("status %d", status)
	}

	return platform.ErrUnknown.With("status %d: %s", status, detail)
}
