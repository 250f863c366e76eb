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

// fakeGateway answers requests for jobs with its steps in turn, the last one repeatedly, and records their idempotency
// keys. It always issues tickets.
type fakeGateway struct {
	mu    sync.Mutex
	keys  []string
	steps []http.HandlerFunc
}

func (g *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/tickets") {
		_, _ = w.Write([]byte(`{"tickets":["rt1.lending.0.1.a","rt1.lending.0.1.b"]}`))
		return
	}
	g.mu.Lock()
	g.keys = append(g.keys, r.Header.Get("Idempotency-Key"))
	step := g.steps[0]
	if len(g.steps) > 1 {
		g.steps = g.steps[1:]
	}
	g.mu.Unlock()
	step(w, r)
}

// dropConnection closes the connection without a response.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// respondProblem responds with a problem detail and a Retry-After of 7 s.
func respondProblem(code, outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(map[string]string{"code": code, "outcome": outcome})
	}
}

func respondText(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// submit submits a job through two addresses of one fake gateway.
func submit(t *testing.T, steps ...http.HandlerFunc) (*fakeGateway, *client.Answer, *client.Error) {
	g := &fakeGateway{steps: steps}
	servers := []*httptest.Server{httptest.NewServer(g), httptest.NewServer(g)}
	for _, server := range servers {
		server.Config.ErrorLog = nil
		t.Cleanup(server.Close)
	}
	c, err := client.New(client.Options{Gateways: []string{servers[0].URL, servers[1].URL}})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	answer, err := c.Submit(t.Context(), client.Job{Service: "lending", Tasks: []json.RawMessage{[]byte("1")}})
	var submitErr *client.Error
	if err != nil {
		require.ErrorAs(t, err, &submitErr)
	}
	return g, answer, submitErr
}

const complete = `{"job":"j","outcome":"complete","results":[1]}`

// TestOneKeyForAllAttempts guards against a second run of a job that is submitted under another key after a broken
// connection, an error page of a load balancer or a change of owner.
func TestOneKeyForAllAttempts(t *testing.T) {
	g, answer, err := submit(t, dropConnection, respondText(502, "<html>"),
		respondProblem("unavailable", "may_have_run"), respondText(202, `{"job":"j","outcome":"pending"}`),
		respondProblem("not_found", "may_have_run"), respondText(200, complete))
	require.Nil(t, err)
	require.Equal(t, "j", answer.Job)
	require.Equal(t, answer.Key, g.keys[0])
	for _, key := range g.keys {
		require.Contains(t, []string{answer.Key}, key)
	}
	require.Len(t, g.keys, 6)
}

// TestOutcomeCoversAllAttempts guards against reporting "not_run" for a job that an earlier attempt may have started.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	_, _, err := submit(t, respondProblem("overloaded", "not_run"))
	require.Equal(t, client.OutcomeNotRun, err.Outcome)
	require.EqualValues(t, 7, err.RetryAfter.Seconds())
	_, _, err = submit(t, dropConnection, respondProblem("overloaded", "not_run"))
	require.Equal(t, client.OutcomeMayHaveRun, err.Outcome)
	require.Equal(t, client.CodeOverloaded, err.Code)
	_, _, err = submit(t, respondProblem("task_failed", "failed"))
	require.Equal(t, client.OutcomeFailed, err.Outcome)
}
