// Package bench runs real rosedrift processes on loopback, submits jobs from a generated workload, injects failures and
// checks what rosedrift promises, for example that no task is started twice and that no answer is partial. Starts and
// answers are counted at the callers and the backend server stand-ins, never taken from rosedrift's own counters.
//
// A Profile describes the deployment, a Scenario the load and the failures, and Run executes one scenario and returns a
// Result.
package bench

import (
	"fmt"
	"time"
)

// Profile describes a deployment under test.
type Profile struct {
	Name     string
	Service  string
	Zones    []string
	Gateways int
	// Instances is the number of backend servers. They are assigned to the zones in turn.
	Instances   int
	Slots       int
	Connections int
	// Slowdowns holds the run time multipliers of the backend servers. They are assigned in turn.
	Slowdowns []float64
	// ClientDelay is the one-way delay between callers and gateways, added by the callers.
	ClientDelay time.Duration
	// ZoneDelay is the one-way delay between zones, added by the relays.
	ZoneDelay time.Duration
	// UrgentShare is the share of urgent work in the offered load.
	UrgentShare float64
	Teams       int
	Pools       int
	// Settings holds operators' settings of the service for experiments, each as "FIELD VALUE".
	Settings []string
}

// unevenSlowdowns differ by a factor of almost three, as those of backend servers bought over many years do.
var unevenSlowdowns = []float64{0.7, 1.0, 1.4, 0.8, 1.1, 2.0, 0.7, 1.2, 0.9, 1.7, 1.0}

// Profiles returns the known profiles by name.
func Profiles() map[string]Profile {
	teglie := Profile{
		Name: "teglie", Service: "lending", Zones: []string{"catania", "palermo", "siracusa"}, Gateways: 3,
		Instances: 11, Slots: 8, Connections: 64, Slowdowns: unevenSlowdowns,
		ClientDelay: 3 * time.Millisecond, ZoneDelay: time.Millisecond, UrgentShare: 0.3, Teams: 3, Pools: 1,
	}
	ardoise := teglie
	ardoise.Name, ardoise.Service = "ardoise", "orders"
	ardoise.Zones = []string{"brest", "rennes", "vannes"}
	ardoise.ClientDelay, ardoise.UrgentShare = time.Millisecond, 0.5
	plan := teglie
	plan.Name, plan.Service = "plan", "orders"
	plan.Zones = []string{"a1", "a2", "a3", "b1", "b2"}
	plan.Instances, plan.Gateways, plan.Teams, plan.Pools = 110, 4, 82, 4
	return map[string]Profile{teglie.Name: teglie, ardoise.Name: ardoise, plan.Name: plan}
}

// ProfileByName returns a profile or an error that lists the known ones.
func ProfileByName(name string) (Profile, error) {
	profile, ok := Profiles()[name]
	if !ok {
		return Profile{}, fmt.Errorf("unknown profile %q: want teglie, ardoise or plan", name)
	}
	return profile, nil
}

// Slowdown returns the run time multiplier of an instance.
func (p Profile) Slowdown(instance int) float64 { return p.Slowdowns[instance%len(p.Slowdowns)] }

// Zone returns the zone of an instance or gateway.
func (p Profile) Zone(index int) string { return p.Zones[index%len(p.Zones)] }

// Capacity returns the work that the instances selected by include can do per second, in seconds of nominal run time. A
// nil include selects all instances.
func (p Profile) Capacity(include func(instance int) bool) float64 {
	total := 0.0
	for i := range p.Instances {
		if include == nil || include(i) {
			total += float64(p.Slots) / p.Slowdown(i)
		}
	}
	return total
}

// MeanSlowdown returns the run time multiplier of a server of mean speed: the number of slots divided by the capacity.
func (p Profile) MeanSlowdown() float64 {
	return float64(p.Instances*p.Slots) / p.Capacity(nil)
}
