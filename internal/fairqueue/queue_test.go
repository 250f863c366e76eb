package fairqueue

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosedrift.example/rosedrift/internal/structs"
	_ "rosedrift.example/rosedrift/internal/testseed"
)

const cost = 100 * time.Millisecond

// take takes the next task in the order that the dispatcher uses, and returns its job or "" if no task may start.
// Without urgentFits no server can take urgent tasks.
func take(q *Queue[string], urgentFits bool) string {
	order := []structs.Priority{structs.Urgent, structs.Routine}
	if q.RoutineDue() {
		order = []structs.Priority{structs.Routine, structs.Urgent}
	}
	for _, class := range order {
		if e := q.Peek(class); e != nil && (class == structs.Routine || urgentFits) {
			q.Take(e, cost)
			return e.Value
		}
	}
	return ""
}

// TestSharesFollowClassAndWeight guards against starvation of routine tasks by urgent ones and against shares that
// ignore the weights of the teams.
func TestSharesFollowClassAndWeight(t *testing.T) {
	q := New[string](false)
	q.SetQuota("large", Quota{Weight: 3})
	add := func(class structs.Priority, team string, seq uint64) {
		q.Add(q.NewEntry(class, team, seq, cost, team+class.String()), 10_000)
	}
	add(structs.Urgent, "large", 1)
	add(structs.Urgent, "small", 2)
	add(structs.Routine, "small", 3)
	count := map[string]int{}
	for range 4000 {
		count[take(q, true)]++
	}
	require.InDelta(t, 200, count["smallroutine"], 5)
	require.InDelta(t, 2850, count["largeurgent"], 10)
	require.InDelta(t, 950, count["smallurgent"], 10)
}

// TestIdleTeamGetsNoCredit guards against a team that blocks all others when it submits work after an idle period.
func TestIdleTeamGetsNoCredit(t *testing.T) {
	q := New[string](false)
	q.Add(q.NewEntry(structs.Routine, "busy", 1, cost, "busy"), 1000)
	for range 500 {
		take(q, true)
	}
	q.Add(q.NewEntry(structs.Routine, "late", 2, cost, "late"), 100)
	count := map[string]int{}
	for range 100 {
		count[take(q, true)]++
	}
	require.InDelta(t, 50, count["late"], 2)
}

// TestWorkAheadCountsOtherTeamsByWeight guards against refusals of a small team's work because of the large backlog of
// another team.
func TestWorkAheadCountsOtherTeamsByWeight(t *testing.T) {
	q := New[string](false)
	q.Add(q.NewEntry(structs.Routine, "huge", 1, cost, "huge"), 100_000)
	q.Add(q.NewEntry(structs.Routine, "small", 2, cost, "small"), 10)
	require.Equal(t, 30*cost, q.WorkAhead(structs.Routine, "small", 10*cost))
	require.Equal(t, 100_010*cost, q.WorkAhead(structs.Routine, "huge", 10*cost))
	require.Equal(t, 100_010*cost, q.Work(structs.Routine))
}

// TestQueueUnderRandomOperations guards against wrong counts of waiting tasks, against a wrong order within a team and
// against exceeded limits of running tasks.
func TestQueueUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string](false)
		limits := map[string]int{"a": 3, "b": 0, "c": 7}
		for _, name := range []string{"a", "b", "c"} {
			q.SetQuota(name, Quota{Weight: 1, MaxRunning: limits[name]})
		}
		var entries, running []*Entry[string]
		waiting := 0
		for range rapid.IntRange(1, 200).Draw(t, "length") {
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op < 3:
				class := structs.Priority(rapid.IntRange(0, 1).Draw(t, "class"))
				team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
				e := q.NewEntry(class, team, uint64(len(entries)), cost, strconv.Itoa(len(entries)))
				n := rapid.IntRange(1, 5).Draw(t, "tasks")
				q.Add(e, n)
				waiting += n
				entries = append(entries, e)
			case op < 7:
				e := q.Peek(structs.Priority(op % 2))
				if e == nil {
					continue
				}
				for _, other := range entries {
					ahead := other.team == e.team && other.class == e.class && other.sequence < e.sequence
					require.False(t, ahead && other.waiting > 0 && !other.held, "task of a later job offered first")
				}
				q.Take(e, cost)
				waiting--
				running = append(running, e)
			case op < 8 && len(running) > 0:
				e := running[0]
				running = running[1:]
				if rapid.Bool().Draw(t, "return") {
					q.Return(e, cost)
					waiting++
				} else {
					q.Done(e)
				}
			case op < 9 && len(entries) > 0:
				e := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
				waiting -= e.Count()
				q.Drop(e)
			case len(entries) > 0:
				e := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
				if e.held {
					q.Release(e)
				} else {
					q.Hold(e)
				}
			}
			require.Equal(t, waiting, q.Queued(structs.Urgent)+q.Queued(structs.Routine))
			for name, limit := range limits {
				require.True(t, limit == 0 || q.Running(name) <= limit)
			}
		}
	})
}
