package structs

import (
	"strings"
	"time"
)

// Routing is the configuration of the queues on the users' platform, as the operators write it. It must not be
// modified.
type Routing struct {
	// Version grows with each change, not always by one.
	Version      uint64
	Routes       []Route
	MaxBodyBytes int64
}

// Route is one queue of jobs. It maps a host and a path prefix to the service whose backend servers run the jobs.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority orders the queues; 0 goes first.
	Priority int
	// Timeout is the longest duration of a request on this route.
	Timeout time.Duration
	// TargetLatency and Stretch define the objective of a job, the time within which it should be answered: Stretch
	// times the run time of its longest chain of steps, plus TargetLatency.
	TargetLatency time.Duration
	Stretch       float64
	// MaxAttempts is the number of failed runs of a task after which its job has failed.
	MaxAttempts int
	// NeedsAdvice is true if the queue's steps may run only on servers that the platform's adviser names.
	NeedsAdvice bool
}

// Find returns the route of a request: among the routes of the host whose prefix matches the path, that with the
// longest prefix.
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

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Covers reports whether r is enough for o in every resource.
func (r Resources) Covers(o Resources) bool {
	return o.CPU <= r.CPU && o.MemoryMB <= r.MemoryMB && o.GPU <= r.GPU
}

// StepSpec is one step of a job: a number of tasks of the same kind that may run at the same time.
type StepSpec struct {
	Count int
	// Need is what one task needs.
	Need Resources
	// Estimate is the caller's estimate of the run time of one task, which is often far off.
	Estimate time.Duration
	// After lists the numbers of the earlier steps that must have completed before this one starts.
	After []int
	// Label is a label that the server must have. Empty means any server.
	Label string
	// Rack is the label of the rack that holds the data of the step. Empty means none.
	Rack string
	// MaxPerServer is the largest number of the step's tasks on one server; 0 means unlimited.
	MaxPerServer int
}

// JobSpec is a job as a caller on the users' platform submits it.
type JobSpec struct {
	// ID is the caller's id of the job.
	ID string
	// Payload is passed to the backend server with each task.
	Payload string
	Steps   []StepSpec
}
