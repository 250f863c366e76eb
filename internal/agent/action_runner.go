package agent

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
)

// actionRunner steps the machine and performs the actions that it returns. Only the machine's goroutine uses it.
type actionRunner struct {
	agent *Agent
	// aborts holds the cancel functions of the requests to the backend server.
	aborts map[structs.TaskRef]context.CancelFunc
	// reported holds the counters as of the last publish.
	reported Stats
	// stopped is set once the machine has finished its graceful shutdown.
	stopped bool
}

// step passes one input to the machine at the current time and performs the returned actions.
func (r *actionRunner) step(machine *Machine, in Input) {
	if ended, ok := in.(Ended); ok {
		r.aborts[ended.Task]()
		delete(r.aborts, ended.Task)
	}
	actions := machine.Step(r.agent.clock(), in)
	r.agent.lastContact.Store(int64(machine.LastContact()))
	for _, action := range actions {
		r.perform(action)
	}
	if _, ok := in.(Tick); ok {
		r.publish(machine.Stats())
	}
}

func (r *actionRunner) perform(action Action) {
	switch action := action.(type) {
	case Send:
		r.send(action)
	case Run:
		r.run(&action)
	case Abort:
		r.aborts[action.Task]()
	case Stopped:
		r.stopped = true
	case Warn:
		_ = level.Warn(r.agent.logger).Log("msg", action.Message, "err", action.Err)
	}
}

// send queues a message on its link. If the link does not accept it, the link is closed, since the gateway would miss
// the message. Lost task events are sent again on the next link.
func (r *actionRunner) send(action Send) {
	l := r.agent.linkOf(action.Link)
	if l == nil {
		return
	}
	err := l.Send(action.Class, action.Type, action.Message)
	var failure *link.Error
	if err == nil || errors.As(err, &failure) && failure.Kind == link.KindClosed {
		return
	}
	_ = level.Error(r.agent.logger).Log("msg", "sending a message failed", "err", err)
	l.Abort()
}

// run sends one task to the backend server in a new goroutine. The slots bound the number of these goroutines.
func (r *actionRunner) run(action *Run) {
	a := r.agent
	ctx, cancel := context.WithCancel(a.taskContext)
	r.aborts[action.Task.Task] = cancel
	a.mu.Lock()
	client := a.client
	a.mu.Unlock()
	a.tasks.Go(func() { a.input(client.run(ctx, &action.Task, action.MaxResult)) })
}

// publish makes the counters available to Agent.Stats, the metrics and the readiness check.
func (r *actionRunner) publish(current Stats) {
	a := r.agent
	a.stats.Store(&current)
	scope, previous := a.options.Scope, r.reported
	r.reported = current
	count := func(name string, now, before uint64) {
		// Started decreases when a task turns out not to have reached the backend server.
		if now > before {
			scope.Counter(name).Inc(int64(now - before))
		}
	}
	count("tasks_started", current.Started, previous.Started)
	count("tasks_finished", current.Finished, previous.Finished)
	count("tasks_failed", current.Failed, previous.Failed)
	count("tasks_aborted", current.Aborted, previous.Aborted)
	count("tasks_refused", current.Refused, previous.Refused)
	count("tasks_withdrawn", current.Withdrawn, previous.Withdrawn)
	count("starts_duplicate", current.Duplicates, previous.Duplicates)
	count("results_evicted", current.Evicted, previous.Evicted)
	scope.Gauge("tasks_running").Update(float64(current.Running))
	scope.Gauge("tasks_queued").Update(float64(current.Queued))
	scope.Gauge("slots").Update(float64(current.Slots))
	scope.Gauge("records").Update(float64(current.Records))
	scope.Gauge("record_bytes").Update(float64(current.RecordBytes))
	scope.Gauge("links").Update(float64(current.Links))
	scope.Gauge("configuration_revision").Update(float64(current.Revision))
	scope.Gauge("heartbeat_age_seconds").Update((a.clock() - time.Duration(a.lastContact.Load())).Seconds())
	r.updateHealth(current)
}

func (r *actionRunner) updateHealth(current Stats) {
	health := r.agent.options.Health
	if current.Leaving {
		health.MarkNotReady(conditionBackend, "the backend server is leaving or has not announced itself for 3 s")
	} else {
		health.MarkReady(conditionBackend)
	}
	if current.Links == 0 {
		health.MarkNotReady(conditionGateway, "no gateway is linked")
	} else {
		health.MarkReady(conditionGateway)
	}
}
