// Package roomagent is the agent process next to a backend server on the users' platform, the program rosedrift-roomagent.
// It is the I/O layer around the state machine of package supervisor: it receives the server's heartbeats, calls the server,
// keeps links with the gateways, and runs the state machine in one goroutine, the loop.
package roomagent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/duty"
	"rosedrift.example/rosedrift/internal/room"
	"rosedrift.example/rosedrift/internal/structs"
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
}

// stopShare is the fraction of the platform's stop grace period that a graceful shutdown may use to drain. The rest is for
// the exit of the process.
const stopShare = 0.8

// Agent is the agent process.
type Agent struct {
	options Options
	logger  log.Logger
	room    *room.Room
	loop    *duty.Loop
	links   *links
	backend *backendClient
	metrics agentMetrics
	// state is the newest operator state that the agent has received. Only the loop uses it.
	state structs.OperatorState
	// drained is closed once no run is left during a graceful shutdown.
	drained chan struct{}
	// draining is set from the start of a graceful shutdown until drained is closed. Only the loop uses it.
	draining bool
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

// New returns an agent that starts with Run.
func New(options Options) *Agent {
	a := &Agent{options: options, logger: options.Logger, drained: make(chan struct{})}
	a.loop = duty.New(a.flush, func() time.Duration { return a.room.Wake() })
	a.room = room.New(a.loop.Now(), room.Options{
		Self: options.Self, Zone: options.Settings.Zone, TaskName: platform.TaskName,
		RunLease: options.Settings.Bounds.RunLease, Token: options.Token,
	})
	a.metrics = newMetrics(options.Metrics.Scope)
	a.links = newLinks(a)
	a.backend = newBackendClient(a)
	return a
}

// Run serves until the context ends and the graceful shutdown that follows is complete. It returns an error if a part of the
// agent fails before.
func (a *Agent) Run(ctx context.Context) error {
	_ = level.Info(a.logger).Log("msg", "agent started", "agent", a.options.Self, "zone", a.options.Settings.Zone,
		"server", a.options.Settings.ServerAddress, "token", a.options.Token)
	workers := []func(context.Context) error{
		a.loop.Run, a.serveHeartbeats, a.backend.run, a.links.run,
		func(ctx context.Context) error {
			return telemetry.ServeMetrics(ctx, a.options.MetricsListen, a.options.Metrics)
		},
	}
	err := duty.RunAll(ctx, a.stop, workers...)
	_ = level.Info(a.logger).Log("msg", "agent stopped", "err", err)
	return err
}

// stop is the graceful shutdown: it starts no more runs, waits up to the grace period until the present ones have ended, and
// closes the links after their queued events are sent.
func (a *Agent) stop(ctx context.Context) {
	grace := time.Duration(stopShare * float64(a.options.Settings.Bounds.StopGrace))
	_ = level.Info(a.logger).Log("msg", "graceful shutdown started", "grace", grace)
	a.loop.Do(func(now time.Duration) {
		a.draining = true
		a.room.Close(now)
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

// flush performs the actions of the supervisor. It runs in the loop.
func (a *Agent) flush(now time.Duration) {
	for _, action := range a.room.Flush(now) {
		switch action := action.(type) {
		case room.CallStart:
			a.metrics.starts.Inc(1)
			a.room.Renewed(now)
			go a.backend.start(action)
		case room.CallStop:
			go a.backend.stop(action)
		case room.Send:
			a.send(action)
		case room.DropLink:
			a.links.reset(action.Gateway)
		case room.Note:
			a.logEvent(action)
		}
	}
	if a.room.Busy() || a.room.Silent() {
		a.backend.requestList()
	}
	if a.room.Doubtful() {
		a.backend.cutListShort()
	}
	if a.draining && a.room.Idle() {
		a.draining = false
		close(a.drained)
	}
}

func (a *Agent) send(action room.Send) {
	if events, ok := action.Message.(*structs.StartEvents); ok {
		a.countEvents(events)
	}
	a.links.send(action)
}

// countEvents counts placement events in the metrics.
func (a *Agent) countEvents(events *structs.StartEvents) {
	for i := range events.Events {
		switch e := &events.Events[i]; e.Kind {
		case structs.StartDone:
			a.metrics.done.Inc(1)
			a.metrics.runTime.RecordDuration(e.RunTime)
		case structs.StartFailed:
			a.metrics.failed.Inc(1)
		case structs.StartLost:
			a.metrics.lost.Inc(1)
		case structs.StartNoRoom, structs.StartClosed, structs.StartUnhealthy, structs.StartWithdrawn:
			a.metrics.refused.Inc(1)
		case structs.StartLagging:
		}
	}
}

func (a *Agent) logEvent(n room.Note) {
	_ = level.Info(a.logger).Log("msg", n.Message, "task", n.Task, "run", n.Run, "gateway", n.Gateway.ID, "detail", n.Detail)
}

// applyOperatorState applies an operator state if it is newer than the present one. It runs in the loop.
func (a *Agent) applyOperatorState(now time.Duration, state *structs.OperatorState) {
	if state.Revision <= a.state.Revision {
		return
	}
	a.state = *state
	zoneOut := false
	for _, zone := range state.ZonesOut {
		zoneOut = zoneOut || zone == a.options.Settings.Zone
	}
	_ = level.Info(a.logger).Log("msg", "operator state received", "revision", state.Revision, "zone_out", zoneOut)
	a.room.SetZoneOut(now, zoneOut, state.Revision)
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
	return telemetry.ServeHTTP(ctx, server)
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

// deregister handles the message that the backend server sends when it ends.
func (a *Agent) deregister(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	a.loop.Do(func(now time.Duration) { a.room.ServerGone(now, id) })
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}
