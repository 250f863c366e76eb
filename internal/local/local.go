// Package local runs a complete rosedrift system in one process for demonstrations and end-to-end tests: stand-ins of the
// store and of backend servers, agents and gateways, connected over loopback.
package local

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/agent"
	"rosedrift.example/rosedrift/internal/auth"
	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/gateway"
	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/query"
	"rosedrift.example/rosedrift/internal/standin"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
)

// The default size of a system, which is that of the lending desk's deployment.
const (
	DefaultService     = "lending"
	DefaultServers     = 11
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultGateways    = 2
)

// DefaultZones are the default availability zones.
var DefaultZones = []string{"catania", "palermo", "siracusa"}

// Slowness of the first and the last backend server. That of the others is spaced evenly in between.
const (
	minSlowness = 0.6
	maxSlowness = 1.8
)

// Options configures a system. The zero value gives the defaults.
type Options struct {
	Service  string
	Zones    []string
	Servers  int
	Gateways int
	// Pools is the number of pools of the service, 0 means 1.
	Pools uint16
	// FirstPort is the port of the first gateway's API, and the port after it takes the gateway's links. Each further
	// gateway has the next two ports. 0 lets the operating system choose all ports.
	FirstPort int
	Seed      uint64
	Logger    log.Logger
	// Metrics makes each gateway serve /metrics.
	Metrics bool
	// Faults provides each gateway with a Gateway.Fault, which injects faults into its links.
	Faults bool
}

func (o *Options) setDefaults() {
	if o.Service == "" {
		o.Service = DefaultService
	}
	if len(o.Zones) == 0 {
		o.Zones = DefaultZones
	}
	if o.Servers <= 0 {
		o.Servers = DefaultServers
	}
	if o.Gateways <= 0 {
		o.Gateways = DefaultGateways
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
}

// Gateway is one running gateway.
type Gateway struct {
	*gateway.Gateway
	// URL is the base URL of the API for callers and operators. Links is the address for links from agents and other
	// gateways.
	URL   string
	Links string
	// Fault injects faults into the gateway's links. It is nil without Options.Faults.
	Fault *link.Fault

	kill    context.CancelFunc
	done    chan struct{}
	err     error
	metrics *telemetry.Metrics
}

// Kill ends the gateway as a crash does, without a handover of its pools. It returns when all its goroutines have ended.
func (g *Gateway) Kill() {
	g.kill()
	<-g.done
}

// StopAndWait shuts the gateway down gracefully and returns the error of its Run.
func (g *Gateway) StopAndWait() error {
	g.Stop()
	<-g.done
	return g.err
}

// System is a running system. Close ends it.
type System struct {
	Store    *standin.Store
	Backends []*standin.Backend
	Agents   []*agent.Agent
	Gateways []*Gateway

	options    Options
	keys       *auth.Keys
	ctx        context.Context
	stopAll    context.CancelFunc
	agents     sync.WaitGroup
	stopAgents context.CancelFunc
}

// Start starts a system. It returns before the gateways own their pools; the first requests wait until they do.
func Start(options Options) (*System, error) {
	options.setDefaults()
	s := &System{Store: standin.NewStore(options.Seed), options: options}
	s.ctx, s.stopAll = context.WithCancel(context.Background())
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start() error {
	var err error
	if s.keys, err = auth.OpenKeys("", s.options.Logger); err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	for range s.options.Gateways {
		if _, err := s.AddGateway(); err != nil {
			return err
		}
	}
	agentCtx, stopAgents := context.WithCancel(s.ctx)
	s.stopAgents = stopAgents
	for i := range s.options.Servers {
		if err := s.addServer(agentCtx, i); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the first configuration, with one service, as an operator would do.
func (s *System) configure() error {
	writer := configuration.NewWriter(s.Store, configuration.WriterOptions{
		PoolsWithoutMajority: func(*structs.Configuration) []structs.PoolID { return nil },
	})
	_, err := writer.Propose(s.ctx, configuration.Proposal{
		Operator: "local",
		Command:  "service " + s.options.Service + " create",
		Apply: func(document *structs.Configuration) error {
			service := structs.DefaultServiceConfig()
			service.Pools = max(s.options.Pools, 1)
			document.Services = map[string]structs.ServiceConfig{s.options.Service: service}
			return nil
		},
	})
	return err
}

// listen listens on loopback, at an offset from Options.FirstPort or, if that is 0, on any free port.
func (s *System) listen(offset int) (net.Listener, error) {
	port := 0
	if s.options.FirstPort > 0 {
		port = s.options.FirstPort + offset
	}
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

// AddGateway starts one more gateway.
func (s *System) AddGateway() (*Gateway, error) {
	i := len(s.Gateways)
	api, err := s.listen(2 * i)
	if err != nil {
		return nil, err
	}
	links, err := s.listen(2*i + 1)
	if err != nil {
		_ = api.Close()
		return nil, err
	}
	g := &Gateway{
		URL: "http://" + api.Addr().String(), Links: links.Addr().String(), done: make(chan struct{}),
	}
	options := gateway.Options{
		Name: structs.GatewayID(fmt.Sprintf("gateway-%d", i+1)), Zone: s.options.Zones[i%len(s.options.Zones)],
		Store: s.Store, Listener: api, LinkListener: links, Logger: s.options.Logger, Auth: s.keys,
		Admin: s.registerAdmin, Seed: s.options.Seed,
	}
	if s.options.Faults {
		g.Fault = &link.Fault{}
		options.LinkFault = g.Fault
	}
	if s.options.Metrics {
		g.metrics = telemetry.NewMetrics("rosedrift", map[string]string{"gateway": string(options.Name)})
		options.Metrics = g.metrics
	}
	if g.Gateway, err = gateway.New(options); err != nil {
		return nil, err
	}
	var ctx context.Context
	ctx, g.kill = context.WithCancel(s.ctx)
	go func() {
		defer close(g.done)
		g.err = g.Run(ctx)
	}()
	s.Gateways = append(s.Gateways, g)
	return g, nil
}

// registerAdmin adds the operators' API and pages to a gateway's API.
func (s *System) registerAdmin(mux *http.ServeMux, system admin.System) {
	admin.NewHandler(admin.Options{
		System: system, Executor: query.NewExecutor(system), Authenticator: s.keys, Logger: s.options.Logger,
	}).Register(mux)
}

// addServer starts one more agent with its backend server.
func (s *System) addServer(ctx context.Context, i int) error {
	name := fmt.Sprintf("%s-%02d", s.options.Service, i+1)
	var links []string
	for _, g := range s.Gateways {
		links = append(links, g.Links)
	}
	a, err := agent.NewAgent(agent.ProcessOptions{
		MachineOptions: agent.MachineOptions{
			Self: structs.AgentRef{ID: structs.AgentID(name), Incarnation: structs.Incarnation(time.Now().UnixNano())},
			Zone: s.options.Zones[i%len(s.options.Zones)],
		},
		Listen:   "127.0.0.1:0",
		Gateways: links,
		Logger:   s.options.Logger,
	})
	if err != nil {
		return err
	}
	s.Agents = append(s.Agents, a)
	s.agents.Go(func() { _ = a.Run(ctx) })
	backend, err := standin.NewBackend(standin.BackendOptions{
		Name: name, Service: s.options.Service, Address: "127.0.0.1:0", Agent: a.Address(), Slots: DefaultSlots,
		Connections: DefaultConnections, Seed: s.options.Seed + uint64(i), Logger: s.options.Logger,
		Faults: standin.BackendFaults{Slowness: slownessOf(i, s.options.Servers), Jitter: 0.1},
	})
	if err != nil {
		return err
	}
	s.Backends = append(s.Backends, backend)
	return nil
}

func slownessOf(i, servers int) float64 {
	if servers < 2 {
		return 1
	}
	return minSlowness + (maxSlowness-minSlowness)*float64(i)/float64(servers-1)
}

// URLs returns the base URLs of all gateways.
func (s *System) URLs() []string {
	var urls []string
	for _, g := range s.Gateways {
		urls = append(urls, g.URL)
	}
	return urls
}

// Close ends all parts. The agents stop first, while the gateways can still receive their last results.
func (s *System) Close() {
	if s.stopAgents != nil {
		s.stopAgents()
	}
	s.agents.Wait()
	s.stopAll()
	for _, g := range s.Gateways {
		<-g.done
		if g.metrics != nil {
			_ = g.metrics.Close()
		}
	}
	for _, b := range s.Backends {
		b.Kill()
	}
	s.Store.Close()
}
