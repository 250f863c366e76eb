package placement

import (
	"math"
	"math/bits"
	"time"
)

// Parameters of the run time estimates. The averages that compare servers are taken over logarithms: run times vary by
// two orders of magnitude, and an arithmetic average would follow the few longest tasks.
const (
	// defaultRunTime is the estimate for a kind without a declared run time, before the first observation.
	defaultRunTime = 200 * time.Millisecond
	// maxDeclaredTime bounds the declared run time that is used as the first estimate. Declared times can be far off,
	// and an estimate that is too high causes submissions to be refused.
	maxDeclaredTime = time.Second
	// estimateWeight is the weight of the newest observation in the averages of a server and of a server for one
	// kind. The first observations have a higher weight. Run times within a kind vary by a factor of 20, so that a
	// weight above 0.02 would leave an error larger than the differences between servers.
	estimateWeight = 0.02
	// recentWeight is the weight of the newest observation in Server.recentLogRatio.
	recentWeight = 0.2
	// changeThreshold is the difference between recentLogRatio and logRatio at which the old estimates of a server are
	// dropped. It is about five standard deviations of recentLogRatio.
	changeThreshold = 2.0
	// changeSamples is the number of observations that the new estimate of such a server counts for.
	changeSamples = 5
	// kindWeight is the weight of the newest observation in the averages of a kind over all servers.
	kindWeight = 0.02
	// priorSamples is the number of observations that the estimate of a server over all kinds counts for in its
	// estimate for one kind.
	priorSamples = 20.0
	// maxKinds bounds the memory of the index. Further kinds share the estimates of existing ones.
	maxKinds = 256
	// maxLogRatio bounds RelativeRunTime to the range from 1/64 to 64.
	maxLogRatio = 6.0
)

// Buckets order the servers by expected run time. There are 8 buckets for each factor of 2, so that a bucket covers
// about 9%, from 1 ms to 65 s.
const (
	bucketsPerOctave = 8
	bucketCount      = 128
)

// Kind holds the estimates of one kind of tasks, and the servers in order of their expected run time for it.
type Kind struct {
	// meanLog is the average base 2 logarithm of the run time in milliseconds on an average server.
	meanLog float64
	// mean is the average run time in milliseconds on the servers that ran the tasks.
	mean float64
	// work is the average run time in milliseconds that the tasks would have on an average server.
	work    float64
	samples float64
	// estimates is indexed by the number of the server.
	estimates []serverEstimate
	buckets   [bucketCount]bitset
	// bucketSlots is the number of slots of the serving servers in each bucket.
	bucketSlots [bucketCount]int
	// usedBuckets is a bit set of the buckets that are not empty.
	usedBuckets [bucketCount / wordBits]uint64
}

// serverEstimate is the estimate of one server for one kind, and the bucket that contains the server if present is set.
type serverEstimate struct {
	// meanLog is the average base 2 logarithm of the run time in milliseconds.
	meanLog float64
	samples float64
	bucket  int
	present bool
}

// Mean returns the average run time of the tasks on the servers that ran them.
func (k *Kind) Mean() time.Duration {
	return time.Duration(k.mean * float64(time.Millisecond))
}

// Work returns the expected run time of a task on an average server. Index.Capacity has the same unit.
func (k *Kind) Work() time.Duration {
	return time.Duration(k.work * float64(time.Millisecond))
}

// HasSamples reports whether any task of the kind has been observed.
func (k *Kind) HasSamples() bool { return k.samples > 0 }

func newKind(declared time.Duration) *Kind {
	if declared <= 0 {
		declared = defaultRunTime
	}
	ms := max(min(declared, maxDeclaredTime).Seconds()*1000, 1)
	return &Kind{meanLog: math.Log2(ms), mean: ms, work: ms}
}

// observe updates the estimates with the run time of a finished task, and the bucket of its server.
func (k *Kind) observe(s *Server, runTime time.Duration) {
	ms := max(runTime.Seconds()*1000, 0.1)
	logTime := math.Log2(ms)
	k.samples++
	weight := max(1/k.samples, kindWeight)
	k.mean += weight * (ms - k.mean)
	k.work += weight * (ms/s.RelativeRunTime() - k.work)
	k.meanLog += weight * (logTime - s.logRatio - k.meanLog)
	s.observe(logTime - k.meanLog)
	e := &k.estimates[s.number]
	e.samples++
	e.meanLog += max(1/e.samples, estimateWeight) * (logTime - e.meanLog)
	k.updateBucket(s)
}

// observe updates the estimates of a server over all kinds. ratio is the base 2 logarithm of a run time relative to
// that of the kind.
func (s *Server) observe(ratio float64) {
	s.samples++
	s.logRatio += max(1/(s.samples+1), estimateWeight) * (ratio - s.logRatio)
	s.logRatio = min(max(s.logRatio, -maxLogRatio), maxLogRatio)
	s.recentLogRatio += max(1/s.samples, recentWeight) * (ratio - s.recentLogRatio)
}

// speedChanged reports whether the server has become much faster or slower than its long-term estimate.
func (s *Server) speedChanged() bool {
	return s.samples > 2*changeSamples && math.Abs(s.recentLogRatio-s.logRatio) > changeThreshold
}

// resetEstimate drops the estimate of a server whose speed has changed.
func (k *Kind) resetEstimate(s *Server) {
	e := &k.estimates[s.number]
	e.samples, e.meanLog = 0, 0
	k.updateBucket(s)
}

// expectedLog returns the base 2 logarithm of the expected run time in milliseconds of a task on a server. It weights
// the server's estimate for the kind against the sum of the kind's and the server's general estimates, which counts for
// priorSamples observations.
func (k *Kind) expectedLog(s *Server) float64 {
	e := &k.estimates[s.number]
	n := min(e.samples, 1/estimateWeight)
	return (n*e.meanLog + priorSamples*(k.meanLog+s.logRatio)) / (n + priorSamples)
}

// updateBucket moves a server to the bucket of its expected run time.
func (k *Kind) updateBucket(s *Server) {
	for len(k.estimates) <= s.number {
		k.estimates = append(k.estimates, serverEstimate{})
	}
	bucket := min(max(int(k.expectedLog(s)*bucketsPerOctave), 0), bucketCount-1)
	e := &k.estimates[s.number]
	if e.present && e.bucket == bucket {
		return
	}
	k.removeFromBucket(s)
	e.present, e.bucket = true, bucket
	k.bucketSlots[bucket] += s.servingSlots
	k.buckets[bucket].set(s.number)
	k.usedBuckets[bucket/wordBits] |= 1 << (bucket % wordBits)
}

// removeFromBucket removes a server from its bucket.
func (k *Kind) removeFromBucket(s *Server) {
	e := &k.estimates[s.number]
	if !e.present {
		return
	}
	e.present = false
	k.bucketSlots[e.bucket] -= s.servingSlots
	k.buckets[e.bucket].clear(s.number)
	if k.buckets[e.bucket].empty() {
		k.usedBuckets[e.bucket/wordBits] &^= 1 << (e.bucket % wordBits)
	}
}

// updateSlots updates bucketSlots for a server whose servingSlots are about to change to the given number.
func (k *Kind) updateSlots(s *Server, servingSlots int) {
	if e := &k.estimates[s.number]; e.present {
		k.bucketSlots[e.bucket] += servingSlots - s.servingSlots
	}
}

// bucketRunTime returns the run time in milliseconds in the middle of a bucket.
func bucketRunTime(bucket int) float64 {
	return math.Exp2((float64(bucket) + 0.5) / bucketsPerOctave)
}

// capacityBefore returns the number of slots of the serving servers in all faster buckets, and how many tasks of the
// kind these slots can run per millisecond.
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
func (k *Kind) slowest(set *bitset, rotation int) int {
	for i := len(k.usedBuckets) - 1; i >= 0; i-- {
		for used := k.usedBuckets[i]; used != 0; {
			top := wordBits - 1 - bits.LeadingZeros64(used)
			if number := pickCommon(&k.buckets[i*wordBits+top], set, rotation); number >= 0 {
				return number
			}
			used &^= 1 << top
		}
	}
	return -1
}

// fastest returns the member of set with the lowest expected run time, or -1.
func (k *Kind) fastest(set *bitset, rotation int) int {
	for i, used := range k.usedBuckets {
		for ; used != 0; used &= used - 1 {
			bucket := i*wordBits + bits.TrailingZeros64(used)
			if number := pickCommon(&k.buckets[bucket], set, rotation); number >= 0 {
				return number
			}
		}
	}
	return -1
}
