package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

var testPool = structs.PoolID{Service: "lending"}

// newTestPool returns an attached pool of epoch 2 with the given number of agents, each with 8 slots.
func newTestPool(agents int) *Pool {
	p := New(0, Options{Pool: testPool, Epoch: 2})
	p.Step(0, Adopt{Complete: true})
	p.Step(0, SetMode{Mode: Attached})
	for i := range agents {
		p.Step(0, testAgent(i))
	}
	return p
}

func testAgent(i int) AgentUpdate {
	ref := structs.AgentRef{ID: structs.AgentID("agent-" + strconv.Itoa(i)), Incarnation: 1}
	zone := []string{"catania", "palermo", "siracusa"}[i%3]
	return AgentUpdate{Agent: ref, Zone: zone, Server: string(ref.ID), Slots: 8, Connections: 64, Eligible: true}
}

func submission(key string, tasks int) *structs.Submission {
	sub := &structs.Submission{
		Job:         structs.JobID{Pool: testPool, Key: structs.HashKey("bakers", key)},
		Team:        "bakers",
		Priority:    structs.Routine,
		Ticketed:    true,
		TicketEpoch: 2,
		Repeatable:  true,
		Deadline:    time.Minute,
		Payloads:    make([][]byte, tasks),
	}
	for i := range sub.Payloads {
		sub.Payloads[i] = []byte(key + strconv.Itoa(i))
	}
	sub.Digest = sub.BodyDigest()
	return sub
}

func startsByAgent(actions []Action) map[structs.AgentRef][]structs.TaskStart {
	found := make(map[structs.AgentRef][]structs.TaskStart)
	for _, action := range actions {
		if s, ok := action.(SendStart); ok {
			found[s.Agent] = append(found[s.Agent], s.Start.Tasks...)
		}
	}
	return found
}

func onlyAction[T any](t *testing.T, actions []Action) T {
	t.Helper()
	var found []T
	for _, action := range actions {
		if a, ok := action.(T); ok {
			found = append(found, a)
		}
	}
	require.Len(t, found, 1)
	return found[0]
}

func newEvent(task structs.TaskRef, kind structs.TaskEventKind, result string) structs.TaskEvent {
	return structs.TaskEvent{Task: task, Kind: kind, Result: []byte(result), RunTime: 100 * time.Millisecond}
}

// eventOfStart returns an event with the task and the attempt of a start.
func eventOfStart(start structs.TaskStart, kind structs.TaskEventKind) structs.TaskEvent {
	e := newEvent(start.Task, kind, "")
	e.Attempt = start.Attempt
	return e
}

// TestAnswerHasResultsInTaskOrder guards against answers with the results in order of arrival.
func TestAnswerHasResultsInTaskOrder(t *testing.T) {
	p := newTestPool(3)
	actions := p.Step(0, Submit{Submission: submission("a", 20), Waiter: 7})
	var ended []Action
	for ref, tasks := range startsByAgent(actions) {
		for _, task := range tasks {
			done := newEvent(task.Task, structs.TaskFinished, string(task.Payload))
			ended = append(ended, p.Step(time.Second, Events{Agent: ref, Events: []structs.TaskEvent{done}})...)
		}
	}
	answer := onlyAction[JobEnded](t, ended)
	require.Equal(t, []WaiterID{7}, answer.Waiters)
	require.Equal(t, structs.OutcomeComplete, answer.Answer.Outcome)
	require.Equal(t, submission("a", 20).Payloads, answer.Answer.Results)
}

func problemCodes(actions []Action) []structs.Code {
	var codes []structs.Code
	for _, action := range actions {
		switch a := action.(type) {
		case Refused:
			codes = append(codes, a.Problem.Code)
		case JobEnded:
			if a.Answer.Problem != nil {
				codes = append(codes, a.Answer.Problem.Code)
			}
		}
	}
	return codes
}

func eventsOf(agent AgentUpdate, e structs.TaskEvent) Events {
	return Events{Agent: agent.Agent, Events: []structs.TaskEvent{e}}
}

// TestDuplicateRefusalIsIgnored guards against a third start because the refusal of the first start arrives twice. It
// also guards against a task that never returns to an agent that refused it, although there is no other agent.
func TestDuplicateRefusalIsIgnored(t *testing.T) {
	p := newTestPool(1)
	first := onlyAction[SendStart](t, p.Step(0, Submit{Submission: submission("a", 1)})).Start.Tasks[0]
	refusal := eventsOf(testAgent(0), eventOfStart(first, structs.TaskRefused))
	require.Empty(t, p.Step(0, refusal))
	second := onlyAction[SendStart](t, p.Step(50*time.Millisecond, Tick{})).Start.Tasks[0]
	require.Equal(t, first.Task, second.Task)
	require.NotEqual(t, first.Attempt, second.Attempt)
	require.Empty(t, p.Step(time.Second, refusal))
	require.Empty(t, startsByAgent(p.Step(3*time.Second, testAgent(1))), "a refusal of the first start was applied to the second one")
	require.EqualValues(t, 1, p.Stats().LateEvents)
	require.Len(t, startsByAgent(p.Step(3*time.Second, eventsOf(testAgent(0), eventOfStart(second, structs.TaskRefused)))), 1)
}

// TestRefusedStartIsSentAgain guards against a task that never runs because the link of the only agent was down when
// the task was first sent.
func TestRefusedStartIsSentAgain(t *testing.T) {
	p := newTestPool(1)
	start := onlyAction[SendStart](t, p.Step(0, Submit{Submission: submission("a", 1)})).Start.Tasks[0]
	require.Empty(t, p.Step(0, eventsOf(testAgent(0), eventOfStart(start, structs.TaskRefused))))
	require.Equal(t, start.Task, onlyAction[SendStart](t, p.Step(time.Second, Tick{})).Start.Tasks[0].Task)
}

// TestCancelSendsOneMessagePerAgent guards against tasks that continue to run after the cancel and against slots that
// stay occupied until the agents answer.
func TestCancelSendsOneMessagePerAgent(t *testing.T) {
	p := newTestPool(2)
	p.Step(0, Submit{Submission: submission("a", 30), Waiter: 1})
	p.Step(0, Submit{Submission: submission("b", 16), Waiter: 2})
	cancels := map[structs.AgentRef]int{}
	actions := p.Step(0, CancelJob{Job: submission("a", 30).Job, Waiter: 3})
	for _, action := range actions {
		if c, ok := action.(SendCancel); ok {
			cancels[c.Agent]++
		}
	}
	require.Equal(t, map[structs.AgentRef]int{testAgent(0).Agent: 1, testAgent(1).Agent: 1}, cancels)
	require.Equal(t, []WaiterID{1, 3}, onlyAction[JobEnded](t, actions).Waiters)
	require.Len(t, startsByAgent(actions), 2)
	require.Equal(t, 16, p.Stats().Running)
}

// TestSuspendedOwnerNeverClaimsNotRun guards against the outcome not_run for a job that was admitted before the owner
// was suspended. A new owner may have run it in the meantime.
func TestSuspendedOwnerNeverClaimsNotRun(t *testing.T) {
	p := newTestPool(0)
	p.Step(0, Submit{Submission: submission("a", 1), Waiter: 1})
	p.Step(0, SetMode{Mode: Suspended})
	require.Equal(t, structs.OutcomeNotRun, onlyAction[Refused](t, p.Step(0, Submit{Submission: submission("b", 1)})).Problem.Outcome)
	answer := onlyAction[JobEnded](t, p.Step(time.Minute, Tick{})).Answer
	require.Equal(t, structs.OutcomeMayHaveRun, answer.Outcome)
}

// TestReturningAgentAbortsLostTasks guards against slots of a returned agent that stay occupied by tasks of jobs that
// failed when the agent was lost.
func TestReturningAgentAbortsLostTasks(t *testing.T) {
	p := newTestPool(1)
	p.Step(0, Submit{Submission: submission("a", 3), Waiter: 1})
	lost := onlyAction[JobEnded](t, p.Step(0, AgentLost{Agent: testAgent(0).Agent})).Answer
	require.Equal(t, structs.CodeServerLost, lost.Problem.Code)
	require.Equal(t, structs.OutcomeMayHaveRun, lost.Outcome)
	require.Equal(t, submission("a", 3).Job, onlyAction[SendCancel](t, p.Step(time.Second, testAgent(0))).Cancel.Job)
	require.Empty(t, p.Step(time.Second, testAgent(0)))
}

// TestZoneOutMovesQueuedTasks guards against prefetched tasks that stay queued in a zone that was taken out.
func TestZoneOutMovesQueuedTasks(t *testing.T) {
	p := newTestPool(2)
	sub := submission("a", 18)
	sub.DeclaredTime = 50 * time.Millisecond
	sent := startsByAgent(p.Step(0, Submit{Submission: sub}))
	require.Len(t, sent[testAgent(0).Agent], 9)
	out := map[string]structs.ZoneConfig{"catania": {State: structs.ZoneOut}}
	actions := p.Step(0, Configure{Config: &structs.Configuration{Revision: 1, Zones: out}})
	require.Len(t, onlyAction[SendWithdraw](t, actions).Withdraw.Tasks, 9)
	require.Equal(t, "zone out", p.Agents()[0].State)
	queued := sent[testAgent(0).Agent][8]
	p.Step(0, eventsOf(testAgent(0), eventOfStart(queued, structs.TaskWithdrawn)))
	ended := sent[testAgent(1).Agent][0].Task
	moved := onlyAction[SendStart](t, p.Step(time.Second, eventsOf(testAgent(1), newEvent(ended, structs.TaskFinished, ""))))
	require.Equal(t, queued.Task, moved.Start.Tasks[0].Task)
	require.Equal(t, testAgent(1).Agent, moved.Agent)
	p.Step(time.Second, Configure{Config: &structs.Configuration{Revision: 2}})
	p.Step(time.Second, Submit{Submission: submission("b", 100)})
	require.Equal(t, 8, p.Agents()[0].Running)
}

// TestRetainedResultsAreBounded guards against unbounded memory for results, and against a job that no longer counts as
// completed after its results were dropped.
func TestRetainedResultsAreBounded(t *testing.T) {
	p := newTestPool(1)
	big := string(make([]byte, MaxRetainedResultBytes/2+1))
	for i := range 2 {
		sub := submission(strconv.Itoa(i), 1)
		p.Step(0, Submit{Submission: sub, Waiter: 1})
		done := eventsOf(testAgent(0), newEvent(structs.TaskRef{Job: sub.Job}, structs.TaskFinished, big))
		onlyAction[JobEnded](t, p.Step(0, done))
	}
	require.LessOrEqual(t, p.ended.bytes, MaxRetainedResultBytes)
	problem := onlyAction[Refused](t, p.Step(0, Submit{Submission: submission("0", 1)})).Problem
	require.Equal(t, structs.CodeResultGone, problem.Code)
	require.Equal(t, structs.OutcomeComplete, problem.Outcome)
	onlyAction[JobEnded](t, p.Step(0, Wait{Job: submission("1", 1).Job}))
	p.Step(DefaultRetention, Tick{})
	require.Zero(t, p.ended.bytes)
	// The agents may still have start records of the key, so it must not run as a new job yet.
	require.Equal(t, []structs.Code{structs.CodeResultGone}, problemCodes(p.Step(DefaultRetention, Wait{Job: submission("1", 1).Job})))
	p.Step(p.keyRetention(), Tick{})
	require.Empty(t, p.jobs)
}

// TestTicketsExpire guards against a second run of a job whose ticket is older than the retention of jobs.
func TestTicketsExpire(t *testing.T) {
	p := newTestPool(1)
	tickets, problem := p.Tickets(2)
	require.Nil(t, problem)
	require.NotEqual(t, tickets[0], tickets[1])
	ticket, ok := structs.ParseTicket(tickets[0])
	require.True(t, ok)
	sub := submission("a", 1)
	sub.TicketEpoch, sub.TicketUnique = ticket.Epoch, ticket.Unique
	require.Equal(t, []structs.Code{structs.CodeTicketExpired}, problemCodes(p.Step(DefaultRetention, Submit{Submission: sub})))
	for epoch, want := range map[structs.Epoch]structs.Code{0: structs.CodeTicketExpired, 3: structs.CodeOwnerLost} {
		sub.TicketEpoch = epoch
		require.Equal(t, []structs.Code{want}, problemCodes(p.Step(DefaultRetention, Submit{Submission: sub})))
	}
	sub.TicketEpoch, sub.TicketUnique = 2, "later"
	require.Len(t, startsByAgent(p.Step(DefaultRetention, Submit{Submission: sub})), 1)
}

// TestAdmissionRefusals guards against the admission of work beyond quota and capacity, and against urgent work that is
// refused because of routine work.
func TestAdmissionRefusals(t *testing.T) {
	p := newTestPool(1)
	config := &structs.Configuration{Revision: 1, Teams: map[string]structs.TeamConfig{"bakers": {MaxQueued: 5000}}}
	p.Step(0, Configure{Config: config})
	p.Step(0, Submit{Submission: submission("first", 4000)})
	require.Equal(t, []structs.Code{structs.CodeQuotaExceeded}, problemCodes(p.Step(0, Submit{Submission: submission("b", 2000)})))
	other := submission("c", 10)
	other.Team, other.Deadline = "roofers", 500*time.Millisecond
	require.Equal(t, []structs.Code{structs.CodeOverloaded}, problemCodes(p.Step(0, Submit{Submission: other})))
	// This needs a new key, since a refused key is refused again for a short time.
	urgent := submission("d", 10)
	urgent.Team, urgent.Deadline, urgent.Priority = other.Team, other.Deadline, structs.Urgent
	require.Empty(t, problemCodes(p.Step(0, Submit{Submission: urgent})))
}

// TestJobsEndWithoutServers guards against jobs that wait forever when there is no server, and against the outcome
// not_run for a job with a started task.
func TestJobsEndWithoutServers(t *testing.T) {
	p := newTestPool(1)
	p.Step(0, Submit{Submission: submission("started", 20), Waiter: 1})
	leaving := testAgent(0)
	leaving.Leaving = true
	p.Step(time.Second, leaving)
	p.Step(time.Second, Submit{Submission: submission("waiting", 1), Waiter: 2})
	require.Empty(t, problemCodes(p.Step(NoServerTimeout, Tick{})))
	outcomes := map[WaiterID]structs.Outcome{}
	for _, action := range p.Step(NoServerTimeout+time.Second, Tick{}) {
		if f, ok := action.(JobEnded); ok {
			outcomes[f.Waiters[0]] = f.Answer.Outcome
		}
	}
	require.Equal(t, map[WaiterID]structs.Outcome{1: structs.OutcomeMayHaveRun, 2: structs.OutcomeNotRun}, outcomes)
}

// TestNonRepeatableKeyIsKeptLonger guards against a second run of a job that is not repeatable because its key was
// dropped as early as the keys of repeatable jobs.
func TestNonRepeatableKeyIsKeptLonger(t *testing.T) {
	p := newTestPool(1)
	for _, repeatable := range []bool{true, false} {
		sub := submission(strconv.FormatBool(repeatable), 1)
		sub.Ticketed, sub.Repeatable = false, repeatable
		p.Step(0, Submit{Submission: sub})
		p.Step(0, JournalWritten{Keys: []structs.KeyHash{sub.Job.Key}})
		p.Step(0, eventsOf(testAgent(0), newEvent(structs.TaskRef{Job: sub.Job}, structs.TaskFinished, "r")))
	}
	p.Step(DefaultNonRepeatableRetention-time.Second, Tick{})
	_, ok := p.Status(submission("true", 1).Job, DefaultNonRepeatableRetention-time.Second)
	require.False(t, ok)
	status, _ := p.Status(submission("false", 1).Job, DefaultNonRepeatableRetention-time.Second)
	require.Equal(t, structs.OutcomeComplete, status.Outcome)
	p.Step(DefaultNonRepeatableRetention, Tick{})
	require.Empty(t, p.jobs)
}

// newPoolAfterTakeover returns an attached pool of epoch 2 with one agent, after a takeover with the given input.
func newPoolAfterTakeover(in Adopt) *Pool {
	p := New(0, Options{Pool: testPool, Epoch: 2})
	p.Step(0, in)
	p.Step(0, SetMode{Mode: Attached})
	p.Step(0, testAgent(0))
	return p
}

// TestOldNonRepeatableKeyMayHaveRun guards against a second run of a job that is not repeatable and whose start records
// the agents dropped long before the takeover. A missing record proves that no task has started only for a recent key.
func TestOldNonRepeatableKeyMayHaveRun(t *testing.T) {
	sub := submission("a", 1)
	sub.Ticketed, sub.Repeatable = false, false
	entry := JournalEntry{Key: sub.Job.Key, Digest: sub.Digest, Tasks: 1}
	for _, recent := range [][]structs.KeyHash{nil, {sub.Job.Key}} {
		p := newPoolAfterTakeover(Adopt{Complete: true, Journal: []JournalEntry{entry}, RecentNonRepeatable: recent})
		actions := p.Step(0, Submit{Submission: sub, Waiter: 1})
		require.Len(t, startsByAgent(actions), len(recent))
		if recent == nil {
			require.Equal(t, structs.OutcomeMayHaveRun, onlyAction[JobEnded](t, actions).Answer.Outcome)
		}
	}
}

// TestUnknownKeysAreRefusedIfKeysMayBeMissing guards against a second run of a job that a detached owner admitted
// without a journal entry, when not all agents have answered the fence.
func TestUnknownKeysAreRefusedIfKeysMayBeMissing(t *testing.T) {
	sub := submission("a", 1)
	sub.Ticketed = false
	p := newPoolAfterTakeover(Adopt{KeysMayBeMissing: true})
	problem := onlyAction[Refused](t, p.Step(p.keyRetention()-time.Second, Submit{Submission: sub})).Problem
	require.Equal(t, structs.CodeInDoubt, problem.Code)
	require.Equal(t, structs.OutcomeMayHaveRun, problem.Outcome)
	p.Step(p.keyRetention(), Submit{Submission: sub})
	require.Len(t, startsByAgent(p.Step(p.keyRetention(), JournalWritten{Keys: []structs.KeyHash{sub.Job.Key}})), 1)
}
