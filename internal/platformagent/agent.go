// Package roomagent is the process shell beside a backend server on the users' platform: the calls to the server, its
// heartbeats, the links with the gateways, and one goroutine for the state machine of package room.
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
	// Token is the first fencing token, see room.Options.
	Token   uint64
	Logger  log.Logger
	Metrics *telemetry.Metrics
	// MetricsListen is the address of the metrics, empty for none.
	MetricsListen string
}

// stopShare is the part of the stop grace that a planned stop may use. The rest is for the exit.
const stopShare = 0.8

// Agent is one agent process.
type Agent struct {
	options Options
	logger  log.Logger
	room    *supervisor.Supervisor
	loop    *eventloop.Loop
	links   *links
	server  *caller
	metrics agentMetrics
	// state is the newest operator state that is known; it belongs to the loop.
	state structs.OperatorState
	idle  chan struct{}
	// closing is set by a planned stop; it belongs to the loop.
	closing bool
}

type agentMetrics struct {
	starts, done, failed, lost, refused tally.Counter
	runTime                             tally.Histogram
}

func newMetrics(scope tally.Scope) agentMetrics {
	return agentMetrics{
		starts: scope.Counter("starts"), done: scope.Counter("runs_done"), failed: scope.Counter("runs_failed"),
		lost: scope.Counter("runs_lost"), refused: scope.Counter("placements_refused"),
		runTime: scope.Histogram("run_seconds", tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 12)),
	}
}

// New returns an agent that has not started.
func New(options Options) *Agent {
	a := &Agent{options: options, logger: options.Logger, idle: make(chan struct{})}
	a.loop = eventloop.New(a.flush, func() time.Duration { return a.room.NextWake() })
	a.room = supervisor.New(a.loop.Now(), supervisor.Options{
		Self: options.Self, Zone: options.Settings.Zone, TaskName: platform.TaskName,
		RunLease: options.Settings.Bounds.RunLease, Token: options.Token,
	})
	a.metrics = newMetrics(options.Metrics.Scope)
	a.links = newLinks(a)
	a.server = newCaller(a)
	return a
}

// Run serves until a planned stop that the context's end begins is complete.
func (a *Agent) Run(ctx context.Context) error {
	_ = level.Info(a.logger).Log("msg", "agent started", "agent", a.options.Self, "zone", a.options.Settings.Zone,
		"server", a.options.Settings.ServerAddress, "token", a.options.Token)
	duties := []func(context.Context) error{
		a.loop.Run, a.serveHeartbeats, a.server.run, a.links.run,
		func(ctx context.Context) error {
			return telemetry.ServeMetrics(ctx, a.options.MetricsListen, a.options.Metrics)
		},
	}
	err := eventloop.RunAll(ctx, a.stop, duties...)
	_ = level.Info(a.logger).Log("msg", "agent stopped", "err", err)
	return err
}

// stop ends in order: nothing new starts, what runs ends, and the events reach the gateways.
func (a *Agent) stop(ctx context.Context) {
	grace := time.Duration(stopShare * float64(a.options.Settings.Bounds.StopGrace))
	_ = level.Info(a.logger).Log("msg", "planned stop", "grace", grace)
	a.loop.Post(func(now time.Duration) {
		a.closing = true
		a.room.BeginShutdown(now)
	})
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-a.idle:
	case <-timer.C:
	case <-ctx.Done():
	}
	a.links.closeAll()
	const farewell = 50 * time.Millisecond // for the messages that are queued in the links
	ctxtime.Sleep(ctx, farewell)
}

// flush carries out what the room has decided.
func (a *Agent) flush(now time.Duration) {
	for _, action := range a.room.Flush(now) {
		switch action := action.(type) {
		case supervisor.CallStart:
			a.metrics.starts.Inc(1)
			a.room.LeaseRenewalSent(now)
			go a.server.start(action)
		case supervisor.CallStop:
			go a.server.stop(action)
		case supervisor.Send:
			a.send(action)
		case supervisor.CloseLink:
			a.links.drop(action.Gateway)
		case supervisor.LogEntry:
			a.log(action)
		}
	}
	if a.room.HasActiveRuns() || a.room.ServerUnresponsive() {
		a.server.kick()
	}
	if a.room.HasUnansweredCalls() {
		a.server.cut()
	}
	if a.closing && a.room.Idle() {
		a.closing = false
		close(a.idle)
	}
}

func (a *Agent) send(action supervisor.Send) {
	if events, ok := action.Message.(*structs.PlacementEvents); ok {
		a.count(events)
	}
	a.links.send(action)
}

func (a *Agent) count(events *structs.PlacementEvents) {
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

func (a *Agent) log(n supervisor.LogEntry) {
	_ = level.Info(a.logger).Log("msg", n.Message, "task", n.Task, "run", n.Run, "gateway", n.Gateway.ID, "detail", n.Detail)
}

// learn applies an operator state if it is newer than the known one. It runs in the loop.
func (a *Agent) learn(now time.Duration, state *structs.OperatorState) {
	if state.Revision <= a.state.Revision {
		return
	}
	a.state = *state
	out := false
	for _, zone := range state.ZonesOut {
		out = out || zone == a.options.Settings.Zone
	}
	_ = level.Info(a.logger).Log("msg", "operator state", "revision", state.Revision, "zone_out", out)
	a.room.SetZoneOut(now, out, state.Revision)
}

// serveHeartbeats serves the heartbeats of the backend server.
func (a *Agent) serveHeartbeats(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathHeartbeat+"{id}", a.heartbeat)
	mux.HandleFunc("POST "+platform.PathDeregister+"{id}", a.deregister)
	server := &http.Server{
		Addr: a.options.Settings.HeartbeatAddress, Handler: mux,
		ReadHeaderTimeout: heartbeatReadTimeout, ReadTimeout: heartbeatReadTimeout, IdleTimeout: time.Minute,
	}
	return telemetry.ServeHTTP(ctx, server)
}

// heartbeatReadTimeout bounds a heartbeat's arrival; the server waits a second for the answer.
const heartbeatReadTimeout = 3 * time.Second

func (a *Agent) heartbeat(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxHeartbeatBytes))
	if err != nil {
		http.Error(w, "the heartbeat cannot be read", http.StatusBadRequest)
		return
	}
	beat, err := platform.ParseHeartbeat(r.PathValue("id"), raw)
	if err != nil {
		_ = level.Warn(a.logger).Log("msg", "heartbeat ignored", "err", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.server.heard(beat)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}

func (a *Agent) deregister(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	a.loop.Post(func(now time.Duration) { a.room.ServerDeregistered(now, id) })
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}
