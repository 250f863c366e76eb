package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

var testPool = structs.PoolID{Service: "lending"}

// newTestPool returns an attached pool of epoch 2 with agents of 8 slots each.
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

func starts(actions []Action) map[structs.AgentRef][]structs.TaskStart {
	found := make(map[structs.AgentRef][]structs.TaskStart)
	for _, action := range actions {
		if s, ok := action.(SendStart); ok {
			found[s.Agent] = append(found[s.Agent], s.Start.Tasks...)
		}
	}
	return found
}

func only[T any](t *testing.T, actions []Action) T {
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

func event(task structs.TaskRef, kind structs.TaskEventKind, result string) structs.TaskEvent {
	return structs.TaskEvent{Task: task, Kind: kind, Result: []byte(result), RunTime: 100 * time.Millisecond}
}

// TestAnswerHasResultsInTaskOrder guards against answers whose results are in order of arrival.
func TestAnswerHasResultsInTaskOrder(t *testing.T) {
	p := newTestPool(3)
	actions := p.Step(0, Submit{Submission: submission("a", 20), Waiter: 7})
	var finish []Action
	for ref, tasks := range starts(actions) {
		for _, task := range tasks {
			done := event(task.Task, structs.TaskFinished, string(task.Payload))
			finish = append(finish, p.Step(time.Second, Events{Agent: ref, Events: []structs.TaskEvent{done}})...)
		}
	}
	answer := only[Finish](t, finish)
	require.Equal(t, []WaiterID{7}, answer.Waiters)
	require.Equal(t, structs.OutcomeComplete, answer.Answer.Outcome)
	require.Equal(t, submission("a", 20).Payloads, answer.Answer.Results)
}
