package structs

import (
	"crypto/sha256"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Priority is the class of a job. Urgent work overtakes routine work in every queue.
type Priority uint8

// The priorities in the order in which they are served.
const (
	Urgent Priority = iota
	Routine
	// Priorities is the number of classes.
	Priorities = 2
)

// String returns the word used in the HTTP interfaces.
func (p Priority) String() string {
	if p == Urgent {
		return "urgent"
	}
	return "routine"
}

// ParsePriority parses the word used in the HTTP interfaces. An empty word means routine.
func ParsePriority(word string) (p Priority, ok bool) {
	switch word {
	case "urgent":
		return Urgent, true
	case "", "routine":
		return Routine, true
	}
	return Routine, false
}

// Outcome states what is known about the execution of a submission.
type Outcome uint8

// The outcomes. NotRun is given only if it is certain that no task started or ever will under this submission.
const (
	OutcomePending Outcome = iota
	OutcomeComplete
	OutcomeFailed
	OutcomeNotRun
	OutcomeMayHaveRun
)

var outcomeNames = [...]string{"pending", "complete", "failed", "not_run", "may_have_run"}

// String returns the word used in the HTTP interfaces.
func (o Outcome) String() string { return outcomeNames[o] }

// Submission is a job as a caller submits it, after validation by the entry gateway.
type Submission struct {
	_        struct{} `cbor:",toarray"`
	Job      JobID
	Team     string
	Priority Priority
	// Ticketed is true if the key was issued by the system in TicketEpoch. Such a key is not journaled.
	Ticketed    bool
	TicketEpoch Epoch
	// Repeatable is false if the effects of the tasks must not happen a second time under any key.
	Repeatable bool
	// Deadline is the longest useful time from admission to the answer.
	Deadline time.Duration
	// Kind groups tasks of similar run time for speed estimation. Empty is a kind of its own.
	Kind string
	// DeclaredTime is the caller's guess of one task's run time, 0 if unknown. It is only a first estimate.
	DeclaredTime time.Duration
	Payloads     [][]byte
	// Digest is the value of BodyDigest, set by the entry gateway.
	Digest [KeySize]byte
	// TicketUnique is the Unique part of the ticket. It holds the ticket's time of issue, so that the owner can
	// refuse a ticket that is older than its memory of jobs. Empty means a client-chosen key.
	TicketUnique string
}

// BodyDigest returns a digest of everything in the submission that makes it the same request.
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
		panic("structs: encoding of plain values cannot fail: " + err.Error())
	}
	sum := sha256.Sum256(raw)
	return [KeySize]byte(sum[:KeySize])
}

// Answer is the final state of a job. Results is set, in task order and whole, only if Outcome is complete.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	Job     JobID
	Outcome Outcome
	Results [][]byte
	// Problem says why the job did not complete. It is nil if Outcome is complete.
	Problem *Problem
}

// JobStatus describes a job for progress displays and for the why query.
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
	// Reason explains in one sentence why the job waits or how it ended.
	Reason string
}
