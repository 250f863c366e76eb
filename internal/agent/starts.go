package agent

import (
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
)

// reasonStartLost is the error text of a start that did not arrive, as found by a ReconcileStarts message.
const reasonStartLost = "the start was lost with a link"

// queuedTask is a task that waits for a slot.
type queuedTask struct {
	task  structs.TaskStart
	epoch structs.Epoch
	// from is the link on which the start arrived.
	from      LinkID
	arrivedAt time.Duration
}

// start handles a batch of starts. Each one is launched, queued, refused, or ignored as a duplicate.
func (m *Machine) start(l *gatewayLink, message *structs.Start) {
	var events []structs.TaskEvent
	for i := range message.Tasks {
		entry := queuedTask{task: message.Tasks[i], epoch: message.Epoch, from: l.id, arrivedAt: m.now}
		if m.handleDuplicate(l, &entry) {
			m.stats.Duplicates++
			continue
		}
		m.dropUndelivered(entry.task.Task)
		if reason := m.admit(&entry); reason != "" {
			m.stats.Refused++
			events = append(events, structs.TaskEvent{
				Task: entry.task.Task, Kind: structs.TaskRefused, Error: reason, Attempt: entry.task.Attempt,
			})
		}
	}
	m.sendEvents(l.id, classOf(message.Tasks), message.Epoch, events)
}

// classOf returns the priority class in which a link sends messages about tasks: urgent if one of the tasks is.
func classOf(tasks []structs.TaskStart) link.Class {
	for i := range tasks {
		if tasks[i].Priority == structs.Urgent {
			return link.Urgent
		}
	}
	return link.Bulk
}

// handleDuplicate reports whether the task of a start is already waiting, running or ended. Such a start is never
// refused, because a refusal states that the task has not been started. If the task has ended, its end is sent again.
func (m *Machine) handleDuplicate(l *gatewayLink, entry *queuedTask) bool {
	key := keyOf(entry.task.Task)
	if r := m.records.find(key); r != nil {
		if r.state != structs.RecordRunning {
			m.sendEvents(l.id, link.Bulk, entry.epoch, []structs.TaskEvent{r.event(entry.task.Task)})
		}
		return true
	}
	return m.queueIndex(key) >= 0
}

func (m *Machine) queueIndex(key taskKey) int {
	return slices.IndexFunc(m.queue, func(q queuedTask) bool { return keyOf(q.task.Task) == key })
}

// admit launches or queues a new task, or returns why it is refused.
func (m *Machine) admit(entry *queuedTask) (refusal string) {
	if entry.epoch != m.promised || entry.epoch == 0 {
		return "the epoch is not the promised one"
	}
	if entry.task.Attempt < m.minAttempt {
		return "the start was recalled"
	}
	if _, ok := m.cancelled[entry.task.Task.Job.Key]; ok {
		return "the job is cancelled"
	}
	if reason := m.blocked(); reason != "" {
		return reason
	}
	if len(m.running) < m.maxRunning() {
		m.launch(entry)
		return ""
	}
	// The owner considers the slots of aborted tasks free at once, so tasks for these slots may wait here too.
	if len(m.queue) < m.options.QueueLength+m.aborting {
		m.queue = append(m.queue, *entry)
		return ""
	}
	if entry.task.Priority == structs.Urgent && m.displaceRoutine() {
		m.queue = append(m.queue, *entry)
		return ""
	}
	return "all slots and the queue are full"
}

// maxRunning returns how many tasks may run at once.
func (m *Machine) maxRunning() int { return min(m.server.Slots, m.server.Connections) }

// displaceRoutine refuses the routine task that was queued last, to make way for an urgent one. It returns false if no
// routine task waits.
func (m *Machine) displaceRoutine() bool {
	for i := len(m.queue) - 1; i >= 0; i-- {
		if m.queue[i].task.Priority != structs.Urgent {
			entry := m.queue[i]
			m.queue = slices.Delete(m.queue, i, i+1)
			m.returnTask(&entry, structs.TaskRefused, "displaced by an urgent task")
			return true
		}
	}
	return false
}

// launch starts a task at the backend server. It must only be called if blocked returns an empty string at the current
// time.
func (m *Machine) launch(entry *queuedTask) {
	assert(len(m.running) < m.maxRunning(), "running tasks do not exceed slots and connections")
	assert(entry.epoch == m.promised, "a task starts only under the promised epoch")
	assert(m.now-m.lastContact < structs.AgentContactTimeout, "a task starts only after a recent contact with a gateway")
	task := entry.task.Task
	m.records.add(&entry.task, entry.epoch)
	m.running[keyOf(task)] = &runningTask{queuedTask: *entry, startedAt: m.now}
	m.stats.Started++
	m.emit(Run{Task: entry.task, MaxResult: m.maxResult()})
}

// maxResult returns the configured limit of a result's size in bytes.
func (m *Machine) maxResult() int64 {
	if m.config.Limits.MaxResultBytes > 0 {
		return m.config.Limits.MaxResultBytes
	}
	return structs.DefaultMaxResultBytes
}

// drainQueue launches waiting tasks in free slots, urgent ones first, or refuses all of them if no task may start.
func (m *Machine) drainQueue() {
	if len(m.queue) == 0 {
		return
	}
	blocked := m.blocked()
	if blocked != "" && m.mustRefuseQueue() {
		waiting := m.queue
		m.queue = nil
		for i := range waiting {
			m.returnTask(&waiting[i], structs.TaskRefused, blocked)
		}
		return
	}
	for len(m.queue) > 0 && len(m.running) < m.maxRunning() && m.blocked() == "" {
		i := max(0, slices.IndexFunc(m.queue, func(q queuedTask) bool { return q.task.Priority == structs.Urgent }))
		entry := m.queue[i]
		m.queue = slices.Delete(m.queue, i, i+1)
		m.launch(&entry)
	}
	assert(len(m.queue) <= m.options.QueueLength+m.server.Slots, "the queue is bounded")
}

// mustRefuseQueue reports whether waiting tasks are refused now because no task may start. If the only reason is a
// missing heartbeat, they are refused only when a slot is free: a heartbeat that is a little late should not cost two
// messages for each waiting task.
func (m *Machine) mustRefuseQueue() bool {
	return len(m.running) < m.maxRunning() || m.now-m.lastContact < structs.AgentContactTimeout || m.leaving()
}

// returnTask reports that a task will not start at this agent.
func (m *Machine) returnTask(entry *queuedTask, kind structs.TaskEventKind, reason string) {
	if kind == structs.TaskRefused {
		m.stats.Refused++
	} else {
		m.stats.Withdrawn++
	}
	m.deliverOnce(entry.from, entry.epoch, structs.TaskEvent{
		Task: entry.task.Task, Kind: kind, Error: reason, Attempt: entry.task.Attempt,
	})
}

// withdraw removes tasks from the queue, and answers for each task whether it was still waiting. An unknown task is
// reported as not withdrawn: this message may have overtaken its start, which may still run.
func (m *Machine) withdraw(l *gatewayLink, message *structs.Withdraw) {
	events := make([]structs.TaskEvent, 0, len(message.Tasks))
	for _, task := range message.Tasks {
		event := structs.TaskEvent{Task: task, Kind: structs.TaskNotWithdrawn}
		i := m.queueIndex(keyOf(task))
		if i >= 0 && message.Epoch == m.queue[i].epoch {
			event.Kind, event.Attempt = structs.TaskWithdrawn, m.queue[i].task.Attempt
			m.queue = slices.Delete(m.queue, i, i+1)
			m.stats.Withdrawn++
		}
		events = append(events, event)
	}
	m.sendEvents(l.id, link.Urgent, message.Epoch, events)
}

// reconcileStarts handles the owner's list of starts that may have been lost with an earlier link. Starts of the
// promised epoch with an attempt below the message's minimum are refused from now on. Each listed start that has not
// arrived and can no longer be accepted is reported as refused. A message of another epoch is not from the current
// owner and is ignored.
func (m *Machine) reconcileStarts(l *gatewayLink, message *structs.ReconcileStarts) {
	if message.Epoch != m.promised {
		return
	}
	m.minAttempt = max(m.minAttempt, message.MinAttempt)
	for _, start := range message.Tasks {
		key := keyOf(start.Task)
		// A start of the promised epoch that is not below the minimum attempt may still arrive and be accepted.
		mayArrive := start.Epoch >= message.Epoch && start.Attempt >= m.minAttempt
		if mayArrive || m.records.find(key) != nil || m.queueIndex(key) >= 0 {
			continue
		}
		m.sendEvents(l.id, link.Urgent, start.Epoch, []structs.TaskEvent{{
			Task: start.Task, Kind: structs.TaskRefused, Error: reasonStartLost, Attempt: start.Attempt,
		}})
	}
}

// cancel removes the waiting tasks of a job, aborts the running ones, and refuses starts of the job for
// CancelRetention. A message of an epoch below the promised one is ignored.
func (m *Machine) cancel(l *gatewayLink, message *structs.Cancel) {
	if message.Epoch < m.promised {
		return
	}
	key := message.Job.Key
	until := m.now + CancelRetention
	m.cancelled[key] = until
	m.cancelFIFO.push(expiry{key: key, at: until})
	var events []structs.TaskEvent
	m.queue = slices.DeleteFunc(m.queue, func(q queuedTask) bool {
		if q.task.Task.Job.Key != key {
			return false
		}
		m.stats.Withdrawn++
		events = append(events, structs.TaskEvent{
			Task: q.task.Task, Kind: structs.TaskWithdrawn, Attempt: q.task.Attempt,
		})
		return true
	})
	m.sendEvents(l.id, link.Urgent, message.Epoch, events)
	job := m.records.jobs[key]
	if job == nil || job.running == 0 {
		return
	}
	for i := range job.records {
		m.abort(taskKey{key: key, index: job.records[i].index})
	}
}

func (m *Machine) abort(key taskKey) {
	r := m.running[key]
	if r == nil || r.aborting {
		return
	}
	r.aborting = true
	m.aborting++
	m.emit(Abort{Task: r.task.Task})
}

// ended frees the slot of a task that has ended and reports its end to the owner.
func (m *Machine) ended(in Ended) {
	key := keyOf(in.Task)
	r := m.running[key]
	assert(r != nil, "only running tasks end")
	delete(m.running, key)
	if r.aborting {
		m.aborting--
	}
	m.unreachable = m.unreachable || in.Unreachable
	if in.Kind == structs.TaskRefused {
		m.undoStart(r, in.Error)
		return
	}
	m.records.end(m.now, in)
	m.countEnd(in.Kind)
	event := structs.TaskEvent{
		Task:     in.Task,
		Kind:     in.Kind,
		RunTime:  in.RunTime,
		WaitTime: r.startedAt - r.arrivedAt,
		Result:   in.Result,
		Error:    in.Error,
		Attempt:  r.task.Attempt,
	}
	m.report(r.epoch, r.task.Priority, event)
}

// undoStart removes the record of a task whose request was not sent to the backend server, and returns the task.
func (m *Machine) undoStart(r *runningTask, reason string) {
	m.records.remove(m.now, keyOf(r.task.Task))
	m.stats.Started--
	kind := structs.TaskRefused
	if r.aborting {
		kind = structs.TaskWithdrawn
	}
	if r.epoch != m.promised {
		// The owner of the promised epoch has received the record, so the refusal must go to it and not to the sender.
		r.from = noLink
	}
	m.returnTask(&r.queuedTask, kind, reason)
}

func (m *Machine) countEnd(kind structs.TaskEventKind) {
	switch kind {
	case structs.TaskFinished:
		m.stats.Finished++
	case structs.TaskAborted:
		m.stats.Aborted++
	default:
		m.stats.Failed++
	}
}
