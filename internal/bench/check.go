package bench

import (
	"fmt"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// start is one task start as a backend server stand-in saw it.
type start struct {
	server int
	job    string
	task   int
	// at is the time since the start of the run.
	at time.Duration
	// work is the nominal run time, without the server's slowdown.
	work time.Duration
}

// window is an interval of the run.
type window struct{ from, to time.Duration }

func (w window) length() time.Duration { return w.to - w.from }

// overlap returns the part of [from, to] inside the window.
func (w window) overlap(from, to time.Duration) time.Duration {
	return max(0, min(w.to, to)-max(w.from, from))
}

// graceAfterOut is the time within which starts may still happen after a zone was taken out or a server left.
const graceAfterOut = 2 * time.Second

// inForceLimit is the time within which a configuration must be in force everywhere.
const inForceLimit = 4 * time.Second

// observation is everything that a run recorded outside of rosedrift.
type observation struct {
	profile  Profile
	verdicts []verdict
	starts   []start
	// zoneOut holds the windows in which a zone was out, from acceptance to the command that brought it back.
	zoneOut map[string][]window
	// leaving holds the windows in which a server was draining or leaving, by instance.
	leaving map[int][]window
	// plannedStops holds the windows in which gateways or agents were stopped with SIGTERM.
	plannedStops  bool
	configReverts int
	inForce       []time.Duration
	slotsExceeded int
	// faults lists steps of the script that could not be carried out.
	faults []string
	// evidence receives a line for each broken promise that concerns one job.
	evidence []string
	duration time.Duration
	// measured is the window of ratios and rates; it leaves the warm-up out.
	measured window
}

// evaluate counts promises and measures into the result.
func (o *observation) evaluate(r *Result) {
	r.urgent, r.routine = newRatioHistogram(), newRatioHistogram()
	startsOf := o.countStarts(r)
	for i := range o.verdicts {
		o.judge(r, &o.verdicts[i], startsOf)
	}
	o.checkZones(r)
	o.checkLeaving(r)
	o.measure(r)
	r.ConfigReverts, r.SlotsExceeded = o.configReverts, o.slotsExceeded
	for _, d := range o.inForce {
		r.ConfigInForceMaxS = max(r.ConfigInForceMaxS, d.Seconds())
	}
	r.Broken = o.broken(r)
}

// keep records evidence of a broken promise.
func (o *observation) keep(format string, args ...any) {
	o.evidence = append(o.evidence, fmt.Sprintf(format, args...))
}

// countStarts counts starts and double starts and returns the number of started tasks of each job.
func (o *observation) countStarts(r *Result) map[string]int {
	type task struct {
		job   string
		index int
	}
	seen := make(map[task]int, len(o.starts))
	startsOf := map[string]int{}
	for _, s := range o.starts {
		key := task{s.job, s.task}
		seen[key]++
		startsOf[s.job]++
		if seen[key] > 1 {
			r.StartedTwice++
			o.keep("second start of task %d of %s at %.3f s on server %d", s.task, s.job, s.at.Seconds(), s.server)
		}
	}
	r.TasksStarted = len(o.starts)
	return startsOf
}

func (o *observation) judge(r *Result, v *verdict, startsOf map[string]int) {
	o.checkResults(r, v)
	if v.attempts < 0 {
		r.Resubmissions++
		return
	}
	r.JobsOffered++
	r.Resubmissions += v.attempts - min(v.attempts, 1)
	if o.plannedStops && v.cut > 0 {
		r.CutRequests += v.cut
		o.keep("cut: %s", v)
	}
	if v.unanswered {
		o.keep("unanswered: %s", v)
		r.JobsUnanswered++
		return
	}
	o.countOutcome(r, v, startsOf[v.id.String()])
}

func (o *observation) countOutcome(r *Result, v *verdict, starts int) {
	switch v.outcome {
	case structs.OutcomeComplete:
		r.JobsComplete++
		o.recordResponse(r, v)
	case structs.OutcomeNotRun:
		r.countCode(v.code)
		if starts > 0 {
			r.FalseNotRun++
			o.keep("not run, but %d starts: %s", starts, v)
		}
		r.JobsRefused++
	case structs.OutcomeMayHaveRun:
		r.countCode(v.code)
		r.JobsMayHaveRun++
	default:
		if v.code == structs.CodeCancelled {
			r.JobsCancelled++
			return
		}
		r.JobsFailed++
	}
}

func (o *observation) recordResponse(r *Result, v *verdict) {
	if v.start < o.measured.from || v.start >= o.measured.to {
		return
	}
	// The way from the caller and back is not the system's: it is part of the ideal.
	ideal := Ideal(o.profile, v.job) + 2*o.profile.ClientDelay
	if v.job.Urgent {
		recordRatio(r.urgent, v.end-v.start, ideal)
		return
	}
	recordRatio(r.routine, v.end-v.start, ideal)
}

func (o *observation) checkResults(r *Result, v *verdict) {
	if v.outcome != structs.OutcomeComplete {
		return
	}
	if len(v.results) != len(v.job.RunTimes) {
		r.PartialAnswers++
		o.keep("partial, %d of %d results: %s", len(v.results), len(v.job.RunTimes), v)
		return
	}
	for i, result := range v.results {
		if result.Echo != echoOf(v.job, i) {
			r.WrongAnswers++
			o.keep("wrong result %d %q: %s", i, result.Echo, v)
			return
		}
	}
}

func (o *observation) checkZones(r *Result) {
	for _, s := range o.starts {
		for _, w := range o.zoneOut[o.profile.Zone(s.server)] {
			if s.at > w.from+graceAfterOut && s.at < w.to {
				r.LateZoneStarts++
				o.keep("start of task %d of %s at %.3f s on server %d in a zone that is out", s.task, s.job, s.at.Seconds(), s.server)
			}
		}
	}
}

func (o *observation) checkLeaving(r *Result) {
	for _, s := range o.starts {
		for _, w := range o.leaving[s.server] {
			if s.at > w.from+graceAfterOut && s.at < w.to {
				r.LateLeavingStarts++
			}
		}
	}
}

func (o *observation) measure(r *Result) {
	r.UrgentRatioP50, r.UrgentRatioP99 = quantile(r.urgent, 50), quantile(r.urgent, 99)
	r.RoutineRatioP50, r.RoutineRatioP99 = quantile(r.routine, 50), quantile(r.routine, 99)
	complete := map[string]bool{}
	for i := range o.verdicts {
		v := &o.verdicts[i]
		complete[v.id.String()] = complete[v.id.String()] || v.outcome == structs.OutcomeComplete
	}
	inWindow := 0
	goodput := 0.0
	for _, s := range o.starts {
		if s.at >= o.measured.from && s.at < o.measured.to {
			inWindow++
		}
		if complete[s.job] {
			goodput += o.nominalWork(s, o.measured)
		}
	}
	seconds := o.measured.length().Seconds()
	r.StartsPerS = float64(inWindow) / seconds
	r.GoodputRatio = goodput / (o.profile.Capacity(nil) * seconds)
	r.WorkSustainedRatio = o.workSustained()
	r.timeline = o.timeline()
}

// nominalWork returns the nominal run time that a start contributes inside a window, in seconds.
func (o *observation) nominalWork(s start, w window) float64 {
	slowdown := o.profile.Slowdown(s.server)
	end := s.at + time.Duration(float64(s.work)*slowdown)
	return w.overlap(s.at, end).Seconds() / slowdown
}

// workSustained returns the work done by the remaining servers while a zone was out, relative to their capacity. It
// is 0 if no zone was out, and means something only if enough work was queued.
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

// broken names each promise that the run broke.
func (o *observation) broken(r *Result) []string {
	var broken []string
	report := func(count int, text string) {
		if count > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", count, text))
		}
	}
	report(r.StartedTwice, "tasks started twice")
	report(r.PartialAnswers, "partial answers")
	report(r.WrongAnswers, "answers of another job")
	report(r.FalseNotRun, "refusals as not run of jobs that had started")
	report(r.LateZoneStarts, "starts in a zone more than 2 s after it was taken out")
	report(r.LateLeavingStarts, "starts on a leaving server after more than 2 s")
	report(r.CutRequests, "requests cut by planned stops")
	report(r.ConfigReverts, "configuration reverts")
	report(r.SlotsExceeded, "starts beyond the slots of a server")
	report(r.JobsUnanswered, "jobs without an answer")
	if r.ConfigInForceMaxS > inForceLimit.Seconds() {
		broken = append(broken, fmt.Sprintf("configuration in force after %.2f s", r.ConfigInForceMaxS))
	}
	for _, fault := range o.faults {
		broken = append(broken, "the run itself: "+fault)
	}
	if r.StartsPerS == 0 && len(o.verdicts) > 0 {
		broken = append(broken, "no task started in the measured time: the run shows nothing")
	}
	return broken
}
