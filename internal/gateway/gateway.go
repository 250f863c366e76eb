// Package gateway is the I/O layer of a rosedrift gateway: the caller API, the links to agents and other gateways,
// access to the store, and the goroutines that run the state machines of packages ownership and dispatch.
//
// A gateway has two sides. The entry side accepts callers' requests, keeps submitted bodies and delivers each to the
// owner of its pool. The owner side runs the pools that this gateway owns. The two sides exchange structs.Forward and
// structs.ForwardReply, whether they are in the same process or connected by a link.
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

// Authenticator determines the team that a caller's request belongs to. A refusal has outcome not_run.
type Authenticator interface {
	Team(r *http.Request) (string, *structs.Problem)
}

// Options configures a gateway. Name, Zone, Store, Listener, LinkListener and Auth are required.
type Options struct {
	Name structs.GatewayID
	Zone string
	// Incarnation must differ between processes that run under one name; 0 draws a random one.
	Incarnation structs.Incarnation
	Store       store.Store
	// Listener accepts callers and operators, LinkListener agents and other gateways. Run closes both.
	Listener     net.Listener
	LinkListener net.Listener
	// Advertise is the address (host:port) at which others reach LinkListener; empty means the listener's own address.
	Advertise string
	Logger    log.Logger
	// Metrics may be nil.
	Metrics *telemetry.Metrics
	// APITLS and LinkTLS configure the listeners; nil means plain TCP. ClientTLS returns the configuration for one
	// outgoing link.
	APITLS    *tls.Config
	LinkTLS   *tls.Config
	ClientTLS func() *tls.Config
	// IsGateway reports whether the certificate of an accepted link belongs to a gateway; nil treats every peer as one.
	IsGateway func(tls.ConnectionState) bool
	// LinkKey is the shared key that rosedrift processes send when they open a link; empty means none.
	LinkKey string
	// LinkFault injects faults into all links. It is used by tests.
	LinkFault *link.Fault
	Auth      Authenticator
	// Admin registers the admin API and the status page; nil registers nothing.
	Admin func(mux *http.ServeMux, system admin.System)
	// DrainTimeout limits a graceful shutdown; 0 means one minute.
	DrainTimeout time.Duration
	// MaxBodyBytes limits a request body regardless of the configuration, HeldBytes the memory for all bodies and
	// answers held for callers.
	MaxBodyBytes int64
	HeldBytes    int64
	// Policy and Seed are passed to the pools' state machines.
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
	// started is the origin of the monotonic time that all loops and state machines use.
	started time.Time

	pools         *poolManager
	agents        *agents
	peers         *peers
	config        *config
	journalBudget *journal.Budget
	pending       *pendingJobs
	tickets       *ticketCache
	heldBytes     byteBudget
	openStreams   atomic.Int64
	metrics       entryMetrics

	// ctx is canceled when the gateway ends. Run sets it before it starts any loop.
	ctx context.Context
	// background counts the goroutines besides the loops that Run starts, such as pool runners and deliveries of
	// pending jobs.
	background sync.WaitGroup
	// stopping is true from the start of a graceful shutdown.
	stopping atomic.Bool
	// stopContext is canceled when a graceful shutdown is requested.
	stopContext context.Context
	requestStop context.CancelFunc
	api         *http.Server
	// lastRenewal is the time (see now) of the last successful lease renewal, 0 before the first.
	lastRenewal atomic.Int64
	// lease is the ID of the current store lease, 0 if there is none.
	lease atomic.Uint64
}

// New returns a gateway; Run starts it.
func New(options Options) (*Gateway, error) {
	if err := completeOptions(&options); err != nil {
		return nil, err
	}
	g := &Gateway{
		options:   options,
		self:      structs.GatewayRef{ID: options.Name, Incarnation: options.Incarnation},
		logger:    log.With(options.Logger, "gateway", string(options.Name)),
		scope:     tally.NoopScope,
		health:    telemetry.NewHealth("no store lease yet"),
		started:   time.Now(),
		heldBytes: byteBudget{limit: options.HeldBytes},
	}
	g.stopContext, g.requestStop = context.WithCancel(context.Background())
	if options.Metrics != nil {
		g.scope = options.Metrics.Scope
	}
	g.health.MarkNotReady("configuration", "not read yet")
	g.pools = newPoolManager(g)
	g.agents = newAgents(g)
	g.peers = newPeers(g)
	g.config = newConfig(g)
	g.journalBudget = journal.NewBudget()
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

// completeOptions checks the required options and sets the defaults of the others.
func completeOptions(o *Options) error {
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

// Health returns the readiness state of the gateway.
func (g *Gateway) Health() *telemetry.Health { return g.health }

// Ref returns the gateway's name and incarnation.
func (g *Gateway) Ref() structs.GatewayRef { return g.self }

// Stop requests a graceful shutdown: pools are handed over, callers' requests are finished, and Run returns nil.
func (g *Gateway) Stop() { g.requestStop() }

// errStopped ends the loops after a graceful shutdown.
var errStopped = errors.New("gateway: graceful shutdown complete")

// Run serves until the context is canceled or a graceful shutdown is complete. Cancellation is abrupt: no pool is
// handed over, as after a crash. Run returns when all goroutines of the gateway have ended.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	g.ctx = ctx
	loops := []func(context.Context) error{
		g.serveAPI, g.serveLinks, g.pools.run, g.renewLease, g.agents.run, g.peers.run,
		g.watchMembers, g.watchRecords, g.watchConfig, g.runShutdown,
	}
	for _, loop := range loops {
		group.Go(func() error { return loop(ctx) })
	}
	_ = level.Info(g.logger).Log("msg", "gateway started", "ref", g.self, "zone", g.options.Zone,
		"api", g.options.Listener.Addr(), "links", g.options.Advertise)
	err := group.Wait()
	g.requestStop()
	g.agents.abortLinks()
	g.peers.abortLinks()
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

// httpLog logs the HTTP server's errors about individual connections at debug level.
func (g *Gateway) httpLog() *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(level.Debug(g.logger)), "", 0)
}

// handshakeLogInterval limits the rate of warnings about failed TLS handshakes on links.
const handshakeLogInterval = 10 * time.Second

// linkLog logs the HTTP server's errors about individual links: failed TLS handshakes as rate-limited warnings, all
// others at debug level.
func (g *Gateway) linkLog() *stdlog.Logger {
	return stdlog.New(&linkLog{
		handshakes: telemetry.NewRateLimited(g.logger, handshakeLogInterval), others: level.Debug(g.logger),
	}, "", 0)
}

// linkLog is the writer behind the error log of the HTTP server for links. Each call of Write gets one line.
type linkLog struct{ handshakes, others log.Logger }

// Write implements io.Writer. A connection closed during the handshake is not logged as a failure, since load balancers
// probe ports that way.
func (l *linkLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	_, detail, found := strings.Cut(text, "TLS handshake error from ")
	if !found || strings.HasSuffix(text, ": EOF") {
		return len(line), l.others.Log("msg", text)
	}
	peer, reason, _ := strings.Cut(detail, ": ")
	return len(line), l.handshakes.Log("msg", "link refused in the TLS handshake", "peer", peer, "err", reason)
}

// serve runs an HTTP server on a listener until the context ends.
func serve(ctx context.Context, server *http.Server, listener net.Listener, tlsConfig *tls.Config) error {
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("gateway: serving %s: %w", listener.Addr(), err)
	}
	return nil
}

// Config returns the configuration that this gateway applies. It is read-only and never nil.
func (g *Gateway) Config() *structs.Configuration { return g.config.current() }
