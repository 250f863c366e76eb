package platformgateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/schedule"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
	"rosedrift.example/rosedrift/platform"
)

// whereRequestBytes is the size of a request for a preview besides the job in it.
const whereRequestBytes = 4 << 10

// maxWhereTasks bounds the tasks of a preview, which is computed in the event loop: one of 10,000 tasks took 0.28 s at 1,100
// servers.
const maxWhereTasks = 1000

// whereRoutes returns the operators' route for previews, which is served beside the metrics.
func (g *Gateway) whereRoutes() []telemetry.Route {
	return []telemetry.Route{{Pattern: "POST " + schedule.WherePath, Handler: g.where}}
}

// where answers a schedule.WhereRequest with a schedule.Preview. The statuses of failed requests are 400 for a malformed request
// or job, 404 for an unknown queue, 413 for a body that is too large or a job of more than maxWhereTasks tasks, 422 for a job or
// queue that rosedrift does not support, and 503 before the configuration is known and while the gateway accepts no jobs.
func (g *Gateway) where(w http.ResponseWriter, r *http.Request) {
	routing := g.operator.routing.Load()
	if routing == nil {
		refuse(w, http.StatusServiceUnavailable, "unavailable", "the configuration is not known yet", storeRetryAfter)
		return
	}
	if refusal := g.requests.jobRefusal(); refusal != nil {
		refuse(w, http.StatusServiceUnavailable, refusal.code, refusal.detail, refusal.retryAfter)
		return
	}
	raw, ok := g.requests.readBody(w, r, platform.MaxBodyBytes(routing)+whereRequestBytes)
	if !ok {
		return
	}
	route, job, ok := parseWhere(w, routing, raw)
	if !ok {
		return
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = platform.DefaultCallerTimeout
	}
	var preview schedule.Preview
	if !g.loop.Call(func(now time.Duration) { preview = g.scheduler.Preview(now, route, job, timeout) }) {
		refuse(w, http.StatusServiceUnavailable, "unavailable", "the gateway is stopping", shutdownRetryAfter)
		return
	}
	answerJSON(w, preview)
}

// parseWhere returns the queue and the job of a request for a preview. If it returns false, the answer has been written.
func parseWhere(w http.ResponseWriter, routing *structs.Routing, raw []byte) (structs.Route, *structs.JobSpec, bool) {
	var request schedule.WhereRequest
	if err := json.Unmarshal(raw, &request); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", "the body is no request: "+err.Error(), 0)
		return structs.Route{}, nil, false
	}
	at := slices.IndexFunc(routing.Routes, func(route structs.Route) bool { return route.Name == request.Queue })
	if at < 0 {
		refuse(w, http.StatusNotFound, "not_found", "there is no queue "+request.Queue+"; "+queueNames(routing), 0)
		return structs.Route{}, nil, false
	}
	route := routing.Routes[at]
	job, err := platform.ParseJob("", request.Job)
	var unsupported *platform.UnsupportedError
	switch {
	case errors.As(err, &unsupported):
		refuse(w, http.StatusUnprocessableEntity, "unsupported", err.Error(), 0)
	case err != nil:
		refuse(w, http.StatusBadRequest, "bad_request", err.Error(), 0)
	case taskCount(job) > maxWhereTasks:
		refuse(w, http.StatusRequestEntityTooLarge, "too_large",
			fmt.Sprintf("the job has %d tasks, a preview has at most %d", taskCount(job), maxWhereTasks), 0)
	case route.NeedsAdvice:
		refuse(w, http.StatusUnprocessableEntity, "unsupported", adviceUnsupported, 0)
	default:
		return route, job, true
	}
	return structs.Route{}, nil, false
}

func taskCount(job *structs.JobSpec) int {
	count := 0
	for i := range job.Steps {
		count += job.Steps[i].Count
	}
	return count
}

// queueNames names the first queues of a configuration for an error message.
func queueNames(routing *structs.Routing) string {
	const most = 20
	var names []string
	for _, route := range routing.Routes {
		names = append(names, route.Name)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if len(names) > most {
		names = append(names[:most], "...")
	}
	return "the queues are " + strings.Join(names, ", ")
}
