package schedule

import (
	"math"
	"time"
)

// Learning of run times. All averages are over natural logarithms, since run times spread by factors.
const (
	// defaultRunTime is the expectation for a kind without observations and without an estimate.
	defaultRunTime = 200 * time.Millisecond
	// modelWeight is the weight of the newest observation of a kind after the first ones. The kinds' means are stable, so
	// an average over about 100 tasks is taken.
	modelWeight = 0.01
	// stepWaitWeight is the weight of the newest wait of a later step: about ten jobs, so that it follows the load.
	stepWaitWeight = 0.1
	// serverWeight is the same for a server: about 12 tasks, under a second of one server's work, so that a server that
	// turns slow is noticed while the others still have room.
	serverWeight = 0.08
	// priorSlownessSamples is the number of observations that the prior speed 1 counts for.
	priorSlownessSamples = 3
	// priorSlopeSamples is the number of observations that the prior slope, 0.5, of the callers' estimates counts for:
	// estimates and work spread by the same factor.
	priorSlopeSamples = 20
	priorSlope        = 0.5
	// maxLogSlowness bounds the logarithm of a server's slowness, a factor of 20.
	maxLogSlowness = 3
)

// runTimeModel holds the estimates of the tasks of one step of a route.
type runTimeModel struct {
	sampleCount float64
	// meanLogRunTime is the average logarithm of the run time in milliseconds on a server of average speed.
	meanLogRunTime float64
	// meanLogEstimate is the average logarithm of the callers' estimates; spread and common are the variance of the estimates and
	// their covariance with the run times.
	meanLogEstimate  float64
	estimateVariance float64
	covariance       float64
	// waitCount is the number of observed waitCount of the step, waited the average logarithm of them in milliseconds.
	waitCount   float64
	meanLogWait float64
}

// expectedWait returns the expected time from the end of the steps before this one to its last start, with the messages.
func (k *runTimeModel) expectedWait() time.Duration {
	if k.waitCount == 0 {
		return messagingTime
	}
	return max(millis(math.Exp(k.meanLogWait)), messagingTime)
}

func (k *runTimeModel) observeWait(wait time.Duration) {
	k.waitCount++
	k.meanLogWait += max(1/k.waitCount, stepWaitWeight) * (logMillis(wait) - k.meanLogWait)
}

// predict returns the expected run time in milliseconds on an average server. estimate is the caller's, 0 if there is
// none.
func (k *runTimeModel) predict(estimate time.Duration) float64 {
	guess := logMillis(estimate)
	if k.sampleCount == 0 {
		if estimate <= 0 {
			return float64(defaultRunTime / time.Millisecond)
		}
		return math.Exp(guess)
	}
	if estimate <= 0 {
		return math.Exp(k.meanLogRunTime)
	}
	return math.Exp(k.meanLogRunTime + k.slope()*(guess-k.meanLogEstimate))
}

func (k *runTimeModel) slope() float64 {
	n := min(k.sampleCount, 1/modelWeight)
	const priorSpread = 0.16 // variance for a standard deviation of 0.4
	s := (n*k.covariance + priorSlopeSamples*priorSlope*priorSpread) / (n*k.estimateVariance + priorSlopeSamples*priorSpread)
	return min(max(s, 0), 1)
}

// observe learns from a run time on a server of known slowness.
func (k *runTimeModel) observe(runTime time.Duration, slow float64, estimate time.Duration) {
	value := logMillis(runTime) - slow
	k.sampleCount++
	w := max(1/k.sampleCount, modelWeight)
	k.meanLogRunTime += w * (value - k.meanLogRunTime)
	if estimate <= 0 {
		return
	}
	guess := logMillis(estimate)
	k.meanLogEstimate += w * (guess - k.meanLogEstimate)
	k.estimateVariance += w * ((guess-k.meanLogEstimate)*(guess-k.meanLogEstimate) - k.estimateVariance)
	k.covariance += w * ((guess-k.meanLogEstimate)*(value-k.meanLogRunTime) - k.covariance)
}

// slowness is the learned slowness of a server: the logarithm of its run times relative to those of the average server.
type slowness struct {
	sampleCount float64
	logFactor   float64
}

func (s *slowness) factor() float64 { return math.Exp(s.logFactor) }

// observe learns from a run time relative to the expectation on an average server, in milliseconds.
func (s *slowness) observe(runTime time.Duration, average float64) {
	residual := logMillis(runTime) - math.Log(average)
	s.sampleCount++
	w := max(1/(s.sampleCount+priorSlownessSamples), serverWeight)
	s.logFactor += w * (residual - s.logFactor)
	s.logFactor = min(max(s.logFactor, -maxLogSlowness), maxLogSlowness)
}

// observeAtLeast learns from a run that has taken a time and has not ended. It only tells that the server is slow.
func (s *slowness) observeAtLeast(runTime time.Duration, average float64) {
	if logMillis(runTime)-math.Log(average) > s.logFactor {
		s.observe(runTime, average)
	}
}

// logMillis returns the logarithm of a time in milliseconds. Times below 0.1 ms count as that.
func logMillis(d time.Duration) float64 {
	return math.Log(max(float64(d)/float64(time.Millisecond), 0.1))
}

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
