package dispatch

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosedrift.example/rosedrift/internal/placement"
	"rosedrift.example/rosedrift/internal/structs"
	_ "rosedrift.example/rosedrift/internal/testseed"
)

// fakeAgent handles the pool's messages in order, each when the model tells it to.
type fakeAgent struct {
	update   AgentUpdate
	linked   bool
	refusing bool
	promised structs.Epoch
	inbox    []Action
	// minAttempt is the lowest attempt that the agent accepts. delayed holds messages of closed links that may still
	// arrive.
	minAttempt uint64
	delayed    []Action
	outbox     []Events
	// deliveredRefusals holds the refusals and withdrawals that the owner has received. Duplicates of them can arrive
	// later.
	deliveredRefusals []Events
	records           []*fakeRecord
	queue             []structs.TaskStart
	cancelled         map[structs.JobID]bool
}

// fakeRecord is the start record of a task at a fakeAgent.
type fakeRecord struct {
	task   structs.TaskRef
	start  structs.TaskStart
	state  structs.RecordState
	epoch  structs.Epoch
	result []byte
}

// model simulates callers, agents, the store and successive owners of a pool. It knows how often each task has started
// and checks each action of the pool.
type model struct {
	*rapid.T
	now     time.Duration
	pool    *Pool
	replica *Pool
	epoch   structs.Epoch
	// attempts holds the attempt numbers of the epoch's starts.
	attempts map[uint64]bool
	policy   Policy
	mode     Mode
	config   *structs.Configuration
	agents   []*fakeAgent
	// complete is true as long as no agent was lost and all have answered each fence.
	complete bool
	// waiter is the last WaiterID. pending holds the waiters without an answer and the jobs they wait for, refusals
	// the codes with which some of them must be refused.
	waiter   WaiterID
	pending  map[WaiterID]structs.JobID
	refusals map[WaiterID]structs.Code
	subs     []*structs.Submission
	// started counts the starts of each task. notRun holds the jobs that were answered not_run.
	started map[structs.TaskRef]int
	notRun  map[structs.JobID]bool
	// journal holds the entries in the store, unwrittenEntries those that the pool has asked to write.
	journal          []JournalEntry
	unwrittenEntries []JournalEntry
	// undelivered holds inputs that follow from starts that had no link. step passes them next.
	undelivered []Input
	// mayLackEntries is true if the owner may have admitted keys without a journal entry. entriesLost is true once an
	// owner has ended before it wrote such entries.
	mayLackEntries, entriesLost bool
}

func newModel(t *rapid.T) *model {
	m := &model{
		T: t, epoch: 1, complete: true, config: &structs.Configuration{Revision: 1},
		pending: map[WaiterID]structs.JobID{}, refusals: map[WaiterID]structs.Code{}, started: map[structs.TaskRef]int{}, notRun: map[structs.JobID]bool{},
	}
	m.config.Teams = map[string]structs.TeamConfig{"bakers": {MaxRunning: 9, MaxQueued: 60}}
	m.policy = rapid.SampledFrom([]Policy{PolicyDefault, PolicyDefault, PolicyFIFO, PolicyRandom}).Draw(t, "policy")
	m.newPools()
	m.step(Configure{Config: m.config})
	m.step(Adopt{Complete: true})
	m.setMode(Attached)
	for range 1 + m.intn(3, "agents") {
		m.addAgent()
	}
	return m
}

// newPools starts a pool and a replica, which gets the same inputs and must return the same actions.
func (m *model) newPools() {
	options := Options{Pool: testPool, Epoch: m.epoch, Policy: m.policy}
	m.pool, m.replica = New(m.now, options), New(m.now, options)
	m.attempts = map[uint64]bool{}
}

func (m *model) intn(n int, label string) int { return rapid.IntRange(0, n-1).Draw(m.T, label) }
func (m *model) chance(percent int, label string) bool {
	return m.intn(100, label) < percent
}

func (m *model) agent(ref structs.AgentRef) *fakeAgent {
	i := slices.IndexFunc(m.agents, func(a *fakeAgent) bool { return a.update.Agent == ref })
	require.GreaterOrEqual(m, i, 0, "message to unknown agent %s", ref)
	return m.agents[i]
}

// step passes an input to the pool and its replica, and checks and executes each action.
func (m *model) step(in Input) {
	actions := m.pool.Step(m.now, in)
	require.Equal(m, actions, m.replica.Step(m.now, in), "the same inputs give different actions")
	for _, action := range actions {
		switch a := action.(type) {
		case SendStart:
			m.checkStart(a)
			m.send(a)
		case SendWithdraw:
			f := m.agent(a.Agent)
			f.inbox = append(f.inbox, a)
		case SendCancel:
			f := m.agent(a.Agent)
			f.inbox = append(f.inbox, a)
		case SendReconcileStarts:
			f := m.agent(a.Agent)
			f.inbox = append(f.inbox, a)
		case SendFetch:
			f := m.agent(a.Agent)
			f.inbox = append(f.inbox, a)
		case WriteJournal:
			m.unwrittenEntries = append(m.unwrittenEntries, a.Entries...)
		case JobEnded:
			for _, w := range a.Waiters {
				m.checkAnswer(w, a.Answer)
			}
		case Refused:
			m.checkRefusal(a)
		case Accepted:
		}
	}
	m.checkCounts()
	for len(m.undelivered) > 0 {
		next := m.undelivered[0]
		m.undelivered = m.undelivered[1:]
		m.step(next)
	}
}

// send delivers a start to its agent. Sometimes the agent has no link: then the start is refused, and the agent is not
// eligible until its link is re-established.
func (m *model) send(a SendStart) {
	f := m.agent(a.Agent)
	if !m.chance(3, "unsent") {
		f.inbox = append(f.inbox, a)
		return
	}
	down := f.update
	down.Eligible = false
	events := Events{Agent: a.Agent}
	for _, task := range a.Start.Tasks {
		events.Events = append(events.Events, eventOfStart(task, structs.TaskRefused))
	}
	up := f.update
	up.Relinked = true
	m.undelivered = append(m.undelivered, down, events, up)
}

func (m *model) checkStart(a SendStart) {
	f := m.agent(a.Agent)
	require.True(m, m.mode == Attached || m.mode == Detached, "start in mode %d", m.mode)
	require.True(m, f.linked && !f.update.Leaving && m.config.ZoneAllows(testPool.Service, f.update.Zone), "start at an agent that is unlinked, leaving or in a zone that is out")
	for _, task := range a.Start.Tasks {
		sub := m.submissionOf(task.Task.Job)
		isSaved := slices.ContainsFunc(m.journal, func(e JournalEntry) bool { return e.Key == task.Task.Job.Key })
		require.True(m, sub.Ticketed || isSaved || m.mayLackEntries, "start before the journal entry")
		require.Equal(m, sub.Payloads[task.Task.Index], task.Payload)
		require.False(m, m.attempts[task.Attempt], "an attempt number was used twice")
		m.attempts[task.Attempt] = true
	}
}

func (m *model) submissionOf(id structs.JobID) *structs.Submission {
	i := slices.IndexFunc(m.subs, func(s *structs.Submission) bool { return s.Job == id })
	return m.subs[i]
}

func (m *model) startsOf(id structs.JobID) (started, running int) {
	for i := range m.submissionOf(id).Payloads {
		started += m.started[structs.TaskRef{Job: id, Index: uint32(i)}]
	}
	for _, a := range m.agents {
		for _, r := range a.records {
			if r.task.Job == id && r.state == structs.RecordRunning {
				running++
			}
		}
	}
	return started, running
}

func (m *model) checkAnswer(w WaiterID, answer *structs.Answer) {
	id, ok := m.pending[w]
	require.True(m, ok, "waiter %d is answered twice", w)
	require.Equal(m, id, answer.Job, "the answer belongs to another job")
	require.NotContains(m, m.refusals, w, "answer to another body under the same key")
	delete(m.pending, w)
	started, running := m.startsOf(id)
	switch answer.Outcome {
	case structs.OutcomeComplete:
		require.Equal(m, m.submissionOf(id).Payloads, answer.Results)
		require.Equal(m, len(answer.Results), started)
	case structs.OutcomeNotRun:
		require.Zero(m, started, "not_run after a start")
		m.notRun[id] = true
	case structs.OutcomeFailed:
		require.NotZero(m, started)
		require.True(m, running == 0 || answer.Problem.Code == structs.CodeTaskFailed, "failed while running")
	case structs.OutcomePending:
		require.Fail(m, "answer without an outcome")
	case structs.OutcomeMayHaveRun:
	}
	require.Equal(m, answer.Outcome == structs.OutcomeComplete, answer.Results != nil)
}

func (m *model) checkRefusal(a Refused) {
	id, ok := m.pending[a.Waiter]
	require.True(m, ok, "waiter %d is answered twice", a.Waiter)
	delete(m.pending, a.Waiter)
	if code, ok := m.refusals[a.Waiter]; ok {
		require.Equal(m, code, a.Problem.Code)
	}
	if a.Problem.Outcome == structs.OutcomeNotRun && a.Problem.Code != structs.CodeKeyReused {
		started, _ := m.startsOf(id)
		require.Zero(m, started, "not_run refusal (%s) after a start", a.Problem.Code)
	}
}

// checkCounts compares the pool's counters with its lists.
func (m *model) checkCounts() {
	p := m.pool
	inflight, sent, waiting := 0, 0, 0
	for _, a := range p.agentsByArrival {
		inflight += a.server.Inflight()
	}
	for j := p.openJobs.first; j != nil; j = j.next {
		sent += j.sent
		waiting += j.waiting
	}
	require.Equal(m, p.running, inflight)
	require.Equal(m, p.running, sent)
	require.Equal(m, waiting, p.queue.Queued(structs.Urgent)+p.queue.Queued(structs.Routine))
	require.Equal(m, p.openJobs.length, len(p.timers))
	require.LessOrEqual(m, p.queue.Running("bakers"), max(9, sent))
}

// handleNext lets an agent handle its oldest message.
func (m *model) handleNext(a *fakeAgent) {
	if len(a.inbox) == 0 {
		return
	}
	message := a.inbox[0]
	a.inbox = a.inbox[1:]
	m.receive(a, message)
}

// receive lets an agent handle a message.
func (m *model) receive(a *fakeAgent, message Action) {
	switch message := message.(type) {
	case SendStart:
		for _, task := range message.Start.Tasks {
			m.receiveStart(a, task, message.Start.Epoch)
		}
	case SendWithdraw:
		for _, ref := range message.Withdraw.Tasks {
			reply := newEvent(ref, structs.TaskNotWithdrawn, "")
			a.queue = slices.DeleteFunc(a.queue, func(s structs.TaskStart) bool {
				if s.Task == ref {
					reply = eventOfStart(s, structs.TaskWithdrawn)
				}
				return s.Task == ref
			})
			a.report(message.Withdraw.Epoch, reply)
		}
	case SendReconcileStarts:
		m.reconcileStarts(a, message.ReconcileStarts)
	case SendCancel:
		job := message.Cancel.Job
		a.cancelled[job] = true
		a.queue = slices.DeleteFunc(a.queue, func(s structs.TaskStart) bool { return s.Task.Job == job })
		for _, r := range a.records {
			if r.task.Job == job && r.state == structs.RecordRunning {
				m.endTask(a, r, structs.TaskAborted)
			}
		}
	case SendFetch:
		for _, r := range a.records {
			switch {
			case r.task.Job != message.Fetch.Job:
			case r.state == structs.RecordFinished:
				a.report(r.epoch, newEvent(r.task, structs.TaskFinished, string(r.result)))
			case r.state == structs.RecordEvicted:
				a.report(r.epoch, newEvent(r.task, structs.TaskFailed, ""))
			}
		}
	}
}

func (m *model) reconcileStarts(a *fakeAgent, request structs.ReconcileStarts) {
	if request.Epoch != a.promised {
		return
	}
	a.minAttempt = max(a.minAttempt, request.MinAttempt)
	for _, s := range request.Tasks {
		if !a.knows(s.Task) {
			a.report(s.Epoch, eventOfStart(structs.TaskStart{Task: s.Task, Attempt: s.Attempt}, structs.TaskRefused))
		}
	}
}

// knows reports whether the agent has a record of a task or has it in its queue.
func (a *fakeAgent) knows(task structs.TaskRef) bool {
	return slices.ContainsFunc(a.records, func(r *fakeRecord) bool { return r.task == task }) ||
		slices.ContainsFunc(a.queue, func(s structs.TaskStart) bool { return s.Task == task })
}

// knowsOrExpects reports whether the agent knows a task, or a start or refusal of it is under way.
func (a *fakeAgent) knowsOrExpects(task structs.TaskRef) bool {
	isStarted := func(message Action) bool {
		s, ok := message.(SendStart)
		return ok && slices.ContainsFunc(s.Start.Tasks, func(t structs.TaskStart) bool { return t.Task == task })
	}
	return a.knows(task) || slices.ContainsFunc(a.inbox, isStarted) ||
		slices.ContainsFunc(a.outbox, func(e Events) bool { return e.Events[0].Task == task })
}

// relink closes the link of an agent and establishes a new one. Starts and refusals under way are lost or arrive late.
func (m *model) relink(a *fakeAgent) {
	if !a.linked {
		return
	}
	for _, message := range a.inbox {
		if m.chance(60, "arrives late") {
			a.delayed = append(a.delayed, message)
		}
	}
	a.inbox = nil
	kept := a.outbox
	a.outbox = nil
	for _, e := range kept {
		kind := e.Events[0].Kind
		isRefusal := kind == structs.TaskRefused || kind == structs.TaskWithdrawn
		// The agent repeats its reports of ended tasks on the new link, but sends refusals only once.
		if !isRefusal || m.chance(50, "refusal survives") {
			a.outbox = append(a.outbox, e)
		}
	}
	up := a.update
	up.Relinked = true
	m.step(up)
}

// deliverDelayed passes a message of a closed link to its agent.
func (m *model) deliverDelayed(a *fakeAgent) {
	if len(a.delayed) == 0 {
		return
	}
	i := m.intn(len(a.delayed), "late")
	message := a.delayed[i]
	a.delayed = slices.Delete(a.delayed, i, i+1)
	m.receive(a, message)
}

func (m *model) receiveStart(a *fakeAgent, task structs.TaskStart, epoch structs.Epoch) {
	switch {
	case epoch == a.promised && a.knows(task.Task):
	case epoch != a.promised || task.Attempt < a.minAttempt || a.refusing || a.cancelled[task.Task.Job]:
		a.report(epoch, eventOfStart(task, structs.TaskRefused))
	case a.running() < a.update.Slots:
		m.startTask(a, task, epoch)
	case len(a.queue) < placement.MaxQueued:
		a.queue = append(a.queue, task)
	default:
		a.report(epoch, eventOfStart(task, structs.TaskRefused))
	}
}

func (a *fakeAgent) report(epoch structs.Epoch, e structs.TaskEvent) {
	a.outbox = append(a.outbox, Events{Agent: a.update.Agent, Epoch: epoch, Events: []structs.TaskEvent{e}})
}

func (a *fakeAgent) running() int {
	running := 0
	for _, r := range a.records {
		if r.state == structs.RecordRunning {
			running++
		}
	}
	return running
}

func (m *model) startTask(a *fakeAgent, task structs.TaskStart, epoch structs.Epoch) {
	m.started[task.Task]++
	require.Equal(m, 1, m.started[task.Task], "second start of task %d", task.Task.Index)
	require.False(m, m.notRun[task.Task.Job], "start after not_run")
	r := &fakeRecord{task: task.Task, start: task, state: structs.RecordRunning, epoch: epoch, result: task.Payload}
	a.records = append(a.records, r)
}

func (m *model) endTask(a *fakeAgent, r *fakeRecord, kind structs.TaskEventKind) {
	r.state = structs.RecordFailed
	if kind == structs.TaskFinished {
		r.state = structs.RecordFinished
	}
	a.report(r.epoch, newEvent(r.task, kind, string(r.result)))
	for len(a.queue) > 0 && a.running() < a.update.Slots {
		next := a.queue[0]
		a.queue = a.queue[1:]
		m.startTask(a, next, a.promised)
	}
}

// leaveOrEvict makes the backend server start or stop leaving, or the agent drop its oldest result.
func (m *model) leaveOrEvict(a *fakeAgent) {
	if a.linked && m.chance(40, "leaving") {
		a.update.Leaving = !a.update.Leaving
		m.step(a.update)
		return
	}
	for _, r := range a.records {
		if r.state == structs.RecordFinished {
			r.state = structs.RecordEvicted
			return
		}
	}
}

// serverUnreachable makes the agent refuse the last task it started because it could not send it to the backend server.
func (m *model) serverUnreachable(a *fakeAgent) {
	i := len(a.records) - 1
	if i < 0 || a.records[i].state != structs.RecordRunning {
		return
	}
	r := a.records[i]
	a.records = a.records[:i]
	m.started[r.task]--
	a.report(r.epoch, eventOfStart(r.start, structs.TaskRefused))
}

func (m *model) endAnyTask(a *fakeAgent, kind structs.TaskEventKind) {
	for _, r := range a.records {
		if r.state == structs.RecordRunning {
			m.endTask(a, r, kind)
			return
		}
	}
}

// refuseAndRetry lets an agent refuse all starts that have arrived and accept those that are sent again. Then a
// duplicate of an old refusal arrives.
func (m *model) refuseAndRetry(a *fakeAgent) {
	a.refusing = true
	m.handleAll(a)
	a.refusing = false
	for len(a.outbox) > 0 {
		m.deliver(a, false)
	}
	m.now += 50 * time.Millisecond
	m.step(Tick{})
	m.handleAll(a)
	m.repeatRefusal(a)
}

func (m *model) handleAll(a *fakeAgent) {
	for len(a.inbox) > 0 {
		m.handleNext(a)
	}
}

// repeatRefusal delivers a late duplicate of an old refusal while the task is at the same agent again.
func (m *model) repeatRefusal(a *fakeAgent) {
	for _, e := range a.deliveredRefusals {
		task := e.Events[0].Task
		j := m.pool.jobs[task.Job.Key]
		if j == nil || j.state == jobEnded || int(task.Index) >= len(j.tasks) {
			continue
		}
		if at := j.tasks[task.Index].agent; at != nil && at.ref == a.update.Agent && m.chance(50, "late duplicate") {
			m.step(e)
			return
		}
	}
}

// deliver passes one event of an agent to the pool. With disturb, the event can be out of order or a duplicate.
func (m *model) deliver(a *fakeAgent, disturb bool) {
	if disturb {
		m.repeatRefusal(a)
	}
	if len(a.outbox) == 0 {
		return
	}
	i, keep := 0, false
	if disturb {
		i, keep = m.intn(min(len(a.outbox), 4), "event"), m.chance(20, "duplicate")
	}
	e := a.outbox[i]
	if !keep {
		a.outbox = slices.Delete(a.outbox, i, i+1)
	}
	if kind := e.Events[0].Kind; kind == structs.TaskRefused || kind == structs.TaskWithdrawn {
		a.deliveredRefusals = append(a.deliveredRefusals, e)
	}
	m.step(e)
}

func (m *model) addAgent() {
	update := testAgent(len(m.agents))
	update.Slots = 1 + len(m.agents)%3
	a := &fakeAgent{update: update, cancelled: map[structs.JobID]bool{}}
	m.agents = append(m.agents, a)
	m.link(a)
}

// link lets an agent promise the current epoch and reports it to the pool as eligible.
func (m *model) link(a *fakeAgent) {
	if a.promised != m.epoch {
		a.promised, a.queue, a.minAttempt = m.epoch, nil, 0
	}
	a.linked = true
	m.step(a.update)
}

func (m *model) lose(a *fakeAgent) {
	if a.linked {
		a.linked, m.complete = false, false
		m.step(AgentLost{Agent: a.update.Agent})
	}
}

func (m *model) setMode(mode Mode) {
	m.mode = mode
	m.mayLackEntries = m.mayLackEntries || mode == Detached
	m.step(SetMode{Mode: mode})
}

func (m *model) writeJournal() {
	keys := make([]structs.KeyHash, 0, len(m.unwrittenEntries))
	for _, e := range m.unwrittenEntries {
		keys = append(keys, e.Key)
	}
	m.journal = append(m.journal, m.unwrittenEntries...)
	m.unwrittenEntries = nil
	m.mayLackEntries = m.mode == Detached
	m.step(JournalWritten{Keys: keys})
}

func (m *model) submitNewJob() {
	sub := submission("job-"+strconv.Itoa(len(m.subs)), 1+m.intn(6, "tasks"))
	sub.Ticketed = m.chance(40, "ticketed")
	sub.TicketEpoch = m.epoch
	sub.Repeatable = m.chance(70, "repeatable")
	sub.Priority = structs.Priority(m.intn(2, "priority"))
	sub.Deadline = time.Duration(5+m.intn(60, "deadline")) * time.Second
	sub.Digest = sub.BodyDigest()
	m.subs = append(m.subs, sub)
	m.submit(sub)
}

func (m *model) newWaiter(id structs.JobID) WaiterID {
	m.waiter++
	m.pending[m.waiter] = id
	return m.waiter
}

// submit submits a job. If the owner does not know the key, it may run the job even if it was answered not_run before.
func (m *model) submit(sub *structs.Submission) {
	if status, ok := m.pool.Status(sub.Job, m.now); !ok || status.Outcome == structs.OutcomePending {
		delete(m.notRun, sub.Job)
	}
	m.step(Submit{Submission: sub, Waiter: m.newWaiter(sub.Job)})
}

// takeover replaces the pool by that of a new owner, which gets the records of the agents that answer the fence and,
// with handover, the snapshot of the old pool.
func (m *model) takeover(handover bool) {
	if handover && m.mayLackEntries {
		m.setMode(Attached)
		m.writeJournal()
	}
	m.epoch++
	adopt := Adopt{Journal: m.journal}
	var answered []*fakeAgent
	for _, a := range m.agents {
		if !a.linked || m.chance(10, "silent") {
			a.linked, m.complete = false, false
			continue
		}
		a.promised, a.queue, a.minAttempt = m.epoch, nil, 0
		adopt.Records = append(adopt.Records, a.fenceReply())
		answered = append(answered, a)
	}
	adopt.Complete = m.complete
	m.entriesLost = m.entriesLost || m.mayLackEntries
	m.mayLackEntries = false
	adopt.KeysMayBeMissing = m.entriesLost && !m.complete
	for _, e := range m.journal {
		if m.chance(50, "recent") {
			adopt.RecentNonRepeatable = append(adopt.RecentNonRepeatable, e.Key)
		}
	}
	jobs := m.pool.Snapshot(m.now)
	clear(m.pending)
	m.unwrittenEntries = nil
	m.newPools()
	m.mode = Recovering
	m.step(Configure{Config: m.config})
	if len(m.subs) > 0 {
		m.submit(m.subs[m.intn(len(m.subs), "held")])
	}
	early := m.chance(50, "early")
	for _, a := range answered {
		if early {
			m.step(a.update)
		}
	}
	if handover {
		m.step(Restore{Jobs: jobs, Collection: adopt})
	} else {
		m.step(adopt)
	}
	m.setMode(Attached)
	for _, a := range answered {
		m.step(a.update)
	}
}

// fenceReply returns the start records of an agent, with the jobs in the order of their first records.
func (a *fakeAgent) fenceReply() AgentRecords {
	answer := AgentRecords{Agent: a.update.Agent}
	for _, r := range a.records {
		key := r.task.Job.Key
		i := slices.IndexFunc(answer.Jobs, func(j structs.JobRecords) bool { return j.Key == key })
		if i < 0 {
			i = len(answer.Jobs)
			answer.Jobs = append(answer.Jobs, structs.JobRecords{Key: key})
		}
		answer.Jobs[i].Tasks = append(answer.Jobs[i].Tasks, structs.TaskRecord{
			Index: r.task.Index, State: r.state, Epoch: r.epoch, Attempt: r.start.Attempt,
		})
	}
	return answer
}

func (m *model) toggleZone() {
	next := *m.config
	next.Revision++
	next.Zones = map[string]structs.ZoneConfig{}
	for _, zone := range []string{"catania", "palermo", "siracusa"} {
		if m.chance(30, "out") {
			next.Zones[zone] = structs.ZoneConfig{State: structs.ZoneOut}
		}
	}
	stale := m.config
	m.config = &next
	m.step(Configure{Config: m.config})
	if m.chance(30, "stale") {
		m.step(Configure{Config: stale})
	}
}

// requestKnownJob makes a request about an earlier submission: it submits it again, submits another body under its key,
// cancels the job or waits for it.
func (m *model) requestKnownJob(operation int) {
	if len(m.subs) == 0 {
		return
	}
	sub := m.subs[m.intn(len(m.subs), "known")]
	switch operation {
	case 0:
		m.submit(sub)
	case 1:
		other := *sub
		other.Digest[0]++
		if !sub.Ticketed {
			// Only the pool that admitted a ticket knows the digest of its job.
			if _, ok := m.pool.Status(sub.Job, m.now); ok && m.pool.jobs[sub.Job.Key].hasDigest {
				w := m.newWaiter(sub.Job)
				m.refusals[w] = structs.CodeKeyReused
				m.step(Submit{Submission: &other, Waiter: w})
			}
		}
	case 2:
		m.step(CancelJob{Job: sub.Job, Waiter: m.newWaiter(sub.Job)})
	case 3:
		m.step(Wait{Job: sub.Job, Waiter: m.newWaiter(sub.Job)})
	}
}

// disturbLink can re-establish a link, and delivers a delayed message of an old link.
func (m *model) disturbLink(a *fakeAgent, relink bool) {
	if relink {
		m.relink(a)
	}
	m.deliverDelayed(a)
}

// addAgentOrRefuse adds an agent or changes whether the given one refuses starts. It rarely adds one if there are few,
// so that a refused task is often sent to the same agent again.
func (m *model) addAgentOrRefuse(a *fakeAgent) {
	if len(m.agents) < 3 && m.chance(80, "few agents") {
		a.refusing = !a.refusing
	} else {
		m.addAgent()
	}
}

// randomOperation draws an operation and its agent, and executes it.
func (m *model) randomOperation() {
	a := m.agents[m.intn(len(m.agents), "agent")]
	switch op := m.intn(100, "operation"); {
	case op < 15:
		m.submitNewJob()
	case op < 20:
		m.disturbLink(a, op < 19)
	case op < 24:
		m.requestKnownJob(m.intn(4, "of known"))
	case op < 42:
		m.handleNext(a)
	case op < 45:
		m.refuseAndRetry(a)
	case op < 60:
		m.endAnyTask(a, structs.TaskFinished)
	case op < 61:
		if m.chance(50, "failed") {
			m.endAnyTask(a, structs.TaskFailed)
		} else {
			m.serverUnreachable(a)
		}
	case op < 80:
		m.deliver(a, true)
	case op < 84:
		m.writeJournal()
	case op < 88:
		m.now += time.Duration(m.intn(3000, "ms")) * time.Millisecond
		m.step(Tick{})
	case op < 89:
		m.lose(a)
	case op < 90:
		m.link(a)
	case op < 91:
		m.relink(a)
	case op < 92:
		m.addAgentOrRefuse(a)
	case op < 93:
		a.refusing = !a.refusing
	case op < 94:
		m.leaveOrEvict(a)
	case op < 96:
		m.toggleZone()
	case op < 98:
		m.setMode([]Mode{Attached, Attached, Detached, Suspended}[m.intn(4, "mode")])
	default:
		m.takeover(m.chance(40, "handover"))
	}
}

// finishAll lets all tasks end and checks that every caller gets an answer.
func (m *model) finishAll() {
	m.config = &structs.Configuration{Revision: m.config.Revision + 1}
	m.step(Configure{Config: m.config})
	m.setMode(Attached)
	for range 100 {
		m.writeJournal()
		for _, a := range m.agents {
			a.refusing = false
			if a.linked && a.update.Leaving {
				a.update.Leaving = false
				m.step(a.update)
			}
			m.handleAll(a)
			m.endAnyTask(a, structs.TaskFinished)
			for len(a.outbox) > 0 {
				m.deliver(a, false)
			}
		}
		m.checkNoStartLost()
		m.now += 700 * time.Millisecond
		m.step(Tick{})
	}
	m.now += m.pool.keyRetention()
	m.step(Tick{})
	require.Empty(m, m.pending, "callers without an answer")
	require.Zero(m, m.pool.Stats().Running)
}

// checkNoStartLost checks that no task counts as sent to an agent that will never know it. The owner would wait for
// such a task until the deadline.
func (m *model) checkNoStartLost() {
	for _, a := range m.pool.agentsByArrival {
		for _, at := range a.tasks {
			task := structs.TaskRef{Job: at.job.id, Index: at.index}
			require.True(m, m.agent(a.ref).knowsOrExpects(task), "a lost start still counts as sent")
		}
	}
}

// TestPoolUnderRandomOperations guards against tasks that start twice, answers that are partial or go to the wrong
// caller, and not_run for a job that has started. It runs random sequences of submissions, events, losses of agents and
// messages, configuration changes, mode changes and takeovers.
func TestPoolUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(20, 400).Draw(t, "length") {
			m.randomOperation()
		}
		m.finishAll()
	})
}
