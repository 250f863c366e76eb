package schedule

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/zonestate"
)

// Flush advances the clock to now, places the tasks that can be placed, and returns the actions since the last call.
func (s *Scheduler) Flush(now time.Duration) []Action {
	s.advance(now)
	s.resumeLinks()
	s.expireUnlinkedServers()
	s.judgeCrashes()
	s.endAtDeadlines()
	s.updateRackDemand()
	s.dispatch()
	s.sendStops()
	s.sendPlaces()
	s.answerProbes()
	s.sendHeartbeats()
	s.sendUrgentZoneState()
	s.sendCancellings()
	s.sendClaims()
	actions := s.actions
	s.actions = nil
	return actions
}

// resumeLinks sends the first message of new links. It lists the tasks that the agent should have.
func (s *Scheduler) resumeLinks() {
	for _, srv := range s.resumes {
		if !srv.linked {
			continue
		}
		message := &structs.Resume{Gateway: s.options.Self, GatewayAddresses: s.gatewayAddresses, Revision: s.revision}
		srv.sentAddressVersion = s.addressVersion
		srv.sentZoneVersion, srv.sentZonesAsOf = 0, zonestate.Unconfirmed
		for _, t := range sortedTasks(srv) {
			message.Tasks = append(message.Tasks, structs.ResumedTask{
				ID: t.id, Job: t.job.spec.ID, Step: t.step, Index: t.index, Run: t.nextRun,
				Need: t.job.steps[t.step].spec.Need,
			})
			if t.stopping {
				s.stops[srv] = append(s.stops[srv], t.id)
			}
		}
		s.send(srv, structs.TypeResume, message)
		for _, route := range slices.Sorted(maps.Keys(s.quarantines.byRoute)) {
			if q := s.quarantines.byRoute[route]; q.active {
				s.send(srv, structs.TypeQuarantine, s.quarantineMessage(q))
			}
		}
	}
	s.resumes = s.resumes[:0]
}

// sortedTasks returns the tasks placed on a server, ordered by placement id.
func sortedTasks(srv *server) []*task {
	tasks := make([]*task, 0, len(srv.tasks))
	for _, t := range srv.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
	return tasks
}

// expireUnlinkedServers ends the placements on unlinked servers whose runs must have ended by now, and removes
// servers that have been unlinked for too long.
func (s *Scheduler) expireUnlinkedServers() {
	for _, srv := range slices.Clone(s.unlinked) {
		if s.now-srv.unlinkedAt > serverRetention {
			delete(s.servers, srv.id)
			zone := srv.report.Zone
			s.sortedServers, s.unlinked = removeServer(s.sortedServers, srv), removeServer(s.unlinked, srv)
			s.arbiters = removeServer(s.arbiters, srv)
			s.serversByZone[zone] = removeServer(s.serversByZone[zone], srv)
			s.indexLabels(srv, srv.report.Labels, nil)
			continue
		}
		if srv.tasksEndBy == 0 || s.now < srv.tasksEndBy {
			continue
		}
		for _, t := range sortedTasks(srv) {
			s.handleEvent(t, structs.PlacementEvent{ID: t.id, Kind: structs.PlacementLost, Run: t.nextRun})
		}
		srv.tasksEndBy = 0
	}
}

// usable reports whether a server accepts any tasks.
func (s *Scheduler) usable(srv *server) bool {
	return srv.linked && srv.report.Open && !s.zones.IsOut(srv.report.Zone)
}

// admits reports whether a server may get a task of a step now. It is the filter before candidates are ranked.
func (s *Scheduler) admits(srv *server, st *step) bool {
	switch {
	case st.spec.Label != "" && !slices.Contains(srv.report.Labels, st.spec.Label):
		return false
	case st.perServer != nil && st.perServer[srv] >= st.spec.MaxPerServer:
		return false
	}
	return srv.report.Capacity.Covers(st.spec.Need)
}

// candidate is a server for a task, with the expected wait and run time there.
type candidate struct {
	server *server
	wait   time.Duration
	run    time.Duration
	// offRack is set if the server is outside the rack of the task's data, so that the task takes longer.
	offRack bool
}

// chooseServer returns the best server for a task, or a candidate without a server if there is none. Servers with
// free resources on which the job is expected to be in time are best, those in the gateway's zone and with a low load
// first. Other servers follow by the expected end, as long as the job may still be in time or has begun. Servers with
// free resources on which the job will be late come last, and only if late is set. The server except is left out.
//
// A sample of the servers is considered first, so that the cost of a task does not grow with the site, and gateways with
// similar views do not all choose the same server. All servers are considered if the sample has none on which the job is
// expected to be in time. For a job that has been waiting since then, only servers that have changed are.
func (s *Scheduler) chooseServer(j *job, st *step, t *task, except *server, late bool) candidate {
	if s.now < j.nextScan {
		best, _ := s.bestOf(s.changed, j, st, t, except, late)
		return best
	}
	if len(s.sortedServers) > localSample+remoteSample {
		s.sampleServers()
		if st.spec.Rack != "" {
			s.sample = append(s.sample, s.rackServers(st.spec.Rack)...)
		}
		if best, rank := s.bestOf(s.sample, j, st, t, except, late); rank == rankInTime {
			return best
		}
	}
	best, _ := s.bestOf(s.sortedServers, j, st, t, except, late)
	return best
}

// isHeld reports whether a task must not be placed yet, since it is not decided whether it is to blame for crashes.
func (s *Scheduler) isHeld(t *task) bool {
	return s.crashesUnder(t) >= giveUpCrashes && !s.crashes.judged(t.ref())
}

// sampleServers returns some servers in the gateway's zone and some of all zones. Successive samples go round.
func (s *Scheduler) sampleServers() []*server {
	s.sample = s.sample[:0]
	local := s.serversByZone[s.options.Zone]
	for range min(localSample, len(local)) {
		s.localOffset = (s.localOffset + 1) % len(local)
		s.sample = append(s.sample, local[s.localOffset])
	}
	for range remoteSample {
		s.remoteOffset = (s.remoteOffset + 1) % len(s.sortedServers)
		s.sample = append(s.sample, s.sortedServers[s.remoteOffset])
	}
	return s.sample
}

// bestOf returns the best of some servers for a task and its rank, 0 if none is suitable.
func (s *Scheduler) bestOf(servers []*server, j *job, st *step, t *task, except *server, late bool) (candidate, int) {
	var best candidate
	bestRank, bestScore := 0, 0.0
	sep := s.separationOf(t)
	for _, srv := range servers {
		if srv == except || !s.suitable(srv, j, st, t, sep) {
			continue
		}
		c, ok := s.evaluate(srv, j.route.Priority, st)
		if !ok {
			continue
		}
		rank, score := s.rank(j, t, c, late)
		if rank > bestRank || (rank == bestRank && rank > 0 && score < bestScore) {
			best, bestRank, bestScore = c, rank, score
		}
	}
	return best, bestRank
}

// suitable reports whether a task may run on a server, whether or not its resources are free. sep holds the restrictions by
// crashes of servers, nil if there are none.
func (s *Scheduler) suitable(srv *server, j *job, st *step, t *task, sep *separation) bool {
	if !s.usable(srv) || srv.report.Service != j.route.Service || !s.admits(srv, st) {
		return false
	}
	return (sep == nil || s.apart(srv, sep)) && !s.separates(srv, j, st, t)
}

// evaluate returns a server as a candidate for a task of a step, and whether the task may be placed there at all.
func (s *Scheduler) evaluate(srv *server, priority int, st *step) (candidate, bool) {
	c := candidate{server: srv, run: millis(st.work * srv.slowness)}
	c.offRack = st.spec.Rack != "" && !slices.Contains(srv.report.Labels, st.spec.Rack)
	// A task on the rack of its data has few servers to choose from, so it may use the whole queue of the agent. With 14
	// gateways, reports are about 40 ms old: with an equal share, resources that became free meanwhile stayed unused.
	gateways := srv.resources.Gateways
	if st.spec.Rack != "" && !c.offRack {
		gateways = 1
	}
	var ok bool
	if c.wait, ok = s.expectedWait(srv, priority, st.spec.Need, gateways); !ok {
		return candidate{}, false
	}
	if c.offRack {
		c.run = time.Duration(float64(c.run) * s.options.OffRackFactor)
	}
	return c, true
}

// Ranks of a candidate. Rank 0 means that the candidate is unsuitable.
const (
	// rankLate: the server has free resources, but the job will be late.
	rankLate = iota + 1
	// rankQueued: the task may have to wait at the agent. Its job may still be in time or has begun.
	rankQueued
	// rankInTime: the server has free resources, and the job is expected to be in time.
	rankInTime
)

// rank returns the rank of a candidate and its score within the rank. A higher rank and a lower score are better.
func (s *Scheduler) rank(j *job, t *task, c candidate, late bool) (rank int, score float64) {
	end := c.wait + c.run + messagingTime
	score = end.Seconds()
	if c.server == t.avoidServer {
		score += avoidPenalty
	}
	// The margin covers the variance of the work. A longer job also has a later objective, but on a slow server its run
	// time grows by more than the objective.
	after := j.steps[t.step].remaining
	inTime := s.now+end+after+(c.run+after)/runMarginDivisor <= j.due
	// Agents start waiting tasks by priority too, so a task may be queued there as long as its job may still be in
	// time.
	mayBeInTime := s.now <= j.startBy(c.run+after)
	switch {
	case inTime && c.wait == 0 && c.server != t.avoidServer:
		score = s.loadOf(c.server)
		if c.server.report.Zone != s.options.Zone {
			score += zonePenalty
		}
		if c.offRack {
			score += offRackPenalty
		}
		return rankInTime, score + rackDemandPenalty*s.foreignDemand(c.server, j.steps[t.step])
	case mayBeInTime || j.begun():
		return rankQueued, score + s.foreignDemand(c.server, j.steps[t.step])*c.run.Seconds()
	case late && c.wait == 0:
		return rankLate, score
	}
	return 0, 0
}

// startBy returns when the tasks of a step must have started, given the expected time of the step and those after it.
// Run times are underestimated about as often as overestimated, so a job that starts at the last moment would be late
// half of the time. Therefore the job may use only a share of its slack.
func (j *job) startBy(run time.Duration) time.Duration {
	share := waitShare
	if j.hasDependencies {
		share = chainWaitShare
	}
	return j.arrival + time.Duration(share*float64(j.due-j.arrival-run-messagingTime))
}

// begun reports whether tasks of the job have been placed. The remaining tasks of such a job are worth placing even
// if it will be late.
func (j *job) begun() bool { return j.mayHaveRun || j.placed > 0 }

// Parameters of the choice of a server.
const (
	// localSample and remoteSample are the numbers of servers in the gateway's zone and in all zones that are considered
	// first for a task.
	localSample  = 24
	remoteSample = 16
	// discoveryTime is how long after the last new server the known servers count as all there are. A site that starts
	// finds its servers within a second.
	discoveryTime = time.Second
	// scanInterval is the time after which all servers are considered again for a waiting task: what a server may get
	// also changes with time.
	scanInterval = 5 * time.Millisecond

	// runMarginDivisor sets the safety margin: the expected run time divided by it.
	runMarginDivisor = 5
	// zonePenalty is how much fuller, as a fraction of its capacity, a server in the gateway's zone may be than one
	// in another zone and still be preferred. Messages between zones cost money and a millisecond.
	zonePenalty = 0.5
	// offRackPenalty is the same for a server outside the rack of the task's data, where the task occupies the
	// resources for longer.
	offRackPenalty = 1.0
	// avoidPenalty, in seconds, makes the server that a task avoids the last choice within its rank.
	avoidPenalty = 3600
)

// loadOf returns the fraction of a server's processors that is in use or reserved.
func (s *Scheduler) loadOf(srv *server) float64 {
	free := srv.freeResourcesFor(math.MaxInt)
	return 1 - float64(free.CPU)/float64(max(srv.report.Capacity.CPU, 1))
}

// freeResourcesFor returns the resources of a server that are left for a task of a priority after the running tasks
// and those that would start before it.
func (srv *server) freeResourcesFor(priority int) structs.Resources {
	free := srv.resources.Free
	for _, q := range srv.resources.Queues {
		if q.Priority <= priority {
			free.CPU -= q.CPU
		}
	}
	for _, sent := range srv.unacknowledged {
		if sent.priority <= priority {
			free = free.Sub(sent.need)
		}
	}
	return free
}

// expectedWait returns how long a task is expected to wait at a server, and whether it may be placed there at all. gateways is
// the number of gateways that share the agent's queue.
func (s *Scheduler) expectedWait(srv *server, priority int, need structs.Resources, gateways int) (time.Duration, bool) {
	free := srv.freeResourcesFor(priority)
	if free.Covers(need) {
		return 0, true
	}
	// The gateways share the agent's queue equally. Each may always queue one task, however large.
	missing := need.CPU - free.CPU
	limit := max(int64(structs.QueueShare*float64(srv.report.Capacity.CPU))/int64(max(gateways, 1)), need.CPU)
	if missing > limit || srv.resources.ReleaseRate <= 0 || s.now < srv.fullUntil[priority] {
		return 0, false
	}
	return max(millis(float64(missing)/float64(srv.resources.ReleaseRate)), messagingTime), true
}

// dispatch places the pending tasks in the order of their jobs. Jobs that can no longer be in time are refused.
func (s *Scheduler) dispatch() {
	clear(s.rackAhead)
	s.nextWaitEnd = math.MaxInt64
	s.endWaits()
	for _, j := range slices.Clone(s.queue) {
		if !j.ended {
			s.dispatchJob(j)
		}
	}
	for _, srv := range s.changed {
		srv.changed = false
	}
	s.changed = s.changed[:0]
}

// dispatchJob places the pending tasks of a job whose steps are ready. It refuses the job if a task finds no server
// although late servers were considered, and the job has not begun.
func (s *Scheduler) dispatchJob(j *job) {
	if !s.mayPlace(j) {
		return
	}
	if !j.begun() && s.awaitsQuarantine(j) {
		s.end(j, OutcomeRefused, ReasonQuarantine, s.quarantineEndsIn(j.route.Name))
		return
	}
	late := s.now > j.startBy(s.fastestRunTime(j))
	if late {
		j.nextScan = 0 // servers on which the job will be late are suitable now
	}
	unplaced := s.placeSteps(j, late)
	if j.ended {
		return
	}
	if !unplaced {
		s.dequeue(j)
		return
	}
	s.contention.estimator.Waiting(s.now, j.admissionQueue())
	if s.now >= j.nextScan {
		j.nextScan = s.now + scanInterval
		if !j.begun() && slices.ContainsFunc(j.steps, func(st *step) bool { return s.unservable(j, st) }) {
			s.end(j, OutcomeRefused, ReasonUnservable, 0)
			return
		}
	}
	if late && !j.begun() {
		s.end(j, OutcomeRefused, ReasonNoResources, s.retryAfter(j))
	}
}

// placeStep places the pending tasks of a step, and reports whether it found a server for each.
func (s *Scheduler) placeStep(j *job, st *step, late bool) bool {
	complete := true
	for _, t := range st.tasks {
		if t.state != pending {
			continue
		}
		if s.isHeld(t) {
			complete = false
			continue
		}
		c := s.choose(j, st, t, late)
		if c.server != nil {
			s.place(t, st, c.candidate)
			continue
		}
		complete = false
		if c.refused {
			s.end(j, OutcomeRefused, ReasonNoResources, s.retryAfter(j))
			return true
		}
		if c.waits {
			continue
		}
		if s.crashesUnder(t) == 0 {
			break // tasks after a crash may run on fewer servers than the others
		}
	}
	return complete
}

// unservable reports whether no known server can ever run a task of a step. Nothing is concluded while new servers are
// being found, or if no server accepts tasks.
func (s *Scheduler) unservable(j *job, st *step) bool {
	if s.now-s.serverFoundAt < discoveryTime || !s.HasUsableServer() {
		return false
	}
	return !slices.ContainsFunc(s.sortedServers, func(srv *server) bool {
		r := &srv.report
		if r.Service != j.route.Service {
			return r.Service == "" // not known yet
		}
		return r.Capacity.Covers(st.spec.Need) && (st.spec.Label == "" || slices.Contains(r.Labels, st.spec.Label))
	})
}

// ready reports whether all steps that a step depends on have completed.
func (s *Scheduler) ready(j *job, st *step) bool {
	for _, before := range st.spec.After {
		if j.steps[before].incomplete > 0 {
			return false
		}
	}
	return true
}

// fastestRunTime returns the expected run time of a job on the fastest server.
func (s *Scheduler) fastestRunTime(j *job) time.Duration {
	if s.fastest == 0 {
		s.fastest = 1
		for i, srv := range s.sortedServers {
			if i == 0 || srv.slowness < s.fastest {
				s.fastest = srv.slowness
			}
		}
	}
	factor := s.fastest
	longest := time.Duration(0)
	for _, st := range j.steps {
		longest = max(longest, millis(st.work*factor)+time.Duration(factor*float64(st.remaining)))
	}
	return longest
}

// retryAfter returns the expected time until a refused job can be served: when the quarantine of its queue ends, or else when
// the waiting jobs are worked off.
func (s *Scheduler) retryAfter(j *job) time.Duration {
	if s.inQuarantine(j.route.Name) {
		return s.quarantineEndsIn(j.route.Name)
	}
	var work, capacity float64
	for _, j := range s.queue {
		for _, st := range j.steps {
			work += float64(st.pending) * st.work * float64(st.spec.Need.CPU)
		}
	}
	for _, srv := range s.sortedServers {
		if s.usable(srv) {
			capacity += float64(srv.report.Capacity.CPU)
		}
	}
	if capacity == 0 {
		return time.Second
	}
	return max(millis(work/capacity), time.Second)
}

// choose returns the server for a task, or says that it waits for the rack of its data.
func (s *Scheduler) choose(j *job, st *step, t *task, late bool) nearChoice {
	if s.usesLocality(st) {
		return s.chooseNear(j, st, t, late)
	}
	return nearChoice{candidate: s.chooseServer(j, st, t, nil, late)}
}

// place reserves the resources of a task on a server and adds the task to the messages of this Flush.
func (s *Scheduler) place(t *task, st *step, c candidate) {
	srv := c.server
	s.endWait(st, t)
	t.placedAt, t.expectedWait = s.now, c.wait
	s.nextID++
	t.id, t.server, t.state, t.placedSlowness, t.offRack = s.nextID, srv, placed, srv.logSlowness, c.offRack
	st.pending--
	t.job.placed++
	s.notePlaced(t.job, c)
	srv.tasks[t.id], s.tasks[t.id] = t, t
	if st.perServer != nil {
		st.perServer[srv]++
	}
	need, typ := st.spec.Need, structs.TypePlace
	if s.placedAlone(t) {
		typ = structs.TypePlaceAlone
	}
	placedTask := structs.PlacedTask{ID: t.id, Index: t.index, Run: t.nextRun}
	for i := range s.placements {
		m := s.placements[i].Message.(*structs.Place)
		if s.placements[i].Agent == srv.id && s.placements[i].Type == typ && m.Job == t.job.spec.ID && m.Step == t.step {
			m.Tasks = append(m.Tasks, placedTask)
			srv.unacknowledged = append(srv.unacknowledged, unacknowledgedPlacement{
				seq: m.Seq, priority: m.Priority, need: need, run: c.run,
			})
			return
		}
	}
	startWithin := time.Duration(0)
	if by := t.job.startBy(c.run + st.remaining); !t.job.mayHaveRun && s.now < by {
		startWithin = by - s.now
	}
	if c.wait == 0 && (startWithin == 0 || startWithin > freeStartTime) {
		startWithin = freeStartTime
	}
	srv.seq++
	srv.unacknowledged = append(srv.unacknowledged, unacknowledgedPlacement{
		seq: srv.seq, priority: t.job.route.Priority, need: need, run: c.run,
	})
	s.placements = append(s.placements, Send{Agent: srv.id, Type: typ, Message: &structs.Place{
		Seq: srv.seq, Job: t.job.spec.ID, Payload: t.job.spec.Payload, Step: t.step,
		Priority: t.job.route.Priority, Age: s.now - t.job.arrival, Need: need, ExpectedRunTime: c.run, StartWithin: startWithin,
		Tasks: []structs.PlacedTask{placedTask},
	}})
}

func (s *Scheduler) sendPlaces() {
	for _, p := range s.placements {
		srv, m := s.servers[p.Agent], p.Message.(*structs.Place)
		srv.sentAt = s.now
		if p.Type == structs.TypePlaceAlone {
			p.Message = &structs.PlaceAlone{Place: *m}
		}
		s.actions = append(s.actions, p)
		s.sendZoneState(srv)
		s.log(LogEntry{
			Message: MessagePlaced, Job: m.Job, Agent: p.Agent, Server: srv.report.Server, Tasks: len(m.Tasks),
			ExpectedRunTime: m.ExpectedRunTime, FreeCPU: srv.freeResourcesFor(m.Priority).CPU, Age: m.Age,
		})
	}
	s.placements = nil
}

func (s *Scheduler) sendStops() {
	for _, srv := range slices.SortedFunc(maps.Keys(s.stops), compareServers) {
		if ids := s.stops[srv]; srv.linked {
			s.send(srv, structs.TypeStop, &structs.Stop{IDs: ids})
		}
	}
	clear(s.stops)
}

func (s *Scheduler) sendHeartbeats() {
	if s.now < s.heartbeatsDue {
		return
	}
	s.heartbeatsDue = s.now + structs.BusyHeartbeatInterval
	for _, srv := range s.sortedServers {
		if !srv.linked {
			continue
		}
		// Placements replace heartbeats, but only heartbeats have the addresses.
		overdue := srv.sentAddressVersion != s.addressVersion && s.now-s.addressesChangedAt >= structs.IdleHeartbeatInterval
		if overdue || s.now-srv.sentAt >= s.heartbeatInterval(srv) {
			heartbeat := &structs.Heartbeat{Revision: s.revision}
			if srv.sentAddressVersion != s.addressVersion {
				srv.sentAddressVersion, heartbeat.GatewayAddresses = s.addressVersion, s.gatewayAddresses
			}
			s.send(srv, structs.TypeHeartbeat, heartbeat)
		}
		s.heartbeatsDue = min(s.heartbeatsDue, srv.sentAt+s.heartbeatInterval(srv))
	}
}

func (s *Scheduler) heartbeatInterval(srv *server) time.Duration {
	if len(srv.tasks) > 0 {
		return structs.BusyHeartbeatInterval
	}
	return structs.IdleHeartbeatInterval
}

func (s *Scheduler) send(srv *server, typ structs.MessageType, message any) {
	srv.sentAt = s.now
	s.actions = append(s.actions, Send{Agent: srv.id, Type: typ, Message: message})
	s.sendZoneState(srv)
}

// NextWake returns when Flush must be called next if no input comes before.
func (s *Scheduler) NextWake() time.Duration {
	wake := s.demand.NextWake(min(s.now+structs.IdleHeartbeatInterval, s.heartbeatsDue))
	for _, srv := range s.unlinked {
		if srv.tasksEndBy > 0 {
			wake = min(wake, srv.tasksEndBy)
		}
	}
	if len(s.queue) > 0 {
		wake = min(wake, s.now+queueCheckInterval, s.nextWaitEnd)
	}
	for _, batch := range s.cancelling {
		wake = min(wake, batch.nextAt)
	}
	if len(s.deadlines) > 0 {
		wake = min(wake, s.deadlines[0].checkAt)
	}
	if s.releaseBy > 0 {
		wake = min(wake, s.releaseBy)
	}
	if at := s.crashes.nextJudgment(); at > 0 {
		wake = min(wake, max(at, s.now+time.Millisecond))
	}
	return max(wake, s.now)
}

// queueCheckInterval is the interval at which the waiting jobs are checked if no input arrives, to refuse those that
// can no longer be in time.
const queueCheckInterval = 5 * time.Millisecond
