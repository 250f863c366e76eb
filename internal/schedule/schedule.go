package schedule

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosedrift.example/rosedrift/internal/rackdemand"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/zonestate"
)

type taskState uint8

const (
	pending taskState = iota
	placed
	done
)

// task is one task of a step, together with its current placement.
type task struct {
	job   *job
	step  int
	index int
	state taskState
	// nextRun is the lowest number that the next run may have, failures the number of failed runs.
	nextRun  uint32
	failures int
	// id identifies the current placement, server is where it was placed.
	id     uint64
	server *server
	// stopping is set once the agent has been asked to stop the placement.
	stopping bool
	// placedSlowness is the logarithm of the server's slowness as it was known at the placement.
	placedSlowness float64
	// offRack is set if the task was last placed outside the rack of its data, so that its run takes longer.
	offRack bool
	// near is the wait for the rack of its data.
	near nearWait
	// placedAt is when it was last placed, expectedWait how long it was expected to wait at the agent.
	placedAt, expectedWait time.Duration
	// moves counts how often the task was moved as a straggler.
	moves int
	// straggler is set by the first report that the current run is a straggler.
	straggler bool
	// avoidServer is the server that last failed, refused or did not answer a run of the task, or from which the task
	// was moved as a straggler.
	avoidServer *server
}

// step is one step of a job. All its tasks have the same requirements.
type step struct {
	number int
	spec   structs.StepSpec
	model  *runTimeModel
	// work is the expected run time of a task in milliseconds on a server of average speed.
	work float64
	// remaining is the expected time from the end of the step to the end of the job, along the longest chain of later
	// steps.
	remaining time.Duration
	// readyAt is when the preceding steps had completed, longestRun the longest run time of a completed task.
	readyAt    time.Duration
	longestRun time.Duration
	// meanWork is the mean run time in milliseconds on a server of average speed, within the rack of the data, of the
	// completedTasks tasks that have completed.
	meanWork       float64
	completedTasks float64
	// stragglerWork is the run time in milliseconds on a server of average speed, within the rack of the data, that
	// the latest straggler on each server suggests.
	stragglerWork map[*server]float64
	tasks         []*task
	// incomplete is the number of tasks that have not completed, pending the number of those that wait for a server.
	incomplete int
	pending    int
	// perServer counts the placed tasks by server. It is nil for a step without a limit per server.
	perServer map[*server]int
	// waitLogged is set once a wait for the rack was logged.
	waitLogged bool
}

// job is a submitted job until it has ended and none of its tasks is placed any more.
type job struct {
	spec    *structs.JobSpec
	route   structs.Route
	waiters []Waiter
	arrival time.Duration
	// due is the latest time of an answer that meets the objective. At deadline the last caller stops waiting.
	due      time.Duration
	deadline time.Duration
	// openEnded is set if a caller may wait beyond the deadline.
	openEnded bool
	steps     []*step
	// hasDependencies is set if any step depends on another.
	hasDependencies bool
	// mayHaveRun is set once a placement has ended without proof that its task never started. From then on the job
	// must not be refused as not run.
	mayHaveRun bool
	placed     int
	ended      bool
	// firstPlacedAt is when a task was placed first, 0 if none was. lastStart is the latest start of a task that has completed.
	firstPlacedAt, lastStart time.Duration
	// nextScan is when all servers are considered again for the waiting tasks. Before that, only those that have changed.
	nextScan time.Duration
	claim    jobClaim
	// resubmissions holds submissions of the same job that arrived while it was being stopped.
	resubmissions []resubmission
	// checkAt, inDeadlines and deadlineIndex belong to the deadlineQueue.
	checkAt       time.Duration
	inDeadlines   bool
	deadlineIndex int
}

// resubmission waits for the end of an earlier submission of the same job. Its caller waits until deadline.
type resubmission struct {
	Submission
	deadline time.Duration
}

// server is an agent with its backend server.
type server struct {
	id         structs.AgentID
	report     structs.ServerReport
	linked     bool
	tasksEndBy time.Duration // when its tasks have certainly ended, 0 while it is linked and after they were returned
	// unsettledUntil is how long calls to the backend server without an answer may be carried out, as the agent has last reported.
	unsettledUntil time.Duration
	// linkedAt is when the last link was established, unlinkedAt when it was closed.
	linkedAt       time.Duration
	unlinkedAt     time.Duration
	sentAt         time.Duration
	seq            uint64
	resources      structs.ResourceReport
	unacknowledged []unacknowledgedPlacement // placements that the resource report does not include yet
	tasks          map[uint64]*task
	// slowness is the factor by which run times on the server exceed those on an average server, as its agent has
	// reported, and logSlowness its logarithm.
	slowness    float64
	logSlowness float64
	// changed is set if the server may have become suitable for a waiting job since the last Flush.
	changed bool
	// placesAlone is set if the agent accepts PlaceAlone, relaysCancellings if it accepts CancelJobs.
	placesAlone       bool
	relaysCancellings bool
	// fullUntil is the time until which no task of a priority may be queued there, because one was returned for lack
	// of resources.
	fullUntil map[int]time.Duration
	// probe is the last probe on this link that was not answered, nil if there is none.
	probe *structs.LivenessProbe
	// hash is the place of the agent in the ring of arbiters. keepsClaims is set if the agent accepts JobClaims, and from
	// claimsCompleteAt on it knows all claims. claimsUnanswered is set while it does not answer.
	hash             uint64
	keepsClaims      bool
	claimsUnanswered bool
	claimsCompleteAt time.Duration
	// sentAddressVersion is the version of the gateway addresses that was last sent on this link.
	sentAddressVersion uint64
	// sentZoneVersion and sentZonesAsOf describe the zone state that was last sent on this link.
	sentZoneVersion uint64
	sentZonesAsOf   time.Duration
}

// unacknowledgedPlacement holds the resources of a placed task that the agent's resource report does not include yet.
type unacknowledgedPlacement struct {
	seq      uint64
	priority int
	need     structs.Resources
	run      time.Duration // expected
}

// Scheduler is the state machine that schedules the jobs of one gateway. It is not safe for concurrent use.
type Scheduler struct {
	options       Options
	now           time.Duration
	startedAt     time.Duration
	servers       map[structs.AgentID]*server
	sortedServers []*server
	// serverFoundAt is when a server was last linked for the first time.
	serverFoundAt time.Duration
	// serversByZone holds the servers of each availability zone in the order of their ids.
	serversByZone map[string][]*server
	// serversByLabel holds the servers with each label, in the order of their ids. Racks are among the labels.
	serversByLabel map[string][]*server
	// locality, rackWaits and the fields up to rackStats belong to the waits for racks. rackAhead is the CPU that the tasks
	// need that wait for each rack and have been considered in this Flush, nextWaitEnd the next end of a wait.
	locality            localityPolicy
	rackWaits           map[string]*rackWaits
	rackAhead           map[string]int64
	nextWaitEnd         time.Duration
	rackOffset          int
	rackSample, offRack []*server // reused
	// usabilityChanged is set if a server that a task waits for may not be usable any more.
	usabilityChanged bool
	rackStats        RackStats
	// localOffset and remoteOffset are where the next samples of servers begin, see sampleServers.
	localOffset, remoteOffset int
	// fastest is the lowest slowness of all servers, 0 if it must be determined again.
	fastest float64
	// changed holds the servers that may have become suitable for waiting jobs since the last Flush, resumes those with a
	// new link whose first message is due, and unlinked those without a link.
	changed, resumes []*server
	unlinked         []*server
	sample           []*server // reused by sampleServers
	// heartbeatsDue is the earliest time at which a heartbeat may be due on any link.
	heartbeatsDue    time.Duration
	models           map[string]*runTimeModel
	jobs             map[string]*job
	deadlines        deadlineQueue
	queue            []*job // jobs with pending tasks, by priority and arrival
	tasks            map[uint64]*task
	nextID           uint64
	zones            zonestate.View
	gatewayAddresses []string
	// addressVersion counts the changes of gatewayAddresses. Addresses are sent only after a change: with 100
	// gateways, a list in each heartbeat amounted to 875 kB/s at an agent, and it would grow with the square of the
	// number of gateways.
	addressVersion     uint64
	addressesChangedAt time.Duration
	revision           uint64
	// zoneVersion counts the changes of the zones. zonesUrgent is set if all agents must get the zones at once.
	zoneVersion uint64
	zonesUrgent bool
	actions     []Action
	// placements collects the Place messages of a Flush, so that tasks of one step for one agent share a message.
	placements []Send
	stops      map[*server][]uint64
	// probed holds the servers with a probe that was not answered.
	probed    []*server
	cancelled *cancellations
	// cancelling holds the requests to cancel a job that the agents have not confirmed. cancelSeq numbers the CancelJobs
	// messages.
	cancelling []*cancelBatch
	cancelSeq  uint64
	// arbiters holds all servers, claimsDue the messages about claims to be sent. Those with claims are sent at the next Flush if
	// claimsUrgent is set, those with releases only at releaseBy, which is 0 if there are none.
	arbiters     ring
	claimsDue    map[*server]*structs.JobClaims
	claimsUrgent bool
	releaseBy    time.Duration
	// relinkedAt is when the links are complete that show the right arbiters, 0 before the first one.
	relinkedAt  time.Duration
	crashes     *crashHistory
	quarantines *quarantines
	demand      *rackdemand.Gateway
	contention  contention
}

// New returns a scheduler that knows no servers.
func New(now time.Duration, options Options) *Scheduler {
	if options.OffRackFactor < 1 {
		options.OffRackFactor = 1
	}
	return &Scheduler{
		options: options, now: now, startedAt: now, locality: weighWaits,
		servers: map[structs.AgentID]*server{}, serversByZone: map[string][]*server{}, models: map[string]*runTimeModel{}, jobs: map[string]*job{},
		tasks: map[uint64]*task{}, zones: zonestate.NewView(), stops: map[*server][]uint64{},
		serversByLabel: map[string][]*server{}, rackWaits: map[string]*rackWaits{}, rackAhead: map[string]int64{},
		claimsDue: map[*server]*structs.JobClaims{},
		cancelled: newCancellations(), crashes: newCrashHistory(), quarantines: newQuarantines(), demand: rackdemand.NewGateway(),
	}
}

// advance moves the clock forward. A gap between calls means that the process was paused. Meanwhile the agents have
// stopped this gateway's tasks, and callers have left. All links are closed, so that nothing is placed on outdated
// information.
func (s *Scheduler) advance(now time.Duration) {
	if now-s.now > structs.PauseThreshold {
		s.log(LogEntry{Message: "process was paused", Detail: (now - s.now).String()})
		s.now = now
		for _, srv := range s.sortedServers {
			if srv.linked {
				s.Unlinked(now, srv.id)
				s.actions = append(s.actions, CloseLink{Agent: srv.id})
			}
		}
		s.awaitLinks()
	}
	s.now = max(s.now, now)
}

func (s *Scheduler) log(e LogEntry) { s.actions = append(s.actions, e) }

// WaitingJobs returns the number of queued jobs of a route, without those that may have run.
func (s *Scheduler) WaitingJobs(route string) int {
	count := 0
	for _, j := range s.queue {
		if j.route.Name == route && !j.mayHaveRun {
			count++
		}
	}
	return count
}

// HasJob reports whether a job is known: queued, running or being stopped.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil }

// KnownServers returns the number of servers, with and without a link.
func (s *Scheduler) KnownServers() int { return len(s.sortedServers) }

// HasUsableServer reports whether any server accepts tasks.
func (s *Scheduler) HasUsableServer() bool { return slices.ContainsFunc(s.sortedServers, s.usable) }

// UsableServers returns the number of servers that accept tasks.
func (s *Scheduler) UsableServers() int {
	count := 0
	for _, srv := range s.sortedServers {
		if s.usable(srv) {
			count++
		}
	}
	return count
}

// SetGatewayAddresses sets the link addresses of the live gateways. The scheduler sends them to the agents.
func (s *Scheduler) SetGatewayAddresses(addresses []string) {
	if slices.Equal(s.gatewayAddresses, addresses) {
		return
	}
	s.gatewayAddresses, s.addressesChangedAt = addresses, s.now
	s.addressVersion++
}

// Submit handles a request to run a job. A request for a job that is known already joins it.
func (s *Scheduler) Submit(now time.Duration, in Submission) {
	s.advance(now)
	if s.cancelled.has(s.now, in.Job.ID) {
		s.answerCancelled(in)
		return
	}
	if known := s.jobs[in.Job.ID]; known != nil {
		s.join(known, in)
		return
	}
	j := &job{
		spec: in.Job, route: in.Route, waiters: []Waiter{in.Waiter}, arrival: s.now, deadline: s.now + in.Timeout, openEnded: in.OpenEnded,
	}
	for i, spec := range in.Job.Steps {
		j.steps = append(j.steps, s.newStep(j, i, spec))
	}
	j.due = s.now + millis(j.route.Stretch*j.longestChain()) + j.route.TargetLatency
	s.jobs[in.Job.ID] = j
	s.deadlines.schedule(j)
	if s.crashes.byJob[in.Job.ID] > 0 {
		j.mayHaveRun = true
		if _, guilty := s.crashes.guilty[in.Job.ID]; guilty {
			s.beginQuarantine(j.route, "job "+in.Job.ID+" crashed "+s.crashes.evidence(in.Job.ID))
			s.giveUp(j)
			return
		}
	}
	j.claim.hash, j.claim.submittedAt = xxhash.Sum64String(in.Job.ID), s.now-in.Age
	s.requestClaim(j, false)
	s.measureRackDemand(j)
	s.enqueue(j)
}

// longestChain returns the expected run time in milliseconds of the longest chain of steps on average servers. It
// also sets the remaining time of each step.
func (j *job) longestChain() float64 {
	longest := 0.0
	rest := make([]float64, len(j.steps))
	for i := len(j.steps) - 1; i >= 0; i-- {
		st := j.steps[i]
		j.hasDependencies = j.hasDependencies || len(st.spec.After) > 0
		longest = max(longest, st.work+rest[i])
		for _, before := range st.spec.After {
			rest[before] = max(rest[before], st.work+rest[i])
			j.steps[before].remaining = max(j.steps[before].remaining, millis(st.work)+st.model.expectedWait()+st.remaining)
		}
	}
	return longest
}

// join adds a request to a known job. If the job is being stopped, the request is submitted again once the placements
// of the job have ended.
func (s *Scheduler) join(j *job, in Submission) {
	if j.ended {
		j.resubmissions = append(j.resubmissions, resubmission{Submission: in, deadline: s.now + in.Timeout})
		s.deadlines.schedule(j)
		return
	}
	j.waiters = append(j.waiters, in.Waiter)
	j.deadline = max(j.deadline, s.now+in.Timeout)
	j.openEnded = j.openEnded || in.OpenEnded
	j.claim.submittedAt = max(j.claim.submittedAt, s.now-in.Age)
	s.deadlines.schedule(j)
}

func (s *Scheduler) newStep(j *job, number int, spec structs.StepSpec) *step {
	st := &step{number: number, spec: spec, incomplete: spec.Count, pending: spec.Count}
	st.model = s.modelOf(j.route.Name + "/" + strconv.Itoa(number))
	st.work = st.model.predict(spec.Estimate)
	if spec.MaxPerServer > 0 {
		st.perServer = map[*server]int{}
	}
	for i := range spec.Count {
		st.tasks = append(st.tasks, &task{job: j, step: number, index: i, nextRun: 1})
	}
	return st
}

// modelOf returns the run time model of a step of a route, named "route/step". It creates a model at first use.
func (s *Scheduler) modelOf(name string) *runTimeModel {
	m := s.models[name]
	if m == nil {
		m = &runTimeModel{}
		s.models[name] = m
	}
	return m
}

// enqueue inserts a job into the queue, ordered by priority and then arrival, unless it is there.
func (s *Scheduler) enqueue(j *job) {
	at, found := slices.BinarySearchFunc(s.queue, j, compareJobs)
	if !found {
		s.queue = slices.Insert(s.queue, at, j)
	}
}

func compareJobs(a, b *job) int {
	if c := cmp.Compare(a.route.Priority, b.route.Priority); c != 0 {
		return c
	}
	if c := cmp.Compare(a.arrival, b.arrival); c != 0 {
		return c
	}
	return cmp.Compare(a.spec.ID, b.spec.ID)
}

func (s *Scheduler) dequeue(j *job) {
	if at, found := slices.BinarySearchFunc(s.queue, j, compareJobs); found {
		s.queue = slices.Delete(s.queue, at, at+1)
	}
}

// CallerLeft handles the departure of a caller. A job without callers is stopped.
func (s *Scheduler) CallerLeft(now time.Duration, id string, waiter Waiter) {
	s.advance(now)
	j := s.jobs[id]
	if j == nil {
		return
	}
	for i, resubmitted := range j.resubmissions {
		if resubmitted.Waiter == waiter {
			j.resubmissions = slices.Delete(j.resubmissions, i, i+1)
			s.deadlines.schedule(j)
			return
		}
	}
	at := slices.Index(j.waiters, waiter)
	if at < 0 {
		return
	}
	j.waiters = slices.Delete(j.waiters, at, at+1)
	if len(j.waiters) == 0 && !j.ended {
		s.end(j, OutcomeLost, ReasonCallerLeft, 0)
	}
}

// end ends a job: it emits the answer and stops all placements. The job stays known until these have ended, so that
// a second submission cannot overlap with them.
func (s *Scheduler) end(j *job, outcome Outcome, reason string, retryAfter time.Duration) {
	j.ended = true
	s.dequeue(j)
	s.deadlines.schedule(j)
	if outcome == OutcomeRefused && (j.mayHaveRun || j.placed > 0) {
		outcome = OutcomeLost
	}
	s.actions = append(s.actions, Answer{
		Waiters: j.waiters, Job: j.spec.ID, Outcome: outcome, Reason: reason, RetryAfter: retryAfter, Summary: s.summarize(j),
	})
	j.waiters = nil
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.state == placed {
				s.stop(t)
			}
		}
	}
	s.removeIfEnded(j)
}

// removeIfEnded removes an ended job without placements and submits the resubmissions that arrived meanwhile.
func (s *Scheduler) removeIfEnded(j *job) {
	if !j.ended || j.placed > 0 {
		return
	}
	delete(s.jobs, j.spec.ID)
	s.deadlines.remove(j)
	s.releaseClaims(j)
	for _, resubmitted := range j.resubmissions {
		resubmitted.Timeout = resubmitted.deadline - s.now
		s.Submit(s.now, resubmitted.Submission)
	}
}

func (s *Scheduler) summarize(j *job) JobSummary {
	summary := JobSummary{
		Route: j.route.Name, Age: s.now - j.arrival, Placed: j.placed, Servers: s.UsableServers(), Objective: j.due - j.arrival,
	}
	for _, st := range j.steps {
		summary.Tasks += len(st.tasks)
		summary.Done += len(st.tasks) - st.incomplete
		summary.ExpectedRunTime = max(summary.ExpectedRunTime, millis(st.work))
	}
	return summary
}

// stop asks the agent to stop a placement, once.
func (s *Scheduler) stop(t *task) {
	if t.stopping {
		return
	}
	t.stopping = true
	s.stops[t.server] = append(s.stops[t.server], t.id)
}

// Linked handles a new link with an agent. The next Flush sends the agent the tasks that it should have.
func (s *Scheduler) Linked(now time.Duration, id structs.AgentID) {
	s.advance(now)
	srv := s.servers[id]
	if srv == nil {
		srv = &server{
			id: id, slowness: 1, tasks: map[uint64]*task{}, fullUntil: map[int]time.Duration{}, hash: xxhash.Sum64String(string(id)),
		}
		s.arbiters = s.arbiters.insert(srv)
		s.servers[id], s.serverFoundAt = srv, s.now
		s.sortedServers = insertServer(s.sortedServers, srv)
		s.serversByZone[srv.report.Zone] = insertServer(s.serversByZone[srv.report.Zone], srv)
	}
	s.unlinked = removeServer(s.unlinked, srv)
	if !slices.Contains(s.resumes, srv) {
		s.resumes = append(s.resumes, srv)
	}
	srv.linked, srv.linkedAt, srv.tasksEndBy = true, s.now, 0
	srv.resources, srv.unacknowledged = structs.ResourceReport{}, nil
	srv.report.Open = false
	srv.placesAlone, srv.relaysCancellings, srv.keepsClaims, srv.probe = false, false, false, nil
	s.setSlowness(srv, 0)
}

// HandleFeatures handles which optional messages an agent understands.
func (s *Scheduler) HandleFeatures(now time.Duration, id structs.AgentID, in *structs.Features) {
	s.advance(now)
	if srv := s.servers[id]; srv != nil {
		srv.placesAlone = in.PlaceAlone
	}
}

func compareServers(a, b *server) int { return cmp.Compare(a.id, b.id) }

func insertServer(servers []*server, srv *server) []*server {
	at, _ := slices.BinarySearchFunc(servers, srv, compareServers)
	return slices.Insert(servers, at, srv)
}

func removeServer(servers []*server, srv *server) []*server {
	return slices.DeleteFunc(servers, func(other *server) bool { return other == srv })
}

// markChanged notes that a server may have become suitable for waiting jobs.
func (s *Scheduler) markChanged(srv *server) {
	if !srv.changed {
		srv.changed = true
		s.changed = append(s.changed, srv)
	}
}

func (s *Scheduler) setSlowness(srv *server, logSlowness float64) {
	srv.logSlowness = min(max(logSlowness, -maxLogSlowness), maxLogSlowness)
	srv.slowness = math.Exp(srv.logSlowness)
	s.fastest = 0
	s.markChanged(srv)
}

// Unlinked handles the end of the link with an agent. Its tasks are placed elsewhere once they have certainly ended.
func (s *Scheduler) Unlinked(now time.Duration, id structs.AgentID) {
	s.advance(now)
	if srv := s.servers[id]; srv != nil && srv.linked {
		srv.linked, srv.unlinkedAt, s.usabilityChanged = false, s.now, true
		s.arbiterLost(srv)
		s.serverChanged()
		s.unlinked = insertServer(s.unlinked, srv)
		lease := time.Duration(structs.ClockDriftFactor * float64(s.options.RunLease))
		srv.tasksEndBy = max(s.now+structs.GatewayTimeout, srv.unsettledUntil) + lease
		s.log(LogEntry{Message: "agent disconnected", Agent: id, Detail: "tasks " + strconv.Itoa(len(srv.tasks))})
	}
}

// maxUnsettled bounds the time that an agent may report with CallsUnsettled.
const maxUnsettled = 30 * time.Second

// HandleCallsUnsettled handles an agent's report about calls to its server without an answer. Until they are settled, a run at a lost
// agent may start or go on.
func (s *Scheduler) HandleCallsUnsettled(now time.Duration, id structs.AgentID, in *structs.CallsUnsettled) {
	s.advance(now)
	if srv := s.servers[id]; srv != nil {
		srv.unsettledUntil = s.now + min(max(in.For, 0), maxUnsettled)
	}
}

// HandleServerReport handles an agent's description of its backend server.
func (s *Scheduler) HandleServerReport(now time.Duration, id structs.AgentID, in *structs.ServerReport) {
	s.advance(now)
	srv := s.servers[id]
	if srv == nil {
		return
	}
	if srv.report.Open != in.Open {
		s.serverChanged()
		s.log(LogEntry{Message: "server report", Agent: id, Detail: "open=" + strconv.FormatBool(in.Open) + " " + in.Reason})
	}
	if srv.report.Zone != in.Zone {
		s.serversByZone[srv.report.Zone] = removeServer(s.serversByZone[srv.report.Zone], srv)
		s.serversByZone[in.Zone] = insertServer(s.serversByZone[in.Zone], srv)
	}
	s.indexLabels(srv, srv.report.Labels, in.Labels)
	s.usabilityChanged = true
	srv.report = *in
	s.markChanged(srv)
}

// HandleServerHealth handles what an agent has learned about its server.
func (s *Scheduler) HandleServerHealth(now time.Duration, id structs.AgentID, in *structs.ServerHealth) {
	s.advance(now)
	if srv := s.servers[id]; srv != nil && !math.IsNaN(in.LogSlowness) {
		s.setSlowness(srv, in.LogSlowness)
	}
}

// HandleResourceReport handles an agent's report of its free and queued resources.
func (s *Scheduler) HandleResourceReport(now time.Duration, id structs.AgentID, in *structs.ResourceReport) {
	s.advance(now)
	srv := s.servers[id]
	if srv == nil {
		return
	}
	srv.resources = *in
	kept := srv.unacknowledged[:0]
	for _, sent := range srv.unacknowledged {
		if sent.seq > in.Ack {
			kept = append(kept, sent)
		}
	}
	srv.unacknowledged = kept
	s.markChanged(srv)
}

// HandlePlacementEvents handles an agent's events about placed tasks. Events of placements that the scheduler no
// longer has there are ignored.
func (s *Scheduler) HandlePlacementEvents(now time.Duration, id structs.AgentID, in *structs.PlacementEvents) {
	s.advance(now)
	for _, e := range in.Events {
		t := s.tasks[e.ID]
		if t == nil || t.server == nil || t.server.id != id {
			continue
		}
		s.handleEvent(t, e)
	}
}

// handleEvent handles one event of a placed task. All events except reports of stragglers end the placement.
func (s *Scheduler) handleEvent(t *task, e structs.PlacementEvent) {
	if e.Kind == structs.PlacementStraggling {
		s.handleStraggler(t, e)
		return
	}
	srv, j, st := t.server, t.job, t.job.steps[t.step]
	if e.Kind != structs.PlacementDone {
		s.log(LogEntry{
			Message: MessageReturned, Job: j.spec.ID, Agent: srv.id, Server: srv.report.Server, Tasks: 1, Age: s.now - j.arrival,
			Detail: e.Kind.String() + " task " + strconv.Itoa(t.step) + "." + strconv.Itoa(t.index) + " run " +
				strconv.FormatUint(uint64(e.Run), 10),
		})
	}
	s.unplace(t)
	t.nextRun = max(t.nextRun, e.Run+1)
	switch e.Kind {
	case structs.PlacementNoResources, structs.PlacementClosed, structs.PlacementWithdrawn:
	default:
		j.mayHaveRun = true
		s.claimBeforeRetry(j, e.Kind)
		if st.spec.Rack != "" {
			s.countRackRun(t, e.Kind == structs.PlacementDone)
			t.near = nearWait{} // the time of a run that is repeated is no wait
		}
	}
	switch e.Kind {
	case structs.PlacementDone:
		t.state = done
		s.recordRunTime(t, srv, st, e)
		s.observeCompleted(j, st, e.RunTime)
		if st.spec.Rack != "" {
			s.observeAgentWait(t, st, e.RunTime)
		}
		s.observeUsage(j.route.Name, st.spec.Need, e.RunTime)
		s.taskDone(j, st)
	case structs.PlacementFailed:
		s.taskFailed(t, srv)
	case structs.PlacementUnhealthy:
		t.avoidServer = srv
	case structs.PlacementNoResources:
		srv.fullUntil[j.route.Priority] = s.now + noResourcesPause
		if st.spec.Rack != "" {
			s.observeAgentWait(t, st, 0)
		}
	default:
	}
	if j.ended {
		s.removeIfEnded(j)
		return
	}
	if t.state == pending {
		st.pending++
		j.nextScan = 0
		s.enqueue(j)
	}
}

// unplace ends the placement of a task.
func (s *Scheduler) unplace(t *task) {
	delete(s.tasks, t.id)
	delete(t.server.tasks, t.id)
	if limit := t.job.steps[t.step].perServer; limit != nil {
		limit[t.server]--
	}
	t.job.placed--
	t.state, t.server, t.stopping, t.straggler = pending, nil, false, false
}

// recordRunTime updates the model of the step with a completed run of task t on server srv.
func (s *Scheduler) recordRunTime(t *task, srv *server, st *step, e structs.PlacementEvent) {
	if e.RunTime <= 0 {
		return
	}
	st.longestRun = max(st.longestRun, e.RunTime)
	st.completedTasks++
	nearRunTime := s.nearRunTime(t, e.RunTime)
	st.meanWork += (nearRunTime.Seconds()*1000/srv.slowness - st.meanWork) / st.completedTasks
	st.model.observe(nearRunTime, srv.logSlowness, st.spec.Estimate)
}

// nearRunTime returns how long a run of a task would have taken on the same server within the rack of its data. The
// models learn this time: with the time of off-rack runs, the objectives of jobs that name a rack would become too long
// and further off-rack starts would seem to be in time.
func (s *Scheduler) nearRunTime(t *task, runTime time.Duration) time.Duration {
	if !t.offRack {
		return runTime
	}
	return time.Duration(float64(runTime) / s.options.OffRackFactor)
}

// taskDone handles the completion of a task. After the last task of a step, dependent steps may start or the job has
// completed.
func (s *Scheduler) taskDone(j *job, st *step) {
	st.incomplete--
	if j.ended || st.incomplete > 0 {
		return
	}
	if len(st.spec.After) > 0 {
		st.model.observeWait(s.now - st.readyAt - st.longestRun)
	}
	complete := true
	for _, other := range j.steps {
		if other.incomplete == 0 {
			continue
		}
		complete = false
		if slices.Contains(other.spec.After, st.number) {
			other.readyAt = s.now
		}
	}
	if !complete {
		j.nextScan = 0
		s.enqueue(j) // a step may have become ready
		return
	}
	s.end(j, OutcomeCompleted, "complete", 0)
}

// taskFailed handles a failed run. The task is tried on another server, and the job fails after as many failures as its
// route allows.
func (s *Scheduler) taskFailed(t *task, srv *server) {
	t.failures++
	t.avoidServer = srv
	if t.failures >= t.job.route.MaxAttempts && !t.job.ended {
		s.end(t.job, OutcomeFailed, "task failed", 0)
	}
}

// handleStraggler moves a task that takes much longer than expected to a server where it is expected to end sooner.
// After the first report of a run that makes progress it waits for the next: by then other tasks of the step may show
// that the whole job takes long.
func (s *Scheduler) handleStraggler(t *task, e structs.PlacementEvent) {
	srv, st := t.server, t.job.steps[t.step]
	// If the agent has meanwhile found that its server has turned slow, the task needs no second report.
	slowed := srv.logSlowness-t.placedSlowness > slowedServer
	first := !t.straggler && e.Remaining < structs.StalledRemaining && !slowed
	t.straggler = true
	if e.Remaining < structs.StalledRemaining {
		if st.stragglerWork == nil {
			st.stragglerWork = map[*server]float64{}
		}
		st.stragglerWork[srv] = s.nearRunTime(t, e.RunTime+e.Remaining).Seconds() * 1000 / srv.slowness
	}
	if first || t.stopping || t.job.ended || t.moves >= maxMoves {
		return
	}
	c := s.chooseServer(t.job, st, t, srv, true)
	if c.server == nil || c.wait > 0 {
		return
	}
	runTimeElsewhere := time.Duration(float64(c.run) * st.expectedWork(srv, e) / st.work)
	if runTimeElsewhere+minMoveGain >= e.Remaining {
		return
	}
	t.moves++
	t.avoidServer = srv
	s.log(LogEntry{
		Message: MessageMoved, Job: t.job.spec.ID, Agent: srv.id,
		Detail: "rest " + e.Remaining.String() + " there " + runTimeElsewhere.String(),
	})
	s.stop(t)
}

// expectedWork returns the expected run time in milliseconds on an average server of a straggler on server srv. It is
// based on the completed tasks of the step, or else on stragglers on other servers. Without either, the task may be
// long or the server slow: the result is the geometric mean of the estimate and of what the run suggests, or the
// estimate alone if the run makes no progress.
func (st *step) expectedWork(srv *server, e structs.PlacementEvent) float64 {
	if st.completedTasks > 0 {
		return st.meanWork
	}
	elsewhere := 0.0
	for other, work := range st.stragglerWork {
		if other != srv && (elsewhere == 0 || work < elsewhere) {
			elsewhere = work
		}
	}
	switch {
	case elsewhere > 0:
		return elsewhere
	case e.Remaining >= structs.StalledRemaining:
		return st.work
	}
	return math.Sqrt(st.work * st.stragglerWork[srv])
}
