package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/structs"
)

// fakeGateway is System, Executor and Authorizer in one.
type fakeGateway struct {
	System
	caller   Operator
	executed []Request
	inForce  func() bool
}

func (f *fakeGateway) Self() structs.GatewayID        { return "g1" }
func (f *fakeGateway) Config() *structs.Configuration { return configuration.Default() }

func (f *fakeGateway) InForce(_ context.Context, revision structs.Revision) configuration.InForceStatus {
	return configuration.InForceStatus{Revision: revision, InForce: f.inForce()}
}

func (f *fakeGateway) History(_ context.Context, before structs.Revision, limit int) (configuration.HistoryPage, error) {
	if before == 0 {
		return configuration.HistoryPage{}, &configuration.StoreError{}
	}
	return configuration.HistoryPage{Next: structs.Revision(limit)}, nil
}

func (f *fakeGateway) Operator(r *http.Request) (Operator, *structs.Problem) {
	if r.Header.Get("Authorization") == "" {
		return Operator{}, &structs.Problem{Code: structs.CodeUnauthorized, Status: http.StatusUnauthorized}
	}
	return f.caller, nil
}

func (f *fakeGateway) Execute(_ context.Context, _ Operator, request Request) (*Result, *structs.Problem) {
	f.executed = append(f.executed, request)
	if request.Command == "history" {
		return nil, &structs.Problem{Code: structs.CodeStoreUnavailable, Status: 503, Outcome: structs.OutcomeNotRun, Detail: "store down"}
	}
	if request.Command == "gateway g2 gone" {
		return nil, &structs.Problem{Code: structs.CodeConflict, Outcome: structs.OutcomeNotRun}
	}
	return &Result{Columns: []string{"zone"}, Rows: [][]string{{"<b>"}}}, nil
}

func (f *fakeGateway) Complete(_ context.Context, line string) []string { return []string{line + "s"} }

func (f *fakeGateway) serve(method, path, contentType, body string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	NewHandler(Options{System: f, Executor: f, Authenticator: f, Logger: log.NewNopLogger()}).Register(mux)
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", contentType)
	if f.caller.Name != "" {
		r.Header.Set("Authorization", "Bearer x")
	}
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	return w
}

var routes = []string{"/", "/v1/admin/config", "/v1/admin/audit", "/v1/admin/complete", "/v1/admin/in-force"}

// TestRoutesNeedAKey guards against routes that answer without a key or to a key without a role.
func TestRoutesNeedAKey(t *testing.T) {
	for status, f := range map[int]*fakeGateway{http.StatusUnauthorized: {}, http.StatusForbidden: {caller: Operator{Name: "x"}}} {
		for _, route := range routes {
			require.Equal(t, status, f.serve(http.MethodGet, route, "", "").Code, route)
		}
		require.Equal(t, status, f.serve(http.MethodPost, "/v1/admin/commands", jsonType, `{"command":"zones"}`).Code)
		require.Empty(t, f.executed)
	}
}

// TestCommands guards against commands of a foreign web page, oversized bodies, problems without code or outcome, and
// a panic on a problem without an HTTP status.
func TestCommands(t *testing.T) {
	f := &fakeGateway{caller: Operator{Name: "anna", Role: RoleView}}
	post := func(contentType, body string) *httptest.ResponseRecorder {
		return f.serve(http.MethodPost, "/v1/admin/commands", contentType, body)
	}
	require.Equal(t, http.StatusBadRequest, post("text/plain", `{"command":"zones"}`).Code)
	require.Equal(t, http.StatusBadRequest, post(jsonType, `zones`).Code)
	require.Equal(t, http.StatusRequestEntityTooLarge, post(jsonType, `{"command":"`+strings.Repeat("x", MaxRequestBytes)).Code)
	require.Empty(t, f.executed)
	require.Equal(t, http.StatusOK, post(jsonType+"; charset=utf-8", `{"command":"zones","dry_run":true}`).Code)
	require.Equal(t, []Request{{Command: "zones", DryRun: true}}, f.executed)
	require.Equal(t, http.StatusConflict, post(jsonType, `{"command":"gateway g2 gone"}`).Code)
	refused := post(jsonType, `{"command":"history"}`)
	require.Equal(t, "application/problem+json", refused.Header().Get("Content-Type"))
	body := ProblemBody{}
	require.NoError(t, json.Unmarshal(refused.Body.Bytes(), &body))
	require.Equal(t, ProblemBody{"Service Unavailable", 503, "store down", structs.CodeStoreUnavailable, "not_run"}, body)
}

// TestReadRoutes guards against wrong parameters and against a page that trusts names.
func TestReadRoutes(t *testing.T) {
	f := &fakeGateway{caller: Operator{Name: "anna", Role: RoleView}, inForce: func() bool { return true }}
	for path, want := range map[string]string{
		"/v1/admin/config":                       `"revision":0`,
		"/v1/admin/config?format=text":           "limits max_tasks",
		"/v1/admin/audit?before=9&limit=7":       `"next":7`,
		"/v1/admin/audit?before=9&limit=9999999": `"next":200`,
		"/v1/admin/audit":                        "store_unavailable",
		"/v1/admin/audit?before=x":               "bad_request",
		"/v1/admin/complete?line=zone":           `"zones"`,
		"/v1/admin/in-force?revision=3":          `"in_force":true`,
	} {
		require.Contains(t, f.serve(http.MethodGet, path, "", "").Body.String(), want, path)
	}
	page, err := io.ReadAll(f.serve(http.MethodGet, "/", "", "").Result().Body)
	require.NoError(t, err)
	require.Contains(t, string(page), "&lt;b&gt;")
	require.NotContains(t, string(page), "<b>")
	require.Contains(t, string(page), "store down")
	require.Contains(t, string(page), "Backend servers")
}

// TestStatusColumns guards against numbers that cannot be compared by eye and against columns without content.
func TestStatusColumns(t *testing.T) {
	section := newSection("x", &Result{
		Columns: []string{"zone", "region", "slots", "wait", "age", "command"},
		Rows:    [][]string{{"1st", "", "8", "0s", "1.5", "1 zone"}, {"b", "", "16", "1m20s", "", "2"}},
	}, nil)
	require.Equal(t, []statusColumn{
		{"zone", false}, {"slots", true}, {"wait", true}, {"age", true}, {"command", false},
	}, section.Columns)
	require.Equal(t, []statusCell{{"b", false}, {"16", true}, {"1m20s", true}, {"", true}, {"2", false}}, section.Rows[1])
}

// TestInForceWaits guards against an answer before the revision is in force while time is left, and against a wait
// without an end.
func TestInForceWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		f := &fakeGateway{caller: Operator{Name: "anna", Role: RoleView}}
		f.inForce = func() bool { return time.Since(began) >= time.Second }
		answer := f.serve(http.MethodGet, "/v1/admin/in-force?revision=3&wait_ms=5000", "", "").Body.String()
		require.Contains(t, answer, `"in_force":true`)
		require.Less(t, time.Since(began), 2*time.Second)
		f.inForce = func() bool { return false }
		began = time.Now()
		answer = f.serve(http.MethodGet, "/v1/admin/in-force?revision=3&wait_ms=99999999", "", "").Body.String()
		require.Contains(t, answer, `"in_force":false`)
		require.Equal(t, MaxInForceWait, time.Since(began))
	})
}
