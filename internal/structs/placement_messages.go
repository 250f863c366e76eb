package structs

import "time"

// The message types between the gateways and agents of the users' platform, where several gateways place tasks on the
// same backend servers (programs rosedrift-entry and rosedrift-roomagent).
const (
	// From agent to gateway.
	TypeServerReport MessageType = iota + 40
	TypeResourceReport
	TypePlacementEvents
	// From gateway to agent.
	TypeResume
	TypePlace
	TypeStop
	// In both directions.
	TypeOperatorState
	TypeHeartbeat
	// From agent to gateway. Gateways that do not know the type ignore it.
	TypeServerHealth
	// From agent to gateway. Gateways that do not know the type ignore it.
	TypeCrashReport
	// In both directions. Processes that do not know the type ignore it.
	TypeQuarantine
	// From agent to gateway. Gateways that do not know the type ignore it.
	TypeFeatures
	// From gateway to an agent whose Features allow it.
	TypePlaceAlone
	// From gateway to agent. Agents that do not know the type ignore it.
	TypeRackDemand
	// From agent to gateway. Gateways that do not know the type ignore it.
	TypeRackDemandTotal
	// In both directions. Processes that do not know the type ignore it.
	TypeZonesOut
	// From gateway to an agent that has sent JobsCancelled.
	TypeCancelJobs
	// From agent to gateway. Gateways that do not know the type ignore it.
	TypeJobsCancelled
	// TypeLivenessProbe is sent by agents, TypeLivenessAnswer by gateways.
	TypeLivenessProbe
	TypeLivenessAnswer
	// From agent to gateway. Gateways that do not know the type ignore it.
	TypeCallsUnsettled
)

// Times and limits that gateways and agents share.
const (
	// GatewayTimeout is the time without a message from a gateway after which an agent stops the gateway's tasks.
	// Including the time to stop a run, it is shorter than the time after which callers submit a job again: 1.3 s on
	// the users' platform.
	GatewayTimeout = 900 * time.Millisecond
	// BusyHeartbeatInterval is the longest time without a message on a link while the gateway has tasks at the agent.
	// Three intervals fit into GatewayTimeout.
	BusyHeartbeatInterval = 250 * time.Millisecond
	// IdleHeartbeatInterval is the longest time without a message on other links.
	IdleHeartbeatInterval = 500 * time.Millisecond
	// LinkTimeout is the time without a message from the other side after which a link is closed. It allows for two
	// heartbeats of an idle link and some delay.
	LinkTimeout = 1200 * time.Millisecond
	// PauseThreshold is the longest normal time between two inputs of a state machine. After a longer one, the machine
	// assumes that its process was paused. A machine gets an input at least every IdleHeartbeatInterval.
	PauseThreshold = 800 * time.Millisecond
	// QueueShare limits the tasks that wait at an agent: together they may need at most this share of the CPU capacity
	// of its server. A single task may always wait. The waiting tasks bridge the round trip to the gateways when a run
	// ends. With a longer queue, tasks would be tied to a server too early.
	QueueShare = 0.25
	// ClockDriftFactor is how many times longer a lease may last by the clock of another machine. Clocks of backend
	// servers on the users' platform may be 2% slow; the factor is rounded up.
	ClockDriftFactor = 1.03
	// CancelRetention is how long a cancelled job is remembered: gateways do not run it again, and agents tell it to gateways that
	// link later. Callers that got no answer submit a job again within seconds, through any gateway.
	CancelRetention = 30 * time.Second
	// StalledRemaining is reported as the remaining time of a run that makes no progress.
	StalledRemaining = time.Hour
)

// ServerReport describes the backend server beside an agent. It is sent at the start of a link and after a change.
type ServerReport struct {
	_     struct{} `cbor:",toarray"`
	Agent AgentRef
	Zone  string
	// Server names the backend server, empty while none has announced itself.
	Server   string
	Service  string
	Labels   []string
	Capacity Resources
	// Open is true if the agent takes new tasks.
	Open bool
	// Reason is a code that says why the agent takes no new tasks.
	Reason string
	// Revision is the revision of the agent's operator state.
	Revision uint64
}

// ResourceReport says how much of the resources of a backend server is free.
type ResourceReport struct {
	_ struct{} `cbor:",toarray"`
	// Free is the capacity less what the running tasks need.
	Free Resources
	// Queues holds what the waiting tasks need, by priority in ascending order.
	Queues []QueuedCPU
	// ReleaseRate is how fast running tasks are expected to free CPU, in thousandths of a core per ms.
	ReleaseRate float32
	// Gateways is the number of gateways that place tasks on the server.
	Gateways int
	// Ack is the Place.Seq of the receiver's last placement that the report takes into account.
	Ack uint64
}

// ServerHealth says what an agent has learned about its backend server from the runs of all gateways. Placements after
// it must take it into account in Place.ExpectedRunTime. A link begins with a slowness of 0.
type ServerHealth struct {
	_ struct{} `cbor:",toarray"`
	// LogSlowness is the natural logarithm of the factor by which run times exceed those on an average server.
	LogSlowness float64
}

// QueuedCPU is the CPU, in thousandths of a core, that the waiting tasks of one priority need.
type QueuedCPU struct {
	_        struct{} `cbor:",toarray"`
	Priority int
	CPU      int64
}

// PlacementEventKind says what happened to a placed task.
type PlacementEventKind uint8

// The placement events. All but PlacementStraggling end the placement. PlacementDone and PlacementFailed prove that the
// task ran to its end. After the others the agent guarantees that the task is not running and will not run;
// PlacementNoResources, PlacementClosed and PlacementWithdrawn also prove that it has not run.
const (
	// PlacementDone reports a run that has completed.
	PlacementDone PlacementEventKind = iota + 1
	// PlacementFailed reports a run that has failed by the fault of the task or of the server.
	PlacementFailed
	// PlacementLost reports a run that was stopped, whose lease expired, or whose server is lost.
	PlacementLost
	// PlacementNoResources reports a task that was not started because others go first.
	PlacementNoResources
	// PlacementClosed reports a task that was not started because the agent takes no new tasks.
	PlacementClosed
	// PlacementUnhealthy reports a task whose start the server refused, or did not answer. In the second case the task
	// was stopped and may have run until then.
	PlacementUnhealthy
	// PlacementStraggling reports that a run will take much longer than expected. The run continues.
	PlacementStraggling
	// PlacementWithdrawn reports a task that its gateway stopped before it was started.
	PlacementWithdrawn
)

var placementEventNames = [...]string{
	"", "done", "failed", "lost", "no_room", "closed", "unhealthy", "lagging", "withdrawn",
}

// String returns the name used in logs.
func (k PlacementEventKind) String() string {
	if int(k) < len(placementEventNames) {
		return placementEventNames[k]
	}
	return "unknown"
}

// PlacementEvent reports what happened to one placed task.
type PlacementEvent struct {
	_ struct{} `cbor:",toarray"`
	// ID is PlacedTask.ID.
	ID   uint64
	Kind PlacementEventKind
	// RunTime is the time from start to end of the run, for PlacementStraggling up to now.
	RunTime time.Duration
	// Remaining is the expected remaining time of a straggling run.
	Remaining time.Duration
	// Run is the highest run number of the task that the agent knows.
	Run uint32
}

// PlacementEvents is a batch of events in the order in which they happened.
type PlacementEvents struct {
	_      struct{} `cbor:",toarray"`
	Events []PlacementEvent
}

// Place gives tasks of one step of a job to an agent, which starts them as soon as their resources are free.
type Place struct {
	_ struct{} `cbor:",toarray"`
	// Seq numbers the placements of a gateway at an agent.
	Seq uint64
	// Job is the caller's id of the job.
	Job     string
	Payload string
	Step    int
	// Priority and Age, the time since the job's arrival, order the waiting tasks of all gateways.
	Priority int
	Age      time.Duration
	// Need is what each task needs, and ExpectedRunTime its expected run time on this server.
	Need            Resources
	ExpectedRunTime time.Duration
	// StartWithin is the longest time that the tasks may wait at the agent for their start; 0 means no limit.
	StartWithin time.Duration
	Tasks       []PlacedTask
}

// PlaceAlone gives tasks to an agent like Place. They start only while no task of another job runs on the server, and until
// they have ended none is started.
type PlaceAlone struct {
	_     struct{} `cbor:",toarray"`
	Place Place
}

// Features says which optional messages an agent understands. It is sent at the start of a link; earlier versions send none.
type Features struct {
	_ struct{} `cbor:",toarray"`
	// PlaceAlone is set if the agent accepts PlaceAlone.
	PlaceAlone bool
}

// PlacedTask is one task of a Place or Resume.
type PlacedTask struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies the placement. An incarnation of a gateway uses each ID once.
	ID    uint64
	Index int
	// Run is the lowest run number that the agent may use. It is above those of earlier runs of the task.
	Run uint32
}

// Stop tells an agent to stop placed tasks, also those that wait. Each gets a PlacementEvent.
type Stop struct {
	_   struct{} `cbor:",toarray"`
	IDs []uint64
}

// Resume is the first message of a gateway on a link. It lists all tasks that the gateway has placed at the agent and
// whose end it does not know. The agent reports those that it does not know as lost and stops all other tasks of this
// gateway.
type Resume struct {
	_       struct{} `cbor:",toarray"`
	Gateway GatewayRef
	// GatewayAddresses lists the link addresses of all live gateways.
	GatewayAddresses []string
	Tasks            []ResumedTask
	// Revision is the revision of the gateway's operator state.
	Revision uint64
}

// ResumedTask is one task of a Resume.
type ResumedTask struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Job   string
	Step  int
	Index int
	Run   uint32
	Need  Resources
}

// OperatorState is what the operators have configured, as stored at a revision. A process applies a state only if its
// revision is higher than that of its own. Agents need the zones; Routing is empty for those that do not keep it for
// gateways (KeepsState).
type OperatorState struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	// Routing is the routing configuration as the operators wrote it.
	Routing []byte
	// ZonesOut lists the availability zones in which no task may start.
	ZonesOut []string
}

// ZonesOut says which availability zones the operators have taken out of service, and how old this knowledge is. Gateways
// send it about once a second while they have contact with the store, agents after they have read the zones from the store.
type ZonesOut struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the revision of the store up to which the state is known.
	Revision uint64
	// Zones lists the availability zones in which no task may start, in ascending order.
	Zones []string
	// Age is the time since the store had no newer state.
	Age time.Duration
}

// CancelJobs asks an agent to tell all gateways that jobs were cancelled. The agent answers with JobsCancelled.
type CancelJobs struct {
	_ struct{} `cbor:",toarray"`
	// Seq numbers the CancelJobs messages of an incarnation of the gateway.
	Seq  uint64
	Jobs []string
}

// JobsCancelled says that jobs were cancelled and must not run any more. An agent sends it to all gateways, for the gateway that
// confirms the cancelling to the caller as the answer to its CancelJobs. On a new link it is sent once with the jobs cancelled
// lately, also if there are none: it then says that the agent understands CancelJobs.
type JobsCancelled struct {
	_ struct{} `cbor:",toarray"`
	// Gateway and Seq identify the CancelJobs message. They are zero at the start of a link.
	Gateway GatewayRef
	Seq     uint64
	Jobs    []string
}

// LivenessProbe asks a gateway to show that it is alive and has handled all inputs that reached it before. Agents send it while
// the gateway has tasks there.
type LivenessProbe struct {
	_ struct{} `cbor:",toarray"`
	// SentAt is by a clock of the agent that only the agent reads.
	SentAt time.Duration
}

// CallsUnsettled tells a gateway with tasks at an agent that calls to the agent's server got no answer and may still be carried
// out: runs there may start or go on if the agent is lost. It is sent when that begins and when it takes longer than the last
// message said.
type CallsUnsettled struct {
	_ struct{} `cbor:",toarray"`
	// For is how long from now a call may be carried out, 0 once none can be.
	For time.Duration
}

// LivenessAnswer answers a LivenessProbe. It follows the messages that result from the earlier inputs of the gateway, so that
// an agent which has it knows of every caller that had left the gateway when the probe was sent. Earlier versions send none.
type LivenessAnswer struct {
	_ struct{} `cbor:",toarray"`
	// SentAt is that of the probe.
	SentAt time.Duration
}

// Heartbeat is sent on a link when there is nothing else to send.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	// GatewayAddresses lists the link addresses of all live gateways if they have changed since the last message that
	// had them. Otherwise it is empty.
	GatewayAddresses []string
}

// CrashReport says that the process of a backend server has ended without notice while it had runs. Server and StartTime
// identify the incarnation that has ended. Agents send it to all gateways before the events about the lost runs, and on new
// links for some time after that.
type CrashReport struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	StartTime int64
	// Age is the time since the crash was found.
	Age time.Duration
	// Runs holds the runs that the server had. An empty list withdraws an earlier report: the same incarnation has answered
	// again.
	Runs []CrashedRun
}

// CrashedRun is one run that a server had when it crashed.
type CrashedRun struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Step  int
	Index int
	Run   uint32
	// Age is the time from the request to start the run to the crash.
	Age time.Duration
}

// Quarantine is the state of the quarantine of a queue whose tasks crash servers. A gateway sends it to some agents, and these
// send it to all gateways, also on new links for some time.
type Quarantine struct {
	_       struct{} `cbor:",toarray"`
	Route   string
	Service string
	// Version grows with each change. A state with a lower one is out of date.
	Version uint64
	Active  bool
	// Share is the queue's share of the use of the service's servers, and Servers names the agents of those that are set
	// apart for all queues in quarantine.
	Share   float64
	Servers []AgentID
	// Age is the time since the last crash under the queue's tasks. The quarantine lasts Duration from then.
	Age      time.Duration
	Duration time.Duration
	// Evidence says which crashes led to the state, for people.
	Evidence string
}

// RackDemand is the demand of one gateway's jobs for a rack. A gateway sends it to some agents of the rack, which add up what
// all gateways send.
type RackDemand struct {
	_ struct{} `cbor:",toarray"`
	// Rack is the label of the rack.
	Rack string
	// Demand is the CPU, in thousandths of a core, that the tasks that name the rack would use near their data, on average.
	Demand float64
	// Seq numbers the RackDemand messages of an incarnation of the gateway. A message whose number is not higher than that of
	// an earlier one about the same rack is out of date.
	Seq uint64
}

// RackDemandTotal is the sum of the demand that the gateways have sent to an agent. The agent sends it to all its gateways.
type RackDemandTotal struct {
	_ struct{} `cbor:",toarray"`
	// Rack is the label of the rack.
	Rack string
	// Demand is the sum, in thousandths of a core.
	Demand float64
	// Seq numbers the RackDemandTotal messages of an incarnation of the agent, like RackDemand.Seq.
	Seq uint64
}
