package dispatch

import (
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/fairqueue"
	"rosedrift.example/rosedrift/internal/placement"
	"rosedrift.example/rosedrift/internal/structs"
)

// How long answers and keys are kept, and how much memory the results may take.
const (
	// DefaultRetention is how long the answer of an ended job is kept.
	DefaultRetention = 10 * time.Minute
	// DefaultNonRepeatableRetention is how long the key of an ended job that is not repeatable is kept.
	DefaultNonRepeatableRetention = 24 * time.Hour
	// recordMargin is the part of the key retention that covers the time from the end of a job to the end of its
	// last task at an agent, and the message that reports that end.
	recordMargin = 10 * time.Second
	// MaxRetainedResultBytes bounds the total size of the results of ended jobs. The oldest results are dropped
	// first.
	MaxRetainedResultBytes = 128 << 20
)

// Limits of waiting work.
const (
	// NoServerTimeout is how long a job waits while no server is eligible.
	NoServerTimeout = 10 * time.Second
	// maxLostAgents bounds the number of lost agents whose jobs are remembered.
	maxLostAgents = 1000
	// maxHeldRequests bounds the requests that wait until the pool has recovered.
	maxHeldRequests = 100_000
	// housekeepingInterval is the time between the periodic checks for expired keys, refusals, agents and jobs.
	housekeepingInterval = 10 * time.Millisecond
)

// Pool is the dispatcher of one pool. It is not safe for concurrent use.
//
// Invariants: each task is in exactly one taskState; a sent task counts once, at exactly one agent, as in flight; a job
// that has ended has no task at an agent and none in the queue.
type Pool struct {
	options Options
	now     time.Duration
	mode    Mode
	// adopted is set by Adopt or Restore, which end the recovery of the previous owner's jobs.
	adopted bool
	// previousTicketsValid means that a ticket of the previous epoch that has no job here has certainly not run.
	previousTicketsValid bool
	// refuseUnknownUntil is the time until which unknown keys chosen by clients are refused, because the previous
	// owner may have run them.
	refuseUnknownUntil time.Duration

	config  *structs.Configuration
	service structs.ServiceConfig

	queue  *fairqueue.Queue[*job]
	index  *placement.Index
	agents map[structs.AgentRef]*agent
	// agentsByArrival lists the agents in the order in which the pool learned of them. Iterations use it instead of
	// the map, so that the order of actions is deterministic.
	agentsByArrival []*agent
	// lostJobs lists the jobs whose tasks may still run at lost agents.
	lostJobs map[structs.AgentRef][]structs.JobID

	// jobs holds all known jobs, ended ones included. openJobs and timers hold those that have not ended.
	jobs     map[structs.KeyHash]*job
	waiters  map[WaiterID]*job
	openJobs jobList
	timers   timerHeap
	ended    endedJobs
	// refusals remembers the submissions that were recently refused with outcome not_run.
	refusals refusals
	// heldRequests are the callers' requests that wait until the pool has recovered.
	heldRequests []Input

	// sequence numbers the jobs, and the iterations that set agent.lastVisit.
	sequence uint64
	// lastAttempt is the number of the latest start. The starts of an epoch are numbered from 1.
	lastAttempt   uint64
	ticketsIssued uint64
	// waiting is the number of waiting tasks of each priority class.
	waiting [structs.Priorities]int
	// running is the number of tasks sent to agents, queued there or running.
	running       int
	runningUrgent int
	urgentLoad    loadMeter
	noServerSince time.Duration
	adoptedAt     time.Duration
	// unlinkedDeadline is when agents that are known only from their start records count as lost if they have not
	// been linked since the takeover. It is 0 before the takeover ends and after the check.
	unlinkedDeadline time.Duration
	nextHousekeeping time.Duration
	stats            Stats

	// The output of the current Step: actions, and the journal entries and agents with pending starts that flush
	// turns into actions.
	actions          []Action
	journalEntries   []JournalEntry
	agentsWithStarts []*agent
}

// New returns a pool that is recovering: it starts no task before it gets Adopt or Restore, and SetMode.
func New(now time.Duration, options Options) *Pool {
	if options.Retention <= 0 {
		options.Retention = DefaultRetention
	}
	if options.NonRepeatableRetention <= 0 {
		options.NonRepeatableRetention = DefaultNonRepeatableRetention
	}
	if options.Policy == "" {
		options.Policy = PolicyDefault
	}
	p := &Pool{
		options:       options,
		now:           now,
		config:        &structs.Configuration{},
		queue:         fairqueue.New[*job](options.Policy != PolicyDefault),
		index:         placement.NewIndex(options.Seed),
		agents:        make(map[structs.AgentRef]*agent),
		lostJobs:      make(map[structs.AgentRef][]structs.JobID),
		jobs:          make(map[structs.KeyHash]*job),
		waiters:       make(map[WaiterID]*job),
		noServerSince: now,
		refusals:      refusals{byKey: make(map[structs.KeyHash]refusalRecord)},
	}
	p.applyService()
	return p
}

// Step applies an input at a monotonic time and returns the actions in the order in which they must be executed.
func (p *Pool) Step(now time.Duration, in Input) []Action {
	p.now = max(p.now, now)
	p.actions = nil
	p.index.Advance(p.now)
	p.apply(in)
	p.expire()
	p.dispatch()
	p.flush()
	return p.actions
}

func (p *Pool) apply(in Input) {
	switch in := in.(type) {
	case Tick:
	case SetMode:
		p.setMode(in.Mode)
	case Configure:
		p.configure(in.Config)
	case AgentUpdate:
		p.updateAgent(in)
	case AgentLost:
		p.loseAgent(in.Agent)
	case Submit, Wait, CancelJob:
		p.request(in)
	case DropWaiter:
		p.dropWaiter(in.Waiter)
	case Events:
		p.handleEvents(in)
	case JournalWritten:
		p.journalWritten(in.Keys)
	case Adopt:
		p.adopt(in)
	case Restore:
		p.restore(in)
	default:
		panic("dispatch: unknown input")
	}
}

// request handles a caller's request, or holds it while the pool is recovering, since the jobs of the previous owner
// are not known yet.
func (p *Pool) request(in Input) {
	if p.recovering() {
		p.holdRequest(in)
		return
	}
	switch in := in.(type) {
	case Submit:
		p.submit(in)
	case Wait:
		p.wait(in)
	case CancelJob:
		p.cancel(in)
	}
}

func (p *Pool) holdRequest(in Input) {
	if len(p.heldRequests) < maxHeldRequests {
		p.heldRequests = append(p.heldRequests, in)
		return
	}
	// The previous owner may have run the key, so the outcome cannot be not_run.
	problem := newProblem(structs.CodeUnavailable, structs.OutcomeMayHaveRun, "the pool is being taken over")
	problem.RetryAfter = time.Second
	switch in := in.(type) {
	case Submit:
		p.refuse(in.Waiter, problem)
	case Wait:
		p.refuse(in.Waiter, problem)
	case CancelJob:
		p.refuse(in.Waiter, problem)
	}
}

// releaseHeld handles the held requests once the pool has recovered.
func (p *Pool) releaseHeld() {
	if p.recovering() {
		return
	}
	held := p.heldRequests
	p.heldRequests = nil
	for _, in := range held {
		p.request(in)
	}
}

func (p *Pool) recovering() bool { return !p.adopted || p.mode == Recovering }

// mayStart reports whether this owner may start tasks in its current mode.
func (p *Pool) mayStart() bool {
	return p.adopted && (p.mode == Attached || p.mode == Detached)
}

func (p *Pool) setMode(mode Mode) {
	p.mode = mode
	if mode == Detached {
		p.releaseUnjournaled()
	}
	if p.mayStart() && p.index.Serving() == 0 {
		p.noServerSince = p.now
	}
	p.releaseHeld()
}

// releaseUnjournaled releases all jobs that wait for their journal entry. In detached mode the store cannot be reached,
// and jobs start without a journal entry.
func (p *Pool) releaseUnjournaled() {
	for j := p.openJobs.first; j != nil; j = j.next {
		p.releaseJob(j)
	}
}

func (p *Pool) journalWritten(keys []structs.KeyHash) {
	for _, key := range keys {
		j := p.jobs[key]
		if j == nil || j.state == jobEnded {
			continue
		}
		j.journaled = true
		p.releaseJob(j)
	}
}

// Tickets issues tickets of the pool. A ticket contains its time of issue, see ticketTime. While the pool may not start
// tasks, the problem is CodeUnavailable with outcome not_run.
func (p *Pool) Tickets(count int) ([]string, *structs.Problem) {
	if !p.mayStart() {
		problem := newProblem(structs.CodeUnavailable, structs.OutcomeNotRun, "the pool does not serve at present")
		problem.RetryAfter = time.Second
		return nil, problem
	}
	tickets := make([]string, count)
	for i := range tickets {
		p.ticketsIssued++
		ticket := structs.Ticket{
			Pool:   p.options.Pool,
			Epoch:  p.options.Epoch,
			Unique: strconv.FormatInt(p.now.Milliseconds(), 36) + "-" + strconv.FormatUint(p.ticketsIssued, 36),
		}
		tickets[i] = ticket.String()
	}
	return tickets, nil
}

// flush emits the journal entries that the step has collected as one action, and the starts as one action per agent.
func (p *Pool) flush() {
	if len(p.journalEntries) > 0 {
		p.emit(WriteJournal{Entries: p.journalEntries})
		p.journalEntries = nil
	}
	for _, a := range p.agentsWithStarts {
		p.emit(SendStart{
			Agent:  a.ref,
			Start:  structs.Start{Epoch: p.options.Epoch, Tasks: a.pendingStarts},
			Urgent: a.pendingUrgent,
		})
		a.pendingStarts, a.pendingUrgent = nil, false
	}
	p.agentsWithStarts = p.agentsWithStarts[:0]
}

func (p *Pool) emit(action Action) { p.actions = append(p.actions, action) }

func (p *Pool) refuse(waiter WaiterID, problem *structs.Problem) {
	p.emit(Refused{Waiter: waiter, Problem: problem})
}
