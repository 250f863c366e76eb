package schedule

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// A job may come from a caller that has lost its connection with another gateway. That gateway may still run the job: it
// may not know that the caller has left. So a job is claimed at an agent, its arbiter, before its first task is placed.
// All gateways that know the same agents choose the same arbiter. If another gateway holds the job, the arbiter asks it
// to end the job, and the tasks wait until it has. Where no arbiter answers in time, the job goes on without a claim: then only
// the time after which callers submit a job again keeps the runs apart.

const (
	// claimTimeout is how long the first task of a job waits for the answer of the arbiter. An agent answers within a round
	// trip of a few ms; one whose share of a processor is used up may not run for 100 ms.
	claimTimeout = 100 * time.Millisecond
	// relinkTime is how long after its first link, at the start or after a pause, a gateway may not have the links that show it
	// the right arbiters.
	relinkTime = 100 * time.Millisecond
	// reclaimTimeout is how long jobs wait for their arbiter after a pause of this process.
	reclaimTimeout = 300 * time.Millisecond
	// heldClaimInterval is the time between claims of a job that another gateway holds.
	heldClaimInterval = 200 * time.Millisecond
	// lostHolderTime is how long after the loss of the arbiter of a held job a grant of the next one proves nothing: the holder has
	// not claimed the job there if it is lost too. By then its runs have ended.
	lostHolderTime = 1250 * time.Millisecond
	// claimValidity is how long after it was sent a claim that was granted allows placements. It is shorter than the time after
	// which the arbiter passes on the jobs of a gateway that does not answer it.
	claimValidity = 800 * time.Millisecond
	// releaseInterval is the longest delay of a release that no other gateway is known to wait for.
	releaseInterval = 100 * time.Millisecond
)

// claimState says whether the tasks of a job may be placed.
type claimState uint8

const (
	// claimGranted: the job is this gateway's, as far as its arbiter knows or because there is none.
	claimGranted claimState = iota
	// claimRequested: the answer of the arbiter is awaited, until jobClaim.waitUntil.
	claimRequested
	// claimHeld: another gateway may still run the job. It is claimed again at jobClaim.waitUntil.
	claimHeld
)

// jobClaim is a job's claim.
type jobClaim struct {
	state     claimState
	waitUntil time.Duration
	// requestedAt is when the job was last claimed.
	requestedAt time.Duration
	// notBefore is when the grant of an arbiter counts that took the place of a lost one.
	notBefore time.Duration
	// hash is that of the job's ID.
	hash uint64
	// submittedAt is when a caller last submitted the job.
	submittedAt time.Duration
	// arbiters holds the agents at which the job is claimed. There may be several after a change of the links.
	arbiters []*server
	// taken is set once another gateway has got the caller.
	taken bool
}

// ring holds the known servers in the order of the hashes of their agents' IDs.
type ring []*server

func (r ring) insert(srv *server) ring {
	at, _ := r.search(srv.hash)
	return slices.Insert(r, at, srv)
}

func (r ring) search(hash uint64) (int, bool) {
	return slices.BinarySearchFunc(r, hash, func(srv *server, hash uint64) int {
		switch {
		case srv.hash < hash:
			return -1
		case srv.hash > hash:
			return 1
		}
		return 0
	})
}

// arbiter returns the first suitable agent at or after the hash of a job, or nil if there is none.
func (r ring) arbiter(hash uint64, suitable func(*server) bool) *server {
	at, _ := r.search(hash)
	for i := range r {
		if srv := r[(at+i)%len(r)]; suitable(srv) {
			return srv
		}
	}
	return nil
}

// keepsClaims reports whether an agent understands claims.
func (s *Scheduler) keepsClaims(srv *server) bool { return srv.linked && srv.keepsClaims }

// decidesClaims reports whether an agent knows all claims. Others may get claims, but their grants prove nothing.
func (s *Scheduler) decidesClaims(srv *server) bool {
	return s.keepsClaims(srv) && s.now >= srv.claimsCompleteAt
}

// requestClaim claims a job at its arbiter. Its pending tasks wait for the answer, at most for claimTimeout. Without an arbiter they
// wait if wait is set, since one may be linked soon.
func (s *Scheduler) requestClaim(j *job, wait bool) {
	arbiter := s.arbiters.arbiter(j.claim.hash, s.decidesClaims)
	if (arbiter != nil && !arbiter.claimsUnanswered) || wait {
		j.claim.state, j.claim.requestedAt = claimRequested, s.now
		j.claim.waitUntil = max(s.now, s.relinkedAt) + claimTimeout
	}
	s.claimAt(j, arbiter)
	s.claimAt(j, s.arbiters.arbiter(j.claim.hash, s.keepsClaims))
}

// claimAt adds a job to the claims that are sent to an agent, which may be nil.
func (s *Scheduler) claimAt(j *job, srv *server) {
	if srv == nil {
		return
	}
	if !slices.Contains(j.claim.arbiters, srv) {
		j.claim.arbiters = append(j.claim.arbiters, srv)
	}
	m := s.claimsTo(srv)
	if !slices.ContainsFunc(m.Claim, func(c structs.JobClaim) bool { return c.ID == j.spec.ID }) {
		m.Claim = append(m.Claim, structs.JobClaim{ID: j.spec.ID, Age: s.now - j.claim.submittedAt})
	}
	s.claimsUrgent = true
}

// claimsTo returns the message about claims that is to be sent to an agent.
func (s *Scheduler) claimsTo(srv *server) *structs.JobClaims {
	if s.claimsDue[srv] == nil {
		s.claimsDue[srv] = &structs.JobClaims{}
	}
	return s.claimsDue[srv]
}

// mayPlace reports whether tasks of a job may be placed. A claim without an answer is given up after its time.
func (s *Scheduler) mayPlace(j *job) bool {
	switch {
	case j.claim.state == claimHeld && s.now >= j.claim.waitUntil:
		j.claim.waitUntil = s.now + heldClaimInterval
		s.claimAt(j, s.arbiters.arbiter(j.claim.hash, s.decidesClaims))
	case j.claim.state == claimRequested && s.now >= j.claim.waitUntil:
		s.log(LogEntry{Message: MessageClaimUnanswered, Job: j.spec.ID, Detail: arbiterNames(j), Age: s.now - j.arrival})
		if arbiter := s.arbiters.arbiter(j.claim.hash, s.decidesClaims); arbiter != nil {
			arbiter.claimsUnanswered = true
		}
		j.claim.state, j.claim.requestedAt = claimGranted, s.now
	case j.claim.state == claimGranted && len(j.claim.arbiters) > 0 && s.now-j.claim.requestedAt >= claimValidity:
		j.claim.requestedAt = s.now
		s.requestClaim(j, false)
	}
	return j.claim.state == claimGranted && s.now >= s.relinkedAt
}

// claimBeforeRetry claims a job anew whose run has been lost: if this gateway was slow or cut off, its caller may be elsewhere.
func (s *Scheduler) claimBeforeRetry(j *job, kind structs.PlacementEventKind) {
	lost := kind == structs.PlacementLost || kind == structs.PlacementUnhealthy
	if lost && !j.ended && j.claim.state == claimGranted && len(j.claim.arbiters) > 0 {
		s.requestClaim(j, false)
	}
}

func arbiterNames(j *job) string {
	names := ""
	for _, srv := range j.claim.arbiters {
		names += " " + string(srv.id)
	}
	return "arbiters" + names
}

// releaseClaims gives up the claims of a job that has ended with all its placements.
func (s *Scheduler) releaseClaims(j *job) {
	for _, srv := range j.claim.arbiters {
		if srv.linked {
			s.release(srv, j.spec.ID, j.claim.taken)
		}
	}
	j.claim.arbiters = nil
}

// release adds a job to those that an agent is told to be free. Unless it is urgent, since another gateway waits for the job, this
// may be late.
func (s *Scheduler) release(srv *server, job string, urgent bool) {
	m := s.claimsTo(srv)
	m.Claim = slices.DeleteFunc(m.Claim, func(c structs.JobClaim) bool { return c.ID == job })
	m.Release = append(m.Release, job)
	switch {
	case urgent:
		s.releaseBy = s.now
	case s.releaseBy == 0:
		s.releaseBy = s.now + releaseInterval
	}
}

// sendClaims sends the messages about claims that are due.
func (s *Scheduler) sendClaims() {
	releases := s.releaseBy > 0 && s.now >= s.releaseBy
	if !releases && !s.claimsUrgent {
		return
	}
	for _, srv := range slices.SortedFunc(maps.Keys(s.claimsDue), compareServers) {
		if m := s.claimsDue[srv]; releases || len(m.Claim) > 0 {
			s.send(srv, structs.TypeJobClaims, m)
			delete(s.claimsDue, srv)
		}
	}
	s.claimsUrgent = false
	if len(s.claimsDue) == 0 {
		s.releaseBy = 0
	}
}

// HandleJobClaimAnswers handles an agent's answers about claims of jobs.
func (s *Scheduler) HandleJobClaimAnswers(now time.Duration, id structs.AgentID, in *structs.JobClaimAnswers) {
	s.advance(now)
	srv := s.servers[id]
	if srv == nil || !srv.linked {
		return
	}
	srv.claimsCompleteAt, srv.claimsUnanswered = s.now+in.CompleteIn, false
	if !srv.keepsClaims {
		srv.keepsClaims = true
		if s.relinkedAt == 0 {
			s.relinkedAt = s.now
			if in.CompleteIn == 0 {
				s.relinkedAt += relinkTime // other gateways know more agents
			}
		}
		s.claimAgain(srv)
	}
	for _, job := range in.Granted {
		s.claimGranted(srv, job)
	}
	for _, job := range in.Doubtful {
		s.claimDoubtful(srv, job)
	}
	for _, job := range in.Held {
		s.claimHeld(srv, job)
	}
	for _, job := range in.Taken {
		s.jobTaken(srv, job)
	}
}

// claimAgain claims the jobs at an agent that has been linked: those that were claimed there before, since the agent may
// have been restarted, and those whose arbiter it becomes.
func (s *Scheduler) claimAgain(srv *server) {
	s.claimWhere(func(j *job) bool {
		return slices.Contains(j.claim.arbiters, srv) || s.arbiters.arbiter(j.claim.hash, s.keepsClaims) == srv
	}, func(j *job) { s.claimAt(j, srv) })
}

// claimWhere calls claim for the jobs that a filter selects, in a fixed order.
func (s *Scheduler) claimWhere(filter func(*job) bool, claim func(*job)) {
	var selected []*job
	for _, j := range s.jobs {
		if filter(j) {
			selected = append(selected, j)
		}
	}
	slices.SortFunc(selected, compareJobs)
	for _, j := range selected {
		claim(j)
	}
}

// arbiterLost claims the jobs of an agent that is not linked any more at their next arbiter. Tasks that have not been placed wait
// for its answer. If another gateway holds the job, the next arbiter may not know it.
func (s *Scheduler) arbiterLost(srv *server) {
	if !srv.keepsClaims {
		return
	}
	srv.keepsClaims = false
	delete(s.claimsDue, srv)
	s.claimWhere(func(j *job) bool { return !j.ended && slices.Contains(j.claim.arbiters, srv) }, func(j *job) {
		if j.claim.state == claimHeld {
			j.claim.waitUntil, j.claim.notBefore = s.now, s.now+lostHolderTime
			return
		}
		s.requestClaim(j, true)
	})
}

// awaitLinks prolongs the wait for the claims of all jobs after a pause of this process, which has closed all links.
func (s *Scheduler) awaitLinks() {
	s.relinkedAt = 0
	for _, j := range s.jobs {
		if j.claim.state == claimRequested {
			j.claim.waitUntil = s.now + reclaimTimeout
		}
	}
}

func (s *Scheduler) claimGranted(srv *server, id string) {
	j := s.jobs[id]
	if j == nil {
		s.release(srv, id, false)
		return
	}
	if s.decidesClaims(srv) && s.now >= j.claim.notBefore && !j.ended && j.claim.state != claimGranted {
		if j.claim.state == claimHeld {
			j.claim.requestedAt = s.now
		}
		j.claim.state, j.nextScan = claimGranted, 0
		s.enqueue(j)
	}
}

// claimDoubtful handles the grant of an agent that has lost touch with a gateway that held the job: that gateway may be alive and
// have claimed it at the next agent.
func (s *Scheduler) claimDoubtful(srv *server, id string) {
	j := s.jobs[id]
	next := s.arbiters.arbiter(srv.hash+1, func(other *server) bool { return other != srv && s.decidesClaims(other) })
	if j == nil || next == nil {
		s.claimGranted(srv, id)
		return
	}
	if !j.ended && j.claim.state != claimGranted {
		j.claim.state, j.claim.waitUntil = claimRequested, s.now+claimTimeout
		s.claimAt(j, next)
	}
}

// claimHeld handles that another gateway holds a job. It has been told to end it.
func (s *Scheduler) claimHeld(srv *server, id string) {
	j := s.jobs[id]
	if j == nil || j.ended {
		return // its release follows
	}
	if j.claim.state != claimHeld {
		s.log(LogEntry{Message: MessageJobHeld, Job: id, Agent: srv.id, Age: s.now - j.arrival})
		j.claim.waitUntil = s.now + heldClaimInterval
	}
	j.claim.state, j.mayHaveRun = claimHeld, true
}

// jobTaken ends a job whose caller has submitted it through another gateway, with all submissions of it that wait.
func (s *Scheduler) jobTaken(srv *server, id string) {
	j := s.jobs[id]
	if j == nil {
		s.release(srv, id, true)
		return
	}
	s.log(LogEntry{Message: MessageJobTaken, Job: id, Agent: srv.id, Age: s.now - j.arrival, Detail: "tasks placed " + strconv.Itoa(j.placed)})
	j.claim.taken, j.mayHaveRun = true, true
	for _, r := range j.resubmissions {
		s.actions = append(s.actions, Answer{
			Waiters: []Waiter{r.Waiter}, Job: id, Outcome: OutcomeLost, Reason: ReasonTaken, Summary: s.summarize(j),
		})
	}
	j.resubmissions = nil
	s.deadlines.schedule(j)
	if !j.ended {
		s.end(j, OutcomeLost, ReasonTaken, 0)
	}
}
