package gateway

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/ownership"
	"rosedrift.example/rosedrift/internal/structs"
)

// config holds the applied configuration and tracks which processes have applied it.
type config struct {
	g      *Gateway
	writer *configuration.Writer

	// loaded is closed after the first successful read of the store, or when another process has sent a document.
	loaded     chan struct{}
	loadedOnce sync.Once

	// applying serializes the application of documents. It is held from the decision to apply a document until all
	// parts of the gateway have received it.
	applying sync.Mutex

	// mu guards the fields below.
	mu       sync.RWMutex
	follower *configuration.Follower
	document *structs.Configuration
	// raw is the encoded document, nil before the first one.
	raw     []byte
	inForce *configuration.InForce
}

func newConfig(g *Gateway) *config {
	c := &config{g: g, loaded: make(chan struct{}), follower: configuration.NewFollower(), inForce: configuration.NewInForce()}
	c.document = c.follower.Current()
	c.writer = configuration.NewWriter(g.options.Store, configuration.WriterOptions{PoolsWithoutMajority: c.withoutMajority})
	return c
}

// withoutMajority lists the pools in whose roster this gateway does not see a majority. The pools of a new service are
// skipped, since they have no owner and no roster yet.
func (c *config) withoutMajority(document *structs.Configuration) []structs.PoolID {
	var missing []structs.PoolID
	configured := c.current().Services
	for _, pool := range poolsOf(document) {
		if _, ok := configured[pool.Service]; ok && !c.g.pools.hasMajority(pool) {
			missing = append(missing, pool)
		}
	}
	return missing
}

// poolsOf lists the pools of all services in a document.
func poolsOf(document *structs.Configuration) []structs.PoolID {
	var pools []structs.PoolID
	for service, s := range document.Services {
		for i := range max(s.Pools, 1) {
			pools = append(pools, structs.PoolID{Service: service, Index: i})
		}
	}
	return pools
}

// current returns the applied document. It is read-only and never nil.
func (c *config) current() *structs.Configuration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.document
}

func (c *config) revision() structs.Revision { return c.current().Revision }

// poolOfAgent returns the pool of an agent, empty while the service is not configured.
func (c *config) poolOfAgent(service string, agent structs.AgentID) structs.PoolID {
	s, ok := c.current().Services[service]
	if !ok {
		return structs.PoolID{}
	}
	return structs.PoolOfAgent(service, s.Pools, agent)
}

// offer applies a document from the store, a peer or an agent if it is newer than the current one.
func (c *config) offer(ctx context.Context, raw []byte) {
	c.applying.Lock()
	defer c.applying.Unlock()
	c.mu.Lock()
	applied, err := c.follower.Offer(raw)
	if applied {
		c.document, c.raw = c.follower.Current(), raw
	}
	document := c.document
	c.mu.Unlock()
	if err != nil {
		_ = level.Error(c.g.logger).Log("msg", "configuration document rejected, keeping the previous one", "err", err)
	}
	if applied {
		c.apply(ctx, document)
		c.markLoaded()
	}
}

// markLoaded lets requests that wait for the first configuration proceed.
func (c *config) markLoaded() {
	c.loadedOnce.Do(func() {
		c.g.health.MarkReady("configuration")
		close(c.loaded)
	})
}

// apply passes a new document to all parts of the gateway.
func (c *config) apply(ctx context.Context, document *structs.Configuration) {
	_ = level.Info(c.g.logger).Log("msg", "configuration applied", "revision", document.Revision,
		"change", document.Change.Command, "operator", document.Change.Operator)
	for _, r := range c.g.pools.all() {
		r.send(dispatch.Configure{Config: document})
	}
	for _, pool := range poolsOf(document) {
		c.g.pools.push(ctx, ownership.PoolConfigured{Pool: pool})
	}
	c.g.agents.assignPools()
	c.g.agents.broadcast()
	c.g.peers.broadcast()
	c.g.agents.wake()
	c.g.pools.ownershipChanged()
}

// sync sends the document to a process with an older revision and requests the document of a process with a newer one.
func (c *config) sync(l *link.Link, theirs structs.Revision) {
	c.mu.RLock()
	own, raw := c.document.Revision, c.raw
	c.mu.RUnlock()
	switch {
	case theirs > own:
		_ = l.Send(link.Control, structs.TypeConfigRequest, &structs.ConfigRequest{})
	case theirs < own && raw != nil:
		_ = l.Send(link.Control, structs.TypeConfigDocument, &structs.ConfigDocument{Revision: own, Document: raw})
	}
}

func (c *config) recordAgent(agent structs.AgentRef, revision structs.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForce.RecordAgent(c.g.now(), agent, revision)
}

func (c *config) recordGateway(gateway structs.GatewayRef, own, agents structs.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForce.RecordGateway(c.g.now(), gateway, own, agents)
}

func (c *config) removeAgent(agent structs.AgentRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForce.Remove(configuration.MemberAgent, string(agent.ID))
}

func (c *config) removeGateway(gateway structs.GatewayID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForce.Remove(configuration.MemberGateway, string(gateway))
}

// agentsInForce returns the value for PeerHeartbeat.InForce and records this gateway's own state.
func (c *config) agentsInForce() structs.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.now()
	agents := c.inForce.Agents(now)
	c.inForce.RecordGateway(now, c.g.self, c.document.Revision, agents)
	return agents
}

// status reports how far a revision has been applied, as seen by this gateway.
func (c *config) status(revision structs.Revision) configuration.InForceStatus {
	c.agentsInForce()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce.Status(c.g.now(), revision)
}
