package supervisor

import (
	"fmt"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/zonestate"
)

// SetZonesOut handles an operator state of a gateway, which lists the availability zones out of service.
func (s *Supervisor) SetZonesOut(now time.Duration, zones []string, revision uint64) {
	s.advance(now)
	s.revision = revision
	s.applyZones(zones, revision, zonestate.Unconfirmed)
}

// HandleZonesOut handles the zone state of a gateway.
func (s *Supervisor) HandleZonesOut(now time.Duration, in *structs.ZonesOut) {
	s.advance(now)
	s.applyZones(in.Zones, in.Revision, s.now-max(in.Age, 0))
}

// ZonesRead handles the zones out of service as read from the store at a revision. The read was requested at requestedAt.
// The state is passed on to the gateways, which may be cut off from the store.
func (s *Supervisor) ZonesRead(now time.Duration, zones []string, revision uint64, requestedAt time.Duration) {
	s.advance(now)
	s.zoneReader.End(s.now, true)
	s.applyZones(zones, revision, requestedAt)
	for _, g := range s.gateways {
		g.zonesDue = true
	}
}

// ZoneReadFailed handles a failed read of the zones. Until a read succeeds the last known state stays in force, since
// tasks are served while the store is unavailable.
func (s *Supervisor) ZoneReadFailed(now time.Duration) {
	s.advance(now)
	s.zoneReader.End(s.now, false)
}

// ZoneStateAge returns how old the knowledge of the zones out of service is.
func (s *Supervisor) ZoneStateAge(now time.Duration) time.Duration { return s.zones.Age(now) }

func (s *Supervisor) applyZones(zones []string, revision uint64, asOf time.Duration) {
	wasOut := s.zones.IsOut(s.options.Zone)
	if s.zones.Apply(zones, revision, asOf) {
		s.log(LogEntry{Message: "zone state", Detail: s.zones.String()})
	}
	if s.zones.IsOut(s.options.Zone) != wasOut {
		s.announceServer()
	}
}

// readZones requests a read of the zones from the store when one is due.
func (s *Supervisor) readZones() {
	if s.now < s.zoneReader.NextRead(&s.zones) {
		return
	}
	s.zoneReader.Begin()
	s.log(LogEntry{Message: "zone state is old, reading it from the store", Detail: fmt.Sprintf(
		"age=%v gateways=%d", s.zones.Age(s.now), s.linkedGateways())})
	s.actions = append(s.actions, ReadZones{})
}

func (s *Supervisor) zoneState() *structs.ZonesOut {
	return &structs.ZonesOut{Revision: s.zones.Revision(), Zones: s.zones.Out(), Age: s.zones.Age(s.now)}
}
