// Package client submits jobs to rosedrift gateways.
//
// A Client gives each job an idempotency key before the first attempt and uses the same key for every further attempt,
// through any gateway. Each task of the job therefore starts at most once, however often the connection breaks. The
// package never submits a job again under another key: after an error with OutcomeMayHaveRun only the caller can decide
// whether the work may run a second time.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults, timeouts and pauses.
const (
	// DefaultTicketBatch is the number of tickets fetched with one request.
	DefaultTicketBatch = 32
	// DefaultDeadline is the deadline that gateways apply to jobs without one.
	DefaultDeadline = time.Minute
	// ticketLifetime is how long fetched tickets are used. It is well below the age at which gateways refuse tickets
	// (10 min).
	ticketLifetime = 5 * time.Minute
	// attemptWait is how long a gateway may hold one request until the job ends.
	attemptWait = 20 * time.Second
	// attemptMargin is how much longer than that wait a request may take before it counts as failed.
	attemptMargin = 20 * time.Second
	// graceAfterDeadline is how long Submit goes on asking for the outcome after the deadline of the job.
	graceAfterDeadline = 20 * time.Second
	// firstPause is the pause after the first failed attempt. It doubles with each further one, up to maxPause.
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// Options configures a Client.
type Options struct {
	// Gateways are base URLs, for example http://127.0.0.1:7400. At least one is required.
	Gateways []string
	// Key is the team's key. Without a key, Team names the team, which gateways accept on loopback only.
	Key  string
	Team string
	// HTTP is the client for all requests; nil means one that keeps connections alive. Its Timeout, if set, must be a
	// minute or more, because gateways hold requests until a job ends.
	HTTP *http.Client
	// TicketBatch is the number of tickets fetched with one request; 0 means DefaultTicketBatch.
	TicketBatch int
}

// Priority is the priority class of a job.
type Priority string

// The priorities. An empty Priority means the default of the service.
const (
	Urgent  Priority = "urgent"
	Routine Priority = "routine"
)

// Job describes a job to submit. Service and Tasks are required.
type Job struct {
	Service  string
	Priority Priority
	// Once marks a non-repeatable job, sent as "repeatable": false. The effects of its tasks must not happen a second
	// time, not even under another key.
	Once bool
	// Deadline is the time from the submission after which the answer is no longer of use; 0 means the gateways'
	// default. It is sent in whole milliseconds.
	Deadline time.Duration
	// Kind groups tasks of similar run time. DeclaredTime is the caller's estimate of the run time of one task, sent in
	// whole milliseconds.
	Kind         string
	DeclaredTime time.Duration
	// Tasks holds the payload of each task.
	Tasks []json.RawMessage
	// Key is the idempotency key, at most 128 bytes. If it is empty, the client uses a ticket, which costs the gateways
	// less. Set it to a value from your own records if you must be able to submit the same job again after a restart of
	// your process.
	Key string
}

// Answer holds the results of a completed job.
type Answer struct {
	// Job is the id of the job.
	Job string `json:"job"`
	// Results holds one result for each task, in the order of Job.Tasks.
	Results []json.RawMessage `json:"results"`
	// Key is the idempotency key of the submission, empty in the answers of Await.
	Key string `json:"-"`
}

// Status is the state of a job, with the number of its tasks in each state.
type Status struct {
	Job      string  `json:"job"`
	Key      string  `json:"key"`
	Outcome  Outcome `json:"outcome"`
	Priority string  `json:"priority"`
	Tasks    int     `json:"tasks"`
	Queued   int     `json:"queued"`
	Running  int     `json:"running"`
	Finished int     `json:"finished"`
	AgeMS    int64   `json:"age_ms"`
	Reason   string  `json:"reason"`
}

// Client submits jobs through any of several gateways. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	// nextGateway counts the calls from a random number on, so that clients and calls begin at different gateways.
	nextGateway atomic.Uint64

	mu sync.Mutex
	// tickets holds the fetched tickets by service.
	tickets map[string]*ticketCache
}

// ticketCache holds the unused tickets of one service.
type ticketCache struct {
	// fetchMu is held while tickets are fetched, so that concurrent submissions share one batch.
	fetchMu   sync.Mutex
	fetchedAt time.Time
	tickets   []string
}

// New returns a Client. It sends no request.
func New(options Options) (*Client, error) {
	if len(options.Gateways) == 0 {
		return nil, errors.New("rosedrift client: no gateways given")
	}
	gateways := make([]string, len(options.Gateways))
	for i, base := range options.Gateways {
		gateways[i] = strings.TrimSuffix(base, "/")
	}
	options.Gateways = gateways
	if options.TicketBatch <= 0 {
		options.TicketBatch = DefaultTicketBatch
	}
	c := &Client{options: options, http: options.HTTP, tickets: map[string]*ticketCache{}}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}}
	}
	c.nextGateway.Store(rand.Uint64())
	return c, nil
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// gateway returns the base URL for an attempt. The attempts of a call use the gateways in turn, beginning at number first.
func (c *Client) gateway(first uint64, attempt int) string {
	return c.options.Gateways[(first+uint64(attempt))%uint64(len(c.options.Gateways))]
}

// jobBody is the JSON body of a submission.
type jobBody struct {
	Service        string     `json:"service"`
	Priority       Priority   `json:"priority,omitempty"`
	Repeatable     bool       `json:"repeatable"`
	DeadlineMS     int64      `json:"deadline_ms,omitempty"`
	Kind           string     `json:"kind,omitempty"`
	DeclaredTimeMS int64      `json:"declared_time_ms,omitempty"`
	Tasks          []taskBody `json:"tasks"`
}

type taskBody struct {
	Payload json.RawMessage `json:"payload"`
}

// encode returns the body that submits the job.
func encode(job *Job) ([]byte, error) {
	body := jobBody{
		Service: job.Service, Priority: job.Priority, Repeatable: !job.Once,
		DeadlineMS: job.Deadline.Milliseconds(), Kind: job.Kind, DeclaredTimeMS: job.DeclaredTime.Milliseconds(),
		Tasks: make([]taskBody, len(job.Tasks)),
	}
	for i, payload := range job.Tasks {
		body.Tasks[i].Payload = payload
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, &Error{Outcome: OutcomeNotRun, Code: CodeBadRequest, Detail: "a payload is not valid JSON", Err: err}
	}
	return raw, nil
}

// Submit submits a job and returns its answer. It retries with the same key at the gateways in turn until the outcome is
// known, the context ends, or 20 s have passed since the deadline of the job. Errors are of type *Error.
func (c *Client) Submit(ctx context.Context, job Job) (*Answer, error) {
	s, err := c.newSubmission(ctx, &job)
	if err != nil {
		return nil, err
	}
	deadline := job.Deadline
	if deadline <= 0 {
		deadline = DefaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+graceAfterDeadline)
	defer cancel()
	return s.run(ctx)
}

// Start submits a job and returns its status as soon as a gateway has accepted it. For a job that has completed already,
// only Job, Key and Outcome of the status are set. To try a failed Start again, set Job.Key to the Key of the error.
// Errors are of type *Error.
func (c *Client) Start(ctx context.Context, job Job) (*Status, error) {
	s, err := c.newSubmission(ctx, &job)
	if err != nil {
		return nil, err
	}
	for {
		reply, err := s.post(ctx, 0)
		switch {
		case err == nil && reply.answer != nil:
			return &Status{Job: reply.answer.Job, Key: s.key, Outcome: OutcomeComplete}, nil
		case err == nil:
			reply.status.Key = s.key
			return reply.status, nil
		}
		if final := s.retryPause(ctx, err); final != nil {
			return nil, final
		}
	}
}

// Await waits for the end of a job and returns its answer. Errors are of type *Error, with CodeNotFound if the job is
// unknown.
func (c *Client) Await(ctx context.Context, job string) (*Answer, error) {
	s := &submission{c: c, firstGateway: c.nextGateway.Add(1), pause: firstPause, job: job, uncertain: true}
	for {
		reply, err := s.get(ctx)
		if err == nil && reply.answer != nil {
			return reply.answer, nil
		}
		if err == nil {
			continue
		}
		if final := s.retryPause(ctx, err); final != nil {
			return nil, final
		}
	}
}

// Cancel cancels a job and returns its outcome, which is OutcomePending if the job has not ended yet. Errors are of type
// *Error.
func (c *Client) Cancel(ctx context.Context, job string) (Outcome, error) {
	s := &submission{c: c, firstGateway: c.nextGateway.Add(1), pause: firstPause, job: job, uncertain: true}
	for {
		var status Status
		err := s.request(ctx, http.MethodDelete, "/v1/jobs/"+job, nil, attemptMargin, &status)
		if err == nil {
			return status.Outcome, nil
		}
		if final := s.retryPause(ctx, err); final != nil {
			return OutcomePending, final
		}
	}
}

// Tickets fetches tickets of a service. Each serves as the idempotency key of one job and is valid for 10 minutes. Errors
// are of type *Error.
func (c *Client) Tickets(ctx context.Context, service string, count int) ([]string, error) {
	s := &submission{c: c, firstGateway: c.nextGateway.Add(1), pause: firstPause}
	path := fmt.Sprintf("/v1/tickets?service=%s&count=%d", service, count)
	for {
		var reply struct {
			Tickets []string `json:"tickets"`
		}
		err := s.request(ctx, http.MethodPost, path, nil, attemptMargin, &reply)
		if err == nil {
			return reply.Tickets, nil
		}
		if final := s.retryPause(ctx, err); final != nil {
			final.Outcome = OutcomeNotRun
			return nil, final
		}
	}
}

// ticket returns an unused ticket of the service, and fetches a new batch if there is none or the batch is too old.
func (c *Client) ticket(ctx context.Context, service string) (string, error) {
	c.mu.Lock()
	cache := c.tickets[service]
	if cache == nil {
		cache = &ticketCache{}
		c.tickets[service] = cache
	}
	c.mu.Unlock()
	cache.fetchMu.Lock()
	defer cache.fetchMu.Unlock()
	if len(cache.tickets) == 0 || time.Since(cache.fetchedAt) > ticketLifetime {
		tickets, err := c.Tickets(ctx, service, c.options.TicketBatch)
		if err != nil {
			return "", err
		}
		cache.tickets, cache.fetchedAt = tickets, time.Now()
	}
	last := len(cache.tickets) - 1
	ticket := cache.tickets[last]
	cache.tickets = cache.tickets[:last]
	return ticket, nil
}
