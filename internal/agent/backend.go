package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Headers of the backend server protocol. A server that repeats the first two in its answer lets the agent use a
// connection for many tasks; see backendClient.
const (
	headerJob  = "Rosedrift-Job"
	headerTask = "Rosedrift-Task"
	headerKind = "Rosedrift-Kind"
)

const (
	// MaxConnections bounds the connections to the backend server, whatever it announces.
	MaxConnections = 64
	// backendDialTimeout is how long the backend server may take to accept a connection. It is beside the agent.
	backendDialTimeout = time.Second
	// backendIdleTimeout closes unused connections before common servers do (60 s and more). A request on a
	// connection that the server closes at that moment would fail its job.
	backendIdleTimeout = 30 * time.Second
	// maxErrorBytes is how much of a failed task's answer is reported.
	maxErrorBytes = 512
)

// errStale is the error of a request that was not written because the agent's knowledge is out of date.
var errStale = errors.New("no fresh heartbeat from a gateway")

// backendClient runs tasks at one address of the backend server.
//
// An answer must be that of its own task. An answer that repeats the headers of another task fails the task, and
// the connections are closed. A server that does not repeat the headers gets a new connection for each task, since
// a doubled answer could not be told from the next one.
type backendClient struct {
	address     string
	connections int
	transport   *http.Transport
	// echoes is true once the server has repeated the headers.
	echoes atomic.Bool
	// admit is asked right before a request is written.
	admit func() bool
}

func newBackendClient(address string, connections int, admit func() bool) *backendClient {
	connections = min(connections, MaxConnections)
	return &backendClient{
		address:     address,
		connections: connections,
		admit:       admit,
		transport: &http.Transport{
			DialContext:         dialBackend,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     backendIdleTimeout,
			DisableCompression:  true,
		},
	}
}

func (c *backendClient) close() { c.transport.CloseIdleConnections() }

// States of a gate.
const (
	gateOpen int32 = iota
	// gatePassed means that the server may have got bytes of the request.
	gatePassed
	// gateClosed means that it has not and will not.
	gateClosed
)

// gate guards one request. The right to start is checked when its first bytes are to be written to the connection,
// the last moment at which a process that was paused can notice it.
type gate struct {
	admit   func() bool
	created time.Time
	state   atomic.Int32
	// passedAfter is the time from created to the passing, in nanoseconds.
	passedAfter atomic.Int64
}

// close keeps a request that has not passed from ever passing. It returns false if the request may have been sent.
// Without it a request that is aborted before its writing could be reported as not started and then be written.
func (g *gate) close() bool { return g.state.CompareAndSwap(gateOpen, gateClosed) }

// pass returns whether bytes may be written.
func (g *gate) pass() bool {
	if g.state.Load() == gatePassed {
		return true
	}
	if !g.admit() {
		return false
	}
	g.passedAfter.Store(int64(time.Since(g.created)))
	return g.state.CompareAndSwap(gateOpen, gatePassed)
}

// runTime returns the time since the passing.
func (g *gate) runTime() time.Duration {
	return time.Since(g.created) - time.Duration(g.passedAfter.Load())
}

// gatedConn is a connection to the backend server. It carries one request at a time.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write fails with errStale if the request has not begun and may not start.
func (c *gatedConn) Write(p []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return c.Conn.Write(p)
	}
	first := g.state.Load() == gateOpen
	if !g.pass() {
		return 0, errStale
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 {
		// The server had closed the idle connection; the transport may try another one.
		g.state.Store(gateOpen)
	}
	return n, err
}

// dialBackend connects to the backend server.
func dialBackend(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: backendDialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn}, nil
}

// run runs a task and returns its end. The context aborts it.
func (c *backendClient) run(ctx context.Context, task *structs.TaskStart, maxResult int64) Ended {
	timeout := task.Timeout
	if timeout <= 0 {
		timeout = structs.DefaultTaskTimeout
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g := &gate{admit: c.admit, created: time.Now()}
	result, err := c.exchange(limited, task, g, maxResult)
	ended := Ended{Task: task.Task, Kind: structs.TaskFinished, Result: result}
	unsent := g.close()
	if !unsent {
		ended.RunTime = g.runTime()
	}
	if err == nil {
		return ended
	}
	ended.Error = err.Error()
	switch {
	case unsent:
		ended.Kind = structs.TaskRefused
		ended.Unreachable = isDialError(err)
	case ctx.Err() != nil:
		ended.Kind = structs.TaskAborted
	case errors.Is(limited.Err(), context.DeadlineExceeded):
		ended.Kind = structs.TaskFailed
		ended.Error = fmt.Sprintf("no answer within the task timeout of %s", timeout)
	default:
		ended.Kind = structs.TaskFailed
	}
	return ended
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// exchange sends the request once and reads the answer. It uses the transport directly, because http.Client would
// send the request again on a redirect.
func (c *backendClient) exchange(ctx context.Context, task *structs.TaskStart, g *gate, maxResult int64) ([]byte, error) {
	request := c.newRequest(ctx, task.Payload, g)
	job, index := task.Task.Job.String(), strconv.FormatUint(uint64(task.Task.Index), 10)
	request.Header[headerJob] = []string{job}
	request.Header[headerTask] = []string{index}
	if task.Kind != "" {
		request.Header[headerKind] = []string{task.Kind}
	}
	reuse := c.echoes.Load()
	request.Close = !reuse
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := c.checkEcho(response, job, index, reuse); err != nil {
		return nil, err
	}
	return readAnswer(response, maxResult)
}

func (c *backendClient) newRequest(ctx context.Context, payload []byte, g *gate) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*gatedConn); ok {
			conn.gate.Store(g)
		}
	}}
	request := (&http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: c.address, Path: "/run"},
		Host:          c.address,
		Header:        make(http.Header, 3),
		Body:          http.NoBody,
		ContentLength: int64(len(payload)),
	}).WithContext(httptrace.WithClientTrace(ctx, trace))
	if len(payload) == 0 {
		return request
	}
	// For a reader in memory the transport writes header and body at once.
	request.Body = io.NopCloser(bytes.NewReader(payload))
	// The transport uses GetBody only if it has written nothing to a connection that the server had closed.
	request.GetBody = func() (io.ReadCloser, error) {
		if !c.admit() {
			return nil, errStale
		}
		return io.NopCloser(bytes.NewReader(payload)), nil
	}
	return request
}

func (c *backendClient) checkEcho(response *http.Response, job, index string, reused bool) error {
	gotJob, gotTask := response.Header.Get(headerJob), response.Header.Get(headerTask)
	if gotJob == job && gotTask == index {
		c.echoes.Store(true)
		return nil
	}
	if gotJob == "" && gotTask == "" && !reused {
		return nil
	}
	c.echoes.Store(false)
	c.transport.CloseIdleConnections()
	if gotJob == "" && gotTask == "" {
		return fmt.Errorf("the answer on a shared connection names no task (headers %s, %s)", headerJob, headerTask)
	}
	return fmt.Errorf("the answer is that of task %q of job %q", gotTask, gotJob)
}

func readAnswer(response *http.Response, maxResult int64) ([]byte, error) {
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return nil, fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	}
	if response.ContentLength > maxResult {
		return nil, fmt.Errorf("the result has %d bytes, the limit is %d", response.ContentLength, maxResult)
	}
	if response.ContentLength >= 0 {
		result := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, result)
		return result, err
	}
	result, err := io.ReadAll(io.LimitReader(response.Body, maxResult+1))
	if err == nil && int64(len(result)) > maxResult {
		return nil, fmt.Errorf("the result exceeds the limit of %d bytes", maxResult)
	}
	return result, err
}
