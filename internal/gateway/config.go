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

// config holds the applied configuration and what is known of its spread.
type config struct {
	g      *Gateway
	author *configuration.Author

	// known is closed when the store has been asked, or another process has sent a document.
	known     chan struct{}
	knownOnce sync.Once

	// applying orders the application of documents: it is held from the decision until all duties know.
	applying sync.Mutex

	// mu guards the fields below.
	mu       sync.RWMutex
	follower *configuration.Follower
	document *structs.Configuration
	raw      []byte
	force    *configuration.InForce
}

func newConfig(g *Gateway) *config {
	c := &config{g: g, known: make(chan struct{}), follower: configuration.NewFollower(), force: configuration.NewInForce()}
	c.document = c.follower.Current()
	c.author = configuration.NewAuthor(g.options.Store, configuration.AuthorOptions{Majority: c.withoutMajority})
	return c
}

// withoutMajority lists the pools of whose roster this gateway sees no majority. The pools of a new service have no
// owner and no roster yet.
func (c *config) withoutMajority(document *structs.Configuration) []structs.PoolID {
	var missing []structs.PoolID
	configured := c.current().Services
	for _, pool := range poolsOf(document) {
		if _, ok := configured[pool.Service]; ok && !c.g.control.hasMajority(pool) {
			missing = append(missing, pool)
		}
	}
	return missing
}

func poolsOf(document *structs.Configuration) []structs.PoolID {
	var pools []structs.PoolID
	for service, s := range document.Services {
		for i := range max(s.Pools, 1) {
			pools = append(pools, structs.PoolID{Service: service, Index: i})
		}
	}
	return pools
}

// current returns the applied document, which is read only and never nil.
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

// offer considers a document from the store, a peer or an agent and applies it if it is newer.
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
		_ = level.Error(c.g.logger).Log("msg", "configuration document not applied", "err", err)
	}
	if applied {
		c.apply(ctx, document)
		c.markKnown()
	}
}

// markKnown lets requests be judged by the configuration.
func (c *config) markKnown() {
	c.knownOnce.Do(func() {
		c.g.health.MarkReady("configuration")
		close(c.known)
	})
}

// apply passes a new document to all duties.
func (c *config) apply(ctx context.Context, document *structs.Configuration) {
	_ = level.Info(c.g.logger).Log("msg", "configuration applied", "revision", document.Revision,
		"change", document.Change.Command, "operator", document.Change.Operator)
	for _, r := range c.g.control.all() {
		r.send(dispatch.Configure{Config: document})
	}
	for _, pool := range poolsOf(document) {
		c.g.control.push(ctx, ownership.PoolConfigured{Pool: pool})
	}
	c.g.agents.assignPools()
	c.g.agents.broadcast()
	c.g.peers.broadcast()
	c.g.agents.wake()
	c.g.control.ownershipChanged()
}

// sync sends the document to a process with an older revision and asks a process with a newer one for its own.
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

func (c *config) sawAgent(agent structs.AgentRef, revision structs.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.force.SawAgent(c.g.now(), agent, revision)
}

func (c *config) sawGateway(gateway structs.GatewayRef, own, agents structs.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.force.SawGateway(c.g.now(), gateway, own, agents)
}

func (c *config) left(agent structs.AgentRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.force.Left(configuration.MemberAgent, string(agent.ID))
}

func (c *config) gatewayLeft(gateway structs.GatewayID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.force.Left(configuration.MemberGateway, string(gateway))
}

// agentsInForce returns the value of PeerHeartbeat.InForce and records this gateway's own state.
func (c *config) agentsInForce() structs.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.now()
	agents := c.force.Agents(now)
	c.force.SawGateway(now, c.g.self, c.document.Revision, agents)
	return agents
}

// status returns the state of a revision as this gateway sees it.
func (c *config) status(revision structs.Revision) configuration.ForceStatus {
	c.agentsInForce()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.force.Status(c.g.now(), revision)
}
