// Package fairqueue orders the waiting tasks of a pool: urgent before routine tasks, weighted fair queueing by virtual
// time between the teams of a priority class, and first in first out within a team.
//
// A Queue holds one entry per job, with the number of its waiting tasks. The cost of an operation therefore grows with
// the logarithm of the number of waiting jobs and not with the number of tasks. A Queue is deterministic and not safe
// for concurrent use.
package fairqueue

import (
	"container/heap"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// RoutineShare is the minimum share of starts that routine tasks get while any wait, so that a lasting urgent load does
// not starve them.
const RoutineShare = 0.05

const (
	// maxCredit bounds the number of starts that routine tasks can catch up on after no server could take them for a
	// while.
	maxCredit = 2.0
	// minCost is the lowest cost of a task. It makes the virtual time of a team advance even if the estimated run time
	// of a kind is near zero.
	minCost = time.Millisecond
	// minTeamsForCleanup is the number of teams at which idle ones are removed for the first time.
	minTeamsForCleanup = 1024
)

// Entry holds the waiting tasks of one job.
type Entry[J any] struct {
	// Value is the job. The queue does not use it.
	Value J

	sequence uint64
	waiting  int
	// cost is the expected run time of one task.
	cost  time.Duration
	held  bool
	class structs.Priority
	team  *team[J]
	// heapIndex is the position in the heap of the flow, -1 if the entry offers no task.
	heapIndex int
}

// Count returns the number of waiting tasks.
func (e *Entry[J]) Count() int { return e.waiting }

// Quota holds the weight of a team and the limits of its tasks in one pool. A limit of 0 means unlimited.
type Quota struct {
	Weight     float64
	MaxRunning int
	MaxQueued  int
}

// Queue holds the waiting tasks of a pool.
type Queue[J any] struct {
	fifo    bool
	classes [structs.Priorities]class[J]
	teams   map[string]*team[J]
	// cleanupAt is the number of teams at which idle ones are removed next.
	cleanupAt int
	// routineCredit is the number of starts that are due to routine tasks.
	routineCredit float64
}

// class is a priority class. ready holds the flows whose tasks may start, queued counts the waiting tasks, and
// virtualTime is the highest virtual time at which a flow was served.
type class[J any] struct {
	virtualTime float64
	ready       flowHeap[J]
	queued      int
}

// team holds the flows of a team, and the numbers of its running and waiting tasks in all classes.
type team[J any] struct {
	name    string
	quota   Quota
	running int
	queued  int
	flows   [structs.Priorities]flow[J]
}

// flow holds the waiting tasks of one team in one class.
type flow[J any] struct {
	team *team[J]
	// virtualTime is the total cost of the tasks taken so far, divided by the team's weight. The flow with the lowest
	// one is served next. A flow that was idle does not start again below the virtual time of its class.
	virtualTime float64
	// work is the expected run time of the waiting tasks.
	work    time.Duration
	entries entryHeap[J]
	// heapIndex is the position in the heap of the class, -1 if no task may start.
	heapIndex int
}

// New returns an empty queue. With fifo the queue ignores classes, teams and quotas and serves jobs in order of
// arrival.
func New[J any](fifo bool) *Queue[J] {
	return &Queue[J]{fifo: fifo, teams: make(map[string]*team[J]), cleanupAt: minTeamsForCleanup}
}

// SetQuota sets the weight and the limits of a team.
func (q *Queue[J]) SetQuota(name string, quota Quota) {
	t := q.team(name)
	t.quota = quota
	q.updateTeam(t)
}

// NewEntry returns an entry without tasks. sequence orders the entries of a team and must be unique. cost is the
// expected run time of one task, which WorkAhead and Work sum up.
func (q *Queue[J]) NewEntry(
	priority structs.Priority, teamName string, sequence uint64, cost time.Duration, value J,
) *Entry[J] {
	if q.fifo {
		priority, teamName = structs.Urgent, ""
	}
	return &Entry[J]{Value: value, sequence: sequence, cost: cost, class: priority, team: q.team(teamName), heapIndex: -1}
}

// WithinQuota reports whether a team may have count more waiting tasks.
func (q *Queue[J]) WithinQuota(teamName string, count int) bool {
	t, ok := q.teams[teamName]
	if !ok || q.fifo || t.quota.MaxQueued == 0 {
		return true
	}
	return t.queued+count <= t.quota.MaxQueued
}

// Add adds count waiting tasks to the entry.
func (q *Queue[J]) Add(e *Entry[J], count int) {
	q.addWaiting(e, count)
	q.offer(e)
}

// Hold excludes the entry's tasks from Peek until Release. They still count as waiting.
func (q *Queue[J]) Hold(e *Entry[J]) {
	e.held = true
	q.withhold(e)
}

// Release ends Hold.
func (q *Queue[J]) Release(e *Entry[J]) {
	e.held = false
	q.offer(e)
}

// Peek returns the entry whose task is next in the class, or nil if no task of the class may start.
func (q *Queue[J]) Peek(priority structs.Priority) *Entry[J] {
	ready := q.classes[priority].ready
	if len(ready) == 0 {
		return nil
	}
	return ready[0].entries[0]
}

// RoutineDue reports whether the next start must be that of a routine task, so that routine tasks get their minimum
// share.
func (q *Queue[J]) RoutineDue() bool { return q.routineCredit >= 1 }

// Take removes one waiting task, which counts as running until Done or Return. cost is its expected run time.
func (q *Queue[J]) Take(e *Entry[J], cost time.Duration) {
	if e.waiting == 0 || e.held {
		panic("fairqueue: task taken from an entry that offers none")
	}
	q.updateCredit(e.class)
	f := &e.team.flows[e.class]
	q.classes[e.class].virtualTime = max(q.classes[e.class].virtualTime, f.virtualTime)
	f.virtualTime += e.team.virtualCost(cost)
	q.addWaiting(e, -1)
	e.team.running++
	if e.waiting == 0 {
		q.withhold(e)
	}
	q.updateTeam(e.team)
}

// updateCredit adds RoutineShare to the credit of waiting routine tasks on each start, and subtracts 1 if a routine
// task starts.
func (q *Queue[J]) updateCredit(started structs.Priority) {
	if len(q.classes[structs.Routine].ready) == 0 {
		q.routineCredit = 0
		return
	}
	q.routineCredit = min(q.routineCredit+RoutineShare, maxCredit)
	if started == structs.Routine {
		q.routineCredit = max(q.routineCredit-1, 0)
	}
}

// Return undoes Take for a task that has not started. cost is the value given to Take.
func (q *Queue[J]) Return(e *Entry[J], cost time.Duration) {
	f := &e.team.flows[e.class]
	f.virtualTime -= e.team.virtualCost(cost)
	q.Done(e)
	q.Add(e, 1)
}

// Done reports the end of a task that was taken.
func (q *Queue[J]) Done(e *Entry[J]) {
	if e.team.running == 0 {
		panic("fairqueue: team " + e.team.name + " has fewer than 0 running tasks")
	}
	e.team.running--
	q.updateTeam(e.team)
}

// AddRunning counts a running task that an earlier owner of the pool has started.
func (q *Queue[J]) AddRunning(e *Entry[J]) {
	e.team.running++
	q.updateTeam(e.team)
}

// Drop removes all waiting tasks of the entry.
func (q *Queue[J]) Drop(e *Entry[J]) {
	q.withhold(e)
	q.addWaiting(e, -e.waiting)
}

// addWaiting adds change to the number of waiting tasks of an entry, its team and its class.
func (q *Queue[J]) addWaiting(e *Entry[J], change int) {
	e.waiting += change
	e.team.queued += change
	e.team.flows[e.class].work += time.Duration(change) * e.cost
	q.classes[e.class].queued += change
}

// WorkAhead returns the waiting work of a class that is served before the last task of new work of a team. This is all
// waiting work of the team itself and, of each other team, at most the share that its weight gives it in the same time.
func (q *Queue[J]) WorkAhead(priority structs.Priority, teamName string, work time.Duration) time.Duration {
	if q.fifo {
		priority, teamName = structs.Urgent, ""
	}
	own := q.team(teamName)
	total := own.flows[priority].work
	perWeight := float64(total+work) / own.weight()
	for _, other := range q.teams {
		if other != own {
			share := time.Duration(perWeight * other.weight())
			total += min(other.flows[priority].work, share)
		}
	}
	return total
}

// Work returns the expected run time of all waiting tasks of a class.
func (q *Queue[J]) Work(priority structs.Priority) time.Duration {
	var total time.Duration
	for _, t := range q.teams {
		total += t.flows[priority].work
	}
	return total
}

// Queued returns the number of waiting tasks of a class, including held ones.
func (q *Queue[J]) Queued(priority structs.Priority) int { return q.classes[priority].queued }

// Running returns the number of running tasks of a team: those that were taken and have not ended.
func (q *Queue[J]) Running(teamName string) int {
	if t, ok := q.teams[teamName]; ok {
		return t.running
	}
	return 0
}

// AtRunningLimit reports whether the team of the entry has as many running tasks as its quota allows.
func (q *Queue[J]) AtRunningLimit(e *Entry[J]) bool { return e.team.atRunningLimit() }

// team returns the team with the given name, which it adds if it is unknown.
func (q *Queue[J]) team(name string) *team[J] {
	if t, ok := q.teams[name]; ok {
		return t
	}
	q.forgetIdleTeams()
	t := &team[J]{name: name, quota: Quota{Weight: structs.DefaultTeamWeight}}
	for i := range t.flows {
		t.flows[i] = flow[J]{team: t, heapIndex: -1}
	}
	q.teams[name] = t
	return t
}

// forgetIdleTeams removes the idle teams when there are many teams, so that made-up team names do not fill the memory.
// A team whose entries are in use has waiting or running tasks, so it is not idle and its entries keep a valid team.
func (q *Queue[J]) forgetIdleTeams() {
	if len(q.teams) < q.cleanupAt {
		return
	}
	for name, t := range q.teams {
		if t.queued == 0 && t.running == 0 && t.quota == (Quota{Weight: structs.DefaultTeamWeight}) {
			delete(q.teams, name)
		}
	}
	q.cleanupAt = 2*len(q.teams) + minTeamsForCleanup
}

// offer adds an entry to the heap of its flow, unless it is held or has no waiting task.
func (q *Queue[J]) offer(e *Entry[J]) {
	if e.held || e.waiting == 0 || e.heapIndex >= 0 {
		return
	}
	heap.Push(&e.team.flows[e.class].entries, e)
	q.updateTeam(e.team)
}

// withhold removes an entry from the heap of its flow.
func (q *Queue[J]) withhold(e *Entry[J]) {
	if e.heapIndex < 0 {
		return
	}
	heap.Remove(&e.team.flows[e.class].entries, e.heapIndex)
	q.updateTeam(e.team)
}

// updateTeam updates the positions of a team's flows in the heaps of their classes after a change.
func (q *Queue[J]) updateTeam(t *team[J]) {
	for i := range t.flows {
		q.updateFlow(&q.classes[i], &t.flows[i])
	}
}

// updateFlow adds a flow to the heap of its class, updates its position there or removes it. The heap holds the flows
// whose next task may start.
func (q *Queue[J]) updateFlow(c *class[J], f *flow[J]) {
	ready := len(f.entries) > 0 && !f.team.atRunningLimit()
	switch {
	case ready && f.heapIndex >= 0:
		heap.Fix(&c.ready, f.heapIndex)
	case ready:
		// A team that was idle does not get an advantage for the time in which it had no waiting task.
		f.virtualTime = max(f.virtualTime, c.virtualTime)
		heap.Push(&c.ready, f)
	case f.heapIndex >= 0:
		heap.Remove(&c.ready, f.heapIndex)
	}
}

func (t *team[J]) atRunningLimit() bool {
	return t.quota.MaxRunning > 0 && t.running >= t.quota.MaxRunning
}

func (t *team[J]) weight() float64 {
	if t.quota.Weight > 0 {
		return t.quota.Weight
	}
	return structs.DefaultTeamWeight
}

// virtualCost returns by how much a task of the given cost advances the virtual time of the team's flow.
func (t *team[J]) virtualCost(cost time.Duration) float64 {
	return max(cost, minCost).Seconds() / t.weight()
}

// entryHeap orders the entries of a flow by their sequence number.
type entryHeap[J any] []*Entry[J]

func (h entryHeap[J]) Len() int           { return len(h) }
func (h entryHeap[J]) Less(i, j int) bool { return h[i].sequence < h[j].sequence }
func (h entryHeap[J]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *entryHeap[J]) Push(x any) {
	e := x.(*Entry[J])
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap[J]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.heapIndex = -1
	return e
}

// flowHeap orders the flows of a class by virtual time, then by the name of the team for determinism.
type flowHeap[J any] []*flow[J]

func (h flowHeap[J]) Len() int { return len(h) }
func (h flowHeap[J]) Less(i, j int) bool {
	if h[i].virtualTime != h[j].virtualTime {
		return h[i].virtualTime < h[j].virtualTime
	}
	return h[i].team.name < h[j].team.name
}
func (h flowHeap[J]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap[J]) Push(x any) {
	f := x.(*flow[J])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[J]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.heapIndex = -1
	return f
}
