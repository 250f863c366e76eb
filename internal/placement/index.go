// Package placement chooses the server of a task in three stages: Filter (which servers may take it), Score (the
// lowest expected run time, learned per server and kind) and Reserve (count the slot).
//
// An Index keeps the servers that pass the filter in sets, and per kind in buckets of expected run time, so that a
// choice costs about the same for 11 and for 1,100 servers. It is deterministic and not safe for concurrent use.
package placement

import (
	"cmp"

	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the work that an agent gets.
const (
	// MaxQueued is the number of tasks that an agent may hold beyond its slots.
	MaxQueued = 2
	// MaxPrefetched is the number of routine tasks sent to an agent whose slots are all busy. It is below QueueBound
	// so that an urgent task still has a place in the queue, where it goes first.
	MaxPrefetched = 1
	// MaxShortRoutineTime is the longest expected run time of a routine task that may use held-back capacity.
	MaxShortRoutineTime = 250 * time.Millisecond
	// rampStart is the share of slots in use at once after a return.
	rampInitialShare = 0.5
	// RampTime is the time from a server's return to the use of all slots.
	RampTime = time.Second
	// maxOffset is the average deviation of the servers' speeds, as a power of 2, that is left uncorrected.
	maxMeanLogRatio = 0.05
	// waitGain is the part of a slower server's run time in which the wait for a faster one must be expected to end.
	// The margin covers the spread of the wait, which a task that starts at once does not have.
	maxWaitShare = 0.7
	// demandDecay is the part of the remembered peak of urgent tasks that is left after each heldInterval.
	demandDecay = 0.9
	// meanWeight is the weight of the newest task in the average run time of all tasks.
	meanWeight = 0.01
	// advanceInterval is the time between updates of the limits that depend on time.
	advanceInterval = time.Millisecond
	// heldInterval is the time between assignments of the held-back slots to servers.
	reserveInterval = time.Second
)

// Circuit breaker and refusals.
const (
	// breakerFailures is the number of failures in a row that opens the breaker.
	breakerFailures = 5
	// probeInterval is the shortest time between two probes of a failing server.
	probeInterval = time.Second
	// refusalPause is the time without starts after a first refusal. It doubles up to refusalPauseMax.
	initialRefusalPause = 20 * time.Millisecond
	maxRefusalPause     = time.Second
)

// Server is one agent with its backend server.
type Server struct {
	// Value is the caller's; the index does not look at it.
	Value any

	number   int
	slots    int
	inflight int
	// urgentReserve is the number of free slots that long routine tasks leave.
	urgentReserve int
	serving       bool
	// weight is slots while serving, else 0.
	servingSlots int
	// fast is set for the servers that urgent work needs at present.
	forUrgent bool
	// speed is the base 2 logarithm of the run time relative to the kind's.
	logRatio float64
	samples  float64
	// recent is a short average of the same.
	recentLogRatio float64
	rampStartedAt  time.Duration
	ramping        bool

	failures      int
	lastFailedJob uint64
	nextProbe     time.Duration

	refusals      int
	pausedUntil   time.Duration
	timeDependent bool
	removed       bool
}

// Inflight returns the number of reserved places.
func (s *Server) Inflight() int { return s.inflight }

// Slots returns the number of tasks that may run at once.
func (s *Server) Slots() int { return s.slots }

// RelativeRunTime returns the learned run time relative to the average; 2 takes twice as long.
func (s *Server) RelativeRunTime() float64 { return math.Exp2(s.logRatio) }

// BreakerOpen reports whether the circuit breaker keeps work from the server.
func (s *Server) BreakerOpen() bool { return s.failures >= breakerFailures }

// Paused reports whether the server gets no work for a short time after refusals.
func (s *Server) Paused(now time.Duration) bool { return now < s.pausedUntil }

// Ramping reports whether the server uses a part of its slots after its return.
func (s *Server) Ramping() bool { return s.ramping }

// Index holds the servers of a pool.
type Index struct {
	now      time.Duration
	servers  []*Server
	kinds    map[string]*Kind
	kindList []*Kind
	// free holds servers with a free slot, bulk those with a free slot beyond the held-back ones, rest those of bulk
	// that urgent work does not need, queue those with all slots busy and room for a prefetched task, overtake those
	// with room for an urgent task ahead of a prefetched one, and room all with less than slots and QueueBound
	// reserved.
	free, unreserved, spare, prefetch, urgentQueue, belowBound bitset
	// demand is the recent peak of urgent tasks that run or wait.
	urgentDemand float64
	capacity     float64
	// mean is the average run time in milliseconds of all tasks on a server of speed 1.
	meanWork          float64
	timeDependent     []*Server
	reserveShare      float64
	nextAdvance       time.Duration
	reserveAssignedAt time.Duration
	slots, serving    int
	reserveStale      bool
	// turn spreads choices within a bucket, cursor is the position of Next.
	rotation, cursor int
	random           *rand.Rand
}

// NewIndex returns an empty index. seed decides the choices of Random.
func NewIndex(seed uint64) *Index {
	return &Index{kinds: make(map[string]*Kind), meanWork: float64(defaultRunTime / time.Millisecond), random: rand.New(rand.NewPCG(seed, seed))}
}

// Slots returns the sum of the slots of all serving servers.
func (x *Index) Slots() int { return x.slots }

// Capacity returns the work per second that the serving servers can do, in seconds of run time at speed 1.
func (x *Index) Capacity() float64 { return x.capacity }

// Serving returns the number of servers that may get work.
func (x *Index) Serving() int { return x.serving }

// SetUrgentReserve sets the share of slots, 0 to 0.5, that long routine tasks may not use.
func (x *Index) SetUrgentReserve(share float64) {
	x.reserveShare = share
	x.reserveStale = true
}

// Kind returns the estimates of a kind. declared is the first estimate of a new one, 0 if there is none.
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

// AddServer adds a server that gets no work until SetServing.
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

// RemoveServer removes a server.
func (x *Index) RemoveServer(s *Server) {
	x.Update(s, 0, false, false)
	s.removed = true
	x.servers[s.number] = nil
	for _, k := range x.kindList {
		k.removeFromBucket(s)
		k.estimates[s.number] = serverEstimate{}
	}
}

// Update sets the slots of a server and whether it may get work. ramp lets it use half of its slots at first and
// all of them after RampTime.
func (x *Index) Update(s *Server, slots int, serving, ramp bool) {
	if s.serving {
		x.serving--
	}
	if ramp && serving && !s.serving {
		s.ramping, s.rampStartedAt = true, x.now
		x.addTimeDependent(s)
	}
	s.slots, s.serving = slots, serving
	weight := 0
	if serving {
		weight = slots
		x.serving++
	}
	x.slots += weight - s.servingSlots
	for _, k := range x.kindList {
		k.updateSlots(s, weight)
	}
	s.servingSlots = weight
	x.reserveStale = true
	x.updateSets(s)
}

// UpdateReserve applies changes of the servers to the held-back slots. Callers settle before they choose servers.
func (x *Index) UpdateReserve() {
	if x.reserveStale || x.now >= x.reserveAssignedAt+reserveInterval {
		x.assignReserve()
	}
}

// Advance lets time pass: ramps, probes and pauses.
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

// advanceServer reports whether the server's limits still depend on time.
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

func (x *Index) addTimeDependent(s *Server) {
	if !s.timeDependent {
		s.timeDependent = true
		x.timeDependent = append(x.timeDependent, s)
	}
}

// RecordUrgentDemand tells how many urgent tasks run or wait. The index remembers the peak for some seconds.
func (x *Index) RecordUrgentDemand(tasks int) { x.urgentDemand = max(x.urgentDemand, float64(tasks)) }

// center makes the average speed of the known servers 1 again. Only the sum of a kind's and a server's estimate is
// determined by the observations; without the correction servers without observations would look faster or slower
// than the others.
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

// assignHeld gives the held-back slots to the fastest servers, one each in turn, so that urgent tasks find a fast
// server free, and marks the fast servers that urgent work needs. Without urgent work nothing is held back.
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

// limit returns the number of tasks that the server may have in flight at present.
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

// refresh recomputes the server's place in the sets of the filter stage.
func (x *Index) updateSets(s *Server) {
	free := s.maxInflight(x.now) - s.inflight
	bulk := free > s.urgentReserve
	normal := s.serving && !s.BreakerOpen() && !s.ramping && !s.Paused(x.now)
	x.free.put(s.number, free > 0)
	x.unreserved.put(s.number, bulk)
	x.spare.put(s.number, bulk && !s.forUrgent)
	x.prefetch.put(s.number, normal && free <= 0 && s.inflight < s.slots+MaxPrefetched)
	x.urgentQueue.put(s.number, normal && s.inflight > s.slots && s.inflight < s.slots+MaxQueued)
	x.belowBound.put(s.number, normal && s.inflight < s.slots+MaxQueued)
}

// Filter says which servers pass the filter for a task.
type Filter uint8

// The needs.
const (
	// AnySlot is a free slot, held back or not.
	AnySlot Filter = iota
	// UnreservedSlot is a free slot that is not held back.
	UnreservedSlot
	// SpareSlot is a free slot that is not held back at a server that urgent work does not need at present.
	SpareSlot
	// PrefetchPosition is a place in the queue of a server whose slots are all busy.
	PrefetchPosition
	// UrgentQueuePosition is a place in the queue of a server ahead of a prefetched task.
	UrgentQueuePosition
)

func (x *Index) candidates(need Filter) *bitset {
	switch need {
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

// Has reports whether any server passes the filter.
func (x *Index) Has(need Filter) bool { return !x.candidates(need).empty() }

// Fastest returns the server with the lowest expected run time for a kind among those that pass the filter, or nil.
func (x *Index) Fastest(k *Kind, need Filter) *Server {
	return x.serverAt(k.fastest(x.candidates(need), x.rotation))
}

// Slowest is like Fastest for the highest expected run time.
func (x *Index) Slowest(k *Kind, need Filter) *Server {
	return x.serverAt(k.slowest(x.candidates(need), x.rotation))
}

// ShouldWait reports whether the last of waiting tasks of a kind is expected to end earlier if all of them wait for
// servers faster than s, whose slots are busy, than by a start at s. It also returns the expected run time at s.
func (x *Index) ShouldWait(k *Kind, s *Server, waiting int) (wait bool, expected time.Duration) {
	bucket := k.estimates[s.number].bucket
	own := bucketRunTime(bucket)
	expected = time.Duration(own * float64(time.Millisecond))
	slots, rate := k.capacityBefore(bucket)
	if slots == 0 || k.mean <= 0 {
		return false, expected
	}
	// The busy slots run tasks of all kinds, so they get free at the rate of the average task.
	release := rate * k.work / max(x.meanWork, 1)
	return float64(waiting)/release+slots/rate < maxWaitShare*own, expected
}

// PickRandom returns a random server with room, without regard to free slots.
func (x *Index) PickRandom() *Server {
	if len(x.servers) == 0 {
		return nil
	}
	return x.serverAt(x.belowBound.next(x.random.IntN(len(x.servers))))
}

// PickNext returns the servers with a free slot in turn, without regard to speed.
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

// Reserve counts a place for a task that is sent to the server.
func (x *Index) Reserve(s *Server) {
	if s.inflight >= s.slots+MaxQueued {
		panic("placement: reservation beyond slots and queue bound")
	}
	if s.BreakerOpen() {
		s.nextProbe = x.now + probeInterval
	}
	s.inflight++
	x.rotation = (x.rotation + 1) % wordBits
	x.updateSets(s)
}

// Occupy counts a task that an earlier owner has sent.
func (x *Index) Occupy(s *Server) {
	s.inflight++
	x.updateSets(s)
}

// Release frees a place.
func (x *Index) Release(s *Server) {
	s.inflight--
	if s.inflight < 0 {
		panic("placement: release of a place that is not reserved")
	}
	x.updateSets(s)
}

// Finished learns the speed from a task that succeeded and closes the breaker.
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

// Failed counts a failure for the breaker. Failures of the same job in a row count once, so that one job whose tasks
// all fail does not open the breakers of all servers. job is not 0.
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

// Refused pauses a server that refused a start, so that the task and others are not sent to it again and again.
func (x *Index) Refused(s *Server) {
	pause := min(initialRefusalPause<<min(s.refusals, 10), maxRefusalPause)
	s.refusals++
	s.pausedUntil = max(s.pausedUntil, x.now+pause)
	x.addTimeDependent(s)
	x.updateSets(s)
}

func nameHash(name string) uint64 { return xxhash.Sum64String(name) }
