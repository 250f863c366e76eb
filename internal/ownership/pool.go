package ownership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

// agent is the state of one agent incarnation in a pool.
type agent struct {
	linked bool
	// lostSince is when the agent was last linked, or when this gateway became the owner and began to wait for it.
	lostSince time.Duration
	// ackSentAt is when the last heartbeat that the agent has acknowledged was sent, with any epoch. epochAckSentAt is
	// the same for heartbeats with the epoch of the owned pool.
	hasAck         bool
	ackSentAt      time.Duration
	hasEpochAck    bool
	epochAckSentAt time.Duration
	// promise is the agent's answer to a fence, by which it promised the epoch of the owned pool.
	promise     *structs.FenceReply
	fenceSent   bool
	fenceSentAt time.Duration
	eligible    bool
}

// write is the write of a pool record.
type write struct {
	record          Record
	expectedVersion uint64
	// lease is Machine.leaseNumber when the write was sent.
	lease uint64
}

// pool is the state of one pool. The fields from epoch on are valid only while the pool is owned.
type pool struct {
	id structs.PoolID
	// configured is true if the configuration has the pool's service.
	configured   bool
	configuredAt time.Duration
	// record is the newest record known, and version its version, 0 if no record is known. revision is the store's
	// revision of its write, 0 if unknown.
	record   Record
	version  uint64
	revision uint64
	// writeInFlight is the write whose result is not known yet, nil if there is none. unresolvedWrites holds earlier
	// writes that had not taken effect when the record was read back, but still may until the version changes.
	writeInFlight    *write
	unresolvedWrites []write
	retryAt          time.Duration
	// ownerLeaseEndedAt is when this gateway first saw that the owner's lease had ended.
	ownerLeaseEnded   bool
	ownerLeaseEndedAt time.Duration
	agents            map[structs.AgentRef]*agent

	owned      bool
	epoch      structs.Epoch
	acquiredAt time.Duration
	// waiveFrom is when TakeoverWithoutMajority begins: when this gateway saw that the old owner's lease had ended or,
	// if it did not see that, when it became the owner.
	waiveFrom time.Duration
	// confirmedLease is the number of the lease during which this gateway last wrote the record, 0 if there is none.
	confirmedLease uint64
	// lastStoreContact is when the last successful renewal of a lease was sent during which the record was written.
	lastStoreContact time.Duration
	hasStoreContact  bool
	journal          *JournalRead
	adopted          bool
	// majoritySince is the time since which a majority of the roster has promised.
	hasMajority   bool
	majoritySince time.Duration
	// detachedFlag is the flag that heartbeats announce, see updateDetachedFlag. detachedFlagSince is when it was set.
	// hasBacklog is true from when the mode may have been detached until all admitted keys are in the journal.
	detachedFlag      bool
	detachedFlagSince time.Duration
	hasBacklog        bool
	// successor is set during a handover.
	successor *structs.GatewayRef
	// departedUntil is when Record.Departed may be cleared.
	departedUntil time.Duration
	// keysMayBeMissingUntil is how long Record.KeysMayBeMissing stays set because of this takeover. Until
	// unjournaledUntil, start records may be the only trace of keys that a detached owner admitted, so that an agent
	// that leaves the roster sets KeysMayBeMissing.
	keysMayBeMissingUntil time.Duration
	unjournaledUntil      time.Duration
	reportedMode          dispatch.Mode
	modeReported          bool
	scans                 scanState
}

func newPool(id structs.PoolID) *pool {
	p := &pool{id: id, record: Record{Pool: id}, agents: map[structs.AgentRef]*agent{}}
	p.invalidate()
	return p
}

func (p *pool) configure(now time.Duration) {
	if !p.configured {
		p.configured = true
		p.configuredAt = now
	}
}

func (p *pool) agent(ref structs.AgentRef) *agent {
	a := p.agents[ref]
	if a == nil {
		a = &agent{}
		p.agents[ref] = a
	}
	return a
}

// prune removes agents that are neither linked nor in a roster that the store may hold.
func (p *pool) prune() {
	for ref, a := range p.agents {
		named := func(w write) bool { return contains(w.record.Roster, ref) }
		if !a.linked && !a.eligible && !contains(p.record.Roster, ref) && !slices.ContainsFunc(p.possibleWrites(), named) {
			delete(p.agents, ref)
		}
	}
}

// link records that an agent is linked.
func (p *pool) link(ref structs.AgentRef) {
	p.agent(ref).linked = true
	p.invalidate()
}

// unlink records that an agent is lost, whose last message arrived at since.
func (p *pool) unlink(ref structs.AgentRef, since time.Duration) {
	a := p.agents[ref]
	if a == nil {
		return
	}
	a.linked = false
	a.lostSince = since
	p.invalidate()
}

// acknowledge records when the heartbeat was sent that an agent has acknowledged.
func (p *pool) acknowledge(in AgentAck) {
	a := p.agent(in.Agent)
	if !a.hasAck || in.SentAt > a.ackSentAt {
		a.hasAck = true
		a.ackSentAt = in.SentAt
	}
	if p.owned && in.Epoch == p.epoch && (!a.hasEpochAck || in.SentAt > a.epochAckSentAt) {
		a.hasEpochAck = true
		a.epochAckSentAt = in.SentAt
	}
}

// applyFenceReply records a promise. A refusal, or a reply for an epoch other than that of the owned pool, is ignored.
func (p *pool) applyFenceReply(in FenceReplied) {
	if !p.owned || in.Reply.Refused || in.Reply.Epoch != p.epoch {
		return
	}
	a := p.agent(in.Agent)
	if a.promise == nil {
		a.promise = &in.Reply
		p.invalidate()
	}
}

// quorum returns the size of the smallest majority of n agents. An empty roster never has a majority.
func quorum(n int) int { return n/2 + 1 }

// majority reports whether the predicate holds for a majority of the roster.
func (p *pool) majority(roster []structs.AgentRef, predicate func(*agent) bool) bool {
	count := 0
	for _, ref := range roster {
		if a := p.agents[ref]; a != nil && predicate(a) {
			count++
		}
	}
	return count >= quorum(len(roster))
}

// canRunDetached reports whether the owner may start tasks without contact to the store. For that, a majority must have
// acknowledged, within structs.AckLease, a heartbeat that announced the owner as detached. There must be such a
// majority in every roster that the store may hold by now.
func (p *pool) canRunDetached(now time.Duration) bool {
	if !p.detachedFlag || !p.hasStoreContact || now-p.lastStoreContact >= DetachedLimit {
		return false
	}
	supports := func(a *agent) bool {
		return a.hasEpochAck && a.epochAckSentAt > p.detachedFlagSince && now-a.epochAckSentAt < structs.AckLease
	}
	if !p.majority(p.record.Roster, supports) {
		return false
	}
	for _, w := range p.possibleWrites() {
		if !p.majority(w.record.Roster, supports) {
			return false
		}
	}
	return true
}

// possibleWrites returns the writes that may have taken effect or may still do so.
func (p *pool) possibleWrites() []write {
	if p.writeInFlight == nil {
		return p.unresolvedWrites
	}
	return append(slices.Clone(p.unresolvedWrites), *p.writeInFlight)
}

// inAllRosters reports whether the agent is in the known roster and in every roster that may have replaced it in the
// store.
func (p *pool) inAllRosters(ref structs.AgentRef) bool {
	if !contains(p.record.Roster, ref) {
		return false
	}
	for _, w := range p.unresolvedWrites {
		if !contains(w.record.Roster, ref) {
			return false
		}
	}
	return p.writeInFlight == nil || contains(p.writeInFlight.record.Roster, ref)
}

// contains reports whether a roster, which must be sorted, has the agent.
func contains(roster []structs.AgentRef, ref structs.AgentRef) bool {
	_, ok := slices.BinarySearchFunc(roster, ref, compareAgents)
	return ok
}

func compareAgents(a, b structs.AgentRef) int {
	return cmp.Or(strings.Compare(string(a.ID), string(b.ID)), cmp.Compare(a.Incarnation, b.Incarnation))
}

func comparePools(a, b structs.PoolID) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), cmp.Compare(a.Index, b.Index))
}

// preference returns the weight of a gateway for a pool by rendezvous hashing. The gateway with the highest weight is
// preferred for a takeover, so that the pools of a lost gateway are spread over the others.
func preference(pool structs.PoolID, gateway structs.GatewayID) uint64 {
	return xxhash.Sum64String(pool.String() + "|" + string(gateway))
}

// rank returns the number of live gateways that are preferred to this one for a pool.
func (m *Machine) rank(id structs.PoolID) int {
	own := preference(id, m.self.ID)
	rank := 0
	for gateway := range m.live {
		if gateway.ID != m.self.ID && preference(id, gateway.ID) > own {
			rank++
		}
	}
	return rank
}
