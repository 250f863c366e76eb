// Package client submits jobs to rosedrift gateways.
//
// A Client gives each job an idempotency key before the first attempt and uses the same key for every further
// attempt, through any gateway. Each task of the job therefore starts at most once, however often the connection
// breaks. The package never submits work under a second key by itself: after an error with OutcomeMayHaveRun only the
// caller can decide whether the work may run again.
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

// Defaults and bounds.
const (
	// DefaultTicketBatch is the number of tickets fetched at once.
	DefaultTicketBatch = 32
	// DefaultDeadline is the deadline that gateways apply to jobs without one.
	DefaultDeadline = time.Minute
	// ticketLifetime is well below the age at which gateways refuse tickets (10 min).
	ticketLifetime = 5 * time.Minute
	// attemptWait is how long one request waits for the answer.
	attemptWait = 20 * time.Second
	// attemptMargin is how much longer than its wait a request may take.
	attemptMargin = 20 * time.Second
	// graceAfterDeadline is how long Submit tries to learn the outcome after the deadline of the job.
	graceAfterDeadline = 20 * time.Second
	// firstPause and maxPause bound the pause between attempts.
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// Options configures a Client.
type Options struct {
	// Gateways are base URLs, for example http://127.0.0.1:7400. At least one is required.
	Gateways []string
	// Key is the team's key. Without one, Team is sent, which gateways accept on loopback only.
	Key  string
	Team string
	// HTTP is the client for all requests; nil means one with keep-alive. It must not have a Timeout shorter than
	// a minute.
	HTTP *http.Client
	// TicketBatch is the number of tickets fetched at once, 0 means DefaultTicketBatch.
	TicketBatch int
}

// Priority is the class of a job.
type Priority string

// The priorities. An empty priority means the service's default.
const (
	Urgent  Priority = "urgent"
	Routine Priority = "routine"
)

// Job is a submission. Service and Tasks are required.
type Job struct {
	Service  string
	Priority Priority
	// Once marks work whose effects must not happen a second time under any key ("repeatable": false).
	Once bool
	// Deadline is the longest useful time until the answer, 0 means the gateways' default. The unit of the
	// interface is 1 ms.
	Deadline time.Duration
	// Kind groups tasks of similar run time, DeclaredTime is a guess of one task's run time.
	Kind         string
	DeclaredTime time.Duration
	// Tasks are the payloads, one for each task.
	Tasks []json.RawMessage
	// Key is the idempotency key, at most 128 bytes. Empty means a ticket, which is cheaper for the gateways. Set
	// it to a value from your own records if the submission must be repeatable after a restart of your process.
	Key string
}

// Answer is the complete result of a job.
type Answer struct {
	Job     string            `json:"job"`
	Results []json.RawMessage `json:"results"`
	// Key is the idempotency key that was used.
	Key string `json:"-"`
}

// Status is the state of a job that has not ended.
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
	next    atomic.Uint64

	mu      sync.Mutex
	tickets map[string]*ticketStock
}

type ticketStock struct {
	// fetch is held while tickets are fetched, so that concurrent submissions share one batch.
	fetch   sync.Mutex
	fetched time.Time
	tickets []string
}

// New returns a Client. It makes no request.
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
	c := &Client{options: options, http: options.HTTP, tickets: map[string]*ticketStock{}}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}}
	}
	c.next.Store(rand.Uint64())
	return c, nil
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// gateway returns the gateway for an attempt. A later attempt uses another one.
func (c *Client) gateway(first uint64, attempt int) string {
	return c.options.Gateways[(first+uint64(attempt))%uint64(len(c.options.Gateways))]
}

// jobBody is the JSON form of a Job.
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
		return nil, &Error{Outcome: OutcomeNotRun, Code: CodeBadRequest, Detail: "a payload is no valid JSON", Err: err}
	}
	return raw, nil
}

// Submit submits a job and returns its answer. It tries all gateways with one key until the outcome is known, the
// context ends, or the deadline of the job is 20 s past. Errors are of type *Error.
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

// Start submits a job and returns as soon as a gateway has taken it, with its state or, if it has ended already, only
// with its id. Repeat a failed Start with the Key of the error. Errors are of type *Error.
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
		if final := s.judge(ctx, err); final != nil {
			return nil, final
		}
	}
}

// Await waits for the end of a job. Errors are of type *Error; a job that is not known is CodeNotFound.
func (c *Client) Await(ctx context.Context, job string) (*Answer, error) {
	s := &submission{c: c, first: c.next.Add(1), pause: firstPause, job: job, uncertain: true}
	for {
		reply, err := s.get(ctx)
		if err == nil && reply.answer != nil {
			return reply.answer, nil
		}
		if err == nil {
			continue
		}
		if final := s.judge(ctx, err); final != nil {
			return nil, final
		}
	}
}

// Cancel cancels a job and returns its outcome, OutcomePending if it has not ended yet.
func (c *Client) Cancel(ctx context.Context, job string) (Outcome, error) {
	s := &submission{c: c, first: c.next.Add(1), pause: firstPause, job: job, uncertain: true}
	for {
		var status Status
		err := s.request(ctx, http.MethodDelete, "/v1/jobs/"+job, nil, attemptMargin, &status)
		if err == nil {
			return status.Outcome, nil
		}
		if final := s.judge(ctx, err); final != nil {
			return OutcomePending, final
		}
	}
}

// Tickets fetches tickets of a service, which serve as keys of one job each for 10 minutes.
func (c *Client) Tickets(ctx context.Context, service string, count int) ([]string, error) {
	s := &submission{c: c, first: c.next.Add(1), pause: firstPause}
	path := fmt.Sprintf("/v1/tickets?service=%s&count=%d", service, count)
	for {
		var reply struct {
			Tickets []string `json:"tickets"`
		}
		err := s.request(ctx, http.MethodPost, path, nil, attemptMargin, &reply)
		if err == nil {
			return reply.Tickets, nil
		}
		if final := s.judge(ctx, err); final != nil {
			final.Outcome = OutcomeNotRun
			return nil, final
		}
	}
}

// ticket takes a prefetched ticket of the service.
func (c *Client) ticket(ctx context.Context, service string) (string, error) {
	c.mu.Lock()
	stock := c.tickets[service]
	if stock == nil {
		stock = &ticketStock{}
		c.tickets[service] = stock
	}
	c.mu.Unlock()
	stock.fetch.Lock()
	defer stock.fetch.Unlock()
	if len(stock.tickets) == 0 || time.Since(stock.fetched) > ticketLifetime {
		tickets, err := c.Tickets(ctx, service, c.options.TicketBatch)
		if err != nil {
			return "", err
		}
		stock.tickets, stock.fetched = tickets, time.Now()
	}
	last := len(stock.tickets) - 1
	ticket := stock.tickets[last]
	stock.tickets = stock.tickets[:last]
	return ticket, nil
}
