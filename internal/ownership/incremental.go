package ownership

import (
	"math"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// never is a point in time that is never reached.
const never = time.Duration(math.MaxInt64)

// scanState says which steps of the evaluation of an owned pool must scan all agents again. Most ticks change nothing,
// and scanning 1,100 agents at each of them would cost more than the rest of the machine.
type scanState struct {
	// fenceStale, rosterStale and eligibleStale say that a scan for sendFences, rosterUpdate and reportEligible is due.
	// invalidate sets them.
	fenceStale, rosterStale, eligibleStale bool
	// nextFenceAt is when the next fence must be repeated. nextRosterAt is when the next lost agent leaves the roster.
	nextFenceAt  time.Duration
	nextRosterAt time.Duration
	// lastUpdate is the result of the last scan by rosterUpdate.
	lastUpdate rosterUpdate
}

// rosterUpdate is the roster that the owner wants, compared with the roster of the record.
type rosterUpdate struct {
	refs []structs.AgentRef
	// changed is true if the two rosters differ. removed is true if the record's roster has an agent that is not in
	// refs.
	changed, removed bool
}

// invalidate makes the next evaluation scan all agents. It must be called after every change of the fields linked,
// lostSince or promise of an agent, and of the fields record, writeInFlight or unresolvedWrites of the pool. Times of
// acknowledgements do not matter to the scans.
func (p *pool) invalidate() {
	p.scans.fenceStale, p.scans.rosterStale, p.scans.eligibleStale = true, true, true
}

// sendFences asks every linked agent of the roster to promise the epoch, until it answers.
func (m *Machine) sendFences(p *pool, now time.Duration) {
	if !p.scans.fenceStale && now < p.scans.nextFenceAt {
		return
	}
	p.scans.fenceStale = false
	p.scans.nextFenceAt = never
	for _, ref := range p.record.Roster {
		a := p.agent(ref)
		if a.promise != nil || !a.linked {
			continue
		}
		if !a.fenceSent || now-a.fenceSentAt >= FenceInterval {
			a.fenceSent = true
			a.fenceSentAt = now
			m.emit(SendFence{Agent: ref, Fence: structs.Fence{Pool: p.id, Epoch: p.epoch}})
		}
		p.scans.nextFenceAt = min(p.scans.nextFenceAt, a.fenceSentAt+FenceInterval)
	}
}

// rosterUpdate returns the roster that the owner wants. It scans the agents only after invalidate or when a lost agent
// must leave the roster.
func (p *pool) rosterUpdate(now time.Duration) rosterUpdate {
	if !p.scans.rosterStale && now < p.scans.nextRosterAt {
		return p.scans.lastUpdate
	}
	p.scans.rosterStale = false
	refs, until := p.desiredRoster(now)
	p.scans.nextRosterAt = until
	p.scans.lastUpdate = rosterUpdate{
		refs:    refs,
		changed: !slices.Equal(refs, p.record.Roster),
		removed: slices.ContainsFunc(p.record.Roster, func(ref structs.AgentRef) bool { return !contains(refs, ref) }),
	}
	return p.scans.lastUpdate
}

// desiredRoster returns the linked agents and those of the record's roster that have been lost for less than
// structs.LostAfter, and the time at which the first of these leaves. An incarnation that is not linked leaves at once
// if another incarnation of its agent is linked.
func (p *pool) desiredRoster(now time.Duration) (roster []structs.AgentRef, until time.Duration) {
	linked := map[structs.AgentID]bool{}
	for ref, a := range p.agents {
		if a.linked {
			roster = append(roster, ref)
			linked[ref.ID] = true
		}
	}
	until = never
	for _, ref := range p.record.Roster {
		a := p.agent(ref)
		if !a.linked && !linked[ref.ID] && now-a.lostSince < structs.LostAfter {
			roster = append(roster, ref)
			until = min(until, a.lostSince+structs.LostAfter)
		}
	}
	slices.SortFunc(roster, compareAgents)
	return roster, until
}

// reportEligible reports changes of the set of agents that may get tasks under this epoch.
func (m *Machine) reportEligible(p *pool) {
	if !p.scans.eligibleStale {
		return
	}
	p.scans.eligibleStale = false
	for _, ref := range p.record.Roster {
		a := p.agent(ref)
		m.setEligible(p, ref, a, a.linked && a.promise != nil && p.inAllRosters(ref))
	}
	var outside []structs.AgentRef
	for ref, a := range p.agents {
		if a.eligible && !contains(p.record.Roster, ref) {
			outside = append(outside, ref)
		}
	}
	slices.SortFunc(outside, compareAgents)
	for _, ref := range outside {
		m.setEligible(p, ref, p.agents[ref], false)
	}
	if !slices.IsSortedFunc(p.record.Roster, compareAgents) {
		panic("ownership: roster is not sorted in " + p.id.String())
	}
}

func (m *Machine) setEligible(p *pool, ref structs.AgentRef, a *agent, eligible bool) {
	if a.eligible != eligible {
		a.eligible = eligible
		m.emit(EligibleChanged{Pool: p.id, Agent: ref, Eligible: eligible})
	}
}
