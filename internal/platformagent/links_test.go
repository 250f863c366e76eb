package platformagent

import (
	"fmt"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
	"rosedrift.example/rosedrift/platform"
)

// TestOddAddressesDoNotKeepGatewaysOut guards against addresses of other writers that fill the memory of an agent, delay the dial of a
// live gateway or keep it out of the list.
func TestOddAddressesDoNotKeepGatewaysOut(t *testing.T) {
	const seed, live = "127.0.0.1:1", "127.0.0.1:2"
	a := New(Options{
		Settings: platform.Settings{Name: "a", StoreAddress: seed, ServerAddress: seed, Seeds: []string{seed}},
		Self:     structs.AgentRef{ID: "a", Incarnation: 1}, Logger: log.NewNopLogger(), Metrics: telemetry.NewMetrics("test", nil),
	})
	l := a.links
	var dead []string
	for i := range 2 * platform.MaxGateways {
		dead = append(dead, fmt.Sprintf("127.9.%d.%d:1", i/250, i%250+1))
	}
	l.addMembers([]string{"\xff\x00{", "", "127.0.0.1:99999", "127.0.0.1:0", "[[["})
	require.Len(t, l.members, 1, "only the seed")
	l.addMembers(dead)
	require.Len(t, l.members, platform.MaxGateways)
	l.addMembers([]string{live})
	require.NotContains(t, l.members, live, "nothing is known of the others yet")
	for _, m := range l.members {
		l.mu.Lock()
		l.recordFailure(m)
		m.nextDial = m.lastSeen
		l.mu.Unlock()
	}
	l.addMembers([]string{live})
	require.Contains(t, l.members, live, "the others have never answered")
	require.Len(t, l.members, platform.MaxGateways)
	require.Contains(t, l.members, seed)
	require.Zero(t, l.dialMissing(t.Context()))
	dialing := func() (count int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, m := range l.members {
			if m.dialing || m.failures > 1 {
				count++
			}
		}
		return count
	}
	require.LessOrEqual(t, dialing(), maxDials)
	l.mu.Lock()
	require.True(t, l.members[live].dialing || l.members[live].failures > 0, "the new one is dialed first")
	l.mu.Unlock()
	m := &member{address: "127.9.9.9:1", redialDelay: minRedialDelay}
	for range maxFreshDials + 10 {
		l.recordFailure(m)
	}
	require.Equal(t, deadRedialDelay, m.redialDelay)
	m = l.members[seed]
	for range maxFreshDials + 10 {
		l.recordFailure(m)
	}
	require.Equal(t, maxRedialDelay, m.redialDelay, "a seed may be a gateway that is about to start")
}
