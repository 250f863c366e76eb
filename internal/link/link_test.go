package link

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"rosedrift.example/rosedrift/internal/structs"
	_ "rosedrift.example/rosedrift/internal/testseed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a handler that passes envelopes and the end of the link on to channels.
type recorder struct {
	envelopes chan structs.Envelope
	closed    chan error
}

func newRecorder() *recorder {
	return &recorder{envelopes: make(chan structs.Envelope, 1<<20), closed: make(chan error, 1)}
}

func (r *recorder) Receive(_ *Link, envelopes []structs.Envelope) {
	for _, e := range envelopes {
		r.envelopes <- e
	}
}

func (r *recorder) Closed(_ *Link, err error) { r.closed <- err }

// pair returns both ends of a link over loopback; the dialing side has the options.
func pair(t testing.TB, options Options, dialed, accepted Handler) (client, server *Link) {
	t.Helper()
	links := make(chan *Link, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := Accept(w, r, Options{ReadTimeout: options.ReadTimeout}, accepted)
		if err == nil {
			links <- l
		}
	}))
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithCancel(context.Background())
	client, err := Dial(ctx, srv.URL, options, dialed)
	require.NoError(t, err)
	// The context bounds only the connecting.
	cancel()
	server = <-links
	t.Cleanup(func() {
		client.Abort()
		server.Abort()
		<-client.Done()
		<-server.Done()
	})
	return client, server
}

func kindOf(t *testing.T, err error) ErrorKind {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	return e.Kind
}

// TestCloseFlushesQueuedMessages guards against results lost when a process stops right after it sent them.
func TestCloseFlushesQueuedMessages(t *testing.T) {
	in, out := newRecorder(), newRecorder()
	client, _ := pair(t, Options{}, in, out)
	const count = 1000
	for i := range uint64(count) {
		require.NoError(t, client.Send(Bulk, structs.TypeGatewayHeartbeat, structs.GatewayHeartbeat{Seq: i}))
	}
	client.Close("done")
	require.Equal(t, KindClosed, kindOf(t, <-in.closed))
	require.Equal(t, KindPeerClosed, kindOf(t, <-out.closed))
	require.Len(t, out.envelopes, count)
	for i := range uint64(count) {
		var beat structs.GatewayHeartbeat
		require.NoError(t, Decode(<-out.envelopes, &beat))
		require.Equal(t, i, beat.Seq)
	}
	require.Equal(t, KindClosed, kindOf(t, client.Send(Bulk, structs.TypeCancel, structs.Cancel{})))
	require.EqualValues(t, count, client.Stats().EnvelopesOut)
}

// TestSilentPeerEndsLink guards against a link that stays open to a peer cut off by the network.
func TestSilentPeerEndsLink(t *testing.T) {
	fault := &Fault{}
	in, out := newRecorder(), newRecorder()
	client, _ := pair(t, Options{ReadTimeout: 50 * time.Millisecond, Fault: fault}, in, out)
	fault.SetOut(Rule{Cut: true})
	require.NoError(t, client.Send(Urgent, structs.TypeCancel, structs.Cancel{}))
	require.Contains(t, []ErrorKind{KindReadTimeout, KindPeerClosed}, kindOf(t, <-out.closed))
	require.Contains(t, []ErrorKind{KindReadTimeout, KindPeerClosed}, kindOf(t, <-in.closed))
	require.Empty(t, out.envelopes)
}

// TestMalformedMessageEndsLink guards against a reader that goes on after it has lost the message boundaries.
func TestMalformedMessageEndsLink(t *testing.T) {
	out := newRecorder()
	client, _ := pair(t, Options{}, newRecorder(), out)
	client.writeMessage([]byte{0xff, 0x00})
	require.Equal(t, KindProtocol, kindOf(t, <-out.closed))
}

// TestFaultDropsAndDelays guards against a fault hook that reorders messages or lets dropped types pass.
func TestFaultDropsAndDelays(t *testing.T) {
	fault := &Fault{}
	out := newRecorder()
	client, server := pair(t, Options{Fault: fault}, out, newRecorder())
	fault.SetIn(Rule{
		Delay: time.Millisecond,
		Drop:  func(typ structs.MessageType) bool { return typ == structs.TypeFence },
	})
	require.NoError(t, server.Send(Urgent, structs.TypeFence, structs.Fence{}))
	for i := range uint64(10) {
		require.NoError(t, server.Send(Bulk, structs.TypeGatewayHeartbeat, structs.GatewayHeartbeat{Seq: i}))
	}
	for i := range uint64(10) {
		var beat structs.GatewayHeartbeat
		require.NoError(t, Decode(<-out.envelopes, &beat))
		require.Equal(t, i, beat.Seq)
	}
	client.Close("")
}

// TestLargeMessagePasses guards against limits between the largest result and the size of a batch.
func TestLargeMessagePasses(t *testing.T) {
	out := newRecorder()
	client, _ := pair(t, Options{}, newRecorder(), out)
	document := structs.ConfigDocument{Document: []byte(strings.Repeat("x", 5<<20))}
	require.NoError(t, client.Send(Bulk, structs.TypeConfigDocument, document))
	var got structs.ConfigDocument
	require.NoError(t, Decode(<-out.envelopes, &got))
	require.Equal(t, document, got)
}

// TestLinkOverTLS guards against a TLS configuration that is ignored or that negotiates a protocol without upgrades.
func TestLinkOverTLS(t *testing.T) {
	out := newRecorder()
	accepted := make(chan *Link, 1)
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l, err := Accept(w, r, Options{}, out); err == nil {
			accepted <- l
		}
	}))
	defer srv.Close()
	_, err := Dial(context.Background(), srv.URL, Options{}, newRecorder())
	require.Equal(t, KindDial, kindOf(t, err), "an unknown authority was accepted")
	trusted := srv.Client().Transport.(*http.Transport).TLSClientConfig
	client, err := Dial(context.Background(), srv.URL, Options{TLS: trusted}, newRecorder())
	require.NoError(t, err)
	require.NoError(t, client.Send(Urgent, structs.TypeCancel, structs.Cancel{Epoch: 7}))
	var got structs.Cancel
	require.NoError(t, Decode(<-out.envelopes, &got))
	require.EqualValues(t, 7, got.Epoch)
	client.Close("")
	<-client.Done()
	<-(<-accepted).Done()
}

// TestQueuesKeepOrderAndBounds guards against urgent work behind routine work, reordering in a class and growth
// without bound.
func TestQueuesKeepOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queues
		var model [classes][]structs.Envelope
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				class := rapid.SampledFrom([]Class{Control, Urgent, Bulk}).Draw(t, "class")
				body := make([]byte, rapid.IntRange(1, BatchBytes/2).Draw(t, "size"))
				e := structs.Envelope{Type: structs.MessageType(rapid.Byte().Draw(t, "type")), Body: body}
				ok, _ := q.push(class, e)
				require.True(t, ok)
				model[class] = append(model[class], e)
				continue
			}
			for _, e := range q.take(nil) {
				class := Control
				for len(model[class]) == 0 {
					class++
				}
				require.Equal(t, model[class][0], e)
				model[class] = model[class][1:]
			}
		}
		var decoded []structs.Envelope
		batch := []structs.Envelope{{Type: 200, Body: []byte{0x01}}, {Type: 1, Body: []byte{0x80}}}
		require.NoError(t, decoding.Unmarshal(appendBatch(nil, batch), &decoded))
		require.Equal(t, batch, decoded)
	})
	var r ring
	for range QueueLength {
		require.True(t, r.push(structs.Envelope{}))
	}
	require.False(t, r.push(structs.Envelope{}))
}

// BenchmarkLink measures one-way throughput of start messages over loopback.
func BenchmarkLink(b *testing.B) {
	out := &counter{want: b.N, done: make(chan struct{})}
	client, _ := pair(b, Options{}, newRecorder(), out)
	start := structs.Start{Epoch: 1, Tasks: []structs.TaskStart{{Kind: "bake", Payload: make([]byte, 100)}}}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		for client.Send(Bulk, structs.TypeStart, &start) != nil {
			time.Sleep(time.Millisecond)
		}
	}
	<-out.done
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "msgs/s")
}

// counter decodes starts and closes done after the wanted number.
type counter struct {
	want int
	got  int
	done chan struct{}
	once sync.Once
}

func (c *counter) Receive(_ *Link, envelopes []structs.Envelope) {
	for _, e := range envelopes {
		var start structs.Start
		if Decode(e, &start) == nil {
			c.got++
		}
	}
	if c.got >= c.want {
		c.once.Do(func() { close(c.done) })
	}
}

func (c *counter) Closed(*Link, error) {}
