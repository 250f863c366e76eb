package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
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
// It speaks HTTP/1.1 on connections of its own instead of an http.Transport, which needs two more goroutines for each
// connection and several switches between them for each task.
//
// An answer must be that of its own task. An answer that repeats the headers of another task fails the task, and
// the connections are closed. A server that does not repeat the headers gets a new connection for each task, since
// a doubled answer could not be told from the next one.
type backendClient struct {
	address     string
	connections int
	pool        *connPool
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
		pool:        newConnPool(address, connections),
	}
}

func (c *backendClient) close() { c.pool.closeIdle() }

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

// isOpen reports whether no byte of the request has been written and it may still pass.
func (g *gate) isOpen() bool { return g.state.Load() == gateOpen }

// runTime returns the time since the passing.
func (g *gate) runTime() time.Duration {
	return time.Since(g.created) - time.Duration(g.passedAfter.Load())
}

// run runs a task and returns its end. The context aborts it.
func (c *backendClient) run(ctx context.Context, task *structs.TaskStart, maxResult int64) Ended {
	timeout := task.Timeout
	if timeout <= 0 {
		timeout = structs.DefaultTaskTimeout
	}
	g := &gate{admit: c.admit, created: time.Now()}
	result, err := c.exchange(ctx, g.created.Add(timeout), task, g, maxResult)
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
	case isTimeout(err):
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

// isTimeout reports whether an error is that of the deadline of a connection or of a context.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// exchange sends the request and reads the answer. The request is sent on a second connection only if not a byte was
// written to the first one.
func (c *backendClient) exchange(
	ctx context.Context, deadline time.Time, task *structs.TaskStart, g *gate, maxResult int64,
) ([]byte, error) {
	if err := c.pool.acquire(ctx, deadline); err != nil {
		return nil, err
	}
	defer c.pool.release()
	job, index := task.Task.Job.String(), strconv.FormatUint(uint64(task.Task.Index), 10)
	reuse := c.echoes.Load()
	for {
		conn, err := c.pool.connect(ctx, deadline, reuse)
		if err != nil {
			return nil, err
		}
		conn.gate = g
		response, err := conn.roundTrip(ctx, c.newRequest(task, job, index, !reuse))
		if err != nil && conn.used && g.isOpen() && ctx.Err() == nil && !errors.Is(err, errStale) {
			// The server had closed the idle connection.
			conn.close()
			continue
		}
		if err != nil {
			conn.close()
			return nil, err
		}
		result, err := c.readResult(response, job, index, reuse, maxResult)
		if aborted := !conn.unwatch(); err != nil || aborted || !reuse || !conn.reusable(response) {
			conn.close()
			return result, err
		}
		c.pool.put(conn)
		return result, nil
	}
}

func (c *backendClient) readResult(response *http.Response, job, index string, reuse bool, maxResult int64) ([]byte, error) {
	if err := c.checkEcho(response, job, index, reuse); err != nil {
		return nil, err
	}
	return readAnswer(response, maxResult)
}

func (c *backendClient) newRequest(task *structs.TaskStart, job, index string, last bool) *http.Request {
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Path: "/run"},
		Host:          c.address,
		Header:        http.Header{headerJob: {job}, headerTask: {index}},
		Body:          http.NoBody,
		ContentLength: int64(len(task.Payload)),
		Close:         last,
	}
	if task.Kind != "" {
		request.Header[headerKind] = []string{task.Kind}
	}
	if len(task.Payload) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(task.Payload))
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
	c.pool.closeIdle()
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
