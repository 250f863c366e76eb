// Package platformgateway is the I/O layer of a gateway on the users' platform, program rosedrift-entry. It serves
// the callers' requests and the load balancer's readiness check, holds the links with agents, follows the operators'
// configuration and the list of gateways, and runs the state machine of package schedule in an event loop.
package platformgateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/eventloop"
	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/schedule"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
	"rosedrift.example/rosedrift/platform"
)

// Options configures a gateway.
type Options struct {
	Settings platform.Settings
	Self     structs.GatewayRef
	Logger   log.Logger
	Metrics  *telemetry.Metrics
	// MetricsListen is the address of the metrics, empty for none.
	MetricsListen string
}

// Times of a planned stop, from the order.
const (
	// balancerNotice is how long the balancer may go on sending new connections: two checks, one a second, and some.
	balancerNotice = 2500 * time.Millisecond
	// stopShare is the part of the stop grace after which the process ends whatever still runs. The rest is for the
	// exit.
	stopShare = 0.85
	// drainCheck is the time between looks whether all requests have been answered.
	drainCheck = 20 * time.Millisecond
	// pauseLateness is how late a pause of drainCheck may end in a process that gets its processor; timers of the users' VMs fire
	// a few ms late. With drainCheck it stays far below the 200 ms of quietTime.
	pauseLateness = 30 * time.Millisecond
	// quietTime is how long no request must have been open, after new connections are refused, before open ones are closed.
	// The users count a request as lost if its connection ends without an answer over 200 ms after it was sent.
	quietTime = 200 * time.Millisecond
)

// Gateway is one gateway process.
type Gateway struct {
	options   Options
	logger    log.Logger
	loop      *eventloop.Loop
	scheduler *schedule.Scheduler
	store     *platform.StoreClient
	operator  *operator
	members   *members
	agents    *agents
	requests  *requests
	api       *http.Server
	// listener takes the callers' connections; it is nil before the start.
	listener atomic.Pointer[net.Listener]
	metrics  entryMetrics
	// serving is true while at least one server takes work; it is set by the loop.
	serving  atomic.Bool
	stopping atomic.Bool
	// closing is set when a planned stop takes no more jobs.
	closing atomic.Bool
}

type entryMetrics struct {
	submitted, completed, failed, refused, lost tally.Counter
	placed                                      tally.Counter
	latency                                     tally.Histogram
}

func newMetrics(scope tally.Scope) entryMetrics {
	return entryMetrics{
		submitted: scope.Counter("jobs_submitted"), completed: scope.Counter("jobs_completed"),
		failed: scope.Counter("jobs_failed"), refused: scope.Counter("jobs_refused"), lost: scope.Counter("jobs_lost"),
		placed:  scope.Counter("tasks_placed"),
		latency: scope.Histogram("job_seconds", tally.MustMakeExponentialDurationBuckets(8*time.Millisecond, 2, 12)),
	}
}

// New returns a gateway that has not started.
func New(options Options) *Gateway {
	g := &Gateway{options: options, logger: options.Logger}
	g.loop = eventloop.New(g.flush, func() time.Duration { return g.scheduler.NextWake() })
	s := options.Settings
	g.scheduler = schedule.New(g.loop.Now(), schedule.Options{
		Self: options.Self, Zone: s.Zone, OffRackFactor: s.Bounds.OffRackFactor, RunLease: s.Bounds.RunLease,
	})
	g.store = platform.NewStoreClient("http://"+s.StoreAddress, storeTimeout, nil)
	g.metrics = newMetrics(options.Metrics.Scope)
	g.operator = &operator{gateway: g}
	g.members = &members{gateway: g}
	g.agents = &agents{gateway: g, conns: map[structs.AgentID]*conn{}}
	g.requests = newRequests(g)
	g.api = &http.Server{
		Addr: s.ClientAddress, Handler: g.requests, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	return g
}

// Run serves until the planned stop that the context's end begins is complete.
func (g *Gateway) Run(ctx context.Context) error {
	_ = level.Info(g.logger).Log("msg", "gateway started", "gateway", g.options.Self, "zone", g.options.Settings.Zone)
	duties := []func(context.Context) error{
		g.loop.Run, g.serveReadiness, g.serveLinks, g.operator.run, g.members.run,
		g.serveCallers,
		func(ctx context.Context) error {
			return telemetry.ServeMetrics(ctx, g.options.MetricsListen, g.options.Metrics)
		},
	}
	err := eventloop.RunAll(ctx, g.stop, duties...)
	_ = level.Info(g.logger).Log("msg", "gateway stopped", "err", err)
	return err
}

// serveCallers serves the callers until the context ends. A planned stop closes the listener before the connections.
func (g *Gateway) serveCallers(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", g.api.Addr)
	if err != nil {
		return fmt.Errorf("entry: listening: %w", err)
	}
	g.listener.Store(&listener)
	return telemetry.ServeListener(ctx, g.api, listener)
}

// stop ends in order: the balancer is told, and requests are served until it should send none any more. Later ones are
// refused, since their jobs could not end before the process must. When all are answered, new connections are refused, and
// the open ones are closed once they have been quiet: the balancer goes on sending while most of a zone's gateways stop.
func (g *Gateway) stop(ctx context.Context) {
	began := time.Now()
	g.stopping.Store(true)
	_ = level.Info(g.logger).Log("msg", "planned stop", "open_requests", g.requests.open.Load())
	limit := time.Duration(stopShare * float64(g.options.Settings.Bounds.StopGrace))
	ctxtime.Sleep(ctx, min(balancerNotice, limit/2))
	g.closing.Store(true)
	g.closeIdle(ctx, limit/4)
	if !g.awaitQuiet(ctx, 0, limit-time.Since(began)) {
		return
	}
	g.members.leave()
	if listener := g.listener.Load(); listener != nil {
		_ = (*listener).Close() // it only fails if it is closed
	}
	g.awaitQuiet(ctx, quietTime, limit-time.Since(began))
	_ = level.Info(g.logger).Log("msg", "planned stop ends", "open_requests", g.requests.open.Load(),
		"after", time.Since(began))
}

// closeIdle closes the idle connections, so that their callers come through the balancer. It does so after a pause that ends
// on time: a process that gets no processor has not read what has arrived, and a connection with an unread request is idle.
func (g *Gateway) closeIdle(ctx context.Context, limit time.Duration) {
	for began := time.Now(); time.Since(began) < limit; {
		pause := time.Now()
		if !ctxtime.Sleep(ctx, drainCheck) {
			return
		}
		if time.Since(pause) < drainCheck+pauseLateness {
			g.api.SetKeepAlivesEnabled(false)
			return
		}
	}
}

// awaitQuiet waits until no request has been open for a time, and returns false if the context ends before.
func (g *Gateway) awaitQuiet(ctx context.Context, quiet, limit time.Duration) bool {
	began, since := time.Now(), time.Now()
	for time.Since(began) < limit {
		if g.requests.open.Load() > 0 || g.requests.arrived.Swap(false) {
			since = time.Now()
		} else if time.Since(since) >= quiet {
			return true
		}
		if !ctxtime.Sleep(ctx, drainCheck) {
			return false
		}
	}
	return true
}

// flush carries out what the scheduler has decided.
func (g *Gateway) flush(now time.Duration) {
	for _, action := range g.scheduler.Flush(now) {
		switch action := action.(type) {
		case schedule.Send:
			if place, ok := action.Message.(*structs.Place); ok {
				g.metrics.placed.Inc(int64(len(place.Tasks)))
			}
			g.agents.send(action)
		case schedule.CloseLink:
			g.agents.drop(action.Agent)
		case schedule.Answer:
			g.requests.answer(action)
		case schedule.LogEntry:
			g.log(action)
		}
	}
	g.serving.Store(g.scheduler.UsableServers() > 0)
}

// log writes a decision of the scheduler, without the fields that do not apply.
func (g *Gateway) log(n schedule.LogEntry) {
	fields := []any{"msg", n.Message}
	if n.Job != "" {
		fields = append(fields, "job", n.Job)
	}
	if n.Agent != "" {
		fields = append(fields, "agent", n.Agent)
	}
	if n.Server != "" {
		fields = append(fields, "server", n.Server)
	}
	if n.Tasks > 0 {
		fields = append(fields, "tasks", n.Tasks, "age", n.Age)
	}
	if n.ExpectedRunTime > 0 {
		fields = append(fields, "expected", n.ExpectedRunTime, "free", n.FreeCPU)
	}
	if n.Detail != "" {
		fields = append(fields, "detail", n.Detail)
	}
	_ = level.Info(g.logger).Log(fields...)
}

// serveReadiness answers the balancer.
func (g *Gateway) serveReadiness(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Addr: g.options.Settings.ReadinessAddress, Handler: mux, ReadHeaderTimeout: headerTimeout}
	return telemetry.ServeHTTP(ctx, server)
}

// ready reports whether new connections are welcome: the configuration is known, a server takes work, and no stop is
// under way.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.operator.routing.Load() != nil && g.serving.Load()
}

// serveLinks accepts the links of agents.
func (g *Gateway) serveLinks(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+link.PathAgent, g.agents.accept)
	server := &http.Server{Addr: g.options.Settings.LinkAddress, Handler: mux, ReadHeaderTimeout: headerTimeout}
	err := telemetry.ServeHTTP(ctx, server)
	g.agents.closeAll()
	return err
}
