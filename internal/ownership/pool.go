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

// agent is what the gateway knows of one agent incarnation in a pool.
type agent struct {
	linked bool
	// lostSince is when the agent was last linked, or when this gateway began to wait for it.
	lostSince time.Duration
	// heardSent is the sending time of the last acknowledged heartbeat of any epoch, ackSent of the pool's epoch.
	heard     bool
	heardSent time.Duration
	acked     bool
	ackSent   time.Duration
	// reply is the promise of the pool's epoch.
	reply    *structs.FenceReply
	fenced   bool
	fencedAt time.Duration
	eligible bool
}

// write is a pool record on its way to the store.
type write struct {
	record Record
	expect uint64
	// lease is the lease that was current when the write was sent.
	lease uint64
}

// pool is the state of one pool. The second half is valid only while owned.
type pool struct {
	id structs.PoolID
	// configured is true for a pool of a service of the configuration, since configuredAt.
	configured   bool
	configuredAt time.Duration
	// record is the newest record known, at version 0 if none is. revision is 0 if unknown.
	record   Record
	version  uint64
	revision uint64
	// writing is the write in flight. unresolved holds writes that had not taken effect when the record was read back
	// but still may, as long as the version stays.
	writing    *write
	unresolved []write
	retryAt    time.Duration
	// goneSince is when this gateway first saw that the owner's lease had ended.
	gone      bool
	goneSince time.Duration
	agents    map[structs.AgentRef]*agent

	owned    bool
	epoch    structs.Epoch
	acquired time.Duration
	// waiveFrom is when the wait for TakeoverWithoutMajority began.
	waiveFrom time.Duration
	// confirmed is the number of the lease under which the record was last written, 0 if none.
	confirmed uint64
	// contact is the sending time of the last renewal of a lease under which the record was written.
	contact   time.Duration
	contacted bool
	journal   *JournalRead
	adopted   bool
	// majorityAt is when the majority of the roster had promised.
	hasMajority bool
	majorityAt  time.Duration
	// flag is announced in heartbeats since flagSince. backlog is true from the possible use of the mode detached
	// until everything is in the journal.
	flag      bool
	flagSince time.Duration
	backlog   bool
	// successor is set during a planned handover.
	successor     *structs.GatewayRef
	departedUntil time.Duration
	// doubtUntil ends the doubt of this takeover. Until detachedUntil start records may be the only trace of keys that
	// a detached owner admitted, so that the doubt begins when an agent leaves with its records.
	doubtUntil    time.Duration
	detachedUntil time.Duration
	lastMode      dispatch.Mode
	modeReported  bool
	due           due
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

// prune forgets agents that are neither linked nor in a roster that the store may hold.
func (p *pool) prune() {
	for ref, a := range p.agents {
		named := func(w write) bool { return contains(w.record.Roster, ref) }
		if !a.linked && !a.eligible && !contains(p.record.Roster, ref) && !slices.ContainsFunc(p.possible(), named) {
			delete(p.agents, ref)
		}
	}
}

// link notes a linked agent.
func (p *pool) link(ref structs.AgentRef) {
	p.agent(ref).linked = true
	p.invalidate()
}

// unlink notes the loss of an agent that was last heard at since.
func (p *pool) unlink(ref structs.AgentRef, since time.Duration) {
	a := p.agents[ref]
	if a == nil {
		return
	}
	a.linked = false
	a.lostSince = since
	p.invalidate()
}

func (p *pool) acknowledge(in AgentAck) {
	a := p.agent(in.Agent)
	if !a.heard || in.SentAt > a.heardSent {
		a.heard = true
		a.heardSent = in.SentAt
	}
	if p.owned && in.Epoch == p.epoch && (!a.acked || in.SentAt > a.ackSent) {
		a.acked = true
		a.ackSent = in.SentAt
	}
}

// applyFence notes a promise. A reply for another epoch or a refusal is none.
func (p *pool) applyFence(in FenceReplied) {
	if !p.owned || in.Reply.Refused || in.Reply.Epoch != p.epoch {
		return
	}
	a := p.agent(in.Agent)
	if a.reply == nil {
		a.reply = &in.Reply
		p.invalidate()
	}
}

// quorum returns the size of the smallest majority of n agents. An empty roster has none.
func quorum(n int) int { return n/2 + 1 }

func (p *pool) majority(roster []structs.AgentRef, counts func(*agent) bool) bool {
	count := 0
	for _, ref := range roster {
		if a := p.agents[ref]; a != nil && counts(a) {
			count++
		}
	}
	return count >= quorum(len(roster))
}

// detachable reports whether the owner may start tasks without the store: a majority acknowledged within AckLease a
// heartbeat that announced it as detached. The majority must exist in every roster that the store may hold by now.
func (p *pool) detachable(now time.Duration) bool {
	if !p.flag || !p.contacted || now-p.contact >= DetachedLimit {
		return false
	}
	supports := func(a *agent) bool {
		return a.acked && a.ackSent > p.flagSince && now-a.ackSent < structs.AckLease
	}
	if !p.majority(p.record.Roster, supports) {
		return false
	}
	for _, w := range p.possible() {
		if !p.majority(w.record.Roster, supports) {
			return false
		}
	}
	return true
}

// possible returns the writes that may have taken effect or still may.
func (p *pool) possible() []write {
	if p.writing == nil {
		return p.unresolved
	}
	return append(slices.Clone(p.unresolved), *p.writing)
}

// inRoster reports whether the agent is in the stored roster and in every roster that may replace it.
func (p *pool) inRoster(ref structs.AgentRef) bool {
	if !contains(p.record.Roster, ref) {
		return false
	}
	for _, w := range p.unresolved {
		if !contains(w.record.Roster, ref) {
			return false
		}
	}
	return p.writing == nil || contains(p.writing.record.Roster, ref)
}

// contains searches a roster, which is sorted.
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

// preference returns the weight of a gateway for a pool by rendezvous hashing. The highest weight takes over first,
// and the pools of a lost gateway spread over the others.
func preference(pool structs.PoolID, gateway structs.GatewayID) uint64 {
	return xxhash.Sum64String(pool.String() + "|" + string(gateway))
}

// rank counts the live gateways that are preferred to this one.
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
