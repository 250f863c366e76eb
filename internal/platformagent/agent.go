// Package platformagent is the agent process next to a backend server on the users' platform, the program
// rosedrift-roomagent. It is the I/O layer around the state machine of package supervisor: it receives the server's
// heartbeats, calls the server, keeps links with the gateways, and runs the state machine in an event loop.
package platformagent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/eventloop"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/supervisor"
	"rosedrift.example/rosedrift/internal/telemetry"
	"rosedrift.example/rosedrift/platform"
)

// Options configures an agent.
type Options struct {
	Settings platform.Settings
	Self     structs.AgentRef
	// Token is the first fencing token, see supervisor.Options.
	Token   uint64
	Logger  log.Logger
	Metrics *telemetry.Metrics
	// MetricsListen is the address that serves the metrics. If it is empty, they are not served.
	MetricsListen string
	// Listen opens the listeners other than that of the metrics. nil means telemetry.ListenTCP.
	Listen telemetry.ListenFunc
}

// shutdownShare is the fraction of the platform's stop grace period that a graceful shutdown may use to drain. The rest
// is for the exit of the process.
const shutdownShare = 0.8

// Agent is the agent process.
type Agent struct {
	options    Options
	logger     log.Logger
	supervisor *supervisor.Supervisor
	loop       *eventloop.Loop
	links      *links
	backend    *backendClient
	metrics    agentMetrics
	// stateRevision is that of the newest operator state that the agent has received, and wholeState the newest one with
	// the routing configuration. They may only be used in the event loop.
	stateRevision uint64
	wholeState    structs.OperatorState
	// drained is closed once no run is left during a graceful shutdown.
	drained chan struct{}
	// draining is set from the start of a graceful shutdown until drained is closed. It may only be used in the event
	// loop.
	draining bool
}

type agentMetrics struct {
	starts, done, failed, lost, refused, crashes tally.Counter
	unknownRuns, unansweredStarts                tally.Counter
	zoneReads, zoneReadFailures                  tally.Counter
	unconfirmedHeartbeats                        tally.Counter
	// zoneStateAge is the age of the knowledge of the zones out of service, in seconds.
	zoneStateAge tally.Gauge
	runTime      tally.Histogram
}

func newMetrics(scope tally.Scope) agentMetrics {
	return agentMetrics{
		starts: scope.Counter("starts"), done: scope.Counter("runs_done"), failed: scope.Counter("runs_failed"),
		lost: scope.Counter("runs_lost"), refused: scope.Counter("placements_refused"), crashes: scope.Counter("server_crashes"),
		unknownRuns: scope.Counter("unknown_runs"), unansweredStarts: scope.Counter("unanswered_starts"),
		zoneReads: scope.Counter("zone_reads"), zoneReadFailures: scope.Counter("zone_read_failures"),
		unconfirmedHeartbeats: scope.Counter("unconfirmed_heartbeats"),
		zoneStateAge:          scope.Gauge("zone_state_age_seconds"),
		runTime:               scope.Histogram("run_seconds", tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 12)),
	}
}

// New returns an agent that starts with Run.
func New(options Options) *Agent {
	if options.Listen == nil {
		options.Listen = telemetry.ListenTCP
	}
	a := &Agent{options: options, logger: options.Logger, drained: make(chan struct{})}
	a.loop = eventloop.New(a.performActions, func() time.Duration { return a.supervisor.NextWake() })
	a.supervisor = supervisor.New(a.loop.Now(), supervisor.Options{
		Self: options.Self, Zone: options.Settings.Zone, TaskName: platform.TaskName,
		RunLease: options.Settings.Bounds.RunLease, Token: options.Token,
	})
	a.metrics = newMetrics(options.Metrics.Scope)
	a.links = newLinks(a)
	a.backend = newBackendClient(a)
	return a
}

// Run serves until the context ends, and then until the graceful shutdown is complete. It returns an error if one of
// the agent's workers fails before that.
func (a *Agent) Run(ctx context.Context) error {
	_ = level.Info(a.logger).Log("msg", "agent started", "agent", a.options.Self, "zone", a.options.Settings.Zone,
		"server", a.options.Settings.ServerAddress, "token", a.options.Token)
	workers := []func(context.Context) error{
		a.loop.Run, a.serveHeartbeats, a.backend.run, a.backend.storeReports, a.links.run,
		func(ctx context.Context) error {
			return telemetry.ServeMetrics(ctx, a.options.MetricsListen, a.options.Metrics)
		},
	}
	err := eventloop.RunAll(ctx, a.shutDown, workers...)
	_ = level.Info(a.logger).Log("msg", "agent stopped", "err", err)
	return err
}

// shutDown performs the graceful shutdown: no further runs are started, running ones may end within shutdownShare of
// the grace period, and the links are closed after their queued events are sent.
func (a *Agent) shutDown(ctx context.Context) {
	grace := time.Duration(shutdownShare * float64(a.options.Settings.Bounds.StopGrace))
	_ = level.Info(a.logger).Log("msg", "graceful shutdown started", "grace", grace)
	a.loop.Post(func(now time.Duration) {
		a.draining = true
		a.supervisor.BeginShutdown(now)
	})
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-a.drained:
	case <-timer.C:
	case <-ctx.Done():
	}
	a.links.closeAll()
	const linkFlushTime = 50 * time.Millisecond // to send the queued messages
	ctxtime.Sleep(ctx, linkFlushTime)
}

// performActions performs the actions of the supervisor. It runs in the event loop.
func (a *Agent) performActions(now time.Duration) {
	for _, action := range a.supervisor.Flush(now) {
		switch action := action.(type) {
		case supervisor.CallStart:
			a.metrics.starts.Inc(1)
			go a.backend.start(action)
		case supervisor.CallStop:
			go a.backend.stop(action)
		case supervisor.Send:
			a.send(action)
		case supervisor.CloseLink:
			a.links.closeLink(action.Gateway)
		case supervisor.ReadZones:
			a.metrics.zoneReads.Inc(1)
			go a.readZones(now)
		case supervisor.LogEntry:
			a.writeLog(action)
		}
	}
	if s := a.supervisor; s.HasActiveRuns() || s.ServerUnresponsive() || s.HasOpenCalls(now) {
		a.backend.requestList()
	}
	if a.supervisor.HasUnansweredCalls() || a.supervisor.CallsUnsettled(now) > 0 {
		a.backend.cutListShort()
	}
	a.metrics.zoneStateAge.Update(a.supervisor.ZoneStateAge(now).Seconds())
	if a.draining && a.supervisor.Idle() {
		a.draining = false
		close(a.drained)
	}
}

// send sends a message of the supervisor to a gateway.
func (a *Agent) send(action supervisor.Send) {
	if events, ok := action.Message.(*structs.PlacementEvents); ok {
		a.countEvents(events)
	}
	a.links.send(action)
}

// countEvents counts placement events in the metrics.
func (a *Agent) countEvents(events *structs.PlacementEvents) {
	for i := range events.Events {
		switch e := &events.Events[i]; e.Kind {
		case structs.PlacementDone:
			a.metrics.done.Inc(1)
			a.metrics.runTime.RecordDuration(e.RunTime)
		case structs.PlacementFailed:
			a.metrics.failed.Inc(1)
		case structs.PlacementLost:
			a.metrics.lost.Inc(1)
		case structs.PlacementNoResources, structs.PlacementClosed, structs.PlacementUnhealthy, structs.PlacementWithdrawn:
			a.metrics.refused.Inc(1)
		case structs.PlacementStraggling:
		}
	}
}

// writeLog writes a log line of the supervisor.
func (a *Agent) writeLog(entry supervisor.LogEntry) {
	switch entry.Message {
	case supervisor.MessageCrashed:
		a.metrics.crashes.Inc(1)
	case supervisor.MessageUnknownRun:
		a.metrics.unknownRuns.Inc(1)
	}
	_ = level.Info(a.logger).Log("msg", entry.Message, "task", entry.Task, "run", entry.Run, "gateway", entry.Gateway.ID,
		"detail", entry.Detail)
}

// applyOperatorState applies an operator state if it is newer than the current one. It runs in the event loop.
func (a *Agent) applyOperatorState(now time.Duration, state *structs.OperatorState) {
	if len(state.Routing) > 0 && state.Revision > a.wholeState.Revision {
		a.wholeState = *state
	}
	if state.Revision <= a.stateRevision {
		return
	}
	a.stateRevision = state.Revision
	_ = level.Info(a.logger).Log("msg", "operator state received", "revision", state.Revision, "zones_out", len(state.ZonesOut))
	a.supervisor.SetZonesOut(now, state.ZonesOut, state.Revision)
}

// readZones reads the zones out of service from the store. now is when the supervisor has requested it.
func (a *Agent) readZones(now time.Duration) {
	zones, revision, err := platform.ReadZonesOut(context.Background(), a.links.store)
	if err != nil {
		a.metrics.zoneReadFailures.Inc(1)
		_ = level.Info(a.logger).Log("msg", "reading the zone state failed", "err", err)
		a.loop.Post(a.supervisor.ZoneReadFailed)
		return
	}
	a.loop.Post(func(at time.Duration) { a.supervisor.ZonesRead(at, zones, revision, now) })
}

// serveHeartbeats serves the HTTP endpoint to which the backend server sends its heartbeats.
func (a *Agent) serveHeartbeats(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathHeartbeat+"{id}", a.heartbeat)
	mux.HandleFunc("POST "+platform.PathDeregister+"{id}", a.deregister)
	server := &http.Server{
		Addr: a.options.Settings.HeartbeatAddress, Handler: mux,
		ReadHeaderTimeout: heartbeatReadTimeout, ReadTimeout: heartbeatReadTimeout, IdleTimeout: time.Minute,
	}
	return telemetry.ServeHTTP(ctx, server, a.options.Listen)
}

// heartbeatReadTimeout bounds the time to read a heartbeat request. The server waits one second for the response.
const heartbeatReadTimeout = 3 * time.Second

// heartbeat handles a heartbeat of the backend server.
func (a *Agent) heartbeat(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxHeartbeatBytes))
	if err != nil {
		http.Error(w, "the heartbeat cannot be read", http.StatusBadRequest)
		return
	}
	heartbeat, err := platform.ParseHeartbeat(r.PathValue("id"), raw)
	if err != nil {
		_ = level.Warn(a.logger).Log("msg", "invalid heartbeat ignored", "err", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.backend.heartbeatReceived(heartbeat)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}

// deregister handles the request by which the backend server reports its end.
func (a *Agent) deregister(w http.ResponseWriter, r *http.Request) {
	a.backend.serverLeft(r.PathValue("id"))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}
