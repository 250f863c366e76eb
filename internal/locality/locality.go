// Package locality decides for a task whose data is on one rack whether it starts off that rack now, waits for free
// resources on the rack, or is refused. The decision is a pure function of its input.
//
// The decision compares the expected costs of both: how likely the job is late, when the task ends, and what a run off the
// rack takes from other tasks, because it holds its resources longer. The fuller the servers, the more that counts.
package locality

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Action is what to do with a task.
type Action uint8

// The actions.
const (
	// StartOff: start the task outside the rack of its data, or wherever it ends first.
	StartOff Action = iota + 1
	// Wait: wait for free resources on the rack.
	Wait
	// Refuse: the job cannot be in time and would take much from other jobs.
	Refuse
)

// Start is an expected start of a task: it waits, then runs for Run. Rest is what its job needs afterwards.
type Start struct{ Wait, Run, Rest time.Duration }

// Input is what a decision depends on. All times are on the same monotonic clock.
type Input struct {
	Now time.Duration
	// Since is when the task began to wait for the rack. It is Now for a task that has not waited.
	Since time.Duration
	// Due is the latest end of the job that meets its objective, and LatestStart the latest time until which the job
	// allows to wait.
	Due, LatestStart time.Duration
	// Slack is how much longer than its run the job may take.
	Slack time.Duration
	// Near is the expected start on the rack, nil if no usable server of the rack can run the task or none frees
	// resources. Off is the expected start on the best server outside the rack, nil if none is known.
	Near, Off *Start
	// Utilization is the fraction of the servers' processors in use, 0 to 1.
	Utilization float64
	// Begun is set if tasks of the job have been placed. Such a job is not refused.
	Begun bool
	// Job is the id of the job. The limit of a wait varies by it, so that gateways that decide on the same information do
	// not all leave the rack at the same moment.
	Job string
}

// Decision is the result. Until is when a waiting task must be decided again, after Input.Now. It is 0 unless the action
// is Wait.
type Decision struct {
	Action Action
	Until  time.Duration
}

const (
	// variation is the largest deviation of the limit of a wait, as a fraction of it.
	variation = 0.25
	// runTimeDeviation is the standard deviation of the logarithm of the run time of a task over the expected one.
	runTimeDeviation = 0.3
	// endWeight is the cost of an end that is later by the slack of the job, in jobs that are late. It decides between
	// starts with the same chance to be in time.
	endWeight = 0.25
	// pooledTasks is the number of tasks that the servers that a task can choose from run at once, for pressure. Gateways
	// see a sample of the servers and old reports, so it stays below the number on the servers of a sample.
	pooledTasks = 24
	// likely is the probability of lateness above which a job that does not wait any longer counts as late, almostSure the
	// one above which a job counts as late that could still wait. The expected wait is uncertain.
	likely     = 0.5
	almostSure = 0.9
	// maxPressure bounds pressure. It is reached at a utilization of 0.88: the utilization is not known more exactly.
	maxPressure = 4
)

// Decide returns what to do with a task now.
func Decide(in Input) Decision {
	if in.Near == nil {
		return Decision{Action: StartOff}
	}
	if in.hopeless() {
		return Decision{Action: Refuse}
	}
	vary := variationOf(in.Job)
	until := in.LatestStart
	if in.Off != nil {
		if in.lateness(in.Off, in.Off.Wait) <= likely { // leaving the rack helps
			until = min(until, in.Since+scale(in.LatestStart-in.Since, vary))
		}
		// After one expected wait the task is decided again, since the wait may be longer than expected.
		until = min(until, in.Now+scale(in.Near.Wait, vary))
	}
	if until <= in.Now || (in.Off != nil && in.waitCost() > in.offCost(0)) {
		return in.leave()
	}
	return Decision{Action: Wait, Until: until}
}

// leave returns the decision for a task that does not wait for the rack any longer.
func (in *Input) leave() Decision {
	if in.harms() && in.lateness(in.Off, in.Off.Wait) > likely {
		return Decision{Action: Refuse}
	}
	return Decision{Action: StartOff}
}

// hopeless reports whether the job can be in time neither on the rack nor off it, and would take much from other jobs.
func (in *Input) hopeless() bool {
	return in.harms() && in.lateness(in.Off, in.Off.Wait) > almostSure && in.lateness(in.Near, in.Near.Wait) > almostSure
}

// harms reports whether the job has not begun, and a second that it runs longer off the rack costs others at least as much.
func (in *Input) harms() bool {
	return !in.Begun && in.Off != nil && pressure(in.Utilization) >= 1
}

// waitCost returns the expected cost of a wait for the rack. The length of the wait is taken as exponentially distributed. If
// it is longer than expected, the task may still start off the rack.
func (in *Input) waitCost() float64 {
	const (
		ends     = 1 - 1/math.E        // the probability that the wait is shorter than its mean
		meanThen = 1 - 1/(math.E*ends) // the mean of such waits, as a fraction of the mean
	)
	wait := in.Near.Wait
	return ends*in.cost(in.Near, scale(wait, meanThen)) + (1-ends)*min(in.cost(in.Near, 2*wait), in.offCost(wait))
}

// offCost returns the cost of a start off the rack after a delay.
func (in *Input) offCost(delay time.Duration) float64 {
	additional := max(in.Off.Run-in.Near.Run, 0)
	return in.cost(in.Off, delay+in.Off.Wait) + endWeight*pressure(in.Utilization)*in.inSlacks(additional)
}

// cost returns the cost of a start after a wait, in jobs that are late.
func (in *Input) cost(s *Start, wait time.Duration) float64 {
	return in.lateness(s, wait) + endWeight*in.inSlacks(wait+s.Run)
}

func (in *Input) inSlacks(d time.Duration) float64 {
	return d.Seconds() / max(in.Slack, time.Millisecond).Seconds()
}

// lateness returns the probability that the job is late if the task starts after a wait.
func (in *Input) lateness(s *Start, wait time.Duration) float64 {
	left := in.Due - in.Now - wait - s.Rest
	if left <= 0 || s.Run <= 0 {
		return 1
	}
	return math.Erfc(math.Log(left.Seconds()/s.Run.Seconds())/(runTimeDeviation*math.Sqrt2)) / 2
}

// pressure returns how much time of other tasks a second of additional run time costs: the mean wait, in run times, that
// Sakasegawa's approximation gives for a queue with pooledTasks servers of the same utilization.
func pressure(utilization float64) float64 {
	if !(utilization > 0) { // also if it is not a number
		return 0
	}
	if utilization >= 1 {
		return maxPressure
	}
	return min(math.Pow(utilization, math.Sqrt(2*(pooledTasks+1))-1)/(1-utilization), maxPressure)
}

// variationOf returns the factor of the limits of a job's waits.
func variationOf(job string) float64 {
	return 1 - variation + 2*variation*float64(xxhash.Sum64String(job))/math.MaxUint64
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
