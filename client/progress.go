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

// maxEventBytes bounds one line of an event stream, and the body of an error response.
const maxEventBytes = 64 << 10

// Progress calls watch with the status of a job whenever it changes, and returns the outcome when the job has ended. It
// does not reconnect if the stream breaks: call it again. Errors are of type *Error.
func (c *Client) Progress(ctx context.Context, job string, watch func(Status)) (Outcome, error) {
	s := &submission{c: c, firstGateway: c.nextGateway.Add(1)}
	target := c.gateway(s.firstGateway, 0) + "/v1/jobs/" + url.PathEscape(job) + "/events"
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return OutcomePending, streamError(job, err)
	}
	s.setHeaders(r)
	reply, err := c.http.Do(r)
	if err != nil {
		return OutcomePending, streamError(job, err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(reply.Body, maxEventBytes))
		return OutcomePending, asError(job, decodeProblem(reply, raw))
	}
	outcome, err := readEvents(reply.Body, watch)
	if err != nil {
		return OutcomePending, streamError(job, err)
	}
	return outcome, nil
}

// asError returns a problem that a gateway reported as it is, and wraps any other error.
func asError(job string, err error) *Error {
	var problem *Error
	if errors.As(err, &problem) {
		return problem
	}
	return streamError(job, err)
}

// streamError returns the error of a stream that ended before the job did.
func streamError(job string, err error) *Error {
	return &Error{
		Outcome: OutcomePending, Code: CodeNoAnswer, Detail: "the event stream ended early", Job: job, Err: err,
	}
}

// readEvents calls watch for each event of a stream, up to the event "end", whose outcome it returns.
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
