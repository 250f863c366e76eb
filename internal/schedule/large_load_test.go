package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

// newLargeWorkload returns a workload for a site with so many gateways that each of them sees little of a server:
// 12 gateways and 30 servers for 6 tasks each. One server in four has half of the speed of the others.
func newLargeWorkload(t *testing.T) *workload {
	sim := newSimulation(t, 12, 30, structs.Resources{CPU: 64_000, MemoryMB: 10_000})
	for i, a := range sim.agents {
		if i%4 == 0 {
			a.slowness = 2
		}
	}
	w := newWorkloadFor(sim)
	w.need = structs.Resources{CPU: 10_000, MemoryMB: 10}
	return w
}

// mixed submits the users' mix of jobs at a rate that keeps about half of the site busy, times load.
func (w *workload) mixed(d time.Duration, load float64) {
	for end := w.sim.now + d; w.sim.now < end; w.sim.advance(tick) {
		for _, class := range []struct {
			priority, width int
			work            time.Duration
			perSecond       float64
		}{
			{0, 8, 60 * time.Millisecond, 29}, {1, 2, 200 * time.Millisecond, 85}, {2, 4, 900 * time.Millisecond, 5.3},
		} {
			if w.random.Float64() < load*class.perSecond/1000 {
				w.submit(class.priority, class.width, class.work)
			}
		}
	}
}

// requireInTime requires that of the jobs submitted in a time window a share of the short ones, and 0.95 of the others, were
// in time.
func (w *workload) requireInTime(t *testing.T, from, to time.Duration, share float64) {
	t.Helper()
	short, middle, long := w.inTime(0, from, to), w.inTime(1, from, to), w.inTime(2, from, to)
	t.Logf("in time: short %.3f, middle %.3f, long %.3f", short, middle, long)
	require.GreaterOrEqual(t, short, share)
	require.GreaterOrEqual(t, middle, 0.95)
	require.GreaterOrEqual(t, long, 0.95)
}

// TestSickServersAreLearnedOnce guards against a site on which every gateway learns by its own tasks that a server
// hangs, fails its runs or has turned slow: with many gateways the trouble is over before they know. The load is that of
// the users' large site in its worst seconds: a tenth of the servers hangs and a fifth is 8 times slower.
func TestSickServersAreLearnedOnce(t *testing.T) {
	for name, sicken := range map[string]func(i int, a *agent){
		"hang": func(i int, a *agent) { a.stalls = i%10 == 1 },
		"fail": func(i int, a *agent) { a.failsRuns = i%10 == 1 },
		"slow": func(i int, a *agent) {
			if i%5 == 2 {
				a.slowness *= 8
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLargeWorkload(t)
			w.mixed(2*time.Second, 1)
			for i, a := range w.sim.agents {
				sicken(i, a)
			}
			// Runs that were under way may be late whatever is decided.
			w.mixed(500*time.Millisecond, 1)
			from := w.sim.now
			w.mixed(6*time.Second, 1)
			to := w.sim.now
			w.sim.advance(4 * time.Second)
			w.requireInTime(t, from, to, 0.9)
		})
	}
}

// TestUnansweredStartsDelayNobody guards against short jobs that are late because one of their starts was not answered:
// of the 8 tasks of a job, one in two and a half meets that at the users' worst share of 6 in 100 calls.
func TestUnansweredStartsDelayNobody(t *testing.T) {
	w := newLargeWorkload(t)
	w.mixed(2*time.Second, 1)
	w.sim.callDelay = func() (time.Duration, bool) {
		if w.random.Float64() < 0.06 {
			return time.Duration(2000+w.random.IntN(4000)) * time.Millisecond, true
		}
		return tick, false
	}
	from := w.sim.now
	w.mixed(4*time.Second, 1)
	to := w.sim.now
	w.sim.advance(4 * time.Second)
	w.requireInTime(t, from, to, 0.9)
}

// TestLongTasksGetTheFastServers guards against long tasks on servers of half the speed, where they are late, while short
// ones, whose objective leaves them time, take the fast servers. Four fifths of the site are busy.
func TestLongTasksGetTheFastServers(t *testing.T) {
	w := newLargeWorkload(t)
	w.mixed(2*time.Second, 1.6)
	from := w.sim.now
	w.mixed(8*time.Second, 1.6)
	to := w.sim.now
	w.sim.advance(4 * time.Second)
	w.requireInTime(t, from, to, 0.95)
}
