package dispatch

import (
	"slices"

	"rosedrift.example/rosedrift/internal/structs"
)

// handleEvents applies the task events of an agent. Events that do not match the state of their task are ignored and
// counted.
func (p *Pool) handleEvents(in Events) {
	a, ok := p.agents[in.Agent]
	if !ok || in.Epoch > p.options.Epoch {
		p.stats.LateEvents += uint64(len(in.Events))
		return
	}
	for i := range in.Events {
		p.handleEvent(a, &in.Events[i], in)
	}
}

// handleEvent applies one event of a batch. The task must be at the agent that sent it.
func (p *Pool) handleEvent(a *agent, event *structs.TaskEvent, batch Events) {
	j := p.jobs[event.Task.Job.Key]
	index := event.Task.Index
	if j == nil || j.id != event.Task.Job || j.state == jobEnded {
		p.ignoreEvent(event)
		return
	}
	if int(index) >= len(j.tasks) || j.tasks[index].agent != a {
		p.ignoreEvent(event)
		return
	}
	switch event.Kind {
	case structs.TaskFinished:
		p.handleFinished(j, a, event)
	case structs.TaskFailed:
		p.handleFailed(j, a, event)
	case structs.TaskRefused, structs.TaskWithdrawn:
		if !p.matchesLastStart(&j.tasks[index], batch.Epoch, event.Attempt) {
			p.ignoreEvent(event)
			return
		}
		p.requeueTask(j, a, event)
	case structs.TaskAborted:
		p.handleAborted(j, event)
	case structs.TaskNotWithdrawn:
	default:
		p.ignoreEvent(event)
	}
}

// matchesLastStart reports whether an epoch and attempt are those of the last start of a task. The answer to an earlier
// start proves nothing about the last one. Epoch 0 means the pool's own epoch.
func (p *Pool) matchesLastStart(t *task, epoch structs.Epoch, attempt uint64) bool {
	if epoch == 0 {
		epoch = p.options.Epoch
	}
	return epoch == t.epoch && attempt == t.attempt
}

// ignoreEvent counts an ignored event. Events that answer the pool's own cancels and withdrawals are expected to be
// late and do not count.
func (p *Pool) ignoreEvent(event *structs.TaskEvent) {
	switch event.Kind {
	case structs.TaskAborted, structs.TaskWithdrawn, structs.TaskNotWithdrawn:
	default:
		p.stats.LateEvents++
	}
}

func (p *Pool) handleFinished(j *job, a *agent, event *structs.TaskEvent) {
	index := event.Task.Index
	if event.Error != "" {
		// The agent has a record that the task finished, but has dropped its result.
		p.endTask(j, index)
		p.endJob(j, structs.CodeResultGone, p.outcomeNow(j), "a task's result was dropped: "+event.Error)
		return
	}
	wasSent := j.tasks[index].state == taskSent
	p.endTask(j, index)
	j.results = growResults(j.results, len(j.tasks))
	j.results[index] = event.Result
	if event.Result == nil {
		// A nil result means "no result yet" in snapshots.
		j.results[index] = []byte{}
	}
	p.stats.Finished++
	if wasSent && j.kind != nil {
		p.index.Finished(a.server, j.kind, event.RunTime)
	}
	p.completeIfDone(j)
}

// endTask sets the state of a task to taskFinished, and removes it from its agent and from the running tasks of its
// team.
func (p *Pool) endTask(j *job, index uint32) {
	wasSent := j.tasks[index].state == taskSent
	p.removeFromAgent(j, index)
	j.tasks[index].state = taskFinished
	j.finished++
	if wasSent && j.entry != nil {
		p.queue.Done(j.entry)
	}
}

func (p *Pool) handleFailed(j *job, a *agent, event *structs.TaskEvent) {
	index := event.Task.Index
	if j.tasks[index].state == taskRecorded {
		// The task had finished, and the agent has dropped its result before it was fetched.
		p.endTask(j, index)
		p.endJob(j, structs.CodeResultGone, p.outcomeNow(j), "an agent has dropped the result of a task")
		return
	}
	p.stats.Failed++
	p.endTask(j, index)
	p.index.Failed(a.server, j.sequence)
	p.endJob(j, structs.CodeTaskFailed, structs.OutcomeFailed, "a task failed: "+event.Error)
}

// handleAborted ends a job whose task was aborted by its agent without a cancel.
func (p *Pool) handleAborted(j *job, event *structs.TaskEvent) {
	p.stats.Failed++
	p.endTask(j, event.Task.Index)
	p.endJob(j, structs.CodeTaskFailed, structs.OutcomeFailed, "a task was aborted: "+event.Error)
}

// requeueTask returns a task to the queue that has certainly not started, since its agent has refused or withdrawn it.
// An agent can refuse a task even after it has written a start record: when it could not reach the backend server.
func (p *Pool) requeueTask(j *job, a *agent, event *structs.TaskEvent) {
	index := event.Task.Index
	if j.tasks[index].state != taskSent {
		p.ignoreEvent(event)
		return
	}
	p.removeFromAgent(j, index)
	j.tasks[index].state, j.tasks[index].wasReturned = taskWaiting, true
	j.returned = append(j.returned, index)
	slices.Sort(j.returned)
	if j.state == jobLive {
		p.countWaiting(j, 1)
		p.queue.Return(j.entry, j.kind.Work())
	}
	if event.Kind == structs.TaskRefused {
		p.stats.Refused++
		p.index.Refused(a.server)
		return
	}
	p.stats.Withdrawn++
}
