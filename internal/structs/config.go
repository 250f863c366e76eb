package structs

import "time"

// Configuration is the configuration document that the operators write. It is one value in the store and is replaced as
// a whole by compare-and-swap. A process applies a document only if its revision is higher than that of its own.
type Configuration struct {
	Revision Revision                 `json:"revision"`
	Change   Change                   `json:"change"`
	Services map[string]ServiceConfig `json:"services"`
	Zones    map[string]ZoneConfig    `json:"zones"`
	// Servers holds only backend servers whose state is not active, since servers announce themselves.
	Servers map[string]ServerConfig `json:"servers,omitempty"`
	Teams   map[string]TeamConfig   `json:"teams"`
	Limits  Limits                  `json:"limits"`
	// Retired maps removed services to their number of pools. A service that is created again keeps this number, so
	// that a key used before the removal still maps to the same pool and its job does not run a second time.
	Retired map[string]uint16 `json:"retired,omitempty"`
}

// Change describes the last change of the configuration. If the answer to a write is lost, the writer compares ID to
// find out whether the write took effect.
type Change struct {
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Command  string    `json:"command"`
	Time     time.Time `json:"time"`
}

// ServiceConfig holds the settings of one service.
type ServiceConfig struct {
	// Pools is the number of pools. It cannot change after creation, since the mapping of keys to pools is permanent.
	Pools uint16 `json:"pools"`
	// Zones lists the zones that the service may use. Empty means all.
	Zones []string `json:"zones,omitempty"`
	// DefaultPriority applies to submissions without a priority.
	DefaultPriority string `json:"default_priority,omitempty"`
	// TaskTimeout is the run time after which a task is aborted.
	TaskTimeout time.Duration `json:"task_timeout_ns"`
	// UrgentReserve is the share of slots, 0 to 0.5, that long routine tasks may not use.
	UrgentReserve float64 `json:"urgent_reserve"`
	// MaxQueuedTasks is the largest number of tasks queued in one pool.
	MaxQueuedTasks int `json:"max_queued_tasks"`
}

// ZoneState says whether tasks may start in an availability zone.
type ZoneState string

// The zone states.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// ZoneConfig holds the settings of one availability zone.
type ZoneConfig struct {
	State  ZoneState `json:"state"`
	Region string    `json:"region,omitempty"`
}

// ServerState says whether a backend server gets new tasks.
type ServerState string

// The server states.
const (
	ServerActive   ServerState = "active"
	ServerDraining ServerState = "draining"
)

// ServerConfig holds the settings of one backend server. Its key in the configuration is the agent's id.
type ServerConfig struct {
	State ServerState `json:"state"`
}

// TeamConfig holds the settings of one team.
type TeamConfig struct {
	// Weight is the team's share of the slots relative to the other teams, separately for each priority.
	Weight float64 `json:"weight"`
	// MaxRunning and MaxQueued are the largest numbers of the team's tasks in one pool; 0 means unlimited.
	MaxRunning int `json:"max_running"`
	MaxQueued  int `json:"max_queued"`
	// MaxPriority is the highest priority that the team may use.
	MaxPriority string `json:"max_priority,omitempty"`
}

// Limits holds the limits of what callers may submit.
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

// ZoneAllows reports whether tasks of a service may start in a zone. A zone that the configuration does not name is in
// service, so that new zones need no change of the configuration.
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
