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

// keyHeader carries the idempotency key of a submission, and in responses the ticket that was issued for one without.
const keyHeader = "Idempotency-Key"

// cancelTimeout bounds the wait for the confirmation of a cancellation.
const cancelTimeout = 5 * time.Second

// maxResponseTime bounds a response from the arrival of its request, unless its handler knows better.
const maxResponseTime = maxWait + time.Minute

// handler returns the mux of the caller API, the admin API and the process's health.
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
		// A kept connection still has the write deadline of its previous response.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(maxResponseTime))
		mux.ServeHTTP(w, r)
	})
}

// teamHandler serves a request of an authenticated team. A returned problem is written as the response.
type teamHandler func(w http.ResponseWriter, r *http.Request, team string) *structs.Problem

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

// limitWrite gives the caller writeTimeout to read a short response.
func limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// parseWait returns the wait parameter as a duration of 0 to maxWait; longer waits are cut.
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

// awaitConfig waits for the first configuration and reports whether it has come in time.
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

// service returns the settings of a service. A gateway that has just started waits for the configuration.
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
	k := &pendingJob{held: &reservation{budget: &g.heldBytes}, waitsForAnswer: wait > 0}
	if problem := g.readSubmission(w, r, team, k); problem != nil {
		k.held.release()
		return problem
	}
	g.admit(k)
	if k.issuedKey {
		w.Header().Set(keyHeader, k.key)
	}
	g.respond(w, r, k, wait)
	return nil
}

// refuseAtShutdown refuses new work during the planned stop of the last gateway. An earlier request may have used the
// caller's key.
func refuseAtShutdown(r *http.Request) *structs.Problem {
	p := refusal(structs.CodeStopping, "the gateway is stopping and no other one is reachable from it")
	p.RetryAfter = time.Second
	if r.Header.Get(keyHeader) != "" {
		p.Outcome = structs.OutcomeMayHaveRun
	}
	return p
}

// readSubmission reads the body and fills the pending job.
func (g *Gateway) readSubmission(w http.ResponseWriter, r *http.Request, team string, k *pendingJob) *structs.Problem {
	body, problem := g.readBody(w, r, k.held)
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
	if err := k.held.checkPriority(priority); err != nil {
		return problemOfBody(err)
	}
	deadline, problem := g.deadline(body)
	if problem != nil {
		return problem
	}
	k.submission = structs.Submission{
		Team: team, Priority: priority, Repeatable: body.repeatable, Deadline: deadline, Kind: body.kind,
		DeclaredTime: body.declaredTime, Payloads: body.payloads,
	}
	k.submission.Digest = k.submission.BodyDigest()
	return g.assignKey(r, k, body.service, service)
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

func (g *Gateway) priority(
	body *jobBody, service structs.ServiceConfig, team string,
) (structs.Priority, *structs.Problem) {
	word := body.priority
	if word == "" {
		word = service.DefaultPriority
	}
	priority, ok := structs.ParsePriority(word)
	if !ok {
		return priority, refusal(structs.CodeBadRequest, fmt.Sprintf("priority %.32q is not urgent or routine", word))
	}
	highest := g.config.current().Teams[team].MaxPriority
	if highest == structs.Routine.String() && priority == structs.Urgent {
		return priority, refusal(structs.CodeForbidden, "team "+team+" may not submit urgent jobs")
	}
	return priority, nil
}

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

// assignKey takes the caller's key, or a ticket for repeatable work without one, and derives the job id from it.
func (g *Gateway) assignKey(r *http.Request, k *pendingJob, name string, service structs.ServiceConfig) *structs.Problem {
	k.key = r.Header.Get(keyHeader)
	s := &k.submission
	switch {
	case len(k.key) > maxKeyBytes:
		return refusal(structs.CodeBadRequest, fmt.Sprintf("%s is longer than %d bytes", keyHeader, maxKeyBytes))
	case k.key == "" && !s.Repeatable:
		return refusal(structs.CodeKeyRequired, "work that is not repeatable needs the header "+keyHeader)
	case k.key == "":
		ticket, problem := g.tickets.take(r.Context(), name, service.Pools)
		if problem != nil {
			return problem
		}
		k.key, k.issuedKey = ticket, true
	}
	s.Job.Key = structs.HashKey(s.Team, k.key)
	s.Job.Pool = structs.PoolOfKey(name, service.Pools, s.Job.Key)
	ticket, ok := structs.ParseTicket(k.key)
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

// respond waits as the caller asked and writes the answer or the state of the job.
func (g *Gateway) respond(w http.ResponseWriter, r *http.Request, k *pendingJob, wait time.Duration) {
	ready := k.done
	if wait <= 0 {
		ready, wait = k.accepted, acceptWait
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
	w.Header().Set("Location", "/v1/jobs/"+k.submission.Job.String())
	if k.isDone() {
		g.writeOutcome(w, k)
		return
	}
	limitWrite(w)
	status := k.status.Load()
	if k.waitsForAnswer {
		reply := g.fetchState(r.Context(), k)
		if reply.Answer != nil {
			g.writeAnswerWithinBudget(w, reply.Answer)
			return
		}
		status = reply.Status
	}
	if status == nil {
		status = k.unconfirmedStatus()
	}
	writeJSON(w, http.StatusAccepted, newStatusBody(status, k.key))
}

// fetchState asks the owner for the state of a job whose answer has not come in time. The job may have ended meanwhile;
// then the reply has the whole answer, since a status of a complete job would lack its results.
func (g *Gateway) fetchState(ctx context.Context, k *pendingJob) *structs.ForwardReply {
	job := k.submission.Job
	reply, _, err := g.sendToOwner(ctx, structs.Forward{
		Kind: structs.ForwardFetch, Pool: job.Pool, Job: job, Team: k.submission.Team,
	})
	if err != nil {
		return &structs.ForwardReply{}
	}
	return reply
}

// unconfirmedStatus describes a job that no owner has confirmed yet.
func (k *pendingJob) unconfirmedStatus() *structs.JobStatus {
	s := &k.submission
	return &structs.JobStatus{
		Job: s.Job, Team: s.Team, Priority: s.Priority, Tasks: len(s.Payloads), Age: time.Since(k.admitted),
		Reason: "no gateway has confirmed the job yet; its body is kept and presented until the deadline",
	}
}

// writeOutcome writes the end of a pending job.
func (g *Gateway) writeOutcome(w http.ResponseWriter, k *pendingJob) {
	if k.reply.Answer != nil {
		g.writeAnswerWithinBudget(w, k.reply.Answer)
		return
	}
	g.metrics.refusals.Inc(1)
	limitWrite(w)
	writeProblem(w, k.reply.Problem, &k.submission.Job)
}

// writeAnswerWithinBudget writes the end of a job within the memory for bodies and answers.
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

// parseJob returns the job named in the path.
func parseJob(r *http.Request) (structs.JobID, *structs.Problem) {
	job, err := structs.ParseJobID(r.PathValue("id"))
	if err != nil {
		return job, refusal(structs.CodeBadRequest, fmt.Sprintf("%.128s", err.Error()))
	}
	return job, nil
}

// askAboutJob sends a request askAboutJob a known job. While the job is pending here and waits for a new owner, it counts
// as pending.
func (g *Gateway) askAboutJob(ctx context.Context, f structs.Forward) (*structs.ForwardReply, *structs.Problem) {
	f.Pool = f.Job.Pool
	if _, problem := g.service(ctx, f.Pool.Service); problem != nil {
		return nil, problem
	}
	reply, problem := g.askOwner(ctx, f)
	if problem == nil || (problem.Code != structs.CodeNotFound && problem.Code != structs.CodeUnavailable) {
		return reply, problem
	}
	k := g.pending.of(f.Job)
	if k == nil || k.isDone() || k.submission.Team != f.Team || f.Kind == structs.ForwardCancel {
		return reply, problem
	}
	return &structs.ForwardReply{Status: k.unconfirmedStatus()}, nil
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

// untilShutdown returns a context that also ends when a planned stop begins: a caller who waits for a job then gets its
// state at once and waits on through another gateway.
func (g *Gateway) untilShutdown(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(g.stopContext, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// awaitJob waits for the end of a job in steps that an owner holds a request for.
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
