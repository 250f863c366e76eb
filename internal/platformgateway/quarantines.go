package platformgateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/schedule"
	"rosedrift.example/rosedrift/internal/telemetry"
)

// quarantineRoutes returns the operators' routes for queues in quarantine, which are served beside the metrics.
func (g *Gateway) quarantineRoutes() []telemetry.Route {
	return []telemetry.Route{
		{Pattern: "GET " + schedule.QuarantinesPath, Handler: g.listQuarantines},
		{Pattern: "DELETE " + schedule.QuarantinesPath + "/{queue}", Handler: g.liftQuarantine},
	}
}

// listQuarantines answers with the queues in quarantine, a list of schedule.QuarantineState.
func (g *Gateway) listQuarantines(w http.ResponseWriter, _ *http.Request) {
	states := []schedule.QuarantineState{}
	if !g.loop.Call(func(time.Duration) { states = append(states, g.scheduler.Quarantines()...) }) {
		refuse(w, http.StatusServiceUnavailable, "unavailable", "the gateway is stopping", shutdownRetryAfter)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(states)
}

// liftQuarantine ends the quarantine of a queue at all gateways. It answers with status 204, or 404 if the queue is in none.
func (g *Gateway) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	queue, lifted := r.PathValue("queue"), false
	if !g.loop.Call(func(now time.Duration) { lifted = g.scheduler.LiftQuarantine(now, queue) }) {
		refuse(w, http.StatusServiceUnavailable, "unavailable", "the gateway is stopping", shutdownRetryAfter)
		return
	}
	_ = level.Info(g.logger).Log("msg", "lift of a quarantine requested", "queue", queue, "from", r.RemoteAddr, "lifted", lifted)
	if !lifted {
		refuse(w, http.StatusNotFound, "not_found", "queue "+queue+" is not in quarantine", 0)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
