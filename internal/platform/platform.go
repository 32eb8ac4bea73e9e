// Package platform defines the interface to the key-value store of the platform:
// compare-and-swap, leases and watches.
//
// All state that needs consensus or durability is kept in this store. Package
// etcd implements the interface.
//
//	entry, err := store.Get(ctx, "/pollencart/head")
//	revision, err := store.Swap(ctx, "/pollencart/head", entry.Revision, value)
package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/pkg/errs"
)

// Limits of the store.
const (
	// MaxValue is the maximum size of a value in bytes.
	MaxValue = 1 << 20
	// MaxOps is the maximum number of keys in one call.
	MaxOps = 128
)

// Errors of a call to the store.
var (
	ErrNotFound = errs.New("platform.not_found", http.StatusNotFound, "no such key")
	ErrConflict = errs.New("platform.conflict", http.StatusConflict, "the key was changed since it was read")
	ErrTooLarge = errs.New("platform.too_large", http.StatusRequestEntityTooLarge, "value over the platform's limit")
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errs.New("platform.unavailable", http.StatusServiceUnavailable, "the platform can't be reached")
	// ErrUnknown means that the call may have taken effect.
	ErrUnknown = errs.New("platform.unknown", http.StatusGatewayTimeout, "no answer from the platform; the write may have taken effect")
)

// Entry is a value with the revision of its last change.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
	// Lease is the lease to which a write binds the key; reads leave it empty.
	Lease Lease
}

// Lease is the ID of a lease; keys bound to it are deleted when it expires.
type Lease int64

// Store is the key-value store.
type Store interface {
	// Get returns ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// GetMany returns the entries of the existing keys from one snapshot of the
	// store, in one call; at most MaxOps keys.
	GetMany(ctx context.Context, keys ...string) (map[string]Entry, error)
	// PutMany writes all entries in one call without comparing revisions. It is
	// meant for content-addressed values, for which writing is idempotent.
	PutMany(ctx context.Context, entries ...Entry) error
	// List returns the entries whose keys start with prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes the value if the key still has the given revision; revision 0
	// means that the key must not exist. It returns the new revision, or
	// ErrConflict if the revision differs. After ErrUnknown, the write may have
	// taken effect.
	Swap(ctx context.Context, key string, revision int64, value []byte, opts ...PutOption) (int64, error)
	// Watch sends the current entry and the entry after each change until ctx
	// ends. It closes the channel when the connection is lost.
	Watch(ctx context.Context, key string, from int64) (<-chan Entry, error)
	// Grant creates a lease; KeepAlive renews it.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepAlive(ctx context.Context, l Lease) error
}

// PutOptions are the options of a write.
type PutOptions struct {
	Lease Lease
	// Also are entries to write in the same transaction if the swap succeeds.
	Also []Entry
	// Drop are keys to delete in the same transaction.
	Drop []string
}

// PutOption sets an option of a write.
type PutOption func(*PutOptions)

// WithLease binds the key to a lease.
func WithLease(l Lease) PutOption { return func(o *PutOptions) { o.Lease = l } }

// Also writes other entries in the same transaction.
func Also(entries ...Entry) PutOption {
	return func(o *PutOptions) { o.Also = append(o.Also, entries...) }
}

// Drop deletes other keys in the same transaction.
func Drop(keys ...string) PutOption {
	return func(o *PutOptions) { o.Drop = append(o.Drop, keys...) }
}
