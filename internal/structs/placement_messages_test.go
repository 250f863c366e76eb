package structs

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStateExchange guards against an operator state that is sent back to the side it came from, is sent twice, or is
// never sent to a side that has an older one.
func TestStateExchange(t *testing.T) {
	var link StateExchange
	require.False(t, link.ShouldSend(5, 5), "the other side has it")
	require.True(t, link.ShouldSend(5, 4))
	require.False(t, link.ShouldSend(5, 4), "it has been sent")
	link.Received(7)
	require.False(t, link.ShouldSend(7, 4), "it came from there")
	require.True(t, link.ShouldSend(8, 4))
	link.Received(6)
	require.False(t, link.ShouldSend(8, 4), "an older revision from the other side changes nothing")
}
