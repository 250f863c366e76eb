package gateway

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
)

// Timing of peer links.
const (
	dialTimeout    = 2 * time.Second
	redialPause    = 100 * time.Millisecond
	maxRedialPause = time.Second
	// replyMargin is how long a reply may be late before its request counts as cut. It covers the reply's way.
	replyMargin = 3 * time.Second
)

// errReplyLost means that a request was sent and that its reply is lost: it may or may not have been handled.
var errReplyLost = errors.New("gateway: the link to the owner ended before its reply")

// errNoOwner means that no request was sent.
var errNoOwner = errors.New("gateway: no owner is reachable")

// peer is another gateway. Fields are guarded by peers.mu.
type peer struct {
	ref         structs.GatewayRef
	zone        string
	revision    structs.Revision
	owned       []structs.OwnedPool
	stopping    bool
	lastContact time.Duration
	inForce     structs.Revision
	outbound    *outbound
	cancel      context.CancelFunc
	address     string
	unlisted    bool
}

// outbound is a dialed link with the requests that wait for replies.
type outbound struct {
	link *link.Link

	mu       sync.Mutex
	lastID   uint64
	calls    map[uint64]chan *structs.ForwardReply
	handoffs map[uint64]chan bool
	closed   bool
}

// peers knows the other gateways and keeps a dialed link with each.
type peers struct {
	g      *Gateway
	wakeup chan struct{}

	mu      sync.Mutex
	byID    map[structs.GatewayID]*peer
	inbound map[*link.Link]structs.GatewayID
	// addressList is the sorted addressList of link addresses of the members, version counts its changes.
	addressList    []string
	addressVersion uint64
}

func newPeers(g *Gateway) *peers {
	return &peers{
		g:           g,
		wakeup:      make(chan struct{}, 1),
		byID:        map[structs.GatewayID]*peer{},
		inbound:     map[*link.Link]structs.GatewayID{},
		addressList: []string{g.options.Advertise},
	}
}

// addresses returns the link addresses of all gateways and a number that changes with the list.
func (p *peers) addresses() ([]string, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addressList, p.addressVersion
}

// setMembers takes the live gateways of the store: it dials new ones and forgets those that have left.
func (p *peers) setMembers(live map[string]member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []string{p.g.options.Advertise}
	seen := map[structs.GatewayID]bool{}
	for _, m := range live {
		if m.Gateway.ID == p.g.self.ID {
			continue
		}
		seen[m.Gateway.ID] = true
		list = append(list, m.Links)
		p.addMember(m)
	}
	for id, known := range p.byID {
		known.unlisted = !seen[id]
	}
	p.g.journalBudget.SetGateways(len(list))
	slices.Sort(list)
	if !slices.Equal(list, p.addressList) {
		p.addressList = list
		p.addressVersion++
		p.g.agents.wake()
	}
}

// addMember starts the dialing of a member. The caller holds p.mu.
func (p *peers) addMember(m member) {
	known := p.byID[m.Gateway.ID]
	if known != nil && known.address == m.Links && known.ref == m.Gateway {
		return
	}
	if known == nil {
		known = &peer{lastContact: p.g.now()}
		p.byID[m.Gateway.ID] = known
	}
	if known.cancel != nil {
		known.cancel()
	}
	known.ref, known.zone, known.address = m.Gateway, m.Zone, m.Links
	known.lastContact = p.g.now()
	known.stopping = false
	ctx, cancel := context.WithCancel(p.g.ctx)
	known.cancel = cancel
	p.g.spawn(func() { p.dialLoop(ctx, known, m.Links) })
}

// dialLoop keeps a link with one peer until the context ends.
func (p *peers) dialLoop(ctx context.Context, known *peer, address string) {
	pause := redialPause
	for ctx.Err() == nil {
		out, err := p.dial(ctx, address)
		if err != nil {
			logger := level.Debug(p.g.logger)
			if pause == redialPause {
				logger = level.Warn(p.g.logger)
			}
			_ = logger.Log("msg", "gateway not reached", "address", address, "err", err)
			ctxtime.Sleep(ctx, pause)
			pause = min(2*pause, maxRedialPause)
			continue
		}
		pause = redialPause
		p.setOutbound(known, out)
		select {
		case <-out.link.Done():
		case <-ctx.Done():
			out.link.Abort()
			<-out.link.Done()
		}
		p.clearOutbound(known, out)
		ctxtime.Sleep(ctx, pause)
	}
}

func (p *peers) dial(ctx context.Context, address string) (*outbound, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	scheme := "ws://"
	if p.g.options.ClientTLS != nil {
		scheme = "wss://"
	}
	out := &outbound{calls: map[uint64]chan *structs.ForwardReply{}, handoffs: map[uint64]chan bool{}}
	l, err := link.Dial(ctx, scheme+address+link.PathPeer, p.linkOptions(), &linkHandler{g: p.g, outbound: out})
	if err != nil {
		return nil, err
	}
	out.link = l
	_ = l.Send(link.Control, structs.TypePeerHello, p.hello())
	_ = l.Send(link.Control, structs.TypePeerHeartbeat, p.heartbeat())
	return out, nil
}

func (p *peers) linkOptions() link.Options {
	options := link.Options{Fault: p.g.options.LinkFault, Logger: p.g.logger, Header: http.Header{}}
	if p.g.options.ClientTLS != nil {
		options.TLS = p.g.options.ClientTLS()
	}
	if p.g.options.LinkKey != "" {
		options.Header.Set("Authorization", "Bearer "+p.g.options.LinkKey)
	}
	return options
}

func (p *peers) hello() *structs.PeerHello {
	return &structs.PeerHello{Gateway: p.g.self, Zone: p.g.options.Zone, Revision: p.g.config.revision()}
}

func (p *peers) heartbeat() *structs.PeerHeartbeat {
	return &structs.PeerHeartbeat{
		Revision: p.g.config.revision(), Owned: p.g.pools.ownedPools(), InForce: p.g.config.agentsInForce(),
		Stopping: p.g.stopping.Load(),
	}
}

func (p *peers) setOutbound(known *peer, out *outbound) {
	p.mu.Lock()
	known.outbound = out
	p.mu.Unlock()
	p.g.pools.ownershipChanged()
}

func (p *peers) clearOutbound(known *peer, out *outbound) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known.outbound == out {
		known.outbound = nil
	}
}

// run is the duty of heartbeats to peers.
func (p *peers) run(ctx context.Context) error {
	ticker := time.NewTicker(structs.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-p.wakeup:
		}
		heartbeat := p.heartbeat()
		for _, l := range p.links() {
			_ = l.Send(link.Control, structs.TypePeerHeartbeat, heartbeat)
		}
		p.removeDeparted()
		p.g.reportHeld()
	}
}

// wake sends heartbeats at once.
func (p *peers) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// removeDeparted removes gateways that are in no member list and either silent or stopped as planned.
func (p *peers) removeDeparted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.now()
	for id, known := range p.byID {
		stopped := known.stopping && known.outbound == nil
		if !known.unlisted || (!stopped && now-known.lastContact <= structs.LostAfter) {
			continue
		}
		if known.cancel != nil {
			known.cancel()
		}
		delete(p.byID, id)
		p.g.config.removeGateway(id)
	}
}

// links returns all links with peers.
func (p *peers) links() []*link.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.Collect(maps.Keys(p.inbound))
	for _, known := range p.byID {
		if known.outbound != nil {
			list = append(list, known.outbound.link)
		}
	}
	return list
}

// broadcast sends the configuration to all peers.
func (p *peers) broadcast() {
	for _, l := range p.links() {
		p.g.config.sync(l, 0)
	}
}

// handleHello registers an accepted link.
func (p *peers) handleHello(l *link.Link, h *structs.PeerHello, accepted bool) {
	if accepted {
		p.mu.Lock()
		p.inbound[l] = h.Gateway.ID
		p.mu.Unlock()
		_ = l.Send(link.Control, structs.TypePeerHello, p.hello())
	}
	p.recordContact(h.Gateway, func(known *peer) { known.zone, known.revision = h.Zone, h.Revision })
	p.g.config.sync(l, h.Revision)
}

func (p *peers) handleHeartbeat(l *link.Link, ref structs.GatewayRef, h *structs.PeerHeartbeat) {
	p.recordContact(ref, func(known *peer) {
		known.revision, known.owned, known.stopping, known.inForce = h.Revision, h.Owned, h.Stopping, h.InForce
	})
	p.g.config.recordGateway(ref, h.Revision, h.InForce)
	if h.Revision != p.g.config.revision() {
		p.g.config.sync(l, h.Revision)
	}
}

// recordContact records a sign of life of a peer.
func (p *peers) recordContact(ref structs.GatewayRef, change func(*peer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byID[ref.ID]
	if known == nil {
		known = &peer{ref: ref, unlisted: true}
		p.byID[ref.ID] = known
	}
	if known.ref != ref {
		return
	}
	known.lastContact = p.g.now()
	change(known)
}

func (p *peers) linkClosed(l *link.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inbound, l)
}

func (p *peers) abortLinks() {
	for _, l := range p.links() {
		l.Abort()
		<-l.Done()
	}
}

// outboundTo returns the dialed link with an incarnation of a gateway.
func (p *peers) outboundTo(ref structs.GatewayRef) *outbound {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byID[ref.ID]
	if known == nil || known.ref != ref {
		return nil
	}
	return known.outbound
}

// successors returns the peers with a link, without stopping ones, ordered by the number of pools they own.
func (p *peers) successors() []structs.GatewayRef {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*peer
	for _, known := range p.byID {
		if known.outbound != nil && !known.stopping && !known.unlisted {
			found = append(found, known)
		}
	}
	slices.SortFunc(found, func(a, b *peer) int { return len(a.owned) - len(b.owned) })
	refs := make([]structs.GatewayRef, len(found))
	for i, known := range found {
		refs[i] = known.ref
	}
	return refs
}

// countHandover counts a pool for its new owner before that gateway's next heartbeat does, so that the pools of a
// stopping gateway spread.
func (p *peers) countHandover(to structs.GatewayID, pool structs.PoolID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.byID[to]; known != nil {
		known.owned = append(slices.Clone(known.owned), structs.OwnedPool{Pool: pool})
	}
}

// call sends a request on the link and waits for the reply. errNoOwner means that nothing was sent.
func (o *outbound) call(ctx context.Context, f structs.Forward) (*structs.ForwardReply, error) {
	replies := make(chan *structs.ForwardReply, 1)
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return nil, errNoOwner
	}
	o.lastID++
	f.ID = o.lastID
	o.calls[f.ID] = replies
	o.mu.Unlock()
	defer o.removeCall(f.ID)
	class := link.Urgent
	if f.Submission != nil {
		class = classOf(f.Submission.Priority)
	}
	if err := o.link.Send(class, structs.TypeForward, &f); err != nil {
		return nil, errNoOwner
	}
	wait := min(f.Wait, maxForwardWait)
	if f.Kind == structs.ForwardSubmit {
		// A recovering owner holds submissions until it knows the earlier keys.
		wait = max(wait, acceptWait)
	}
	return o.await(ctx, replies, wait+replyMargin)
}

func (o *outbound) await(
	ctx context.Context, replies <-chan *structs.ForwardReply, limit time.Duration,
) (*structs.ForwardReply, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case reply, ok := <-replies:
		if !ok {
			return nil, errReplyLost
		}
		return reply, nil
	case <-timer.C:
		return nil, errReplyLost
	case <-ctx.Done():
		return nil, errReplyLost
	}
}

func (o *outbound) removeCall(id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, id)
}

// handleReply passes a reply to its request. A reply without a request is late and dropped.
func (o *outbound) handleReply(reply *structs.ForwardReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if replies, ok := o.calls[reply.ID]; ok {
		replies <- reply
		delete(o.calls, reply.ID)
	}
}

// handoff sends a snapshot and reports whether the successor has it.
func (o *outbound) handoff(ctx context.Context, h *structs.Handover) bool {
	answer := make(chan bool, 1)
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return false
	}
	o.lastID++
	h.ID = o.lastID
	o.handoffs[h.ID] = answer
	o.mu.Unlock()
	if err := o.link.Send(link.Bulk, structs.TypeHandover, h); err != nil {
		return false
	}
	select {
	case accepted := <-answer:
		return accepted
	case <-ctx.Done():
		return false
	}
}

func (o *outbound) handleHandoffReply(r *structs.HandoffReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answer, ok := o.handoffs[r.ID]; ok {
		answer <- r.Accepted
		delete(o.handoffs, r.ID)
	}
}

// failAll fails all waiting requests after the failAll of the link.
func (o *outbound) failAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for id, replies := range o.calls {
		close(replies)
		delete(o.calls, id)
	}
	for id, answer := range o.handoffs {
		answer <- false
		delete(o.handoffs, id)
	}
}
