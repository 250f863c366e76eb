package structs

import "time"

// The message types between gateways and agents that share the room of backend servers.
const (
	// Agent to gateway.
	TypeServerReport MessageType = iota + 40
	TypeResourceReport
	TypePlacementEvents
	// Gateway to agent.
	TypeResume
	TypePlace
	TypeStop
	// Both directions.
	TypeOperatorState
	TypeHeartbeat
)

// Times and limits that gateways and agents share.
const (
	// GatewayTimeout is the time without a word from a gateway after which an agent stops its tasks. With the stop of a run
	// it stays below the time after which callers send a job again, 1.3 s on the users' platform.
	GatewayTimeout = 900 * time.Millisecond
	// BusyHeartbeatInterval is the longest time without a message on a link while the gateway has tasks at the agent. Three of
	// them fit into GatewaySilence.
	BusyHeartbeatInterval = 250 * time.Millisecond
	// IdleHeartbeatInterval is the same for other links.
	IdleHeartbeatInterval = 500 * time.Millisecond
	// LinkTimeout ends a link whose other side does not send: two beats of an idle link and some.
	LinkTimeout = 1200 * time.Millisecond
	// PauseThreshold is the time without a call of a state machine after which its process counts as frozen. The machines are
	// called at least every IdleBeatInterval.
	PauseThreshold = 800 * time.Millisecond
	// QueueShare is the part of a server's capacity for which tasks may wait at its agent. It bridges the round trip to the
	// gateways when a run ends; a longer queue would bind tasks too early.
	QueueShare = 0.25
	// ClockDriftFactor is how much longer than agreed a lease may last by another clock: the servers' may be 2% slow on the
	// users' platform, rounded up.
	ClockDriftFactor = 1.03
	// StalledRemaining is the expected rest of a run that makes no progress.
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
	// Open is true if the agent takes new work.
	Open bool
	// Reason says in one word why it does not.
	Reason string
	// Revision is that of the operator state that the agent knows.
	Revision uint64
}

// ResourceReport says how much room is left at an agent.
type ResourceReport struct {
	_ struct{} `cbor:",toarray"`
	// Free is the capacity less what runs there.
	Free Resources
	// Queues holds what waits there, by priority in rising order.
	Queues []QueuedCPU
	// ReleaseRate is how fast running tasks are expected to give processors back, in thousandths of a core per ms.
	ReleaseRate float32
	// Gateways is the number of gateways that share the room.
	Gateways int
	// Ack is Place.Seq of the receiver's last placement that the report includes.
	Ack uint64
}

// QueuedCPU is the processors, in thousandths of a core, that tasks of a priority wait for.
type QueuedCPU struct {
	_        struct{} `cbor:",toarray"`
	Priority int
	CPU      int64
}

// PlacementEventKind says what became of a placed task.
type PlacementEventKind uint8

// The start events. Only PlacementDone and StartFailed prove that the task ran to its end; after all others the agent
// guarantees that it does not run and will not. StartNoRoom, StartClosed and StartWithdrawn prove that it has not run.
const (
	PlacementDone PlacementEventKind = iota + 1
	// PlacementFailed reports a run that has failed by the fault of the task or of the server.
	PlacementFailed
	// PlacementLost reports a run that was stopped, whose lease lapsed or whose server is gone.
	PlacementLost
	// PlacementNoResources reports a task that was not started because others go first.
	PlacementNoResources
	// PlacementClosed reports a task that was not started because the agent takes no work.
	PlacementClosed
	// PlacementUnhealthy reports a task that was not started because the server refused it or did not answer.
	PlacementUnhealthy
	// PlacementStraggling reports that a run will take much longer than expected. The run goes on.
	PlacementStraggling
	// PlacementWithdrawn reports a task that was stopped by its gateway before it was started.
	PlacementWithdrawn
)

var startEventNames = [...]string{
	"", "done", "failed", "lost", "no_room", "closed", "unhealthy", "lagging", "withdrawn",
}

// String returns the word used in logs.
func (k PlacementEventKind) String() string {
	if int(k) < len(startEventNames) {
		return startEventNames[k]
	}
	return "unknown"
}

// PlacementEvent reports one placed task.
type PlacementEvent struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Kind PlacementEventKind
	// RunTime is the time from start to end, for StartLagging until now.
	RunTime time.Duration
	// Remaining is the expected rest of a lagging run.
	Remaining time.Duration
	// Run is the highest run number of the task that the agent knows.
	Run uint32
}

// PlacementEvents is a batch of events in the order in which they happened.
type PlacementEvents struct {
	_      struct{} `cbor:",toarray"`
	Events []PlacementEvent
}

// Place hands tasks of one step of a job to an agent, which starts them as soon as there is room.
type Place struct {
	_ struct{} `cbor:",toarray"`
	// Seq numbers the placements of a gateway at an agent.
	Seq uint64
	// Job is the caller's id of the job.
	Job     string
	Payload string
	Step    int
	// Priority and Age (since the job's arrival) order the waiting tasks of all gateways.
	Priority int
	Age      time.Duration
	// Need is the room of each task, Expect its expected run time on this server.
	Need            Resources
	ExpectedRunTime time.Duration
	// StartWithin is how long the tasks may wait for their start at the agent, 0 for as long as it takes.
	StartWithin time.Duration
	Tasks       []PlacedTask
}

// PlacedTask is one task of a Place or Resume.
type PlacedTask struct {
	_ struct{} `cbor:",toarray"`
	// ID names the placement; the gateway's incarnation never uses it again.
	ID    uint64
	Index int
	// Run is the lowest number for the run, above those of earlier runs.
	Run uint32
}

// Stop ends tasks that were placed. Each gets a StartEvent.
type Stop struct {
	_   struct{} `cbor:",toarray"`
	IDs []uint64
}

// Resume is the first message of a gateway on a link. It lists all tasks that the gateway believes to be at the agent;
// the agent stops the others of this gateway and reports those that it does not know as lost.
type Resume struct {
	_       struct{} `cbor:",toarray"`
	Gateway GatewayRef
	// GatewayAddresses lists the link addresses of all live gateways.
	GatewayAddresses []string
	Tasks            []ResumedTask
	// Revision is that of the operator state that the gateway knows.
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

// OperatorState is what the operators have ordered, as the store had it at a revision. Processes apply only higher
// revisions.
type OperatorState struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	// Routing is the routing configuration as the operators wrote it.
	Routing []byte
	// ZonesOut lists the availability zones in which no task may start.
	ZonesOut []string
}

// StateExchange decides for one link when the newer operator state of one side goes to the other. The zero value is a new
// link. It is not safe for concurrent use.
type StateExchange struct {
	// both is the newest revision that was sent or received on the link.
	both uint64
}

// Received notes a state that the other side has sent.
func (e *StateExchange) Received(revision uint64) { e.both = max(e.both, revision) }

// ShouldSend reports whether to send the own state to the other side, which has named the revision that it knows, and notes that it
// was sent.
func (e *StateExchange) ShouldSend(own, other uint64) bool {
	if other >= own || e.both >= own {
		return false
	}
	e.both = own
	return true
}

// Heartbeat is sent on a link without other traffic.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	// GatewayAddresses lists the link addresses of all live gateways if they have changed since the last message with members.
	GatewayAddresses []string
}
