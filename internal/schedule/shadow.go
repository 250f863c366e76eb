package schedule

import (
	"maps"
	"slices"

	"rosedrift.example/rosedrift/internal/structs"
)

// shadow returns a copy of the scheduler in which a new job can be submitted and dispatched without an effect on s. The
// servers are copied. The other jobs, the models, the cancelled jobs, the crash history and the quarantines are shared, so the copy must neither
// handle messages of agents nor dispatch other jobs.
func (s *Scheduler) shadow() *Scheduler {
	c := *s
	c.servers = make(map[structs.AgentID]*server, len(s.servers))
	for id, srv := range s.servers {
		c.servers[id] = srv.shadow()
	}
	c.sortedServers, c.unlinked = c.copiesOf(s.sortedServers), c.copiesOf(s.unlinked)
	c.changed, c.resumes = c.copiesOf(s.changed), c.copiesOf(s.resumes)
	c.serversByZone = make(map[string][]*server, len(s.serversByZone))
	for zone, servers := range s.serversByZone {
		c.serversByZone[zone] = c.copiesOf(servers)
	}
	c.serversByLabel = make(map[string][]*server, len(s.serversByLabel))
	for label, servers := range s.serversByLabel {
		c.serversByLabel[label] = c.copiesOf(servers)
	}
	c.rackWaits = make(map[string]*rackWaits, len(s.rackWaits))
	for rack, waits := range s.rackWaits {
		copied := *waits
		c.rackWaits[rack] = &copied
	}
	c.rackAhead, c.rackSample, c.offRack, c.rackStats = maps.Clone(s.rackAhead), nil, nil, RackStats{}
	c.models, c.jobs, c.tasks = maps.Clone(s.models), maps.Clone(s.jobs), maps.Clone(s.tasks)
	c.queue = slices.Clone(s.queue)
	c.stops = map[*server][]uint64{}
	c.demand, c.contention.estimator = s.demand.Clone(), s.contention.estimator.Clone()
	c.arbiters, c.claimsDue, c.relinkedAt, c.deadlines = nil, map[*server]*structs.JobClaims{}, 0, nil // a shadow has no arbiters, so it claims nothing
	c.sample, c.actions, c.placements, c.cancelling, c.probed = nil, nil, nil, nil, nil
	return &c
}

func (srv *server) shadow() *server {
	c := *srv
	c.unacknowledged = slices.Clone(srv.unacknowledged)
	c.tasks, c.fullUntil = maps.Clone(srv.tasks), maps.Clone(srv.fullUntil)
	return &c
}

// copiesOf returns the scheduler's own copies of some servers.
func (s *Scheduler) copiesOf(servers []*server) []*server {
	own := make([]*server, 0, len(servers))
	for _, srv := range servers {
		// Servers that have been forgotten may still be in the list of changed ones.
		if copied := s.servers[srv.id]; copied != nil {
			own = append(own, copied)
		}
	}
	return own
}
