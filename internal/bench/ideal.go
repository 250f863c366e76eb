package bench

import (
	"container/heap"
	"slices"
	"time"
)

// Ideal returns the response time that a job would have in the profile's deployment without queueing and without
// dispatch overhead: every task starts at arrival on a server of mean speed. A job with more tasks than slots is
// scheduled longest task first over all slots of an otherwise empty system.
func Ideal(p Profile, job *Job) time.Duration {
	slots := p.Instances * p.Slots
	if len(job.RunTimes) <= slots {
		longest := slices.Max(job.RunTimes)
		return time.Duration(float64(longest) * p.MeanSlowdown())
	}
	return listSchedule(p, job.RunTimes)
}

// listSchedule assigns the tasks, longest first, each to the slot that becomes free first, and returns the makespan.
func listSchedule(p Profile, runTimes []time.Duration) time.Duration {
	sorted := slices.Clone(runTimes)
	slices.SortFunc(sorted, func(a, b time.Duration) int { return int(b - a) })
	slots := make(slotHeap, 0, p.Instances*p.Slots)
	for i := range p.Instances {
		for range p.Slots {
			slots = append(slots, slot{slowdown: p.Slowdown(i)})
		}
	}
	heap.Init(&slots)
	var makespan time.Duration
	for _, t := range sorted {
		first := &slots[0]
		first.freeAt += time.Duration(float64(t) * first.slowdown)
		makespan = max(makespan, first.freeAt)
		heap.Fix(&slots, 0)
	}
	return makespan
}

type slot struct {
	freeAt   time.Duration
	slowdown float64
}

type slotHeap []slot

func (h slotHeap) Len() int { return len(h) }

// Less prefers the slot that becomes free earlier and, at the same time, the faster one.
func (h slotHeap) Less(i, j int) bool {
	if h[i].freeAt != h[j].freeAt {
		return h[i].freeAt < h[j].freeAt
	}
	return h[i].slowdown < h[j].slowdown
}
func (h slotHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *slotHeap) Push(x any) { *h = append(*h, x.(slot)) }

// Pop implements heap.Interface.
func (h *slotHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
