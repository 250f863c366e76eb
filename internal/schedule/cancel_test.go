package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

// cancelHarness is a scheduler with one linked agent that starts what it gets.
type cancelHarness struct {
	t       *testing.T
	s       *Scheduler
	now     time.Duration
	placed  []uint64
	answers map[Waiter]Answer
}

func newCancelHarness(t *testing.T) *cancelHarness {
	h := &cancelHarness{t: t, now: time.Second, answers: map[Waiter]Answer{}}
	h.s = New(h.now, Options{Self: structs.GatewayRef{ID: "g", Incarnation: 1}, Zone: "z", RunLease: time.Second})
	capacity := structs.Resources{CPU: 4000, MemoryMB: 1000}
	h.s.Linked(h.now, "a")
	h.s.HandleServerReport(h.now, "a", &structs.ServerReport{Zone: "z", Service: "s", Capacity: capacity, Open: true})
	h.s.HandleResourceReport(h.now, "a", &structs.ResourceReport{Free: capacity})
	return h
}

func (h *cancelHarness) flush() {
	for _, action := range h.s.Flush(h.now) {
		switch action := action.(type) {
		case Answer:
			for _, waiter := range action.Waiters {
				require.NotContains(h.t, h.answers, waiter, "answered twice")
				h.answers[waiter] = action
			}
		case Send:
			if place, ok := action.Message.(*structs.Place); ok {
				for _, task := range place.Tasks {
					h.placed = append(h.placed, task.ID)
				}
			}
		}
	}
}

func (h *cancelHarness) submit(id string, waiter Waiter) {
	task := structs.StepSpec{Count: 2, Need: structs.Resources{CPU: 1000, MemoryMB: 1}, Estimate: 100 * time.Millisecond}
	second := task
	second.After = []int{0}
	h.s.Submit(h.now, Submission{
		Waiter: waiter, Job: &structs.JobSpec{ID: id, Steps: []structs.StepSpec{task, second}},
		Route: structs.Route{Name: "r", Service: "s", TargetLatency: time.Second, MaxAttempts: 1}, Timeout: 5 * time.Second,
	})
	h.flush()
}

// end reports the end of all placed tasks.
func (h *cancelHarness) end(kind structs.PlacementEventKind) {
	var events []structs.PlacementEvent
	for _, id := range h.placed {
		events = append(events, structs.PlacementEvent{ID: id, Kind: kind, Run: 1, RunTime: 100 * time.Millisecond})
	}
	h.placed = nil
	h.s.HandlePlacementEvents(h.now, "a", &structs.PlacementEvents{Events: events})
	h.s.HandleResourceReport(h.now, "a", &structs.ResourceReport{Free: structs.Resources{CPU: 4000, MemoryMB: 1000}, Ack: 100})
	h.flush()
}

// TestCancelledJobDoesNotRunAgain guards against a job that runs after its cancelling was acknowledged: because a submission of it
// waited for the end of an earlier one, arrived later, or had a step that had not begun.
func TestCancelledJobDoesNotRunAgain(t *testing.T) {
	const id = "00000000000000aa"
	for name, c := range map[string]struct {
		before, after func(h *cancelHarness)
		known         bool
		waiters       []Waiter
	}{
		"a submission waits for the end of an earlier one": {
			before: func(h *cancelHarness) {
				h.submit(id, 1)
				h.s.CallerLeft(h.now, id, 1)
				h.submit(id, 2)
				h.submit(id, 3)
			},
			after: func(h *cancelHarness) { h.end(structs.PlacementLost) }, known: true, waiters: []Waiter{2, 3},
		},
		"a step has not begun": {
			before: func(h *cancelHarness) { h.submit(id, 1) },
			after:  func(h *cancelHarness) { h.end(structs.PlacementDone) }, known: true, waiters: []Waiter{1},
		},
		"a submission arrives later": {
			before: func(h *cancelHarness) { h.submit(id, 1) },
			after: func(h *cancelHarness) {
				h.submit(id, 2)
				h.end(structs.PlacementLost)
				h.now += 500 * time.Millisecond
				h.submit(id, 3)
			}, known: true, waiters: []Waiter{1, 2, 3},
		},
		"the submission arrives after the cancelling": {
			before: func(*cancelHarness) {}, after: func(h *cancelHarness) { h.submit(id, 1) }, waiters: []Waiter{1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newCancelHarness(t)
			c.before(h)
			require.Equal(t, c.known, h.s.Cancel(h.now, id))
			h.flush()
			placed := h.placed
			c.after(h)
			h.now += 100 * time.Millisecond
			h.flush()
			require.Subset(t, placed, h.placed, "tasks are placed after the cancelling")
			for _, waiter := range c.waiters {
				require.Equal(t, OutcomeFailed, h.answers[waiter].Outcome, "waiter %d", waiter)
				require.Equal(t, cancelReason, h.answers[waiter].Reason)
			}
			h.submit("00000000000000bb", 9)
			require.NotEmpty(t, h.placed, "other jobs run")
		})
	}
}

// TestCancelledJobsAreForgotten guards against a memory that grows with the cancelled jobs.
func TestCancelledJobsAreForgotten(t *testing.T) {
	c := newCancellations()
	for i := range 2 * maxCancelled {
		c.add(time.Duration(i), fmt.Sprintf("%016x", i))
	}
	require.Len(t, c.at, maxCancelled)
	require.Len(t, c.order, maxCancelled)
	last := fmt.Sprintf("%016x", 2*maxCancelled-1)
	require.True(t, c.has(structs.CancelRetention, last))
	c.add(2*structs.CancelRetention, "new")
	require.Len(t, c.at, 1)
	require.False(t, c.has(2*structs.CancelRetention, last))
}
