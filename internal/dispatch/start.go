package dispatch

import (
	"time"

	"rosedrift.example/rosedrift/internal/fairqueue"
	"rosedrift.example/rosedrift/internal/placement"
	"rosedrift.example/rosedrift/internal/structs"
)

// maxPrefetchMean is the longest mean run time of a kind whose tasks are prefetched, that is sent to servers without a
// free slot. Prefetching hides the round trip of about 1 ms. For longer tasks the round trip costs less than 1% of the
// capacity.
const maxPrefetchMean = 100 * time.Millisecond

// dispatch starts tasks as long as there are waiting tasks and servers that may take them.
func (p *Pool) dispatch() {
	if !p.mayStart() {
		return
	}
	p.index.RecordUrgentDemand(p.runningUrgent + p.waiting[structs.Urgent])
	p.index.UpdateReserve()
	for p.startNext() {
	}
}

// startNext starts one task: urgent before routine, unless the queue says that routine tasks are due their minimum
// share. It returns false if no task can be started.
func (p *Pool) startNext() bool {
	if p.queue.RoutineDue() {
		return p.startClass(structs.Routine) || p.startClass(structs.Urgent)
	}
	return p.startClass(structs.Urgent) || p.startClass(structs.Routine)
}

// startClass starts the next task of a priority class, or ends its job if the job cannot meet its deadline. It returns
// false if no task of the class waits or no server may take it.
func (p *Pool) startClass(class structs.Priority) bool {
	entry := p.queue.Peek(class)
	if entry == nil {
		return false
	}
	j := entry.Value
	if j.started() == 0 && p.cannotMeetDeadline(j) {
		p.endJob(j, structs.CodeDeadlineExceeded, p.outcomeNow(j), "the job cannot end before its deadline")
		return true
	}
	a := p.chooseAgent(j)
	if a == nil {
		return false
	}
	p.start(j, j.nextWaitingTask(), a)
	return true
}

// cannotMeetDeadline reports whether a job would miss its deadline even if it got the whole capacity of its priority
// class. Such a job is not started, since its work would be wasted.
func (p *Pool) cannotMeetDeadline(j *job) bool {
	capacity := p.capacity(j.sub.Priority)
	if p.options.Policy != PolicyDefault || capacity == 0 || !j.kind.HasSamples() {
		return false
	}
	own := float64(j.waiting) * float64(j.kind.Work()) / capacity
	return p.now+time.Duration(own) > j.due
}

// nextWaitingTask returns the index of the next task to start: first the tasks that agents have returned, then those
// that have never been sent.
func (j *job) nextWaitingTask() uint32 {
	if len(j.returned) > 0 {
		index := j.returned[0]
		j.returned = j.returned[1:]
		return index
	}
	return j.nextUnsentTask()
}

// nextUnsentTask returns the index of the next task that has never been sent.
func (j *job) nextUnsentTask() uint32 {
	for j.tasks[j.nextUnsent].state != taskWaiting || j.tasks[j.nextUnsent].wasReturned {
		j.nextUnsent++
	}
	return j.nextUnsent
}

// chooseAgent returns the agent that gets the next task of the job, or nil if none may take it.
func (p *Pool) chooseAgent(j *job) *agent {
	var s *placement.Server
	switch p.options.Policy {
	case PolicyRandom:
		s = p.index.PickRandom()
	case PolicyFIFO:
		s = p.index.PickNext()
	default:
		s = p.chooseDefault(j)
	}
	if s == nil {
		return nil
	}
	return s.Value.(*agent)
}

// chooseDefault chooses a server by the default policy. Routine tasks leave the fast servers to urgent work as long as
// others are free.
func (p *Pool) chooseDefault(j *job) *placement.Server {
	if j.sub.Priority == structs.Urgent {
		return p.chooseUrgent(j)
	}
	if s := p.index.Fastest(j.kind, placement.SpareSlot); s != nil {
		return s
	}
	mean := j.kind.Mean()
	filter := placement.UnreservedSlot
	if mean <= placement.MaxShortRoutineTime || p.queue.RoutineDue() {
		filter = placement.AnySlot
	}
	if s := p.index.Slowest(j.kind, filter); s != nil {
		return s
	}
	if mean > maxPrefetchMean || p.queue.Peek(structs.Urgent) != nil {
		return nil
	}
	return p.index.Fastest(j.kind, placement.PrefetchPosition)
}

// chooseUrgent returns the fastest free server, or nil if the urgent tasks are expected to end earlier by waiting for a
// faster one. A job waits at most for half the time that a task would take on the free server.
func (p *Pool) chooseUrgent(j *job) *placement.Server {
	s := p.index.Fastest(j.kind, placement.AnySlot)
	if s == nil {
		return p.index.Fastest(j.kind, placement.UrgentQueuePosition)
	}
	wait, expected := p.index.ShouldWait(j.kind, s, p.waiting[structs.Urgent])
	if !wait {
		j.deferredUntil = 0
		return s
	}
	if j.deferredUntil == 0 {
		j.deferredUntil = p.now + expected/2
	}
	if p.now >= j.deferredUntil {
		return s
	}
	return nil
}

// start adds a start to the batch that flush sends to the agent.
func (p *Pool) start(j *job, index uint32, a *agent) {
	t := &j.tasks[index]
	if t.state != taskWaiting || j.state != jobLive {
		panic("dispatch: second start of a task of job " + j.id.String())
	}
	cost := j.kind.Work()
	p.queue.Take(j.entry, cost)
	p.countWaiting(j, -1)
	if j.sub.Priority == structs.Urgent {
		p.urgentLoad.add(cost)
	}
	p.lastAttempt++
	t.epoch, t.attempt = p.options.Epoch, p.lastAttempt
	p.addToAgent(j, index, a, taskSent)
	p.index.Reserve(a.server)
	p.stats.Started++
	if len(a.pendingStarts) == 0 {
		p.agentsWithStarts = append(p.agentsWithStarts, a)
	}
	a.pendingUrgent = a.pendingUrgent || j.sub.Priority == structs.Urgent
	a.pendingStarts = append(a.pendingStarts, structs.TaskStart{
		Task:     structs.TaskRef{Job: j.id, Index: index},
		Priority: j.sub.Priority,
		Kind:     j.sub.Kind,
		Timeout:  min(p.service.TaskTimeout, j.due-p.now),
		Payload:  j.sub.Payloads[index],
		Attempt:  t.attempt,
	})
}

// addToAgent sets the state of a task to taskSent or taskRecorded and adds it to the list of its agent.
func (p *Pool) addToAgent(j *job, index uint32, a *agent, state taskState) {
	t := &j.tasks[index]
	t.state, t.agent, t.position = state, a, int32(len(a.tasks))
	a.tasks = append(a.tasks, agentTask{job: j, index: index})
	if state == taskSent {
		j.sent++
		p.countRunning(j, 1)
	} else {
		j.recorded++
	}
}

// removeFromAgent removes a task from the list of its agent. If it was sent, it no longer counts as in flight. The
// function that calls it sets the task's new state.
func (p *Pool) removeFromAgent(j *job, index uint32) {
	t := &j.tasks[index]
	a := t.agent
	if a != nil {
		last := len(a.tasks) - 1
		moved := a.tasks[last]
		a.tasks[t.position] = moved
		moved.job.tasks[moved.index].position = t.position
		a.tasks[last] = agentTask{}
		a.tasks = a.tasks[:last]
	}
	t.agent = nil
	if t.state == taskRecorded {
		j.recorded--
		return
	}
	j.sent--
	p.countRunning(j, -1)
	p.index.Release(a.server)
	if j.sent < 0 || p.running < 0 {
		panic("dispatch: fewer than 0 tasks of job " + j.id.String() + " at agents")
	}
}

// countRunning adds change to the number of tasks at agents. A job without a submission counts as routine, since its
// priority is not known yet.
func (p *Pool) countRunning(j *job, change int) {
	p.running += change
	if j.sub != nil && j.sub.Priority == structs.Urgent {
		p.runningUrgent += change
	}
}

// capacity returns the work per second that a priority class can get, in the unit of Kind.Work. Routine tasks get what
// urgent tasks leave, but at least their minimum share.
func (p *Pool) capacity(class structs.Priority) float64 {
	capacity := p.index.Capacity()
	if class == structs.Urgent {
		return capacity
	}
	return capacity * max(1-p.urgentLoad.share(capacity), fairqueue.RoutineShare)
}

// expectedTimeToEnd returns the expected time until a new submission ends. It is 0 if no work is ahead, so that a kind
// whose estimate is too high is still run and the estimate corrected. It is also 0 without servers: NoServerTimeout
// handles that case.
func (p *Pool) expectedTimeToEnd(sub *structs.Submission) time.Duration {
	capacity := p.capacity(sub.Priority)
	kind := p.index.Kind(sub.Kind, sub.DeclaredTime)
	own := time.Duration(len(sub.Payloads)) * kind.Work()
	ahead := p.queue.WorkAhead(sub.Priority, sub.Team, own)
	if sub.Priority == structs.Routine {
		ahead += p.queue.Work(structs.Urgent)
	}
	if ahead == 0 || capacity == 0 {
		return 0
	}
	return time.Duration(float64(ahead+own)/capacity) + kind.Mean()
}

// loadMeter measures the work started per second, as an exponentially weighted average over windows of meterWindow.
type loadMeter struct {
	windowStart time.Duration
	work        time.Duration
	average     float64
}

const (
	meterWindow = time.Second
	// meterWeight is the weight of the newest window in the average.
	meterWeight = 0.3
)

func (m *loadMeter) add(work time.Duration) { m.work += work }

// closeWindow adds the window to the average once meterWindow has passed, and opens the next one.
func (m *loadMeter) closeWindow(now time.Duration) {
	elapsed := now - m.windowStart
	if elapsed < meterWindow {
		return
	}
	rate := float64(m.work) / float64(elapsed)
	m.average += meterWeight * (rate - m.average)
	m.windowStart, m.work = now, 0
}

// share returns the part of a capacity that the measured work takes, at most 1.
func (m *loadMeter) share(capacity float64) float64 {
	if capacity == 0 {
		return 0
	}
	return min(m.average/capacity, 1)
}
