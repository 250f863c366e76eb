package structs

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStateExchange guards against an operator state that goes back and forth on a link, is sent twice, or never reaches the
// side that knows an older one.
func TestStateExchange(t *testing.T) {
	var link StateExchange
	require.False(t, link.ShouldSend(5, 5), "the other side knows it")
	require.True(t, link.ShouldSend(5, 4))
	require.False(t, link.ShouldSend(5, 4), "it is on its way")
	link.Received(7)
	require.False(t, link.ShouldSend(7, 4), "it came from there")
	require.True(t, link.ShouldSend(8, 4))
	link.Received(6)
	require.False(t, link.ShouldSend(8, 4), "an older one changes nothing")
}
