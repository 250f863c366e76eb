package structs

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "rosedrift.example/rosedrift/internal/testseed"
)

// TestJobIDRoundTrip guards against job ids from which another gateway cannot recover the pool and the key.
func TestJobIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := rapid.StringMatching(`[a-z0-9][a-z0-9-]{0,30}`).Draw(t, "service")
		pools := rapid.Uint16Range(1, 64).Draw(t, "pools")
		key := HashKey(rapid.String().Draw(t, "team"), rapid.String().Draw(t, "key"))
		id := JobID{Pool: PoolOfKey(service, pools, key), Key: key}
		parsed, err := ParseJobID(id.String())
		require.NoError(t, err)
		require.Equal(t, id, parsed)
		require.Less(t, id.Pool.Index, pools)
	})
}

// TestHashKeyScopesByTeam guards against a collision of two teams whose team name and key concatenate to the same text.
func TestHashKeyScopesByTeam(t *testing.T) {
	require.NotEqual(t, HashKey("ab", "c"), HashKey("a", "bc"))
}

// TestTicketRoundTrip guards against tickets whose pool or epoch cannot be parsed back, and against keys chosen by
// callers that are taken for tickets.
func TestTicketRoundTrip(t *testing.T) {
	ticket := Ticket{Pool: PoolID{Service: "lending", Index: 3}, Epoch: 7, Unique: "u1"}
	parsed, ok := ParseTicket(ticket.String())
	require.True(t, ok)
	require.Equal(t, ticket, parsed)
	for _, key := range []string{"", "order-17", "rt1.x.y.z", "rt1.lending.0.1.", "rt1.LENDING.0.1.u"} {
		_, ok := ParseTicket(key)
		require.False(t, ok, key)
	}
}

// TestParseJobIDRejectsMalformedInput guards against panics on malformed ids and against their acceptance.
func TestParseJobIDRejectsMalformedInput(t *testing.T) {
	for _, text := range []string{"", "a.b", "a.1.zz", "a.99999.00", "A.1.00000000000000000000000000000000"} {
		_, err := ParseJobID(text)
		require.Error(t, err, text)
	}
}
