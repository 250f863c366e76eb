package telemetry

import (
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Health holds the reasons for which a process is not ready. A process is healthy as long as it answers.
type Health struct {
	mu      sync.Mutex
	reasons map[string]string
}

// NewHealth returns a state that is not ready for the given reason, under the condition "starting".
func NewHealth(reason string) *Health {
	return &Health{reasons: map[string]string{"starting": reason}}
}

// MarkReady marks a condition as met.
func (h *Health) MarkReady(condition string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reasons, condition)
}

// MarkNotReady marks a condition as not met, with the reason in one sentence.
func (h *Health) MarkNotReady(condition, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reasons[condition] = reason
}

// Reasons returns the reasons in the order of their conditions; none means ready.
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

// Live serves /healthz.
func (h *Health) Live(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// Readiness serves /readyz: 200 if ready, otherwise 503 with the reasons.
func (h *Health) Readiness(w http.ResponseWriter, _ *http.Request) {
	reasons := h.Reasons()
	if len(reasons) == 0 {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(strings.Join(reasons, "\n") + "\n"))
}
