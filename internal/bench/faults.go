package bench

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"rosedrift.example/rosedrift/internal/standin"
)

// shutdownLimit is the longest time that a graceful shutdown may take.
const shutdownLimit = 60 * time.Second

func (r *run) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *run) randomAgent() *Process {
	return r.cluster.Agents[r.randomInt(len(r.cluster.Agents))].Process
}

func (r *run) randomGateway() *GatewayNode {
	return r.cluster.Gateways[r.randomInt(len(r.cluster.Gateways))]
}

// logStep writes a step of the script, with its time, to script.log.
func (r *run) logStep(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", r.since().Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.cluster.scriptLog.WriteString(line)
}

// crash kills a process and starts it again after a delay.
func (r *run) crash(p *Process, after time.Duration) {
	r.logStep("kill %s", p.Name)
	p.Kill()
	r.sleep(after)
	r.logStep("start %s", p.Name)
	r.recordError(p.Start())
}

func (r *run) pauseProcess(p *Process, length time.Duration) {
	r.logStep("pause %s", p.Name)
	p.Pause()
	r.sleep(length)
	r.logStep("resume %s", p.Name)
	p.Resume()
}

func (r *run) cut(relay *Relay, direction Direction, length time.Duration) {
	r.logStep("cut %s to %s, direction %d", relay.Addr(), relay.target, direction)
	relay.Cut(direction)
	r.sleep(length)
	r.logStep("heal %s", relay.Addr())
	relay.Heal()
}

// restart stops a process with SIGTERM, waits until it has exited and starts it again.
func (r *run) restart(p *Process) {
	r.logStep("stop %s", p.Name)
	if !p.Stop(shutdownLimit) {
		r.recordFailure("%s did not stop within %s", p.Name, shutdownLimit)
		p.Kill()
	}
	r.logStep("start %s", p.Name)
	r.recordError(p.Start())
	r.sleep(time.Second)
}

// restartOrder lists the gateways and agents in the order in which they are restarted. The store belongs to the
// platform and is not restarted.
func (r *run) restartOrder() []*Process {
	var order []*Process
	for _, node := range r.cluster.Gateways {
		order = append(order, node.Process)
	}
	for _, node := range r.cluster.Agents {
		order = append(order, node.Process)
	}
	return order
}

// zoneOut takes a zone out, runs during, and brings the zone back. If the command is refused, it does nothing else, so
// that nothing is checked.
func (r *run) zoneOut(zone string, during func()) {
	if !r.command("zone " + zone + " out") {
		return
	}
	out := window{from: r.since(), to: 1 << 62} // open until the zone is back
	r.mu.Lock()
	r.observation.zoneOut[zone] = append(r.observation.zoneOut[zone], out)
	at := len(r.observation.zoneOut[zone]) - 1
	r.mu.Unlock()
	during()
	back := r.since()
	for !r.command("zone "+zone+" in") && r.ctx.Err() == nil {
		r.sleep(200 * time.Millisecond)
		back = r.since()
	}
	r.mu.Lock()
	r.observation.zoneOut[zone][at].to = back
	r.mu.Unlock()
}

// drainServer drains a backend server, runs during, and activates the server again. If the drain is refused, it does
// nothing else.
func (r *run) drainServer(instance int, during func()) {
	name := agentName(instance)
	if !r.command("server " + name + " drain") {
		return
	}
	drained := window{from: r.since()}
	during()
	drained.to = r.since()
	r.command("server " + name + " activate")
	r.mu.Lock()
	r.observation.leaving[instance] = append(r.observation.leaving[instance], drained)
	r.mu.Unlock()
}

// command executes an operator's command through the first gateway that accepts it and reports whether one did. The
// time until the change is in force is measured in the background.
func (r *run) command(command string) bool {
	for gateway := range r.cluster.Gateways {
		before := r.since()
		reply, err := r.cluster.Command(r.ctx, gateway, command)
		if err != nil {
			r.logStep("%s: %v", command, err)
			continue
		}
		r.logStep("%s: revision %d after %.3f s", command, reply.Revision, (r.since() - before).Seconds())
		r.followInForce(gateway, reply.Revision)
		return true
	}
	return false
}

// followInForce measures in the background how long after its acceptance a revision is in force everywhere.
func (r *run) followInForce(gateway int, revision uint64) {
	accepted := r.since()
	go func() {
		for r.ctx.Err() == nil && r.since() < accepted+2*inForceLimit {
			if r.cluster.InForce(r.ctx, gateway, revision) {
				break
			}
			time.Sleep(pollInterval)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.observation.inForceDelays = append(r.observation.inForceDelays, r.since()-accepted)
	}()
}

// changeLimits changes a limit several times and returns how many changes were accepted.
func (r *run) changeLimits(operator int) (accepted int) {
	for i := range 5 {
		r.sleep(200 * time.Millisecond)
		if r.command(fmt.Sprintf("set max_tasks %d", 10_000+10*operator+i)) {
			accepted++
		}
	}
	return accepted
}

// watchRevisions polls the configuration revision of each gateway and counts decreases within one incarnation.
func (r *run) watchRevisions() {
	highest := map[string]uint64{}
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for r.ctx.Err() == nil {
		for _, node := range r.cluster.Gateways {
			revision, ok := readRevision(client, node.Addr)
			incarnation := fmt.Sprint(node.Name, node.Pid())
			if ok && revision < highest[incarnation] {
				r.mu.Lock()
				r.observation.configReverts++
				r.mu.Unlock()
			}
			if ok {
				highest[incarnation] = max(highest[incarnation], revision)
			}
		}
		r.sleep(100 * time.Millisecond)
	}
}

func readRevision(client *http.Client, addr string) (uint64, bool) {
	response, err := client.Get("http://" + addr + "/v1/admin/config")
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var document struct {
		Revision uint64 `json:"revision"`
	}
	err = json.NewDecoder(response.Body).Decode(&document)
	return document.Revision, err == nil && response.StatusCode == http.StatusOK
}

// storeFault injects a store fault until a share of the duration has passed.
func (r *run) storeFault(kind string, until float64) {
	end := time.Duration(until*float64(r.duration)) - r.since()
	r.storeFaultFor(kind, end)
}

func (r *run) storeFaultFor(kind string, length time.Duration) {
	var faults standin.StoreFaults
	switch kind {
	case "outage":
		faults.Outage, faults.StaleMilliseconds = true, 500
	case "lost":
		faults.LoseShare = 0.3
	case "slow":
		faults.SlowMilliseconds = 800
	}
	r.logStep("store %s for %s", kind, length)
	r.recordError(r.cluster.SetStoreFaults(faults))
	r.sleep(length)
	r.logStep("store healthy")
	r.recordError(r.cluster.SetStoreFaults(standin.StoreFaults{}))
}

func (r *run) recordError(err error) {
	if err != nil {
		r.recordFailure("%v", err)
	}
}

// recordFailure records that a step of the script failed. The run then fails, since it did not test what it should.
func (r *run) recordFailure(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observation.scriptErrors = append(r.observation.scriptErrors, fmt.Sprintf(format, args...))
}

// setSlowdown makes a backend server slower than its profile says by a factor.
func (r *run) setSlowdown(instance int, factor float64) {
	instance %= len(r.cluster.Agents)
	r.logStep("backend server %d slower by a factor of %.1f", instance, factor)
	base := r.cluster.profile.Slowdown(instance)
	r.cluster.Agents[instance].Backend.SetFaults(standin.BackendFaults{Slowness: base * factor})
}

// setFailing switches on or off that a backend server fails every task immediately.
func (r *run) setFailing(instance int, on bool) {
	instance %= len(r.cluster.Agents)
	r.logStep("backend server %d fails every task: %v", instance, on)
	base := r.cluster.profile.Slowdown(instance)
	r.cluster.Agents[instance].Backend.SetFaults(standin.BackendFaults{Slowness: base, FailAll: on})
}
