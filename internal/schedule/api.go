// Package schedule implements the scheduler of one gateway: it assigns the tasks of the gateway's jobs to backend
// servers, and refuses jobs that cannot be finished in time. Gateways share the servers without a leader. Each
// gateway schedules its own jobs against the free capacity that the agents report; if two gateways claim the same
// capacity, the agent of that server decides which tasks run first.
//
// The scheduler is a deterministic state machine: every input carries a monotonic time, and Flush returns the
// resulting actions. The package does no I/O and reads no clock.
package schedule

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Waiter identifies a caller's request that waits for the end of a job. The I/O layer assigns it.
type Waiter uint64

// Outcome says how a job ended for its callers.
type Outcome uint8

// The outcomes.
const (
	// OutcomeCompleted: all tasks have completed.
	OutcomeCompleted Outcome = iota + 1
	// OutcomeFailed: a task failed as often as its route allows or crashed several servers, or the job was cancelled.
	OutcomeFailed
	// OutcomeRefused: no task has started, and none will.
	OutcomeRefused
	// OutcomeLost: the job was given up after some of its tasks may have started, or because all its callers left.
	OutcomeLost
)

var outcomeNames = [...]string{"", "completed", "failed", "refused", "lost"}

// String returns the outcome as it appears in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Submission is a caller's request to run a job.
type Submission struct {
	Waiter Waiter
	Job    *structs.JobSpec
	Route  structs.Route
	// Timeout is how long the caller waits for the answer, counted from the call of Submit. With OpenEnded it is only assumed:
	// the caller may wait longer, and tasks that run then may end.
	Timeout   time.Duration
	OpenEnded bool
	// Age is the time since the caller has sent the request, as far as known.
	Age time.Duration
}

// Action is an instruction to the I/O layer.
type Action interface{ action() }

// Send asks the I/O layer to send a message to an agent.
type Send struct {
	Agent   structs.AgentID
	Type    structs.MessageType
	Message any
}

// CloseLink asks the I/O layer to close the link with an agent. Messages that arrived on the link and have not been
// handled must be discarded.
type CloseLink struct{ Agent structs.AgentID }

// Answer ends all requests that wait for a job.
type Answer struct {
	Waiters []Waiter
	Job     string
	Outcome Outcome
	// Reason explains the outcome to the caller and in the log.
	Reason string
	// RetryAfter is when a refused request is expected to succeed, counted from now, or 0 if unknown.
	RetryAfter time.Duration
	// Summary holds the inputs of the decision, for the log.
	Summary JobSummary
}

// JobSummary describes the state of a job at the time of its answer.
type JobSummary struct {
	Route           string
	Age             time.Duration
	Tasks           int
	Placed          int
	Done            int
	ExpectedRunTime time.Duration
	Servers         int
	// Objective is the time from the arrival of the job to its due time, computed from what was known at its arrival.
	Objective time.Duration
}

// Log messages by which package explain reconstructs what happened to a job. The I/O layer writes MessageEnded when it
// carries out an Answer.
const (
	MessagePlaced   = "tasks placed"
	MessageReturned = "task came back"
	MessageMoved    = "moves a lagging task"
	MessageEnded    = "job ended"
	// MessageWaitsNear is logged when the first task of a step begins to wait for the rack of its data.
	MessageWaitsNear = "waits for a server near its data"
	MessageGivenUp   = "job given up, servers crashed under its task"

	// MessageJobHeld is logged when another gateway may still run a job that was submitted here, MessageJobTaken when a job ends
	// because its caller has submitted it through another gateway, and MessageClaimUnanswered when no agent has answered the claim
	// of a job in time.
	MessageJobHeld         = "job held by another gateway"
	MessageJobTaken        = "job submitted through another gateway"
	MessageClaimUnanswered = "claim of a job not answered"

	MessageQuarantined     = "queue in quarantine"
	MessageQuarantineEnded = "quarantine of queue ended"
)

// Log messages about the demand for a rack.
const (
	MessageRackInDemand    = "rack in demand"
	MessageRackDemandEnded = "rack no longer in demand"
)

// Reasons of an Answer that package explain distinguishes.
const (
	ReasonNoResources = "no room in time"
	// ReasonNoRoomExpected: under contention, the last task of the job was not expected to start in time, or jobs of a higher
	// priority start too late already.
	ReasonNoRoomExpected = "no room expected in time"
	ReasonDeadline       = "deadline"
	// ReasonUnservable: no known server is large enough for a task of the job, or has the label that it requires.
	ReasonUnservable = "no server can run it"
	ReasonCallerLeft = "caller left"
	// ReasonCrashes: several servers have crashed under a task of the job.
	ReasonCrashes = "servers crashed under its task"
	// ReasonTaken: the caller has submitted the job again through another gateway.
	ReasonTaken = "submitted again elsewhere"
	// ReasonQuarantine: the queue is kept apart because its tasks crash servers, and no server that it may use is up.
	ReasonQuarantine = "queue in quarantine"
)

// LogEntry asks the I/O layer to log a decision. Fields that do not apply are zero.
type LogEntry struct {
	Message string
	Job     string
	Agent   structs.AgentID
	// Server is the backend server of the agent.
	Server string
	Detail string
	// Tasks is the number of tasks that the decision concerns, ExpectedRunTime their expected run time, FreeCPU the
	// processor capacity that remains afterwards in thousandths of a core, and Age the time since the arrival of the
	// job.
	Tasks           int
	ExpectedRunTime time.Duration
	FreeCPU         int64
	Age             time.Duration
}

// QuarantinesPath is the path of the gateways' list of queues in quarantine. A queue in it is the path with the name of the queue.
const QuarantinesPath = "/quarantines"

// QuarantineState describes a queue in quarantine.
type QuarantineState struct {
	Route    string `json:"queue"`
	Service  string `json:"service"`
	Evidence string `json:"evidence"`
	// Servers are the agents of the servers that are set apart for all queues in quarantine of the service.
	Servers []structs.AgentID `json:"servers"`
	// LastCrash is the time since the last crash, EndsIn the time until the quarantine is expected to end.
	LastCrash time.Duration `json:"last_crash_ns"`
	EndsIn    time.Duration `json:"ends_in_ns"`
}

func (Send) action()      {}
func (CloseLink) action() {}
func (Answer) action()    {}
func (LogEntry) action()  {}

// Options configures a scheduler.
type Options struct {
	Self structs.GatewayRef
	Zone string
	// OffRackFactor is the factor by which a task takes longer on a server outside the rack of its data.
	OffRackFactor float64
	// RunLease is the longest time for which a backend server keeps runs going without contact to its agent.
	RunLease time.Duration
	// EarlyRefusal is the factor by which the observed delays count when it is decided under contention whether a job is
	// refused before it has waited. 0 means that no job is refused early.
	EarlyRefusal float64
}

// Times and limits of scheduling.
const (
	// messagingTime is the expected overhead of the messages around a run: two hops between VMs, one call to the
	// server and one list of its runs.
	messagingTime = 5 * time.Millisecond
	// freeStartTime is how long a task may wait at a server that was expected to have free resources. Then another
	// gateway was faster, and the agent's answer says what is free now.
	freeStartTime = 40 * time.Millisecond
	// waitShare is the share of a job's slack that it may spend waiting.
	waitShare = 0.6
	// chainWaitShare is the same for a job with dependent steps, whose later waits vary too. At 1.6 times the
	// capacity, a share of 0.6 makes 51% of the completed three-step jobs late (TestOverloadedChainsCompleteInTime),
	// at the same goodput.
	chainWaitShare = 0.3
	// noResourcesPause is how long no task of a priority is queued at an agent after the agent has returned one for
	// lack of resources. Under load, runs end there every few ms. Without the pause, three gateways sent each task
	// back and forth 1.4 times on average on a heavy day.
	noResourcesPause = 15 * time.Millisecond
	// minMoveGain is how much sooner a straggler must be expected to end on another server to be moved. It covers the
	// stop of the old run (50 ms on the users' platform) and the round trips.
	minMoveGain = 100 * time.Millisecond
	// serverRetention is how long a server without a link stays known. VMs are replaced
	// every day.
	serverRetention = time.Minute
	// slowedServer is the rise of the logarithm of a server's slowness since a placement above which the server is the
	// cause of a straggler.
	slowedServer = 0.7
	// maxLogSlowness bounds the logarithm of a server's slowness. exp(3) is a factor of 20.
	maxLogSlowness = 3
	// maxMoves bounds the moves of one task, so that a task with a lot of work eventually runs to its end.
	maxMoves = 2
)
