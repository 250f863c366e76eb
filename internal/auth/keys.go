// Package auth authenticates callers and operators by keys from a file, and secures the links between rosedrift
// processes with mutual TLS. It reloads changed files, so that keys and certificates can be rotated without a restart.
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

// ReloadInterval is the interval at which files are read and compared with the loaded content. The files are small, and
// comparing content also detects changes that are too close together for the resolution of modification times.
const ReloadInterval = time.Second

// MaxKeysPerName is the largest number of keys of a team or operator: an old and a new one during a rotation.
const MaxKeysPerName = 2

// TeamHeader is the header in which a caller names its team on a gateway without a key file.
const TeamHeader = "Rosedrift-Team"

// localOperator is the name of every operator on a gateway without a key file.
const localOperator = "local"

// KeyFile is the content of the key file. It holds SHA-256 sums of keys in hexadecimal, never the keys. The sums need
// no salt, because NewKey returns random keys that cannot be guessed.
type KeyFile struct {
	// Teams maps a team to the sums of its keys.
	Teams map[string][]string `json:"teams"`
	// Operators maps an operator's name to the operator's role and sums.
	Operators map[string]OperatorKeys `json:"operators"`
}

// OperatorKeys is one operator in the key file.
type OperatorKeys struct {
	Role string `json:"role"`
	// Keys holds the sums of the operator's keys.
	Keys []string `json:"keys"`
}

// FileError reports a key or certificate file that cannot be used. Its text never contains the file's content.
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

// identity is the sum of a key and the holder of the key, which is either a team or an operator.
type identity struct {
	sum      [sha256.Size]byte
	team     string
	operator admin.Operator
}

// keySet is a loaded key file.
type keySet struct {
	raw        []byte
	identities []identity
}

// Keys authenticates requests by their keys. It is safe for concurrent use.
type Keys struct {
	path string
	log  log.Logger
	set  atomic.Pointer[keySet]
}

var _ admin.Authenticator = (*Keys)(nil)

// OpenKeys loads the key file. With an empty path, it logs a warning, and every request from the loopback interface is
// accepted, with the rights of an administrator or of the team that it names. The error is a *FileError.
func OpenKeys(path string, logger log.Logger) (*Keys, error) {
	k := &Keys{path: path, log: logger}
	if path == "" {
		_ = level.Warn(logger).Log("msg", "no key file: every process on this VM may submit jobs and administer the system")
		return k, nil
	}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Run reloads the file when it changes, until the context ends. A file that cannot be used is logged once, and the
// loaded keys stay in use.
func (k *Keys) Run(ctx context.Context) {
	if k.path != "" {
		reloadLoop(ctx, k.log, "key file", k.Reload)
	}
}

// reloadLoop calls reload at every interval. It logs every change, and a fault when it first occurs.
func reloadLoop(ctx context.Context, logger log.Logger, description string, reload func() (bool, error)) {
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
			_ = level.Error(logger).Log("msg", "the changed "+description+" is not used", "err", fault)
		}
		if changed {
			_ = level.Info(logger).Log("msg", "the changed "+description+" is in force")
		}
		lastFault = fault
	}
}

// Reload reads the file and uses its keys if it has changed. The error is a *FileError.
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

// parseKeys returns the identities or the first fault. The fault can name entries, but contains no sums.
func parseKeys(raw []byte) (identities []identity, fault string) {
	file := KeyFile{}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		// The decoder's error is left out, because it can quote the content.
		return nil, "is not JSON with the members teams and operators"
	}
	for name, sums := range file.Teams {
		identities, fault = appendIdentities(identities, "team", name, sums, identity{team: name})
		if fault != "" {
			return nil, fault
		}
	}
	for name, operator := range file.Operators {
		role, ok := admin.ParseRole(operator.Role)
		if !ok {
			return nil, "operator " + name + " has no role that is view, operate or administrator"
		}
		holder := identity{operator: admin.Operator{Name: name, Role: role}}
		identities, fault = appendIdentities(identities, "operator", name, operator.Keys, holder)
		if fault != "" {
			return nil, fault
		}
	}
	return identities, findDuplicate(identities)
}

// appendIdentities appends a copy of holder for each sum. It returns a fault, or an empty string.
func appendIdentities(list []identity, kind, name string, sums []string, holder identity) ([]identity, string) {
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
		holder.sum = [sha256.Size]byte(raw)
		list = append(list, holder)
	}
	return list, ""
}

// findDuplicate returns a fault if a key is listed twice, because its requests could then be attributed to the wrong
// team or operator.
func findDuplicate(list []identity) string {
	seen := map[[sha256.Size]byte]bool{}
	for _, holder := range list {
		if seen[holder.sum] {
			return "one key is listed twice"
		}
		seen[holder.sum] = true
	}
	return ""
}

// lookup finds the identity of a key. It compares the key with all entries in constant time, so that the time of an
// answer says nothing about them.
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

// Team returns the team of a caller's request, or a problem with CodeUnauthorized.
func (k *Keys) Team(r *http.Request) (string, *structs.Problem) {
	if k.path == "" {
		return localTeam(r)
	}
	holder, ok := k.set.Load().lookup(requestKey(r))
	if !ok || holder.team == "" {
		return "", unauthorized("the request has no valid team key (Authorization: Bearer KEY)")
	}
	return holder.team, nil
}

// Operator implements admin.Authenticator.
func (k *Keys) Operator(r *http.Request) (admin.Operator, *structs.Problem) {
	if k.path == "" {
		operator := admin.Operator{Name: localOperator, Role: admin.RoleAdministrator}
		return operator, checkLocal(r)
	}
	holder, ok := k.set.Load().lookup(requestKey(r))
	if !ok || holder.operator.Role == admin.RoleNone {
		return admin.Operator{}, unauthorized("the request has no valid operator key (Authorization: Bearer KEY)")
	}
	return holder.operator, nil
}

// requestKey returns the bearer token or the password of basic authentication. Browsers use the latter for the status
// page.
func requestKey(r *http.Request) string {
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return token
	}
	_, password, _ := r.BasicAuth()
	return password
}

// localTeam returns the team that a request names, on a gateway without a key file.
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

// checkLocal rejects requests from other VMs. It also checks the Host header to prevent DNS rebinding: a web page can
// let its own host name resolve to the loopback address, so that a browser on this VM sends the page's requests here.
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

// keyBytes is the length of a random key. 256 bits cannot be guessed.
const keyBytes = 32

// NewKey returns a random key and its sum for the key file.
func NewKey() (key, sum string) {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // Never fails: see crypto/rand.
	key = base64.RawURLEncoding.EncodeToString(raw)
	digest := sha256.Sum256([]byte(key))
	return key, hex.EncodeToString(digest[:])
}
