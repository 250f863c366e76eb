package schedule

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// WherePath is the path under which gateways tell where a job would be placed now.
const WherePath = "/where"

// WhereRequest is the body of a request to WherePath. The answer is a Preview.
type WhereRequest struct {
	// Queue is the name of the queue, Job the body of a submission as callers send it.
	Queue string          `json:"queue"`
	Job   json.RawMessage `json:"job"`
}

// maxPreviewSteps bounds the steps that a preview describes. Each of them lists all servers, and a job may have 256 steps.
const maxPreviewSteps = 4

// previewJob is the id of the job of a preview that has none of its own, or that of a known job. The limit of a wait for a rack varies
// with the id. It differs from all ids of callers, which are hexadecimal.
const previewJob = "preview"

// PreviewOutcome says what would happen to a job at its arrival.
type PreviewOutcome string

// The outcomes of a preview.
const (
	// PreviewPlaced: all tasks that may start get a server.
	PreviewPlaced PreviewOutcome = "placed"
	// PreviewPartlyPlaced: some of them get a server, the others wait.
	PreviewPartlyPlaced PreviewOutcome = "partly_placed"
	// PreviewWaits: none of them gets a server yet.
	PreviewWaits PreviewOutcome = "waits"
	// PreviewRefused: the job is refused at its arrival.
	PreviewRefused PreviewOutcome = "refused"
)

// Preview describes where a job would be placed if it arrived now. Load and run times change within milliseconds, and the
// jobs that arrive before it are not counted in.
type Preview struct {
	Queue   string            `json:"queue"`
	Service string            `json:"service"`
	Gateway structs.GatewayID `json:"gateway"`
	Zone    string            `json:"zone"`
	Outcome PreviewOutcome    `json:"outcome"`
	// Reason is that of a refusal. RetryAfter is the one of the refusal: of the immediate one, or of a job that waits, of the
	// one after RefusedIn. It is 0 if the refusal has none, or if the job would not be refused.
	Reason     string        `json:"reason,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// RefusedIn is when a job that waits is refused unless a server gets free. It is 0 for all other jobs.
	RefusedIn time.Duration `json:"refused_in_ns,omitempty"`
	// Objective is the time within which the job should be answered.
	Objective time.Duration `json:"objective_ns"`
	// Steps describes the first steps that may start at once, LaterSteps counts the other steps.
	Steps      []StepPreview `json:"steps"`
	LaterSteps int           `json:"later_steps"`
	// Notes are the log lines that the decision would have written, besides those about placements.
	Notes []string `json:"notes,omitempty"`
}

// StepPreview describes where the tasks of a step would be placed.
type StepPreview struct {
	Step int    `json:"step"`
	Rack string `json:"rack,omitempty"`
	// ExpectedRunTime is that of a task on a server of average speed, near its data.
	ExpectedRunTime time.Duration `json:"expected_run_ns"`
	// Candidates are the servers that the first task might get after the steps before have been placed, the best first, and
	// Excluded all others. In a large site a task gets the best of a sample of the candidates.
	Candidates []ServerPreview   `json:"candidates"`
	Excluded   []ExclusionReport `json:"excluded"`
	// Choices holds the server of each task in turn.
	Choices []ChoicePreview `json:"choices"`
}

// ServerPreview describes a server as a candidate for a task.
type ServerPreview struct {
	Server string          `json:"server"`
	Agent  structs.AgentID `json:"agent"`
	Zone   string          `json:"zone"`
	// Labels are those of the server. One of them is its rack.
	Labels []string      `json:"labels,omitempty"`
	Wait   time.Duration `json:"wait_ns"`
	Run    time.Duration `json:"run_ns"`
	// OffRack is set if the step names a rack and the server is outside of it.
	OffRack bool `json:"off_rack"`
	// Load is the fraction of the server's processors that is in use or reserved.
	Load float64 `json:"load"`
	// Rank is "in time", "queued" (the task may have to wait at the agent) or "late".
	Rank string `json:"rank"`
}

// ExclusionReport describes a server that cannot get a task.
type ExclusionReport struct {
	Server string          `json:"server"`
	Agent  structs.AgentID `json:"agent"`
	Zone   string          `json:"zone"`
	Labels []string        `json:"labels,omitempty"`
	Reason Exclusion       `json:"reason"`
	// Detail is the agent's code for a server that takes no tasks, or what is missing.
	Detail string `json:"detail,omitempty"`
}

// ChoicePreview describes the server that a task would get, after the tasks before it got theirs. Server is nil if the task
// waits.
type ChoicePreview struct {
	Task   int            `json:"task"`
	Server *ServerPreview `json:"server"`
}

// Exclusion is the reason why a server cannot get a task.
type Exclusion string

// The reasons, in the order in which they are examined.
const (
	ExcludedService   Exclusion = "other service"
	ExcludedUnlinked  Exclusion = "not linked"
	ExcludedZoneOut   Exclusion = "zone out"
	ExcludedClosed    Exclusion = "closed"
	ExcludedLabel     Exclusion = "label missing"
	ExcludedTooSmall  Exclusion = "too small"
	ExcludedPerServer Exclusion = "limit per server"
	ExcludedApart     Exclusion = "set apart"
	ExcludedFull      Exclusion = "full"
	ExcludedLate      Exclusion = "too late"
	// ExcludedOther is a reason that the preview does not know.
	ExcludedOther Exclusion = "other"
)

// Preview returns where a job of a queue would be placed if it were submitted at now by a caller who waits for timeout. It
// changes nothing.
func (s *Scheduler) Preview(now time.Duration, route structs.Route, spec *structs.JobSpec, timeout time.Duration) Preview {
	own := *spec
	if own.ID == "" || s.jobs[own.ID] != nil {
		own.ID = previewJob
	}
	submission := Submission{Job: &own, Route: route, Timeout: timeout}

	dispatched := s.shadow()
	dispatched.submitPreview(now, submission)
	j := dispatched.jobs[own.ID]
	if j != nil && !j.ended {
		dispatched.dispatchJob(j)
	}
	// A job is forgotten once it is refused, so the steps are those of another copy.
	described := s.shadow()
	described.submitPreview(now, submission)
	p := Preview{
		Queue: route.Name, Service: route.Service, Gateway: s.options.Self.ID, Zone: s.options.Zone, Outcome: PreviewPlaced,
	}
	dispatched.describeOutcome(&p, own.ID, j)
	if like := described.jobs[own.ID]; like != nil {
		p.Objective = like.due - like.arrival
		described.describeSteps(&p, like, j)
	}
	p.LaterSteps = len(own.Steps) - len(p.Steps)
	return p
}

// submitPreview submits the job of a preview to a copy, and updates what Flush updates before it places tasks.
func (s *Scheduler) submitPreview(now time.Duration, submission Submission) {
	s.Submit(now, submission)
	s.updateRackDemand()
	s.countTasksAhead(s.jobs[submission.Job.ID])
}

// describeOutcome describes what has happened to the job of a preview, by its id. j is nil if Submit has refused it.
func (s *Scheduler) describeOutcome(p *Preview, id string, j *job) {
	for _, action := range s.actions {
		switch action := action.(type) {
		case Answer: // no other job is dispatched in a copy
			p.Outcome, p.Reason, p.RetryAfter = PreviewRefused, action.Reason, action.RetryAfter
			return
		case LogEntry:
			if action.Job == id {
				p.Notes = append(p.Notes, strings.TrimSpace(action.Message+" "+action.Detail))
			}
		}
	}
	if j == nil {
		return
	}
	waits := slices.ContainsFunc(j.steps, func(st *step) bool { return st.pending > 0 && s.ready(j, st) })
	switch {
	case waits && j.placed > 0:
		p.Outcome = PreviewPartlyPlaced
	case waits:
		p.Outcome = PreviewWaits
		startBy := j.startBy(s.fastestRunTime(j))
		p.RefusedIn = max(min(startBy, j.deadline)-s.now, 0)
		if startBy < j.deadline { // a job that ends at its deadline gets no Retry-After
			p.RetryAfter = s.retryAfter(j)
		}
	}
}

// describeSteps describes the steps of job j that may start. placed is the same job after it was dispatched in another copy,
// nil if Submit has refused it.
func (s *Scheduler) describeSteps(p *Preview, j, placed *job) {
	late := s.now > j.startBy(s.fastestRunTime(j))
	for i, st := range j.steps {
		if len(p.Steps) == maxPreviewSteps {
			return
		}
		if !s.ready(j, st) {
			continue
		}
		described := StepPreview{Step: i, Rack: st.spec.Rack, ExpectedRunTime: millis(st.work)}
		s.describeServers(&described, j, st, late)
		for k, t := range st.tasks {
			choice := ChoicePreview{Task: t.index}
			if placed != nil && placed.steps[i].tasks[k].server != nil {
				choice.Server = s.repeatChoice(j, st, t, placed.steps[i].tasks[k].server.id)
			}
			described.Choices = append(described.Choices, choice)
		}
		p.Steps = append(p.Steps, described)
	}
}

// describeServers describes all servers as candidates for the first task of a step.
func (s *Scheduler) describeServers(described *StepPreview, j *job, st *step, late bool) {
	described.Candidates, described.Excluded = []ServerPreview{}, []ExclusionReport{}
	t := st.tasks[0]
	type scored struct {
		candidate
		rank  int
		score float64
	}
	var candidates []scored
	for _, srv := range s.sortedServers {
		c, rank := s.bestOf([]*server{srv}, j, st, t, nil, late)
		if rank == 0 {
			described.Excluded = append(described.Excluded, s.describeExclusion(srv, j, st, t))
			continue
		}
		_, score := s.rank(j, t, c, late)
		candidates = append(candidates, scored{c, rank, score})
	}
	slices.SortStableFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.score, b.score))
	})
	for _, c := range candidates {
		described.Candidates = append(described.Candidates, s.describeServer(c.candidate, c.rank))
	}
}

// repeatChoice places a task on the server that it got in another copy and describes that server as it was before.
func (s *Scheduler) repeatChoice(j *job, st *step, t *task, id structs.AgentID) *ServerPreview {
	srv := s.servers[id]
	c, rank := s.bestOf([]*server{srv}, j, st, t, nil, true)
	if c.server == nil {
		c.server = srv
	}
	choice := s.describeServer(c, rank)
	s.place(t, st, c)
	return &choice
}

var rankNames = map[int]string{rankLate: "late", rankQueued: "queued", rankInTime: "in time"}

func (s *Scheduler) describeServer(c candidate, rank int) ServerPreview {
	r := &c.server.report
	return ServerPreview{
		Server: r.Server, Agent: c.server.id, Zone: r.Zone, Labels: r.Labels, Wait: c.wait, Run: c.run, OffRack: c.offRack,
		Load: s.loadOf(c.server), Rank: rankNames[rank],
	}
}

// describeExclusion describes a server that bestOf does not accept for a task.
func (s *Scheduler) describeExclusion(srv *server, j *job, st *step, t *task) ExclusionReport {
	r := &srv.report
	report := ExclusionReport{Server: r.Server, Agent: srv.id, Zone: r.Zone, Labels: r.Labels}
	report.Reason, report.Detail = s.exclusion(srv, j, st, t)
	return report
}

// exclusion returns why bestOf does not accept a server for a task.
func (s *Scheduler) exclusion(srv *server, j *job, st *step, t *task) (reason Exclusion, detail string) {
	r := &srv.report
	switch {
	case !srv.linked:
		return ExcludedUnlinked, "for " + (s.now - srv.unlinkedAt).Round(time.Millisecond).String()
	case r.Service != j.route.Service:
		return ExcludedService, r.Service
	case s.zones.IsOut(r.Zone):
		return ExcludedZoneOut, r.Zone
	case !s.usable(srv):
		return ExcludedClosed, r.Reason
	case !s.admits(srv, st):
		return notAdmitted(srv, st)
	case s.separates(srv, j, st, t):
		if s.isApart(srv.id) {
			return ExcludedApart, "for queues in quarantine"
		}
		return ExcludedApart, "the queue is in quarantine"
	}
	if _, ok := s.evaluate(srv, j.route.Priority, st); !ok {
		free := srv.freeResourcesFor(j.route.Priority)
		return ExcludedFull, fmt.Sprintf("cpu %d and %d MB free", free.CPU, free.MemoryMB)
	}
	if c, _ := s.evaluate(srv, j.route.Priority, st); s.isLateOn(j, t, c) {
		return ExcludedLate, ""
	}
	return ExcludedOther, ""
}

// isLateOn reports whether a candidate is unsuitable because the job would be late there.
func (s *Scheduler) isLateOn(j *job, t *task, c candidate) bool {
	rank, _ := s.rank(j, t, c, false)
	return rank == 0
}

// notAdmitted returns why admits does not accept a server for a step.
func notAdmitted(srv *server, st *step) (reason Exclusion, detail string) {
	r := &srv.report
	switch {
	case st.spec.Label != "" && !slices.Contains(r.Labels, st.spec.Label):
		return ExcludedLabel, st.spec.Label
	case !r.Capacity.Covers(st.spec.Need):
		return ExcludedTooSmall, fmt.Sprintf("cpu %d and %d MB", r.Capacity.CPU, r.Capacity.MemoryMB)
	case st.perServer != nil && st.perServer[srv] >= st.spec.MaxPerServer:
		return ExcludedPerServer, ""
	}
	return ExcludedOther, ""
}
