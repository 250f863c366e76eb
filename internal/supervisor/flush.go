package supervisor

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Flush advances the clock to now, starts the queued runs that fit, and returns the actions since the last call.
func (s *Supervisor) Flush(now time.Duration) []Action {
	s.advance(now)
	s.expireGateways()
	s.stopUnclaimed()
	s.expireLease()
	s.sendStops()
	s.probeServer()
	s.startQueuedRuns()
	s.unblock()
	s.retryStarts()
	s.returnOverdueRuns()
	s.trimQueue()
	s.prune()
	s.expireClaims()
	if s.resourcesChanged {
		s.resourcesChanged = false
		for _, g := range s.gateways {
			g.reportDue = true
		}
	}
	s.readZones()
	s.sendMessages()
	s.sendRackDemand()
	actions := s.actions
	s.actions = nil
	return actions
}

// expireGateways stops the tasks of gateways without a contact for too long.
func (s *Supervisor) expireGateways() {
	for _, g := range s.sortedGateways() {
		if s.now-g.lastContact < structs.GatewayTimeout {
			continue
		}
		if len(g.runs) > 0 {
			s.timeOut(g)
		}
		if !g.linked && s.now-g.lastContact > eventRetention {
			s.cancelAll(g)
			delete(s.gateways, g.ref)
		}
	}
}

// timeOut stops the tasks of a gateway without contact, once.
func (s *Supervisor) timeOut(g *gateway) {
	if g.timedOut {
		return
	}
	g.timedOut = true
	if len(g.runs) > 0 {
		s.log(LogEntry{
			Message: "gateway timed out, stopping its tasks", Gateway: g.ref, Detail: "last contact " + (s.now - g.lastContact).String() + " ago",
		})
		s.cancelAll(g)
	}
}

// stopUnclaimed stops the runs that were found at the startup and that no gateway has claimed.
func (s *Supervisor) stopUnclaimed() {
	if s.claimDeadline == 0 || s.now < s.claimDeadline {
		return
	}
	s.claimDeadline = 0
	for _, run := range s.sortedActiveRuns() {
		if run.gateway == nil && run.state == running {
			s.cancel(run)
		}
	}
}

func (s *Supervisor) sendStops() {
	var due []*run
	for _, run := range s.activeRuns {
		if run.state == stopping && !run.stopConfirmed && s.now >= run.nextStopAt {
			due = append(due, run)
		}
	}
	slices.SortFunc(due, func(a, b *run) int { return cmp.Compare(a.Task, b.Task) })
	for _, run := range due {
		run.nextStopAt = s.now + time.Hour // set again by the answer
		s.actions = append(s.actions, CallStop{RunRef: run.RunRef, Token: s.token})
	}
}

// startQueuedRuns starts queued runs in order while they fit into the free resources. For a limited time, smaller
// runs may start before one that does not fit.
func (s *Supervisor) startQueuedRuns() {
	if s.server == nil || s.now < s.startsPausedUntil {
		return
	}
	if len(s.queue) > 0 && s.leaseLimit() <= s.now {
		return // the lease of a start would prolong a run that must end
	}
	for i := 0; i < len(s.queue); {
		run := s.queue[i]
		if !s.isInContact(run.gateway) || s.outlivesContact(run.gateway) {
			i++
			continue
		}
		if s.mayRunBeside(run) && s.server.Capacity.Sub(s.usedResources).Covers(run.need) && !s.hasActiveRun(run.Task) {
			s.dequeue(run)
			s.start(run)
			continue
		}
		if s.now-run.placedAt >= BackfillLimit && !s.hasActiveRun(run.Task) && !run.alone {
			return
		}
		i++
	}
}

// mayRunBeside reports whether a run may be started beside the active ones: runs that must be alone have none of another job
// beside them.
func (s *Supervisor) mayRunBeside(run *run) bool {
	for _, other := range s.activeRuns {
		if (run.alone || other.alone) && other.job != run.job {
			return false
		}
	}
	return true
}

// hasActiveRun reports whether the server may have a run of a task.
func (s *Supervisor) hasActiveRun(task string) bool { return s.activeRunsByTask[task] > 0 }

// start requests the start of a run, under a number above those already used by its task.
func (s *Supervisor) start(run *run) {
	if past, known := s.highestRuns[run.Task]; known && past.run >= run.Run {
		run.Run = past.run + 1
	}
	s.highestRuns[run.Task] = usedRunNumber{run: run.Run, at: s.now}
	run.state, run.startedAt = starting, s.now
	s.activate(run)
	s.usedResources = s.usedResources.Add(run.need)
	s.requestStart(run)
}

func (s *Supervisor) requestStart(run *run) {
	run.tries++
	run.incarnation, run.startToken, run.requestedAt = s.server.StartTime, s.token, s.now
	run.startContact = s.now - run.gateway.lastContact
	run.retryAt = s.now + s.startRetryDelay()
	s.actions = append(s.actions, CallStart{
		RunRef: run.RunRef, Payload: run.payload, Token: s.token, LeaseEnd: s.grantLease(),
	})
}

func (s *Supervisor) startRetryDelay() time.Duration {
	if s.CallsGetLost(s.now) {
		return lossyRetryDelay
	}
	return startRetryDelay
}

// retryStarts repeats the starts that were not answered in time: one lost answer must not delay a short task until the
// time-out.
func (s *Supervisor) retryStarts() {
	var due []*run
	for _, run := range s.activeRuns {
		if run.state == starting && run.tries < maxStartTries && s.now >= run.retryAt && s.canRun(run) {
			due = append(due, run)
		}
	}
	slices.SortFunc(due, compareRuns)
	for _, run := range due {
		if s.leaseLimit() <= s.now || !s.server.Capacity.Covers(s.usedResources) {
			run.retryAt = s.now + s.startRetryDelay()
			continue
		}
		s.requestStart(run)
	}
}

// returnOverdueRuns returns queued runs that did not start within the time that their gateway has set.
func (s *Supervisor) returnOverdueRuns() {
	for _, run := range slices.Clone(s.queue) {
		if run.startBy > 0 && s.now >= run.startBy {
			s.log(LogEntry{
				Message: "queued run returned, its time to start has passed", Task: run.Task, Run: run.Run, Gateway: run.gateway.ref,
				Detail: s.describeQueue(),
			})
			s.dequeue(run)
			s.reportEnd(run, structs.PlacementNoResources)
		}
	}
}

// describeQueue returns what keeps runs waiting, for the log.
func (s *Supervisor) describeQueue() string {
	if s.server == nil {
		return "no server"
	}
	return fmt.Sprintf("free %d of %d, queued %d runs, starts paused for %v, lease limit in %v",
		s.server.Capacity.CPU-s.usedResources.CPU, s.server.Capacity.CPU, len(s.queue), max(s.startsPausedUntil-s.now, 0),
		s.leaseLimit()-s.now)
}

// trimQueue returns runs from the end of the queue while the queue exceeds structs.QueueShare of the capacity. One
// run may always be queued, however large.
func (s *Supervisor) trimQueue() {
	if s.server == nil {
		return
	}
	limit := int64(structs.QueueShare * float64(s.server.Capacity.CPU))
	for len(s.queue) > 1 && s.queuedResources.CPU > limit {
		last := s.queue[len(s.queue)-1]
		s.dequeue(last)
		s.reportEnd(last, structs.PlacementNoResources)
	}
}

// prune removes events, run numbers and unclaimed ends that are too old to be asked for.
func (s *Supervisor) prune() {
	if s.now < s.pruneAt {
		return
	}
	s.pruneAt = s.now + eventRetention/2
	for _, g := range s.gateways {
		for id, past := range g.recentEvents {
			if s.now-past.at > eventRetention {
				delete(g.recentEvents, id)
			}
		}
	}
	for task, past := range s.highestRuns {
		if s.now-past.at > 10*eventRetention && !s.hasActiveRun(task) {
			delete(s.highestRuns, task)
		}
	}
	for ref, past := range s.unclaimedEnds {
		if s.now-past.at > eventRetention {
			delete(s.unclaimedEnds, ref)
		}
	}
}

func (s *Supervisor) sendMessages() {
	s.slowness.recover(s.now)
	linked := s.linkedGateways()
	for _, g := range s.sortedGateways() {
		if g.linked {
			s.sendTo(g, linked)
		}
	}
}

// reportInterval returns the shortest time between resource reports to a gateway, other than with an event. linked is the
// number of linked gateways. With many gateways most of them place their tasks elsewhere and need only a rough view.
func (s *Supervisor) reportInterval(g *gateway, linked int) time.Duration {
	interval := time.Duration(linked) * ReportInterval
	if len(g.runs) == 0 && s.now-g.placedAt >= activeTime {
		interval = interval * time.Duration(max(linked, fullViewGateways)) / fullViewGateways
	}
	return min(interval, structs.IdleHeartbeatInterval)
}

// linkedGateways returns the number of linked gateways.
func (s *Supervisor) linkedGateways() int {
	count := 0
	for _, g := range s.gateways {
		if g.linked {
			count++
		}
	}
	return count
}

// sendTo sends a gateway the messages that are due. linked is the number of linked gateways.
func (s *Supervisor) sendTo(g *gateway, linked int) {
	if g.featuresDue {
		g.featuresDue = false
		s.send(g, structs.TypeFeatures, &structs.Features{PlaceAlone: true})
	}
	s.sendNotices(g)
	s.sendUnsettled(g)
	for _, m := range g.cancelled {
		s.send(g, structs.TypeJobsCancelled, m)
	}
	g.cancelled = nil
	s.sendClaimAnswers(g)
	if g.zonesDue {
		g.zonesDue = false
		s.send(g, structs.TypeZonesOut, s.zoneState())
	}
	if g.serverReportDue {
		g.serverReportDue, g.reportDue = false, true
		report := s.ServerReport()
		report.Reason = s.closedTo(g)
		report.Open = report.Reason == ""
		s.send(g, structs.TypeServerReport, report)
	}
	change := math.Abs(s.slowness.current - g.sentSlowness)
	g.reportDue = g.reportDue || change > urgentSlownessStep
	events := len(g.events) > 0
	if events {
		s.send(g, structs.TypePlacementEvents, &structs.PlacementEvents{Events: g.events})
		g.events = nil
	}
	if g.reportDue && (events || s.now >= g.nextReportAt) {
		g.reportDue, g.nextReportAt = false, s.now+s.reportInterval(g, linked)
		if change > slownessReportStep {
			g.sentSlowness = s.slowness.current
			s.send(g, structs.TypeServerHealth, &structs.ServerHealth{LogSlowness: g.sentSlowness})
		}
		s.send(g, structs.TypeResourceReport, s.resourceReport(g))
	}
	if s.now-g.sentAt >= s.heartbeatInterval(g) {
		s.send(g, structs.TypeHeartbeat, &structs.Heartbeat{Revision: s.revision})
	}
	s.sendProbe(g, linked)
}

func (s *Supervisor) heartbeatInterval(g *gateway) time.Duration {
	if len(g.runs) > 0 {
		return structs.BusyHeartbeatInterval
	}
	return structs.IdleHeartbeatInterval
}

func (s *Supervisor) send(g *gateway, typ structs.MessageType, message any) {
	g.sentAt = s.now
	s.actions = append(s.actions, Send{Gateway: g.ref, Type: typ, Message: message})
}

// ServerReport returns the current server report. It is also the first message on a link.
func (s *Supervisor) ServerReport() *structs.ServerReport {
	report := &structs.ServerReport{
		Agent: s.options.Self, Zone: s.options.Zone, Revision: s.revision, Reason: s.closedReason(),
	}
	if report.Reason == "" {
		report.Reason = s.suspension.reason
	}
	report.Open = report.Reason == ""
	if s.server != nil {
		report.Server, report.Service = s.server.ID, s.server.Service
		report.Labels, report.Capacity = s.server.Labels, s.server.Capacity
	}
	return report
}

func (s *Supervisor) resourceReport(g *gateway) *structs.ResourceReport {
	report := &structs.ResourceReport{Ack: g.ack, Gateways: s.linkedGateways()}
	if s.server == nil {
		return report
	}
	report.Free = s.server.Capacity.Sub(s.usedResources)
	for _, run := range s.queue {
		last := len(report.Queues) - 1
		if last < 0 || report.Queues[last].Priority != run.priority {
			report.Queues = append(report.Queues, structs.QueuedCPU{Priority: run.priority})
			last++
		}
		report.Queues[last].CPU += run.need.CPU
	}
	for _, run := range s.activeRuns {
		if run.alone {
			report.Free = structs.Resources{}
		}
		if run.expectedRunTime > 0 {
			report.ReleaseRate += float32(run.need.CPU) / float32(run.expectedRunTime.Milliseconds()+1)
		}
	}
	return report
}

// NextWake returns when Flush must be called next if no input comes before.
func (s *Supervisor) NextWake() time.Duration {
	wake := s.demand.NextWake(s.now + structs.IdleHeartbeatInterval)
	sooner := func(at time.Duration) {
		if at < wake {
			wake = at
		}
	}
	for _, g := range s.gateways {
		if len(g.runs) > 0 && !g.timedOut {
			sooner(g.lastContact + structs.GatewayTimeout)
		}
		if g.linked {
			sooner(g.sentAt + s.heartbeatInterval(g))
			if g.reportDue {
				sooner(g.nextReportAt)
			}
		}
	}
	sooner(s.nextRunWake(wake))
	sooner(s.nextClaimExpiry(wake))
	sooner(s.zoneReader.NextRead(&s.zones))
	if b := &s.suspension; b.reason != "" && b.probe == nil && s.linkedGateways() > 0 {
		sooner(max(b.until, b.probeUntil, s.now+time.Millisecond))
	}
	if len(s.queue) > 0 && s.startsPausedUntil > s.now {
		sooner(s.startsPausedUntil)
	}
	if s.claimDeadline > 0 && len(s.activeRuns) > 0 {
		sooner(s.claimDeadline)
	}
	if s.unresponsive && !s.reconciled {
		sooner(s.runsEndBy())
	}
	if s.unresponsive {
		for _, run := range s.activeRuns {
			sooner(max(s.runsEndBy(), s.settledAt(run)))
		}
	}
	return max(wake, s.now)
}

// nextRunWake returns when the first of the active and queued runs needs a Flush, or latest if none does before.
func (s *Supervisor) nextRunWake(latest time.Duration) time.Duration {
	wake := latest
	for _, run := range s.activeRuns {
		switch {
		case run.state == stopping && !run.stopConfirmed:
			wake = min(wake, run.nextStopAt)
		case run.state == starting && run.tries < maxStartTries && s.canRun(run):
			wake = min(wake, run.retryAt)
		}
	}
	for _, run := range s.queue {
		if run.startBy > 0 {
			wake = min(wake, run.startBy)
		}
	}
	return wake
}

// HasUnansweredCalls reports whether a start or list request was not answered since the last list, so that the server
// may be unresponsive.
func (s *Supervisor) HasUnansweredCalls() bool { return s.unansweredStarts+s.failedLists > 0 }

// HasStoppingRuns reports whether the end of a run still has to be proved by a list.
func (s *Supervisor) HasStoppingRuns() bool {
	for _, run := range s.activeRuns {
		if run.state == stopping {
			return true
		}
	}
	return false
}
