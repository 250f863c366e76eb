package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBoundedWarnings guards against a log that a lasting fault fills, and against one that falls silent about it.
func TestBoundedWarnings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		bounded := NewRateLimited(NewLogger(&lines, "debug", "logfmt"), 10*time.Second)
		for range 251 {
			require.NoError(t, bounded.Log("msg", "fault"))
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, 3, strings.Count(lines.String(), "level=warn"))
		require.Equal(t, 248, strings.Count(lines.String(), "level=debug"))
	})
}
