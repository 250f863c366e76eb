package rackdemand

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// share is what a gateway has sent last about a rack.
type share struct {
	gateway structs.GatewayRef
	seq     uint64
	demand  float64
	at      time.Duration
}

// relay holds what the gateways have sent about a rack.
type relay struct {
	// shares are ordered by the id of the gateway.
	shares []share
	// sent is the last total, sent at sentAt.
	sent   float64
	sentAt time.Duration
}

// Agent is the state machine of an agent. It is not safe for concurrent use.
type Agent struct {
	relays map[string]*relay
	seq    uint64
	// due is when Totals must be called while there are relays.
	due time.Duration
}

// NewAgent returns the state machine of an agent that knows no demand.
func NewAgent() *Agent { return &Agent{relays: map[string]*relay{}} }

// HandleDemand handles the demand of a linked gateway. labels are those of the agent's server. Malformed messages and those that are
// out of date are ignored.
func (a *Agent) HandleDemand(now time.Duration, from structs.GatewayRef, labels []string, in *structs.RackDemand) {
	if !valid(in.Demand) || !slices.Contains(labels, in.Rack) {
		return
	}
	r := a.relays[in.Rack]
	if r == nil {
		if in.Demand == 0 {
			return
		}
		r = &relay{sentAt: now - repeatInterval}
		if len(a.relays) == 0 {
			a.due = now
		}
		a.relays[in.Rack] = r
	}
	next := share{gateway: from, seq: in.Seq, demand: in.Demand, at: now}
	at, found := slices.BinarySearchFunc(r.shares, from.ID, func(s share, id structs.GatewayID) int { return cmp.Compare(s.gateway.ID, id) })
	switch {
	case !found:
		r.shares = slices.Insert(r.shares, at, next)
	case r.shares[at].gateway == from && in.Seq <= r.shares[at].seq:
		return
	default:
		r.shares[at] = next
	}
	a.due = min(a.due, max(now, r.sentAt+Interval))
}

// Totals returns the totals that are due for all gateways.
func (a *Agent) Totals(now time.Duration) []*structs.RackDemandTotal {
	if len(a.relays) == 0 || now < a.due {
		return nil
	}
	var totals []*structs.RackDemandTotal
	a.due = now + repeatInterval
	for _, name := range slices.Sorted(maps.Keys(a.relays)) {
		r := a.relays[name]
		sum := r.sum(now)
		changed := math.Abs(sum-r.sent) > minChange*r.sent
		since := now - r.sentAt
		if (changed && since >= Interval) || (sum > 0 && since >= repeatInterval) {
			a.seq++
			totals = append(totals, &structs.RackDemandTotal{Rack: name, Demand: sum, Seq: a.seq})
			r.sent, r.sentAt, changed = sum, now, false
		}
		if len(r.shares) == 0 && r.sent == 0 && now-r.sentAt >= Interval {
			delete(a.relays, name)
			continue
		}
		a.due = min(a.due, r.nextWake(sum, changed))
	}
	return totals
}

// sum drops the expired shares and returns the sum of the others.
func (r *relay) sum(now time.Duration) float64 {
	r.shares = slices.DeleteFunc(r.shares, func(s share) bool { return now-s.at >= shareTimeout })
	sum := 0.0
	for _, s := range r.shares {
		sum += s.demand
	}
	return min(sum, maxDemand)
}

// nextWake returns when the relay must be looked at again if no message comes before. changed is set if a changed total waits for
// the end of Interval.
func (r *relay) nextWake(sum float64, changed bool) time.Duration {
	wake := r.sentAt + Interval
	switch {
	case changed || len(r.shares) == 0:
	case sum > 0:
		wake = r.sentAt + repeatInterval
	default:
		wake = r.shares[0].at + shareTimeout
	}
	for _, s := range r.shares {
		wake = min(wake, s.at+shareTimeout)
	}
	return wake
}

// NextWake returns when Totals must be called, at the latest by the given time.
func (a *Agent) NextWake(latest time.Duration) time.Duration {
	if len(a.relays) == 0 {
		return latest
	}
	return min(latest, a.due)
}
