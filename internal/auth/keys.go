// Package auth decides who a caller or operator is (keys from a file) and secures links between rosedrift processes
// (mutual TLS). Files are read again when they change, so that keys and certificates rotate without a restart.
package auth

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/structs"
)

// ReloadInterval is how often files are compared with what is loaded. They are small, and comparing the content
// also notices a change within the resolution of file times.
const ReloadInterval = time.Second

// MaxKeysPerName allows a new key beside the old one during a rotation.
const MaxKeysPerName = 2

// TeamHeader names the team of a caller on a gateway without keys.
const TeamHeader = "Rosedrift-Team"

// localOperator is the name of operators on a gateway without keys.
const localOperator = "local"

// KeyFile is the content of the key file. It holds SHA-256 sums of keys in hexadecimal, never keys; sums without salt
// are safe because NewKey makes keys that cannot be guessed.
type KeyFile struct {
	// Teams maps a team to the sums of its keys.
	Teams map[string][]string `json:"teams"`
	// Operators maps an operator's name to role and sums.
	Operators map[string]OperatorKeys `json:"operators"`
}

// OperatorKeys is one operator in the key file.
type OperatorKeys struct {
	Role string   `json:"role"`
	Keys []string `json:"keys"`
}

// FileError reports a key or certificate file that cannot be used. It never contains file content.
type FileError struct {
	Path string
	Text string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string {
	text := "auth: " + e.Path + ": " + e.Text
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// identity is whom a key belongs to: a team or an operator.
type identity struct {
	sum    [sha256.Size]byte
	team   string
	caller admin.Operator
}

type keySet struct {
	raw        []byte
	identities []identity
}

// Keys authenticates requests. It is safe for concurrent use.
type Keys struct {
	path string
	log  log.Logger
	set  atomic.Pointer[keySet]
}

var _ admin.Authenticator = (*Keys)(nil)

// OpenKeys loads the key file. An empty path admits every request from the loopback interface, as an administrator or as
// the team that it names; this is said in one log line. The error is a *FileError.
func OpenKeys(path string, logger log.Logger) (*Keys, error) {
	k := &Keys{path: path, log: logger}
	if path == "" {
		_ = level.Warn(logger).Log("msg", "no key file: every process on this VM may submit and administer")
		return k, nil
	}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Run reloads the file after changes until the context ends. A faulty file is logged once and the keys in force stay.
func (k *Keys) Run(ctx context.Context) {
	if k.path != "" {
		reloadLoop(ctx, k.log, "key file", k.Reload)
	}
}

// reloadLoop logs every change and each new fault once.
func reloadLoop(ctx context.Context, logger log.Logger, what string, reload func() (bool, error)) {
	ticker := time.NewTicker(ReloadInterval)
	defer ticker.Stop()
	lastFault := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := reload()
		fault := ""
		if err != nil {
			fault = err.Error()
		}
		if fault != "" && fault != lastFault {
			_ = level.Error(logger).Log("msg", "the changed "+what+" is not used", "err", fault)
		}
		if changed {
			_ = level.Info(logger).Log("msg", "the changed "+what+" is in force")
		}
		lastFault = fault
	}
}

// Reload reads the file and puts it in force if it has changed. The error is a *FileError.
func (k *Keys) Reload() (changed bool, err error) {
	raw, err := os.ReadFile(k.path)
	if err != nil {
		return false, &FileError{Path: k.path, Text: "cannot be read", Err: err}
	}
	if old := k.set.Load(); old != nil && bytes.Equal(old.raw, raw) {
		return false, nil
	}
	identities, fault := parseKeys(raw)
	if fault != "" {
		return false, &FileError{Path: k.path, Text: fault}
	}
	k.set.Store(&keySet{raw: raw, identities: identities})
	return true, nil
}

// parseKeys returns the identities or a fault. The fault names entries but not their sums.
func parseKeys(raw []byte) (identities []identity, fault string) {
	file := KeyFile{}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		// The decoder's text can quote the content.
		return nil, "is not JSON with the members teams and operators"
	}
	for name, sums := range file.Teams {
		identities, fault = appendSums(identities, "team", name, sums, identity{team: name})
		if fault != "" {
			return nil, fault
		}
	}
	for name, operator := range file.Operators {
		role, ok := admin.ParseRole(operator.Role)
		if !ok {
			return nil, "operator " + name + " has no role out of view, operate, administrator"
		}
		who := identity{caller: admin.Operator{Name: name, Role: role}}
		identities, fault = appendSums(identities, "operator", name, operator.Keys, who)
		if fault != "" {
			return nil, fault
		}
	}
	return identities, duplicates(identities)
}

func appendSums(list []identity, kind, name string, sums []string, who identity) ([]identity, string) {
	if !structs.ValidName(name) {
		return nil, fmt.Sprintf("%s %q has no valid name", kind, name)
	}
	if len(sums) < 1 || len(sums) > MaxKeysPerName {
		return nil, fmt.Sprintf("%s %s has %d keys: want 1, or %d during a rotation", kind, name, len(sums), MaxKeysPerName)
	}
	for _, text := range sums {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			return nil, fmt.Sprintf("%s %s has a key that is no SHA-256 sum in hexadecimal", kind, name)
		}
		who.sum = [sha256.Size]byte(raw)
		list = append(list, who)
	}
	return list, ""
}

// duplicates refuses a key with two owners, whose requests would be counted for either.
func duplicates(list []identity) string {
	seen := map[[sha256.Size]byte]bool{}
	for _, who := range list {
		if seen[who.sum] {
			return "one key is listed twice"
		}
		seen[who.sum] = true
	}
	return ""
}

// lookup compares the key with all entries in constant time.
func (s *keySet) lookup(key string) (identity, bool) {
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i := range s.identities {
		equal := subtle.ConstantTimeCompare(sum[:], s.identities[i].sum[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 || key == "" {
		return identity{}, false
	}
	return s.identities[found], true
}

// Team returns the team of a caller's request.
func (k *Keys) Team(r *http.Request) (string, *structs.Problem) {
	if k.path == "" {
		return localTeam(r)
	}
	who, ok := k.set.Load().lookup(requestKey(r))
	if !ok || who.team == "" {
		return "", unauthorized("the request has no valid team key (Authorization: Bearer KEY)")
	}
	return who.team, nil
}

// Operator implements admin.Authorizer.
func (k *Keys) Operator(r *http.Request) (admin.Operator, *structs.Problem) {
	if k.path == "" {
		caller := admin.Operator{Name: localOperator, Role: admin.RoleAdministrator}
		return caller, checkLocal(r)
	}
	who, ok := k.set.Load().lookup(requestKey(r))
	if !ok || who.caller.Role == admin.RoleNone {
		return admin.Operator{}, unauthorized("the request has no valid operator key (Authorization: Bearer KEY)")
	}
	return who.caller, nil
}

// requestKey returns the bearer token, or the password of basic authentication, which browsers offer for the status
// page.
func requestKey(r *http.Request) string {
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return token
	}
	_, password, _ := r.BasicAuth()
	return password
}

func localTeam(r *http.Request) (string, *structs.Problem) {
	if problem := checkLocal(r); problem != nil {
		return "", problem
	}
	team := r.Header.Get(TeamHeader)
	if !structs.ValidName(team) {
		return "", unauthorized("the request names no team (" + TeamHeader + ": NAME)")
	}
	return team, nil
}

// checkLocal admits requests of this VM only. The Host is checked too, because a web page can point a name of its own
// at the loopback address and let a browser on this VM send the request.
func checkLocal(r *http.Request) *structs.Problem {
	if isLoopback(r.RemoteAddr) && isLoopback(r.Host) {
		return nil
	}
	return unauthorized("a gateway without keys answers only its own VM")
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	ip := net.ParseIP(strings.Trim(host, "[]"))
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func unauthorized(detail string) *structs.Problem {
	return &structs.Problem{Code: structs.CodeUnauthorized, Status: http.StatusUnauthorized,
		Outcome: structs.OutcomeNotRun, Detail: detail}
}

// keyBytes makes a key that cannot be guessed.
const keyBytes = 32

// NewKey returns a random key and its sum for the key file.
func NewKey() (key, sum string) {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // Never fails: see crypto/rand.
	key = base64.RawURLEncoding.EncodeToString(raw)
	digest := sha256.Sum256([]byte(key))
	return key, hex.EncodeToString(digest[:])
}
