package supervisor

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// A message proves that its gateway was alive when it was sent, which may be long before it is handled: it may have waited on a
// link that was cut, or in a process that is slow or was paused. Meanwhile the gateway's callers may have left and submitted
// their jobs again elsewhere. So agents probe the gateways whose tasks they have, and count a contact from when an answered
// probe was sent. Gateways answer in the order of their inputs, so the time that these wait there counts too. The contact of a
// gateway that is not known yet counts from when the agent began to dial it: its first message answers that.

// HandleLivenessAnswer handles a gateway's answer to a probe.
func (s *Supervisor) HandleLivenessAnswer(now time.Duration, ref structs.GatewayRef, in *structs.LivenessAnswer) {
	s.advance(now)
	g := s.gateways[ref]
	if g == nil || !g.linked || in.SentAt > g.probedAt {
		return
	}
	for len(g.unansweredProbes) > 0 && g.unansweredProbes[0] <= in.SentAt {
		g.unansweredProbes = g.unansweredProbes[1:]
	}
	g.lastContact = max(g.lastContact, in.SentAt)
	if s.now-g.lastContact < structs.GatewayTimeout {
		g.timedOut = false
	}
}

// isInContact reports whether runs of a gateway may start. If not, the gateway is probed, and its tasks wait.
func (s *Supervisor) isInContact(g *gateway) bool {
	return s.now-g.lastContact < structs.GatewayTimeout
}

// sendProbe sends a probe if one is due. linked is the number of linked gateways. Other messages to the gateway take probes along,
// so that the contact is seldom too old. With many gateways, only those that have placed tasks lately are probed.
func (s *Supervisor) sendProbe(g *gateway, linked int) {
	active := linked <= fullViewGateways || len(g.runs) > 0 || s.now-g.placedAt < probedTime
	if g.probeDue || (active && g.sentAt == s.now && s.now-g.probedAt >= probeInterval) {
		g.probeDue, g.probedAt = false, s.now
		if len(g.unansweredProbes) < maxUnansweredProbes {
			g.unansweredProbes = append(g.unansweredProbes, s.now)
		}
		s.send(g, structs.TypeLivenessProbe, &structs.LivenessProbe{SentAt: s.now})
	}
}

// silentSince returns when the first probe was sent that the gateway has not answered, or now if it has answered all. It has
// handled nothing that reached it later.
func (s *Supervisor) silentSince(g *gateway) time.Duration {
	if len(g.unansweredProbes) == 0 {
		return s.now
	}
	return g.unansweredProbes[0]
}
