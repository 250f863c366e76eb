package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/ownership"
	"rosedrift.example/rosedrift/internal/structs"
)

// Timing of heartbeats to agents and of the detection of lost agents.
const (
	// agentTick is the resolution of heartbeats and of the detection of lost agents. Heartbeats to many agents are
	// distributed over structs.HeartbeatInterval in steps of agentTick.
	agentTick = 50 * time.Millisecond
	// selfPauseThreshold is the gap between two rounds from which this process assumes that it was paused itself. That
	// it received no messages during the pause says nothing about the agents.
	selfPauseThreshold = 500 * time.Millisecond
	// documentResendPause is the least time between two transmissions of one configuration document on a link.
	documentResendPause = time.Second
	// heartbeatHistory is the number of sent heartbeats that are remembered, more than are sent within
	// structs.AckLease.
	heartbeatHistory = 16
)

// sentHeartbeat is a heartbeat that the agent may still acknowledge.
type sentHeartbeat struct {
	seq    uint64
	epoch  structs.Epoch
	sentAt time.Duration
}

// agentConn is the link to one incarnation of an agent. All fields except ref and link are guarded by agents.mu.
type agentConn struct {
	ref   structs.AgentRef
	link  *link.Link
	hello structs.AgentHello
	// pool is empty until the service is configured.
	pool structs.PoolID
	// lastContact is the time of the last hello or heartbeat from the agent, lastAgentSeq the highest sequence number
	// among its heartbeats.
	lastContact  time.Duration
	lastAgentSeq uint64
	// seq is the sequence number of the last heartbeat sent to the agent, lastSent its content. heartbeats is a ring
	// buffer of the latest ones, indexed by seq.
	seq        uint64
	heartbeats [heartbeatHistory]sentHeartbeat
	lastSent   heartbeatState
	lastSentAt time.Duration
	// documentRevision is this gateway's configuration revision when it last sent or requested a document on the link,
	// documentSentAt the time of that.
	documentSentAt   time.Duration
	documentRevision structs.Revision
	// linked is false after the link has closed.
	linked bool
}

// heartbeatState is the part of a heartbeat whose change triggers the next heartbeat at once.
type heartbeatState struct {
	revision structs.Revision
	epoch    structs.Epoch
	detached bool
	// addressVersion is the version of the list of gateway addresses.
	addressVersion uint64
}

// change returns the agent's properties in the form that pool runners receive. The caller holds agents.mu.
func (a *agentConn) change() agentChange {
	return agentChange{conn: a, update: dispatch.AgentUpdate{
		Agent: a.ref, Zone: a.hello.Zone, Server: a.hello.Server, Slots: a.hello.Slots,
		Connections: a.hello.Connections, Leaving: a.hello.Leaving,
	}}
}

// changeOf returns the agent's properties in the form that pool runners receive, and the agent's pool.
func (a *agents) changeOf(conn *agentConn) (agentChange, structs.PoolID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return conn.change(), conn.pool
}

// poolOf returns the pool of an agent, empty until its service is configured.
func (a *agents) poolOf(conn *agentConn) structs.PoolID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return conn.pool
}

// agents tracks the linked agents of all pools, sends them heartbeats and detects unresponsive ones.
type agents struct {
	g      *Gateway
	wakeup chan struct{}

	mu   sync.Mutex
	byID map[structs.AgentID]*agentConn
	// nextTimeout is a lower bound of the time at which the first agent in byID times out.
	nextTimeout time.Duration
}

func newAgents(g *Gateway) *agents {
	return &agents{g: g, wakeup: make(chan struct{}, 1), byID: map[structs.AgentID]*agentConn{}}
}

// wake makes run check at once whether heartbeats have changed.
func (a *agents) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

// run is the loop that sends heartbeats and detects lost agents.
func (a *agents) run(ctx context.Context) error {
	ticker := time.NewTicker(agentTick)
	defer ticker.Stop()
	last := a.g.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.wakeup:
		}
		now := a.g.now()
		if now-last > selfPauseThreshold {
			a.shiftLastContact(now - last)
		}
		last = now
		a.dropUnresponsive(ctx, now)
		a.sendHeartbeats(now)
	}
}

// shiftLastContact moves the last contact of all agents forward by the length of a pause of this process.
func (a *agents) shiftLastContact(pause time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, conn := range a.byID {
		conn.lastContact += pause
	}
}

// dropUnresponsive removes the unresponsive agents and reports them as lost.
func (a *agents) dropUnresponsive(ctx context.Context, now time.Duration) {
	for _, conn := range a.takeUnresponsive(now) {
		a.reportLost(ctx, conn, "silent")
	}
}

// takeUnresponsive removes and returns the agents without contact for more than structs.LostAfter. Before nextTimeout
// it returns at once: contact only moves a timeout to later, and an agent that is added has just had contact.
func (a *agents) takeUnresponsive(now time.Duration) []*agentConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now <= a.nextTimeout {
		return nil
	}
	a.nextTimeout = now + structs.LostAfter
	var lost []*agentConn
	for id, conn := range a.byID {
		if now-conn.lastContact > structs.LostAfter {
			lost = append(lost, conn)
			delete(a.byID, id)
			continue
		}
		a.nextTimeout = min(a.nextTimeout, conn.lastContact+structs.LostAfter)
	}
	return lost
}

// reportLost reports that an incarnation of an agent has ended.
func (a *agents) reportLost(ctx context.Context, conn *agentConn, why string) {
	pool := a.poolOf(conn)
	_ = level.Warn(a.g.logger).Log("msg", "agent lost", "agent", conn.ref, "pool", pool, "why", why)
	conn.link.Abort()
	a.g.config.removeAgent(conn.ref)
	if pool.Service == "" {
		return
	}
	a.g.pools.push(ctx, ownership.AgentLost{Pool: pool, Agent: conn.ref})
	if r := a.g.pools.runner(pool); r != nil {
		r.send(dispatch.AgentLost{Agent: conn.ref})
	}
}

// sendHeartbeats sends the heartbeats that are due or whose content has changed.
func (a *agents) sendHeartbeats(now time.Duration) {
	addresses, version := a.g.peers.addresses()
	revision := a.g.config.revision()
	states := map[structs.PoolID]heartbeatState{}
	var pool structs.PoolID
	var state heartbeatState
	known := false
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, conn := range a.byID {
		// Consecutive agents often belong to the same pool. Hashing the pool's name for every agent and round would
		// cost more than the rest of the loop.
		if !known || conn.pool != pool {
			pool, known = conn.pool, true
			state = a.heartbeatStateOf(states, pool, heartbeatState{revision: revision, addressVersion: version})
		}
		if conn.linked && (now-conn.lastSentAt >= structs.HeartbeatInterval-agentTick/2 || conn.lastSent != state) {
			conn.sendHeartbeat(now, state, addresses)
		}
	}
}

// heartbeatStateOf adds the pool's fields to the heartbeat content for its agents. states caches the results of this
// round.
func (a *agents) heartbeatStateOf(
	states map[structs.PoolID]heartbeatState, pool structs.PoolID, state heartbeatState,
) heartbeatState {
	if known, ok := states[pool]; ok {
		return known
	}
	state.epoch, state.detached = a.g.pools.heartbeatFields(pool)
	states[pool] = state
	return state
}

// sendHeartbeat sends a heartbeat. The caller holds agents.mu.
func (a *agentConn) sendHeartbeat(now time.Duration, state heartbeatState, addresses []string) {
	a.seq++
	a.heartbeats[a.seq%heartbeatHistory] = sentHeartbeat{seq: a.seq, epoch: state.epoch, sentAt: now}
	a.lastSent, a.lastSentAt = state, now
	_ = a.link.Send(link.Control, structs.TypeGatewayHeartbeat, &structs.GatewayHeartbeat{
		Seq: a.seq, EchoSeq: a.lastAgentSeq, Revision: state.revision, Epoch: state.epoch, Detached: state.detached,
		GatewayAddresses: addresses,
	})
}

// register handles an AgentHello. It announces a new agent, a new incarnation, a new link or changed properties.
func (a *agents) register(l *link.Link, hello *structs.AgentHello) *agentConn {
	pool := a.g.config.poolOfAgent(hello.Service, hello.Agent.ID)
	now := a.g.now()
	conn := &agentConn{ref: hello.Agent, link: l, hello: *hello, pool: pool, lastContact: now, linked: true}
	a.mu.Lock()
	old := a.byID[hello.Agent.ID]
	// A hello on the same link reports changed properties; heartbeats continue.
	if old != nil && old.link == l && old.ref == hello.Agent {
		conn.seq, conn.heartbeats, conn.lastAgentSeq, conn.lastSent, conn.lastSentAt =
			old.seq, old.heartbeats, old.lastAgentSeq, old.lastSent, old.lastSentAt
	}
	a.byID[hello.Agent.ID] = conn
	a.mu.Unlock()
	if old != nil && old.link != l {
		old.link.Abort()
	}
	if old != nil && old.ref != hello.Agent {
		a.reportLost(a.g.ctx, old, "replaced by a new incarnation")
	}
	addresses, _ := a.g.peers.addresses()
	_ = l.Send(link.Control, structs.TypeGatewayHello, &structs.GatewayHello{
		Gateway: a.g.self, GatewayAddresses: addresses, Revision: a.g.config.revision(),
	})
	_ = level.Info(a.g.logger).Log("msg", "agent linked", "agent", conn.ref, "zone", hello.Zone, "pool", pool,
		"slots", hello.Slots)
	a.g.config.recordAgent(conn.ref, hello.Revision)
	a.syncDocument(conn, hello.Revision)
	a.announce(conn)
	a.wake()
	return conn
}

// announce reports the agent to the ownership machine and, if this gateway owns the pool, to the pool's runner.
func (a *agents) announce(conn *agentConn) {
	change, pool := a.changeOf(conn)
	if pool.Service == "" {
		return
	}
	a.g.pools.push(a.g.ctx, ownership.AgentLinked{Pool: pool, Agent: conn.ref})
	if r := a.g.pools.runner(pool); r != nil {
		r.send(change)
	}
}

// assignPools assigns pools to the agents whose service has been configured since they linked.
func (a *agents) assignPools() {
	a.mu.Lock()
	var assigned []*agentConn
	for _, conn := range a.byID {
		if conn.pool.Service != "" {
			continue
		}
		conn.pool = a.g.config.poolOfAgent(conn.hello.Service, conn.ref.ID)
		if conn.pool.Service != "" {
			assigned = append(assigned, conn)
		}
	}
	a.mu.Unlock()
	for _, conn := range assigned {
		a.announce(conn)
	}
}

// handleHeartbeat handles an AgentHeartbeat.
func (a *agents) handleHeartbeat(conn *agentConn, h *structs.AgentHeartbeat) {
	now := a.g.now()
	a.mu.Lock()
	conn.lastContact = now
	conn.lastAgentSeq = max(conn.lastAgentSeq, h.Seq)
	acked := conn.heartbeats[h.EchoSeq%heartbeatHistory]
	changed := conn.hello.Leaving != h.Leaving
	conn.hello.Leaving = h.Leaving
	change, pool := conn.change(), conn.pool
	a.mu.Unlock()
	a.g.config.recordAgent(conn.ref, h.Revision)
	a.syncDocument(conn, h.Revision)
	if pool.Service == "" {
		return
	}
	// An agent that has promised a later epoch acknowledges the heartbeat, but not its epoch.
	stale := acked.epoch != 0 && h.Promised > acked.epoch
	if h.EchoSeq > 0 && acked.seq == h.EchoSeq && !stale {
		a.g.pools.push(a.g.ctx, ownership.AgentAck{
			Pool: pool, Agent: conn.ref, Epoch: acked.epoch, SentAt: acked.sentAt,
		})
	}
	if !changed {
		return
	}
	if r := a.g.pools.runner(pool); r != nil {
		r.send(change)
	}
}

// syncDocument sends the configuration document to an agent that has an older one, and requests the document of an
// agent that has a newer one.
func (a *agents) syncDocument(conn *agentConn, revision structs.Revision) {
	own := a.g.config.revision()
	now := a.g.now()
	a.mu.Lock()
	due := conn.documentRevision != own || now-conn.documentSentAt > documentResendPause
	if due && revision != own {
		conn.documentRevision, conn.documentSentAt = own, now
	}
	a.mu.Unlock()
	if due {
		a.g.config.sync(conn.link, revision)
	}
}

// broadcast sends the configuration document to all agents.
func (a *agents) broadcast() {
	a.mu.Lock()
	list := make([]*agentConn, 0, len(a.byID))
	for _, conn := range a.byID {
		list = append(list, conn)
	}
	a.mu.Unlock()
	for _, conn := range list {
		a.syncDocument(conn, 0)
	}
}

// linkClosed handles the end of an agent's link. The agent counts as lost only after structs.LostAfter, since it may
// dial again.
func (a *agents) linkClosed(conn *agentConn) {
	a.mu.Lock()
	current := a.byID[conn.ref.ID]
	if current == nil || current.link != conn.link {
		a.mu.Unlock()
		return
	}
	current.linked = false
	change, pool := current.change(), current.pool
	change.linkDown = true
	a.mu.Unlock()
	if r := a.g.pools.runner(pool); r != nil {
		r.send(change)
	}
}

// send sends a message to an incarnation of an agent, if that is the one registered.
func (a *agents) send(ref structs.AgentRef, class link.Class, typ structs.MessageType, message any) {
	a.mu.Lock()
	conn := a.byID[ref.ID]
	a.mu.Unlock()
	if conn != nil && conn.ref == ref {
		_ = conn.link.Send(class, typ, message)
	}
}

// ofPool returns the linked agents of a pool, sorted by name.
func (a *agents) ofPool(pool structs.PoolID) []agentChange {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []agentChange
	for _, conn := range a.byID {
		if conn.pool == pool && conn.linked {
			list = append(list, conn.change())
		}
	}
	slices.SortFunc(list, func(x, y agentChange) int { return cmp.Compare(x.conn.ref.ID, y.conn.ref.ID) })
	return list
}

// abortLinks closes all links at once and waits until they have ended.
func (a *agents) abortLinks() {
	a.mu.Lock()
	list := make([]*link.Link, 0, len(a.byID))
	for _, conn := range a.byID {
		list = append(list, conn.link)
	}
	a.mu.Unlock()
	for _, l := range list {
		l.Abort()
		<-l.Done()
	}
}
