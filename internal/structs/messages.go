package structs

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MessageType tells the receiver of an envelope how to decode the body. Values are part of the wire format.
type MessageType uint8

// The message types, by direction.
const (
	// Agent to gateway.
	TypeAgentHello MessageType = iota + 1
	TypeAgentHeartbeat
	TypeTaskEvents
	TypeFenceReply
	TypeResults
	// Gateway to agent.
	TypeGatewayHello
	TypeGatewayHeartbeat
	TypeStart
	TypeWithdraw
	TypeCancel
	TypeFence
	TypeFetchResults
	TypeConfigRequest
	// Both directions and between gateways.
	TypeConfigDocument
	// Gateway to gateway.
	TypePeerHello
	TypePeerHeartbeat
	TypeForward
	TypeForwardReply
	TypeHandover
	TypeHandoverReply
	// TypeReconcileStarts goes from gateway to agent.
	TypeReconcileStarts
)

// Envelope is one message inside a WebSocket message, which holds a CBOR array of envelopes.
type Envelope struct {
	_    struct{} `cbor:",toarray"`
	Type MessageType
	Body cbor.RawMessage
}

// AgentHello is the first message of an agent on a link.
type AgentHello struct {
	_       struct{} `cbor:",toarray"`
	Agent   AgentRef
	Zone    string
	Service string
	// Server is the name under which the backend server announced itself.
	Server string
	// Slots and Connections are the hard limits of the backend server.
	Slots       int
	Connections int
	Revision    Revision
	// Promised is the highest pool epoch that the agent has promised.
	Promised Epoch
	// Leaving is true if the backend server takes no new work.
	Leaving bool
}

// AgentHeartbeat is sent every HeartbeatInterval and at once after a change of its content.
type AgentHeartbeat struct {
	_        struct{} `cbor:",toarray"`
	Revision Revision
	Promised Epoch
	// Seq numbers the agent's heartbeats on this link from 1.
	Seq uint64
	// EchoSeq is the highest GatewayHeartbeat.Seq received on this link, not counting those of an owner whose epoch
	// is below the agent's promise.
	EchoSeq uint64
	Leaving bool
	Running int
	Queued  int
}

// Timing of links and membership.
const (
	HeartbeatInterval = 500 * time.Millisecond
	// AgentContactTimeout is the age of the last gateway heartbeat beyond which an agent starts nothing. The age counts
	// from the sending of the agent's heartbeat that the gateway's heartbeat answers (EchoSeq), or from the dialing
	// of a link whose GatewayHello has arrived: the time of receipt says nothing about messages that waited in a
	// socket while the agent was paused or the network was cut.
	AgentContactTimeout = 1500 * time.Millisecond
	// LostAfter is the silence after which a process counts as lost.
	LostAfter = 3 * time.Second
	// AckLease is the time for which an agent's acknowledgement supports a detached owner, counted from the
	// sending of the heartbeat that it answers.
	AckLease = time.Second
)

// TaskRef names one task of a job.
type TaskRef struct {
	_     struct{} `cbor:",toarray"`
	Job   JobID
	Index uint32
}

// TaskEventKind says what happened to a task at an agent.
type TaskEventKind uint8

// The task events. Refused and Withdrawn prove that the task has not started and will not start from that message.
const (
	TaskFinished TaskEventKind = iota + 1
	TaskFailed
	TaskRefused
	TaskWithdrawn
	// TaskNotWithdrawn answers a Withdraw that came too late: the task runs or has ended.
	TaskNotWithdrawn
	// TaskAborted reports that a cancelled task was stopped after it had started.
	TaskAborted
)

// TaskEvent reports one task.
type TaskEvent struct {
	_    struct{} `cbor:",toarray"`
	Task TaskRef
	Kind TaskEventKind
	// RunTime is the time from start to end at the backend server.
	RunTime time.Duration
	// WaitTime is the time from arrival at the agent to start.
	WaitTime time.Duration
	Result   []byte
	// Error says why a task failed or was refused.
	Error string
	// Attempt is TaskStart.Attempt of the start that the event is about, 0 for TaskNotWithdrawn.
	Attempt uint64
}

// TaskEvents is a batch of events.
type TaskEvents struct {
	_      struct{} `cbor:",toarray"`
	Epoch  Epoch
	Events []TaskEvent
}

// TaskStart orders an agent to start a task, or to queue it if no slot is free.
type TaskStart struct {
	_        struct{} `cbor:",toarray"`
	Task     TaskRef
	Priority Priority
	Kind     string
	// Timeout bounds the run time.
	Timeout time.Duration
	Payload []byte
	// Attempt numbers all starts of an epoch from 1, so that epoch and attempt name one start.
	Attempt uint64
}

// Start is a batch of starts under one epoch. An agent refuses all of them if it has promised a higher epoch.
type Start struct {
	_     struct{} `cbor:",toarray"`
	Epoch Epoch
	Tasks []TaskStart
}

// Withdraw asks for tasks that have not started. Each gets one event, withdrawn or not withdrawn.
type Withdraw struct {
	_     struct{} `cbor:",toarray"`
	Epoch Epoch
	Tasks []TaskRef
}

// ReconcileStarts asks an agent after a new link which starts have been lost. From then on the agent refuses each start of the
// epoch with an attempt below Floor that it has not taken, and it reports each listed start as refused whose task
// neither has a record nor waits. The others get no answer.
type ReconcileStarts struct {
	_          struct{} `cbor:",toarray"`
	Epoch      Epoch
	MinAttempt uint64
	Tasks      []StartRef
}

// StartRef names one start of a task.
type StartRef struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	Epoch   Epoch
	Attempt uint64
}

// Cancel drops the queued tasks of a job and aborts the running ones.
type Cancel struct {
	_     struct{} `cbor:",toarray"`
	Epoch Epoch
	Job   JobID
}

// Fence asks an agent to promise an epoch: from its answer on it accepts and acknowledges no lower one.
type Fence struct {
	_     struct{} `cbor:",toarray"`
	Pool  PoolID
	Epoch Epoch
}

// RecordState is the state of a start record.
type RecordState uint8

// The states of a start record.
const (
	RecordRunning RecordState = iota + 1
	RecordFinished
	RecordFailed
	// RecordEvicted is a finished task whose result was dropped for memory.
	RecordEvicted
)

// TaskRecord is a start record without its result.
type TaskRecord struct {
	_     struct{} `cbor:",toarray"`
	Index uint32
	State RecordState
	// Epoch and Attempt name the start that the record is of.
	Epoch   Epoch
	Attempt uint64
}

// JobRecords holds an agent's start records of one job.
type JobRecords struct {
	_     struct{} `cbor:",toarray"`
	Key   KeyHash
	Tasks []TaskRecord
}

// FenceReply answers Fence. Queued tasks that have not started are dropped by the promise and do not appear.
type FenceReply struct {
	_     struct{} `cbor:",toarray"`
	Pool  PoolID
	Epoch Epoch
	// Refused is true if the agent had already promised a higher epoch, given in Promised.
	Refused  bool
	Promised Epoch
	// Detached is true if an owner of a lower epoch had sent a heartbeat as detached that it has not revoked.
	Detached bool
	Jobs     []JobRecords
}

// FetchResults asks for the results of one job's records. Running tasks are reported as TaskEvents when they end.
type FetchResults struct {
	_   struct{} `cbor:",toarray"`
	Job JobID
}

// Results answers FetchResults with one event per ended task.
type Results struct {
	_      struct{} `cbor:",toarray"`
	Job    JobID
	Events []TaskEvent
}

// GatewayHello is the first message of a gateway on a link with an agent.
type GatewayHello struct {
	_       struct{} `cbor:",toarray"`
	Gateway GatewayRef
	// Members lists the link addresses (host:port) of all live gateways.
	Members  []string
	Revision Revision
}

// GatewayHeartbeat is sent to agents every HeartbeatInterval and at once after a change of its content.
type GatewayHeartbeat struct {
	_   struct{} `cbor:",toarray"`
	Seq uint64
	// EchoSeq is the highest AgentHeartbeat.Seq received on this link. The agent's right to start depends on it.
	EchoSeq  uint64
	Revision Revision
	// Epoch is the epoch under which the sender owns the agent's pool, 0 if it does not.
	Epoch Epoch
	// Detached is true while the sender owns the pool without the store, and until its backlog is journaled.
	Detached bool
	Members  []string
}

// ConfigDocument carries the configuration document as JSON.
type ConfigDocument struct {
	_        struct{} `cbor:",toarray"`
	Revision Revision
	Document []byte
}

// ConfigRequest asks the receiver for its configuration document.
type ConfigRequest struct {
	_ struct{} `cbor:",toarray"`
}

// PeerHello is the first message on a link between gateways.
type PeerHello struct {
	_        struct{} `cbor:",toarray"`
	Gateway  GatewayRef
	Zone     string
	Revision Revision
}

// PeerHeartbeat is sent between gateways every HeartbeatInterval.
type PeerHeartbeat struct {
	_        struct{} `cbor:",toarray"`
	Revision Revision
	// Owned lists the pools that the sender owns, with their epochs.
	Owned []OwnedPool
	// InForce is the highest revision acknowledged by every agent linked to the sender.
	InForce  Revision
	Stopping bool
}

// OwnedPool states an ownership in a PeerHeartbeat.
type OwnedPool struct {
	_     struct{} `cbor:",toarray"`
	Pool  PoolID
	Epoch Epoch
	// Serving is false during a takeover and while suspended.
	Serving bool
}

// ForwardKind is the operation of a Forward.
type ForwardKind uint8

// The forwarded operations.
const (
	// ForwardSubmit carries a submission; the reply has the answer or a status.
	ForwardSubmit ForwardKind = iota + 1
	// ForwardFetch waits for the answer of a known job.
	ForwardFetch
	// ForwardStatus asks for the status at once.
	ForwardStatus
	// ForwardCancel cancels the job.
	ForwardCancel
	// ForwardTickets asks for Count tickets of the pool.
	ForwardTickets
	// ForwardQuery carries an operator's query (Query) about the receiver's pools; the reply has Data.
	ForwardQuery
)

// Forward is a request from an entry gateway to the owner of a pool.
type Forward struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Kind       ForwardKind
	Pool       PoolID
	Job        JobID
	Submission *Submission
	// Age is the time since the entry gateway took the request in, as of the sending of this message. The owner
	// compares it with its refusals of the same key.
	Age time.Duration
	// Wait is how long the owner may hold the reply back until the job has ended. 0 asks for the status at once.
	Wait  time.Duration
	Count int
	Query string
	// Team restricts fetch, status and cancel to the jobs of one team. Empty, as sent for operators, allows all.
	Team string
}

// ForwardReply answers a Forward. Exactly one of Answer, Status, Tickets, Problem and Data is set.
type ForwardReply struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Answer  *Answer
	Status  *JobStatus
	Tickets []string
	Problem *Problem
	Data    []byte
}

// Handover carries the state of a pool from its owner to the successor before a planned stop.
type Handover struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Pool  PoolID
	Epoch Epoch
	Jobs  []HandoverJob
	// Part numbers the messages of one snapshot from 0; the last one has Last set. A snapshot can exceed the largest
	// message of a link.
	Part uint32
	Last bool
}

// HandoverJob is one job of a handed-over pool.
type HandoverJob struct {
	_          struct{} `cbor:",toarray"`
	Submission Submission
	// Answer is set if the job has ended.
	Answer *Answer
	// Started lists the tasks sent to agents. Results of finished ones are in Results, by position.
	Started []uint32
	Results [][]byte
	// Age is the time since admission.
	Age time.Duration
}

// HandoverReply says whether the successor has the state and will take the pool over.
type HandoverReply struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Accepted bool
}
