// Package dispatch decides for one pool which task starts on which agent and when. It holds the pool's keys, jobs
// and queue, and guarantees that each task runs at most once and that a job's answer is either complete or a failure.
//
// The package is a deterministic state machine: Step takes an input and a monotonic time and returns actions. It does
// no I/O and reads no clock. Its runner in package gateway passes the inputs and executes the actions.
package dispatch

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// WaiterID identifies a caller's request that waits for a job. The runner assigns it.
type WaiterID uint64

// Mode says whether the owner of the pool may start tasks. Package ownership decides it.
type Mode uint8

// The modes.
const (
	// Recovering lasts from the start of an epoch until Adopt or Restore. No task may start.
	Recovering Mode = iota
	// Attached is normal operation.
	Attached
	// Detached is operation without the store. Tasks may start, also without a journal entry.
	Detached
	// Suspended means that the owner has lost contact with the store and with most agents. No task may start.
	Suspended
)

// Input is an event for the pool.
type Input interface{ input() }

// Tick has no data; Step gets the time. The runner sends it at least every 10 ms while the pool has jobs, otherwise
// every 500 ms.
type Tick struct{}

// SetMode changes the owner's mode.
type SetMode struct{ Mode Mode }

// Configure applies a configuration. It is ignored unless its revision is higher than the current one.
type Configure struct{ Config *structs.Configuration }

// AgentUpdate reports a new agent or changed properties of a known one. Eligible is true for agents that are in the
// stored roster and have promised the pool's epoch; others get no starts.
type AgentUpdate struct {
	Agent       structs.AgentRef
	Zone        string
	Server      string
	Slots       int
	Connections int
	Leaving     bool
	Eligible    bool
	// Relinked is true if the link was re-established, so that messages under way may have been lost. The pool then
	// asks the agent for the results of all tasks in flight and which starts it has not received.
	Relinked bool
}

// AgentLost reports that nothing was received from an agent for LostAfter or that a new incarnation has replaced it.
type AgentLost struct{ Agent structs.AgentRef }

// Submit is a caller's submission. The end of its job is reported to the waiter.
type Submit struct {
	Submission *structs.Submission
	Waiter     WaiterID
	// Age is the time since the caller's request arrived at its entry gateway.
	Age time.Duration
}

// Wait adds a waiter to a known job. For an unknown job the waiter gets Refused with CodeNotFound.
type Wait struct {
	Job    structs.JobID
	Waiter WaiterID
}

// DropWaiter removes a waiter whose connection was closed. The job continues.
type DropWaiter struct{ Waiter WaiterID }

// CancelJob cancels a job, whose end is reported to the waiter too.
type CancelJob struct {
	Job    structs.JobID
	Waiter WaiterID
}

// Events carries task events of an agent. Events of an epoch above the pool's are ignored. Events of lower epochs are
// accepted, since tasks of previous owners were started in them.
type Events struct {
	Agent structs.AgentRef
	// Epoch is TaskEvents.Epoch. 0 means the pool's own epoch: the runner uses it when it refuses starts itself
	// because the agent has no link. A refusal or withdrawal counts only if epoch and attempt are those of the task's
	// last start.
	Epoch  structs.Epoch
	Events []structs.TaskEvent
}

// JournalWritten reports that the entries of these keys are in the store.
type JournalWritten struct{ Keys []structs.KeyHash }

// Adopt ends a takeover with what the journal and the agents know about the previous owner's jobs.
type Adopt struct {
	// Complete is true if every agent in the stored roster has answered the fence.
	Complete bool
	// KeysMayBeMissing is true if the previous owner may have admitted keys that are neither in Journal nor in
	// Records.
	KeysMayBeMissing bool
	Journal          []JournalEntry
	Records          []AgentRecords
	// RecentNonRepeatable lists the keys of non-repeatable jobs in Journal that were written so recently that no agent
	// can have dropped start records of them. Journal entries of such jobs are kept longer than start records. For keys
	// that are not listed, a missing record therefore does not prove that no task has started.
	RecentNonRepeatable []structs.KeyHash
}

// Restore ends a handover with the previous owner's snapshot. Collection holds the agents' answers to the fence, which
// distinguish tasks that have started from those that agents dropped from their queues when they promised the epoch.
type Restore struct {
	Jobs       []structs.HandoverJob
	Collection Adopt
}

// AgentRecords holds the start records in the fence reply of one agent.
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

// Action is something that the runner must do for the pool.
type Action interface{ action() }

// SendStart sends starts to an agent. Urgent means that the link must send them at once instead of waiting for more
// messages.
type SendStart struct {
	Agent  structs.AgentRef
	Start  structs.Start
	Urgent bool
}

// SendWithdraw asks an agent to return tasks that have not started.
type SendWithdraw struct {
	Agent    structs.AgentRef
	Withdraw structs.Withdraw
}

// SendCancel cancels a job at an agent.
type SendCancel struct {
	Agent  structs.AgentRef
	Cancel structs.Cancel
}

// SendReconcileStarts asks an agent whose link was re-established which starts it has not received. It must be sent on
// the new link, before later starts.
type SendReconcileStarts struct {
	Agent           structs.AgentRef
	ReconcileStarts structs.ReconcileStarts
}

// SendFetch asks an agent for the results of a job: after a takeover, or when events may have been lost with a link.
type SendFetch struct {
	Agent structs.AgentRef
	Fetch structs.FetchResults
}

// WriteJournal writes entries to the journal in one commit. Their jobs start after JournalWritten, or at once if the
// pool is detached.
type WriteJournal struct{ Entries []JournalEntry }

// JobEnded reports the end of a job and its answer to the waiters.
type JobEnded struct {
	Answer  *structs.Answer
	Waiters []WaiterID
}

// Accepted reports that the job of a submission was admitted, or is already known and has not ended.
type Accepted struct {
	Waiter WaiterID
	Status structs.JobStatus
}

// Refused reports to the waiter that its request was refused.
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
	// Retention is how long the answers of ended jobs are kept. The keys of repeatable jobs stay known longer, by the
	// longest deadline and a margin, so that they outlast the agents' start records.
	Retention time.Duration
	// NonRepeatableRetention is how long the keys of ended jobs that are not repeatable stay known.
	NonRepeatableRetention time.Duration
	// Policy selects the placement and queue policy. "random" and "fifo" are baselines for comparisons.
	Policy Policy
	// Seed is the seed of the random policy.
	Seed uint64
}

// Policy names a dispatch policy.
type Policy string

// The policies.
const (
	PolicyDefault Policy = "rosedrift"
	// PolicyRandom ignores priority and teams, and chooses at random among all servers that are below the bound of
	// slots and queue.
	PolicyRandom Policy = "random"
	// PolicyFIFO ignores priority, teams and speed, and uses the servers with a free slot in turn.
	PolicyFIFO Policy = "fifo"
)

// Stats holds the pool's counters since its start and its current load. The durations are the expected waits of new
// work in each priority class.
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
	// Speed is the learned run time relative to other agents: 1 is average, 2 takes twice as long.
	Speed float64
	// State is "active" or says why the agent gets no work or only a part of it.
	State string
}
