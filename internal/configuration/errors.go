package configuration

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"rosedrift.example/rosedrift/internal/structs"
)

// DecodeError reports a document that cannot be decoded, or a document or an audit entry that cannot be encoded.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return "configuration: malformed document: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Violation describes one setting that breaks a validation rule.
type Violation struct {
	// Where names the setting as the operators' commands do, for example "service lending pools".
	Where string
	// Text says what is wrong and which values are valid.
	Text string
}

// String returns the setting and the text on one line.
func (v Violation) String() string { return v.Where + ": " + v.Text }

// ValidationError reports all violations of a document or of a text import.
type ValidationError struct{ Violations []Violation }

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, violation := range e.Violations {
		lines[i] = violation.String()
	}
	return strings.Join(lines, "; ")
}

// ValueError reports a word that is not a valid value of a field or, if Field is empty, not the name of a field.
type ValueError struct {
	Field string
	// Value is the rejected word.
	Value string
	// Want describes the valid values.
	Want string
	// Suggestion is the valid word that was probably meant, or empty.
	Suggestion string
}

// Error implements error.
func (e *ValueError) Error() string {
	text := fmt.Sprintf("%q is no value of %s: want %s", e.Value, e.Field, e.Want)
	if e.Field == "" {
		text = fmt.Sprintf("there is no field %q: want %s", e.Value, e.Want)
	}
	return text + suggestionText(e.Suggestion)
}

func suggestionText(word string) string {
	if word == "" {
		return ""
	}
	return fmt.Sprintf(" (did you mean %q?)", word)
}

// ConflictError reports that another change was accepted first. The refused change had no effect.
type ConflictError struct {
	// Revision and Winner describe the accepted change. Revision is 0 if that change could not be read.
	Revision structs.Revision
	Winner   structs.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Revision == 0 {
		return "another change was accepted first; nothing was changed by this command"
	}
	return fmt.Sprintf("%s was faster: revision %d is already accepted with the command %q; "+
		"nothing was changed by this command", e.Winner.Operator, e.Revision, e.Winner.Command)
}

// UnchangedError reports that the document already has the requested settings. It is not a failure.
type UnchangedError struct{ Revision structs.Revision }

// Error implements error.
func (e *UnchangedError) Error() string {
	return fmt.Sprintf("nothing to change: revision %d already says so", e.Revision)
}

// MajorityError reports that the gateway is not in contact with a majority of the agents of some pools.
type MajorityError struct{ Pools []structs.PoolID }

// Error implements error.
func (e *MajorityError) Error() string {
	names := make([]string, len(e.Pools))
	for i, pool := range e.Pools {
		names[i] = pool.String()
	}
	return "this gateway hears less than half of the backend servers of " + strings.Join(names, ", ") +
		"; nothing was changed; try a gateway on the other side of the partition"
}

// StoreError reports that the store did not answer in time. Nothing was changed.
type StoreError struct{ Err error }

// Error implements error.
func (e *StoreError) Error() string {
	return "the store does not answer; nothing was changed; work goes on with the present configuration"
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// OutcomeUnknownError reports that the answer to the write of the document was lost and that reading back did not show
// the outcome before the timeout. The change may have been accepted, or may still be accepted later.
type OutcomeUnknownError struct {
	Revision structs.Revision
	ChangeID string
	Err      error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the store stopped answering during the change; it may become revision %d; "+
		"look at the history when the store answers again", e.Revision)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// ForkError reports two different documents of one revision. Compare-and-swap prevents this, so the store was probably
// restored from a backup or edited by hand.
type ForkError struct {
	Revision structs.Revision
	// Have and Got are the change ids of the applied and of the offered document.
	Have string
	Got  string
}

// Error implements error.
func (e *ForkError) Error() string {
	return fmt.Sprintf("configuration: revision %d has the changes %s and %s", e.Revision, e.Have, e.Got)
}

// Problem translates an error into a problem for the admin interface. The errors that classify lists have codes of
// their own, a *structs.Problem is returned unchanged, and any other error gets CodeInternal.
func Problem(err error) *structs.Problem {
	var problem *structs.Problem
	if errors.As(err, &problem) {
		return problem
	}
	code, status, outcome := classify(err)
	return &structs.Problem{Code: code, Status: status, Outcome: outcome, Detail: err.Error()}
}

func classify(err error) (structs.Code, int, structs.Outcome) {
	var conflict *ConflictError
	var majority *MajorityError
	var storeUnavailable *StoreError
	var outcomeUnknown *OutcomeUnknownError
	var invalid *ValidationError
	var value *ValueError
	switch {
	case errors.As(err, &conflict):
		return structs.CodeConflict, http.StatusConflict, structs.OutcomeNotRun
	case errors.As(err, &majority):
		return structs.CodeNoMajority, http.StatusServiceUnavailable, structs.OutcomeNotRun
	case errors.As(err, &storeUnavailable):
		return structs.CodeStoreUnavailable, http.StatusServiceUnavailable, structs.OutcomeNotRun
	case errors.As(err, &outcomeUnknown):
		return structs.CodeStoreUnavailable, http.StatusServiceUnavailable, structs.OutcomeMayHaveRun
	case errors.As(err, &invalid):
		return structs.CodeInvalidConfig, http.StatusUnprocessableEntity, structs.OutcomeNotRun
	case errors.As(err, &value):
		return structs.CodeBadRequest, http.StatusBadRequest, structs.OutcomeNotRun
	}
	return structs.CodeInternal, http.StatusInternalServerError, structs.OutcomeNotRun
}
