package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

const step = 50 * time.Millisecond

var (
	selfRef  = structs.GatewayRef{ID: "g2", Incarnation: 1}
	otherRef = structs.GatewayRef{ID: "g1", Incarnation: 1}
)

func agentRef(i int) structs.AgentRef {
	return structs.AgentRef{ID: structs.AgentID(fmt.Sprintf("a%d", i)), Incarnation: 1}
}

// single drives one machine, whose store writes succeed at once unless held.
type single struct {
	t        *testing.T
	m        *Machine
	now      time.Duration
	version  uint64
	holds    bool
	held     []PutRecord
	eligible map[structs.AgentRef]bool
	adopted  []Adopted
}

func newSingle(t *testing.T) *single {
	s := &single{t: t, m: New(0, selfRef), eligible: map[structs.AgentRef]bool{}}
	s.do(PoolConfigured{Pool: testPool})
	s.do(LeaseRenewed{})
	return s
}

func (s *single) do(in Input) {
	for _, action := range s.m.Step(s.now, in) {
		switch action := action.(type) {
		case PutRecord:
			s.held = append(s.held, action)
		case Adopted:
			s.adopted = append(s.adopted, action)
		case EligibleChanged:
			s.eligible[action.Agent] = action.Eligible
		case ReadJournal:
			s.do(JournalRead{Pool: testPool, Epoch: action.Epoch})
		}
	}
	if !s.holds && len(s.held) > 0 {
		s.release()
	}
}

// release lets the writes that are held succeed.
func (s *single) release() {
	for len(s.held) > 0 {
		put := s.held[0]
		s.held = s.held[1:]
		s.version = put.ExpectedVersion + 1
		s.do(PutResult{Record: put.Record, OK: true, Version: s.version})
	}
}

// sleep lets time pass, with renewals of the lease if the store answers, and with acknowledgements of the agents.
func (s *single) sleep(length time.Duration, renews bool, acking ...int) {
	for end := s.now + length; s.now < end; {
		s.now += step
		if renews {
			s.do(LeaseRenewed{SentAt: s.now})
		}
		s.ack(s.now, acking...)
		s.do(Tick{})
	}
}

func (s *single) ack(sentAt time.Duration, agents ...int) {
	epoch, _, _ := s.m.Mode(testPool, s.now)
	for _, i := range agents {
		s.do(AgentAck{Pool: testPool, Agent: agentRef(i), Epoch: epoch, SentAt: sentAt})
	}
}

func (s *single) promise(i int) {
	epoch, _, _ := s.m.Mode(testPool, s.now)
	s.do(FenceReplied{Agent: agentRef(i), Reply: structs.FenceReply{Pool: testPool, Epoch: epoch, Promised: epoch}})
}

func (s *single) join(agents ...int) {
	for _, i := range agents {
		s.do(AgentLinked{Pool: testPool, Agent: agentRef(i)})
	}
}

func (s *single) mode() dispatch.Mode {
	_, mode, ok := s.m.Mode(testPool, s.now)
	require.True(s.t, ok)
	return mode
}

// attachedOwner returns an attached owner of a new pool with three agents that have promised.
func attachedOwner(t *testing.T) *single {
	s := newSingle(t)
	s.do(Members{Live: []structs.GatewayRef{selfRef}, Revision: 1})
	s.join(0, 1, 2)
	s.sleep(time.Second, true, 0, 1, 2)
	for i := range 3 {
		s.promise(i)
	}
	s.do(BacklogWritten{Pool: testPool})
	require.Equal(t, dispatch.Attached, s.mode())
	require.Len(t, s.eligible, 3)
	return s
}

// TestTakeoverConditions guards against a takeover while the owner's lease lives, with the promises of a minority, and
// before every acknowledgement of the old owner has run out.
func TestTakeoverConditions(t *testing.T) {
	s := newSingle(t)
	s.holds = true
	s.do(Members{Live: []structs.GatewayRef{selfRef, otherRef}, Revision: 10})
	roster := []structs.AgentRef{agentRef(0), agentRef(1), agentRef(2)}
	record := Record{Pool: testPool, Epoch: 1, Owner: otherRef, Roster: roster}
	s.do(ObservedRecord{Record: record, Version: 5, Revision: 9})
	s.join(0, 1, 2)
	s.sleep(time.Minute, true)
	require.Empty(t, s.held, "takeover from an owner with a lease")

	s.do(Members{Live: []structs.GatewayRef{selfRef}, Revision: 11})
	s.sleep(time.Second, true)
	require.Len(t, s.held, 1)
	require.Equal(t, structs.Epoch(2), s.held[0].Record.Epoch)
	require.EqualValues(t, 5, s.held[0].ExpectedVersion)
	s.holds = false
	s.release()
	s.promise(0)
	s.sleep(time.Minute, true)
	require.Empty(t, s.adopted, "recovery ended with the promise of a minority")

	s.promise(1)
	s.sleep(max(structs.AckLease, RosterWait)-step, true)
	require.Empty(t, s.adopted, "recovery ended before the acknowledgements of the old owner had run out")
	s.sleep(step, true)
	require.Len(t, s.adopted, 1)
	require.False(t, s.adopted[0].Adopt.Complete)
	require.Equal(t, map[structs.AgentRef]bool{agentRef(0): true, agentRef(1): true}, s.eligible)
}

// TestDetachedConditions guards against starts without the store on the word of a minority, on acknowledgements that
// are too old or that do not know the owner as detached, and on a majority of a roster that a write may have replaced.
func TestDetachedConditions(t *testing.T) {
	for name, c := range map[string]struct {
		acking []int
		want   dispatch.Mode
	}{
		"minority": {[]int{0}, dispatch.Suspended},
		"majority": {[]int{0, 1}, dispatch.Detached},
	} {
		s := attachedOwner(t)
		s.sleep(LeaseValidity-step, false, c.acking...)
		require.Equal(t, dispatch.Attached, s.mode(), name)
		s.sleep(step, false, c.acking...)
		require.Equal(t, c.want, s.mode(), name)
		s.sleep(structs.AckLease, false)
		require.Equal(t, dispatch.Suspended, s.mode(), name)
	}

	s := attachedOwner(t)
	s.now += DetachedAnnounceAge + 10*step
	s.do(Tick{})
	s.ack(s.now-step, 0, 1, 2)
	s.sleep(LeaseValidity-DetachedAnnounceAge-10*step, false)
	require.Equal(t, dispatch.Suspended, s.mode(), "acknowledgements from before the announcement")

	s = attachedOwner(t)
	s.holds = true
	s.join(3)
	s.sleep(step, false)
	require.Len(t, s.held, 1)
	require.Len(t, s.held[0].Record.Roster, 4)
	s.sleep(LeaseValidity, false, 0, 1)
	require.Equal(t, dispatch.Suspended, s.mode(), "majority of the old roster only")
	s.sleep(step, false, 0, 1, 2)
	require.Equal(t, dispatch.Detached, s.mode())
}

// TestLeaseProtectsOnlyItsOwnRecord guards against an owner that relies on a new lease although another gateway may
// have taken over between its leases.
func TestLeaseProtectsOnlyItsOwnRecord(t *testing.T) {
	s := attachedOwner(t)
	s.holds = true
	s.do(LeaseExpired{})
	s.sleep(step, true)
	require.Equal(t, dispatch.Suspended, s.mode())
	require.Len(t, s.held, 1)
	s.release()
	require.Equal(t, dispatch.Attached, s.mode())
}

// TestDepartingAgentGetsNothing guards against starts at an agent that a write in flight takes out of the roster: the
// next owner would not ask it.
func TestDepartingAgentGetsNothing(t *testing.T) {
	s := attachedOwner(t)
	s.holds = true
	s.do(AgentLost{Pool: testPool, Agent: agentRef(2)})
	s.sleep(step, true)
	require.Len(t, s.held, 1)
	s.join(2)
	require.False(t, s.eligible[agentRef(2)])
}

// TestDoubtOnlyWhereKeysMayBeMissing guards against an owner that refuses all unknown keys for 17 minutes because an agent
// had left before any key was admitted without a journal entry, and against one that admits keys that may have run.
func TestDoubtOnlyWhereKeysMayBeMissing(t *testing.T) {
	for name, c := range map[string]struct {
		departed, doubt, detached bool
		promising                 []int
		want                      bool
	}{
		"an agent left while attached":          {true, false, true, []int{0, 1, 2}, false},
		"an agent left with unjournaled keys":   {true, true, true, []int{0, 1, 2}, true},
		"no agent left":                         {false, true, true, []int{0, 1, 2}, false},
		"an agent is missing after detachment":  {false, false, true, []int{0, 1}, true},
		"an agent is missing, journal complete": {true, false, false, []int{0, 1}, false},
	} {
		s := newSingle(t)
		s.holds = true
		s.do(Members{Live: []structs.GatewayRef{selfRef}, Revision: 10})
		roster := []structs.AgentRef{agentRef(0), agentRef(1), agentRef(2)}
		record := Record{Pool: testPool, Epoch: 1, Owner: otherRef, Roster: roster, Departed: c.departed, KeysMayBeMissing: c.doubt}
		s.do(ObservedRecord{Record: record, Version: 5, Revision: 9})
		s.join(0, 1, 2)
		s.sleep(time.Second, true)
		s.holds = false
		s.release()
		epoch, _, _ := s.m.Mode(testPool, s.now)
		require.Equal(t, structs.Epoch(2), epoch, name)
		for _, i := range c.promising {
			s.do(FenceReplied{Agent: agentRef(i), Reply: structs.FenceReply{
				Pool: testPool, Epoch: epoch, Promised: epoch, Detached: c.detached,
			}})
		}
		s.sleep(max(structs.AckLease, RosterWait), true)
		require.Len(t, s.adopted, 1, name)
		require.Equal(t, c.want, s.adopted[0].Adopt.KeysMayBeMissing, name)
	}
}
