package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// pendingGrace is how long a submission is kept after its deadline for the owner's report of the outcome. It covers a
// takeover.
const pendingGrace = 10 * time.Second

// pendingJob is a submission at its entry gateway. The gateway keeps the body until the job's outcome is known, so that
// it can submit the body to a new owner.
type pendingJob struct {
	submission structs.Submission
	// key is the idempotency key or the ticket.
	key string
	// issuedKey is true if this gateway issued the key for this request, so that no earlier request can have used it.
	issuedKey bool
	// waitsForAnswer is true if the caller waits for the answer; otherwise the owner is first asked only to accept the
	// job.
	waitsForAnswer bool
	admitted       time.Time
	deadline       time.Time
	held           *reservation

	// accepted is closed when an owner has accepted the job or the job has ended. done is closed when the outcome is
	// known; reply is set before and has an Answer or a Problem.
	accepted   chan struct{}
	acceptOnce sync.Once
	done       chan struct{}
	reply      *structs.ForwardReply
	status     atomic.Pointer[structs.JobStatus]

	// unresolved holds the targets to which the body was sent and which have not confirmed what became of it.
	unresolved map[target]bool
	// suspendedSince is the time of the first reply from a suspended owner since an owner last accepted the job.
	suspendedSince time.Time
}

// pendingJobs holds the jobs of this entry gateway whose outcome is not known yet.
type pendingJobs struct {
	mu    sync.Mutex
	byJob map[structs.JobID]*pendingJob
	count int
	// empty is closed and replaced when the last pending job ends.
	empty chan struct{}
}

func newPendingJobs() *pendingJobs {
	return &pendingJobs{byJob: map[structs.JobID]*pendingJob{}, empty: make(chan struct{})}
}

func (p *pendingJobs) add(j *pendingJob) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byJob[j.submission.Job] = j
	p.count++
}

func (p *pendingJobs) remove(j *pendingJob) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byJob[j.submission.Job] == j {
		delete(p.byJob, j.submission.Job)
	}
	p.count--
	if p.count == 0 {
		close(p.empty)
		p.empty = make(chan struct{})
	}
}

// of returns the pending job with an ID, or nil.
func (p *pendingJobs) of(job structs.JobID) *pendingJob {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byJob[job]
}

// idle returns the number of pending jobs and a channel that is closed when the last one ends.
func (p *pendingJobs) idle() (int, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count, p.empty
}

// admit registers a submission as pending and starts the goroutine that delivers it.
func (g *Gateway) admit(j *pendingJob) {
	j.accepted, j.done = make(chan struct{}), make(chan struct{})
	j.unresolved = map[target]bool{}
	j.admitted = time.Now()
	j.deadline = j.admitted.Add(j.submission.Deadline)
	g.metrics.submissions.Inc(1)
	g.pending.add(j)
	g.spawn(func() {
		g.deliver(g.ctx, j)
		j.held.release()
		g.pending.remove(j)
	})
}

// deliver submits the body to the owner, and again to the next owner if that one is lost, until the job's outcome is
// known or its time is over.
func (g *Gateway) deliver(ctx context.Context, j *pendingJob) {
	ctx, cancel := context.WithDeadline(ctx, j.deadline.Add(pendingGrace))
	defer cancel()
	submit := true
	for {
		changed := g.pools.ownershipChange()
		reply, to, err := g.sendToOwner(ctx, j.nextRequest(submit))
		if ctx.Err() != nil || (time.Now().After(j.deadline) && !j.wasAccepted()) {
			j.handleReply(reply, to, err)
			j.finish(j.timeoutReply())
			return
		}
		if j.handleReply(reply, to, err) {
			return
		}
		pause, again := j.resubmitAfter(reply, err)
		if !again {
			submit = submit && reply.Status == nil
			continue
		}
		submit = true
		g.metrics.reforwards.Inc(1)
		g.awaitOwnershipChange(ctx, changed, pause)
	}
}

// nextRequest returns the request to send next: the submission, or a fetch that waits for the end of a job that its
// owner has accepted.
func (j *pendingJob) nextRequest(submit bool) structs.Forward {
	wait := min(maxForwardWait, max(time.Until(j.deadline)+pendingGrace, 0))
	f := structs.Forward{Pool: j.submission.Job.Pool, Job: j.submission.Job, Team: j.submission.Team, Wait: wait}
	if !submit {
		f.Kind = structs.ForwardFetch
		return f
	}
	f.Kind, f.Age = structs.ForwardSubmit, time.Since(j.admitted)
	submission := j.submission
	// The deadline counts from the admission at this gateway, also for a later owner.
	submission.Deadline = max(time.Until(j.deadline), time.Millisecond)
	f.Submission = &submission
	if !j.waitsForAnswer && !j.wasAccepted() {
		f.Wait = 0
	}
	return f
}

// handleReply evaluates a reply or an error and reports whether the job has ended.
func (j *pendingJob) handleReply(reply *structs.ForwardReply, to target, err error) bool {
	switch {
	case err != nil:
		if to != (target{}) {
			j.unresolved[to] = true
		}
		return false
	case reply.Answer != nil:
		j.finish(reply)
		return true
	case reply.Status != nil:
		delete(j.unresolved, to)
		j.suspendedSince = time.Time{}
		j.status.Store(reply.Status)
		j.accept()
		return false
	}
	return j.handleProblem(reply, to)
}

// handleProblem evaluates a reply without an answer or a status and reports whether the job has ended.
func (j *pendingJob) handleProblem(reply *structs.ForwardReply, to target) bool {
	p := reply.Problem
	if p == nil {
		j.finish(&structs.ForwardReply{Problem: &structs.Problem{
			Code: structs.CodeInternal, Outcome: structs.OutcomeMayHaveRun, Detail: "the owner sent an empty reply",
		}})
		return true
	}
	if _, again := j.resubmitAfter(reply, nil); again {
		if p.Outcome == structs.OutcomeMayHaveRun && p.Code != structs.CodeNotFound {
			j.unresolved[to] = true
		}
		return false
	}
	j.finish(j.coverEarlierAttempts(reply, to))
	return true
}

// resubmitAfter returns the pause before the body is submitted again, and false if the reply is no reason to resubmit.
func (j *pendingJob) resubmitAfter(reply *structs.ForwardReply, err error) (time.Duration, bool) {
	if pause, again := retryAfter(reply, err); again {
		return pause, true
	}
	p := reply.Problem
	if p == nil {
		return 0, false
	}
	if p.Code == structs.CodeNotFound {
		// A new owner does not know a job whose body it has not received.
		return 0, true
	}
	if p.Code != structs.CodeUnavailable {
		return 0, false
	}
	if j.suspendedSince.IsZero() {
		j.suspendedSince = time.Now()
	}
	return retryPause, time.Since(j.suspendedSince) < suspendedRetryPeriod
}

// coverEarlierAttempts returns the refusal with an outcome that holds for all attempts of this request. An owner that
// now reports not_run may have accepted the body over a link that broke before its reply.
func (j *pendingJob) coverEarlierAttempts(reply *structs.ForwardReply, to target) *structs.ForwardReply {
	p := reply.Problem
	if p.Outcome != structs.OutcomeNotRun || !j.unresolved[to] || p.Code == structs.CodeKeyReused {
		return reply
	}
	problem := *p
	problem.Outcome = structs.OutcomeMayHaveRun
	return &structs.ForwardReply{Problem: &problem}
}

// timeoutReply returns the reply for a job whose outcome no owner has reported in time. Without such a report, only a
// key that was issued for this request proves that nothing has run.
func (j *pendingJob) timeoutReply() *structs.ForwardReply {
	outcome := structs.OutcomeMayHaveRun
	if j.issuedKey && len(j.unresolved) == 0 && !j.wasAccepted() {
		outcome = structs.OutcomeNotRun
	}
	return &structs.ForwardReply{Problem: ownerUnavailable(outcome)}
}

func (j *pendingJob) accept() { j.acceptOnce.Do(func() { close(j.accepted) }) }

func (j *pendingJob) wasAccepted() bool {
	select {
	case <-j.accepted:
		return true
	default:
		return false
	}
}

func (j *pendingJob) isDone() bool {
	select {
	case <-j.done:
		return true
	default:
		return false
	}
}

// finish sets the outcome. Only the first call has an effect.
func (j *pendingJob) finish(reply *structs.ForwardReply) {
	if j.isDone() {
		return
	}
	j.reply = reply
	close(j.done)
	j.accept()
}
