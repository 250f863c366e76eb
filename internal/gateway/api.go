package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/structs"
)

// keyHeader is the header for the idempotency key of a submission. In a response it carries the ticket that the gateway
// has issued for a submission without a key.
const keyHeader = "Idempotency-Key"

// cancelTimeout limits the wait until a cancellation is confirmed.
const cancelTimeout = 5 * time.Second

// maxResponseTime limits the time from the arrival of a request to the end of its response, unless the handler sets its
// own write deadline.
const maxResponseTime = maxWait + time.Minute

// handler returns the handler for the caller API, the admin API, metrics and health checks.
func (g *Gateway) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tickets", g.authenticated(g.postTickets))
	mux.HandleFunc("POST /v1/jobs", g.authenticated(g.postJob))
	mux.HandleFunc("GET /v1/jobs/{id}", g.authenticated(g.getJob))
	mux.HandleFunc("GET /v1/jobs/{id}/events", g.authenticated(g.getEvents))
	mux.HandleFunc("DELETE /v1/jobs/{id}", g.authenticated(g.deleteJob))
	mux.HandleFunc("/v1/", func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, refusal(structs.CodeNotFound, fmt.Sprintf("there is no %s %.128q", r.Method, r.URL.Path)), nil)
	})
	mux.HandleFunc("GET /healthz", g.health.Live)
	mux.HandleFunc("GET /readyz", g.health.Readiness)
	if g.options.Metrics != nil {
		mux.Handle("GET /metrics", g.options.Metrics)
	}
	if g.options.Admin != nil {
		g.options.Admin(mux, g)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A reused connection still has the write deadline of its previous response.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(maxResponseTime))
		mux.ServeHTTP(w, r)
	})
}

// teamHandler serves a request of an authenticated team. If it returns a problem, the problem is written as the
// response.
type teamHandler func(w http.ResponseWriter, r *http.Request, team string) *structs.Problem

// authenticated returns an HTTP handler that determines the caller's team and calls handle with it.
func (g *Gateway) authenticated(handle teamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		team, problem := g.options.Auth.Team(r)
		if problem == nil {
			problem = handle(w, r, team)
		}
		if problem != nil {
			g.metrics.refusals.Inc(1)
			limitWrite(w)
			writeProblem(w, problem, nil)
		}
	}
}

// limitWrite sets the write deadline for a short response to writeTimeout from now.
func limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// parseWait returns the wait parameter, which is 0 if absent and limited to maxWait.
func parseWait(r *http.Request) (time.Duration, *structs.Problem) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, refusal(structs.CodeBadRequest, fmt.Sprintf("wait=%.32q is no duration, write for example 30s", text))
	}
	return min(wait, maxWait), nil
}

// awaitConfig waits for the first configuration and reports whether it has arrived in time.
func (g *Gateway) awaitConfig(ctx context.Context) bool {
	timer := time.NewTimer(ownerSearchTimeout)
	defer timer.Stop()
	select {
	case <-g.config.loaded:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// service returns the settings of a service. After a start of the gateway it first waits for the configuration.
func (g *Gateway) service(ctx context.Context, name string) (structs.ServiceConfig, *structs.Problem) {
	if !isClosed(g.config.loaded) && !g.awaitConfig(ctx) {
		p := refusal(structs.CodeUnavailable, "the gateway has not read the configuration yet")
		p.RetryAfter = time.Second
		return structs.ServiceConfig{}, p
	}
	service, ok := g.config.current().Services[name]
	if !ok {
		return service, refusal(structs.CodeUnknownService, fmt.Sprintf("there is no service %.64q", name))
	}
	return service, nil
}

func (g *Gateway) postTickets(w http.ResponseWriter, r *http.Request, _ string) *structs.Problem {
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxTickets {
			return refusal(structs.CodeBadRequest, fmt.Sprintf("count=%.32q must be 1 to %d", text, maxTickets))
		}
		count = n
	}
	name := r.URL.Query().Get("service")
	service, problem := g.service(r.Context(), name)
	if problem != nil {
		return problem
	}
	tickets, problem := g.fetchTickets(r.Context(), randomPool(name, service.Pools), count)
	if problem != nil {
		return problem
	}
	limitWrite(w)
	writeJSON(w, http.StatusOK, map[string]any{"tickets": tickets})
	return nil
}

func (g *Gateway) postJob(w http.ResponseWriter, r *http.Request, team string) *structs.Problem {
	wait, problem := parseWait(r)
	if problem != nil {
		return problem
	}
	if g.stopping.Load() && len(g.peers.successors()) == 0 {
		return refuseAtShutdown(r)
	}
	j := &pendingJob{held: &reservation{budget: &g.heldBytes}, waitsForAnswer: wait > 0}
	if problem := g.readSubmission(w, r, team, j); problem != nil {
		j.held.release()
		return problem
	}
	g.admit(j)
	if j.issuedKey {
		w.Header().Set(keyHeader, j.key)
	}
	g.respond(w, r, j, wait)
	return nil
}

// refuseAtShutdown refuses new jobs while the last gateway shuts down. If the caller has sent a key, an earlier request
// with that key may have run.
func refuseAtShutdown(r *http.Request) *structs.Problem {
	p := refusal(structs.CodeStopping, "the gateway is stopping and no other one is reachable from it")
	p.RetryAfter = time.Second
	if r.Header.Get(keyHeader) != "" {
		p.Outcome = structs.OutcomeMayHaveRun
	}
	return p
}

// readSubmission reads the request body into the pending job.
func (g *Gateway) readSubmission(w http.ResponseWriter, r *http.Request, team string, j *pendingJob) *structs.Problem {
	body, problem := g.readBody(w, r, j.held)
	if problem != nil {
		return problem
	}
	service, problem := g.service(r.Context(), body.service)
	if problem != nil {
		return problem
	}
	priority, problem := g.priority(body, service, team)
	if problem != nil {
		return problem
	}
	if err := j.held.checkPriority(priority); err != nil {
		return problemOfBody(err)
	}
	deadline, problem := g.deadline(body)
	if problem != nil {
		return problem
	}
	j.submission = structs.Submission{
		Team: team, Priority: priority, Repeatable: body.repeatable, Deadline: deadline, Kind: body.kind,
		DeclaredTime: body.declaredTime, Payloads: body.payloads,
	}
	j.submission.Digest = j.submission.BodyDigest()
	return g.assignKey(r, j, body.service, service)
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, held *reservation) (*jobBody, *structs.Problem) {
	limits := g.config.current().Limits
	limit := g.options.MaxBodyBytes
	if limits.MaxBodyBytes > 0 {
		limit = min(limit, limits.MaxBodyBytes)
	}
	if r.ContentLength > limit {
		return nil, problemOfBody(&http.MaxBytesError{Limit: limit})
	}
	maxTasks := limits.MaxTasks
	if maxTasks <= 0 {
		maxTasks = structs.DefaultMaxTasks
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := decodeJob(&reservingReader{http.MaxBytesReader(w, r.Body, limit), held}, maxTasks)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, problemOfBody(err)
	}
	return body, nil
}

// priority returns the priority of a job, and refuses one that the team may not use.
func (g *Gateway) priority(
	body *jobBody, service structs.ServiceConfig, team string,
) (structs.Priority, *structs.Problem) {
	name := body.priority
	if name == "" {
		name = service.DefaultPriority
	}
	priority, ok := structs.ParsePriority(name)
	if !ok {
		return priority, refusal(structs.CodeBadRequest, fmt.Sprintf("priority %.32q is not urgent or routine", name))
	}
	highest := g.config.current().Teams[team].MaxPriority
	if highest == structs.Routine.String() && priority == structs.Urgent {
		return priority, refusal(structs.CodeForbidden, "team "+team+" may not submit urgent jobs")
	}
	return priority, nil
}

// deadline returns the deadline of a job, relative to its admission.
func (g *Gateway) deadline(body *jobBody) (time.Duration, *structs.Problem) {
	limits := g.config.current().Limits
	longest := limits.MaxDeadline
	if longest <= 0 {
		longest = structs.DefaultMaxDeadline
	}
	if body.deadline > longest {
		return 0, refusal(structs.CodeBadRequest, fmt.Sprintf("deadline_ms is longer than %d", longest.Milliseconds()))
	}
	if body.deadline > 0 {
		return body.deadline, nil
	}
	if limits.DefaultDeadline > 0 {
		return limits.DefaultDeadline, nil
	}
	return structs.DefaultDeadline, nil
}

// assignKey sets the job's key to the caller's key, or to a ticket if a repeatable job has none, and derives the job ID
// from it.
func (g *Gateway) assignKey(r *http.Request, j *pendingJob, name string, service structs.ServiceConfig) *structs.Problem {
	j.key = r.Header.Get(keyHeader)
	s := &j.submission
	switch {
	case len(j.key) > maxKeyBytes:
		return refusal(structs.CodeBadRequest, fmt.Sprintf("%s is longer than %d bytes", keyHeader, maxKeyBytes))
	case j.key == "" && !s.Repeatable:
		return refusal(structs.CodeKeyRequired, "work that is not repeatable needs the header "+keyHeader)
	case j.key == "":
		ticket, problem := g.tickets.take(r.Context(), name, service.Pools)
		if problem != nil {
			return problem
		}
		j.key, j.issuedKey = ticket, true
	}
	s.Job.Key = structs.HashKey(s.Team, j.key)
	s.Job.Pool = structs.PoolOfKey(name, service.Pools, s.Job.Key)
	ticket, ok := structs.ParseTicket(j.key)
	if !ok {
		return nil
	}
	if ticket.Pool.Service != name || ticket.Pool.Index >= max(service.Pools, 1) {
		return refusal(structs.CodeBadRequest, "the ticket was issued for another service")
	}
	s.Job.Pool = ticket.Pool
	s.Ticketed, s.TicketEpoch, s.TicketUnique = true, ticket.Epoch, ticket.Unique
	return nil
}

// respond waits for the job as long as the caller asked and writes its answer or its current state.
func (g *Gateway) respond(w http.ResponseWriter, r *http.Request, j *pendingJob, wait time.Duration) {
	ready := j.done
	if wait <= 0 {
		ready, wait = j.accepted, acceptWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	case <-r.Context().Done():
		return
	case <-g.ctx.Done():
		return
	}
	w.Header().Set("Location", "/v1/jobs/"+j.submission.Job.String())
	if j.isDone() {
		g.writeOutcome(w, j)
		return
	}
	limitWrite(w)
	status := j.status.Load()
	if j.waitsForAnswer {
		reply := g.fetchState(r.Context(), j)
		if reply.Answer != nil {
			g.writeAnswerWithinBudget(w, reply.Answer)
			return
		}
		status = reply.Status
	}
	if status == nil {
		status = j.unconfirmedStatus()
	}
	writeJSON(w, http.StatusAccepted, newStatusBody(status, j.key))
}

// fetchState queries the owner for the state of a job whose answer has not arrived within the caller's wait. If the job
// has ended meanwhile, the reply contains the whole answer, since the status of a complete job would lack its results.
func (g *Gateway) fetchState(ctx context.Context, j *pendingJob) *structs.ForwardReply {
	job := j.submission.Job
	reply, _, err := g.sendToOwner(ctx, structs.Forward{
		Kind: structs.ForwardFetch, Pool: job.Pool, Job: job, Team: j.submission.Team,
	})
	if err != nil {
		return &structs.ForwardReply{}
	}
	return reply
}

// unconfirmedStatus returns the status of a job that no owner has confirmed yet.
func (j *pendingJob) unconfirmedStatus() *structs.JobStatus {
	s := &j.submission
	return &structs.JobStatus{
		Job: s.Job, Team: s.Team, Priority: s.Priority, Tasks: len(s.Payloads), Age: time.Since(j.admitted),
		Reason: "no gateway has confirmed the job yet; its body is kept and presented until the deadline",
	}
}

// writeOutcome writes the answer or the problem with which a pending job has ended.
func (g *Gateway) writeOutcome(w http.ResponseWriter, j *pendingJob) {
	if j.reply.Answer != nil {
		g.writeAnswerWithinBudget(w, j.reply.Answer)
		return
	}
	g.metrics.refusals.Inc(1)
	limitWrite(w)
	writeProblem(w, j.reply.Problem, &j.submission.Job)
}

// writeAnswerWithinBudget writes an answer if the memory budget for callers has space for it.
func (g *Gateway) writeAnswerWithinBudget(w http.ResponseWriter, answer *structs.Answer) {
	g.metrics.answers.Inc(1)
	limitWrite(w)
	held, problem := g.reserveAnswer(answer)
	if problem != nil {
		writeProblem(w, problem, &answer.Job)
		return
	}
	defer held.release()
	writeAnswer(w, answer)
}

// parseJob returns the job ID from the request path.
func parseJob(r *http.Request) (structs.JobID, *structs.Problem) {
	job, err := structs.ParseJobID(r.PathValue("id"))
	if err != nil {
		return job, refusal(structs.CodeBadRequest, fmt.Sprintf("%.128s", err.Error()))
	}
	return job, nil
}

// askAboutJob sends a request about an existing job to the job's owner. A job that waits at this gateway for a new
// owner is reported as pending.
func (g *Gateway) askAboutJob(ctx context.Context, f structs.Forward) (*structs.ForwardReply, *structs.Problem) {
	f.Pool = f.Job.Pool
	if _, problem := g.service(ctx, f.Pool.Service); problem != nil {
		return nil, problem
	}
	reply, problem := g.askOwner(ctx, f)
	if problem == nil || (problem.Code != structs.CodeNotFound && problem.Code != structs.CodeUnavailable) {
		return reply, problem
	}
	j := g.pending.of(f.Job)
	if j == nil || j.isDone() || j.submission.Team != f.Team || f.Kind == structs.ForwardCancel {
		return reply, problem
	}
	return &structs.ForwardReply{Status: j.unconfirmedStatus()}, nil
}

func (g *Gateway) getJob(w http.ResponseWriter, r *http.Request, team string) *structs.Problem {
	job, problem := parseJob(r)
	if problem != nil {
		return problem
	}
	wait, problem := parseWait(r)
	if problem != nil {
		return problem
	}
	waiting, cancel := g.untilShutdown(r.Context())
	defer cancel()
	reply, problem := g.awaitJob(waiting, job, team, wait)
	if waiting.Err() != nil {
		reply, problem = g.awaitJob(r.Context(), job, team, 0)
	}
	if problem != nil {
		return problem
	}
	limitWrite(w)
	if reply.Answer != nil {
		g.writeAnswerWithinBudget(w, reply.Answer)
		return nil
	}
	writeJSON(w, http.StatusAccepted, newStatusBody(reply.Status, ""))
	return nil
}

// untilShutdown returns a context that is also canceled when a graceful shutdown begins. A caller that waits for a job
// then gets the job's state at once and can continue to wait at another gateway.
func (g *Gateway) untilShutdown(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(g.stopContext, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// awaitJob waits for the end of a job with a series of requests, since an owner holds one request for at most
// maxForwardWait.
func (g *Gateway) awaitJob(
	ctx context.Context, job structs.JobID, team string, wait time.Duration,
) (*structs.ForwardReply, *structs.Problem) {
	until := time.Now().Add(wait)
	for {
		left := max(0, min(time.Until(until), maxForwardWait))
		reply, problem := g.askAboutJob(ctx, structs.Forward{Kind: structs.ForwardFetch, Job: job, Team: team, Wait: left})
		if problem != nil || reply.Answer != nil || time.Now().After(until) || ctx.Err() != nil {
			return reply, problem
		}
		if !ctxtime.Sleep(ctx, min(retryPause, left)) {
			return reply, nil
		}
	}
}

func (g *Gateway) deleteJob(w http.ResponseWriter, r *http.Request, team string) *structs.Problem {
	job, problem := parseJob(r)
	if problem != nil {
		return problem
	}
	reply, problem := g.askAboutJob(r.Context(), structs.Forward{
		Kind: structs.ForwardCancel, Job: job, Team: team, Wait: cancelTimeout,
	})
	if problem != nil {
		return problem
	}
	limitWrite(w)
	if reply.Status != nil {
		writeJSON(w, http.StatusAccepted, newStatusBody(reply.Status, ""))
		return nil
	}
	body := map[string]string{"job": job.String(), "outcome": reply.Answer.Outcome.String()}
	if reply.Answer.Problem != nil {
		body["code"], body["detail"] = string(reply.Answer.Problem.Code), reply.Answer.Problem.Detail
	}
	writeJSON(w, http.StatusOK, body)
	return nil
}
