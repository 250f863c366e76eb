package query

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

// fakeSystem is a fake admin.System of a gateway with two zones and one service.
type fakeSystem struct {
	config *structs.Configuration
	// refuse is the error of Propose.
	refuse error
	// ownerless means that the pool has no owner, so that no gateway reports its agents.
	ownerless bool
	// gone has the gateways that were declared gone.
	gone []structs.GatewayID
	page configuration.HistoryPage
}

func newFakeSystem() *fakeSystem {
	config := configuration.Default()
	config.Revision = 7
	config.Services["lending"] = structs.DefaultServiceConfig()
	config.Teams["desk"] = configuration.DefaultTeam()
	return &fakeSystem{config: config}
}

func (f *fakeSystem) Self() structs.GatewayID        { return "g1" }
func (f *fakeSystem) Config() *structs.Configuration { return f.config }

func (f *fakeSystem) Propose(_ context.Context, p configuration.Proposal) (*structs.Configuration, error) {
	next := configuration.Clone(f.config)
	if f.refuse != nil {
		return nil, f.refuse
	}
	if p.Base != nil && *p.Base != f.config.Revision {
		return nil, &configuration.ConflictError{Revision: f.config.Revision, Winner: f.config.Change}
	}
	if err := p.Apply(next); err != nil {
		return nil, err
	}
	if err := configuration.CheckTransition(f.config, next); err != nil {
		return nil, err
	}
	if len(configuration.Diff(f.config, next)) == 0 {
		return nil, &configuration.UnchangedError{Revision: f.config.Revision}
	}
	next.Revision++
	next.Change = structs.Change{Operator: p.Operator, Command: p.Command, Time: time.Unix(0, 0)}
	f.config = next
	return next, nil
}

func (f *fakeSystem) InForce(_ context.Context, revision structs.Revision) configuration.InForceStatus {
	agent := configuration.MemberStatus{Kind: configuration.MemberAgent, Name: "m1"}
	return configuration.InForceStatus{Revision: revision, InForce: true, Members: []configuration.MemberStatus{agent}}
}

func (f *fakeSystem) History(context.Context, structs.Revision, int) (configuration.HistoryPage, error) {
	return f.page, nil
}

func (f *fakeSystem) Gateways(context.Context) []admin.GatewayInfo {
	return []admin.GatewayInfo{
		{Gateway: structs.GatewayRef{ID: "g1"}, Zone: "catania", Self: true, StoreReachable: true},
		{Gateway: structs.GatewayRef{ID: "g2"}, Zone: "palermo", SinceLastMessage: 9 * time.Second},
	}
}

func (f *fakeSystem) Pools(context.Context) admin.Answers[admin.PoolInfo] {
	if f.ownerless {
		return admin.Answers[admin.PoolInfo]{Items: []admin.PoolInfo{{Pool: structs.PoolID{Service: "lending"}}}}
	}
	return admin.Answers[admin.PoolInfo]{Unresponsive: []structs.GatewayID{"g2"}, Items: []admin.PoolInfo{{
		Pool: structs.PoolID{Service: "lending"}, Owner: structs.GatewayRef{ID: "g1"}, Mode: dispatch.Attached,
		Stats: dispatch.Stats{QueuedRoutine: 5, Running: 16, Slots: 16, ExpectedRoutine: 2 * time.Second},
	}}}
}

func (f *fakeSystem) Agents(context.Context) admin.Answers[admin.AgentInfo] {
	if f.ownerless {
		return admin.Answers[admin.AgentInfo]{}
	}
	agent := func(id, zone, state string) admin.AgentInfo {
		return admin.AgentInfo{Pool: structs.PoolID{Service: "lending"}, Status: dispatch.AgentStatus{
			Agent: structs.AgentRef{ID: structs.AgentID(id)}, Zone: zone, Server: "mould-" + id, Slots: 8, Running: 8,
			Eligible: state == "", State: state,
		}}
	}
	return admin.Answers[admin.AgentInfo]{Items: []admin.AgentInfo{
		agent("m1", "catania", ""), agent("m2", "palermo", ""), agent("m3", "palermo", "five tasks failed"),
	}}
}

func (f *fakeSystem) Jobs(context.Context, string, int) admin.Answers[structs.JobStatus] {
	return admin.Answers[structs.JobStatus]{Items: []structs.JobStatus{{Reason: "waits"}}}
}

func (f *fakeSystem) Job(_ context.Context, id structs.JobID) (structs.JobStatus, error) {
	return structs.JobStatus{Job: id, Team: "desk", Tasks: 3, Queued: 3, Reason: "All slots are busy."}, nil
}

func (f *fakeSystem) CancelJob(ctx context.Context, id structs.JobID) (structs.JobStatus, error) {
	return f.Job(ctx, id)
}

func (f *fakeSystem) GatewayGone(_ context.Context, id structs.GatewayID) error {
	f.gone = append(f.gone, id)
	return nil
}

var administrator = admin.Operator{Name: "anna", Role: admin.RoleAdministrator}

func run(t *testing.T, f *fakeSystem, request admin.Request) *admin.Result {
	t.Helper()
	result, problem := NewExecutor(f).Execute(t.Context(), administrator, request)
	require.Nil(t, problem, request.Command)
	return result
}

func refused(t *testing.T, f *fakeSystem, operator admin.Operator, request admin.Request) *structs.Problem {
	t.Helper()
	_, problem := NewExecutor(f).Execute(t.Context(), operator, request)
	require.NotNil(t, problem, request.Command)
	return problem
}

// TestZoneOutReportsEffects guards against a zone that is taken out without a report of the effects, and against a dry
// run that changes something.
func TestZoneOutReportsEffects(t *testing.T) {
	f := newFakeSystem()
	dry := run(t, f, admin.Request{Command: "zone palermo out", DryRun: true})
	require.True(t, dry.DryRun)
	require.Equal(t, structs.Revision(7), f.config.Revision)
	text := strings.Join(dry.Text, "\n")
	require.Contains(t, text, "zone palermo: new, state out")
	require.Contains(t, text, "2 backend servers with 16 slots get no new work within 2 s; the 16 tasks that run there finish")
	require.Contains(t, text, "1 backend server with 8 slots remain in catania.")

	done := run(t, f, admin.Request{Command: "zone palermo out"})
	require.Equal(t, structs.Revision(8), done.Revision)
	require.Equal(t, "Zone palermo is out.", done.Text[0])
	require.Equal(t, "Accepted as revision 8 at 1970-01-01 00:00:00 UTC.", done.Text[len(done.Text)-1])
	require.Equal(t, "anna", f.config.Change.Operator)

	again := run(t, f, admin.Request{Command: "zone palermo out"})
	require.Zero(t, again.Revision)
	require.Equal(t, "Zone palermo is out. Nothing to change: revision 8 already says so.", again.Text[0])
	require.Contains(t, strings.Join(run(t, f, admin.Request{Command: "zone catania out"}).Text, "\n"), "WARNING: no backend server")
}

// TestPoolWithoutOwnerHidesServers guards against a warning about missing capacity during a takeover, when the servers
// of a pool run but no gateway reports them, and against servers that cannot be drained meanwhile.
func TestPoolWithoutOwnerHidesServers(t *testing.T) {
	f := newFakeSystem()
	f.ownerless = true
	text := strings.Join(run(t, f, admin.Request{Command: "zone catania out"}).Text, "\n")
	require.NotContains(t, text, "WARNING")
	require.Contains(t, text, "What remains in other zones cannot be told at the moment.")
	require.Contains(t, text, "Pool lending.0 has no owner at the moment")
	require.Contains(t, run(t, f, admin.Request{Command: "servers"}).Notes[0], "its backend servers are missing here")
	run(t, f, admin.Request{Command: "server m1 drain"})
	require.Contains(t, f.config.Servers, "m1")
}

// TestCommandsChangeTheDocument guards against commands that are accepted and have a wrong effect.
func TestCommandsChangeTheDocument(t *testing.T) {
	f := newFakeSystem()
	for _, line := range []string{
		"server mould-m1 drain", "server m2 drain", "server m1 activate", "zone siracusa create region south",
		"service orders create pools 3 zones catania", "service orders set task_timeout 10s", "service orders remove",
		"service orders create", "team van create max_running 8", "team van set weight 2", "team desk remove",
		"set max_tasks 670 max_body_bytes 1MiB",
	} {
		run(t, f, admin.Request{Command: line})
	}
	require.Equal(t, map[string]structs.ServerConfig{"m2": {State: structs.ServerDraining}}, f.config.Servers)
	require.Equal(t, structs.ZoneConfig{State: structs.ZoneIn, Region: "south"}, f.config.Zones["siracusa"])
	require.Equal(t, uint16(3), f.config.Services["orders"].Pools)
	require.Empty(t, f.config.Retired)
	require.Equal(t, map[string]structs.TeamConfig{"van": {Weight: 2, MaxRunning: 8}}, f.config.Teams)
	require.Equal(t, 670, f.config.Limits.MaxTasks)

	text := run(t, f, admin.Request{Command: "export"}).Document
	replaced := strings.Replace(text, "max_tasks 670", "max_tasks 99", 1)
	run(t, f, admin.Request{Command: "import", Document: replaced})
	require.Equal(t, 99, f.config.Limits.MaxTasks)
	problem := refused(t, f, administrator, admin.Request{Command: "import", Document: text})
	require.Equal(t, structs.CodeConflict, problem.Code)
	require.Contains(t, problem.Detail, "anna was faster")
}

// TestRefusalsSuggest guards against a mistyped name that is rejected without the nearest valid one, and against
// commands that are executed although the role of the operator does not allow them.
func TestRefusalsSuggest(t *testing.T) {
	f := newFakeSystem()
	cases := map[string]string{
		"zone catnia out":                   `there is no zone "catnia" (did you mean "catania"?); for a new zone: zone catnia create`,
		"server mould-m9 drain":             `there is no server "mould-m9" (did you mean "mould-m1"?)`,
		"service lending set task_tmeout 1": `did you mean "task_timeout"`,
		"service lending set pools 2":       "the service was created with pools 1, which cannot change to 2",
		"service lending create":            "to change it: service lending set FIELD VALUE",
		"service lendin remove":             `did you mean "lending"`,
		"service new create zones palerno":  `there is no zone "palerno" (did you mean "palermo"?)`,
		"team dsk set weight 1":             `did you mean "desk"`,
		"team desk set max_priority ugrent": `"ugrent" is no value of max_priority: want urgent or routine (did you mean "urgent"?)`,
		"why queue lendig":                  `did you mean "lending"`,
		"jobs lendig":                       `did you mean "lending"`,
		"servers in catnia":                 `did you mean "catania"`,
		"gateway G3 gone":                   `"G3" is no gateway name`,
		"why job lending":                   "want service.pool.key; jobs lists the ids",
		"history before now":                "want a whole number",
		"help zoen":                         `did you mean "zone"`,
	}
	for line, want := range cases {
		for _, dry := range []bool{true, false} {
			require.Contains(t, refused(t, f, administrator, admin.Request{Command: line, DryRun: dry}).Detail, want)
		}
	}
	require.Equal(t, structs.Revision(7), f.config.Revision)

	viewer, operator := admin.Operator{Name: "v", Role: admin.RoleView}, admin.Operator{Name: "o", Role: admin.RoleOperate}
	require.Equal(t, structs.CodeForbidden, refused(t, f, viewer, admin.Request{Command: "zone catania out"}).Code)
	require.Equal(t, structs.CodeForbidden, refused(t, f, operator, admin.Request{Command: "service lending remove"}).Code)
	require.Equal(t, structs.CodeForbidden, refused(t, f, admin.Operator{}, admin.Request{Command: "zones"}).Code)
	f.refuse = &configuration.OutcomeUnknownError{Revision: 8}
	require.Equal(t, structs.OutcomeMayHaveRun, refused(t, f, operator, admin.Request{Command: "zone catania out"}).Outcome)
	f.refuse = &configuration.MajorityError{Pools: []structs.PoolID{{Service: "lending"}}}
	require.Equal(t, http.StatusServiceUnavailable, refused(t, f, operator, admin.Request{Command: "zone catania out"}).Status)
}

// TestListings guards against listings with missing rows, and against listings that do not mention gateways without an
// answer.
func TestListings(t *testing.T) {
	f := newFakeSystem()
	f.page = configuration.HistoryPage{Next: 3, Entries: []configuration.HistoryEntry{{State: configuration.AuditNotAccepted}}}
	rows := map[string]int{
		"zones": 2, "servers": 3, "servers in palermo": 2, "services": 1, "teams": 1, "limits": 5, "jobs": 1, "gateways": 2,
		"pools": 1, "pools lending": 1, "history": 1, "help": len(usages), "help zone": 4,
	}
	for line, want := range rows {
		result := run(t, f, admin.Request{Command: line})
		require.Len(t, result.Rows, want, line)
		for _, row := range result.Rows {
			require.Len(t, row, len(result.Columns), line)
		}
		_, err := json.Marshal(result)
		require.NoError(t, err, line)
	}
	require.Contains(t, run(t, f, admin.Request{Command: "pools"}).Notes[0], "No answer from gateway g2")
	require.Contains(t, run(t, f, admin.Request{Command: "history"}).Notes[0], "history before 3")
	require.Contains(t, run(t, f, admin.Request{Command: "gateways"}).Rows[1][2], "silent for 9s")
}

// TestWhyNamesTheReason guards against answers that do not name the reason, and checks the commands "cancel job" and
// "gateway ... gone".
func TestWhyNamesTheReason(t *testing.T) {
	f := newFakeSystem()
	f.config.Zones["palermo"] = structs.ZoneConfig{State: structs.ZoneOut}
	text := strings.Join(run(t, f, admin.Request{Command: "why queue lending"}).Text, "\n")
	for _, want := range []string{"All slots are busy", "routine work about 2s", "1 backend server without new work: five tasks failed.", "Zone palermo is out."} {
		require.Contains(t, text, want)
	}
	id := structs.JobID{Pool: structs.PoolID{Service: "lending"}}.String()
	require.Contains(t, run(t, f, admin.Request{Command: "why job " + id}).Text, "Reason: All slots are busy.")
	require.True(t, run(t, f, admin.Request{Command: "cancel job " + id, DryRun: true}).DryRun)
	require.Contains(t, run(t, f, admin.Request{Command: "cancel job " + id}).Text[0], "is cancelled")
	require.Contains(t, strings.Join(run(t, f, admin.Request{Command: "gateway g2 gone", DryRun: true}).Text, " "), "tasks can start twice")
	require.Empty(t, f.gone)
	run(t, f, admin.Request{Command: "gateway g2 gone"})
	require.Equal(t, []structs.GatewayID{"g2"}, f.gone)
	require.Contains(t, run(t, f, admin.Request{Command: "gateway g3 gone", DryRun: true}).Notes[0], "not among the known gateways (g1, g2)")
	require.Contains(t, run(t, f, admin.Request{Command: "gateway g3 gone"}).Notes[0], "not among the known gateways (g1, g2)")
	require.Equal(t, structs.GatewayID("g3"), f.gone[1])
}

// TestDestructiveCommandsNeedConfirmation guards against commands that take capacity away without a confirmation.
func TestDestructiveCommandsNeedConfirmation(t *testing.T) {
	for line, want := range map[string]bool{
		"zone a out": true, "zone a set state out": true, "zone a in": false, "zone a set region r": false,
		"service a remove": true, "team a remove": true, "gateway g gone": true, "import": true, "server a drain": false,
	} {
		command, err := Parse(line)
		require.NoError(t, err)
		require.Equal(t, want, command.NeedsConfirmation(), line)
		require.False(t, command.ReadOnly(), line)
	}
}
