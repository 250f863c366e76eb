package structs

import "time"

// Configuration is the operators' document. It is one value in the store, changed as a whole under
// compare-and-swap and applied by processes only if its revision is higher than their own.
type Configuration struct {
	Revision Revision                 `json:"revision"`
	Change   Change                   `json:"change"`
	Services map[string]ServiceConfig `json:"services"`
	Zones    map[string]ZoneConfig    `json:"zones"`
	// Servers holds only backend servers whose state is not active; servers announce themselves.
	Servers map[string]ServerConfig `json:"servers,omitempty"`
	Teams   map[string]TeamConfig   `json:"teams"`
	Limits  Limits                  `json:"limits"`
	// Retired maps removed services to their number of pools. A service that is created again keeps the number, so
	// that a key used before the removal still maps to the same pool and is not run a second time.
	Retired map[string]uint16 `json:"retired,omitempty"`
}

// Change describes the last change of the configuration. Its ID tells the author after a lost answer whether the
// write took effect.
type Change struct {
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Command  string    `json:"command"`
	Time     time.Time `json:"time"`
}

// ServiceConfig is an operator's setting of one service.
type ServiceConfig struct {
	// Pools is the number of pools. It cannot change after creation since keys map to pools for good.
	Pools uint16 `json:"pools"`
	// Zones lists the zones that the service may use. Empty means all.
	Zones []string `json:"zones,omitempty"`
	// DefaultPriority applies to submissions that name none.
	DefaultPriority string `json:"default_priority,omitempty"`
	// TaskTimeout aborts a single task.
	TaskTimeout time.Duration `json:"task_timeout_ns"`
	// UrgentReserve is the share of slots, 0 to 0.5, that is held back from long routine tasks.
	UrgentReserve float64 `json:"urgent_reserve"`
	// MaxQueuedTasks bounds the tasks queued in one pool.
	MaxQueuedTasks int `json:"max_queued_tasks"`
}

// ZoneState says whether tasks may start in an availability zone.
type ZoneState string

// The zone states.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// ZoneConfig is an operator's setting of one availability zone.
type ZoneConfig struct {
	State  ZoneState `json:"state"`
	Region string    `json:"region,omitempty"`
}

// ServerState says whether a backend server gets new work.
type ServerState string

// The server states.
const (
	ServerActive   ServerState = "active"
	ServerDraining ServerState = "draining"
)

// ServerConfig is an operator's setting of one backend server, keyed by agent id.
type ServerConfig struct {
	State ServerState `json:"state"`
}

// TeamConfig is an operator's setting of one team.
type TeamConfig struct {
	// Weight is the team's share relative to the other teams of a class.
	Weight float64 `json:"weight"`
	// MaxRunning and MaxQueued bound the team's tasks in one pool, 0 means unlimited.
	MaxRunning int `json:"max_running"`
	MaxQueued  int `json:"max_queued"`
	// MaxPriority is the highest priority that the team may use.
	MaxPriority string `json:"max_priority,omitempty"`
}

// Limits bounds what callers may send.
type Limits struct {
	MaxTasks        int           `json:"max_tasks"`
	MaxBodyBytes    int64         `json:"max_body_bytes"`
	MaxResultBytes  int64         `json:"max_result_bytes"`
	DefaultDeadline time.Duration `json:"default_deadline_ns"`
	MaxDeadline     time.Duration `json:"max_deadline_ns"`
}

// Defaults of a new system or service.
const (
	DefaultMaxTasks       = 10_000
	DefaultMaxBodyBytes   = 16 << 20
	DefaultMaxResultBytes = 1 << 20
	DefaultDeadline       = 60 * time.Second
	DefaultMaxDeadline    = 5 * time.Minute
	DefaultTaskTimeout    = 30 * time.Second
	DefaultUrgentReserve  = 0.03
	DefaultMaxQueuedTasks = 200_000
	DefaultTeamWeight     = 1.0
)

// DefaultServiceConfig returns the settings of a service that an operator creates without options.
func DefaultServiceConfig() ServiceConfig {
	return ServiceConfig{
		Pools:          1,
		TaskTimeout:    DefaultTaskTimeout,
		UrgentReserve:  DefaultUrgentReserve,
		MaxQueuedTasks: DefaultMaxQueuedTasks,
	}
}

// DefaultLimits returns the limits of a new system.
func DefaultLimits() Limits {
	return Limits{
		MaxTasks:        DefaultMaxTasks,
		MaxBodyBytes:    DefaultMaxBodyBytes,
		MaxResultBytes:  DefaultMaxResultBytes,
		DefaultDeadline: DefaultDeadline,
		MaxDeadline:     DefaultMaxDeadline,
	}
}

// ZoneAllows reports whether tasks of a service may start in a zone. A zone that the operators have not named yet
// is in, so that new zones serve without a configuration change.
func (c *Configuration) ZoneAllows(service, zone string) bool {
	if z, ok := c.Zones[zone]; ok && z.State == ZoneOut {
		return false
	}
	allowed := c.Services[service].Zones
	if len(allowed) == 0 {
		return true
	}
	for _, name := range allowed {
		if name == zone {
			return true
		}
	}
	return false
}

// ServerAllows reports whether a backend server may start tasks of a service in a zone.
func (c *Configuration) ServerAllows(service, zone string, agent AgentID) bool {
	if c.Servers[string(agent)].State == ServerDraining {
		return false
	}
	return c.ZoneAllows(service, zone)
}
