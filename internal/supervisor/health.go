package supervisor

import (
	"math"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Parameters of what an agent learns about its server. On a large site a gateway places a task on a given server less
// than once a second, so only the agent sees enough runs to learn in time that the server is sick.
const (
	// slownessWeight is the weight of a run in the moving average of the slowness, about 12 runs.
	slownessWeight = 0.08
	// jumpWeight replaces it after two runs of different jobs in a row that deviate by more than jumpDeviation in the
	// same direction. Run times vary by a standard deviation of 0.57 of the logarithm around their estimates.
	jumpWeight    = 0.35
	jumpDeviation = 0.7
	// baselineWeight is the weight of a run in the long-term slowness of the server.
	baselineWeight = 0.02
	// priorRuns is the number of runs that the prior, a server of average speed, counts as.
	priorRuns = 3
	// maxLogSlowness bounds the logarithm of the slowness. exp(3) is a factor of 20.
	maxLogSlowness = 3
	// Without new runs, a server that has turned slow is assumed to recover: after recoveryDelay, its slowness
	// approaches the long-term one with recoveryTime as time constant, so that it gets a task to show its speed.
	recoveryDelay = time.Second
	recoveryTime  = 2 * time.Second
	// maxConsecutiveFailures is the number of failed runs of different jobs, without a completed one, that suspend the
	// server. One task in 500 fails by itself; jobs that always fail come in bursts.
	maxConsecutiveFailures = 5
	// A suspended server gets no tasks for minSuspension, doubled with each further suspension up to maxSuspension.
	minSuspension = 200 * time.Millisecond
	maxSuspension = 2 * time.Second
	// probeWindow is how long one gateway is asked for a task that shows whether the server works again, before the
	// next gateway is asked.
	probeWindow = 60 * time.Millisecond
	// slownessReportStep is the change of the logarithm of the slowness that is reported to the gateways with the next
	// resource report, and urgentSlownessStep the one that makes a report due.
	slownessReportStep = 0.05
	urgentSlownessStep = 0.25
)

// slowness is the logarithm of the factor by which the run times of a server exceed those of an average server.
type slowness struct {
	runs     float64
	current  float64
	baseline float64
	// deviation and job are those of the last run.
	deviation float64
	job       string
	at        time.Duration
}

// observe updates the slowness with the deviation of a run: the logarithm of its run time over that expected on an
// average server.
func (s *slowness) observe(now time.Duration, job string, logRatio float64) {
	s.recover(now)
	s.runs++
	deviation := logRatio - s.current
	weight, step := max(1/(s.runs+priorRuns), slownessWeight), min(max(deviation, -jumpDeviation), jumpDeviation)
	if deviation != step && deviation*s.deviation > 0 && math.Abs(s.deviation) > jumpDeviation && job != s.job {
		weight, step = jumpWeight, deviation
	}
	s.current = bound(s.current + weight*step)
	s.baseline = bound(s.baseline + max(1/(s.runs+priorRuns), baselineWeight)*(logRatio-s.baseline))
	s.deviation, s.job, s.at = deviation, job, now
}

// recover moves the slowness towards the long-term one if no run was observed for some time.
func (s *slowness) recover(now time.Duration) {
	idle := now - s.at - recoveryDelay
	if idle <= 0 || s.current <= s.baseline {
		return
	}
	s.current = s.baseline + (s.current-s.baseline)*math.Exp(-idle.Seconds()/recoveryTime.Seconds())
	s.at = now - recoveryDelay
}

func bound(logSlowness float64) float64 {
	return min(max(logSlowness, -maxLogSlowness), maxLogSlowness)
}

// suspension is the circuit breaker of the server. While it is suspended the agent takes no tasks. When the time is over,
// one gateway after the other may place a single task until a run shows that the server works.
type suspension struct {
	reason string // empty while the server is in service
	until  time.Duration
	// count is the number of suspensions since the last completed run.
	count int
	// While probing is set, gateway may place one task until probeUntil. probe is that task's run.
	probing    bool
	gateway    structs.GatewayRef
	probeUntil time.Duration
	probe      *run
	// failedJobs holds the jobs with a failed run since the last completed run.
	failedJobs map[string]bool
}

// observeRunTime learns the slowness from the time that a run has taken, or will take as its progress shows.
func (s *Supervisor) observeRunTime(run *run, runTime time.Duration) {
	if run.expectedRunTime > 0 && runTime > 0 && !run.observed {
		run.observed = true
		s.slowness.observe(s.now, run.job, math.Log(runTime.Seconds()/run.expectedRunTime.Seconds())+run.assumedSlowness)
	}
}

// recordEnd learns from the end of a run.
func (s *Supervisor) recordEnd(run *run, kind structs.PlacementEventKind) {
	switch kind {
	case structs.PlacementDone:
		s.observeRunTime(run, s.now-run.startedAt)
		s.lastProgressAt = s.now
		clear(s.suspension.failedJobs)
		s.suspension.count = 0
		s.resumeService("run completed")
	case structs.PlacementFailed:
		s.suspension.failedJobs[run.job] = true
		if len(s.suspension.failedJobs) >= maxConsecutiveFailures || run == s.suspension.probe {
			s.suspend("failing")
		}
	case structs.PlacementUnhealthy:
		s.suspend("starts refused")
	default:
	}
	if run == s.suspension.probe {
		s.suspension.probe = nil
	}
}

// suspend takes the server out of service for a time. Runs that were started before count as one failure.
func (s *Supervisor) suspend(reason string) {
	b := &s.suspension
	if s.now < b.until {
		return
	}
	b.until = s.now + min(minSuspension<<min(b.count, 10), maxSuspension)
	b.count++
	b.reason, b.probing, b.probe = reason, false, nil
	s.log(LogEntry{Message: "server suspended", Detail: reason + " for " + (b.until - s.now).String()})
	s.announceServer()
}

// resumeService puts a suspended server into service again.
func (s *Supervisor) resumeService(detail string) {
	if s.suspension.reason == "" {
		return
	}
	s.suspension.reason, s.suspension.probing, s.suspension.probe, s.suspension.until = "", false, nil, 0
	s.log(LogEntry{Message: "server in service again", Detail: detail})
	s.announceServer()
}

// probeServer asks the next linked gateway for a task once the time of a suspension is over.
func (s *Supervisor) probeServer() {
	b := &s.suspension
	if b.reason == "" || s.now < b.until || b.probe != nil || (b.probing && s.now < b.probeUntil) {
		return
	}
	next := s.nextGateway(b.gateway)
	if next == nil {
		return
	}
	if old := s.gateways[b.gateway]; old != nil {
		old.serverReportDue = true
	}
	b.probing, b.gateway, b.probeUntil = true, next.ref, s.now+probeWindow
	next.serverReportDue = true
}

// nextGateway returns the linked gateway that follows another one in turn, or nil if none is linked.
func (s *Supervisor) nextGateway(after structs.GatewayRef) *gateway {
	var first *gateway
	for _, g := range s.sortedGateways() {
		switch {
		case !g.linked:
		case compareGateways(g.ref, after) > 0:
			return g
		case first == nil:
			first = g
		}
	}
	return first
}

// closedTo returns why a gateway may not place tasks, or "" if it may.
func (s *Supervisor) closedTo(g *gateway) string {
	reason := s.closedReason()
	if reason == "" && s.suspension.reason != "" && !s.maySendProbe(g) {
		return s.suspension.reason
	}
	return reason
}

func (s *Supervisor) maySendProbe(g *gateway) bool {
	return s.suspension.probing && s.suspension.gateway == g.ref && s.suspension.probe == nil
}
