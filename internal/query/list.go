package query

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

// Limits and formats of listings.
const (
	maxJobs         = 100
	historyPageSize = 20
	timeLayout      = "2006-01-02 15:04:05 MST"
)

// zoneTotals is the sum over the backend servers of a zone.
type zoneTotals struct{ servers, eligible, slots, running, queued int }

func (z *zoneTotals) add(status dispatch.AgentStatus) {
	z.servers++
	if status.Eligible && !status.Leaving {
		z.eligible++
	}
	z.slots += status.Slots
	z.running += status.Running
	z.queued += status.Queued
}

func totalsByZone(agents []admin.AgentInfo) map[string]*zoneTotals {
	totals := map[string]*zoneTotals{}
	for _, agent := range agents {
		zone := agent.Status.Zone
		if totals[zone] == nil {
			totals[zone] = &zoneTotals{}
		}
		totals[zone].add(agent.Status)
	}
	return totals
}

func (e *Executor) zones(ctx context.Context) *admin.Result {
	agents := e.system.Agents(ctx)
	totals := totalsByZone(agents.Items)
	list := newTable("zone", "state", "region", "servers", "slots", "running")
	for _, name := range e.zoneNames(ctx) {
		config := e.system.Config().Zones[name]
		sum := totals[name]
		if sum == nil {
			sum = &zoneTotals{}
		}
		list.add(name, string(cmp.Or(config.State, structs.ZoneIn)), config.Region, sum.servers, sum.slots, sum.running)
	}
	result := list.result()
	result.Notes = e.missingServerNotes(ctx, agents.Unresponsive)
	return result
}

func (e *Executor) servers(ctx context.Context, zone string) (*admin.Result, *structs.Problem) {
	if known := e.zoneNames(ctx); zone != "" && !slices.Contains(known, zone) {
		return nil, unknownName("zone", zone, known)
	}
	agents := e.system.Agents(ctx)
	slices.SortFunc(agents.Items, func(a, b admin.AgentInfo) int {
		return cmp.Compare(a.Status.Agent.ID, b.Status.Agent.ID)
	})
	config := e.system.Config()
	list := newTable("server", "name", "zone", "pool", "state", "slots", "running", "queued", "speed", "revision", "note")
	for _, agent := range agents.Items {
		status := agent.Status
		if zone != "" && status.Zone != zone {
			continue
		}
		state := cmp.Or(config.Servers[string(status.Agent.ID)].State, structs.ServerActive)
		note := status.State
		if note == string(state) {
			note = ""
		}
		list.add(string(status.Agent.ID), status.Server, status.Zone, agent.Pool.String(), string(state), status.Slots,
			status.Running, status.Queued, status.Speed, agent.Revision, note)
	}
	result := list.result()
	result.Notes = append(e.missingServerNotes(ctx, agents.Unresponsive), absentDrainingNotes(config, agents.Items)...)
	return result, nil
}

// absentDrainingNotes returns a note about each server that is set to draining and does not run. The setting outlasts
// the server, and the note lets operators activate the name again.
func absentDrainingNotes(config *structs.Configuration, agents []admin.AgentInfo) []string {
	var notes []string
	for _, name := range slices.Sorted(maps.Keys(config.Servers)) {
		seen := slices.ContainsFunc(agents, func(a admin.AgentInfo) bool { return string(a.Status.Agent.ID) == name })
		if !seen {
			notes = append(notes, "Server "+name+" is set to draining but does not run.")
		}
	}
	return notes
}

func (e *Executor) services(ctx context.Context) *admin.Result {
	fields := configuration.ServiceFields()
	pools := e.system.Pools(ctx)
	list := newTable(append(append([]string{"service"}, configuration.FieldNames(fields)...), "queued", "running")...)
	config := e.system.Config()
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		service := config.Services[name]
		queued, running := 0, 0
		for _, pool := range pools.Items {
			if pool.Pool.Service == name {
				queued += pool.Stats.QueuedUrgent + pool.Stats.QueuedRoutine
				running += pool.Stats.Running
			}
		}
		list.add(append(fieldRow(name, fields, &service), queued, running)...)
	}
	result := list.result()
	result.Notes = unansweredNotes(pools.Unresponsive)
	return result
}

// fieldRow returns a row with a name and the values of all fields of an object.
func fieldRow[T any](name string, fields []configuration.Field[T], object *T) []any {
	row := []any{name}
	for _, field := range fields {
		row = append(row, field.Get(object))
	}
	return row
}

func (e *Executor) teams() *admin.Result {
	fields := configuration.TeamFields()
	list := newTable(append([]string{"team"}, configuration.FieldNames(fields)...)...)
	config := e.system.Config()
	for _, name := range slices.Sorted(maps.Keys(config.Teams)) {
		team := config.Teams[name]
		list.add(fieldRow(name, fields, &team)...)
	}
	return list.result()
}

func (e *Executor) limits() *admin.Result {
	limits := e.system.Config().Limits
	list := newTable("field", "value")
	for _, field := range configuration.LimitFields() {
		list.add(field.Name, field.Get(&limits))
	}
	return list.result()
}

func (e *Executor) jobs(ctx context.Context, service string) (*admin.Result, *structs.Problem) {
	if problem := checkService(e.system.Config(), service); problem != nil {
		return nil, problem
	}
	jobs := e.system.Jobs(ctx, service, maxJobs)
	list := newTable("job", "team", "priority", "outcome", "tasks", "queued", "running", "finished", "age", "reason")
	for _, job := range jobs.Items {
		list.add(job.Job.String(), job.Team, job.Priority.String(), job.Outcome.String(), job.Tasks, job.Queued,
			job.Running, job.Finished, job.Age, job.Reason)
	}
	result := list.result()
	result.Notes = unansweredNotes(jobs.Unresponsive)
	if len(jobs.Items) >= maxJobs {
		result.Notes = append(result.Notes, fmt.Sprintf("Each gateway lists at most %d jobs; name a service to see fewer.", maxJobs))
	}
	return result, nil
}

func (e *Executor) gateways(ctx context.Context) *admin.Result {
	list := newTable("gateway", "zone", "state", "revision", "pools")
	known := e.system.Gateways(ctx)
	slices.SortFunc(known, func(a, b admin.GatewayInfo) int { return cmp.Compare(a.Gateway.ID, b.Gateway.ID) })
	for _, gateway := range known {
		pools := make([]string, len(gateway.Pools))
		for i, pool := range gateway.Pools {
			pools[i] = pool.String()
		}
		list.add(string(gateway.Gateway.ID), gateway.Zone, gatewayState(gateway), gateway.Revision, pools)
	}
	return list.result()
}

// gatewayState returns the state of a gateway for listings.
func gatewayState(gateway admin.GatewayInfo) string {
	switch {
	case gateway.SinceLastMessage > configuration.UnresponsiveAfter:
		return "silent for " + durationText(gateway.SinceLastMessage)
	case gateway.Stopping:
		return "stopping"
	case gateway.Self && !gateway.StoreReachable:
		return "works without the store"
	}
	return "works"
}

func (e *Executor) pools(ctx context.Context, service string) (*admin.Result, *structs.Problem) {
	if problem := checkService(e.system.Config(), service); problem != nil {
		return nil, problem
	}
	pools := e.system.Pools(ctx)
	slices.SortFunc(pools.Items, func(a, b admin.PoolInfo) int {
		return cmp.Or(cmp.Compare(a.Pool.Service, b.Pool.Service), cmp.Compare(a.Pool.Index, b.Pool.Index))
	})
	list := newTable("pool", "owner", "mode", "servers", "slots", "running", "queued urgent", "queued routine",
		"wait urgent", "wait routine")
	for _, pool := range pools.Items {
		if service == "" || pool.Pool.Service == service {
			list.add(pool.Pool.String(), string(pool.Owner.ID), modeText(pool), pool.Roster, pool.Stats.Slots,
				pool.Stats.Running, pool.Stats.QueuedUrgent, pool.Stats.QueuedRoutine, pool.Stats.ExpectedUrgent,
				pool.Stats.ExpectedRoutine)
		}
	}
	result := list.result()
	result.Notes = unansweredNotes(pools.Unresponsive)
	return result, nil
}

// modeText returns the mode of a pool for listings.
func modeText(pool admin.PoolInfo) string {
	if pool.Owner.ID == "" {
		return "no owner"
	}
	switch pool.Mode {
	case dispatch.Recovering:
		return "taking over"
	case dispatch.Attached:
		return "works"
	case dispatch.Detached:
		return "works without the store"
	case dispatch.Suspended:
		return "suspended"
	}
	return "unknown"
}

func (e *Executor) history(ctx context.Context, before string) (*admin.Result, *structs.Problem) {
	revision := uint64(0)
	if before != "" {
		var err error
		if revision, err = strconv.ParseUint(before, 10, 64); err != nil || revision == 0 {
			return nil, badRequest("%q is no revision: want a whole number from 1", before)
		}
	}
	page, err := e.system.History(ctx, structs.Revision(revision), historyPageSize)
	if err != nil {
		return nil, configuration.Problem(err)
	}
	list := newTable("revision", "time", "operator", "command", "state", "changes")
	for _, entry := range page.Entries {
		list.add(entry.Revision, timeText(entry.Change.Time), entry.Change.Operator, entry.Change.Command,
			string(entry.State), changesText(entry))
	}
	result := list.result()
	result.Data = page
	if page.Next > 0 {
		result.Notes = append(result.Notes, fmt.Sprintf("Older changes: history before %d", page.Next))
	}
	return result, nil
}

func timeText(t time.Time) string { return t.UTC().Format(timeLayout) }

// maxChangesText is the length from which a change is shortened, so that a row of the history fits on one line of a
// terminal. JSON output has the whole entry.
const maxChangesText = 60

// changesText returns the change of an audit entry, or the number of changes if it has several.
func changesText(entry configuration.HistoryEntry) string {
	lines := len(entry.Diff) + entry.Cut
	if lines != 1 || len(entry.Diff) != 1 {
		return quantity(lines, "change")
	}
	title, _, cut := strings.Cut(entry.Diff[0], ", ")
	if cut && len(entry.Diff[0]) > maxChangesText {
		return title
	}
	return entry.Diff[0]
}
