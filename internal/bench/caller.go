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

// Timing of callers.
const (
	// submitWait is how long one request waits for the answer before the caller asks again.
	submitWait = 20 * time.Second
	// retryPause is the pause before a resubmission after an error.
	retryPause = 200 * time.Millisecond
	// giveUpAfter is how long a caller tries after the job's deadline.
	giveUpAfter = 20 * time.Second
)

// verdict is what a caller learned about its job.
type verdict struct {
	job      *Job
	id       structs.JobID
	outcome  structs.Outcome
	code     structs.Code
	detail   string
	results  []echo
	attempts int
	// start is the intended arrival, end the receipt of the final answer, both since the start of the run.
	start, end time.Duration
	// cut counts connections that ended without a response, errors keeps their first texts.
	cut    int
	errors []string
	// unanswered is true if the caller gave up without a final answer.
	unanswered bool
}

// String describes the verdict for the evidence of a broken promise.
func (v *verdict) String() string {
	return fmt.Sprintf("job %s key %s/%s from %.3f s to %.3f s, attempts %d, cut %d, outcome %s, code %s, detail %q, errors %q",
		v.id, v.job.Team, v.job.Key, v.start.Seconds(), v.end.Seconds(), v.attempts, v.cut, v.outcome, v.code, v.detail, v.errors)
}

// echo is the result of a backend server stand-in.
type echo struct {
	Echo string `json:"echo"`
}

// payload is the task input that the backend server stand-in understands.
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

// answerBody holds the fields of an answer, a status and a problem that callers read.
type answerBody struct {
	Outcome string       `json:"outcome"`
	Results []echo       `json:"results"`
	Code    structs.Code `json:"code"`
	Detail  string       `json:"detail"`
}

// callers submits jobs at their arrival times, whatever the system's state, so that waiting shows in the response
// times (no coordinated omission).
type callers struct {
	profile  Profile
	gateways []string
	client   *http.Client
	started  time.Time
	// resubmitAll makes every caller submit its job a second time through another gateway while it waits.
	resubmitAll bool

	mu       sync.Mutex
	verdicts []verdict
}

func newCallers(p Profile, gateways []string) *callers {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1024,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &callers{profile: p, gateways: gateways, client: &http.Client{Transport: transport}}
}

// run submits the jobs and returns when every caller has its answer or has given up.
func (c *callers) run(ctx context.Context, jobs []Job) []verdict {
	var wait sync.WaitGroup
	for i := range jobs {
		job := &jobs[i]
		if !sleepUntil(ctx, c.started.Add(job.At)) {
			break
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.finish(c.submit(ctx, job, i))
		}()
	}
	wait.Wait()
	return c.verdicts
}

func (c *callers) finish(v verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verdicts = append(c.verdicts, v)
}

// submit submits one job until it has a final answer, with the same key, through changing gateways.
func (c *callers) submit(ctx context.Context, job *Job, number int) verdict {
	key := structs.HashKey(job.Team, job.Key)
	pool := structs.PoolOfKey(c.profile.Service, uint16(c.profile.Pools), key)
	v := verdict{job: job, id: structs.JobID{Pool: pool, Key: key}, start: job.At}
	body := c.encode(job)
	deadline := job.Deadline
	if deadline == 0 {
		deadline = structs.DefaultDeadline
	}
	giveUp := c.started.Add(job.At + deadline + giveUpAfter)
	if job.CancelAfter > 0 {
		go c.cancelLater(ctx, job, v.id, number)
	}
	if c.resubmitAll {
		go c.resubmit(ctx, job, body, number+1)
	}
	for time.Now().Before(giveUp) && ctx.Err() == nil {
		gateway := c.gateways[(number+v.attempts)%len(c.gateways)]
		v.attempts++
		if c.attempt(ctx, gateway, job, body, &v) {
			v.end = time.Since(c.started)
			return v
		}
		time.Sleep(retryPause)
	}
	v.unanswered = true
	return v
}

func (c *callers) encode(job *Job) []byte {
	body := jobBody{
		Service: c.profile.Service, Priority: "routine", Repeatable: job.Repeatable, Kind: job.Kind,
		DeadlineMS: job.Deadline.Milliseconds(), DeclaredTimeMS: max(1, job.DeclaredTime.Milliseconds()),
	}
	if job.Urgent {
		body.Priority = "urgent"
	}
	for i, t := range job.RunTimes {
		task := payload{RunMS: float64(t) / float64(time.Millisecond), Echo: echoOf(job, i)}
		body.Tasks = append(body.Tasks, taskBody{Payload: task})
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic("bench: encoding of plain values cannot fail: " + err.Error())
	}
	return raw
}

func echoOf(job *Job, task int) string { return fmt.Sprintf("%s/%s/%d", job.Team, job.Key, task) }

// attempt makes one request and reports whether the answer is final.
func (c *callers) attempt(ctx context.Context, gateway string, job *Job, body []byte, v *verdict) bool {
	time.Sleep(c.profile.ClientDelay)
	answer, status, err := c.post(ctx, gateway, job, body)
	time.Sleep(c.profile.ClientDelay)
	if err != nil {
		if !errors.Is(err, errNotConnected) {
			v.cut++
		}
		if len(v.errors) < 3 {
			v.errors = append(v.errors, err.Error())
		}
		return false
	}
	v.code, v.detail = answer.Code, answer.Detail
	if answer.Code == structs.CodeResultGone {
		v.outcome = structs.OutcomeFailed
		return true
	}
	switch answer.Outcome {
	case "complete":
		v.outcome, v.results = structs.OutcomeComplete, answer.Results
		return true
	case "failed":
		v.outcome = structs.OutcomeFailed
		return true
	case "may_have_run":
		v.outcome = structs.OutcomeMayHaveRun
		return !transient(status, answer.Code)
	case "not_run":
		v.outcome = structs.OutcomeNotRun
		return !transient(status, answer.Code)
	}
	return false
}

// transient reports whether a refusal names a state of one gateway, so that another gateway is worth a try. A problem
// is judged by its code: its status can be that of a final answer, as 504 is for a deadline that has passed.
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

// errNotConnected marks requests that never reached a gateway.
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

// resubmit submits the job once more, as a client does that believes it lost. Its answer is checked like the first.
func (c *callers) resubmit(ctx context.Context, job *Job, body []byte, number int) {
	time.Sleep(retryPause)
	gateway := c.gateways[number%len(c.gateways)]
	answer, _, err := c.post(ctx, gateway, job, body)
	if err != nil || answer.Outcome != "complete" {
		return
	}
	duplicate := *job
	c.finish(verdict{job: &duplicate, outcome: structs.OutcomeComplete, results: answer.Results, attempts: -1})
}

func sleepUntil(ctx context.Context, at time.Time) bool { return ctxtime.Sleep(ctx, time.Until(at)) }
