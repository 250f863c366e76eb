package schedule_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/schedule"
	"rosedrift.example/rosedrift/internal/structs"
)

// workload submits jobs at random times to 4 servers with capacity for 8 tasks each, so for 32 tasks at once.
type workload struct {
	w             *simulation
	random        *rand.Rand
	submittedAt   map[string]time.Duration
	work          map[string]time.Duration
	classes       map[string]int
	lastJobNumber int
	// meanLongWork is the mean run time of the tasks of class 1.
	meanLongWork time.Duration
}

func newWorkload(t *testing.T) *workload {
	l := &workload{
		w: newSimulation(t, 3, 4, structs.Resources{CPU: 8000, MemoryMB: 1000}), random: rand.New(rand.NewPCG(1, 2)),
		submittedAt: map[string]time.Duration{}, work: map[string]time.Duration{}, classes: map[string]int{}, meanLongWork: 200 * time.Millisecond,
	}
	l.w.work = func(task string) time.Duration { return l.work[jobOf(task)] }
	return l
}

// submit submits one job. The run time of its tasks varies around mean by a factor of exp(0.4), and the caller's
// estimate varies around the run time by the same factor.
func (l *workload) submit(priority, width int, mean time.Duration) {
	l.lastJobNumber++
	id := fmt.Sprintf("%016x", l.lastJobNumber)
	l.work[id] = time.Duration(float64(mean) * math.Exp(0.4*l.random.NormFloat64()))
	job := testJob(id, width, structs.Resources{CPU: 1000, MemoryMB: 10})
	job.Steps[0].Estimate = time.Duration(float64(l.work[id]) * math.Exp(0.4*l.random.NormFloat64()))
	l.submittedAt[id], l.classes[id] = l.w.now, priority
	l.w.call(l.w.gateways[l.lastJobNumber%3], job, testRoute(priority))
}

// run submits jobs for a time, at the given mean rates: short urgent ones of class 0 and long ones of class 1.
func (l *workload) run(d time.Duration, shortPerSecond, longPerSecond float64) {
	end := l.w.now + d
	for l.w.now < end {
		if l.random.Float64() < shortPerSecond/1000 {
			l.submit(0, 4, 60*time.Millisecond)
		}
		if l.random.Float64() < longPerSecond/1000 {
			l.submit(1, 2, l.meanLongWork)
		}
		l.w.advance(tick)
	}
}

// inTime returns the fraction of the jobs of a class, submitted in a time window, that were completed within their
// objective.
func (l *workload) inTime(class int, from, to time.Duration) float64 {
	good, all := 0, 0
	for id, began := range l.submittedAt {
		if l.classes[id] != class || began < from || began >= to {
			continue
		}
		all++
		objective := time.Duration(1.6*float64(l.work[id])) + 60*time.Millisecond
		answers := l.w.answers[id]
		if len(answers) == 1 && answers[0].Outcome == schedule.OutcomeCompleted && l.w.answeredAt[id]-began <= objective {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}

// shares returns, for the jobs of a class submitted in a time window, the fractions that were refused and that were
// in time. goodput is the work of all completed jobs of the window as a fraction of the capacity of 32 tasks at once.
func (l *workload) shares(class int, from, to time.Duration) (refused, inTime, goodput float64) {
	all, turnedAway := 0, 0
	var work time.Duration
	for id, began := range l.submittedAt {
		if began < from || began >= to || len(l.w.answers[id]) == 0 {
			continue
		}
		answer := l.w.answers[id][0]
		if answer.Outcome == schedule.OutcomeCompleted {
			work += l.work[id] * time.Duration(answer.Summary.Tasks)
		}
		if l.classes[id] != class {
			continue
		}
		all++
		if answer.Outcome == schedule.OutcomeRefused {
			turnedAway++
		}
	}
	goodput = work.Seconds() / (32 * (to - from).Seconds())
	return float64(turnedAway) / float64(max(all, 1)), l.inTime(class, from, to), goodput
}

// TestOverloadPreservesGoodput guards against an overload in which the servers work on late jobs, urgent jobs are
// refused like others, or lateness outlasts the overload. The load is 1.6 times the capacity; urgent jobs alone take
// half of the capacity.
func TestOverloadPreservesGoodput(t *testing.T) {
	l := newWorkload(t)
	l.run(time.Second, 40, 10)
	from := l.w.now
	// 66 x 4 x 0.065 s = 17 tasks at once are urgent, 80 x 2 x 0.215 s = 34 are not.
	l.run(3*time.Second, 66, 80)
	to := l.w.now
	l.run(2*time.Second, 40, 10)
	l.w.advance(2 * time.Second)
	urgentRefused, urgentInTime, goodput := l.shares(0, from, to)
	otherRefused, otherInTime, _ := l.shares(1, from, to)
	t.Logf("urgent: refused %.2f, in time %.2f; others: %.2f, %.2f; goodput %.2f", urgentRefused, urgentInTime,
		otherRefused, otherInTime, goodput)
	require.GreaterOrEqual(t, goodput, 0.9, "work of completed jobs as a fraction of the capacity")
	require.LessOrEqual(t, urgentRefused, otherRefused/4, "urgent jobs are refused last")
	require.Greater(t, urgentInTime, otherInTime, "urgent jobs go first")
	require.GreaterOrEqual(t, l.inTime(1, to+500*time.Millisecond, l.w.now), 0.9, "other jobs after the overload")
	for id, answers := range l.w.answers {
		for _, a := range answers {
			if a.Outcome == schedule.OutcomeRefused {
				require.GreaterOrEqual(t, a.RetryAfter, time.Second, id)
			}
		}
	}
}

// TestOverloadedChainsCompleteInTime guards against jobs of several steps that start so late that their last steps
// cannot be in time: the latest start must account for the whole chain. The load is 1.6 times the capacity. A job is
// late if it misses the objective computed at its arrival, since estimates are inaccurate by design. Three of four
// completed jobs must be in time.
func TestOverloadedChainsCompleteInTime(t *testing.T) {
	l := newWorkload(t)
	chains := func(d time.Duration, perSecond float64) {
		for end := l.w.now + d; l.w.now < end; l.w.advance(tick) {
			if l.random.Float64() < perSecond/1000 {
				l.submitChain(3, 4, 60*time.Millisecond)
			}
		}
	}
	chains(time.Second, 20)
	from := l.w.now
	chains(3*time.Second, 66) // 66 x 3 x 4 x 0.065 s = 51 tasks at once
	to := l.w.now
	l.w.advance(3 * time.Second)
	completed, late := 0, 0
	for id, began := range l.submittedAt {
		if began < from || began >= to || l.w.answers[id][0].Outcome != schedule.OutcomeCompleted {
			continue
		}
		completed++
		if l.w.answeredAt[id]-began > l.w.answers[id][0].Summary.Objective {
			late++
		}
	}
	_, _, goodput := l.shares(0, from, to)
	t.Logf("late %.2f of %d completed jobs, goodput %.2f", float64(late)/float64(completed), completed, goodput)
	require.LessOrEqual(t, float64(late)/float64(completed), 0.25)
	require.GreaterOrEqual(t, goodput, 0.9, "work of completed jobs as a fraction of the capacity")
}

// submitChain submits a job of several steps, one after the other. All its tasks have the same run time.
func (l *workload) submitChain(steps, width int, mean time.Duration) {
	l.lastJobNumber++
	id := fmt.Sprintf("%016x", l.lastJobNumber)
	l.work[id] = time.Duration(float64(mean) * math.Exp(0.4*l.random.NormFloat64()))
	job := testJob(id, width, structs.Resources{CPU: 1000, MemoryMB: 10})
	for i := 1; i < steps; i++ {
		job.Steps = append(job.Steps, job.Steps[0])
		job.Steps[i].After = []int{i - 1}
	}
	for i := range job.Steps {
		job.Steps[i].Estimate = time.Duration(float64(l.work[id]) * math.Exp(0.4*l.random.NormFloat64()))
	}
	l.submittedAt[id] = l.w.now
	l.w.call(l.w.gateways[l.lastJobNumber%3], job, testRoute(0))
}

// TestStartedUrgentJobsFinish guards against urgent jobs whose last tasks wait behind routine tasks at full servers,
// because resources that become free there always go to a task that waits at the agent.
func TestStartedUrgentJobsFinish(t *testing.T) {
	l := newWorkload(t)
	l.meanLongWork = 400 * time.Millisecond
	l.run(time.Second, 40, 10)
	from := l.w.now
	l.run(3*time.Second, 66, 40)
	to := l.w.now
	l.w.advance(3 * time.Second)
	tooLate := 0
	for id, began := range l.submittedAt {
		objective := time.Duration(1.6*float64(l.work[id])) + 60*time.Millisecond
		if l.classes[id] == 0 && began >= from && began < to && l.w.answeredAt[id]-began > 3*objective {
			tooLate++
		}
	}
	require.Zero(t, tooLate, "urgent jobs that took over three times their objective")
}

// TestJobsAreRefusedBeforeTheirObjective guards against jobs that are kept although they cannot be in time. A refusal
// must come before the objective has passed.
func TestJobsAreRefusedBeforeTheirObjective(t *testing.T) {
	l := newWorkload(t)
	l.run(2*time.Second, 120, 60)
	l.w.advance(2 * time.Second)
	refused := 0
	for id, answers := range l.w.answers {
		if answers[0].Outcome != schedule.OutcomeRefused {
			continue
		}
		refused++
		expected := time.Duration(1.6*float64(answers[0].Summary.ExpectedRunTime)) + 60*time.Millisecond
		require.LessOrEqual(t, l.w.answeredAt[id]-l.submittedAt[id], expected, id)
	}
	require.NotZero(t, refused)
}

// TestLongTasksAvoidSlowServers guards against long tasks on a server that is too slow for them while faster servers
// have free resources.
func TestLongTasksAvoidSlowServers(t *testing.T) {
	l := newWorkload(t)
	l.w.agents[0].speed = 2.5
	l.run(2*time.Second, 40, 8)
	from := l.w.now
	l.run(4*time.Second, 20, 8)
	l.w.advance(2 * time.Second)
	require.GreaterOrEqual(t, l.inTime(1, from, l.w.now), 0.95)
}

// TestFailingServerGetsFewTasks guards against a server whose runs fail at once attracting all tasks, because it
// always has free resources.
func TestFailingServerGetsFewTasks(t *testing.T) {
	l := newWorkload(t)
	l.w.agents[1].failsRuns = true
	l.run(time.Second, 40, 5)
	from := l.w.now
	l.run(3*time.Second, 40, 5)
	l.w.advance(2 * time.Second)
	require.GreaterOrEqual(t, l.inTime(0, from, l.w.now), 0.9)
}

// TestStalledTasksAreMoved guards against jobs that wait for tasks without progress.
func TestStalledTasksAreMoved(t *testing.T) {
	l := newWorkload(t)
	l.run(time.Second, 40, 5)
	l.w.agents[2].stalls = true
	from := l.w.now
	l.run(2*time.Second, 20, 5)
	l.w.advance(3 * time.Second)
	complete := 0
	all := 0
	for id, began := range l.submittedAt {
		if began < from {
			continue
		}
		all++
		if len(l.w.answers[id]) > 0 && l.w.answers[id][0].Outcome == schedule.OutcomeCompleted {
			complete++
		}
	}
	require.GreaterOrEqual(t, float64(complete)/float64(all), 0.95)
}

// TestAlwaysFailingJobFailsEarly guards against a job that always fails and keeps its caller waiting, and against its
// failures opening the breakers of healthy servers.
func TestAlwaysFailingJobFailsEarly(t *testing.T) {
	l := newWorkload(t)
	for _, a := range l.w.agents {
		a.failsRuns = true
	}
	l.submit(0, 2, 20*time.Millisecond)
	l.w.advance(time.Second)
	answers := l.w.answers[fmt.Sprintf("%016x", 1)]
	require.Len(t, answers, 1)
	require.Equal(t, schedule.OutcomeFailed, answers[0].Outcome)
	for _, a := range l.w.agents {
		a.failsRuns = false
	}
	from := l.w.now
	l.run(time.Second, 20, 0)
	l.w.advance(time.Second)
	require.GreaterOrEqual(t, l.inTime(0, from, l.w.now), 0.95)
}

// TestUnderestimatedJobsAreNotMoved guards against moving tasks whose job takes longer than estimated: the work is
// lost, and the task takes as long elsewhere.
func TestUnderestimatedJobsAreNotMoved(t *testing.T) {
	l := newWorkload(t)
	l.run(time.Second, 40, 5)
	before := l.w.stops
	l.lastJobNumber++
	id := fmt.Sprintf("%016x", l.lastJobNumber)
	l.work[id] = 300 * time.Millisecond
	job := testJob(id, 4, structs.Resources{CPU: 1000, MemoryMB: 10})
	job.Steps[0].Estimate = 60 * time.Millisecond
	l.w.advance(time.Second)
	l.w.call(l.w.gateways[0], job, testRoute(0))
	l.w.advance(time.Second)
	require.Len(t, l.w.answers[id], 1)
	require.Equal(t, before, l.w.stops)
}

// TestStepsRunInOrderOnTheRightServers guards against a task that starts before the steps it depends on, on a server
// without the required label, outside the rack of its data while a server there has free resources, or beyond the
// limit per server.
func TestStepsRunInOrderOnTheRightServers(t *testing.T) {
	l := newWorkload(t)
	for i, a := range l.w.agents {
		a.labels = []string{"kind-a", fmt.Sprintf("rack-%d", i/2)}
	}
	l.w.agents[3].labels = []string{"kind-b", "rack-1"}
	for _, a := range l.w.agents {
		a.run(a.report)
	}
	l.w.advance(50 * time.Millisecond)
	need := structs.Resources{CPU: 1000, MemoryMB: 10}
	job := &structs.JobSpec{ID: "j", Steps: []structs.StepSpec{
		{Count: 4, Need: need, Label: "kind-b"},
		{Count: 4, Need: need, After: []int{0}, Rack: "rack-0"},
		{Count: 3, Need: need, After: []int{1}, MaxPerServer: 1},
	}}
	l.work["j"] = 50 * time.Millisecond
	route := testRoute(0)
	route.TargetLatency = time.Second
	l.w.call(l.w.gateways[0], job, route)
	l.w.advance(time.Second)
	require.Len(t, l.w.answers["j"], 1)
	require.Equal(t, schedule.OutcomeCompleted, l.w.answers["j"][0].Outcome)
	count := map[structs.AgentID]int{}
	lastEnd := time.Duration(0)
	for step, spec := range job.Steps {
		firstStart, end := time.Hour, time.Duration(0)
		for i := range spec.Count {
			run := l.w.history[taskName("j", step, i)]
			firstStart, end = min(firstStart, run.began), max(end, run.ended)
			switch step {
			case 0:
				require.Equal(t, structs.AgentID("agent-3"), run.agent)
			case 1:
				require.Contains(t, []structs.AgentID{"agent-0", "agent-1"}, run.agent)
			case 2:
				count[run.agent]++
				require.Equal(t, 1, count[run.agent])
			}
		}
		require.GreaterOrEqual(t, firstStart, lastEnd, "step %d", step)
		lastEnd = end
	}
}
