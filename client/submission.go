package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/ctxtime"
)

// submission is the state of one call of the Client over its attempts, which all use the same key.
type submission struct {
	c *Client
	// key and body are empty in calls that submit no job.
	key  string
	body []byte
	// firstGateway selects the gateway of the first attempt, see Client.gateway.
	firstGateway uint64
	// attempts counts the requests made so far.
	attempts int
	// pause is the time before the next attempt if this one fails.
	pause time.Duration
	// job is the id of the job, empty until a gateway has accepted it.
	job string
	// uncertain is true if the job may have started: after an attempt that may have reached a gateway and brought no
	// final answer, and from the start in calls for a job that was submitted before.
	uncertain bool
}

// response is the body of a successful response about a job: exactly one field is set.
type response struct {
	answer *Answer
	status *Status
}

// newSubmission encodes the job and gives it its key: the caller's, a ticket, or a random one.
func (c *Client) newSubmission(ctx context.Context, job *Job) (*submission, error) {
	body, err := encode(job)
	if err != nil {
		return nil, err
	}
	s := &submission{c: c, key: job.Key, body: body, firstGateway: c.nextGateway.Add(1), pause: firstPause}
	if s.key != "" {
		return s, nil
	}
	if s.key, err = c.ticket(ctx, job.Service); err == nil {
		return s, nil
	}
	var ticketErr *Error
	if errors.As(err, &ticketErr) && ticketErr.Code != CodeUnavailable && ticketErr.Code != CodeNoAnswer {
		return nil, err
	}
	// No gateway can issue tickets now. A random key is as safe as a ticket, but costs the gateways a write to the store.
	s.key = "random-" + rand.Text()
	return s, nil
}

// run makes attempts until the outcome of the job is known or no further attempt is due.
func (s *submission) run(ctx context.Context) (*Answer, error) {
	for {
		reply, err := s.attempt(ctx)
		if err == nil && reply.answer != nil {
			reply.answer.Key = s.key
			return reply.answer, nil
		}
		if err == nil {
			s.job, s.uncertain = reply.status.Job, true
			continue
		}
		if final := s.retryPause(ctx, err); final != nil {
			return nil, final
		}
	}
}

// attempt submits the job or, if a gateway has accepted it, waits for its end.
func (s *submission) attempt(ctx context.Context) (response, error) {
	if s.job == "" {
		return s.post(ctx, attemptWait)
	}
	reply, err := s.get(ctx)
	if err != nil {
		// The next attempt submits the job again, because a new owner may not know it.
		s.job = ""
	}
	return reply, err
}

// post submits the job, and lets the gateway hold the request up to wait for the job's end.
func (s *submission) post(ctx context.Context, wait time.Duration) (response, error) {
	path := "/v1/jobs"
	if wait > 0 {
		path += "?wait=" + wait.String()
	}
	return s.jobRequest(ctx, http.MethodPost, path, s.body, wait)
}

// get waits up to attemptWait for the end of the job.
func (s *submission) get(ctx context.Context) (response, error) {
	path := "/v1/jobs/" + url.PathEscape(s.job) + "?wait=" + attemptWait.String()
	return s.jobRequest(ctx, http.MethodGet, path, nil, attemptWait)
}

// jobRequest makes one request whose response is the answer or the status of the job.
func (s *submission) jobRequest(
	ctx context.Context, method, path string, body []byte, wait time.Duration,
) (response, error) {
	var reply struct {
		Status
		Results []json.RawMessage `json:"results"`
	}
	if err := s.request(ctx, method, path, body, wait+attemptMargin, &reply); err != nil {
		return response{}, err
	}
	if reply.Outcome == OutcomeComplete {
		return response{answer: &Answer{Job: reply.Job, Results: reply.Results}}, nil
	}
	return response{status: &reply.Status}, nil
}

// request makes one request to the next gateway in turn and decodes the JSON body of the response into the value that
// into points to. A problem that a gateway reports is returned as an *Error. An error of any other type means that no
// answer of a gateway was received.
func (s *submission) request(
	ctx context.Context, method, path string, body []byte, timeout time.Duration, into any,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	base := s.c.gateway(s.firstGateway, s.attempts)
	s.attempts++
	r, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Outcome: OutcomeNotRun, Code: CodeBadRequest, Detail: "the request is not valid", Err: err}
	}
	s.setHeaders(r)
	reply, err := s.c.http.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	raw, err := io.ReadAll(reply.Body)
	if err != nil {
		return err
	}
	if reply.StatusCode >= http.StatusMultipleChoices {
		return decodeProblem(reply, raw)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("gateway %s: status %d with malformed body: %w", base, reply.StatusCode, err)
	}
	return nil
}

func (s *submission) setHeaders(r *http.Request) {
	r.Header.Set("Content-Type", "application/json")
	if s.key != "" {
		r.Header.Set("Idempotency-Key", s.key)
	}
	if s.c.options.Key != "" {
		r.Header.Set("Authorization", "Bearer "+s.c.options.Key)
	}
	if s.c.options.Team != "" {
		r.Header.Set("Rosedrift-Team", s.c.options.Team)
	}
}

// decodeProblem returns the problem detail in an error response as an *Error. An error response without one comes from
// an intermediary such as a load balancer and says nothing about the job, so that the error is of another type.
func decodeProblem(reply *http.Response, raw []byte) error {
	var body struct {
		Code    string  `json:"code"`
		Outcome Outcome `json:"outcome"`
		Detail  string  `json:"detail"`
		Job     string  `json:"job"`
	}
	if err := json.Unmarshal(raw, &body); err != nil || body.Code == "" {
		return fmt.Errorf("status %d without a problem detail", reply.StatusCode)
	}
	seconds, _ := strconv.Atoi(reply.Header.Get("Retry-After"))
	return &Error{
		Outcome: body.Outcome, Code: body.Code, Status: reply.StatusCode, Detail: body.Detail, Job: body.Job,
		RetryAfter: time.Duration(seconds) * time.Second,
	}
}

// retryPause handles a failed attempt. If another attempt may bring the answer, it pauses and returns nil. Otherwise, or
// if the context ends, it returns the final error. CodeNotFound is final only for calls that cannot submit the job again.
func (s *submission) retryPause(ctx context.Context, err error) *Error {
	var problem *Error
	reported := errors.As(err, &problem)
	if reported && !retryable(problem.Code) && (problem.Code != CodeNotFound || s.body == nil) {
		return s.finalError(problem)
	}
	if mayHaveReached(err) && (!reported || problem.Outcome != OutcomeNotRun) {
		s.uncertain = true
	}
	if !ctxtime.Sleep(ctx, s.pause) {
		return s.finalError(&Error{
			Outcome: OutcomeNotRun, Code: CodeNoAnswer, Detail: "no gateway reported the outcome in time", Err: err,
		})
	}
	s.pause = min(2*s.pause, maxPause)
	return nil
}

// retryable reports whether another gateway or a later attempt can bring the answer.
func retryable(code string) bool {
	return code == CodeUnavailable || code == CodeStopping || code == CodeOwnerLost
}

// mayHaveReached reports whether the failed attempt may have reached a gateway: only a failed dial rules that out.
func mayHaveReached(err error) bool {
	var opErr *net.OpError
	return !errors.As(err, &opErr) || opErr.Op != "dial"
}

// finalError returns the error with the key and the number of attempts, and with an outcome that holds for all attempts:
// an earlier attempt without an answer may have started the job, even if the last one was refused with OutcomeNotRun.
func (s *submission) finalError(e *Error) *Error {
	complete := *e
	complete.Key, complete.Attempts = s.key, s.attempts
	if s.uncertain && complete.Outcome == OutcomeNotRun {
		complete.Outcome = OutcomeMayHaveRun
	}
	return &complete
}
