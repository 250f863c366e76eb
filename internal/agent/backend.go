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

// Headers of the requests to a backend server. If the server repeats the first two in its responses, the agent reuses
// connections; see backendClient.
const (
	headerJob  = "Rosedrift-Job"
	headerTask = "Rosedrift-Task"
	headerKind = "Rosedrift-Kind"
)

const (
	// MaxConnections is the largest number of connections to the backend server, even if it announces more.
	MaxConnections = 64
	// backendDialTimeout bounds a dial of the backend server, which runs next to the agent.
	backendDialTimeout = time.Second
	// backendIdleTimeout is how long an unused connection stays open. It is shorter than the idle timeout of common
	// servers (60 s and more): a request on a connection that the server is just closing would fail its job.
	backendIdleTimeout = 30 * time.Second
	// maxErrorBytes is how much of an error response's body is reported.
	maxErrorBytes = 512
)

// errNoContact is the error of a request that was not sent because the last contact with a gateway is too long ago.
var errNoContact = errors.New("no fresh heartbeat from a gateway")

// backendClient runs tasks at one address of the backend server.
//
// It speaks HTTP/1.1 on its own connections. An http.Transport would need two more goroutines for each connection, and
// several goroutine switches for each task.
//
// The client verifies that a response belongs to the task. If a response repeats the headers of another task, the task
// fails and the connections are closed. If the server does not repeat the headers, each task gets a new connection,
// since on a shared one a duplicate response could be taken for that of the next task.
type backendClient struct {
	address     string
	connections int
	pool        *connPool
	// echoesHeaders is true if the server repeats the headers, according to its last response.
	echoesHeaders atomic.Bool
	// mayStart is called right before a request is written, and returns whether it may be sent.
	mayStart func() bool
}

func newBackendClient(address string, connections int, mayStart func() bool) *backendClient {
	connections = min(connections, MaxConnections)
	return &backendClient{
		address:     address,
		connections: connections,
		mayStart:    mayStart,
		pool:        newConnPool(address, connections),
	}
}

func (c *backendClient) close() { c.pool.closeIdle() }

// States of a sendGuard.
const (
	// sendPending: no byte of the request has been written, but it may be.
	sendPending int32 = iota
	// sendPermitted: bytes of the request may have reached the server.
	sendPermitted
	// sendCancelled: no byte of the request has been or will be written.
	sendCancelled
)

// sendGuard decides whether one request may be sent, and records whether it was. It calls mayStart right before the
// first bytes are written to the connection, which is the last moment at which a process that was paused can notice
// that its last contact with a gateway has become too old.
type sendGuard struct {
	mayStart func() bool
	created  time.Time
	state    atomic.Int32
	// permittedAfter is the time from created to the permission to send, in nanoseconds.
	permittedAfter atomic.Int64
}

// cancel keeps an unsent request from being sent later. It returns false if the request may have been sent already.
// Without it, a request that is aborted before it is written could be reported as not started and be written after
// that.
func (g *sendGuard) cancel() bool { return g.state.CompareAndSwap(sendPending, sendCancelled) }

// permit reports whether bytes of the request may be written now, and if so, records that it is sent.
func (g *sendGuard) permit() bool {
	if g.state.Load() == sendPermitted {
		return true
	}
	if !g.mayStart() {
		return false
	}
	g.permittedAfter.Store(int64(time.Since(g.created)))
	return g.state.CompareAndSwap(sendPending, sendPermitted)
}

// isPending reports whether no byte of the request has been written and the request may still be sent.
func (g *sendGuard) isPending() bool { return g.state.Load() == sendPending }

// runTime returns the time since the request was sent.
func (g *sendGuard) runTime() time.Duration {
	return time.Since(g.created) - time.Duration(g.permittedAfter.Load())
}

// run runs a task and returns how it ended. The end of the context aborts it.
func (c *backendClient) run(ctx context.Context, task *structs.TaskStart, maxResult int64) Ended {
	timeout := task.Timeout
	if timeout <= 0 {
		timeout = structs.DefaultTaskTimeout
	}
	g := &sendGuard{mayStart: c.mayStart, created: time.Now()}
	result, err := c.exchange(ctx, g.created.Add(timeout), task, g, maxResult)
	ended := Ended{Task: task.Task, Kind: structs.TaskFinished, Result: result}
	unsent := g.cancel()
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

// isTimeout reports whether an error was caused by the deadline of a connection or of a context.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// exchange sends the request and returns the result from the response. It tries another connection only if no byte was
// written to the previous one.
func (c *backendClient) exchange(
	ctx context.Context, deadline time.Time, task *structs.TaskStart, g *sendGuard, maxResult int64,
) ([]byte, error) {
	if err := c.pool.acquire(ctx, deadline); err != nil {
		return nil, err
	}
	defer c.pool.release()
	job, index := task.Task.Job.String(), strconv.FormatUint(uint64(task.Task.Index), 10)
	reuse := c.echoesHeaders.Load()
	for {
		conn, err := c.pool.connect(ctx, deadline, reuse)
		if err != nil {
			return nil, err
		}
		conn.guard = g
		response, err := conn.roundTrip(ctx, c.newRequest(task, job, index, !reuse))
		if err != nil && conn.used && g.isPending() && ctx.Err() == nil && !errors.Is(err, errNoContact) {
			// The server closed the idle connection before the request was written.
			conn.close()
			continue
		}
		if err != nil {
			conn.close()
			return nil, err
		}
		result, err := c.readResult(response, job, index, reuse, maxResult)
		if aborted := !conn.stopAbort(); err != nil || aborted || !reuse || !conn.reusable(response) {
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
	return readBody(response, maxResult)
}

// newRequest returns the HTTP request of a task. closeAfter asks the server to close the connection after its response.
func (c *backendClient) newRequest(task *structs.TaskStart, job, index string, closeAfter bool) *http.Request {
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Path: "/run"},
		Host:          c.address,
		Header:        http.Header{headerJob: {job}, headerTask: {index}},
		Body:          http.NoBody,
		ContentLength: int64(len(task.Payload)),
		Close:         closeAfter,
	}
	if task.Kind != "" {
		request.Header[headerKind] = []string{task.Kind}
	}
	if len(task.Payload) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(task.Payload))
	}
	return request
}

// checkEcho verifies the task headers of a response. If they are wrong, or missing on a reused connection, it returns
// an error, closes the idle connections and uses a new one for each of the next tasks.
func (c *backendClient) checkEcho(response *http.Response, job, index string, reused bool) error {
	gotJob, gotTask := response.Header.Get(headerJob), response.Header.Get(headerTask)
	if gotJob == job && gotTask == index {
		c.echoesHeaders.Store(true)
		return nil
	}
	if gotJob == "" && gotTask == "" && !reused {
		return nil
	}
	c.echoesHeaders.Store(false)
	c.pool.closeIdle()
	if gotJob == "" && gotTask == "" {
		return fmt.Errorf("the answer on a shared connection names no task (headers %s, %s)", headerJob, headerTask)
	}
	return fmt.Errorf("the answer is that of task %q of job %q", gotTask, gotJob)
}

// readBody returns the body of a response with status 200, and an error for any other status or a body that is too
// large.
func readBody(response *http.Response, maxResult int64) ([]byte, error) {
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
