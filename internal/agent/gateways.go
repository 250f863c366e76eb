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
	// dialTimeout bounds one dial of a gateway.
	dialTimeout = time.Second
	// minRetryDelay and maxRetryDelay bound the backoff between dials, so that a gateway that is available again is
	// linked within about a second.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// warningInterval is the shortest time between two warnings about a gateway that cannot be reached.
	warningInterval = 10 * time.Second
)

// gateways keeps a link with each known gateway: those in the settings and those that linked gateways name.
type gateways struct {
	agent *Agent
	group sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// dialers holds the cancel function of each dialLoop by address.
	dialers map[string]context.CancelFunc
	// links holds each open link with the addresses of all gateways that were last received on it.
	links map[*gatewayHandler][]string
	// gatewayAt holds the gateway that last answered at an address. A gateway may have several addresses.
	gatewayAt map[string]structs.GatewayID
}

func newGateways(a *Agent) *gateways {
	return &gateways{
		agent:     a,
		dialers:   make(map[string]context.CancelFunc),
		links:     make(map[*gatewayHandler][]string),
		gatewayAt: make(map[string]structs.GatewayID),
	}
}

// reconcile starts and stops dial loops, so that there is one for each wanted address. While no gateway is linked it
// stops none: gateways that were named earlier may be available when those in the settings are not.
func (g *gateways) reconcile(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wanted := make(map[string]bool)
	for _, address := range g.agent.options.Gateways {
		wanted[address] = true
	}
	for handler, addresses := range g.links {
		wanted[handler.address] = true
		for _, address := range addresses {
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
	if len(g.links) == 0 {
		return
	}
	for address, cancel := range g.dialers {
		if !wanted[address] {
			cancel()
			delete(g.dialers, address)
			delete(g.gatewayAt, address)
		}
	}
}

// dialLoop keeps a link with the gateway at an address until the context ends.
func (g *gateways) dialLoop(ctx context.Context, address string) {
	retry := &backoff.ExponentialBackOff{
		InitialInterval: minRetryDelay, MaxInterval: maxRetryDelay, Multiplier: 2, RandomizationFactor: 0.2,
	}
	retry.Reset()
	warnings := telemetry.NewRateLimited(g.agent.logger, warningInterval)
	for ctx.Err() == nil {
		if !g.isDuplicate(address) && g.connect(ctx, address, warnings) {
			retry.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

// isDuplicate reports whether the gateway at an address is already linked by another address.
func (g *gateways) isDuplicate(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	name, ok := g.gatewayAt[address]
	if !ok {
		return false
	}
	for handler := range g.links {
		if handler.address != address && handler.gateway.ID == name {
			return true
		}
	}
	return false
}

// connect dials once and waits for the end of the link. If dialing fails, it logs the reason to warnings and returns
// false.
func (g *gateways) connect(ctx context.Context, address string, warnings log.Logger) bool {
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
		_ = warnings.Log("msg", "gateway not reached", "address", address, "err", err)
		return false
	}
	handler.reportUp(l)
	select {
	case <-l.Done():
	case <-ctx.Done():
		// Close sends the queued messages first, among them the last results.
		l.Close("agent stops or gateway left")
		<-l.Done()
	}
	return true
}

// update stores the list of gateway addresses that a gateway has sent. If the list came in the gateway's hello, it also
// stores the gateway's name. A second link with the same gateway replaces the first one, as it does at the gateway.
func (g *gateways) update(handler *gatewayHandler, addresses []string, gateway *structs.GatewayRef) {
	g.mu.Lock()
	previous, known := g.links[handler]
	if len(addresses) == 0 {
		addresses = previous
	}
	unchanged := known && slices.Equal(previous, addresses) && gateway == nil
	g.links[handler] = addresses
	var replaced *gatewayHandler
	if gateway != nil {
		handler.gateway = *gateway
		g.gatewayAt[handler.address] = gateway.ID
		for other := range g.links {
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
		g.reconcile(g.agent.linkContext)
	}
}

// remove removes a link that has ended.
func (g *gateways) remove(handler *gatewayHandler) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.links, handler)
}

// gatewayHandler handles one link and passes its messages to the machine.
type gatewayHandler struct {
	gateways *gateways
	address  string
	dialedAt time.Duration
	once     sync.Once
	id       LinkID
	link     *link.Link
	// gateway is zero before the gateway's hello. gateways.mu guards it.
	gateway structs.GatewayRef
}

// reportUp reports the link to the machine once, before its first message. Both the reading and the dialing goroutine
// call it; only the first call has an effect.
func (h *gatewayHandler) reportUp(l *link.Link) {
	h.once.Do(func() {
		h.link = l
		h.id = h.gateways.agent.addLink(l)
		h.gateways.agent.input(LinkUp{Link: h.id, DialedAt: h.dialedAt})
	})
}

// Receive implements link.Handler.
func (h *gatewayHandler) Receive(l *link.Link, envelopes []structs.Envelope) {
	h.reportUp(l)
	for _, e := range envelopes {
		message := newMessage(e.Type)
		if message == nil {
			_ = level.Warn(h.gateways.agent.logger).Log("msg", "message of unknown type ignored", "type", e.Type)
			continue
		}
		if err := link.Decode(e, message); err != nil {
			_ = level.Error(h.gateways.agent.logger).Log("msg", "malformed message, closing the link", "type", e.Type, "err", err)
			l.Abort()
			return
		}
		h.gateways.agent.input(Received{Link: h.id, Message: message})
		switch message := message.(type) {
		case *structs.GatewayHello:
			h.gateways.update(h, message.GatewayAddresses, &message.Gateway)
		case *structs.GatewayHeartbeat:
			h.gateways.update(h, message.GatewayAddresses, nil)
		}
	}
}

// Closed implements link.Handler.
func (h *gatewayHandler) Closed(l *link.Link, err error) {
	h.reportUp(l)
	h.gateways.remove(h)
	h.gateways.agent.input(LinkDown{Link: h.id})
	h.gateways.agent.removeLink(h.id)
	_ = level.Info(h.gateways.agent.logger).Log("msg", "link to gateway closed", "address", h.address, "err", err)
}

// newMessage returns a pointer to an empty message of a type that gateways send to agents, or nil for other types.
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
