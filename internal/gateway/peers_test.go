package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
)

// silentPeer ignores all messages of a link.
type silentPeer struct{}

func (silentPeer) Receive(*link.Link, []structs.Envelope) {}
func (silentPeer) Closed(*link.Link, error)               {}

// TestFailedHandoverLeavesNothingBehind guards against handovers that stay registered although they were not sent or not
// answered.
func TestFailedHandoverLeavesNothingBehind(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if accepted, err := link.Accept(w, r, link.Options{}, silentPeer{}); err == nil {
			<-accepted.Done()
		}
	}))
	defer server.Close()
	dialed, err := link.Dial(t.Context(), server.URL, link.Options{}, silentPeer{})
	require.NoError(t, err)
	out := &outbound{calls: map[uint64]chan *structs.ForwardReply{}, handovers: map[uint64]chan bool{}, link: dialed}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, out.handover(ctx, &structs.Handover{}), "no answer in time")
	require.Empty(t, out.handovers)
	dialed.Abort()
	<-dialed.Done()
	require.False(t, out.handover(t.Context(), &structs.Handover{}), "the link has ended")
	require.Empty(t, out.handovers)
}
