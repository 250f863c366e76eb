package link

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"rosedrift.example/rosedrift/internal/structs"
	_ "rosedrift.example/rosedrift/internal/testseed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingHandler is a Handler that sends received envelopes and the end of the link to channels.
type recordingHandler struct {
	envelopes chan structs.Envelope
	closed    chan error
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{envelopes: make(chan structs.Envelope, 1<<20), closed: make(chan error, 1)}
}

func (r *recordingHandler) Receive(_ *Link, envelopes []structs.Envelope) {
	for _, e := range envelopes {
		r.envelopes <- e
	}
}

func (r *recordingHandler) Closed(_ *Link, err error) { r.closed <- err }

// newLinkPair returns both ends of a link over loopback. The options apply to the dialing end; the accepting end has
// only their ReadTimeout.
func newLinkPair(t testing.TB, options Options, dialed, accepted Handler) (client, server *Link) {
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
	// The context applies to the connection setup only: the link must stay open.
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

func errorKind(t *testing.T, err error) ErrorKind {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	return e.Kind
}

// TestCloseFlushesQueuedMessages guards against the loss of results when a process stops right after sending them.
func TestCloseFlushesQueuedMessages(t *testing.T) {
	in, out := newRecordingHandler(), newRecordingHandler()
	client, _ := newLinkPair(t, Options{}, in, out)
	const count = 1000
	for i := range uint64(count) {
		require.NoError(t, client.Send(Bulk, structs.TypeGatewayHeartbeat, structs.GatewayHeartbeat{Seq: i}))
	}
	client.Close("done")
	require.Equal(t, KindClosed, errorKind(t, <-in.closed))
	require.Equal(t, KindPeerClosed, errorKind(t, <-out.closed))
	require.Len(t, out.envelopes, count)
	for i := range uint64(count) {
		var heartbeat structs.GatewayHeartbeat
		require.NoError(t, Decode(<-out.envelopes, &heartbeat))
		require.Equal(t, i, heartbeat.Seq)
	}
	require.Equal(t, KindClosed, errorKind(t, client.Send(Bulk, structs.TypeCancel, structs.Cancel{})))
	require.EqualValues(t, count, client.Stats().EnvelopesOut)
}

// TestReadTimeoutEndsLink guards against a link that stays open to a peer behind a network partition.
func TestReadTimeoutEndsLink(t *testing.T) {
	fault := &Fault{}
	in, out := newRecordingHandler(), newRecordingHandler()
	client, _ := newLinkPair(t, Options{ReadTimeout: 50 * time.Millisecond, Fault: fault}, in, out)
	fault.SetOut(Rule{Cut: true})
	require.NoError(t, client.Send(Urgent, structs.TypeCancel, structs.Cancel{}))
	require.Contains(t, []ErrorKind{KindReadTimeout, KindPeerClosed}, errorKind(t, <-out.closed))
	require.Contains(t, []ErrorKind{KindReadTimeout, KindPeerClosed}, errorKind(t, <-in.closed))
	require.Empty(t, out.envelopes)
}

// TestMalformedMessageEndsLink guards against a reader that continues after a message that it cannot decode.
func TestMalformedMessageEndsLink(t *testing.T) {
	out := newRecordingHandler()
	client, _ := newLinkPair(t, Options{}, newRecordingHandler(), out)
	client.writeMessage([]byte{0xff, 0x00})
	require.Equal(t, KindProtocol, errorKind(t, <-out.closed))
}

// TestFaultDropsAndDelays guards against fault injection that reorders messages or delivers discarded types.
func TestFaultDropsAndDelays(t *testing.T) {
	fault := &Fault{}
	out := newRecordingHandler()
	client, server := newLinkPair(t, Options{Fault: fault}, out, newRecordingHandler())
	fault.SetIn(Rule{
		Delay: time.Millisecond,
		Drop:  func(typ structs.MessageType) bool { return typ == structs.TypeFence },
	})
	require.NoError(t, server.Send(Urgent, structs.TypeFence, structs.Fence{}))
	for i := range uint64(10) {
		require.NoError(t, server.Send(Bulk, structs.TypeGatewayHeartbeat, structs.GatewayHeartbeat{Seq: i}))
	}
	for i := range uint64(10) {
		var heartbeat structs.GatewayHeartbeat
		require.NoError(t, Decode(<-out.envelopes, &heartbeat))
		require.Equal(t, i, heartbeat.Seq)
	}
	client.Close("")
}

// TestLargeMessageIsDelivered guards against a size limit that rejects a result larger than a batch.
func TestLargeMessageIsDelivered(t *testing.T) {
	out := newRecordingHandler()
	client, _ := newLinkPair(t, Options{}, newRecordingHandler(), out)
	document := structs.ConfigDocument{Document: []byte(strings.Repeat("x", 5<<20))}
	require.NoError(t, client.Send(Bulk, structs.TypeConfigDocument, document))
	var got structs.ConfigDocument
	require.NoError(t, Decode(<-out.envelopes, &got))
	require.Equal(t, document, got)
}

// TestLinkOverTLS guards against a TLS configuration that is ignored or that negotiates a protocol without WebSocket
// upgrades (HTTP/2).
func TestLinkOverTLS(t *testing.T) {
	out := newRecordingHandler()
	accepted := make(chan *Link, 1)
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l, err := Accept(w, r, Options{}, out); err == nil {
			accepted <- l
		}
	}))
	defer srv.Close()
	_, err := Dial(context.Background(), srv.URL, Options{}, newRecordingHandler())
	require.Equal(t, KindDial, errorKind(t, err), "the certificate of an unknown authority was accepted")
	trusted := srv.Client().Transport.(*http.Transport).TLSClientConfig
	client, err := Dial(context.Background(), srv.URL, Options{TLS: trusted}, newRecordingHandler())
	require.NoError(t, err)
	require.NoError(t, client.Send(Urgent, structs.TypeCancel, structs.Cancel{Epoch: 7}))
	var got structs.Cancel
	require.NoError(t, Decode(<-out.envelopes, &got))
	require.EqualValues(t, 7, got.Epoch)
	client.Close("")
	<-client.Done()
	<-(<-accepted).Done()
}

// TestQueuesKeepOrderAndLimits guards against urgent messages that wait behind bulk ones, reordering within a class and
// unbounded queues.
func TestQueuesKeepOrderAndLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q classQueues
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
		require.NoError(t, decMode.Unmarshal(appendBatch(nil, batch), &decoded))
		require.Equal(t, batch, decoded)
	})
	var r ringBuffer
	for range QueueLength {
		require.True(t, r.push(structs.Envelope{}))
	}
	require.False(t, r.push(structs.Envelope{}))
}

// BenchmarkLink measures the one-way throughput of start messages over loopback.
func BenchmarkLink(b *testing.B) {
	out := &startCounter{want: b.N, done: make(chan struct{})}
	client, _ := newLinkPair(b, Options{}, newRecordingHandler(), out)
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

// startCounter is a Handler that counts start messages and closes done after the wanted number.
type startCounter struct {
	want int
	got  int
	done chan struct{}
	once sync.Once
}

func (c *startCounter) Receive(_ *Link, envelopes []structs.Envelope) {
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

func (c *startCounter) Closed(*Link, error) {}

// TestOddTextDoesNotInvalidateItsMessage guards against one text that is not valid UTF-8 and for which the receiver drops the whole
// message: with the first message of a link, no link would come up.
func TestOddTextDoesNotInvalidateItsMessage(t *testing.T) {
	body, err := cbor.Marshal(&structs.Resume{
		Gateway: structs.GatewayRef{ID: "g", Incarnation: 1}, GatewayAddresses: []string{"\xff\x00{", "10.0.0.1:7720"}, Revision: 7,
	})
	require.NoError(t, err)
	newMessage := func(structs.MessageType) any { return &structs.Resume{} }
	messages := DecodeBatch([]structs.Envelope{{Type: structs.TypeResume, Body: body}}, newMessage, func(_ structs.MessageType, err error) {
		require.NoError(t, err)
	})
	require.Len(t, messages, 1)
	resume := messages[0].(*structs.Resume)
	require.EqualValues(t, 7, resume.Revision)
	require.Equal(t, "10.0.0.1:7720", resume.GatewayAddresses[1])
}
