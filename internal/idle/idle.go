// Package idle provides waits that end early when their context ends.
//
//	idle.For(ctx, time.Second)
//	if ctx.Err() != nil {
//		return
//	}
package idle

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, whichever comes first. It returns immediately if d is
// not positive.
func For(ctx context.Context, d time.Duration) { Unless(ctx, d, nil) }

// Unless waits like For, but also returns as soon as wake is closed. It reports whether
// wake is closed.
func Unless(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		case <-wake:
		}
	}

	return Closed(wake)
}

// Closed reports whether wake is closed, without blocking. Nothing may be sent on wake.
func Closed(wake <-chan struct{}) bool {
	select {
	case <-wake:
		return true
	default:
		return false
	}
}
