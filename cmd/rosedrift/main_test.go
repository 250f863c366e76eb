package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/structs"
)

// fakeGateway answers like the admin API and records the commands.
type fakeGateway struct {
	requests []admin.Request
	problem  *admin.ProblemBody
	// hangUp closes the connection instead of answering a command, except a dry run.
	hangUp  bool
	inForce bool
	key     string
}

func (f *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.key = r.Header.Get("Authorization")
	accepted := time.Unix(0, 0)
	switch r.URL.Path {
	case "/v1/admin/in-force":
		member := configuration.MemberStatus{Kind: configuration.MemberAgent, Name: "m3", Revision: 7, State: configuration.MemberWaiting}
		if f.inForce {
			member.State = configuration.MemberUnresponsive
		}
		status := configuration.InForceStatus{Revision: 8, InForce: f.inForce, Members: []configuration.MemberStatus{member}}
		_ = json.NewEncoder(w).Encode(admin.InForceResponse{InForceStatus: status, At: accepted.Add(400 * time.Millisecond)})
	case "/v1/admin/complete":
		_ = json.NewEncoder(w).Encode(admin.Completion{Candidates: []string{"catania"}})
	case "/v1/admin/commands":
		f.command(w, r, accepted)
	}
}

func (f *fakeGateway) command(w http.ResponseWriter, r *http.Request, accepted time.Time) {
	request := admin.Request{}
	_ = json.NewDecoder(r.Body).Decode(&request)
	f.requests = append(f.requests, request)
	switch {
	case f.problem != nil:
		w.WriteHeader(http.StatusTeapot)
		_ = json.NewEncoder(w).Encode(f.problem)
	case f.hangUp && !request.DryRun:
		panic(http.ErrAbortHandler)
	case request.DryRun:
		_ = json.NewEncoder(w).Encode(admin.Result{DryRun: true, Text: []string{"It would go out."}})
	case request.Command == "zones":
		_ = json.NewEncoder(w).Encode(admin.Result{Columns: []string{"zone", "state"}, Rows: [][]string{{"catania", "in\x1b"}}})
	default:
		_ = json.NewEncoder(w).Encode(admin.Result{Text: []string{"Done."}, Revision: 8, AcceptedAt: accepted})
	}
}

// rosedrift runs a command line against the fake gateway.
func rosedrift(t *testing.T, f *fakeGateway, input string, args ...string) (code int, out, errs string) {
	t.Helper()
	server := httptest.NewServer(f)
	defer server.Close()
	server.Config.ErrorLog = nil
	stdout, stderr := bytes.Buffer{}, bytes.Buffer{}
	args = append([]string{"--gateway", server.URL, "--key", "k", "--timeout", "0s"}, args...)
	code = run(t.Context(), args, terminal{strings.NewReader(input), &stdout, &stderr})
	return code, stdout.String(), stderr.String()
}

// TestZoneOutAsksForConfirmation guards against taking a zone out by a mistyped command, and against a question that does
// not say what would happen.
func TestZoneOutAsksForConfirmation(t *testing.T) {
	for _, input := range []string{"", "n\n", "nyes\n"} {
		f := &fakeGateway{}
		code, _, errs := rosedrift(t, f, input, "zone", "catania", "out")
		require.Equal(t, exitRefused, code)
		require.Contains(t, errs, "It would go out.\nzone catania out: go on? [y/N]")
		require.Equal(t, []admin.Request{{Command: "zone catania out", DryRun: true}}, f.requests)
	}
	f := &fakeGateway{inForce: true}
	code, out, _ := rosedrift(t, f, "y\n", "zone", "catania", "out")
	require.Equal(t, exitDone, code)
	require.Equal(t, "Bearer k", f.key)
	require.Contains(t, out, "Done.\nIn force everywhere since 00:00:00 UTC, 400ms after it was accepted.")
	require.Contains(t, out, "Silent, so that they start nothing until they have it: agent m3")
	f = &fakeGateway{inForce: true}
	code, _, _ = rosedrift(t, f, "", "--yes", "zone", "catania", "out")
	require.Equal(t, exitDone, code)
	require.Len(t, f.requests, 1)
}

// TestExitCodes guards against an exit code by which scripts take a refusal, a lost answer or a change that is not in
// force for a success.
func TestExitCodes(t *testing.T) {
	problem := func(code structs.Code, outcome structs.Outcome) *fakeGateway {
		return &fakeGateway{problem: &admin.ProblemBody{Detail: "no", Code: code, Outcome: outcome.String()}}
	}
	cases := []struct {
		gateway *fakeGateway
		line    string
		code    int
		text    string
	}{
		{&fakeGateway{}, "zone a in", exitNotInForce, "No acknowledgement from agent m3 (has revision 7"},
		{&fakeGateway{hangUp: true}, "zone a in", exitUnknown, "the change may have happened"},
		{&fakeGateway{hangUp: true}, "zones", exitUnreachable, "stopped answering"},
		{&fakeGateway{}, "--dry-run zone a out", exitDone, "It would go out."},
		{&fakeGateway{}, "zone a owt", exitUsage, `did you mean "out"`},
		{&fakeGateway{}, "--wacht zones", exitUsage, "--wacht"},
		{&fakeGateway{}, "--watch zone a in", exitUsage, "repeats listings only"},
		{&fakeGateway{}, "", exitUsage, "Usage"},
		{&fakeGateway{}, "--help", exitDone, "Exit codes"},
		{&fakeGateway{}, "zones", exitDone, "ZONE     STATE\ncatania  in?"},
		{problem(structs.CodeConflict, structs.OutcomeNotRun), "zone a in", exitRefused, "no"},
		{problem(structs.CodeNotFound, structs.OutcomeMayHaveRun), "why job l.0.f", exitRefused, "no"},
		{problem(structs.CodeBadRequest, structs.OutcomeNotRun), "zone a in", exitUsage, "no"},
		{problem(structs.CodeStoreUnavailable, structs.OutcomeMayHaveRun), "zone a in", exitUnknown, "no"},
		{problem("", structs.OutcomeNotRun), "zone a in", exitUnknown, "not from a gateway"},
		{&fakeGateway{}, "--gateway http://127.0.0.1:1 zone a in", exitUnreachable, "nothing is changed"},
	}
	for _, c := range cases {
		code, out, errs := rosedrift(t, c.gateway, "", strings.Fields(c.line)...)
		require.Equal(t, c.code, code, c.line)
		require.Contains(t, out+errs, c.text, c.line)
	}
}

// TestImport guards against an import from standard input that reads its own text as the answer to the question.
func TestImport(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.txt")
	require.NoError(t, os.WriteFile(path, []byte("revision 7\n"), 0o600))
	f := &fakeGateway{inForce: true}
	code, _, _ := rosedrift(t, f, "y\n", "import", path)
	require.Equal(t, exitDone, code)
	require.Equal(t, admin.Request{Command: "import", Document: "revision 7\n"}, f.requests[1])
	f = &fakeGateway{}
	code, _, errs := rosedrift(t, f, "y\n", "import")
	require.Equal(t, exitUsage, code)
	require.Contains(t, errs, "needs --yes")
	require.Empty(t, f.requests)
	code, _, _ = rosedrift(t, f, "revision 9\n", "--dry-run", "import")
	require.Equal(t, exitDone, code)
	require.Equal(t, "revision 9\n", f.requests[0].Document)
}

// TestJSON guards against output of --json that is not JSON, also for refused commands.
func TestJSON(t *testing.T) {
	_, out, _ := rosedrift(t, &fakeGateway{inForce: true}, "", "--json", "zone", "a", "in")
	result := admin.Result{}
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.True(t, result.InForce.InForce)
	_, out, _ = rosedrift(t, &fakeGateway{}, "", "--json", "zoen")
	body := admin.ProblemBody{}
	require.NoError(t, json.Unmarshal([]byte(out), &body))
	require.Equal(t, structs.CodeBadRequest, body.Code)
}

// TestCommandsWithoutGateway guards against a completion that hangs or stays empty without a gateway.
func TestCommandsWithoutGateway(t *testing.T) {
	_, out, _ := rosedrift(t, &fakeGateway{}, "", "complete", "zone ca")
	require.Equal(t, "catania\n", out)
	_, out, _ = rosedrift(t, &fakeGateway{}, "", "--gateway", "http://127.0.0.1:1", "complete", "zone a o")
	require.Equal(t, "out\n", out)
	code, out, _ := rosedrift(t, &fakeGateway{}, "", "completion", "bash")
	require.Equal(t, exitDone, code)
	require.Contains(t, out, "complete -F _rosedrift rosedrift")
	code, _, _ = rosedrift(t, &fakeGateway{}, "", "completion", "fish")
	require.Equal(t, exitUsage, code)
	code, out, _ = rosedrift(t, &fakeGateway{}, "", "key", "create")
	require.Equal(t, exitDone, code)
	require.Contains(t, out, "sum for the key file")
}

// TestWhyLogs guards against an explanation from log lines that needs a gateway, and against exit code 0 for an unknown
// job.
func TestWhyLogs(t *testing.T) {
	const line = `g1 level=info ts=2026-05-09T13:19:59Z msg="job ended" job=ee outcome=completed age=100ms objective=147ms`
	var out, errs bytes.Buffer
	code := run(t.Context(), []string{"why", "job", "ee", "logs"}, terminal{strings.NewReader(line), &out, &errs})
	require.Equal(t, exitDone, code, errs.String())
	require.Contains(t, out.String(), "Completed in time.")
	code = run(t.Context(), []string{"why", "job", "ff", "logs"}, terminal{strings.NewReader(line), &out, &errs})
	require.Equal(t, exitRefused, code)
	require.Contains(t, errs.String(), "no line names the job")
}
