package configuration

import (
	"cmp"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// AllRevisions is the result of InForce.Agents without any live agent: no revision waits for one.
const AllRevisions = ^structs.Revision(0)

// InForce tracks which process has acknowledged which revision. The shell reports its own gateway as well. All times
// are monotonic and of one clock. It is not safe for concurrent use.
type InForce struct {
	members map[memberKey]*member
}

type memberKey struct {
	kind MemberKind
	name string
}

type member struct {
	incarnation structs.Incarnation
	revision    structs.Revision
	seen        time.Duration
}

// NewInForce returns an empty tracker.
func NewInForce() *InForce { return &InForce{members: map[memberKey]*member{}} }

// RecordAgent reports a message of an agent that acknowledges a revision.
func (i *InForce) RecordAgent(now time.Duration, agent structs.AgentRef, revision structs.Revision) {
	i.saw(now, memberKey{MemberAgent, string(agent.ID)}, agent.Incarnation, revision)
}

// RecordGateway reports a message of a gateway: the revision that it applies, and the one that its agents have all
// acknowledged. The gateway counts with the lower of both, so that an agent that is linked only to that gateway is
// waited for.
func (i *InForce) RecordGateway(now time.Duration, gateway structs.GatewayRef, own, agents structs.Revision) {
	i.saw(now, memberKey{MemberGateway, string(gateway.ID)}, gateway.Incarnation, min(own, agents))
}

// saw keeps the highest revision of one incarnation, because messages of several links can overtake each other. A
// new incarnation starts anew. A gateway's value may sink when an agent with a lower revision links to it.
func (i *InForce) saw(now time.Duration, key memberKey, incarnation structs.Incarnation, revision structs.Revision) {
	known, ok := i.members[key]
	if !ok || known.incarnation != incarnation || key.kind == MemberGateway {
		i.members[key] = &member{incarnation: incarnation, revision: revision, seen: now}
		return
	}
	known.revision = max(known.revision, revision)
	known.seen = now
}

// Remove removes a process that has stopped or counts as lost.
func (i *InForce) Remove(kind MemberKind, name string) { delete(i.members, memberKey{kind, name}) }

// Agents returns the highest revision that every agent has acknowledged or is silent about, AllRevisions without
// live agents.
func (i *InForce) Agents(now time.Duration) structs.Revision {
	lowest := AllRevisions
	for key, m := range i.members {
		if key.kind == MemberAgent && !m.silent(now) {
			lowest = min(lowest, m.revision)
		}
	}
	return lowest
}

// Status returns the state of a revision: gateways before agents, by name.
func (i *InForce) Status(now time.Duration, revision structs.Revision) InForceStatus {
	status := InForceStatus{Revision: revision, InForce: true}
	for key, m := range i.members {
		state := m.state(now, revision)
		status.InForce = status.InForce && state != MemberWaiting
		status.Members = append(status.Members, MemberStatus{
			Kind: key.kind, Name: key.name, Revision: m.revision, State: state, SinceLastMessage: now - m.seen,
		})
	}
	slices.SortFunc(status.Members, func(a, b MemberStatus) int {
		return cmp.Or(-cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return status
}

func (m *member) silent(now time.Duration) bool { return now-m.seen > UnresponsiveAfter }

func (m *member) state(now time.Duration, revision structs.Revision) MemberState {
	switch {
	case m.revision >= revision:
		return MemberAcknowledged
	case m.silent(now):
		return MemberUnresponsive
	}
	return MemberWaiting
}
