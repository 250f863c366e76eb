package schedule

import (
	"time"
)

const (
	// cancelRetention is how long a cancelled job is not run again. Callers that got no answer submit a job again within
	// seconds, through any gateway.
	cancelRetention = 30 * time.Second
	// maxCancelled bounds the cancelled jobs that are remembered, about 100 bytes each.
	maxCancelled = 20_000
)

// cancelReason is the reason of the answers about a cancelled job.
const cancelReason = "cancelled"

// cancellations remembers the jobs that were cancelled, for cancelRetention.
type cancellations struct {
	at map[string]time.Duration
	// order holds the jobs in the order of their cancelling.
	order []string
}

func newCancellations() *cancellations { return &cancellations{at: map[string]time.Duration{}} }

// add remembers a job. The oldest ones are forgotten if there are too many.
func (c *cancellations) add(now time.Duration, id string) {
	for len(c.order) > 0 && (len(c.order) >= maxCancelled || now-c.at[c.order[0]] >= cancelRetention) {
		delete(c.at, c.order[0])
		c.order = c.order[1:]
	}
	if _, known := c.at[id]; !known {
		c.order = append(c.order, id)
		c.at[id] = now
	}
}

func (c *cancellations) has(now time.Duration, id string) bool {
	at, known := c.at[id]
	return known && now-at < cancelRetention
}

// Cancel ends a job at a caller's request, with all submissions of it that wait or arrive later. It reports whether the job was
// known.
func (s *Scheduler) Cancel(now time.Duration, id string) bool {
	s.advance(now)
	s.cancelled.add(s.now, id)
	j := s.jobs[id]
	if j == nil {
		return false
	}
	for _, resubmitted := range j.resubmissions {
		s.answerCancelled(resubmitted.Submission)
	}
	j.resubmissions = nil
	if !j.ended {
		s.end(j, OutcomeFailed, cancelReason, 0)
	}
	return true
}

// answerCancelled answers a submission of a cancelled job.
func (s *Scheduler) answerCancelled(in Submission) {
	s.actions = append(s.actions, Answer{
		Waiters: []Waiter{in.Waiter}, Job: in.Job.ID, Outcome: OutcomeFailed, Reason: cancelReason,
		Summary: JobSummary{Route: in.Route.Name, Servers: s.UsableServers()},
	})
}
