package agent

import (
	"encoding/json"
	"fmt"
	"time"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
)

// never is the time of an event that has not happened yet. It is so far in the past that every timeout has expired.
const never = -time.Hour

// gatewayLink is the machine's state of one link with a gateway.
type gatewayLink struct {
	id       LinkID
	dialedAt time.Duration
	// epoch is the epoch under which the gateway owns the agent's pool, as of its last heartbeat, 0 if it does not.
	epoch structs.Epoch
	// revision is the highest configuration revision that the gateway has announced.
	revision structs.Revision
	// behind is true if the gateway's previous heartbeat announced a higher revision than the agent has.
	behind bool
	// echoSeq is the sequence number of the gateway's latest heartbeat that the agent acknowledges.
	echoSeq uint64
	// sentSeq numbers the agent's heartbeats. sentAt holds the times of the last ones, lastSentAt that of the
	// latest.
	sentSeq    uint64
	sentAt     [heartbeatHistory]time.Duration
	lastSentAt time.Duration
}

// heartbeatHistory is how many of a link's sent heartbeats the machine remembers, to look up their time when a gateway
// echoes them.
const heartbeatHistory = 64

// runningTask is a task that was sent to the backend server.
type runningTask struct {
	queuedTask
	startedAt time.Duration
	aborting  bool
}

// status is the part of the heartbeat whose changes are sent at once.
type status struct {
	revision structs.Revision
	promised structs.Epoch
	leaving  bool
}

// Machine is the state machine of an agent. It is not safe for concurrent use.
type Machine struct {
	options MachineOptions
	now     time.Duration
	actions []Action

	// server is the last announcement, received at announcedAt. withdrawn and unreachable last until the next one.
	server      Announced
	announcedAt time.Duration
	withdrawn   bool
	unreachable bool
	// stopping is set when the graceful shutdown begins, at stopAt, and stopped when it is complete.
	stopping bool
	stopAt   time.Duration
	stopped  bool

	// config is the decoded document.
	config   structs.Configuration
	document structs.ConfigDocument

	// promised is the highest epoch that the agent has promised to an owner. Only starts of exactly this epoch are
	// accepted.
	promised structs.Epoch
	// minAttempt is the lowest attempt of the promised epoch that is accepted. It never decreases within an epoch:
	// otherwise a start that was reported as lost could be accepted when it arrives late over an old link.
	minAttempt uint64
	// pool is the pool of the first fence. All promises apply to this pool.
	pool structs.PoolID
	// detached holds each epoch whose owner last announced itself as detached (owning the pool without the store), with
	// the time of the last such heartbeat.
	detached map[structs.Epoch]time.Duration
	// lastContact is the latest time after which a gateway has provably sent a heartbeat or hello: the time at which
	// the agent sent the heartbeat that the gateway echoes, or dialed the link. A message that waited in a socket thus
	// does not count as a recent contact.
	lastContact time.Duration
	// links is in the order of the LinkUp inputs. It is no map, so that equal inputs give equal actions.
	links []*gatewayLink

	// queue holds the tasks that wait for a slot, in the order of their arrival.
	queue   []queuedTask
	running map[taskKey]*runningTask
	// aborting counts the running tasks that are being aborted.
	aborting int
	records  recordStore
	// cancelled holds the recently cancelled jobs with the time until which their starts are refused. cancelFIFO orders
	// them by that time.
	cancelled  map[structs.KeyHash]time.Duration
	cancelFIFO fifo[expiry]

	// sent holds the ended tasks that were reported within RedeliveryWindow, unreported those that the current owner
	// may not know of, and undelivered the refusals and withdrawals that could not be sent to any owner yet.
	sent        fifo[sentEvent]
	unreported  []structs.TaskRef
	undelivered []undeliveredEvent

	stats Stats
}

// NewMachine returns the machine of an agent without an announcement or a link.
func NewMachine(now time.Duration, options MachineOptions) *Machine {
	if options.QueueLength <= 0 {
		options.QueueLength = DefaultQueueLength
	}
	if options.RecordBytes <= 0 {
		options.RecordBytes = DefaultRecordBytes
	}
	return &Machine{
		options:     options,
		now:         now,
		announcedAt: never,
		detached:    make(map[structs.Epoch]time.Duration),
		lastContact: never,
		running:     make(map[taskKey]*runningTask),
		records:     newRecordStore(options.RecordBytes),
		cancelled:   make(map[structs.KeyHash]time.Duration),
	}
}

// LastContact returns the time of the last proven contact with a gateway. No task may start if it is
// structs.AgentContactTimeout or more ago.
func (m *Machine) LastContact() time.Duration { return m.lastContact }

// Service returns the service and the name of the backend server. They are empty before the first announcement.
func (m *Machine) Service() (service, server string) { return m.server.Service, m.server.Server }

// Stats returns the counters and the current state.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Evicted = m.records.evicted
	s.Running = len(m.running)
	s.Queued = len(m.queue)
	s.Slots = m.server.Slots
	s.Records = m.records.count
	s.RecordBytes = m.records.overhead + m.records.resultBytes
	s.Links = len(m.links)
	s.Revision = m.config.Revision
	s.Promised = m.promised
	s.Leaving = m.leaving()
	return s
}

// Step handles one input and returns the resulting actions, in a slice that is valid until the next call. The time now
// must not decrease between calls.
func (m *Machine) Step(now time.Duration, in Input) []Action {
	assert(now >= m.now, "time does not decrease")
	// The passing of time alone may change the status, when the announcement expires. So the status is read before
	// m.now is advanced.
	before := m.status()
	m.now = now
	clear(m.actions)
	m.actions = m.actions[:0]
	m.handle(in)
	m.drainQueue()
	if m.status() != before {
		m.broadcastHeartbeat()
	}
	m.finishStop()
	return m.actions
}

func (m *Machine) handle(in Input) {
	switch in := in.(type) {
	case Tick:
		m.tick()
	case Announced:
		m.announced(in)
	case Withdrawn:
		m.withdrawn = true
	case LinkUp:
		m.linkUp(in)
	case LinkDown:
		m.linkDown(in.Link)
	case Received:
		if l := m.link(in.Link); l != nil {
			m.received(l, in.Message)
		}
	case Ended:
		m.ended(in)
	case Stop:
		m.stop()
	default:
		panic(fmt.Sprintf("agent: unknown input %T", in))
	}
}

func (m *Machine) received(l *gatewayLink, message any) {
	switch message := message.(type) {
	case *structs.Start:
		m.start(l, message)
	case *structs.Withdraw:
		m.withdraw(l, message)
	case *structs.Cancel:
		m.cancel(l, message)
	case *structs.ReconcileStarts:
		m.reconcileStarts(l, message)
	case *structs.GatewayHello:
		m.lastContact = max(m.lastContact, l.dialedAt)
		l.revision = message.Revision
	case *structs.GatewayHeartbeat:
		m.heartbeat(l, message)
	case *structs.Fence:
		m.fence(l, message)
	case *structs.FetchResults:
		m.fetch(l, message)
	case *structs.ConfigRequest:
		m.sendDocument(l)
	case *structs.ConfigDocument:
		m.configure(message)
	default:
		m.emit(Warn{Message: fmt.Sprintf("unexpected message ignored: %T", message)})
	}
}

// link returns the open link with an id, or nil.
func (m *Machine) link(id LinkID) *gatewayLink {
	for _, l := range m.links {
		if l.id == id {
			return l
		}
	}
	return nil
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) send(to LinkID, class link.Class, typ structs.MessageType, message any) {
	m.emit(Send{Link: to, Class: class, Type: typ, Message: message})
}

func (m *Machine) status() status {
	return status{revision: m.config.Revision, promised: m.promised, leaving: m.leaving()}
}

// leaving reports whether the backend server accepts no new tasks.
func (m *Machine) leaving() bool {
	return m.stopping || m.withdrawn || m.unreachable || m.now-m.announcedAt >= AnnounceTimeout
}

// blocked returns why no task may start now, or an empty string if tasks may start.
func (m *Machine) blocked() string {
	switch {
	case m.stopping:
		return "the agent is stopping"
	case m.leaving():
		return "the backend server is leaving"
	case m.now-m.lastContact >= structs.AgentContactTimeout:
		return "no fresh heartbeat from a gateway"
	case m.config.Revision == 0 && m.highestRevision() > 0:
		return "the configuration has not arrived yet"
	case !m.config.ServerAllows(m.server.Service, m.options.Zone, m.options.Self.ID):
		return "the zone is out or the server is draining"
	case m.records.full():
		return "the memory for start records is full"
	}
	return ""
}

// highestRevision returns the highest configuration revision that a linked gateway has announced.
func (m *Machine) highestRevision() structs.Revision {
	var highest structs.Revision
	for _, l := range m.links {
		highest = max(highest, l.revision)
	}
	return highest
}

func (m *Machine) tick() {
	m.records.expire(m.now)
	m.expire()
	for _, l := range m.links {
		if m.now-l.lastSentAt >= MaxHeartbeatInterval {
			m.sendHeartbeat(l)
		}
	}
}

// expire drops reported events, cancellations and detached epochs that are no longer needed.
func (m *Machine) expire() {
	for m.sent.len() > 0 && m.now-m.sent.peek().at > RedeliveryWindow {
		m.sent.pop()
	}
	for m.cancelFIFO.len() > 0 && m.cancelFIFO.peek().at <= m.now {
		key := m.cancelFIFO.pop().key
		if m.cancelled[key] <= m.now {
			delete(m.cancelled, key)
		}
	}
	for epoch, at := range m.detached {
		if m.now-at > m.records.retention {
			delete(m.detached, epoch)
		}
	}
}

// announced handles an announcement of the backend server. A service other than that of the first announcement is
// ignored, since the agent's promises apply to a pool of the first one.
func (m *Machine) announced(in Announced) {
	if m.server.Service != "" && m.server.Service != in.Service {
		m.emit(Warn{Message: "announcement of another service ignored: " + in.Service})
		return
	}
	changed := m.server != in
	known := m.server.Service != ""
	m.server = in
	m.announcedAt = m.now
	m.withdrawn = false
	m.unreachable = false
	if changed && known {
		for _, l := range m.links {
			m.sendHello(l)
		}
	}
}

func (m *Machine) linkUp(in LinkUp) {
	l := &gatewayLink{id: in.Link, dialedAt: in.DialedAt, lastSentAt: never}
	m.links = append(m.links, l)
	m.sendHello(l)
	m.sendHeartbeat(l)
}

func (m *Machine) sendHello(l *gatewayLink) {
	m.send(l.id, link.Control, structs.TypeAgentHello, &structs.AgentHello{
		Agent:       m.options.Self,
		Zone:        m.options.Zone,
		Service:     m.server.Service,
		Server:      m.server.Server,
		Slots:       m.server.Slots,
		Connections: m.server.Connections,
		Revision:    m.config.Revision,
		Promised:    m.promised,
		Leaving:     m.leaving(),
	})
}

func (m *Machine) sendHeartbeat(l *gatewayLink) {
	l.sentSeq++
	l.sentAt[l.sentSeq%heartbeatHistory] = m.now
	l.lastSentAt = m.now
	m.send(l.id, link.Control, structs.TypeAgentHeartbeat, &structs.AgentHeartbeat{
		Revision: m.config.Revision,
		Promised: m.promised,
		Seq:      l.sentSeq,
		EchoSeq:  l.echoSeq,
		Leaving:  m.leaving(),
		Running:  len(m.running),
		Queued:   len(m.queue),
	})
}

func (m *Machine) broadcastHeartbeat() {
	for _, l := range m.links {
		m.sendHeartbeat(l)
	}
}

// configure applies a configuration document if its revision is higher than that of the current one.
func (m *Machine) configure(message *structs.ConfigDocument) {
	if message.Revision <= m.config.Revision {
		return
	}
	var config structs.Configuration
	if err := json.Unmarshal(message.Document, &config); err != nil {
		m.emit(Warn{Message: "configuration document rejected, keeping the previous one", Err: err})
		return
	}
	config.Revision = message.Revision
	m.config = config
	m.document = *message
	// The retention never decreases, since jobs that were admitted with a longer deadline may still be running.
	m.records.retention = max(m.records.retention, RetentionAfterJob+config.Limits.MaxDeadline)
}

// sendDocument sends the configuration to a gateway that has asked for it.
func (m *Machine) sendDocument(l *gatewayLink) {
	if m.document.Revision > 0 {
		document := m.document
		m.send(l.id, link.Control, structs.TypeConfigDocument, &document)
	}
}

// stop begins the graceful shutdown: waiting tasks are returned, running tasks may finish.
func (m *Machine) stop() {
	if m.stopping {
		return
	}
	m.stopping = true
	m.stopAt = m.now
	waiting := m.queue
	m.queue = nil
	for i := range waiting {
		m.returnTask(&waiting[i], structs.TaskWithdrawn, "the agent is stopping")
	}
}

// finishStop emits Stopped once, when no task runs and all events are sent, or FlushTimeout after stop.
func (m *Machine) finishStop() {
	if !m.stopping || m.stopped || len(m.running) > 0 {
		return
	}
	reported := len(m.unreported) == 0 && len(m.undelivered) == 0
	if reported || m.now-m.stopAt >= FlushTimeout {
		m.stopped = true
		m.emit(Stopped{})
	}
}
