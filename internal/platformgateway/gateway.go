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
	// MetricsListen is the address that serves the metrics, or empty for none.
	MetricsListen string
	// Listen opens the listeners other than that of the metrics. nil means telemetry.ListenTCP.
	Listen telemetry.ListenFunc
	// EarlyRefusal is that of schedule.Options.
	EarlyRefusal float64
}

// Times of a graceful shutdown.
const (
	// balancerDelay is how long the load balancer may continue to send new connections: two checks, one a second, and a
	// margin.
	balancerDelay = 2500 * time.Millisecond
	// shutdownShare is the share of the stop grace after which the process exits whatever is still running. The rest
	// is for the exit itself.
	shutdownShare = 0.85
	// drainPollInterval is the time between checks whether all requests have been answered.
	drainPollInterval = 20 * time.Millisecond
	// maxTimerLateness is how late a pause of drainPollInterval may end in a process that gets enough processor time.
	// Timers on the users' VMs fire a few ms late. Together with drainPollInterval it stays far below the 200 ms of
	// quietPeriod.
	maxTimerLateness = 30 * time.Millisecond
	// quietPeriod is how long no request must have been open, after new connections are refused, before open
	// connections are closed. The users count a request as lost if its connection ends without an answer more than
	// 200 ms after it was sent.
	quietPeriod = 200 * time.Millisecond
)

// Gateway is one gateway process.
type Gateway struct {
	options      Options
	logger       log.Logger
	loop         *eventloop.Loop
	scheduler    *schedule.Scheduler
	store        *platform.StoreClient
	operator     *operatorWatcher
	membership   *membership
	agents       *agentLinks
	requests     *requestHandler
	stalls       stallDetector
	started      time.Time
	callerServer *http.Server
	// listener accepts the callers' connections. It is nil before the start.
	listener atomic.Pointer[net.Listener]
	metrics  gatewayMetrics
	// hasUsableServer is true while at least one server accepts tasks. The event loop sets it.
	hasUsableServer atomic.Bool
	// shuttingDown is set at the beginning of a graceful shutdown, refusesJobs when the shutdown stops accepting
	// jobs.
	shuttingDown atomic.Bool
	refusesJobs  atomic.Bool
}

type gatewayMetrics struct {
	submitted, completed, failed, refused, lost tally.Counter
	placed, givenUp, refusedEarly               tally.Counter
	quarantined, racksInDemand, rackUtilization tally.Gauge
	// cancelled and unconfirmedCancels count the requests to cancel a job, and those that no agent has passed on in time.
	cancelled, unconfirmedCancels tally.Counter
	// jobsHeld counts the submissions of jobs that another gateway held, jobsTaken the jobs that ended because their callers had
	// submitted them through another gateway, claimsUnanswered the jobs that went on without an answer to their claim.
	jobsHeld, jobsTaken, claimsUnanswered tally.Counter
	// invalidGateways is the number of entries in the list of gateways without an address.
	invalidGateways tally.Gauge
	// expired and abandoned count the submissions whose callers' time was over, or whose callers had left, before the event
	// loop handled them.
	expired, abandoned tally.Counter
	// stalled counts the submissions that were refused because they were read too late, and unread is the time for which requests may
	// have waited before they were read.
	stalled tally.Counter
	unread  tally.Histogram
	latency tally.Histogram
	// inputDelay is the time that submissions and departures of callers wait in the queue of the event loop.
	inputDelay tally.Histogram
	racks      rackMetrics
}

func newMetrics(scope tally.Scope) gatewayMetrics {
	return gatewayMetrics{
		submitted: scope.Counter("jobs_submitted"), completed: scope.Counter("jobs_completed"),
		failed: scope.Counter("jobs_failed"), refused: scope.Counter("jobs_refused"), lost: scope.Counter("jobs_lost"),
		placed: scope.Counter("tasks_placed"), refusedEarly: scope.Counter("jobs_refused_early"),
		givenUp: scope.Counter("jobs_given_up"), quarantined: scope.Gauge("queues_in_quarantine"),
		racksInDemand: scope.Gauge("racks_in_demand"), rackUtilization: scope.Gauge("rack_utilization_highest"),
		cancelled: scope.Counter("cancellings"), unconfirmedCancels: scope.Counter("cancellings_unconfirmed"),
		jobsHeld: scope.Counter("jobs_held_elsewhere"), jobsTaken: scope.Counter("jobs_taken_elsewhere"),
		claimsUnanswered: scope.Counter("claims_unanswered"),
		invalidGateways:  scope.Gauge("invalid_gateway_entries"),
		expired:          scope.Counter("submissions_expired"), abandoned: scope.Counter("submissions_abandoned"),
		stalled:    scope.Counter("submissions_stalled"),
		unread:     scope.Histogram("unread_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
		inputDelay: scope.Histogram("input_delay_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
		latency:    scope.Histogram("job_seconds", tally.MustMakeExponentialDurationBuckets(8*time.Millisecond, 2, 12)),
		racks:      newRackMetrics(scope),
	}
}

// New returns a gateway that has not been started.
func New(options Options) *Gateway {
	if options.Listen == nil {
		options.Listen = telemetry.ListenTCP
	}
	g := &Gateway{options: options, logger: options.Logger, started: time.Now()}
	g.loop = eventloop.New(g.performActions, func() time.Duration { return g.scheduler.NextWake() })
	s := options.Settings
	g.scheduler = schedule.New(g.loop.Now(), schedule.Options{
		Self: options.Self, Zone: s.Zone, OffRackFactor: s.Bounds.OffRackFactor, RunLease: s.Bounds.RunLease,
		EarlyRefusal: options.EarlyRefusal,
	})
	g.store = platform.NewStoreClient("http://"+s.StoreAddress, storeTimeout, nil)
	g.metrics = newMetrics(options.Metrics.Scope)
	g.operator = &operatorWatcher{gateway: g}
	g.membership = &membership{gateway: g, reported: map[string]bool{}}
	g.agents = &agentLinks{gateway: g, conns: map[structs.AgentID]*conn{}}
	g.requests = newRequestHandler(g)
	g.callerServer = &http.Server{
		Addr: s.ClientAddress, Handler: g.requests, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: withConn,
	}
	return g
}

// Run serves until ctx ends and the graceful shutdown that follows is complete.
func (g *Gateway) Run(ctx context.Context) error {
	_ = level.Info(g.logger).Log("msg", "gateway started", "gateway", g.options.Self, "zone", g.options.Settings.Zone)
	workers := []func(context.Context) error{
		g.loop.Run, g.serveReadiness, g.serveLinks, g.operator.run, g.membership.run,
		g.serveCallers,
		func(ctx context.Context) error { return g.stalls.run(ctx, g.clocks) },
		func(ctx context.Context) error {
			return telemetry.ServeMetrics(ctx, g.options.MetricsListen, g.options.Metrics, append(g.quarantineRoutes(), g.whereRoutes()...)...)
		},
	}
	err := eventloop.RunAll(ctx, g.shutDown, workers...)
	_ = level.Info(g.logger).Log("msg", "gateway stopped", "err", err)
	return err
}

// clocks reads the clocks for the detection of stalls.
func (g *Gateway) clocks() clockReading {
	return clockReading{boot: g.loop.Now(), running: time.Since(g.started)}
}

// serveCallers serves the callers until ctx ends. A graceful shutdown closes the listener before the connections.
func (g *Gateway) serveCallers(ctx context.Context) error {
	listener, err := g.options.Listen(ctx, g.callerServer.Addr)
	if err != nil {
		return fmt.Errorf("platformgateway: listening: %w", err)
	}
	g.listener.Store(&listener)
	return telemetry.ServeListener(ctx, g.callerServer, listener)
}

// shutDown shuts the gateway down in order. The readiness check fails, and requests are served until the balancer
// should no longer send any. Later jobs are refused, since they could not end before the process must. Once all
// requests are answered, new connections are refused. Open connections are closed after a quiet period, because the
// balancer keeps sending while most gateways of a zone are shutting down.
func (g *Gateway) shutDown(ctx context.Context) {
	began := time.Now()
	g.shuttingDown.Store(true)
	_ = level.Info(g.logger).Log("msg", "graceful shutdown started", "open_requests", g.requests.open.Load())
	limit := time.Duration(shutdownShare * float64(g.options.Settings.Bounds.StopGrace))
	ctxtime.Sleep(ctx, min(balancerDelay, limit/2))
	g.refusesJobs.Store(true)
	g.closeIdle(ctx, limit/4)
	if !g.awaitQuiet(ctx, 0, limit-time.Since(began)) {
		return
	}
	g.membership.leave()
	if listener := g.listener.Load(); listener != nil {
		_ = (*listener).Close() // fails only if it is closed already
	}
	g.awaitQuiet(ctx, quietPeriod, limit-time.Since(began))
	_ = level.Info(g.logger).Log("msg", "graceful shutdown complete", "open_requests", g.requests.open.Load(),
		"after", time.Since(began))
}

// closeIdle closes idle connections, so that their callers reconnect through the balancer. It waits for a pause that
// ends on time: a process that gets no processor time has not read what has arrived, and a connection with an unread
// request counts as idle.
func (g *Gateway) closeIdle(ctx context.Context, limit time.Duration) {
	for began := time.Now(); time.Since(began) < limit; {
		pause := time.Now()
		if !ctxtime.Sleep(ctx, drainPollInterval) {
			return
		}
		if time.Since(pause) < drainPollInterval+maxTimerLateness {
			g.callerServer.SetKeepAlivesEnabled(false)
			return
		}
	}
}

// awaitQuiet waits until no request has been open for the duration quiet, at most for limit. It returns false only
// if ctx ends first.
func (g *Gateway) awaitQuiet(ctx context.Context, quiet, limit time.Duration) bool {
	began, since := time.Now(), time.Now()
	for time.Since(began) < limit {
		if g.requests.open.Load() > 0 || g.requests.arrived.Swap(false) {
			since = time.Now()
		} else if time.Since(since) >= quiet {
			return true
		}
		if !ctxtime.Sleep(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}

// performActions performs the actions of the scheduler.
func (g *Gateway) performActions(now time.Duration) {
	for _, action := range g.scheduler.Flush(now) {
		switch action := action.(type) {
		case schedule.Send:
			g.countPlaced(action.Message)
			g.agents.send(action)
		case schedule.CloseLink:
			g.agents.closeLink(action.Agent)
		case schedule.Answer:
			g.requests.answer(action)
		case schedule.Cancelled:
			g.requests.confirmCancelling(action)
		case schedule.LogEntry:
			g.log(action)
		}
	}
	g.metrics.racks.record(g.scheduler.TakeRackStats())
	g.metrics.quarantined.Update(float64(g.scheduler.QuarantineCount()))
	racks, highest := g.scheduler.RackDemand()
	g.metrics.racksInDemand.Update(float64(racks))
	g.metrics.rackUtilization.Update(highest)
	g.hasUsableServer.Store(g.scheduler.HasUsableServer())
}

// countPlaced counts the tasks of a placement in the metrics.
func (g *Gateway) countPlaced(message any) {
	switch m := message.(type) {
	case *structs.Place:
		g.metrics.placed.Inc(int64(len(m.Tasks)))
	case *structs.PlaceAlone:
		g.metrics.placed.Inc(int64(len(m.Place.Tasks)))
	}
}

// log counts a decision of the scheduler and writes it to the log, without the fields that do not apply.
func (g *Gateway) log(e schedule.LogEntry) {
	switch e.Message {
	case schedule.MessageJobHeld:
		g.metrics.jobsHeld.Inc(1)
	case schedule.MessageJobTaken:
		g.metrics.jobsTaken.Inc(1)
	case schedule.MessageClaimUnanswered:
		g.metrics.claimsUnanswered.Inc(1)
	}
	fields := []any{"msg", e.Message}
	if e.Job != "" {
		fields = append(fields, "job", e.Job)
	}
	if e.Agent != "" {
		fields = append(fields, "agent", e.Agent)
	}
	if e.Server != "" {
		fields = append(fields, "server", e.Server)
	}
	if e.Tasks > 0 {
		fields = append(fields, "tasks", e.Tasks)
	}
	if e.Age > 0 {
		fields = append(fields, "age", e.Age)
	}
	if e.ExpectedRunTime > 0 {
		fields = append(fields, "expected", e.ExpectedRunTime, "free", e.FreeCPU)
	}
	if e.Detail != "" {
		fields = append(fields, "detail", e.Detail)
	}
	_ = level.Info(g.logger).Log(fields...)
}

// serveReadiness serves the load balancer's readiness check.
func (g *Gateway) serveReadiness(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Addr: g.options.Settings.ReadinessAddress, Handler: mux, ReadHeaderTimeout: headerTimeout}
	return telemetry.ServeHTTP(ctx, server, g.options.Listen)
}

// ready reports whether the gateway accepts new connections: the configuration is known, at least one server accepts
// tasks, and no shutdown is in progress.
func (g *Gateway) ready() bool {
	return !g.shuttingDown.Load() && g.operator.routing.Load() != nil && g.hasUsableServer.Load()
}

// serveLinks accepts the links of agents.
func (g *Gateway) serveLinks(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+link.PathAgent, g.agents.accept)
	server := &http.Server{Addr: g.options.Settings.LinkAddress, Handler: mux, ReadHeaderTimeout: headerTimeout}
	err := telemetry.ServeHTTP(ctx, server, g.options.Listen)
	g.agents.closeAll()
	return err
}
