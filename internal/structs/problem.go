package structs

import (
	"net/http"
	"time"
)

// Code is the stable, machine-readable code of a problem.
type Code string

// The codes of the caller and admin interfaces.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not_found"
	CodeUnknownService   Code = "unknown_service"
	CodeTooLarge         Code = "too_large"
	CodeKeyRequired      Code = "key_required"
	CodeKeyReused        Code = "key_reused"
	CodeTicketExpired    Code = "ticket_expired"
	CodeInDoubt          Code = "in_doubt"
	CodeQuotaExceeded    Code = "quota_exceeded"
	CodeOverloaded       Code = "overloaded"
	CodeUnavailable      Code = "unavailable"
	CodeStopping         Code = "stopping"
	CodeNoServer         Code = "no_server"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeCancelled        Code = "cancelled"
	CodeTaskFailed       Code = "task_failed"
	CodeServerLost       Code = "server_lost"
	// CodeOwnerLost says that the gateway no longer owns the pool and that the request must go to the new owner.
	CodeOwnerLost Code = "owner_lost"
	// CodeOutcomeUnknown says that the job was lost with its owner and that it is unknown which of its tasks ran. A
	// retry gets the same answer.
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeConflict         Code = "conflict"
	CodeNoMajority       Code = "no_majority"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeInvalidConfig    Code = "invalid_configuration"
	CodeInternal         Code = "internal"
	CodeTooManyRequests  Code = "too_many_requests"
	// CodeResultGone says that the job completed, but that its results were dropped to bound the memory.
	CodeResultGone Code = "result_gone"
)

// statuses maps codes to HTTP statuses. All other codes map to http.StatusServiceUnavailable.
var statuses = map[Code]int{
	CodeBadRequest:       http.StatusBadRequest,
	CodeUnauthorized:     http.StatusUnauthorized,
	CodeForbidden:        http.StatusForbidden,
	CodeNotFound:         http.StatusNotFound,
	CodeUnknownService:   http.StatusNotFound,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeKeyRequired:      http.StatusBadRequest,
	CodeKeyReused:        http.StatusConflict,
	CodeTicketExpired:    http.StatusGone,
	CodeResultGone:       http.StatusGone,
	CodeInDoubt:          http.StatusConflict,
	CodeQuotaExceeded:    http.StatusTooManyRequests,
	CodeTooManyRequests:  http.StatusTooManyRequests,
	CodeConflict:         http.StatusConflict,
	CodeInvalidConfig:    http.StatusUnprocessableEntity,
	CodeCancelled:        http.StatusConflict,
	CodeTaskFailed:       http.StatusBadGateway,
	CodeServerLost:       http.StatusBadGateway,
	CodeOutcomeUnknown:   http.StatusBadGateway,
	CodeDeadlineExceeded: http.StatusGatewayTimeout,
	CodeInternal:         http.StatusInternalServerError,
}

// Status returns the HTTP status that belongs to the code.
func (c Code) Status() int {
	if status, ok := statuses[c]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// Problem is an error of the caller or admin interface. HTTP answers contain it as a problem detail (RFC 9457).
type Problem struct {
	_       struct{} `cbor:",toarray"`
	Code    Code
	Outcome Outcome
	// Status is the HTTP status code.
	Status int
	// Detail is one sentence for people.
	Detail string
	// RetryAfter is how long to wait before a retry. It is 0 if no time is given.
	RetryAfter time.Duration
}

// Error implements error.
func (p *Problem) Error() string {
	return string(p.Code) + " (" + p.Outcome.String() + "): " + p.Detail
}
