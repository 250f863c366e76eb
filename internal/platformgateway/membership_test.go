package platformgateway

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/standin"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
	"rosedrift.example/rosedrift/platform"
)

// TestMissingKeyIsWrittenAgain guards against a gateway that agents cannot find any more because its key is gone although
// its lease is alive.
func TestMissingKeyIsWrittenAgain(t *testing.T) {
	kv := standin.NewStore(1)
	defer kv.Close()
	server := httptest.NewServer(kv.Handler())
	defer server.Close()
	g := New(Options{
		Settings: platform.Settings{Name: "g", StoreAddress: strings.TrimPrefix(server.URL, "http://"), LinkAddress: "127.0.0.1:7"},
		Self:     structs.GatewayRef{ID: "g", Incarnation: 1}, Logger: log.NewNopLogger(), Metrics: telemetry.NewMetrics("test", nil),
	})
	m := g.membership
	require.True(t, m.renew(t.Context()))
	require.NoError(t, kv.Delete(t.Context(), m.key(), store.AnyVersion))
	require.True(t, m.renew(t.Context()))
	for range maxMissingReads {
		m.read(t.Context())
	}
	require.True(t, m.renew(t.Context()))
	_, err := kv.Get(t.Context(), m.key())
	require.NoError(t, err)
}
