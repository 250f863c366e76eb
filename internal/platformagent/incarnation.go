package platformagent

import (
	"time"

	"rosedrift.example/rosedrift/platform"
)

// maxHeartbeatDelay is how long after a heartbeat an earlier one of the same incarnation may still arrive. After that time
// without a later one, the sequence number of the last one cannot have been the server's.
const maxHeartbeatDelay = 5 * time.Second

// incarnation identifies one life of the backend server: from the start of its process to the end.
type incarnation struct {
	server string
	// startTime is by the server's clock, which may have been set back since an earlier start. So two start times show
	// that the incarnations differ, but not which one is later.
	startTime int64
}

func incarnationOf(heartbeat platform.Heartbeat) incarnation {
	return incarnation{server: heartbeat.ID, startTime: heartbeat.StartTime}
}

// verdict says what a heartbeat is worth.
type verdict uint8

const (
	// heartbeatLate: a later heartbeat has arrived before, or the server has left since.
	heartbeatLate verdict = iota
	// heartbeatCurrent: it describes the current incarnation.
	heartbeatCurrent
	// heartbeatUnconfirmed: it is of another incarnation, either the next one or an earlier one whose heartbeat was delayed. The
	// server's answer to the next request for the list decides.
	heartbeatUnconfirmed
)

// incarnations tracks which incarnation of the backend server runs, and which heartbeats describe it. It is not safe for
// concurrent use.
type incarnations struct {
	// current is the incarnation that runs, as far as known, since knownAt. Its server is empty if none is known.
	current incarnation
	knownAt time.Duration
	// sequence is that of the last heartbeat of the current incarnation, at heardAt.
	sequence uint64
	heardAt  time.Duration
	// left is the last incarnation that has deregistered.
	left incarnation
	// candidate is the last unconfirmed heartbeat, received at candidateAt, or nil.
	candidate   *platform.Heartbeat
	candidateAt time.Duration
}

// handleHeartbeat takes a heartbeat at a time.
func (i *incarnations) handleHeartbeat(now time.Duration, heartbeat platform.Heartbeat) verdict {
	reported := incarnationOf(heartbeat)
	switch {
	case reported == i.left:
		return heartbeatLate
	case i.current.server == "" && i.left.server == "":
		i.accept(now, heartbeat) // if it is a late one, the next call shows it
		return heartbeatCurrent
	case reported == i.current || (heartbeat.StartTime == 0 && heartbeat.ID == i.current.server):
		if heartbeat.StartTime != 0 && heartbeat.Sequence < i.sequence && now-i.heardAt < maxHeartbeatDelay {
			return heartbeatLate
		}
		i.accept(now, heartbeat)
		return heartbeatCurrent
	}
	i.candidate, i.candidateAt = &heartbeat, now
	return heartbeatUnconfirmed
}

// accept records a heartbeat of the current incarnation.
func (i *incarnations) accept(now time.Duration, heartbeat platform.Heartbeat) {
	if reported := incarnationOf(heartbeat); heartbeat.StartTime != 0 || heartbeat.ID != i.current.server {
		i.setCurrent(now, reported)
	}
	i.sequence, i.heardAt = heartbeat.Sequence, now
}

func (i *incarnations) setCurrent(now time.Duration, current incarnation) {
	if i.current != current {
		i.current, i.knownAt, i.sequence = current, now, 0
	}
}

// addressee returns the server to name in the next request for the list, or "" for whichever one runs.
func (i *incarnations) addressee() string {
	if i.candidate != nil {
		return i.candidate.ID
	}
	return i.current.server
}

// handleList takes the answer to a request for the list that was sent at requestedAt and named a server: the start time of
// the incarnation that has answered, 0 if unknown. It returns the unconfirmed heartbeat if that incarnation has sent it,
// otherwise nil. An unconfirmed heartbeat of another incarnation is dropped.
func (i *incarnations) handleList(now time.Duration, named string, startTime int64, requestedAt time.Duration) *platform.Heartbeat {
	candidate := i.candidate
	if candidate != nil && requestedAt >= i.candidateAt {
		i.candidate = nil
		if named == candidate.ID && (startTime == candidate.StartTime || startTime == 0 || candidate.StartTime == 0) {
			i.left = incarnation{}
			i.accept(now, *candidate)
			return candidate
		}
	}
	if named != "" && startTime != 0 && requestedAt >= i.knownAt {
		i.setCurrent(now, incarnation{server: named, startTime: startTime})
	}
	return nil
}

// handleWrongServer takes the refusal of a request because another server than the named one runs. It reports whether the
// current incarnation has ended.
func (i *incarnations) handleWrongServer(named string) bool {
	if i.candidate != nil && i.candidate.ID == named {
		i.candidate = nil
	}
	if i.current.server != named {
		return false
	}
	i.current = incarnation{}
	return true
}

// handleDeregistration takes the announcement of a server that it ends. It reports whether this was the current incarnation.
func (i *incarnations) handleDeregistration(server string) bool {
	last := i.current
	ended := i.handleWrongServer(server) // another server, or none, runs now
	if ended {
		i.left = last
	}
	return ended
}
