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
	// maxResponseHeader bounds the header of a response in bytes.
	maxResponseHeader = 1 << 20
	// maxInterimResponses bounds the number of interim responses (status 1xx) before the final one.
	maxInterimResponses = 5
)

// connPool holds the connections to the backend server. The semaphore bounds the requests in progress to the number of
// connections that the server allows. A request takes an idle connection if there is one, so the connections in use and
// the idle ones together do not exceed that number.
type connPool struct {
	address   string
	semaphore chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// idle is sorted by time of last use. The most recently used connection is taken first.
	idle []*backendConn
	// discardReleased makes put close the connections instead of keeping them. closeIdle sets it, the next request
	// resets it.
	discardReleased bool
	reaper          *time.Timer
}

func newConnPool(address string, connections int) *connPool {
	return &connPool{address: address, semaphore: make(chan struct{}, connections)}
}

// acquire waits until a connection may be used. It fails if the context ends or the deadline passes first.
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

// connect returns an idle connection that is still usable, or a new one, with the deadline set. It fails if dialing
// fails. Without reuse it always dials.
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

// take returns the most recently used idle connection, or nil.
func (p *connPool) take() *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardReleased = false
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	conn := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return conn
}

// put returns a connection to the pool after a request.
func (p *connPool) put(conn *backendConn) {
	conn.used, conn.guard, conn.lastUse = true, nil, time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.discardReleased {
		conn.close()
		return
	}
	p.idle = append(p.idle, conn)
	if p.reaper == nil {
		p.reaper = time.AfterFunc(backendIdleTimeout, p.reap)
	}
}

// reap closes the connections that have been idle for backendIdleTimeout.
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

// closeIdle closes the idle connections now, and those in use when their request has ended.
func (p *connPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardReleased = true
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
	// guard is that of the request in progress.
	guard *sendGuard
	// limited is what reader reads from. It bounds the size of a response's header.
	limited io.LimitedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	// used is true once the connection has carried a request.
	used    bool
	lastUse time.Time
	// stopAbort stops the context from closing the connection. It returns false if the context has closed it already.
	stopAbort func() bool
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

// Write writes bytes of a request. It fails with errNoContact if the request must not be sent.
func (c *backendConn) Write(p []byte) (int, error) {
	first := c.guard.isPending()
	if !c.guard.permit() {
		return 0, errNoContact
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 {
		// Nothing was sent, so the request may be tried on another connection.
		c.guard.state.Store(sendPending)
	}
	return n, err
}

// roundTrip writes a request and reads the header of its response. From its start until stopAbort or close is called,
// the end of the context closes the connection. After an error the connection must not be used again.
func (c *backendConn) roundTrip(ctx context.Context, request *http.Request) (*http.Response, error) {
	c.stopAbort = context.AfterFunc(ctx, c.close)
	response, err := c.transfer(request)
	if err != nil {
		c.stopAbort()
	}
	return response, err
}

// transfer is roundTrip without the abort by the context.
func (c *backendConn) transfer(request *http.Request) (*http.Response, error) {
	if err := request.Write(c.writer); err != nil {
		return nil, err
	}
	if err := c.writer.Flush(); err != nil {
		return nil, err
	}
	for range maxInterimResponses {
		c.limited.N = maxResponseHeader
		response, err := http.ReadResponse(c.reader, request)
		c.limited.N = math.MaxInt64
		if err != nil || response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, err
		}
	}
	return nil, errors.New("too many interim answers")
}

// reusable reports whether the connection may carry another request after this response, whose body has been read.
func (c *backendConn) reusable(response *http.Response) bool {
	return !response.Close && c.reader.Buffered() == 0
}

// isQuiet reports whether an idle connection is still open and has no unread bytes. On a connection that the server has
// closed the next task would fail, and unread bytes would be taken for its response.
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
