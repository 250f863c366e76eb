package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/journal"
	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
)

// Limits and timing of a pool runner.
const (
	// commandQueue, eventQueue and requestQueue limit a runner's input queues.
	commandQueue = 4096
	eventQueue   = 4096
	requestQueue = 1024
	// eventBatch, urgentBatch and routineBatch limit what one round takes from each queue. routineBatch is small, so
	// that urgent submissions wait for few routine ones.
	eventBatch   = 256
	urgentBatch  = 256
	routineBatch = 4
	// busyTick and idleTick are the intervals of dispatch.Tick with and without jobs.
	busyTick = 10 * time.Millisecond
	idleTick = 500 * time.Millisecond
	// expiryInterval is how often the waiters are checked for the end of their wait.
	expiryInterval = 50 * time.Millisecond
	// statsInterval is how often the pool's statistics are exported as metrics.
	statsInterval = time.Second
	// cancelWait limits how long a cancellation waits for the end of its job.
	cancelWait = 5 * time.Second
	// acceptWait limits how long a submission waits for the end of a recovery before it is submitted again.
	acceptWait = 15 * time.Second
	// journalRetryAfter is the Retry-After value while the journal is full.
	journalRetryAfter = 5 * time.Second
	// maxForwardWait limits how long the owner holds one request.
	maxForwardWait = time.Minute
	// retention is how long a pool remembers its ended jobs, nonRepeatableRetention how long it remembers the keys of
	// non-repeatable ones (docs/design.md, section 4).
	retention              = 10 * time.Minute
	nonRepeatableRetention = 24 * time.Hour
)

// request is a Forward on the owner side. reply is called exactly once and does not block. Its class is the priority of
// the reply on a link.
type request struct {
	structs.Forward
	reply func(link.Class, *structs.ForwardReply)
}

func (q *request) refuse(p *structs.Problem) {
	q.reply(link.Urgent, &structs.ForwardReply{ID: q.ID, Problem: p})
}

// waiter is a request that waits for a decision of the pool's state machine.
type waiter struct {
	request *request
	until   time.Duration
	class   link.Class
}

// eligibilityChange passes an ownership.EligibleChanged to a runner.
type eligibilityChange struct {
	agent    structs.AgentRef
	eligible bool
}

// agentChange passes a new or changed agent to a runner. linkDown is true if the agent's link has closed.
type agentChange struct {
	conn     *agentConn
	update   dispatch.AgentUpdate
	linkDown bool
}

// modeChange notifies a runner of an ownership.ModeChanged. The runner then queries the current mode.
type modeChange struct{ mode dispatch.Mode }

// runnerCall is a function that the runner calls in its goroutine, for queries and snapshots.
type runnerCall func(r *poolRunner)

// poolAgent is the state of an agent in a runner.
type poolAgent struct {
	conn     *agentConn
	update   dispatch.AgentUpdate
	eligible bool
	linked   bool
}

// poolRunner runs the state machine of one owned pool in its own goroutine.
type poolRunner struct {
	g     *Gateway
	pool  structs.PoolID
	epoch structs.Epoch

	commands chan any
	events   chan dispatch.Events
	urgent   chan *request
	routine  chan *request
	// ctx ends with the gateway or when end is called. The goroutine then answers waiting requests as misdirected and
	// closes done.
	ctx     context.Context
	end     context.CancelFunc
	done    chan struct{}
	journal *journal.Journal

	// The fields below are used only by the runner's goroutine.
	machine    *dispatch.Pool
	agents     map[structs.AgentRef]*poolAgent
	waiters    map[dispatch.WaiterID]*waiter
	lastWaiter dispatch.WaiterID
	mode       dispatch.Mode
	// adopted is true after the recovery of the pool.
	adopted bool
	// earlyEvents holds the events that arrive before the pool is adopted.
	earlyEvents []dispatch.Events
	// backlogPending is true from the change to mode attached until all keys are in the journal.
	backlogPending bool
	// paused is true while a snapshot of the pool is handed over.
	paused bool
	// followUps holds the inputs that result from executing the machine's actions. They are passed in after the current
	// actions, so that these keep their order.
	followUps  []dispatch.Input
	nextExpiry time.Duration
	nextReport time.Duration
	metrics    poolMetrics
}

func newPoolRunner(parent context.Context, g *Gateway, pool structs.PoolID, epoch structs.Epoch) *poolRunner {
	options := dispatch.Options{
		Pool: pool, Epoch: epoch, Retention: retention, NonRepeatableRetention: nonRepeatableRetention,
		Policy: g.options.Policy, Seed: g.options.Seed,
	}
	ctx, end := context.WithCancel(parent)
	r := &poolRunner{
		g:        g,
		ctx:      ctx,
		end:      end,
		pool:     pool,
		epoch:    epoch,
		commands: make(chan any, commandQueue),
		events:   make(chan dispatch.Events, eventQueue),
		urgent:   make(chan *request, requestQueue),
		routine:  make(chan *request, requestQueue),
		done:     make(chan struct{}),
		machine:  dispatch.New(g.now(), options),
		agents:   map[structs.AgentRef]*poolAgent{},
		waiters:  map[dispatch.WaiterID]*waiter{},
		metrics:  newPoolMetrics(g.scope, pool),
	}
	r.journal = r.newJournal()
	return r
}

// configure passes the configuration and the linked agents to the machine before run starts.
func (r *poolRunner) configure(config *structs.Configuration, agents []agentChange) {
	r.execute(r.machine.Step(r.g.now(), dispatch.Configure{Config: config}))
	for _, change := range agents {
		r.agentChanged(change)
	}
}

// send queues a command: a dispatch.Input, agentChange, eligibilityChange, modeChange or runnerCall. The command is
// dropped if the runner has ended.
func (r *poolRunner) send(command any) {
	select {
	case r.commands <- command:
	case <-r.done:
	}
}

// deliverEvents queues an agent's events. It blocks while the queue is full, which slows down the agent's link.
func (r *poolRunner) deliverEvents(events dispatch.Events) {
	select {
	case r.events <- events:
	case <-r.done:
	}
}

// enqueue queues a request, or refuses it at once if the queue is full or the runner has ended. It must not block: one
// goroutine reads the requests of all priorities from a link, and would make urgent ones wait for routine ones.
func (r *poolRunner) enqueue(q *request) {
	queue := r.urgent
	if q.Submission != nil && q.Submission.Priority == structs.Routine {
		queue = r.routine
	}
	select {
	case <-r.ctx.Done():
		q.refuse(misdirected(structs.OutcomeNotRun, "the pool has another owner"))
		return
	default:
	}
	select {
	case queue <- q:
	default:
		q.refuse(queueFullProblem())
		return
	}
	// The runner may have ended between the check and the send. Then nobody else empties the queue.
	select {
	case <-r.done:
		r.refuseQueued()
	default:
	}
}

func (r *poolRunner) run() {
	defer r.finish()
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case c := <-r.commands:
			r.command(c)
		case e := <-r.events:
			r.handleEvents(e)
		case q := <-r.urgent:
			r.serve(q)
		case q := <-r.routine:
			r.serve(q)
		case <-timer.C:
			r.tick()
			timer.Reset(r.nextTick())
		}
		if r.paused && !r.awaitResume() {
			return
		}
		r.drain()
	}
}

// awaitResume blocks a paused runner while its snapshot is sent to a successor, and reports whether the runner
// continues. Meanwhile it executes only calls, since any step of the machine would make the snapshot outdated.
func (r *poolRunner) awaitResume() bool {
	var held []any
	for r.paused {
		select {
		case <-r.ctx.Done():
			return false
		case c := <-r.commands:
			if f, ok := c.(runnerCall); ok {
				f(r)
			} else {
				held = append(held, c)
			}
		}
	}
	for _, c := range held {
		r.command(c)
	}
	return true
}

func (r *poolRunner) nextTick() time.Duration {
	if r.machine.Stats().Jobs > 0 || len(r.waiters) > 0 {
		return busyTick
	}
	return idleTick
}

// drain processes what has arrived meanwhile: many events and urgent submissions, few routine ones.
func (r *poolRunner) drain() {
	drainQueue(r, r.commands, commandQueue, r.command)
	drainQueue(r, r.events, eventBatch, r.handleEvents)
	drainQueue(r, r.urgent, urgentBatch, r.serve)
	drainQueue(r, r.routine, routineBatch, r.serve)
}

func drainQueue[T any](r *poolRunner, queue <-chan T, limit int, handle func(T)) {
	for range limit {
		if r.paused {
			return
		}
		select {
		case item := <-queue:
			handle(item)
		default:
			return
		}
	}
}

// finish answers all requests after the runner has ended. A request that the machine has received may have run; the
// entry side resubmits it to the next owner.
func (r *poolRunner) finish() {
	r.end()
	close(r.done)
	for _, w := range r.waiters {
		w.request.refuse(misdirected(structs.OutcomeMayHaveRun, "the gateway has lost the pool"))
	}
	r.refuseQueued()
}

// refuseQueued refuses the requests that are still in the queues.
func (r *poolRunner) refuseQueued() {
	for {
		select {
		case q := <-r.urgent:
			q.refuse(misdirected(structs.OutcomeNotRun, "the gateway has lost the pool"))
		case q := <-r.routine:
			q.refuse(misdirected(structs.OutcomeNotRun, "the gateway has lost the pool"))
		default:
			return
		}
	}
}

// command executes a command (see send).
func (r *poolRunner) command(command any) {
	switch c := command.(type) {
	case agentChange:
		r.agentChanged(c)
	case eligibilityChange:
		r.eligibilityChanged(c)
	case runnerCall:
		c(r)
	case modeChange:
		r.backlogPending = c.mode == dispatch.Attached
		r.step(dispatch.Tick{})
		r.reportBacklogWritten()
	case dispatch.Adopt:
		r.adopt(c)
	case dispatch.Restore:
		r.adopt(c)
	case dispatch.AgentLost:
		r.removeAgent(c)
	case dispatch.Input:
		r.step(c)
	}
}

// adopt ends the recovery and passes in the events that have arrived during it.
func (r *poolRunner) adopt(in dispatch.Input) {
	r.adopted = true
	r.step(in)
	early := r.earlyEvents
	r.earlyEvents = nil
	for _, e := range early {
		r.step(e)
	}
}

// handleEvents passes events to the machine. While the pool recovers, events are kept until the machine knows the
// tasks: an agent that has answered the fence reports the end of a task only once, possibly before the recovery has
// ended.
func (r *poolRunner) handleEvents(e dispatch.Events) {
	if !r.adopted {
		r.earlyEvents = append(r.earlyEvents, e)
		return
	}
	r.step(e)
}

// step updates the machine's mode and passes in an input, so that nothing starts after the right to start tasks has
// expired.
func (r *poolRunner) step(in dispatch.Input) {
	r.refreshMode()
	r.execute(r.machine.Step(r.g.now(), in))
	r.runFollowUps()
}

// refreshMode passes the current mode to the machine if it has changed.
func (r *poolRunner) refreshMode() {
	if !r.adopted {
		return
	}
	epoch, mode, owned := r.g.pools.mode(r.pool)
	if !owned || epoch != r.epoch {
		mode = dispatch.Suspended
	}
	if mode == r.mode {
		return
	}
	r.mode = mode
	r.execute(r.machine.Step(r.g.now(), dispatch.SetMode{Mode: mode}))
	r.runFollowUps()
}

// runFollowUps passes in the inputs that resulted from the last actions.
func (r *poolRunner) runFollowUps() {
	for i := 0; i < len(r.followUps); i++ {
		r.execute(r.machine.Step(r.g.now(), r.followUps[i]))
	}
	clear(r.followUps)
	r.followUps = r.followUps[:0]
}

// tick does the periodic work of the runner.
func (r *poolRunner) tick() {
	now := r.g.now()
	r.step(dispatch.Tick{})
	r.reportBacklogWritten()
	if now >= r.nextExpiry {
		r.expire(now)
		r.nextExpiry = now + expiryInterval
	}
	if now >= r.nextReport {
		r.metrics.report(r.machine.Stats())
		r.nextReport = now + statsInterval
	}
}

// expire answers the waiters whose wait is over with the status of their job.
func (r *poolRunner) expire(now time.Duration) {
	for id, w := range r.waiters {
		if w.until > now {
			continue
		}
		delete(r.waiters, id)
		r.replyStatus(w.request)
		r.step(dispatch.DropWaiter{Waiter: id})
	}
}

// replyStatus answers a request with the status of its job.
func (r *poolRunner) replyStatus(q *request) {
	status, ok := r.machine.Status(jobOf(q), r.g.now())
	switch {
	case ok:
		q.reply(link.Urgent, &structs.ForwardReply{ID: q.ID, Status: &status})
	case r.adopted:
		q.refuse(unknownJobProblem())
	default:
		q.refuse(misdirected(structs.OutcomeMayHaveRun, "the pool is being recovered"))
	}
}

func jobOf(q *request) structs.JobID {
	if q.Kind == structs.ForwardSubmit {
		return q.Submission.Job
	}
	return q.Job
}

// unknownJobProblem leaves open whether the job has run, since the owner forgets jobs after the retention period.
func unknownJobProblem() *structs.Problem {
	return &structs.Problem{
		Code: structs.CodeNotFound, Outcome: structs.OutcomeMayHaveRun,
		Detail: "no such job is known; jobs are forgotten 10 minutes after their end",
	}
}

// serve handles one request, or passes it to the machine, which answers it later.
func (r *poolRunner) serve(q *request) {
	switch q.Kind {
	case structs.ForwardSubmit:
		if r.adopted && r.journalFull(q.Submission) {
			q.refuse(journalFullProblem())
			return
		}
		id := r.addWaiter(q, q.Wait, classOf(q.Submission.Priority))
		r.step(dispatch.Submit{Submission: q.Submission, Waiter: id, Age: q.Age})
		r.holdWhileRecovering(id, q)
	case structs.ForwardTickets:
		r.serveTickets(q)
	case structs.ForwardFetch, structs.ForwardStatus, structs.ForwardCancel:
		r.serveJobRequest(q)
	default:
		q.refuse(refusal(structs.CodeBadRequest, fmt.Sprintf("unknown operation %d", q.Kind)))
	}
}

func journalFullProblem() *structs.Problem {
	p := refusal(structs.CodeOverloaded, "too many keys wait for the store; tickets are still accepted")
	p.RetryAfter = journalRetryAfter
	return p
}

// holdWhileRecovering extends the wait of a submission that asks only for acceptance, since a recovering pool accepts
// or refuses submissions only after the recovery.
func (r *poolRunner) holdWhileRecovering(id dispatch.WaiterID, q *request) {
	if w := r.waiters[id]; w != nil && q.Wait <= 0 {
		w.until = r.g.now() + acceptWait
	}
}

// classOf returns the link class for messages about jobs of a priority.
func classOf(p structs.Priority) link.Class {
	if p == structs.Urgent {
		return link.Urgent
	}
	return link.Bulk
}

func (r *poolRunner) serveTickets(q *request) {
	tickets, problem := r.machine.Tickets(q.Count)
	if problem != nil {
		q.refuse(problem)
		return
	}
	q.reply(link.Urgent, &structs.ForwardReply{ID: q.ID, Tickets: tickets})
}

// serveJobRequest handles requests that name a job by its ID. A job of another team is answered like an unknown one.
func (r *poolRunner) serveJobRequest(q *request) {
	r.refreshMode()
	status, ok := r.machine.Status(q.Job, r.g.now())
	if !ok && !r.adopted {
		q.refuse(misdirected(structs.OutcomeNotRun, "the pool is being recovered"))
		return
	}
	if !ok || (q.Team != "" && status.Team != "" && status.Team != q.Team) {
		q.refuse(unknownJobProblem())
		return
	}
	pending := status.Outcome == structs.OutcomePending
	if q.Kind == structs.ForwardStatus || (pending && q.Kind == structs.ForwardFetch && q.Wait <= 0) {
		q.reply(link.Urgent, &structs.ForwardReply{ID: q.ID, Status: &status})
		return
	}
	if q.Kind == structs.ForwardCancel {
		r.step(dispatch.CancelJob{Job: q.Job, Waiter: r.addWaiter(q, cancelWait, link.Urgent)})
		return
	}
	r.step(dispatch.Wait{Job: q.Job, Waiter: r.addWaiter(q, q.Wait, classOf(status.Priority))})
}

func (r *poolRunner) addWaiter(q *request, wait time.Duration, class link.Class) dispatch.WaiterID {
	r.lastWaiter++
	r.waiters[r.lastWaiter] = &waiter{request: q, until: r.g.now() + min(wait, maxForwardWait), class: class}
	return r.lastWaiter
}

func (r *poolRunner) takeWaiter(id dispatch.WaiterID) *waiter {
	w := r.waiters[id]
	delete(r.waiters, id)
	return w
}

// execute carries out the machine's actions.
func (r *poolRunner) execute(actions []dispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.SendStart:
			r.start(a)
		case dispatch.SendWithdraw:
			r.sendToAgent(a.Agent, link.Urgent, structs.TypeWithdraw, &a.Withdraw)
		case dispatch.SendCancel:
			r.sendToAgent(a.Agent, link.Urgent, structs.TypeCancel, &a.Cancel)
		case dispatch.SendReconcileStarts:
			r.sendToAgent(a.Agent, link.Urgent, structs.TypeReconcileStarts, &a.ReconcileStarts)
		case dispatch.SendFetch:
			r.sendToAgent(a.Agent, link.Urgent, structs.TypeFetchResults, &a.Fetch)
		case dispatch.WriteJournal:
			r.appendJournal(a.Entries)
		case dispatch.JobEnded:
			r.finished(a)
		case dispatch.Accepted:
			r.accepted(a)
		case dispatch.Refused:
			if w := r.takeWaiter(a.Waiter); w != nil {
				w.request.refuse(a.Problem)
			}
		}
	}
}

// appendJournal passes keys to the journal. If that fails, their jobs wait until their deadline; serve refuses
// submissions before the journal is full.
func (r *poolRunner) appendJournal(entries []dispatch.JournalEntry) {
	if err := r.journal.Append(entries); err != nil {
		_ = level.Error(r.g.logger).Log("msg", "failed to append keys to the journal", "pool", r.pool, "err", err)
	}
}

// finished answers the waiters of a job that has ended.
func (r *poolRunner) finished(a dispatch.JobEnded) {
	for _, id := range a.Waiters {
		if w := r.takeWaiter(id); w != nil {
			w.request.reply(w.class, &structs.ForwardReply{ID: w.request.ID, Answer: a.Answer})
		}
	}
}

// accepted answers a waiter that has asked only for the acceptance of its job.
func (r *poolRunner) accepted(a dispatch.Accepted) {
	w := r.waiters[a.Waiter]
	if w == nil || w.request.Wait > 0 {
		return
	}
	r.followUps = append(r.followUps, dispatch.DropWaiter{Waiter: a.Waiter})
	delete(r.waiters, a.Waiter)
	w.request.reply(link.Urgent, &structs.ForwardReply{ID: w.request.ID, Status: &a.Status})
}

// start sends tasks to an agent. If the link does not accept the message, the tasks cannot have reached the agent and
// count as refused by it.
func (r *poolRunner) start(a dispatch.SendStart) {
	class := link.Bulk
	if a.Urgent {
		class = link.Urgent
	}
	if r.sendToAgent(a.Agent, class, structs.TypeStart, &a.Start) {
		return
	}
	events := make([]structs.TaskEvent, len(a.Start.Tasks))
	for i := range a.Start.Tasks {
		events[i] = structs.TaskEvent{
			Task: a.Start.Tasks[i].Task, Kind: structs.TaskRefused, Error: "the link to the agent is down",
			Attempt: a.Start.Tasks[i].Attempt,
		}
	}
	r.followUps = append(r.followUps, dispatch.Events{Agent: a.Agent, Events: events})
}

// sendToAgent sends a message to an agent and reports whether the link accepted it. If not, the agent gets no tasks
// until it links again.
func (r *poolRunner) sendToAgent(agent structs.AgentRef, class link.Class, typ structs.MessageType, message any) bool {
	known := r.agents[agent]
	if known == nil || !known.linked {
		return false
	}
	err := known.conn.link.Send(class, typ, message)
	if err == nil {
		return true
	}
	_ = level.Warn(r.g.logger).Log("msg", "sending a message failed", "agent", agent, "type", typ, "err", err)
	known.linked = false
	r.followUps = append(r.followUps, known.current())
	return false
}

// current returns the agent's properties with its current eligibility.
func (a *poolAgent) current() dispatch.AgentUpdate {
	update := a.update
	update.Eligible = a.eligible && a.linked
	return update
}

func (r *poolRunner) agentChanged(c agentChange) {
	known := r.agents[c.conn.ref]
	if c.linkDown {
		if known == nil || known.conn != c.conn {
			return
		}
		known.linked = false
		r.step(known.current())
		return
	}
	if known == nil {
		known = &poolAgent{}
		r.agents[c.conn.ref] = known
	}
	update := c.update
	relinked := known.conn != nil && known.conn.link != c.conn.link
	known.conn, known.update, known.linked = c.conn, update, true
	update = known.current()
	update.Relinked = relinked
	r.step(update)
}

func (r *poolRunner) eligibilityChanged(e eligibilityChange) {
	known := r.agents[e.agent]
	if known == nil {
		known = &poolAgent{update: dispatch.AgentUpdate{Agent: e.agent}}
		r.agents[e.agent] = known
	}
	known.eligible = e.eligible
	if known.conn != nil {
		r.step(known.current())
	}
}

func (r *poolRunner) removeAgent(lost dispatch.AgentLost) {
	delete(r.agents, lost.Agent)
	r.step(lost)
}
