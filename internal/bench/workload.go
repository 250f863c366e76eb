package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Job is one job of a workload.
type Job struct {
	// At is the time of arrival since the start of the run.
	At       time.Duration
	Key      string
	Team     string
	Urgent   bool
	Kind     string
	RunTimes []time.Duration
	// DeclaredTime is wrong by up to a factor of ten, as declared run times are.
	DeclaredTime time.Duration
	Deadline     time.Duration
	Repeatable   bool
	// CancelAfter cancels the job that long after its submission, if above 0.
	CancelAfter time.Duration
}

// Work returns the nominal run time of all tasks.
func (j *Job) Work() time.Duration {
	var sum time.Duration
	for _, t := range j.RunTimes {
		sum += t
	}
	return sum
}

// Run times of tasks: most between the bounds on a logarithmic scale, some longer.
const (
	shortestTask   = 50 * time.Millisecond
	longestShort   = time.Second
	shareLong      = 0.04
	shareVeryLong  = 0.01
	maxUrgentTasks = 8
	minRoutine     = 10
	maxRoutine     = 670
)

// Load describes the arrivals of one run.
type Load struct {
	// Utilization is the offered work relative to the capacity.
	Utilization float64
	Duration    time.Duration
	// Scale multiplies run times, below 1 for throughput runs.
	Scale float64
	// BurstAt adds BurstJobs urgent jobs within one second, if BurstJobs is above 0.
	BurstAt   time.Duration
	BurstJobs int
	// Backlog adds routine work of that many seconds of capacity at the time BacklogAt.
	Backlog   float64
	BacklogAt time.Duration
	// CancelShare is the share of routine jobs that are cancelled soon after submission.
	CancelShare float64
	Deadline    time.Duration
	// OnlyUrgent leaves routine jobs out.
	OnlyUrgent bool
	// TaskRate, if above 0, replaces Utilization by a number of tasks per second.
	TaskRate float64
	// UrgentShare, if above 0, replaces that of the profile.
	UrgentShare float64
}

// Generate returns the arrivals of a run in the order of time. The same arguments give the same jobs.
func Generate(p Profile, l Load, seed uint64) []Job {
	g := generator{rng: rand.New(rand.NewPCG(seed, 0x726f7365)), profile: p, load: l}
	offered := p.Capacity(nil) * l.Utilization
	if l.TaskRate > 0 {
		offered = l.TaskRate * g.meanRunTime()
	}
	share := p.UrgentShare
	if l.UrgentShare > 0 {
		share = l.UrgentShare
	}
	g.stream(offered*share, g.urgentJob)
	if !l.OnlyUrgent {
		g.stream(offered*(1-share), g.routineJob)
	}
	g.burst()
	g.backlog(p.Capacity(nil))
	sort.SliceStable(g.jobs, func(i, k int) bool { return g.jobs[i].At < g.jobs[k].At })
	for i := range g.jobs {
		g.jobs[i].Key = fmt.Sprintf("s%d-j%d", seed, i)
	}
	return g.jobs
}

type generator struct {
	rng     *rand.Rand
	profile Profile
	load    Load
	jobs    []Job
}

// stream adds Poisson arrivals that offer rate seconds of work per second. The mean work of a job is estimated
// from a sample so that the offered load does not depend on the formulas of the distributions.
func (g *generator) stream(rate float64, draw func() Job) {
	if rate <= 0 {
		return
	}
	const sample = 2000
	mean := 0.0
	for range sample {
		job := draw()
		mean += job.Work().Seconds() / sample
	}
	interval := mean / rate
	at := 0.0
	for {
		at += g.rng.ExpFloat64() * interval
		if at >= g.load.Duration.Seconds() {
			return
		}
		job := draw()
		job.At = time.Duration(at * float64(time.Second))
		g.jobs = append(g.jobs, job)
	}
}

// meanRunTime returns the mean run time of a task in seconds, from a sample.
func (g *generator) meanRunTime() float64 {
	const sample = 20_000
	mean := 0.0
	for range sample {
		mean += g.runTime().Seconds() / sample
	}
	return mean
}

func (g *generator) burst() {
	for range g.load.BurstJobs {
		job := g.urgentJob()
		job.At = g.load.BurstAt + time.Duration(g.rng.Int64N(int64(time.Second)))
		g.jobs = append(g.jobs, job)
	}
}

func (g *generator) backlog(capacity float64) {
	for left := g.load.Backlog * capacity; left > 0; {
		job := g.routineJob()
		job.At = g.load.BacklogAt
		left -= job.Work().Seconds()
		g.jobs = append(g.jobs, job)
	}
}

func (g *generator) urgentJob() Job {
	kinds := []string{"quote", "stock", "plan"}
	job := g.job(1+g.rng.IntN(maxUrgentTasks), kinds[g.rng.IntN(len(kinds))])
	job.Urgent = true
	job.Repeatable = job.Kind != "plan"
	return job
}

func (g *generator) routineJob() Job {
	size := minRoutine * math.Pow(float64(maxRoutine)/minRoutine, g.rng.Float64())
	job := g.job(int(size), "batch")
	job.Repeatable = true
	if g.rng.Float64() < g.load.CancelShare {
		job.CancelAfter = time.Duration(g.rng.Int64N(int64(2 * time.Second)))
	}
	return job
}

func (g *generator) job(tasks int, kind string) Job {
	job := Job{Kind: kind, Team: fmt.Sprintf("team-%d", g.rng.IntN(g.profile.Teams)), Deadline: g.load.Deadline}
	for range tasks {
		job.RunTimes = append(job.RunTimes, g.runTime())
	}
	wrong := math.Pow(10, 2*g.rng.Float64()-1)
	job.DeclaredTime = time.Duration(float64(job.RunTimes[0]) * wrong)
	return job
}

func (g *generator) runTime() time.Duration {
	var seconds float64
	switch u := g.rng.Float64(); {
	case u < shareVeryLong:
		seconds = 3 + 3*g.rng.Float64()
	case u < shareVeryLong+shareLong:
		seconds = 1 + 2*g.rng.Float64()
	default:
		ratio := float64(longestShort) / float64(shortestTask)
		seconds = shortestTask.Seconds() * math.Pow(ratio, g.rng.Float64())
	}
	scale := g.load.Scale
	if scale == 0 {
		scale = 1
	}
	return time.Duration(seconds * scale * float64(time.Second))
}
