package rackdemand

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosedrift.example/rosedrift/internal/structs"
)

// average is the exponentially weighted rate of the work that arrives, in thousandths of a core.
type average struct {
	value float64
	// at is when work last arrived.
	at time.Duration
}

func (a *average) add(now time.Duration, work float64) {
	a.value = min(a.current(now)+work/averagingTime.Seconds(), maxDemand)
	a.at = now
}

func (a *average) current(now time.Duration) float64 {
	if a.value == 0 || now-a.at >= silence {
		return 0
	}
	return a.value * math.Exp(-(now-a.at).Seconds()/averagingTime.Seconds())
}

// total is what an agent of a rack has sent last.
type total struct {
	incarnation structs.Incarnation
	seq         uint64
	demand      float64
	at          time.Duration
}

// rack is a rack that jobs name, here or at other gateways.
type rack struct {
	own         average
	totals      map[structs.AgentID]total
	capacity    float64
	utilization float64
	// sending is set while the own demand is sent to agents.
	sending bool
	// high is set from the report that the demand is high, at highAt, to the report that it no longer is.
	high   bool
	highAt time.Duration
	// reported is set once the demand was reported to be high.
	reported bool
}

// Gateway is the state machine of a gateway. It is not safe for concurrent use.
type Gateway struct {
	racks map[string]*rack
	seq   uint64
	// due is when Update is due while there are racks.
	due     time.Duration
	count   int
	highest float64
}

// NewGateway returns the state machine of a gateway that knows no demand.
func NewGateway() *Gateway { return &Gateway{racks: map[string]*rack{}} }

// Clone returns a copy that changes independently of g.
func (g *Gateway) Clone() *Gateway {
	c := *g
	c.racks = make(map[string]*rack, len(g.racks))
	for name, r := range g.racks {
		copied := *r
		copied.totals = maps.Clone(r.totals)
		c.racks[name] = &copied
	}
	return &c
}

// Measure records that tasks have arrived whose data a rack holds. work is what they need in all, in thousandths of a core times
// seconds.
func (g *Gateway) Measure(now time.Duration, name string, work float64) {
	if !(work > 0) || math.IsInf(work, 1) {
		return
	}
	if r := g.rackOf(now, name); r != nil {
		r.own.add(now, work)
	}
}

// HandleTotal handles the total of an agent. labels are those of its server. Malformed messages and those that are out of date are
// ignored.
func (g *Gateway) HandleTotal(now time.Duration, from structs.AgentRef, labels []string, in *structs.RackDemandTotal) {
	if !valid(in.Demand) || !slices.Contains(labels, in.Rack) || (in.Demand == 0 && g.racks[in.Rack] == nil) {
		return
	}
	r := g.rackOf(now, in.Rack)
	if r == nil {
		return
	}
	if last, ok := r.totals[from.ID]; ok && last.incarnation == from.Incarnation && in.Seq <= last.seq {
		return
	}
	if r.totals == nil {
		r.totals = map[structs.AgentID]total{}
	}
	r.totals[from.ID] = total{incarnation: from.Incarnation, seq: in.Seq, demand: in.Demand, at: now}
	r.refresh(now)
}

// rackOf returns the state of a rack. It creates one for a new rack, or returns nil if there are too many.
func (g *Gateway) rackOf(now time.Duration, name string) *rack {
	r := g.racks[name]
	if r == nil && len(g.racks) < maxRacks {
		if len(g.racks) == 0 {
			g.due = max(g.due, now)
		}
		r = &rack{}
		g.racks[name] = r
	}
	return r
}

// Utilization returns the demand for a rack as a fraction of the capacity of its usable servers. It is 0 for a rack without demand
// and for one without usable servers, and may exceed 1. It is as of the last Update or message.
func (g *Gateway) Utilization(name string) float64 {
	if r := g.racks[name]; r != nil {
		return r.utilization
	}
	return 0
}

// Count returns the number of racks with demand as of the last Update.
func (g *Gateway) Count() int { return g.count }

// Highest returns the highest utilization of any rack as of the last Update.
func (g *Gateway) Highest() float64 { return g.highest }

// Due reports whether an Update is due.
func (g *Gateway) Due(now time.Duration) bool { return len(g.racks) > 0 && now >= g.due }

// NextWake returns when Update is due, at the latest by the given time.
func (g *Gateway) NextWake(latest time.Duration) time.Duration {
	if len(g.racks) == 0 {
		return latest
	}
	return min(latest, g.due)
}

// Views returns an empty view of each rack that the next Update needs.
func (g *Gateway) Views() map[string]*View {
	views := make(map[string]*View, len(g.racks))
	for name := range g.racks {
		views[name] = &View{}
	}
	return views
}

// Update brings the demand up to date. views has a view of each rack that Views has named. It returns the messages to send and the
// changes to log.
func (g *Gateway) Update(now time.Duration, views map[string]*View) ([]Send, []Change) {
	var sends []Send
	var changes []Change
	g.due = now + Interval
	g.count, g.highest = 0, 0
	for _, name := range slices.Sorted(maps.Keys(g.racks)) {
		r, view := g.racks[name], views[name]
		if view == nil || !view.Known {
			r.own, r.totals, view = average{}, nil, &View{}
		}
		r.capacity = max(view.Capacity, 0)
		r.refresh(now)
		sends = append(sends, g.share(now, name, r, view)...)
		if len(changes) < maxChanges && r.changes(now) {
			changes = append(changes, Change{Rack: name, Utilization: r.utilization, High: r.high})
		}
		if r.utilization > 0 {
			g.count++
			g.highest = max(g.highest, r.utilization)
		}
		if r.forgotten(now) {
			delete(g.racks, name)
		}
	}
	return sends, changes
}

// share returns the messages with the own demand for a rack. When the demand falls below sharedFraction, the agents are told so
// once, so that they need not wait until the last message expires.
func (g *Gateway) share(now time.Duration, name string, r *rack, view *View) []Send {
	own := r.own.current(now)
	if r.capacity == 0 || own < sharedFraction*r.capacity {
		if !r.sending {
			return nil
		}
		own = 0
	}
	r.sending = own > 0
	var sends []Send
	for _, agent := range chooseRelays(name, view.Agents) {
		g.seq++
		sends = append(sends, Send{Agent: agent, Message: &structs.RackDemand{Rack: name, Demand: own, Seq: g.seq}})
	}
	return sends
}

// refresh drops the expired totals of a rack and computes its utilization.
func (r *rack) refresh(now time.Duration) {
	demand := r.own.current(now)
	for agent, t := range r.totals {
		if now-t.at >= totalTimeout {
			delete(r.totals, agent)
			continue
		}
		demand = max(demand, t.demand)
	}
	r.utilization = 0
	if r.capacity > 0 {
		r.utilization = demand / r.capacity
	}
}

// changes reports whether to log that the demand for a rack has become high or no longer is.
func (r *rack) changes(now time.Duration) bool {
	switch {
	case !r.high && r.utilization > highUtilization && (!r.reported || now-r.highAt >= changeInterval):
		r.high, r.reported, r.highAt = true, true, now
		return true
	case r.high && r.utilization < lowUtilization:
		r.high = false
		return true
	}
	return false
}

// forgotten reports whether a rack without demand can be removed. The time of the last report is kept for changeInterval.
func (r *rack) forgotten(now time.Duration) bool {
	return r.own.current(now) == 0 && len(r.totals) == 0 && !r.sending && !r.high &&
		(!r.reported || now-r.highAt >= changeInterval)
}

// chooseRelays returns the agents to which all gateways send their demand for a rack: those with the highest weights, so that the
// loss of one agent changes only one of them.
func chooseRelays(rack string, agents []structs.AgentID) []structs.AgentID {
	type candidate struct {
		agent  structs.AgentID
		weight uint64
	}
	candidates := make([]candidate, 0, len(agents))
	for _, agent := range agents {
		candidates = append(candidates, candidate{agent: agent, weight: xxhash.Sum64String(rack + "/" + string(agent))})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.agent, b.agent))
	})
	chosen := make([]structs.AgentID, 0, relays)
	for _, c := range candidates[:min(relays, len(candidates))] {
		chosen = append(chosen, c.agent)
	}
	return chosen
}
