package link

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

// signalHandler sends a value for each received batch.
type signalHandler chan struct{}

func (h signalHandler) Receive(*Link, []structs.Envelope) { h <- struct{}{} }
func (h signalHandler) Closed(*Link, error)               {}

// BenchmarkSingleMessages measures the time from Send to the peer's handler for a heartbeat on an idle link.
func BenchmarkSingleMessages(b *testing.B) {
	got := make(signalHandler, 1)
	var accepted *Link
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		accepted, _ = Accept(w, r, Options{}, got)
	}))
	defer server.Close()
	l, err := Dial(context.Background(), "ws"+strings.TrimPrefix(server.URL, "http"), Options{}, got)
	require.NoError(b, err)
	for b.Loop() {
		require.NoError(b, l.Send(Control, structs.TypeGatewayHeartbeat, &structs.GatewayHeartbeat{Seq: 1}))
		<-got
	}
	l.Abort()
	<-l.Done()
	<-accepted.Done()
}
