package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/structs"
)

// Timing of the callers.
const (
	// submitWait is how long one request waits for the job's answer before the caller submits the job again.
	submitWait = 20 * time.Second
	// retryPause is the pause before a resubmission after an error.
	retryPause = 200 * time.Millisecond
	// giveUpAfter is how long a caller keeps trying after the job's deadline.
	giveUpAfter = 20 * time.Second
)

// submission is a job as a caller submitted it, with the answer that the caller received.
type submission struct {
	job     *Job
	id      structs.JobID
	outcome structs.Outcome
	code    structs.Code
	detail  string
	results []taskResult
	// attempts counts the requests of submit. It is -1 for the second submission by resubmit.
	attempts int
	// start is the planned arrival, end the receipt of the final answer, both since the start of the run.
	start, end time.Duration
	// cutRequests counts requests that reached a gateway and got no complete answer. errors holds the first three
	// errors of requests.
	cutRequests int
	errors      []string
	// unanswered is true if the caller gave up without a final answer.
	unanswered bool
}

// String describes the submission for the evidence of a broken promise.
func (sub *submission) String() string {
	return fmt.Sprintf("job %s key %s/%s from %.3f s to %.3f s, attempts %d, cut %d, outcome %s, code %s, detail %q, errors %q",
		sub.id, sub.job.Team, sub.job.Key, sub.start.Seconds(), sub.end.Seconds(), sub.attempts, sub.cutRequests, sub.outcome, sub.code, sub.detail, sub.errors)
}

// taskResult is the result that a backend server stand-in returns for a task.
type taskResult struct {
	Echo string `json:"echo"`
}

// payload is the task input that the backend server stand-in understands: it runs for RunMS and returns Echo.
type payload struct {
	RunMS float64 `json:"run_ms"`
	Echo  string  `json:"echo"`
}

type taskBody struct {
	Payload payload `json:"payload"`
}

type jobBody struct {
	Service        string     `json:"service"`
	Priority       string     `json:"priority"`
	Repeatable     bool       `json:"repeatable"`
	DeadlineMS     int64      `json:"deadline_ms,omitempty"`
	Kind           string     `json:"kind,omitempty"`
	DeclaredTimeMS int64      `json:"declared_time_ms,omitempty"`
	Tasks          []taskBody `json:"tasks"`
}

// answerBody holds the fields that callers read from an answer, a job status or a problem document.
type answerBody struct {
	Outcome string       `json:"outcome"`
	Results []taskResult `json:"results"`
	Code    structs.Code `json:"code"`
	Detail  string       `json:"detail"`
}

// callers submits jobs at their arrival times, regardless of the system's state, so that queueing delays show in the
// response times (no coordinated omission).
type callers struct {
	profile  Profile
	gateways []string
	client   *http.Client
	runStart time.Time
	// resubmitAll makes every caller submit its job a second time through another gateway while it waits.
	resubmitAll bool

	mu          sync.Mutex
	submissions []submission
}

func newCallers(p Profile, gateways []string) *callers {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1024,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &callers{profile: p, gateways: gateways, client: &http.Client{Transport: transport}}
}

// run submits the jobs and returns when every caller has its answer or has given up.
func (c *callers) run(ctx context.Context, jobs []Job) []submission {
	var wait sync.WaitGroup
	for i := range jobs {
		job := &jobs[i]
		if !sleepUntil(ctx, c.runStart.Add(job.Arrival)) {
			break
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.record(c.submit(ctx, job, i))
		}()
	}
	wait.Wait()
	return c.submissions
}

func (c *callers) record(sub submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submissions = append(c.submissions, sub)
}

// submit sends one job until it has a final answer: always with the same idempotency key, each time to the next
// gateway.
func (c *callers) submit(ctx context.Context, job *Job, number int) submission {
	key := structs.HashKey(job.Team, job.Key)
	pool := structs.PoolOfKey(c.profile.Service, uint16(c.profile.Pools), key)
	sub := submission{job: job, id: structs.JobID{Pool: pool, Key: key}, start: job.Arrival}
	body := c.encodeJob(job)
	deadline := job.Deadline
	if deadline == 0 {
		deadline = structs.DefaultDeadline
	}
	giveUp := c.runStart.Add(job.Arrival + deadline + giveUpAfter)
	if job.CancelAfter > 0 {
		go c.cancelLater(ctx, job, sub.id, number)
	}
	if c.resubmitAll {
		go c.resubmit(ctx, job, body, number+1)
	}
	for time.Now().Before(giveUp) && ctx.Err() == nil {
		gateway := c.gateways[(number+sub.attempts)%len(c.gateways)]
		sub.attempts++
		if c.attempt(ctx, gateway, job, body, &sub) {
			sub.end = time.Since(c.runStart)
			return sub
		}
		time.Sleep(retryPause)
	}
	sub.unanswered = true
	return sub
}

func (c *callers) encodeJob(job *Job) []byte {
	body := jobBody{
		Service: c.profile.Service, Priority: "routine", Repeatable: job.Repeatable, Kind: job.Kind,
		DeadlineMS: job.Deadline.Milliseconds(), DeclaredTimeMS: max(1, job.DeclaredTime.Milliseconds()),
	}
	if job.Urgent {
		body.Priority = "urgent"
	}
	for i, t := range job.RunTimes {
		task := payload{RunMS: float64(t) / float64(time.Millisecond), Echo: expectedEcho(job, i)}
		body.Tasks = append(body.Tasks, taskBody{Payload: task})
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic("bench: encoding of plain values cannot fail: " + err.Error())
	}
	return raw
}

func expectedEcho(job *Job, task int) string { return fmt.Sprintf("%s/%s/%d", job.Team, job.Key, task) }

// attempt makes one request and reports whether the answer is final.
func (c *callers) attempt(ctx context.Context, gateway string, job *Job, body []byte, sub *submission) bool {
	time.Sleep(c.profile.ClientDelay)
	answer, status, err := c.post(ctx, gateway, job, body)
	time.Sleep(c.profile.ClientDelay)
	if err != nil {
		if !errors.Is(err, errNotConnected) {
			sub.cutRequests++
		}
		if len(sub.errors) < 3 {
			sub.errors = append(sub.errors, err.Error())
		}
		return false
	}
	sub.code, sub.detail = answer.Code, answer.Detail
	if answer.Code == structs.CodeResultGone {
		sub.outcome = structs.OutcomeFailed
		return true
	}
	switch answer.Outcome {
	case "complete":
		sub.outcome, sub.results = structs.OutcomeComplete, answer.Results
		return true
	case "failed":
		sub.outcome = structs.OutcomeFailed
		return true
	case "may_have_run":
		sub.outcome = structs.OutcomeMayHaveRun
		return !transient(status, answer.Code)
	case "not_run":
		sub.outcome = structs.OutcomeNotRun
		return !transient(status, answer.Code)
	}
	return false
}

// transient reports whether a refusal is due to the state of one gateway, so that another gateway may accept the job. A
// problem with a code is classified by the code alone, since its status may also be that of a final answer: 504 is the
// status of an exceeded deadline too.
func transient(status int, code structs.Code) bool {
	switch code {
	case structs.CodeUnavailable, structs.CodeStopping, structs.CodeOwnerLost:
		return true
	case "":
		return status == http.StatusBadGateway || status == http.StatusGatewayTimeout
	default:
		return false
	}
}

// errNotConnected marks requests for which no connection to a gateway could be opened.
var errNotConnected = errors.New("not connected")

func (c *callers) post(ctx context.Context, gateway string, job *Job, body []byte) (answerBody, int, error) {
	var answer answerBody
	url := "http://" + gateway + "/v1/jobs?wait=" + submitWait.String()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", job.Key)
	request.Header.Set("Rosedrift-Team", job.Team)
	response, err := c.client.Do(request)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return answer, 0, errNotConnected
		}
		return answer, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, 0, err
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return answer, 0, fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	return answer, response.StatusCode, nil
}

func (c *callers) cancelLater(ctx context.Context, job *Job, id structs.JobID, number int) {
	time.Sleep(job.CancelAfter)
	url := "http://" + c.gateways[(number+1)%len(c.gateways)] + "/v1/jobs/" + id.String()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return
	}
	request.Header.Set("Rosedrift-Team", job.Team)
	response, err := c.client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// resubmit submits the job a second time, like a client that assumes that its request was lost. The answer is checked
// like the first one.
func (c *callers) resubmit(ctx context.Context, job *Job, body []byte, number int) {
	time.Sleep(retryPause)
	gateway := c.gateways[number%len(c.gateways)]
	answer, _, err := c.post(ctx, gateway, job, body)
	if err != nil || answer.Outcome != "complete" {
		return
	}
	duplicate := *job
	c.record(submission{job: &duplicate, outcome: structs.OutcomeComplete, results: answer.Results, attempts: -1})
}

func sleepUntil(ctx context.Context, at time.Time) bool { return ctxtime.Sleep(ctx, time.Until(at)) }
