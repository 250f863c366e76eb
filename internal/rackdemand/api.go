// Package rackdemand measures the demand for each rack, and shares it between gateways through agents. The demand for a rack is
// the CPU that the tasks whose data the rack holds would use near their data. Each gateway measures that of its own jobs (Gateway)
// and sends it to two agents of the rack, which add up what all gateways send (Agent) and send the sum to all gateways.
//
// Both sides are deterministic state machines: every input carries a monotonic time. The package does no I/O and reads no clock.
// The callers discard messages of links and incarnations that have ended.
package rackdemand

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Times and limits that gateways and agents share.
const (
	// Interval is the time between two messages of a gateway to an agent about the same rack, and the shortest time between two
	// totals of an agent. The way from an arriving job to all gateways takes at most three intervals and the messages, so that
	// all gateways know the demand within a second.
	Interval = 250 * time.Millisecond
	// shareTimeout is how long an agent counts what a gateway has sent. It allows for three lost or late messages.
	shareTimeout = time.Second
	// repeatInterval is the longest time between two totals of an agent while the total is not zero.
	repeatInterval = time.Second
	// totalTimeout is how long a gateway uses the total of an agent. A total may be half a second late.
	totalTimeout = 1500 * time.Millisecond
	// averagingTime is the time constant of the measured demand. The mean age of the counted work is then the same as in a window
	// of one second.
	averagingTime = 500 * time.Millisecond
	// silence is the time without a task after which the measured demand is zero, the window that averagingTime stands for.
	// Without it, the demand for a full rack would be shared for 2 s after its jobs have ended.
	silence = time.Second
	// sharedFraction is the share of a rack's capacity from which a gateway sends its own demand.
	sharedFraction = 1.0 / 50
	// minChange is the relative change of the total from which an agent sends it before repeatInterval has passed.
	minChange = 0.1
	// relays is the number of agents of a rack to which a gateway sends its demand. One may be lost.
	relays = 2
	// maxDemand, a million cores in thousandths, is more than any rack has. Messages with more are malformed, and sums cannot
	// overflow.
	maxDemand = 1e9
	// maxRacks bounds the racks that a gateway keeps, since jobs may name racks that do not exist. The largest fleet has 120.
	maxRacks = 1024
)

// Parameters of the changes that are reported for the log.
const (
	// highUtilization is the utilization above which the demand for a rack is high, and lowUtilization the one below which it no
	// longer is. The demand for half of a rack varies by about a tenth with the arrivals of 100 jobs a second, and the distance
	// is twice that.
	highUtilization = 0.5
	lowUtilization  = 0.4
	// changeInterval is the shortest time between two reports that the demand for the same rack has become high.
	changeInterval = 10 * time.Second
	// maxChanges bounds the changes that one update reports. The others are reported by the next ones.
	maxChanges = 4
)

// View is what a gateway knows about a rack from its links.
type View struct {
	// Known is set if any known server belongs to the rack, linked or not.
	Known bool
	// Capacity is that of the rack's usable servers, in thousandths of a core.
	Capacity float64
	// Agents are the linked agents of the rack.
	Agents []structs.AgentID
}

// Send is a message to an agent.
type Send struct {
	Agent   structs.AgentID
	Message *structs.RackDemand
}

// Change says that the demand for a rack has become high, or no longer is.
type Change struct {
	Rack        string
	Utilization float64
	High        bool
}

// valid reports whether a demand from a message can be used. It is false for what is not a number.
func valid(demand float64) bool { return demand >= 0 && demand <= maxDemand }
