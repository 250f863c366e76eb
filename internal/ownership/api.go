// Package ownership decides which pools a gateway owns, under which epoch and in which mode. It keeps two gateways
// from starting tasks of one pool at the same time while the store, gateways and agents fail.
//
// The package is a deterministic state machine: Step takes an input and a monotonic time and returns actions. One
// Machine serves all pools of a gateway.
package ownership

import (
	"time"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

// Timing of the store lease.
const (
	// LeaseTTL is the time to live of the gateway lease in the store.
	LeaseTTL = 2500 * time.Millisecond
	// LeaseRenewal is the interval of its renewals.
	LeaseRenewal = 500 * time.Millisecond
	// LeaseValidity is how long the gateway relies on a renewal, counted from its sending.
	LeaseValidity = 2 * time.Second
	// RosterWait is how long a takeover waits for the rest of the roster after the majority.
	RosterWait = 2 * time.Second
	// DetachedLimit ends detached operation after the last contact with the store.
	DetachedLimit = 15 * time.Minute
	// TakeoverWithoutMajority is how long the old owner's lease must have been gone, as watched by the new owner,
	// before a takeover goes on without a majority.
	TakeoverWithoutMajority = DetachedLimit + LeaseValidity
	// FenceInterval is the interval of repeated fences.
	FenceInterval = 200 * time.Millisecond
	// TakeoverStagger is the time between the attempts of gateways of neighbouring preference.
	TakeoverStagger = 500 * time.Millisecond
	// WriteRetry is the time between attempts to write a pool record.
	WriteRetry = 500 * time.Millisecond
	// DetachedAnnounceAge is the age of the last renewal from which on heartbeats announce a detached owner. It lies
	// below LeaseValid so that a majority knows before the owner starts tasks without the journal.
	DetachedAnnounceAge = time.Second
	// RecordRetention outlasts the start records and journal entries of every job admitted before: the retention
	// period (10 min), the longest deadline (5 min), a journal segment (1 min) and a margin.
	RecordRetention = 17 * time.Minute
)

// Record is the pool record in the store, encoded as JSON at the key pools/<service>/<index>.
type Record struct {
	Pool   structs.PoolID     `json:"pool"`
	Epoch  structs.Epoch      `json:"epoch"`
	Owner  structs.GatewayRef `json:"owner"`
	Roster []structs.AgentRef `json:"roster"`
	// Handover is set by a planned handover: the new owner has the old one's snapshot.
	Handover bool `json:"handover,omitempty"`
	// Previous lists the owners since the last one that ended its recovery. Each of them may still be detached.
	Previous []structs.GatewayRef `json:"previous,omitempty"`
	// Departed is set if an agent left the roster, and took its start records along, less than RecordRetention
	// ago. A takeover is then incomplete, even if the whole roster answers.
	Departed bool `json:"departed,omitempty"`
	// KeysMayBeMissing is set if keys may have been admitted without a journal entry less than RecordRetention ago, and the
	// agents that knew of the detached owner may have left the roster.
	KeysMayBeMissing bool `json:"doubt,omitempty"`
	// Write is unique for every write, so that reading back after a lost answer tells if this write took effect.
	Write string `json:"write"`
}

// Input is an event for the machine.
type Input interface{ input() }

// Tick lets time pass, at least every 50 ms.
type Tick struct{}

// LeaseRenewed reports a successful renewal that was sent at SentAt. For a new lease the shell reports it only after
// the key members/<gateway> is written under the lease, with the time at which the grant was sent.
type LeaseRenewed struct{ SentAt time.Duration }

// LeaseExpired reports that the store no longer knows the lease: another gateway may own the pools by now. The shell
// then asks for a new lease.
type LeaseExpired struct{}

// Members reports the gateways with a live lease in the store, as of the store's revision Revision. A takeover relies
// on it only if Revision is not below that of the record, so that a stale read cannot hide the lease of an owner.
type Members struct {
	Live     []structs.GatewayRef
	Revision uint64
}

// ObservedRecord reports a pool record read from the store with its version and the store's revision of the write.
type ObservedRecord struct {
	Record   Record
	Version  uint64
	Revision uint64
}

// PoolConfigured reports a pool of a service of the configuration.
type PoolConfigured struct{ Pool structs.PoolID }

// PutResult answers PutRecord. With a lost answer or a conflict the shell reads the record back before it reports: OK
// if the stored Write is that of the record, whose version it then reports. If
// OK is false, Record and Version are what it read, or Version is 0 if the key does not exist or could not be read.
// Record.Pool is always set.
type PutResult struct {
	Record  Record
	OK      bool
	Version uint64
}

// AgentLinked reports an agent incarnation linked to this gateway.
type AgentLinked struct {
	Pool  structs.PoolID
	Agent structs.AgentRef
}

// AgentLost reports an agent silent for LostAfter or replaced by a new incarnation.
type AgentLost struct {
	Pool  structs.PoolID
	Agent structs.AgentRef
}

// AgentAck reports the acknowledgement of a heartbeat that was sent with Epoch at SentAt.
type AgentAck struct {
	Pool   structs.PoolID
	Agent  structs.AgentRef
	Epoch  structs.Epoch
	SentAt time.Duration
}

// FenceReplied reports the answer of an agent to a fence.
type FenceReplied struct {
	Agent structs.AgentRef
	Reply structs.FenceReply
}

// JournalRead reports the journal entries of a pool, read after the acquisition of the epoch.
type JournalRead struct {
	Pool    structs.PoolID
	Epoch   structs.Epoch
	Entries []dispatch.JournalEntry
	// RecentNonRepeatable is handed on to dispatch.Adopt.
	RecentNonRepeatable []structs.KeyHash
}

// BacklogWritten reports that every key admitted while detached is now in the journal. The shell reports it after
// each ModeChanged to Attached as soon as the journal has nothing unconfirmed, at once if there was nothing to write.
// Between that check of the journal and this Step no other step of the pool may lie.
type BacklogWritten struct{ Pool structs.PoolID }

// GatewayGone is an operator's statement that a gateway will never run again. If the gateway has restarted since, the
// statement is about its earlier incarnations.
type GatewayGone struct{ Gateway structs.GatewayID }

// Release starts a planned handover of a pool to a successor that has accepted the snapshot.
type Release struct {
	Pool      structs.PoolID
	Successor structs.GatewayRef
}

func (Tick) input()           {}
func (LeaseRenewed) input()   {}
func (LeaseExpired) input()   {}
func (Members) input()        {}
func (ObservedRecord) input() {}
func (PoolConfigured) input() {}
func (PutResult) input()      {}
func (AgentLinked) input()    {}
func (AgentLost) input()      {}
func (AgentAck) input()       {}
func (FenceReplied) input()   {}
func (JournalRead) input()    {}
func (BacklogWritten) input() {}
func (GatewayGone) input()    {}
func (Release) input()        {}

// Action is an order to the shell.
type Action interface{ action() }

// PutRecord writes a pool record if its version is Expect. Acquisitions, roster changes and handovers use it; at
// most one write per pool is in flight.
type PutRecord struct {
	Record          Record
	ExpectedVersion uint64
}

// SendFence asks an agent to promise the epoch. The machine repeats it every 200 ms until the answer.
type SendFence struct {
	Agent structs.AgentRef
	Fence structs.Fence
}

// ReadJournal asks for the journal of all epochs of the pool.
type ReadJournal struct {
	Pool  structs.PoolID
	Epoch structs.Epoch
}

// Acquired reports that the gateway owns the pool under the epoch and that recovery begins.
type Acquired struct {
	Pool  structs.PoolID
	Epoch structs.Epoch
	// Handover is true if the previous owner handed its snapshot over.
	Handover bool
}

// Adopted ends the recovery: the shell passes Adopt (or, after a handover, Restore) to the pool.
type Adopted struct {
	Pool  structs.PoolID
	Epoch structs.Epoch
	Adopt dispatch.Adopt
}

// ModeChanged reports the right to start tasks.
type ModeChanged struct {
	Pool  structs.PoolID
	Epoch structs.Epoch
	Mode  dispatch.Mode
}

// EligibleChanged reports whether an agent is in the stored roster and has promised the epoch.
type EligibleChanged struct {
	Pool     structs.PoolID
	Agent    structs.AgentRef
	Eligible bool
}

// OwnershipLost reports that the gateway does not own the pool any more. The shell answers the pool's waiters with
// CodeOwnerLost, so that entry gateways forward to the new owner.
type OwnershipLost struct {
	Pool  structs.PoolID
	Epoch structs.Epoch
}

func (PutRecord) action()       {}
func (SendFence) action()       {}
func (ReadJournal) action()     {}
func (Acquired) action()        {}
func (Adopted) action()         {}
func (ModeChanged) action()     {}
func (EligibleChanged) action() {}
func (OwnershipLost) action()   {}

// Methods of Machine, implemented in machine.go:
//
//	New(now time.Duration, self structs.GatewayRef) *Machine
//	(m *Machine) Step(now time.Duration, in Input) []Action
//	(m *Machine) Mode(pool structs.PoolID, now time.Duration) (structs.Epoch, dispatch.Mode, bool)
//	(m *Machine) Owner(pool structs.PoolID) (structs.GatewayRef, structs.Epoch, bool)
//	(m *Machine) DetachedFlag(pool structs.PoolID) bool   // the flag for GatewayHeartbeat
//	(m *Machine) HasMajority(pool structs.PoolID, now time.Duration) bool
