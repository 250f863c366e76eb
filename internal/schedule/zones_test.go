package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/zonestate"
)

// sentZones returns the zone states of a Flush by their agents.
func sentZones(t *testing.T, s *Scheduler, now time.Duration) map[structs.AgentID]*structs.ZonesOut {
	sent := map[structs.AgentID]*structs.ZonesOut{}
	for _, action := range s.Flush(now) {
		if send, ok := action.(Send); ok {
			if m, ok := send.Message.(*structs.ZonesOut); ok {
				require.NotContains(t, sent, send.Agent, "sent twice")
				sent[send.Agent] = m
			}
		}
	}
	return sent
}

// TestZoneStatePassesBetweenAgents guards against a gateway that is cut off from the store and goes by its old zones although an
// agent has read newer ones, and against agents that read the store one after the other for lack of each other's state.
func TestZoneStatePassesBetweenAgents(t *testing.T) {
	s := New(time.Second, Options{Self: structs.GatewayRef{ID: "g", Incarnation: 1}, RunLease: time.Second})
	now := s.now
	for _, id := range []structs.AgentID{"a", "b"} {
		s.Linked(now, id)
		s.HandleServerReport(now, id, &structs.ServerReport{Zone: "z", Service: "s", Open: true})
	}
	s.SetZonesOut(now, nil, 5)
	require.Empty(t, sentZones(t, s, now), "nobody has confirmed the state")
	confirm := func() { s.ConfirmZones(now, nil, 5, now) }
	confirm()
	require.Len(t, sentZones(t, s, now), 2)
	for range 5 {
		now += 250 * time.Millisecond
		confirm()
		for _, m := range sentZones(t, s, now) {
			require.Zero(t, m.Age)
		}
	}
	// The gateway loses the store.
	for range 10 {
		now += 250 * time.Millisecond
		for _, m := range sentZones(t, s, now) {
			require.Positive(t, m.Age)
		}
	}
	require.Equal(t, 2, s.UsableServers())
	s.HandleZonesOut(now, "a", &structs.ZonesOut{Revision: 9, Zones: []string{"z"}, Age: time.Millisecond})
	require.Zero(t, s.UsableServers())
	sent := sentZones(t, s, now)
	require.Equal(t, &structs.ZonesOut{Revision: 9, Zones: []string{"z"}, Age: time.Millisecond}, sent["b"])
	// Older states change nothing, the same one is not sent at once.
	s.SetZonesOut(now, nil, 8)
	s.HandleZonesOut(now, "b", &structs.ZonesOut{Revision: 7})
	s.HandleZonesOut(now, "b", &structs.ZonesOut{Revision: 9, Zones: []string{"z"}})
	require.Zero(t, s.UsableServers())
	require.Empty(t, sentZones(t, s, now))
	// Without a change, a confirmation is sent at once if the agents are about to read the store.
	for range 10 {
		now += 250 * time.Millisecond
		sentZones(t, s, now)
	}
	s.HandleZonesOut(now, "a", &structs.ZonesOut{Revision: 10, Zones: []string{"z"}})
	require.Len(t, sentZones(t, s, now), 2)
	// A new link begins with the state.
	s.Unlinked(now, "b")
	s.Linked(now, "b")
	s.HandleServerReport(now, "b", &structs.ServerReport{Zone: "z", Service: "s", Open: true})
	require.Contains(t, sentZones(t, s, now), structs.AgentID("b"))
	s.HandleZonesOut(now, "a", &structs.ZonesOut{Revision: 11})
	require.Equal(t, 2, s.UsableServers(), "the zone is back")
	require.Less(t, s.zones.Age(now), zonestate.StaleAfter)
}
