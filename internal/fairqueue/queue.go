// Package fairqueue orders the waiting tasks of a pool: urgent before routine, weighted fair queueing by virtual
// time between the teams of a class, and first in first out within a team.
//
// A Queue holds one entry per job with a count of waiting tasks, so that its cost grows with the logarithm of the
// number of waiting jobs and not with the number of tasks. It is deterministic and not safe for concurrent use.
package fairqueue

import (
	"container/heap"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// RoutineShare is the share of starts that routine tasks get at least while they wait, so that a lasting urgent
// load does not starve them.
const RoutineShare = 0.05

const (
	// maxCredit bounds the starts that routine work can claim after it could not be placed for a while.
	maxCredit = 2.0
	// minCost keeps the virtual time of a team moving when the estimated run time of a kind is near zero.
	minCost = time.Millisecond
	// sweepTeams is the number of teams beyond which idle ones are forgotten.
	idleTeamsKept = 1024
)

// Entry is the waiting work of one job.
type Entry[J any] struct {
	// Value is the job; the queue does not look at it.
	Value J

	sequence  uint64
	waiting   int
	cost      time.Duration
	held      bool
	class     structs.Priority
	team      *team[J]
	heapIndex int
}

// Count returns the number of waiting tasks.
func (e *Entry[J]) Count() int { return e.waiting }

// Quota bounds a team's tasks in one pool; 0 means unlimited.
type Quota struct {
	Weight     float64
	MaxRunning int
	MaxQueued  int
}

// Queue is the set of all waiting work of a pool.
type Queue[J any] struct {
	fifo          bool
	classes       [structs.Priorities]class[J]
	teams         map[string]*team[J]
	cleanupAt     int
	routineCredit float64
}

type class[J any] struct {
	virtualTime float64
	ready       flowHeap[J]
	queued      int
}

type team[J any] struct {
	name    string
	quota   Quota
	running int
	queued  int
	flows   [structs.Priorities]flow[J]
}

// lane is the work of one team in one class. index is its position in the class's heap, -1 if it is not ready.
type flow[J any] struct {
	team        *team[J]
	virtualTime float64
	// work is the expected run time of the waiting tasks.
	work      time.Duration
	entries   entryHeap[J]
	heapIndex int
}

// New returns an empty queue. With fifo the queue ignores classes, teams and quotas and serves in order of arrival.
func New[J any](fifo bool) *Queue[J] {
	return &Queue[J]{fifo: fifo, teams: make(map[string]*team[J]), cleanupAt: idleTeamsKept}
}

// SetQuota sets the weight and limits of a team.
func (q *Queue[J]) SetQuota(name string, quota Quota) {
	t := q.team(name)
	t.quota = quota
	q.updateTeam(t)
}

// NewEntry returns an entry without tasks. seq orders the entries of a team and must be unique. cost is the expected
// run time of one task, for Ahead.
func (q *Queue[J]) NewEntry(
	priority structs.Priority, teamName string, seq uint64, cost time.Duration, value J,
) *Entry[J] {
	if q.fifo {
		priority, teamName = structs.Urgent, ""
	}
	return &Entry[J]{Value: value, sequence: seq, cost: cost, class: priority, team: q.team(teamName), heapIndex: -1}
}

// WithinQuota reports whether a team may have count more waiting tasks.
func (q *Queue[J]) WithinQuota(teamName string, count int) bool {
	t, ok := q.teams[teamName]
	if !ok || q.fifo || t.quota.MaxQueued == 0 {
		return true
	}
	return t.queued+count <= t.quota.MaxQueued
}

// Add makes count more tasks of the entry wait.
func (q *Queue[J]) Add(e *Entry[J], count int) {
	q.addWaiting(e, count)
	q.offer(e)
}

// Hold keeps the entry's tasks from being offered until Release. They count as waiting.
func (q *Queue[J]) Hold(e *Entry[J]) {
	e.held = true
	q.withhold(e)
}

// Release ends Hold.
func (q *Queue[J]) Release(e *Entry[J]) {
	e.held = false
	q.offer(e)
}

// Peek returns the entry whose task is next in the class, or nil if none may start.
func (q *Queue[J]) Peek(priority structs.Priority) *Entry[J] {
	ready := q.classes[priority].ready
	if len(ready) == 0 {
		return nil
	}
	return ready[0].entries[0]
}

// RoutineDue reports that the next start belongs to routine work to give it its minimum share.
func (q *Queue[J]) RoutineDue() bool { return q.routineCredit >= 1 }

// Take removes one task that starts. cost is its expected run time.
func (q *Queue[J]) Take(e *Entry[J], cost time.Duration) {
	if e.waiting == 0 || e.held {
		panic("fairqueue: task taken from an entry that offers none")
	}
	q.updateCredit(e.class)
	lane := &e.team.flows[e.class]
	q.classes[e.class].virtualTime = max(q.classes[e.class].virtualTime, lane.virtualTime)
	lane.virtualTime += e.team.virtualCost(cost)
	q.addWaiting(e, -1)
	e.team.running++
	if e.waiting == 0 {
		q.withhold(e)
	}
	q.updateTeam(e.team)
}

// account collects the credit of waiting routine work on each start.
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

// Return puts a taken task back, which has not started. cost is the value given to Take.
func (q *Queue[J]) Return(e *Entry[J], cost time.Duration) {
	lane := &e.team.flows[e.class]
	lane.virtualTime -= e.team.virtualCost(cost)
	q.Done(e)
	q.Add(e, 1)
}

// Done ends a taken task.
func (q *Queue[J]) Done(e *Entry[J]) {
	if e.team.running == 0 {
		panic("fairqueue: team " + e.team.name + " has fewer than 0 running tasks")
	}
	e.team.running--
	q.updateTeam(e.team)
}

// AddRunning counts a running task that was taken by an earlier owner.
func (q *Queue[J]) AddRunning(e *Entry[J]) {
	e.team.running++
	q.updateTeam(e.team)
}

// Drop removes all waiting tasks of the entry.
func (q *Queue[J]) Drop(e *Entry[J]) {
	q.withhold(e)
	q.addWaiting(e, -e.waiting)
}

// count changes the number of waiting tasks of an entry in all sums.
func (q *Queue[J]) addWaiting(e *Entry[J], change int) {
	e.waiting += change
	e.team.queued += change
	e.team.flows[e.class].work += time.Duration(change) * e.cost
	q.classes[e.class].queued += change
}

// WorkAhead returns the waiting work of a class that is served before the last task of new work of a team: all of the
// team's own, and of each other team at most as much as its weight gives it meanwhile.
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

// Queued returns the number of waiting tasks of a class, held ones included.
func (q *Queue[J]) Queued(priority structs.Priority) int { return q.classes[priority].queued }

// Running returns the number of taken tasks of a team.
func (q *Queue[J]) Running(teamName string) int {
	if t, ok := q.teams[teamName]; ok {
		return t.running
	}
	return 0
}

// AtRunningLimit reports whether the team of the entry is at its limit of running tasks.
func (q *Queue[J]) AtRunningLimit(e *Entry[J]) bool { return e.team.atRunningLimit() }

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

// sweep forgets idle teams when there are many, so that invented team names do not fill the memory. An entry keeps
// its team, hence teams with entries in use are never idle: they have waiting or running tasks.
func (q *Queue[J]) forgetIdleTeams() {
	if len(q.teams) < q.cleanupAt {
		return
	}
	for name, t := range q.teams {
		if t.queued == 0 && t.running == 0 && t.quota == (Quota{Weight: structs.DefaultTeamWeight}) {
			delete(q.teams, name)
		}
	}
	q.cleanupAt = 2*len(q.teams) + idleTeamsKept
}

func (q *Queue[J]) offer(e *Entry[J]) {
	if e.held || e.waiting == 0 || e.heapIndex >= 0 {
		return
	}
	heap.Push(&e.team.flows[e.class].entries, e)
	q.updateTeam(e.team)
}

func (q *Queue[J]) withhold(e *Entry[J]) {
	if e.heapIndex < 0 {
		return
	}
	heap.Remove(&e.team.flows[e.class].entries, e.heapIndex)
	q.updateTeam(e.team)
}

// refresh restores the place of a team's lanes in the heaps of their classes.
func (q *Queue[J]) updateTeam(t *team[J]) {
	for i := range t.flows {
		q.updateFlow(&q.classes[i], &t.flows[i])
	}
}

func (q *Queue[J]) updateFlow(c *class[J], l *flow[J]) {
	ready := len(l.entries) > 0 && !l.team.atRunningLimit()
	switch {
	case ready && l.heapIndex >= 0:
		heap.Fix(&c.ready, l.heapIndex)
	case ready:
		// A team that was idle gets no credit for the time in which it asked for nothing.
		l.virtualTime = max(l.virtualTime, c.virtualTime)
		heap.Push(&c.ready, l)
	case l.heapIndex >= 0:
		heap.Remove(&c.ready, l.heapIndex)
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

func (t *team[J]) virtualCost(cost time.Duration) float64 {
	return max(cost, minCost).Seconds() / t.weight()
}

// entryHeap orders the entries of a lane by their sequence number.
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

// teamHeap orders the ready lanes of a class by virtual time, then by name for determinism.
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
	l := x.(*flow[J])
	l.heapIndex = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *flowHeap[J]) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	l.heapIndex = -1
	return l
}
