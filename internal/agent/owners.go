package agent

import (
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
)

// sentEvent notes on which link and when the end of a task was reported.
type sentEvent struct {
	task structs.TaskRef
	link LinkID
	at   time.Duration
}

// undeliveredEvent is a refusal or withdrawal that has not been sent on any link. Unlike the end of a task, such an
// event is sent once at most.
type undeliveredEvent struct {
	epoch structs.Epoch
	event structs.TaskEvent
}

// heartbeat notes what a gateway says about itself and answers it.
func (m *Machine) heartbeat(l *gatewayLink, message *structs.GatewayHeartbeat) {
	if at, ok := l.echoed(message.EchoSeq); ok {
		m.freshAt = max(m.freshAt, at)
	}
	if message.Epoch == 0 || message.Epoch >= m.promised {
		l.echoSeq = max(l.echoSeq, message.Seq)
	}
	m.noteDetached(message)
	m.noteRevision(l, message.Revision)
	l.epoch = message.Epoch
	m.sendHeartbeat(l)
	m.flush()
}

// echoed returns when the heartbeat that a gateway has answered was sent.
func (l *gatewayLink) echoed(seq uint64) (at time.Duration, ok bool) {
	if seq == 0 || seq > l.sentSeq || l.sentSeq-seq >= sentHeartbeats {
		return 0, false
	}
	return l.sentAt[seq%sentHeartbeats], true
}

func (m *Machine) noteDetached(message *structs.GatewayHeartbeat) {
	if message.Epoch == 0 {
		return
	}
	if message.Detached {
		m.detached[message.Epoch] = m.now
	} else {
		delete(m.detached, message.Epoch)
	}
}

// noteRevision asks for the configuration if a gateway still has a higher revision than the agent one heartbeat
// after it was first announced. Until then the gateway's own sending of the document is awaited.
func (m *Machine) noteRevision(l *gatewayLink, revision structs.Revision) {
	l.revision = max(l.revision, revision)
	behind := revision > m.config.Revision
	if behind && l.behind {
		m.send(l.id, link.Control, structs.TypeConfigRequest, &structs.ConfigRequest{})
	}
	l.behind = behind
}

// fence promises an epoch and reports the records. Waiting tasks of lower epochs are dropped. A repeated fence of the
// promised epoch drops nothing: it may arrive late over an old link, after starts of the owner, which would not hear of
// the dropped tasks.
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
		m.floor = 0
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

// isOwnPool reports whether a pool is the agent's. The first fence decides its number.
func (m *Machine) isOwnPool(pool structs.PoolID) bool {
	return pool.Service == m.server.Service && (m.promised == 0 || pool == m.pool)
}

// fetch answers with the ends of all ended tasks of a job, in several messages if their results are large.
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

// linkDown forgets a link. Ends of tasks that may have been lost with it are reported again.
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
	m.flush()
}

// highest returns the highest announced epoch, 0 if no linked gateway owns the pool.
func (m *Machine) highest() structs.Epoch {
	var highest structs.Epoch
	for _, l := range m.links {
		highest = max(highest, l.epoch)
	}
	return highest
}

// report sends the end of a task to the gateways that announce the highest epoch. If that is below the promise, a
// takeover is under way: the event also waits for the new owner, which saw the task as running.
func (m *Machine) report(epoch structs.Epoch, priority structs.Priority, event structs.TaskEvent) {
	highest := m.highest()
	if highest == 0 || highest < m.promised {
		m.unreported = append(m.unreported, event.Task)
	}
	if highest > 0 {
		class := classOf([]structs.TaskStart{{Priority: priority}})
		m.sendToOwners(highest, class, epoch, []structs.TaskEvent{event})
	}
}

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

// flush reports what the present owner may not have heard of.
func (m *Machine) flush() {
	highest := m.highest()
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

// deliverOnce sends a refusal or withdrawal on the link of the start, or to the owner if that link is gone.
func (m *Machine) deliverOnce(from LinkID, epoch structs.Epoch, event structs.TaskEvent) {
	if m.link(from) != nil {
		m.sendEvents(from, link.Urgent, epoch, []structs.TaskEvent{event})
		return
	}
	waiting := undeliveredEvent{epoch: epoch, event: event}
	if highest := m.highest(); highest > 0 && highest >= m.promised {
		m.sendToAnyOwner(highest, waiting)
		return
	}
	m.undelivered = append(m.undelivered, waiting)
}

// dropUndelivered forgets the refusal of an earlier start of a task that has been sent again: the owner knows of it.
func (m *Machine) dropUndelivered(task structs.TaskRef) {
	m.undelivered = slices.DeleteFunc(m.undelivered, func(e undeliveredEvent) bool { return e.event.Task == task })
}

// sendToAnyOwner sends an event on one link of the owner.
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
