package schedule

import (
	"fmt"
	"math"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/locality"
)

const (
	// rackSampleSize bounds the servers of a rack that are considered for a task, so that the cost of a task does not
	// grow with the rack.
	rackSampleSize = 32
	// rackWaitWeight is the weight of the newest wait in what is learned of a rack. It averages over about ten waits.
	rackWaitWeight = 0.1
	// maxRackWaitFactor bounds the learned factor of the waits, and rackWaitMemory is the time constant with which it
	// returns to 1 without new waits, since what was learned under load does not hold afterwards.
	maxRackWaitFactor = 8
	rackWaitMemory    = 2 * time.Second
)

// localityPolicy says whether tasks wait for servers on the rack of their data. Tests compare the policies.
type localityPolicy uint8

const (
	// weighWaits waits as package locality decides.
	weighWaits localityPolicy = iota
	// neverWait starts tasks off their rack whenever the rack has no free resources.
	neverWait
	// alwaysWait waits for the rack as long as it has usable servers.
	alwaysWait
)

// nearWait is the wait of a task for the rack of its data.
type nearWait struct {
	// since is when the task first began to wait, 0 if it never has, and began when its latest wait began. Since placements
	// that agents have returned count as waiting, what is learned of the rack is the time from since.
	since, began time.Duration
	// until is when the task is decided again, 0 if it does not wait.
	until time.Duration
	// expected is the expected length of the wait when it began, and offEnd when the task would have ended off the rack.
	expected time.Duration
	offEnd   time.Duration
}

// rackWaits is what is learned of the waits for a rack: the mean logarithm of their length over the expected one.
type rackWaits struct {
	logFactor float64
	at        time.Duration
	// excess is the mean time for which tasks on the rack waited at an agent beyond what was expected at their placement:
	// other gateways place tasks there meanwhile. excessAt is when it was learned.
	excess   float64
	excessAt time.Duration
}

// currentExcess returns how much longer than expected a task on the rack waits at an agent.
func (w *rackWaits) currentExcess(now time.Duration) time.Duration {
	if w == nil {
		return 0
	}
	return time.Duration(w.excess * math.Exp(-(now-w.excessAt).Seconds()/rackWaitMemory.Seconds()))
}

func (w *rackWaits) observeExcess(now, excess time.Duration) {
	current := float64(w.currentExcess(now))
	w.excess = current + rackWaitWeight*(float64(max(excess, 0))-current)
	w.excessAt = now
}

// waitsFor returns what is learned of the waits for a rack.
func (s *Scheduler) waitsFor(rack string) *rackWaits {
	waits := s.rackWaits[rack]
	if waits == nil {
		waits = &rackWaits{}
		s.rackWaits[rack] = waits
	}
	return waits
}

// observeAgentWait learns how long a task on its rack waited at the agent. runTime is 0 if it has not run.
func (s *Scheduler) observeAgentWait(t *task, st *step, runTime time.Duration) {
	if !t.offRack {
		s.waitsFor(st.spec.Rack).observeExcess(s.now, s.now-t.placedAt-runTime-messagingTime-t.expectedWait)
	}
}

// factor returns the factor by which waits for a rack exceed those that the release rates of its servers suggest.
func (w *rackWaits) factor(now time.Duration) float64 {
	if w == nil {
		return 1
	}
	return math.Exp(w.logFactor * math.Exp(-(now-w.at).Seconds()/rackWaitMemory.Seconds()))
}

func (w *rackWaits) observe(now, expected, actual time.Duration) {
	current := math.Log(w.factor(now))
	ratio := min(actual.Seconds()/max(expected, time.Millisecond).Seconds(), maxRackWaitFactor)
	limit := math.Log(maxRackWaitFactor)
	// expected includes the factor of its time, so ratio is what remains to be learned.
	w.logFactor = min(max(current+math.Log(1+rackWaitWeight*(ratio-1)), -limit), limit)
	w.at = now
}

// RackStats counts what became of tasks with data on a rack since the last TakeRackStats.
type RackStats struct {
	// Near and OffRack count the runs on the rack of their data and off it.
	Near, OffRack int64
	// WaitsPaid and WaitsUnpaid count the completed tasks that had waited for their rack: whether they ended before the
	// time at which they would have ended off the rack, as it was expected when the wait began.
	WaitsPaid, WaitsUnpaid int64
	// Waits holds the lengths of the waits that have ended.
	Waits []time.Duration
}

// TakeRackStats returns the counts since the last call.
func (s *Scheduler) TakeRackStats() RackStats {
	stats := s.rackStats
	s.rackStats = RackStats{}
	return stats
}

// indexLabels updates the index of servers by label after a change of a server's labels.
func (s *Scheduler) indexLabels(srv *server, before, after []string) {
	if slices.Equal(before, after) {
		return
	}
	for _, label := range before {
		if rest := removeServer(s.serversByLabel[label], srv); len(rest) > 0 {
			s.serversByLabel[label] = rest
		} else {
			delete(s.serversByLabel, label)
		}
	}
	for _, label := range after {
		if !slices.Contains(s.serversByLabel[label], srv) {
			s.serversByLabel[label] = insertServer(s.serversByLabel[label], srv)
		}
	}
}

// rackServers returns the servers of a rack, or some of them if there are many. Successive samples go round.
func (s *Scheduler) rackServers(rack string) []*server {
	servers := s.serversByLabel[rack]
	if len(servers) <= rackSampleSize {
		return servers
	}
	s.rackSample = s.rackSample[:0]
	for range rackSampleSize {
		s.rackOffset = (s.rackOffset + 1) % len(servers)
		s.rackSample = append(s.rackSample, servers[s.rackOffset])
	}
	return s.rackSample
}

// usesLocality reports whether a step may wait for the rack of its data.
func (s *Scheduler) usesLocality(st *step) bool {
	return st.spec.Rack != "" && s.options.OffRackFactor > 1 && s.locality != neverWait
}

// nearChoice is what to do with a task whose data is on a rack.
type nearChoice struct {
	candidate
	// waits is set if the task waits for its rack, refused if its job must be refused.
	waits, refused bool
}

// chooseNear returns the server for a task whose data is on a rack, or says that the task waits for the rack.
func (s *Scheduler) chooseNear(j *job, st *step, t *task, late bool) nearChoice {
	if t.near.until > s.now {
		servers := s.rackServers(st.spec.Rack)
		if s.now < j.nextScan {
			servers = s.changedIn(st.spec.Rack)
		}
		if c, rank := s.bestOf(servers, j, st, t, nil, late); s.endsWait(t, c, rank) {
			return nearChoice{candidate: c}
		}
		return s.waitOn(st, t)
	}
	if t.near.until == 0 && s.now < j.nextScan {
		return nearChoice{candidate: s.chooseServer(j, st, t, nil, late)}
	}
	near, rank := s.bestOf(s.rackServers(st.spec.Rack), j, st, t, nil, late)
	near.wait += s.rackWaits[st.spec.Rack].currentExcess(s.now)
	if rank == rankInTime && s.now+near.wait+near.run+messagingTime+st.remaining <= j.due {
		near.wait = 0
		return nearChoice{candidate: near}
	}
	return s.decideWait(j, st, t, near, rank, late)
}

// changedIn returns the servers of a rack that have changed since the last Flush.
func (s *Scheduler) changedIn(rack string) []*server {
	s.rackSample = s.rackSample[:0]
	for _, srv := range s.changed {
		if slices.Contains(srv.report.Labels, rack) {
			s.rackSample = append(s.rackSample, srv)
		}
	}
	return s.rackSample
}

// endsWait reports whether a waiting task takes a candidate on its rack: if its resources are free, or the task is
// expected to end there before it would have ended off the rack.
func (s *Scheduler) endsWait(t *task, c candidate, rank int) bool {
	return rank > 0 && c.server != t.avoidServer && (rank == rankInTime || s.now+c.wait+c.run <= t.near.offEnd)
}

// countTasksAhead determines which tasks wait for racks ahead of a job.
func (s *Scheduler) countTasksAhead(j *job) {
	clear(s.rackAhead)
	for _, other := range s.queue {
		if other == j {
			return
		}
		for _, st := range other.steps {
			for _, t := range st.tasks {
				if t.state == pending && t.near.until > s.now {
					s.rackAhead[st.spec.Rack] += st.spec.Need.CPU
				}
			}
		}
	}
}

// waitOn keeps a task waiting for its rack.
func (s *Scheduler) waitOn(st *step, t *task) nearChoice {
	s.rackAhead[st.spec.Rack] += st.spec.Need.CPU
	s.nextWaitEnd = min(s.nextWaitEnd, t.near.until)
	return nearChoice{waits: true}
}

// decideWait decides between the rack of a task's data and other servers. near is the best candidate on the rack, with its
// rank, which is 0 if there is none.
func (s *Scheduler) decideWait(j *job, st *step, t *task, near candidate, rank int, late bool) nearChoice {
	estimate := s.rackEstimate(j, st, t)
	usesCandidate := rank > 0 && near.server != t.avoidServer &&
		(estimate == nil || near.wait+near.run <= estimate.Wait+estimate.Run)
	if usesCandidate {
		estimate = s.startOf(st, near)
	}
	if estimate == nil {
		t.near.until = 0 // nothing is learned from a wait for a rack that was lost
		j.nextScan = 0
		// The job gains nothing by waiting for a better moment unless the servers of the rack are just being found.
		found := s.now-s.serverFoundAt >= discoveryTime
		return nearChoice{candidate: s.chooseServer(j, st, t, nil, late || found)}
	}
	off, offRank, utilization := s.bestOffRack(j, st, t)
	in := locality.Input{
		Now: s.now, Since: s.now, Due: j.due, LatestStart: s.latestNearStart(j, st, estimate.Run), Near: estimate,
		Utilization: utilization, Begun: j.begun(), Job: j.spec.ID, Slack: j.due - j.arrival - estimate.Run - st.remaining,
	}
	if t.near.since > 0 {
		in.Since = t.near.since
	}
	if offRank > 0 {
		in.Off = s.startOf(st, off)
	}
	d := s.decide(in)
	switch {
	case d.Action == locality.Refuse:
		return nearChoice{refused: true}
	case d.Action == locality.Wait && usesCandidate:
		return nearChoice{candidate: near}
	case d.Action == locality.Wait:
		s.beginWait(j, st, t, in, d.Until)
		return s.waitOn(st, t)
	}
	s.endWait(st, t)
	if offRank == rankInTime || (offRank > 0 && len(s.sortedServers) <= localSample+remoteSample) {
		return nearChoice{candidate: off}
	}
	j.nextScan = 0
	return nearChoice{candidate: s.chooseServer(j, st, t, nil, true)}
}

// decide applies the policy.
func (s *Scheduler) decide(in locality.Input) locality.Decision {
	if s.locality == alwaysWait {
		return locality.Decision{Action: locality.Wait, Until: s.now + scanInterval}
	}
	return locality.Decide(in)
}

// latestNearStart returns the latest time until which a task may wait for its rack. A job that has begun is not refused any
// more: its wait is limited by the expected ends, and by the time at which its last caller stops waiting.
func (s *Scheduler) latestNearStart(j *job, st *step, run time.Duration) time.Duration {
	if j.begun() {
		return j.deadline - run - st.remaining - messagingTime
	}
	return j.startBy(run + st.remaining)
}

// startOf returns the expected start of a task at a candidate, for package locality.
func (s *Scheduler) startOf(st *step, c candidate) *locality.Start {
	return &locality.Start{
		Wait: c.wait, Run: c.run, Rest: messagingTime + st.remaining,
	}
}

// bestOffRack returns the best of a sample of servers outside the rack of a task, with its rank, and the utilization of
// the sample. Servers on which the job will be late are included.
func (s *Scheduler) bestOffRack(j *job, st *step, t *task) (candidate, int, float64) {
	sample := s.sortedServers
	if len(sample) > localSample+remoteSample {
		sample = s.sampleServers()
	}
	s.offRack = s.offRack[:0]
	load := 0.0
	for _, srv := range sample {
		if !slices.Contains(srv.report.Labels, st.spec.Rack) && s.usable(srv) {
			s.offRack = append(s.offRack, srv)
			load += min(s.loadOf(srv), 1)
		}
	}
	best, rank := s.bestOf(s.offRack, j, st, t, nil, true)
	return best, rank, load / float64(max(len(s.offRack), 1))
}

// rackEstimate returns the expected start of a task on the rack of its data if it waits for it: after the tasks ahead, at
// the rate at which the servers of the rack free resources, corrected by what was learned. It returns nil if no server of
// the rack can run the task or none frees resources.
func (s *Scheduler) rackEstimate(j *job, st *step, t *task) *locality.Start {
	servers := s.rackServers(st.spec.Rack)
	var free int64
	var rate, slowness float64
	gateways := 1
	sep := s.separationOf(t)
	for _, srv := range servers {
		if srv == t.avoidServer || !s.suitable(srv, j, st, t, sep) {
			continue
		}
		serverRate := srv.releaseRate()
		free += srv.freeResourcesFor(j.route.Priority).CPU
		rate += serverRate
		gateways = max(gateways, srv.resources.Gateways)
		slowness += serverRate * srv.slowness
	}
	if rate <= 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return nil
	}
	share := float64(len(s.serversByLabel[st.spec.Rack])) / float64(len(servers))
	own := int64(0) // the tasks of the step that wait before this one
	for _, other := range st.tasks[:t.index] {
		if other.state == pending && other.near.until > s.now {
			own += st.spec.Need.CPU
		}
	}
	ahead := own + int64(gateways)*(s.rackAhead[st.spec.Rack]-own)
	missing := float64(ahead+st.spec.Need.CPU) - share*float64(free)
	wait := millis(max(missing, 0) / (share * rate) * s.rackWaits[st.spec.Rack].factor(s.now))
	return s.startOf(st, candidate{wait: max(wait, messagingTime), run: millis(st.work * slowness / rate)})
}

// releaseRate returns the rate at which the tasks on a server free CPU, in thousandths of a core per ms, including those that
// its report does not include yet.
func (srv *server) releaseRate() float64 {
	rate := float64(srv.resources.ReleaseRate)
	for _, sent := range srv.unacknowledged {
		rate += float64(sent.need.CPU) / float64(sent.run.Milliseconds()+1)
	}
	return rate
}

// beginWait makes a task wait for its rack, or prolongs its wait.
func (s *Scheduler) beginWait(j *job, st *step, t *task, in locality.Input, until time.Duration) {
	w := &t.near
	if w.until == 0 {
		w.began, w.expected = s.now, in.Near.Wait
		w.offEnd = in.LatestStart + in.Near.Run
		elsewhere := "none"
		if in.Off != nil {
			w.offEnd = s.now + in.Off.Wait + in.Off.Run
			elsewhere = (in.Off.Wait + in.Off.Run).String()
		}
		if w.since == 0 {
			w.since = s.now
		}
		if !st.waitLogged {
			st.waitLogged = true
			s.log(LogEntry{
				Message: MessageWaitsNear, Job: j.spec.ID, Tasks: st.pending, Age: s.now - j.arrival,
				Detail: fmt.Sprintf("rack %s expected after %v until %v end elsewhere after %v load %.2f", st.spec.Rack,
					in.Near.Wait.Round(time.Millisecond), (until - s.now).Round(time.Millisecond), elsewhere, in.Utilization),
			})
		}
	}
	w.until = until
}

// endWait ends the wait of a task for its rack, if it waits, and learns from its length.
func (s *Scheduler) endWait(st *step, t *task) {
	w := &t.near
	if w.until == 0 {
		return
	}
	w.until = 0
	s.waitsFor(st.spec.Rack).observe(s.now, w.expected, s.now-w.since)
	s.rackStats.Waits = append(s.rackStats.Waits, s.now-w.began)
}

// endWaits makes all waits be decided again, after a change of the servers that may be used.
func (s *Scheduler) endWaits() {
	if !s.usabilityChanged {
		return
	}
	s.usabilityChanged = false
	for _, j := range s.queue {
		for _, st := range j.steps {
			if st.spec.Rack == "" || st.pending == 0 {
				continue
			}
			for _, t := range st.tasks {
				if t.near.until > 0 {
					t.near.until = s.now
				}
			}
		}
	}
}

// countRackRun counts the end of a run of a task with data on a rack.
func (s *Scheduler) countRackRun(t *task, completed bool) {
	if t.offRack {
		s.rackStats.OffRack++
	} else {
		s.rackStats.Near++
	}
	switch {
	case t.near.since == 0 || !completed:
	case s.now <= t.near.offEnd:
		s.rackStats.WaitsPaid++
	default:
		s.rackStats.WaitsUnpaid++
	}
}
