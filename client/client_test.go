package client_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/client"
)

// script is a gateway that answers submissions from a list of steps and records the keys.
type script struct {
	mu    sync.Mutex
	keys  []string
	steps []http.HandlerFunc
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/tickets") {
		_, _ = w.Write([]byte(`{"tickets":["rt1.lending.0.1.a","rt1.lending.0.1.b"]}`))
		return
	}
	s.mu.Lock()
	s.keys = append(s.keys, r.Header.Get("Idempotency-Key"))
	step := s.steps[0]
	if len(s.steps) > 1 {
		s.steps = s.steps[1:]
	}
	s.mu.Unlock()
	step(w, r)
}

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuse(code, outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(map[string]string{"code": code, "outcome": outcome})
	}
}

func text(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func submit(t *testing.T, steps ...http.HandlerFunc) (*script, *client.Answer, *client.Error) {
	s := &script{steps: steps}
	servers := []*httptest.Server{httptest.NewServer(s), httptest.NewServer(s)}
	for _, server := range servers {
		server.Config.ErrorLog = nil
		t.Cleanup(server.Close)
	}
	c, err := client.New(client.Options{Gateways: []string{servers[0].URL, servers[1].URL}})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	answer, err := c.Submit(t.Context(), client.Job{Service: "lending", Tasks: []json.RawMessage{[]byte("1")}})
	var refused *client.Error
	if err != nil {
		require.ErrorAs(t, err, &refused)
	}
	return s, answer, refused
}

const complete = `{"job":"j","outcome":"complete","results":[1]}`

// TestOneKeyForAllAttempts guards against a second run of a job after broken connections, foreign error pages and
// changes of owner.
func TestOneKeyForAllAttempts(t *testing.T) {
	s, answer, err := submit(t, cut, text(502, "<html>"), refuse("unavailable", "may_have_run"),
		text(202, `{"job":"j","outcome":"pending"}`), refuse("not_found", "may_have_run"), text(200, complete))
	require.Nil(t, err)
	require.Equal(t, "j", answer.Job)
	require.Equal(t, answer.Key, s.keys[0])
	for _, key := range s.keys {
		require.Contains(t, []string{answer.Key}, key)
	}
	require.Len(t, s.keys, 6)
}

// TestOutcomeCoversAllAttempts guards against "not_run" for a job that an earlier attempt may have started.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	_, _, err := submit(t, refuse("overloaded", "not_run"))
	require.Equal(t, client.OutcomeNotRun, err.Outcome)
	require.EqualValues(t, 7, err.RetryAfter.Seconds())
	_, _, err = submit(t, cut, refuse("overloaded", "not_run"))
	require.Equal(t, client.OutcomeMayHaveRun, err.Outcome)
	require.Equal(t, client.CodeOverloaded, err.Code)
	_, _, err = submit(t, refuse("task_failed", "failed"))
	require.Equal(t, client.OutcomeFailed, err.Outcome)
}
