package dispatch

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// completeIfDone ends a job whose tasks have all finished.
func (p *Pool) completeIfDone(j *job) {
	if j.state == jobEnded || j.taskCount == 0 || j.finished < j.taskCount {
		return
	}
	if j.finished > j.taskCount || len(j.results) != j.taskCount {
		panic("dispatch: partial answer of job " + j.id.String())
	}
	for i := range j.tasks {
		if j.tasks[i].state != taskFinished || j.results[i] == nil {
			panic("dispatch: partial answer of job " + j.id.String())
		}
	}
	p.finish(j, &structs.Answer{Job: j.id, Outcome: structs.OutcomeComplete, Results: j.results})
}

// outcomeNow returns the outcome that a job has if it ends now without completing.
func (p *Pool) outcomeNow(j *job) structs.Outcome {
	switch {
	case j.sent > 0:
		return structs.OutcomeMayHaveRun
	case !j.recordsComplete && (j.taskCount == 0 || j.started() < j.taskCount):
		return structs.OutcomeMayHaveRun
	case j.started() > 0:
		return structs.OutcomeFailed
	case p.mode == Suspended:
		// While this owner is suspended, another one may have taken over and run the job under the same key.
		return structs.OutcomeMayHaveRun
	}
	return structs.OutcomeNotRun
}

// endJob ends a job that did not complete: its queued tasks are dropped and its running ones aborted.
func (p *Pool) endJob(j *job, code structs.Code, outcome structs.Outcome, detail string) {
	if outcome == structs.OutcomeNotRun && j.started() > 0 {
		panic("dispatch: not_run claimed for started job " + j.id.String())
	}
	p.finish(j, &structs.Answer{Job: j.id, Outcome: outcome, Problem: newProblem(code, outcome, detail)})
}

// endWithUnknownOutcome ends a recovered job with a task that may have run under the previous owner although it has no
// start record.
func (p *Pool) endWithUnknownOutcome(j *job) {
	p.endJob(j, structs.CodeOutcomeUnknown, structs.OutcomeMayHaveRun, "the previous owner was lost and not all agents could be asked")
}

// finish ends a job: it drops the tasks, keeps the answer and reports it to the waiters.
func (p *Pool) finish(j *job, answer *structs.Answer) {
	if j.state == jobEnded {
		panic("dispatch: job " + j.id.String() + " ended twice")
	}
	p.releaseTasks(j)
	j.state, j.answer = jobEnded, answer
	for _, result := range answer.Results {
		j.resultBytes += len(result)
	}
	p.removeOpen(j)
	p.retain(j)
	if len(j.waiters) > 0 {
		p.emit(JobEnded{Answer: answer, Waiters: j.waiters})
	}
	p.dropWaiters(j)
}

// finishWithoutResults ends a job that has completed and whose results are no longer available.
func (p *Pool) finishWithoutResults(j *job) {
	p.releaseTasks(j)
	j.state, j.resultsDropped = jobEnded, true
	p.removeOpen(j)
	p.retain(j)
	for _, waiter := range j.waiters {
		p.reply(j, waiter)
	}
	p.dropWaiters(j)
}

func (p *Pool) dropWaiters(j *job) {
	for _, waiter := range j.waiters {
		delete(p.waiters, waiter)
	}
	j.waiters = nil
}

// releaseTasks removes a job's tasks from the queue and from the agents, with one cancel per agent, and drops the
// payloads. The slots count as free at once, since an agent aborts a cancelled task before it reads the next start.
func (p *Pool) releaseTasks(j *job) {
	if j.entry != nil {
		p.countWaiting(j, -j.waiting)
		p.queue.Drop(j.entry)
	}
	for i := range j.tasks {
		if j.sent == 0 && j.recorded == 0 {
			break
		}
		p.releaseTask(j, uint32(i))
	}
	j.entry, j.kind, j.tasks, j.results = nil, nil, nil, nil
	j.returned, j.records = nil, nil
	if j.sub != nil {
		trimmed := *j.sub
		trimmed.Payloads = nil
		j.sub = &trimmed
	}
}

func (p *Pool) releaseTask(j *job, index uint32) {
	t := &j.tasks[index]
	a := t.agent
	switch t.state {
	case taskRecorded:
		p.removeFromAgent(j, index)
	case taskSent:
		p.removeFromAgent(j, index)
		if j.entry != nil {
			p.queue.Done(j.entry)
		}
		if a.lastVisit != j.sequence && !a.lost {
			a.lastVisit = j.sequence
			p.emit(SendCancel{Agent: a.ref, Cancel: structs.Cancel{Epoch: p.options.Epoch, Job: j.id}})
		}
	default:
	}
}

// expire ends the jobs whose deadline has passed, removes recovered jobs whose retention has ended, and does the
// periodic checks when they are due.
func (p *Pool) expire() {
	for len(p.timers) > 0 && p.timers[0].due <= p.now {
		p.expireJob(p.timers[0])
	}
	if p.now < p.nextHousekeeping {
		return
	}
	p.nextHousekeeping = p.now + housekeepingInterval
	p.forgetExpired()
	p.refusals.removeExpired(p.now)
	p.urgentLoad.closeWindow(p.now)
	p.expireUnlinked()
	p.expireUnserved()
}

func (p *Pool) expireJob(j *job) {
	switch {
	case j.state == jobLive:
		p.endJob(j, structs.CodeDeadlineExceeded, p.outcomeNow(j), "the deadline has passed")
	case len(j.waiters) > 0:
		p.endJob(j, structs.CodeOutcomeUnknown, p.outcomeNow(j), "the previous owner was lost and the job was not submitted again")
	default:
		p.releaseTasks(j)
		p.removeOpen(j)
		delete(p.jobs, j.id.Key)
	}
}

// expireUnserved ends the waiting jobs if no server has been eligible for NoServerTimeout.
func (p *Pool) expireUnserved() {
	if p.index.Serving() > 0 || !p.mayStart() || p.now < p.noServerSince+NoServerTimeout {
		return
	}
	for j := p.openJobs.first; j != nil && j.admittedAt+NoServerTimeout <= p.now; {
		next := j.next
		if j.state == jobLive && j.waiting > 0 {
			p.endJob(j, structs.CodeNoServer, p.outcomeNow(j), "no server was eligible for "+NoServerTimeout.String())
		}
		j = next
	}
}

// expireUnlinked handles as lost the agents that have start records and have not been linked since the takeover. It
// runs once, at unlinkedDeadline.
func (p *Pool) expireUnlinked() {
	if p.unlinkedDeadline == 0 || p.now < p.unlinkedDeadline {
		return
	}
	p.unlinkedDeadline = 0
	var unlinked []structs.AgentRef
	for _, a := range p.agentsByArrival {
		if !a.everLinked {
			unlinked = append(unlinked, a.ref)
		}
	}
	for _, ref := range unlinked {
		p.loseAgent(ref)
	}
}

// statusOf returns the status of a job, with the reason why it waits or how it ended.
func (p *Pool) statusOf(j *job) structs.JobStatus {
	status := j.status(p.now)
	status.Reason = p.statusReason(j)
	return status
}

func (p *Pool) statusReason(j *job) string {
	switch {
	case j.resultsDropped:
		return "completed; the results are no longer kept"
	case j.answer != nil && j.answer.Problem != nil:
		return j.answer.Problem.Detail
	case j.answer != nil:
		return "completed"
	case j.state == jobRecovered:
		return "adopted from the previous owner; waits for the caller to submit it again"
	case p.mode == Suspended:
		return "the owner is suspended: it has no contact to the store and to most agents"
	case j.waiting == 0 && j.recorded > 0:
		return "results of the previous owner's tasks are being fetched"
	case j.waiting == 0:
		return "all tasks are running or finished"
	case j.awaitingJournal:
		return "waits for the journal entry of its key"
	case p.index.Serving() == 0:
		return "no server is eligible"
	case p.queue.AtRunningLimit(j.entry):
		return "the team is at its limit of running tasks"
	}
	return "waits for a free slot"
}

// Status returns the status of a job. ok is false if the job is not known.
func (p *Pool) Status(id structs.JobID, now time.Duration) (status structs.JobStatus, ok bool) {
	j, ok := p.jobs[id.Key]
	if !ok || j.id != id {
		return structs.JobStatus{}, false
	}
	status = p.statusOf(j)
	status.Age = max(now, p.now) - j.admittedAt
	return status, true
}

// Jobs returns the status of at most limit jobs that have not ended, oldest first.
func (p *Pool) Jobs(now time.Duration, limit int) []structs.JobStatus {
	list := make([]structs.JobStatus, 0, min(limit, p.openJobs.length))
	for j := p.openJobs.first; j != nil && len(list) < limit; j = j.next {
		status := p.statusOf(j)
		status.Age = max(now, p.now) - j.admittedAt
		list = append(list, status)
	}
	return list
}

// Stats returns the counters and the current load.
func (p *Pool) Stats() Stats {
	stats := p.stats
	stats.Jobs = p.openJobs.length
	stats.QueuedUrgent = p.waiting[structs.Urgent]
	stats.QueuedRoutine = p.waiting[structs.Routine]
	stats.Running = p.running
	stats.Slots = p.index.Slots()
	stats.ExpectedUrgent = p.expectedWait(structs.Urgent)
	stats.ExpectedRoutine = p.expectedWait(structs.Routine)
	return stats
}

func (p *Pool) expectedWait(class structs.Priority) time.Duration {
	capacity := p.capacity(class)
	if capacity == 0 {
		return 0
	}
	work := p.queue.Work(structs.Urgent)
	if class == structs.Routine {
		work += p.queue.Work(structs.Routine)
	}
	return time.Duration(float64(work) / capacity)
}
