package bench

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction names the direction of a cut, as seen from the side that dials.
type Direction uint8

// The directions.
const (
	Both Direction = iota
	Outbound
	Inbound
)

// Relay forwards TCP connections on loopback to a target, with a delay, and can cut them. Cut connections stay
// open and silent, as after a network partition, not closed.
type Relay struct {
	listener net.Listener
	target   string
	delay    time.Duration
	// cutOut and cutIn stop the bytes of each direction.
	cutOut, cutIn atomic.Bool
	// messages and bytes count the WebSocket messages and the bytes of both directions.
	messages, bytes atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	done  bool
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

// Cut stops the bytes of a direction until Heal.
func (r *Relay) Cut(direction Direction) {
	r.cutOut.Store(direction != Inbound)
	r.cutIn.Store(direction != Outbound)
}

// Heal ends the cut. Connections of the time of the cut are closed, since bytes on them are lost.
func (r *Relay) Heal() {
	r.closeAll(false)
	r.cutOut.Store(false)
	r.cutIn.Store(false)
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.closeAll(true)
}

func (r *Relay) closeAll(done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = r.done || done
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
	go r.copy(target, conn, &r.cutOut)
	r.copy(conn, target, &r.cutIn)
}

// track registers both connections and reports whether the relay is open.
func (r *Relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		if r.done {
			_ = conn.Close()
			continue
		}
		r.conns[conn] = struct{}{}
	}
	return !r.done
}

type delayed struct {
	data []byte
	due  time.Time
}

// copy forwards the bytes in order, each block after the delay. A reader and a writer run apart, so that the delay
// does not limit the throughput.
func (r *Relay) copy(to, from net.Conn, cut *atomic.Bool) {
	counter := frameCounter{messages: &r.messages, bytes: &r.bytes}
	blocks := make(chan delayed, 1024)
	go r.write(to, blocks, cut)
	defer close(blocks)
	for {
		buffer := make([]byte, 32<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			counter.feed(buffer[:n])
			blocks <- delayed{data: buffer[:n], due: time.Now().Add(r.delay)}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) write(to net.Conn, blocks <-chan delayed, cut *atomic.Bool) {
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
