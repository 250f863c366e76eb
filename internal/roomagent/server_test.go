package roomagent

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
	"rosedrift.example/rosedrift/platform"
)

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
