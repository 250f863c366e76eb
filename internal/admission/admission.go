// Package admission decides, while tasks compete for resources, whether a job that has not begun can still be in time. It
// observes what one gateway has lately seen of its own jobs: how long after its first placement a job's last task started,
// how much of the time that it may wait a job has waited, and how much work of each priority was completed. The package is
// pure: every input carries a monotonic time, and it does no I/O.
package admission

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// averagingTime is the time constant of the observations, and the time after which the last contention is over. Bursts of
	// callers last for seconds, so the observations must follow within less than one.
	averagingTime = 500 * time.Millisecond
	// minContention is how long jobs of a queue must have waited without a break before one of it is refused early, and
	// maxBreak the longest time without a waiting job that is no break. Short jobs may wait for some 60 ms.
	minContention = 150 * time.Millisecond
	maxBreak      = 100 * time.Millisecond
	// minJobs is the decayed number of observed jobs below which nothing is known.
	minJobs = 2
	// longWaitShare is the share of what a job may wait that the observed jobs must have waited on average: below it, nobody is
	// about to be late.
	longWaitShare = 0.5
	// lastStartMargin times the mean delay of the last start is the time that most jobs keep. With the mean, about half of the
	// jobs that begin would be late.
	lastStartMargin = 2
	// lowerShare is the share of lower priorities in the completed work from which a job is not refused early because of its own
	// queue: lower priorities make room first. Between it and 0 the expected delay counts in proportion.
	lowerShare = 0.25
)

// Queue identifies the jobs that are observed together: those of a route, which have a width and an objective in common.
type Queue struct {
	Name     string
	Priority int
}

// Estimator holds the observations. The zero value has observed nothing.
type Estimator struct {
	queues []*observations
}

// observations are those of one queue. The sums decay with averagingTime up to at.
type observations struct {
	Queue
	at time.Duration
	// jobs is the number of observed jobs, delays the sum of the times from their first placement to their last start in
	// seconds, and waits the sum of the shares of what they may wait that had passed at the last start.
	jobs, delays, waits float64
	// work is the completed work.
	work float64
	// waitingSince is when the current contention began, waitingAt when a job was last waiting. 0 means never.
	waitingSince, waitingAt time.Duration
}

// queue returns the observations of a queue, decayed up to now.
func (e *Estimator) queue(now time.Duration, q Queue) *observations {
	at, found := slices.BinarySearchFunc(e.queues, q, func(o *observations, q Queue) int {
		return cmp.Or(cmp.Compare(o.Name, q.Name), cmp.Compare(o.Priority, q.Priority))
	})
	if !found {
		e.queues = slices.Insert(e.queues, at, &observations{Queue: q, at: now})
	}
	o := e.queues[at]
	o.decay(now)
	return o
}

func (o *observations) decay(now time.Duration) {
	if now <= o.at {
		return
	}
	f := math.Exp(-(now - o.at).Seconds() / averagingTime.Seconds())
	o.jobs, o.delays, o.waits, o.work, o.at = f*o.jobs, f*o.delays, f*o.waits, f*o.work, now
}

// Clone returns a copy that changes independently of e.
func (e *Estimator) Clone() Estimator {
	c := Estimator{queues: slices.Clone(e.queues)}
	for i, o := range c.queues {
		copied := *o
		c.queues[i] = &copied
	}
	return c
}

// Waiting records that a job of a queue found no server for a task.
func (e *Estimator) Waiting(now time.Duration, q Queue) {
	o := e.queue(now, q)
	if o.waitingAt == 0 || now-o.waitingAt > maxBreak {
		o.waitingSince = now
	}
	o.waitingAt = now
}

// Completed records completed work of a queue, in any unit.
func (e *Estimator) Completed(now time.Duration, q Queue, work float64) { e.queue(now, q).work += work }

// Started records a job whose last task has started: delay is the time from its first placement to that start, waited the time
// from its arrival to that start, and allowed how long it may wait in all.
func (e *Estimator) Started(now time.Duration, q Queue, delay, waited, allowed time.Duration) {
	const maxShare = 5 // a single job does not outweigh the others
	o := e.queue(now, q)
	o.jobs++
	o.delays += max(delay, 0).Seconds()
	o.waits += min(max(waited, 0).Seconds()/max(allowed, time.Millisecond).Seconds(), maxShare)
}

// ExpectLate reports whether the last task of a job that has not begun is expected to start later than after the time left, or
// would delay jobs of a higher priority that start too late already. factor is by how much the observed delays count; 0 means
// that no job is expected to be late.
func (e *Estimator) ExpectLate(now time.Duration, q Queue, left time.Duration, factor float64) bool {
	if factor <= 0 {
		return false
	}
	own := e.queue(now, q)
	var all, lower float64
	for _, o := range e.queues {
		o.decay(now)
		all += o.work
		switch {
		case o.Priority > q.Priority:
			lower += o.work
		case o.Priority < q.Priority && o.contended(now) && factor*o.waits > o.jobs:
			return true
		}
	}
	if !own.contended(now) || own.waits < longWaitShare*own.jobs {
		return false
	}
	if all > 0 {
		factor *= max(0, 1-lower/all/lowerShare)
	}
	return lastStartMargin*factor*own.delays/own.jobs > left.Seconds()
}

// contended reports whether jobs of the queue compete for resources and enough of them have been observed.
func (o *observations) contended(now time.Duration) bool {
	return o.jobs >= minJobs && o.waitingAt > 0 && now-o.waitingAt <= averagingTime && o.waitingAt-o.waitingSince >= minContention
}

// Reset forgets all observations. It is called when so many servers have changed that the observations no longer apply.
func (e *Estimator) Reset() { e.queues = nil }

// RetryAfter returns when a refused caller should return: after the time in which what waits is expected to be worked off, or
// up to about twice that by a hash of the job id, so that the refused callers do not all return at the same moment. The result
// is in whole seconds, as callers get it, and at least 1 s.
func RetryAfter(expected time.Duration, job string) time.Duration {
	seconds := max((expected+time.Second-1)/time.Second, 1)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(job)) // never fails
	return (seconds + time.Duration(hash.Sum32())%(seconds+1)) * time.Second
}
