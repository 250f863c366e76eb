package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/structs"
)

// Timing of event streams.
const (
	// eventInterval is the shortest time between two progress events.
	eventInterval = 250 * time.Millisecond
	// eventKeepAlive is the longest time without a line on the stream.
	eventKeepAlive = 10 * time.Second
)

// endBody is the data of the last event of a stream. The caller fetches the results with GET /v1/jobs/{id}.
type endBody struct {
	Job     string `json:"job"`
	Outcome string `json:"outcome"`
	Code    string `json:"code,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// eventStream writes server-sent events. Per caller it holds only the last state of the job that was sent.
type eventStream struct {
	out     *deadlineWriter
	control *http.ResponseController
	// last is the encoded state that was sent last, without its age.
	last      []byte
	writtenAt time.Time
}

// getEvents streams the progress of a job: a series of events named progress with the job's state, then one event named
// end.
func (g *Gateway) getEvents(w http.ResponseWriter, r *http.Request, team string) *structs.Problem {
	job, problem := parseJob(r)
	if problem != nil {
		return problem
	}
	if g.openStreams.Add(1) > maxStreams {
		g.openStreams.Add(-1)
		return &structs.Problem{
			Code: structs.CodeTooManyRequests, Outcome: structs.OutcomePending, RetryAfter: time.Second,
			Detail: "too many event streams are open",
		}
	}
	defer g.openStreams.Add(-1)
	reply, problem := g.askAboutJob(r.Context(), structs.Forward{Kind: structs.ForwardFetch, Job: job, Team: team})
	if problem != nil {
		return problem
	}
	control := http.NewResponseController(w)
	s := &eventStream{out: &deadlineWriter{w, control}, control: control}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	limitWrite(w)
	w.WriteHeader(http.StatusOK)
	for reply != nil && reply.Status != nil && s.progress(reply.Status) == nil {
		started := time.Now()
		reply, problem = g.askAboutJob(r.Context(), structs.Forward{
			Kind: structs.ForwardFetch, Job: job, Team: team, Wait: eventInterval,
		})
		ended := problem != nil || reply.Answer != nil
		if !ended && !ctxtime.Sleep(r.Context(), eventInterval-time.Since(started)) {
			return nil
		}
	}
	s.end(job, reply, problem)
	return nil
}

// progress sends the state of the job if it has changed, and a comment line if the stream has been quiet for
// eventKeepAlive. A change of the age alone does not count.
func (s *eventStream) progress(status *structs.JobStatus) error {
	body := newStatusBody(status, "")
	body.AgeMS = 0
	state, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if bytes.Equal(state, s.last) {
		if time.Since(s.writtenAt) < eventKeepAlive {
			return nil
		}
		return s.write([]byte(": still waiting\n\n"))
	}
	s.last = state
	return s.event("progress", newStatusBody(status, ""))
}

// end sends the last event, unless the stream has failed before the job ended.
func (s *eventStream) end(job structs.JobID, reply *structs.ForwardReply, problem *structs.Problem) {
	body := endBody{Job: job.String()}
	switch {
	case problem != nil:
		body.Outcome, body.Code, body.Detail = problem.Outcome.String(), string(problem.Code), problem.Detail
	case reply != nil && reply.Answer != nil:
		body.Outcome = reply.Answer.Outcome.String()
		if p := reply.Answer.Problem; p != nil {
			body.Code, body.Detail = string(p.Code), p.Detail
		}
	default:
		return
	}
	_ = s.event("end", body)
}

func (s *eventStream) event(name string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return s.write([]byte("event: " + name + "\ndata: " + string(data) + "\n\n"))
}

func (s *eventStream) write(text []byte) error {
	s.writtenAt = time.Now()
	if _, err := s.out.Write(text); err != nil {
		return err
	}
	return s.control.Flush()
}
