package structs

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// The routing configuration may have hundreds of kilobytes. Only a few agents keep it for gateways that start while the
// store is unavailable. If every gateway sent it to every agent, a change would occupy the links of small gateways for
// many seconds, and their heartbeats would be late.
const (
	// stateKeepers is the mean number of agents that keep the whole operator state for a gateway.
	stateKeepers = 4
	// stateDelays is the number of different delays, stateDelayStep apart, after which agents send the state to a gateway
	// that does not have it. The first ones suffice; the others learn before that it has the state.
	stateDelays    = 16
	stateDelayStep = 100 * time.Millisecond
)

// KeepsState reports whether an agent, one of count linked ones, keeps the whole operator state for a gateway.
func KeepsState(gateway GatewayID, agent AgentID, count int) bool {
	return xxhash.Sum64String(string(gateway)+"/"+string(agent))%uint64(max(count, 1)) < stateKeepers
}

// StateDelay returns how long an agent waits before it sends the whole operator state to a gateway that has an older one.
func StateDelay(gateway GatewayID, agent AgentID) time.Duration {
	return time.Duration(xxhash.Sum64String(string(agent)+"/"+string(gateway))%stateDelays) * stateDelayStep
}

// StateExchange decides when one side of a link sends its operator state to the other. The zero value is for a new
// link. It is not safe for concurrent use.
type StateExchange struct {
	// exchanged is the highest revision that was sent or received on the link.
	exchanged uint64
}

// Received records the revision of a state that the other side has sent.
func (e *StateExchange) Received(revision uint64) { e.exchanged = max(e.exchanged, revision) }

// ShouldSend reports whether to send the own state, of revision own, to the other side, which has reported the revision
// other. If it returns true, the state counts as sent.
func (e *StateExchange) ShouldSend(own, other uint64) bool {
	if other >= own || e.exchanged >= own {
		return false
	}
	e.exchanged = own
	return true
}
