package telemetry

import (
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Health holds the conditions that a process has to meet to be ready. A process counts as alive as long as it answers.
type Health struct {
	mu sync.Mutex
	// reasons has, by condition, why a condition is not met.
	reasons map[string]string
}

// NewHealth returns a Health whose condition "starting" is not met, for the given reason.
func NewHealth(reason string) *Health {
	return &Health{reasons: map[string]string{"starting": reason}}
}

// MarkReady marks a condition as met.
func (h *Health) MarkReady(condition string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reasons, condition)
}

// MarkNotReady marks a condition as not met, for a reason that is shown to operators.
func (h *Health) MarkNotReady(condition, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reasons[condition] = reason
}

// Reasons returns a line "condition: reason" for each condition that is not met, sorted. The process is ready if there
// is none.
func (h *Health) Reasons() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	lines := make([]string, 0, len(h.reasons))
	for condition, reason := range h.reasons {
		lines = append(lines, condition+": "+reason)
	}
	slices.Sort(lines)
	return lines
}

// Live handles /healthz, which always answers 200.
func (h *Health) Live(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// Readiness handles /readyz. It answers 200 if the process is ready, otherwise 503 with the reasons.
func (h *Health) Readiness(w http.ResponseWriter, _ *http.Request) {
	reasons := h.Reasons()
	if len(reasons) == 0 {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(strings.Join(reasons, "\n") + "\n"))
}
