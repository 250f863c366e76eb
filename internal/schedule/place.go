package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Flush lets time pass, places what can be placed and returns the actions since the last call.
func (s *Scheduler) Flush(now time.Duration) []Action {
	s.advance(now)
	s.resumeLinks()
	s.expireUnlinkedServers()
	s.dispatch()
	s.sendStops()
	s.sendPlaces()
	s.sendHeartbeats()
	actions := s.actions
	s.actions = nil
	return actions
}

// resumeLinks begins new links with the list of the tasks that are believed to be there.
func (s *Scheduler) resumeLinks() {
	for _, v := range s.sortedServers {
		if !v.resumeDue {
			continue
		}
		v.resumeDue = false
		message := &structs.Resume{Gateway: s.options.Self, Members: s.gatewayAddresses, Revision: s.revision}
		v.sentAddressesVersion = s.addressesVersion
		for _, t := range sortedTasks(v) {
			message.Tasks = append(message.Tasks, structs.ResumedTask{
				ID: t.id, Job: t.job.spec.ID, Step: t.step, Index: t.index, Run: t.nextRun,
				Need: t.job.steps[t.step].spec.Need,
			})
			if t.stopping {
				s.stops[v] = append(s.stops[v], t.id)
			}
		}
		s.send(v, structs.TypeResume, message)
	}
}

func sortedTasks(v *server) []*task {
	tasks := make([]*task, 0, len(v.tasks))
	for _, t := range v.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
	return tasks
}

// expireUnlinkedServers takes the tasks off servers that are gone for so long that nothing of them can run any more, and forgets
// servers that do not come back.
func (s *Scheduler) expireUnlinkedServers() {
	for _, v := range slices.Clone(s.sortedServers) {
		if !v.linked && s.now-v.unlinkedAt > serverRetention {
			delete(s.servers, v.id)
			s.sortedServers = slices.DeleteFunc(s.sortedServers, func(other *server) bool { return other == v })
			continue
		}
		if v.linked || v.tasksEndBy == 0 || s.now < v.tasksEndBy {
			continue
		}
		for _, t := range sortedTasks(v) {
			s.handleEvent(t, structs.StartEvent{ID: t.id, Kind: structs.StartLost, Run: t.nextRun})
		}
		v.tasksEndBy = 0
	}
}

// usable reports whether a server may get work at all.
func (s *Scheduler) usable(v *server) bool {
	return v.linked && v.report.Open && !s.zonesOut[v.report.Zone]
}

// admits reports whether a server may get a task now: the Filter stage.
func (s *Scheduler) admits(v *server, st *step) bool {
	switch {
	case s.now < v.pausedUntil:
		return false
	case v.failures >= breakerFailures && s.now < v.probeAt:
		return false
	case st.spec.Label != "" && !slices.Contains(v.report.Labels, st.spec.Label):
		return false
	case st.perServer != nil && st.perServer[v] >= st.spec.MaxPerServer:
		return false
	}
	return v.report.Capacity.Covers(st.spec.Need)
}

// candidate is a server for a task with its expected times.
type candidate struct {
	server *server
	wait   time.Duration
	run    time.Duration
	// offRack is set if the task takes longer there because its data is elsewhere.
	offRack bool
}

// chooseServer returns the server for a task. Those on which the job is expected to be in time come first: with room now, one
// in the gateway's zone and with much room before others; else the one with the earliest end. With late, a server with
// room now is taken even if the job is late there. except is left out.
func (s *Scheduler) chooseServer(j *job, st *step, t *task, except *server, late bool) candidate {
	var best candidate
	bestRank, bestScore := 0, 0.0
	for _, v := range s.sortedServers {
		if v == except || !s.usable(v) || v.report.Service != j.route.Service || !s.admits(v, st) {
			continue
		}
		c, ok := s.evaluate(v, j.route.Priority, st)
		if !ok {
			continue
		}
		rank, score := s.rank(j, t, c, late)
		if rank > bestRank || (rank == bestRank && rank > 0 && score < bestScore) {
			best, bestRank, bestScore = c, rank, score
		}
	}
	return best
}

// evaluate returns the expected times of a task at a server, and whether it may be placed there at all.
func (s *Scheduler) evaluate(v *server, priority int, st *step) (candidate, bool) {
	wait, ok := s.expectedWait(v, priority, st.spec.Need)
	if !ok {
		return candidate{}, false
	}
	c := candidate{server: v, wait: wait, run: millis(st.work * v.slowness.factor())}
	c.offRack = st.spec.Rack != "" && !slices.Contains(v.report.Labels, st.spec.Rack)
	if c.offRack {
		c.run = time.Duration(float64(c.run) * s.options.FarFactor)
	}
	return c, true
}

// Ranks of a server for a task; 0 is out of the question.
const (
	// rankLate: there is room now, but the job will be late.
	rankLate = iota + 1
	// rankQueued: the task must wait at the agent.
	rankQueued
	// rankInTime: there is room now and the job is expected to be in time.
	rankInTime
)

// rank returns the rank of a choice and its score inside the rank; the lower score is better.
func (s *Scheduler) rank(j *job, t *task, c candidate, late bool) (rank int, score float64) {
	end := c.wait + c.run + messagingTime
	score = end.Seconds()
	if c.server == t.avoidServer {
		score += avoidPenalty
	}
	// The margin covers the spread of the work; the objective grows with it, the slowness of a server more.
	after := j.steps[t.step].remaining
	inTime := s.now+end+after+(c.run+after)/runMarginDivisor <= j.due
	// Waiting tasks keep their order of priority at the agent, so a job waits there as long as it may still be in time.
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
		return rankInTime, score
	case mayBeInTime || j.begun():
		return rankQueued, score
	case late && c.wait == 0:
		return rankLate, score
	}
	return 0, 0
}

// startBy returns when tasks must have started, given the expected time of their step and of those after it. Run times are
// expected too short about as often as too long, so a job that starts at the last moment is late half of the time; only a
// part of its slack is used.
func (j *job) startBy(run time.Duration) time.Duration {
	share := waitShare
	if j.hasDependencies {
		share = chainWaitShare
	}
	return j.arrival + time.Duration(share*float64(j.due-j.arrival-run-messagingTime))
}

// begun reports whether tasks of the job have been placed: its other tasks are worth placing also late.
func (j *job) begun() bool { return j.mayHaveRun || j.placed > 0 }

// Scores of choose.
const (
	// runMarginDivisor is the divisor of the run time that is kept as a margin.
	runMarginDivisor = 5
	// zonePenalty, in parts of a server's capacity, is how much fuller a server of the same zone may be than one of
	// another zone. Messages between zones cost money and a millisecond.
	zonePenalty = 0.5
	// offRackPenalty is the same for a server away from the task's data, where the task takes the room for longer.
	offRackPenalty = 1.0
	// avoidPenalty, in seconds, is for a server on which the task has failed before; it is taken only if there is no
	// other.
	avoidPenalty = 3600
)

// loadOf returns the part of a server's processors that is taken.
func (s *Scheduler) loadOf(v *server) float64 {
	free := v.freeResourcesFor(math.MaxInt)
	return 1 - float64(free.CPU)/float64(max(v.report.Capacity.CPU, 1))
}

// freeResourcesFor returns the room of a server that is left for a task of a priority by those that run or wait before it.
func (v *server) freeResourcesFor(priority int) structs.Room {
	free := v.resources.Free
	for _, q := range v.resources.Queues {
		if q.Priority <= priority {
			free.CPU -= q.CPU
		}
	}
	for _, sent := range v.unacknowledged {
		if sent.priority <= priority {
			free = free.Sub(sent.need)
		}
	}
	return free
}

// expectedWait returns how long a task is expected to wait at a server, and whether it may be placed there at all.
func (s *Scheduler) expectedWait(v *server, priority int, need structs.Room) (time.Duration, bool) {
	free := v.freeResourcesFor(priority)
	if free.Holds(need) {
		return 0, true
	}
	// The gateways share the queue. One task of each may always wait, however large.
	missing := need.CPU - free.CPU
	limit := max(int64(structs.QueueShare*float64(v.report.Capacity.CPU))/int64(max(v.resources.Gateways, 1)), need.CPU)
	if missing > limit || v.resources.Release <= 0 || s.now < v.fullUntil[priority] {
		return 0, false
	}
	return max(millis(float64(missing)/float64(v.resources.Release)), messagingTime), true
}

// dispatch places the pending tasks in the order of their jobs. Jobs that cannot be of use any more are given up.
func (s *Scheduler) dispatch() {
	for _, j := range slices.Clone(s.queue) {
		if !j.ended {
			s.dispatchJob(j)
		}
	}
}

func (s *Scheduler) dispatchJob(j *job) {
	if s.now >= j.deadline {
		s.end(j, OutcomeRefused, ReasonDeadline, 0)
		return
	}
	late := s.now > j.startBy(s.fastestRunTime(j))
	waits := false
	for _, st := range j.steps {
		if st.pending == 0 || !s.ready(j, st) {
			continue
		}
		for _, t := range st.tasks {
			if t.state != pending {
				continue
			}
			c := s.chooseServer(j, st, t, nil, late)
			if c.server == nil {
				waits = true
				break
			}
			s.place(t, st, c)
		}
	}
	if !waits {
		s.dequeue(j)
		return
	}
	if late && !j.begun() {
		s.end(j, OutcomeRefused, ReasonNoResources, s.retryAfter())
	}
}

// ready reports whether all steps before one have completed.
func (s *Scheduler) ready(j *job, st *step) bool {
	for _, before := range st.spec.After {
		if j.steps[before].incomplete > 0 {
			return false
		}
	}
	return true
}

// fastestRunTime returns the expected time of a job on the fastestRunTime server.
func (s *Scheduler) fastestRunTime(j *job) time.Duration {
	factor := 1.0
	for i, v := range s.sortedServers {
		if f := v.slowness.factor(); i == 0 || f < factor {
			factor = f
		}
	}
	longest := time.Duration(0)
	for _, st := range j.steps {
		longest = max(longest, millis(st.work*factor)+time.Duration(factor*float64(st.remaining)))
	}
	return longest
}

// retryAfter returns the expected time to work off the queue.
func (s *Scheduler) retryAfter() time.Duration {
	var work, capacity float64
	for _, j := range s.queue {
		for _, st := range j.steps {
			work += float64(st.pending) * st.work * float64(st.spec.Need.CPU)
		}
	}
	for _, v := range s.sortedServers {
		if s.usable(v) {
			capacity += float64(v.report.Capacity.CPU)
		}
	}
	if capacity == 0 {
		return time.Second
	}
	return max(millis(work/capacity), time.Second)
}

// place reserves the room of a task on a server and collects the message.
func (s *Scheduler) place(t *task, st *step, c candidate) {
	v := c.server
	s.nextID++
	t.id, t.server, t.state = s.nextID, v, placed
	st.pending--
	t.job.placed++
	v.tasks[t.id], s.tasks[t.id] = t, t
	if st.perServer != nil {
		st.perServer[v]++
	}
	if v.failures >= breakerFailures {
		v.probeAt = s.now + probeInterval
	}
	need := st.spec.Need
	placedTask := structs.PlacedTask{ID: t.id, Index: t.index, Run: t.nextRun}
	for i := range s.placements {
		m := s.placements[i].Message.(*structs.Place)
		if s.placements[i].Agent == v.id && m.Job == t.job.spec.ID && m.Step == t.step {
			m.Tasks = append(m.Tasks, placedTask)
			v.unacknowledged = append(v.unacknowledged, unacknowledgedPlacement{seq: m.Seq, priority: m.Priority, need: need})
			return
		}
	}
	startWithin := time.Duration(0)
	if by := t.job.startBy(c.run + st.remaining); !t.job.mayHaveRun && s.now < by {
		startWithin = by - s.now
	}
	v.seq++
	v.unacknowledged = append(v.unacknowledged, unacknowledgedPlacement{seq: v.seq, priority: t.job.route.Priority, need: need})
	s.placements = append(s.placements, Send{Agent: v.id, Type: structs.TypePlace, Message: &structs.Place{
		Seq: v.seq, Job: t.job.spec.ID, Payload: t.job.spec.Payload, Step: t.step,
		Priority: t.job.route.Priority, Age: s.now - t.job.arrival, Need: need, ExpectedRunTime: c.run, StartWithin: startWithin,
		Tasks: []structs.PlacedTask{placedTask},
	}})
}

func (s *Scheduler) sendPlaces() {
	for _, p := range s.placements {
		v, m := s.servers[p.Agent], p.Message.(*structs.Place)
		v.sentAt = s.now
		s.actions = append(s.actions, p)
		s.log(Note{
			Message: MessagePlaced, Job: m.Job, Agent: p.Agent, Server: v.report.Server, Tasks: len(m.Tasks), Expect: m.Expect,
			Free: v.freeResourcesFor(m.Priority).CPU, Age: m.Age,
		})
	}
	s.placements = nil
}

func (s *Scheduler) sendStops() {
	for _, v := range s.sortedServers {
		if ids := s.stops[v]; len(ids) > 0 && v.linked {
			s.send(v, structs.TypeStop, &structs.Stop{IDs: ids})
		}
	}
	clear(s.stops)
}

func (s *Scheduler) sendHeartbeats() {
	for _, v := range s.sortedServers {
		if v.linked && s.now-v.sentAt >= s.heartbeatInterval(v) {
			beat := &structs.Beat{Revision: s.revision}
			if v.sentAddressesVersion != s.addressesVersion {
				v.sentAddressesVersion, beat.Members = s.addressesVersion, s.gatewayAddresses
			}
			s.send(v, structs.TypeHeartbeat, beat)
		}
	}
}

func (s *Scheduler) heartbeatInterval(v *server) time.Duration {
	if len(v.tasks) > 0 {
		return structs.BusyHeartbeatInterval
	}
	return structs.IdleHeartbeatInterval
}

func (s *Scheduler) send(v *server, typ structs.MessageType, message any) {
	v.sentAt = s.now
	s.actions = append(s.actions, Send{Agent: v.id, Type: typ, Message: message})
}

// Wake returns the time of the next Flush that something depends on.
func (s *Scheduler) Wake() time.Duration {
	wake := s.now + structs.IdleBeatInterval
	for _, v := range s.sortedServers {
		switch {
		case v.linked:
			wake = min(wake, v.sentAt+s.heartbeatInterval(v))
			if len(s.queue) > 0 && v.pausedUntil > s.now {
				wake = min(wake, v.pausedUntil)
			}
		case v.tasksEndBy > 0:
			wake = min(wake, v.tasksEndBy)
		}
	}
	if len(s.queue) > 0 {
		wake = min(wake, s.now+queueCheckInterval)
	}
	return max(wake, s.now)
}

// queueCheckInterval is the time between looks at waiting jobs without an event, for those that become hopeless.
const queueCheckInterval = 5 * time.Millisecond
