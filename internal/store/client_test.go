package store

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClientUnknownOutcome guards against a write that may have taken effect and is reported as refused, and the other
// way round. Only the store's own answers and failed dials prove that nothing was written.
func TestClientUnknownOutcome(t *testing.T) {
	stop := make(chan struct{})
	answers := map[string]struct {
		handler http.HandlerFunc
		kind    Kind
		unknown bool
	}{
		"proxy error":   {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }, KindUnavailable, true},
		"cut answer":    {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"ver`)) }, KindUnavailable, true},
		"closed":        {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, KindUnavailable, true},
		"no answer":     {func(http.ResponseWriter, *http.Request) { <-stop }, KindUnavailable, true},
		"store refuses": {refuse(503, `{"kind":"unavailable"}`), KindUnavailable, false},
		"conflict":      {refuse(409, `{"kind":"conflict"}`), KindConflict, false},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(answer.handler)
			defer server.Close()
			client := NewClient(server.URL, 50*time.Millisecond, nil)
			defer client.Close()
			_, err := client.Put(t.Context(), "k", nil, 0, 0)
			require.True(t, IsKind(err, answer.kind), err)
			require.Equal(t, answer.unknown, IsUnknown(err))
			_, err = client.Get(t.Context(), "k")
			require.False(t, IsUnknown(err))
			if name == "no answer" {
				close(stop)
			}
		})
	}
	client := NewClient("http://127.0.0.1:1", 0, nil)
	_, err := client.Put(t.Context(), "k", nil, 0, 0)
	require.True(t, IsKind(err, KindUnavailable), err)
	require.False(t, IsUnknown(err))
}

func refuse(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}
