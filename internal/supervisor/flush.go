package supervisor

import (
	"cmp"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Flush lets time pass, starts what fits and returns the actions since the last call.
func (r *Supervisor) Flush(now time.Duration) []Action {
	r.advance(now)
	r.stopSilent()
	r.stopUnclaimed()
	r.expireLease()
	r.sendStops()
	r.pump()
	r.returnLate()
	r.trim()
	r.prune()
	if r.changed {
		r.changed = false
		for _, o := range r.gateways {
			o.report = true
		}
	}
	r.sendMessages()
	actions := r.actions
	r.actions = nil
	return actions
}

// stopSilent stops the tasks of gateways that have not been heard for too long.
func (r *Supervisor) stopSilent() {
	for _, o := range r.sortedGateways() {
		if r.now-o.heard < structs.GatewayTimeout {
			continue
		}
		if len(o.runs) > 0 {
			r.note(LogEntry{Message: "gateway silent, stops its tasks", Gateway: o.ref})
			r.abandonAll(o)
		}
		if !o.linked && r.now-o.heard > eventRetention {
			delete(r.gateways, o.ref)
		}
	}
}

// stopUnclaimed stops the runs that were found at the start and that no gateway has claimed.
func (r *Supervisor) stopUnclaimed() {
	if r.claimUntil == 0 || r.now < r.claimUntil {
		return
	}
	r.claimUntil = 0
	for _, run := range r.runsInOrder() {
		if run.gateway == nil && run.state == running {
			r.abandon(run)
		}
	}
}

func (r *Supervisor) sendStops() {
	var due []*run
	for _, run := range r.activeRuns {
		if run.state == stopping && !run.stopConfirmed && r.now >= run.nextStopAt {
			due = append(due, run)
		}
	}
	slices.SortFunc(due, func(a, b *run) int { return cmp.Compare(a.Task, b.Task) })
	for _, run := range due {
		run.nextStopAt = r.now + time.Hour // until the answer
		r.actions = append(r.actions, CallStop{RunRef: run.RunRef, Token: r.token})
	}
}

// pump starts waiting runs in their order while there is room. A smaller run may pass one that does not fit for a
// limited time.
func (r *Supervisor) pump() {
	if r.server == nil || r.now < r.pauseUntil {
		return
	}
	for i := 0; i < len(r.queue); {
		run := r.queue[i]
		if r.server.Capacity.Sub(r.usedResources).Covers(run.need) && !r.taskActive(run.Task) {
			r.dequeue(run)
			r.launch(run)
			continue
		}
		if r.now-run.placedAt >= BackfillLimit && !r.taskActive(run.Task) {
			return
		}
		i++
	}
}

// taskActive reports whether the server may have a run of a task.
func (r *Supervisor) taskActive(task string) bool { return r.activeRunsByTask[task] > 0 }

func (r *Supervisor) launch(run *run) {
	if past, known := r.highest[run.Task]; known && past.run >= run.Run {
		run.Run = past.run + 1
	}
	r.highest[run.Task] = pastRun{run: run.Run, at: r.now}
	run.state, run.startedAt = starting, r.now
	r.activate(run)
	r.usedResources = r.usedResources.Add(run.need)
	r.actions = append(r.actions, CallStart{RunRef: run.RunRef, Payload: run.payload, Token: r.token})
}

// returnLate returns waiting runs that have not started in the time that their gateway has set.
func (r *Supervisor) returnLate() {
	for _, run := range slices.Clone(r.queue) {
		if run.startBy > 0 && r.now >= run.startBy {
			r.dequeue(run)
			r.report(run, structs.PlacementNoResources)
		}
	}
}

// trim returns the last waiting runs to their gateways while more waits than structs.QueueShare of the capacity. One run may
// always wait, however large.
func (r *Supervisor) trim() {
	if r.server == nil {
		return
	}
	limit := int64(structs.QueueShare * float64(r.server.Capacity.CPU))
	for len(r.queue) > 1 && r.queuedResources.CPU > limit {
		last := r.queue[len(r.queue)-1]
		r.dequeue(last)
		r.report(last, structs.PlacementNoResources)
	}
}

// prune forgets events and run numbers that nobody asks for any more.
func (r *Supervisor) prune() {
	if r.now < r.pruneAt {
		return
	}
	r.pruneAt = r.now + eventRetention/2
	for _, o := range r.gateways {
		for id, past := range o.recent {
			if r.now-past.at > eventRetention {
				delete(o.recent, id)
			}
		}
	}
	for task, past := range r.highest {
		if r.now-past.at > 10*eventRetention && !r.taskActive(task) {
			delete(r.highest, task)
		}
	}
	for ref, past := range r.found {
		if r.now-past.at > eventRetention {
			delete(r.found, ref)
		}
	}
}

func (r *Supervisor) sendMessages() {
	interval := time.Duration(r.linked()) * ReportInterval
	for _, o := range r.sortedGateways() {
		if o.linked {
			r.sendTo(o, interval)
		}
	}
}

// linked returns the number of gateways with a link.
func (r *Supervisor) linked() int {
	count := 0
	for _, o := range r.gateways {
		if o.linked {
			count++
		}
	}
	return count
}

func (r *Supervisor) sendTo(o *gateway, interval time.Duration) {
	if o.announce {
		o.announce, o.report = false, true
		r.send(o, structs.TypeServerReport, r.ServerReport())
	}
	events := len(o.events) > 0
	if events {
		r.send(o, structs.TypePlacementEvents, &structs.PlacementEvents{Events: o.events})
		o.events = nil
	}
	if o.report && (events || r.now >= o.reportAt) {
		o.report, o.reportAt = false, r.now+interval
		r.send(o, structs.TypeResourceReport, r.roomReport(o))
	}
	if r.now-o.sentAt >= r.beatInterval(o) {
		r.send(o, structs.TypeHeartbeat, &structs.Heartbeat{Revision: r.revision})
	}
}

func (r *Supervisor) beatInterval(o *gateway) time.Duration {
	if len(o.runs) > 0 {
		return structs.BusyHeartbeatInterval
	}
	return structs.IdleHeartbeatInterval
}

func (r *Supervisor) send(o *gateway, typ structs.MessageType, message any) {
	o.sentAt = r.now
	r.actions = append(r.actions, Send{Gateway: o.ref, Type: typ, Message: message})
}

// ServerReport returns the server report of this moment, also the first message on a link.
func (r *Supervisor) ServerReport() *structs.ServerReport {
	report := &structs.ServerReport{
		Agent: r.options.Self, Zone: r.options.Zone, Revision: r.revision, Reason: r.closed(),
	}
	report.Open = report.Reason == ""
	if r.server != nil {
		report.Server, report.Service = r.server.ID, r.server.Service
		report.Labels, report.Capacity = r.server.Labels, r.server.Capacity
	}
	return report
}

func (r *Supervisor) roomReport(o *gateway) *structs.ResourceReport {
	report := &structs.ResourceReport{Ack: o.ack, Gateways: r.linked()}
	if r.server == nil {
		return report
	}
	report.Free = r.server.Capacity.Sub(r.usedResources)
	for _, run := range r.queue {
		last := len(report.Queues) - 1
		if last < 0 || report.Queues[last].Priority != run.priority {
			report.Queues = append(report.Queues, structs.QueuedCPU{Priority: run.priority})
			last++
		}
		report.Queues[last].CPU += run.need.CPU
	}
	for _, run := range r.activeRuns {
		if run.expectedRunTime > 0 {
			report.ReleaseRate += float32(run.need.CPU) / float32(run.expectedRunTime.Milliseconds()+1)
		}
	}
	return report
}

// NextWake returns the time of the next Flush that something depends on.
func (r *Supervisor) NextWake() time.Duration {
	wake := r.now + structs.IdleHeartbeatInterval
	sooner := func(at time.Duration) {
		if at < wake {
			wake = at
		}
	}
	for _, o := range r.gateways {
		if len(o.runs) > 0 {
			sooner(o.heard + structs.GatewayTimeout)
		}
		if o.linked {
			sooner(o.sentAt + r.beatInterval(o))
			if o.report {
				sooner(o.reportAt)
			}
		}
	}
	for _, run := range r.activeRuns {
		if run.state == stopping && !run.stopConfirmed {
			sooner(run.nextStopAt)
		}
	}
	for _, run := range r.queue {
		if run.startBy > 0 {
			sooner(run.startBy)
		}
	}
	if len(r.queue) > 0 && r.pauseUntil > r.now {
		sooner(r.pauseUntil)
	}
	if r.claimUntil > 0 && len(r.activeRuns) > 0 {
		sooner(r.claimUntil)
	}
	if r.unresponsive && (len(r.activeRuns) > 0 || !r.reconciled) {
		sooner(r.leaseEnd())
	}
	return max(wake, r.now)
}

// HasUnansweredCalls reports whether a start or a list was not answered since the last list, so that the server may be silent.
func (r *Supervisor) HasUnansweredCalls() bool { return r.unansweredStarts+r.failedLists > 0 }

// HasStoppingRuns reports whether the room waits for the proof that a run is gone.
func (r *Supervisor) HasStoppingRuns() bool {
	for _, run := range r.activeRuns {
		if run.state == stopping {
			return true
		}
	}
	return false
}
