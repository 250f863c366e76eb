package schedule

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/zonestate"
)

// zoneStateInterval is the shortest time by which the confirmation of an unchanged zone state must have advanced to be
// sent to an agent again. Gateways confirm the state about once a second.
const zoneStateInterval = 500 * time.Millisecond

// SetZonesOut sets the availability zones in which no task may start, as of an operator state revision.
func (s *Scheduler) SetZonesOut(now time.Duration, zones []string, revision uint64) {
	s.advance(now)
	s.revision = revision
	s.applyZones(zones, revision, zonestate.Unconfirmed)
}

// ConfirmZones handles a zone state that the store had at the time asOf, and that was the newest one at that time.
func (s *Scheduler) ConfirmZones(now time.Duration, zones []string, revision uint64, asOf time.Duration) {
	s.advance(now)
	s.applyZones(zones, revision, asOf)
}

// HandleZonesOut handles the zone state of an agent, which has read it from the store or has it from another gateway.
func (s *Scheduler) HandleZonesOut(now time.Duration, id structs.AgentID, in *structs.ZonesOut) {
	s.advance(now)
	if s.applyZones(in.Zones, in.Revision, s.now-max(in.Age, 0)) {
		s.log(LogEntry{Message: "zone state taken from an agent", Agent: id, Detail: s.zones.String()})
	}
}

// applyZones applies a zone state and returns whether the zones have changed. The agents get a change at once, and also a
// confirmation if without it they would soon read the store.
func (s *Scheduler) applyZones(zones []string, revision uint64, asOf time.Duration) bool {
	wasStale := s.zones.Age(s.now) >= zonestate.StaleAfter
	changed := s.zones.Apply(zones, revision, asOf)
	if changed {
		s.zoneVersion++
		s.resetContention()
		s.usabilityChanged = true
		for _, srv := range s.sortedServers {
			s.markChanged(srv)
		}
	}
	s.zonesUrgent = s.zonesUrgent || changed || (wasStale && s.zones.Age(s.now) < zonestate.StaleAfter)
	return changed
}

// sendZoneState sends an agent the zone state if it has changed, or was confirmed, since it was last sent. It is called
// after another message to the agent, so that both share a frame.
func (s *Scheduler) sendZoneState(srv *server) {
	changed := srv.sentZoneVersion != s.zoneVersion
	if !s.zones.Known() || (!changed && s.zones.AsOf()-srv.sentZonesAsOf < zoneStateInterval) {
		return
	}
	srv.sentZoneVersion, srv.sentZonesAsOf = s.zoneVersion, s.zones.AsOf()
	s.actions = append(s.actions, Send{Agent: srv.id, Type: structs.TypeZonesOut, Message: &structs.ZonesOut{
		Revision: s.zones.Revision(), Zones: s.zones.Out(), Age: s.zones.Age(s.now),
	}})
}

// sendUrgentZoneState sends the zone state to all agents that do not have it yet if they need it at once.
func (s *Scheduler) sendUrgentZoneState() {
	if !s.zonesUrgent {
		return
	}
	s.zonesUrgent = false
	for _, srv := range s.sortedServers {
		if srv.linked {
			s.sendZoneState(srv)
		}
	}
}
