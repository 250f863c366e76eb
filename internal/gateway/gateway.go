// Package gateway is the process shell of a rosedrift gateway: the caller API, the links with agents and other
// gateways, the store, and one goroutine for each duty around the state machines of packages ownership and dispatch.
//
// A gateway has two sides. The entry side takes callers' requests, keeps submitted bodies and delivers them to the
// owner of their pool. The owner side runs the pools that this gateway owns. Both work on structs.Forward and
// structs.ForwardReply, whether the other side is in the same process or behind a link.
package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/journal"
	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
)

// Authenticator finds the team of a caller's request. A refusal has outcome not_run.
type Authenticator interface {
	Team(r *http.Request) (string, *structs.Problem)
}

// Options configures a gateway. Name, Zone, Store, Listener, LinkListener and Auth are required.
type Options struct {
	Name structs.GatewayID
	Zone string
	// Incarnation must differ between runs under one name; 0 draws a random one.
	Incarnation structs.Incarnation
	Store       store.Store
	// Listener serves callers and operators, LinkListener agents and gateways. Run closes both.
	Listener     net.Listener
	LinkListener net.Listener
	// Advertise is the address (host:port) of LinkListener for others; empty means the listener's own.
	Advertise string
	Logger    log.Logger
	// Metrics may be nil.
	Metrics *telemetry.Metrics
	// APITLS and LinkTLS secure the listeners; nil means plain TCP. ClientTLS returns the configuration of one dial.
	APITLS    *tls.Config
	LinkTLS   *tls.Config
	ClientTLS func() *tls.Config
	// IsGateway reports whether the certificate of an accepted link is a gateway's; nil accepts every peer as one.
	IsGateway func(tls.ConnectionState) bool
	// LinkKey is the shared key of rosedrift processes; empty means none.
	LinkKey string
	// LinkFault injects faults into all links in tests.
	LinkFault *link.Fault
	Auth      Authenticator
	// Admin adds the admin API and the status page to the mux; nil adds none.
	Admin func(mux *http.ServeMux, system admin.System)
	// DrainTimeout bounds a planned stop, 0 means a minute.
	DrainTimeout time.Duration
	// MaxBodyBytes bounds a body whatever the configuration says, HeldBytes the memory for all bodies of callers.
	MaxBodyBytes int64
	HeldBytes    int64
	// Policy and Seed are passed to the pools.
	Policy dispatch.Policy
	Seed   uint64
}

// Defaults of Options.
const (
	defaultDrainTimeout = time.Minute
	defaultMaxBodyBytes = 64 << 20
	defaultHeldBytes    = 512 << 20
)

// Gateway is one gateway process. Create it with New and call Run once.
type Gateway struct {
	options Options
	self    structs.GatewayRef
	logger  log.Logger
	scope   tally.Scope
	health  *telemetry.Health
	// started is the origin of the monotonic time that all duties and state machines use.
	started time.Time

	control *control
	agents  *agents
	peers   *peers
	config  *config
	budget  *journal.Budget
	pending *pendingJobs
	tickets *ticketCache
	held    memory
	streams atomic.Int64
	metrics entryMetrics

	// ctx ends when the gateway ends; it is set by Run before any duty starts.
	ctx context.Context
	// background counts pool runners, pending jobs and other goroutines besides the duties.
	background sync.WaitGroup
	stopping   atomic.Bool
	// stopContext ends when a planned stop is ordered.
	stopContext context.Context
	orderStop   context.CancelFunc
	api         *http.Server
	// lastRenewal is the time of the last successful lease renewal, 0 before the first.
	lastRenewal atomic.Int64
	// lease is the store lease in force, 0 if there is none.
	lease atomic.Uint64
}

// New returns a gateway that has not started.
func New(options Options) (*Gateway, error) {
	if err := complete(&options); err != nil {
		return nil, err
	}
	g := &Gateway{
		options: options,
		self:    structs.GatewayRef{ID: options.Name, Incarnation: options.Incarnation},
		logger:  log.With(options.Logger, "gateway", string(options.Name)),
		scope:   tally.NoopScope,
		health:  telemetry.NewHealth("no store lease yet"),
		started: time.Now(),
		held:    memory{limit: options.HeldBytes},
	}
	g.stopContext, g.orderStop = context.WithCancel(context.Background())
	if options.Metrics != nil {
		g.scope = options.Metrics.Scope
	}
	g.health.MarkNotReady("configuration", "not read yet")
	g.control = newControl(g)
	g.agents = newAgents(g)
	g.peers = newPeers(g)
	g.config = newConfig(g)
	g.budget = journal.NewBudget()
	g.pending = newPendingJobs()
	g.tickets = newTicketCache(g)
	g.metrics = newEntryMetrics(g.scope)
	g.api = &http.Server{
		Handler:           g.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          g.httpLog(),
	}
	return g, nil
}

func complete(o *Options) error {
	if o.Name == "" || o.Zone == "" || o.Store == nil || o.Auth == nil {
		return errors.New("gateway: name, zone, store and authenticator are required")
	}
	if o.Listener == nil || o.LinkListener == nil {
		return errors.New("gateway: both listeners are required")
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Advertise == "" {
		o.Advertise = o.LinkListener.Addr().String()
	}
	for o.Incarnation == 0 {
		o.Incarnation = structs.Incarnation(rand.Uint64() >> 1)
	}
	if o.DrainTimeout <= 0 {
		o.DrainTimeout = defaultDrainTimeout
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.HeldBytes <= 0 {
		o.HeldBytes = defaultHeldBytes
	}
	return nil
}

// now returns the monotonic time since the start of the gateway.
func (g *Gateway) now() time.Duration { return time.Since(g.started) }

// Health returns the readiness of the gateway.
func (g *Gateway) Health() *telemetry.Health { return g.health }

// Ref returns the gateway's name and incarnation.
func (g *Gateway) Ref() structs.GatewayRef { return g.self }

// Stop begins a planned stop: pools are handed over, callers' requests finish and Run returns nil.
func (g *Gateway) Stop() { g.orderStop() }

// errStopped ends the duties after a planned stop.
var errStopped = errors.New("gateway: planned stop is complete")

// Run serves until the context ends or a planned stop is complete. The end of the context is abrupt: nothing is
// handed over, as after a crash. Run returns when all goroutines of the gateway have ended.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	g.ctx = ctx
	duties := []func(context.Context) error{
		g.serveAPI, g.serveLinks, g.control.run, g.renewLease, g.agents.run, g.peers.run,
		g.watchMembers, g.watchRecords, g.watchConfig, g.awaitStop,
	}
	for _, duty := range duties {
		group.Go(func() error { return duty(ctx) })
	}
	_ = level.Info(g.logger).Log("msg", "gateway started", "ref", g.self, "zone", g.options.Zone,
		"api", g.options.Listener.Addr(), "links", g.options.Advertise)
	err := group.Wait()
	g.orderStop()
	g.agents.closeAll()
	g.peers.closeAll()
	g.background.Wait()
	if errors.Is(err, errStopped) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// spawn runs a function in a goroutine that Run waits for.
func (g *Gateway) spawn(f func()) { g.background.Go(f) }

func (g *Gateway) serveAPI(ctx context.Context) error {
	return serve(ctx, g.api, limitListener(g.options.Listener, maxConnections), g.options.APITLS)
}

func (g *Gateway) serveLinks(ctx context.Context) error {
	server := &http.Server{
		Handler: http.HandlerFunc(g.acceptLink), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: g.linkLog(),
	}
	return serve(ctx, server, g.options.LinkListener, g.options.LinkTLS)
}

// httpLog passes the complaints of the HTTP server about single connections on.
func (g *Gateway) httpLog() *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(level.Debug(g.logger)), "", 0)
}

// handshakeInterval bounds the warnings about refused handshakes of links.
const handshakeInterval = 10 * time.Second

// linkLog passes the complaints about single links on: those about certificates as warnings at a bounded rate.
func (g *Gateway) linkLog() *stdlog.Logger {
	return stdlog.New(&linkLog{
		handshakes: telemetry.NewRateLimited(g.logger, handshakeInterval), others: level.Debug(g.logger),
	}, "", 0)
}

// linkLog is the writer behind the error log of the HTTP server for links. It gets one line at a time.
type linkLog struct{ handshakes, others log.Logger }

// Write implements io.Writer. A connection that ends during the handshake is no fault: load balancers probe so.
func (l *linkLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	_, fault, found := strings.Cut(text, "TLS handshake error from ")
	if !found || strings.HasSuffix(text, ": EOF") {
		return len(line), l.others.Log("msg", text)
	}
	peer, reason, _ := strings.Cut(fault, ": ")
	return len(line), l.handshakes.Log("msg", "link refused in the TLS handshake", "peer", peer, "err", reason)
}

func serve(ctx context.Context, server *http.Server, listener net.Listener, secure *tls.Config) error {
	if secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	unhook := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer unhook()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("gateway: serving %s: %w", listener.Addr(), err)
	}
	return nil
}

// Config returns the configuration that this gateway applies. It is read only and never nil.
func (g *Gateway) Config() *structs.Configuration { return g.config.current() }
