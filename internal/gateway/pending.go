package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// pendingGrace is how long a submission is kept beyond its deadline for the owner's statement of the outcome. It
// covers a takeover.
const pendingGrace = 10 * time.Second

// pendingJob is a submission at its entry gateway. The body stays here until the job's end is known, so that it can be
// presented to a new owner.
type pendingJob struct {
	submission structs.Submission
	// key is the idempotency key or ticket.
	key string
	// issuedKey is true if the key was issued for this request, so that no earlier request can have used it.
	issuedKey bool
	// waitsForAnswer is true if the caller waitsForAnswer for the answer; otherwise acceptance is asked for first.
	waitsForAnswer bool
	admitted       time.Time
	deadline       time.Time
	held           *reservation

	// accepted is closed when an owner has accepted the job or it has ended, done when the end is known. reply is
	// set before done is closed, and has an Answer or a Problem.
	accepted   chan struct{}
	acceptOnce sync.Once
	done       chan struct{}
	reply      *structs.ForwardReply
	status     atomic.Pointer[structs.JobStatus]

	// unresolved are the ownerships to which the body was sent without a reply.
	unresolved     map[target]bool
	suspendedSince time.Time
}

// pendingJobs holds the jobs whose end this entry gateway does not know yet.
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

func (c *pendingJobs) add(k *pendingJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byJob[k.submission.Job] = k
	c.count++
}

func (c *pendingJobs) remove(k *pendingJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byJob[k.submission.Job] == k {
		delete(c.byJob, k.submission.Job)
	}
	c.count--
	if c.count == 0 {
		close(c.empty)
		c.empty = make(chan struct{})
	}
}

func (c *pendingJobs) of(job structs.JobID) *pendingJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byJob[job]
}

// idle returns the number of kept submissions and a channel that is closed when the last one ends.
func (c *pendingJobs) idle() (int, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, c.empty
}

// admit holds a submission and delivers it in a goroutine, one per job.
func (g *Gateway) admit(k *pendingJob) {
	k.accepted, k.done = make(chan struct{}), make(chan struct{})
	k.unresolved = map[target]bool{}
	k.admitted = time.Now()
	k.deadline = k.admitted.Add(k.submission.Deadline)
	g.metrics.submissions.Inc(1)
	g.pending.add(k)
	g.spawn(func() {
		g.deliver(g.ctx, k)
		k.held.release()
		g.pending.remove(k)
	})
}

// deliver presents the submission to the owner, and to the next one after the loss of an owner, until the end of the
// job is known or its time is over.
func (g *Gateway) deliver(ctx context.Context, k *pendingJob) {
	ctx, cancel := context.WithDeadline(ctx, k.deadline.Add(pendingGrace))
	defer cancel()
	present := true
	for {
		changed := g.pools.ownershipChange()
		reply, to, err := g.sendToOwner(ctx, k.nextRequest(present))
		if ctx.Err() != nil || (time.Now().After(k.deadline) && !k.wasAccepted()) {
			k.handleReply(reply, to, err)
			k.finish(k.timeoutReply())
			return
		}
		if k.handleReply(reply, to, err) {
			return
		}
		pause, again := k.resubmitAfter(reply, err)
		if !again {
			present = present && reply.Status == nil
			continue
		}
		present = true
		g.metrics.reforwards.Inc(1)
		g.awaitOwnershipChange(ctx, changed, pause)
	}
}

// nextRequest returns the next request: the body, or a wait for the end of a job that its owner has accepted.
func (k *pendingJob) nextRequest(present bool) structs.Forward {
	wait := min(maxForwardWait, max(time.Until(k.deadline)+pendingGrace, 0))
	f := structs.Forward{Pool: k.submission.Job.Pool, Job: k.submission.Job, Team: k.submission.Team, Wait: wait}
	if !present {
		f.Kind = structs.ForwardFetch
		return f
	}
	f.Kind, f.Age = structs.ForwardSubmit, time.Since(k.admitted)
	submission := k.submission
	// The deadline counts from the admission here, also for a later owner.
	submission.Deadline = max(time.Until(k.deadline), time.Millisecond)
	f.Submission = &submission
	if !k.waitsForAnswer && !k.wasAccepted() {
		f.Wait = 0
	}
	return f
}

// handleReply evaluates a reply and reports whether the job has ended.
func (k *pendingJob) handleReply(reply *structs.ForwardReply, to target, err error) bool {
	switch {
	case err != nil:
		if to != (target{}) {
			k.unresolved[to] = true
		}
		return false
	case reply.Answer != nil:
		k.finish(reply)
		return true
	case reply.Status != nil:
		delete(k.unresolved, to)
		k.status.Store(reply.Status)
		k.accept()
		return false
	}
	return k.handleProblem(reply, to)
}

func (k *pendingJob) handleProblem(reply *structs.ForwardReply, to target) bool {
	p := reply.Problem
	if p == nil {
		k.finish(&structs.ForwardReply{Problem: &structs.Problem{
			Code: structs.CodeInternal, Outcome: structs.OutcomeMayHaveRun, Detail: "the owner sent an empty reply",
		}})
		return true
	}
	if _, again := k.resubmitAfter(reply, nil); again {
		if p.Outcome == structs.OutcomeMayHaveRun && p.Code != structs.CodeNotFound {
			k.unresolved[to] = true
		}
		return false
	}
	k.finish(k.coverEarlierAttempts(reply, to))
	return true
}

// resubmitAfter returns the pause before the body is presented resubmitAfter, and false if the reply is no reason to.
func (k *pendingJob) resubmitAfter(reply *structs.ForwardReply, err error) (time.Duration, bool) {
	if pause, again := retryAfter(reply, err); again {
		return pause, true
	}
	p := reply.Problem
	if p == nil {
		return 0, false
	}
	if p.Code == structs.CodeNotFound {
		// A new owner does not know a job whose body it has not seen.
		return 0, true
	}
	if p.Code != structs.CodeUnavailable {
		return 0, false
	}
	if k.suspendedSince.IsZero() {
		k.suspendedSince = time.Now()
	}
	return retryPause, time.Since(k.suspendedSince) < suspendedRetryPeriod
}

// coverEarlierAttempts returns the refusal with an outcome that also covers earlier attempts of this request: an owner that says
// not_run now may have taken the body over a link that broke before its reply.
func (k *pendingJob) coverEarlierAttempts(reply *structs.ForwardReply, to target) *structs.ForwardReply {
	p := reply.Problem
	if p.Outcome != structs.OutcomeNotRun || !k.unresolved[to] || p.Code == structs.CodeKeyReused {
		return reply
	}
	problem := *p
	problem.Outcome = structs.OutcomeMayHaveRun
	return &structs.ForwardReply{Problem: &problem}
}

// timeoutReply is the reply when no owner has stated the end in time. Without an owner's word only a key that was
// issued for this request proves that nothing ran.
func (k *pendingJob) timeoutReply() *structs.ForwardReply {
	outcome := structs.OutcomeMayHaveRun
	if k.issuedKey && len(k.unresolved) == 0 && !k.wasAccepted() {
		outcome = structs.OutcomeNotRun
	}
	return &structs.ForwardReply{Problem: ownerUnavailable(outcome)}
}

func (k *pendingJob) accept() { k.acceptOnce.Do(func() { close(k.accepted) }) }

func (k *pendingJob) wasAccepted() bool {
	select {
	case <-k.accepted:
		return true
	default:
		return false
	}
}

func (k *pendingJob) isDone() bool {
	select {
	case <-k.done:
		return true
	default:
		return false
	}
}

// finish states the end. Only the first statement counts.
func (k *pendingJob) finish(reply *structs.ForwardReply) {
	if k.isDone() {
		return
	}
	k.reply = reply
	close(k.done)
	k.accept()
}
