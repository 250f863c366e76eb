package platformagent

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
	"rosedrift.example/rosedrift/platform"
)

// TestLinkedGatewayStaysKnown guards against an agent that does not dial a gateway again whose list it has read long ago: the
// list comes only when it changes.
func TestLinkedGatewayStaysKnown(t *testing.T) {
	const address = "127.0.0.1:1"
	a := New(Options{
		Settings: platform.Settings{Name: "a", StoreAddress: address, ServerAddress: address},
		Self:     structs.AgentRef{ID: "a", Incarnation: 1}, Logger: log.NewNopLogger(), Metrics: telemetry.NewMetrics("test", nil),
	})
	a.links.learn([]string{address})
	m := a.links.members[address]
	m.known, m.conn = time.Now().Add(-2*forgetMember), &conn{}
	require.Equal(t, 1, a.links.dialMissing(t.Context()))
	m.conn = nil
	require.Zero(t, a.links.dialMissing(t.Context()))
	require.Contains(t, a.links.members, address)
}

// TestLateHeartbeatIsIgnored guards against orders to a server that has ended, after a heartbeat of it that a partition has
// held up.
func TestLateHeartbeatIsIgnored(t *testing.T) {
	a := New(Options{
		Settings: platform.Settings{Name: "a", StoreAddress: "127.0.0.1:1", ServerAddress: "127.0.0.1:1"},
		Self:     structs.AgentRef{ID: "a", Incarnation: 1}, Logger: log.NewNopLogger(), Metrics: telemetry.NewMetrics("test", nil),
	})
	a.server.heard(platform.Heartbeat{ID: "new", Born: 20})
	a.server.learnClock(500)
	a.server.heard(platform.Heartbeat{ID: "old", Born: 10})
	server, deadline := a.server.deadline()
	require.Equal(t, "new", server)
	require.NotZero(t, deadline, "the clock stays known")
}
