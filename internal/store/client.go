package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// DefaultCallTimeout bounds one call of the client. A renewal that takes longer is of no use to its lease.
const DefaultCallTimeout = 2 * time.Second

// maxIdleConnections lets the watches and writes of a gateway reuse their connections.
const maxIdleConnections = 64

// maxAnswerBytes bounds the memory of one answer; a page of the largest journal values fits.
const maxAnswerBytes = 256 << 20

// PutRequest is the body of PUT /v1/kv/{key}.
type PutRequest struct {
	Value []byte `json:"value"`
	// Expect is the version that the key must have, absent for any.
	Expect *uint64 `json:"expect,omitempty"`
	Lease  LeaseID `json:"lease,omitempty"`
}

// PutAnswer is the answer to PUT /v1/kv/{key}.
type PutAnswer struct {
	Version uint64 `json:"version"`
}

// ListAnswer is the answer to GET /v1/kv.
type ListAnswer struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// LeaseRequest is the body of POST /v1/leases.
type LeaseRequest struct {
	TTLMilliseconds int64 `json:"ttl_ms"`
}

// LeaseAnswer is the answer to POST /v1/leases.
type LeaseAnswer struct {
	Lease LeaseID `json:"lease"`
}

// WatchAnswer is the answer to GET /v1/watch.
type WatchAnswer struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"revision"`
}

// ErrorAnswer is the body of every answer outside 2xx.
type ErrorAnswer struct {
	// Kind is the word of Kind.Word.
	Kind   string `json:"kind"`
	Detail string `json:"detail,omitempty"`
}

var kindWords = map[Kind]string{
	KindUnavailable: "unavailable", KindNotFound: "not_found", KindConflict: "conflict",
	KindCompacted: "compacted", KindTooLarge: "too_large", KindInvalid: "invalid",
}

// Word returns the word of the kind on the wire.
func (k Kind) Word() string { return kindWords[k] }

func parseKind(word string) (Kind, bool) {
	for kind, known := range kindWords {
		if known == word {
			return kind, true
		}
	}
	return 0, false
}

// IsKind reports whether err is an *Error of the kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// IsUnknown reports whether err leaves open if a write took effect.
func IsUnknown(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Unknown
}

// Client is a Store reached over HTTP. It is safe for concurrent use. It never repeats a write by itself: after a
// lost answer the caller decides by reading back.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the store at base, for example http://127.0.0.1:7000. A timeout of 0 means
// DefaultCallTimeout. transport may be nil.
func NewClient(base string, timeout time.Duration, transport http.RoundTripper) *Client {
	if timeout <= 0 {
		timeout = DefaultCallTimeout
	}
	if transport == nil {
		transport = &http.Transport{MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections}
	}
	return &Client{base: strings.TrimSuffix(base, "/"), timeout: timeout, http: &http.Client{Transport: transport}}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call describes one request. Writes may have taken effect when their answer is lost.
type call struct {
	op      string
	key     string
	method  string
	path    string
	query   url.Values
	body    any
	write   bool
	timeout time.Duration
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var entry Entry
	path, err := keyPath("get", key)
	if err != nil {
		return entry, err
	}
	err = c.do(ctx, call{op: "get", key: key, method: http.MethodGet, path: path}, &entry)
	return entry, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Entry, uint64, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var answer ListAnswer
	err := c.do(ctx, call{op: "list", key: prefix, method: http.MethodGet, path: "/v1/kv", query: query}, &answer)
	return answer.Entries, answer.Revision, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64, lease LeaseID) (uint64, error) {
	path, err := keyPath("put", key)
	if err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, &Error{Op: "put", Key: key, Kind: KindTooLarge}
	}
	body := PutRequest{Value: value, Lease: lease}
	if expect != AnyVersion {
		body.Expect = &expect
	}
	var answer PutAnswer
	err = c.do(ctx, call{op: "put", key: key, method: http.MethodPut, path: path, body: body, write: true}, &answer)
	return answer.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	path, err := keyPath("delete", key)
	if err != nil {
		return err
	}
	query := url.Values{}
	if expect != AnyVersion {
		query.Set("expect", strconv.FormatUint(expect, 10))
	}
	request := call{op: "delete", key: key, method: http.MethodDelete, path: path, query: query, write: true}
	return c.do(ctx, request, nil)
}

// GrantLease implements Store. A lease whose answer is lost ends by itself.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	body := LeaseRequest{TTLMilliseconds: ttl.Milliseconds()}
	var answer LeaseAnswer
	request := call{op: "grant lease", method: http.MethodPost, path: "/v1/leases", body: body, write: true}
	err := c.do(ctx, request, &answer)
	return answer.Lease, err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	id := strconv.FormatUint(uint64(lease), 10)
	request := call{op: "keep alive", key: id, method: http.MethodPut, path: "/v1/leases/" + id, write: true}
	return c.do(ctx, request, nil)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	id := strconv.FormatUint(uint64(lease), 10)
	request := call{op: "revoke", key: id, method: http.MethodDelete, path: "/v1/leases/" + id, write: true}
	return c.do(ctx, request, nil)
}

// Watch implements Store. The call may take wait longer than the timeout of the client.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	query := url.Values{"prefix": {prefix}}
	query.Set("revision", strconv.FormatUint(after, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	request := call{op: "watch", key: prefix, method: http.MethodGet, path: "/v1/watch", query: query}
	request.timeout = c.timeout + wait
	var answer WatchAnswer
	err := c.do(ctx, request, &answer)
	return answer.Events, answer.Revision, err
}

// keyPath returns the path of a key. HTTP cleans paths, so segments that it would change are refused.
func keyPath(op, key string) (string, error) {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		if segment == "" || segment == "." || segment == ".." {
			return "", &Error{Op: op, Key: key, Kind: KindInvalid, Err: errors.New("empty or relative segment")}
		}
		segments[i] = url.PathEscape(segment)
	}
	return "/v1/kv/" + strings.Join(segments, "/"), nil
}

func (c *Client) do(ctx context.Context, request call, answer any) error {
	timeout := c.timeout
	if request.timeout > 0 {
		timeout = request.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := c.newRequest(ctx, request)
	if err != nil {
		return &Error{Op: request.op, Key: request.key, Kind: KindInvalid, Err: err}
	}
	response, err := c.http.Do(r)
	if err != nil {
		return request.failed(err, !isDialError(err))
	}
	defer response.Body.Close() //nolint:errcheck // the body has been read or is of no use
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return request.failed(err, true)
	}
	if response.StatusCode/100 != 2 {
		return request.refused(response.StatusCode, raw)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return request.failed(err, true)
	}
	return nil
}

func (c *Client) newRequest(ctx context.Context, request call) (*http.Request, error) {
	var body io.Reader
	if request.body != nil {
		raw, err := json.Marshal(request.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(raw)
	}
	target := c.base + request.path
	if len(request.query) > 0 {
		target += "?" + request.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, request.method, target, body)
	if err != nil {
		return nil, err
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

// failed translates an error of the transport. sent is false if the request certainly never left this process.
func (r *call) failed(err error, sent bool) error {
	return &Error{Op: r.op, Key: r.key, Kind: KindUnavailable, Unknown: r.write && sent, Err: err}
}

// refused translates an answer outside 2xx. Only an answer with a kind comes from the store itself and thus proves
// that the write had no effect; a proxy may answer after the store has written.
func (r *call) refused(status int, raw []byte) error {
	var answer ErrorAnswer
	detail := errors.New("status " + strconv.Itoa(status))
	if err := json.Unmarshal(raw, &answer); err != nil {
		return r.failed(detail, true)
	}
	kind, ok := parseKind(answer.Kind)
	if !ok {
		return r.failed(detail, true)
	}
	if answer.Detail != "" {
		detail = errors.New(answer.Detail)
	}
	return &Error{Op: r.op, Key: r.key, Kind: kind, Err: detail}
}

// isDialError reports whether no connection came about, so that the store cannot have seen the request.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
