package gateway

import (
	"github.com/uber-go/tally/v4"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

// entryMetrics are the metrics of the entry side: callers' requests and what is held for them.
type entryMetrics struct {
	submissions tally.Counter
	answers     tally.Counter
	refusals    tally.Counter
	reforwards  tally.Counter
	held        tally.Gauge
	pending     tally.Gauge
}

func newEntryMetrics(scope tally.Scope) entryMetrics {
	return entryMetrics{
		submissions: scope.Counter("submissions"),
		answers:     scope.Counter("answers"),
		refusals:    scope.Counter("refusals"),
		reforwards:  scope.Counter("reforwards"),
		held:        scope.Gauge("held_bytes"),
		pending:     scope.Gauge("pending_jobs"),
	}
}

// reportHeld updates the gauges of the pending jobs and the memory held for callers.
func (g *Gateway) reportHeld() {
	count, _ := g.pending.idle()
	g.metrics.pending.Update(float64(count))
	g.metrics.held.Update(float64(g.heldBytes.used.Load()))
}

// poolMetrics exports the statistics of one pool (dispatch.Stats).
type poolMetrics struct {
	last      dispatch.Stats
	started   tally.Counter
	finished  tally.Counter
	failed    tally.Counter
	withdrawn tally.Counter
	refused   tally.Counter
	jobs      tally.Gauge
	urgent    tally.Gauge
	routine   tally.Gauge
	running   tally.Gauge
	slots     tally.Gauge
}

func newPoolMetrics(scope tally.Scope, pool structs.PoolID) poolMetrics {
	s := scope.Tagged(map[string]string{"pool": pool.String()})
	return poolMetrics{
		started:   s.Counter("tasks_started"),
		finished:  s.Counter("tasks_finished"),
		failed:    s.Counter("tasks_failed"),
		withdrawn: s.Counter("tasks_withdrawn"),
		refused:   s.Counter("tasks_refused"),
		jobs:      s.Gauge("jobs"),
		urgent:    s.Gauge("tasks_queued_urgent"),
		routine:   s.Gauge("tasks_queued_routine"),
		running:   s.Gauge("tasks_running"),
		slots:     s.Gauge("slots"),
	}
}

func (m *poolMetrics) report(s dispatch.Stats) {
	m.started.Inc(int64(s.Started - m.last.Started))
	m.finished.Inc(int64(s.Finished - m.last.Finished))
	m.failed.Inc(int64(s.Failed - m.last.Failed))
	m.withdrawn.Inc(int64(s.Withdrawn - m.last.Withdrawn))
	m.refused.Inc(int64(s.Refused - m.last.Refused))
	m.jobs.Update(float64(s.Jobs))
	m.urgent.Update(float64(s.QueuedUrgent))
	m.routine.Update(float64(s.QueuedRoutine))
	m.running.Update(float64(s.Running))
	m.slots.Update(float64(s.Slots))
	m.last = s
}
