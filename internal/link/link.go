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
	// closeTimeout limits the closing handshake, so that an unreachable peer does not delay the shutdown of a process.
	closeTimeout = time.Second
	// maxCloseReasonBytes is the longest close reason that fits into a WebSocket control frame.
	maxCloseReasonBytes = 123
	// maxKeptBuffer is the largest read or write buffer that is reused for the next message, in bytes.
	maxKeptBuffer = 1 << 20
	// ioBufferBytes is the size of the I/O buffers of a dialed connection. A batch fits into it.
	ioBufferBytes = BatchBytes
)

// Options configures a link. The zero value selects the defaults.
type Options struct {
	// TLS is the configuration for dialing wss and https URLs.
	TLS *tls.Config
	// Header is sent with the upgrade request by Dial.
	Header http.Header
	// ReadTimeout is the time without a received message after which the link is closed. 0 means structs.LostAfter.
	ReadTimeout time.Duration
	// Fault injects faults in tests and experiments; nil injects none.
	Fault *Fault
	// Logger is for messages at level debug and may be nil.
	Logger log.Logger
}

// Stats has the traffic counters of a link. A message is a WebSocket message with a batch of envelopes.
type Stats struct {
	MessagesIn, MessagesOut   uint64
	EnvelopesIn, EnvelopesOut uint64
	BytesIn, BytesOut         uint64
}

type trafficCounters struct {
	messagesIn, messagesOut   atomic.Uint64
	envelopesIn, envelopesOut atomic.Uint64
	bytesIn, bytesOut         atomic.Uint64
}

// Link is a connection between two rosedrift processes. All methods may be called concurrently.
type Link struct {
	conn    *websocket.Conn
	peer    string
	options Options
	handler Handler
	stats   trafficCounters

	// ctx is cancelled when the link ends. The cause of the cancellation is an *Error.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// wake tells the writing goroutine to look at the queues.
	wake chan struct{}
	// writerDone is closed when the writing goroutine has ended, done when Handler.Closed has returned.
	writerDone chan struct{}
	done       chan struct{}

	// readTimer ends the link when the peer does not send, writeTimer when it does not read. They are reset for each
	// message; a context with a deadline for each message would allocate.
	readTimer  *time.Timer
	writeTimer *time.Timer
	// delayIn delays received envelopes as Options.Fault demands; it is nil if Fault is nil.
	delayIn *delayLine[[]structs.Envelope]

	// mu guards the following fields.
	mu      sync.Mutex
	queues  classQueues
	closing bool
	reason  string
}

// Dial connects to a URL (ws, wss, http or https). The context applies to the connection setup only. Errors are *Error
// of KindDial.
func Dial(ctx context.Context, url string, options Options, handler Handler) (*Link, error) {
	var raw net.Conn
	transport := &http.Transport{
		TLSClientConfig:   options.TLS,
		ReadBufferSize:    ioBufferBytes,
		WriteBufferSize:   ioBufferBytes,
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

// Accept upgrades an HTTP request to a link. It returns after the upgrade; Done reports the end of the link. An error
// is an *Error of KindDial; the response has been written by then.
func Accept(w http.ResponseWriter, r *http.Request, options Options, handler Handler) (*Link, error) {
	hijacked := &hijackRecorder{ResponseWriter: w}
	conn, err := websocket.Accept(hijacked, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, &Error{Kind: KindDial, Peer: r.RemoteAddr, Err: err}
	}
	return start(conn, hijacked.raw, r.RemoteAddr, options, handler), nil
}

// hijackRecorder is an http.ResponseWriter that records the network connection when it is hijacked for the upgrade.
type hijackRecorder struct {
	http.ResponseWriter
	raw net.Conn
}

// Hijack implements http.Hijacker.
func (h *hijackRecorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	raw, buffers, err := http.NewResponseController(h.ResponseWriter).Hijack()
	h.raw = raw
	return raw, buffers, err
}

// start creates a link and starts its goroutines. The end of the link's context closes the network connection raw,
// which ends every pending read and write. Passing the context to each read and write instead would register and
// unregister it for each message.
func start(conn *websocket.Conn, raw net.Conn, peer string, options Options, handler Handler) *Link {
	if options.ReadTimeout <= 0 {
		options.ReadTimeout = structs.LostAfter
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	conn.SetReadLimit(MaxMessageBytes)
	l := &Link{
		conn:       conn,
		peer:       peer,
		options:    options,
		handler:    handler,
		wake:       make(chan struct{}, 1),
		writerDone: make(chan struct{}),
		done:       make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	context.AfterFunc(l.ctx, func() { _ = raw.Close() })
	l.readTimer = time.AfterFunc(options.ReadTimeout, func() { l.fail(KindReadTimeout, nil) })
	l.writeTimer = time.AfterFunc(time.Hour, func() { l.fail(KindWriteTimeout, nil) })
	l.writeTimer.Stop()
	if options.Fault != nil {
		l.delayIn = newDelayLine(l.deliverDelayed)
	}
	go l.write()
	go l.read()
	return l
}

// Send queues a message for writing and does not block. The message is encoded before Send returns, so the caller may
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

// Close closes the link after the queued messages have been written. It does not block; Done reports the end of the
// link.
func (l *Link) Close(reason string) {
	l.mu.Lock()
	if !l.closing {
		l.closing = true
		l.reason = reason[:min(len(reason), maxCloseReasonBytes)]
	}
	l.mu.Unlock()
	l.wakeWriter()
}

// Abort closes the link at once, without writing the queued messages and without a closing handshake.
func (l *Link) Abort() { l.fail(KindClosed, nil) }

// Done returns a channel that is closed after Handler.Closed has returned.
func (l *Link) Done() <-chan struct{} { return l.done }

// RemoteAddr returns the peer's address, or the dialed URL.
func (l *Link) RemoteAddr() string { return l.peer }

// Stats returns the traffic counters of the link.
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

// fail ends the link with an error. Only the first call has an effect.
func (l *Link) fail(kind ErrorKind, err error) {
	l.cancel(&Error{Kind: kind, Peer: l.peer, Err: err})
}

// read is the body of the reading goroutine.
func (l *Link) read() {
	var buf []byte
	for {
		var err error
		if buf, err = l.readMessage(buf); err != nil {
			l.finishRead(err)
			return
		}
		if cap(buf) > maxKeptBuffer {
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
	if err := decMode.Unmarshal(buf, &envelopes); err != nil {
		return buf, &Error{Kind: KindProtocol, Peer: l.peer, Err: err}
	}
	l.stats.messagesIn.Add(1)
	l.stats.envelopesIn.Add(uint64(len(envelopes)))
	l.stats.bytesIn.Add(uint64(len(buf)))
	l.receive(envelopes)
	return buf, nil
}

// readAll appends the rest of a message to buf. It resets the read timeout at each read, so that a long message may
// take longer than the timeout.
func (l *Link) readAll(reader io.Reader, buf []byte) ([]byte, error) {
	const chunk = 4 << 10
	for {
		if cap(buf)-len(buf) < chunk {
			buf = append(buf, make([]byte, max(chunk, len(buf)))...)[:len(buf)]
		}
		n, err := reader.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if l.options.Fault == nil {
			l.readTimer.Reset(l.options.ReadTimeout)
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

// deliverDelayed passes received envelopes to the handler after their injected delay. Only then is the read timeout
// reset.
func (l *Link) deliverDelayed(envelopes []structs.Envelope) {
	l.readTimer.Reset(l.options.ReadTimeout)
	l.handler.Receive(l, envelopes)
}

// finishRead ends the link after a read has failed. It waits for the writing goroutine and for delayed envelopes, and
// calls Handler.Closed.
func (l *Link) finishRead(err error) {
	l.mu.Lock()
	closing := l.closing
	l.mu.Unlock()
	var protocolErr *Error
	switch {
	case errors.As(err, &protocolErr):
		l.cancel(protocolErr)
	case closing:
		<-l.writerDone
		l.fail(KindClosed, nil)
	default:
		l.fail(KindPeerClosed, err)
	}
	_ = l.conn.CloseNow()
	<-l.writerDone
	l.readTimer.Stop()
	l.writeTimer.Stop()
	if l.delayIn != nil {
		l.delayIn.drain()
	}
	cause := context.Cause(l.ctx)
	_ = level.Debug(l.options.Logger).Log("msg", "link closed", "peer", l.peer, "err", cause)
	l.handler.Closed(l, cause)
	close(l.done)
}

// write is the body of the writing goroutine.
func (l *Link) write() {
	defer close(l.writerDone)
	put, finish := l.writeMessage, func() {}
	if l.options.Fault != nil {
		line := newDelayLine(l.writeMessage)
		put = func(raw []byte) {
			_, rule := l.options.Fault.rules()
			line.put(rule.Delay, append([]byte(nil), raw...))
		}
		finish = line.drain
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
		if cap(buf) > maxKeptBuffer {
			buf = nil
		}
	}
}

// nextBatch waits for envelopes to write. It returns an empty batch when the link has failed, or when it is being
// closed and all queued envelopes have been written.
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

// awaitWake blocks until envelopes are queued, the link ends or, if wait is positive, until that time has passed.
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
	l.writeTimer.Reset(WriteTimeout)
	err := l.conn.Write(context.Background(), websocket.MessageBinary, raw)
	l.writeTimer.Stop()
	if err != nil {
		l.fail(KindPeerClosed, err)
		return
	}
	l.stats.messagesOut.Add(1)
	l.stats.bytesOut.Add(uint64(len(raw)))
}

// closeConn performs the closing handshake, unless the link has failed.
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
