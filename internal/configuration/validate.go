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
	// MaxPools bounds the pools of a service. 1024 pools of 128 instances are far more than the system is designed for.
	MaxPools = 1024
	// MaxTaskTimeout and the largest deadline equal the time by which start records outlast the retention period. With
	// a longer one, a start record could be dropped before its job ends.
	MaxTaskTimeout = structs.DefaultMaxDeadline
	// MaxUrgentReserve leaves at least half of the slots to routine tasks.
	MaxUrgentReserve = 0.5
	// MaxQueuedTasksLimit bounds the queue of one pool, so that it fits into a gateway's memory.
	MaxQueuedTasksLimit = 10_000_000
	// MaxTeamWeight and MinTeamWeight bound the ratio between the shares of two teams.
	MaxTeamWeight = 1000
	MinTeamWeight = 0.001
	// MaxTasksLimit bounds the tasks of one job.
	MaxTasksLimit = 1_000_000
	// MaxBodyLimit is half of the largest link message, because a body is forwarded to the pool's owner in one message.
	MaxBodyLimit = 32 << 20
	// MaxResultLimit bounds the result of one task. An agent keeps at most 64 MB of results in total.
	MaxResultLimit = 16 << 20
	minDuration    = time.Millisecond
)

// checker runs checks and collects the violations in the order of the checks.
type checker struct{ violations []Violation }

func (c *checker) require(ok bool, where, format string, args ...any) {
	if !ok {
		c.violations = append(c.violations, Violation{Where: where, Text: fmt.Sprintf(format, args...)})
	}
}

// name checks the name of an object and returns how violations refer to the object.
func (c *checker) name(kind, name string) string {
	where := kind + " " + name
	c.require(structs.ValidName(name), where,
		"a name has 1 to %d lower-case letters, digits and hyphens and does not start with a hyphen", structs.MaxNameLength)
	return where
}

func (c *checker) err() error {
	if len(c.violations) == 0 {
		return nil
	}
	return &ValidationError{Violations: c.violations}
}

// Validate checks the whole document and returns nil or a *ValidationError with all violations, in a fixed order.
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
	// In the text form, the word "none" means an empty region.
	c.require(z.Region == "" || structs.ValidName(z.Region) && z.Region != wordNone, where+" region",
		"%q is no valid name", z.Region)
}

func (c *checker) service(name string, s structs.ServiceConfig) {
	where := c.name("service", name)
	c.require(s.Pools >= 1 && s.Pools <= MaxPools, where+" pools", "%d is not in 1 to %d", s.Pools, MaxPools)
	seen := map[string]bool{}
	for _, zone := range s.Zones {
		// In the text form, the word "all" means an empty list.
		c.require(structs.ValidName(zone) && zone != wordAll, where+" zones", "%q is no valid name", zone)
		c.require(!seen[zone], where+" zones", "%q is listed twice", zone)
		seen[zone] = true
	}
	c.priority(where+" default_priority", s.DefaultPriority)
	c.duration(where+" task_timeout", s.TaskTimeout, MaxTaskTimeout)
	// The comparisons are written so that NaN is rejected.
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

// CheckTransition checks that one document may follow another and returns nil or a *ValidationError. The number of
// pools of a service must never change, even if the service is removed and created again, because the pool of a key
// depends on it.
func CheckTransition(before, after *structs.Configuration) error {
	c := &checker{}
	for _, name := range sortedKeys(before.Services) {
		c.requireSamePools(name, before.Services[name].Pools, after)
	}
	for _, name := range sortedKeys(before.Retired) {
		c.requireSamePools(name, before.Retired[name], after)
	}
	return c.err()
}

func (c *checker) requireSamePools(name string, pools uint16, after *structs.Configuration) {
	current, where := after.Retired[name], "retired "+name+" pools"
	if service, ok := after.Services[name]; ok {
		current, where = service.Pools, "service "+name+" pools"
	}
	c.require(current == pools, where, "the service was created with pools %d, which cannot change to %d", pools, current)
}

// RemoveService removes a service and records its number of pools in document.Retired.
func RemoveService(document *structs.Configuration, name string) {
	document.Retired[name] = document.Services[name].Pools
	delete(document.Services, name)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// joinViolations returns the violations of several checks as one *ValidationError, or nil if there are none.
func joinViolations(errs ...error) error {
	c := &checker{}
	for _, err := range errs {
		if invalid, ok := err.(*ValidationError); ok { //nolint:errorlint // The checks do not wrap their errors.
			c.violations = append(c.violations, invalid.Violations...)
		}
	}
	return c.err()
}
