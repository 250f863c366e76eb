package configuration

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosedrift.example/rosedrift/internal/structs"
)

// TestFollowerNeverReverts guards against a process that goes back to an older document after a stale read, and
// against one that applies an invalid document.
func TestFollowerNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		follower := NewFollower()
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			document := validDocuments.Draw(t, "document")
			document.Services, document.Retired = map[string]structs.ServiceConfig{}, map[string]uint16{}
			document.Revision = structs.Revision(rapid.IntRange(1, 10).Draw(t, "revision"))
			document.Change.ID = fmt.Sprintf("change-%d", document.Revision)
			valid := rapid.Bool().Draw(t, "valid")
			if !valid {
				document.Limits.MaxTasks = 0
			}
			raw, err := Encode(document)
			require.NoError(t, err)
			before := follower.Current()
			applied, _ := follower.Offer(raw)
			require.Equal(t, valid && document.Revision > before.Revision, applied)
			if !applied {
				require.Same(t, before, follower.Current())
			}
		}
	})
}

// TestFollowerRejectsDocumentsOfDamagedStore guards against applying documents of a damaged store: one that cannot be
// decoded, and a second one of the current revision.
func TestFollowerRejectsDocumentsOfDamagedStore(t *testing.T) {
	follower := NewFollower()
	_, err := follower.Offer([]byte("{"))
	var malformed *DecodeError
	require.ErrorAs(t, err, &malformed)
	document := Default()
	document.Change.ID = "other"
	raw, err := Encode(document)
	require.NoError(t, err)
	_, err = follower.Offer(raw)
	var fork *ForkError
	require.ErrorAs(t, err, &fork)
}

// TestInForceAgainstModel guards against a revision that is reported as in force while a live process may still act on
// an older one. The model keeps the last message of each agent and applies the definition of "in force" directly.
func TestInForceAgainstModel(t *testing.T) {
	type message struct {
		incarnation structs.Incarnation
		revision    structs.Revision
		at          time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewInForce()
		model := map[string]message{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "agent")
			incarnation := structs.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))
			revision := structs.Revision(rapid.IntRange(0, 5).Draw(t, "revision"))
			tracker.RecordAgent(now, structs.AgentRef{ID: structs.AgentID(id), Incarnation: incarnation}, revision)
			if last, ok := model[id]; ok && last.incarnation == incarnation {
				revision = max(revision, last.revision)
			}
			model[id] = message{incarnation, revision, now}
			queried := structs.Revision(rapid.IntRange(0, 5).Draw(t, "asked"))
			want := true
			for _, m := range model {
				want = want && (m.revision >= queried || now-m.at > UnresponsiveAfter)
			}
			status := tracker.Status(now, queried)
			require.Equal(t, want, status.InForce)
			require.Equal(t, want, len(status.Waiting()) == 0)
			require.Equal(t, want, tracker.Agents(now) >= queried)
		}
	})
}

// TestInForceCountsPeersAgents guards against a revision that is reported as in force although an agent that is linked
// only to another gateway has not acknowledged it.
func TestInForceCountsPeersAgents(t *testing.T) {
	tracker := NewInForce()
	peer := structs.GatewayRef{ID: "g2", Incarnation: 1}
	tracker.RecordGateway(0, peer, 5, 4)
	require.False(t, tracker.Status(0, 5).InForce)
	require.Equal(t, "g2", tracker.Status(0, 5).Waiting()[0].Name)
	tracker.RecordGateway(0, peer, 5, AllRevisions)
	require.True(t, tracker.Status(0, 5).InForce)
	tracker.RecordGateway(0, peer, 5, 4)
	require.Equal(t, "g2", tracker.Status(UnresponsiveAfter+1, 5).Unresponsive()[0].Name)
	tracker.Remove(MemberGateway, "g2")
	require.Empty(t, tracker.Status(0, 5).Members)
}
