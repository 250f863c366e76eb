package telemetry

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestMetricsExposition guards against counters that are reset by each report, and against buckets that are not
// cumulative.
func TestMetricsExposition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMetrics("rosedrift", map[string]string{"gateway": "g1"})
		m.Scope.Counter("starts").Inc(3)
		m.Scope.Gauge("queued").Update(2.5)
		h := m.Scope.Histogram("wait", tally.DurationBuckets{time.Second, 2 * time.Second})
		h.RecordDuration(500 * time.Millisecond)
		h.RecordDuration(1500 * time.Millisecond)
		time.Sleep(2 * ReportInterval)
		m.Scope.Counter("starts").Inc(4)
		time.Sleep(2 * ReportInterval)
		require.NoError(t, m.Close())
		w := httptest.NewRecorder()
		m.ServeHTTP(w, nil)
		require.Equal(t, `# TYPE rosedrift_queued gauge
rosedrift_queued{gateway="g1"} 2.5
# TYPE rosedrift_starts counter
rosedrift_starts{gateway="g1"} 7
# TYPE rosedrift_wait histogram
rosedrift_wait_bucket{gateway="g1",le="1"} 1
rosedrift_wait_bucket{gateway="g1",le="2"} 2
rosedrift_wait_bucket{gateway="g1",le="+Inf"} 2
rosedrift_wait_count{gateway="g1"} 2
`, w.Body.String())
	})
}

// TestReadinessListsReasons guards against a process that reports readiness before it can serve callers.
func TestReadinessListsReasons(t *testing.T) {
	h := NewHealth("no store lease yet")
	w := httptest.NewRecorder()
	h.Readiness(w, nil)
	require.Equal(t, 503, w.Code)
	require.Contains(t, w.Body.String(), "no store lease yet")
	h.MarkReady("starting")
	w = httptest.NewRecorder()
	h.Readiness(w, nil)
	require.Equal(t, 200, w.Code)
}
