package agent

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
)

const (
	// dialTimeout bounds one attempt to reach a gateway.
	dialTimeout = time.Second
	// firstRetry and lastRetry bound the waits between attempts. A gateway that returns is to be linked within a
	// second.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// unreachedInterval bounds the warnings about one gateway that is not reached.
	unreachedInterval = 10 * time.Second
)

// gateways keeps a link to each known gateway: those of the settings and those that linked gateways list.
type gateways struct {
	agent *Agent
	group sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// dialers holds the cancel functions by address.
	dialers map[string]context.CancelFunc
	// members holds the latest list of each open link.
	members map[*gatewayHandler][]string
	// names holds the gateway that last answered at an address. A gateway may be listed under several.
	names map[string]structs.GatewayID
}

func newGateways(a *Agent) *gateways {
	return &gateways{
		agent:   a,
		dialers: make(map[string]context.CancelFunc),
		members: make(map[*gatewayHandler][]string),
		names:   make(map[string]structs.GatewayID),
	}
}

// reconcile starts and stops dialers, so that there is one for each wanted address. While no gateway is linked,
// addresses are kept: the members may still be alive when those of the settings are not.
func (g *gateways) reconcile(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wanted := make(map[string]bool)
	for _, address := range g.agent.options.Gateways {
		wanted[address] = true
	}
	for handler, members := range g.members {
		wanted[handler.address] = true
		for _, address := range members {
			wanted[address] = true
		}
	}
	for address := range wanted {
		if g.dialers[address] == nil && ctx.Err() == nil {
			dialing, cancel := context.WithCancel(ctx)
			g.dialers[address] = cancel
			g.group.Go(func() { g.dialLoop(dialing, address) })
		}
	}
	if len(g.members) == 0 {
		return
	}
	for address, cancel := range g.dialers {
		if !wanted[address] {
			cancel()
			delete(g.dialers, address)
			delete(g.names, address)
		}
	}
}

// dialLoop keeps one address linked until the context ends.
func (g *gateways) dialLoop(ctx context.Context, address string) {
	retry := &backoff.ExponentialBackOff{
		InitialInterval: firstRetry, MaxInterval: lastRetry, Multiplier: 2, RandomizationFactor: 0.2,
	}
	retry.Reset()
	unreached := telemetry.NewBounded(g.agent.logger, unreachedInterval)
	for ctx.Err() == nil {
		if !g.isDuplicate(address) && g.connect(ctx, address, unreached) {
			retry.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

// isDuplicate reports whether the gateway behind an address is linked by another address.
func (g *gateways) isDuplicate(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	name, ok := g.names[address]
	if !ok {
		return false
	}
	for handler := range g.members {
		if handler.address != address && handler.gateway.ID == name {
			return true
		}
	}
	return false
}

// connect dials once and waits for the end of the link. It returns false if there was none, and tells unreached why.
func (g *gateways) connect(ctx context.Context, address string, unreached log.Logger) bool {
	a := g.agent
	handler := &gatewayHandler{gateways: g, address: address, dialedAt: a.clock()}
	scheme := "ws://"
	options := link.Options{Fault: a.options.Fault, Logger: a.logger}
	if a.options.ClientTLS != nil {
		scheme = "wss://"
		options.TLS = a.options.ClientTLS()
	}
	if a.options.ClusterKey != "" {
		options.Header = http.Header{"Authorization": {"Bearer " + a.options.ClusterKey}}
	}
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l, err := link.Dial(dialing, scheme+address+link.PathAgent, options, handler)
	if err != nil && ctx.Err() != nil {
		return false
	}
	if err != nil {
		_ = unreached.Log("msg", "gateway not reached", "address", address, "err", err)
		return false
	}
	handler.up(l)
	select {
	case <-l.Done():
	case <-ctx.Done():
		// Close writes out the last results.
		l.Close("agent stops or gateway left")
		<-l.Done()
	}
	return true
}

// note keeps what a gateway says about itself and the others. A second link to the same gateway replaces the first,
// as it does at the gateway.
func (g *gateways) note(handler *gatewayHandler, members []string, gateway *structs.GatewayRef) {
	g.mu.Lock()
	previous, known := g.members[handler]
	if len(members) == 0 {
		members = previous
	}
	unchanged := known && slices.Equal(previous, members) && gateway == nil
	g.members[handler] = members
	var replaced *gatewayHandler
	if gateway != nil {
		handler.gateway = *gateway
		g.names[handler.address] = gateway.ID
		for other := range g.members {
			if other != handler && other.gateway == *gateway {
				replaced = other
			}
		}
	}
	g.mu.Unlock()
	if replaced != nil {
		replaced.link.Close("replaced by a newer link")
	}
	if !unchanged {
		g.reconcile(g.agent.dialing)
	}
}

func (g *gateways) forget(handler *gatewayHandler) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, handler)
}

// gatewayHandler passes the messages of one link to the machine.
type gatewayHandler struct {
	gateways *gateways
	address  string
	dialedAt time.Duration
	once     sync.Once
	id       LinkID
	link     *link.Link
	// gateway is guarded by gateways.mu.
	gateway structs.GatewayRef
}

// up reports the link to the machine before its first message. The reading goroutine and the dialing one race for it.
func (h *gatewayHandler) up(l *link.Link) {
	h.once.Do(func() {
		h.link = l
		h.id = h.gateways.agent.addLink(l)
		h.gateways.agent.input(LinkUp{Link: h.id, DialedAt: h.dialedAt})
	})
}

// Receive implements link.Handler.
func (h *gatewayHandler) Receive(l *link.Link, envelopes []structs.Envelope) {
	h.up(l)
	for _, e := range envelopes {
		message := newMessage(e.Type)
		if message == nil {
			_ = level.Warn(h.gateways.agent.logger).Log("msg", "ignored message of unknown type", "type", e.Type)
			continue
		}
		if err := link.Decode(e, message); err != nil {
			_ = level.Error(h.gateways.agent.logger).Log("msg", "malformed message", "type", e.Type, "err", err)
			l.Abort()
			return
		}
		h.gateways.agent.input(Received{Link: h.id, Message: message})
		switch message := message.(type) {
		case *structs.GatewayHello:
			h.gateways.note(h, message.Members, &message.Gateway)
		case *structs.GatewayHeartbeat:
			h.gateways.note(h, message.Members, nil)
		}
	}
}

// Closed implements link.Handler.
func (h *gatewayHandler) Closed(l *link.Link, err error) {
	h.up(l)
	h.gateways.forget(h)
	h.gateways.agent.input(LinkDown{Link: h.id})
	h.gateways.agent.removeLink(h.id)
	_ = level.Info(h.gateways.agent.logger).Log("msg", "link to gateway ended", "address", h.address, "err", err)
}

// newMessage returns a pointer to an empty message of a type that gateways send to agents, or nil.
func newMessage(typ structs.MessageType) any {
	switch typ {
	case structs.TypeGatewayHello:
		return new(structs.GatewayHello)
	case structs.TypeGatewayHeartbeat:
		return new(structs.GatewayHeartbeat)
	case structs.TypeStart:
		return new(structs.Start)
	case structs.TypeWithdraw:
		return new(structs.Withdraw)
	case structs.TypeCancel:
		return new(structs.Cancel)
	case structs.TypeReconcileStarts:
		return new(structs.ReconcileStarts)
	case structs.TypeFence:
		return new(structs.Fence)
	case structs.TypeFetchResults:
		return new(structs.FetchResults)
	case structs.TypeConfigRequest:
		return new(structs.ConfigRequest)
	case structs.TypeConfigDocument:
		return new(structs.ConfigDocument)
	default:
		return nil
	}
}
