package platformgateway

import (
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
	// headerTimeout and bodyTimeout bound the arrival of a request, so that slow senders cost no connection for long.
	headerTimeout = 3 * time.Second
	bodyTimeout   = 3 * time.Second
	// idleTimeout closes unused connections after the callers' side does, which uses 15 s.
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// maxOpen bounds the requests under way, and with MaxBodyBytes their memory. The smallest gateway has 144 MB; a job
	// takes about 10 KB.
	maxOpen = 4000
	// storeRetryAfter is for requests that come before the configuration is known.
	storeRetryAfter = time.Second
	// stopRetryAfter is for requests that come late in a planned stop; the balancer sends the next ones elsewhere.
	stopRetryAfter = time.Second
)

// requests serves the callers.
type requests struct {
	gateway *Gateway
	open    atomic.Int64
	// arrived is set by each request.
	arrived atomic.Bool

	// mu guards the fields below.
	mu      sync.Mutex
	waiters map[schedule.Waiter]chan schedule.Answer
	next    schedule.Waiter
}

func newRequests(g *Gateway) *requests {
	return &requests{gateway: g, waiters: map[schedule.Waiter]chan schedule.Answer{}}
}

// problem is the body of every answer without success, a problem detail (RFC 9457).
type problem struct {
	Code    string `json:"code"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
}

// ServeHTTP implements http.Handler.
func (q *requests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q.open.Add(1)
	defer q.open.Add(-1)
	q.arrived.Store(true)
	if q.gateway.stopping.Load() {
		w.Header().Set("Connection", "close") // the caller's next connection goes where the balancer sends it
	}
	routing := q.gateway.operator.routing.Load()
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
		q.queue(w, route)
	case !platform.ValidJobID(id):
		refuse(w, http.StatusBadRequest, "bad_request", "a job is named by 16 hexadecimal digits", 0)
	case r.Method == http.MethodPost:
		q.submit(w, r, routing, route, id)
	case r.Method == http.MethodGet:
		q.state(w, id)
	case r.Method == http.MethodDelete:
		q.cancel(w, id)
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
	_ = json.NewEncoder(w).Encode(problem{Code: code, Detail: detail, Outcome: outcome}) // the caller is gone if it fails
}

func answerJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller is gone if this fails
}

func (q *requests) queue(w http.ResponseWriter, route structs.Route) {
	waiting := 0
	q.gateway.loop.Call(func(time.Duration) { waiting = q.gateway.scheduler.WaitingJobs(route.Name) })
	answerJSON(w, platform.QueueAnswer{Waiting: waiting})
}

// state answers for a job that is answered when it has ended; nobody asks for it later.
func (q *requests) state(w http.ResponseWriter, id string) {
	known := false
	q.gateway.loop.Call(func(time.Duration) { known = q.gateway.scheduler.HasJob(id) })
	if !known {
		refuse(w, http.StatusGone, "not_found", "no such job is known", 0)
		return
	}
	answerJSON(w, platform.JobAnswer{State: platform.JobRunning})
}

func (q *requests) cancel(w http.ResponseWriter, id string) {
	known := false
	q.gateway.loop.Call(func(now time.Duration) { known = q.gateway.scheduler.Cancel(now, id) })
	if !known {
		refuse(w, http.StatusGone, "not_found", "no such job is known", 0)
		return
	}
	answerJSON(w, platform.JobAnswer{State: platform.JobCancelled})
}

func (q *requests) submit(w http.ResponseWriter, r *http.Request, routing *structs.Routing, route structs.Route, id string) {
	if q.gateway.closing.Load() {
		refuse(w, http.StatusServiceUnavailable, "stopping", "the gateway stops, others serve", stopRetryAfter)
		return
	}
	if q.open.Load() > maxOpen {
		refuse(w, http.StatusServiceUnavailable, "overloaded", "too many requests are under way", time.Second)
		return
	}
	raw, ok := q.readBody(w, r, platform.MaxBodyBytes(routing))
	if !ok {
		return
	}
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
		refuse(w, http.StatusServiceUnavailable, "unsupported", "queues with advice are not served", 0)
		return
	}
	q.run(w, r, route, job)
}

// readBody reads the body within bodyTimeout. After an error the answer has been written.
func (q *requests) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
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

// run submits a job and waits for its end or for the caller to leave.
func (q *requests) run(w http.ResponseWriter, r *http.Request, route structs.Route, job *structs.JobSpec) {
	waiter, answered := q.add()
	limit := platform.CallerTimeout(r.Header)
	if limit == 0 {
		limit = route.Timeout
	}
	if limit <= 0 {
		limit = platform.DefaultCallerTimeout
	}
	began := time.Now()
	q.gateway.metrics.submitted.Inc(1)
	q.gateway.loop.Post(func(now time.Duration) {
		q.gateway.scheduler.Submit(now, schedule.Submission{Waiter: waiter, Job: job, Route: route, Timeout: limit})
	})
	select {
	case answer := <-answered:
		q.gateway.metrics.latency.RecordDuration(time.Since(began))
		q.write(w, answer)
	case <-r.Context().Done():
		q.remove(waiter)
		q.gateway.loop.Post(func(now time.Duration) { q.gateway.scheduler.CallerLeft(now, job.ID, waiter) })
	}
}

func (q *requests) write(w http.ResponseWriter, answer schedule.Answer) {
	switch answer.Outcome {
	case schedule.OutcomeCompleted:
		answerJSON(w, platform.JobAnswer{State: platform.JobCompleted})
	case schedule.OutcomeFailed:
		answerJSON(w, platform.JobAnswer{State: platform.JobFailed})
	case schedule.OutcomeRefused:
		refuse(w, http.StatusServiceUnavailable, "overloaded", answer.Reason, answer.RetryAfter)
	case schedule.OutcomeLost:
		refuse(w, http.StatusGatewayTimeout, "deadline_exceeded", answer.Reason, 0)
	}
}

func (q *requests) add() (schedule.Waiter, chan schedule.Answer) {
	answered := make(chan schedule.Answer, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next++
	q.waiters[q.next] = answered
	return q.next, answered
}

func (q *requests) remove(waiter schedule.Waiter) chan schedule.Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	answered := q.waiters[waiter]
	delete(q.waiters, waiter)
	return answered
}

// answer passes the end of a job to its requests and logs it with what decided it. It runs in the loop.
func (q *requests) answer(a schedule.Answer) {
	g := q.gateway
	for _, waiter := range a.Waiters {
		if answered := q.remove(waiter); answered != nil {
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
	f := a.Summary
	_ = level.Info(g.logger).Log("msg", schedule.MessageEnded, "job", a.Job, "outcome", a.Outcome, "reason", a.Reason,
		"route", f.Route, "age", f.Age, "objective", f.Objective, "tasks", f.Tasks, "done", f.Done, "placed", f.Placed, "expected", f.ExpectedRunTime,
		"servers", f.Servers, "revision", g.operator.state.Revision)
}
