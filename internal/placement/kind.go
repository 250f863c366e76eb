package placement

import (
	"math"
	"math/bits"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Estimation of run times. All averages are taken over logarithms, since run times spread over two orders of
// magnitude and an arithmetic average would follow the few longest tasks.
const (
	// defaultRunTime is the expectation for a kind without observations and declaration.
	defaultRunTime = 200 * time.Millisecond
	// maxDeclared bounds the first estimate, since declared times are far off and a too high one has work refused.
	maxDeclared = time.Second
	// pairWeight is the weight of the newest observation of a (server, kind) pair after the first ones.
	pairWeight = 0.1
	// kindWeight is the same for a kind over all servers.
	kindWeight = 0.02
	// priorSamples is the number of observations that the server's speed over all kinds counts for in the estimate
	// of a pair.
	priorSamples = 3.0
	// maxKinds bounds the memory of the index. Further kinds share the estimates of existing ones.
	maxKinds = 256
	// maxSpeedLog bounds the learned speed to factors from 1/64 to 64.
	maxSpeedLog = 6.0
)

// Buckets order servers by expected run time: 8 buckets to a factor of 2, about 9% each, from 1 ms to 65 s.
const (
	bucketsPerOctave = 8
	bucketCount      = 128
)

// Kind holds the estimates of one kind of tasks and its servers in order of expected run time.
type Kind struct {
	// log is the base 2 logarithm of the run time in milliseconds on a server of speed 1.
	log     float64
	mean    float64
	samples float64
	pairs   []pair
	buckets [bucketCount]bitset
	// used marks non-empty buckets.
	used [bucketCount / wordBits]uint64

	// Waiting counts the waiting tasks per priority; the caller keeps it to estimate the work ahead.
	Waiting [structs.Priorities]int
}

// pair is the estimate of one server for one kind.
type pair struct {
	log     float64
	samples float64
	bucket  int
	present bool
}

// Mean returns the expected run time of a task on an average server.
func (k *Kind) Mean() time.Duration {
	return time.Duration(k.mean * float64(time.Millisecond))
}

func newKind(declared time.Duration) *Kind {
	if declared <= 0 {
		declared = defaultRunTime
	}
	ms := max(min(declared, maxDeclared).Seconds()*1000, 1)
	return &Kind{log: math.Log2(ms), mean: ms}
}

// observe learns from a finished task and moves the server to its bucket.
func (k *Kind) observe(s *Server, runTime time.Duration) {
	ms := max(runTime.Seconds()*1000, 0.1)
	log := math.Log2(ms)
	k.samples++
	weight := max(1/k.samples, kindWeight)
	k.mean += weight * (ms - k.mean)
	k.log += weight * (log - s.speed - k.log)
	s.samples++
	s.speed += max(1/(s.samples+priorSamples), pairWeight) * (log - k.log - s.speed)
	s.speed = min(max(s.speed, -maxSpeedLog), maxSpeedLog)
	p := &k.pairs[s.number]
	p.samples++
	p.log += max(1/p.samples, pairWeight) * (log - p.log)
	k.place(s)
}

// expected returns the logarithm of the expected run time of a task on a server.
func (k *Kind) expected(s *Server) float64 {
	p := &k.pairs[s.number]
	n := min(p.samples, 1/pairWeight)
	return (n*p.log + priorSamples*(k.log+s.speed)) / (n + priorSamples)
}

// place puts a server into the bucket of its expected run time.
func (k *Kind) place(s *Server) {
	for len(k.pairs) <= s.number {
		k.pairs = append(k.pairs, pair{})
	}
	bucket := min(max(int(k.expected(s)*bucketsPerOctave), 0), bucketCount-1)
	p := &k.pairs[s.number]
	if p.present && p.bucket == bucket {
		return
	}
	k.remove(s.number)
	p.present, p.bucket = true, bucket
	k.buckets[bucket].set(s.number)
	k.used[bucket/wordBits] |= 1 << (bucket % wordBits)
}

// remove takes a server out of its bucket.
func (k *Kind) remove(number int) {
	p := &k.pairs[number]
	if !p.present {
		return
	}
	p.present = false
	k.buckets[p.bucket].clear(number)
	if k.buckets[p.bucket].empty() {
		k.used[p.bucket/wordBits] &^= 1 << (p.bucket % wordBits)
	}
}

// fastest returns the member of set with the lowest expected run time, or -1.
func (k *Kind) fastest(set *bitset, turn int) int {
	for i, used := range k.used {
		for ; used != 0; used &= used - 1 {
			bucket := i*wordBits + bits.TrailingZeros64(used)
			if number := common(&k.buckets[bucket], set, turn); number >= 0 {
				return number
			}
		}
	}
	return -1
}
