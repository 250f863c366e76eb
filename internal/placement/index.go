// Package placement chooses the server of a task in three stages: filter (which servers may take it), score (the
// expected run time, learned per server and kind) and reserve (count the task as in flight at the server).
//
// An Index keeps a set of servers for each filter and, per kind, sets of servers in buckets of expected run time. A
// choice intersects two sets, so that it costs about the same for 11 and for 1,100 servers. An Index is deterministic
// and not safe for concurrent use.
//
// An average server is one with a relative run time of 1, see Server.RelativeRunTime.
package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the work that a server gets.
const (
	// MaxQueued is the number of tasks in flight that a server may have beyond its slots.
	MaxQueued = 2
	// MaxPrefetched is the number of routine tasks that are sent to a server whose slots are all busy. It is below
	// MaxQueued, so that an urgent task can still be queued at the server, where it runs first.
	MaxPrefetched = 1
	// MaxShortRoutineTime is the longest expected run time of a routine task that may use slots of the urgent
	// reserve.
	MaxShortRoutineTime = 250 * time.Millisecond
	// rampInitialShare is the share of its slots that a server may use at the start of its ramp.
	rampInitialShare = 0.5
	// RampTime is the time from the return of a server until it may use all of its slots.
	RampTime = time.Second
	// maxMeanLogRatio is the average of the servers' logRatio up to which centerRatios does not correct it.
	maxMeanLogRatio = 0.05
	// maxWaitShare is the largest share of the run time on a slower server within which a task must be expected to
	// end if it waits for a faster one instead. The margin covers the variance of the wait, which a task that starts
	// at once does not have.
	maxWaitShare = 0.7
	// demandDecay is the factor by which the remembered peak of urgent tasks shrinks in each reserveInterval.
	demandDecay = 0.9
	// meanWeight is the weight of the newest task in Index.meanWork.
	meanWeight = 0.01
	// advanceInterval is the time between updates of the limits that depend on time.
	advanceInterval = time.Millisecond
	// reserveInterval is the time after which the urgent reserve is assigned to servers again, even without a change.
	reserveInterval = time.Second
)

// Circuit breaker and refusals.
const (
	// breakerFailures is the number of consecutive failures that opens the breaker of a server.
	breakerFailures = 5
	// probeInterval is the shortest time between two probes of a failing server.
	probeInterval = time.Second
	// initialRefusalPause is the time for which a server gets no starts after its first refusal. It doubles with each
	// further refusal, up to maxRefusalPause.
	initialRefusalPause = 20 * time.Millisecond
	maxRefusalPause     = time.Second
)

// Server is one agent with its backend server.
type Server struct {
	// Value is set by the user of the index, which does not use it.
	Value any

	// number is the position in Index.servers and the element in the sets. The number of a removed server is used
	// again.
	number int
	slots  int
	// inflight is the number of tasks sent to the server that have not ended: running or queued there.
	inflight int
	// urgentReserve is the number of slots that long routine tasks must leave free.
	urgentReserve int
	serving       bool
	// servingSlots is slots while the server is serving, otherwise 0.
	servingSlots int
	// forUrgent is set for the fastest servers, as many as the current urgent tasks need.
	forUrgent bool
	// logRatio is the estimated base 2 logarithm of the server's run time relative to an average server.
	logRatio float64
	samples  float64
	// recentLogRatio is the same estimate with a higher weight of recent tasks. It shows a change of the server's
	// speed early.
	recentLogRatio float64
	rampStartedAt  time.Duration
	ramping        bool

	// failures is the number of consecutive failures for the breaker. Further failures of lastFailedJob do not count.
	failures      int
	lastFailedJob uint64
	nextProbe     time.Duration

	// refusals counts the refusals since the last task that succeeded.
	refusals    int
	pausedUntil time.Duration
	// timeDependent is set if Index.timeDependent contains the server.
	timeDependent bool
	removed       bool
}

// Inflight returns the number of tasks in flight, running or queued at the server.
func (s *Server) Inflight() int { return s.inflight }

// Slots returns the number of tasks that may run at once.
func (s *Server) Slots() int { return s.slots }

// RelativeRunTime returns the learned run time of tasks relative to other servers: 1 is average, 2 takes twice as long.
func (s *Server) RelativeRunTime() float64 { return math.Exp2(s.logRatio) }

// BreakerOpen reports whether the circuit breaker of the server is open, so that it gets only probes.
func (s *Server) BreakerOpen() bool { return s.failures >= breakerFailures }

// Paused reports whether the server gets no work at the time now because it has refused starts.
func (s *Server) Paused(now time.Duration) bool { return now < s.pausedUntil }

// Ramping reports whether the server may use only a part of its slots because it returned recently.
func (s *Server) Ramping() bool { return s.ramping }

// Index holds the servers of a pool.
type Index struct {
	now      time.Duration
	servers  []*Server
	kinds    map[string]*Kind
	kindList []*Kind
	// The sets of servers that pass a filter: free for AnySlot, unreserved for UnreservedSlot, spare for SpareSlot,
	// prefetch for PrefetchPosition and urgentQueue for UrgentQueuePosition. belowBound holds all servers with fewer
	// tasks in flight than slots and MaxQueued allow.
	free, unreserved, spare, prefetch, urgentQueue, belowBound bitset
	// urgentDemand is the recent peak of the number of urgent tasks that run or wait.
	urgentDemand float64
	capacity     float64
	// meanWork is the average run time in milliseconds that tasks of all kinds would have on an average server.
	meanWork float64
	// timeDependent lists the servers whose limits change with time, which Advance updates.
	timeDependent []*Server
	// reserveShare is the share of all slots in the urgent reserve.
	reserveShare      float64
	nextAdvance       time.Duration
	reserveAssignedAt time.Duration
	slots, serving    int
	// reserveStale means that the urgent reserve must be assigned again.
	reserveStale bool
	// rotation spreads the choices over the servers in a bucket. cursor is where PickNext continues.
	rotation, cursor int
	random           *rand.Rand
}

// NewIndex returns an empty index. seed decides the choices of PickRandom.
func NewIndex(seed uint64) *Index {
	return &Index{kinds: make(map[string]*Kind), meanWork: float64(defaultRunTime / time.Millisecond), random: rand.New(rand.NewPCG(seed, seed))}
}

// Slots returns the sum of the slots of all serving servers.
func (x *Index) Slots() int { return x.slots }

// Capacity returns the work per second that the serving servers can do, in seconds of run time on an average server.
func (x *Index) Capacity() float64 { return x.capacity }

// Serving returns the number of servers that are serving, that is may get work.
func (x *Index) Serving() int { return x.serving }

// SetUrgentReserve sets the share of all slots, 0 to 0.5, that long routine tasks may not use while there are urgent
// tasks.
func (x *Index) SetUrgentReserve(share float64) {
	x.reserveShare = share
	x.reserveStale = true
}

// Kind returns the estimates of a kind. declared is the first estimate of a new kind's run time, 0 if none was
// declared.
func (x *Index) Kind(name string, declared time.Duration) *Kind {
	if k, ok := x.kinds[name]; ok {
		return k
	}
	if len(x.kindList) == maxKinds {
		return x.kindList[nameHash(name)%maxKinds]
	}
	k := newKind(declared)
	for _, s := range x.servers {
		if s != nil {
			k.updateBucket(s)
		}
	}
	x.kinds[name] = k
	x.kindList = append(x.kindList, k)
	return k
}

// AddServer adds a server. It gets no work until Update sets it as serving.
func (x *Index) AddServer(value any) *Server {
	s := &Server{Value: value, number: slices.Index(x.servers, nil)}
	if s.number < 0 {
		s.number = len(x.servers)
		x.servers = append(x.servers, nil)
	}
	x.servers[s.number] = s
	for _, k := range x.kindList {
		k.updateBucket(s)
	}
	return s
}

// RemoveServer removes a server. Its number may be used again, so the estimates for it are reset.
func (x *Index) RemoveServer(s *Server) {
	x.Update(s, 0, false, false)
	s.removed = true
	x.servers[s.number] = nil
	for _, k := range x.kindList {
		k.removeFromBucket(s)
		k.estimates[s.number] = serverEstimate{}
	}
}

// Update sets the slots of a server and whether it is serving. With ramp, a server that starts to serve may use half of
// its slots at first and all of them after RampTime.
func (x *Index) Update(s *Server, slots int, serving, ramp bool) {
	if s.serving {
		x.serving--
	}
	if ramp && serving && !s.serving {
		s.ramping, s.rampStartedAt = true, x.now
		x.addTimeDependent(s)
	}
	s.slots, s.serving = slots, serving
	servingSlots := 0
	if serving {
		servingSlots = slots
		x.serving++
	}
	x.slots += servingSlots - s.servingSlots
	for _, k := range x.kindList {
		k.updateSlots(s, servingSlots)
	}
	s.servingSlots = servingSlots
	x.reserveStale = true
	x.updateSets(s)
}

// UpdateReserve assigns the urgent reserve again after a change of the servers and once per reserveInterval. It must be
// called before servers are chosen.
func (x *Index) UpdateReserve() {
	if x.reserveStale || x.now >= x.reserveAssignedAt+reserveInterval {
		x.assignReserve()
	}
}

// Advance sets the time and updates the servers whose limits depend on it: those that are ramping, paused or have an
// open breaker.
func (x *Index) Advance(now time.Duration) {
	x.now = now
	if now < x.nextAdvance {
		return
	}
	x.nextAdvance = now + advanceInterval
	kept := x.timeDependent[:0]
	for _, s := range x.timeDependent {
		s.timeDependent = x.advanceServer(s)
		if s.timeDependent {
			kept = append(kept, s)
		}
	}
	clear(x.timeDependent[len(kept):])
	x.timeDependent = kept
}

// advanceServer updates a server and reports whether its limits still depend on time.
func (x *Index) advanceServer(s *Server) bool {
	if s.removed {
		return false
	}
	if s.ramping && x.now >= s.rampStartedAt+RampTime {
		s.ramping = false
	}
	x.updateSets(s)
	return s.ramping || s.BreakerOpen() || s.Paused(x.now)
}

// addTimeDependent makes Advance update the server.
func (x *Index) addTimeDependent(s *Server) {
	if !s.timeDependent {
		s.timeDependent = true
		x.timeDependent = append(x.timeDependent, s)
	}
}

// RecordUrgentDemand reports how many urgent tasks run or wait. The index remembers the peak, which decays over some
// seconds.
func (x *Index) RecordUrgentDemand(tasks int) { x.urgentDemand = max(x.urgentDemand, float64(tasks)) }

// centerRatios shifts the estimates so that the average logRatio of the observed servers is 0 again. The observations
// determine only the sum of a kind's and a server's estimate. Without the correction both could drift apart, and
// servers without observations would look faster or slower than the others.
func (x *Index) centerRatios() {
	var sum, count float64
	for _, s := range x.servers {
		if s != nil && s.samples > 0 {
			sum += s.logRatio
			count++
		}
	}
	offset := sum / max(count, 1)
	if math.Abs(offset) < maxMeanLogRatio {
		return
	}
	for _, s := range x.servers {
		if s != nil && s.samples > 0 {
			s.logRatio -= offset
			s.recentLogRatio -= offset
		}
	}
	x.meanWork *= math.Exp2(offset)
	for _, k := range x.kindList {
		k.meanLog += offset
		k.work *= math.Exp2(offset)
		for _, s := range x.servers {
			if s != nil {
				k.updateBucket(s)
			}
		}
	}
}

// assignReserve distributes the urgent reserve over the servers, one slot each in turn from the fastest to the slowest,
// so that urgent tasks find a free slot on a fast server. It also marks the fastest servers that the urgent tasks need.
// Without urgent tasks there is no reserve.
func (x *Index) assignReserve() {
	if x.now >= x.reserveAssignedAt+reserveInterval {
		x.reserveAssignedAt = x.now
		x.urgentDemand *= demandDecay
		x.centerRatios()
	}
	x.reserveStale = false
	x.capacity = 0
	serving := make([]*Server, 0, x.serving)
	for _, s := range x.servers {
		if s == nil {
			continue
		}
		s.urgentReserve, s.forUrgent = 0, false
		if s.serving {
			serving = append(serving, s)
			x.capacity += float64(s.slots) / s.RelativeRunTime()
		}
	}
	slices.SortStableFunc(serving, func(a, b *Server) int { return cmp.Compare(a.logRatio, b.logRatio) })
	needed := x.urgentDemand
	for _, s := range serving {
		s.forUrgent = needed > 0
		needed -= float64(s.slots)
	}
	for left := int(math.Ceil(min(x.reserveShare*float64(x.slots), x.urgentDemand))); left > 0; {
		before := left
		for _, s := range serving {
			if left > 0 && s.urgentReserve < s.slots {
				s.urgentReserve++
				left--
			}
		}
		if left == before {
			break
		}
	}
	for _, s := range serving {
		x.updateSets(s)
	}
}

// maxInflight returns the number of tasks that the server may have in flight now without queueing: its slots, or fewer
// while it is paused, probed or ramping.
func (s *Server) maxInflight(now time.Duration) int {
	switch {
	case !s.serving || s.Paused(now):
		return 0
	case s.BreakerOpen():
		if s.inflight > 0 || now < s.nextProbe {
			return 0
		}
		return 1
	case s.ramping:
		share := rampInitialShare + (1-rampInitialShare)*float64(now-s.rampStartedAt)/float64(RampTime)
		return max(1, int(share*float64(s.slots)))
	}
	return s.slots
}

// updateSets updates the membership of a server in the sets of the filters.
func (x *Index) updateSets(s *Server) {
	free := s.maxInflight(x.now) - s.inflight
	unreserved := free > s.urgentReserve
	normal := s.serving && !s.BreakerOpen() && !s.ramping && !s.Paused(x.now)
	x.free.put(s.number, free > 0)
	x.unreserved.put(s.number, unreserved)
	x.spare.put(s.number, unreserved && !s.forUrgent)
	x.prefetch.put(s.number, normal && free <= 0 && s.inflight < s.slots+MaxPrefetched)
	x.urgentQueue.put(s.number, normal && s.inflight > s.slots && s.inflight < s.slots+MaxQueued)
	x.belowBound.put(s.number, normal && s.inflight < s.slots+MaxQueued)
}

// Filter says what a server must have to be chosen for a task.
type Filter uint8

// The filters.
const (
	// AnySlot is a free slot, also one of the urgent reserve.
	AnySlot Filter = iota
	// UnreservedSlot is a free slot outside the urgent reserve.
	UnreservedSlot
	// SpareSlot is a free slot outside the urgent reserve on a server that the current urgent tasks do not need.
	SpareSlot
	// PrefetchPosition is a queue position for a routine task on a server whose slots are all busy.
	PrefetchPosition
	// UrgentQueuePosition is a queue position for an urgent task on a server that already has a queued task. The
	// server runs the urgent task first.
	UrgentQueuePosition
)

func (x *Index) candidates(filter Filter) *bitset {
	switch filter {
	case UnreservedSlot:
		return &x.unreserved
	case SpareSlot:
		return &x.spare
	case PrefetchPosition:
		return &x.prefetch
	case UrgentQueuePosition:
		return &x.urgentQueue
	default:
		return &x.free
	}
}

// Has reports whether any server passes a filter.
func (x *Index) Has(filter Filter) bool { return !x.candidates(filter).empty() }

// Fastest returns the server with the lowest expected run time for a kind among those that pass a filter, or nil.
func (x *Index) Fastest(k *Kind, filter Filter) *Server {
	return x.serverAt(k.fastest(x.candidates(filter), x.rotation))
}

// Slowest returns the server with the highest expected run time for a kind among those that pass a filter, or nil.
func (x *Index) Slowest(k *Kind, filter Filter) *Server {
	return x.serverAt(k.slowest(x.candidates(filter), x.rotation))
}

// ShouldWait reports whether the last of a number of waiting tasks of a kind is expected to end earlier if all of them
// wait for servers faster than s, whose slots are busy, than if it starts on s now. It also returns the expected run
// time on s.
func (x *Index) ShouldWait(k *Kind, s *Server, waiting int) (wait bool, expected time.Duration) {
	bucket := k.estimates[s.number].bucket
	own := bucketRunTime(bucket)
	expected = time.Duration(own * float64(time.Millisecond))
	slots, rate := k.capacityBefore(bucket)
	if slots == 0 || k.mean <= 0 {
		return false, expected
	}
	// The busy slots run tasks of all kinds, so they become free at the rate of the average task.
	releaseRate := rate * k.work / max(x.meanWork, 1)
	return float64(waiting)/releaseRate+slots/rate < maxWaitShare*own, expected
}

// PickRandom returns a random server that is below its bound of slots and MaxQueued, or nil. Free slots make no
// difference.
func (x *Index) PickRandom() *Server {
	if len(x.servers) == 0 {
		return nil
	}
	return x.serverAt(x.belowBound.next(x.random.IntN(len(x.servers))))
}

// PickNext returns the next server with a free slot in the order of their numbers, regardless of speed, or nil if there
// is none.
func (x *Index) PickNext() *Server {
	number := x.free.next(x.cursor)
	x.cursor = number + 1
	return x.serverAt(number)
}

func (x *Index) serverAt(number int) *Server {
	if number < 0 {
		return nil
	}
	return x.servers[number]
}

// Reserve counts a task that is sent to the server as in flight.
func (x *Index) Reserve(s *Server) {
	if s.inflight >= s.slots+MaxQueued {
		panic("placement: more tasks in flight than slots and MaxQueued")
	}
	if s.BreakerOpen() {
		s.nextProbe = x.now + probeInterval
	}
	s.inflight++
	x.rotation = (x.rotation + 1) % wordBits
	x.updateSets(s)
}

// Occupy counts a task in flight that an earlier owner of the pool has sent. The limits do not apply to it.
func (x *Index) Occupy(s *Server) {
	s.inflight++
	x.updateSets(s)
}

// Release reports that a task is no longer in flight.
func (x *Index) Release(s *Server) {
	s.inflight--
	if s.inflight < 0 {
		panic("placement: fewer than 0 tasks in flight")
	}
	x.updateSets(s)
}

// Finished updates the estimates with the run time of a task that succeeded, and closes the breaker.
func (x *Index) Finished(s *Server, k *Kind, runTime time.Duration) {
	k.observe(s, runTime)
	if s.speedChanged() {
		s.logRatio, s.samples = s.recentLogRatio, changeSamples
		for _, kind := range x.kindList {
			kind.resetEstimate(s)
		}
	}
	x.meanWork += meanWeight * (runTime.Seconds()*1000/s.RelativeRunTime() - x.meanWork)
	s.failures, s.lastFailedJob, s.refusals = 0, 0, 0
	x.updateSets(s)
}

// Failed counts a failure for the breaker. Consecutive failures of the same job count once, so that one job whose tasks
// all fail does not open the breakers of all servers. job must not be 0.
func (x *Index) Failed(s *Server, job uint64) {
	if s.lastFailedJob != job {
		s.lastFailedJob = job
		s.failures++
	}
	if s.BreakerOpen() {
		s.nextProbe = max(s.nextProbe, x.now+probeInterval)
		x.addTimeDependent(s)
	}
	x.updateSets(s)
}

// Refused pauses a server that has refused a start, so that it does not get the same tasks again and again.
func (x *Index) Refused(s *Server) {
	pause := min(initialRefusalPause<<min(s.refusals, 10), maxRefusalPause)
	s.refusals++
	s.pausedUntil = max(s.pausedUntil, x.now+pause)
	x.addTimeDependent(s)
	x.updateSets(s)
}

func nameHash(name string) uint64 { return xxhash.Sum64String(name) }
