package supervisor

import (
	"cmp"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// recentEvent is an event that is kept in case the gateway has missed it.
type recentEvent struct {
	event structs.PlacementEvent
	at    time.Duration
}

// gateway is one incarnation of a gateway.
type gateway struct {
	ref    structs.GatewayRef
	linked bool
	// lastContact is a time at which the gateway was certainly alive and had handled what it had received: when the last
	// answered probe was sent or, before the first one, when the dial of its first link began. The end of a link sets it back
	// to leave at most reconnectGrace until the timeout.
	lastContact time.Duration
	// probedAt is when the last probe was sent, 0 if none was. probeDue is set if the next one must not wait.
	probedAt time.Duration
	probeDue bool
	// unansweredProbes holds when the probes on this link were sent that it has not answered, oldest first.
	unansweredProbes []time.Duration
	// timedOut is set once the tasks were stopped because of the timeout, until the next contact.
	timedOut bool
	// ack is the sequence number of the last Place message, which resource reports acknowledge.
	ack          uint64
	runs         map[uint64]*run
	recentEvents map[uint64]recentEvent
	events       []structs.PlacementEvent
	// placedAt is when the gateway last placed tasks here.
	placedAt        time.Duration
	reportDue       bool // the resources have changed since the last report
	nextReportAt    time.Duration
	sentAt          time.Duration
	serverReportDue bool // a server report must be sent
	// sentSlowness is the slowness that was last sent on the link, 0 at its start.
	sentSlowness float64
	// pendingResume and pendingStops keep the gateway's first message and its stops until the runs are reconciled.
	pendingResume *structs.Resume
	pendingStops  []uint64
	// featuresDue is set until the features are sent on the link, zonesDue until the zone state is.
	featuresDue bool
	zonesDue    bool
	// cancelled holds the messages about cancelled jobs to be sent.
	cancelled []*structs.JobsCancelled
	// lastNotice is the number of the last notice that was sent on the link.
	lastNotice uint64
	// claimAnswers holds what must be sent about claims of jobs. claimsDue is set until the first message about them was sent on
	// the link.
	claimAnswers structs.JobClaimAnswers
	claimsDue    bool
	// unsettledUntil is until when the gateway expects that calls may be carried out. unsettledDue is set if the message may have
	// been lost with the last link.
	unsettledUntil time.Duration
	unsettledDue   bool
}

// GatewayLinked handles the first message of a gateway on a new link. The message lists the tasks that, according to
// the gateway, are here. dialedAt is when the agent began to dial this link.
func (s *Supervisor) GatewayLinked(now, dialedAt time.Duration, in *structs.Resume) {
	s.advance(now)
	s.endOlderIncarnations(in.Gateway)
	g := s.gateways[in.Gateway]
	if g == nil {
		g = &gateway{ref: in.Gateway, lastContact: dialedAt, runs: map[uint64]*run{}, recentEvents: map[uint64]recentEvent{}}
		s.gateways[in.Gateway] = g
	}
	if g.linked { // the end of the earlier link was not noticed
		s.holderLost(g.ref, s.silentSince(g))
	}
	g.timedOut = false
	g.linked, g.serverReportDue, g.events, g.pendingResume, g.pendingStops = true, true, nil, in, nil
	g.sentSlowness, g.lastNotice, g.featuresDue, g.zonesDue = 0, 0, true, s.zones.Known()
	g.probeDue, g.unsettledDue = true, true
	g.unansweredProbes, g.claimsDue, g.claimAnswers = nil, true, structs.JobClaimAnswers{}
	g.cancelled = []*structs.JobsCancelled{{Jobs: s.recentlyCancelled()}}
	if s.reconciled {
		s.reconcileTasks(g)
	}
}

// reconcileTasks compares a gateway's list of its tasks with the runs. It answers for listed tasks that are not here,
// and stops the gateway's other runs.
func (s *Supervisor) reconcileTasks(g *gateway) {
	in := g.pendingResume
	if in == nil {
		return
	}
	g.pendingResume = nil
	listed := map[uint64]bool{}
	for i := range in.Tasks {
		listed[in.Tasks[i].ID] = true
		s.resumeTask(g, &in.Tasks[i])
	}
	for _, run := range sortedRuns(g) {
		if !listed[run.id] {
			s.cancel(run)
		}
	}
	s.stopTasks(g, g.pendingStops)
	g.pendingStops = nil
}

func sortedRuns(g *gateway) []*run {
	runs := make([]*run, 0, len(g.runs))
	for _, run := range g.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.id, b.id) })
	return runs
}

// endOlderIncarnations stops the tasks of earlier incarnations of a gateway. These processes have ended.
func (s *Supervisor) endOlderIncarnations(ref structs.GatewayRef) {
	for _, g := range s.sortedGateways() {
		if g.ref.ID == ref.ID && g.ref != ref {
			s.cancelAll(g)
			s.holderLost(g.ref, s.now)
			delete(s.gateways, g.ref)
		}
	}
}

func (s *Supervisor) sortedGateways() []*gateway {
	gateways := make([]*gateway, 0, len(s.gateways))
	for _, g := range s.gateways {
		gateways = append(gateways, g)
	}
	slices.SortFunc(gateways, func(a, b *gateway) int { return compareGateways(a.ref, b.ref) })
	return gateways
}

func compareGateways(a, b structs.GatewayRef) int {
	if c := cmp.Compare(a.ID, b.ID); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// resumeTask answers for one task that the gateway has listed, unless it is here. A run that was found is
// claimed.
func (s *Supervisor) resumeTask(g *gateway, t *structs.ResumedTask) {
	if g.runs[t.ID] != nil {
		return
	}
	if past, ok := g.recentEvents[t.ID]; ok {
		g.events = append(g.events, past.event)
		return
	}
	ref := RunRef{Task: s.options.TaskName(t.Job, t.Step, t.Index), Run: t.Run}
	if found := s.findUnclaimedRun(ref); found != nil {
		found.gateway, found.id, found.need, found.stopBy = g, t.ID, t.Need, 0
		found.job, found.step, found.index = t.Job, t.Step, t.Index
		g.runs[t.ID] = found
		s.usedResources = s.usedResources.Add(t.Need)
		s.log(LogEntry{Message: "run claimed", Task: ref.Task, Run: found.Run, Gateway: g.ref})
		return
	}
	if s.hasActiveRun(ref.Task) {
		s.block(g, t, ref)
		return
	}
	kind := structs.PlacementLost
	if past, ok := s.unclaimedEnds[ref]; ok {
		delete(s.unclaimedEnds, ref)
		kind = eventKindOf(past.end)
	}
	g.events = append(g.events, structs.PlacementEvent{ID: t.ID, Kind: kind, Run: max(t.Run, s.highestRuns[ref.Task].run)})
}

// block keeps a task that a gateway has listed while the run of it belongs to another gateway: its job was submitted to both. The
// gateway may place the task elsewhere only after that run.
func (s *Supervisor) block(g *gateway, t *structs.ResumedTask, ref RunRef) {
	run := &run{RunRef: ref, id: t.ID, job: t.Job, step: t.Step, index: t.Index, gateway: g, state: blocked, placedAt: s.now}
	g.runs[t.ID] = run
	s.blockedRuns = append(s.blockedRuns, run)
	s.log(LogEntry{Message: "run claimed by two gateways", Task: ref.Task, Run: ref.Run, Gateway: g.ref})
}

// unblock reports the end of the blocked tasks whose runs have ended.
func (s *Supervisor) unblock() {
	s.blockedRuns = slices.DeleteFunc(s.blockedRuns, func(run *run) bool {
		if s.hasActiveRun(run.Task) {
			return false
		}
		s.reportEnd(run, structs.PlacementLost)
		return true
	})
}

// findUnclaimedRun returns a run of a task that was found and belongs to no gateway. Its number may be higher than
// the one that the gateway knows, since the earlier agent raised it if the server had already seen the number.
func (s *Supervisor) findUnclaimedRun(ref RunRef) *run {
	if run := s.activeRuns[ref]; run != nil && run.gateway == nil {
		return run
	}
	if s.activeRunsByTask[ref.Task] == 0 {
		return nil
	}
	for _, run := range s.sortedActiveRuns() {
		if run.Task == ref.Task && run.gateway == nil {
			return run
		}
	}
	return nil
}

func eventKindOf(end End) structs.PlacementEventKind {
	switch end {
	case EndDone:
		return structs.PlacementDone
	case EndFailed:
		return structs.PlacementFailed
	case EndLost:
	}
	return structs.PlacementLost
}

// GatewayUnlinked handles the end of the link with a gateway.
func (s *Supervisor) GatewayUnlinked(now time.Duration, ref structs.GatewayRef) {
	s.advance(now)
	if g := s.gateways[ref]; g != nil && g.linked {
		g.linked, g.timedOut = false, false
		g.lastContact = min(g.lastContact, s.now-structs.GatewayTimeout+reconnectGrace)
		s.holderLost(ref, s.silentSince(g))
	}
}

// Place handles a gateway's placement of tasks.
func (s *Supervisor) Place(now time.Duration, ref structs.GatewayRef, in *structs.Place) {
	s.place(now, ref, in, false)
}

// PlaceAlone handles a gateway's placement of tasks beside which no task of another job may run.
func (s *Supervisor) PlaceAlone(now time.Duration, ref structs.GatewayRef, in *structs.PlaceAlone) {
	s.place(now, ref, &in.Place, true)
}

func (s *Supervisor) place(now time.Duration, ref structs.GatewayRef, in *structs.Place, alone bool) {
	s.advance(now)
	g := s.gateways[ref]
	if g == nil || !g.linked {
		return
	}
	if s.now-g.lastContact >= structs.GatewayTimeout {
		s.timeOut(g)
		g.probeDue = true // the tasks wait for the answer
	}
	g.placedAt, g.ack = s.now, max(g.ack, in.Seq)
	for i := range in.Tasks {
		t := &in.Tasks[i]
		if g.runs[t.ID] != nil {
			continue
		}
		run := &run{
			RunRef: RunRef{Task: s.options.TaskName(in.Job, in.Step, t.Index), Run: t.Run},
			id:     t.ID, job: in.Job, step: in.Step, index: t.Index, gateway: g, assumedSlowness: g.sentSlowness, payload: in.Payload, need: in.Need, expectedRunTime: in.ExpectedRunTime,
			alone: alone, priority: in.Priority, arrival: s.now - in.Age, placedAt: s.now,
		}
		if in.StartWithin > 0 {
			run.startBy = s.now + in.StartWithin
		}
		g.runs[t.ID] = run
		s.admit(run)
	}
}

// admit queues a run, or reports why it cannot start here.
func (s *Supervisor) admit(run *run) {
	if s.closedTo(run.gateway) != "" {
		s.reportEnd(run, structs.PlacementClosed)
		return
	}
	if s.suspension.reason != "" {
		s.suspension.probe, run.gateway.serverReportDue = run, true
	}
	if !s.server.Capacity.Covers(run.need) {
		s.reportEnd(run, structs.PlacementNoResources)
		return
	}
	s.stopEarlierRuns(run)
	s.enqueue(run)
}

func (s *Supervisor) enqueue(run *run) {
	at, _ := slices.BinarySearchFunc(s.queue, run, compareRuns)
	s.queue = slices.Insert(s.queue, at, run)
	s.queuedResources = s.queuedResources.Add(run.need)
	s.resourcesChanged = true
}

// compareRuns orders queued runs by the priority of their queue, then by the arrival of their job.
func compareRuns(a, b *run) int {
	if c := cmp.Compare(a.priority, b.priority); c != 0 {
		return c
	}
	if c := cmp.Compare(a.arrival, b.arrival); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Task, b.Task); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

// stopEarlierRuns stops active runs of the same task. Another gateway has placed them; since the caller has submitted
// the job again, it no longer waits for that gateway's answer.
func (s *Supervisor) stopEarlierRuns(run *run) {
	for _, other := range s.sortedActiveRuns() {
		if other.Task == run.Task && other != run {
			s.log(LogEntry{Message: "stopping earlier run of a resubmitted task", Task: other.Task, Run: other.Run})
			s.cancel(other)
		}
	}
}

func (s *Supervisor) dequeue(run *run) {
	if at := slices.Index(s.queue, run); at >= 0 {
		s.queue = slices.Delete(s.queue, at, at+1)
		s.queuedResources = s.queuedResources.Sub(run.need)
		s.resourcesChanged = true
	}
}

// Stop handles a gateway's request to stop tasks. Without a link it is out of date: the next Resume carries the stops.
func (s *Supervisor) Stop(now time.Duration, ref structs.GatewayRef, in *structs.Stop) {
	s.advance(now)
	g := s.gateways[ref]
	if g == nil || !g.linked {
		return
	}
	if g.pendingResume != nil {
		g.pendingStops = append(g.pendingStops, in.IDs...)
		return
	}
	s.stopTasks(g, in.IDs)
}

func (s *Supervisor) stopTasks(g *gateway, ids []uint64) {
	for _, id := range ids {
		if run := g.runs[id]; run != nil {
			s.cancel(run)
		}
	}
}

// cancel ends a run. A queued run ends at once, others once the server's list proves that they have ended.
func (s *Supervisor) cancel(run *run) {
	if run.state == blocked {
		return
	}
	if run.state == waiting {
		s.dequeue(run)
		s.reportEnd(run, structs.PlacementWithdrawn)
		return
	}
	if run.state != stopping {
		run.state, run.endKind, run.nextStopAt = stopping, structs.PlacementLost, s.now
		if run.stopBy == 0 { // a found run keeps its earlier limit
			run.stopBy = s.now + maxSilence
			if run.gateway != nil {
				run.stopBy = run.gateway.lastContact + maxSilence
			}
		}
	}
}

func (s *Supervisor) cancelAll(g *gateway) {
	for _, run := range sortedRuns(g) {
		s.cancel(run)
	}
}

// reportEnd sends the last event of a run to its gateway and removes the run from the gateway.
func (s *Supervisor) reportEnd(run *run, kind structs.PlacementEventKind) {
	g := run.gateway
	if g == nil {
		return
	}
	event := structs.PlacementEvent{ID: run.id, Kind: kind, Run: max(run.Run, s.highestRuns[run.Task].run)}
	if run.startedAt > 0 {
		event.RunTime = s.now - run.startedAt
	}
	if run == s.suspension.probe && run.startedAt == 0 {
		s.suspension.probe = nil
	}
	delete(g.runs, run.id)
	g.recentEvents[run.id] = recentEvent{event: event, at: s.now}
	if g.linked {
		g.events = append(g.events, event)
	}
	run.gateway = nil
}
