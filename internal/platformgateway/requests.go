package platformgateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/schedule"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/platform"
)

// Limits of callers' connections.
const (
	// headerTimeout and bodyTimeout bound the arrival of a request, so that slow senders do not occupy connections for
	// long.
	headerTimeout = 3 * time.Second
	bodyTimeout   = 3 * time.Second
	// idleTimeout closes unused connections. It is longer than that of the callers' side, 15 s, which therefore
	// closes them first.
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// maxOpenRequests bounds the open requests and, together with MaxBodyBytes, their memory. The smallest gateway
	// has 144 MB; a job takes about 10 KB.
	maxOpenRequests = 4000
	// storeRetryAfter is the Retry-After of requests that arrive before the configuration is known.
	storeRetryAfter = time.Second
	// lateRetryAfter is the Retry-After of submissions that are handled too late for their callers.
	lateRetryAfter = time.Second
	// maxCallerSilence is the time since the last sign of a caller from which on its job is not submitted. A caller that has lost its
	// connection may submit the job elsewhere 1.3 s later. As for a gateway without contact to an agent, the rest of that time is
	// left to notice the end of the connection and to stop the runs.
	maxCallerSilence = structs.GatewayTimeout
	// stalledLogInterval is the time between log lines about callers' silence.
	stalledLogInterval = time.Second
	// shutdownRetryAfter is the Retry-After of requests that arrive late in a graceful shutdown. By then the balancer
	// sends new connections elsewhere.
	shutdownRetryAfter = time.Second
)

// requestHandler serves the callers' requests.
type requestHandler struct {
	gateway *Gateway
	open    atomic.Int64
	// arrived is set by each request. awaitQuiet resets it.
	arrived atomic.Bool

	// mu guards the fields up to next.
	mu      sync.Mutex
	waiters map[schedule.Waiter]chan schedule.Answer
	// cancellings holds the requests to cancel a job that wait for their confirmation.
	cancellings map[schedule.Waiter]chan schedule.Cancelled
	next        schedule.Waiter

	// stalledLogged is when refusals for silence were last logged, and stalledUnlogged their number since. The event loop
	// uses them.
	stalledLogged   time.Duration
	stalledUnlogged int
}

func newRequestHandler(g *Gateway) *requestHandler {
	return &requestHandler{gateway: g, waiters: map[schedule.Waiter]chan schedule.Answer{}, cancellings: map[schedule.Waiter]chan schedule.Cancelled{}}
}

// problem is the body of every unsuccessful answer, a problem detail (RFC 9457).
type problem struct {
	Code    string `json:"code"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
}

// ServeHTTP implements http.Handler.
func (h *requestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := h.gateway.loop.Now()
	h.open.Add(1)
	defer h.open.Add(-1)
	h.arrived.Store(true)
	if h.gateway.shuttingDown.Load() {
		w.Header().Set("Connection", "close") // the balancer decides where the caller's next connection goes
	}
	routing := h.gateway.operator.routing.Load()
	if routing == nil {
		refuse(w, http.StatusServiceUnavailable, "unavailable", "the configuration is not known yet", storeRetryAfter)
		return
	}
	route, ok := routing.Find(hostOf(r), r.URL.Path)
	if !ok {
		refuse(w, http.StatusNotFound, "not_found", "there is no such queue", 0)
		return
	}
	id := strings.TrimPrefix(r.URL.Path, route.Prefix)
	switch {
	case r.Method == http.MethodGet && id == "":
		h.queueState(w, route)
	case !platform.ValidJobID(id):
		refuse(w, http.StatusBadRequest, "bad_request", "a job is named by 16 hexadecimal digits", 0)
	case r.Method == http.MethodPost:
		h.submitJob(w, r, routing, route, id, received)
	case r.Method == http.MethodGet:
		h.jobState(w, id)
	case r.Method == http.MethodDelete:
		h.cancelJob(w, r, id)
	default:
		w.Header().Set("Allow", "GET, POST, DELETE")
		refuse(w, http.StatusMethodNotAllowed, "bad_request", "the method is not known here", 0)
	}
}

func hostOf(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// refuse answers a request with a problem. retryAfter is left out if it is 0.
func refuse(w http.ResponseWriter, status int, code, detail string, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	outcome := "not_run"
	if status == http.StatusGatewayTimeout {
		outcome = "may_have_run"
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	// Encoding fails only if the caller has left.
	_ = json.NewEncoder(w).Encode(problem{Code: code, Detail: detail, Outcome: outcome})
}

func answerJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}

// queueState answers with the number of waiting jobs of a route.
func (h *requestHandler) queueState(w http.ResponseWriter, route structs.Route) {
	waiting := 0
	h.gateway.loop.Call(func(time.Duration) { waiting = h.gateway.scheduler.WaitingJobs(route.Name) })
	answerJSON(w, platform.QueueAnswer{Waiting: waiting})
}

// jobState answers with the state of a job. Jobs that have ended are unknown: their callers got the answer to the
// submission, and nobody asks for it later.
func (h *requestHandler) jobState(w http.ResponseWriter, id string) {
	known := false
	h.gateway.loop.Call(func(time.Duration) { known = h.gateway.scheduler.HasJob(id) })
	if !known {
		refuse(w, http.StatusGone, "not_found", "no such job is known", 0)
		return
	}
	answerJSON(w, platform.JobAnswer{State: platform.JobRunning})
}

// cancelJob cancels a job, and answers once an agent has passed the cancelling on to the other gateways, which may run it too.
func (h *requestHandler) cancelJob(w http.ResponseWriter, r *http.Request, id string) {
	confirmed := make(chan schedule.Cancelled, 1)
	h.mu.Lock()
	h.next++
	waiter := h.next
	h.cancellings[waiter] = confirmed
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.cancellings, waiter)
	}()
	h.gateway.metrics.cancelled.Inc(1)
	h.gateway.loop.Post(func(now time.Duration) { h.gateway.scheduler.RequestCancel(now, id, waiter) })
	select {
	case <-r.Context().Done():
	case result := <-confirmed:
		switch {
		case !result.Confirmed:
			h.gateway.metrics.unconfirmedCancels.Inc(1)
			refuse(w, http.StatusGatewayTimeout, "unconfirmed", "the job does not run here any more, but no other gateway could be told", time.Second)
		case !result.Known:
			refuse(w, http.StatusGone, "not_found", "no such job is known", 0)
		default:
			answerJSON(w, platform.JobAnswer{State: platform.JobCancelled})
		}
	}
}

// confirmCancelling passes the result of a cancelling to its request. It runs in the event loop.
func (h *requestHandler) confirmCancelling(result schedule.Cancelled) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if confirmed := h.cancellings[result.Waiter]; confirmed != nil {
		confirmed <- result
	}
}

// adviceUnsupported is the detail of a refusal by a queue with structs.Route.NeedsAdvice.
const adviceUnsupported = "queues with advice are not served"

// jobRefusal is why a submission is refused before it reaches the scheduler.
type jobRefusal struct {
	code, detail string
	retryAfter   time.Duration
	// known says that the job is known from an earlier submission, so that it may have run.
	known bool
}

// jobRefusal returns why the gateway accepts no jobs now, or nil if it does.
func (h *requestHandler) jobRefusal() *jobRefusal {
	switch {
	case h.gateway.refusesJobs.Load():
		return &jobRefusal{code: "stopping", detail: "the gateway stops, others serve", retryAfter: shutdownRetryAfter}
	case h.open.Load() > maxOpenRequests:
		return &jobRefusal{code: "overloaded", detail: "too many requests are under way", retryAfter: time.Second}
	}
	return nil
}

// arrival holds the times of a submission that has been read.
type arrival struct {
	// sent is the earliest time at which the caller may have sent the request, read when its body had been read.
	sent, read time.Duration
	// unread is how long the request may have waited before it was read.
	unread time.Duration
}

// unread returns how long a request that is read now may have waited in its connection.
func (h *requestHandler) unread(ctx context.Context) time.Duration {
	wait, suspended := h.gateway.stalls.unread(h.gateway.clocks())
	if conn, ok := stateOf(ctx); ok {
		wait = conn.silence + suspended
	}
	h.gateway.metrics.unread.RecordDuration(wait)
	return wait
}

// submitJob validates a submission and runs its job. received is when the request was received.
func (h *requestHandler) submitJob(w http.ResponseWriter, r *http.Request, routing *structs.Routing, route structs.Route, id string, received time.Duration) {
	if refusal := h.jobRefusal(); refusal != nil {
		h.refuseJob(w, refusal)
		return
	}
	unread := h.unread(r.Context())
	raw, ok := h.readBody(w, r, platform.MaxBodyBytes(routing))
	if !ok {
		return
	}
	arrived := arrival{sent: received - unread, read: h.gateway.loop.Now(), unread: unread}
	job, err := platform.ParseJob(id, raw)
	var unsupported *platform.UnsupportedError
	switch {
	case errors.As(err, &unsupported):
		refuse(w, http.StatusServiceUnavailable, "unsupported", err.Error(), 0)
		return
	case err != nil:
		refuse(w, http.StatusBadRequest, "bad_request", err.Error(), 0)
		return
	case route.NeedsAdvice:
		refuse(w, http.StatusServiceUnavailable, "unsupported", adviceUnsupported, 0)
		return
	}
	h.runJob(w, r, route, job, arrived)
}

// readBody reads the body within bodyTimeout. If it returns false, the answer has been written.
func (h *requestHandler) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return raw, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refuse(w, http.StatusRequestEntityTooLarge, "too_large", "the body has more than "+
			strconv.FormatInt(limit, 10)+" bytes", 0)
		return nil, false
	}
	refuse(w, http.StatusRequestTimeout, "bad_request", "the body did not arrive", 0)
	return nil, false
}

// runJob submits a job and waits until it ends or the caller leaves. The caller's time counts from arrived.sent.
func (h *requestHandler) runJob(w http.ResponseWriter, r *http.Request, route structs.Route, job *structs.JobSpec, arrived arrival) {
	waiter, answered := h.addWaiter()
	limit := platform.CallerTimeout(r.Header)
	openEnded := limit == 0
	if openEnded {
		limit = route.Timeout
	}
	if limit <= 0 {
		limit = platform.DefaultCallerTimeout
	}
	began := time.Now()
	h.gateway.metrics.submitted.Inc(1)
	refused := make(chan *jobRefusal, 1)
	submitted := false // only the event loop uses it
	h.post("submission", job.ID, func(now time.Duration) {
		rest := limit - (now - arrived.sent)
		if refusal := h.lateRefusal(r.Context(), job.ID, rest, arrived.unread+now-arrived.read); refusal != nil {
			refused <- refusal
			return
		}
		submitted = true
		h.gateway.scheduler.Submit(now, schedule.Submission{Waiter: waiter, Job: job, Route: route, Timeout: rest, OpenEnded: openEnded, Age: now - arrived.sent})
	})
	select {
	case answer := <-answered:
		h.gateway.metrics.latency.RecordDuration(time.Since(began))
		h.writeAnswer(w, answer)
	case refusal := <-refused:
		h.removeWaiter(waiter)
		h.refuseJob(w, refusal)
	case <-r.Context().Done():
		h.removeWaiter(waiter)
		h.post("departure of a caller", job.ID, func(now time.Duration) {
			if submitted {
				h.gateway.scheduler.CallerLeft(now, job.ID, waiter)
			}
		})
	}
}

// lateRefusal returns why a submission is not passed to the scheduler although the gateway accepts jobs, or nil if it is. rest
// is what is left of the caller's time, and silence the time since the caller was last known to wait. It runs in the event loop.
func (h *requestHandler) lateRefusal(ctx context.Context, job string, rest, silence time.Duration) *jobRefusal {
	refusal := &jobRefusal{retryAfter: lateRetryAfter, known: h.gateway.scheduler.HasJob(job)}
	switch {
	case hasLeft(ctx):
		h.gateway.metrics.abandoned.Inc(1)
		refusal.code, refusal.detail = "abandoned", "the caller has left"
	case silence >= maxCallerSilence:
		h.gateway.metrics.stalled.Inc(1)
		h.logStalled(job, silence)
		refusal.code, refusal.detail = "stalled", "the request may have waited too long before it was handled"
	case rest <= 0:
		h.gateway.metrics.expired.Inc(1)
		refusal.code, refusal.detail = "overloaded", "the caller's time was over before the submission was handled"
	default:
		return nil
	}
	return refusal
}

// logStalled logs that a submission was refused because of the silence of its caller, at most once per stalledLogInterval. It
// runs in the event loop.
func (h *requestHandler) logStalled(job string, silence time.Duration) {
	h.stalledUnlogged++
	now := h.gateway.loop.Now()
	if h.stalledLogged > 0 && now-h.stalledLogged < stalledLogInterval {
		return
	}
	_ = level.Info(h.gateway.logger).Log("msg", "submissions refused, read too late", "job", job, "silence", silence, "count", h.stalledUnlogged)
	h.stalledLogged, h.stalledUnlogged = now, 0
}

// refuseJob answers a submission with a refusal.
func (h *requestHandler) refuseJob(w http.ResponseWriter, refusal *jobRefusal) {
	if refusal.known {
		refuse(w, http.StatusGatewayTimeout, "deadline_exceeded", refusal.detail, 0)
		return
	}
	refuse(w, http.StatusServiceUnavailable, refusal.code, refusal.detail, refusal.retryAfter)
}

// longInputDelay is the time in the queue of the event loop from which on the delay of an input is logged. Agents stop the
// runs of a gateway after 900 ms without a message, but messages leave while inputs wait.
const longInputDelay = 200 * time.Millisecond

// post passes an input about a job to the scheduler, and records how long it has waited.
func (h *requestHandler) post(what, job string, input func(now time.Duration)) {
	posted := h.gateway.loop.Now()
	h.gateway.loop.Post(func(now time.Duration) {
		delay := now - posted
		h.gateway.metrics.inputDelay.RecordDuration(delay)
		if delay >= longInputDelay {
			_ = level.Info(h.gateway.logger).Log("msg", "input delayed", "input", what, "job", job, "delay", delay)
		}
		input(now)
	})
}

func (h *requestHandler) writeAnswer(w http.ResponseWriter, answer schedule.Answer) {
	switch answer.Outcome {
	case schedule.OutcomeCompleted:
		answerJSON(w, platform.JobAnswer{State: platform.JobCompleted})
	case schedule.OutcomeFailed:
		answerJSON(w, platform.JobAnswer{State: platform.JobFailed})
	case schedule.OutcomeRefused:
		code := "overloaded"
		switch answer.Reason {
		case schedule.ReasonUnservable:
			code = "unservable"
		case schedule.ReasonQuarantine:
			code = "quarantined"
		}
		refuse(w, http.StatusServiceUnavailable, code, answer.Reason, answer.RetryAfter)
	case schedule.OutcomeLost:
		refuse(w, http.StatusGatewayTimeout, "deadline_exceeded", answer.Reason, 0)
	}
}

// addWaiter registers a request that waits for the answer of a job.
func (h *requestHandler) addWaiter() (schedule.Waiter, chan schedule.Answer) {
	answered := make(chan schedule.Answer, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	h.waiters[h.next] = answered
	return h.next, answered
}

// removeWaiter removes a request and returns its channel, or nil if it was removed before.
func (h *requestHandler) removeWaiter(waiter schedule.Waiter) chan schedule.Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	answered := h.waiters[waiter]
	delete(h.waiters, waiter)
	return answered
}

// answer passes the end of a job to its requests and logs it with the inputs of the decision. It runs in the event
// loop.
func (h *requestHandler) answer(a schedule.Answer) {
	g := h.gateway
	for _, waiter := range a.Waiters {
		if answered := h.removeWaiter(waiter); answered != nil {
			answered <- a
		}
	}
	switch a.Outcome {
	case schedule.OutcomeCompleted:
		g.metrics.completed.Inc(1)
	case schedule.OutcomeFailed:
		g.metrics.failed.Inc(1)
	case schedule.OutcomeRefused:
		g.metrics.refused.Inc(1)
	case schedule.OutcomeLost:
		g.metrics.lost.Inc(1)
	}
	switch a.Reason {
	case schedule.ReasonCrashes:
		g.metrics.givenUp.Inc(1)
	case schedule.ReasonNoRoomExpected:
		g.metrics.refusedEarly.Inc(1)
	}
	summary := a.Summary
	_ = level.Info(g.logger).Log("msg", schedule.MessageEnded, "job", a.Job, "outcome", a.Outcome, "reason", a.Reason,
		"route", summary.Route, "age", summary.Age, "objective", summary.Objective, "tasks", summary.Tasks,
		"done", summary.Done, "placed", summary.Placed, "expected", summary.ExpectedRunTime,
		"servers", summary.Servers, "revision", g.operator.state.Revision)
}
