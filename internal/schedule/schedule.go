package schedule

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

type taskState uint8

const (
	pending taskState = iota
	placed
	done
)

type task struct {
	job   *job
	step  int
	index int
	state taskState
	// nextRun is the lowest number for the next nextRun, failures the number of failed runs.
	nextRun  uint32
	failures int
	// id and server name the placement.
	id     uint64
	server *server
	// stopping is set after a Stop of the placement.
	stopping bool
	moves    int
	// straggler is set by the first report that the placement lags.
	straggler bool
	// avoidServer is the server of the last failed or lagging run.
	avoidServer *server
}

type step struct {
	number int
	spec   structs.StepSpec
	model  *runTimeModel
	// work is the expected run time of a task in milliseconds on an average server.
	work float64
	// remaining is the expected time from the end of the step to that of the job: the longest chain of steps remaining it.
	remaining time.Duration
	// readyAt is when the steps before it had completed, longest the longest run of a task that has completed.
	readyAt    time.Duration
	longestRun time.Duration
	// meanWork is the same as the average of the seenTasks tasks that have completed.
	meanWork       float64
	completedTasks float64
	// stragglerWork is the work of a task as its lagging runs suggest, by server.
	stragglerWork map[*server]float64
	tasks         []*task
	// incomplete is the number of tasks that have not completed, pending those that wait for a server.
	incomplete int
	pending    int
	// perServer counts the placed tasks of a step with a limit.
	perServer map[*server]int
}

type job struct {
	spec    *structs.JobSpec
	route   structs.Route
	waiters []Waiter
	arrival time.Duration
	// due is when an answer meets the objective, limit when it is of no use to the caller any more.
	due      time.Duration
	deadline time.Duration
	steps    []*step
	// hasDependencies is set if a step comes after another.
	hasDependencies bool
	// mayHaveRun is set once an agent has not proved that a placed task did not start. A refusal as not run would then
	// not be true.
	mayHaveRun bool
	placed     int
	ended      bool
	// resubmissions holds submissions of the same job that came while it was being stopped.
	resubmissions []resubmission
}

// resubmission waits for the end of an earlier sending of its job. limit is when its caller leaves.
type resubmission struct {
	Submission
	limit time.Duration
}

// server is an agent with its backend server.
type server struct {
	id         structs.AgentID
	report     structs.ServerReport
	linked     bool
	tasksEndBy time.Duration // when its tasks have certainly ended, 0 while linked
	// unlinkedAt is when the last link ended.
	unlinkedAt     time.Duration
	sentAt         time.Duration
	seq            uint64
	resources      structs.RoomReport
	unacknowledged []unacknowledgedPlacement // placements that the report does not include
	tasks          map[uint64]*task
	slowness       slowness
	failures       int
	failedJobs     map[string]bool
	probeAt        time.Duration
	// fullUntil is until when tasks of a priority do not wait there, since one came back for lack of room.
	fullUntil     map[int]time.Duration
	startRefusals int
	pausedUntil   time.Duration
	resumeDue     bool
	// sentAddressesVersion is the version of the members that the agent has been sent on this link.
	sentAddressesVersion uint64
}

type unacknowledgedPlacement struct {
	seq      uint64
	priority int
	need     structs.Resources
}

// Scheduler is the state machine of one gateway. It is not safe for concurrent use.
type Scheduler struct {
	options          Options
	now              time.Duration
	servers          map[structs.AgentID]*server
	sortedServers    []*server
	models           map[string]*runTimeModel
	jobs             map[string]*job
	queue            []*job // jobs with pending tasks, in their order
	tasks            map[uint64]*task
	nextID           uint64
	zonesOut         map[string]bool
	gatewayAddresses []string
	// addressesVersion counts the changes of members. A list for each beat would grow with the square of the gateways: with 100
	// it was 875 kB/s at an agent.
	addressesVersion uint64
	revision         uint64
	actions          []Action
	// placements collects the placements of a Flush.
	placements []Send
	stops      map[*server][]uint64
}

// New returns a scheduler without servers.
func New(now time.Duration, options Options) *Scheduler {
	if options.OffRackFactor < 1 {
		options.OffRackFactor = 1
	}
	return &Scheduler{
		options: options, now: now,
		servers: map[structs.AgentID]*server{}, models: map[string]*runTimeModel{}, jobs: map[string]*job{},
		tasks: map[uint64]*task{}, zonesOut: map[string]bool{}, stops: map[*server][]uint64{},
	}
}

// advance lets time pass. A gap in the calls means that the process was frozen: the agents have stopped its tasks, and
// callers have left. All links must begin anew, so that nothing is placed before that is known.
func (s *Scheduler) advance(now time.Duration) {
	if now-s.now > structs.FreezeGap {
		s.log(Note{Message: "was frozen", Detail: (now - s.now).String()})
		s.now = now
		for _, v := range s.sortedServers {
			if v.linked {
				s.Unlinked(now, v.id)
				s.actions = append(s.actions, CloseLink{Agent: v.id})
			}
		}
	}
	s.now = max(s.now, now)
}

func (s *Scheduler) log(n Note) { s.actions = append(s.actions, n) }

// WaitingJobs returns the number of jobs of a route without a placed task.
func (s *Scheduler) WaitingJobs(route string) int {
	count := 0
	for _, j := range s.queue {
		if j.route.Name == route && !j.mayHaveRun {
			count++
		}
	}
	return count
}

// HasJob reports whether a job has not ended.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil }

// Known returns the number of servers that are known, with and without a link.
func (s *Scheduler) Known() int { return len(s.sortedServers) }

// UsableServers returns the number of servers that take work.
func (s *Scheduler) UsableServers() int {
	count := 0
	for _, v := range s.sortedServers {
		if s.usable(v) {
			count++
		}
	}
	return count
}

// SetZonesOut sets the availability zones in which no task may start.
func (s *Scheduler) SetZonesOut(now time.Duration, zones []string, revision uint64) {
	s.advance(now)
	s.revision = revision
	s.zonesOut = map[string]bool{}
	for _, zone := range zones {
		s.zonesOut[zone] = true
	}
}

// SetMembers sets the link addresses of the live gateways, which agents are told.
func (s *Scheduler) SetMembers(members []string) {
	if slices.Equal(s.gatewayAddresses, members) {
		return
	}
	s.gatewayAddresses = members
	s.addressesVersion++
}

// Submit takes a caller's request.
func (s *Scheduler) Submit(now time.Duration, in Submission) {
	s.advance(now)
	if known := s.jobs[in.Job.ID]; known != nil {
		s.join(known, in)
		return
	}
	j := &job{
		spec: in.Job, route: in.Route, waiters: []Waiter{in.Waiter}, arrival: s.now, deadline: s.now + in.Limit,
	}
	for i, spec := range in.Job.Steps {
		j.steps = append(j.steps, s.newStep(j, i, spec))
	}
	j.due = s.now + millis(j.route.Stretch*j.longestChain()) + j.route.TargetLatency
	s.jobs[in.Job.ID] = j
	s.enqueue(j)
}

// longestChain returns the expected run time in milliseconds of the longest longestChain of steps on average servers, and sets what comes
// after each step.
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

// join adds a request to a job that is known. One that is being stopped runs again once it has ended.
func (s *Scheduler) join(j *job, in Submission) {
	if j.ended {
		j.resubmissions = append(j.resubmissions, resubmission{Submission: in, limit: s.now + in.Limit})
		return
	}
	j.waiters = append(j.waiters, in.Waiter)
	j.deadline = max(j.deadline, s.now+in.Limit)
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

func (s *Scheduler) modelOf(name string) *runTimeModel {
	k := s.models[name]
	if k == nil {
		k = &runTimeModel{}
		s.models[name] = k
	}
	return k
}

// enqueue puts a job in its place in the queue: priority first, then arrival.
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

// CallerLeft says that a caller has gone. The work of a job without callers is stopped.
func (s *Scheduler) CallerLeft(now time.Duration, id string, waiter Waiter) {
	s.advance(now)
	j := s.jobs[id]
	if j == nil {
		return
	}
	for i, again := range j.resubmissions {
		if again.Waiter == waiter {
			j.resubmissions = slices.Delete(j.resubmissions, i, i+1)
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

// Cancel ends a job on the order of a caller and reports whether it was known.
func (s *Scheduler) Cancel(now time.Duration, id string) bool {
	s.advance(now)
	j := s.jobs[id]
	if j == nil {
		return false
	}
	if !j.ended {
		s.end(j, OutcomeFailed, "cancelled", 0)
	}
	return true
}

// end ends a job: its answer goes out at once, its placements are stopped. The job stays known until these are gone, so
// that a second submission does not overlap with them.
func (s *Scheduler) end(j *job, outcome Outcome, reason string, retryAfter time.Duration) {
	j.ended = true
	s.dequeue(j)
	if outcome == OutcomeRefused && (j.mayHaveRun || j.placed > 0) {
		outcome = OutcomeLost
	}
	s.actions = append(s.actions, Answer{
		Waiters: j.waiters, Job: j.spec.ID, Outcome: outcome, Reason: reason, RetryAfter: retryAfter, Facts: s.summarize(j),
	})
	j.waiters = nil
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.state == placed {
				s.stop(t)
			}
		}
	}
	s.forget(j)
}

// forget removes an ended job without placements and runs a submission that came meanwhile.
func (s *Scheduler) forget(j *job) {
	if !j.ended || j.placed > 0 {
		return
	}
	delete(s.jobs, j.spec.ID)
	for _, again := range j.resubmissions {
		again.Limit = again.limit - s.now
		s.Submit(s.now, again.Submission)
	}
}

func (s *Scheduler) summarize(j *job) Facts {
	f := Facts{
		Route: j.route.Name, Age: s.now - j.arrival, Placed: j.placed, Servers: s.Serving(), Objective: j.due - j.arrival,
	}
	for _, st := range j.steps {
		f.Tasks += len(st.tasks)
		f.Done += len(st.tasks) - st.incomplete
		f.Expect = max(f.Expect, millis(st.work))
	}
	return f
}

// stop asks the agent to end a placement.
func (s *Scheduler) stop(t *task) {
	if t.stopping {
		return
	}
	t.stopping = true
	s.stops[t.server] = append(s.stops[t.server], t.id)
}

// Linked says that a link with an agent has begun. The agent is told which tasks are believed to be there.
func (s *Scheduler) Linked(now time.Duration, id structs.AgentID) {
	s.advance(now)
	v := s.servers[id]
	if v == nil {
		v = &server{
			id: id, tasks: map[uint64]*task{}, failedJobs: map[string]bool{}, fullUntil: map[int]time.Duration{},
		}
		s.servers[id] = v
		at, _ := slices.BinarySearchFunc(s.sortedServers, v, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
		s.sortedServers = slices.Insert(s.sortedServers, at, v)
	}
	v.linked, v.tasksEndBy, v.resumeDue = true, 0, true
	v.resources, v.unacknowledged = structs.RoomReport{}, nil
	v.report.Open = false
}

// Unlinked says that the link with an agent has ended. Its tasks go elsewhere once they have certainly ended.
func (s *Scheduler) Unlinked(now time.Duration, id structs.AgentID) {
	s.advance(now)
	if v := s.servers[id]; v != nil && v.linked {
		v.linked, v.unlinkedAt = false, s.now
		lease := time.Duration(structs.LeaseMargin * float64(s.options.RunLease))
		v.tasksEndBy = s.now + structs.GatewaySilence + lease
		s.log(Note{Message: "agent unlinked", Agent: id, Detail: "tasks " + strconv.Itoa(len(v.tasks))})
	}
}

// HandleServerReport takes an agent's description of its server.
func (s *Scheduler) HandleServerReport(now time.Duration, id structs.AgentID, in *structs.ServerReport) {
	s.advance(now)
	v := s.servers[id]
	if v == nil {
		return
	}
	if v.report.Server != in.Server {
		v.slowness, v.failures, v.failedJobs, v.pausedUntil = slowness{}, 0, map[string]bool{}, 0
	}
	if v.report.Open != in.Open {
		s.log(Note{Message: "server report", Agent: id, Detail: "open=" + strconv.FormatBool(in.Open) + " " + in.Reason})
	}
	v.report = *in
}

// HandleResourceReport takes an agent's report of its room.
func (s *Scheduler) HandleResourceReport(now time.Duration, id structs.AgentID, in *structs.ResourceReport) {
	s.advance(now)
	v := s.servers[id]
	if v == nil {
		return
	}
	v.resources = *in
	kept := v.unacknowledged[:0]
	for _, sent := range v.unacknowledged {
		if sent.seq > in.Ack {
			kept = append(kept, sent)
		}
	}
	v.unacknowledged = kept
}

// HandlePlacementEvents takes an agent's events.
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

func (s *Scheduler) handleEvent(t *task, e structs.StartEvent) {
	if e.Kind == structs.StartLagging {
		s.handleStraggler(t, e)
		return
	}
	v, j, st := t.server, t.job, t.job.steps[t.step]
	if e.Kind != structs.StartDone {
		s.log(Note{
			Message: MessageCameBack, Job: j.spec.ID, Agent: v.id, Server: v.report.Server, Tasks: 1, Age: s.now - j.arrival,
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
	}
	switch e.Kind {
	case structs.PlacementDone:
		t.state = done
		s.recordRunTime(v, st, e)
		s.recordSuccess(v)
		s.taskDone(j, st)
	case structs.PlacementFailed:
		s.taskFailed(t, v)
	case structs.StartUnhealthy:
		v.startRefusals++
		pause := min(unhealthyPause<<min(v.startRefusals-1, 10), unhealthyPauseMax)
		v.pausedUntil = s.now + pause
		t.avoidServer = v
	case structs.StartNoRoom:
		v.fullUntil[j.route.Priority] = s.now + noResourcesPause
	default:
	}
	if j.ended {
		s.forget(j)
		return
	}
	if t.state == pending {
		st.pending++
		s.enqueue(j)
	}
}

// unplace takes a task off its server.
func (s *Scheduler) unplace(t *task) {
	delete(s.tasks, t.id)
	delete(t.server.tasks, t.id)
	if limit := t.job.steps[t.step].perServer; limit != nil {
		limit[t.server]--
	}
	t.job.placed--
	t.state, t.server, t.stopping, t.straggler = pending, nil, false, false
}

func (s *Scheduler) recordRunTime(v *server, st *step, e structs.StartEvent) {
	if e.RunTime <= 0 {
		return
	}
	st.longestRun = max(st.longestRun, e.RunTime)
	st.completedTasks++
	st.meanWork += (e.RunTime.Seconds()*1000/v.slowness.factor() - st.meanWork) / st.completedTasks
	average := st.model.predict(st.spec.Estimate)
	st.model.observe(e.RunTime, v.slowness.logFactor, st.spec.Estimate)
	v.slowness.observe(e.RunTime, average)
}

func (s *Scheduler) recordSuccess(v *server) {
	if v.failures >= breakerFailures {
		s.log(Note{Message: "server works again", Agent: v.id})
	}
	v.failures, v.startRefusals = 0, 0
	clear(v.failedJobs)
}

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
		s.enqueue(j) // a step may have become ready
		return
	}
	s.end(j, OutcomeCompleted, "complete", 0)
}

// taskFailed counts a failed run. A server is blamed once for each job, so that one bad job does not open every breaker.
func (s *Scheduler) taskFailed(t *task, v *server) {
	t.failures++
	t.avoidServer = v
	if !v.failedJobs[t.job.spec.ID] {
		v.failedJobs[t.job.spec.ID] = true
		v.failures++
		if v.failures == breakerFailures {
			s.log(Note{Message: "server fails what it starts", Agent: v.id, Job: t.job.spec.ID})
		}
		v.probeAt = s.now + probeInterval
	}
	if t.failures >= t.job.route.MaxAttempts && !t.job.ended {
		s.end(t.job, OutcomeFailed, "task failed", 0)
	}
}

// handleStraggler moves a task that takes much longer than expected to a server on which it is expected to end sooner. The first
// report of a run with progress is only noted: until the next one the other tasks of the step show whether the job is long.
func (s *Scheduler) handleStraggler(t *task, e structs.StartEvent) {
	v, st := t.server, t.job.steps[t.step]
	v.slowness.observeAtLeast(e.RunTime, st.work)
	first := !t.straggler && e.Remaining < structs.NeverEnds
	t.straggler = true
	if e.Remaining < structs.NeverEnds {
		if st.stragglerWork == nil {
			st.stragglerWork = map[*server]float64{}
		}
		st.stragglerWork[v] = (e.RunTime + e.Remaining).Seconds() * 1000 / v.slowness.factor()
	}
	if first || t.stopping || t.job.ended || t.moves >= maxMoves {
		return
	}
	c := s.chooseServer(t.job, st, t, v, true)
	if c.server == nil || c.wait > 0 {
		return
	}
	there := time.Duration(float64(c.run) * st.expectedWork(v, e) / st.work)
	if there+minMoveGain >= e.Remaining {
		return
	}
	t.moves++
	t.avoidServer = v
	s.log(Note{
		Message: MessageMoved, Job: t.job.spec.ID, Agent: v.id,
		Detail: "rest " + e.Remaining.String() + " there " + there.String(),
	})
	s.stop(t)
}

// expectedWork returns the run time in milliseconds on an average server of a step's task that lags. Completed tasks of the
// step tell it, or tasks that lag elsewhere too; without them the task may be long as well as the server slow, and the
// middle of both is taken.
func (st *step) expectedWork(v *server, e structs.StartEvent) float64 {
	if st.completedTasks > 0 {
		return st.meanWork
	}
	elsewhere := 0.0
	for other, work := range st.stragglerWork {
		if other != v && (elsewhere == 0 || work < elsewhere) {
			elsewhere = work
		}
	}
	switch {
	case elsewhere > 0:
		return elsewhere
	case e.Remaining >= structs.StalledRemaining:
		return st.work
	}
	return math.Sqrt(st.work * st.stragglerWork[v])
}
