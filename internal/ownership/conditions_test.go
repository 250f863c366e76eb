package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

const stepInterval = 50 * time.Millisecond

var (
	selfRef  = structs.GatewayRef{ID: "g2", Incarnation: 1}
	otherRef = structs.GatewayRef{ID: "g1", Incarnation: 1}
)

func agentRef(i int) structs.AgentRef {
	return structs.AgentRef{ID: structs.AgentID(fmt.Sprintf("a%d", i)), Incarnation: 1}
}

// manualDriver drives a machine. Record writes succeed at once unless holdPuts is set; the test itself answers fences.
type manualDriver struct {
	t        *testing.T
	m        *Machine
	now      time.Duration
	version  uint64
	holdPuts bool
	heldPuts []PutRecord
	eligible map[structs.AgentRef]bool
	adopted  []Adopted
}

func newManualDriver(t *testing.T) *manualDriver {
	d := &manualDriver{t: t, m: New(0, selfRef), eligible: map[structs.AgentRef]bool{}}
	d.step(PoolConfigured{Pool: testPool})
	d.step(LeaseRenewed{})
	return d
}

func (d *manualDriver) step(in Input) {
	for _, action := range d.m.Step(d.now, in) {
		switch action := action.(type) {
		case PutRecord:
			d.heldPuts = append(d.heldPuts, action)
		case Adopted:
			d.adopted = append(d.adopted, action)
		case EligibleChanged:
			d.eligible[action.Agent] = action.Eligible
		case ReadJournal:
			d.step(JournalRead{Pool: testPool, Epoch: action.Epoch})
		}
	}
	if !d.holdPuts && len(d.heldPuts) > 0 {
		d.releasePuts()
	}
}

// releasePuts lets the held writes succeed.
func (d *manualDriver) releasePuts() {
	for len(d.heldPuts) > 0 {
		put := d.heldPuts[0]
		d.heldPuts = d.heldPuts[1:]
		d.version = put.ExpectedVersion + 1
		d.step(PutResult{Record: put.Record, OK: true, Version: d.version})
	}
}

// advance lets time pass, with acknowledgements by the agents in acking and, if renew is set, with renewals of the
// lease.
func (d *manualDriver) advance(length time.Duration, renew bool, acking ...int) {
	for end := d.now + length; d.now < end; {
		d.now += stepInterval
		if renew {
			d.step(LeaseRenewed{SentAt: d.now})
		}
		d.ack(d.now, acking...)
		d.step(Tick{})
	}
}

func (d *manualDriver) ack(sentAt time.Duration, agents ...int) {
	epoch, _, _ := d.m.Mode(testPool, d.now)
	for _, i := range agents {
		d.step(AgentAck{Pool: testPool, Agent: agentRef(i), Epoch: epoch, SentAt: sentAt})
	}
}

func (d *manualDriver) promise(i int) {
	epoch, _, _ := d.m.Mode(testPool, d.now)
	d.step(FenceReplied{Agent: agentRef(i), Reply: structs.FenceReply{Pool: testPool, Epoch: epoch, Promised: epoch}})
}

func (d *manualDriver) linkAgents(agents ...int) {
	for _, i := range agents {
		d.step(AgentLinked{Pool: testPool, Agent: agentRef(i)})
	}
}

func (d *manualDriver) mode() dispatch.Mode {
	_, mode, ok := d.m.Mode(testPool, d.now)
	require.True(d.t, ok)
	return mode
}

// newManualAttachedOwner returns the driver of a machine that is the attached owner of a new pool with three agents,
// which have promised.
func newManualAttachedOwner(t *testing.T) *manualDriver {
	d := newManualDriver(t)
	d.step(Members{Live: []structs.GatewayRef{selfRef}, Revision: 1})
	d.linkAgents(0, 1, 2)
	d.advance(time.Second, true, 0, 1, 2)
	for i := range 3 {
		d.promise(i)
	}
	d.step(BacklogWritten{Pool: testPool})
	require.Equal(t, dispatch.Attached, d.mode())
	require.Len(t, d.eligible, 3)
	return d
}

// TestTakeoverConditions guards against a takeover while the owner has a lease, with the promises of a minority, or
// before the last acknowledgement that supports the old owner has expired.
func TestTakeoverConditions(t *testing.T) {
	d := newManualDriver(t)
	d.holdPuts = true
	d.step(Members{Live: []structs.GatewayRef{selfRef, otherRef}, Revision: 10})
	roster := []structs.AgentRef{agentRef(0), agentRef(1), agentRef(2)}
	record := Record{Pool: testPool, Epoch: 1, Owner: otherRef, Roster: roster}
	d.step(ObservedRecord{Record: record, Version: 5, Revision: 9})
	d.linkAgents(0, 1, 2)
	d.advance(time.Minute, true)
	require.Empty(t, d.heldPuts, "takeover from an owner with a lease")

	d.step(Members{Live: []structs.GatewayRef{selfRef}, Revision: 11})
	d.advance(time.Second, true)
	require.Len(t, d.heldPuts, 1)
	require.Equal(t, structs.Epoch(2), d.heldPuts[0].Record.Epoch)
	require.EqualValues(t, 5, d.heldPuts[0].ExpectedVersion)
	d.holdPuts = false
	d.releasePuts()
	d.promise(0)
	d.advance(time.Minute, true)
	require.Empty(t, d.adopted, "recovery ended with the promise of a minority")

	d.promise(1)
	d.advance(max(structs.AckLease, RosterWait)-stepInterval, true)
	require.Empty(t, d.adopted, "recovery ended before the acknowledgements of the old owner had expired")
	d.advance(stepInterval, true)
	require.Len(t, d.adopted, 1)
	require.False(t, d.adopted[0].Adopt.Complete)
	require.Equal(t, map[structs.AgentRef]bool{agentRef(0): true, agentRef(1): true}, d.eligible)
}

// TestDetachedConditions guards against a detached owner that relies on a minority, on acknowledgements that are too
// old or were sent before it announced itself as detached, or on a majority of a roster that a write may have replaced.
func TestDetachedConditions(t *testing.T) {
	for name, c := range map[string]struct {
		acking []int
		want   dispatch.Mode
	}{
		"minority": {[]int{0}, dispatch.Suspended},
		"majority": {[]int{0, 1}, dispatch.Detached},
	} {
		d := newManualAttachedOwner(t)
		d.advance(LeaseValidity-stepInterval, false, c.acking...)
		require.Equal(t, dispatch.Attached, d.mode(), name)
		d.advance(stepInterval, false, c.acking...)
		require.Equal(t, c.want, d.mode(), name)
		d.advance(structs.AckLease, false)
		require.Equal(t, dispatch.Suspended, d.mode(), name)
	}

	d := newManualAttachedOwner(t)
	d.now += DetachedAnnounceAge + 10*stepInterval
	d.step(Tick{})
	d.ack(d.now-stepInterval, 0, 1, 2)
	d.advance(LeaseValidity-DetachedAnnounceAge-10*stepInterval, false)
	require.Equal(t, dispatch.Suspended, d.mode(), "acknowledgements from before the announcement")

	d = newManualAttachedOwner(t)
	d.holdPuts = true
	d.linkAgents(3)
	d.advance(stepInterval, false)
	require.Len(t, d.heldPuts, 1)
	require.Len(t, d.heldPuts[0].Record.Roster, 4)
	d.advance(LeaseValidity, false, 0, 1)
	require.Equal(t, dispatch.Suspended, d.mode(), "majority of the old roster only")
	d.advance(stepInterval, false, 0, 1, 2)
	require.Equal(t, dispatch.Detached, d.mode())
}

// TestLeaseProtectsOnlyItsOwnRecord guards against an owner that relies on a new lease before it has written the record
// under it: another gateway may have taken over between the leases.
func TestLeaseProtectsOnlyItsOwnRecord(t *testing.T) {
	d := newManualAttachedOwner(t)
	d.holdPuts = true
	d.step(LeaseExpired{})
	d.advance(stepInterval, true)
	require.Equal(t, dispatch.Suspended, d.mode())
	require.Len(t, d.heldPuts, 1)
	d.releasePuts()
	require.Equal(t, dispatch.Attached, d.mode())
}

// TestDepartingAgentIsNotEligible guards against starts at an agent that a write in flight removes from the roster. The
// next owner would not ask this agent for its start records.
func TestDepartingAgentIsNotEligible(t *testing.T) {
	d := newManualAttachedOwner(t)
	d.holdPuts = true
	d.step(AgentLost{Pool: testPool, Agent: agentRef(2)})
	d.advance(stepInterval, true)
	require.Len(t, d.heldPuts, 1)
	d.linkAgents(2)
	require.False(t, d.eligible[agentRef(2)])
}

// TestKeysMayBeMissing guards against two faults after a takeover: an owner that refuses all unknown keys for 17
// minutes although the agent that left did so before any key was admitted without a journal entry, and an owner that
// admits a key which may have run.
func TestKeysMayBeMissing(t *testing.T) {
	for name, c := range map[string]struct {
		departed, missing, detached bool
		promising                   []int
		want                        bool
	}{
		"an agent left while attached":          {true, false, true, []int{0, 1, 2}, false},
		"an agent left with unjournaled keys":   {true, true, true, []int{0, 1, 2}, true},
		"no agent left":                         {false, true, true, []int{0, 1, 2}, false},
		"an agent is missing after detachment":  {false, false, true, []int{0, 1}, true},
		"an agent is missing, journal complete": {true, false, false, []int{0, 1}, false},
	} {
		d := newManualDriver(t)
		d.holdPuts = true
		d.step(Members{Live: []structs.GatewayRef{selfRef}, Revision: 10})
		roster := []structs.AgentRef{agentRef(0), agentRef(1), agentRef(2)}
		record := Record{Pool: testPool, Epoch: 1, Owner: otherRef, Roster: roster, Departed: c.departed, KeysMayBeMissing: c.missing}
		d.step(ObservedRecord{Record: record, Version: 5, Revision: 9})
		d.linkAgents(0, 1, 2)
		d.advance(time.Second, true)
		d.holdPuts = false
		d.releasePuts()
		epoch, _, _ := d.m.Mode(testPool, d.now)
		require.Equal(t, structs.Epoch(2), epoch, name)
		for _, i := range c.promising {
			d.step(FenceReplied{Agent: agentRef(i), Reply: structs.FenceReply{
				Pool: testPool, Epoch: epoch, Promised: epoch, Detached: c.detached,
			}})
		}
		d.advance(max(structs.AckLease, RosterWait), true)
		require.Len(t, d.adopted, 1, name)
		require.Equal(t, c.want, d.adopted[0].Adopt.KeysMayBeMissing, name)
	}
}
