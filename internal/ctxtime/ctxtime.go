// Package ctxtime waits for a time or for the end of a context, whichever comes first.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for the duration and reports whether the context is still live. A negative duration is none.
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
