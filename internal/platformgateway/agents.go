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

// agentLinks holds the links with agents.
type agentLinks struct {
	gateway *Gateway

	// mu guards the fields below.
	mu    sync.Mutex
	conns map[structs.AgentID]*conn
}

// conn is one link with an agent. After the agent has identified itself, its fields may only be used in the event
// loop.
type conn struct {
	agents        *agentLinks
	link          *link.Link
	agent         structs.AgentRef
	stateExchange structs.StateExchange
	dropped       bool // set by closeLink; later messages are ignored
}

// accept establishes a link and returns when it has ended.
func (a *agentLinks) accept(w http.ResponseWriter, r *http.Request) {
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
		_ = level.Warn(c.agents.gateway.logger).Log("msg", "malformed message ignored", "type", typ, "err", err)
	})
	c.agents.gateway.loop.Post(func(now time.Duration) {
		c.link = l
		for _, message := range messages {
			c.handle(now, message)
		}
	})
}

// newMessage returns an empty message of the given type, or nil for types that gateways do not receive.
func newMessage(typ structs.MessageType) any {
	switch typ {
	case structs.TypeServerReport:
		return &structs.ServerReport{}
	case structs.TypeResourceReport:
		return &structs.ResourceReport{}
	case structs.TypeServerHealth:
		return &structs.ServerHealth{}
	case structs.TypeCrashReport:
		return &structs.CrashReport{}
	case structs.TypeQuarantine:
		return &structs.Quarantine{}
	case structs.TypeFeatures:
		return &structs.Features{}
	case structs.TypeZonesOut:
		return &structs.ZonesOut{}
	case structs.TypeJobsCancelled:
		return &structs.JobsCancelled{}
	case structs.TypeJobClaimAnswers:
		return &structs.JobClaimAnswers{}
	case structs.TypeRackDemandTotal:
		return &structs.RackDemandTotal{}
	case structs.TypePlacementEvents:
		return &structs.PlacementEvents{}
	case structs.TypeLivenessProbe:
		return &structs.LivenessProbe{}
	case structs.TypeCallsUnsettled:
		return &structs.CallsUnsettled{}
	case structs.TypeOperatorState:
		return &structs.OperatorState{}
	case structs.TypeHeartbeat:
		return &structs.Heartbeat{}
	default:
		return nil
	}
}

// handle passes a message to the scheduler. It runs in the event loop.
func (c *conn) handle(now time.Duration, message any) {
	g := c.agents.gateway
	if c.dropped {
		return
	}
	if report, ok := message.(*structs.ServerReport); ok {
		c.register(now, report)
		g.scheduler.HandleServerReport(now, c.agent.ID, report)
		c.sendNewerState(report.Revision)
		return
	}
	if c.agents.find(c.agent.ID) != c {
		return // the agent has established a newer link
	}
	switch m := message.(type) {
	case *structs.ResourceReport:
		g.scheduler.HandleResourceReport(now, c.agent.ID, m)
	case *structs.ServerHealth:
		g.scheduler.HandleServerHealth(now, c.agent.ID, m)
	case *structs.CrashReport:
		g.scheduler.HandleCrashReport(now, c.agent.ID, m)
	case *structs.Features:
		g.scheduler.HandleFeatures(now, c.agent.ID, m)
	case *structs.Quarantine:
		g.scheduler.HandleQuarantine(now, m)
	case *structs.RackDemandTotal:
		g.scheduler.HandleRackDemandTotal(now, c.agent.ID, m)
	case *structs.PlacementEvents:
		g.scheduler.HandlePlacementEvents(now, c.agent.ID, m)
	case *structs.JobsCancelled:
		g.scheduler.HandleJobsCancelled(now, c.agent.ID, m)
	case *structs.JobClaimAnswers:
		g.scheduler.HandleJobClaimAnswers(now, c.agent.ID, m)
	case *structs.LivenessProbe:
		g.scheduler.HandleLivenessProbe(now, c.agent.ID, m)
	case *structs.CallsUnsettled:
		g.scheduler.HandleCallsUnsettled(now, c.agent.ID, m)
	case *structs.ZonesOut:
		g.scheduler.HandleZonesOut(now, c.agent.ID, m)
	case *structs.OperatorState:
		c.stateExchange.Received(m.Revision)
		g.operator.applyState(now, m, "agent "+string(c.agent.ID))
	case *structs.Heartbeat:
		c.sendNewerState(m.Revision)
	}
}

// register registers a link at the agent's first report, which names the agent. An older link with the agent is
// closed.
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

// sendNewerState sends the operator state to an agent that knows an older revision. It runs in the event loop.
func (c *conn) sendNewerState(revision uint64) {
	g := c.agents.gateway
	state := g.operator.state
	if c.stateExchange.ShouldSend(state.Revision, revision) {
		if !structs.KeepsState(g.options.Self.ID, c.agent.ID, c.agents.count()) {
			state.Routing = nil
		}
		// A failed link is closed, and the next one compares the revisions again.
		_ = c.link.Send(link.Control, structs.TypeOperatorState, &state)
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
		_ = level.Info(a.gateway.logger).Log("msg", "link to agent closed", "agent", c.agent, "err", err)
		a.gateway.scheduler.Unlinked(now, c.agent.ID)
	})
}

func (a *agentLinks) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

func (a *agentLinks) find(id structs.AgentID) *conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conns[id]
}

// send sends a message of the scheduler. If the link does not accept it, the link is closed, and the Resume on the
// next link tells the agent what it missed.
func (a *agentLinks) send(action schedule.Send) {
	c := a.find(action.Agent)
	if c == nil {
		return
	}
	if err := c.link.Send(link.Urgent, action.Type, action.Message); err != nil {
		_ = level.Info(a.gateway.logger).Log("msg", "sending a message failed", "agent", action.Agent, "err", err)
		c.link.Abort()
	}
}

// closeLink closes the link with an agent and discards its queued messages. The agent establishes a new one.
func (a *agentLinks) closeLink(id structs.AgentID) {
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

// broadcastState sends the operator state to all agents that know an older revision. It runs in the event loop.
func (a *agentLinks) broadcastState() {
	a.mu.Lock()
	conns := make([]*conn, 0, len(a.conns))
	for _, c := range a.conns {
		conns = append(conns, c)
	}
	a.mu.Unlock()
	for _, c := range conns {
		c.sendNewerState(0)
	}
}

func (a *agentLinks) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		c.link.Close("gateway stops")
	}
}
