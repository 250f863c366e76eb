package dispatch

import (
	"strconv"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/fairqueue"
	"rosedrift.example/rosedrift/internal/structs"
)

// Admission control.
const (
	// admissionMargin is the largest share of its deadline that a submission may be expected to take. The rest covers
	// the error of the estimate, since work that ends after its deadline is wasted.
	admissionMargin = 0.5
	// maxRetryAfter bounds the Retry-After that an overload refusal advises.
	maxRetryAfter = time.Minute
)

func newProblem(code structs.Code, outcome structs.Outcome, detail string) *structs.Problem {
	return &structs.Problem{Code: code, Outcome: outcome, Status: code.Status(), Detail: detail}
}

func teamQuota(team structs.TeamConfig) fairqueue.Quota {
	weight := team.Weight
	if weight <= 0 {
		weight = structs.DefaultTeamWeight
	}
	return fairqueue.Quota{Weight: weight, MaxRunning: team.MaxRunning, MaxQueued: team.MaxQueued}
}

// submit admits a submission, or refuses it. A known key is not admitted again: it leads to the existing job.
func (p *Pool) submit(in Submit) {
	sub := in.Submission
	if j, ok := p.jobs[sub.Job.Key]; ok {
		p.resubmit(j, in)
		return
	}
	if problem := p.refusals.find(p.now, in); problem != nil {
		p.refuse(in.Waiter, problem)
		return
	}
	if problem := p.admissionProblem(sub); problem != nil {
		p.refusals.add(p.now, sub.Job.Key, problem)
		p.refuse(in.Waiter, problem)
		return
	}
	j := &job{id: sub.Job, recordsComplete: true}
	p.addJob(j, p.now+p.deadline(sub))
	p.attachSubmission(j, sub)
	p.addWaiter(j, in.Waiter)
	p.accept(j, in.Waiter)
}

func (p *Pool) accept(j *job, waiter WaiterID) {
	p.emit(Accepted{Waiter: waiter, Status: p.statusOf(j)})
}

// resubmit handles a submission whose key is known.
func (p *Pool) resubmit(j *job, in Submit) {
	if p.hasDifferentBody(j, in.Submission) {
		detail := "the key was used before with another body"
		p.refuse(in.Waiter, newProblem(structs.CodeKeyReused, structs.OutcomeNotRun, detail))
		return
	}
	if j.state == jobEnded {
		p.reply(j, in.Waiter)
		return
	}
	p.addWaiter(j, in.Waiter)
	p.accept(j, in.Waiter)
	if j.state == jobRecovered {
		p.resumeRecovered(j, in.Submission)
	}
}

// resumeRecovered continues a recovered job with its submission, unless its records show that it has ended.
func (p *Pool) resumeRecovered(j *job, sub *structs.Submission) {
	p.setDue(j, p.now+p.deadline(sub))
	p.rebuildTasks(j)
	if j.state != jobEnded {
		p.attachSubmission(j, sub)
	}
}

// hasDifferentBody reports whether a submission has another body than the job of its key. Without a digest, if the key
// is known from start records only, just the number of tasks can be checked: it must cover the highest known index.
func (p *Pool) hasDifferentBody(j *job, sub *structs.Submission) bool {
	if j.hasDigest {
		return j.digest != sub.Digest
	}
	for _, r := range j.records {
		if int(r.index) >= len(sub.Payloads) {
			return true
		}
	}
	return len(j.tasks) > len(sub.Payloads)
}

func (p *Pool) deadline(sub *structs.Submission) time.Duration {
	limit := p.config.Limits.MaxDeadline
	if limit <= 0 {
		limit = structs.DefaultMaxDeadline
	}
	deadline := sub.Deadline
	if deadline <= 0 {
		deadline = p.config.Limits.DefaultDeadline
	}
	if deadline <= 0 {
		deadline = structs.DefaultDeadline
	}
	return min(deadline, limit)
}

// admissionProblem returns why a submission with an unknown key cannot be admitted, or nil.
func (p *Pool) admissionProblem(sub *structs.Submission) *structs.Problem {
	if sub.Job.Pool != p.options.Pool || len(sub.Payloads) == 0 {
		return newProblem(structs.CodeBadRequest, structs.OutcomeNotRun, "no tasks, or a job of another pool")
	}
	if problem := p.keyProblem(sub); problem != nil {
		return problem
	}
	if p.mode == Suspended {
		problem := newProblem(structs.CodeUnavailable, structs.OutcomeNotRun, "the owner has no contact to the store and to most agents")
		problem.RetryAfter = time.Second
		return problem
	}
	return p.loadProblem(sub)
}

// keyProblem returns the problem of an unknown key or ticket that may have run before, or nil.
func (p *Pool) keyProblem(sub *structs.Submission) *structs.Problem {
	if !sub.Ticketed {
		if p.now < p.refuseUnknownUntil {
			return newProblem(structs.CodeInDoubt, structs.OutcomeMayHaveRun, "the previous owner may have run this key without a journal entry")
		}
		return nil
	}
	switch {
	case sub.TicketEpoch > p.options.Epoch:
		return newProblem(structs.CodeOwnerLost, structs.OutcomeMayHaveRun, "the ticket names a later owner of the pool")
	case sub.TicketEpoch == p.options.Epoch:
		if issued, ok := ticketTime(sub.TicketUnique); ok && p.now >= issued+p.options.Retention {
			return newProblem(structs.CodeTicketExpired, structs.OutcomeMayHaveRun, "the ticket is older than the memory of jobs")
		}
		return nil
	case sub.TicketEpoch+1 == p.options.Epoch && p.previousTicketsValid && p.now < p.adoptedAt+p.options.Retention:
		return nil
	}
	return newProblem(structs.CodeTicketExpired, structs.OutcomeMayHaveRun, "the ticket was issued by an earlier owner whose jobs are not all known")
}

// ticketTime returns the time of issue of a ticket of the pool's own epoch.
func ticketTime(unique string) (time.Duration, bool) {
	text, _, _ := strings.Cut(unique, "-")
	ms, err := strconv.ParseInt(text, 36, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// loadProblem applies the team's quota and admission control. Urgent work is refused only because of urgent work
// ahead of it.
func (p *Pool) loadProblem(sub *structs.Submission) *structs.Problem {
	if p.options.Policy != PolicyDefault {
		return nil
	}
	tasks := len(sub.Payloads)
	if !p.queue.WithinQuota(sub.Team, tasks) {
		problem := newProblem(structs.CodeQuotaExceeded, structs.OutcomeNotRun, "team "+sub.Team+" has too many queued tasks")
		problem.RetryAfter = time.Second
		return problem
	}
	ahead := p.waiting[structs.Urgent]
	if sub.Priority == structs.Routine {
		ahead += p.waiting[structs.Routine]
	}
	expected, deadline := p.expectedTimeToEnd(sub), p.deadline(sub)
	full := ahead+tasks > p.service.MaxQueuedTasks
	if !full && float64(expected) <= admissionMargin*float64(deadline) {
		return nil
	}
	problem := newProblem(structs.CodeOverloaded, structs.OutcomeNotRun, "the expected wait of "+expected.Round(time.Millisecond).String()+" exceeds the deadline or the queue is full")
	problem.RetryAfter = min(max(expected-deadline, time.Second), maxRetryAfter)
	return problem
}

// attachSubmission gives a job its submission and queues the tasks that have not started.
func (p *Pool) attachSubmission(j *job, sub *structs.Submission) {
	p.countRunning(j, -j.sent)
	j.sub, j.state = sub, jobLive
	p.countRunning(j, j.sent)
	j.digest, j.hasDigest = sub.Digest, true
	j.repeatable = sub.Repeatable
	j.taskCount = len(sub.Payloads)
	j.kind = p.index.Kind(sub.Kind, sub.DeclaredTime)
	j.entry = p.queue.NewEntry(sub.Priority, sub.Team, j.sequence, j.kind.Work(), j)
	for len(j.tasks) < j.taskCount {
		j.tasks = append(j.tasks, task{})
	}
	j.results = growResults(j.results, j.taskCount)
	for range j.sent {
		p.queue.AddRunning(j.entry)
	}
	missing := j.taskCount - j.started()
	switch {
	case missing == 0:
		p.completeIfDone(j)
	case !j.recordsComplete:
		p.endWithUnknownOutcome(j)
	default:
		p.enqueue(j, missing)
	}
}

func growResults(results [][]byte, count int) [][]byte {
	if len(results) >= count {
		return results
	}
	grown := make([][]byte, count)
	copy(grown, results)
	return grown
}

// enqueue queues tasks of a job. If its key needs a journal entry, the entry is requested, and the tasks may start once
// it is written. In detached mode they do not wait for that.
func (p *Pool) enqueue(j *job, tasks int) {
	if !j.sub.Ticketed && !j.journaled {
		p.journalEntries = append(p.journalEntries, JournalEntry{
			Key:        j.id.Key,
			Digest:     j.digest,
			Tasks:      uint32(j.taskCount),
			Repeatable: j.repeatable,
		})
		if p.mode != Detached {
			j.awaitingJournal = true
			p.queue.Hold(j.entry)
		}
	}
	p.countWaiting(j, tasks)
	p.queue.Add(j.entry, tasks)
}

// countWaiting adds change to the number of waiting tasks of a job and of its priority class.
func (p *Pool) countWaiting(j *job, change int) {
	j.waiting += change
	p.waiting[j.priority()] += change
	if j.waiting < 0 {
		panic("dispatch: job " + j.id.String() + " has fewer than 0 waiting tasks")
	}
}

// releaseJob lets a job start that waits for its journal entry.
func (p *Pool) releaseJob(j *job) {
	if !j.awaitingJournal {
		return
	}
	j.awaitingJournal = false
	p.queue.Release(j.entry)
}

func (p *Pool) addWaiter(j *job, waiter WaiterID) {
	p.dropWaiter(waiter)
	p.waiters[waiter] = j
	j.waiters = append(j.waiters, waiter)
}

func (p *Pool) dropWaiter(waiter WaiterID) {
	j, ok := p.waiters[waiter]
	if !ok {
		return
	}
	delete(p.waiters, waiter)
	for i, w := range j.waiters {
		if w == waiter {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			return
		}
	}
}

func (p *Pool) wait(in Wait) { p.awaitJob(in.Job, in.Waiter) }

// awaitJob adds a waiter to a known job and returns the job. If the job is unknown or has ended, it answers the waiter
// at once and returns nil. The returned job can have ended too: the tasks of a recovered job are rebuilt by this call,
// and its records can show that it has ended.
func (p *Pool) awaitJob(id structs.JobID, waiter WaiterID) *job {
	j, ok := p.jobs[id.Key]
	if !ok {
		p.refuseUnknown(waiter)
		return nil
	}
	if j.state == jobEnded {
		p.reply(j, waiter)
		return nil
	}
	p.addWaiter(j, waiter)
	if j.state == jobRecovered {
		p.rebuildTasks(j)
	}
	return j
}

// refuseUnknown refuses a request about an unknown job. The outcome is may_have_run, since the job may have ended
// longer ago than its retention.
func (p *Pool) refuseUnknown(waiter WaiterID) {
	p.refuse(waiter, newProblem(structs.CodeNotFound, structs.OutcomeMayHaveRun, "the job is not known or its retention has ended"))
}

func (p *Pool) cancel(in CancelJob) {
	j := p.awaitJob(in.Job, in.Waiter)
	if j != nil && j.state != jobEnded {
		p.endJob(j, structs.CodeCancelled, p.outcomeNow(j), "the job was cancelled")
	}
}

// reply answers a request about a job that has ended.
func (p *Pool) reply(j *job, waiter WaiterID) {
	if j.resultsDropped {
		p.refuse(waiter, newProblem(structs.CodeResultGone, structs.OutcomeComplete, "the job completed; its results are no longer kept"))
		return
	}
	p.emit(JobEnded{Answer: j.answer, Waiters: []WaiterID{waiter}})
}
