package client

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 64 << 10

// Progress calls watch with the state of a job whenever it changes, and returns the outcome when the job has ended.
// It does not repeat a broken stream: call it again. Errors are of type *Error.
func (c *Client) Progress(ctx context.Context, job string, watch func(Status)) (Outcome, error) {
	s := &submission{c: c, first: c.next.Add(1)}
	path := c.gateway(s.first, 0) + "/v1/jobs/" + url.PathEscape(job) + "/events"
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return OutcomePending, broken(job, err)
	}
	s.header(r)
	reply, err := c.http.Do(r)
	if err != nil {
		return OutcomePending, broken(job, err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(reply.Body, maxEventBytes))
		return OutcomePending, asError(job, problem(reply, raw))
	}
	outcome, err := readEvents(reply.Body, watch)
	if err != nil {
		return OutcomePending, broken(job, err)
	}
	return outcome, nil
}

// asError returns a refusal as it is and wraps other errors.
func asError(job string, err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}
	return broken(job, err)
}

func broken(job string, err error) *Error {
	return &Error{
		Outcome: OutcomePending, Code: CodeNoAnswer, Detail: "the event stream ended early", Job: job, Err: err,
	}
}

// readEvents reads a stream up to its event end.
func readEvents(stream io.Reader, watch func(Status)) (Outcome, error) {
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, maxEventBytes)
	event := ""
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var status Status
		if err := json.Unmarshal([]byte(data), &status); err != nil {
			return OutcomePending, fmt.Errorf("malformed event: %w", err)
		}
		if event == "end" {
			return status.Outcome, nil
		}
		watch(status)
	}
	if err := lines.Err(); err != nil {
		return OutcomePending, err
	}
	return OutcomePending, io.ErrUnexpectedEOF
}
