package placement

import (
	"math"
	"math/bits"
	"time"
)

// Estimation of run times. All averages are taken over logarithms, since run times spread over two orders of
// magnitude and an arithmetic average would follow the few longest tasks.
const (
	// defaultRunTime is the expectation for a kind without observations and declaration.
	defaultRunTime = 200 * time.Millisecond
	// maxDeclared bounds the first estimate, since declared times are far off and a too high one has work refused.
	maxDeclaredTime = time.Second
	// speedWeight is the weight of the newest observation in the averages of a server and of a (server, kind) pair
	// after the first ones. Run times within a kind spread over a factor of 20, so that a higher weight would leave an
	// error above the differences between servers.
	estimateWeight = 0.02
	// recentWeight is the same for the short average that notices a change of a server's speed.
	recentWeight = 0.2
	// changeLog is the deviation of the short average, as a power of 2, at which the old estimates are dropped: about
	// five times its standard deviation.
	changeThreshold = 2.0
	// changeSamples is the number of observations that the new estimate counts for then.
	changeSamples = 5
	// kindWeight is the same for a kind over all servers.
	kindWeight = 0.02
	// priorSamples is the number of observations that the server's speed over all kinds counts for in the estimate
	// of a pair.
	priorSamples = 20.0
	// maxKinds bounds the memory of the index. Further kinds share the estimates of existing ones.
	maxKinds = 256
	// maxSpeedLog bounds the learned speed to factors from 1/64 to 64.
	maxLogRatio = 6.0
)

// Buckets order servers by expected run time: 8 buckets to a factor of 2, about 9% each, from 1 ms to 65 s.
const (
	bucketsPerOctave = 8
	bucketCount      = 128
)

// Kind holds the estimates of one kind of tasks and its servers in order of expected run time.
type Kind struct {
	// log is the base 2 logarithm of the run time in milliseconds on a server of speed 1.
	meanLog float64
	// mean is the average run time in milliseconds, work the same on a server of speed 1.
	mean      float64
	work      float64
	samples   float64
	estimates []serverEstimate
	buckets   [bucketCount]bitset
	// slots is the number of serving slots per bucket.
	bucketSlots [bucketCount]int
	// used marks non-empty buckets.
	usedBuckets [bucketCount / wordBits]uint64
}

// pair is the estimate of one server for one kind.
type serverEstimate struct {
	meanLog float64
	samples float64
	bucket  int
	present bool
}

// Mean returns the expected run time of a task on an average server.
func (k *Kind) Mean() time.Duration {
	return time.Duration(k.mean * float64(time.Millisecond))
}

// Work returns the expected run time of a task on a server of speed 1. Index.Capacity counts in the same unit.
func (k *Kind) Work() time.Duration {
	return time.Duration(k.work * float64(time.Millisecond))
}

// HasSamples reports whether the estimates rest on observations.
func (k *Kind) HasSamples() bool { return k.samples > 0 }

func newKind(declared time.Duration) *Kind {
	if declared <= 0 {
		declared = defaultRunTime
	}
	ms := max(min(declared, maxDeclaredTime).Seconds()*1000, 1)
	return &Kind{meanLog: math.Log2(ms), mean: ms, work: ms}
}

// observe learns from a finished task and moves the server to its bucket.
func (k *Kind) observe(s *Server, runTime time.Duration) {
	ms := max(runTime.Seconds()*1000, 0.1)
	log := math.Log2(ms)
	k.samples++
	weight := max(1/k.samples, kindWeight)
	k.mean += weight * (ms - k.mean)
	k.work += weight * (ms/s.RelativeRunTime() - k.work)
	k.meanLog += weight * (log - s.logRatio - k.meanLog)
	s.observe(log - k.meanLog)
	p := &k.estimates[s.number]
	p.samples++
	p.meanLog += max(1/p.samples, estimateWeight) * (log - p.meanLog)
	k.updateBucket(s)
}

// observe learns from the logarithm of a run time relative to the kind's.
func (s *Server) observe(relative float64) {
	s.samples++
	s.logRatio += max(1/(s.samples+1), estimateWeight) * (relative - s.logRatio)
	s.logRatio = min(max(s.logRatio, -maxLogRatio), maxLogRatio)
	s.recentLogRatio += max(1/s.samples, recentWeight) * (relative - s.recentLogRatio)
}

// hasChanged reports whether the server has become much faster or slower than its estimates say.
func (s *Server) speedChanged() bool {
	return s.samples > 2*changeSamples && math.Abs(s.recentLogRatio-s.logRatio) > changeThreshold
}

// forget drops the estimate of a server that has changed.
func (k *Kind) resetEstimate(s *Server) {
	p := &k.estimates[s.number]
	p.samples, p.meanLog = 0, 0
	k.updateBucket(s)
}

// expected returns the logarithm of the expected run time of a task on a server.
func (k *Kind) expectedLog(s *Server) float64 {
	p := &k.estimates[s.number]
	n := min(p.samples, 1/estimateWeight)
	return (n*p.meanLog + priorSamples*(k.meanLog+s.logRatio)) / (n + priorSamples)
}

// place puts a server into the bucket of its expected run time.
func (k *Kind) updateBucket(s *Server) {
	for len(k.estimates) <= s.number {
		k.estimates = append(k.estimates, serverEstimate{})
	}
	bucket := min(max(int(k.expectedLog(s)*bucketsPerOctave), 0), bucketCount-1)
	p := &k.estimates[s.number]
	if p.present && p.bucket == bucket {
		return
	}
	k.removeFromBucket(s)
	p.present, p.bucket = true, bucket
	k.bucketSlots[bucket] += s.servingSlots
	k.buckets[bucket].set(s.number)
	k.usedBuckets[bucket/wordBits] |= 1 << (bucket % wordBits)
}

// remove takes a server out of its bucket.
func (k *Kind) removeFromBucket(s *Server) {
	p := &k.estimates[s.number]
	if !p.present {
		return
	}
	p.present = false
	k.bucketSlots[p.bucket] -= s.servingSlots
	k.buckets[p.bucket].clear(s.number)
	if k.buckets[p.bucket].empty() {
		k.usedBuckets[p.bucket/wordBits] &^= 1 << (p.bucket % wordBits)
	}
}

// reweigh changes the number of serving slots of a server.
func (k *Kind) updateSlots(s *Server, weight int) {
	if p := &k.estimates[s.number]; p.present {
		k.bucketSlots[p.bucket] += weight - s.servingSlots
	}
}

// bucketTime returns the run time in milliseconds that a bucket stands for.
func bucketRunTime(bucket int) float64 {
	return math.Exp2((float64(bucket) + 0.5) / bucketsPerOctave)
}

// faster returns the number of serving slots in the buckets before one and the tasks of the kind per millisecond that
// they can run.
func (k *Kind) capacityBefore(bucket int) (slots, rate float64) {
	for i, used := range k.usedBuckets {
		for ; used != 0; used &= used - 1 {
			b := i*wordBits + bits.TrailingZeros64(used)
			if b >= bucket {
				return slots, rate
			}
			slots += float64(k.bucketSlots[b])
			rate += float64(k.bucketSlots[b]) / bucketRunTime(b)
		}
	}
	return slots, rate
}

// slowest returns the member of set with the highest expected run time, or -1.
func (k *Kind) slowest(set *bitset, turn int) int {
	for i := len(k.usedBuckets) - 1; i >= 0; i-- {
		for used := k.usedBuckets[i]; used != 0; {
			top := wordBits - 1 - bits.LeadingZeros64(used)
			if number := pickCommon(&k.buckets[i*wordBits+top], set, turn); number >= 0 {
				return number
			}
			used &^= 1 << top
		}
	}
	return -1
}

// fastest returns the member of set with the lowest expected run time, or -1.
func (k *Kind) fastest(set *bitset, turn int) int {
	for i, used := range k.usedBuckets {
		for ; used != 0; used &= used - 1 {
			bucket := i*wordBits + bits.TrailingZeros64(used)
			if number := pickCommon(&k.buckets[bucket], set, turn); number >= 0 {
				return number
			}
		}
	}
	return -1
}
