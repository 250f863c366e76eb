package structs

import (
	"crypto/sha256"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Priority is the priority class of a job. Urgent tasks go before routine tasks in every queue.
type Priority uint8

// The priorities, highest first.
const (
	Urgent Priority = iota
	Routine
	// Priorities is the number of priorities.
	Priorities = 2
)

// String returns the name used in the HTTP interfaces.
func (p Priority) String() string {
	if p == Urgent {
		return "urgent"
	}
	return "routine"
}

// ParsePriority parses the name used in the HTTP interfaces. An empty name means routine.
func ParsePriority(name string) (p Priority, ok bool) {
	switch name {
	case "urgent":
		return Urgent, true
	case "", "routine":
		return Routine, true
	}
	return Routine, false
}

// Outcome says what is known about the execution of a submission.
type Outcome uint8

// The outcomes. OutcomeNotRun is used only if it is certain that no task of the submission has started or will start.
const (
	OutcomePending Outcome = iota
	OutcomeComplete
	OutcomeFailed
	OutcomeNotRun
	OutcomeMayHaveRun
)

var outcomeNames = [...]string{"pending", "complete", "failed", "not_run", "may_have_run"}

// String returns the name used in the HTTP interfaces.
func (o Outcome) String() string { return outcomeNames[o] }

// Submission is a job as a caller submits it, after validation by the entry gateway.
type Submission struct {
	_        struct{} `cbor:",toarray"`
	Job      JobID
	Team     string
	Priority Priority
	// Ticketed is true if the key is a ticket, issued by the system in TicketEpoch. Tickets are not journaled.
	Ticketed    bool
	TicketEpoch Epoch
	// Repeatable is false if the effects of the tasks must not happen a second time under any key.
	Repeatable bool
	// Deadline is the time from admission after which the answer is no longer needed.
	Deadline time.Duration
	// Kind groups tasks of similar run time, for the estimates of run times. The empty text is a kind of its own.
	Kind string
	// DeclaredTime is the caller's estimate of the run time of one task, 0 if unknown. It is only the first estimate
	// for a kind that has not run before.
	DeclaredTime time.Duration
	Payloads     [][]byte
	// Digest is the result of BodyDigest, set by the entry gateway.
	Digest [KeySize]byte
	// TicketUnique is Ticket.Unique. It contains the time of issue, so that the owner can refuse a ticket that is older
	// than the jobs it remembers. It is empty for a key chosen by the caller.
	TicketUnique string
}

// BodyDigest returns a digest of the fields that must be equal in two submissions under the same key.
func (s *Submission) BodyDigest() [KeySize]byte {
	body := struct {
		_          struct{} `cbor:",toarray"`
		Priority   Priority
		Repeatable bool
		Kind       string
		Payloads   [][]byte
	}{Priority: s.Priority, Repeatable: s.Repeatable, Kind: s.Kind, Payloads: s.Payloads}
	raw, err := cbor.Marshal(body)
	if err != nil {
		panic("structs: cannot encode a submission: " + err.Error())
	}
	sum := sha256.Sum256(raw)
	return [KeySize]byte(sum[:KeySize])
}

// Answer is the final state of a job.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	Job     JobID
	Outcome Outcome
	// Results holds the results of all tasks in the order of the tasks. It is set only if Outcome is OutcomeComplete.
	Results [][]byte
	// Problem says why the job did not complete. It is nil if Outcome is OutcomeComplete.
	Problem *Problem
}

// JobStatus describes the progress of a job, for progress displays and for the operators' command why.
type JobStatus struct {
	_        struct{} `cbor:",toarray"`
	Job      JobID
	Team     string
	Priority Priority
	Outcome  Outcome
	Tasks    int
	Queued   int
	Running  int
	Finished int
	// Age is the time since admission.
	Age time.Duration
	// Reason says in one sentence why the job waits or how it ended.
	Reason string
}
