package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Scenario is a load with a script that injects failures.
type Scenario struct {
	Name string
	// Summary says in one line what the scenario shows.
	Summary string
	// Load describes the arrivals for a duration.
	Load func(duration time.Duration) Load
	// Script injects failures while the load runs. It may be nil.
	Script func(r *run)
	// ResubmitAll makes every caller submit its job twice.
	ResubmitAll bool
	// GracefulStops says that the script stops processes with SIGTERM only, so that each cut request breaks a promise.
	GracefulStops bool
	// BypassRelays connects the processes directly and without the delays of zones and callers, to measure throughput.
	BypassRelays bool
}

func loadOf(utilization float64) func(time.Duration) Load {
	return func(d time.Duration) Load { return Load{Utilization: utilization, Duration: d} }
}

// Scenarios returns the scenarios in the order in which they are listed.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "idle", Summary: "no load: the cost of control messages", Load: loadOf(0)},
		{Name: "steady", Summary: "80% load, no failure", Load: loadOf(0.8)},
		{Name: "steady95", Summary: "95% load, no failure", Load: loadOf(0.95)},
		{Name: "burst", Summary: "60% load, then an urgent burst of 2 s of capacity", Load: burstLoad},
		{Name: "backlog", Summary: "urgent load with a routine backlog of 10 s of capacity", Load: backlogLoad},
		{Name: "overload", Summary: "twice the capacity", Load: overloadLoad},
		{Name: "zone-drain", Summary: "a zone is taken out and brought back while the queue is full", Load: queuedLoad, Script: zoneDrain},
		{Name: "server-drain", Summary: "backend servers drain and return", Load: loadOf(0.8), Script: serverDrain},
		{Name: "agent-crash", Summary: "agents are killed and restarted", Load: loadOf(0.7), Script: agentCrash},
		{Name: "gateway-crash", Summary: "gateways are killed and restarted", Load: loadOf(0.7), Script: gatewayCrash},
		{Name: "freeze", Summary: "gateways and agents are paused past their leases", Load: loadOf(0.6), Script: freeze},
		{Name: "cut", Summary: "gateways are cut off, one way and both ways", Load: loadOf(0.6), Script: cut},
		{Name: "store-outage", Summary: "the store is down for most of the run", Load: loadOf(0.8), Script: storeOutage},
		{Name: "store-lost-answer", Summary: "answers of the store get lost", Load: loadOf(0.7), Script: storeLostAnswer},
		{Name: "resubmit", Summary: "every client submits twice while gateways crash", Load: loadOf(0.6), Script: gatewayCrash, ResubmitAll: true},
		{Name: "owner-and-agents-crash", Summary: "all gateways and just under half of the agents are killed at once", Load: loadOf(0.6), Script: ownerAndAgentsCrash, ResubmitAll: true},
		{Name: "stragglers", Summary: "some backend servers become ten times slower", Load: loadOf(0.6), Script: stragglers},
		{Name: "failing-worker", Summary: "a backend server fails every task immediately", Load: loadOf(0.6), Script: failingWorker},
		{Name: "cancel-wave", Summary: "half of the routine jobs are cancelled", Load: cancelLoad},
		{Name: "operator-race", Summary: "operators change the configuration concurrently", Load: loadOf(0.6), Script: operatorRace},
		{Name: "rolling-restart", Summary: "every process is stopped and restarted in turn", Load: loadOf(0.6), Script: rollingRestart, GracefulStops: true},
		{Name: "mixed", Summary: "all kinds of failures at random, also at once, and every job submitted twice", Load: mixedLoad, Script: mixed, ResubmitAll: true},
		{Name: "throughput", Summary: "short tasks at the highest rate", Load: throughputLoad, BypassRelays: true},
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
	return Load{Utilization: 0.3, Duration: d, BacklogSeconds: 10, OnlyUrgent: true}
}

func overloadLoad(d time.Duration) Load {
	return Load{Utilization: 2, Duration: d, Deadline: 30 * time.Second}
}

// queuedLoad keeps more work queued than the remaining zones can do, so that any idle capacity is a fault of the
// system.
func queuedLoad(d time.Duration) Load {
	return Load{Utilization: 0.7, Duration: d, BacklogSeconds: 0.5 * d.Seconds(), Deadline: 5 * time.Minute}
}

func cancelLoad(d time.Duration) Load {
	return Load{Utilization: 0.9, Duration: d, CancelShare: 0.5}
}

func mixedLoad(d time.Duration) Load {
	return Load{Utilization: 0.7, Duration: d, CancelShare: 0.1, BurstAt: d / 2, BurstJobs: 60}
}

func throughputLoad(d time.Duration) Load {
	return Load{TaskRate: 43_000, UrgentShare: 0.05, Duration: d, RunTimeScale: 0.02, Deadline: time.Minute}
}

// run is the state of a scenario's execution. The scripts of the scenarios are functions of it.
type run struct {
	ctx      context.Context
	cluster  *Cluster
	duration time.Duration
	rng      *rand.Rand

	mu          sync.Mutex
	observation observation
}

func (r *run) since() time.Duration { return time.Since(r.cluster.runStart) }

// sleepUntilShare sleeps until a share of the duration has passed.
func (r *run) sleepUntilShare(share float64) {
	sleepUntil(r.ctx, r.cluster.runStart.Add(time.Duration(share*float64(r.duration))))
}

// sleep sleeps for a time or until the run ends.
func (r *run) sleep(d time.Duration) { sleepUntil(r.ctx, time.Now().Add(d)) }

// zoneDrain and the functions below are the scripts of the scenarios of the same names.
func zoneDrain(r *run) {
	zone := r.cluster.profile.Zones[0]
	r.sleepUntilShare(0.25)
	r.zoneOut(zone, func() { r.sleepUntilShare(0.65) })
}

func serverDrain(r *run) {
	for i, share := range []float64{0.2, 0.5} {
		r.sleepUntilShare(share)
		r.drainServer(3*i, func() { r.sleepUntilShare(share + 0.2) })
	}
}

func agentCrash(r *run) {
	for i, share := range []float64{0.2, 0.4, 0.6} {
		r.sleepUntilShare(share)
		r.crash(r.cluster.Agents[(i*4)%len(r.cluster.Agents)].Process, 2*time.Second)
	}
}

func gatewayCrash(r *run) {
	for i, share := range []float64{0.2, 0.45, 0.7} {
		r.sleepUntilShare(share)
		r.crash(r.cluster.Gateways[i%len(r.cluster.Gateways)].Process, 4*time.Second)
	}
}

// ownerAndAgentsCrash kills all gateways and just under half of the agents. Start records are then lost together with
// the owner, so that only the journal knows the keys of jobs that had started on the killed agents alone. A majority of
// the agents keeps running, and the others return after the takeover.
func ownerAndAgentsCrash(r *run) {
	const outage = 9 * time.Second
	r.sleepUntilShare(0.3)
	agents := r.cluster.Agents[:(len(r.cluster.Agents)-1)/2]
	for _, node := range r.cluster.Gateways {
		r.logStep("kill %s", node.Name)
		node.Kill()
	}
	var wait sync.WaitGroup
	for _, node := range agents {
		wait.Go(func() { r.crash(node.Process, outage) })
	}
	for _, node := range r.cluster.Gateways {
		r.recordError(node.Start())
	}
	wait.Wait()
}

func freeze(r *run) {
	for i, share := range []float64{0.15, 0.35, 0.55} {
		r.sleepUntilShare(share)
		r.pauseProcess(r.cluster.Gateways[i%len(r.cluster.Gateways)].Process, 5*time.Second)
		r.pauseProcess(r.cluster.Agents[(i*5)%len(r.cluster.Agents)].Process, 4*time.Second)
	}
}

func cut(r *run) {
	for i, direction := range []Direction{Both, Outbound, Inbound} {
		node := r.cluster.Gateways[i%len(r.cluster.Gateways)]
		r.sleepUntilShare(0.1 + 0.28*float64(i))
		r.cut(node.LinkRelay, direction, 5*time.Second)
		r.cut(node.StoreRelay, direction, 5*time.Second)
	}
}

func storeOutage(r *run) {
	r.sleepUntilShare(0.15)
	r.storeFault("outage", 0.65)
}

func storeLostAnswer(r *run) {
	r.sleepUntilShare(0.1)
	go r.storeFault("lost", 0.7)
	gatewayCrash(r)
}

func stragglers(r *run) {
	r.sleepUntilShare(0.2)
	r.setSlowdown(2, 10)
	r.setSlowdown(7, 10)
	r.sleepUntilShare(0.7)
	r.setSlowdown(2, 1)
	r.setSlowdown(7, 1)
}

func failingWorker(r *run) {
	r.sleepUntilShare(0.2)
	r.setFailing(4, true)
	r.sleepUntilShare(0.7)
	r.setFailing(4, false)
}

func operatorRace(r *run) {
	var wait sync.WaitGroup
	for operator := range 3 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if r.changeLimits(operator) == 0 {
				r.recordFailure("no change of operator %d was accepted", operator)
			}
		}()
	}
	wait.Wait()
}

func rollingRestart(r *run) {
	for i, process := range r.restartOrder() {
		r.sleepUntilShare(0.1 + 0.8*float64(i)/float64(len(r.cluster.processes())))
		r.restart(process)
	}
}

// mixed starts one to three random failures every few seconds. They may overlap. The order of the list and of the
// random draws decides which failures a seed gives.
func mixed(r *run) {
	failures := []func(){
		func() { r.crash(r.randomAgent(), 2*time.Second) },
		func() { r.crash(r.randomAgent(), 500*time.Millisecond) },
		func() { r.crash(r.randomGateway().Process, 3*time.Second) },
		func() { r.pauseProcess(r.randomAgent(), 4*time.Second) },
		func() { r.pauseProcess(r.randomGateway().Process, 5*time.Second) },
		func() { r.cut(r.randomGateway().LinkRelay, Direction(r.randomInt(3)), 4*time.Second) },
		func() { r.cut(r.randomGateway().StoreRelay, Direction(r.randomInt(3)), 4*time.Second) },
		func() { r.storeFaultFor("outage", 5*time.Second) },
		func() { r.storeFaultFor("lost", 4*time.Second) },
		func() { r.storeFaultFor("slow", 4*time.Second) },
		func() { r.restart(r.randomAgent()) },
		func() {
			r.zoneOut(r.cluster.profile.Zone(r.randomInt(len(r.cluster.profile.Zones))), func() { r.sleep(4 * time.Second) })
		},
		func() { r.changeLimits(r.randomInt(3)) },
	}
	var wait sync.WaitGroup
	for r.since() < r.duration*9/10 && r.ctx.Err() == nil {
		for range 1 + r.randomInt(3) {
			failure := failures[r.randomInt(len(failures))]
			wait.Add(1)
			go func() {
				defer wait.Done()
				failure()
			}()
		}
		r.sleep(time.Duration(2+r.randomInt(4)) * time.Second)
	}
	wait.Wait()
}
