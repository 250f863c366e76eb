package platformagent

import (
	"context"
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

// Times of the links with gateways.
const (
	// dialTimeout bounds a dial, which takes three round trips of a few ms. A VM without power does not answer at all,
	// and a dial that waits for it delays the first link after its return.
	dialTimeout = 200 * time.Millisecond
	// redialFirst and redialMax bound the pause between dials of a gateway that does not answer.
	redialFirst = 30 * time.Millisecond
	redialMax   = 240 * time.Millisecond
	// memberRefresh is the time between checks for gateways without a link.
	memberRefresh = 50 * time.Millisecond
	// lonelyRefresh is the time between reads of the store's list of gateways while there is no link at all. All agents
	// of the design size together stay within the 2,000 reads a second that the platform allows.
	lonelyRefresh = 600 * time.Millisecond
	// storeTimeout bounds a call to the store, which answers in a few ms.
	storeTimeout = 600 * time.Millisecond
	// forgetMember is how long a gateway without a link that is in no list any more is dialed. It covers a lease that the
	// store has taken away from a living gateway.
	forgetMember = 20 * time.Second
)

// links holds the links with all gateways.
type links struct {
	agent *Agent
	store *platform.StoreClient

	// mu guards the fields below.
	mu      sync.Mutex
	members map[string]*member
	closing bool
}

// member is a gateway by its link address.
type member struct {
	address string
	// known is when a list last named it or a link with it was last there. Gateways send their list only when it changes.
	known   time.Time
	dialing bool
	pause   time.Duration
	next    time.Time
	conn    *conn
}

// conn is one link. It is the handler of its messages.
type conn struct {
	links   *links
	member  *member
	gateway structs.GatewayRef // set by Resume, guarded by links.mu
	link    *link.Link
	closed  bool                  // guarded by links.mu
	dropped bool                  // belongs to the loop
	states  structs.StateExchange // belongs to the loop
}

func newLinks(a *Agent) *links {
	l := &links{
		agent: a, members: map[string]*member{},
		store: platform.NewStoreClient("http://"+a.options.Settings.StoreAddress, storeTimeout, nil),
	}
	l.learn(a.options.Settings.Seeds)
	return l
}

// learn adds gateways to the list.
func (l *links) learn(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range addresses {
		m := l.members[address]
		if m == nil {
			m = &member{address: address, pause: redialFirst}
			l.members[address] = m
		}
		m.known = time.Now()
	}
}

// run keeps a link with every known gateway.
func (l *links) run(ctx context.Context) error {
	go l.readMembers(ctx)
	lonelySince := time.Now()
	for {
		linked := l.dialMissing(ctx)
		if linked > 0 {
			lonelySince = time.Now()
		} else if time.Since(lonelySince) > lonelyRefresh {
			lonelySince = time.Now()
			go l.readMembers(ctx)
		}
		if !ctxtime.Sleep(ctx, memberRefresh) {
			return ctx.Err()
		}
	}
}

// readMembers reads the list of gateways from the store. The cheaper list that may be seconds old would delay the first
// link by as much.
func (l *links) readMembers(ctx context.Context) {
	entries, _, err := l.store.List(ctx, platform.GatewayPrefix, "", 0)
	if err != nil {
		_ = level.Info(l.agent.logger).Log("msg", "list of gateways not read", "err", err)
		return
	}
	addresses := make([]string, 0, len(entries))
	for _, entry := range entries {
		addresses = append(addresses, string(entry.Value))
	}
	l.learn(addresses)
}

// dialMissing dials the gateways without a link and returns the number of links.
func (l *links) dialMissing(ctx context.Context) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, linked := time.Now(), 0
	for address, m := range l.members {
		switch {
		case m.conn != nil:
			linked++
			m.known = now
		case m.dialing || l.closing || now.Before(m.next):
		case now.Sub(m.known) > forgetMember && !slices.Contains(l.agent.options.Settings.Seeds, address):
			delete(l.members, address)
		default:
			m.dialing = true
			go l.dial(ctx, m)
		}
	}
	return linked
}

func (l *links) dial(ctx context.Context, m *member) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c := &conn{links: l, member: m}
	made, err := link.Dial(ctx, "ws://"+m.address+link.PathAgent, link.Options{ReadTimeout: structs.LinkTimeout}, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	m.dialing = false
	if err == nil && c.closed {
		return // the link has ended before it was known here
	}
	if err != nil {
		m.next = time.Now().Add(m.pause)
		m.pause = min(2*m.pause, redialMax)
		return
	}
	m.pause, m.conn, c.link = redialFirst, c, made
	l.agent.loop.Post(func(time.Duration) { c.hello() })
}

// hello sends the first message. It runs in the loop.
func (c *conn) hello() {
	_ = c.link.Send(link.Urgent, structs.TypeServerReport, c.links.agent.room.ServerReport())
}

// Receive implements link.Handler.
func (c *conn) Receive(_ *link.Link, envelopes []structs.Envelope) {
	messages := link.DecodeBatch(envelopes, newMessage, func(typ structs.MessageType, err error) {
		_ = level.Warn(c.links.agent.logger).Log("msg", "message not understood", "type", typ, "err", err)
	})
	c.links.agent.loop.Post(func(now time.Duration) {
		for _, message := range messages {
			c.handle(now, message)
		}
	})
}

// newMessage returns an empty message of a type, nil for one that agents do not take.
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
	case structs.TypeHeartbeat:
		return &structs.Heartbeat{}
	default:
		return nil
	}
}

// handle passes a message to the room. It runs in the loop.
func (c *conn) handle(now time.Duration, message any) {
	a := c.links.agent
	if c.dropped {
		return
	}
	a.room.RecordContact(now, c.gateway)
	switch m := message.(type) {
	case *structs.Resume:
		c.links.register(c, m.Gateway)
		c.links.learn(m.GatewayAddresses)
		a.room.GatewayLinked(now, m)
		c.compare(m.Revision)
	case *structs.Place:
		a.room.Place(now, c.gateway, m)
	case *structs.Stop:
		a.room.Stop(now, c.gateway, m)
	case *structs.OperatorState:
		c.states.Received(m.Revision)
		a.learn(now, m)
	case *structs.Heartbeat:
		c.links.learn(m.GatewayAddresses)
		c.compare(m.Revision)
	}
}

// compare sends the operator state to a gateway that knows an older one, for example after its start while the store
// is away. It runs in the loop.
func (c *conn) compare(revision uint64) {
	state := c.links.agent.state
	if c.states.ShouldSend(state.Revision, revision) {
		_ = c.link.Send(link.Control, structs.TypeOperatorState, &state) // a link that fails ends, and the next one compares
	}
}

func (l *links) register(c *conn, gateway structs.GatewayRef) {
	l.mu.Lock()
	c.gateway = gateway
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
	l.mu.Unlock()
	_ = level.Info(l.agent.logger).Log("msg", "gateway unlinked", "gateway", gateway, "err", err)
	l.agent.loop.Post(func(now time.Duration) {
		if l.find(gateway) == nil {
			l.agent.room.GatewayUnlinked(now, gateway)
		}
	})
}

// find returns the link with a gateway, or nil.
func (l *links) find(gateway structs.GatewayRef) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.members {
		if m.conn != nil && m.conn.gateway == gateway {
			return m.conn
		}
	}
	return nil
}

// send sends a message of the room. Events that no link takes stay known to the room.
func (l *links) send(action supervisor.Send) {
	c := l.find(action.Gateway)
	if c == nil {
		return
	}
	if err := c.link.Send(link.Urgent, action.Type, action.Message); err != nil {
		_ = level.Info(l.agent.logger).Log("msg", "message not sent", "gateway", action.Gateway, "err", err)
	}
}

// drop ends the link with a gateway without its queued messages. A new one is dialed.
func (l *links) drop(gateway structs.GatewayRef) {
	if c := l.find(gateway); c != nil {
		l.mu.Lock()
		c.member.conn = nil
		l.mu.Unlock()
		c.dropped = true
		c.link.Abort()
	}
}

// closeAll ends all links after their queued messages and dials no more.
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
