package supervisor

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// A backend server has one lease for all its runs, which each start and each request for the list may prolong but never
// shorten. It is limited by the run that must end first: no run may outlast maxSilence after the last contact of its
// gateway, because the caller may then have submitted the job again through another gateway. So a run may only start once the
// lease that was granted for others ends early enough. Until then it waits for a newer contact with its gateway.

// maxLease returns the longest time that a lease of a duration on the server's clock lasts by the agent's clock.
func maxLease(duration time.Duration) time.Duration {
	return time.Duration(structs.ClockDriftFactor * float64(duration))
}

// RenewLease returns the end of the lease that the next request for the list may carry, on the clock of the inputs, or
// 0 if it must not renew the lease. While the server is unresponsive it must not, so that the runs are certain to have
// ended one lease after the last renewal. A delay before the request is sent must not move the end.
func (s *Supervisor) RenewLease(now time.Duration) time.Duration {
	s.advance(now)
	if s.unresponsive || len(s.activeRuns) == 0 || s.leaseLimit() <= s.now {
		return 0
	}
	return s.grantLease()
}

// grantLease returns the end of a lease that is requested now, and records when it has certainly expired.
func (s *Supervisor) grantLease() time.Duration {
	remaining := time.Duration(float64(s.leaseLimit()-s.now) / structs.ClockDriftFactor)
	duration := min(s.options.RunLease, longestGrant, remaining)
	s.leaseEnd, s.grantedAt = max(s.leaseEnd, s.now+maxLease(duration)), s.now
	return s.now + duration
}

// leaseLimit returns the time by which the first of the active runs must have ended if nothing more is heard of its
// gateway. Without a limit it is one lease and some drift from now.
func (s *Supervisor) leaseLimit() time.Duration {
	limit := s.now + maxLease(s.options.RunLease)
	for _, run := range s.activeRuns {
		if !run.lapsed {
			limit = min(limit, run.leaseLimit(limit))
		}
	}
	for _, run := range s.queue {
		if s.isInContact(run.gateway) { // with a longer lease it could not start
			limit = min(limit, run.leaseLimit(limit))
		}
	}
	return limit
}

// outlivesContact reports whether the lease that was granted outlasts the contact with a gateway by more than maxSilence, so that
// no run of it may start. The gateway is then probed, unless an answer is outstanding.
func (s *Supervisor) outlivesContact(g *gateway) bool {
	if s.leaseEnd <= g.lastContact+maxSilence {
		return false
	}
	g.probeDue = g.probeDue || s.now-g.probedAt >= probeInterval || g.lastContact >= g.probedAt
	return true
}

// runsEndBy returns when the leases of all runs have certainly expired. The time of a late lease may count from its arrival, so each
// call without an answer may prolong them once more, if it arrives before they expire. The runs that such calls may start are not
// meant. After a time without processor time it is not known yet which calls got no answer.
func (s *Supervisor) runsEndBy() time.Duration {
	lease := maxLease(s.options.RunLease)
	end := min(s.leaseEnd+time.Duration(s.open.leases)*lease, s.open.last()+lease)
	return max(end, s.leaseEnd, s.grantedAt+longestCall, s.resumedAt+longestCall)
}

// settledAt returns when no request to start a run can be carried out any more by an incarnation that has not seen the token.
func (s *Supervisor) settledAt(run *run) time.Duration {
	if run.answers >= run.tries {
		return 0
	}
	return run.requestedAt + lateCallLimit
}

// markLapsed marks the active runs whose lease has certainly expired.
func (s *Supervisor) markLapsed() {
	if s.now < s.runsEndBy() {
		return
	}
	for _, run := range s.activeRuns {
		run.lapsed = true
	}
}

// leaseLimit returns the time by which a run must have ended, or otherwise if it has no limit.
func (r *run) leaseLimit(otherwise time.Duration) time.Duration {
	limit := otherwise
	if r.gateway != nil {
		limit = r.gateway.lastContact + maxSilence
	}
	if r.stopBy > 0 {
		limit = min(limit, r.stopBy)
	}
	return limit
}
