package agent

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/standin"
	"rosedrift.example/rosedrift/internal/structs"
)

// childGateway is an environment variable. If it is set, the test binary runs an agent that links with the gateway at
// that address.
const childGateway = "ROSEDRIFT_TEST_GATEWAY"

func TestMain(m *testing.M) {
	if address := os.Getenv(childGateway); address != "" {
		runChild(address)
		return
	}
	goleak.VerifyTestMain(m)
}

// runChild prints the address of an agent and runs it until SIGTERM.
func runChild(gateway string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	options := ProcessOptions{Listen: "127.0.0.1:0", Gateways: []string{gateway}}
	options.Self, options.Zone = testSelf, testZone
	a, err := NewAgent(options)
	if err != nil {
		panic(err)
	}
	fmt.Println(a.Address())
	if err := a.Run(ctx); err != nil {
		panic(err)
	}
}

// fakeGateway accepts links and answers heartbeats. It passes task events and other messages of the agent to channels.
type fakeGateway struct {
	t                *testing.T
	server           *httptest.Server
	events           chan structs.TaskEvent
	others           chan any
	mu               sync.Mutex
	link             *link.Link
	epoch            structs.Epoch
	withholdEchoes   bool
	gatewayAddresses []string
	links            int
	leaving          bool
	lastSeq          uint64
	group            sync.WaitGroup
}

func newFakeGateway(t *testing.T) *fakeGateway {
	g := &fakeGateway{t: t, events: make(chan structs.TaskEvent, 10_000), others: make(chan any, 10_000), epoch: 1}
	mux := http.NewServeMux()
	mux.HandleFunc(link.PathAgent, func(w http.ResponseWriter, r *http.Request) {
		g.group.Add(1)
		if _, err := link.Accept(w, r, link.Options{}, g); err != nil {
			g.group.Done()
		}
	})
	g.server = httptest.NewServer(mux)
	t.Cleanup(func() {
		g.server.Close()
		g.group.Wait()
	})
	return g
}

func (g *fakeGateway) address() string { return strings.TrimPrefix(g.server.URL, "http://") }

// Receive implements link.Handler.
func (g *fakeGateway) Receive(l *link.Link, envelopes []structs.Envelope) {
	for _, e := range envelopes {
		switch e.Type {
		case structs.TypeAgentHello:
			g.hello(l)
		case structs.TypeAgentHeartbeat:
			g.echo(l, e)
		case structs.TypeTaskEvents:
			var message structs.TaskEvents
			_ = link.Decode(e, &message)
			for _, event := range message.Events {
				g.events <- event
			}
		case structs.TypeConfigDocument:
			message := new(structs.ConfigDocument)
			_ = link.Decode(e, message)
			g.others <- message
		case structs.TypeFenceReply:
			message := new(structs.FenceReply)
			_ = link.Decode(e, message)
			g.others <- message
		default:
		}
	}
}

// hello answers the agent's first message, announces that the gateway owns the pool, and closes an older link.
func (g *fakeGateway) hello(l *link.Link) {
	g.mu.Lock()
	old := g.link
	g.link = l
	g.links++
	hello := structs.GatewayHello{Gateway: structs.GatewayRef{ID: "g1", Incarnation: 1}, GatewayAddresses: g.gatewayAddresses}
	g.mu.Unlock()
	if old != nil && old != l {
		old.Close("replaced")
	}
	_ = l.Send(link.Control, structs.TypeGatewayHello, hello)
	_ = l.Send(link.Control, structs.TypeFence, structs.Fence{Pool: testPool, Epoch: g.epoch})
	_ = l.Send(link.Control, structs.TypeGatewayHeartbeat, structs.GatewayHeartbeat{Epoch: g.epoch})
}

// echo answers each heartbeat after 20 ms. Since the agent answers in turn, this keeps its last contact recent.
func (g *fakeGateway) echo(l *link.Link, e structs.Envelope) {
	var heartbeat structs.AgentHeartbeat
	_ = link.Decode(e, &heartbeat)
	g.mu.Lock()
	g.leaving = heartbeat.Leaving
	g.lastSeq = heartbeat.Seq
	withholdEchoes, epoch := g.withholdEchoes, g.epoch
	g.mu.Unlock()
	if withholdEchoes {
		return
	}
	time.AfterFunc(20*time.Millisecond, func() {
		_ = l.Send(link.Control, structs.TypeGatewayHeartbeat, structs.GatewayHeartbeat{
			Seq: heartbeat.Seq, EchoSeq: heartbeat.Seq, Epoch: epoch,
		})
	})
}

// Closed implements link.Handler.
func (g *fakeGateway) Closed(l *link.Link, _ error) {
	defer g.group.Done()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.link == l {
		g.link = nil
	}
}

func (g *fakeGateway) send(typ structs.MessageType, message any) {
	g.mu.Lock()
	l := g.link
	g.mu.Unlock()
	require.NotNil(g.t, l)
	require.NoError(g.t, l.Send(link.Urgent, typ, message))
}

// start sends a start of one task under epoch 1.
func (g *fakeGateway) start(task structs.TaskRef, payload string) {
	g.send(structs.TypeStart, structs.Start{Epoch: 1, Tasks: []structs.TaskStart{{
		Task: task, Priority: structs.Urgent, Kind: "bake", Payload: []byte(payload),
	}}})
}

// runToEnd starts a task, again after each refusal, and returns its terminal event.
func (g *fakeGateway) runToEnd(task structs.TaskRef, payload string) structs.TaskEvent {
	for {
		g.start(task, payload)
		event := <-g.events
		require.Equal(g.t, task, event.Task)
		if event.Kind != structs.TaskRefused {
			return event
		}
		time.Sleep(10 * time.Millisecond)
	}
}

type testAgent struct {
	*Agent
	stop context.CancelFunc
	done chan error
}

// runTestAgent runs an agent until the end of the test.
func runTestAgent(t *testing.T, options ProcessOptions) *testAgent {
	options.Self, options.Zone, options.Listen = testSelf, testZone, "127.0.0.1:0"
	a, err := NewAgent(options)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	running := &testAgent{Agent: a, stop: stop, done: make(chan error, 1)}
	go func() { running.done <- a.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-a.loopDone
		a.gateways.group.Wait()
	})
	return running
}

func runTestBackend(t *testing.T, a *testAgent) *standin.Backend {
	return runBackendAt(t, a.Address())
}

// runBackendAt runs a stand-in backend server that announces itself to the agent at an address.
func runBackendAt(t *testing.T, agent string) *standin.Backend {
	b, err := standin.NewBackend(standin.BackendOptions{
		Name: "oven", Service: testService, Address: "127.0.0.1:0", Agent: agent, Slots: testSlots, Connections: 64,
	})
	require.NoError(t, err)
	return b
}

// waitLinked waits until the agent is linked and its backend server is not leaving.
func waitLinked(t *testing.T, g *fakeGateway) {
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.link != nil && !g.leaving
	}, time.Minute, time.Millisecond)
}

// TestAgentRunsTasksAndStopsGracefully guards against results of another task, more running tasks than slots, and
// requests that are aborted by a graceful shutdown.
func TestAgentRunsTasksAndStopsGracefully(t *testing.T) {
	g := newFakeGateway(t)
	a := runTestAgent(t, ProcessOptions{Gateways: []string{g.address()}})
	b := runTestBackend(t, a)
	defer b.Kill()
	waitLinked(t, g)
	for i := range 50 {
		task, payload := testTask(1, i), `{"run_ms":1,"echo":"`+strconv.Itoa(i)+`"}`
		event := g.runToEnd(task, payload)
		require.Equal(t, structs.TaskFinished, event.Kind, event.Error)
		err := standin.VerifyBackendResult(event.Result, task.Job.String(), strconv.Itoa(i), []byte(payload))
		require.NoError(t, err)
	}
	for i := range testSlots + 1 {
		g.start(testTask(2, i), `{"run_ms":300}`)
	}
	require.Eventually(t, func() bool { return b.Stats().Running == testSlots }, time.Minute, time.Millisecond)
	a.stop()
	require.NoError(t, <-a.done)
	kinds := map[structs.TaskEventKind]int{}
	for range testSlots + 1 {
		kinds[(<-g.events).Kind]++
	}
	require.Equal(t, map[structs.TaskEventKind]int{structs.TaskFinished: testSlots, structs.TaskWithdrawn: 1}, kinds)
	stats := b.Stats()
	require.EqualValues(t, 50+testSlots, stats.Started)
	require.Zero(t, stats.SlotViolations+stats.ConnectionOverruns+stats.Aborted)
}

// TestAgentHandlesBackendFaults guards against three faults: a response of another task is accepted, an aborted task
// keeps its slot, and a task fails, instead of being refused, because the backend server is down.
func TestAgentHandlesBackendFaults(t *testing.T) {
	g := newFakeGateway(t)
	a := runTestAgent(t, ProcessOptions{Gateways: []string{g.address()}})
	b := runTestBackend(t, a)
	waitLinked(t, g)
	require.Equal(t, structs.TaskFinished, g.runToEnd(testTask(1, 0), `{}`).Kind)
	b.SetFaults(standin.BackendFaults{AnswerWrong: true})
	event := g.runToEnd(testTask(1, 1), `{}`)
	require.Equal(t, structs.TaskFailed, event.Kind)
	require.Contains(t, event.Error, "the answer is that of task")

	b.SetFaults(standin.BackendFaults{Hang: true})
	for i := range testSlots {
		g.start(testTask(2, i), `{}`)
	}
	require.Eventually(t, func() bool { return b.Stats().Running == testSlots }, time.Minute, time.Millisecond)
	g.send(structs.TypeCancel, structs.Cancel{Epoch: 1, Job: testTask(2, 0).Job})
	for range testSlots {
		require.Equal(t, structs.TaskAborted, (<-g.events).Kind)
	}
	require.Eventually(t, func() bool { return b.Stats().Aborted == testSlots }, time.Minute, time.Millisecond)

	b.Kill()
	a.closeClient()
	g.start(testTask(3, 0), `{}`)
	event = <-g.events
	require.Equal(t, structs.TaskRefused, event.Kind)
	restarted := runTestBackend(t, a)
	defer restarted.Kill()
	require.Equal(t, structs.TaskFinished, g.runToEnd(testTask(3, 0), `{}`).Kind)
}

// TestAgentStartsNothingWithoutEchoedHeartbeats guards against starts after heartbeats that were sent long ago and
// waited in a socket. Only a heartbeat that echoes a recent one of the agent counts as contact.
func TestAgentStartsNothingWithoutEchoedHeartbeats(t *testing.T) {
	g := newFakeGateway(t)
	a := runTestAgent(t, ProcessOptions{Gateways: []string{g.address()}})
	b := runTestBackend(t, a)
	defer b.Kill()
	waitLinked(t, g)
	require.Equal(t, structs.TaskFinished, g.runToEnd(testTask(1, 0), `{}`).Kind)
	g.mu.Lock()
	g.withholdEchoes = true
	g.mu.Unlock()
	for i := 1; ; i++ {
		g.send(structs.TypeGatewayHeartbeat, structs.GatewayHeartbeat{Seq: uint64(1000 + i), Epoch: 1, EchoSeq: 1})
		g.start(testTask(1, i), `{}`)
		if event := <-g.events; event.Kind == structs.TaskRefused {
			require.Equal(t, "no fresh heartbeat from a gateway", event.Error)
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	started := b.Stats().Started
	client := newBackendClient(b.Address(), 1, a.mayStart)
	defer client.close()
	for _, payload := range []string{"", "{}", strings.Repeat(" ", 1<<20) + "{}"} {
		task := structs.TaskStart{Task: testTask(9, 0), Payload: []byte(payload)}
		require.Equal(t, structs.TaskRefused, client.run(context.Background(), &task, 1).Kind)
	}
	require.Equal(t, started, b.Stats().Started)
}

// TestPausedProcessStartsNothing guards against starts by a process that was paused for longer than
// AgentContactTimeout. When it continues, it finds heartbeats, starts and ends of tasks waiting in its sockets.
func TestPausedProcessStartsNothing(t *testing.T) {
	g := newFakeGateway(t)
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childGateway+"="+g.address())
	out, err := child.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, child.Start())
	defer func() {
		require.NoError(t, child.Process.Signal(syscall.SIGTERM))
		require.NoError(t, child.Wait())
	}()
	address, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	b := runBackendAt(t, strings.TrimSpace(address))
	defer b.Kill()
	waitLinked(t, g)
	require.Equal(t, structs.TaskFinished, g.runToEnd(testTask(1, 0), `{}`).Kind)
	for i := range testSlots + 1 {
		g.start(testTask(2, i), `{"run_ms":300}`)
	}
	require.Eventually(t, func() bool { return b.Stats().Running == testSlots }, time.Minute, time.Millisecond)
	g.mu.Lock()
	g.withholdEchoes = true
	g.mu.Unlock()
	require.NoError(t, child.Process.Signal(syscall.SIGSTOP))
	time.Sleep(structs.AgentContactTimeout + 100*time.Millisecond)
	g.mu.Lock()
	last := g.lastSeq
	g.mu.Unlock()
	g.send(structs.TypeGatewayHeartbeat, structs.GatewayHeartbeat{Seq: last, EchoSeq: last, Epoch: 1})
	g.start(testTask(3, 0), `{}`)
	require.NoError(t, child.Process.Signal(syscall.SIGCONT))
	for range testSlots + 2 {
		event := <-g.events
		if finished := event.Task.Job == testTask(2, 0).Job && event.Task.Index < testSlots; finished {
			require.Equal(t, structs.TaskFinished, event.Kind)
			continue
		}
		require.Equal(t, structs.TaskRefused, event.Kind)
	}
	require.EqualValues(t, 1+testSlots, b.Stats().Started)
}

// TestRefusedTaskNeverReachesServer guards against a request that is aborted, reported as not started, and sent to the
// server after that.
func TestRefusedTaskNeverReachesServer(t *testing.T) {
	b, err := standin.NewBackend(standin.BackendOptions{Address: "127.0.0.1:0", Slots: 64, Connections: 64})
	require.NoError(t, err)
	defer b.Kill()
	refused := map[string]bool{}
	for i := range 50 {
		ctx, cancel := context.WithCancel(context.Background())
		client := newBackendClient(b.Address(), 1, func() bool {
			cancel()
			return true
		})
		task := structs.TaskStart{Task: testTask(1, i), Payload: []byte(`{}`)}
		refused[strconv.Itoa(i)] = client.run(ctx, &task, 1<<20).Kind == structs.TaskRefused
		client.close()
		cancel()
	}
	for _, start := range b.Starts(0) {
		require.False(t, refused[start.Task], "task %s was reported as not started", start.Task)
	}

	g := &sendGuard{mayStart: func() bool { return true }}
	require.True(t, g.cancel())
	require.False(t, g.permit(), "a request was sent after it was reported as not sent")
	g = &sendGuard{mayStart: func() bool { return true }}
	require.True(t, g.permit())
	require.False(t, g.cancel(), "a request that was sent was reported as not sent")
}

// TestAgentKeepsOneLinkPerGateway guards against two links with one gateway that replace each other endlessly, against
// a configuration document that the agent does not relay to a gateway that requests it, and against a result that is
// lost with a broken link.
func TestAgentKeepsOneLinkPerGateway(t *testing.T) {
	g := newFakeGateway(t)
	g.gatewayAddresses = []string{g.address(), strings.Replace(g.address(), "127.0.0.1", "localhost", 1)}
	a := runTestAgent(t, ProcessOptions{Gateways: []string{g.address()}})
	b := runTestBackend(t, a)
	defer b.Kill()
	waitLinked(t, g)
	require.Eventually(t, func() bool {
		a.gateways.mu.Lock()
		defer a.gateways.mu.Unlock()
		return len(a.gateways.gatewayAt) == 2 && len(a.gateways.links) == 1
	}, time.Minute, time.Millisecond)
	document := testDocument(t, 7, false, false)
	g.send(structs.TypeConfigDocument, document)
	g.send(structs.TypeConfigRequest, structs.ConfigRequest{})
	for message := range g.others {
		if relayed, ok := message.(*structs.ConfigDocument); ok {
			require.Equal(t, document, relayed)
			break
		}
	}
	g.start(testTask(1, 0), `{"run_ms":50}`)
	require.Eventually(t, func() bool { return b.Stats().Running == 1 }, time.Minute, time.Millisecond)
	g.mu.Lock()
	broken, links := g.link, g.links
	g.mu.Unlock()
	broken.Abort()
	require.Equal(t, structs.TaskFinished, (<-g.events).Kind)
	g.mu.Lock()
	defer g.mu.Unlock()
	require.Less(t, g.links, links+3, "links replace each other endlessly")
}

// TestAnnounceRejectsFaults guards against malformed announcements that are accepted, and against an agent that serves
// two services.
func TestAnnounceRejectsFaults(t *testing.T) {
	a := runTestAgent(t, ProcessOptions{})
	post := func(body string) int {
		response, err := http.Post("http://"+a.Address()+"/v1/announce", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	require.Equal(t, http.StatusBadRequest, post(`{"service":"x"}`))
	require.Equal(t, http.StatusBadRequest, post(`{`))
	valid := `{"service":"lending","address":"127.0.0.1:1","slots":8,"connections":64,"name":"oven"}`
	require.Equal(t, http.StatusNoContent, post(valid))
	require.Equal(t, http.StatusConflict, post(strings.Replace(valid, "lending", "orders", 1)))
	http.DefaultClient.CloseIdleConnections()
}
