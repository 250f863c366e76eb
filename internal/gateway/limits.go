package gateway

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Limits of the caller API that are not part of the configuration.
const (
	maxHeaderBytes    = 16 << 10
	maxKeyBytes       = 128
	maxTickets        = 1000
	maxWait           = 5 * time.Minute
	maxConnections    = 20_000
	maxStreams        = 4096
	readHeaderTimeout = 5 * time.Second
	// bodyTimeout limits the time for reading one request body.
	bodyTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// budgetRetryAfter is the Retry-After value while the memory budget is exhausted.
	budgetRetryAfter = time.Second
	// routinePercent is the part of the memory budget that routine jobs may use, in percent, so that many routine
	// bodies do not cause the refusal of urgent ones.
	routinePercent = 80
)

var errBudgetExhausted = errors.New("gateway: memory for bodies and answers exhausted")

// byteBudget limits the memory for bodies and answers held for callers.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// reservation is the part of a byteBudget that one submission or answer uses.
type reservation struct {
	budget *byteBudget
	held   int64
}

// add reserves n more bytes and fails if that exceeds the budget.
func (r *reservation) add(n int64) error {
	if r.budget.used.Add(n) > r.budget.limit {
		r.budget.used.Add(-n)
		return errBudgetExhausted
	}
	r.held += n
	return nil
}

// checkPriority refuses a routine job if more than routinePercent of the budget is in use.
func (r *reservation) checkPriority(p structs.Priority) error {
	if p == structs.Routine && r.budget.used.Load() > r.budget.limit/100*routinePercent {
		return errBudgetExhausted
	}
	return nil
}

// reserveAnswer reserves memory for an answer while it is written to a caller, who may read slowly.
func (g *Gateway) reserveAnswer(answer *structs.Answer) (*reservation, *structs.Problem) {
	held := &reservation{budget: &g.heldBytes}
	size := int64(0)
	for _, result := range answer.Results {
		size += int64(len(result))
	}
	if held.add(size) == nil {
		return held, nil
	}
	return nil, &structs.Problem{
		Code: structs.CodeUnavailable, Outcome: answer.Outcome, RetryAfter: budgetRetryAfter,
		Detail: "the job has ended; the gateway holds too many answers at the moment, so fetch this one again",
	}
}

// release returns the reserved bytes to the budget.
func (r *reservation) release() {
	r.budget.used.Add(-r.held)
	r.held = 0
}

// reservingReader reserves memory for the bytes that it reads, so that a body which arrives slowly occupies only what
// has arrived.
type reservingReader struct {
	r        io.Reader
	reserved *reservation
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		if err := r.reserved.add(int64(n)); err != nil {
			return 0, err
		}
	}
	return n, err
}

// limitedListener limits the number of open connections; further ones wait in the kernel's backlog.
type limitedListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
}

// limitListener returns a listener with at most n open connections.
func limitListener(l net.Listener, n int) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, n), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, slots: l.slots}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitedConn gives its slot of the listener back when it is closed.
type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}
