// Package idle waits without outliving its context.
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

// For returns after the time, or as soon as ctx ends; at once if there is no time to wait.
func For(ctx context.Context, d time.Duration) { Unless(ctx, d, nil) }

// Unless is For, which also returns when wake is closed, and whether it is.
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

// Closed reports whether a channel that nothing is sent on is closed.
func Closed(wake <-chan struct{}) bool {
	select {
	case <-wake:
		return true
	default:
		return false
	}
}
