package dispatch

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// adopt ends a takeover: keys of the journal and of the agents' start records become known.
func (p *Pool) adopt(in Adopt) {
	if p.adopted {
		return
	}
	p.addKnownJobs(in)
	p.rebuildRunning()
	p.previousTicketsValid = in.Complete
	p.endRecovery(in.Doubt)
}

func (p *Pool) endRecovery(doubt bool) {
	p.adopted = true
	if doubt {
		p.refuseUnknownUntil = p.now + p.keyRetention()
	}
	p.adoptedAt = p.now
	p.noServerSince = p.now
	p.unlinkedDeadline = p.now + structs.LostAfter
	p.releaseHeld()
}

// collect adds the jobs of the journal and of the start records as bodiless ones.
func (p *Pool) addKnownJobs(in Adopt) {
	recent := make(map[structs.KeyHash]bool, len(in.RecentOnce))
	for _, key := range in.RecentOnce {
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

// bodiless returns the job of a key, which is added if it is unknown. Jobs known from start records alone count as
// repeatable until their submission says otherwise.
func (p *Pool) recoveredJob(key structs.KeyHash, proven bool) *job {
	if j := p.jobs[key]; j != nil {
		return j
	}
	j := &job{
		id:              structs.JobID{Pool: p.options.Pool, Key: key},
		repeatable:      true,
		recordsComplete: proven,
	}
	p.addJob(j, p.now+p.keyRetention())
	return j
}

// resumeRunning materializes the jobs that have running tasks, since these occupy slots. The others keep only their
// records until someone asks for them.
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

// materialize builds the task list of a bodiless job from its records and asks the agents for results. The job may
// end by that.
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
		// Records of more tasks than the journal entry says cannot be of this job alone.
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

func (j *job) minTaskCount() int {
	size := j.taskCount
	for _, r := range j.records {
		size = max(size, int(r.index)+1)
	}
	return size
}

// findings sums up what the records of a job say beyond running and finished tasks.
type recordSummary struct{ failed, lost, dropped bool }

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
			// Whether the task has ended is unknown, which outcomeNow learns from proven.
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

// recordEnded counts a task that has ended and whose result cannot be had.
func (p *Pool) markEnded(j *job, index uint32) {
	j.tasks[index].state = taskRecorded
	j.recorded++
}

// fetchJob asks each agent that holds results of a job for them.
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

// fetchAgent asks an agent for the results of all jobs that have tasks there.
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

// Snapshot returns the state of the pool for a planned handover. The caller stops to call Step, so that the snapshot
// stays true, unless the handover fails. Keys admitted while detached must be in the journal before: the successor
// journals only the keys of jobs that have not ended.
func (p *Pool) Snapshot(now time.Duration) []structs.HandoffJob {
	p.now = max(p.now, now)
	jobs := make([]structs.HandoffJob, 0, len(p.jobs))
	for _, ring := range []*jobFIFO{&p.ended.nonRepeatable, &p.ended.repeatable} {
		for _, j := range ring.jobs[ring.head:] {
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

// snapshotEnded describes a job that has ended. Without kept results the answer has a problem of CodeResultGone.
func (p *Pool) snapshotEnded(j *job) structs.HandoffJob {
	h := structs.HandoffJob{Answer: j.answer, Age: p.now - j.admittedAt}
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

func (p *Pool) snapshotLive(j *job) structs.HandoffJob {
	h := structs.HandoffJob{Submission: *j.sub, Results: make([][]byte, j.taskCount), Age: p.now - j.admittedAt}
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

// restore ends a planned handover. The snapshot is the whole knowledge of the previous owner, so that a doubt can only
// come from an earlier one. The collection tells which of the sent tasks have started.
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
	p.endRecovery(in.Collection.Doubt)
}

func (p *Pool) restoreJob(h *structs.HandoffJob, complete bool) {
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
	// The previous owner knows that tasks outside Started have not started.
	j.recordsComplete = true
	j.taskCount = len(sub.Payloads)
	p.rebuildTasks(j)
	if j.state == jobEnded {
		return
	}
	p.restoreTasks(j, h, complete)
	p.attachSubmission(j, sub)
}

// restoreTasks applies the results of a snapshot. A started task without result and record was dropped from its
// agent's queue, which the collection proves only if it is complete.
func (p *Pool) restoreTasks(j *job, h *structs.HandoffJob, complete bool) {
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

func (p *Pool) restoreEnded(j *job, h *structs.HandoffJob) {
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
