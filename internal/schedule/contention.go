package schedule

import (
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/admission"
	"rosedrift.example/rosedrift/internal/structs"
)

// resetShare is the share of the known servers, as its reciprocal, of which the loss or return makes the scheduler forget what
// it has observed under contention. Single servers are replaced every day and change little.
const resetShare = 10

// contention holds what the scheduler knows about the competition of jobs for resources.
type contention struct {
	estimator admission.Estimator
	// serverChanges counts the servers that were lost or found since the last reset.
	serverChanges int
	// placedFree is set if a task of the current job was placed on a server with free resources, placedQueued if one was placed
	// where it waits.
	placedFree, placedQueued bool
}

func (j *job) admissionQueue() admission.Queue {
	return admission.Queue{Name: j.route.Name, Priority: j.route.Priority}
}

// placeSteps places the pending tasks of a job whose steps are ready, and reports whether some found no server. Under contention,
// a job whose last task is expected to start too late does not begin, unless all its tasks can start at once. It is
// refused if no server has free resources for any of them.
//
// A wide job that begins takes resources from those that have begun before. At 1.6 times the capacity, 71% of the completed jobs
// were late, mostly because their first tasks started in time and their last ones did not (docs/design/admission.md).
func (s *Scheduler) placeSteps(j *job, late bool) (unplaced bool) {
	begun, first, scanned := j.begun(), len(s.placements), s.now >= j.nextScan
	s.contention.placedFree, s.contention.placedQueued = false, false
	for _, st := range j.steps {
		if st.pending > 0 && s.ready(j, st) && !s.placeStep(j, st, late) {
			unplaced = true
		}
	}
	if begun || (!unplaced && !s.contention.placedQueued) {
		return unplaced
	}
	left := j.startBy(s.fastestRunTime(j)) - s.now
	if !s.contention.estimator.ExpectLate(s.now, j.admissionQueue(), left, s.options.EarlyRefusal) {
		return unplaced
	}
	s.takeBack(first)
	if scanned && !late && !s.contention.placedFree && s.HasUsableServer() && !s.hasFreeServer(j) {
		s.end(j, OutcomeRefused, ReasonNoRoomExpected, admission.RetryAfter(s.retryAfter(j), j.spec.ID))
	}
	return true
}

// hasFreeServer reports whether any known server has free resources for a task of a job, also if the job would be late there.
func (s *Scheduler) hasFreeServer(j *job) bool {
	for _, st := range j.steps {
		if st.pending == 0 || !s.ready(j, st) {
			continue
		}
		for _, srv := range s.sortedServers {
			if s.usable(srv) && srv.report.Service == j.route.Service && s.admits(srv, st) &&
				!s.separates(srv, j, st, st.tasks[0]) && srv.freeResourcesFor(j.route.Priority).Covers(st.spec.Need) {
				return true
			}
		}
	}
	return false
}

// takeBack withdraws the placements of this Flush from an index on. They have not been sent.
func (s *Scheduler) takeBack(first int) {
	for _, p := range s.placements[first:] {
		m, srv := p.Message.(*structs.Place), s.servers[p.Agent]
		for _, placedTask := range m.Tasks {
			t := s.tasks[placedTask.ID]
			s.unplace(t)
			t.job.steps[t.step].pending++
			t.job.firstPlacedAt = 0
		}
		srv.unacknowledged = slices.DeleteFunc(srv.unacknowledged, func(u unacknowledgedPlacement) bool { return u.seq == m.Seq })
	}
	s.placements = s.placements[:first]
}

// notePlaced notes where a task of the current job was placed.
func (s *Scheduler) notePlaced(j *job, c candidate) {
	if c.wait > 0 {
		s.contention.placedQueued = true
	} else {
		s.contention.placedFree = true
	}
	if j.firstPlacedAt == 0 {
		j.firstPlacedAt = s.now
	}
}

// observeCompleted observes a completed task. Jobs with several steps are left out of the delays: their later tasks start when
// the earlier ones have completed.
func (s *Scheduler) observeCompleted(j *job, st *step, runTime time.Duration) {
	q := j.admissionQueue()
	s.contention.estimator.Completed(s.now, q, runTime.Seconds()*float64(st.spec.Need.CPU))
	j.lastStart = max(j.lastStart, s.now-runTime)
	if st.incomplete == 1 && len(j.steps) == 1 {
		allowed := j.startBy(s.fastestRunTime(j)) - j.arrival
		s.contention.estimator.Started(s.now, q, j.lastStart-j.firstPlacedAt, j.lastStart-j.arrival, allowed)
	}
}

// serverChanged notes that a server was lost or found.
func (s *Scheduler) serverChanged() {
	s.contention.serverChanges++
	if s.contention.serverChanges*resetShare >= len(s.sortedServers) {
		s.resetContention()
	}
}

// resetContention forgets what was observed under contention.
func (s *Scheduler) resetContention() {
	s.contention.serverChanges = 0
	s.contention.estimator.Reset()
}
