package schedule

import (
	"math"
	"time"
)

// Parameters of the run time estimates. All averages are taken over natural logarithms, since run times vary by
// factors.
const (
	// defaultRunTime is the expected run time of a step without observations and without an estimate from the caller.
	defaultRunTime = 200 * time.Millisecond
	// modelWeight is the weight of the newest observation in a model after the first ones. The means of the models
	// are stable, so they average over about 100 tasks.
	modelWeight = 0.01
	// stepWaitWeight is the weight of the newest wait of a dependent step. It averages over about ten jobs, so that
	// it follows the load.
	stepWaitWeight = 0.1
	// priorSlopeSamples is the number of observations that priorSlope counts as. priorSlope is the slope of the run
	// times over the callers' estimates if the errors of the estimates vary by the same factor as the work.
	priorSlopeSamples = 20
	priorSlope        = 0.5
)

// runTimeModel predicts the run times and waits of one step of a route. It is a linear regression of the logarithm of
// the run time on the logarithm of the caller's estimate, with exponentially weighted moments.
type runTimeModel struct {
	sampleCount float64
	// meanLogRunTime is the mean logarithm of the run time in milliseconds on a server of average speed.
	meanLogRunTime float64
	// meanLogEstimate is the mean logarithm of the callers' estimates in milliseconds, estimateVariance the variance
	// of that logarithm, and covariance its covariance with the logarithm of the run time.
	meanLogEstimate  float64
	estimateVariance float64
	covariance       float64
	// waitCount is the number of observed waits of the step, meanLogWait the mean logarithm of the waits in
	// milliseconds.
	waitCount   float64
	meanLogWait float64
}

// expectedWait returns the expected time from the completion of the preceding steps to the last start of a task of
// this step, including the messages.
func (m *runTimeModel) expectedWait() time.Duration {
	if m.waitCount == 0 {
		return messagingTime
	}
	return max(millis(math.Exp(m.meanLogWait)), messagingTime)
}

// observeWait updates the model with an observed wait of the step.
func (m *runTimeModel) observeWait(wait time.Duration) {
	m.waitCount++
	m.meanLogWait += max(1/m.waitCount, stepWaitWeight) * (logMillis(wait) - m.meanLogWait)
}

// predict returns the expected run time in milliseconds on a server of average speed. estimate is that of the caller,
// 0 if there is none.
func (m *runTimeModel) predict(estimate time.Duration) float64 {
	logEstimate := logMillis(estimate)
	if m.sampleCount == 0 {
		if estimate <= 0 {
			return float64(defaultRunTime / time.Millisecond)
		}
		return math.Exp(logEstimate)
	}
	if estimate <= 0 {
		return math.Exp(m.meanLogRunTime)
	}
	return math.Exp(m.meanLogRunTime + m.slope()*(logEstimate-m.meanLogEstimate))
}

// slope returns the slope of the regression, shrunk towards priorSlope while there are few observations.
func (m *runTimeModel) slope() float64 {
	n := min(m.sampleCount, 1/modelWeight)
	const priorVariance = 0.16 // variance for a standard deviation of 0.4
	s := (n*m.covariance + priorSlopeSamples*priorSlope*priorVariance) / (n*m.estimateVariance + priorSlopeSamples*priorVariance)
	return min(max(s, 0), 1)
}

// observe updates the model with a run time on a server of known slowness.
func (m *runTimeModel) observe(runTime time.Duration, logSlowness float64, estimate time.Duration) {
	logWork := logMillis(runTime) - logSlowness
	m.sampleCount++
	w := max(1/m.sampleCount, modelWeight)
	m.meanLogRunTime += w * (logWork - m.meanLogRunTime)
	if estimate <= 0 {
		return
	}
	logEstimate := logMillis(estimate)
	m.meanLogEstimate += w * (logEstimate - m.meanLogEstimate)
	m.estimateVariance += w * ((logEstimate-m.meanLogEstimate)*(logEstimate-m.meanLogEstimate) - m.estimateVariance)
	m.covariance += w * ((logEstimate-m.meanLogEstimate)*(logWork-m.meanLogRunTime) - m.covariance)
}

// logMillis returns the natural logarithm of a duration in milliseconds. Durations below 0.1 ms count as 0.1 ms.
func logMillis(d time.Duration) float64 {
	return math.Log(max(float64(d)/float64(time.Millisecond), 0.1))
}

// millis returns a duration of v milliseconds.
func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
