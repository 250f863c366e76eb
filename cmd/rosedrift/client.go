package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/structs"
)

// requestMargin is added to the longest wait of the gateway for a request.
const requestMargin = 5 * time.Second

// client calls the admin API. Its errors are *callError.
type client struct {
	base string
	key  string
	http *http.Client
}

func newClient(opts options) *client {
	base := strings.TrimSuffix(opts.Gateway, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &client{base: base, key: opts.Key, http: &http.Client{Timeout: admin.MaxInForceWait + requestMargin}}
}

// callError is a refusal by the gateway, or a call without an answer.
type callError struct {
	code int
	text string
	// body is the gateway's problem, empty if there was no answer.
	body admin.ProblemBody
}

// Error implements error.
func (e *callError) Error() string { return e.text }

func (c *client) execute(ctx context.Context, request admin.Request) (*admin.Result, error) {
	raw, err := json.Marshal(request)
	if err != nil {
		return nil, &callError{code: exitUsage, text: err.Error()}
	}
	result := &admin.Result{}
	return result, c.call(ctx, http.MethodPost, "/v1/admin/commands", raw, result)
}

// inForce waits at the gateway, but not longer than one of its waits.
func (c *client) inForce(ctx context.Context, revision structs.Revision, wait time.Duration) (*admin.InForceResponse, error) {
	answer := &admin.InForceResponse{}
	path := fmt.Sprintf("/v1/admin/in-force?revision=%d&wait_ms=%d", revision, max(0, wait.Milliseconds()))
	return answer, c.call(ctx, http.MethodGet, path, nil, answer)
}

func (c *client) complete(ctx context.Context, line string) ([]string, error) {
	answer := admin.Completion{}
	err := c.call(ctx, http.MethodGet, "/v1/admin/complete?line="+url.QueryEscape(line), nil, &answer)
	return answer.Candidates, err
}

func (c *client) call(ctx context.Context, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &callError{code: exitUsage, text: "--gateway: " + err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.noAnswer(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refused(response)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return c.noAnswer(err)
	}
	return nil
}

// noAnswer tells a gateway that was never reached from one whose answer was lost.
func (c *client) noAnswer(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return &callError{code: exitUnreachable, text: fmt.Sprintf("the gateway %s cannot be reached; nothing is changed (%s)", c.base, dial.Err)}
	}
	return &callError{code: exitUnknown, text: fmt.Sprintf("the gateway %s stopped answering (%s)", c.base, err)}
}

func refused(response *http.Response) error {
	failure := &callError{code: exitRefused}
	if json.NewDecoder(response.Body).Decode(&failure.body) != nil || failure.body.Code == "" {
		// A load balancer answers for a gateway that may have got the request.
		return &callError{code: exitUnknown, text: "the answer is not from a gateway: " + response.Status}
	}
	failure.text = failure.body.Detail
	switch {
	case failure.body.Code == structs.CodeNotFound:
		// The outcome is that of the unknown job's tasks, not that of the command.
	case failure.body.Outcome == structs.OutcomeMayHaveRun.String():
		failure.code = exitUnknown
	case failure.body.Code == structs.CodeBadRequest:
		failure.code = exitUsage
	}
	return failure
}
