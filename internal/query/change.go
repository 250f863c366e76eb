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

// execution is the run of one command that changes something.
type execution struct {
	*Executor
	caller  admin.Operator
	request admin.Request
	command *Command
}

// plan is a change of the configuration before it is proposed.
type plan struct {
	// done says what holds after the change.
	done string
	// effects say what will happen to work and capacity.
	effects []string
	base    *structs.Revision
	apply   func(document *structs.Configuration) error
}

func (x execution) execute(ctx context.Context) (*admin.Result, *structs.Problem) {
	switch {
	case x.command.Cancel != "":
		return x.cancel(ctx)
	case x.command.Gateway != nil:
		return x.gatewayGone(ctx)
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
		return plan{done: "The limits are changed.", apply: func(document *structs.Configuration) error {
			return assign(configuration.LimitFields(), &document.Limits, c.Set.Settings)
		}}, nil
	}
	return x.planImport()
}

// dryRun applies the change to a copy of this gateway's configuration.
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
		Operator: x.caller.Name, Command: x.commandText(), Base: planned.base, Apply: planned.apply,
	})
	var unchanged *configuration.UnchangedError
	if errors.As(err, &unchanged) {
		return &admin.Result{Text: []string{fmt.Sprintf("%s Nothing to change: revision %d already says so.",
			planned.done, unchanged.Revision)}}, nil
	}
	if err != nil {
		return nil, configuration.Problem(err)
	}
	status := x.system.InForce(ctx, document.Revision)
	text := append([]string{planned.done}, planned.effects...)
	text = append(text, fmt.Sprintf("Accepted as revision %d at %s.", document.Revision, timeText(document.Change.Time)))
	return &admin.Result{Text: text, Changed: true, Revision: document.Revision, AcceptedAt: document.Change.Time,
		InForce: &status}, nil
}

// commandText is the command as the audit entry keeps it; the text of an import is in the entry's diff.
func (x execution) commandText() string {
	text := strings.Join(strings.Fields(x.request.Command), " ")
	if x.command.Plain == wordImport {
		text += " (" + count(len(x.request.Document), "byte") + ")"
	}
	return text
}

// assign sets all pairs. The error is a *configuration.ValueError.
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
		return plan{done: "Zone " + z.Name + " is created.", apply: func(document *structs.Configuration) error {
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
	planned := plan{done: fmt.Sprintf("Zone %s is %s.", z.Name, z.State)}
	if z.Change != nil {
		settings = z.Change.Settings
		planned.done = "Zone " + z.Name + " is changed."
	}
	planned.effects = x.zoneEffects(ctx, z, settings)
	planned.apply = func(document *structs.Configuration) error {
		zone, named := document.Zones[z.Name]
		if !named {
			zone.State = structs.ZoneIn
		}
		err := assign(configuration.ZoneFields(), &zone, settings)
		document.Zones[z.Name] = zone
		return err
	}
	return planned, nil
}

// zoneEffects says what a zone change does to running and waiting work and how much capacity remains.
func (x execution) zoneEffects(ctx context.Context, z *Zone, settings []Assignment) []string {
	state := lastState(settings)
	if state == "" {
		return nil
	}
	agents := x.system.Agents(ctx)
	totals := totalsByZone(agents.Items)
	own := totals[z.Name]
	if own == nil {
		own = &zoneTotals{}
	}
	unseen := x.unseenNotes(ctx, agents.Unresponsive)
	if state == string(structs.ZoneIn) {
		text := fmt.Sprintf("%s with %s take work again, with half of the slots at first and all after 1 s.",
			count(own.servers, "backend server"), count(own.slots, "slot"))
		return append([]string{text}, unseen...)
	}
	text := fmt.Sprintf("%s with %s get no new work within 2 s; the %s that run there finish, waiting tasks move to "+
		"other zones.", count(own.servers, "backend server"), count(own.slots, "slot"), count(own.running, "task"))
	return append([]string{text, x.remaining(z.Name, totals, len(unseen) == 0)}, unseen...)
}

// lastState returns the state that a zone has after the settings, empty if they leave it.
func lastState(settings []Assignment) string {
	state := ""
	for _, setting := range settings {
		if setting.Field == fieldState {
			state = setting.Value
		}
	}
	return state
}

const fieldState = "state"

// remaining says what the other zones have. It warns only if all backend servers are seen.
func (x execution) remaining(without string, totals map[string]*zoneTotals, seen bool) string {
	config := x.system.Config()
	servers, slots := 0, 0
	var zones []string
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		if name != without && config.Zones[name].State != structs.ZoneOut {
			zones = append(zones, name)
			servers += totals[name].servers
			slots += totals[name].slots
		}
	}
	switch {
	case servers == 0 && !seen:
		return "What remains in other zones cannot be told at the moment."
	case servers == 0:
		return "WARNING: no backend server remains in any other zone; no task can start."
	}
	return fmt.Sprintf("%s with %s remain in %s.", count(servers, "backend server"), count(slots, "slot"),
		strings.Join(zones, ", "))
}

func (x execution) planServer(ctx context.Context, s *Server) (plan, *structs.Problem) {
	names := x.serverNames(ctx)
	id, ok := names[s.Name]
	if !ok {
		return plan{}, unknownName("server", s.Name, slices.Sorted(maps.Keys(names)))
	}
	if s.Verb == "activate" {
		return plan{done: fmt.Sprintf("Server %s is active.", id), apply: func(document *structs.Configuration) error {
			delete(document.Servers, string(id))
			return nil
		}}, nil
	}
	return plan{
		done:    fmt.Sprintf("Server %s is draining.", id),
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
		return plan{done: "Service " + s.Name + " is created.", apply: func(document *structs.Configuration) error {
			defaults := structs.DefaultServiceConfig()
			if pools, retired := document.Retired[s.Name]; retired {
				defaults.Pools = pools
			}
			delete(document.Retired, s.Name)
			err := create(document.Services, "service", s.Name, defaults, configuration.ServiceFields(), s.Create.Settings)
			return errors.Join(err, checkZones(document, s.Name, zones))
		}}, nil
	case s.Change != nil:
		return plan{done: "Service " + s.Name + " is changed.", apply: func(document *structs.Configuration) error {
			err := change(document.Services, "service", s.Name, configuration.ServiceFields(), s.Change.Settings)
			return errors.Join(err, checkZones(document, s.Name, zones))
		}}, nil
	}
	return plan{
		done:    "Service " + s.Name + " is removed.",
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

// removalEffects names the work that a removal meets.
func (x execution) removalEffects(ctx context.Context, service string) []string {
	queued, running := 0, 0
	for _, pool := range x.system.Pools(ctx).Items {
		if pool.Pool.Service == service {
			queued += pool.Stats.QueuedUrgent + pool.Stats.QueuedRoutine
			running += pool.Stats.Running
		}
	}
	return []string{fmt.Sprintf("New jobs of the service are refused; %s wait and %d run.", count(queued, "task"), running)}
}

// checkZones refuses zone names that nobody knows, since a typing error would leave the service without servers.
func checkZones(document *structs.Configuration, service string, known []string) error {
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
		return plan{done: "Team " + t.Name + " is created.", apply: func(document *structs.Configuration) error {
			return create(document.Teams, "team", t.Name, configuration.DefaultTeam(), fields, t.Create.Settings)
		}}, nil
	case t.Change != nil:
		return plan{done: "Team " + t.Name + " is changed.", apply: func(document *structs.Configuration) error {
			return change(document.Teams, "team", t.Name, fields, t.Change.Settings)
		}}, nil
	}
	return plan{
		done:    "Team " + t.Name + " is removed.",
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

func create[T any](into map[string]T, kind, name string, defaults T, fields []configuration.Field[T], settings []Assignment) error {
	if _, exists := into[name]; exists {
		return badRequest("%s %s exists already; to change it: %s %s set FIELD VALUE", kind, name, kind, name)
	}
	err := assign(fields, &defaults, settings)
	into[name] = defaults
	return err
}

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
		done: "The configuration is replaced by the text.",
		base: &imported.Revision,
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

func (x execution) gatewayGone(ctx context.Context) (*admin.Result, *structs.Problem) {
	name := x.command.Gateway.Name
	if !structs.ValidName(name) {
		return nil, badRequest("%q is no gateway name", name)
	}
	notes := x.unlistedNotes(ctx, name)
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

// unlistedNotes points at a possible typing error. A lost gateway leaves the list with its lease, so a name that is
// not listed is no reason to refuse.
func (x execution) unlistedNotes(ctx context.Context, name string) []string {
	known := x.gatewayNames(ctx)
	if slices.Contains(known, name) {
		return nil
	}
	return []string{fmt.Sprintf("Gateway %s is not among the known gateways (%s): check the name.", name, strings.Join(known, ", "))}
}
