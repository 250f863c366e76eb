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
	// Arrival is the time of arrival, since the start of the run.
	Arrival  time.Duration
	Key      string
	Team     string
	Urgent   bool
	Kind     string
	RunTimes []time.Duration
	// DeclaredTime is the run time that the caller declares. It is up to ten times too short or too long, as declared
	// run times are in practice.
	DeclaredTime time.Duration
	Deadline     time.Duration
	Repeatable   bool
	// CancelAfter, if above 0, cancels the job that long after its first submission.
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

// Sizes of jobs. The run times of most tasks are log-uniform between minShortRunTime and maxShortRunTime; a share of
// shareLong takes 1 to 3 s and a share of shareVeryLong 3 to 6 s. Urgent jobs have up to maxUrgentTasks tasks. The
// numbers of tasks of routine jobs are log-uniform between minRoutineTasks and maxRoutineTasks.
const (
	minShortRunTime = 50 * time.Millisecond
	maxShortRunTime = time.Second
	shareLong       = 0.04
	shareVeryLong   = 0.01
	maxUrgentTasks  = 8
	minRoutineTasks = 10
	maxRoutineTasks = 670
)

// Load describes the arrivals of one run.
type Load struct {
	// Utilization is the offered work relative to the capacity.
	Utilization float64
	Duration    time.Duration
	// RunTimeScale multiplies run times. It is below 1 for throughput runs, and 0 means 1.
	RunTimeScale float64
	// BurstAt is the time from which BurstJobs urgent jobs arrive within one second, if BurstJobs is above 0.
	BurstAt   time.Duration
	BurstJobs int
	// BacklogSeconds adds routine work of that many seconds of capacity at the time BacklogAt.
	BacklogSeconds float64
	BacklogAt      time.Duration
	// CancelShare is the share of routine jobs that are cancelled within 2 s of their submission.
	CancelShare float64
	Deadline    time.Duration
	// OnlyUrgent leaves out routine jobs, except those of the backlog.
	OnlyUrgent bool
	// TaskRate, if above 0, replaces Utilization by a number of tasks per second.
	TaskRate float64
	// UrgentShare, if above 0, replaces the profile's UrgentShare.
	UrgentShare float64
}

// Generate returns the jobs of a run in the order of their arrivals. The same arguments give the same jobs.
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
	g.addPoissonArrivals(offered*share, g.newUrgentJob)
	if !l.OnlyUrgent {
		g.addPoissonArrivals(offered*(1-share), g.newRoutineJob)
	}
	g.addBurst()
	g.addBacklog(p.Capacity(nil))
	sort.SliceStable(g.jobs, func(i, k int) bool { return g.jobs[i].Arrival < g.jobs[k].Arrival })
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

// addPoissonArrivals adds Poisson arrivals that offer rate seconds of work per second. The mean work of a job is
// estimated from a sample, so that the offered load does not depend on the formulas of the distributions.
func (g *generator) addPoissonArrivals(rate float64, draw func() Job) {
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
		job.Arrival = time.Duration(at * float64(time.Second))
		g.jobs = append(g.jobs, job)
	}
}

// meanRunTime returns the mean run time of a task in seconds, from a sample.
func (g *generator) meanRunTime() float64 {
	const sample = 20_000
	mean := 0.0
	for range sample {
		mean += g.drawRunTime().Seconds() / sample
	}
	return mean
}

func (g *generator) addBurst() {
	for range g.load.BurstJobs {
		job := g.newUrgentJob()
		job.Arrival = g.load.BurstAt + time.Duration(g.rng.Int64N(int64(time.Second)))
		g.jobs = append(g.jobs, job)
	}
}

func (g *generator) addBacklog(capacity float64) {
	for remaining := g.load.BacklogSeconds * capacity; remaining > 0; {
		job := g.newRoutineJob()
		job.Arrival = g.load.BacklogAt
		remaining -= job.Work().Seconds()
		g.jobs = append(g.jobs, job)
	}
}

func (g *generator) newUrgentJob() Job {
	kinds := []string{"quote", "stock", "plan"}
	job := g.newJob(1+g.rng.IntN(maxUrgentTasks), kinds[g.rng.IntN(len(kinds))])
	job.Urgent = true
	job.Repeatable = job.Kind != "plan"
	return job
}

func (g *generator) newRoutineJob() Job {
	size := minRoutineTasks * math.Pow(float64(maxRoutineTasks)/minRoutineTasks, g.rng.Float64())
	job := g.newJob(int(size), "batch")
	job.Repeatable = true
	if g.rng.Float64() < g.load.CancelShare {
		job.CancelAfter = time.Duration(g.rng.Int64N(int64(2 * time.Second)))
	}
	return job
}

func (g *generator) newJob(tasks int, kind string) Job {
	job := Job{Kind: kind, Team: fmt.Sprintf("team-%d", g.rng.IntN(g.profile.Teams)), Deadline: g.load.Deadline}
	for range tasks {
		job.RunTimes = append(job.RunTimes, g.drawRunTime())
	}
	errorFactor := math.Pow(10, 2*g.rng.Float64()-1)
	job.DeclaredTime = time.Duration(float64(job.RunTimes[0]) * errorFactor)
	return job
}

func (g *generator) drawRunTime() time.Duration {
	var seconds float64
	switch u := g.rng.Float64(); {
	case u < shareVeryLong:
		seconds = 3 + 3*g.rng.Float64()
	case u < shareVeryLong+shareLong:
		seconds = 1 + 2*g.rng.Float64()
	default:
		ratio := float64(maxShortRunTime) / float64(minShortRunTime)
		seconds = minShortRunTime.Seconds() * math.Pow(ratio, g.rng.Float64())
	}
	scale := g.load.RunTimeScale
	if scale == 0 {
		scale = 1
	}
	return time.Duration(seconds * scale * float64(time.Second))
}
