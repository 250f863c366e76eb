package auth

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/structs"
)

func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, content, 0o600))
}

func writeKeys(t *testing.T, path string, file KeyFile) {
	t.Helper()
	raw, err := json.Marshal(file)
	require.NoError(t, err)
	writeFile(t, path, raw)
}

func bearer(key string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("Authorization", "Bearer "+key)
	return r
}

// TestKeysAndRoles guards against keys that open the other interface, and against an unknown or missing key.
func TestKeysAndRoles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.json")
	deskOld, deskOldSum := NewKey()
	deskNew, deskNewSum := NewKey()
	anna, annaSum := NewKey()
	writeKeys(t, path, KeyFile{
		Teams:     map[string][]string{"desk": {deskOldSum, deskNewSum}},
		Operators: map[string]OperatorKeys{"anna": {Role: "operate", Keys: []string{annaSum}}},
	})
	keys, err := OpenKeys(path, log.NewNopLogger())
	require.NoError(t, err)
	for _, key := range []string{deskOld, deskNew} {
		team, problem := keys.Team(bearer(key))
		require.Nil(t, problem)
		require.Equal(t, "desk", team)
		_, problem = keys.Operator(bearer(key))
		require.Equal(t, structs.CodeUnauthorized, problem.Code)
	}
	caller, problem := keys.Operator(bearer(anna))
	require.Nil(t, problem)
	require.Equal(t, admin.Operator{Name: "anna", Role: admin.RoleOperate}, caller)
	browser := httptest.NewRequest(http.MethodGet, "/", nil)
	browser.SetBasicAuth("", anna)
	_, problem = keys.Operator(browser)
	require.Nil(t, problem)
	for _, key := range []string{anna, "", annaSum, anna + "x"} {
		_, problem = keys.Team(bearer(key))
		require.Equal(t, structs.CodeUnauthorized, problem.Code)
	}
	_, problem = keys.Team(httptest.NewRequest(http.MethodGet, "/", nil))
	require.NotNil(t, problem)
}

// TestFaultyKeyFiles guards against files that admit more or others than meant, and against sums in messages.
func TestFaultyKeyFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.json")
	_, sum := NewKey()
	sums := func(n int) string { return `"` + strings.Repeat(sum+`","`, n-1) + sum + `"` }
	for content, want := range map[string]string{
		"{":                                      "is not JSON",
		`{"team":{}}`:                            "is not JSON",
		`{"teams":{"desk":[]}}`:                  "team desk has 0 keys",
		`{"teams":{"desk":["` + sum[1:] + `"]}}`: "no SHA-256 sum",
		`{"teams":{"Desk":[` + sums(1) + `]}}`:   "no valid name",
		`{"teams":{"desk":[` + sums(2) + `]}}`:   "listed twice",
		`{"teams":{"desk":[` + sums(3) + `]}}`:   "has 3 keys",
		`{"operators":{"anna":{"role":"chief","keys":[` + sums(1) + `]}}}`: "has no role",
	} {
		writeFile(t, path, []byte(content))
		_, err := OpenKeys(path, log.NewNopLogger())
		var fault *FileError
		require.ErrorAs(t, err, &fault)
		require.ErrorContains(t, err, want)
		require.NotContains(t, err.Error(), sum[1:])
	}
	_, err := OpenKeys(path+".missing", log.NewNopLogger())
	require.ErrorContains(t, err, "cannot be read")
}

// TestReloadKeepsKeysAfterFault guards against a rotation that needs a restart, and against a half-written file that
// locks everybody out.
func TestReloadKeepsKeysAfterFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.json")
	first, firstSum := NewKey()
	second, secondSum := NewKey()
	synctest.Test(t, func(t *testing.T) {
		writeKeys(t, path, KeyFile{Teams: map[string][]string{"desk": {firstSum}}})
		lines := bytes.Buffer{}
		keys, err := OpenKeys(path, log.NewLogfmtLogger(&lines))
		require.NoError(t, err)
		go keys.Run(t.Context())
		writeFile(t, path, []byte("{"))
		time.Sleep(5*ReloadInterval + ReloadInterval/2)
		_, problem := keys.Team(bearer(first))
		require.Nil(t, problem)
		writeKeys(t, path, KeyFile{Teams: map[string][]string{"desk": {secondSum}}})
		time.Sleep(2 * ReloadInterval)
		synctest.Wait()
		_, problem = keys.Team(bearer(first))
		require.NotNil(t, problem)
		_, problem = keys.Team(bearer(second))
		require.Nil(t, problem)
		require.Equal(t, 1, strings.Count(lines.String(), "is not used"))
		require.Equal(t, 1, strings.Count(lines.String(), "is in force"))
		require.NotContains(t, lines.String(), secondSum)
	})
}

// TestWithoutKeysOnlyLoopback guards against an open gateway that answers other VMs or a web page in a browser.
func TestWithoutKeysOnlyLoopback(t *testing.T) {
	lines := bytes.Buffer{}
	keys, err := OpenKeys("", log.NewLogfmtLogger(&lines))
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(lines.String(), "\n"))
	request := func(remote, host string) *http.Request {
		r := httptest.NewRequest(http.MethodGet, "http://"+host+"/", nil)
		r.RemoteAddr = remote
		r.Header.Set(TeamHeader, "desk")
		return r
	}
	for _, host := range []string{"127.0.0.1:7400", "localhost:7400", "[::1]:7400"} {
		caller, problem := keys.Operator(request("127.0.0.1:5", host))
		require.Nil(t, problem, host)
		require.Equal(t, admin.RoleAdministrator, caller.Role)
		team, problem := keys.Team(request("[::1]:5", host))
		require.Nil(t, problem, host)
		require.Equal(t, "desk", team)
	}
	for _, r := range []*http.Request{request("10.0.0.9:5", "127.0.0.1:7400"), request("127.0.0.1:5", "slate.example:7400")} {
		_, problem := keys.Operator(r)
		require.NotNil(t, problem)
		_, problem = keys.Team(r)
		require.NotNil(t, problem)
	}
}
