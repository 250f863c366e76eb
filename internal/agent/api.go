// Package agent is the process beside a backend server. It holds the server to its slots and connections, records
// every start, and refuses what would start a task twice, under a fenced epoch, in an availability zone that
// is out, or without fresh word from a gateway.
//
// Machine is the deterministic part: Step takes an input and a monotonic time and returns actions. Agent is the shell
// around it, with the links to the gateways and the HTTP side towards the backend server.
package agent

import (
	"time"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
)

// Bounds and periods of the machine.
const (
	// DefaultQueueLength is the number of tasks that may wait at the agent while all slots are busy.
	DefaultQueueLength = 2
	// DefaultRecordBytes bounds the memory for start records and results.
	DefaultRecordBytes = 64 << 20
	// RetentionAfterJob is how long records outlast the job.
	RetentionAfterJob = 10 * time.Minute
	// RecordRetention is how long a record outlasts the end of its task. The task ends after the job's admission,
	// so the longest job deadline is added to the retention after the job's end. A configuration with a longer
	// deadline prolongs it.
	RecordRetention = RetentionAfterJob + structs.DefaultMaxDeadline
	// AnnounceTimeout is the time without an announcement after which the backend server counts as leaving.
	AnnounceTimeout = 3 * time.Second
	// MaxHeartbeatInterval is the time without a sent heartbeat after which one is sent unasked. It exceeds
	// HeartbeatInterval, since each gateway heartbeat is answered.
	MaxHeartbeatInterval = 750 * time.Millisecond
	// RedeliveryWindow is how far back the events sent on a broken link are sent again. A link whose peer does
	// not read or answer ends after WriteTimeout or LostAfter; older events have arrived.
	RedeliveryWindow = link.WriteTimeout + structs.LostAfter
	// CancelRetention is how long starts of a cancelled job are refused. It covers starts overtaken by the cancel
	// message, which waits behind at most one stalled link.
	CancelRetention = RedeliveryWindow
	// MaxResultsBytes is the size of results beyond which a Results message is split. Larger messages would hold
	// up urgent ones, and the largest jobs exceed link.MaxMessageBytes.
	MaxResultsBytes = 1 << 20
	// FlushTimeout bounds the wait of a stopping agent for an owner that takes the last results.
	FlushTimeout = 10 * time.Second
)

// LinkID names a link of the agent. The shell chooses it and does not use it again.
type LinkID uint64

// noLink is the id of no link; ids start at 1.
const noLink LinkID = 0

// MachineOptions configures a machine.
type MachineOptions struct {
	Self structs.AgentRef
	Zone string
	// QueueLength bounds the tasks waiting at the agent. 0 means DefaultQueueLength.
	QueueLength int
	// RecordBytes bounds records and results. 0 means DefaultRecordBytes.
	RecordBytes int64
}

// Input is an event for the machine.
type Input interface{ input() }

// Tick lets time pass. The shell sends it at least every 250 ms.
type Tick struct{}

// Announced reports an announcement of the backend server. The first one fixes the service.
type Announced struct {
	Server      string
	Service     string
	Slots       int
	Connections int
}

// Withdrawn reports that the backend server has withdrawn its announcement.
type Withdrawn struct{}

// LinkUp reports a new link. DialedAt is the time before the connecting began.
type LinkUp struct {
	Link     LinkID
	DialedAt time.Duration
}

// LinkDown reports the end of a link. Messages of the link that are passed in later are ignored.
type LinkDown struct{ Link LinkID }

// Received passes a message of a gateway in. Message is a pointer to GatewayHello, GatewayHeartbeat, Start, Withdraw,
// Cancel, Recall, Fence, FetchResults, ConfigRequest or ConfigDocument of package structs.
type Received struct {
	Link    LinkID
	Message any
}

// Ended reports the end of a task that a Run action started.
type Ended struct {
	Task structs.TaskRef
	// Kind is TaskFinished, TaskFailed, TaskAborted or, if nothing was sent to the backend server, TaskRefused.
	Kind    structs.TaskEventKind
	Result  []byte
	Error   string
	RunTime time.Duration
	// Unreachable is true if the backend server did not accept a connection. It counts as leaving until its next
	// announcement.
	Unreachable bool
}

// Stop begins the graceful stop.
type Stop struct{}

func (Tick) input()      {}
func (Announced) input() {}
func (Withdrawn) input() {}
func (LinkUp) input()    {}
func (LinkDown) input()  {}
func (Received) input()  {}
func (Ended) input()     {}
func (Stop) input()      {}

// Action is an order to the shell.
type Action interface{ action() }

// Send sends a message on a link.
type Send struct {
	Link    LinkID
	Class   link.Class
	Type    structs.MessageType
	Message any
}

// Run starts a task at the backend server. The shell checks Fresh again right before it writes the request, and
// reports the end by Ended.
type Run struct {
	Task structs.TaskStart
	// MaxResult bounds the result in bytes.
	MaxResult int64
}

// Abort aborts a running task. The shell still reports Ended.
type Abort struct{ Task structs.TaskRef }

// Stopped reports that nothing runs, waits or is unreported after Stop.
type Stopped struct{}

// Warn is a fault to be logged.
type Warn struct {
	Message string
	Err     error
}

func (Send) action()    {}
func (Run) action()     {}
func (Abort) action()   {}
func (Stopped) action() {}
func (Warn) action()    {}

// Stats counts what the machine has done and holds.
type Stats struct {
	Started   uint64
	Finished  uint64
	Failed    uint64
	Aborted   uint64
	Refused   uint64
	Withdrawn uint64
	// Duplicates counts starts of tasks that were known already.
	Duplicates uint64
	// Evicted counts results dropped for memory.
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
