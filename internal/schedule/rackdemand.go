package schedule

import (
	"math"
	"slices"
	"time"
)

const (
	// rackDemandTime is the time constant of the average demand for a rack.
	rackDemandTime = time.Second
	// minRackDemand is the utilization below which a rack counts as one without demand: what a gateway's average is worth
	// a few seconds after the last job that named the rack.
	minRackDemand = 0.01
	// rackDemandInterval is the time after which the demand is determined again. It is a small part of rackDemandTime.
	rackDemandInterval = 25 * time.Millisecond
	// rackDemandPenalty is how much fuller, as a fraction of its capacity, a server may be than one on a rack that is
	// fully used by the work that names it, and still be preferred by other tasks. At a utilization of a half, the
	// preference outweighs the largest difference in load and zonePenalty together.
	rackDemandPenalty = 2 * (1 + zonePenalty)
)

// demandRate is an exponentially weighted rate, in thousandths of a core.
type demandRate struct {
	value float64
	at    time.Duration
}

func (d *demandRate) current(now time.Duration) float64 {
	return d.value * math.Exp(-(now-d.at).Seconds()/rackDemandTime.Seconds())
}

// observeRackDemand records the work of a new job on the racks that it names. Racks without servers are left out, so that
// callers cannot fill the memory with invented names.
func (s *Scheduler) observeRackDemand(j *job) {
	for _, st := range j.steps {
		if st.spec.Rack == "" || len(s.serversByLabel[st.spec.Rack]) == 0 {
			continue
		}
		d := s.rackDemands[st.spec.Rack]
		if d == nil {
			d = &demandRate{}
			s.rackDemands[st.spec.Rack] = d
		}
		coreTime := float64(st.spec.Count) * st.work / 1000 * float64(st.spec.Need.CPU)
		d.value = d.current(s.now) + coreTime/rackDemandTime.Seconds()
		d.at = s.now
	}
}

// rackDemand returns the utilization of a rack by the work that names it, as far as this gateway can tell: it assumes
// that the other gateways have the same demand. It is 0 without demand.
func (s *Scheduler) rackDemand(rack string) float64 {
	d := s.rackDemands[rack]
	if d == nil {
		return 0
	}
	var capacity float64
	gateways := 1
	for _, srv := range s.serversByLabel[rack] {
		if s.usable(srv) {
			capacity += float64(srv.report.Capacity.CPU)
			gateways = max(gateways, srv.resources.Gateways)
		}
	}
	if capacity == 0 {
		return 0
	}
	return d.current(s.now) * float64(gateways) / capacity
}

// updateRackDemand determines the demand for all racks at intervals and forgets racks without any.
func (s *Scheduler) updateRackDemand() {
	if s.now < s.rackDemandDue {
		return
	}
	s.rackDemandDue = s.now + rackDemandInterval
	clear(s.demandedRacks)
	for rack := range s.rackDemands {
		if demand := s.rackDemand(rack); demand >= minRackDemand {
			s.demandedRacks[rack] = demand
		} else if s.now-s.rackDemands[rack].at > 10*rackDemandTime {
			delete(s.rackDemands, rack)
		}
	}
}

// foreignDemand returns the demand for the rack of a server, 0 if the task's data is on that rack.
func (s *Scheduler) foreignDemand(srv *server, st *step) float64 {
	demand := 0.0
	if len(s.demandedRacks) == 0 || (st.spec.Rack != "" && slices.Contains(srv.report.Labels, st.spec.Rack)) {
		return 0
	}
	for _, label := range srv.report.Labels {
		demand = max(demand, s.demandedRacks[label])
	}
	return demand
}
