package dispatch

import (
	"slices"
	"strings"

	"rosedrift.example/rosedrift/internal/placement"
	"rosedrift.example/rosedrift/internal/structs"
)

// agent is one incarnation of an agent.
type agent struct {
	ref        structs.AgentRef
	update     AgentUpdate
	everLinked bool
	lost       bool
	allowed    bool
	server     *placement.Server
	tasks      []agentTask
	// mark is the number of the last walk over tasks that met the agent.
	lastVisit     uint64
	pendingStarts []structs.TaskStart
	// pendingUrgent is set if any of pending is urgent.
	pendingUrgent bool
}

// agentTask is a task that is sent to or recorded at an agent.
type agentTask struct {
	job   *job
	index uint32
}

// agentOf returns a known agent or adds it. New agents get no work before an AgentUpdate.
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
		p.recall(a)
	}
}

// refreshAgent applies an agent's properties to the placement index.
func (p *Pool) updatePlacement(a *agent, ramp bool) {
	slots := max(a.update.Slots, 0)
	if a.update.Connections > 0 {
		slots = min(slots, a.update.Connections)
	}
	serving := a.everLinked && a.update.Eligible && !a.update.Leaving && a.allowed && slots > 0
	had := p.index.Serving() > 0
	p.index.Update(a.server, slots, serving, ramp)
	if had && p.index.Serving() == 0 {
		p.noServerSince = p.now
	}
}

// loseAgent ends the jobs that have a task at a lost agent: whether the task has run is unknown for good.
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

// rememberLost keeps the jobs with tasks at a lost agent, to abort them if the same incarnation comes back.
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

// abortLost aborts the tasks of jobs that failed when the agent was lost. They would occupy slots that count as free.
func (p *Pool) abortLost(a *agent) {
	if !a.update.Eligible {
		return
	}
	for _, id := range p.lostJobs[a.ref] {
		p.emit(SendCancel{Agent: a.ref, Cancel: structs.Cancel{Epoch: p.options.Epoch, Job: id}})
	}
	delete(p.lostJobs, a.ref)
}

// recall asks an agent with a new link which of the starts sent before have been lost, or their refusals.
//
// Invariant: an agent that has seen the recall takes no start with an attempt below the floor, and each start that follows
// has one at or above it. A refusal that answers the recall is therefore true for good, whichever link carries the start,
// the recall or the answer, and however late.
func (p *Pool) recall(a *agent) {
	starts := make([]structs.StartRef, 0, len(a.tasks))
	for _, at := range a.tasks {
		t := &at.job.tasks[at.index]
		if t.state == taskSent {
			task := structs.TaskRef{Job: at.job.id, Index: at.index}
			starts = append(starts, structs.StartRef{Task: task, Epoch: t.epoch, Attempt: t.attempt})
		}
	}
	if len(starts) > 0 {
		p.emit(SendRecall{Agent: a.ref, Recall: structs.Recall{
			Epoch: p.options.Epoch, Floor: p.lastAttempt + 1, Tasks: starts,
		}})
	}
}

// withdrawQueued asks for the tasks that an agent may hold in its queue. Only the agent knows which of the tasks in
// flight run, so it is asked for all of them if there are more than slots.
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

// configure applies a configuration with a higher revision.
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

// applyTeams sets the quotas of all teams. The order of the teams has no effect on the queue.
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

// applyZone moves the queued tasks of a server that the configuration takes out, and ramps one up that returns.
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

// state says in a few words why the agent gets or gets no work.
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

// Agents returns the state of all agents in the order of their arrival.
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
