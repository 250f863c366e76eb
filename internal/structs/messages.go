package structs

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MessageType tells the receiver of an envelope how to decode its body. The numbers are part of the wire format.
type MessageType uint8

// The message types, grouped by direction.
const (
	// From agent to gateway.
	TypeAgentHello MessageType = iota + 1
	TypeAgentHeartbeat
	TypeTaskEvents
	TypeFenceReply
	TypeResults
	// From gateway to agent.
	TypeGatewayHello
	TypeGatewayHeartbeat
	TypeStart
	TypeWithdraw
	TypeCancel
	TypeFence
	TypeFetchResults
	TypeConfigRequest
	// Between agent and gateway in both directions, and between gateways.
	TypeConfigDocument
	// From gateway to gateway.
	TypePeerHello
	TypePeerHeartbeat
	TypeForward
	TypeForwardReply
	TypeHandover
	TypeHandoverReply
	// From gateway to agent. It comes last because the numbers of the other types must not change.
	TypeReconcileStarts
)

// Envelope is one message. A WebSocket message holds a CBOR array of envelopes.
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
	// Server is the name under which the backend server has announced itself.
	Server string
	// Slots and Connections are the largest numbers of concurrent tasks and of connections that the backend server
	// allows.
	Slots       int
	Connections int
	Revision    Revision
	// Promised is the highest epoch of the pool that the agent has promised, see Fence.
	Promised Epoch
	// Leaving is true if the backend server takes no new tasks.
	Leaving bool
}

// AgentHeartbeat is sent every HeartbeatInterval and immediately after a change of its content.
type AgentHeartbeat struct {
	_        struct{} `cbor:",toarray"`
	Revision Revision
	Promised Epoch
	// Seq numbers the agent's heartbeats on this link from 1.
	Seq uint64
	// EchoSeq is the highest GatewayHeartbeat.Seq received on this link. Heartbeats of an owner whose epoch is lower
	// than Promised do not count.
	EchoSeq uint64
	Leaving bool
	Running int
	Queued  int
}

// Timing of links and membership.
const (
	HeartbeatInterval = 500 * time.Millisecond
	// AgentContactTimeout is the time since the last contact with a gateway after which an agent starts no tasks. It
	// counts from when the agent sent the heartbeat that the gateway's heartbeat answers (EchoSeq), or from when it
	// dialed the link on which GatewayHello has arrived. The time of receipt would not do: the message may have waited
	// in a socket while the agent was paused or the network was partitioned.
	AgentContactTimeout = 1500 * time.Millisecond
	// LostAfter is the time without a message after which a process counts as lost.
	LostAfter = 3 * time.Second
	// AckLease is how long an agent's acknowledgement supports a detached owner. It counts from when the owner sent the
	// heartbeat that the agent acknowledges.
	AckLease = time.Second
)

// TaskRef identifies one task of a job.
type TaskRef struct {
	_     struct{} `cbor:",toarray"`
	Job   JobID
	Index uint32
}

// TaskEventKind says what happened to a task at an agent.
type TaskEventKind uint8

// The task events. TaskRefused and TaskWithdrawn prove that the agent has not started the task, and that the Start
// message that they are about cannot start it any more.
const (
	TaskFinished TaskEventKind = iota + 1
	TaskFailed
	TaskRefused
	TaskWithdrawn
	// TaskNotWithdrawn answers a Withdraw that came too late: the task is running or has ended.
	TaskNotWithdrawn
	// TaskAborted reports that a cancelled task was stopped while it ran.
	TaskAborted
)

// TaskEvent reports what happened to one task.
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
	// Attempt is the TaskStart.Attempt of the start that the event is about. It is 0 for TaskNotWithdrawn.
	Attempt uint64
}

// TaskEvents is a batch of task events of one epoch.
type TaskEvents struct {
	_      struct{} `cbor:",toarray"`
	Epoch  Epoch
	Events []TaskEvent
}

// TaskStart tells an agent to start a task, or to queue it if no slot is free.
type TaskStart struct {
	_        struct{} `cbor:",toarray"`
	Task     TaskRef
	Priority Priority
	Kind     string
	// Timeout is the run time after which the task is aborted.
	Timeout time.Duration
	Payload []byte
	// Attempt numbers the starts of an epoch from 1, so that epoch and attempt identify one start.
	Attempt uint64
}

// Start is a batch of starts under one epoch. An agent refuses all of them if it has promised a higher epoch.
type Start struct {
	_     struct{} `cbor:",toarray"`
	Epoch Epoch
	Tasks []TaskStart
}

// Withdraw asks an agent to give back queued tasks. Each gets one event, TaskWithdrawn or TaskNotWithdrawn.
type Withdraw struct {
	_     struct{} `cbor:",toarray"`
	Epoch Epoch
	Tasks []TaskRef
}

// ReconcileStarts asks an agent over a new link which starts were lost with the old one. From then on the agent refuses
// every start of the epoch with an attempt below MinAttempt that it has not received yet. It answers TaskRefused for
// each listed start that it can no longer accept and whose task is neither queued nor has a start record. The others
// get no answer.
type ReconcileStarts struct {
	_          struct{} `cbor:",toarray"`
	Epoch      Epoch
	MinAttempt uint64
	Tasks      []StartRef
}

// StartRef identifies one start of a task.
type StartRef struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	Epoch   Epoch
	Attempt uint64
}

// Cancel tells an agent to drop the queued tasks of a job and to abort the running ones.
type Cancel struct {
	_     struct{} `cbor:",toarray"`
	Epoch Epoch
	Job   JobID
}

// Fence asks an agent to promise an epoch of a pool. Once it has promised, the agent accepts no starts of a lower epoch
// and acknowledges no heartbeats of one.
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
	// RecordEvicted is the state of a finished task whose result was dropped to bound the memory.
	RecordEvicted
)

// TaskRecord is a start record: an agent's record that it started a task. The result is not included.
type TaskRecord struct {
	_     struct{} `cbor:",toarray"`
	Index uint32
	State RecordState
	// Epoch and Attempt identify the start.
	Epoch   Epoch
	Attempt uint64
}

// JobRecords holds an agent's start records of one job.
type JobRecords struct {
	_     struct{} `cbor:",toarray"`
	Key   KeyHash
	Tasks []TaskRecord
}

// FenceReply answers Fence. By promising, the agent drops its queued tasks, so they have no records in Jobs.
type FenceReply struct {
	_     struct{} `cbor:",toarray"`
	Pool  PoolID
	Epoch Epoch
	// Refused is true if the agent has already promised a higher epoch, which is in Promised.
	Refused  bool
	Promised Epoch
	// Detached is true if the last heartbeat of an owner with a lower epoch had GatewayHeartbeat.Detached set.
	Detached bool
	Jobs     []JobRecords
}

// FetchResults asks an agent for the results of one job's tasks. Tasks that are still running are reported in
// TaskEvents when they end.
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

// GatewayHello is the first message of a gateway on a link to an agent.
type GatewayHello struct {
	_       struct{} `cbor:",toarray"`
	Gateway GatewayRef
	// GatewayAddresses lists the link addresses (host:port) of all live gateways.
	GatewayAddresses []string
	Revision         Revision
}

// GatewayHeartbeat is sent to agents every HeartbeatInterval and immediately after a change of its content.
type GatewayHeartbeat struct {
	_   struct{} `cbor:",toarray"`
	Seq uint64
	// EchoSeq is the highest AgentHeartbeat.Seq received on this link. The agent may start tasks only if the heartbeat
	// with this number is recent, see AgentContactTimeout.
	EchoSeq  uint64
	Revision Revision
	// Epoch is the epoch under which the sender owns the agent's pool, 0 if it does not.
	Epoch Epoch
	// Detached is true while the sender owns the pool without contact with the store, and afterwards until the keys
	// that it admitted in that time are journaled.
	Detached bool
	// GatewayAddresses lists the link addresses (host:port) of all live gateways.
	GatewayAddresses []string
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

// OwnedPool is a pool that the sender of a PeerHeartbeat owns.
type OwnedPool struct {
	_     struct{} `cbor:",toarray"`
	Pool  PoolID
	Epoch Epoch
	// Serving is false while the pool recovers after a takeover and while it is suspended.
	Serving bool
}

// ForwardKind is the operation of a Forward.
type ForwardKind uint8

// The forwarded operations.
const (
	// ForwardSubmit submits a job; the reply has its answer or its status.
	ForwardSubmit ForwardKind = iota + 1
	// ForwardFetch waits for the answer of a known job.
	ForwardFetch
	// ForwardStatus asks for the status at once.
	ForwardStatus
	// ForwardCancel cancels the job.
	ForwardCancel
	// ForwardTickets asks for Count tickets of the pool.
	ForwardTickets
	// ForwardQuery asks an operator's query (Query) about the receiver's pools; the reply has Data.
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
	// Age is the time from the arrival of the request at the entry gateway to the sending of this message. From it, the
	// owner tells whether the request arrived before or after its last refusal of the same key.
	Age time.Duration
	// Wait is how long the owner may delay the reply until the job has ended. 0 asks for the status at once.
	Wait  time.Duration
	Count int
	Query string
	// Team restricts fetch, status and cancel to the jobs of one team. It is empty for operators, who may access all
	// jobs.
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

// Handover carries a snapshot of a pool from its owner to the successor during a graceful shutdown of the owner.
type Handover struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Pool  PoolID
	Epoch Epoch
	Jobs  []HandoverJob
	// Part numbers the messages of one snapshot from 0, and Last is set in the last of them. There are several because
	// a snapshot can exceed the size limit of a message.
	Part uint32
	Last bool
}

// HandoverJob is one job of a pool that is handed over.
type HandoverJob struct {
	_          struct{} `cbor:",toarray"`
	Submission Submission
	// Answer is set if the job has ended.
	Answer *Answer
	// Started lists the indexes of the tasks that were sent to agents. Results has an element for each task of the job,
	// by index, which is nil unless the task has finished.
	Started []uint32
	Results [][]byte
	// Age is the time since admission.
	Age time.Duration
}

// HandoverReply says whether the successor has received the whole snapshot and will take over the pool.
type HandoverReply struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Accepted bool
}
