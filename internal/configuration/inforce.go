package configuration

import (
	"cmp"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// AllRevisions is the result of InForce.Agents if there is no responsive agent: no revision waits for an agent then.
const AllRevisions = ^structs.Revision(0)

// InForce tracks which process has acknowledged which revision. A gateway records itself as well. All times are
// readings of one monotonic clock. It is not safe for concurrent use.
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
	lastContact time.Duration
}

// NewInForce returns an empty tracker.
func NewInForce() *InForce { return &InForce{members: map[memberKey]*member{}} }

// RecordAgent records a message of an agent that acknowledges a revision.
func (i *InForce) RecordAgent(now time.Duration, agent structs.AgentRef, revision structs.Revision) {
	i.record(now, memberKey{MemberAgent, string(agent.ID)}, agent.Incarnation, revision)
}

// RecordGateway records a message of a gateway: own is the revision that the gateway applies, agents the highest one
// that every agent linked to it has acknowledged. The gateway counts with the lower of the two, so that a revision also
// waits for agents that are linked only to that gateway.
func (i *InForce) RecordGateway(now time.Duration, gateway structs.GatewayRef, own, agents structs.Revision) {
	i.record(now, memberKey{MemberGateway, string(gateway.ID)}, gateway.Incarnation, min(own, agents))
}

// record keeps the highest revision of an agent's incarnation, because messages of several links can overtake each
// other. A new incarnation starts with its own revision. A gateway's revision is replaced, because it decreases when an
// agent with a lower revision links to that gateway.
func (i *InForce) record(now time.Duration, key memberKey, incarnation structs.Incarnation, revision structs.Revision) {
	known, ok := i.members[key]
	if !ok || known.incarnation != incarnation || key.kind == MemberGateway {
		i.members[key] = &member{incarnation: incarnation, revision: revision, lastContact: now}
		return
	}
	known.revision = max(known.revision, revision)
	known.lastContact = now
}

// Remove removes a process that has stopped or counts as lost, see structs.LostAfter.
func (i *InForce) Remove(kind MemberKind, name string) { delete(i.members, memberKey{kind, name}) }

// Agents returns the highest revision that every responsive agent has acknowledged, or AllRevisions if there is no
// responsive agent. It is the value of PeerHeartbeat.InForce.
func (i *InForce) Agents(now time.Duration) structs.Revision {
	lowest := AllRevisions
	for key, m := range i.members {
		if key.kind == MemberAgent && !m.unresponsive(now) {
			lowest = min(lowest, m.revision)
		}
	}
	return lowest
}

// Status returns the state of a revision. Members are sorted: gateways before agents, then by name.
func (i *InForce) Status(now time.Duration, revision structs.Revision) InForceStatus {
	status := InForceStatus{Revision: revision, InForce: true}
	for key, m := range i.members {
		state := m.state(now, revision)
		status.InForce = status.InForce && state != MemberWaiting
		status.Members = append(status.Members, MemberStatus{
			Kind: key.kind, Name: key.name, Revision: m.revision, State: state, SinceLastMessage: now - m.lastContact,
		})
	}
	slices.SortFunc(status.Members, func(a, b MemberStatus) int {
		return cmp.Or(-cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return status
}

func (m *member) unresponsive(now time.Duration) bool { return now-m.lastContact > UnresponsiveAfter }

func (m *member) state(now time.Duration, revision structs.Revision) MemberState {
	switch {
	case m.revision >= revision:
		return MemberAcknowledged
	case m.unresponsive(now):
		return MemberUnresponsive
	}
	return MemberWaiting
}
