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
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}

	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
