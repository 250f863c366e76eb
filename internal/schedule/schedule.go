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
	// run is the lowest number for the next run, failures the number of failed runs.
	run      uint32
	failures int
	// id and server name the placement.
	id     uint64
	server *server
	// stopping is set after a Stop of the placement.
	stopping bool
	moves    int
	// lagged is set by the first report that the placement lags.
	lagged bool
	// avoid is the server of the last failed or lagging run.
	avoid *server
}

type step struct {
	number int
	spec   structs.StepSpec
	kind   *kind
	// work is the expected run time of a task in milliseconds on an average server.
	work float64
	// after is the expected time from the end of the step to that of the job: the longest chain of steps after it.
	after time.Duration
	// readyAt is when the steps before it had completed, longest the longest run of a task that has completed.
	readyAt time.Duration
	longest time.Duration
	// seen is the same as the average of the seenTasks tasks that have completed.
	seen      float64
	seenTasks float64
	// lags is the work of a task as its lagging runs suggest, by server.
	lags  map[*server]float64
	tasks []*task
	// open is the number of tasks that have not completed, pending those that wait for a server.
	open    int
	pending int
	// perServer counts the placed tasks of a step with a limit.
	perServer map[*server]int
}

type job struct {
	spec    *structs.JobSpec
	route   structs.Route
	waiters []Waiter
	arrival time.Duration
	// due is when an answer meets the objective, limit when it is of no use to the caller any more.
	due   time.Duration
	limit time.Duration
	steps []*step
	// chained is set if a step comes after another.
	chained bool
	// mayHaveRun is set once an agent has not proved that a placed task did not start. A refusal as not run would then
	// not be true.
	mayHaveRun bool
	placed     int
	ended      bool
	// again holds submissions of the same job that came while it was being stopped.
	again []laterSubmission
}

// laterSubmission waits for the end of an earlier sending of its job. limit is when its caller leaves.
type laterSubmission struct {
	Submission
	limit time.Duration
}

// server is an agent with its backend server.
type server struct {
	id     structs.AgentID
	report structs.ServerReport
	linked bool
	lostAt time.Duration // when its tasks have certainly ended, 0 while linked
	// unlinkedAt is when the last link ended.
	unlinkedAt time.Duration
	sentAt     time.Duration
	seq        uint64
	room       structs.ResourceReport
	sent       []sentRoom // placements that the report does not include
	tasks      map[uint64]*task
	speed      speed
	failures   int
	failedIn   map[string]bool
	probeAt    time.Duration
	// fullTo is until when tasks of a priority do not wait there, since one came back for lack of room.
	fullTo   map[int]time.Duration
	refusals int
	pausedTo time.Duration
	resume   bool
	// told is the version of the members that the agent has been sent on this link.
	told uint64
}

type sentRoom struct {
	seq      uint64
	priority int
	need     structs.Resources
}

// Scheduler is the state machine of one gateway. It is not safe for concurrent use.
type Scheduler struct {
	options  Options
	now      time.Duration
	servers  map[structs.AgentID]*server
	order    []*server
	kinds    map[string]*kind
	jobs     map[string]*job
	queue    []*job // jobs with pending tasks, in their order
	tasks    map[uint64]*task
	nextID   uint64
	zonesOut map[string]bool
	members  []string
	// membersVersion counts the changes of members. A list for each beat would grow with the square of the gateways: with 100
	// it was 875 kB/s at an agent.
	membersVersion uint64
	revision       uint64
	actions        []Action
	// places collects the placements of a Flush.
	places []Send
	stops  map[*server][]uint64
}

// New returns a scheduler without servers.
func New(now time.Duration, options Options) *Scheduler {
	if options.OffRackFactor < 1 {
		options.OffRackFactor = 1
	}
	return &Scheduler{
		options: options, now: now,
		servers: map[structs.AgentID]*server{}, kinds: map[string]*kind{}, jobs: map[string]*job{},
		tasks: map[uint64]*task{}, zonesOut: map[string]bool{}, stops: map[*server][]uint64{},
	}
}

// advance lets time pass. A gap in the calls means that the process was frozen: the agents have stopped its tasks, and
// callers have left. All links must begin anew, so that nothing is placed before that is known.
func (s *Scheduler) advance(now time.Duration) {
	if now-s.now > structs.PauseThreshold {
		s.note(LogEntry{Message: "was frozen", Detail: (now - s.now).String()})
		s.now = now
		for _, v := range s.order {
			if v.linked {
				s.Unlinked(now, v.id)
				s.actions = append(s.actions, CloseLink{Agent: v.id})
			}
		}
	}
	s.now = max(s.now, now)
}

func (s *Scheduler) note(n LogEntry) { s.actions = append(s.actions, n) }

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

// KnownServers returns the number of servers that are known, with and without a link.
func (s *Scheduler) KnownServers() int { return len(s.order) }

// UsableServers returns the number of servers that take work.
func (s *Scheduler) UsableServers() int {
	count := 0
	for _, v := range s.order {
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

// SetGatewayAddresses sets the link addresses of the live gateways, which agents are told.
func (s *Scheduler) SetGatewayAddresses(members []string) {
	if slices.Equal(s.members, members) {
		return
	}
	s.members = members
	s.membersVersion++
}

// Submit takes a caller's request.
func (s *Scheduler) Submit(now time.Duration, in Submission) {
	s.advance(now)
	if known := s.jobs[in.Job.ID]; known != nil {
		s.join(known, in)
		return
	}
	j := &job{
		spec: in.Job, route: in.Route, waiters: []Waiter{in.Waiter}, arrival: s.now, limit: s.now + in.Timeout,
	}
	for i, spec := range in.Job.Steps {
		j.steps = append(j.steps, s.newStep(j, i, spec))
	}
	j.due = s.now + ms(j.route.Stretch*j.chain()) + j.route.TargetLatency
	s.jobs[in.Job.ID] = j
	s.enqueue(j)
}

// chain returns the expected run time in milliseconds of the longest chain of steps on average servers, and sets what comes
// after each step.
func (j *job) chain() float64 {
	longest := 0.0
	rest := make([]float64, len(j.steps))
	for i := len(j.steps) - 1; i >= 0; i-- {
		st := j.steps[i]
		j.chained = j.chained || len(st.spec.After) > 0
		longest = max(longest, st.work+rest[i])
		for _, before := range st.spec.After {
			rest[before] = max(rest[before], st.work+rest[i])
			j.steps[before].after = max(j.steps[before].after, ms(st.work)+st.kind.wait()+st.after)
		}
	}
	return longest
}

// join adds a request to a job that is known. One that is being stopped runs again once it has ended.
func (s *Scheduler) join(j *job, in Submission) {
	if j.ended {
		j.again = append(j.again, laterSubmission{Submission: in, limit: s.now + in.Timeout})
		return
	}
	j.waiters = append(j.waiters, in.Waiter)
	j.limit = max(j.limit, s.now+in.Timeout)
}

func (s *Scheduler) newStep(j *job, number int, spec structs.StepSpec) *step {
	st := &step{number: number, spec: spec, open: spec.Count, pending: spec.Count}
	st.kind = s.kindOf(j.route.Name + "/" + strconv.Itoa(number))
	st.work = st.kind.predict(spec.Estimate)
	if spec.MaxPerServer > 0 {
		st.perServer = map[*server]int{}
	}
	for i := range spec.Count {
		st.tasks = append(st.tasks, &task{job: j, step: number, index: i, run: 1})
	}
	return st
}

func (s *Scheduler) kindOf(name string) *kind {
	k := s.kinds[name]
	if k == nil {
		k = &kind{}
		s.kinds[name] = k
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

func (s *Scheduler) unqueue(j *job) {
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
	for i, again := range j.again {
		if again.Waiter == waiter {
			j.again = slices.Delete(j.again, i, i+1)
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
	s.unqueue(j)
	if outcome == OutcomeRefused && (j.mayHaveRun || j.placed > 0) {
		outcome = OutcomeLost
	}
	s.actions = append(s.actions, Answer{
		Waiters: j.waiters, Job: j.spec.ID, Outcome: outcome, Reason: reason, RetryAfter: retryAfter, Summary: s.facts(j),
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
	for _, again := range j.again {
		again.Timeout = again.limit - s.now
		s.Submit(s.now, again.Submission)
	}
}

func (s *Scheduler) facts(j *job) JobSummary {
	f := JobSummary{
		Route: j.route.Name, Age: s.now - j.arrival, Placed: j.placed, Servers: s.UsableServers(), Objective: j.due - j.arrival,
	}
	for _, st := range j.steps {
		f.Tasks += len(st.tasks)
		f.Done += len(st.tasks) - st.open
		f.ExpectedRunTime = max(f.ExpectedRunTime, ms(st.work))
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
			id: id, tasks: map[uint64]*task{}, failedIn: map[string]bool{}, fullTo: map[int]time.Duration{},
		}
		s.servers[id] = v
		at, _ := slices.BinarySearchFunc(s.order, v, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
		s.order = slices.Insert(s.order, at, v)
	}
	v.linked, v.lostAt, v.resume = true, 0, true
	v.room, v.sent = structs.ResourceReport{}, nil
	v.report.Open = false
}

// Unlinked says that the link with an agent has ended. Its tasks go elsewhere once they have certainly ended.
func (s *Scheduler) Unlinked(now time.Duration, id structs.AgentID) {
	s.advance(now)
	if v := s.servers[id]; v != nil && v.linked {
		v.linked, v.unlinkedAt = false, s.now
		lease := time.Duration(structs.ClockDriftFactor * float64(s.options.RunLease))
		v.lostAt = s.now + structs.GatewayTimeout + lease
		s.note(LogEntry{Message: "agent unlinked", Agent: id, Detail: "tasks " + strconv.Itoa(len(v.tasks))})
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
		v.speed, v.failures, v.failedIn, v.pausedTo = speed{}, 0, map[string]bool{}, 0
	}
	if v.report.Open != in.Open {
		s.note(LogEntry{Message: "server report", Agent: id, Detail: "open=" + strconv.FormatBool(in.Open) + " " + in.Reason})
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
	v.room = *in
	kept := v.sent[:0]
	for _, sent := range v.sent {
		if sent.seq > in.Ack {
			kept = append(kept, sent)
		}
	}
	v.sent = kept
}

// HandlePlacementEvents takes an agent's events.
func (s *Scheduler) HandlePlacementEvents(now time.Duration, id structs.AgentID, in *structs.PlacementEvents) {
	s.advance(now)
	for _, e := range in.Events {
		t := s.tasks[e.ID]
		if t == nil || t.server == nil || t.server.id != id {
			continue
		}
		s.event(t, e)
	}
}

func (s *Scheduler) event(t *task, e structs.PlacementEvent) {
	if e.Kind == structs.PlacementStraggling {
		s.lagging(t, e)
		return
	}
	v, j, st := t.server, t.job, t.job.steps[t.step]
	if e.Kind != structs.PlacementDone {
		s.note(LogEntry{
			Message: MessageReturned, Job: j.spec.ID, Agent: v.id, Server: v.report.Server, Tasks: 1, Age: s.now - j.arrival,
			Detail: e.Kind.String() + " task " + strconv.Itoa(t.step) + "." + strconv.Itoa(t.index) + " run " +
				strconv.FormatUint(uint64(e.Run), 10),
		})
	}
	s.unplace(t)
	t.run = max(t.run, e.Run+1)
	switch e.Kind {
	case structs.PlacementNoResources, structs.PlacementClosed, structs.PlacementWithdrawn:
	default:
		j.mayHaveRun = true
	}
	switch e.Kind {
	case structs.PlacementDone:
		t.state = done
		s.learn(v, st, e)
		s.succeeded(v)
		s.taskDone(j, st)
	case structs.PlacementFailed:
		s.taskFailed(t, v)
	case structs.PlacementUnhealthy:
		v.refusals++
		pause := min(unhealthyPause<<min(v.refusals-1, 10), unhealthyPauseMax)
		v.pausedTo = s.now + pause
		t.avoid = v
	case structs.PlacementNoResources:
		v.fullTo[j.route.Priority] = s.now + noRoomPause
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
	t.state, t.server, t.stopping, t.lagged = pending, nil, false, false
}

func (s *Scheduler) learn(v *server, st *step, e structs.PlacementEvent) {
	if e.RunTime <= 0 {
		return
	}
	st.longest = max(st.longest, e.RunTime)
	st.seenTasks++
	st.seen += (e.RunTime.Seconds()*1000/v.speed.factor() - st.seen) / st.seenTasks
	average := st.kind.predict(st.spec.Estimate)
	st.kind.observe(e.RunTime, v.speed.slow, st.spec.Estimate)
	v.speed.observe(e.RunTime, average)
}

func (s *Scheduler) succeeded(v *server) {
	if v.failures >= breakerFailures {
		s.note(LogEntry{Message: "server works again", Agent: v.id})
	}
	v.failures, v.refusals = 0, 0
	clear(v.failedIn)
}

func (s *Scheduler) taskDone(j *job, st *step) {
	st.open--
	if j.ended || st.open > 0 {
		return
	}
	if len(st.spec.After) > 0 {
		st.kind.observeWait(s.now - st.readyAt - st.longest)
	}
	complete := true
	for _, other := range j.steps {
		if other.open == 0 {
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
	t.avoid = v
	if !v.failedIn[t.job.spec.ID] {
		v.failedIn[t.job.spec.ID] = true
		v.failures++
		if v.failures == breakerFailures {
			s.note(LogEntry{Message: "server fails what it starts", Agent: v.id, Job: t.job.spec.ID})
		}
		v.probeAt = s.now + probeInterval
	}
	if t.failures >= t.job.route.MaxAttempts && !t.job.ended {
		s.end(t.job, OutcomeFailed, "task failed", 0)
	}
}

// lagging moves a task that takes much longer than expected to a server on which it is expected to end sooner. The first
// report of a run with progress is only noted: until the next one the other tasks of the step show whether the job is long.
func (s *Scheduler) lagging(t *task, e structs.PlacementEvent) {
	v, st := t.server, t.job.steps[t.step]
	v.speed.observeAtLeast(e.RunTime, st.work)
	first := !t.lagged && e.Remaining < structs.StalledRemaining
	t.lagged = true
	if e.Remaining < structs.StalledRemaining {
		if st.lags == nil {
			st.lags = map[*server]float64{}
		}
		st.lags[v] = (e.RunTime + e.Remaining).Seconds() * 1000 / v.speed.factor()
	}
	if first || t.stopping || t.job.ended || t.moves >= maxMoves {
		return
	}
	c := s.choose(t.job, st, t, v, true)
	if c.server == nil || c.wait > 0 {
		return
	}
	there := time.Duration(float64(c.run) * st.likelyWork(v, e) / st.work)
	if there+moveGain >= e.Remaining {
		return
	}
	t.moves++
	t.avoid = v
	s.note(LogEntry{
		Message: MessageMoved, Job: t.job.spec.ID, Agent: v.id,
		Detail: "rest " + e.Remaining.String() + " there " + there.String(),
	})
	s.stop(t)
}

// likelyWork returns the run time in milliseconds on an average server of a step's task that lags. Completed tasks of the
// step tell it, or tasks that lag elsewhere too; without them the task may be long as well as the server slow, and the
// middle of both is taken.
func (st *step) likelyWork(v *server, e structs.PlacementEvent) float64 {
	if st.seenTasks > 0 {
		return st.seen
	}
	elsewhere := 0.0
	for other, work := range st.lags {
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
	return math.Sqrt(st.work * st.lags[v])
}
