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

// submission is the course of one job over several attempts, all under one key.
type submission struct {
	c        *Client
	key      string
	body     []byte
	first    uint64
	attempts int
	pause    time.Duration
	// job is the id once a gateway has stated it.
	job string
	// uncertain is true after an attempt that may have reached a gateway and brought no final answer.
	uncertain bool
}

// response is a successful response: exactly one field is set.
type response struct {
	answer *Answer
	status *Status
}

func (c *Client) newSubmission(ctx context.Context, job *Job) (*submission, error) {
	body, err := encode(job)
	if err != nil {
		return nil, err
	}
	s := &submission{c: c, key: job.Key, body: body, first: c.next.Add(1), pause: firstPause}
	if s.key != "" {
		return s, nil
	}
	if s.key, err = c.ticket(ctx, job.Service); err == nil {
		return s, nil
	}
	var refused *Error
	if errors.As(err, &refused) && refused.Code != CodeUnavailable && refused.Code != CodeNoAnswer {
		return nil, err
	}
	// Without a ticket a random key is as safe and costs the gateways a write to the store.
	s.key = "random-" + rand.Text()
	return s, nil
}

// run makes attempts until the outcome is known.
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
		if final := s.judge(ctx, err); final != nil {
			return nil, final
		}
	}
}

// attempt submits the job or, once it is accepted, waits for its end.
func (s *submission) attempt(ctx context.Context) (response, error) {
	if s.job == "" {
		return s.post(ctx, attemptWait)
	}
	reply, err := s.get(ctx)
	if err != nil {
		// The next attempt presents the job again: a new owner may not know it.
		s.job = ""
	}
	return reply, err
}

func (s *submission) post(ctx context.Context, wait time.Duration) (response, error) {
	path := "/v1/jobs"
	if wait > 0 {
		path += "?wait=" + wait.String()
	}
	return s.jobRequest(ctx, http.MethodPost, path, s.body, wait)
}

func (s *submission) get(ctx context.Context) (response, error) {
	path := "/v1/jobs/" + url.PathEscape(s.job) + "?wait=" + attemptWait.String()
	return s.jobRequest(ctx, http.MethodGet, path, nil, attemptWait)
}

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

// request makes one request through the gateway whose turn it is. Errors are *Error for a gateway's refusal, and
// other errors if no gateway stated anything.
func (s *submission) request(
	ctx context.Context, method, path string, body []byte, limit time.Duration, into any,
) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	base := s.c.gateway(s.first, s.attempts)
	s.attempts++
	r, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Outcome: OutcomeNotRun, Code: CodeBadRequest, Detail: "the request cannot be made", Err: err}
	}
	s.header(r)
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
		return problem(reply, raw)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("gateway %s: status %d with malformed body: %w", base, reply.StatusCode, err)
	}
	return nil
}

func (s *submission) header(r *http.Request) {
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

// problem decodes a problem detail. A response of something between client and gateway is no statement of a gateway.
func problem(reply *http.Response, raw []byte) error {
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

// judge decides after a failed attempt: it returns the final error, or nil after the pause before the next attempt.
func (s *submission) judge(ctx context.Context, err error) *Error {
	var refused *Error
	stated := errors.As(err, &refused)
	if stated && !passing(refused.Code) && (refused.Code != CodeNotFound || s.body == nil) {
		return s.final(refused)
	}
	if reached(err) && (!stated || refused.Outcome != OutcomeNotRun) {
		s.uncertain = true
	}
	if !ctxtime.Sleep(ctx, s.pause) {
		return s.final(&Error{
			Outcome: OutcomeNotRun, Code: CodeNoAnswer, Detail: "no gateway stated the outcome in time", Err: err,
		})
	}
	s.pause = min(2*s.pause, maxPause)
	return nil
}

// passing reports whether another gateway or a later attempt can bring the answer.
func passing(code string) bool {
	return code == CodeUnavailable || code == CodeStopping || code == CodeOwnerLost
}

// reached reports whether the attempt may have reached a gateway.
func reached(err error) bool {
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

// final completes an error. An earlier attempt without an answer may have started the job, whatever a later refusal
// says, except that a refused reuse of the key says nothing about this job.
func (s *submission) final(e *Error) *Error {
	complete := *e
	complete.Key, complete.Attempts = s.key, s.attempts
	if s.uncertain && complete.Outcome == OutcomeNotRun {
		complete.Outcome = OutcomeMayHaveRun
	}
	return &complete
}
