// Package ownership decides which pools a gateway owns, under which epoch and in which mode. It prevents two gateways
// from starting tasks of one pool at the same time, also while the store, gateways and agents fail.
//
// A record in the store names the owner of each pool, and each gateway keeps a lease in the store. When the owner's
// lease has ended, another gateway takes over: it writes the record with the next epoch, asks the agents of the
// record's roster to promise that epoch (a fence), and ends its recovery when enough of them have promised and the
// journal is read. An owner without contact with the store may continue (mode detached) while a majority of the roster
// acknowledges its heartbeats.
//
// The package is a deterministic state machine: Step takes an input and a monotonic time and returns the actions that
// the I/O layer of the gateway must perform. One Machine decides for all pools of a gateway.
package ownership

import (
	"time"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

// Times of leases, takeovers and records.
const (
	// LeaseTTL is the time to live of the gateway lease in the store.
	LeaseTTL = 2500 * time.Millisecond
	// LeaseRenewal is the interval between renewals of the lease.
	LeaseRenewal = 500 * time.Millisecond
	// LeaseValidity is how long the gateway relies on a renewal, counted from when it sent the renewal.
	LeaseValidity = 2 * time.Second
	// RosterWait is how long a takeover waits for the remaining agents of the roster after a majority has promised.
	RosterWait = 2 * time.Second
	// DetachedLimit is how long after the last contact with the store an owner may be detached.
	DetachedLimit = 15 * time.Minute
	// TakeoverWithoutMajority is how long the new owner must have seen the old owner without a lease before a takeover
	// ends its recovery without a majority. By then the old owner has passed DetachedLimit.
	TakeoverWithoutMajority = DetachedLimit + LeaseValidity
	// FenceInterval is the interval at which a fence is repeated until the agent answers.
	FenceInterval = 200 * time.Millisecond
	// TakeoverStagger is how long a gateway delays its takeover of a pool for each live gateway that is preferred to
	// it.
	TakeoverStagger = 500 * time.Millisecond
	// WriteRetry is the time between attempts to write a pool record.
	WriteRetry = 500 * time.Millisecond
	// DetachedAnnounceAge is the age of the last renewal from which on the owner announces itself as detached in its
	// heartbeats. It is shorter than LeaseValidity, so that a majority of the agents knows this before the owner starts
	// tasks that are not journaled.
	DetachedAnnounceAge = time.Second
	// RecordRetention is longer than start records and journal entries of any job admitted earlier can last. It is the
	// sum of the retention period (10 min), the longest deadline (5 min), a journal segment (1 min) and a margin.
	RecordRetention = 17 * time.Minute
)

// Record is the pool record in the store, encoded as JSON at the key pools/<service>/<index>.
type Record struct {
	Pool  structs.PoolID     `json:"pool"`
	Epoch structs.Epoch      `json:"epoch"`
	Owner structs.GatewayRef `json:"owner"`
	// Roster lists the agents of the pool. Tasks start only at these agents, and a takeover asks them for promises.
	Roster []structs.AgentRef `json:"roster"`
	// Handover is true if the old owner has handed the pool over, so that the new owner has its snapshot.
	Handover bool `json:"handover,omitempty"`
	// Previous lists the owners before this one, back to the last one that ended its recovery. Each of them may still
	// be detached.
	Previous []structs.GatewayRef `json:"previous,omitempty"`
	// Departed is true if an agent left the roster less than RecordRetention ago. Its start records are missing then,
	// so that what a takeover collects is incomplete even if the whole roster answers.
	Departed bool `json:"departed,omitempty"`
	// KeysMayBeMissing is true if keys may have been admitted without a journal entry less than RecordRetention ago,
	// and the agents that know of the detached owner may have left the roster.
	KeysMayBeMissing bool `json:"doubt,omitempty"`
	// Write is unique for each write. If the answer to a write is lost, a read of the record shows whether it took
	// effect.
	Write string `json:"write"`
}

// Input is an event that the I/O layer reports to the machine.
type Input interface{ input() }

// Tick makes the machine act on the time that has passed. The I/O layer sends it at least every 50 ms.
type Tick struct{}

// LeaseRenewed reports a successful renewal that was sent at SentAt. For a new lease the I/O layer reports it only
// after the key members/<gateway> is written under the lease, and SentAt is when the grant was sent.
type LeaseRenewed struct{ SentAt time.Duration }

// LeaseExpired reports that the lease has ended in the store, so that another gateway may own the pools by now. The I/O
// layer then asks for a new lease.
type LeaseExpired struct{}

// Members reports the gateways that have a lease at the store's revision Revision. A takeover relies on it only if
// Revision is at least that of the record, so that a stale read cannot hide the lease of the owner.
type Members struct {
	Live     []structs.GatewayRef
	Revision uint64
}

// ObservedRecord reports a pool record as read from the store, with its version and the store's revision of its write.
type ObservedRecord struct {
	Record   Record
	Version  uint64
	Revision uint64
}

// PoolConfigured reports a pool of a service that the configuration has.
type PoolConfigured struct{ Pool structs.PoolID }

// PutResult answers PutRecord. After a lost answer or a conflict the I/O layer first reads the record back. OK is true
// if the write took effect, which means that the stored Record.Write is that of the write; Version is then the record's
// version. If OK is false, Record and Version are what was read, and Version is 0 if the key does not exist or could
// not be read. Record.Pool is always set.
type PutResult struct {
	Record  Record
	OK      bool
	Version uint64
}

// AgentLinked reports that an incarnation of an agent is linked to this gateway.
type AgentLinked struct {
	Pool  structs.PoolID
	Agent structs.AgentRef
}

// AgentLost reports that an agent has sent nothing for structs.LostAfter or was replaced by a new incarnation.
type AgentLost struct {
	Pool  structs.PoolID
	Agent structs.AgentRef
}

// AgentAck reports that an agent has acknowledged the heartbeat that this gateway sent at SentAt with Epoch.
type AgentAck struct {
	Pool   structs.PoolID
	Agent  structs.AgentRef
	Epoch  structs.Epoch
	SentAt time.Duration
}

// FenceReplied reports an agent's answer to a fence.
type FenceReplied struct {
	Agent structs.AgentRef
	Reply structs.FenceReply
}

// JournalRead answers ReadJournal with the journal entries of the pool, read after the epoch was acquired.
type JournalRead struct {
	Pool    structs.PoolID
	Epoch   structs.Epoch
	Entries []dispatch.JournalEntry
	// RecentNonRepeatable is passed on in dispatch.Adopt.
	RecentNonRepeatable []structs.KeyHash
}

// BacklogWritten reports that every key admitted while detached is now in the journal. The I/O layer reports it after
// each ModeChanged to dispatch.Attached as soon as the journal has confirmed all keys, which may be immediately. It
// must not pass any other input of the pool between its check of the journal and this input.
type BacklogWritten struct{ Pool structs.PoolID }

// GatewayGone reports an operator's statement that a gateway will never run again. If the gateway has restarted since,
// the statement applies to its earlier incarnations.
type GatewayGone struct{ Gateway structs.GatewayID }

// Release starts the handover of a pool to a successor that has accepted the snapshot.
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

// Action tells the I/O layer what to do or what has changed.
type Action interface{ action() }

// PutRecord writes a pool record if the stored version is ExpectedVersion. At most one write per pool is in flight.
type PutRecord struct {
	Record          Record
	ExpectedVersion uint64
}

// SendFence sends a fence to an agent, which asks it to promise the epoch. The machine repeats the action every
// FenceInterval until the agent answers.
type SendFence struct {
	Agent structs.AgentRef
	Fence structs.Fence
}

// ReadJournal reads the journal of the pool, of all epochs. The I/O layer answers with JournalRead.
type ReadJournal struct {
	Pool  structs.PoolID
	Epoch structs.Epoch
}

// Acquired reports that the gateway owns the pool under the epoch and that its recovery begins.
type Acquired struct {
	Pool  structs.PoolID
	Epoch structs.Epoch
	// Handover is true if the previous owner has handed over its snapshot.
	Handover bool
}

// Adopted ends the recovery. The I/O layer passes Adopt to the pool, or dispatch.Restore after a handover.
type Adopted struct {
	Pool  structs.PoolID
	Epoch structs.Epoch
	Adopt dispatch.Adopt
}

// ModeChanged reports a new mode of the pool. The mode decides whether tasks may start.
type ModeChanged struct {
	Pool  structs.PoolID
	Epoch structs.Epoch
	Mode  dispatch.Mode
}

// EligibleChanged reports whether an agent may get tasks under this epoch: it is linked, in the stored roster, and has
// promised the epoch.
type EligibleChanged struct {
	Pool     structs.PoolID
	Agent    structs.AgentRef
	Eligible bool
}

// PoolLost reports that the gateway no longer owns the pool. The I/O layer answers the pool's waiting requests with
// structs.CodeOwnerLost, so that entry gateways forward them to the new owner.
type PoolLost struct {
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
func (PoolLost) action()        {}

// Methods of Machine, implemented in machine.go:
//
//	New(now time.Duration, self structs.GatewayRef) *Machine
//	(m *Machine) Step(now time.Duration, in Input) []Action
//	(m *Machine) Mode(pool structs.PoolID, now time.Duration) (structs.Epoch, dispatch.Mode, bool)
//	(m *Machine) Owner(pool structs.PoolID) (structs.GatewayRef, structs.Epoch, bool)
//	(m *Machine) DetachedFlag(pool structs.PoolID) bool
//	(m *Machine) HasMajority(pool structs.PoolID, now time.Duration) bool
