package gateway_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive a gateway's Run.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestMalformedRequests guards against unclear or missing refusals: each must state in its detail what is wrong, and
// that nothing has run.
func TestMalformedRequests(t *testing.T) {
	s := newTestCluster(t)
	g := s.gateway("g1")
	g.awaitConfig(t)
	task := `{"service":"lending","tasks":[{"payload":1}]`
	cases := []struct {
		name, method, path, body, header string
		status                           int
		code, detail                     string
	}{
		{"empty", "POST", "/v1/jobs", ``, "", 400, "bad_request", "ends too early"},
		{"no object", "POST", "/v1/jobs", `[]`, "", 400, "bad_request", "must be a JSON object"},
		{"syntax", "POST", "/v1/jobs", `{"service":lending}`, "", 400, "bad_request", "malformed JSON at byte"},
		{"cut off", "POST", "/v1/jobs", task, "", 400, "bad_request", "ends too early"},
		{"text after", "POST", "/v1/jobs", task + `} {}`, "", 400, "bad_request", "after the end"},
		{"unknown field", "POST", "/v1/jobs", task + `,"prio":1}`, "", 400, "bad_request", `"prio" is unknown`},
		{"unknown task field", "POST", "/v1/jobs", `{"service":"lending","tasks":[{"payload":1,"x":1}]}`, "", 400,
			"bad_request", "unknown field"},
		{"twice", "POST", "/v1/jobs", task + `,"service":"a"}`, "", 400, "bad_request", "service appears twice"},
		{"type", "POST", "/v1/jobs", task + `,"kind":1}`, "", 400, "bad_request", "kind must be a string"},
		{"no payload", "POST", "/v1/jobs", `{"service":"lending","tasks":[{}]}`, "", 400, "bad_request", "tasks[0] has no"},
		{"no tasks", "POST", "/v1/jobs", `{"service":"lending","tasks":[]}`, "", 400, "bad_request", "not be empty"},
		{"null tasks", "POST", "/v1/jobs", `{"service":"lending","tasks":null}`, "", 400, "bad_request", "tasks must be"},
		{"too many", "POST", "/v1/jobs", `{"service":"lending","tasks":[` + strings.Repeat(`{"payload":1},`, 10_000) +
			`{"payload":1}]}`, "", 413, "too_large", "more than 10000 tasks"},
		{"deadline", "POST", "/v1/jobs", task + `,"deadline_ms":-1}`, "", 400, "bad_request", "deadline_ms must be"},
		{"long deadline", "POST", "/v1/jobs", task + `,"deadline_ms":300001}`, "", 400, "bad_request", "longer than"},
		{"priority", "POST", "/v1/jobs", task + `,"priority":"asap"}`, "", 400, "bad_request", "urgent or routine"},
		{"service", "POST", "/v1/jobs", `{"service":"x","tasks":[{"payload":1}]}`, "", 404, "unknown_service", `"x"`},
		{"no key", "POST", "/v1/jobs", task + `,"repeatable":false}`, "", 400, "key_required", "Idempotency-Key"},
		{"long key", "POST", "/v1/jobs", task + `}`, strings.Repeat("k", 129), 400, "bad_request", "128 bytes"},
		{"foreign ticket", "POST", "/v1/jobs", task + `}`, "rt1.other.0.1.u", 400, "bad_request", "another service"},
		{"wait", "POST", "/v1/jobs?wait=soon", task + `}`, "", 400, "bad_request", "no duration"},
		{"id", "GET", "/v1/jobs/17", ``, "", 400, "bad_request", "want service.pool.key"},
		{"count", "POST", "/v1/tickets?service=lending&count=0", ``, "", 400, "bad_request", "1 to 1000"},
		{"path", "GET", "/v1/job", ``, "", 404, "not_found", "/v1/job"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, err := http.NewRequestWithContext(t.Context(), c.method, g.url+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			r.Header.Set("Rosedrift-Team", "counter")
			if c.header != "" {
				r.Header.Set("Idempotency-Key", c.header)
			}
			reply, err := s.http.Do(r)
			require.NoError(t, err)
			defer func() { _ = reply.Body.Close() }()
			raw, err := io.ReadAll(reply.Body)
			require.NoError(t, err)
			var problem struct{ Code, Outcome, Detail string }
			require.NoError(t, json.Unmarshal(raw, &problem), string(raw))
			require.Equal(t, c.status, reply.StatusCode, string(raw))
			require.Equal(t, "application/problem+json", reply.Header.Get("Content-Type"))
			require.Equal(t, c.code, problem.Code)
			require.Equal(t, "not_run", problem.Outcome)
			require.Contains(t, problem.Detail, c.detail)
		})
	}
}
