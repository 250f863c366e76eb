package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

var (
	testSelf = structs.GatewayRef{ID: "g1", Incarnation: 1}
	agentA   = structs.AgentRef{ID: "a", Incarnation: 1}
	agentB   = structs.AgentRef{ID: "b", Incarnation: 1}
	agentC   = structs.AgentRef{ID: "c", Incarnation: 1}
)

// driver answers the actions of a machine at once. holdPuts leaves record writes in flight.
type driver struct {
	t        *testing.T
	m        *Machine
	now      time.Duration
	version  uint64
	holdPuts bool
	silent   map[structs.AgentRef]bool
	eligible map[structs.AgentRef]bool
	adopted  *Adopted
}

func newDriver(t *testing.T) *driver {
	return &driver{
		t: t, m: New(0, testSelf), silent: map[structs.AgentRef]bool{}, eligible: map[structs.AgentRef]bool{},
	}
}

func (d *driver) step(in Input) {
	for _, action := range d.m.Step(d.now, in) {
		switch action := action.(type) {
		case PutRecord:
			if !d.holdPuts {
				d.version++
				d.step(PutResult{Record: action.Record, OK: true, Version: d.version})
			}
		case ReadJournal:
			d.step(JournalRead{Pool: action.Pool, Epoch: action.Epoch})
		case SendFence:
			if !d.silent[action.Agent] {
				reply := structs.FenceReply{Pool: testPool, Epoch: action.Fence.Epoch}
				d.step(FenceReplied{Agent: action.Agent, Reply: reply})
			}
		case Adopted:
			d.adopted = &action
		case EligibleChanged:
			d.eligible[action.Agent] = action.Eligible
		}
	}
}

// pass lets time go by with acknowledgements of the agents and, if renew is set, renewals of the lease.
func (d *driver) pass(span time.Duration, renew bool, acks ...structs.AgentRef) {
	epoch, _, _ := d.m.Mode(testPool, d.now)
	for end := d.now + span; d.now < end; {
		d.now += 250 * time.Millisecond
		if renew {
			d.step(LeaseRenewed{SentAt: d.now})
		}
		d.step(Tick{})
		for _, agent := range acks {
			d.step(AgentAck{Pool: testPool, Agent: agent, Epoch: epoch, SentAt: d.now})
		}
	}
}

func (d *driver) mode() dispatch.Mode {
	_, mode, ok := d.m.Mode(testPool, d.now)
	require.True(d.t, ok)
	return mode
}

// newOwner returns the attached owner of a pool of three agents.
func newOwner(t *testing.T) *driver {
	d := newDriver(t)
	d.step(PoolConfigured{Pool: testPool})
	d.step(Members{Live: []structs.GatewayRef{testSelf}, Revision: 1})
	d.step(LeaseRenewed{})
	for _, agent := range []structs.AgentRef{agentA, agentB, agentC} {
		d.step(AgentLinked{Pool: testPool, Agent: agent})
	}
	d.pass(time.Second, true)
	require.Equal(t, dispatch.Attached, d.mode())
	require.Equal(t, map[structs.AgentRef]bool{agentA: true, agentB: true, agentC: true}, d.eligible)
	return d
}

// TestDetachedLimit guards against a detached owner that is still active when a takeover waives the majority.
func TestDetachedLimit(t *testing.T) {
	d := newOwner(t)
	contact := d.now
	d.pass(LeaseValidity, false, agentA, agentB)
	for d.now-contact < DetachedLimit {
		require.Equal(t, dispatch.Detached, d.mode())
		d.pass(time.Second, false, agentA, agentB)
	}
	require.Equal(t, dispatch.Suspended, d.mode())
}

// TestDetachedFlag guards against agents that forget a detached owner whose keys are not yet in the journal.
func TestDetachedFlag(t *testing.T) {
	d := newOwner(t)
	require.False(t, d.m.DetachedFlag(testPool))
	d.pass(3*time.Second, false, agentA, agentB)
	require.Equal(t, dispatch.Detached, d.mode())
	d.step(BacklogWritten{Pool: testPool})
	d.pass(time.Second, true)
	require.Equal(t, dispatch.Attached, d.mode())
	require.True(t, d.m.DetachedFlag(testPool))
	d.step(BacklogWritten{Pool: testPool})
	require.False(t, d.m.DetachedFlag(testPool))
}

// TestRosterInDoubt guards against a detached owner and a takeover that count majorities of different rosters, and
// against starts on an agent that the stored roster may not hold.
func TestRosterInDoubt(t *testing.T) {
	d := newOwner(t)
	d.holdPuts = true
	d.step(AgentLost{Pool: testPool, Agent: agentC})
	d.step(AgentLinked{Pool: testPool, Agent: agentC})
	d.pass(3*time.Second, false, agentA, agentC)
	require.False(t, d.eligible[agentC])
	require.Equal(t, dispatch.Suspended, d.mode())
	d.pass(time.Second, false, agentA, agentB)
	require.Equal(t, dispatch.Detached, d.mode())
}

// TestGatewayGone guards against a statement about the last owner that waives the majority although an earlier owner
// may be detached.
func TestGatewayGone(t *testing.T) {
	d := newDriver(t)
	first, second := structs.GatewayRef{ID: "g2", Incarnation: 1}, structs.GatewayRef{ID: "g3", Incarnation: 1}
	d.step(PoolConfigured{Pool: testPool})
	d.version = 7
	record := Record{Pool: testPool, Epoch: 4, Owner: second, Previous: []structs.GatewayRef{first}}
	record.Roster = []structs.AgentRef{agentA, agentB, agentC}
	d.step(ObservedRecord{Record: record, Version: 7, Revision: 9})
	d.step(AgentLinked{Pool: testPool, Agent: agentA})
	d.step(Members{Live: []structs.GatewayRef{testSelf}, Revision: 8})
	d.pass(10*time.Second, true)
	_, _, owned := d.m.Mode(testPool, d.now)
	require.False(t, owned, "taken over with members from before the record")
	d.step(Members{Live: []structs.GatewayRef{testSelf}, Revision: 9})
	d.step(GatewayGone{Gateway: second.ID})
	d.pass(10*time.Second, true)
	require.Equal(t, dispatch.Recovering, d.mode())
	d.step(GatewayGone{Gateway: first.ID})
	d.pass(time.Second, true)
	require.Equal(t, dispatch.Attached, d.mode())
	require.True(t, d.adopted.Adopt.KeysMayBeMissing)
	require.False(t, d.adopted.Adopt.Complete)
}

// TestNewLeaseNeedsTheRecord guards against an owner that goes on under a new lease after another has taken over.
func TestNewLeaseNeedsTheRecord(t *testing.T) {
	d := newOwner(t)
	d.holdPuts = true
	d.step(LeaseExpired{})
	d.pass(time.Second, true)
	require.Equal(t, dispatch.Suspended, d.mode())
	other := Record{Pool: testPool, Epoch: 2, Owner: structs.GatewayRef{ID: "g2", Incarnation: 1}}
	d.step(ObservedRecord{Record: other, Version: d.version + 1, Revision: 50})
	_, _, owned := d.m.Mode(testPool, d.now)
	require.False(t, owned)
}
