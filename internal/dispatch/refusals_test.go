package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

// TestLateRequestIsRefusedAgain guards against a request that arrives late and runs although a later request with the
// same key was refused as not_run.
func TestLateRequestIsRefusedAgain(t *testing.T) {
	pool := New(0, Options{Pool: structs.PoolID{Service: "orders"}, Epoch: 1})
	pool.Step(0, Adopt{Complete: true})
	pool.Step(0, SetMode{Mode: Suspended})
	sub := &structs.Submission{
		Job:      structs.JobID{Pool: structs.PoolID{Service: "orders"}, Key: structs.HashKey("t", "k")},
		Team:     "t",
		Payloads: [][]byte{[]byte("x")},
	}
	now := 10 * time.Second
	requireRefused(t, pool.Step(now, Submit{Submission: sub, Waiter: 1}))
	pool.Step(now, SetMode{Mode: Attached})

	// The caller submits again at once. This cannot be distinguished from a late request.
	requireRefused(t, pool.Step(now+time.Second, Submit{Submission: sub, Waiter: 3}))
	// The request reached its entry gateway 5 s before the refusal and arrives 4 s after it.
	requireRefused(t, pool.Step(now+4*time.Second, Submit{Submission: sub, Waiter: 2, Age: 9 * time.Second}))
	// The caller submits again after the advised Retry-After.
	actions := pool.Step(now+5*time.Second, Submit{Submission: sub, Waiter: 4})
	require.Contains(t, actions, Action(Accepted{Waiter: 4, Status: actions[0].(Accepted).Status}))
}

func requireRefused(t *testing.T, actions []Action) {
	t.Helper()
	require.NotEmpty(t, actions)
	refused, ok := actions[0].(Refused)
	require.True(t, ok, "%T", actions[0])
	require.Equal(t, structs.OutcomeNotRun, refused.Problem.Outcome)
}

// TestRefusalsExpire guards against memory that grows with every refusal.
func TestRefusalsExpire(t *testing.T) {
	r := refusals{byKey: make(map[structs.KeyHash]refusalRecord)}
	problem := newProblem(structs.CodeOverloaded, structs.OutcomeNotRun, "full")
	for i := range 100 {
		r.add(time.Duration(i)*time.Second, structs.HashKey("t", string(rune(i))), problem)
	}
	r.removeExpired(50*time.Second + refusalRetention)
	require.Len(t, r.byKey, 49)
	require.Len(t, r.order, 49)
}

// TestLostJobHasFinalCode guards against a code that callers take for a temporary change of the owner. They would ask
// for a job that was lost with its owner again and again until they give up.
func TestLostJobHasFinalCode(t *testing.T) {
	p := New(0, Options{Pool: testPool, Epoch: 2})
	sub := submission("k", 2)
	sub.Ticketed = false
	entry := JournalEntry{Key: sub.Job.Key, Digest: sub.Digest, Tasks: 2, Repeatable: true}
	p.Step(0, Adopt{Journal: []JournalEntry{entry}})
	p.Step(0, SetMode{Mode: Attached})
	ended := onlyAction[JobEnded](t, p.Step(0, Submit{Submission: sub, Waiter: 1}))
	require.Equal(t, structs.CodeOutcomeUnknown, ended.Answer.Problem.Code)
	require.Equal(t, structs.OutcomeMayHaveRun, ended.Answer.Outcome)
}
