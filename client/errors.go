package client

import (
	"fmt"
	"time"
)

// Outcome says what is known about the execution of a job.
type Outcome string

// The outcomes. Only after OutcomeNotRun is it certain that no task has started.
const (
	OutcomePending    Outcome = "pending"
	OutcomeComplete   Outcome = "complete"
	OutcomeFailed     Outcome = "failed"
	OutcomeNotRun     Outcome = "not_run"
	OutcomeMayHaveRun Outcome = "may_have_run"
)

// Codes that callers commonly tell apart. The full list is in docs/callers.md.
const (
	CodeBadRequest    = "bad_request"
	CodeNotFound      = "not_found"
	CodeKeyReused     = "key_reused"
	CodeQuotaExceeded = "quota_exceeded"
	CodeOverloaded    = "overloaded"
	CodeUnavailable   = "unavailable"
	CodeStopping      = "stopping"
	CodeOwnerLost     = "owner_lost"
	CodeTaskFailed    = "task_failed"
	// CodeOutcomeUnknown is final: the job was lost with its owner and may have run.
	CodeOutcomeUnknown = "outcome_unknown"
	CodeDeadline       = "deadline_exceeded"
	CodeCancelled      = "cancelled"
	// CodeNoAnswer is given by this package if no gateway answered before the context or the deadline ended.
	CodeNoAnswer = "no_answer"
)

// Error is the error of every method of Client.
type Error struct {
	// Outcome covers all attempts: it is OutcomeNotRun only if no attempt can have started a task.
	Outcome Outcome
	Code    string
	// Status is the HTTP status of the last answer, 0 without one.
	Status int
	Detail string
	// RetryAfter is the gateways' advice, 0 without one.
	RetryAfter time.Duration
	// Key is the idempotency key of the submission. Submitting the same job with it again is always safe.
	Key string
	// Job is the id of the job, empty if it is not known.
	Job string
	// Attempts is the number of requests made.
	Attempts int
	// Err is the last fault of the connection or the end of the context and may be nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("rosedrift: %s (%s): %s", e.Code, e.Outcome, e.Detail)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
