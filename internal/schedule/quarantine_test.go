package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/schedule"
	"rosedrift.example/rosedrift/internal/structs"
)

// site is a scheduler with linked servers that all accept tasks.
type site struct {
	t       *testing.T
	s       *schedule.Scheduler
	now     time.Duration
	actions []schedule.Action
	crashes int
}

func newSite(t *testing.T, servers int, label func(i int) string) *site {
	f := &site{t: t, now: time.Second}
	f.s = schedule.New(f.now, schedule.Options{Self: structs.GatewayRef{ID: "g", Incarnation: 1}, Zone: "z", RunLease: time.Second})
	for i := range servers {
		id := structs.AgentID(fmt.Sprintf("agent-%d", i))
		f.s.Linked(f.now, id)
		report := &structs.ServerReport{Server: "s", Service: "service", Open: true, Capacity: structs.Resources{CPU: 4000}}
		if label != nil {
			report.Labels = []string{label(i)}
		}
		f.s.HandleServerReport(f.now, id, report)
		f.s.HandleResourceReport(f.now, id, &structs.ResourceReport{Free: structs.Resources{CPU: 4000}})
		f.s.HandleFeatures(f.now, id, &structs.Features{PlaceAlone: true})
	}
	f.flush()
	return f
}

func (f *site) flush() []schedule.Action {
	f.actions = f.s.Flush(f.now)
	return f.actions
}

// advance lets time pass in steps below the threshold of a pause.
func (f *site) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += min(100*time.Millisecond, end-f.now)
		f.flush()
	}
}

// submit submits a job of one task, and returns the agents that get it.
func (f *site) submit(id string, priority int, label string) []structs.AgentID {
	job := testJob(id, 1, structs.Resources{CPU: 1000})
	job.Steps[0].Label = label
	f.s.Submit(f.now, schedule.Submission{Waiter: 1, Job: job, Route: testRoute(priority), Timeout: 3 * time.Second})
	return placedAt(f.flush())
}

// crash reports that a server has crashed with a run of a job, and that the run is lost.
func (f *site) crash(job string) {
	f.crashes++
	f.s.HandleCrashReport(f.now, "agent-0", &structs.CrashReport{
		Server: fmt.Sprintf("s-%d", f.crashes), StartTime: 1, Runs: []structs.CrashedRun{{Job: job, Run: 1, Age: 10 * time.Millisecond}},
	})
	f.flush()
}

// quarantine puts the queue of a priority into quarantine by a job that crashes two servers.
func (f *site) quarantine(priority int) schedule.QuarantineState {
	job := fmt.Sprintf("deadly-%d", f.crashes)
	f.submit(job, priority, "")
	f.crash(job)
	f.now += 30 * time.Millisecond
	f.crash(job)
	f.advance(50 * time.Millisecond)
	for _, state := range f.s.Quarantines() {
		if state.Route == testRoute(priority).Name {
			return state
		}
	}
	require.Fail(f.t, "the queue is not in quarantine")
	return schedule.QuarantineState{}
}

// answerOf returns the answer of a job in the last actions, or nil.
func (f *site) answerOf(job string) *schedule.Answer {
	for _, action := range f.actions {
		if answer, ok := action.(schedule.Answer); ok && answer.Job == job {
			return &answer
		}
	}
	return nil
}

// TestQuarantineSeparatesQueues guards against a queue whose tasks crash servers that other queues need.
func TestQuarantineSeparatesQueues(t *testing.T) {
	f := newSite(t, 8, nil)
	state := f.quarantine(0)
	require.NotEmpty(t, state.Servers)
	require.LessOrEqual(t, len(state.Servers), 4, "the other queues keep half of the servers")
	for i := range 16 {
		for priority := range 2 {
			agents := f.submit(fmt.Sprintf("job-%d-%d", priority, i), priority, "")
			require.LessOrEqual(t, len(agents), 1)
			for _, agent := range agents {
				require.Equal(t, priority == 0, containsAgent(state.Servers, agent), "queue %d at %s of %v", priority, agent, state.Servers)
			}
		}
	}
}

func containsAgent(agents []structs.AgentID, agent structs.AgentID) bool {
	for _, other := range agents {
		if other == agent {
			return true
		}
	}
	return false
}

// TestTwoQueuesInQuarantineLeaveHalf guards against several bad queues that together take more than half of a service.
func TestTwoQueuesInQuarantineLeaveHalf(t *testing.T) {
	f := newSite(t, 6, nil)
	for priority := range 5 {
		f.quarantine(priority)
	}
	require.LessOrEqual(t, len(f.s.Quarantines()[0].Servers), 3)
	require.NotEmpty(t, f.submit("healthy", 7, ""))
}

// TestQuarantineOfSmallServices guards against a service of one or two servers that a bad queue takes away from the others.
func TestQuarantineOfSmallServices(t *testing.T) {
	for servers, apart := range map[int]int{1: 0, 2: 1, 3: 1} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			f := newSite(t, servers, nil)
			state := f.quarantine(0)
			require.Len(t, state.Servers, apart)
			require.NotEmpty(t, f.submit("healthy", 1, ""))
			if apart > 0 {
				return
			}
			require.Empty(t, f.submit("held", 0, ""))
			answer := f.answerOf("held")
			require.NotNil(t, answer, "a job that cannot be served must be refused at once")
			require.Equal(t, schedule.OutcomeRefused, answer.Outcome)
			require.Equal(t, schedule.ReasonQuarantine, answer.Reason)
			require.InDelta(t, state.EndsIn.Seconds(), answer.RetryAfter.Seconds(), 0.1)
			f.advance(answer.RetryAfter + 100*time.Millisecond)
			require.NotEmpty(t, f.submit("later", 0, ""), "the queue must be served after the announced time")
		})
	}
}

// TestQuarantineEndsAndProbation guards against a queue that stays apart forever, and against one that takes servers down anew
// after each quarantine.
func TestQuarantineEndsAndProbation(t *testing.T) {
	f := newSite(t, 8, nil)
	first := f.quarantine(0)
	f.advance(first.EndsIn + 100*time.Millisecond)
	require.Empty(t, f.s.Quarantines())
	f.submit("again", 0, "")
	f.crash("again")
	second := f.s.Quarantines()
	require.Len(t, second, 1, "one crash suffices on probation")
	require.Greater(t, second[0].EndsIn, first.EndsIn)
}

// TestLabelledTasksKeepAServer guards against tasks that no server on their side of a quarantine can run.
func TestLabelledTasksKeepAServer(t *testing.T) {
	f := newSite(t, 8, func(i int) string { return fmt.Sprintf("label-%d", i) })
	f.quarantine(0)
	for i := range 8 {
		label := fmt.Sprintf("label-%d", i)
		for priority := range 2 {
			require.Len(t, f.submit(fmt.Sprintf("job-%d-%d", priority, i), priority, label), 1, "queue %d, %s", priority, label)
		}
	}
}

// TestQuarantineReachesOtherGateways guards against a queue that each of many gateways sets apart only after two crashes of its
// own, and against an outdated state that replaces a newer one.
func TestQuarantineReachesOtherGateways(t *testing.T) {
	a, b := newSite(t, 8, nil), newSite(t, 8, nil)
	a.submit("deadly", 0, "")
	a.crash("deadly")
	a.now += 30 * time.Millisecond
	a.crash("deadly")
	a.now += 10 * time.Millisecond
	var sent *structs.Quarantine
	for _, action := range a.flush() {
		if send, ok := action.(schedule.Send); ok && send.Type == structs.TypeQuarantine {
			sent = send.Message.(*structs.Quarantine)
		}
	}
	require.NotNil(t, sent)
	b.s.HandleQuarantine(b.now, sent)
	require.Equal(t, a.s.Quarantines()[0].Servers, b.s.Quarantines()[0].Servers)
	require.True(t, b.s.LiftQuarantine(b.now, sent.Route))
	b.s.HandleQuarantine(b.now, sent)
	require.Empty(t, b.s.Quarantines(), "the lift is newer")
	require.False(t, b.s.LiftQuarantine(b.now, sent.Route))
}

// TestResubmittedJobOfACrashIsNotCalledNotRun guards against an untrue refusal by a gateway that has not placed the job itself.
func TestResubmittedJobOfACrashIsNotCalledNotRun(t *testing.T) {
	f := newSite(t, 1, nil)
	f.crash("j")
	f.s.HandleServerReport(f.now, "agent-0", &structs.ServerReport{Server: "s", Service: "service", Capacity: structs.Resources{CPU: 4000}})
	f.submit("j", 0, "")
	f.advance(4 * time.Second)
	f.s.Submit(f.now, schedule.Submission{Waiter: 2, Job: testJob("j", 1, structs.Resources{CPU: 1000}), Route: testRoute(0), Timeout: time.Millisecond})
	f.now += 2 * time.Millisecond
	f.flush()
	answer := f.answerOf("j")
	require.NotNil(t, answer)
	require.Equal(t, schedule.OutcomeLost, answer.Outcome)
}

// TestJobsAreNotBlamedForServersSetApart guards against a healthy queue in quarantine because its tasks were still on servers
// that are now set apart for another one.
func TestJobsAreNotBlamedForServersSetApart(t *testing.T) {
	f := newSite(t, 8, nil)
	state := f.quarantine(0)
	f.submit("healthy", 1, "")
	for i := range 2 {
		f.s.HandleCrashReport(f.now, state.Servers[0], &structs.CrashReport{
			Server: "apart", StartTime: int64(i), Runs: []structs.CrashedRun{{Job: "healthy", Run: uint32(i) + 1, Age: time.Second}},
		})
		f.advance(50 * time.Millisecond)
		require.Nil(t, f.answerOf("healthy"))
	}
	require.Len(t, f.s.Quarantines(), 1)
}

// TestOldNeighboursRunAgainAtOnce guards against a healthy job of a queue in quarantine that waits for a server of its own because
// it ran beside a deadly task: it had run for much longer than the tasks that crash servers.
func TestOldNeighboursRunAgainAtOnce(t *testing.T) {
	f := newSite(t, 8, nil)
	f.quarantine(0)
	lost := func(job string, age time.Duration) {
		agents := f.submit(job, 0, "")
		require.Len(t, agents, 1)
		f.crashes++
		f.s.HandleCrashReport(f.now, agents[0], &structs.CrashReport{Server: "s", StartTime: int64(f.crashes), Runs: []structs.CrashedRun{
			{Job: job, Run: 1, Age: age}, {Job: "deadly-next", Run: 1, Age: 10 * time.Millisecond},
		}})
		f.s.HandlePlacementEvents(f.now, agents[0], &structs.PlacementEvents{Events: []structs.PlacementEvent{
			{ID: placementOf(t, f.actions, job), Kind: structs.PlacementLost, Run: 1},
		}})

	}
	lost("old", 200*time.Millisecond)
	require.Len(t, placedAt(f.flush()), 1, "placed like a task that was in no crash")
	lost("young", 12*time.Millisecond)
	require.Empty(t, placedAt(f.flush()), "placed alone")
}

// placementOf returns the id of a job's placement.
func placementOf(t *testing.T, actions []schedule.Action, job string) uint64 {
	for _, action := range actions {
		if send, ok := action.(schedule.Send); ok && send.Type == structs.TypePlace {
			if place := send.Message.(*structs.Place); place.Job == job {
				return place.Tasks[0].ID
			}
		}
	}
	require.Fail(t, "not placed", job)
	return 0
}

// TestOneCrashCountsOnce guards against a job that is given up after one crash because the server had two runs of its task.
func TestOneCrashCountsOnce(t *testing.T) {
	f := newSite(t, 4, nil)
	f.quarantine(0)
	f.submit("j", 0, "")
	f.s.HandleCrashReport(f.now, "agent-0", &structs.CrashReport{Server: "s", StartTime: 1, Runs: []structs.CrashedRun{
		{Job: "j", Run: 1, Age: time.Second}, {Job: "j", Run: 2, Age: 20 * time.Millisecond},
	}})
	f.now += 10 * time.Millisecond
	f.flush()
	require.Nil(t, f.answerOf("j"))
}

// TestExplainedCrashNeedsNoJudgment guards against a gateway that wakes each millisecond, and tasks that are held back, for a crash
// that another job already explains.
func TestExplainedCrashNeedsNoJudgment(t *testing.T) {
	f := newSite(t, 4, nil)
	f.submit("j", 0, "")
	f.crash("j")
	f.now += 30 * time.Millisecond
	f.crash("j")
	f.now += 4 * time.Millisecond
	f.crash("j")
	f.advance(time.Second)
	require.Greater(t, f.s.NextWake(), f.now+2*time.Millisecond)
}
