package gateway_test

import (
	"context"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
)

// fakeAgent speaks the link protocol and finishes each task at once with its payload as the result.
type fakeAgent struct {
	mu         sync.Mutex
	ref        structs.AgentRef
	promised   structs.Epoch
	revision   structs.Revision
	heartbeats uint64
	started    map[structs.JobID]int
	// mute suppresses replies to heartbeats. All other messages are answered.
	mute bool
}

// fakeAgent starts an agent of the service lending that is linked to the given gateways.
func (s *testCluster) fakeAgent(id string, nodes ...*node) *fakeAgent {
	a := &fakeAgent{
		ref:     structs.AgentRef{ID: structs.AgentID(id), Incarnation: 1},
		started: map[structs.JobID]int{},
	}
	for _, g := range nodes {
		l, err := link.Dial(context.Background(), "ws://"+g.link+link.PathAgent, link.Options{}, a)
		require.NoError(s.t, err)
		s.t.Cleanup(func() {
			l.Abort()
			<-l.Done()
		})
		require.NoError(s.t, l.Send(link.Control, structs.TypeAgentHello, &structs.AgentHello{
			Agent: a.ref, Zone: "catania", Service: "lending", Server: id, Slots: 8, Connections: 64,
		}))
	}
	return a
}

// startsOf returns how many tasks of a job have been started on this agent.
func (a *fakeAgent) startsOf(job structs.JobID) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.started[job]
}

func (a *fakeAgent) Closed(*link.Link, error) {}

func (a *fakeAgent) Receive(l *link.Link, envelopes []structs.Envelope) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range envelopes {
		switch e.Type {
		case structs.TypeGatewayHeartbeat:
			var m structs.GatewayHeartbeat
			_ = link.Decode(e, &m)
			if a.mute {
				continue
			}
			a.heartbeats++
			_ = l.Send(link.Control, structs.TypeAgentHeartbeat, &structs.AgentHeartbeat{
				Revision: a.revision, Promised: a.promised, Seq: a.heartbeats, EchoSeq: m.Seq,
			})
		case structs.TypeConfigDocument:
			var m structs.ConfigDocument
			_ = link.Decode(e, &m)
			a.revision = m.Revision
		case structs.TypeFence:
			var m structs.Fence
			_ = link.Decode(e, &m)
			a.promised = max(a.promised, m.Epoch)
			_ = l.Send(link.Control, structs.TypeFenceReply, &structs.FenceReply{
				Pool: m.Pool, Epoch: m.Epoch, Promised: a.promised,
			})
		case structs.TypeStart:
			var m structs.Start
			_ = link.Decode(e, &m)
			a.run(l, &m)
		default:
		}
	}
}

func (a *fakeAgent) run(l *link.Link, m *structs.Start) {
	events := make([]structs.TaskEvent, len(m.Tasks))
	for i, task := range m.Tasks {
		a.started[task.Task.Job]++
		events[i] = structs.TaskEvent{
			Task: task.Task, Kind: structs.TaskFinished, RunTime: time.Microsecond, Result: task.Payload,
		}
	}
	_ = l.Send(link.Urgent, structs.TypeTaskEvents, &structs.TaskEvents{Epoch: m.Epoch, Events: events})
}
