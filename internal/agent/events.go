package agent

import (
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
)

// sentEvent records on which link and when the end of a task was reported.
type sentEvent struct {
	task structs.TaskRef
	link LinkID
	at   time.Duration
}

// undeliveredEvent is a refusal or withdrawal that has not been sent on any link yet. Unlike the end of a task, such an
// event is sent at most once.
type undeliveredEvent struct {
	epoch structs.Epoch
	event structs.TaskEvent
}

// heartbeat updates the state of a link from the gateway's heartbeat and answers it. A gateway that owns the pool under
// an epoch below the promised one gets no acknowledgement (EchoSeq).
func (m *Machine) heartbeat(l *gatewayLink, message *structs.GatewayHeartbeat) {
	if at, ok := l.echoed(message.EchoSeq); ok {
		m.lastContact = max(m.lastContact, at)
	}
	if message.Epoch == 0 || message.Epoch >= m.promised {
		l.echoSeq = max(l.echoSeq, message.Seq)
	}
	m.updateDetached(message)
	m.updateRevision(l, message.Revision)
	l.epoch = message.Epoch
	m.sendHeartbeat(l)
	m.sendUnreported()
}

// echoed returns when the agent sent the heartbeat that a gateway echoes. ok is false if seq is not a remembered one.
func (l *gatewayLink) echoed(seq uint64) (at time.Duration, ok bool) {
	if seq == 0 || seq > l.sentSeq || l.sentSeq-seq >= heartbeatHistory {
		return 0, false
	}
	return l.sentAt[seq%heartbeatHistory], true
}

// updateDetached updates the set of detached epochs.
func (m *Machine) updateDetached(message *structs.GatewayHeartbeat) {
	if message.Epoch == 0 {
		return
	}
	if message.Detached {
		m.detached[message.Epoch] = m.now
	} else {
		delete(m.detached, message.Epoch)
	}
}

// updateRevision asks a gateway for the configuration if two of its heartbeats in a row announce a higher revision than
// the agent has. Usually the gateway sends the document by itself in between.
func (m *Machine) updateRevision(l *gatewayLink, revision structs.Revision) {
	l.revision = max(l.revision, revision)
	behind := revision > m.config.Revision
	if behind && l.behind {
		m.send(l.id, link.Control, structs.TypeConfigRequest, &structs.ConfigRequest{})
	}
	l.behind = behind
}

// fence promises an epoch to its owner and replies with the records. Waiting tasks of lower epochs are dropped. A
// repeated fence of the promised epoch drops nothing: it may arrive late over an old link, after starts of the same
// owner, which would not learn of the dropped tasks.
func (m *Machine) fence(l *gatewayLink, message *structs.Fence) {
	reply := &structs.FenceReply{Pool: message.Pool, Epoch: message.Epoch}
	if message.Epoch < m.promised || !m.isOwnPool(message.Pool) {
		reply.Refused = true
		reply.Promised = m.promised
		m.send(l.id, link.Control, structs.TypeFenceReply, reply)
		return
	}
	m.pool = message.Pool
	if message.Epoch > m.promised {
		m.promised = message.Epoch
		m.minAttempt = 0
		m.queue = nil
		m.undelivered = nil
	}
	for epoch := range m.detached {
		reply.Detached = reply.Detached || epoch < message.Epoch
	}
	reply.Promised = m.promised
	reply.Jobs = m.records.snapshot()
	m.send(l.id, link.Control, structs.TypeFenceReply, reply)
}

// isOwnPool reports whether a pool is the agent's. The first fence decides which pool of the service it is.
func (m *Machine) isOwnPool(pool structs.PoolID) bool {
	return pool.Service == m.server.Service && (m.promised == 0 || pool == m.pool)
}

// fetch sends the terminal events of all ended tasks of a job, in several messages if their results are large.
func (m *Machine) fetch(l *gatewayLink, message *structs.FetchResults) {
	results := &structs.Results{Job: message.Job}
	size := 0
	if job := m.records.jobs[message.Job.Key]; job != nil {
		for i := range job.records {
			r := &job.records[i]
			if r.state == structs.RecordRunning {
				continue
			}
			if size > 0 && size+len(r.result) > MaxResultsBytes {
				m.send(l.id, link.Bulk, structs.TypeResults, results)
				results, size = &structs.Results{Job: message.Job}, 0
			}
			size += len(r.result)
			results.Events = append(results.Events, r.event(structs.TaskRef{Job: job.id, Index: r.index}))
		}
	}
	m.send(l.id, link.Bulk, structs.TypeResults, results)
}

// linkDown removes a link. Ends of tasks whose report may have been lost with it are reported again.
func (m *Machine) linkDown(id LinkID) {
	if m.link(id) == nil {
		return
	}
	m.links = slices.DeleteFunc(m.links, func(l *gatewayLink) bool { return l.id == id })
	for i := m.sent.head; i < len(m.sent.items); i++ {
		if e := &m.sent.items[i]; e.link == id && m.now-e.at <= RedeliveryWindow {
			m.unreported = append(m.unreported, e.task)
		}
	}
	m.sendUnreported()
}

// highestEpoch returns the highest epoch that a linked gateway announces, 0 if none of them owns the pool.
func (m *Machine) highestEpoch() structs.Epoch {
	var highest structs.Epoch
	for _, l := range m.links {
		highest = max(highest, l.epoch)
	}
	return highest
}

// report sends the end of a task on all links that announce the highest epoch. If that epoch is below the promised one,
// a takeover is in progress: the event is then also kept for the new owner, which was told that the task is running.
func (m *Machine) report(epoch structs.Epoch, priority structs.Priority, event structs.TaskEvent) {
	highest := m.highestEpoch()
	if highest == 0 || highest < m.promised {
		m.unreported = append(m.unreported, event.Task)
	}
	if highest > 0 {
		class := classOf([]structs.TaskStart{{Priority: priority}})
		m.sendToOwners(highest, class, epoch, []structs.TaskEvent{event})
	}
}

// sendToOwners sends ends of tasks on all links with the highest epoch, and remembers them in case a link breaks.
func (m *Machine) sendToOwners(highest structs.Epoch, class link.Class, epoch structs.Epoch, events []structs.TaskEvent) {
	for _, l := range m.links {
		if l.epoch != highest {
			continue
		}
		m.sendEvents(l.id, class, epoch, events)
		for i := range events {
			m.sent.push(sentEvent{task: events[i].Task, link: l.id, at: m.now})
		}
	}
}

// sendUnreported sends the unreported and undelivered events to the owner, if a linked gateway owns the pool under an
// epoch that is not below the promised one.
func (m *Machine) sendUnreported() {
	highest := m.highestEpoch()
	if highest == 0 || highest < m.promised {
		return
	}
	waiting := m.unreported
	m.unreported = nil
	for _, task := range waiting {
		if r := m.records.find(keyOf(task)); r != nil && r.state != structs.RecordRunning {
			m.sendToOwners(highest, link.Bulk, r.epoch, []structs.TaskEvent{r.event(task)})
		}
	}
	for _, e := range m.undelivered {
		m.sendToAnyOwner(highest, e)
	}
	m.undelivered = nil
}

// deliverOnce sends a refusal or withdrawal on the link of the start. If that link is closed, it sends it to the owner,
// or keeps it until there is one.
func (m *Machine) deliverOnce(from LinkID, epoch structs.Epoch, event structs.TaskEvent) {
	if m.link(from) != nil {
		m.sendEvents(from, link.Urgent, epoch, []structs.TaskEvent{event})
		return
	}
	waiting := undeliveredEvent{epoch: epoch, event: event}
	if highest := m.highestEpoch(); highest > 0 && highest >= m.promised {
		m.sendToAnyOwner(highest, waiting)
		return
	}
	m.undelivered = append(m.undelivered, waiting)
}

// dropUndelivered drops the unsent refusal of an earlier start of a task. The owner has sent a new start, so it no
// longer needs the refusal.
func (m *Machine) dropUndelivered(task structs.TaskRef) {
	m.undelivered = slices.DeleteFunc(m.undelivered, func(e undeliveredEvent) bool { return e.event.Task == task })
}

// sendToAnyOwner sends an event on the first link with the highest epoch.
func (m *Machine) sendToAnyOwner(highest structs.Epoch, e undeliveredEvent) {
	for _, l := range m.links {
		if l.epoch == highest {
			m.sendEvents(l.id, link.Urgent, e.epoch, []structs.TaskEvent{e.event})
			return
		}
	}
}

func (m *Machine) sendEvents(to LinkID, class link.Class, epoch structs.Epoch, events []structs.TaskEvent) {
	if len(events) > 0 {
		m.send(to, class, structs.TypeTaskEvents, &structs.TaskEvents{Epoch: epoch, Events: events})
	}
}
