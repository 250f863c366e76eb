package schedule

import (
	"maps"
	"slices"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// maxCancelled bounds the cancelled jobs that are remembered, about 100 bytes each.
const maxCancelled = 20_000

// cancelReason is the reason of the answers about a cancelled job.
const cancelReason = "cancelled"

// cancellations remembers the jobs that were cancelled, for structs.CancelRetention.
type cancellations struct {
	at map[string]time.Duration
	// order holds the jobs in the order of their cancelling.
	order []string
}

func newCancellations() *cancellations { return &cancellations{at: map[string]time.Duration{}} }

// add remembers a job. The oldest ones are forgotten if there are too many.
func (c *cancellations) add(now time.Duration, id string) {
	for len(c.order) > 0 && (len(c.order) >= maxCancelled || now-c.at[c.order[0]] >= structs.CancelRetention) {
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
	return known && now-at < structs.CancelRetention
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
	s.deadlines.schedule(j)
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

// Times of a cancelling. Callers expect its answer within 4 s on the users' platform, and that no task starts 3 s after it.
const (
	// cancelRetryDelay is the time without an answer after which other agents are asked to pass a cancelling on.
	cancelRetryDelay = 150 * time.Millisecond
	// cancelTimeout is how long agents are asked.
	cancelTimeout = time.Second
)

// Cancelled is the result of a RequestCancel.
type Cancelled struct {
	Waiter Waiter
	// Known says whether this gateway knew the job.
	Known bool
	// Confirmed is set once an agent has passed the cancelling on to the other gateways.
	Confirmed bool
}

func (Cancelled) action() {}

// cancelBatch is a CancelJobs message that has not been answered.
type cancelBatch struct {
	seq     uint64
	jobs    []string
	results []Cancelled
	// attempts counts the times that the message was sent. The next one is due at nextAt, none after endAt.
	attempts      int
	nextAt, endAt time.Duration
}

// RequestCancel cancels a job at the request of a caller, here and at all gateways that an agent reaches. The result comes as the
// action Cancelled.
func (s *Scheduler) RequestCancel(now time.Duration, id string, waiter Waiter) {
	known := s.Cancel(now, id)
	// The requests since the last Flush share a message.
	var batch *cancelBatch
	if last := len(s.cancelling) - 1; last >= 0 && s.cancelling[last].attempts == 0 {
		batch = s.cancelling[last]
	} else {
		s.cancelSeq++
		batch = &cancelBatch{seq: s.cancelSeq, nextAt: s.now, endAt: s.now + cancelTimeout}
		s.cancelling = append(s.cancelling, batch)
	}
	batch.jobs = append(batch.jobs, id)
	batch.results = append(batch.results, Cancelled{Waiter: waiter, Known: known})
}

// sendCancellings sends the cancellings that are due, and ends those that no agent has confirmed in time.
func (s *Scheduler) sendCancellings() {
	for _, batch := range slices.Clone(s.cancelling) {
		switch {
		case s.now < batch.nextAt:
		case s.now >= batch.endAt:
			s.log(LogEntry{Message: "cancelling not confirmed by any agent", Detail: strings.Join(batch.jobs, " ")})
			s.endCancelling(batch, false)
		default:
			relays, older := s.cancelRelays(int(batch.seq) + batch.attempts)
			if len(relays) == 0 && older {
				s.endCancelling(batch, true) // agents of an earlier version pass nothing on
				continue
			}
			batch.attempts++
			batch.nextAt = min(s.now+cancelRetryDelay, batch.endAt)
			for _, srv := range relays {
				s.send(srv, structs.TypeCancelJobs, &structs.CancelJobs{Seq: batch.seq, Jobs: batch.jobs})
			}
		}
	}
}

// cancelRelays returns the agents that pass a cancelling on: one in each availability zone, so that gateways which are cut off from
// another zone learn of it. turn selects among them. older says that there are agents which do not understand CancelJobs:
// the others have sent JobsCancelled at the start of the link.
func (s *Scheduler) cancelRelays(turn int) (relays []*server, older bool) {
	for _, zone := range slices.Sorted(maps.Keys(s.serversByZone)) {
		servers := s.serversByZone[zone]
		for i := range servers {
			srv := servers[(turn+i)%len(servers)]
			if srv.linked && srv.relaysCancellings {
				relays = append(relays, srv)
				break
			}
			older = older || (srv.linked && s.now-srv.linkedAt > cancelRetryDelay)
		}
	}
	return relays, older
}

func (s *Scheduler) endCancelling(batch *cancelBatch, confirmed bool) {
	s.cancelling = slices.DeleteFunc(s.cancelling, func(other *cancelBatch) bool { return other == batch })
	for _, result := range batch.results {
		result.Confirmed = confirmed
		s.actions = append(s.actions, result)
	}
}

// HandleJobsCancelled handles an agent's message about jobs that were cancelled through this or another gateway.
func (s *Scheduler) HandleJobsCancelled(now time.Duration, id structs.AgentID, in *structs.JobsCancelled) {
	s.advance(now)
	if srv := s.servers[id]; srv != nil {
		srv.relaysCancellings = true
	}
	if in.Gateway == s.options.Self {
		if at := slices.IndexFunc(s.cancelling, func(b *cancelBatch) bool { return b.seq == in.Seq }); at >= 0 {
			s.endCancelling(s.cancelling[at], true)
		}
		return
	}
	for _, job := range in.Jobs {
		if !s.cancelled.has(s.now, job) && s.Cancel(now, job) {
			s.log(LogEntry{Message: "job cancelled through another gateway", Job: job, Agent: id, Detail: string(in.Gateway.ID)})
		}
	}
}
