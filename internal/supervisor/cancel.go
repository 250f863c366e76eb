package supervisor

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// maxCancelled bounds the cancelled jobs that are kept.
const maxCancelled = 4096

// cancelledJob is a cancelled job that was passed on to the gateways.
type cancelledJob struct {
	id string
	at time.Duration
}

// RelayCancellation passes a gateway's message about cancelled jobs on to all gateways. The answer to the gateway itself
// confirms it.
func (s *Supervisor) RelayCancellation(now time.Duration, ref structs.GatewayRef, in *structs.CancelJobs) {
	s.advance(now)
	if g := s.gateways[ref]; g == nil || !g.linked {
		return
	}
	for _, id := range in.Jobs {
		s.cancelled = append(s.cancelled, cancelledJob{id: id, at: s.now})
	}
	s.cancelled = s.cancelled[max(len(s.cancelled)-maxCancelled, 0):]
	message := &structs.JobsCancelled{Gateway: ref, Seq: in.Seq, Jobs: in.Jobs}
	for _, g := range s.gateways {
		if g.linked {
			g.cancelled = append(g.cancelled, message)
		}
	}
}

// recentlyCancelled returns the jobs that were cancelled within structs.CancelRetention, and forgets the others.
func (s *Supervisor) recentlyCancelled() []string {
	first := 0
	for first < len(s.cancelled) && s.now-s.cancelled[first].at >= structs.CancelRetention {
		first++
	}
	s.cancelled = s.cancelled[first:]
	jobs := make([]string, 0, len(s.cancelled))
	for _, c := range s.cancelled {
		jobs = append(jobs, c.id)
	}
	return jobs
}
