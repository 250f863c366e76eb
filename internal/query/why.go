package query

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/structs"
)

func (e *Executor) whyJob(ctx context.Context, text string) (*admin.Result, *structs.Problem) {
	id, err := structs.ParseJobID(text)
	if err != nil {
		return nil, badRequest("%s; jobs lists the ids", err)
	}
	status, err := e.system.Job(ctx, id)
	if err != nil {
		return nil, configuration.Problem(err)
	}
	return &admin.Result{Data: status, Text: jobText(status)}, nil
}

// jobText describes the state of a job and of its tasks.
func jobText(status structs.JobStatus) []string {
	state := "has ended with the outcome " + status.Outcome.String()
	if status.Outcome == structs.OutcomePending {
		state = "is pending"
	}
	text := []string{
		fmt.Sprintf("Job %s of team %s (%s) %s, %s after its admission.", status.Job, status.Team, status.Priority, state,
			durationText(status.Age)),
		fmt.Sprintf("Of %s, %d finished, %d run and %d wait.", quantity(status.Tasks, "task"), status.Finished,
			status.Running, status.Queued),
	}
	if status.Reason != "" {
		text = append(text, "Reason: "+strings.TrimSuffix(status.Reason, ".")+".")
	}
	return text
}

func (e *Executor) whyQueue(ctx context.Context, service string) (*admin.Result, *structs.Problem) {
	config := e.system.Config()
	if problem := checkService(config, service); problem != nil {
		return nil, problem
	}
	pools, agents := e.system.Pools(ctx), e.system.Agents(ctx)
	result := &admin.Result{Notes: unansweredNotes(pools.Unresponsive)}
	for _, pool := range pools.Items {
		if pool.Pool.Service == service {
			result.Text = append(result.Text, poolText(pool)...)
			result.Text = append(result.Text, agentTexts(pool.Pool, agents.Items)...)
		}
	}
	result.Text = append(result.Text, zoneTexts(config, service, e.zoneNames(ctx))...)
	if len(result.Text) == 0 {
		result.Text = []string{"No gateway answered for the pools of service " + service + "."}
	}
	return result, nil
}

// poolText describes the queue of a pool and why it waits.
func poolText(pool admin.PoolInfo) []string {
	if pool.Owner.ID == "" {
		return []string{fmt.Sprintf("Pool %s has no owner: its work waits until a gateway takes it over.", pool.Pool)}
	}
	stats := pool.Stats
	text := []string{fmt.Sprintf("Pool %s at gateway %s: %d urgent and %s wait, %d run on %s.", pool.Pool,
		pool.Owner.ID, stats.QueuedUrgent, quantity(stats.QueuedRoutine, "routine task"), stats.Running, quantity(stats.Slots, "slot"))}
	switch {
	case stats.Slots == 0:
		text = append(text, "No backend server takes its work.")
	case stats.QueuedUrgent+stats.QueuedRoutine == 0:
		text = append(text, "Nothing waits.")
	case stats.Running >= stats.Slots:
		text = append(text, fmt.Sprintf("All slots are busy; new urgent work waits about %s, routine work about %s.",
			durationText(stats.ExpectedUrgent), durationText(stats.ExpectedRoutine)))
	}
	if mode := modeText(pool); mode != "works" {
		text = append(text, fmt.Sprintf("Its gateway: %s.", mode))
	}
	return text
}

// agentTexts returns a line for each reason for which servers of a pool get no work, with the number of these servers.
func agentTexts(pool structs.PoolID, agents []admin.AgentInfo) []string {
	reasons := map[string]int{}
	for _, agent := range agents {
		if agent.Pool == pool && (!agent.Status.Eligible || agent.Status.Leaving) {
			reasons[agent.Status.State]++
		}
	}
	var text []string
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		text = append(text, fmt.Sprintf("%s without new work: %s.", quantity(reasons[reason], "backend server"), reason))
	}
	return text
}

// zoneTexts names the zones whose servers get no work of a service.
func zoneTexts(config *structs.Configuration, service string, zones []string) []string {
	var text []string
	for _, zone := range zones {
		switch {
		case config.Zones[zone].State == structs.ZoneOut:
			text = append(text, "Zone "+zone+" is out.")
		case !config.ZoneAllows(service, zone):
			text = append(text, "Zone "+zone+" is not among the zones of service "+service+".")
		}
	}
	return text
}
