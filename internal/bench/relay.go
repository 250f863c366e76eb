package bench

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is the direction of a cut, as seen from the dialing side.
type Direction uint8

// The directions. Outbound bytes go from the dialing side to the target.
const (
	Both Direction = iota
	Outbound
	Inbound
)

// Relay forwards TCP connections on loopback to a target, with a delay, and can cut them. Cut connections stay open and
// carry no bytes, as in a network partition.
type Relay struct {
	listener net.Listener
	target   string
	delay    time.Duration
	// cutOutbound and cutInbound say in which directions bytes are dropped.
	cutOutbound, cutInbound atomic.Bool
	// messages and bytes count the WebSocket messages and the bytes of both directions.
	messages, bytes atomic.Int64

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewRelay listens on a free loopback port and forwards to target (host:port).
func NewRelay(target string, delay time.Duration) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, delay: delay, conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

// Addr returns the address to dial instead of the target.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Cut drops the bytes of a direction until Heal.
func (r *Relay) Cut(direction Direction) {
	r.cutOutbound.Store(direction != Inbound)
	r.cutInbound.Store(direction != Outbound)
}

// Heal ends the cut. It closes all open connections, since bytes sent on them during the cut are lost.
func (r *Relay) Heal() {
	r.closeAll(false)
	r.cutOutbound.Store(false)
	r.cutInbound.Store(false)
}

// Close closes the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.closeAll(true)
}

func (r *Relay) closeAll(closing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = r.closed || closing
	for conn := range r.conns {
		_ = conn.Close()
	}
	clear(r.conns)
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go r.serve(conn)
		}
	}
}

func (r *Relay) serve(conn net.Conn) {
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	if !r.track(conn, target) {
		return
	}
	go r.forward(target, conn, &r.cutOutbound)
	r.forward(conn, target, &r.cutInbound)
}

// track registers the connections, so that Heal and Close can close them, and reports whether the relay is open. If it
// is not, track closes them.
func (r *Relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		if r.closed {
			_ = conn.Close()
			continue
		}
		r.conns[conn] = struct{}{}
	}
	return !r.closed
}

// delayedBlock is a block of bytes that is written to the other side when it is due.
type delayedBlock struct {
	data []byte
	due  time.Time
}

// forward forwards the bytes in order, each block after the delay. It reads while writeDelayed writes in a goroutine of
// its own, so that the delay does not limit the throughput.
func (r *Relay) forward(to, from net.Conn, cut *atomic.Bool) {
	counter := frameCounter{messages: &r.messages, bytes: &r.bytes}
	blocks := make(chan delayedBlock, 1024)
	go r.writeDelayed(to, blocks, cut)
	defer close(blocks)
	for {
		buffer := make([]byte, 32<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			counter.feed(buffer[:n])
			blocks <- delayedBlock{data: buffer[:n], due: time.Now().Add(r.delay)}
		}
		if err != nil {
			return
		}
	}
}

// writeDelayed writes the blocks when they are due and drops those that are due during a cut. At the end it closes the
// connection, except during a cut.
func (r *Relay) writeDelayed(to net.Conn, blocks <-chan delayedBlock, cut *atomic.Bool) {
	defer func() {
		if !cut.Load() {
			_ = to.Close()
		}
	}()
	failed := false
	for block := range blocks {
		time.Sleep(time.Until(block.due))
		if cut.Load() || failed {
			continue
		}
		_, err := to.Write(block.data)
		failed = err != nil && !errors.Is(err, io.ErrShortWrite)
	}
}
