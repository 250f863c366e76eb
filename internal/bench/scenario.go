package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Scenario is a load with a script of failures.
type Scenario struct {
	Name string
	// Summary says in one line what the scenario shows.
	Summary string
	// Load describes the arrivals for a duration.
	Load func(duration time.Duration) Load
	// Script injects failures while the load runs. It may be nil.
	Script func(r *run)
	// ResubmitAll makes every caller submit twice.
	ResubmitAll bool
	// PlannedStops makes every cut request a broken promise.
	PlannedStops bool
	// Direct leaves the delays of zones and callers out, for throughput.
	Direct bool
}

func loadOf(utilization float64) func(time.Duration) Load {
	return func(d time.Duration) Load { return Load{Utilization: utilization, Duration: d} }
}

// Scenarios returns the scenarios in the order in which they are listed.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "idle", Summary: "no load: the cost of control", Load: loadOf(0)},
		{Name: "steady", Summary: "80% load, no failure", Load: loadOf(0.8)},
		{Name: "steady95", Summary: "95% load, no failure", Load: loadOf(0.95)},
		{Name: "burst", Summary: "60% load, then an urgent burst of 2 s of capacity", Load: burstLoad},
		{Name: "backlog", Summary: "urgent load with a routine backlog of 10 s of capacity", Load: backlogLoad},
		{Name: "overload", Summary: "twice the capacity", Load: overloadLoad},
		{Name: "zone-drain", Summary: "a zone leaves and returns under a full queue", Load: queuedLoad, Script: zoneDrain},
		{Name: "server-drain", Summary: "backend servers drain and return", Load: loadOf(0.8), Script: serverDrain},
		{Name: "agent-crash", Summary: "agents are killed and restarted", Load: loadOf(0.7), Script: agentCrash},
		{Name: "gateway-crash", Summary: "gateways are killed and restarted", Load: loadOf(0.7), Script: gatewayCrash},
		{Name: "freeze", Summary: "gateways and agents are frozen past their leases", Load: loadOf(0.6), Script: freeze},
		{Name: "cut", Summary: "gateways are cut off, one way and both ways", Load: loadOf(0.6), Script: cut},
		{Name: "store-outage", Summary: "the store is down for most of the run", Load: loadOf(0.8), Script: storeOutage},
		{Name: "store-lost-answer", Summary: "answers of the store get lost", Load: loadOf(0.7), Script: storeLostAnswer},
		{Name: "resubmit", Summary: "every client submits twice while gateways crash", Load: loadOf(0.6), Script: gatewayCrash, ResubmitAll: true},
		{Name: "owner-and-agents-crash", Summary: "all gateways and just under half of the agents are killed at once", Load: loadOf(0.6), Script: ownerAndAgentsCrash, ResubmitAll: true},
		{Name: "stragglers", Summary: "some backend servers become ten times slower", Load: loadOf(0.6), Script: stragglers},
		{Name: "failing-worker", Summary: "a backend server fails everything at once", Load: loadOf(0.6), Script: failingWorker},
		{Name: "cancel-wave", Summary: "half of the routine jobs are cancelled", Load: cancelLoad},
		{Name: "operator-race", Summary: "operators change the configuration against each other", Load: loadOf(0.6), Script: operatorRace},
		{Name: "rolling-restart", Summary: "every process is stopped and restarted in turn", Load: loadOf(0.6), Script: rollingRestart, PlannedStops: true},
		{Name: "mixed", Summary: "every failure, at random, together and twice", Load: mixedLoad, Script: mixed, ResubmitAll: true},
		{Name: "throughput", Summary: "short tasks at the highest rate", Load: throughputLoad, Direct: true},
	}
}

// ScenarioByName returns a scenario.
func ScenarioByName(name string) (Scenario, bool) {
	all := Scenarios()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return all[i], true
}

func burstLoad(d time.Duration) Load {
	return Load{Utilization: 0.6, Duration: d, BurstAt: d / 3, BurstJobs: 120}
}

func backlogLoad(d time.Duration) Load {
	return Load{Utilization: 0.3, Duration: d, Backlog: 10, OnlyUrgent: true}
}

func overloadLoad(d time.Duration) Load {
	return Load{Utilization: 2, Duration: d, Deadline: 30 * time.Second}
}

// queuedLoad keeps more work queued than the remaining zones can do, so that idle capacity is the system's fault.
func queuedLoad(d time.Duration) Load {
	return Load{Utilization: 0.7, Duration: d, Backlog: 0.5 * d.Seconds(), Deadline: 5 * time.Minute}
}

func cancelLoad(d time.Duration) Load {
	return Load{Utilization: 0.9, Duration: d, CancelShare: 0.5}
}

func mixedLoad(d time.Duration) Load {
	return Load{Utilization: 0.7, Duration: d, CancelShare: 0.1, BurstAt: d / 2, BurstJobs: 60}
}

func throughputLoad(d time.Duration) Load {
	return Load{TaskRate: 43_000, UrgentShare: 0.05, Duration: d, Scale: 0.02, Deadline: time.Minute}
}

// run is a scenario in execution.
type run struct {
	ctx      context.Context
	cluster  *Cluster
	duration time.Duration
	rng      *rand.Rand

	mu          sync.Mutex
	observation observation
}

func (r *run) since() time.Duration { return time.Since(r.cluster.started) }

// sleepTo sleeps until a share of the duration has passed.
func (r *run) sleepTo(share float64) {
	sleepUntil(r.ctx, r.cluster.started.Add(time.Duration(share*float64(r.duration))))
}

// pause sleeps for the time.
func (r *run) pause(d time.Duration) { sleepUntil(r.ctx, time.Now().Add(d)) }

func zoneDrain(r *run) {
	zone := r.cluster.profile.Zones[0]
	r.sleepTo(0.25)
	r.zoneOut(zone, func() { r.sleepTo(0.65) })
}

func serverDrain(r *run) {
	for i, share := range []float64{0.2, 0.5} {
		r.sleepTo(share)
		r.drainServer(3*i, func() { r.sleepTo(share + 0.2) })
	}
}

func agentCrash(r *run) {
	for i, share := range []float64{0.2, 0.4, 0.6} {
		r.sleepTo(share)
		r.crash(r.cluster.Agents[(i*4)%len(r.cluster.Agents)].Process, 2*time.Second)
	}
}

func gatewayCrash(r *run) {
	for i, share := range []float64{0.2, 0.45, 0.7} {
		r.sleepTo(share)
		r.crash(r.cluster.Gateways[i%len(r.cluster.Gateways)].Process, 4*time.Second)
	}
}

// ownerAndAgentsCrash destroys start records together with their owner, so that only the journal knows the keys of jobs
// that had started at lost agents alone. A majority of the agents lives on, and the others return after the takeover.
func ownerAndAgentsCrash(r *run) {
	const outage = 9 * time.Second
	r.sleepTo(0.3)
	agents := r.cluster.Agents[:(len(r.cluster.Agents)-1)/2]
	for _, node := range r.cluster.Gateways {
		r.note("kill %s", node.Name)
		node.Kill()
	}
	var wait sync.WaitGroup
	for _, node := range agents {
		wait.Go(func() { r.crash(node.Process, outage) })
	}
	for _, node := range r.cluster.Gateways {
		r.check(node.Start())
	}
	wait.Wait()
}

func freeze(r *run) {
	for i, share := range []float64{0.15, 0.35, 0.55} {
		r.sleepTo(share)
		r.freeze(r.cluster.Gateways[i%len(r.cluster.Gateways)].Process, 5*time.Second)
		r.freeze(r.cluster.Agents[(i*5)%len(r.cluster.Agents)].Process, 4*time.Second)
	}
}

func cut(r *run) {
	for i, direction := range []Direction{Both, Outbound, Inbound} {
		node := r.cluster.Gateways[i%len(r.cluster.Gateways)]
		r.sleepTo(0.1 + 0.28*float64(i))
		r.cut(node.Links, direction, 5*time.Second)
		r.cut(node.Store, direction, 5*time.Second)
	}
}

func storeOutage(r *run) {
	r.sleepTo(0.15)
	r.storeFault("outage", 0.65)
}

func storeLostAnswer(r *run) {
	r.sleepTo(0.1)
	go r.storeFault("lost", 0.7)
	gatewayCrash(r)
}

func stragglers(r *run) {
	r.sleepTo(0.2)
	r.slowdown(2, 10)
	r.slowdown(7, 10)
	r.sleepTo(0.7)
	r.slowdown(2, 1)
	r.slowdown(7, 1)
}

func failingWorker(r *run) {
	r.sleepTo(0.2)
	r.failing(4, true)
	r.sleepTo(0.7)
	r.failing(4, false)
}

func operatorRace(r *run) {
	var wait sync.WaitGroup
	for operator := range 3 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if r.changeLimits(operator) == 0 {
				r.fail("no change of operator %d was accepted", operator)
			}
		}()
	}
	wait.Wait()
}

func rollingRestart(r *run) {
	for i, process := range r.restartOrder() {
		r.sleepTo(0.1 + 0.8*float64(i)/float64(len(r.cluster.processes())))
		r.restart(process)
	}
}

// mixed injects failures at random moments, up to three at a time.
func mixed(r *run) {
	failures := []func(){
		func() { r.crash(r.anyAgent(), 2*time.Second) },
		func() { r.crash(r.anyAgent(), 500*time.Millisecond) },
		func() { r.crash(r.anyGateway().Process, 3*time.Second) },
		func() { r.freeze(r.anyAgent(), 4*time.Second) },
		func() { r.freeze(r.anyGateway().Process, 5*time.Second) },
		func() { r.cut(r.anyGateway().Links, Direction(r.draw(3)), 4*time.Second) },
		func() { r.cut(r.anyGateway().Store, Direction(r.draw(3)), 4*time.Second) },
		func() { r.storeFaultFor("outage", 5*time.Second) },
		func() { r.storeFaultFor("lost", 4*time.Second) },
		func() { r.storeFaultFor("slow", 4*time.Second) },
		func() { r.restart(r.anyAgent()) },
		func() {
			r.zoneOut(r.cluster.profile.Zone(r.draw(len(r.cluster.profile.Zones))), func() { r.pause(4 * time.Second) })
		},
		func() { r.changeLimits(r.draw(3)) },
	}
	var wait sync.WaitGroup
	for r.since() < r.duration*9/10 && r.ctx.Err() == nil {
		for range 1 + r.draw(3) {
			failure := failures[r.draw(len(failures))]
			wait.Add(1)
			go func() {
				defer wait.Done()
				failure()
			}()
		}
		r.pause(time.Duration(2+r.draw(4)) * time.Second)
	}
	wait.Wait()
}
