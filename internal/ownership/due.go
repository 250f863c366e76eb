package ownership

import (
	"math"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// never is a deadline that does not come.
const never = time.Duration(math.MaxInt64)

// due tells which parts of the evaluation of an owned pool must look at every agent again. Most ticks change nothing,
// and scans of 1,100 agents at each of them cost more than the rest of the machine.
type due struct {
	// fence, roster and eligible are true after a change of an agent, of the record or of the writes under way.
	fence, roster, eligible bool
	// fenceAt is when the next fence must be repeated, rosterAt when the next silent agent must leave the roster.
	fenceAt  time.Duration
	rosterAt time.Duration
	// wanted is the result of the last scan for the roster.
	wanted wantedRoster
}

// wantedRoster is the roster that the owner wants, compared with that of the record.
type wantedRoster struct {
	refs []structs.AgentRef
	// changed is true if the rosters differ, removed if the record's has an agent that refs lacks.
	changed, removed bool
}

// invalidate makes the next evaluation scan all agents. Every change of linked, lostSince or reply of an agent, of
// record, writing or unresolved must call it; times of acknowledgements need not.
func (p *pool) invalidate() {
	p.due.fence, p.due.roster, p.due.eligible = true, true, true
}

// fence asks every agent of the roster for its promise until it answers.
func (m *Machine) fence(p *pool, now time.Duration) {
	if !p.due.fence && now < p.due.fenceAt {
		return
	}
	p.due.fence = false
	p.due.fenceAt = never
	for _, ref := range p.record.Roster {
		a := p.agent(ref)
		if a.reply != nil || !a.linked {
			continue
		}
		if !a.fenced || now-a.fencedAt >= FenceInterval {
			a.fenced = true
			a.fencedAt = now
			m.emit(SendFence{Agent: ref, Fence: structs.Fence{Pool: p.id, Epoch: p.epoch}})
		}
		p.due.fenceAt = min(p.due.fenceAt, a.fencedAt+FenceInterval)
	}
}

// wantedRoster returns the roster that the owner wants. It changes only with the agents, the record and the time at
// which a silent agent leaves.
func (p *pool) wantedRoster(now time.Duration) wantedRoster {
	if !p.due.roster && now < p.due.rosterAt {
		return p.due.wanted
	}
	p.due.roster = false
	refs, until := p.desiredRoster(now)
	p.due.rosterAt = until
	p.due.wanted = wantedRoster{
		refs:    refs,
		changed: !slices.Equal(refs, p.record.Roster),
		removed: slices.ContainsFunc(p.record.Roster, func(ref structs.AgentRef) bool { return !contains(refs, ref) }),
	}
	return p.due.wanted
}

// desiredRoster returns the linked agents and those that have not been lost for long enough, and the time at which the
// first of these has. Of an agent with several incarnations only the linked ones stay.
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

// reportEligible reports the agents that may get starts under this epoch.
func (m *Machine) reportEligible(p *pool) {
	if !p.due.eligible {
		return
	}
	p.due.eligible = false
	for _, ref := range p.record.Roster {
		a := p.agent(ref)
		m.setEligible(p, ref, a, a.linked && a.reply != nil && p.inRoster(ref))
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
