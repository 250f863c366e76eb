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
	s.releaseLost()
	s.dispatch()
	s.sendStops()
	s.sendPlaces()
	s.sendBeats()
	actions := s.actions
	s.actions = nil
	return actions
}

// resumeLinks begins new links with the list of the tasks that are believed to be there.
func (s *Scheduler) resumeLinks() {
	for _, v := range s.order {
		if !v.resume {
			continue
		}
		v.resume = false
		message := &structs.Resume{Gateway: s.options.Self, GatewayAddresses: s.members, Revision: s.revision}
		v.told = s.membersVersion
		for _, t := range sortedTasks(v) {
			message.Tasks = append(message.Tasks, structs.ResumedTask{
				ID: t.id, Job: t.job.spec.ID, Step: t.step, Index: t.index, Run: t.run,
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

// releaseLost takes the tasks off servers that are gone for so long that nothing of them can run any more, and forgets
// servers that do not come back.
func (s *Scheduler) releaseLost() {
	for _, v := range slices.Clone(s.order) {
		if !v.linked && s.now-v.unlinkedAt > forgetServer {
			delete(s.servers, v.id)
			s.order = slices.DeleteFunc(s.order, func(other *server) bool { return other == v })
			continue
		}
		if v.linked || v.lostAt == 0 || s.now < v.lostAt {
			continue
		}
		for _, t := range sortedTasks(v) {
			s.event(t, structs.PlacementEvent{ID: t.id, Kind: structs.PlacementLost, Run: t.run})
		}
		v.lostAt = 0
	}
}

// usable reports whether a server may get work at all.
func (s *Scheduler) usable(v *server) bool {
	return v.linked && v.report.Open && !s.zonesOut[v.report.Zone]
}

// admits reports whether a server may get a task now: the Filter stage.
func (s *Scheduler) admits(v *server, st *step) bool {
	switch {
	case s.now < v.pausedTo:
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

// choice is a server for a task with its expected times.
type choice struct {
	server *server
	wait   time.Duration
	run    time.Duration
	// far is set if the task takes longer there because its data is elsewhere.
	far bool
}

// choose returns the server for a task. Those on which the job is expected to be in time come first: with room now, one
// in the gateway's zone and with much room before others; else the one with the earliest end. With late, a server with
// room now is taken even if the job is late there. except is left out.
func (s *Scheduler) choose(j *job, st *step, t *task, except *server, late bool) choice {
	var best choice
	bestRank, bestScore := 0, 0.0
	for _, v := range s.order {
		if v == except || !s.usable(v) || v.report.Service != j.route.Service || !s.admits(v, st) {
			continue
		}
		c, ok := s.expect(v, j.route.Priority, st)
		if !ok {
			continue
		}
		rank, score := s.rate(j, t, c, late)
		if rank > bestRank || (rank == bestRank && rank > 0 && score < bestScore) {
			best, bestRank, bestScore = c, rank, score
		}
	}
	return best
}

// expect returns the expected times of a task at a server, and whether it may be placed there at all.
func (s *Scheduler) expect(v *server, priority int, st *step) (choice, bool) {
	wait, ok := s.expectWait(v, priority, st.spec.Need)
	if !ok {
		return choice{}, false
	}
	c := choice{server: v, wait: wait, run: ms(st.work * v.speed.factor())}
	c.far = st.spec.Rack != "" && !slices.Contains(v.report.Labels, st.spec.Rack)
	if c.far {
		c.run = time.Duration(float64(c.run) * s.options.OffRackFactor)
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

// rate returns the rank of a choice and its score inside the rank; the lower score is better.
func (s *Scheduler) rate(j *job, t *task, c choice, late bool) (rank int, score float64) {
	end := c.wait + c.run + hopTime
	score = end.Seconds()
	if c.server == t.avoid {
		score += avoidPenalty
	}
	// The margin covers the spread of the work; the objective grows with it, the slowness of a server more.
	after := j.steps[t.step].after
	inTime := s.now+end+after+(c.run+after)/runMargin <= j.due
	// Waiting tasks keep their order of priority at the agent, so a job waits there as long as it may still be in time.
	mayBeInTime := s.now <= j.startBy(c.run+after)
	switch {
	case inTime && c.wait == 0 && c.server != t.avoid:
		score = s.loadOf(c.server)
		if c.server.report.Zone != s.options.Zone {
			score += zonePenalty
		}
		if c.far {
			score += farPenalty
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
	if j.chained {
		share = chainWaitShare
	}
	return j.arrival + time.Duration(share*float64(j.due-j.arrival-run-hopTime))
}

// begun reports whether tasks of the job have been placed: its other tasks are worth placing also late.
func (j *job) begun() bool { return j.mayHaveRun || j.placed > 0 }

// Scores of choose.
const (
	// runMargin is the divisor of the run time that is kept as a margin.
	runMargin = 5
	// zonePenalty, in parts of a server's capacity, is how much fuller a server of the same zone may be than one of
	// another zone. Messages between zones cost money and a millisecond.
	zonePenalty = 0.5
	// farPenalty is the same for a server away from the task's data, where the task takes the room for longer.
	farPenalty = 1.0
	// avoidPenalty, in seconds, is for a server on which the task has failed before; it is taken only if there is no
	// other.
	avoidPenalty = 3600
)

// loadOf returns the part of a server's processors that is taken.
func (s *Scheduler) loadOf(v *server) float64 {
	free := v.freeFor(math.MaxInt)
	return 1 - float64(free.CPU)/float64(max(v.report.Capacity.CPU, 1))
}

// freeFor returns the room of a server that is left for a task of a priority by those that run or wait before it.
func (v *server) freeFor(priority int) structs.Resources {
	free := v.room.Free
	for _, q := range v.room.Queues {
		if q.Priority <= priority {
			free.CPU -= q.CPU
		}
	}
	for _, sent := range v.sent {
		if sent.priority <= priority {
			free = free.Sub(sent.need)
		}
	}
	return free
}

// expectWait returns how long a task is expected to wait at a server, and whether it may be placed there at all.
func (s *Scheduler) expectWait(v *server, priority int, need structs.Resources) (time.Duration, bool) {
	free := v.freeFor(priority)
	if free.Covers(need) {
		return 0, true
	}
	// The gateways share the queue. One task of each may always wait, however large.
	missing := need.CPU - free.CPU
	limit := max(int64(structs.QueueShare*float64(v.report.Capacity.CPU))/int64(max(v.room.Gateways, 1)), need.CPU)
	if missing > limit || v.room.ReleaseRate <= 0 || s.now < v.fullTo[priority] {
		return 0, false
	}
	return max(ms(float64(missing)/float64(v.room.ReleaseRate)), hopTime), true
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
	if s.now >= j.limit {
		s.end(j, OutcomeRefused, ReasonDeadline, 0)
		return
	}
	late := s.now > j.startBy(s.fastest(j))
	waits := false
	for _, st := range j.steps {
		if st.pending == 0 || !s.ready(j, st) {
			continue
		}
		for _, t := range st.tasks {
			if t.state != pending {
				continue
			}
			c := s.choose(j, st, t, nil, late)
			if c.server == nil {
				waits = true
				break
			}
			s.place(t, st, c)
		}
	}
	if !waits {
		s.unqueue(j)
		return
	}
	if late && !j.begun() {
		s.end(j, OutcomeRefused, ReasonNoResources, s.retryAfter())
	}
}

// ready reports whether all steps before one have completed.
func (s *Scheduler) ready(j *job, st *step) bool {
	for _, before := range st.spec.After {
		if j.steps[before].open > 0 {
			return false
		}
	}
	return true
}

// fastest returns the expected time of a job on the fastest server.
func (s *Scheduler) fastest(j *job) time.Duration {
	factor := 1.0
	for i, v := range s.order {
		if f := v.speed.factor(); i == 0 || f < factor {
			factor = f
		}
	}
	longest := time.Duration(0)
	for _, st := range j.steps {
		longest = max(longest, ms(st.work*factor)+time.Duration(factor*float64(st.after)))
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
	for _, v := range s.order {
		if s.usable(v) {
			capacity += float64(v.report.Capacity.CPU)
		}
	}
	if capacity == 0 {
		return time.Second
	}
	return max(ms(work/capacity), time.Second)
}

// place reserves the room of a task on a server and collects the message.
func (s *Scheduler) place(t *task, st *step, c choice) {
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
	placedTask := structs.PlacedTask{ID: t.id, Index: t.index, Run: t.run}
	for i := range s.places {
		m := s.places[i].Message.(*structs.Place)
		if s.places[i].Agent == v.id && m.Job == t.job.spec.ID && m.Step == t.step {
			m.Tasks = append(m.Tasks, placedTask)
			v.sent = append(v.sent, sentRoom{seq: m.Seq, priority: m.Priority, need: need})
			return
		}
	}
	startWithin := time.Duration(0)
	if by := t.job.startBy(c.run + st.after); !t.job.mayHaveRun && s.now < by {
		startWithin = by - s.now
	}
	v.seq++
	v.sent = append(v.sent, sentRoom{seq: v.seq, priority: t.job.route.Priority, need: need})
	s.places = append(s.places, Send{Agent: v.id, Type: structs.TypePlace, Message: &structs.Place{
		Seq: v.seq, Job: t.job.spec.ID, Payload: t.job.spec.Payload, Step: t.step,
		Priority: t.job.route.Priority, Age: s.now - t.job.arrival, Need: need, ExpectedRunTime: c.run, StartWithin: startWithin,
		Tasks: []structs.PlacedTask{placedTask},
	}})
}

func (s *Scheduler) sendPlaces() {
	for _, p := range s.places {
		v, m := s.servers[p.Agent], p.Message.(*structs.Place)
		v.sentAt = s.now
		s.actions = append(s.actions, p)
		s.note(LogEntry{
			Message: MessagePlaced, Job: m.Job, Agent: p.Agent, Server: v.report.Server, Tasks: len(m.Tasks), ExpectedRunTime: m.ExpectedRunTime,
			FreeCPU: v.freeFor(m.Priority).CPU, Age: m.Age,
		})
	}
	s.places = nil
}

func (s *Scheduler) sendStops() {
	for _, v := range s.order {
		if ids := s.stops[v]; len(ids) > 0 && v.linked {
			s.send(v, structs.TypeStop, &structs.Stop{IDs: ids})
		}
	}
	clear(s.stops)
}

func (s *Scheduler) sendBeats() {
	for _, v := range s.order {
		if v.linked && s.now-v.sentAt >= s.beatInterval(v) {
			beat := &structs.Heartbeat{Revision: s.revision}
			if v.told != s.membersVersion {
				v.told, beat.GatewayAddresses = s.membersVersion, s.members
			}
			s.send(v, structs.TypeHeartbeat, beat)
		}
	}
}

func (s *Scheduler) beatInterval(v *server) time.Duration {
	if len(v.tasks) > 0 {
		return structs.BusyHeartbeatInterval
	}
	return structs.IdleHeartbeatInterval
}

func (s *Scheduler) send(v *server, typ structs.MessageType, message any) {
	v.sentAt = s.now
	s.actions = append(s.actions, Send{Agent: v.id, Type: typ, Message: message})
}

// NextWake returns the time of the next Flush that something depends on.
func (s *Scheduler) NextWake() time.Duration {
	wake := s.now + structs.IdleHeartbeatInterval
	for _, v := range s.order {
		switch {
		case v.linked:
			wake = min(wake, v.sentAt+s.beatInterval(v))
			if len(s.queue) > 0 && v.pausedTo > s.now {
				wake = min(wake, v.pausedTo)
			}
		case v.lostAt > 0:
			wake = min(wake, v.lostAt)
		}
	}
	if len(s.queue) > 0 {
		wake = min(wake, s.now+queueCheck)
	}
	return max(wake, s.now)
}

// queueCheck is the time between looks at waiting jobs without an event, for those that become hopeless.
const queueCheck = 5 * time.Millisecond
