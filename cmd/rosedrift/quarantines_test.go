package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/schedule"
	"rosedrift.example/rosedrift/internal/structs"
)

// TestQuarantines guards against an operator who cannot see or end the quarantine of a queue, or ends one by mistake.
func TestQuarantines(t *testing.T) {
	lifted := ""
	mux := http.NewServeMux()
	mux.HandleFunc("GET /quarantines", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode([]schedule.QuarantineState{{
			Route: "quotes", Service: "desk", Evidence: "job 7 crashed i-1, i-2", Servers: []structs.AgentID{"side-1"},
			LastCrash: 2 * time.Second, EndsIn: 6 * time.Second,
		}})
	})
	mux.HandleFunc("DELETE /quarantines/{queue}", func(w http.ResponseWriter, r *http.Request) {
		if r.PathValue("queue") != "quotes" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		lifted = r.PathValue("queue")
		w.WriteHeader(http.StatusNoContent)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	command := func(input string, args ...string) (int, string) {
		var out, errs strings.Builder
		code := run(t.Context(), append([]string{"--gateway", server.URL}, args...), terminal{strings.NewReader(input), &out, &errs})
		return code, out.String() + errs.String()
	}
	code, text := command("", "quarantines")
	require.Equal(t, exitDone, code)
	require.Contains(t, text, "Queue quotes of service desk: last crash 2s ago, ends in about 6s.")
	require.Contains(t, text, "job 7 crashed i-1, i-2")
	code, _ = command("n\n", "quarantines", "lift", "quotes")
	require.Equal(t, exitRefused, code)
	code, _ = command("", "--dry-run", "quarantines", "lift", "quotes")
	require.Equal(t, exitDone, code)
	require.Empty(t, lifted)
	code, _ = command("", "--yes", "quarantines", "lift", "other")
	require.Equal(t, exitRefused, code)
	code, _ = command("y\n", "quarantines", "lift", "quotes")
	require.Equal(t, exitDone, code)
	require.Equal(t, "quotes", lifted)
	code, _ = command("", "quarantines", "drop")
	require.Equal(t, exitUsage, code)
	server.Close()
	code, _ = command("", "quarantines")
	require.Equal(t, exitUnreachable, code)
}
