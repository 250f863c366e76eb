package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosedrift.example/rosedrift/internal/structs"
)

// Parameters of the quarantine of queues whose tasks crash servers.
const (
	// quarantineTime is how long after the last crash a quarantine ends. It is longer than a server's restart, so that the
	// queue's tasks run for some seconds without a crash. It doubles with each quarantine that follows within probation, up
	// to maxQuarantineTime.
	quarantineTime    = 8 * time.Second
	maxQuarantineTime = 64 * time.Second
	// probation is how long after the end of a quarantine a single crash under the queue's tasks begins the next one.
	probation = time.Minute
	// maxQuarantinedShare bounds the share of a service's servers for all queues in quarantine, and minQuarantinedShare is
	// the least share of one queue.
	maxQuarantinedShare = 0.5
	minQuarantinedShare = 0.1
	// defaultShare is the share of a queue whose use of the servers is not known.
	defaultShare = 0.25
	// usageTime is the time constant of the average use of the servers by a queue.
	usageTime = 10 * time.Second
	// relays is the number of agents that pass a change of a quarantine on to the other gateways.
	relays = 5
	// announceInterval is the shortest time between two messages about further crashes under one queue.
	announceInterval = time.Second
	// unlinkedMember is how long a server without a link stays among the servers of which some are set apart.
	unlinkedMember = 5 * time.Second
)

// quarantine keeps the tasks of one queue on a few servers, which run no others. It is known to all gateways.
type quarantine struct {
	route, service string
	version        uint64
	share          float64
	servers        []structs.AgentID
	evidence       string
	// lastCrash is when a server last crashed under the queue's tasks.
	lastCrash time.Duration
	duration  time.Duration
	// active is unset while the queue is on probation.
	active      bool
	announcedAt time.Duration
}

// usage is the average CPU use of a queue, in thousandths of a core.
type usage struct {
	value float64
	at    time.Duration
}

func (u *usage) add(now time.Duration, coreTime float64) {
	u.value = u.current(now) + coreTime/usageTime.Seconds()
	u.at = now
}

func (u *usage) current(now time.Duration) float64 {
	return u.value * math.Exp(-(now-u.at).Seconds()/usageTime.Seconds())
}

// quarantines holds the queues in quarantine and on probation.
type quarantines struct {
	byRoute map[string]*quarantine
	// active is the number of those in quarantine.
	active int
	usage  map[string]*usage
	// apart holds the servers that are set apart, by service.
	apart map[string]map[structs.AgentID]bool
}

func newQuarantines() *quarantines {
	return &quarantines{byRoute: map[string]*quarantine{}, usage: map[string]*usage{}}
}

// observeUsage records that a run of a queue has used a server.
func (s *Scheduler) observeUsage(route string, need structs.Resources, runTime time.Duration) {
	u := s.quarantines.usage[route]
	if u == nil {
		u = &usage{at: s.now}
		s.quarantines.usage[route] = u
	}
	u.add(s.now, float64(need.CPU)*runTime.Seconds())
}

// shareOf returns the share of a queue in the use of the servers.
func (s *Scheduler) shareOf(route string) float64 {
	total := 0.0
	for _, u := range s.quarantines.usage {
		total += u.current(s.now)
	}
	own := s.quarantines.usage[route]
	if total == 0 || own == nil {
		return defaultShare
	}
	return min(max(own.current(s.now)/total, minQuarantinedShare), maxQuarantinedShare)
}

// inQuarantine reports whether a queue is in quarantine.
func (s *Scheduler) inQuarantine(route string) bool {
	if s.quarantines.active == 0 {
		return false
	}
	q := s.quarantines.byRoute[route]
	return q != nil && q.active
}

// beginQuarantine sets a queue apart after crashes under its tasks, or prolongs its quarantine.
func (s *Scheduler) beginQuarantine(route structs.Route, evidence string) {
	q := s.quarantines.byRoute[route.Name]
	switch {
	case q == nil:
		q = &quarantine{route: route.Name, service: route.Service, share: s.shareOf(route.Name), duration: quarantineTime}
		s.quarantines.byRoute[route.Name] = q
	case !q.active:
		q.duration = min(2*q.duration, maxQuarantineTime)
	}
	q.lastCrash, q.evidence = s.now, evidence
	if q.active && s.now-q.announcedAt < announceInterval {
		return
	}
	q.version++
	if !q.active || s.fewMembers(q) {
		q.active = true
		q.servers = s.chooseServersApart(q.service)
		s.quarantineChanged(q)
	}
	s.announceQuarantine(q)
}

// quarantineChanged logs the new state of a quarantine and considers all servers anew.
func (s *Scheduler) quarantineChanged(q *quarantine) {
	s.quarantines.active, s.quarantines.apart = 0, map[string]map[structs.AgentID]bool{}
	for _, other := range s.quarantines.byRoute {
		if !other.active {
			continue
		}
		s.quarantines.active++
		apart := s.quarantines.apart[other.service]
		if apart == nil {
			apart = map[structs.AgentID]bool{}
			s.quarantines.apart[other.service] = apart
		}
		for _, id := range other.servers {
			apart[id] = true
		}
	}
	message := MessageQuarantineEnded
	if q.active {
		message = MessageQuarantined
	}
	s.log(LogEntry{Message: message, Detail: fmt.Sprintf("queue %s share %.2f for %v evidence: %s; servers %s",
		q.route, q.share, q.duration, q.evidence, s.describeApart(q.service))})
	s.usabilityChanged = true
	for _, srv := range s.sortedServers {
		s.markChanged(srv)
	}
	for _, j := range s.queue {
		j.nextScan = 0
	}
}

func (s *Scheduler) describeApart(service string) string {
	var names []string
	for id := range s.quarantines.apart[service] {
		names = append(names, string(id))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// announceQuarantine sends a quarantine to some agents, which pass it on to the other gateways.
func (s *Scheduler) announceQuarantine(q *quarantine) {
	q.announcedAt = s.now
	sent := 0
	for _, srv := range rankServers(s.sortedServers) {
		if srv.linked {
			s.send(srv, structs.TypeQuarantine, s.quarantineMessage(q))
			if sent++; sent == relays {
				return
			}
		}
	}
}

func (s *Scheduler) quarantineMessage(q *quarantine) *structs.Quarantine {
	return &structs.Quarantine{
		Route: q.route, Service: q.service, Version: q.version, Active: q.active, Share: q.share, Servers: q.servers, Age: s.now - q.lastCrash,
		Duration: q.duration, Evidence: q.evidence,
	}
}

// HandleQuarantine handles the state of a quarantine as another gateway has decided it.
func (s *Scheduler) HandleQuarantine(now time.Duration, in *structs.Quarantine) {
	s.advance(now)
	q := s.quarantines.byRoute[in.Route]
	if math.IsNaN(in.Share) || (q != nil && in.Version <= q.version) {
		return
	}
	if q == nil {
		q = &quarantine{route: in.Route}
		s.quarantines.byRoute[in.Route] = q
	}
	wasActive, servers := q.active, q.servers
	q.service, q.version, q.evidence, q.servers = in.Service, in.Version, in.Evidence, in.Servers
	q.share = min(max(in.Share, minQuarantinedShare), maxQuarantinedShare) // also for a malformed message
	q.duration = min(max(in.Duration, quarantineTime), maxQuarantineTime)
	q.lastCrash = max(q.lastCrash, s.now-max(in.Age, 0))
	q.active = in.Active && s.now-q.lastCrash < q.duration
	if q.active != wasActive || (q.active && !slices.Equal(servers, q.servers)) {
		s.quarantineChanged(q)
	}
}

// LiftQuarantine ends the quarantine of a queue at the request of an operator, and reports whether it was in quarantine. The
// queue is on probation afterwards.
func (s *Scheduler) LiftQuarantine(now time.Duration, route string) bool {
	s.advance(now)
	if !s.inQuarantine(route) {
		return false
	}
	q := s.quarantines.byRoute[route]
	q.active, q.evidence = false, "lifted by an operator"
	q.version++
	s.quarantineChanged(q)
	s.announceQuarantine(q)
	return true
}

// QuarantineCount returns the number of queues in quarantine.
func (s *Scheduler) QuarantineCount() int { return s.quarantines.active }

// Quarantines returns the queues in quarantine, by name.
func (s *Scheduler) Quarantines() []QuarantineState {
	var states []QuarantineState
	for _, route := range slices.Sorted(maps.Keys(s.quarantines.byRoute)) {
		q := s.quarantines.byRoute[route]
		if !q.active {
			continue
		}
		state := QuarantineState{
			Route: q.route, Service: q.service, Evidence: q.evidence, LastCrash: s.now - q.lastCrash, EndsIn: s.quarantineEndsIn(route),
		}
		state.Servers = slices.Sorted(maps.Keys(s.quarantines.apart[q.service]))
		states = append(states, state)
	}
	return states
}

// updateQuarantines begins, prolongs and ends quarantines. found holds the jobs that were found to be to blame for crashes.
func (s *Scheduler) updateQuarantines(found []string) {
	for _, jobID := range found {
		if j := s.jobs[jobID]; j != nil {
			s.beginQuarantine(j.route, "job "+jobID+" crashed "+s.crashes.evidence(jobID))
		}
	}
	for _, q := range s.quarantines.byRoute {
		switch {
		case q.active && s.now-q.lastCrash >= q.duration && s.hasServerFor(q):
			q.active = false
			s.quarantineChanged(q)
		case !q.active && s.now-q.lastCrash > q.duration+probation:
			delete(s.quarantines.byRoute, q.route)
		}
	}
}

// hasServerFor reports whether a server that is set apart accepts tasks. Where none can be set apart, the queue gets no server
// during its quarantine.
func (s *Scheduler) hasServerFor(q *quarantine) bool {
	return len(s.quarantines.apart[q.service]) == 0 || s.hasUsableServerApart(q.service)
}

// hasUsableServerApart reports whether a server that is set apart accepts tasks.
func (s *Scheduler) hasUsableServerApart(service string) bool {
	for id := range s.quarantines.apart[service] {
		if srv := s.servers[id]; srv != nil && s.usable(srv) {
			return true
		}
	}
	return false
}

// prolongQuarantines handles a crash under the tasks of this gateway's jobs: it prolongs the quarantine of their queues, and
// begins that of a queue on probation if the run that was started last, or all runs, were of the queue.
func (s *Scheduler) prolongQuarantines(c *crash) {
	youngest := c.youngest()
	for _, jobID := range c.jobs() {
		j := s.jobs[jobID]
		if j == nil {
			continue
		}
		q := s.quarantines.byRoute[j.route.Name]
		if q != nil && (q.active || jobID == youngest) {
			s.beginQuarantine(j.route, "server "+c.server+" crashed under job "+jobID)
		}
	}
}

// rankServers returns servers in an order that is the same at all gateways and independent of names, zones and racks.
func rankServers(servers []*server) []*server {
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b *server) int {
		return cmp.Compare(xxhash.Sum64String(string(a.id)), xxhash.Sum64String(string(b.id)))
	})
	return ranked
}

// members returns the servers of a service of which some can be set apart, in the order of rankServers.
func (s *Scheduler) members(service string) []*server {
	return slices.DeleteFunc(rankServers(s.sortedServers), func(srv *server) bool {
		return srv.report.Service != service || s.zones.IsOut(srv.report.Zone) || (!srv.linked && s.now-srv.unlinkedAt >= unlinkedMember)
	})
}

// chooseServersApart returns the agents of the servers to set apart for all queues of a service in quarantine. At least half of
// the servers stay with the other queues, so a service with one server has none to set apart.
func (s *Scheduler) chooseServersApart(service string) []structs.AgentID {
	share := 0.0
	for _, q := range s.quarantines.byRoute {
		if q.active && q.service == service {
			share += q.share
		}
	}
	members := s.members(service)
	count := min(int(math.Ceil(share*float64(len(members)))), len(members)/2)
	ids := make([]structs.AgentID, 0, count)
	for _, srv := range members[:count] {
		ids = append(ids, srv.id)
	}
	return ids
}

// fewMembers reports whether most of the servers that are set apart for a queue are out of service for longer than a restart. A
// gateway that has just started does not know its servers yet.
func (s *Scheduler) fewMembers(q *quarantine) bool {
	if s.now-s.startedAt < unlinkedMember || len(q.servers) == 0 {
		return false
	}
	count := 0
	for _, srv := range s.members(q.service) {
		if slices.Contains(q.servers, srv.id) {
			count++
		}
	}
	return 2*count < len(q.servers)
}

// separates reports whether a quarantine keeps a task from a server. Neither side gets a server of the other unless no server
// of its own has the label that the step requires.
func (s *Scheduler) separates(srv *server, j *job, st *step, t *task) bool {
	if s.quarantines.active == 0 {
		return false
	}
	quarantined := s.inQuarantine(j.route.Name)
	if s.placedAlone(t) && (!srv.placesAlone || !srv.empty()) {
		return true
	}
	apart := s.quarantines.apart[j.route.Service]
	if quarantined == apart[srv.id] {
		return false
	}
	return st.spec.Label == "" || s.substituteFor(j, st, apart, quarantined) != srv
}

// substituteFor returns a server from the other side for a step that requires a label that no server on its own side has, or
// nil.
func (s *Scheduler) substituteFor(j *job, st *step, apart map[structs.AgentID]bool, quarantined bool) *server {
	var substitute *server
	for _, srv := range s.sortedServers {
		if srv.report.Service != j.route.Service || !slices.Contains(srv.report.Labels, st.spec.Label) {
			continue
		}
		if quarantined == apart[srv.id] {
			return nil
		}
		if substitute == nil {
			substitute = srv
		}
	}
	return substitute
}

// placedAlone reports whether a task runs only while no other job's tasks are on its server, so that another crash tells
// whether it is to blame.
func (s *Scheduler) placedAlone(t *task) bool {
	return s.inQuarantine(t.job.route.Name) && s.crashesUnder(t) > 0
}

// empty reports whether a server runs and queues nothing.
func (srv *server) empty() bool {
	return len(srv.unacknowledged) == 0 && len(srv.resources.Queues) == 0 && srv.resources.Free == srv.report.Capacity
}

// isApart reports whether a server is set apart for queues in quarantine.
func (s *Scheduler) isApart(id structs.AgentID) bool {
	for _, apart := range s.quarantines.apart {
		if apart[id] {
			return true
		}
	}
	return false
}

// awaitsQuarantine reports whether a job of a queue in quarantine cannot be served now, since no server that is set apart
// accepts tasks.
func (s *Scheduler) awaitsQuarantine(j *job) bool {
	if !s.inQuarantine(j.route.Name) {
		return false
	}
	return !s.hasUsableServerApart(j.route.Service) && s.HasUsableServer()
}

// quarantineEndsIn returns when the quarantine of a queue is expected to end.
func (s *Scheduler) quarantineEndsIn(route string) time.Duration {
	q := s.quarantines.byRoute[route]
	return max(q.lastCrash+q.duration-s.now, time.Second)
}
