package supervisor

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// HandleRackDemand handles the demand of a gateway's jobs for the rack of the server. The sum of what all gateways have sent is sent
// to all of them.
func (s *Supervisor) HandleRackDemand(now time.Duration, ref structs.GatewayRef, in *structs.RackDemand) {
	s.advance(now)
	if g := s.gateways[ref]; g != nil && g.linked && s.server != nil {
		s.demand.HandleDemand(s.now, ref, s.server.Labels, in)
	}
}

// sendRackDemand sends the totals that are due to all linked gateways.
func (s *Supervisor) sendRackDemand() {
	totals := s.demand.Totals(s.now)
	if len(totals) == 0 {
		return
	}
	for _, g := range s.sortedGateways() {
		if !g.linked {
			continue
		}
		for _, total := range totals {
			// These messages do not postpone the heartbeat, which also has the revision of the operator state.
			s.actions = append(s.actions, Send{Gateway: g.ref, Type: structs.TypeRackDemandTotal, Message: total})
		}
	}
}
