package client

import (
	"fmt"
	"time"
)

// Outcome is what is known about the execution of a job.
type Outcome string

// The outcomes. Only OutcomeNotRun means that certainly no task has started.
const (
	OutcomePending    Outcome = "pending"
	OutcomeComplete   Outcome = "complete"
	OutcomeFailed     Outcome = "failed"
	OutcomeNotRun     Outcome = "not_run"
	OutcomeMayHaveRun Outcome = "may_have_run"
)

// Codes of errors that callers commonly handle differently. The full list is in docs/callers.md.
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
	// CodeOutcomeUnknown is final: the gateway that owned the job was lost, and the job may have run.
	CodeOutcomeUnknown = "outcome_unknown"
	CodeDeadline       = "deadline_exceeded"
	CodeCancelled      = "cancelled"
	// CodeNoAnswer is set by this package, not by gateways: no gateway gave a final answer before the context or the
	// time for the job ended, or an event stream broke.
	CodeNoAnswer = "no_answer"
)

// Error is the error of every method of Client.
type Error struct {
	// Outcome holds for all attempts: it is OutcomeNotRun only if no attempt can have started a task.
	Outcome Outcome
	Code    string
	// Status is the HTTP status of the response that reported the error, 0 without a response.
	Status int
	Detail string
	// RetryAfter is how long the gateway asks to wait before another attempt, 0 if it does not say.
	RetryAfter time.Duration
	// Key is the idempotency key of the submission. It is always safe to submit the same job again with it.
	Key string
	// Job is the id of the job, empty if it is not known.
	Job string
	// Attempts is the number of requests made.
	Attempts int
	// Err is the cause, such as the connection error of the last attempt or the end of the context. It may be nil.
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

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }
