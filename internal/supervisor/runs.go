package supervisor

import (
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

type pastRun struct {
	run uint32
	at  time.Duration
}

type foundEnd struct {
	end End
	at  time.Duration
}

// finish removes a run that is certainly not at the server any more.
func (r *Supervisor) finish(run *run, kind structs.PlacementEventKind) {
	if r.activeRuns[run.RunRef] != run {
		return
	}
	r.deactivate(run)
	r.usedResources = r.usedResources.Sub(run.need)
	r.changed = true
	r.highest[run.Task] = pastRun{run: max(run.Run, r.highest[run.Task].run), at: r.now}
	r.report(run, kind)
}

// StartAnswered takes the server's answer to a CallStart.
func (r *Supervisor) StartAnswered(now time.Duration, ref RunRef, answer Answer) {
	r.advance(now)
	run := r.activeRuns[ref]
	if run == nil {
		return
	}
	run.answered = answer != AnswerNone
	if run.state == stopping {
		r.answerToStopping(run, answer)
		return
	}
	if run.state != starting {
		return
	}
	switch answer {
	case AnswerOK:
		run.state, run.confirmedAt = running, r.now
	case AnswerNone:
		r.note(LogEntry{Message: "start not answered, stops it", Task: run.Task, Run: run.Run})
		run.state, run.endKind, run.nextStopAt = stopping, structs.PlacementUnhealthy, r.now
		r.unansweredStarts++
	case AnswerOldRun:
		r.again(run)
	case AnswerNoResources:
		r.pauseUntil = r.now + noRoomPause
		r.note(LogEntry{Message: "server has no room", Task: run.Task, Run: run.Run})
		r.finish(run, structs.PlacementNoResources)
	case AnswerUnhealthy:
		r.note(LogEntry{Message: "server refuses a start", Task: run.Task, Run: run.Run})
		r.finish(run, structs.PlacementUnhealthy)
	}
}

// answerToStopping uses the answer to the start of a run that is to stop: a refusal proves that it never ran.
func (r *Supervisor) answerToStopping(run *run, answer Answer) {
	if answer != AnswerNone && answer != AnswerOK {
		r.finish(run, run.endKind)
	}
}

// again starts a task under the next run number, after the server has refused the last one as too low.
func (r *Supervisor) again(run *run) {
	r.deactivate(run)
	r.highest[run.Task] = pastRun{run: run.Run, at: r.now}
	r.usedResources = r.usedResources.Sub(run.need)
	if !r.mayRun(run) {
		r.report(run, structs.PlacementClosed)
		return
	}
	r.launch(run)
}

func (r *Supervisor) mayRun(run *run) bool { return r.closed() == "" && run.gateway != nil }

// StopAnswered takes the server's answer to a CallStop. After it the run does not start any more; whether it has
// stopped shows the next list.
func (r *Supervisor) StopAnswered(now time.Duration, ref RunRef, answer Answer) {
	r.advance(now)
	run := r.activeRuns[ref]
	if run == nil || run.state != stopping {
		return
	}
	if answer == AnswerOK {
		run.stopConfirmed, run.stopConfirmedAt = true, r.now
		return
	}
	run.nextStopAt = r.now + StopRetryInterval
}

// LeaseRenewalSent says that a call which may renew the lease of all runs is being sent.
func (r *Supervisor) LeaseRenewalSent(now time.Duration) {
	r.advance(now)
	r.leaseRenewedAt = r.now
}

// CanRenewLease reports whether the list may renew the lease. While the server is silent it does not, so that the runs are
// certain to have ended a lease after the last renewal.
func (r *Supervisor) CanRenewLease() bool { return !r.unresponsive }

// ServerUnresponsive reports whether the server does not answer.
func (r *Supervisor) ServerUnresponsive() bool { return r.unresponsive }

// ListFailed says that the server has not answered a list, or with gone that nothing listens at its address any more.
func (r *Supervisor) ListFailed(now time.Duration, gone bool) {
	r.advance(now)
	if gone && len(r.activeRuns) > 0 {
		r.note(LogEntry{Message: "server does not listen, its runs are gone"})
		r.dropAll()
	}
	r.failedLists++
	if gone || r.failedLists >= silentLists {
		r.setSilent(true)
	}
}

func (r *Supervisor) setSilent(silent bool) {
	if r.unresponsive == silent {
		return
	}
	r.unresponsive = silent
	r.note(LogEntry{Message: "server silent", Detail: strconv.FormatBool(silent)})
	r.announceAll()
}

// expireLease ends the runs of a silent server after their lease.
func (r *Supervisor) expireLease() {
	if !r.unresponsive || r.now < r.leaseEnd() {
		return
	}
	r.survey()
	if len(r.activeRuns) == 0 {
		return
	}
	r.note(LogEntry{Message: "leases have lapsed at a silent server"})
	for _, run := range r.runsInOrder() {
		r.finish(run, structs.PlacementLost)
	}
}

// survey ends the start of the agent: it is known what an earlier one has left.
func (r *Supervisor) survey() {
	if r.reconciled {
		return
	}
	r.reconciled = true
	r.note(LogEntry{Message: "server surveyed", Detail: "runs found " + strconv.Itoa(len(r.activeRuns))})
	for _, o := range r.sortedGateways() {
		r.compare(o)
	}
	r.announceAll()
}

// Reconciled reports whether it is known what an earlier agent has left running.
func (r *Supervisor) Reconciled() bool { return r.reconciled }

func (r *Supervisor) leaseEnd() time.Duration { return r.leaseRenewedAt + r.lease() }

// lease returns the longest time that a lease or the deadline of a start may last by the agent's clock.
func (r *Supervisor) lease() time.Duration {
	return time.Duration(structs.ClockDriftFactor * float64(r.options.RunLease))
}

// HandleList takes the server's list of its runs.
func (r *Supervisor) HandleList(now time.Duration, list RunList) {
	r.advance(now)
	if r.server != nil && list.StartTime != 0 && list.StartTime < r.server.StartTime && list.RequestedAt <= r.startTimeKnownAt {
		return // a late answer of an earlier incarnation
	}
	r.setSilent(false)
	r.unansweredStarts, r.failedLists = 0, 0
	r.tokenSeen = r.tokenSeen || list.RequestedAt > r.tokenRaisedAt
	if r.server != nil && list.StartTime != 0 {
		if r.server.StartTime != 0 && list.StartTime != r.server.StartTime {
			r.bornAnew(r.server.ID)
		}
		r.setBorn(list.StartTime)
	}
	for _, e := range list.Ended {
		r.ended(e)
	}
	present := make(map[RunRef]bool, len(list.Running))
	for _, l := range list.Running {
		present[l.RunRef] = true
		r.listed(l)
	}
	r.survey()
	for _, run := range r.runsInOrder() {
		if !present[run.RunRef] && r.provesGone(run, list.RequestedAt) {
			kind := structs.PlacementLost
			if run.state == stopping {
				kind = run.endKind
			}
			r.finish(run, kind)
		}
	}
}

// provesGone reports whether a list that was asked for at a time and does not show the run proves that it is not there
// and will not be.
func (r *Supervisor) provesGone(run *run, asked time.Duration) bool {
	switch run.state {
	case running:
		return run.confirmedAt < asked
	case stopping:
		return run.stopConfirmed && run.stopConfirmedAt < asked
	case waiting, starting:
	}
	return false
}

func (r *Supervisor) ended(e ListedEnd) {
	if e.Number <= r.seen {
		return
	}
	r.seen = e.Number
	run := r.activeRuns[e.RunRef]
	if run == nil {
		r.found[e.RunRef] = foundEnd{end: e.End, at: r.now}
		return
	}
	kind := eventOf(e.End)
	if run.gateway == nil {
		r.found[e.RunRef] = foundEnd{end: e.End, at: r.now}
	}
	if run.state == stopping && kind == structs.PlacementLost {
		kind = run.endKind
	}
	r.finish(run, kind)
}

// listed notes a run that the server shows. One that is not known is kept for a claim during the agent's start, else
// it is stopped: it belongs to an earlier life of the agent or was started late.
func (r *Supervisor) listed(l ListedRun) {
	run := r.activeRuns[l.RunRef]
	if run != nil {
		if run.fenced {
			run.fenced, run.stopConfirmed, run.nextStopAt = false, false, r.now
		}
		r.checkProgress(run, l.Percent)
		return
	}
	run = newFound(l.RunRef, r.now)
	if r.now >= r.claimUntil {
		run.state, run.endKind, run.nextStopAt = stopping, structs.PlacementLost, r.now
	}
	r.note(LogEntry{Message: "run found", Task: l.Task, Run: l.Run})
	r.keep(run)
}

// keep adds a run that the server may have and that was not started by this agent. A later start of its task waits for
// its end.
func (r *Supervisor) keep(run *run) {
	r.activate(run)
	r.highest[run.Task] = pastRun{run: max(run.Run, r.highest[run.Task].run), at: r.now}
}

func (r *Supervisor) activate(run *run) {
	r.activeRuns[run.RunRef] = run
	r.activeRunsByTask[run.Task]++
}

func (r *Supervisor) deactivate(run *run) {
	delete(r.activeRuns, run.RunRef)
	if r.activeRunsByTask[run.Task]--; r.activeRunsByTask[run.Task] == 0 {
		delete(r.activeRunsByTask, run.Task)
	}
}

func newFound(ref RunRef, now time.Duration) *run {
	return &run{RunRef: ref, state: running, startedAt: now, confirmedAt: now, answered: true}
}

// checkProgress reports a run that lags behind its expected time. The rest is estimated from the progress; a run
// without any is taken to never end.
func (r *Supervisor) checkProgress(run *run, percent float64) {
	if run.state != running || run.gateway == nil || !run.gateway.linked || run.expectedRunTime <= 0 || r.now < run.nextStragglerReportAt {
		return
	}
	elapsed := r.now - run.startedAt
	limit := max(time.Duration(lagFactor*float64(run.expectedRunTime)), lagMinimum)
	remaining := structs.StalledRemaining
	if percent > 0 {
		remaining = time.Duration(float64(elapsed) * (100 - percent) / percent)
	}
	if elapsed < run.expectedRunTime/2 || elapsed+remaining < limit {
		return
	}
	if percent <= 0 && elapsed < limit {
		return
	}
	run.nextStragglerReportAt = r.now + lagRepeat
	run.gateway.events = append(run.gateway.events, structs.PlacementEvent{
		ID: run.id, Kind: structs.PlacementStraggling, RunTime: elapsed, Remaining: remaining,
	})
}
