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

// requestMargin is how much longer a request may take than the gateway may hold it.
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

// callError is a problem that the gateway reported, or a call without an answer of a gateway.
type callError struct {
	// code is the exit code of the program.
	code int
	text string
	// body is the problem that the gateway reported, empty if there was no answer.
	body admin.ProblemBody
}

// Error implements error.
func (e *callError) Error() string { return e.text }

// execute sends a command and returns its result.
func (c *client) execute(ctx context.Context, request admin.Request) (*admin.Result, error) {
	raw, err := json.Marshal(request)
	if err != nil {
		return nil, &callError{code: exitUsage, text: err.Error()}
	}
	result := &admin.Result{}
	return result, c.call(ctx, http.MethodPost, "/v1/admin/commands", raw, result)
}

// inForce asks whether a revision is in force everywhere. The gateway holds the request until it is, up to wait and at
// most admin.MaxInForceWait.
func (c *client) inForce(ctx context.Context, revision structs.Revision, wait time.Duration) (*admin.InForceResponse, error) {
	answer := &admin.InForceResponse{}
	path := fmt.Sprintf("/v1/admin/in-force?revision=%d&wait_ms=%d", revision, max(0, wait.Milliseconds()))
	return answer, c.call(ctx, http.MethodGet, path, nil, answer)
}

// complete returns the candidates for the last word of the line.
func (c *client) complete(ctx context.Context, line string) ([]string, error) {
	answer := admin.Completion{}
	err := c.call(ctx, http.MethodGet, "/v1/admin/complete?line="+url.QueryEscape(line), nil, &answer)
	return answer.Candidates, err
}

// call makes one request and decodes the JSON body of the response into the value that into points to.
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
		return c.connectionError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return c.connectionError(err)
	}
	return nil
}

// connectionError returns the error of a call without a usable answer. Only a failed dial proves that the gateway never
// got the request, so that any other failure leaves it open whether a change has happened.
func (c *client) connectionError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &callError{code: exitUnreachable, text: fmt.Sprintf("the gateway %s cannot be reached; nothing is changed (%s)", c.base, opErr.Err)}
	}
	return &callError{code: exitUnknown, text: fmt.Sprintf("the gateway %s stopped answering (%s)", c.base, err)}
}

// responseError returns the error of a response that is not successful.
func responseError(response *http.Response) error {
	failure := &callError{code: exitRefused}
	if json.NewDecoder(response.Body).Decode(&failure.body) != nil || failure.body.Code == "" {
		// The response comes from an intermediary such as a load balancer. A gateway may have got the request.
		return &callError{code: exitUnknown, text: "the answer is not from a gateway: " + response.Status}
	}
	failure.text = failure.body.Detail
	switch {
	case failure.body.Code == structs.CodeNotFound:
		// The outcome is that of the tasks of the unknown job. The command itself changed nothing.
	case failure.body.Outcome == structs.OutcomeMayHaveRun.String():
		failure.code = exitUnknown
	case failure.body.Code == structs.CodeBadRequest:
		failure.code = exitUsage
	}
	return failure
}
