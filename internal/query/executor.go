package query

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/structs"
)

// Executor executes commands on a gateway. It has no state and is safe for concurrent use.
type Executor struct{ system admin.System }

var _ admin.Executor = (*Executor)(nil)

// NewExecutor returns an Executor for a gateway.
func NewExecutor(system admin.System) *Executor { return &Executor{system: system} }

// Execute implements admin.Executor. The outcome of a problem says whether the change may have been made.
func (e *Executor) Execute(ctx context.Context, operator admin.Operator, request admin.Request) (*admin.Result, *structs.Problem) {
	command, err := Parse(request.Command)
	if err != nil {
		return nil, configuration.Problem(err)
	}
	if need := RoleOf(request.Command); operator.Role < need {
		return nil, refusal(structs.CodeForbidden, http.StatusForbidden,
			"%q needs the role %s; %s has the role %s", request.Command, need, operator.Name, operator.Role)
	}
	if command.ReadOnly() {
		return e.read(ctx, command)
	}
	x := execution{Executor: e, operator: operator, request: request, command: command}
	return x.execute(ctx)
}

func (e *Executor) read(ctx context.Context, c *Command) (*admin.Result, *structs.Problem) {
	switch {
	case c.Help != nil:
		return helpTable(c.Help.Topic)
	case c.Servers != nil:
		return e.servers(ctx, c.Servers.Zone)
	case c.Pools != nil:
		return e.pools(ctx, c.Pools.Service)
	case c.Jobs != nil:
		return e.jobs(ctx, c.Jobs.Service)
	case c.History != nil:
		return e.history(ctx, c.History.Before)
	case c.Why != nil && c.Why.Job != "":
		return e.whyJob(ctx, c.Why.Job)
	case c.Why != nil:
		return e.whyQueue(ctx, c.Why.Queue)
	}
	return e.readPlain(ctx, c.Plain)
}

func (e *Executor) readPlain(ctx context.Context, word string) (*admin.Result, *structs.Problem) {
	switch word {
	case "zones":
		return e.zones(ctx), nil
	case "services":
		return e.services(ctx), nil
	case "teams":
		return e.teams(), nil
	case "limits":
		return e.limits(), nil
	case "gateways":
		return e.gateways(ctx), nil
	case wordExport:
		return &admin.Result{Document: configuration.Export(e.system.Config())}, nil
	}
	return nil, badRequest("there is no listing %q", word)
}

// Complete implements admin.Executor.
func (e *Executor) Complete(ctx context.Context, line string) []string {
	if len(line) > MaxLineBytes {
		return nil
	}
	return complete(line, func(s symbol) []string { return e.names(ctx, s) })
}

// maxCompletedJobs limits the job ids that each gateway offers for completion.
const maxCompletedJobs = 20

// names returns the known names for a placeholder.
func (e *Executor) names(ctx context.Context, s symbol) []string {
	switch s {
	case symbolZone:
		return e.zoneNames(ctx)
	case symbolServer:
		return slices.Sorted(maps.Keys(e.serverNames(ctx)))
	case symbolService:
		return slices.Sorted(maps.Keys(e.system.Config().Services))
	case symbolTeam:
		return slices.Sorted(maps.Keys(e.system.Config().Teams))
	case symbolGateway:
		return e.gatewayNames(ctx)
	case symbolJob:
		var ids []string
		for _, job := range e.system.Jobs(ctx, "", maxCompletedJobs).Items {
			ids = append(ids, job.Job.String())
		}
		return ids
	case symbolWord:
		return commandWords()
	default:
		return nil
	}
}

// commandWords returns the first words of all commands, sorted and without duplicates.
func commandWords() []string {
	var words []string
	for _, u := range usages {
		words = append(words, string(u.symbols()[0]))
	}
	slices.Sort(words)
	return slices.Compact(words)
}

// zoneNames returns the names of the zones that are configured or that have a backend server or a gateway, sorted.
func (e *Executor) zoneNames(ctx context.Context) []string {
	known := map[string]bool{}
	for name := range e.system.Config().Zones {
		known[name] = true
	}
	for _, agent := range e.system.Agents(ctx).Items {
		known[agent.Status.Zone] = true
	}
	for _, gateway := range e.system.Gateways(ctx) {
		known[gateway.Zone] = true
	}
	delete(known, "")
	return slices.Sorted(maps.Keys(known))
}

func (e *Executor) gatewayNames(ctx context.Context) []string {
	var names []string
	for _, gateway := range e.system.Gateways(ctx) {
		names = append(names, string(gateway.Gateway.ID))
	}
	slices.Sort(names)
	return names
}

// serverNames maps the names that an operator may use for a backend server to the id of its agent. The names are the id
// itself and, if it is unique, the name with which the backend server announced itself.
func (e *Executor) serverNames(ctx context.Context) map[string]structs.AgentID {
	names := map[string]structs.AgentID{}
	uses := map[string]int{}
	// The agents of a pool without an owner are missing in system.Agents, but this gateway is linked to them.
	for _, member := range e.system.InForce(ctx, e.system.Config().Revision).Members {
		if member.Kind == configuration.MemberAgent {
			names[member.Name] = structs.AgentID(member.Name)
		}
	}
	agents := e.system.Agents(ctx).Items
	for _, agent := range agents {
		names[agent.Status.Server] = agent.Status.Agent.ID
		uses[agent.Status.Server]++
	}
	for name, n := range uses {
		if n > 1 || name == "" {
			delete(names, name)
		}
	}
	for name := range e.system.Config().Servers {
		names[name] = structs.AgentID(name)
	}
	for _, agent := range agents {
		names[string(agent.Status.Agent.ID)] = agent.Status.Agent.ID
	}
	return names
}

// unansweredNotes returns a note about the gateways that did not answer a query to all gateways.
func unansweredNotes(unanswered []structs.GatewayID) []string {
	if len(unanswered) == 0 {
		return nil
	}
	names := make([]string, len(unanswered))
	for i, id := range unanswered {
		names[i] = string(id)
	}
	return []string{"No answer from gateway " + strings.Join(names, ", ") + ": what they own is missing here."}
}

// missingServerNotes returns notes about the backend servers that a listing lacks: those of gateways that did not
// answer, and those of pools without an owner, for example during a takeover.
func (e *Executor) missingServerNotes(ctx context.Context, unanswered []structs.GatewayID) []string {
	notes := unansweredNotes(unanswered)
	for _, pool := range e.system.Pools(ctx).Items {
		if pool.Owner.ID == "" {
			notes = append(notes, "Pool "+pool.Pool.String()+" has no owner at the moment: its backend servers are missing here.")
		}
	}
	return notes
}

// checkService returns a problem if a service does not exist. An empty name stands for all services.
func checkService(config *structs.Configuration, name string) *structs.Problem {
	if _, ok := config.Services[name]; ok || name == "" {
		return nil
	}
	return unknownName("service", name, slices.Sorted(maps.Keys(config.Services)))
}
