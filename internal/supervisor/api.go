// Package supervisor manages the runs of one backend server: it decides which tasks run there and when, and it stops
// runs whose gateway or caller is gone. Several gateways share the server. The agent of the server is the only
// process that may send it requests, so the free resources are counted in one place. Program rosedrift-roomagent runs
// a supervisor.
//
// The supervisor is a deterministic state machine: every input carries a monotonic time, and Flush returns the
// resulting actions. The package does no I/O and reads no clock.
package supervisor

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Answer says how the backend server answered an order.
type Answer uint8

// The answers. AnswerNone leaves open whether the order is or will be carried out. After all others but AnswerOK the
// server has done nothing.
const (
	AnswerNone Answer = iota
	AnswerOK
	// AnswerOldRun: a run with this or a higher number was there before.
	AnswerOldRun
	// AnswerNoResources: the task does not fit.
	AnswerNoResources
	// AnswerUnhealthy: the server refuses the order for any other reason.
	AnswerUnhealthy
)

// End says how a run ended.
type End uint8

// The ends of a run. EndLost stands for stopped runs and for those whose lease has lapsed.
const (
	EndDone End = iota + 1
	EndFailed
	EndLost
)

// RunRef names one run of a task.
type RunRef struct {
	Task string
	Run  uint32
}

// Server describes the backend server.
type Server struct {
	ID string
	// StartTime tells the incarnations of one ID apart.
	StartTime int64
	Service   string
	Labels    []string
	Capacity  structs.Resources
	Draining  bool
}

// ListedRun is one run that the server lists.
type ListedRun struct {
	RunRef
	// Percent is the progress, 0 to 100.
	Percent float64
}

// ListedEnd is one end that the server lists.
type ListedEnd struct {
	RunRef
	Number uint64
	End    End
}

// RunList is what the server says about its runs.
type RunList struct {
	StartTime int64
	// RequestedAt is when the call was sent. The list shows all runs that were confirmed before.
	RequestedAt time.Duration
	Running     []ListedRun
	Ended       []ListedEnd
}

// Action is an order to the shell.
type Action interface{ action() }

// CallStart asks for a call to the server that starts a run. The answer comes back by StartAnswered.
type CallStart struct {
	RunRef
	Payload string
	// Token is the fencing token of the order.
	Token uint64
}

// CallStop asks for a call to the server that stops a run. The answer comes back by StopAnswered.
type CallStop struct {
	RunRef
	// Token is the fencing token of the order.
	Token uint64
}

// Send is a message to a gateway.
type Send struct {
	Gateway structs.GatewayRef
	Type    structs.MessageType
	Message any
}

// CloseLink asks for the end of the link with a gateway. What it has delivered before counts no more.
type CloseLink struct{ Gateway structs.GatewayRef }

// LogEntry is a decision for the log.
type LogEntry struct {
	Message string
	// Task and Gateway name what the decision is about; both may be empty.
	Task    string
	Run     uint32
	Gateway structs.GatewayRef
	Detail  string
}

func (CallStart) action() {}
func (CallStop) action()  {}
func (Send) action()      {}
func (CloseLink) action() {}
func (LogEntry) action()  {}

// Options configures a room.
type Options struct {
	Self structs.AgentRef
	Zone string
	// Token is the first fencing token. It must be above those of earlier agents beside the same server.
	Token uint64
	// TaskName returns the name of a task towards the backend server.
	TaskName func(job string, step, index int) string
	// RunLease is the longest time for which the server goes on without a renewal.
	RunLease time.Duration
}

// Times and limits of a room.
const (
	// linkGrace is structs.GatewaySilence after the end of a link. A link that was reset comes back sooner; a dial takes two
	// round trips of a few ms.
	linkGrace = 400 * time.Millisecond
	// ReportInterval is the shortest time between room reports to a gateway that carry no event, for each gateway with
	// a link. It bounds the reports of an agent to 333 a second, whatever the number of gateways.
	ReportInterval = 3 * time.Millisecond
	// BackfillLimit is how long smaller tasks may pass a task that does not fit. Beyond it the room is kept free, so
	// that large tasks do not starve.
	BackfillLimit = 30 * time.Millisecond
	// StopRetryInterval is the time between stops of a run whose stop was not answered.
	StopRetryInterval = 100 * time.Millisecond
	// tokenStep is added to the fencing token when the server has seen a higher one: a second in the unit of the first
	// token, so that a clock that was set back is made up in a few steps.
	tokenStep = 1000
	// silentLists is the number of lists without an answer, one after the other, that close the room. A server that loses
	// one call in twenty (incident inc-d730) would close it twice a second with one.
	silentLists = 2
	// ClaimTimeout is how long a started agent keeps runs that it found until a gateway claims them. It stays below
	// structs.GatewaySilence.
	ClaimTimeout = 600 * time.Millisecond
	// eventRetention is how long events stay known for a gateway whose link breaks before it has read them. A gateway
	// gives a silent agent up after less.
	eventRetention = 5 * time.Second
	// noRoomPause keeps starts back after the server has refused one for lack of room, until its list tells more.
	noRoomPause = 20 * time.Millisecond
	// lagFactor times the expected run time is when a run counts as lagging. Work within a kind spreads by a factor of
	// 1.5 either way (standard deviation 0.4 of the logarithm).
	lagFactor = 2.5
	// lagMinimum keeps short runs from counting as lagging by the delay of a list.
	lagMinimum = 80 * time.Millisecond
	// lagRepeat is the time between reports of one lagging run. Gateways act on the second.
	lagRepeat = 40 * time.Millisecond
)
