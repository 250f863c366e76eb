package query

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/structs"
)

// execution carries out one command that changes something.
type execution struct {
	*Executor
	operator admin.Operator
	request  admin.Request
	command  *Command
}

// plan is a change of the configuration that can be proposed or shown as a dry run.
type plan struct {
	// summary says in one sentence what holds after the change.
	summary string
	// effects say what happens to the work and to the capacity.
	effects []string
	// base and apply are as in configuration.Proposal.
	base  *structs.Revision
	apply func(document *structs.Configuration) error
}

func (x execution) execute(ctx context.Context) (*admin.Result, *structs.Problem) {
	switch {
	case x.command.Cancel != "":
		return x.cancel(ctx)
	case x.command.Gateway != nil:
		return x.declareGatewayGone(ctx)
	}
	planned, problem := x.plan(ctx)
	if problem != nil {
		return nil, problem
	}
	if x.request.DryRun {
		return x.dryRun(planned)
	}
	return x.propose(ctx, planned)
}

func (x execution) plan(ctx context.Context) (plan, *structs.Problem) {
	switch c := x.command; {
	case c.Zone != nil:
		return x.planZone(ctx, c.Zone)
	case c.Server != nil:
		return x.planServer(ctx, c.Server)
	case c.Service != nil:
		return x.planService(ctx, c.Service)
	case c.Team != nil:
		return x.planTeam(c.Team)
	case c.Set != nil:
		return plan{summary: "The limits are changed.", apply: func(document *structs.Configuration) error {
			return assign(configuration.LimitFields(), &document.Limits, c.Set.Settings)
		}}, nil
	}
	return x.planImport()
}

// dryRun applies the change to a copy of the configuration that this gateway uses, and returns the differences.
func (x execution) dryRun(planned plan) (*admin.Result, *structs.Problem) {
	now := x.system.Config()
	next := configuration.Clone(now)
	if planned.base != nil && *planned.base != now.Revision {
		return nil, configuration.Problem(&configuration.ConflictError{Revision: now.Revision, Winner: now.Change})
	}
	err := planned.apply(next)
	if err == nil {
		err = errors.Join(configuration.Validate(next), configuration.CheckTransition(now, next))
	}
	if err != nil {
		return nil, configuration.Problem(err)
	}
	diff := configuration.Diff(now, next)
	result := &admin.Result{DryRun: true}
	if len(diff) == 0 {
		result.Text = []string{fmt.Sprintf("Nothing would change: revision %d already says so.", now.Revision)}
		return result, nil
	}
	result.Text = append([]string{"Nothing is changed yet. This would change:"}, indent(diff)...)
	result.Text = append(result.Text, planned.effects...)
	return result, nil
}

func indent(lines []string) []string {
	indented := make([]string, len(lines))
	for i, line := range lines {
		indented[i] = "  " + line
	}
	return indented
}

func (x execution) propose(ctx context.Context, planned plan) (*admin.Result, *structs.Problem) {
	document, err := x.system.Propose(ctx, configuration.Proposal{
		Operator: x.operator.Name, Command: x.commandText(), Base: planned.base, Apply: planned.apply,
	})
	var unchanged *configuration.UnchangedError
	if errors.As(err, &unchanged) {
		return &admin.Result{Text: []string{fmt.Sprintf("%s Nothing to change: revision %d already says so.",
			planned.summary, unchanged.Revision)}}, nil
	}
	if err != nil {
		return nil, configuration.Problem(err)
	}
	status := x.system.InForce(ctx, document.Revision)
	text := append([]string{planned.summary}, planned.effects...)
	text = append(text, fmt.Sprintf("Accepted as revision %d at %s.", document.Revision, timeText(document.Change.Time)))
	return &admin.Result{Text: text, Changed: true, Revision: document.Revision, AcceptedAt: document.Change.Time,
		InForce: &status}, nil
}

// commandText returns the command for the audit entry. For an import it has only the size of the text, whose changes
// are in the diff of the entry.
func (x execution) commandText() string {
	text := strings.Join(strings.Fields(x.request.Command), " ")
	if x.command.Plain == wordImport {
		text += " (" + quantity(len(x.request.Document), "byte") + ")"
	}
	return text
}

// assign sets the fields of an object. The error is a *configuration.ValueError.
func assign[T any](fields []configuration.Field[T], object *T, settings []Assignment) error {
	for _, setting := range settings {
		if err := configuration.SetField(fields, object, setting.Field, setting.Value); err != nil {
			return err
		}
	}
	return nil
}

func (x execution) planZone(ctx context.Context, z *Zone) (plan, *structs.Problem) {
	known := x.zoneNames(ctx)
	if z.Create != nil {
		return plan{summary: "Zone " + z.Name + " is created.", apply: func(document *structs.Configuration) error {
			return create(document.Zones, "zone", z.Name, structs.ZoneConfig{State: structs.ZoneIn},
				configuration.ZoneFields(), z.Create.Settings)
		}}, nil
	}
	if !slices.Contains(known, z.Name) {
		problem := unknownName("zone", z.Name, known)
		problem.Detail += fmt.Sprintf("; for a new zone: zone %s create", z.Name)
		return plan{}, problem
	}
	settings := []Assignment{{Field: fieldState, Value: z.State}}
	planned := plan{summary: fmt.Sprintf("Zone %s is %s.", z.Name, z.State)}
	if z.Change != nil {
		settings = z.Change.Settings
		planned.summary = "Zone " + z.Name + " is changed."
	}
	planned.effects = x.zoneEffects(ctx, z, settings)
	planned.apply = func(document *structs.Configuration) error {
		zone, exists := document.Zones[z.Name]
		if !exists { // the zone is known only by its servers or gateways
			zone.State = structs.ZoneIn
		}
		err := assign(configuration.ZoneFields(), &zone, settings)
		document.Zones[z.Name] = zone
		return err
	}
	return planned, nil
}

// zoneEffects says what a change of a zone's state does to running and waiting tasks, and how much capacity remains.
func (x execution) zoneEffects(ctx context.Context, z *Zone, settings []Assignment) []string {
	state := resultingState(settings)
	if state == "" {
		return nil
	}
	agents := x.system.Agents(ctx)
	totals := totalsByZone(agents.Items)
	own := totals[z.Name]
	if own == nil {
		own = &zoneTotals{}
	}
	missing := x.missingServerNotes(ctx, agents.Unresponsive)
	if state == string(structs.ZoneIn) {
		text := fmt.Sprintf("%s with %s take work again, with half of the slots at first and all after 1 s.",
			quantity(own.servers, "backend server"), quantity(own.slots, "slot"))
		return append([]string{text}, missing...)
	}
	text := fmt.Sprintf("%s with %s get no new work within 2 s; the %s that run there finish, waiting tasks move to "+
		"other zones.", quantity(own.servers, "backend server"), quantity(own.slots, "slot"), quantity(own.running, "task"))
	return append([]string{text, x.remainingCapacity(z.Name, totals, len(missing) == 0)}, missing...)
}

// resultingState returns the state that the settings give to a zone, or an empty string if they do not change it.
func resultingState(settings []Assignment) string {
	state := ""
	for _, setting := range settings {
		if setting.Field == fieldState {
			state = setting.Value
		}
	}
	return state
}

const fieldState = "state"

// remainingCapacity says how many servers and slots the zones other than excluded have. It warns that there are none
// only if the listing of servers is complete.
func (x execution) remainingCapacity(excluded string, totals map[string]*zoneTotals, allListed bool) string {
	config := x.system.Config()
	servers, slots := 0, 0
	var zones []string
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		if name != excluded && config.Zones[name].State != structs.ZoneOut {
			zones = append(zones, name)
			servers += totals[name].servers
			slots += totals[name].slots
		}
	}
	switch {
	case servers == 0 && !allListed:
		return "What remains in other zones cannot be told at the moment."
	case servers == 0:
		return "WARNING: no backend server remains in any other zone; no task can start."
	}
	return fmt.Sprintf("%s with %s remain in %s.", quantity(servers, "backend server"), quantity(slots, "slot"),
		strings.Join(zones, ", "))
}

func (x execution) planServer(ctx context.Context, s *Server) (plan, *structs.Problem) {
	names := x.serverNames(ctx)
	id, ok := names[s.Name]
	if !ok {
		return plan{}, unknownName("server", s.Name, slices.Sorted(maps.Keys(names)))
	}
	if s.Verb == "activate" {
		return plan{summary: fmt.Sprintf("Server %s is active.", id), apply: func(document *structs.Configuration) error {
			delete(document.Servers, string(id))
			return nil
		}}, nil
	}
	return plan{
		summary: fmt.Sprintf("Server %s is draining.", id),
		effects: []string{"It gets no new work within 2 s; its running tasks finish."},
		apply: func(document *structs.Configuration) error {
			document.Servers[string(id)] = structs.ServerConfig{State: structs.ServerDraining}
			return nil
		},
	}, nil
}

func (x execution) planService(ctx context.Context, s *Service) (plan, *structs.Problem) {
	zones := x.zoneNames(ctx)
	switch {
	case s.Create != nil:
		return plan{summary: "Service " + s.Name + " is created.", apply: func(document *structs.Configuration) error {
			defaults := structs.DefaultServiceConfig()
			if pools, retired := document.Retired[s.Name]; retired {
				defaults.Pools = pools
			}
			delete(document.Retired, s.Name)
			err := create(document.Services, "service", s.Name, defaults, configuration.ServiceFields(), s.Create.Settings)
			return errors.Join(err, checkKnownZones(document, s.Name, zones))
		}}, nil
	case s.Change != nil:
		return plan{summary: "Service " + s.Name + " is changed.", apply: func(document *structs.Configuration) error {
			err := change(document.Services, "service", s.Name, configuration.ServiceFields(), s.Change.Settings)
			return errors.Join(err, checkKnownZones(document, s.Name, zones))
		}}, nil
	}
	return plan{
		summary: "Service " + s.Name + " is removed.",
		effects: x.removalEffects(ctx, s.Name),
		apply: func(document *structs.Configuration) error {
			if problem := checkService(document, s.Name); problem != nil {
				return problem
			}
			configuration.RemoveService(document, s.Name)
			return nil
		},
	}, nil
}

// removalEffects says how much work a service has when it is removed.
func (x execution) removalEffects(ctx context.Context, service string) []string {
	queued, running := 0, 0
	for _, pool := range x.system.Pools(ctx).Items {
		if pool.Pool.Service == service {
			queued += pool.Stats.QueuedUrgent + pool.Stats.QueuedRoutine
			running += pool.Stats.Running
		}
	}
	return []string{fmt.Sprintf("New jobs of the service are refused; %s wait and %d run.", quantity(queued, "task"), running)}
}

// checkKnownZones rejects names of unknown zones, since a typo would leave the service without servers.
func checkKnownZones(document *structs.Configuration, service string, known []string) error {
	for _, zone := range document.Services[service].Zones {
		if !slices.Contains(known, zone) {
			return unknownName("zone", zone, known)
		}
	}
	return nil
}

func (x execution) planTeam(t *Team) (plan, *structs.Problem) {
	fields := configuration.TeamFields()
	switch {
	case t.Create != nil:
		return plan{summary: "Team " + t.Name + " is created.", apply: func(document *structs.Configuration) error {
			return create(document.Teams, "team", t.Name, configuration.DefaultTeam(), fields, t.Create.Settings)
		}}, nil
	case t.Change != nil:
		return plan{summary: "Team " + t.Name + " is changed.", apply: func(document *structs.Configuration) error {
			return change(document.Teams, "team", t.Name, fields, t.Change.Settings)
		}}, nil
	}
	return plan{
		summary: "Team " + t.Name + " is removed.",
		effects: []string{"The team's quota and weight no longer apply; its keys are in the key file."},
		apply: func(document *structs.Configuration) error {
			if _, ok := document.Teams[t.Name]; !ok {
				return unknownName("team", t.Name, slices.Sorted(maps.Keys(document.Teams)))
			}
			delete(document.Teams, t.Name)
			return nil
		},
	}, nil
}

// create adds an object with the defaults and the given settings.
func create[T any](into map[string]T, kind, name string, defaults T, fields []configuration.Field[T], settings []Assignment) error {
	if _, exists := into[name]; exists {
		return badRequest("%s %s exists already; to change it: %s %s set FIELD VALUE", kind, name, kind, name)
	}
	err := assign(fields, &defaults, settings)
	into[name] = defaults
	return err
}

// change applies the settings to an existing object.
func change[T any](in map[string]T, kind, name string, fields []configuration.Field[T], settings []Assignment) error {
	object, exists := in[name]
	if !exists {
		return unknownName(kind, name, slices.Sorted(maps.Keys(in)))
	}
	err := assign(fields, &object, settings)
	in[name] = object
	return err
}

func (x execution) planImport() (plan, *structs.Problem) {
	imported, err := configuration.Import(x.request.Document)
	if err != nil {
		return plan{}, configuration.Problem(err)
	}
	return plan{
		summary: "The configuration is replaced by the text.",
		base:    &imported.Revision,
		apply: func(document *structs.Configuration) error {
			revision, last := document.Revision, document.Change
			*document = *configuration.Clone(imported)
			document.Revision, document.Change = revision, last
			return nil
		},
	}, nil
}

func (x execution) cancel(ctx context.Context) (*admin.Result, *structs.Problem) {
	id, err := structs.ParseJobID(x.command.Cancel)
	if err != nil {
		return nil, badRequest("%s; jobs lists the ids", err)
	}
	if x.request.DryRun {
		status, err := x.system.Job(ctx, id)
		if err != nil {
			return nil, configuration.Problem(err)
		}
		text := append([]string{"Nothing is changed yet. This job would be cancelled:"}, jobText(status)...)
		return &admin.Result{DryRun: true, Data: status, Text: text}, nil
	}
	status, err := x.system.CancelJob(ctx, id)
	if err != nil {
		return nil, configuration.Problem(err)
	}
	text := []string{fmt.Sprintf("Job %s is cancelled: waiting tasks are dropped, running ones are aborted.", id)}
	return &admin.Result{Changed: true, Data: status, Text: append(text, jobText(status)...)}, nil
}

// declareGatewayGone tells all gateways that a gateway will never run again, so that its pools are taken over without
// waiting for a majority of their backend servers.
func (x execution) declareGatewayGone(ctx context.Context) (*admin.Result, *structs.Problem) {
	name := x.command.Gateway.Name
	if !structs.ValidName(name) {
		return nil, badRequest("%q is no gateway name", name)
	}
	notes := x.unlistedGatewayNotes(ctx, name)
	if x.request.DryRun {
		return &admin.Result{DryRun: true, Notes: notes, Text: []string{
			"Nothing is changed yet. Other gateways would take over the pools of gateway " + name +
				" without hearing a majority of their backend servers.",
			"State this only if its VM is off for good: if the gateway still runs, tasks can start twice.",
			"Jobs that it had admitted can end with the outcome may_have_run.",
		}}, nil
	}
	if err := x.system.GatewayGone(ctx, structs.GatewayID(name)); err != nil {
		return nil, configuration.Problem(err)
	}
	return &admin.Result{Changed: true, Notes: notes, Text: []string{
		"Gateway " + name + " counts as gone from now on; its pools are taken over without waiting for a majority.",
	}}, nil
}

// unlistedGatewayNotes warns of a possible typo. A lost gateway disappears from the list when its lease
// expires, so the command is not rejected for a name that is not listed.
func (x execution) unlistedGatewayNotes(ctx context.Context, name string) []string {
	known := x.gatewayNames(ctx)
	if slices.Contains(known, name) {
		return nil
	}
	return []string{fmt.Sprintf("Gateway %s is not among the known gateways (%s): check the name.", name, strings.Join(known, ", "))}
}
