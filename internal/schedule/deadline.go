package schedule

import (
	"container/heap"
	"slices"
	"time"
)

// deadlineQueue is a heap of the known jobs by when their callers stop waiting.
type deadlineQueue []*job

// callersWaitUntil returns when the last caller of the job stops waiting, or the first of the callers that wait for the end of
// an earlier submission. Without callers it returns false.
func (j *job) callersWaitUntil() (time.Duration, bool) {
	if !j.ended {
		return j.deadline, true
	}
	if len(j.resubmissions) == 0 {
		return 0, false
	}
	first := j.resubmissions[0].deadline
	for _, resubmitted := range j.resubmissions[1:] {
		first = min(first, resubmitted.deadline)
	}
	return first, true
}

// schedule places a job in the queue anew after its callers have changed.
func (q *deadlineQueue) schedule(j *job) {
	at, waits := j.callersWaitUntil()
	j.checkAt = at
	switch {
	case waits && j.inDeadlines:
		heap.Fix(q, j.deadlineIndex)
	case waits:
		heap.Push(q, j)
	case j.inDeadlines:
		heap.Remove(q, j.deadlineIndex)
	}
}

// remove removes a job that is forgotten.
func (q *deadlineQueue) remove(j *job) {
	if j.inDeadlines {
		heap.Remove(q, j.deadlineIndex)
	}
}

// Len implements heap.Interface.
func (q *deadlineQueue) Len() int { return len(*q) }

// Less implements heap.Interface.
func (q *deadlineQueue) Less(a, b int) bool { return (*q)[a].checkAt < (*q)[b].checkAt }

// Swap implements heap.Interface.
func (q *deadlineQueue) Swap(a, b int) {
	(*q)[a], (*q)[b] = (*q)[b], (*q)[a]
	(*q)[a].deadlineIndex, (*q)[b].deadlineIndex = a, b
}

// Push implements heap.Interface.
func (q *deadlineQueue) Push(x any) {
	j := x.(*job)
	j.deadlineIndex, j.inDeadlines = len(*q), true
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *deadlineQueue) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last], *q = nil, (*q)[:last]
	j.inDeadlines = false
	return j
}

// endAtDeadlines ends the jobs whose last caller has stopped waiting, also those whose tasks are all placed: the end of the
// caller's connection may come late or never, and the caller may submit the job elsewhere.
func (s *Scheduler) endAtDeadlines() {
	for len(s.deadlines) > 0 && s.deadlines[0].checkAt <= s.now {
		j := s.deadlines[0]
		if !j.ended && j.openEnded && j.placed > 0 && !j.hasPending() {
			j.deadline = s.now + openEndedInterval
			s.deadlines.schedule(j)
			continue
		}
		if !j.ended {
			s.endAtDeadline(j)
			continue
		}
		j.resubmissions = slices.DeleteFunc(j.resubmissions, func(r resubmission) bool {
			if r.deadline > s.now {
				return false
			}
			s.actions = append(s.actions, Answer{
				Waiters: []Waiter{r.Waiter}, Job: j.spec.ID, Outcome: OutcomeLost, Reason: ReasonDeadline, Summary: s.summarize(j),
			})
			return true
		})
		s.deadlines.schedule(j)
	}
}

// openEndedInterval is the time between checks whether tasks of a job whose callers may wait beyond its deadline still run.
const openEndedInterval = 100 * time.Millisecond

// hasPending reports whether a task of the job waits for a server.
func (j *job) hasPending() bool {
	return slices.ContainsFunc(j.steps, func(st *step) bool { return st.pending > 0 })
}

// endAtDeadline ends a job whose last caller stops waiting.
func (s *Scheduler) endAtDeadline(j *job) {
	if s.hasRepeatedCrashes(j) {
		s.giveUp(j)
		return
	}
	s.end(j, OutcomeRefused, ReasonDeadline, 0)
}
