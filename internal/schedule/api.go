// Package schedule decides in one gateway which task of a job goes to which backend server and when, and which jobs
// are refused. Gateways share the servers without a leader: each places its own jobs on the room that the agents
// report, and the agents decide when two gateways have taken the same room.
//
// The package is a deterministic state machine: inputs have a monotonic time, Flush returns actions. It does no I/O and
// reads no clock.
package schedule

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Waiter names a caller's request that waits for the end of a job. The shell chooses it.
type Waiter uint64

// Outcome is the end of a request.
type Outcome uint8

// The outcomes.
const (
	// OutcomeCompleted: all tasks have completed.
	OutcomeCompleted Outcome = iota + 1
	// OutcomeFailed: a task has failed as often as its route allows.
	OutcomeFailed
	// OutcomeRefused: no task has started or will.
	OutcomeRefused
	// OutcomeLost: the job was given up after tasks had started.
	OutcomeLost
)

var outcomeNames = [...]string{"", "completed", "failed", "refused", "lost"}

// String returns the word used in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Submission is a request to run a job.
type Submission struct {
	Waiter Waiter
	Job    *structs.JobSpec
	Route  structs.Route
	// Timeout is the time until which the caller waits, from now.
	Timeout time.Duration
}

// Action is an order to the shell.
type Action interface{ action() }

// Send is a message to an agent.
type Send struct {
	Agent   structs.AgentID
	Type    structs.MessageType
	Message any
}

// CloseLink asks for the end of the link with an agent. What it has delivered before counts no more.
type CloseLink struct{ Agent structs.AgentID }

// Answer ends the requests of a job.
type Answer struct {
	Waiters []Waiter
	Job     string
	Outcome Outcome
	// Reason is one word for the log and the caller.
	Reason string
	// RetryAfter is when a refused request is expected to be served, 0 if that is not known.
	RetryAfter time.Duration
	// Summary are the inputs of the decision, for the log.
	Summary JobSummary
}

// JobSummary are what a decision about a job rested on.
type JobSummary struct {
	Route           string
	Age             time.Duration
	Tasks           int
	Placed          int
	Done            int
	ExpectedRunTime time.Duration
	Servers         int
	// Objective is the time from arrival in which the job is in time by what was known at its arrival.
	Objective time.Duration
}

// Messages of log lines by which package explain finds out what happened to a job. MessageEnded is that of the line that the
// shell writes for an Answer.
const (
	MessagePlaced   = "tasks placed"
	MessageReturned = "task came back"
	MessageMoved    = "moves a lagging task"
	MessageEnded    = "job ended"
)

// Reasons of an Answer that package explain tells apart.
const (
	ReasonNoResources = "no room in time"
	ReasonDeadline    = "deadline"
	ReasonCallerLeft  = "caller left"
)

// LogEntry is a decision for the log. Fields that do not apply are zero.
type LogEntry struct {
	Message string
	Job     string
	Agent   structs.AgentID
	// Server is the backend server beside the agent.
	Server string
	Detail string
	// Tasks is the number of tasks that the decision is about, Expect their expected run time, Free the processors in
	// thousandths of a core that are left after it, and Age the time since the job's arrival.
	Tasks           int
	ExpectedRunTime time.Duration
	FreeCPU         int64
	Age             time.Duration
}

func (Send) action()      {}
func (CloseLink) action() {}
func (Answer) action()    {}
func (LogEntry) action()  {}

// Options configures a scheduler.
type Options struct {
	Self structs.GatewayRef
	Zone string
	// OffRackFactor is how much longer a task takes away from the rack of its data.
	OffRackFactor float64
	// RunLease is the longest time for which a backend server goes on without its agent.
	RunLease time.Duration
}

// Times and limits of scheduling.
const (
	// messagingTime is the expected time of the messages around a run: two hops between VMs, a call and a list.
	messagingTime = 5 * time.Millisecond
	// waitShare is the part of a job's slack that it may wait.
	waitShare = 0.6
	// chainWaitShare is the same for a job with steps that come after others, whose waits spread too. At 1.6 times the
	// capacity 51% of the completed jobs of three steps are late with 0.6 (TestChainsOverloaded), at the same goodput.
	chainWaitShare = 0.3
	// noResourcesPause is how long no task of a priority waits at an agent after it has sent one back. Runs end there every few
	// ms under load; without the pause three gateways sent each task forth and back 1.4 times on average on a heavy day.
	noResourcesPause = 15 * time.Millisecond
	// minMoveGain is how much sooner a lagging task must be expected to end on another server to be moved. It covers the
	// stop (50 ms on the users' platform) and the round trips.
	minMoveGain = 100 * time.Millisecond
	// serverRetention is how long a server without a link stays known, with its learned speed. VMs are replaced every day.
	serverRetention = time.Minute
	// maxMoves bounds the moves of one task, so that a task that is long by itself ends somewhere.
	maxMoves = 2
)

// Circuit breaker of a server.
const (
	// breakerFailures is the number of failures in a row, each of another job, that opens the breaker. One task in 500
	// fails by itself, so three in a row point to the server.
	breakerFailures = 3
	// probeInterval is the time between tasks for a server with an open breaker.
	probeInterval = time.Second
	// unhealthyPause is the time without starts after a server has refused or not answered one. It doubles up to
	// unhealthyPauseMax.
	unhealthyPause    = 50 * time.Millisecond
	unhealthyPauseMax = time.Second
)
