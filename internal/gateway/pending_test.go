package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

// TestEntryClaimsNotRunOnlyWithProof guards against not_run for a body that an owner may have taken over a link that
// broke before its reply, or that was used under the caller's own key before.
func TestEntryClaimsNotRunOnlyWithProof(t *testing.T) {
	first := target{owner: structs.GatewayRef{ID: "g1", Incarnation: 1}, epoch: 1}
	second := target{owner: structs.GatewayRef{ID: "g2", Incarnation: 1}, epoch: 2}
	keep := func(issuedKey bool) *pendingJob {
		return &pendingJob{
			issuedKey: issuedKey, accepted: make(chan struct{}), done: make(chan struct{}),
			unresolved: map[target]bool{}, suspendedSince: time.Now().Add(-suspendedRetryPeriod),
		}
	}
	refusal := func(code structs.Code) *structs.ForwardReply {
		return &structs.ForwardReply{Problem: &structs.Problem{Code: code, Outcome: structs.OutcomeNotRun}}
	}

	k := keep(true)
	require.False(t, k.handleReply(nil, first, errReplyLost))
	require.Equal(t, structs.OutcomeMayHaveRun, k.timeoutReply().Problem.Outcome, "a body without a reply")
	require.True(t, k.handleReply(refusal(structs.CodeOverloaded), first, nil))
	require.Equal(t, structs.OutcomeMayHaveRun, k.reply.Problem.Outcome, "the same owner forgot the body")

	k = keep(true)
	require.False(t, k.handleReply(nil, first, errReplyLost))
	require.True(t, k.handleReply(refusal(structs.CodeOverloaded), second, nil))
	require.Equal(t, structs.OutcomeNotRun, k.reply.Problem.Outcome, "a later owner knows what has run")

	require.Equal(t, structs.OutcomeNotRun, keep(true).timeoutReply().Problem.Outcome)
	require.Equal(t, structs.OutcomeMayHaveRun, keep(false).timeoutReply().Problem.Outcome, "the caller's own key")
	k = keep(true)
	require.False(t, k.handleReply(&structs.ForwardReply{Status: &structs.JobStatus{}}, first, nil))
	require.Equal(t, structs.OutcomeMayHaveRun, k.timeoutReply().Problem.Outcome, "an accepted job")
}
