package schedule

import (
	"math"
	"time"
)

// Learning of run times. All averages are over natural logarithms, since run times spread by factors.
const (
	// defaultRunTime is the expectation for a kind without observations and without an estimate.
	defaultRunTime = 200 * time.Millisecond
	// kindWeight is the weight of the newest observation of a kind after the first ones. The kinds' means are stable, so
	// an average over about 100 tasks is taken.
	kindWeight = 0.01
	// stepWaitWeight is the weight of the newest wait of a later step: about ten jobs, so that it follows the load.
	stepWaitWeight = 0.1
	// serverWeight is the same for a server: about 12 tasks, under a second of one server's work, so that a server that
	// turns slow is noticed while the others still have room.
	serverWeight = 0.08
	// speedPrior is the number of observations that the prior speed 1 counts for.
	speedPrior = 3
	// estimatePrior is the number of observations that the prior slope, 0.5, of the callers' estimates counts for:
	// estimates and work spread by the same factor.
	estimatePrior = 20
	priorSlope    = 0.5
	// maxSlow bounds the logarithm of a server's slowness, a factor of 20.
	maxSlow = 3
)

// kind holds the estimates of the tasks of one step of a route.
type kind struct {
	samples float64
	// mean is the average logarithm of the run time in milliseconds on a server of average speed.
	mean float64
	// guess is the average logarithm of the callers' estimates; spread and common are the variance of the estimates and
	// their covariance with the run times.
	guess  float64
	spread float64
	common float64
	// waits is the number of observed waits of the step, waited the average logarithm of them in milliseconds.
	waits  float64
	waited float64
}

// wait returns the expected time from the end of the steps before this one to its last start, with the messages.
func (k *kind) wait() time.Duration {
	if k.waits == 0 {
		return hopTime
	}
	return max(ms(math.Exp(k.waited)), hopTime)
}

func (k *kind) observeWait(wait time.Duration) {
	k.waits++
	k.waited += max(1/k.waits, stepWaitWeight) * (logMs(wait) - k.waited)
}

// predict returns the expected run time in milliseconds on an average server. estimate is the caller's, 0 if there is
// none.
func (k *kind) predict(estimate time.Duration) float64 {
	guess := logMs(estimate)
	if k.samples == 0 {
		if estimate <= 0 {
			return float64(defaultRunTime / time.Millisecond)
		}
		return math.Exp(guess)
	}
	if estimate <= 0 {
		return math.Exp(k.mean)
	}
	return math.Exp(k.mean + k.slope()*(guess-k.guess))
}

func (k *kind) slope() float64 {
	n := min(k.samples, 1/kindWeight)
	const priorSpread = 0.16 // variance for a standard deviation of 0.4
	s := (n*k.common + estimatePrior*priorSlope*priorSpread) / (n*k.spread + estimatePrior*priorSpread)
	return min(max(s, 0), 1)
}

// observe learns from a run time on a server of known slowness.
func (k *kind) observe(runTime time.Duration, slow float64, estimate time.Duration) {
	value := logMs(runTime) - slow
	k.samples++
	w := max(1/k.samples, kindWeight)
	k.mean += w * (value - k.mean)
	if estimate <= 0 {
		return
	}
	guess := logMs(estimate)
	k.guess += w * (guess - k.guess)
	k.spread += w * ((guess-k.guess)*(guess-k.guess) - k.spread)
	k.common += w * ((guess-k.guess)*(value-k.mean) - k.common)
}

// speed is the learned slowness of a server: the logarithm of its run times relative to those of the average server.
type speed struct {
	samples float64
	slow    float64
}

func (s *speed) factor() float64 { return math.Exp(s.slow) }

// observe learns from a run time relative to the expectation on an average server, in milliseconds.
func (s *speed) observe(runTime time.Duration, average float64) {
	residual := logMs(runTime) - math.Log(average)
	s.samples++
	w := max(1/(s.samples+speedPrior), serverWeight)
	s.slow += w * (residual - s.slow)
	s.slow = min(max(s.slow, -maxSlow), maxSlow)
}

// observeAtLeast learns from a run that has taken a time and has not ended. It only tells that the server is slow.
func (s *speed) observeAtLeast(runTime time.Duration, average float64) {
	if logMs(runTime)-math.Log(average) > s.slow {
		s.observe(runTime, average)
	}
}

// logMs returns the logarithm of a time in milliseconds. Times below 0.1 ms count as that.
func logMs(d time.Duration) float64 {
	return math.Log(max(float64(d)/float64(time.Millisecond), 0.1))
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
