package configuration

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Bounds of valid documents.
const (
	// MaxPools bounds the pools of a service: 1024 pools of 128 instances are far above the design size.
	MaxPools = 1024
	// MaxTaskTimeout and the largest deadline equal the time by which start records outlast the retention period;
	// a longer one would let a record end before its job.
	MaxTaskTimeout = structs.DefaultMaxDeadline
	// MaxUrgentReserve leaves routine tasks at least half of the slots.
	MaxUrgentReserve = 0.5
	// MaxQueuedTasksLimit keeps the queue of one pool within a gateway's memory.
	MaxQueuedTasksLimit = 10_000_000
	// MaxTeamWeight bounds the ratio of two teams' shares.
	MaxTeamWeight = 1000
	MinTeamWeight = 0.001
	// MaxTasksLimit bounds the tasks of one job.
	MaxTasksLimit = 1_000_000
	// MaxBodyLimit is half of the largest link message, since a body is forwarded to the pool's owner in one.
	MaxBodyLimit = 32 << 20
	// MaxResultLimit bounds one task's result: an agent keeps 64 MB of results in all.
	MaxResultLimit = 16 << 20
	minDuration    = time.Millisecond
)

// checker collects faults in the order of the checks.
type checker struct{ faults []Fault }

func (c *checker) require(ok bool, where, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, Fault{Where: where, Text: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) name(kind, name string) string {
	where := kind + " " + name
	c.require(structs.ValidName(name), where,
		"a name has 1 to %d lower-case letters, digits and hyphens and does not start with a hyphen", structs.MaxNameLength)
	return where
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return &ValidationError{Faults: c.faults}
}

// Validate checks the whole document and returns nil or a *ValidationError with all faults, in a fixed order.
func Validate(document *structs.Configuration) error {
	c := &checker{}
	c.limits(document.Limits)
	for _, name := range sortedKeys(document.Zones) {
		c.zone(name, document.Zones[name])
	}
	for _, name := range sortedKeys(document.Services) {
		c.service(name, document.Services[name])
	}
	for _, name := range sortedKeys(document.Teams) {
		c.team(name, document.Teams[name])
	}
	for _, name := range sortedKeys(document.Servers) {
		where := c.name("server", name)
		state := document.Servers[name].State
		c.require(state == structs.ServerDraining, where+" state", "only draining servers are listed, not %q", state)
	}
	for _, name := range sortedKeys(document.Retired) {
		where := c.name("retired", name)
		pools := document.Retired[name]
		c.require(pools >= 1 && pools <= MaxPools, where+" pools", "%d is not in 1 to %d", pools, MaxPools)
	}
	return c.err()
}

func (c *checker) limits(l structs.Limits) {
	c.require(l.MaxTasks >= 1 && l.MaxTasks <= MaxTasksLimit, "limit max_tasks",
		"%d is not in 1 to %d", l.MaxTasks, MaxTasksLimit)
	c.require(l.MaxBodyBytes >= 1 && l.MaxBodyBytes <= MaxBodyLimit, "limit max_body_bytes",
		"%s is not in 1 to %s", formatBytes(l.MaxBodyBytes), formatBytes(MaxBodyLimit))
	c.require(l.MaxResultBytes >= 1 && l.MaxResultBytes <= MaxResultLimit, "limit max_result_bytes",
		"%s is not in 1 to %s", formatBytes(l.MaxResultBytes), formatBytes(MaxResultLimit))
	c.duration("limit max_deadline", l.MaxDeadline, structs.DefaultMaxDeadline)
	c.duration("limit default_deadline", l.DefaultDeadline, l.MaxDeadline)
}

func (c *checker) duration(where string, value, most time.Duration) {
	c.require(value >= minDuration && value <= most, where, "%s is not in %s to %s", value, minDuration, most)
}

func (c *checker) zone(name string, z structs.ZoneConfig) {
	where := c.name("zone", name)
	c.require(z.State == structs.ZoneIn || z.State == structs.ZoneOut, where+" state", "want in or out, not %q", z.State)
	// The word stands for an empty region in the text form.
	c.require(z.Region == "" || structs.ValidName(z.Region) && z.Region != wordNone, where+" region",
		"%q is no valid name", z.Region)
}

func (c *checker) service(name string, s structs.ServiceConfig) {
	where := c.name("service", name)
	c.require(s.Pools >= 1 && s.Pools <= MaxPools, where+" pools", "%d is not in 1 to %d", s.Pools, MaxPools)
	seen := map[string]bool{}
	for _, zone := range s.Zones {
		// The word stands for an empty list in the text form.
		c.require(structs.ValidName(zone) && zone != wordAll, where+" zones", "%q is no valid name", zone)
		c.require(!seen[zone], where+" zones", "%q is listed twice", zone)
		seen[zone] = true
	}
	c.priority(where+" default_priority", s.DefaultPriority)
	c.duration(where+" task_timeout", s.TaskTimeout, MaxTaskTimeout)
	// The comparisons are written so that NaN fails them.
	c.require(s.UrgentReserve >= 0 && s.UrgentReserve <= MaxUrgentReserve, where+" urgent_reserve",
		"%g is not in 0 to %g", s.UrgentReserve, MaxUrgentReserve)
	c.require(s.MaxQueuedTasks >= 1 && s.MaxQueuedTasks <= MaxQueuedTasksLimit, where+" max_queued_tasks",
		"%d is not in 1 to %d", s.MaxQueuedTasks, MaxQueuedTasksLimit)
}

func (c *checker) priority(where, word string) {
	_, ok := structs.ParsePriority(word)
	c.require(ok, where, "want urgent or routine, not %q", word)
}

func (c *checker) team(name string, t structs.TeamConfig) {
	where := c.name("team", name)
	c.require(t.Weight >= MinTeamWeight && t.Weight <= MaxTeamWeight, where+" weight",
		"%g is not in %g to %d", t.Weight, MinTeamWeight, MaxTeamWeight)
	c.require(t.MaxRunning >= 0, where+" max_running", "%d is below 0", t.MaxRunning)
	c.require(t.MaxQueued >= 0, where+" max_queued", "%d is below 0", t.MaxQueued)
	c.priority(where+" max_priority", t.MaxPriority)
}

// CheckTransition checks the rules between two documents and returns nil or a *ValidationError: the number of pools
// of a service never changes, also not over a removal and a new creation, because a key maps to a pool for good.
func CheckTransition(before, after *structs.Configuration) error {
	c := &checker{}
	for _, name := range sortedKeys(before.Services) {
		c.samePools(name, before.Services[name].Pools, after)
	}
	for _, name := range sortedKeys(before.Retired) {
		c.samePools(name, before.Retired[name], after)
	}
	return c.err()
}

func (c *checker) samePools(name string, pools uint16, after *structs.Configuration) {
	now, where := after.Retired[name], "retired "+name+" pools"
	if service, ok := after.Services[name]; ok {
		now, where = service.Pools, "service "+name+" pools"
	}
	c.require(now == pools, where, "the service was created with pools %d, which cannot change to %d", pools, now)
}

// RemoveService removes a service and keeps its number of pools.
func RemoveService(document *structs.Configuration, name string) {
	document.Retired[name] = document.Services[name].Pools
	delete(document.Services, name)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// joinFaults adds the faults of several checks.
func joinFaults(errs ...error) error {
	c := &checker{}
	for _, err := range errs {
		if invalid, ok := err.(*ValidationError); ok { //nolint:errorlint // The checks return the bare type.
			c.faults = append(c.faults, invalid.Faults...)
		}
	}
	return c.err()
}
