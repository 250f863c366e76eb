package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// The payloads of one job share memory blocks, so that a task needs no allocation of its own. Block sizes grow from
// minBlock to maxBlock bytes, so that a small job takes little memory.
const (
	minBlock = 512
	maxBlock = 64 << 10
)

// maxKindLength limits the length of a job's kind in bytes, since the owner keeps estimator state per kind.
const maxKindLength = 128

// jobBody is the decoded body of a submission. An absent field has its zero value, except that repeatable is then true.
type jobBody struct {
	service      string
	priority     string
	repeatable   bool
	deadline     time.Duration
	declaredTime time.Duration
	kind         string
	payloads     [][]byte
}

// taskBody is one element of the field tasks.
type taskBody struct {
	Payload json.RawMessage `json:"payload"`
}

// bodyDecoder decodes a submission token by token, so that neither the text nor its parsed tree is held in memory as a
// whole.
type bodyDecoder struct {
	json     *json.Decoder
	maxTasks int
	body     jobBody
	// fields holds the names of the fields read so far, arena the memory block that payloads are copied into.
	fields []string
	arena  []byte
}

// decodeJob decodes a submission with at most maxTasks tasks. Pass its error to problemOfBody.
func decodeJob(r io.Reader, maxTasks int) (*jobBody, error) {
	d := &bodyDecoder{json: json.NewDecoder(r), maxTasks: maxTasks}
	d.json.DisallowUnknownFields()
	d.body.repeatable = true
	if err := d.object(); err != nil {
		return nil, err
	}
	if _, err := d.json.Token(); !errors.Is(err, io.EOF) {
		if err == nil {
			err = &fieldError{"body", "has text after the end of the job object"}
		}
		return nil, err
	}
	return &d.body, d.validate()
}

// fieldError reports valid JSON that does not describe a valid job.
type fieldError struct{ field, reason string }

// Error implements error.
func (e *fieldError) Error() string { return e.field + " " + e.reason }

// errTooManyTasks reports a job with more tasks than the limit.
type errTooManyTasks struct{ limit int }

// Error implements error.
func (e errTooManyTasks) Error() string {
	return fmt.Sprintf("the job has more than %d tasks", e.limit)
}

// object decodes the whole job object.
func (d *bodyDecoder) object() error {
	if err := d.expectDelim('{', "body", "must be a JSON object"); err != nil {
		return err
	}
	for d.json.More() {
		token, err := d.json.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if slices.Contains(d.fields, name) {
			return &fieldError{name, "appears twice"}
		}
		d.fields = append(d.fields, name)
		if err := d.field(name); err != nil {
			return err
		}
	}
	_, err := d.json.Token()
	return err
}

// expectDelim reads a token and returns a fieldError if it is not the delimiter want.
func (d *bodyDecoder) expectDelim(want json.Delim, field, reason string) error {
	token, err := d.json.Token()
	if err != nil {
		return err
	}
	if token != want {
		return &fieldError{field, reason}
	}
	return nil
}

// field decodes the value of the field with a name.
func (d *bodyDecoder) field(name string) error {
	switch name {
	case "service":
		return d.value(name, &d.body.service, "must be a string")
	case "priority":
		return d.value(name, &d.body.priority, "must be a string")
	case "kind":
		return d.value(name, &d.body.kind, "must be a string")
	case "repeatable":
		return d.value(name, &d.body.repeatable, "must be true or false")
	case "deadline_ms":
		return d.milliseconds(name, &d.body.deadline)
	case "declared_time_ms":
		return d.milliseconds(name, &d.body.declaredTime)
	case "tasks":
		return d.tasks()
	}
	return &fieldError{fmt.Sprintf("%.64q", name),
		"is unknown; known are service, priority, repeatable, deadline_ms, declared_time_ms, kind and tasks"}
}

// value decodes a JSON value. A value of another type yields a fieldError with the reason.
func (d *bodyDecoder) value(name string, into any, reason string) error {
	err := d.json.Decode(into)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &fieldError{name, reason}
	}
	return err
}

func (d *bodyDecoder) milliseconds(name string, into *time.Duration) error {
	const maxMilliseconds = int64(24 * time.Hour / time.Millisecond)
	var ms int64
	if err := d.value(name, &ms, "must be a whole number of milliseconds"); err != nil {
		return err
	}
	if ms < 1 || ms > maxMilliseconds {
		return &fieldError{name, fmt.Sprintf("must be 1 to %d milliseconds", maxMilliseconds)}
	}
	*into = time.Duration(ms) * time.Millisecond
	return nil
}

func (d *bodyDecoder) tasks() error {
	if err := d.expectDelim('[', "tasks", "must be an array of objects with a payload"); err != nil {
		return err
	}
	var task taskBody
	for d.json.More() {
		if len(d.body.payloads) >= d.maxTasks {
			return errTooManyTasks{d.maxTasks}
		}
		task.Payload = task.Payload[:0]
		if err := d.value(fmt.Sprintf("tasks[%d]", len(d.body.payloads)), &task, "must be an object"); err != nil {
			return err
		}
		if len(task.Payload) == 0 {
			return &fieldError{fmt.Sprintf("tasks[%d]", len(d.body.payloads)), "has no payload"}
		}
		d.body.payloads = append(d.body.payloads, d.copyPayload(task.Payload))
	}
	_, err := d.json.Token()
	return err
}

// copyPayload copies a payload into the current block, or into a new one if the block is full.
func (d *bodyDecoder) copyPayload(payload []byte) []byte {
	if cap(d.arena)-len(d.arena) < len(payload) {
		size := min(max(minBlock, 2*cap(d.arena)), maxBlock)
		d.arena = make([]byte, 0, max(size, len(payload)))
	}
	start := len(d.arena)
	d.arena = append(d.arena, payload...)
	return d.arena[start:len(d.arena):len(d.arena)]
}

// validate checks the decoded fields, and that the required ones are present.
func (d *bodyDecoder) validate() error {
	switch {
	case d.body.service == "":
		return &fieldError{"service", "is required"}
	case !structs.ValidName(d.body.service):
		return &fieldError{"service", "is no valid name (lower-case letters, digits and hyphens)"}
	case len(d.body.payloads) == 0:
		return &fieldError{"tasks", "is required and must not be empty"}
	case len(d.body.kind) > maxKindLength:
		return &fieldError{"kind", fmt.Sprintf("is longer than %d bytes", maxKindLength)}
	}
	return nil
}

// problemOfBody converts an error of decodeJob into a problem with outcome not_run.
func problemOfBody(err error) *structs.Problem {
	var tooLong *http.MaxBytesError
	var syntax *json.SyntaxError
	var field *fieldError
	var tasks errTooManyTasks
	switch {
	case errors.As(err, &tooLong):
		return refusal(structs.CodeTooLarge, fmt.Sprintf("the body is longer than %d bytes", tooLong.Limit))
	case errors.As(err, &tasks):
		return refusal(structs.CodeTooLarge, tasks.Error())
	case errors.Is(err, errBudgetExhausted):
		p := refusal(structs.CodeOverloaded, "the gateway holds too many bodies and answers at the moment")
		p.RetryAfter = budgetRetryAfter
		return p
	case errors.Is(err, os.ErrDeadlineExceeded):
		p := refusal(structs.CodeBadRequest, fmt.Sprintf("the body did not arrive within %s", bodyTimeout))
		p.Status = http.StatusRequestTimeout
		return p
	case errors.As(err, &syntax):
		return refusal(structs.CodeBadRequest, fmt.Sprintf("malformed JSON at byte %d: %s", syntax.Offset, syntax))
	case errors.As(err, &field):
		return refusal(structs.CodeBadRequest, field.Error())
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return refusal(structs.CodeBadRequest, "malformed JSON: the body ends too early")
	}
	return refusal(structs.CodeBadRequest, "malformed body: "+strings.TrimPrefix(err.Error(), "json: "))
}
