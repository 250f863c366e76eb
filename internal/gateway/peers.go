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

// Timing of links between gateways.
const (
	dialTimeout = 2 * time.Second
	// The pause between attempts to dial doubles from redialPause to maxRedialPause.
	redialPause    = 100 * time.Millisecond
	maxRedialPause = time.Second
	// replyMargin is how long a reply may take beyond the request's wait before it counts as lost. It covers the
	// transmission time.
	replyMargin = 3 * time.Second
)

// errReplyLost means that a request was sent and its reply did not arrive: the owner may or may not have handled it.
var errReplyLost = errors.New("gateway: no reply from the owner, outcome unknown")

// errNoOwner means that no owner is known or linked, so that no request was sent.
var errNoOwner = errors.New("gateway: no owner is reachable")

// peer is another gateway. Its fields are guarded by peers.mu.
type peer struct {
	ref      structs.GatewayRef
	zone     string
	revision structs.Revision
	owned    []structs.OwnedPool
	// stopping is true during the peer's graceful shutdown.
	stopping    bool
	lastContact time.Duration
	inForce     structs.Revision
	// outbound is the dialed link, nil while there is none. cancel ends the dialing of address.
	outbound *outbound
	cancel   context.CancelFunc
	address  string
	// unlisted is true if the peer is not in the member list of the store.
	unlisted bool
}

// outbound is a link dialed by this gateway, with the requests that wait for replies on it.
type outbound struct {
	link *link.Link

	mu sync.Mutex
	// lastID is the last ID given to a request. calls and handovers hold the unanswered requests by ID.
	lastID    uint64
	calls     map[uint64]chan *structs.ForwardReply
	handovers map[uint64]chan bool
	closed    bool
}

// peers tracks the other gateways and keeps a dialed link to each.
type peers struct {
	g      *Gateway
	wakeup chan struct{}

	mu      sync.Mutex
	byID    map[structs.GatewayID]*peer
	inbound map[*link.Link]structs.GatewayID
	// addressList is the sorted list of the members' link addresses, addressVersion counts its changes.
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

// addresses returns the link addresses of all gateways and a version number that changes with the list.
func (p *peers) addresses() ([]string, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addressList, p.addressVersion
}

// setMembers takes the current member list of the store. It dials new gateways and marks those that are no longer
// listed.
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

// addMember starts dialing a new or restarted gateway. The caller holds p.mu.
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

// dialLoop keeps a link to one peer open until the context ends.
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
	out := &outbound{calls: map[uint64]chan *structs.ForwardReply{}, handovers: map[uint64]chan bool{}}
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

// run is the loop that sends heartbeats to peers.
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

// wake makes run send heartbeats at once.
func (p *peers) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// removeDeparted removes the gateways that are not in the member list and are either unresponsive or shut down
// gracefully.
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

// links returns all links to and from peers.
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

// broadcast sends the configuration document to all peers.
func (p *peers) broadcast() {
	for _, l := range p.links() {
		p.g.config.sync(l, 0)
	}
}

// handleHello records a peer's hello. On an accepted link it also registers the link and replies with a hello.
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

// recordContact records the time of a message from a peer and applies change to the peer. Messages of another
// incarnation are ignored.
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

// abortLinks closes all links at once and waits until they have ended.
func (p *peers) abortLinks() {
	for _, l := range p.links() {
		l.Abort()
		<-l.Done()
	}
}

// outboundTo returns the dialed link to an incarnation of a gateway, or nil.
func (p *peers) outboundTo(ref structs.GatewayRef) *outbound {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byID[ref.ID]
	if known == nil || known.ref != ref {
		return nil
	}
	return known.outbound
}

// successors returns the peers to which pools can be handed over: those that are members, linked and not stopping.
// Peers with the fewest pools come first.
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

// countHandover adds a pool to its new owner's list before that gateway's next heartbeat does, so that a stopping
// gateway distributes its pools evenly.
func (p *peers) countHandover(to structs.GatewayID, pool structs.PoolID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.byID[to]; known != nil {
		known.owned = append(slices.Clone(known.owned), structs.OwnedPool{Pool: pool})
	}
}

// call sends a request on the link and waits for the reply. It returns errNoOwner if nothing was sent.
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

// await waits for a reply. A reply channel that is closed means that the link has closed.
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

// handleReply passes a reply to the call that waits for it. A reply that no call waits for is too late and is dropped.
func (o *outbound) handleReply(reply *structs.ForwardReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if replies, ok := o.calls[reply.ID]; ok {
		replies <- reply
		delete(o.calls, reply.ID)
	}
}

// handover sends one part of a snapshot and reports whether the successor has accepted it.
func (o *outbound) handover(ctx context.Context, h *structs.Handover) bool {
	answer := make(chan bool, 1)
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return false
	}
	o.lastID++
	h.ID = o.lastID
	o.handovers[h.ID] = answer
	o.mu.Unlock()
	defer o.forgetHandover(h.ID)
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

func (o *outbound) forgetHandover(id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.handovers, id)
}

func (o *outbound) handleHandoverReply(r *structs.HandoverReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answer, ok := o.handovers[r.ID]; ok {
		answer <- r.Accepted
		delete(o.handovers, r.ID)
	}
}

// failAll fails all waiting calls after the link has closed.
func (o *outbound) failAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for id, replies := range o.calls {
		close(replies)
		delete(o.calls, id)
	}
	for id, answer := range o.handovers {
		answer <- false
		delete(o.handovers, id)
	}
}
