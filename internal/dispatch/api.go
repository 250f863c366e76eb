// Package dispatch decides for one pool which task starts on which agent and when. It holds the pool's keys, jobs
// and queue and keeps the promises of at-most-once execution and of complete or failed answers.
//
// The package is a deterministic state machine: Step takes an input and a monotonic time and returns actions. It
// does no I/O and reads no clock.
package dispatch

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// WaiterID names a caller's request that waits for a job. The shell chooses it.
type WaiterID uint64

// Mode is the right of the owner to start tasks; internal/ownership decides it.
type Mode uint8

// The modes. Recovering lasts from the ownership of an epoch to Adopt or Restore.
const (
	Recovering Mode = iota
	Attached
	Detached
	Suspended
)

// Input is an event for the pool.
type Input interface{ input() }

// Tick lets time pass. The shell sends it at least every 10 ms while the pool has jobs, otherwise every 500 ms.
type Tick struct{}

// SetMode changes the owner's mode.
type SetMode struct{ Mode Mode }

// Configure applies a configuration. Lower or equal revisions are ignored.
type Configure struct{ Config *structs.Configuration }

// AgentUpdate reports a new agent or changed properties of a known one. Only agents in the stored roster that have
// promised the pool's epoch are reported with Eligible; others get no starts.
type AgentUpdate struct {
	Agent       structs.AgentRef
	Zone        string
	Server      string
	Slots       int
	Connections int
	Leaving     bool
	Eligible    bool
	// Relinked is true if the link was established anew, so that messages under way may have been lost. The pool
	// then asks the agent for the results of all tasks in flight and recalls starts that were lost.
	Relinked bool
}

// AgentLost reports that an agent has been silent for LostAfter or that a new incarnation has replaced it.
type AgentLost struct{ Agent structs.AgentRef }

// Submit is a submission. The job's end is reported to the waiter.
type Submit struct {
	Submission *structs.Submission
	Waiter     WaiterID
	// Age is the time since the caller's request arrived at its entry gateway.
	Age time.Duration
}

// Wait adds a waiter to a known job. For an unknown job the action is Refuse with CodeNotFound.
type Wait struct {
	Job    structs.JobID
	Waiter WaiterID
}

// DropWaiter forgets a waiter whose connection is gone. The job goes on.
type DropWaiter struct{ Waiter WaiterID }

// CancelJob cancels a job.
type CancelJob struct {
	Job    structs.JobID
	Waiter WaiterID
}

// Events carries task events of an agent. Events of an epoch above the pool's are ignored; events of lower epochs
// are accepted, since adopted tasks were started under them.
type Events struct {
	Agent structs.AgentRef
	// Epoch is TaskEvents.Epoch; 0 stands for the pool's own, as in refusals made by the shell because no link took
	// the starts. A refusal or withdrawal counts only if epoch and attempt are those of the task's last start.
	Epoch  structs.Epoch
	Events []structs.TaskEvent
}

// JournalWritten confirms that entries are in the store.
type JournalWritten struct{ Keys []structs.KeyHash }

// Adopt ends a takeover.
type Adopt struct {
	// Complete is true if every agent of the roster has answered the fence.
	Complete bool
	// KeysMayBeMissing is true if the previous owner may have admitted keys without a journal entry that are not in Records.
	KeysMayBeMissing bool
	Journal          []JournalEntry
	Records          []AgentRecords
	// RecentNonRepeatable lists keys of entries in Journal that are not repeatable and were written so recently that the
	// agents' start records of them cannot have ended. The journal entries of such jobs outlive the start records,
	// so a missing record proves nothing for the keys that are not listed.
	RecentNonRepeatable []structs.KeyHash
}

// Restore ends a planned handover with the previous owner's snapshot and the agents' answers to the fence, which
// tell the running tasks from those dropped by the promise.
type Restore struct {
	Jobs       []structs.HandoverJob
	Collection Adopt
}

// AgentRecords holds the fence reply of one agent.
type AgentRecords struct {
	Agent structs.AgentRef
	Jobs  []structs.JobRecords
}

// JournalEntry is the stored record of an admitted key.
type JournalEntry struct {
	_          struct{} `cbor:",toarray"`
	Key        structs.KeyHash
	Digest     [structs.KeySize]byte
	Tasks      uint32
	Repeatable bool
}

func (Tick) input()           {}
func (SetMode) input()        {}
func (Configure) input()      {}
func (AgentUpdate) input()    {}
func (AgentLost) input()      {}
func (Submit) input()         {}
func (Wait) input()           {}
func (DropWaiter) input()     {}
func (CancelJob) input()      {}
func (Events) input()         {}
func (JournalWritten) input() {}
func (Adopt) input()          {}
func (Restore) input()        {}

// Action is an order to the shell.
type Action interface{ action() }

// SendStart sends starts to an agent. Urgent tells the link to send at once.
type SendStart struct {
	Agent  structs.AgentRef
	Start  structs.Start
	Urgent bool
}

// SendWithdraw asks an agent for tasks back.
type SendWithdraw struct {
	Agent    structs.AgentRef
	Withdraw structs.Withdraw
}

// SendCancel cancels a job at an agent.
type SendCancel struct {
	Agent  structs.AgentRef
	Cancel structs.Cancel
}

// SendReconcileStarts asks an agent with a new link for the starts that were lost. It goes to the new link, before later starts.
type SendReconcileStarts struct {
	Agent           structs.AgentRef
	ReconcileStarts structs.ReconcileStarts
}

// SendFetch asks an agent for the results of an adopted job.
type SendFetch struct {
	Agent structs.AgentRef
	Fetch structs.FetchResults
}

// WriteJournal asks for a group commit of entries. Jobs wait for Journaled before their first start unless the pool is
// detached.
type WriteJournal struct{ Entries []JournalEntry }

// JobEnded reports the end of a job to its waiters.
type JobEnded struct {
	Answer  *structs.Answer
	Waiters []WaiterID
}

// Accepted reports that a submission is admitted or already known and has not ended.
type Accepted struct {
	Waiter WaiterID
	Status structs.JobStatus
}

// Refused reports that a request was refused.
type Refused struct {
	Waiter  WaiterID
	Problem *structs.Problem
}

func (SendStart) action()           {}
func (SendWithdraw) action()        {}
func (SendCancel) action()          {}
func (SendReconcileStarts) action() {}
func (SendFetch) action()           {}
func (WriteJournal) action()        {}
func (JobEnded) action()            {}
func (Accepted) action()            {}
func (Refused) action()             {}

// Options configures a pool.
type Options struct {
	Pool  structs.PoolID
	Epoch structs.Epoch
	// Retention is how long the answers of ended jobs are kept. Their keys stay known for the longest deadline more,
	// as long as the agents' start records. RetentionOnce applies to the keys of jobs that are not
	// repeatable.
	Retention              time.Duration
	NonRepeatableRetention time.Duration
	// Policy selects the placement and queue policy; "random" and "fifo" are baselines for measurements.
	Policy Policy
	// Seed makes the baseline policies deterministic.
	Seed uint64
}

// Policy names a dispatch policy.
type Policy string

// The policies. PolicyFIFO ignores priority, teams and speed; PolicyRandom also places at random without regard
// to free slots beyond the agent's queue bound.
const (
	PolicyDefault Policy = "rosedrift"
	PolicyRandom  Policy = "random"
	PolicyFIFO    Policy = "fifo"
)

// Stats counts what the pool has done and holds. Durations are estimates.
type Stats struct {
	Started         uint64
	Finished        uint64
	Failed          uint64
	Withdrawn       uint64
	Refused         uint64
	LateEvents      uint64
	Jobs            int
	QueuedUrgent    int
	QueuedRoutine   int
	Running         int
	Slots           int
	ExpectedUrgent  time.Duration
	ExpectedRoutine time.Duration
}

// Methods of Pool, implemented in pool.go:
//
//	New(now time.Duration, options Options) *Pool
//	(p *Pool) Step(now time.Duration, in Input) []Action
//	(p *Pool) Status(job structs.JobID, now time.Duration) (structs.JobStatus, bool)
//	(p *Pool) Jobs(now time.Duration, limit int) []structs.JobStatus
//	(p *Pool) Agents() []AgentStatus
//	(p *Pool) Stats() Stats
//	(p *Pool) Snapshot(now time.Duration) []structs.HandoffJob
//	(p *Pool) Tickets(count int) ([]string, *structs.Problem)

// AgentStatus describes one agent for the operators' queries.
type AgentStatus struct {
	Agent    structs.AgentRef
	Zone     string
	Server   string
	Slots    int
	Running  int
	Queued   int
	Eligible bool
	Leaving  bool
	// Speed is the learned run time relative to the kind's mean; 1 is average, 2 takes twice as long.
	Speed float64
	// State is one word or sentence: why the agent gets or gets no work.
	State string
}
