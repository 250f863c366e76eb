package schedule

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// HandleLivenessProbe handles an agent's probe. The next Flush answers it, after the stops that result from earlier inputs.
func (s *Scheduler) HandleLivenessProbe(now time.Duration, id structs.AgentID, in *structs.LivenessProbe) {
	s.advance(now)
	srv := s.servers[id]
	if srv == nil || !srv.linked {
		return
	}
	if srv.probe == nil {
		s.probed = append(s.probed, srv)
	}
	srv.probe = in
}

// answerProbes answers the probes since the last Flush.
func (s *Scheduler) answerProbes() {
	for _, srv := range s.probed {
		if srv.linked && srv.probe != nil {
			s.actions = append(s.actions, Send{
				Agent: srv.id, Type: structs.TypeLivenessAnswer, Message: &structs.LivenessAnswer{SentAt: srv.probe.SentAt},
			})
		}
		srv.probe = nil
	}
	s.probed = s.probed[:0]
}
