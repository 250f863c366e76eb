package dispatch

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// adopt ends a takeover. The jobs of the previous owner become known from the journal and the agents' start records.
func (p *Pool) adopt(in Adopt) {
	if p.adopted {
		return
	}
	p.addKnownJobs(in)
	p.rebuildRunning()
	p.previousTicketsValid = in.Complete
	p.endRecovery(in.KeysMayBeMissing)
}

// endRecovery lets the pool serve. keysMayBeMissing makes it refuse unknown keys for as long as keys are retained.
func (p *Pool) endRecovery(keysMayBeMissing bool) {
	p.adopted = true
	if keysMayBeMissing {
		p.refuseUnknownUntil = p.now + p.keyRetention()
	}
	p.adoptedAt = p.now
	p.noServerSince = p.now
	p.unlinkedDeadline = p.now + structs.LostAfter
	p.releaseHeld()
}

// addKnownJobs adds the jobs of the journal and of the start records as recovered jobs.
func (p *Pool) addKnownJobs(in Adopt) {
	recent := make(map[structs.KeyHash]bool, len(in.RecentNonRepeatable))
	for _, key := range in.RecentNonRepeatable {
		recent[key] = true
	}
	for _, entry := range in.Journal {
		j := p.recoveredJob(entry.Key, in.Complete)
		j.digest, j.hasDigest = entry.Digest, true
		j.taskCount = int(entry.Tasks)
		j.repeatable = entry.Repeatable
		j.journaled = true
		j.recordsComplete = in.Complete && (entry.Repeatable || recent[entry.Key])
	}
	for _, records := range in.Records {
		a := p.agentFor(records.Agent)
		for _, jobRecords := range records.Jobs {
			p.addRecords(p.recoveredJob(jobRecords.Key, in.Complete), a, jobRecords.Tasks)
		}
	}
}

func (p *Pool) addRecords(j *job, a *agent, tasks []structs.TaskRecord) {
	for _, t := range tasks {
		j.records = append(j.records, record{
			agent: a, index: t.Index, state: t.State, epoch: t.Epoch, attempt: t.Attempt,
		})
	}
}

// recoveredJob returns the job of a key, which it adds as a recovered job if it is unknown. A job that is known from
// start records only counts as repeatable until its submission says otherwise.
func (p *Pool) recoveredJob(key structs.KeyHash, recordsComplete bool) *job {
	if j := p.jobs[key]; j != nil {
		return j
	}
	j := &job{
		id:              structs.JobID{Pool: p.options.Pool, Key: key},
		repeatable:      true,
		recordsComplete: recordsComplete,
	}
	p.addJob(j, p.now+p.keyRetention())
	return j
}

// rebuildRunning rebuilds the tasks of the recovered jobs that have running tasks, since these occupy slots. The other
// jobs keep only their records until a caller asks for them.
func (p *Pool) rebuildRunning() {
	for j := p.openJobs.first; j != nil; {
		next := j.next
		if j.state == jobRecovered && j.hasRunning() {
			p.rebuildTasks(j)
		}
		j = next
	}
}

func (j *job) hasRunning() bool {
	for _, r := range j.records {
		if r.state == structs.RecordRunning {
			return true
		}
	}
	return false
}

// rebuildTasks builds the task list of a recovered job from its records and asks the agents for the results of ended
// tasks. It ends the job if the records show that the job cannot complete, or has completed without kept results.
func (p *Pool) rebuildTasks(j *job) {
	if j.tasks != nil {
		p.fetchResults(j)
		return
	}
	j.tasks = make([]task, j.minTaskCount())
	found := p.applyRecords(j)
	j.records = nil
	switch {
	case j.taskCount > 0 && len(j.tasks) > j.taskCount:
		// There are records of more tasks than the journal entry has, so some must belong to another job.
		j.recordsComplete, j.taskCount = false, len(j.tasks)
		p.endWithUnknownOutcome(j)
	case found.failed:
		p.endJob(j, structs.CodeTaskFailed, structs.OutcomeFailed, "a task failed under the previous owner")
	case found.lost:
		p.endJob(j, structs.CodeServerLost, p.outcomeNow(j), "a server with tasks of the previous owner was lost")
	case found.dropped && j.recorded == j.taskCount && j.taskCount > 0:
		p.finishWithoutResults(j)
	case found.dropped:
		p.endJob(j, structs.CodeResultGone, p.outcomeNow(j), "an agent has dropped the result of a task")
	case !j.recordsComplete && j.started() < j.taskCount:
		p.endWithUnknownOutcome(j)
	default:
		p.fetchResults(j)
	}
}

// minTaskCount returns the number of tasks of a recovered job as far as it is known: from the journal or, if it is
// greater, from the highest index in the start records.
func (j *job) minTaskCount() int {
	count := j.taskCount
	for _, r := range j.records {
		count = max(count, int(r.index)+1)
	}
	return count
}

// recordSummary says which tasks without a result the records of a job contain: failed ones, ones at lost agents, and
// ones whose result an agent has dropped.
type recordSummary struct{ failed, lost, dropped bool }

// applyRecords adds the tasks of a job's records to their agents and counts them.
func (p *Pool) applyRecords(j *job) recordSummary {
	var found recordSummary
	for _, r := range j.records {
		if j.tasks[r.index].state != taskWaiting {
			continue
		}
		switch {
		case r.state == structs.RecordFailed:
			found.failed = true
			p.markEnded(j, r.index)
		case r.state == structs.RecordEvicted:
			found.dropped = true
			p.markEnded(j, r.index)
		case r.agent.lost && r.state == structs.RecordRunning:
			// It is unknown whether the task has ended. Without recordsComplete, outcomeNow returns may_have_run.
			found.lost, j.recordsComplete = true, false
		case r.agent.lost:
			found.lost = true
			p.markEnded(j, r.index)
		case r.state == structs.RecordRunning:
			p.addToAgent(j, r.index, r.agent, taskSent)
			j.tasks[r.index].epoch, j.tasks[r.index].attempt = r.epoch, r.attempt
			p.index.Occupy(r.agent.server)
		default:
			p.addToAgent(j, r.index, r.agent, taskRecorded)
		}
	}
	return found
}

// markEnded counts a task that has ended and whose result is not available.
func (p *Pool) markEnded(j *job, index uint32) {
	j.tasks[index].state = taskRecorded
	j.recorded++
}

// fetchResults asks each linked agent that holds results of a job for them.
func (p *Pool) fetchResults(j *job) {
	if j.recorded == 0 {
		return
	}
	p.sequence++
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskRecorded && t.agent.everLinked && t.agent.lastVisit != p.sequence {
			t.agent.lastVisit = p.sequence
			p.emit(SendFetch{Agent: t.agent.ref, Fetch: structs.FetchResults{Job: j.id}})
		}
	}
}

// fetchAgentResults asks an agent for the results of all jobs that have ended tasks there or, with includeSent, any
// tasks.
func (p *Pool) fetchAgentResults(a *agent, includeSent bool) {
	asked := make(map[*job]bool)
	for _, t := range a.tasks {
		state := t.job.tasks[t.index].state
		if asked[t.job] || (state == taskSent && !includeSent) {
			continue
		}
		asked[t.job] = true
		p.emit(SendFetch{Agent: a.ref, Fetch: structs.FetchResults{Job: t.job.id}})
	}
}

// Snapshot returns the state of the pool for a handover. Step must not be called afterwards unless the handover fails,
// since the snapshot would no longer be true. Keys that were admitted while detached must be in the journal before: the
// successor journals only the keys of jobs that have not ended.
func (p *Pool) Snapshot(now time.Duration) []structs.HandoverJob {
	p.now = max(p.now, now)
	jobs := make([]structs.HandoverJob, 0, len(p.jobs))
	for _, ended := range []*jobFIFO{&p.ended.nonRepeatable, &p.ended.repeatable} {
		for _, j := range ended.jobs[ended.head:] {
			jobs = append(jobs, p.snapshotEnded(j))
		}
	}
	for j := p.openJobs.first; j != nil; j = j.next {
		if j.state == jobLive {
			jobs = append(jobs, p.snapshotLive(j))
		}
	}
	return jobs
}

// snapshotEnded describes a job that has ended. If its results were dropped, the answer has a problem with
// CodeResultGone.
func (p *Pool) snapshotEnded(j *job) structs.HandoverJob {
	h := structs.HandoverJob{Answer: j.answer, Age: p.now - j.admittedAt}
	if j.sub != nil {
		h.Submission = *j.sub
	} else {
		h.Submission = structs.Submission{Job: j.id, Digest: j.digest, Repeatable: j.repeatable}
	}
	if j.resultsDropped {
		problem := newProblem(structs.CodeResultGone, structs.OutcomeComplete, "the results are no longer kept")
		h.Answer = &structs.Answer{Job: j.id, Outcome: structs.OutcomeComplete, Problem: problem}
	}
	return h
}

func (p *Pool) snapshotLive(j *job) structs.HandoverJob {
	h := structs.HandoverJob{Submission: *j.sub, Results: make([][]byte, j.taskCount), Age: p.now - j.admittedAt}
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			continue
		}
		h.Started = append(h.Started, uint32(i))
		if j.tasks[i].state == taskFinished {
			h.Results[i] = j.results[i]
		}
	}
	return h
}

// restore ends a handover. The snapshot holds all jobs of the previous owner, so keys can be missing only from an owner
// before it. The journal and the start records show which of the sent tasks have started.
func (p *Pool) restore(in Restore) {
	if p.adopted {
		return
	}
	p.addKnownJobs(in.Collection)
	p.previousTicketsValid = true
	for i := range in.Jobs {
		p.restoreJob(&in.Jobs[i], in.Collection.Complete)
	}
	p.rebuildRunning()
	p.endRecovery(in.Collection.KeysMayBeMissing)
}

func (p *Pool) restoreJob(h *structs.HandoverJob, complete bool) {
	sub := &h.Submission
	j := p.recoveredJob(sub.Job.Key, true)
	if j.state == jobEnded {
		return
	}
	j.admittedAt = p.now - h.Age
	if h.Answer != nil {
		p.restoreEnded(j, h)
		return
	}
	p.setDue(j, j.admittedAt+p.deadline(sub))
	// The previous owner knew all of its starts: tasks that are not in Started have not started.
	j.recordsComplete = true
	j.taskCount = len(sub.Payloads)
	p.rebuildTasks(j)
	if j.state == jobEnded {
		return
	}
	p.restoreTasks(j, h, complete)
	p.attachSubmission(j, sub)
}

// restoreTasks applies the results of a snapshot. A task that was sent and has neither a result nor a start record was
// dropped from its agent's queue when the agent promised the new epoch. This is certain only if all agents have
// answered the fence; otherwise the task may have run at an agent that has not.
func (p *Pool) restoreTasks(j *job, h *structs.HandoverJob, complete bool) {
	j.results = growResults(j.results, j.taskCount)
	for _, index := range h.Started {
		t := &j.tasks[index]
		if h.Results[index] == nil {
			j.recordsComplete = j.recordsComplete && (complete || t.state != taskWaiting)
			continue
		}
		if t.state == taskSent || t.state == taskRecorded {
			p.removeFromAgent(j, index)
		}
		t.state = taskFinished
		j.finished++
		j.results[index] = h.Results[index]
	}
}

func (p *Pool) restoreEnded(j *job, h *structs.HandoverJob) {
	j.sub = &h.Submission
	j.digest, j.hasDigest = h.Submission.Digest, true
	j.repeatable = h.Submission.Repeatable
	j.taskCount = len(h.Answer.Results)
	if h.Answer.Problem != nil && h.Answer.Problem.Code == structs.CodeResultGone && h.Answer.Outcome == structs.OutcomeComplete {
		p.finishWithoutResults(j)
		return
	}
	p.finish(j, h.Answer)
}
