package ownership

import (
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

// Machine decides the ownership of all pools of one gateway. It is not safe for concurrent use. Times are durations
// since an arbitrary start on the gateway's monotonic clock and must not decrease.
type Machine struct {
	self structs.GatewayRef
	// pools and order hold the same pools; order makes the actions deterministic.
	pools map[structs.PoolID]*pool
	order []*pool
	// renewed is the sending time of the last successful renewal of the current lease; leased is false without one.
	renewed time.Duration
	leased  bool
	// leases counts the leases. A pool record written under an earlier lease proves nothing about the current one.
	leases     uint64
	leaseSince time.Duration
	// live is the set of gateways with a lease as of the store's revision liveRevision.
	live         map[structs.GatewayRef]bool
	liveRevision uint64
	membersKnown bool
	// gone holds the gateways that an operator has stated to be gone.
	gone map[structs.GatewayRef]bool
	// writes numbers the record writes of this incarnation.
	writes  uint64
	actions []Action
}

// New returns the machine of a gateway that owns nothing and has no lease.
func New(now time.Duration, self structs.GatewayRef) *Machine {
	return &Machine{
		self:       self,
		pools:      map[structs.PoolID]*pool{},
		leases:     1,
		leaseSince: now,
		live:       map[structs.GatewayRef]bool{},
		gone:       map[structs.GatewayRef]bool{},
	}
}

// Step applies an input and returns the actions in the order in which the shell must perform them.
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

// apply changes the state and returns the pools to evaluate.
func (m *Machine) apply(now time.Duration, in Input) []*pool {
	switch in := in.(type) {
	case Tick:
		return m.order
	case LeaseRenewed:
		m.applyRenewal(in.SentAt)
		return m.order
	case LeaseExpired:
		m.leased = false
		m.leases++
		m.leaseSince = now
		return m.order
	case Members:
		m.applyMembers(in)
		return m.order
	case GatewayGone:
		m.applyGone(in.Gateway)
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
		m.learn(p, now, in.Record, in.Version, in.Revision)
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
		p.applyFence(in)
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
			p.backlog = false
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

// pool returns the state of a pool, which it creates when the pool is first named.
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

// applyRenewal extends the lease. Renewals from before its loss belong to the lost lease.
func (m *Machine) applyRenewal(sentAt time.Duration) {
	if sentAt < m.leaseSince {
		return
	}
	if !m.leased || sentAt > m.renewed {
		m.renewed = sentAt
	}
	m.leased = true
	for _, p := range m.order {
		if p.owned && p.confirmed == m.leases {
			p.contact = max(p.contact, m.renewed)
		}
	}
}

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

// applyGone marks the owners that the statement is about: those without a lease, or, if the gateway's lease has not
// ended yet and it has no earlier incarnation, the one with it.
func (m *Machine) applyGone(id structs.GatewayID) {
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
		m.gone[owner] = true
	}
}

// applyAck notes an acknowledgement. It can only lengthen the mode detached, so an attached pool needs no evaluation.
func (m *Machine) applyAck(in AgentAck, now time.Duration) *pool {
	p := m.pool(in.Pool)
	p.acknowledge(in)
	if !p.owned || m.attached(p, now) {
		return nil
	}
	return p
}

// leaseValid reports whether the gateway may rely on its lease.
func (m *Machine) leaseValid(now time.Duration) bool {
	return m.leased && now-m.renewed < LeaseValidity
}

// attached reports whether the store's lease protects the ownership of the pool: the record was written under the
// current lease, so that every takeover must first see the end of this lease.
func (m *Machine) attached(p *pool, now time.Duration) bool {
	return p.owned && p.confirmed == m.leases && m.leaseValid(now)
}

func (m *Machine) mode(p *pool, now time.Duration) dispatch.Mode {
	switch {
	case !p.adopted:
		return dispatch.Recovering
	case p.successor != nil:
		return dispatch.Suspended
	case m.attached(p, now):
		return dispatch.Attached
	case p.detachable(now):
		return dispatch.Detached
	}
	return dispatch.Suspended
}

// Mode returns the epoch and mode of an owned pool at now; ok is false if the gateway does not own it. The shell asks
// before every batch of starts, so that a process that wakes from a pause starts nothing on an old right.
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

// DetachedFlag returns the flag for GatewayHeartbeat: the owner is or will soon be detached, or its backlog is not yet
// in the journal.
func (m *Machine) DetachedFlag(id structs.PoolID) bool {
	p := m.pools[id]
	return p != nil && p.owned && p.flag
}

// HasMajority reports whether a majority of the stored roster acknowledged a heartbeat of this gateway within AckLease,
// whether it owns the pool or not. A known empty roster has it; a pool whose record is unknown does not.
func (m *Machine) HasMajority(id structs.PoolID, now time.Duration) bool {
	p := m.pools[id]
	if p == nil || p.version == 0 {
		return false
	}
	if len(p.record.Roster) == 0 {
		return true
	}
	return p.majority(p.record.Roster, func(a *agent) bool { return a.heard && now-a.heardSent < structs.AckLease })
}
