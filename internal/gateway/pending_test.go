package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

// TestEntryReportsNotRunOnlyWithProof guards against reporting not_run for a body that an owner may have accepted over
// a link that broke before its reply, or for a caller's own key that an earlier request may have used.
func TestEntryReportsNotRunOnlyWithProof(t *testing.T) {
	first := target{owner: structs.GatewayRef{ID: "g1", Incarnation: 1}, epoch: 1}
	second := target{owner: structs.GatewayRef{ID: "g2", Incarnation: 1}, epoch: 2}
	newJob := func(issuedKey bool) *pendingJob {
		return &pendingJob{
			issuedKey: issuedKey, accepted: make(chan struct{}), done: make(chan struct{}),
			unresolved: map[target]bool{}, suspendedSince: time.Now().Add(-suspendedRetryPeriod),
		}
	}
	refusal := func(code structs.Code) *structs.ForwardReply {
		return &structs.ForwardReply{Problem: &structs.Problem{Code: code, Outcome: structs.OutcomeNotRun}}
	}

	j := newJob(true)
	require.False(t, j.handleReply(nil, first, errReplyLost))
	require.Equal(t, structs.OutcomeMayHaveRun, j.timeoutReply().Problem.Outcome, "a body without a reply")
	require.True(t, j.handleReply(refusal(structs.CodeOverloaded), first, nil))
	require.Equal(t, structs.OutcomeMayHaveRun, j.reply.Problem.Outcome, "the same owner forgot the body")

	j = newJob(true)
	require.False(t, j.handleReply(nil, first, errReplyLost))
	require.True(t, j.handleReply(refusal(structs.CodeOverloaded), second, nil))
	require.Equal(t, structs.OutcomeNotRun, j.reply.Problem.Outcome, "a later owner knows what has run")

	require.Equal(t, structs.OutcomeNotRun, newJob(true).timeoutReply().Problem.Outcome)
	require.Equal(t, structs.OutcomeMayHaveRun, newJob(false).timeoutReply().Problem.Outcome, "the caller's own key")
	j = newJob(true)
	require.False(t, j.handleReply(&structs.ForwardReply{Status: &structs.JobStatus{}}, first, nil))
	require.Equal(t, structs.OutcomeMayHaveRun, j.timeoutReply().Problem.Outcome, "an accepted job")
}

// TestSuspensionOfALaterOwnerIsWaitedFor guards against a job that fails at once when its owner is suspended for the second
// time: an owner that has accepted the job in between was not suspended.
func TestSuspensionOfALaterOwnerIsWaitedFor(t *testing.T) {
	j := &pendingJob{accepted: make(chan struct{}), done: make(chan struct{}), unresolved: map[target]bool{}}
	to := target{owner: structs.GatewayRef{ID: "g1", Incarnation: 1}, epoch: 1}
	suspended := &structs.ForwardReply{Problem: &structs.Problem{Code: structs.CodeUnavailable, Outcome: structs.OutcomeNotRun}}
	require.False(t, j.handleReply(suspended, to, nil))
	j.suspendedSince = time.Now().Add(-suspendedRetryPeriod)
	require.False(t, j.handleReply(&structs.ForwardReply{Status: &structs.JobStatus{}}, to, nil))
	require.False(t, j.handleReply(suspended, to, nil), "the period of a new suspension has only begun")
}
