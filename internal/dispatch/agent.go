package dispatch

import (
	"slices"
	"strings"

	"rosedrift.example/rosedrift/internal/placement"
	"rosedrift.example/rosedrift/internal/structs"
)

// agent is one incarnation of an agent, with the tasks sent to it and the results recorded there.
type agent struct {
	ref structs.AgentRef
	// update is the last AgentUpdate, everLinked whether there was one.
	update     AgentUpdate
	everLinked bool
	lost       bool
	// allowed is false while the configuration takes the server or its zone out of service.
	allowed bool
	server  *placement.Server
	tasks   []agentTask
	// lastVisit is the number of the last iteration over tasks that has sent the agent a message. It limits an
	// iteration to one message per agent.
	lastVisit     uint64
	pendingStarts []structs.TaskStart
	// pendingUrgent is set if any of pendingStarts is urgent.
	pendingUrgent bool
}

// agentTask is a task in state taskSent or taskRecorded at an agent.
type agentTask struct {
	job   *job
	index uint32
}

// agentFor returns the agent with the given reference, which it adds if it is unknown. A new agent gets no work before
// its first AgentUpdate.
func (p *Pool) agentFor(ref structs.AgentRef) *agent {
	if a, ok := p.agents[ref]; ok {
		return a
	}
	a := &agent{ref: ref, allowed: true}
	a.server = p.index.AddServer(a)
	p.agents[ref] = a
	p.agentsByArrival = append(p.agentsByArrival, a)
	return a
}

func (p *Pool) updateAgent(in AgentUpdate) {
	a := p.agentFor(in.Agent)
	wasLeaving := a.update.Leaving
	first := !a.everLinked
	a.update, a.everLinked = in, true
	if first {
		a.allowed = p.config.ServerAllows(p.options.Pool.Service, in.Zone, in.Agent.ID)
	}
	p.updatePlacement(a, false)
	if in.Leaving && !wasLeaving {
		p.withdrawQueued(a)
	}
	p.abortLost(a)
	if first || in.Relinked {
		p.fetchAgentResults(a, in.Relinked)
	}
	if in.Relinked {
		p.reconcileStarts(a)
	}
}

// updatePlacement passes an agent's slots and whether it may get work to the placement index. With ramp, an agent that
// returns to service gets its full load only after placement.RampTime.
func (p *Pool) updatePlacement(a *agent, ramp bool) {
	slots := max(a.update.Slots, 0)
	if a.update.Connections > 0 {
		slots = min(slots, a.update.Connections)
	}
	serving := a.everLinked && a.update.Eligible && !a.update.Leaving && a.allowed && slots > 0
	hadServers := p.index.Serving() > 0
	p.index.Update(a.server, slots, serving, ramp)
	if hadServers && p.index.Serving() == 0 {
		p.noServerSince = p.now
	}
}

// loseAgent removes a lost agent and ends the jobs that have a task there, since nobody will learn whether the task has
// run.
func (p *Pool) loseAgent(ref structs.AgentRef) {
	a, ok := p.agents[ref]
	if !ok {
		return
	}
	a.lost = true
	a.update.Eligible = false
	p.updatePlacement(a, false)
	p.recordLostJobs(a)
	for len(a.tasks) > 0 {
		j := a.tasks[len(a.tasks)-1].job
		p.endJob(j, structs.CodeServerLost, p.outcomeNow(j), "server "+string(ref.ID)+" was lost")
	}
	delete(p.agents, ref)
	p.agentsByArrival = slices.DeleteFunc(p.agentsByArrival, func(b *agent) bool { return a == b })
	p.index.RemoveServer(a.server)
}

// recordLostJobs remembers the jobs with tasks at a lost agent, to abort them if the same incarnation returns.
func (p *Pool) recordLostJobs(a *agent) {
	if len(p.lostJobs) >= maxLostAgents {
		clear(p.lostJobs)
	}
	var jobs []structs.JobID
	for _, t := range a.tasks {
		if t.job.tasks[t.index].state == taskSent && !slices.Contains(jobs, t.job.id) {
			jobs = append(jobs, t.job.id)
		}
	}
	if len(jobs) > 0 {
		p.lostJobs[a.ref] = jobs
	}
}

// abortLost is for a lost agent that has returned. It cancels the jobs that were ended when the agent was lost: their
// tasks may still occupy slots that the pool counts as free.
func (p *Pool) abortLost(a *agent) {
	if !a.update.Eligible {
		return
	}
	for _, id := range p.lostJobs[a.ref] {
		p.emit(SendCancel{Agent: a.ref, Cancel: structs.Cancel{Epoch: p.options.Epoch, Job: id}})
	}
	delete(p.lostJobs, a.ref)
}

// reconcileStarts asks an agent whose link was re-established which of the earlier starts it does not know. Such a
// start, or the agent's refusal of it, was lost with the old link.
//
// Invariant: an agent that has received the request accepts no start with an attempt below its MinAttempt, and all
// later starts have at least that attempt. A refusal in answer to the request is therefore final, no matter how late
// the start, the request or the answer arrives, and on which link.
func (p *Pool) reconcileStarts(a *agent) {
	starts := make([]structs.StartRef, 0, len(a.tasks))
	for _, at := range a.tasks {
		t := &at.job.tasks[at.index]
		if t.state == taskSent {
			task := structs.TaskRef{Job: at.job.id, Index: at.index}
			starts = append(starts, structs.StartRef{Task: task, Epoch: t.epoch, Attempt: t.attempt})
		}
	}
	if len(starts) > 0 {
		p.emit(SendReconcileStarts{Agent: a.ref, ReconcileStarts: structs.ReconcileStarts{
			Epoch: p.options.Epoch, MinAttempt: p.lastAttempt + 1, Tasks: starts,
		}})
	}
}

// withdrawQueued asks an agent to return the tasks that wait in its queue. Only the agent knows which of the tasks in
// flight are running, so the request names all of them. It is not sent if there are no more tasks than slots.
func (p *Pool) withdrawQueued(a *agent) {
	if a.server.Inflight() <= a.server.Slots() {
		return
	}
	refs := make([]structs.TaskRef, 0, len(a.tasks))
	for _, t := range a.tasks {
		if t.job.tasks[t.index].state == taskSent {
			refs = append(refs, structs.TaskRef{Job: t.job.id, Index: t.index})
		}
	}
	p.emit(SendWithdraw{Agent: a.ref, Withdraw: structs.Withdraw{Epoch: p.options.Epoch, Tasks: refs}})
}

// configure applies a configuration if its revision is higher than the current one.
func (p *Pool) configure(config *structs.Configuration) {
	if config == nil || config.Revision <= p.config.Revision {
		return
	}
	old := p.config
	p.config = config
	p.applyService()
	p.applyTeams(old)
	for _, a := range p.agentsByArrival {
		p.applyServerState(a)
	}
}

func (p *Pool) applyService() {
	service, ok := p.config.Services[p.options.Pool.Service]
	if !ok {
		service = structs.DefaultServiceConfig()
	}
	if service.TaskTimeout <= 0 {
		service.TaskTimeout = structs.DefaultTaskTimeout
	}
	if service.MaxQueuedTasks <= 0 {
		service.MaxQueuedTasks = structs.DefaultMaxQueuedTasks
	}
	p.service = service
	p.index.SetUrgentReserve(min(max(service.UrgentReserve, 0), 0.5))
}

// applyTeams sets the quotas of all teams and resets those of teams that are no longer configured. The maps are
// iterated in random order, which has no effect on the queue.
func (p *Pool) applyTeams(old *structs.Configuration) {
	for name := range old.Teams {
		if _, ok := p.config.Teams[name]; !ok {
			p.queue.SetQuota(name, teamQuota(structs.TeamConfig{}))
		}
	}
	for name, team := range p.config.Teams {
		p.queue.SetQuota(name, teamQuota(team))
	}
}

// applyServerState applies a change of the configuration that takes a server or its zone out of service or back in. A
// server that goes out of service returns its queued tasks, and one that returns to service is ramped up.
func (p *Pool) applyServerState(a *agent) {
	allowed := p.config.ServerAllows(p.options.Pool.Service, a.update.Zone, a.ref.ID)
	if allowed == a.allowed {
		return
	}
	a.allowed = allowed
	p.updatePlacement(a, allowed)
	if !allowed {
		p.withdrawQueued(a)
	}
}

// agentState returns "active", or the reasons why the agent gets no work or only a part of it.
func (p *Pool) agentState(a *agent) string {
	var reasons []string
	add := func(condition bool, reason string) {
		if condition {
			reasons = append(reasons, reason)
		}
	}
	add(!a.everLinked, "not linked")
	add(a.update.Leaving, "leaving")
	add(a.everLinked && !a.update.Eligible, "not in the roster or epoch not promised")
	add(!p.config.ZoneAllows(p.options.Pool.Service, a.update.Zone), "zone out")
	add(p.config.Servers[string(a.ref.ID)].State == structs.ServerDraining, "draining")
	add(a.server.BreakerOpen(), "last tasks failed, probing")
	add(a.server.Paused(p.now), "paused after a refusal")
	add(a.server.Ramping(), "ramping up")
	if len(reasons) == 0 {
		return "active"
	}
	return strings.Join(reasons, "; ")
}

// Agents returns the state of all agents in the order in which the pool learned of them.
func (p *Pool) Agents() []AgentStatus {
	list := make([]AgentStatus, 0, len(p.agentsByArrival))
	for _, a := range p.agentsByArrival {
		running := min(a.server.Inflight(), a.server.Slots())
		list = append(list, AgentStatus{
			Agent:    a.ref,
			Zone:     a.update.Zone,
			Server:   a.update.Server,
			Slots:    a.server.Slots(),
			Running:  running,
			Queued:   a.server.Inflight() - running,
			Eligible: a.update.Eligible,
			Leaving:  a.update.Leaving,
			Speed:    a.server.RelativeRunTime(),
			State:    p.agentState(a),
		})
	}
	return list
}
