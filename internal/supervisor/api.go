// Package supervisor manages the runs of one backend server: it decides which tasks run there and when, and it stops
// runs whose gateway or caller has disappeared. Several gateways share the server. The agent of the server is the only
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

// Answer is the backend server's answer to a request to start or stop a run.
type Answer uint8

// The answers. After AnswerNone it is unknown whether the server has carried out the request or still will. After the
// others, except AnswerOK, the server has done nothing.
const (
	AnswerNone Answer = iota
	AnswerOK
	// AnswerOldRun: the server already had a run of the task with this or a higher number.
	AnswerOldRun
	// AnswerNoResources: the task does not fit into the free resources of the server.
	AnswerNoResources
	// AnswerUnhealthy: the server refused the request for any other reason.
	AnswerUnhealthy
	// AnswerFenced: the server has seen a higher fencing token.
	AnswerFenced
)

// End says how a run ended.
type End uint8

// The ends of a run. EndLost is the end of runs that were stopped or whose lease expired.
const (
	EndDone End = iota + 1
	EndFailed
	EndLost
)

// RunRef identifies one run of a task.
type RunRef struct {
	Task string
	Run  uint32
}

// Server describes the backend server.
type Server struct {
	ID string
	// StartTime distinguishes the incarnations of a server with the same ID. It is 0 if unknown.
	StartTime int64
	Service   string
	Labels    []string
	Capacity  structs.Resources
	Draining  bool
}

// ListedRun is a run that the server lists as running.
type ListedRun struct {
	RunRef
	// Percent is the progress of the run, 0 to 100.
	Percent float64
}

// ListedEnd is the end of a run as the server lists it. Number counts the ends at the server.
type ListedEnd struct {
	RunRef
	Number uint64
	End    End
}

// RunList is the server's list of its runs.
type RunList struct {
	// StartTime is that of the server incarnation that answered, or 0 if unknown.
	StartTime int64
	// RequestedAt is when the request was sent. The list includes all runs that were confirmed before.
	RequestedAt time.Duration
	Running     []ListedRun
	Ended       []ListedEnd
}

// Action is an instruction to the I/O layer.
type Action interface{ action() }

// CallStart asks the I/O layer to start a run at the server and to pass the answer to StartAnswered.
type CallStart struct {
	RunRef
	Payload string
	// Token is the fencing token of the request.
	Token uint64
	// LeaseEnd is the end of the lease that the request carries, on the clock of the inputs. The request must not be
	// sent later, and a delay before it is sent must not move the end.
	LeaseEnd time.Duration
}

// CallStop asks the I/O layer to stop a run at the server and to pass the answer to StopAnswered.
type CallStop struct {
	RunRef
	// Token is the fencing token of the request.
	Token uint64
}

// Send asks the I/O layer to send a message to a gateway.
type Send struct {
	Gateway structs.GatewayRef
	Type    structs.MessageType
	Message any
}

// ReadZones asks the I/O layer to read the zones out of service from the store, and to pass them to ZonesRead.
type ReadZones struct{}

// CloseLink asks the I/O layer to close the link with a gateway. Messages that arrived on the link and have not been
// handled must be discarded.
type CloseLink struct{ Gateway structs.GatewayRef }

// Log messages that are counted in the metrics.
const (
	// MessageCrashed is about a server whose process has ended without notice.
	MessageCrashed = "server crashed"
	// MessageLost is about a run that counts as ended or as never started, without having completed or failed.
	MessageLost = "run lost"
	// MessageUnknownRun is about a listed run that this agent has not started or that counts as ended.
	MessageUnknownRun = "unknown run found"
)

// LogEntry asks the I/O layer to log a decision.
type LogEntry struct {
	Message string
	// Task and Gateway name what the decision concerns. Both may be empty.
	Task    string
	Run     uint32
	Gateway structs.GatewayRef
	Detail  string
}

func (CallStart) action() {}
func (CallStop) action()  {}
func (Send) action()      {}
func (ReadZones) action() {}
func (CloseLink) action() {}
func (LogEntry) action()  {}

// Options configures a supervisor.
type Options struct {
	Self structs.AgentRef
	Zone string
	// Token is the first fencing token. It must be higher than those of earlier agents of the same server.
	Token uint64
	// TaskName returns the name of a task at the backend server.
	TaskName func(job string, step, index int) string
	// RunLease is the longest time for which the server keeps runs going without a renewal of their lease.
	RunLease time.Duration
}

// Times and limits of a supervisor.
const (
	// reconnectGrace is how long a gateway's tasks keep running after its link was closed. It is used instead of the
	// full structs.GatewayTimeout: a link that was reset is re-established sooner, since a dial takes two round
	// trips of a few ms.
	reconnectGrace = 400 * time.Millisecond
	// maxSilence is how long after the last contact of a gateway the lease of its runs may last. Together with the time
	// to place a task anew it is shorter than the time after which callers that have lost their connection submit a job
	// again, 1.3 s on the users' platform. So a run ends in time even if its agent dies before it stops the run.
	maxSilence = 1200 * time.Millisecond
	// longestGrant is the longest lease that is requested at once. maxSilence exceeds it by 0.48 s, so that runs whose gateway's
	// contact is younger may start beside others. Runs of an agent that is paused or starved for longer than the lease end.
	longestGrant = 700 * time.Millisecond
	// probeInterval is the shortest time between probes without need. With many gateways, they are sent until probedTime after
	// the last placement.
	probeInterval = 150 * time.Millisecond
	probedTime    = time.Second
	// maxUnansweredProbes bounds the unanswered probes that are remembered, of the oldest ones.
	maxUnansweredProbes = 16
	// ReportInterval, multiplied by the number of linked gateways, is the shortest time between resource reports to one
	// gateway that carry no event. So an agent sends at most 333 of them a second, whatever the number of gateways.
	ReportInterval = 3 * time.Millisecond
	// Beyond fullViewGateways linked gateways, the interval is longer, in proportion to their number, for a gateway that
	// has no tasks here and has placed none within activeTime. With 12 gateways, three times the interval made 3 to 4 in
	// 100 jobs more late; with 35, reports were two thirds of all messages.
	fullViewGateways = 12
	activeTime       = 500 * time.Millisecond
	// BackfillLimit is how long smaller tasks may start before an earlier queued task that does not fit. After that
	// time, resources are kept free, so that large tasks do not starve.
	BackfillLimit = 30 * time.Millisecond
	// StopRetryInterval is the time until a stop that was not answered is sent again.
	StopRetryInterval = 100 * time.Millisecond
	// unansweredStopDelay replaces it after a call without an answer, whose time-out has usually passed already. A server
	// that does not listen fails the call at once.
	unansweredStopDelay = 20 * time.Millisecond
	// tokenStep is added to the fencing token after the server has seen a higher one. It is one second in the unit of
	// the first token, so that a few steps make up for a clock that was set back.
	tokenStep = 1000
	// maxFailedLists is the number of consecutive failed lists after which the server counts as unresponsive. With a
	// limit of one, a server that loses one call in twenty (incident inc-d730) would be closed twice a second.
	maxFailedLists = 2
	// refusalConfirmation is how long a server must refuse all connections before its process counts as ended. A process that
	// ends may close its listener before its runs have ended. A server that drains may serve open connections for longer, so its
	// runs are kept until their lease expires. refusalGap is the longest time between two refusals that belong together: agents
	// ask every 20 ms, and an agent that was held up does not know what the server did meanwhile.
	refusalConfirmation = 45 * time.Millisecond
	refusalGap          = 40 * time.Millisecond
	// lateCallLimit is how long after it was sent a request without an answer may still be carried out. The users' platform
	// speaks of seconds, and its faults of up to 12 s.
	lateCallLimit = 13 * time.Second
	// longestCall is the longest time from the request of a call to its answer or to CallUnanswered.
	longestCall = 200 * time.Millisecond
	// ClaimTimeout is how long a restarted agent keeps the runs that it found until a gateway claims them. It must
	// stay below structs.GatewayTimeout.
	ClaimTimeout = 600 * time.Millisecond
	// eventRetention is how long events are kept for a gateway whose link may have broken before it read them. A
	// gateway gives up an agent that it cannot reach after a shorter time.
	eventRetention = 5 * time.Second
	// noResourcesPause is how long nothing is started after the server has refused a start for lack of resources. By
	// then its list shows what runs.
	noResourcesPause = 20 * time.Millisecond
	// startRetryDelay is when a start that was not answered is sent again, with the same run number, so that the server
	// carries out at most one of the requests. Servers on the same VM answer within a few ms, but an agent that is short of
	// processor time reads the answer later, and each request at the same time costs a connection. Once a call was lost,
	// lossyRetryDelay applies. maxStartTries bounds the requests within the time-out of the first.
	startRetryDelay = 35 * time.Millisecond
	lossyRetryDelay = 12 * time.Millisecond
	maxStartTries   = 3
	// lossMemory is how long after a lost call requests for the list are sent twice.
	lossMemory = 2 * time.Second
	// progressCheckShare is the share of its expected run time, in percent, after which the progress of a run is
	// checked, but not before minProgressCheckDelay.
	progressCheckShare    = 30
	minProgressCheckDelay = 25 * time.Millisecond
	// minListWait is the shortest wait of a request for the list, so that an unanswered check does not repeat it at once.
	minListWait = 5 * time.Millisecond
	// stragglerFactor is the multiple of its expected run time beyond which a run counts as a straggler. Run times of
	// one kind of task vary by a factor of 1.5 either way (standard deviation 0.4 of the logarithm).
	stragglerFactor = 2.5
	// minStragglerTime is the shortest run time of a straggler, so that short runs are not reported because of the
	// delay of a list.
	minStragglerTime = 80 * time.Millisecond
	// stragglerReportInterval is the time between reports of the same straggler. Gateways act on the second report.
	stragglerReportInterval = 40 * time.Millisecond
)
