package agent

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// maxAnswerHeader bounds the header of an answer in bytes.
	maxAnswerHeader = 1 << 20
	// maxInformational bounds the interim answers (status 1xx) before the answer.
	maxInformational = 5
)

// connPool holds the connections to the backend server. The holders of the semaphore and the idle connections are
// at most as many as the server allows.
type connPool struct {
	address   string
	semaphore chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// idle is in the order of the last use; the most recent one is used next.
	idle []*backendConn
	// closing keeps connections that become free from being kept, until the next request.
	closing bool
	reaper  *time.Timer
}

func newConnPool(address string, connections int) *connPool {
	return &connPool{address: address, semaphore: make(chan struct{}, connections)}
}

// acquire waits for the right to use a connection. Errors are those of the context and of the deadline.
func (p *connPool) acquire(ctx context.Context, deadline time.Time) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case p.semaphore <- struct{}{}:
		return nil
	default:
	}
	limited, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case p.semaphore <- struct{}{}:
		return nil
	case <-limited.Done():
		return limited.Err()
	}
}

func (p *connPool) release() { <-p.semaphore }

// connect returns an idle connection that is still usable, or a new one, with the deadline set. Errors are those of
// dialing.
func (p *connPool) connect(ctx context.Context, deadline time.Time, reuse bool) (*backendConn, error) {
	for reuse {
		conn := p.take()
		if conn == nil {
			break
		}
		young := time.Since(conn.lastUse) < backendIdleTimeout
		if young && conn.SetDeadline(deadline) == nil && conn.isQuiet() {
			return conn, nil
		}
		conn.close()
	}
	dialer := net.Dialer{Timeout: backendDialTimeout, Deadline: deadline}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(deadline); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return newBackendConn(conn), nil
}

func (p *connPool) take() *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = false
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	conn := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return conn
}

// put keeps a connection for the next request.
func (p *connPool) put(conn *backendConn) {
	conn.used, conn.gate, conn.lastUse = true, nil, time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		conn.close()
		return
	}
	p.idle = append(p.idle, conn)
	if p.reaper == nil {
		p.reaper = time.AfterFunc(backendIdleTimeout, p.reap)
	}
}

// reap closes the connections that were idle for backendIdleTimeout.
func (p *connPool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := 0
	for kept < len(p.idle) && time.Since(p.idle[kept].lastUse) >= backendIdleTimeout {
		p.idle[kept].close()
		kept++
	}
	p.idle = append([]*backendConn(nil), p.idle[kept:]...)
	p.reaper = nil
	if len(p.idle) > 0 {
		p.reaper = time.AfterFunc(backendIdleTimeout-time.Since(p.idle[0].lastUse), p.reap)
	}
}

// closeIdle closes the idle connections, and those in use when they become free.
func (p *connPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
	for _, conn := range p.idle {
		conn.close()
	}
	p.idle = nil
	if p.reaper != nil {
		p.reaper.Stop()
		p.reaper = nil
	}
}

// backendConn is a connection to the backend server. It carries one request at a time.
type backendConn struct {
	net.Conn
	raw syscall.RawConn
	// gate is that of the request under way.
	gate    *gate
	limited io.LimitedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	// used is true once the connection has carried a request.
	used    bool
	lastUse time.Time
	// unwatch ends the abort of the request by its context. It returns false if the request has been aborted.
	unwatch func() bool
}

func newBackendConn(conn net.Conn) *backendConn {
	c := &backendConn{Conn: conn}
	if tcp, ok := conn.(*net.TCPConn); ok {
		c.raw, _ = tcp.SyscallConn()
	}
	c.limited.R = conn
	c.reader = bufio.NewReader(&c.limited)
	c.writer = bufio.NewWriter(c)
	return c
}

func (c *backendConn) close() { _ = c.Close() }

// Write fails with errStale if the request has not begun and may not start.
func (c *backendConn) Write(p []byte) (int, error) {
	first := c.gate.isOpen()
	if !c.gate.pass() {
		return 0, errStale
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 {
		// Nothing was sent; another connection may be tried.
		c.gate.state.Store(gateOpen)
	}
	return n, err
}

// roundTrip writes a request and reads the header of its answer. From its begin until unwatch or close, the end of
// the context closes the connection. After an error the connection is of no more use.
func (c *backendConn) roundTrip(ctx context.Context, request *http.Request) (*http.Response, error) {
	c.unwatch = context.AfterFunc(ctx, c.close)
	response, err := c.transfer(request)
	if err != nil {
		c.unwatch()
	}
	return response, err
}

func (c *backendConn) transfer(request *http.Request) (*http.Response, error) {
	if err := request.Write(c.writer); err != nil {
		return nil, err
	}
	if err := c.writer.Flush(); err != nil {
		return nil, err
	}
	for range maxInformational {
		c.limited.N = maxAnswerHeader
		response, err := http.ReadResponse(c.reader, request)
		c.limited.N = math.MaxInt64
		if err != nil || response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, err
		}
	}
	return nil, errors.New("too many interim answers")
}

// reusable reports whether the answer was read to its end and the connection may carry another request.
func (c *backendConn) reusable(response *http.Response) bool {
	return !response.Close && c.reader.Buffered() == 0
}

// isQuiet reports whether an idle connection is open and without unread bytes. A server that has closed it would
// make the next task fail, and bytes that nobody asked for are not the next task's answer.
func (c *backendConn) isQuiet() bool {
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
