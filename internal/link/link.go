package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/structs"
)

const (
	// closeTimeout bounds the closing handshake. A peer that is gone must not hold up a stopping process.
	closeTimeout = time.Second
	// maxReason is the longest close reason that fits a WebSocket control frame, in bytes.
	maxReason = 123
	// keptBuffer is the largest read or write buffer that is kept for the next message, in bytes.
	keptBuffer = 1 << 20
	// ioBuffer is the size of the buffers of a dialed connection, in bytes. One batch fits.
	ioBuffer = BatchBytes
)

// Options configures a link. The zero value is usable.
type Options struct {
	// TLS configures dialing wss and https URLs.
	TLS *tls.Config
	// Header is sent with the dialing request.
	Header http.Header
	// ReadTimeout closes the link if the peer is silent. 0 means structs.LostAfter.
	ReadTimeout time.Duration
	// Fault injects faults; nil injects none.
	Fault *Fault
	// Logger may be nil.
	Logger log.Logger
}

// Stats counts the traffic of a link. A message is a WebSocket message, that is a batch of envelopes.
type Stats struct {
	MessagesIn, MessagesOut   uint64
	EnvelopesIn, EnvelopesOut uint64
	BytesIn, BytesOut         uint64
}

type counters struct {
	messagesIn, messagesOut   atomic.Uint64
	envelopesIn, envelopesOut atomic.Uint64
	bytesIn, bytesOut         atomic.Uint64
}

// Link is one connection between two rosedrift processes. All methods may be called concurrently.
type Link struct {
	conn    *websocket.Conn
	peer    string
	options Options
	handler Handler
	stats   counters

	// ctx ends when the link fails. cancel carries the reason as the cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	wake   chan struct{}
	// written is closed when the writer has ended, done when Handler.Closed has returned.
	written chan struct{}
	done    chan struct{}

	// silence and stall end the link when the peer does not send or read. They are reset at each message instead
	// of a context with a deadline for each, which allocates.
	silence *time.Timer
	stall   *time.Timer
	delayIn *delayLine[[]structs.Envelope]

	// mu guards the fields below.
	mu      sync.Mutex
	queues  queues
	closing bool
	reason  string
}

// Dial connects to a URL (ws, wss, http or https). The context bounds only the connecting. Errors are *Error of
// KindDial.
func Dial(ctx context.Context, url string, options Options, handler Handler) (*Link, error) {
	var raw net.Conn
	transport := &http.Transport{
		TLSClientConfig:   options.TLS,
		ReadBufferSize:    ioBuffer,
		WriteBufferSize:   ioBuffer,
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			var err error
			raw, err = (&net.Dialer{}).DialContext(ctx, network, address)
			return raw, err
		},
	}
	conn, _, err := websocket.Dial(ctx, url, &websocket.DialOptions{
		HTTPClient:      &http.Client{Transport: transport},
		HTTPHeader:      options.Header,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, &Error{Kind: KindDial, Peer: url, Err: err}
	}
	return start(conn, raw, url, options, handler), nil
}

// Accept upgrades a request to a link. It returns after the upgrade; Done tells the end. After an error, which is an
// *Error of KindDial, the response has been written.
func Accept(w http.ResponseWriter, r *http.Request, options Options, handler Handler) (*Link, error) {
	hijacked := &hijacker{ResponseWriter: w}
	conn, err := websocket.Accept(hijacked, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, &Error{Kind: KindDial, Peer: r.RemoteAddr, Err: err}
	}
	return start(conn, hijacked.raw, r.RemoteAddr, options, handler), nil
}

// hijacker keeps the connection that an upgrade takes from the HTTP server.
type hijacker struct {
	http.ResponseWriter
	raw net.Conn
}

// Hijack implements http.Hijacker.
func (h *hijacker) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	raw, buffers, err := http.NewResponseController(h.ResponseWriter).Hijack()
	h.raw = raw
	return raw, buffers, err
}

// start begins a link. The end of its context closes raw, and with it every read and write. A context that is passed
// to each of them would be registered and unregistered for each message.
func start(conn *websocket.Conn, raw net.Conn, peer string, options Options, handler Handler) *Link {
	if options.ReadTimeout <= 0 {
		options.ReadTimeout = structs.LostAfter
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	conn.SetReadLimit(MaxMessageBytes)
	l := &Link{
		conn:    conn,
		peer:    peer,
		options: options,
		handler: handler,
		wake:    make(chan struct{}, 1),
		written: make(chan struct{}),
		done:    make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	context.AfterFunc(l.ctx, func() { _ = raw.Close() })
	l.silence = time.AfterFunc(options.ReadTimeout, func() { l.fail(KindReadTimeout, nil) })
	l.stall = time.AfterFunc(time.Hour, func() { l.fail(KindWriteTimeout, nil) })
	l.stall.Stop()
	if options.Fault != nil {
		l.delayIn = newDelayLine(l.deliver)
	}
	go l.write()
	go l.read()
	return l
}

// Send queues a message for writing; it does not wait. The message is encoded before Send returns, so the caller may
// change it afterwards. Errors are *Error: KindFull if the queue of the class is full, KindClosed, and KindProtocol if
// the message cannot be encoded.
func (l *Link) Send(class Class, typ structs.MessageType, message any) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return &Error{Kind: KindProtocol, Peer: l.peer, Err: err}
	}
	if l.options.Fault != nil {
		if _, rule := l.options.Fault.rules(); rule.discards(typ) {
			return nil
		}
	}
	return l.enqueue(class, structs.Envelope{Type: typ, Body: body})
}

func (l *Link) enqueue(class Class, e structs.Envelope) error {
	l.mu.Lock()
	if l.closing || l.ctx.Err() != nil {
		l.mu.Unlock()
		return &Error{Kind: KindClosed, Peer: l.peer}
	}
	ok, wake := l.queues.push(class, e)
	l.mu.Unlock()
	if !ok {
		return &Error{Kind: KindFull, Peer: l.peer}
	}
	if wake {
		l.wakeWriter()
	}
	return nil
}

func (l *Link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close writes what is queued and closes the link; it does not wait. Done tells when the link has ended.
func (l *Link) Close(reason string) {
	l.mu.Lock()
	if !l.closing {
		l.closing = true
		l.reason = reason[:min(len(reason), maxReason)]
	}
	l.mu.Unlock()
	l.wakeWriter()
}

// Abort ends the link at once without writing what is queued, as a broken network does.
func (l *Link) Abort() { l.fail(KindClosed, nil) }

// Done is closed after Handler.Closed has returned.
func (l *Link) Done() <-chan struct{} { return l.done }

// RemoteAddr returns the peer's address, or the dialed URL.
func (l *Link) RemoteAddr() string { return l.peer }

// Stats returns the counters of the link.
func (l *Link) Stats() Stats {
	return Stats{
		MessagesIn:   l.stats.messagesIn.Load(),
		MessagesOut:  l.stats.messagesOut.Load(),
		EnvelopesIn:  l.stats.envelopesIn.Load(),
		EnvelopesOut: l.stats.envelopesOut.Load(),
		BytesIn:      l.stats.bytesIn.Load(),
		BytesOut:     l.stats.bytesOut.Load(),
	}
}

// fail ends the link. The first reason counts.
func (l *Link) fail(kind ErrorKind, err error) {
	l.cancel(&Error{Kind: kind, Peer: l.peer, Err: err})
}

// read runs in the reading goroutine.
func (l *Link) read() {
	var buf []byte
	for {
		var err error
		if buf, err = l.readMessage(buf); err != nil {
			l.endRead(err)
			return
		}
		if cap(buf) > keptBuffer {
			buf = nil
		}
	}
}

func (l *Link) readMessage(buf []byte) ([]byte, error) {
	_, reader, err := l.conn.Reader(context.Background())
	if err != nil {
		return buf, err
	}
	buf, err = l.readAll(reader, buf[:0])
	if err != nil {
		return buf, err
	}
	var envelopes []structs.Envelope
	if err := decoding.Unmarshal(buf, &envelopes); err != nil {
		return buf, &Error{Kind: KindProtocol, Peer: l.peer, Err: err}
	}
	l.stats.messagesIn.Add(1)
	l.stats.envelopesIn.Add(uint64(len(envelopes)))
	l.stats.bytesIn.Add(uint64(len(buf)))
	l.receive(envelopes)
	return buf, nil
}

// readAll appends the rest of a message to buf. A long message counts as a sign of life while it arrives.
func (l *Link) readAll(reader io.Reader, buf []byte) ([]byte, error) {
	const chunk = 4 << 10
	for {
		if cap(buf)-len(buf) < chunk {
			buf = append(buf, make([]byte, max(chunk, len(buf)))...)[:len(buf)]
		}
		n, err := reader.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if l.options.Fault == nil {
			l.silence.Reset(l.options.ReadTimeout)
		}
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

func (l *Link) receive(envelopes []structs.Envelope) {
	if l.options.Fault == nil {
		l.handler.Receive(l, envelopes)
		return
	}
	if envelopes = l.options.Fault.filterIn(envelopes); len(envelopes) > 0 {
		rule, _ := l.options.Fault.rules()
		l.delayIn.put(rule.Delay, envelopes)
	}
}

// deliver ends the delay of received envelopes. Only then do they count as a sign of life.
func (l *Link) deliver(envelopes []structs.Envelope) {
	l.silence.Reset(l.options.ReadTimeout)
	l.handler.Receive(l, envelopes)
}

// endRead ends the link after the reader has failed and reports the end to the handler.
func (l *Link) endRead(err error) {
	l.mu.Lock()
	closing := l.closing
	l.mu.Unlock()
	var protocol *Error
	switch {
	case errors.As(err, &protocol):
		l.cancel(protocol)
	case closing:
		<-l.written
		l.fail(KindClosed, nil)
	default:
		l.fail(KindPeerClosed, err)
	}
	_ = l.conn.CloseNow()
	<-l.written
	l.silence.Stop()
	l.stall.Stop()
	if l.delayIn != nil {
		l.delayIn.finish()
	}
	cause := context.Cause(l.ctx)
	_ = level.Debug(l.options.Logger).Log("msg", "link ended", "peer", l.peer, "err", cause)
	l.handler.Closed(l, cause)
	close(l.done)
}

// write runs in the writing goroutine.
func (l *Link) write() {
	defer close(l.written)
	put, finish := l.writeMessage, func() {}
	if l.options.Fault != nil {
		line := newDelayLine(l.writeMessage)
		put = func(raw []byte) {
			_, rule := l.options.Fault.rules()
			line.put(rule.Delay, append([]byte(nil), raw...))
		}
		finish = line.finish
	}
	l.writeBatches(put)
	finish()
	l.closeConn()
}

func (l *Link) writeBatches(put func([]byte)) {
	var batch []structs.Envelope
	var buf []byte
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		batch = l.nextBatch(batch[:0], timer)
		if len(batch) == 0 {
			return
		}
		buf = appendBatch(buf[:0], batch)
		l.stats.envelopesOut.Add(uint64(len(batch)))
		clear(batch)
		put(buf)
		if cap(buf) > keptBuffer {
			buf = nil
		}
	}
}

// nextBatch waits for envelopes to write. It returns an empty batch when the link has ended or is closed and
// drained.
func (l *Link) nextBatch(batch []structs.Envelope, timer *time.Timer) []structs.Envelope {
	for l.ctx.Err() == nil {
		l.mu.Lock()
		now, wait := l.queues.due(l.closing)
		if now {
			batch = l.queues.take(batch)
		}
		drained := l.closing && l.queues.empty()
		l.mu.Unlock()
		if now || drained {
			return batch
		}
		l.awaitWake(wait, timer)
	}
	return batch
}

// awaitWake waits for new envelopes, the end of the link or, if wait is not 0, the end of the collecting time.
func (l *Link) awaitWake(wait time.Duration, timer *time.Timer) {
	var expired <-chan time.Time
	if wait > 0 {
		timer.Reset(wait)
		expired = timer.C
	}
	select {
	case <-l.wake:
	case <-expired:
	case <-l.ctx.Done():
	}
}

func (l *Link) writeMessage(raw []byte) {
	if l.ctx.Err() != nil {
		return
	}
	l.stall.Reset(WriteTimeout)
	err := l.conn.Write(context.Background(), websocket.MessageBinary, raw)
	l.stall.Stop()
	if err != nil {
		l.fail(KindPeerClosed, err)
		return
	}
	l.stats.messagesOut.Add(1)
	l.stats.bytesOut.Add(uint64(len(raw)))
}

// closeConn performs the closing handshake of a link that was closed in order.
func (l *Link) closeConn() {
	if l.ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	reason := l.reason
	l.mu.Unlock()
	limit := time.AfterFunc(closeTimeout, func() { l.fail(KindClosed, nil) })
	defer limit.Stop()
	_ = l.conn.Close(websocket.StatusNormalClosure, reason)
}
