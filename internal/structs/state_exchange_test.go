package structs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFewAgentsKeepTheState guards against a change of the configuration that is sent from every gateway to every agent,
// and against a site on which no agent has it for a gateway that starts in an outage of the store.
func TestFewAgentsKeepTheState(t *testing.T) {
	for _, site := range []struct{ gateways, agents int }{{3, 11}, {13, 70}, {35, 160}, {40, 1000}} {
		kept, first := 0, map[int]bool{}
		for g := range site.gateways {
			for a := range site.agents {
				gateway, agent := GatewayID(fmt.Sprintf("front-%d", g)), AgentID(fmt.Sprintf("side-%d", a))
				if KeepsState(gateway, agent, site.agents) {
					kept++
					first[a] = true
				}
				require.Less(t, StateDelay(gateway, agent), 2*time.Second)
			}
		}
		require.LessOrEqual(t, kept, 2*stateKeepers*site.gateways, "%v", site)
		require.GreaterOrEqual(t, len(first), min(stateKeepers, site.agents), "%v", site)
	}
	require.True(t, KeepsState("g", "a", 1))
	require.True(t, KeepsState("g", "b", 2))
}
