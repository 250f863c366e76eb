package platformagent

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/supervisor"
	"rosedrift.example/rosedrift/platform"
)

// Timeouts and intervals of the links with gateways.
const (
	// dialTimeout bounds a dial, which takes three round trips of a few ms. A VM that is switched off does not answer
	// at all, and a longer dial would delay the first link after it is back.
	dialTimeout = 200 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the exponential backoff between dials of a gateway that does not answer.
	minRedialDelay = 30 * time.Millisecond
	maxRedialDelay = 240 * time.Millisecond
	// A gateway that has never answered in maxFreshDials dials, about 15 s, is dialed every deadRedialDelay: its address may be
	// another writer's. maxDials bounds the dials at the same time.
	maxFreshDials   = 40
	deadRedialDelay = 2 * time.Second
	maxDials        = 64
	// memberCheckInterval is the time between two checks for gateways without a link.
	memberCheckInterval = 50 * time.Millisecond
	// storeReadInterval is the time between reads of the list of gateways in the store while no gateway is linked. With
	// this interval all agents of the design size together stay within the 2,000 reads a second that the platform
	// allows.
	storeReadInterval = 600 * time.Millisecond
	// storeTimeout bounds a call to the store, which usually answers in a few ms.
	storeTimeout = 600 * time.Millisecond
	// memberRetention is how long a gateway without a link is dialed after it was last listed. It covers the case that
	// the store has dropped the lease of a gateway that still runs.
	memberRetention = 20 * time.Second
)

// links keeps a link with each known gateway.
type links struct {
	agent *Agent
	store *platform.StoreClient

	// mu guards the fields below.
	mu      sync.Mutex
	members map[string]*member
	// closing is set by closeAll: no more gateways are dialed.
	closing bool
}

// member is the gateway at one link address.
type member struct {
	address string
	// lastSeen is when the gateway was last listed or linked. Gateways send their list only when it changes, so a
	// linked gateway counts as seen.
	lastSeen    time.Time
	dialing     bool
	redialDelay time.Duration
	nextDial    time.Time
	// failures counts the dials since the last message of the gateway, linked is set by its first one.
	failures int
	linked   bool
	conn     *conn
}

// conn is one link and handles its messages.
type conn struct {
	links         *links
	member        *member
	dialedAt      time.Duration      // by the event loop's clock
	gateway       structs.GatewayRef // zero before Resume; guarded by links.mu
	link          *link.Link
	closed        bool                  // guarded by links.mu
	dropped       bool                  // set by closeLink: later messages are ignored; used in the event loop only
	stateExchange structs.StateExchange // used in the event loop only
	// gatewayRevision is the revision of the gateway's operator state as last heard. stateDue is set while the agent's
	// newer state waits to be sent. Both are used in the event loop only.
	gatewayRevision uint64
	stateDue        bool
}

func newLinks(a *Agent) *links {
	l := &links{
		agent: a, members: map[string]*member{},
		store: platform.NewStoreClient("http://"+a.options.Settings.StoreAddress, storeTimeout, nil),
	}
	l.addMembers(a.options.Settings.Seeds)
	return l
}

// addMembers adds gateways by their addresses, and marks known ones as seen. Texts that are no address are left out. If
// platform.MaxGateways are known, a new one takes the place of one that has never answered.
func (l *links) addMembers(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range addresses {
		m := l.members[address]
		if m == nil {
			if _, err := platform.ParseGatewayAddress(address); err != nil || !l.makeRoom() {
				continue
			}
			m = &member{address: address, redialDelay: minRedialDelay}
			l.members[address] = m
		}
		m.lastSeen = time.Now()
	}
}

// makeRoom reports whether another gateway may be added. If too many are known, it forgets one that has never answered. The
// caller holds l.mu.
func (l *links) makeRoom() bool {
	if len(l.members) < platform.MaxGateways {
		return true
	}
	for address, m := range l.members {
		if !m.linked && m.conn == nil && m.failures > 0 && !l.isSeed(address) {
			delete(l.members, address)
			return true
		}
	}
	return false
}

func (l *links) isSeed(address string) bool {
	return slices.Contains(l.agent.options.Settings.Seeds, address)
}

// run dials gateways until the context ends.
func (l *links) run(ctx context.Context) error {
	go l.readMembers(ctx)
	lastLinkedOrRead := time.Now()
	for {
		linked := l.dialMissing(ctx)
		if linked > 0 {
			lastLinkedOrRead = time.Now()
		} else if time.Since(lastLinkedOrRead) > storeReadInterval {
			lastLinkedOrRead = time.Now()
			go l.readMembers(ctx)
		}
		if !ctxtime.Sleep(ctx, memberCheckInterval) {
			return ctx.Err()
		}
	}
}

// readMembers reads the list of gateways from the store. It does not use the store's cheaper read, whose answer may be
// seconds old and would delay the first link by as much.
func (l *links) readMembers(ctx context.Context) {
	list, err := platform.ReadGateways(ctx, l.store, false)
	if err != nil {
		_ = level.Info(l.agent.logger).Log("msg", "reading the list of gateways failed", "err", err)
		return
	}
	l.addMembers(slices.Collect(maps.Values(list.Addresses)))
}

// dialMissing starts to dial the gateways without a link, removes those that were not seen for memberRetention, and
// returns the number of linked ones. Those that have failed least often are dialed first.
func (l *links) dialMissing(ctx context.Context) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, linked, dialing := time.Now(), 0, 0
	var due []*member
	for address, m := range l.members {
		switch {
		case m.conn != nil:
			linked++
			m.lastSeen = now
		case m.dialing:
			dialing++
		case l.closing || now.Before(m.nextDial):
		case now.Sub(m.lastSeen) > memberRetention && !l.isSeed(address):
			delete(l.members, address)
		default:
			due = append(due, m)
		}
	}
	if free := max(maxDials-dialing, 0); len(due) > free {
		slices.SortFunc(due, func(a, b *member) int { return cmp.Compare(a.failures, b.failures) })
		due = due[:free]
	}
	for _, m := range due {
		m.dialing = true
		go l.dial(ctx, m)
	}
	return linked
}

// recordFailure schedules the next dial of a gateway after a dial, or a link without a message, that has failed. The caller
// holds l.mu.
func (l *links) recordFailure(m *member) {
	m.failures++
	longest := maxRedialDelay
	if !m.linked && m.failures > maxFreshDials && !l.isSeed(m.address) {
		longest = deadRedialDelay
	}
	m.nextDial = time.Now().Add(m.redialDelay)
	m.redialDelay = min(2*m.redialDelay, longest)
}

// dial dials a gateway once and stores the link or the time of the next attempt.
func (l *links) dial(ctx context.Context, m *member) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c := &conn{links: l, member: m, dialedAt: l.agent.loop.Now()}
	established, err := link.Dial(ctx, "ws://"+m.address+link.PathAgent, link.Options{ReadTimeout: structs.LinkTimeout}, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	m.dialing = false
	if err == nil && c.closed {
		return // the link was closed before it could be stored
	}
	if err != nil {
		l.recordFailure(m)
		return
	}
	m.conn, c.link = c, established
	l.agent.loop.Post(func(time.Duration) { c.sendServerReport() })
}

// sendServerReport sends the first message on the link. It runs in the event loop.
func (c *conn) sendServerReport() {
	_ = c.link.Send(link.Urgent, structs.TypeServerReport, c.links.agent.supervisor.ServerReport())
}

// Receive implements link.Handler.
func (c *conn) Receive(_ *link.Link, envelopes []structs.Envelope) {
	messages := link.DecodeBatch(envelopes, newMessage, func(typ structs.MessageType, err error) {
		_ = level.Warn(c.links.agent.logger).Log("msg", "malformed message ignored", "type", typ, "err", err)
	})
	c.links.agent.loop.Post(func(now time.Duration) {
		for _, message := range messages {
			c.handle(now, message)
		}
	})
}

// newMessage returns a pointer to an empty message of a type that gateways send to agents, or nil for other types.
func newMessage(typ structs.MessageType) any {
	switch typ {
	case structs.TypeResume:
		return &structs.Resume{}
	case structs.TypePlace:
		return &structs.Place{}
	case structs.TypeStop:
		return &structs.Stop{}
	case structs.TypeOperatorState:
		return &structs.OperatorState{}
	case structs.TypeQuarantine:
		return &structs.Quarantine{}
	case structs.TypePlaceAlone:
		return &structs.PlaceAlone{}
	case structs.TypeRackDemand:
		return &structs.RackDemand{}
	case structs.TypeZonesOut:
		return &structs.ZonesOut{}
	case structs.TypeCancelJobs:
		return &structs.CancelJobs{}
	case structs.TypeJobClaims:
		return &structs.JobClaims{}
	case structs.TypeLivenessAnswer:
		return &structs.LivenessAnswer{}
	case structs.TypeHeartbeat:
		return &structs.Heartbeat{}
	default:
		return nil
	}
}

// handle passes a message to the supervisor. It runs in the event loop.
func (c *conn) handle(now time.Duration, message any) {
	a := c.links.agent
	if c.dropped {
		return
	}
	switch m := message.(type) {
	case *structs.Resume:
		c.links.setGateway(c, m.Gateway)
		c.links.addMembers(m.GatewayAddresses)
		a.supervisor.GatewayLinked(now, c.dialedAt, m)
		c.sendNewerState(m.Revision)
	case *structs.Place:
		a.supervisor.Place(now, c.gateway, m)
	case *structs.PlaceAlone:
		a.supervisor.PlaceAlone(now, c.gateway, m)
	case *structs.Stop:
		a.supervisor.Stop(now, c.gateway, m)
	case *structs.Quarantine:
		a.supervisor.RelayQuarantine(now, m)
	case *structs.RackDemand:
		a.supervisor.HandleRackDemand(now, c.gateway, m)
	case *structs.CancelJobs:
		a.supervisor.RelayCancellation(now, c.gateway, m)
	case *structs.JobClaims:
		a.supervisor.HandleJobClaims(now, c.gateway, m)
	case *structs.LivenessAnswer:
		a.supervisor.HandleLivenessAnswer(now, c.gateway, m)
	case *structs.ZonesOut:
		a.supervisor.HandleZonesOut(now, m)
	case *structs.OperatorState:
		c.stateExchange.Received(m.Revision)
		c.gatewayRevision = max(c.gatewayRevision, m.Revision)
		a.applyOperatorState(now, m)
	case *structs.Heartbeat:
		c.links.addMembers(m.GatewayAddresses)
		c.sendNewerState(m.Revision)
	}
}

// sendNewerState sends the whole operator state, if this agent keeps it, to a gateway that has an older one, for example
// because it has started while the store was unavailable. It waits first, since other agents do the same. It runs in the
// event loop.
func (c *conn) sendNewerState(revision uint64) {
	a := c.links.agent
	c.gatewayRevision = max(c.gatewayRevision, revision)
	if c.stateDue || a.wholeState.Revision <= c.gatewayRevision {
		return
	}
	c.stateDue = true
	time.AfterFunc(structs.StateDelay(c.gateway.ID, a.options.Self.ID), func() {
		a.loop.Post(func(time.Duration) {
			c.stateDue = false
			if state := a.wholeState; c.stateExchange.ShouldSend(state.Revision, c.gatewayRevision) {
				// If sending fails, the link ends, and the next one compares the revisions again.
				_ = c.link.Send(link.Control, structs.TypeOperatorState, &state)
			}
		})
	})
}

// setGateway stores which gateway a link leads to.
func (l *links) setGateway(c *conn, gateway structs.GatewayRef) {
	l.mu.Lock()
	c.gateway = gateway
	c.member.redialDelay, c.member.failures, c.member.linked = minRedialDelay, 0, true
	l.mu.Unlock()
	_ = level.Info(l.agent.logger).Log("msg", "gateway linked", "gateway", gateway, "address", c.member.address)
}

// Closed implements link.Handler.
func (c *conn) Closed(_ *link.Link, err error) {
	l := c.links
	l.mu.Lock()
	c.closed = true
	if c.member.conn == c {
		c.member.conn = nil
	}
	gateway := c.gateway
	if gateway == (structs.GatewayRef{}) {
		l.recordFailure(c.member) // no message, or none that could be read
	}
	l.mu.Unlock()
	_ = level.Info(l.agent.logger).Log("msg", "link to gateway closed", "gateway", gateway, "address", c.member.address, "err", err)
	l.agent.loop.Post(func(now time.Duration) {
		if l.connTo(gateway) == nil {
			l.agent.supervisor.GatewayUnlinked(now, gateway)
		}
	})
}

// connTo returns the link with a gateway, or nil if there is none.
func (l *links) connTo(gateway structs.GatewayRef) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.members {
		if m.conn != nil && m.conn.gateway == gateway {
			return m.conn
		}
	}
	return nil
}

// send sends a message of the supervisor. If events are lost with the link, the supervisor sends them again on the next
// one, for the tasks that the gateway lists in its Resume.
func (l *links) send(action supervisor.Send) {
	c := l.connTo(action.Gateway)
	if c == nil {
		return
	}
	if err := c.link.Send(link.Urgent, action.Type, action.Message); err != nil {
		_ = level.Info(l.agent.logger).Log("msg", "sending a message failed", "gateway", action.Gateway, "err", err)
	}
}

// closeLink closes the link with a gateway and discards its queued messages. run then dials a new one.
func (l *links) closeLink(gateway structs.GatewayRef) {
	if c := l.connTo(gateway); c != nil {
		l.mu.Lock()
		c.member.conn = nil
		l.mu.Unlock()
		c.dropped = true
		c.link.Abort()
	}
}

// closeAll closes all links after their queued messages are sent, and stops dialing.
func (l *links) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for _, m := range l.members {
		if m.conn != nil {
			m.conn.link.Close("agent stops")
		}
	}
}
