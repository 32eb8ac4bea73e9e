// Package platform is the key-value service of the platform as the rest of the
// program sees it: compare-and-swap, leases and watches.
//
// Everything that must be agreed or kept goes through it. The implementation is
// in the subfolder etcd.
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

// Limits of the platform.
const (
	// MaxValue is the limit for one value.
	MaxValue = 1 << 20
	// MaxOps is the limit of keys in one call.
	MaxOps = 128
)

// Errors of a call to the platform.
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
	// Lease binds a written entry to a lease; it is not read back.
	Lease Lease
}

// Lease is a time-bounded claim.
type Lease int64

// Store is the key-value service.
type Store interface {
	// Get returns ErrNotFound for a key that is not there.
	Get(ctx context.Context, key string) (Entry, error)
	// GetMany returns the entries of the keys that are there, as of one moment,
	// in one call; at most MaxOps keys.
	GetMany(ctx context.Context, keys ...string) (map[string]Entry, error)
	// PutMany writes all entries in one call, whatever is there. It is for
	// values addressed by their digest, where writing twice changes nothing.
	PutMany(ctx context.Context, entries ...Entry) error
	// List returns the entries whose keys start with the prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes the value if the key still has the revision; 0 means that the
	// key is not there. It returns the new revision, ErrConflict or ErrUnknown.
	Swap(ctx context.Context, key string, revision int64, value []byte, opts ...PutOption) (int64, error)
	// Watch sends the entry now and after each change until ctx ends; the
	// channel is closed when the connection is lost.
	Watch(ctx context.Context, key string, from int64) (<-chan Entry, error)
	// Grant makes a lease, KeepAlive renews it.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepAlive(ctx context.Context, l Lease) error
}

// PutOptions of a write.
type PutOptions struct {
	Lease Lease
	// Also are written in the same transaction, if the swap takes effect.
	Also []Entry
	// Drop are deleted in the same transaction.
	Drop []string
}

// PutOption sets an option of a write.
type PutOption func(*PutOptions)

// WithLease binds the key to a lease.
func WithLease(l Lease) PutOption { return func(o *PutOptions) { o.Lease = l } }

// Also writes other keys in the same transaction: all or none.
func Also(entries ...Entry) PutOption {
	return func(o *PutOptions) { o.Also = append(o.Also, entries...) }
}

// Drop deletes other keys in the same transaction.
func Drop(keys ...string) PutOption {
	return func(o *PutOptions) { o.Drop = append(o.Drop, keys...) }
}
