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

// autoDriver drives a machine and answers all of its actions at once: writes succeed, and linked agents promise unless
// they are in unresponsive. holdPuts leaves record writes in flight.
type autoDriver struct {
	t            *testing.T
	m            *Machine
	now          time.Duration
	version      uint64
	holdPuts     bool
	unresponsive map[structs.AgentRef]bool
	eligible     map[structs.AgentRef]bool
	adopted      *Adopted
}

func newAutoDriver(t *testing.T) *autoDriver {
	return &autoDriver{
		t: t, m: New(0, testSelf), unresponsive: map[structs.AgentRef]bool{}, eligible: map[structs.AgentRef]bool{},
	}
}

func (d *autoDriver) step(in Input) {
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
			if !d.unresponsive[action.Agent] {
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

// advance lets time pass, with acknowledgements by the agents in acks and, if renew is set, with renewals of the lease.
func (d *autoDriver) advance(span time.Duration, renew bool, acks ...structs.AgentRef) {
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

func (d *autoDriver) mode() dispatch.Mode {
	_, mode, ok := d.m.Mode(testPool, d.now)
	require.True(d.t, ok)
	return mode
}

// newAutoAttachedOwner returns the driver of a machine that is the attached owner of a pool with three agents.
func newAutoAttachedOwner(t *testing.T) *autoDriver {
	d := newAutoDriver(t)
	d.step(PoolConfigured{Pool: testPool})
	d.step(Members{Live: []structs.GatewayRef{testSelf}, Revision: 1})
	d.step(LeaseRenewed{})
	for _, agent := range []structs.AgentRef{agentA, agentB, agentC} {
		d.step(AgentLinked{Pool: testPool, Agent: agent})
	}
	d.advance(time.Second, true)
	require.Equal(t, dispatch.Attached, d.mode())
	require.Equal(t, map[structs.AgentRef]bool{agentA: true, agentB: true, agentC: true}, d.eligible)
	return d
}

// TestDetachedLimit guards against a detached owner that still starts tasks when a takeover no longer needs a majority.
func TestDetachedLimit(t *testing.T) {
	d := newAutoAttachedOwner(t)
	contact := d.now
	d.advance(LeaseValidity, false, agentA, agentB)
	for d.now-contact < DetachedLimit {
		require.Equal(t, dispatch.Detached, d.mode())
		d.advance(time.Second, false, agentA, agentB)
	}
	require.Equal(t, dispatch.Suspended, d.mode())
}

// TestDetachedFlag guards against an owner that stops announcing itself as detached before its keys are in the journal:
// the agents would not report it to the next owner.
func TestDetachedFlag(t *testing.T) {
	d := newAutoAttachedOwner(t)
	require.False(t, d.m.DetachedFlag(testPool))
	d.advance(3*time.Second, false, agentA, agentB)
	require.Equal(t, dispatch.Detached, d.mode())
	d.step(BacklogWritten{Pool: testPool})
	d.advance(time.Second, true)
	require.Equal(t, dispatch.Attached, d.mode())
	require.True(t, d.m.DetachedFlag(testPool))
	d.step(BacklogWritten{Pool: testPool})
	require.False(t, d.m.DetachedFlag(testPool))
}

// TestUnknownStoredRoster guards against errors while a write of the roster is in flight: a detached owner and a
// takeover that count majorities of different rosters, and starts at an agent that the stored roster may not have.
func TestUnknownStoredRoster(t *testing.T) {
	d := newAutoAttachedOwner(t)
	d.holdPuts = true
	d.step(AgentLost{Pool: testPool, Agent: agentC})
	d.step(AgentLinked{Pool: testPool, Agent: agentC})
	d.advance(3*time.Second, false, agentA, agentC)
	require.False(t, d.eligible[agentC])
	require.Equal(t, dispatch.Suspended, d.mode())
	d.advance(time.Second, false, agentA, agentB)
	require.Equal(t, dispatch.Detached, d.mode())
}

// TestGatewayGone guards against a takeover without a majority after the statement that the last owner is gone,
// although an earlier owner may still be detached.
func TestGatewayGone(t *testing.T) {
	d := newAutoDriver(t)
	first, second := structs.GatewayRef{ID: "g2", Incarnation: 1}, structs.GatewayRef{ID: "g3", Incarnation: 1}
	d.step(PoolConfigured{Pool: testPool})
	d.version = 7
	record := Record{Pool: testPool, Epoch: 4, Owner: second, Previous: []structs.GatewayRef{first}}
	record.Roster = []structs.AgentRef{agentA, agentB, agentC}
	d.step(ObservedRecord{Record: record, Version: 7, Revision: 9})
	d.step(AgentLinked{Pool: testPool, Agent: agentA})
	d.step(Members{Live: []structs.GatewayRef{testSelf}, Revision: 8})
	d.advance(10*time.Second, true)
	_, _, owned := d.m.Mode(testPool, d.now)
	require.False(t, owned, "taken over with members from before the record")
	d.step(Members{Live: []structs.GatewayRef{testSelf}, Revision: 9})
	d.step(GatewayGone{Gateway: second.ID})
	d.advance(10*time.Second, true)
	require.Equal(t, dispatch.Recovering, d.mode())
	d.step(GatewayGone{Gateway: first.ID})
	d.advance(time.Second, true)
	require.Equal(t, dispatch.Attached, d.mode())
	require.True(t, d.adopted.Adopt.KeysMayBeMissing)
	require.False(t, d.adopted.Adopt.Complete)
}

// TestNewLeaseRequiresRecordWrite guards against an owner that continues under a new lease although another gateway
// took over between its leases.
func TestNewLeaseRequiresRecordWrite(t *testing.T) {
	d := newAutoAttachedOwner(t)
	d.holdPuts = true
	d.step(LeaseExpired{})
	d.advance(time.Second, true)
	require.Equal(t, dispatch.Suspended, d.mode())
	other := Record{Pool: testPool, Epoch: 2, Owner: structs.GatewayRef{ID: "g2", Incarnation: 1}}
	d.step(ObservedRecord{Record: other, Version: d.version + 1, Revision: 50})
	_, _, owned := d.m.Mode(testPool, d.now)
	require.False(t, owned)
}
