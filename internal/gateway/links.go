package gateway

import (
	"crypto/subtle"
	"errors"
	"net/http"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/ownership"
	"rosedrift.example/rosedrift/internal/structs"
)

// linkHandler receives the messages of one link. The first message tells whether the other side is an agent or a
// gateway.
type linkHandler struct {
	g *Gateway
	// outbound is set if this gateway has dialed the link.
	outbound *outbound
	// agent or peer is set after the hello of an agent or a gateway.
	agent *agentConn
	peer  structs.GatewayRef
	// agentOnly is true if the other side's certificate does not belong to a gateway.
	agentOnly bool
}

// errNotGateway rejects a PeerHello from a process whose certificate does not belong to a gateway.
var errNotGateway = errors.New("gateway: the peer's certificate does not belong to a gateway")

// acceptLink accepts links from agents and gateways, which use the same listener.
func (g *Gateway) acceptLink(w http.ResponseWriter, r *http.Request) {
	want := "Bearer " + g.options.LinkKey
	if g.options.LinkKey != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
		http.Error(w, "the key of the link is wrong", http.StatusUnauthorized)
		return
	}
	handler := &linkHandler{g: g}
	handler.agentOnly = g.options.IsGateway != nil && (r.TLS == nil || !g.options.IsGateway(*r.TLS))
	options := link.Options{Fault: g.options.LinkFault, Logger: g.logger}
	l, err := link.Accept(w, r, options, handler)
	if err != nil {
		_ = level.Info(g.logger).Log("msg", "link refused", "err", err)
		return
	}
	g.spawn(func() {
		select {
		case <-l.Done():
		case <-g.ctx.Done():
			l.Abort()
			<-l.Done()
		}
	})
}

// Receive implements link.Handler.
func (h *linkHandler) Receive(l *link.Link, envelopes []structs.Envelope) {
	for _, e := range envelopes {
		if err := h.receive(l, e); err != nil {
			_ = level.Warn(h.g.logger).Log("msg", "malformed message, closing the link", "peer", l.RemoteAddr(), "type", e.Type, "err", err)
			l.Close("malformed message")
			return
		}
	}
}

// Closed implements link.Handler.
func (h *linkHandler) Closed(l *link.Link, err error) {
	_ = level.Debug(h.g.logger).Log("msg", "link closed", "peer", l.RemoteAddr(), "err", err)
	if h.agent != nil {
		h.g.agents.linkClosed(h.agent)
	}
	if h.outbound != nil {
		h.outbound.failAll()
	}
	h.g.peers.linkClosed(l)
}

// receive handles one message. An error means that the message is malformed and closes the link.
func (h *linkHandler) receive(l *link.Link, e structs.Envelope) error {
	switch e.Type {
	case structs.TypeAgentHello:
		return decodeAndHandle(e, func(m *structs.AgentHello) { h.agent = h.g.agents.register(l, m) })
	case structs.TypePeerHello:
		if h.agentOnly {
			return errNotGateway
		}
		return decodeAndHandle(e, func(m *structs.PeerHello) {
			h.peer = m.Gateway
			h.g.peers.handleHello(l, m, h.outbound == nil)
		})
	case structs.TypeConfigDocument:
		return decodeAndHandle(e, func(m *structs.ConfigDocument) { h.g.config.offer(h.g.ctx, m.Document) })
	case structs.TypeConfigRequest:
		h.g.config.sync(l, 0)
		return nil
	default:
		return h.handleAfterHello(l, e)
	}
}

// errNoHello closes a link on which the hello is missing, so that the other side dials again and identifies itself.
var errNoHello = errors.New("gateway: message received before the hello")

// handleAfterHello handles the messages that are allowed only after a hello.
func (h *linkHandler) handleAfterHello(l *link.Link, e structs.Envelope) error {
	switch {
	case h.agent != nil:
		return h.handleAgentMessage(e)
	case h.peer.ID != "":
		return h.handlePeerMessage(l, e)
	}
	return errNoHello
}

// decodeAndHandle decodes the message in an envelope and passes it to handle.
func decodeAndHandle[T any](e structs.Envelope, handle func(*T)) error {
	message := new(T)
	if err := link.Decode(e, message); err != nil {
		return err
	}
	handle(message)
	return nil
}

func (h *linkHandler) handleAgentMessage(e structs.Envelope) error {
	switch e.Type {
	case structs.TypeAgentHeartbeat:
		return decodeAndHandle(e, func(m *structs.AgentHeartbeat) { h.g.agents.handleHeartbeat(h.agent, m) })
	case structs.TypeTaskEvents:
		return decodeAndHandle(e, func(m *structs.TaskEvents) { h.handleTaskEvents(m.Epoch, m.Events) })
	case structs.TypeResults:
		return decodeAndHandle(e, func(m *structs.Results) { h.handleTaskEvents(0, m.Events) })
	case structs.TypeFenceReply:
		return decodeAndHandle(e, func(m *structs.FenceReply) {
			h.g.pools.push(h.g.ctx, ownership.FenceReplied{Agent: h.agent.ref, Reply: *m})
		})
	default:
		return nil
	}
}

// handleTaskEvents passes an agent's events to the pool's runner. Events with a later epoch are for another owner.
func (h *linkHandler) handleTaskEvents(epoch structs.Epoch, events []structs.TaskEvent) {
	r := h.g.pools.runner(h.g.agents.poolOf(h.agent))
	if r == nil || epoch > r.epoch {
		return
	}
	r.deliverEvents(dispatch.Events{Agent: h.agent.ref, Epoch: epoch, Events: events})
}

func (h *linkHandler) handlePeerMessage(l *link.Link, e structs.Envelope) error {
	switch e.Type {
	case structs.TypePeerHeartbeat:
		return decodeAndHandle(e, func(m *structs.PeerHeartbeat) { h.g.peers.handleHeartbeat(l, h.peer, m) })
	case structs.TypeForward:
		return decodeAndHandle(e, func(m *structs.Forward) { h.handleForward(l, m) })
	case structs.TypeForwardReply:
		return decodeAndHandle(e, func(m *structs.ForwardReply) {
			if h.outbound != nil {
				h.outbound.handleReply(m)
			}
		})
	case structs.TypeHandover:
		return decodeAndHandle(e, func(m *structs.Handover) { h.handleHandover(l, m) })
	case structs.TypeHandoverReply:
		return decodeAndHandle(e, func(m *structs.HandoverReply) {
			if h.outbound != nil {
				h.outbound.handleHandoverReply(m)
			}
		})
	default:
		return nil
	}
}

// handleForward serves a request of another gateway.
func (h *linkHandler) handleForward(l *link.Link, f *structs.Forward) {
	reply := func(class link.Class, r *structs.ForwardReply) {
		// If the link has closed, the other side sends the request again.
		_ = l.Send(class, structs.TypeForwardReply, r)
	}
	if f.Kind == structs.ForwardQuery {
		h.g.spawn(func() { reply(link.Bulk, h.g.answerQuery(h.g.ctx, f)) })
		return
	}
	h.g.serveForward(&request{Forward: *f, reply: reply})
}

// handleHandover stores one part of a pool's snapshot. A gateway that is stopping accepts none.
func (h *linkHandler) handleHandover(l *link.Link, m *structs.Handover) {
	accepted := !h.g.stopping.Load() && h.g.pools.storeHandoverPart(m)
	_ = l.Send(link.Control, structs.TypeHandoverReply, &structs.HandoverReply{ID: m.ID, Accepted: accepted})
}
