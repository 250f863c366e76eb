package ownership

import (
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

// Machine decides the ownership of all pools of one gateway. It is not safe for concurrent use. All times are durations
// on the gateway's monotonic clock since an arbitrary point. They must not decrease from step to step.
type Machine struct {
	self structs.GatewayRef
	// pools and order hold the same pools. order is sorted, which makes the order of actions deterministic.
	pools map[structs.PoolID]*pool
	order []*pool
	// lastRenewal is when the last successful renewal of the current lease was sent. hasLease is false if there is
	// none.
	lastRenewal time.Duration
	hasLease    bool
	// leaseNumber numbers the leases of this incarnation. leaseStart is when the previous one ended, or the time
	// of New; renewals that were sent earlier do not belong to the current lease. A pool record that was written during
	// an earlier lease does not prove ownership during the current one.
	leaseNumber uint64
	leaseStart  time.Duration
	// live is the set of gateways that have a lease, at the store's revision liveRevision.
	live         map[structs.GatewayRef]bool
	liveRevision uint64
	membersKnown bool
	// removedGateways holds the gateways of which an operator has stated that they will never run again.
	removedGateways map[structs.GatewayRef]bool
	// writeCount is the number of record writes of this incarnation.
	writeCount uint64
	actions    []Action
}

// New returns the machine of a gateway that owns no pools and has no lease.
func New(now time.Duration, self structs.GatewayRef) *Machine {
	return &Machine{
		self:            self,
		pools:           map[structs.PoolID]*pool{},
		leaseNumber:     1,
		leaseStart:      now,
		live:            map[structs.GatewayRef]bool{},
		removedGateways: map[structs.GatewayRef]bool{},
	}
}

// Step applies an input and returns the actions in the order in which the I/O layer must perform them.
func (m *Machine) Step(now time.Duration, in Input) []Action {
	m.actions = nil
	for _, p := range m.order {
		m.noteBacklog(p, now)
	}
	changed := m.apply(now, in)
	for _, p := range changed {
		m.evaluate(p, now)
	}
	return m.actions
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// apply applies an input and returns the pools to evaluate.
func (m *Machine) apply(now time.Duration, in Input) []*pool {
	switch in := in.(type) {
	case Tick:
		return m.order
	case LeaseRenewed:
		m.applyRenewal(in.SentAt)
		return m.order
	case LeaseExpired:
		m.hasLease = false
		m.leaseNumber++
		m.leaseStart = now
		return m.order
	case Members:
		m.applyMembers(in)
		return m.order
	case GatewayGone:
		m.applyGatewayGone(in.Gateway)
		return m.order
	default:
		if p := m.applyPool(now, in); p != nil {
			return []*pool{p}
		}
		return nil
	}
}

// applyPool applies an input about one pool and returns the pool if it must be evaluated.
func (m *Machine) applyPool(now time.Duration, in Input) *pool {
	switch in := in.(type) {
	case PoolConfigured:
		p := m.pool(in.Pool)
		p.configure(now)
		return p
	case ObservedRecord:
		p := m.pool(in.Record.Pool)
		m.applyRecord(p, now, in.Record, in.Version, in.Revision)
		return p
	case PutResult:
		p := m.pool(in.Record.Pool)
		m.applyPut(p, now, in)
		return p
	case AgentLinked:
		p := m.pool(in.Pool)
		p.link(in.Agent)
		return p
	case AgentLost:
		p := m.pool(in.Pool)
		p.unlink(in.Agent, now-structs.LostAfter)
		return p
	case AgentAck:
		return m.applyAck(in, now)
	case FenceReplied:
		p := m.pool(in.Reply.Pool)
		p.applyFenceReply(in)
		return p
	case JournalRead:
		p := m.pool(in.Pool)
		if p.owned && !p.adopted && in.Epoch == p.epoch {
			p.journal = &in
		}
		return p
	case BacklogWritten:
		p := m.pool(in.Pool)
		if m.attached(p, now) {
			p.hasBacklog = false
		}
		return p
	case Release:
		p := m.pool(in.Pool)
		if p.owned && p.adopted && in.Successor != m.self {
			p.successor = &in.Successor
		}
		return p
	}
	panic("ownership: unknown input")
}

// pool returns the state of a pool. It creates the state if the pool is not known yet.
func (m *Machine) pool(id structs.PoolID) *pool {
	if p := m.pools[id]; p != nil {
		return p
	}
	p := newPool(id)
	m.pools[id] = p
	m.order = append(m.order, p)
	slices.SortFunc(m.order, func(a, b *pool) int { return comparePools(a.id, b.id) })
	return p
}

// applyRenewal extends the lease. A renewal that was sent before the last LeaseExpired belongs to the expired lease and
// is ignored.
func (m *Machine) applyRenewal(sentAt time.Duration) {
	if sentAt < m.leaseStart {
		return
	}
	if !m.hasLease || sentAt > m.lastRenewal {
		m.lastRenewal = sentAt
	}
	m.hasLease = true
	for _, p := range m.order {
		if p.owned && p.confirmedLease == m.leaseNumber {
			p.lastStoreContact = max(p.lastStoreContact, m.lastRenewal)
		}
	}
}

// applyMembers replaces the set of live gateways unless the input is older than the known set.
func (m *Machine) applyMembers(in Members) {
	if m.membersKnown && in.Revision < m.liveRevision {
		return
	}
	m.membersKnown = true
	m.liveRevision = in.Revision
	m.live = make(map[structs.GatewayRef]bool, len(in.Live))
	for _, gateway := range in.Live {
		m.live[gateway] = true
	}
}

// applyGatewayGone marks the incarnations of the gateway that the statement applies to: the owners without a lease or,
// if there are none, the owner whose lease has not ended yet.
func (m *Machine) applyGatewayGone(id structs.GatewayID) {
	var ended, leased []structs.GatewayRef
	for _, p := range m.order {
		for _, owner := range append(slices.Clone(p.record.Previous), p.record.Owner) {
			switch {
			case owner.ID != id:
			case m.live[owner]:
				leased = append(leased, owner)
			default:
				ended = append(ended, owner)
			}
		}
	}
	if len(ended) == 0 {
		ended = leased
	}
	for _, owner := range ended {
		m.removedGateways[owner] = true
	}
}

// applyAck applies an acknowledgement and returns the pool if it must be evaluated. An acknowledgement can only extend
// the mode detached, so an attached pool needs no evaluation.
func (m *Machine) applyAck(in AgentAck, now time.Duration) *pool {
	p := m.pool(in.Pool)
	p.acknowledge(in)
	if !p.owned || m.attached(p, now) {
		return nil
	}
	return p
}

// leaseValid reports whether the gateway may rely on its lease in the store.
func (m *Machine) leaseValid(now time.Duration) bool {
	return m.hasLease && now-m.lastRenewal < LeaseValidity
}

// attached reports whether the lease protects the ownership of the pool: the record was written during the current
// lease, so that no gateway takes over before this lease has ended.
func (m *Machine) attached(p *pool, now time.Duration) bool {
	return p.owned && p.confirmedLease == m.leaseNumber && m.leaseValid(now)
}

func (m *Machine) mode(p *pool, now time.Duration) dispatch.Mode {
	switch {
	case !p.adopted:
		return dispatch.Recovering
	case p.successor != nil:
		return dispatch.Suspended
	case m.attached(p, now):
		return dispatch.Attached
	case p.canRunDetached(now):
		return dispatch.Detached
	}
	return dispatch.Suspended
}

// Mode returns the epoch and mode of an owned pool at now; ok is false if the gateway does not own it. The I/O layer
// calls it before every batch of starts, so that a process that was paused starts nothing under a mode that has ended
// meanwhile.
func (m *Machine) Mode(id structs.PoolID, now time.Duration) (epoch structs.Epoch, mode dispatch.Mode, ok bool) {
	p := m.pools[id]
	if p == nil || !p.owned {
		return 0, dispatch.Suspended, false
	}
	return p.epoch, m.mode(p, now), true
}

// Owner returns the owner and epoch of the newest record known; ok is false if none is known.
func (m *Machine) Owner(id structs.PoolID) (owner structs.GatewayRef, epoch structs.Epoch, ok bool) {
	p := m.pools[id]
	if p == nil || p.version == 0 {
		return structs.GatewayRef{}, 0, false
	}
	return p.record.Owner, p.record.Epoch, true
}

// DetachedFlag returns the value for GatewayHeartbeat.Detached. It is true if the owner is detached or may soon be, and
// afterwards until every key that it admitted while detached is in the journal.
func (m *Machine) DetachedFlag(id structs.PoolID) bool {
	p := m.pools[id]
	return p != nil && p.owned && p.detachedFlag
}

// HasMajority reports whether a majority of the pool's roster has acknowledged a heartbeat of this gateway within
// structs.AckLease, whether it owns the pool or not. It is true for an empty roster and false if no record is known.
func (m *Machine) HasMajority(id structs.PoolID, now time.Duration) bool {
	p := m.pools[id]
	if p == nil || p.version == 0 {
		return false
	}
	if len(p.record.Roster) == 0 {
		return true
	}
	return p.majority(p.record.Roster, func(a *agent) bool { return a.hasAck && now-a.ackSentAt < structs.AckLease })
}
