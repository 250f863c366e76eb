package supervisor

import (
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// A caller that has lost its connection submits its job again through another gateway. If the first gateway does not learn that
// its caller has left, no lease ends, and both would run the job. So a gateway claims each job at an agent that all gateways
// choose alike, before it places the first task. The agent only keeps who holds which job: it neither runs these jobs nor
// decides what becomes of them. Of two gateways, the one with the younger submission gets the job, once the other has released it.

const (
	// claimsSettleTime is how long after its start, or after a pause, an agent may not know all claims. By then the gateways
	// have linked and sent theirs.
	claimsSettleTime = time.Second
	// holderTimeout is how long after the first probe that a gateway has not answered its jobs may still run.
	holderTimeout = maxSilence + 50*time.Millisecond
	// expiredClaimRetention is how long a claim that has expired without a release makes grants doubtful: its holder may be alive and
	// have claimed the job at another agent. Callers wait for up to 3 s.
	expiredClaimRetention = 5 * time.Second
)

// jobClaim says which gateway holds a job, and which one waits for it.
type jobClaim struct {
	holder claimant
	// next is the gateway with the youngest submission if it is not the holder, which then was told to end the job.
	next *claimant
	// freeAt is when the runs of a holder without a link have ended, 0 while it is linked and has not claimed the job anew.
	freeAt time.Duration
	// expired is set once the job is free, although its holder has not released it.
	expired bool
}

// claimant is a gateway that claims a job for a submission.
type claimant struct {
	gateway structs.GatewayRef
	// submittedAt is by the agent's clock.
	submittedAt time.Duration
}

// HandleJobClaims handles a gateway's message about its jobs.
func (s *Supervisor) HandleJobClaims(now time.Duration, ref structs.GatewayRef, in *structs.JobClaims) {
	s.advance(now)
	g := s.gateways[ref]
	if g == nil || !g.linked {
		return
	}
	for _, job := range in.Release {
		s.releaseJob(job, ref)
	}
	for _, claim := range in.Claim {
		s.claimJob(claim.ID, g, claimant{gateway: ref, submittedAt: s.now - claim.Age})
	}
}

// claimJob grants a job, notes that the gateway waits for it, or tells it that its caller is at another gateway.
func (s *Supervisor) claimJob(job string, g *gateway, by claimant) {
	c := s.claims[job]
	if c == nil {
		c = &jobClaim{holder: by}
		s.claims[job] = c
	}
	if c.holder.gateway != by.gateway && !c.expired && s.now >= s.claimEnd(c) {
		s.expire(job, c)
	}
	switch {
	case c.holder.gateway == by.gateway && c.next != nil && by.submittedAt <= c.next.submittedAt:
		c.freeAt = 0
		g.claimAnswers.Taken = append(g.claimAnswers.Taken, job)
	case c.holder.gateway == by.gateway:
		if c.next != nil {
			s.tellTaken(job, c.next.gateway)
		}
		*c = jobClaim{holder: by}
		g.claimAnswers.Granted = append(g.claimAnswers.Granted, job)
	case c.expired:
		*c = jobClaim{holder: by}
		g.claimAnswers.Doubtful = append(g.claimAnswers.Doubtful, job)
	case by.submittedAt < c.holder.submittedAt, c.next != nil && c.next.gateway != by.gateway && by.submittedAt < c.next.submittedAt:
		g.claimAnswers.Taken = append(g.claimAnswers.Taken, job)
	default:
		s.await(job, c, by)
		g.claimAnswers.Held = append(g.claimAnswers.Held, job)
	}
}

// await makes a gateway the next holder of a job. The holder, and one that waits already, are told to end the job.
func (s *Supervisor) await(job string, c *jobClaim, by claimant) {
	s.contested[job] = c
	switch {
	case c.next == nil:
		s.log(LogEntry{Message: "job submitted again through another gateway", Task: job, Gateway: by.gateway, Detail: "held by " + c.holder.gateway.String()})
		s.tellTaken(job, c.holder.gateway)
	case c.next.gateway != by.gateway:
		s.tellTaken(job, c.next.gateway)
	}
	c.next = &by
}

// tellTaken tells a gateway to end a job, if it is linked. If not, it learns of it when it claims the job again.
func (s *Supervisor) tellTaken(job string, ref structs.GatewayRef) {
	if g := s.gateways[ref]; g != nil && g.linked {
		g.claimAnswers.Taken, g.probeDue = append(g.claimAnswers.Taken, job), true
	}
}

// claimEnd returns when the runs of a job's holder have ended for want of a sign of it. A holder with a link is alive, but may be
// so slow that the agents have stopped its runs.
func (s *Supervisor) claimEnd(c *jobClaim) time.Duration {
	if c.freeAt > 0 {
		return c.freeAt
	}
	if holder := s.gateways[c.holder.gateway]; holder != nil {
		return s.silentSince(holder) + holderTimeout
	}
	return s.now
}

// releaseJob ends a gateway's claim to a job.
func (s *Supervisor) releaseJob(job string, ref structs.GatewayRef) {
	c := s.claims[job]
	switch {
	case c == nil:
	case c.holder.gateway == ref && c.next == nil:
		s.forgetClaim(job)
	case c.holder.gateway == ref:
		s.grantNext(job, c, false)
	case c.next != nil && c.next.gateway == ref:
		c.next = nil
	}
}

func (s *Supervisor) forgetClaim(job string) {
	delete(s.claims, job)
	delete(s.contested, job)
}

// grantNext grants a job to the gateway that waits for it. Without a link, that gateway claims it again on the next one.
func (s *Supervisor) grantNext(job string, c *jobClaim, doubtful bool) {
	next := *c.next
	*c = jobClaim{holder: next}
	delete(s.contested, job)
	g := s.gateways[next.gateway]
	switch {
	case g == nil || !g.linked:
		s.forgetClaim(job)
	case doubtful:
		g.claimAnswers.Doubtful = append(g.claimAnswers.Doubtful, job)
	default:
		g.claimAnswers.Granted = append(g.claimAnswers.Granted, job)
	}
}

// expire frees a job whose holder has not released it.
func (s *Supervisor) expire(job string, c *jobClaim) {
	if c.next == nil {
		s.tellTaken(job, c.holder.gateway)
		c.expired, c.freeAt = true, s.now
		s.contested[job] = c
		return
	}
	s.grantNext(job, c, true)
}

// holderLost notes that the runs of a gateway's jobs end soon: its link has closed, or another incarnation of it has linked.
// since is the last time at which it may have been in contact.
func (s *Supervisor) holderLost(ref structs.GatewayRef, since time.Duration) {
	for job, c := range s.claims {
		if c.holder.gateway == ref && c.freeAt == 0 {
			c.freeAt = since + holderTimeout
			s.contested[job] = c
		}
	}
}

// expireClaims frees the jobs of gateways whose runs have ended, and forgets those that have been free for long.
func (s *Supervisor) expireClaims() {
	if len(s.contested) == 0 {
		return
	}
	var due []string
	for job, c := range s.contested {
		switch {
		case c.next == nil && c.freeAt == 0:
			delete(s.contested, job)
		case s.now >= s.contestEnd(c):
			due = append(due, job)
		}
	}
	slices.Sort(due)
	for _, job := range due {
		if c := s.claims[job]; c.expired {
			s.forgetClaim(job)
		} else {
			s.expire(job, c)
		}
	}
}

// contestEnd returns when a contested claim expires or, if it has expired, when it is forgotten.
func (s *Supervisor) contestEnd(c *jobClaim) time.Duration {
	if c.expired {
		return c.freeAt + expiredClaimRetention
	}
	return s.claimEnd(c)
}

// nextClaimExpiry returns when the first contested claim needs a Flush, or latest if none does before.
func (s *Supervisor) nextClaimExpiry(latest time.Duration) time.Duration {
	for _, c := range s.contested {
		latest = min(latest, s.contestEnd(c))
	}
	return latest
}

// sendClaimAnswers sends a gateway the answers to its claims.
func (s *Supervisor) sendClaimAnswers(g *gateway) {
	a := g.claimAnswers
	if !g.claimsDue && len(a.Granted)+len(a.Doubtful)+len(a.Held)+len(a.Taken) == 0 {
		return
	}
	a.CompleteIn = max(s.claimsCompleteAt-s.now, 0)
	g.claimsDue, g.claimAnswers = false, structs.JobClaimAnswers{}
	s.send(g, structs.TypeJobClaimAnswers, &a)
}

// ClaimCount returns the number of jobs that are claimed here.
func (s *Supervisor) ClaimCount() int { return len(s.claims) }
