// Package ctxtime provides a sleep that ends early when its context ends.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d or until the context ends. It returns true if d has passed and false if the context ended first. It
// does not wait if d is zero or negative.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
