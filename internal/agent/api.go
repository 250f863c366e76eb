// Package agent is the agent process next to a backend server, the program rosedrift-agent. It runs the gateways' tasks
// on the server, within the server's slots and connections, and keeps a record of every start.
//
// The agent belongs to a pool, which is owned by one gateway at a time. Each owner has an epoch, higher than those of
// earlier owners. A new owner fences the agent: the agent promises to accept only starts of the new epoch, and replies
// with its records. The agent refuses a start of any other epoch. It also refuses a start if the server or its
// availability zone is out of service, or if the last contact with a gateway is too long ago. A task that has a record
// is not started again.
//
// Machine is the deterministic part: Step takes an input and a monotonic time and returns actions. Agent is the I/O
// layer around it, with the links to the gateways and the HTTP requests to and from the backend server.
package agent

import (
	"time"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
)

// Limits and timeouts of the machine.
const (
	// DefaultQueueLength is how many tasks may wait at the agent while all slots are in use.
	DefaultQueueLength = 2
	// DefaultRecordBytes is the memory limit for start records and results.
	DefaultRecordBytes = 64 << 20
	// RetentionAfterJob is how long records are kept after the end of their job.
	RetentionAfterJob = 10 * time.Minute
	// RecordRetention is how long a record is kept after the end of its task. The job may end later than the task by at
	// most the longest job deadline, which is therefore added to RetentionAfterJob. A configuration with a longer
	// deadline extends it.
	RecordRetention = RetentionAfterJob + structs.DefaultMaxDeadline
	// AnnounceTimeout is the time without an announcement after which the backend server is considered to be leaving.
	AnnounceTimeout = 3 * time.Second
	// MaxHeartbeatInterval is the longest time between two heartbeats that the agent sends on a link. It exceeds the
	// gateways' structs.HeartbeatInterval: normally each of their heartbeats is answered, and no other ones are needed.
	MaxHeartbeatInterval = 750 * time.Millisecond
	// RedeliveryWindow is the age up to which events that were sent on a broken link are sent again. A link whose peer
	// does not read or answer ends after link.WriteTimeout or structs.LostAfter, so older events have arrived.
	RedeliveryWindow = link.WriteTimeout + structs.LostAfter
	// CancelRetention is how long starts of a cancelled job are refused. It covers starts that the cancel message has
	// overtaken: they can be delayed by at most one stalled link.
	CancelRetention = RedeliveryWindow
	// MaxResultsBytes is the total size of results beyond which a Results message is split. Larger messages would delay
	// urgent ones, and the results of the largest jobs exceed link.MaxMessageBytes.
	MaxResultsBytes = 1 << 20
	// FlushTimeout is how long an agent waits during its shutdown for an owner that can take the last events.
	FlushTimeout = 10 * time.Second
)

// LinkID identifies a link of the agent. The I/O layer assigns it and never reuses it.
type LinkID uint64

// noLink identifies no link. The ids of links start at 1.
const noLink LinkID = 0

// MachineOptions configures a machine.
type MachineOptions struct {
	Self structs.AgentRef
	Zone string
	// QueueLength is how many tasks may wait at the agent. 0 means DefaultQueueLength.
	QueueLength int
	// RecordBytes is the memory limit for records and results. 0 means DefaultRecordBytes.
	RecordBytes int64
}

// Input is an event for the machine.
type Input interface{ input() }

// Tick advances the time without another event. The I/O layer sends it at least every 250 ms.
type Tick struct{}

// Announced reports an announcement of the backend server. The first one fixes the service for the life of the machine.
type Announced struct {
	Server      string
	Service     string
	Slots       int
	Connections int
}

// Withdrawn reports that the backend server has withdrawn its announcement.
type Withdrawn struct{}

// LinkUp reports a new link. DialedAt is a time before the dial began.
type LinkUp struct {
	Link     LinkID
	DialedAt time.Duration
}

// LinkDown reports the end of a link. Messages of this link that are received later are ignored.
type LinkDown struct{ Link LinkID }

// Received reports a message from a gateway. Message is a pointer to GatewayHello, GatewayHeartbeat, Start, Withdraw,
// Cancel, ReconcileStarts, Fence, FetchResults, ConfigRequest or ConfigDocument of package structs.
type Received struct {
	Link    LinkID
	Message any
}

// Ended reports the end of a task that a Run action started.
type Ended struct {
	Task structs.TaskRef
	// Kind is TaskFinished, TaskFailed or TaskAborted, or TaskRefused if nothing was sent to the backend server.
	Kind    structs.TaskEventKind
	Result  []byte
	Error   string
	RunTime time.Duration
	// Unreachable is true if the backend server did not accept a connection. It is then considered to be leaving until
	// its next announcement.
	Unreachable bool
}

// Stop begins the graceful shutdown.
type Stop struct{}

func (Tick) input()      {}
func (Announced) input() {}
func (Withdrawn) input() {}
func (LinkUp) input()    {}
func (LinkDown) input()  {}
func (Received) input()  {}
func (Ended) input()     {}
func (Stop) input()      {}

// Action tells the I/O layer what to do.
type Action interface{ action() }

// Send sends a message on a link.
type Send struct {
	Link    LinkID
	Class   link.Class
	Type    structs.MessageType
	Message any
}

// Run starts a task at the backend server. The I/O layer checks LastContact again right before it writes the request,
// and reports the task's end by Ended.
type Run struct {
	Task structs.TaskStart
	// MaxResult bounds the result in bytes.
	MaxResult int64
}

// Abort aborts a running task. The I/O layer still reports Ended.
type Abort struct{ Task structs.TaskRef }

// Stopped reports that the graceful shutdown is complete: no task runs, and all events were sent or FlushTimeout has
// passed.
type Stopped struct{}

// Warn logs a warning.
type Warn struct {
	Message string
	Err     error
}

func (Send) action()    {}
func (Run) action()     {}
func (Abort) action()   {}
func (Stopped) action() {}
func (Warn) action()    {}

// Stats holds counters of events since the start (uint64) and the machine's current state.
type Stats struct {
	Started   uint64
	Finished  uint64
	Failed    uint64
	Aborted   uint64
	Refused   uint64
	Withdrawn uint64
	// Duplicates counts starts of tasks that had already arrived.
	Duplicates uint64
	// Evicted counts results that were dropped to stay within the memory limit.
	Evicted     uint64
	Running     int
	Queued      int
	Slots       int
	Records     int
	RecordBytes int64
	Links       int
	Revision    structs.Revision
	Promised    structs.Epoch
	Leaving     bool
}
