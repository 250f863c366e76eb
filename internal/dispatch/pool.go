package dispatch

import (
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/fairqueue"
	"rosedrift.example/rosedrift/internal/placement"
	"rosedrift.example/rosedrift/internal/structs"
)

// Retention of keys and answers.
const (
	// DefaultRetention is how long the answer of an ended job is kept.
	DefaultRetention = 10 * time.Minute
	// DefaultRetentionOnce applies to the keys of jobs that are not repeatable.
	DefaultRetentionOnce = 24 * time.Hour
	// recordMargin covers the time between the end of a job and the end of its last task at an agent, and the
	// message that reports it.
	recordMargin = 10 * time.Second
	// MaxResultBytes bounds the results of ended jobs that the pool keeps.
	MaxRetainedResultBytes = 128 << 20
)

// Limits of waiting work.
const (
	// NoServerLimit is how long a job waits while no server is eligible.
	NoServerTimeout = 10 * time.Second
	// maxLostAgents bounds the lost agents whose jobs are remembered.
	maxLostAgents = 1000
	// maxHeld bounds the requests that wait for the end of a takeover.
	maxHeldRequests = 100_000
	// housekeepingInterval is the time between checks that walk over waiting jobs.
	housekeepingInterval = 10 * time.Millisecond
)

// Pool is the dispatcher of one pool. It is not safe for concurrent use.
//
// Invariants: a task is in one of the lists waiting, sent or finished; a sent task occupies exactly one place at
// exactly one agent; a job that has ended has no task at an agent and none in the queue.
type Pool struct {
	options Options
	now     time.Duration
	mode    Mode
	// adopted is set by Adopt or Restore. recentTickets says that tickets of the epoch before are either known or
	// have not run. Unknown client-chosen keys are in doubt until doubtUntil.
	adopted              bool
	previousTicketsValid bool
	refuseUnknownUntil   time.Duration

	config  *structs.Configuration
	service structs.ServiceConfig

	queue  *fairqueue.Queue[*job]
	index  *placement.Index
	agents map[structs.AgentRef]*agent
	// roster lists the agents in the order of their arrival.
	agentsByArrival []*agent
	// lostJobs lists the jobs that may still run at lost agents.
	lostJobs map[structs.AgentRef][]structs.JobID

	jobs     map[structs.KeyHash]*job
	waiters  map[WaiterID]*job
	openJobs jobList
	timers   timerHeap
	ended    endedJobs
	// refusals are the submissions that were refused as not run a short time ago.
	refusals     refusals
	heldRequests []Input

	sequence uint64
	// attempts numbers the starts of the epoch.
	lastAttempt   uint64
	ticketsIssued uint64
	waiting       [structs.Priorities]int
	running       int
	runningUrgent int
	urgentLoad    loadMeter
	noServerSince time.Duration
	adoptedAt     time.Duration
	// unseenBy is when agents with start records count as lost if they have not been linked, 0 if there are none.
	unlinkedDeadline time.Duration
	nextHousekeeping time.Duration
	stats            Stats

	actions          []Action
	journalEntries   []JournalEntry
	agentsWithStarts []*agent
}

// New returns a pool that is recovering: it starts nothing before Adopt or Restore and SetMode.
func New(now time.Duration, options Options) *Pool {
	if options.Retention <= 0 {
		options.Retention = DefaultRetention
	}
	if options.RetentionOnce <= 0 {
		options.RetentionOnce = DefaultRetentionOnce
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

// Step applies an input at a monotonic time and returns the actions in the order in which to execute them.
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
	case Journaled:
		p.journalWritten(in.Keys)
	case Adopt:
		p.adopt(in)
	case Restore:
		p.restore(in)
	default:
		panic("dispatch: unknown input")
	}
}

// request handles a caller's request, or holds it until the keys of the previous owner are known.
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
	// The previous owner may know the key, so the refusal cannot promise that nothing ran.
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

// releaseHeld handles the held requests once the takeover has ended.
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

// mayStart reports whether the owner has the right to start tasks at present.
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

// releaseUnjournaled lets jobs start that wait for the journal. In detached mode keys need no journal entry.
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

// Tickets issues tickets of the pool. The error is CodeUnavailable, not run, while the pool does not serve.
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

// flush emits the collected journal entries and starts, one batch per agent.
func (p *Pool) flush() {
	if len(p.journalEntries) > 0 {
		p.emit(Journal{Entries: p.journalEntries})
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
	p.emit(Refuse{Waiter: waiter, Problem: problem})
}
