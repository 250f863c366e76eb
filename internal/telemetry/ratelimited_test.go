package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRateLimitedWarnings guards against a lasting fault that fills the log, and against one that is logged only once.
func TestRateLimitedWarnings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		limited := NewRateLimited(NewLogger(&lines, "debug", "logfmt"), 10*time.Second)
		for range 251 {
			require.NoError(t, limited.Log("msg", "fault"))
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, 3, strings.Count(lines.String(), "level=warn"))
		require.Equal(t, 248, strings.Count(lines.String(), "level=debug"))
	})
}
