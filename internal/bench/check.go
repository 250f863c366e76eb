package bench

import (
	"fmt"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// start is one task start as a backend server stand-in recorded it.
type start struct {
	server int
	job    string
	task   int
	// at is the time since the start of the run.
	at time.Duration
	// work is the nominal run time, without the server's slowdown.
	work time.Duration
}

// window is an interval of the run, as times since its start.
type window struct{ from, to time.Duration }

func (w window) length() time.Duration { return w.to - w.from }

// overlap returns the part of [from, to] inside the window.
func (w window) overlap(from, to time.Duration) time.Duration {
	return max(0, min(w.to, to)-max(w.from, from))
}

// drainGrace is how long starts on a server are still allowed after its zone was taken out or its drain began.
const drainGrace = 2 * time.Second

// inForceLimit is the time within which a new configuration must be in force everywhere.
const inForceLimit = 4 * time.Second

// observation holds what the bench recorded during a run, outside of the rosedrift processes.
type observation struct {
	profile     Profile
	submissions []submission
	starts      []start
	// zoneOut holds the windows in which a zone was out, from acceptance to the command that brought it back.
	zoneOut map[string][]window
	// leaving holds the windows in which a server was draining or leaving, by instance.
	leaving map[int][]window
	// gracefulStops says that the script stops processes with SIGTERM only, so that each cut request breaks a promise.
	gracefulStops bool
	configReverts int
	// inForceDelays holds, for each accepted command, the time until its revision was in force everywhere.
	inForceDelays []time.Duration
	slotsExceeded int
	// scriptErrors lists steps of the script that could not be carried out.
	scriptErrors []string
	// evidence receives a line for each broken promise that concerns one job.
	evidence []string
	duration time.Duration
	// measurement is the window over which ratios and rates are computed. It excludes the warm-up.
	measurement window
}

// evaluate fills the result with the outcomes of the jobs, the metrics and the broken promises.
func (o *observation) evaluate(r *Result) {
	r.urgent, r.routine = newRatioHistogram(), newRatioHistogram()
	startCounts := o.countStarts(r)
	for i := range o.submissions {
		o.checkSubmission(r, &o.submissions[i], startCounts)
	}
	o.checkZones(r)
	o.checkLeaving(r)
	o.computeMetrics(r)
	r.ConfigReverts, r.SlotsExceeded = o.configReverts, o.slotsExceeded
	for _, d := range o.inForceDelays {
		r.ConfigInForceMaxS = max(r.ConfigInForceMaxS, d.Seconds())
	}
	r.Broken = o.brokenPromises(r)
}

// addEvidence records a line of evidence for a broken promise.
func (o *observation) addEvidence(format string, args ...any) {
	o.evidence = append(o.evidence, fmt.Sprintf(format, args...))
}

// countStarts counts starts and duplicate starts and returns the number of starts of each job.
func (o *observation) countStarts(r *Result) map[string]int {
	type task struct {
		job   string
		index int
	}
	counts := make(map[task]int, len(o.starts))
	startCounts := map[string]int{}
	for _, s := range o.starts {
		key := task{s.job, s.task}
		counts[key]++
		startCounts[s.job]++
		if counts[key] > 1 {
			r.StartedTwice++
			o.addEvidence("second start of task %d of %s at %.3f s on server %d", s.task, s.job, s.at.Seconds(), s.server)
		}
	}
	r.TasksStarted = len(o.starts)
	return startCounts
}

func (o *observation) checkSubmission(r *Result, sub *submission, startCounts map[string]int) {
	o.checkResults(r, sub)
	if sub.attempts < 0 {
		r.Resubmissions++
		return
	}
	r.JobsOffered++
	r.Resubmissions += sub.attempts - min(sub.attempts, 1)
	if o.gracefulStops && sub.cutRequests > 0 {
		r.CutRequests += sub.cutRequests
		o.addEvidence("cut: %s", sub)
	}
	if sub.unanswered {
		o.addEvidence("unanswered: %s", sub)
		r.JobsUnanswered++
		return
	}
	o.countOutcome(r, sub, startCounts[sub.id.String()])
}

func (o *observation) countOutcome(r *Result, sub *submission, starts int) {
	switch sub.outcome {
	case structs.OutcomeComplete:
		r.JobsComplete++
		o.recordResponse(r, sub)
	case structs.OutcomeNotRun:
		r.countCode(sub.code)
		if starts > 0 {
			r.FalseNotRun++
			o.addEvidence("not run, but %d starts: %s", starts, sub)
		}
		r.JobsRefused++
	case structs.OutcomeMayHaveRun:
		r.countCode(sub.code)
		r.JobsMayHaveRun++
	default:
		if sub.code == structs.CodeCancelled {
			r.JobsCancelled++
			return
		}
		r.JobsFailed++
	}
}

func (o *observation) recordResponse(r *Result, sub *submission) {
	if sub.start < o.measurement.from || sub.start >= o.measurement.to {
		return
	}
	// The network delay between caller and gateway is not caused by the system, so the ideal includes it.
	ideal := Ideal(o.profile, sub.job) + 2*o.profile.ClientDelay
	if sub.job.Urgent {
		recordRatio(r.urgent, sub.end-sub.start, ideal)
		return
	}
	recordRatio(r.routine, sub.end-sub.start, ideal)
}

func (o *observation) checkResults(r *Result, sub *submission) {
	if sub.outcome != structs.OutcomeComplete {
		return
	}
	if len(sub.results) != len(sub.job.RunTimes) {
		r.PartialAnswers++
		o.addEvidence("partial, %d of %d results: %s", len(sub.results), len(sub.job.RunTimes), sub)
		return
	}
	for i, result := range sub.results {
		if result.Echo != expectedEcho(sub.job, i) {
			r.WrongAnswers++
			o.addEvidence("wrong result %d %q: %s", i, result.Echo, sub)
			return
		}
	}
}

func (o *observation) checkZones(r *Result) {
	for _, s := range o.starts {
		for _, w := range o.zoneOut[o.profile.Zone(s.server)] {
			if s.at > w.from+drainGrace && s.at < w.to {
				r.LateZoneStarts++
				o.addEvidence("start of task %d of %s at %.3f s on server %d in a zone that is out", s.task, s.job, s.at.Seconds(), s.server)
			}
		}
	}
}

func (o *observation) checkLeaving(r *Result) {
	for _, s := range o.starts {
		for _, w := range o.leaving[s.server] {
			if s.at > w.from+drainGrace && s.at < w.to {
				r.LateLeavingStarts++
			}
		}
	}
}

func (o *observation) computeMetrics(r *Result) {
	r.UrgentRatioP50, r.UrgentRatioP99 = quantile(r.urgent, 50), quantile(r.urgent, 99)
	r.RoutineRatioP50, r.RoutineRatioP99 = quantile(r.routine, 50), quantile(r.routine, 99)
	complete := map[string]bool{}
	for i := range o.submissions {
		sub := &o.submissions[i]
		complete[sub.id.String()] = complete[sub.id.String()] || sub.outcome == structs.OutcomeComplete
	}
	inWindow := 0
	goodput := 0.0
	for _, s := range o.starts {
		if s.at >= o.measurement.from && s.at < o.measurement.to {
			inWindow++
		}
		if complete[s.job] {
			goodput += o.nominalWork(s, o.measurement)
		}
	}
	seconds := o.measurement.length().Seconds()
	r.StartsPerS = float64(inWindow) / seconds
	r.GoodputRatio = goodput / (o.profile.Capacity(nil) * seconds)
	r.WorkSustainedRatio = o.workSustained()
	r.timeline = o.timeline()
}

// nominalWork returns the part of a start's nominal run time that falls into a window, in seconds.
func (o *observation) nominalWork(s start, w window) float64 {
	slowdown := o.profile.Slowdown(s.server)
	end := s.at + time.Duration(float64(s.work)*slowdown)
	return w.overlap(s.at, end).Seconds() / slowdown
}

// workSustained returns the work done by the servers of the remaining zones while a zone was out, relative to their
// capacity. It is 0 if no zone was out, and meaningful only if enough work was queued to keep those servers busy.
func (o *observation) workSustained() float64 {
	done, possible := 0.0, 0.0
	for zone, windows := range o.zoneOut {
		remains := func(i int) bool { return o.profile.Zone(i) != zone }
		for _, w := range windows {
			possible += o.profile.Capacity(remains) * w.length().Seconds()
			for _, s := range o.starts {
				if remains(s.server) {
					done += o.nominalWork(s, w)
				}
			}
		}
	}
	if possible == 0 {
		return 0
	}
	return done / possible
}

const timelineInterval = 250 * time.Millisecond

func (o *observation) timeline() timeline {
	line := timeline{interval: timelineInterval, starts: map[string][]int{}}
	last := o.duration
	for _, s := range o.starts {
		last = max(last, s.at)
	}
	for _, zone := range o.profile.Zones {
		line.starts[zone] = make([]int, int(last/timelineInterval)+1)
	}
	for _, s := range o.starts {
		line.starts[o.profile.Zone(s.server)][max(0, s.at/timelineInterval)]++
	}
	return line
}

// brokenPromises describes each promise that the run broke.
func (o *observation) brokenPromises(r *Result) []string {
	var broken []string
	report := func(count int, text string) {
		if count > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", count, text))
		}
	}
	report(r.StartedTwice, "tasks started twice")
	report(r.PartialAnswers, "partial answers")
	report(r.WrongAnswers, "answers with results of another job")
	report(r.FalseNotRun, "jobs refused as not run although they had started")
	report(r.LateZoneStarts, "starts in a zone more than 2 s after it was taken out")
	report(r.LateLeavingStarts, "starts on a server more than 2 s after it began to leave")
	report(r.CutRequests, "requests cut by graceful shutdowns")
	report(r.ConfigReverts, "configuration reverts")
	report(r.SlotsExceeded, "starts beyond the slots of a server")
	report(r.JobsUnanswered, "jobs without an answer")
	if r.ConfigInForceMaxS > inForceLimit.Seconds() {
		broken = append(broken, fmt.Sprintf("configuration in force after %.2f s", r.ConfigInForceMaxS))
	}
	for _, fault := range o.scriptErrors {
		broken = append(broken, "the run itself: "+fault)
	}
	if r.StartsPerS == 0 && len(o.submissions) > 0 {
		broken = append(broken, "no task started during the measurement, so the run shows nothing")
	}
	return broken
}
