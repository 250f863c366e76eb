package structs

import (
	"strings"
	"time"
)

// Routing is the operators' configuration of queues on the users' platform. It is immutable.
type Routing struct {
	// Version grows with each change, in uneven steps.
	Version      uint64
	Routes       []Route
	MaxBodyBytes int64
}

// Route is one queue of jobs: it maps a host and a path prefix to the service that runs them.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority orders the queues; 0 comes first.
	Priority int
	// Timeout bounds a request on this route.
	Timeout time.Duration
	// TargetLatency and Stretch give the objective of a job: Stretch times its longest chain of work and TargetLatency
	// more.
	TargetLatency time.Duration
	Stretch       float64
	// MaxAttempts is the number of failed runs of a task after which its job has failed.
	MaxAttempts int
	// NeedsAdvice is true if only servers that an adviser names may run the queue's steps.
	NeedsAdvice bool
}

// Find returns the route of a request: that of the host with the longest prefix of the path.
func (r *Routing) Find(host, path string) (Route, bool) {
	best, found := Route{}, false
	for _, route := range r.Routes {
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if !found || len(route.Prefix) > len(best.Prefix) {
			best, found = route, true
		}
	}
	return best, found
}

// Resources is an amount of the resources of a backend server.
type Resources struct {
	_ struct{} `cbor:",toarray"`
	// CPU is in thousandths of a core.
	CPU      int64
	MemoryMB int64
	GPU      int64
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Covers reports whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return o.CPU <= r.CPU && o.MemoryMB <= r.MemoryMB && o.GPU <= r.GPU
}

// StepSpec is one step of a job: tasks that are alike and may run at the same time.
type StepSpec struct {
	Count int
	// Need is the room of one task.
	Need Resources
	// Estimate is the caller's guess of one task's run time. It is far off.
	Estimate time.Duration
	// After lists the numbers of earlier steps whose tasks must all have completed.
	After []int
	// Label is one that the server must have, empty for none.
	Label string
	// Rack is the label of the rack that holds the data, empty for none.
	Rack string
	// MaxPerServer bounds the step's tasks on one server, 0 means unlimited.
	MaxPerServer int
}

// JobSpec is a job that is answered when it has ended.
type JobSpec struct {
	// ID is chosen by the caller.
	ID string
	// Payload is passed to the backend server with each task.
	Payload string
	Steps   []StepSpec
}
