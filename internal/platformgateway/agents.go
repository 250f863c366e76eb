package platformgateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/schedule"
	"rosedrift.example/rosedrift/internal/structs"
)

// agents holds the links with agents.
type agents struct {
	gateway *Gateway

	// mu guards the fields below.
	mu    sync.Mutex
	conns map[structs.AgentID]*conn
}

// conn is one link with an agent. Its fields belong to the loop once the agent has named itself.
type conn struct {
	agents  *agents
	link    *link.Link
	agent   structs.AgentRef
	states  structs.StateExchange
	dropped bool
}

func (a *agents) accept(w http.ResponseWriter, r *http.Request) {
	c := &conn{agents: a}
	accepted, err := link.Accept(w, r, link.Options{ReadTimeout: structs.LinkTimeout}, c)
	if err != nil {
		_ = level.Info(a.gateway.logger).Log("msg", "link refused", "peer", r.RemoteAddr, "err", err)
		return
	}
	<-accepted.Done()
}

// Receive implements link.Handler.
func (c *conn) Receive(l *link.Link, envelopes []structs.Envelope) {
	messages := link.DecodeBatch(envelopes, newMessage, func(typ structs.MessageType, err error) {
		_ = level.Warn(c.agents.gateway.logger).Log("msg", "message not understood", "type", typ, "err", err)
	})
	c.agents.gateway.loop.Post(func(now time.Duration) {
		c.link = l
		for _, message := range messages {
			c.handle(now, message)
		}
	})
}

// newMessage returns an empty message of a type, nil for one that gateways do not take.
func newMessage(typ structs.MessageType) any {
	switch typ {
	case structs.TypeServerReport:
		return &structs.ServerReport{}
	case structs.TypeResourceReport:
		return &structs.ResourceReport{}
	case structs.TypePlacementEvents:
		return &structs.PlacementEvents{}
	case structs.TypeOperatorState:
		return &structs.OperatorState{}
	case structs.TypeHeartbeat:
		return &structs.Heartbeat{}
	default:
		return nil
	}
}

// handle passes a message to the scheduler. It runs in the loop.
func (c *conn) handle(now time.Duration, message any) {
	g := c.agents.gateway
	if c.dropped {
		return
	}
	if report, ok := message.(*structs.ServerReport); ok {
		c.register(now, report)
		g.scheduler.HandleServerReport(now, c.agent.ID, report)
		c.compare(report.Revision)
		return
	}
	if c.agents.find(c.agent.ID) != c {
		return // an older link of an agent that has dialed again
	}
	switch m := message.(type) {
	case *structs.ResourceReport:
		g.scheduler.HandleResourceReport(now, c.agent.ID, m)
	case *structs.PlacementEvents:
		g.scheduler.HandlePlacementEvents(now, c.agent.ID, m)
	case *structs.OperatorState:
		c.states.Received(m.Revision)
		g.operator.learn(now, m, "agent "+string(c.agent.ID))
	case *structs.Heartbeat:
		c.compare(m.Revision)
	}
}

// register begins a link when the agent names itself for the first time.
func (c *conn) register(now time.Duration, report *structs.ServerReport) {
	if c.agent == report.Agent {
		return
	}
	c.agent = report.Agent
	a := c.agents
	a.mu.Lock()
	old := a.conns[c.agent.ID]
	a.conns[c.agent.ID] = c
	a.mu.Unlock()
	if old != nil && old != c {
		old.link.Abort()
	}
	_ = level.Info(a.gateway.logger).Log("msg", "agent linked", "agent", c.agent, "server", report.Server, "zone", report.Zone)
	a.gateway.scheduler.Linked(now, c.agent.ID)
}

// compare sends the operator state to an agent that knows an older one. It runs in the loop.
func (c *conn) compare(revision uint64) {
	state := c.agents.gateway.operator.state
	if c.states.ShouldSend(state.Revision, revision) {
		_ = c.link.Send(link.Control, structs.TypeOperatorState, &state) // a link that fails ends, and the next one compares
	}
}

// Closed implements link.Handler.
func (c *conn) Closed(_ *link.Link, err error) {
	c.agents.gateway.loop.Post(func(now time.Duration) {
		a := c.agents
		if a.find(c.agent.ID) != c {
			return
		}
		a.mu.Lock()
		delete(a.conns, c.agent.ID)
		a.mu.Unlock()
		_ = level.Info(a.gateway.logger).Log("msg", "agent link ended", "agent", c.agent, "err", err)
		a.gateway.scheduler.Unlinked(now, c.agent.ID)
	})
}

func (a *agents) find(id structs.AgentID) *conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conns[id]
}

// send sends a message of the scheduler. A message that the link does not take is lost with the link, and the next
// Resume tells the agent.
func (a *agents) send(action schedule.Send) {
	c := a.find(action.Agent)
	if c == nil {
		return
	}
	if err := c.link.Send(link.Urgent, action.Type, action.Message); err != nil {
		_ = level.Info(a.gateway.logger).Log("msg", "message not sent", "agent", action.Agent, "err", err)
		c.link.Abort()
	}
}

// drop ends the link with an agent without its queued messages. The agent dials a new one.
func (a *agents) drop(id structs.AgentID) {
	c := a.find(id)
	if c == nil {
		return
	}
	a.mu.Lock()
	delete(a.conns, id)
	a.mu.Unlock()
	c.dropped = true
	c.link.Abort()
}

// broadcast sends the operator state to all agents that know an older one. It runs in the loop.
func (a *agents) broadcast() {
	a.mu.Lock()
	conns := make([]*conn, 0, len(a.conns))
	for _, c := range a.conns {
		conns = append(conns, c)
	}
	a.mu.Unlock()
	for _, c := range conns {
		c.compare(0)
	}
}

func (a *agents) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		c.link.Close("gateway stops")
	}
}
