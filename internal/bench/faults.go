package bench

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"rosedrift.example/rosedrift/internal/standin"
)

// stopLimit is the longest time of a planned stop.
const stopLimit = 60 * time.Second

func (r *run) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *run) anyAgent() *Process {
	return r.cluster.Agents[r.draw(len(r.cluster.Agents))].Process
}

func (r *run) anyGateway() *GatewayNode {
	return r.cluster.Gateways[r.draw(len(r.cluster.Gateways))]
}

// note records a step of the script in the run's log.
func (r *run) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", r.since().Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.cluster.log.WriteString(line)
}

// crash kills a process and starts it again after a pause.
func (r *run) crash(p *Process, after time.Duration) {
	r.note("kill %s", p.Name)
	p.Kill()
	r.pause(after)
	r.note("start %s", p.Name)
	r.check(p.Start())
}

func (r *run) freeze(p *Process, length time.Duration) {
	r.note("freeze %s", p.Name)
	p.Pause()
	r.pause(length)
	r.note("thaw %s", p.Name)
	p.Resume()
}

func (r *run) cut(relay *Relay, direction Direction, length time.Duration) {
	r.note("cut %s to %s, direction %d", relay.Addr(), relay.target, direction)
	relay.Cut(direction)
	r.pause(length)
	r.note("heal %s", relay.Addr())
	relay.Heal()
}

// restart stops a process with SIGTERM, waits for its end and starts it again.
func (r *run) restart(p *Process) {
	r.note("stop %s", p.Name)
	if !p.Stop(stopLimit) {
		r.fail("%s did not stop within %s", p.Name, stopLimit)
		p.Kill()
	}
	r.note("start %s", p.Name)
	r.check(p.Start())
	r.pause(time.Second)
}

// restartOrder lists agents and gateways; the store is the platform's and is not restarted by us.
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

// zoneOut takes a zone out, runs during, and brings it back. If the change is refused, nothing is checked.
func (r *run) zoneOut(zone string, during func()) {
	if !r.command("zone " + zone + " out") {
		return
	}
	out := window{from: r.since(), to: 1 << 62}
	r.mu.Lock()
	r.observation.zoneOut[zone] = append(r.observation.zoneOut[zone], out)
	at := len(r.observation.zoneOut[zone]) - 1
	r.mu.Unlock()
	during()
	back := r.since()
	for !r.command("zone "+zone+" in") && r.ctx.Err() == nil {
		r.pause(200 * time.Millisecond)
		back = r.since()
	}
	r.mu.Lock()
	r.observation.zoneOut[zone][at].to = back
	r.mu.Unlock()
}

// drainServer drains a backend server, runs during, and activates it.
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

// command executes an operator's command through any gateway that accepts it, measures the time until it is in
// force, and reports whether it was accepted.
func (r *run) command(command string) bool {
	for gateway := range r.cluster.Gateways {
		before := r.since()
		reply, err := r.cluster.Command(r.ctx, gateway, command)
		if err != nil {
			r.note("%s: %v", command, err)
			continue
		}
		r.note("%s: revision %d after %.3f s", command, reply.Revision, (r.since() - before).Seconds())
		r.followInForce(gateway, reply.Revision)
		return true
	}
	return false
}

// followInForce measures how long after its acceptance a revision is in force, in the background.
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
		r.observation.inForce = append(r.observation.inForce, r.since()-accepted)
	}()
}

// changeLimits changes a limit several times and returns how many changes were accepted.
func (r *run) changeLimits(operator int) (accepted int) {
	for i := range 5 {
		r.pause(200 * time.Millisecond)
		if r.command(fmt.Sprintf("set max_tasks %d", 10_000+10*operator+i)) {
			accepted++
		}
	}
	return accepted
}

// watchRevisions samples the revision of each gateway incarnation and counts steps back.
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
		r.pause(100 * time.Millisecond)
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
	r.note("store %s for %s", kind, length)
	r.check(r.cluster.StoreFaults(faults))
	r.pause(length)
	r.note("store healthy")
	r.check(r.cluster.StoreFaults(standin.StoreFaults{}))
}

func (r *run) check(err error) {
	if err != nil {
		r.fail("%v", err)
	}
}

// fail records a fault of the run itself. It makes the run fail, since it did not show what it should.
func (r *run) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observation.faults = append(r.observation.faults, fmt.Sprintf(format, args...))
}

// slowdown makes a backend server slower by a factor.
func (r *run) slowdown(instance int, factor float64) {
	instance %= len(r.cluster.Agents)
	r.note("backend server %d slower by %.1f", instance, factor)
	base := r.cluster.profile.Slowdown(instance)
	r.cluster.Agents[instance].Backend.SetFaults(standin.BackendFaults{Slowness: base * factor})
}

// failing makes a backend server fail every task at once.
func (r *run) failing(instance int, on bool) {
	instance %= len(r.cluster.Agents)
	r.note("backend server %d fails everything: %v", instance, on)
	base := r.cluster.profile.Slowdown(instance)
	r.cluster.Agents[instance].Backend.SetFaults(standin.BackendFaults{Slowness: base, FailAll: on})
}
