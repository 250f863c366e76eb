package supervisor

import (
	"fmt"
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// usedRunNumber is a run number of a task and when it was last used.
type usedRunNumber struct {
	run uint32
	at  time.Duration
}

// unclaimedEnd is the end of a run that no gateway has claimed.
type unclaimedEnd struct {
	end End
	at  time.Duration
}

// evidence says why a run counts as ended or as never started, for the log.
type evidence string

const (
	evidenceListedEnd    evidence = "the list shows its end"
	evidenceNotListed    evidence = "the list does not show it"
	evidenceStartRefused evidence = "start refused"
	evidenceLease        evidence = "lease expired"
	evidenceRefused      evidence = "connections refused"
)

// finish removes a run that has certainly ended and reports its end.
func (s *Supervisor) finish(run *run, kind structs.PlacementEventKind, why evidence) {
	if s.activeRuns[run.RunRef] != run {
		return
	}
	if kind != structs.PlacementDone && kind != structs.PlacementFailed {
		s.log(LogEntry{Message: MessageLost, Task: run.Task, Run: run.Run, Detail: string(why) + ", " + s.describeStart(run)})
	}
	s.deactivate(run)
	s.recordEnd(run, kind)
	s.usedResources = s.usedResources.Sub(run.need)
	s.resourcesChanged = true
	s.highestRuns[run.Task] = usedRunNumber{run: max(run.Run, s.highestRuns[run.Task].run), at: s.now}
	s.reportEnd(run, kind)
}

// describeIncarnation returns the server's incarnation and the fencing token, for the log.
func (s *Supervisor) describeIncarnation() string {
	if s.server == nil {
		return "no server"
	}
	return fmt.Sprintf("server started at %d, token %d, confirmed %v", s.server.StartTime, s.token, s.tokenConfirmed)
}

// describeStart returns what is known about the start of a run and the last contact with its gateway, for the log.
func (s *Supervisor) describeStart(run *run) string {
	detail := fmt.Sprintf("requested %v ago at the server started at %d with token %d, answers %d of %d, contact of its gateway then "+
		"%v old, lease ends in %v, calls with a lease and without an answer %d, now: %s", s.now-run.startedAt, run.incarnation,
		run.startToken, run.answers, run.tries, run.startContact, s.leaseEnd-s.now, s.open.leases, s.describeIncarnation())
	if run.gateway != nil {
		detail += fmt.Sprintf(", last contact with its gateway %v ago", s.now-run.gateway.lastContact)
	}
	return detail
}

// StartAnswered handles the server's answer to a CallStart.
func (s *Supervisor) StartAnswered(now time.Duration, ref RunRef, answer Answer) {
	s.advance(now)
	run := s.activeRuns[ref]
	if run == nil {
		return
	}
	s.recordAnswer(answer)
	if answer == AnswerFenced {
		s.startFenced(run)
		return
	}
	if answer != AnswerNone {
		run.answers++
	} else {
		s.callLostAt = s.now
	}
	if run.state == stopping {
		s.startAnsweredWhileStopping(run, answer)
		return
	}
	if run.state != starting {
		return
	}
	if run.tries > 1 && answer == AnswerOldRun {
		answer = AnswerOK // an earlier request was carried out and its run has ended, as the next list shows
	}
	if run.tries > 1 && (answer == AnswerNoResources || answer == AnswerUnhealthy) {
		s.log(LogEntry{Message: "start refused after an unanswered one, stops it", Task: run.Task, Run: run.Run})
		s.stopUnanswered(run, structs.PlacementLost)
		return
	}
	switch answer {
	case AnswerOK:
		run.state, run.confirmedAt = running, s.now
	case AnswerNone:
		s.log(LogEntry{Message: "start not answered, stops it", Task: run.Task, Run: run.Run})
		s.stopUnanswered(run, structs.PlacementUnhealthy)
		s.unansweredStarts++
	case AnswerOldRun:
		s.requeue(run)
	case AnswerNoResources:
		s.startsPausedUntil = s.now + noResourcesPause
		s.log(LogEntry{Message: "server lacks resources for a task", Task: run.Task, Run: run.Run})
		s.finish(run, structs.PlacementNoResources, evidenceStartRefused)
	case AnswerUnhealthy, AnswerFenced:
		s.log(LogEntry{Message: "server refused a start", Task: run.Task, Run: run.Run})
		s.finish(run, structs.PlacementUnhealthy, evidenceStartRefused)
	}
}

// recordAnswer notes that the server listens. Refusals other than for lack of resources may not come from the server.
func (s *Supervisor) recordAnswer(answer Answer) {
	switch answer {
	case AnswerOK, AnswerOldRun, AnswerNoResources, AnswerFenced:
		s.refusedSince = 0
	case AnswerNone, AnswerUnhealthy:
	}
}

// startFenced handles a request to start a run that was overtaken by one with a higher token. The server has done nothing for it,
// so the start is requested again.
func (s *Supervisor) startFenced(run *run) {
	run.tries--
	switch {
	case run.state == stopping && run.tries == 0:
		s.finish(run, run.endKind, evidenceStartRefused)
	case run.state != starting:
	case run.tries > 0:
		run.retryAt = s.now
	default:
		s.highestRuns[run.Task] = usedRunNumber{run: run.Run - 1, at: s.now} // the number is unused
		s.requeue(run)
	}
}

// stopUnanswered stops a run that the server may still start. kind is the event that its gateway then gets.
func (s *Supervisor) stopUnanswered(run *run, kind structs.PlacementEventKind) {
	run.state, run.endKind, run.nextStopAt = stopping, kind, s.now
}

// startAnsweredWhileStopping handles the answer to the start of a run that is being stopped. A refusal proves that it
// never ran, if it was the only request to start it.
func (s *Supervisor) startAnsweredWhileStopping(run *run, answer Answer) {
	if answer != AnswerNone && answer != AnswerOK && run.tries == 1 {
		s.finish(run, run.endKind, evidenceStartRefused)
	}
}

// requeue queues a run anew whose start the server has refused: because of a token that is too low, or because of its number,
// so that it is started under the next one.
func (s *Supervisor) requeue(run *run) {
	s.deactivate(run)
	s.usedResources = s.usedResources.Sub(run.need)
	run.state, run.startedAt, run.tries, run.answers = waiting, 0, 0, 0
	if !s.canRun(run) {
		s.reportEnd(run, structs.PlacementClosed)
		return
	}
	s.enqueue(run)
}

// canRun reports whether a run may still be started.
func (s *Supervisor) canRun(run *run) bool { return s.closedReason() == "" && run.gateway != nil }

// StopAnswered handles the server's answer to a CallStop. After a successful stop the run cannot start any more.
// Whether it has ended is known from the next list.
func (s *Supervisor) StopAnswered(now time.Duration, ref RunRef, answer Answer) {
	s.advance(now)
	s.recordAnswer(answer)
	run := s.activeRuns[ref]
	if run == nil || run.state != stopping {
		return
	}
	if answer == AnswerOK {
		run.stopConfirmed, run.stopConfirmedAt = true, s.now
		return
	}
	switch answer {
	case AnswerNone:
		s.callLostAt = s.now
		run.nextStopAt = s.now + unansweredStopDelay
	case AnswerFenced:
		run.nextStopAt = s.now
	default:
		run.nextStopAt = s.now + StopRetryInterval
	}
}

// ServerUnresponsive reports whether the server does not answer.
func (s *Supervisor) ServerUnresponsive() bool { return s.unresponsive }

// ListFailed handles a list request that the server has not answered. connectionRefused says that nothing listens at
// the server's address.
func (s *Supervisor) ListFailed(now time.Duration, connectionRefused bool) {
	s.advance(now)
	s.failedLists++
	s.callLostAt = s.now
	if connectionRefused || s.failedLists >= maxFailedLists {
		s.setUnresponsive(true)
	}
	if !connectionRefused {
		s.refusedSince = 0
		return
	}
	s.recordCrash()
	if s.refusedSince == 0 || s.now-s.refusedAt > refusalGap {
		s.refusedSince = s.now
	}
	s.refusedAt = s.now
	s.unconfirmToken()
	if s.now-s.refusedSince >= refusalConfirmation && (s.server == nil || !s.server.Draining) {
		s.open.leases = 0 // the next incarnation may carry them out, but has none of the runs
		s.endAllRuns()
	}
}

// CallsGetLost reports whether a call to the server has got no answer lately.
func (s *Supervisor) CallsGetLost(now time.Duration) bool {
	return s.callLostAt > 0 && now-s.callLostAt < lossMemory
}

func (s *Supervisor) setUnresponsive(unresponsive bool) {
	if s.unresponsive == unresponsive {
		return
	}
	s.unresponsive = unresponsive
	s.log(LogEntry{Message: "server unresponsive", Detail: strconv.FormatBool(unresponsive)})
	s.announceServer()
}

// expireLease ends the runs of an unresponsive server once their lease has expired, and no call without an answer can start them or
// prolong it.
func (s *Supervisor) expireLease() {
	if !s.unresponsive || s.now < s.runsEndBy() {
		return
	}
	s.reconcile()
	for _, run := range s.sortedActiveRuns() {
		if s.now >= s.settledAt(run) {
			s.finish(run, structs.PlacementLost, evidenceLease)
		}
	}
}

// reconcile ends the startup of the agent, once it is known which runs an earlier agent has left. The gateways get
// the answers about their tasks.
func (s *Supervisor) reconcile() {
	if s.reconciled {
		return
	}
	s.reconciled = true
	s.log(LogEntry{Message: "runs reconciled with the server", Detail: "runs found " + strconv.Itoa(len(s.activeRuns))})
	for _, g := range s.sortedGateways() {
		s.reconcileTasks(g)
	}
	s.announceServer()
}

// Reconciled reports whether it is known which runs an earlier agent has left.
func (s *Supervisor) Reconciled() bool { return s.reconciled }

// HandleList handles the server's list of its runs.
func (s *Supervisor) HandleList(now time.Duration, list RunList) {
	s.advance(now)
	if s.server != nil && s.server.StartTime != 0 && list.StartTime != 0 && list.StartTime != s.server.StartTime &&
		list.RequestedAt <= s.startTimeKnownAt {
		return // a delayed answer of an earlier incarnation
	}
	s.unansweredStarts, s.failedLists, s.refusedSince = 0, 0, 0
	if list.RequestedAt > s.tokenRaisedAt {
		s.confirmToken()
	}
	if s.server != nil && list.StartTime != 0 {
		if s.server.StartTime != 0 && list.StartTime != s.server.StartTime {
			s.handleServerRestart(s.server.ID)
			s.undescribed = true
			s.announceServer()
		} else if s.server.StartTime != 0 {
			s.withdrawCrash()
		}
		s.setStartTime(list.StartTime)
	}
	s.setUnresponsive(false)
	for _, e := range list.Ended {
		s.handleListedEnd(e)
	}
	present := make(map[RunRef]bool, len(list.Running))
	for _, l := range list.Running {
		present[l.RunRef] = true
		s.handleListedRun(l, list.RequestedAt)
	}
	s.reconcile()
	for _, run := range s.sortedActiveRuns() {
		if !present[run.RunRef] && s.provesAbsence(run, list.RequestedAt) {
			kind := structs.PlacementLost
			if run.state == stopping {
				kind = run.endKind
			}
			s.finish(run, kind, evidenceNotListed)
		}
	}
}

// provesAbsence reports whether a list that was requested at a given time and does not show a run proves that the
// server does not have the run and will not start it.
func (s *Supervisor) provesAbsence(run *run, requestedAt time.Duration) bool {
	switch run.state {
	case running:
		// After a restart of the server, an unanswered request may be carried out until the server knows the new token.
		return run.confirmedAt < requestedAt && (run.answers >= run.tries || s.tokenRaisedAt < requestedAt)
	case stopping:
		return run.stopConfirmed && run.stopConfirmedAt < requestedAt
	case waiting, starting, blocked:
	}
	return false
}

// handleListedEnd handles the end of a run, unless it was handled before.
func (s *Supervisor) handleListedEnd(e ListedEnd) {
	if e.Number <= s.lastEndNumber {
		return
	}
	s.lastEndNumber = e.Number
	run := s.activeRuns[e.RunRef]
	if run == nil {
		s.unclaimedEnds[e.RunRef] = unclaimedEnd{end: e.End, at: s.now}
		return
	}
	kind := eventKindOf(e.End)
	if run.gateway == nil {
		s.unclaimedEnds[e.RunRef] = unclaimedEnd{end: e.End, at: s.now}
	}
	if run.state == stopping && kind == structs.PlacementLost {
		kind = run.endKind
	}
	s.finish(run, kind, evidenceListedEnd)
}

// handleListedRun handles a run that the server shows. During the startup of the agent, an unknown run is kept until
// a gateway claims it. Later it is stopped, since it was left by an earlier agent or started with a delay.
func (s *Supervisor) handleListedRun(l ListedRun, requestedAt time.Duration) {
	run := s.activeRuns[l.RunRef]
	if run != nil {
		if run.lapsed && requestedAt >= s.leaseEnd {
			s.log(LogEntry{Message: "run outlasted its lease", Task: l.Task, Run: l.Run})
			run.lapsed, s.leaseEnd = false, s.now+maxLease(s.options.RunLease)
		}
		if run.fenced {
			run.fenced, run.stopConfirmed, run.nextStopAt = false, false, s.now
		}
		s.checkProgress(run, l.Percent)
		return
	}
	// The time of the last contact with its gateway is not known. Its lease is not renewed until a gateway claims it.
	run = newFoundRun(l.RunRef, s.now)
	if s.now >= s.claimDeadline {
		run.state, run.endKind, run.nextStopAt = stopping, structs.PlacementLost, s.now
	}
	s.log(LogEntry{Message: MessageUnknownRun, Task: l.Task, Run: l.Run, Detail: s.describeIncarnation()})
	s.adopt(run)
}

// adopt adds a run that the server has and that this agent has not started. Later runs of the same task wait for its
// end.
func (s *Supervisor) adopt(run *run) {
	s.activate(run)
	s.leaseEnd = max(s.leaseEnd, s.now+maxLease(s.options.RunLease))
	s.highestRuns[run.Task] = usedRunNumber{run: max(run.Run, s.highestRuns[run.Task].run), at: s.now}
}

func (s *Supervisor) activate(run *run) {
	s.activeRuns[run.RunRef] = run
	s.activeRunsByTask[run.Task]++
}

func (s *Supervisor) deactivate(run *run) {
	delete(s.activeRuns, run.RunRef)
	if s.activeRunsByTask[run.Task]--; s.activeRunsByTask[run.Task] == 0 {
		delete(s.activeRunsByTask, run.Task)
	}
}

func newFoundRun(ref RunRef, now time.Duration) *run {
	return &run{RunRef: ref, state: running, startedAt: now, confirmedAt: now, stopBy: now}
}

// checkProgress learns from the progress of a run how fast the server is, and whether it stands still. It reports a run
// as a straggler if it will take much longer than expected. The remaining time is extrapolated from the progress. A run
// without progress is assumed never to end.
func (s *Supervisor) checkProgress(run *run, percent float64) {
	if percent > run.percent {
		run.percent, s.lastProgressAt = percent, s.now
		if s.suspension.reason == reasonStalled {
			s.resumeService("runs advance")
		}
	}
	if run.state != running || run.gateway == nil || !run.gateway.linked || run.expectedRunTime <= 0 {
		return
	}
	elapsed := s.now - run.startedAt
	if elapsed < progressCheckDelay(run.expectedRunTime) {
		return
	}
	remaining := structs.StalledRemaining
	if percent > 0 {
		remaining = time.Duration(float64(elapsed) * (100 - percent) / percent)
	}
	if !run.checked {
		run.checked = true
		s.judgeProgress(run, elapsed, remaining)
	}
	limit := max(time.Duration(stragglerFactor*float64(run.expectedRunTime)), minStragglerTime)
	if elapsed+remaining < limit || s.now < run.nextStragglerReportAt {
		return
	}
	run.nextStragglerReportAt = s.now + stragglerReportInterval
	run.gateway.events = append(run.gateway.events, structs.PlacementEvent{
		ID: run.id, Kind: structs.PlacementStraggling, RunTime: elapsed, Remaining: remaining,
	})
}

// judgeProgress draws conclusions about the server from the first progress of a run. If nothing on the server has
// advanced since the run was started, the server stands still; otherwise only the run does.
func (s *Supervisor) judgeProgress(run *run, elapsed, remaining time.Duration) {
	if remaining < structs.StalledRemaining {
		// The end of a run is a better observation, but comes late if the server has turned slow.
		if elapsed+remaining > time.Duration(stragglerFactor*float64(run.expectedRunTime)) {
			s.observeRunTime(run, elapsed+remaining)
		}
		return
	}
	if s.lastProgressAt <= run.confirmedAt {
		s.suspend(reasonStalled)
	}
}

// reasonStalled is the reason of a suspension because the runs of the server do not advance.
const reasonStalled = "stalled"

// progressCheckDelay returns when the progress of a run is first compared with the expected one: early enough that a
// short task can still be moved in time, and late enough that a run with the expected speed shows several percent.
func progressCheckDelay(expected time.Duration) time.Duration {
	return max(expected*progressCheckShare/100, minProgressCheckDelay)
}

// ListWait returns how long the next request for the list may wait for the end of a run, at most longest: until the
// next run whose progress must be checked.
func (s *Supervisor) ListWait(now, longest time.Duration) time.Duration {
	wait := longest
	for _, run := range s.activeRuns {
		if run.state == running && !run.checked && run.expectedRunTime > 0 {
			wait = min(wait, run.startedAt+progressCheckDelay(run.expectedRunTime)-now)
		}
	}
	return max(wait, minListWait)
}
