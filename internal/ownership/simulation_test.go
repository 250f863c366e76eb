package ownership

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

var testPool = structs.PoolID{Service: "lending", Index: 0}

const (
	callTimeout  = 2 * time.Second
	renewTimeout = 700 * time.Millisecond
	// keyLifetime is how long a key must not look new to an owner. It is not submitted any more one minute before the
	// end.
	keyLifetime  = 10 * time.Minute
	tickInterval = 50 * time.Millisecond
)

// event is a function that runs at a time of the simulation.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// simulation simulates gateways, agents and the store on a virtual clock. All randomness comes from random, so that a
// run is reproducible.
type simulation struct {
	now      time.Duration
	events   []event
	seq      int
	random   *rand.Rand
	store    fakeStore
	gateways []*fakeGateway
	agents   []*fakeAgent
	// cut holds the connections, each in one direction, whose messages are lost.
	cut map[string]bool
	// maxDelay is the longest time after which a request to the store may still take effect.
	maxDelay        time.Duration
	nextIncarnation structs.Incarnation
	// keys holds when each key was first submitted, and order the keys in that order.
	keys  map[structs.KeyHash]time.Duration
	order []structs.KeyHash
	// accepted holds the start of each key that an agent has accepted. adoptions holds what the takeovers have
	// collected.
	accepted  map[structs.KeyHash]accepted
	adoptions map[structs.Epoch]adoption
	// firstSent and lastSent hold when the first and the last accepted start of each epoch was sent.
	firstSent map[structs.Epoch]time.Duration
	lastSent  map[structs.Epoch]time.Duration
	// lastAcceptAt is when the last start was accepted.
	lastAcceptAt time.Duration
	fail         func(format string, args ...any)
	log          []string
	// counts is how often the runs have reached each case of interest.
	counts map[string]int
}

// accepted is a start that an agent has accepted.
type accepted struct {
	epoch  structs.Epoch
	sentAt time.Duration
}

// adoption is what a takeover has collected.
type adoption struct {
	adopt   dispatch.Adopt
	journal map[structs.KeyHash]bool
	records map[structs.KeyHash]bool
}

// snapshot is what gateways read from the store.
type snapshot struct {
	live           []structs.GatewayRef
	memberRevision uint64
	record         Record
	version        uint64
	recordRevision uint64
}

// fakeStore is a store with one pool record, the members and the journal.
type fakeStore struct {
	outage bool
	// loseNext is the number of next answers that are lost.
	loseNext int
	slow     bool
	// stale makes reads return snapshots of history.
	stale    bool
	revision uint64
	snapshot
	leases    map[uint64]time.Duration
	members   map[structs.GatewayRef]uint64
	lastLease uint64
	journal   map[structs.KeyHash]bool
	history   []snapshot
}

func newSimulation(seed uint64, gateways, agents int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, seed)), cut: map[string]bool{}, keys: map[structs.KeyHash]time.Duration{},
		accepted: map[structs.KeyHash]accepted{}, adoptions: map[structs.Epoch]adoption{},
		firstSent: map[structs.Epoch]time.Duration{}, lastSent: map[structs.Epoch]time.Duration{},
		counts: map[string]int{}, maxDelay: 30 * time.Second,
	}
	sim.store.leases = map[uint64]time.Duration{}
	sim.store.members = map[structs.GatewayRef]uint64{}
	sim.store.journal = map[structs.KeyHash]bool{}
	for i := range agents {
		sim.agents = append(sim.agents, &fakeAgent{sim: sim, id: structs.AgentID(fmt.Sprintf("a%d", i))})
		sim.agents[i].restart()
	}
	for i := range gateways {
		g := &fakeGateway{sim: sim, id: structs.GatewayID(fmt.Sprintf("g%d", i))}
		sim.gateways = append(sim.gateways, g)
		g.restart()
	}
	return sim
}

// trace adds a line to log, which is printed after a failure if OWNERSHIP_TRACE is set.
func (sim *simulation) trace(format string, args ...any) {
	sim.log = append(sim.log, fmt.Sprintf("%8.3f ", sim.now.Seconds())+fmt.Sprintf(format, args...))
	if len(sim.log) > 4000 {
		sim.log = sim.log[2000:]
	}
}

// after schedules a function.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	e := event{at: sim.now + d, seq: sim.seq, run: run}
	at, _ := slices.BinarySearchFunc(sim.events, e, func(a, b event) int {
		if a.at != b.at {
			return int(b.at - a.at)
		}
		return b.seq - a.seq
	})
	sim.events = slices.Insert(sim.events, at, e)
}

// advance runs all events of the next d.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[len(sim.events)-1].at <= end {
		e := sim.events[len(sim.events)-1]
		sim.events = sim.events[:len(sim.events)-1]
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// delay returns a random delay of a message: mostly short, sometimes up to limit.
func (sim *simulation) delay(limit time.Duration) time.Duration {
	if sim.random.IntN(30) == 0 {
		return time.Duration(sim.random.Int64N(int64(limit)))
	}
	return time.Millisecond + time.Duration(sim.random.Int64N(int64(5*time.Millisecond)))
}

func (sim *simulation) incarnation() structs.Incarnation {
	sim.nextIncarnation++
	return sim.nextIncarnation
}

// expire removes the members whose leases have ended.
func (s *fakeStore) expire(now time.Duration) {
	for ref, lease := range s.members {
		if s.leases[lease] <= now {
			delete(s.members, ref)
			s.advanceRevision()
		}
	}
}

// advanceRevision begins a new revision and keeps the old state for stale reads.
func (s *fakeStore) advanceRevision() {
	s.history = append(s.history, s.snapshot)
	if len(s.history) > 30 {
		s.history = s.history[1:]
	}
	s.revision++
	s.memberRevision = s.revision
	s.live = nil
	for ref := range s.members {
		s.live = append(s.live, ref)
	}
}

// read returns the current snapshot or, if reads are stale, sometimes an old one.
func (sim *simulation) read() snapshot {
	s := &sim.store
	if s.stale && len(s.history) > 0 && sim.random.IntN(2) == 0 {
		return s.history[sim.random.IntN(len(s.history))]
	}
	return s.snapshot
}

func (s *fakeStore) putRecord(record Record, expect uint64) bool {
	if s.version != expect {
		return false
	}
	s.advanceRevision()
	s.record, s.version, s.recordRevision = record, expect+1, s.revision
	return true
}

// call sends a request to the store. It calls done with true when the answer arrives, or with false after the timeout;
// the request may take effect even later.
func (g *fakeGateway) call(timeout time.Duration, effect func(), done func(ok bool)) {
	sim := g.sim
	incarnation := g.ref.Incarnation
	finished := false
	finish := func(ok bool) {
		if !finished {
			finished = true
			g.receive(incarnation, func() { done(ok) })
		}
	}
	limit := 20 * time.Millisecond
	if sim.store.slow {
		limit = 6 * time.Second
	}
	sim.after(timeout, func() { finish(false) })
	if sim.cut[string(g.id)+">store"] {
		return
	}
	sim.after(sim.delay(max(limit, time.Duration(sim.random.IntN(2))*sim.maxDelay)), func() {
		if sim.store.outage {
			return
		}
		sim.store.expire(sim.now)
		effect()
		if sim.store.loseNext > 0 {
			sim.store.loseNext--
			return
		}
		if !sim.cut["store>"+string(g.id)] {
			sim.after(sim.delay(limit), func() { finish(true) })
		}
	})
}

// fakeAgent is an agent that keeps its promises: once it has promised an epoch, it accepts nothing of a lower one.
type fakeAgent struct {
	sim           *simulation
	id            structs.AgentID
	ref           structs.AgentRef
	promised      structs.Epoch
	detached      map[structs.Epoch]bool
	lastSeq       map[structs.GatewayRef]int
	lastHeartbeat time.Duration
	records       map[structs.KeyHash]bool
	pausedUntil   time.Duration
}

func (a *fakeAgent) restart() {
	a.ref = structs.AgentRef{ID: a.id, Incarnation: a.sim.incarnation()}
	a.promised = 0
	a.detached = map[structs.Epoch]bool{}
	a.lastSeq = map[structs.GatewayRef]int{}
	a.records = map[structs.KeyHash]bool{}
	a.lastHeartbeat = -time.Hour
	a.pausedUntil = 0
}

// receive runs the effect of a message when it has arrived and the agent is not paused. ref is the incarnation that it
// is sent to, nil for any.
func (a *fakeAgent) receive(from *fakeGateway, ref *structs.AgentRef, limit time.Duration, run func()) {
	sim := a.sim
	if sim.cut[string(from.id)+">"+string(a.id)] {
		return
	}
	var arrive func()
	arrive = func() {
		if sim.now < a.pausedUntil {
			sim.after(a.pausedUntil-sim.now, arrive)
			return
		}
		if ref == nil || *ref == a.ref {
			run()
		}
	}
	sim.after(sim.delay(limit), arrive)
}

func (a *fakeAgent) send(to *fakeGateway, run func()) {
	incarnation := to.ref.Incarnation
	if !a.sim.cut[string(a.id)+">"+string(to.id)] {
		a.sim.after(a.sim.delay(400*time.Millisecond), func() { to.receive(incarnation, run) })
	}
}

func (a *fakeAgent) heartbeat(from *fakeGateway, gateway structs.GatewayRef, seq int, ack AgentAck, detached bool) {
	if seq <= a.lastSeq[gateway] {
		return
	}
	a.lastSeq[gateway] = seq
	a.lastHeartbeat = a.sim.now
	ack.Agent = a.ref
	if ack.Epoch < a.promised {
		ack.Epoch = 0
	} else {
		a.detached[ack.Epoch] = detached
	}
	a.send(from, func() { from.receiveAck(ack) })
}

func (a *fakeAgent) fence(from *fakeGateway, fence structs.Fence) {
	reply := structs.FenceReply{Pool: fence.Pool, Epoch: fence.Epoch, Promised: max(a.promised, fence.Epoch)}
	if fence.Epoch < a.promised {
		reply.Refused = true
	} else {
		a.promised = fence.Epoch
		for key := range a.records {
			reply.Jobs = append(reply.Jobs, structs.JobRecords{Key: key})
		}
		for epoch, detached := range a.detached {
			reply.Detached = reply.Detached || (detached && epoch < fence.Epoch)
		}
	}
	ref := a.ref
	a.send(from, func() { from.step(FenceReplied{Agent: ref, Reply: reply}) })
}

func (a *fakeAgent) start(epoch structs.Epoch, key structs.KeyHash, sentAt time.Duration) {
	sim := a.sim
	if epoch < a.promised || sim.now-a.lastHeartbeat > structs.AgentContactTimeout {
		return
	}
	a.records[key] = true
	sim.trace("%s accepts %s of epoch %d sent %.3f", a.ref, key.String()[4:24], epoch, sentAt.Seconds())
	sim.accept(epoch, key, sentAt)
}

// accept records a start that an agent has accepted, and checks the properties that the test guards.
func (sim *simulation) accept(epoch structs.Epoch, key structs.KeyHash, sentAt time.Duration) {
	sim.counts["accepted"]++
	sim.lastAcceptAt = sim.now
	if earlier, ok := sim.accepted[key]; ok {
		sim.fail("key %s accepted twice: epochs %d and %d", key, earlier.epoch, epoch)
	}
	sim.accepted[key] = accepted{epoch: epoch, sentAt: sentAt}
	for other, first := range sim.firstSent {
		if other > epoch && first <= sentAt {
			sim.fail("accepted starts of two gateways: epoch %d sent at %s, epoch %d from %s on", epoch, sentAt, other, first)
		}
	}
	for other, last := range sim.lastSent {
		if other < epoch && last >= sentAt {
			sim.fail("accepted starts of two gateways: epoch %d sent at %s, epoch %d until %s", epoch, sentAt, other, last)
		}
	}
	if first, ok := sim.firstSent[epoch]; !ok || sentAt < first {
		sim.firstSent[epoch] = sentAt
	}
	sim.lastSent[epoch] = max(sim.lastSent[epoch], sentAt)
	for later := range sim.adoptions {
		sim.checkKnown(key, later)
	}
}

// checkKnown checks that a key whose start was accepted under an earlier owner does not look new to a later one: the
// later owner knows the key, or knows that keys may be missing.
func (sim *simulation) checkKnown(key structs.KeyHash, later structs.Epoch) {
	a := sim.adoptions[later]
	if sim.accepted[key].epoch >= later || sim.now-sim.keys[key] > keyLifetime || a.records[key] {
		return
	}
	known := (a.journal[key] || ticketEpoch(key) > 0) && !a.adopt.Complete
	missing := !a.journal[key] && a.adopt.KeysMayBeMissing
	if !known && !missing {
		sim.fail("key %s, accepted under epoch %d, looks not started to epoch %d: journaled %t complete %t keys missing %t", key,
			sim.accepted[key].epoch, later, a.journal[key], a.adopt.Complete, a.adopt.KeysMayBeMissing)
	}
}

// adopted records what a takeover has collected and checks it against the accepted starts.
func (sim *simulation) adopted(epoch structs.Epoch, adopt dispatch.Adopt) adoption {
	a := adoption{adopt: adopt, journal: map[structs.KeyHash]bool{}, records: map[structs.KeyHash]bool{}}
	for _, entry := range adopt.Journal {
		a.journal[entry.Key] = true
	}
	for _, records := range adopt.Records {
		for _, job := range records.Jobs {
			a.records[job.Key] = true
		}
	}
	sim.adoptions[epoch] = a
	for key := range sim.accepted {
		sim.checkKnown(key, epoch)
	}
	return a
}

// fakeGateway is the I/O layer of a Machine, with a minimal dispatcher for jobs of one task.
type fakeGateway struct {
	sim *simulation
	id  structs.GatewayID
	ref structs.GatewayRef
	m   *Machine
	// full gets the same inputs as m, but scans all agents at each of them.
	full        *Machine
	startedAt   time.Duration
	pausedUntil time.Duration
	down        bool
	lease       uint64
	renewing    bool
	seq         int
	linked      map[structs.AgentID]structs.AgentRef
	lastContact map[structs.AgentID]time.Duration
	// The following fields are the state of the dispatcher under the owned epoch.
	adoption      adoption
	eligible      map[structs.AgentRef]bool
	state         map[structs.KeyHash]keyState
	queue         []structs.KeyHash
	writing       bool
	handoverState map[structs.KeyHash]keyState
	handoverEpoch structs.Epoch
}

// ticketEpoch returns the epoch that issued a key as a ticket, or 0 for a key chosen by a caller. Tickets start without
// a journal entry.
func ticketEpoch(key structs.KeyHash) structs.Epoch {
	return structs.Epoch(binary.BigEndian.Uint32(key[8:]))
}

// keyState is the dispatcher's state of a key.
type keyState uint8

const (
	keyWaiting keyState = iota + 1
	keyJournaled
	keyStarted
	keyUncertain
)

func (g *fakeGateway) restart() {
	*g = fakeGateway{sim: g.sim, id: g.id, ref: structs.GatewayRef{ID: g.id, Incarnation: g.sim.incarnation()}, startedAt: g.sim.now}
	g.linked = map[structs.AgentID]structs.AgentRef{}
	g.lastContact = map[structs.AgentID]time.Duration{}
	g.m, g.full = New(g.now(), g.ref), New(g.now(), g.ref)
	g.resetDispatcher()
	g.step(PoolConfigured{Pool: testPool})
	g.every(tickInterval, g.tick)
	g.every(LeaseRenewal, g.renew)
	g.every(structs.HeartbeatInterval, g.heartbeat)
	// With a slow watch, an owner continues to renew its lease for a while after another gateway has taken over.
	g.every([]time.Duration{130 * time.Millisecond, time.Second, 4 * time.Second}[g.sim.random.IntN(3)], g.watch)
}

// now is the gateway's own monotonic clock.
func (g *fakeGateway) now() time.Duration { return g.sim.now - g.startedAt + time.Second }

// receive runs the effect of a message or timer when the gateway is not paused. It runs nothing if the gateway is down
// or has restarted since.
func (g *fakeGateway) receive(incarnation structs.Incarnation, run func()) {
	if g.ref.Incarnation != incarnation || g.down {
		return
	}
	if g.sim.now < g.pausedUntil {
		g.sim.after(g.pausedUntil-g.sim.now, func() { g.receive(incarnation, run) })
		return
	}
	run()
}

// every calls run at an interval until the gateway restarts or goes down.
func (g *fakeGateway) every(interval time.Duration, run func()) {
	incarnation := g.ref.Incarnation
	g.sim.after(interval, func() {
		g.receive(incarnation, func() { run(); g.every(interval, run) })
	})
}

func (g *fakeGateway) resetDispatcher() {
	g.eligible = map[structs.AgentRef]bool{}
	g.state = map[structs.KeyHash]keyState{}
	g.queue = nil
}

// step passes an input to the machine and checks that it returns the same actions as a machine that scans all agents
// each time. This guards against a change of state after which a necessary scan is skipped.
func (g *fakeGateway) step(in Input) {
	actions := g.m.Step(g.now(), in)
	for _, p := range g.full.order {
		p.invalidate()
	}
	if expected := g.full.Step(g.now(), in); !reflect.DeepEqual(actions, expected) {
		g.sim.fail("%s on %T: incremental evaluation returns %v, full evaluation %v", g.ref, in, actions, expected)
	}
	for _, action := range actions {
		g.perform(action)
	}
}

func (g *fakeGateway) perform(action Action) {
	switch action := action.(type) {
	case PutRecord:
		g.put(action)
	case SendFence:
		agent := g.sim.findAgent(action.Agent.ID)
		agent.receive(g, &action.Agent, time.Second, func() { agent.fence(g, action.Fence) })
	case ReadJournal:
		g.readJournal(action)
	case Acquired:
		g.sim.trace("%s acquires epoch %d", g.ref, action.Epoch)
		g.resetDispatcher()
	case Adopted:
		g.sim.trace("%s adopts epoch %d: complete %t keys missing %t", g.ref, action.Epoch, action.Adopt.Complete, action.Adopt.KeysMayBeMissing)
		g.sim.counts[fmt.Sprintf("adopted complete=%t missing=%t", action.Adopt.Complete, action.Adopt.KeysMayBeMissing)]++
		for _, other := range g.sim.gateways {
			if _, mode, _ := other.m.Mode(testPool, other.now()); other != g && mode == dispatch.Detached {
				g.sim.counts["adopted beside a detached owner"]++
			}
		}
		g.adoption = g.sim.adopted(action.Epoch, action.Adopt)
		if g.handoverEpoch == action.Epoch {
			g.state = g.handoverState
			// The snapshot does not show which keys are journaled, so the successor journals all of them again.
			g.queue = slices.DeleteFunc(slices.SortedFunc(mapKeys(g.handoverState), compareKeys),
				func(key structs.KeyHash) bool { return ticketEpoch(key) > 0 })
		}
	case ModeChanged:
		g.sim.counts[fmt.Sprintf("mode %d", action.Mode)]++
		g.sim.trace("%s mode %d under epoch %d", g.ref, action.Mode, action.Epoch)
	case EligibleChanged:
		g.eligible[action.Agent] = action.Eligible
	case PoolLost:
		g.sim.trace("%s loses epoch %d", g.ref, action.Epoch)
		g.resetDispatcher()
	}
}

func (g *fakeGateway) put(action PutRecord) {
	ok := false
	g.sim.trace("%s writes epoch %d owner %s roster %v expecting %d", g.ref, action.Record.Epoch, action.Record.Owner,
		action.Record.Roster, action.ExpectedVersion)
	g.call(callTimeout, func() { ok = g.sim.store.putRecord(action.Record, action.ExpectedVersion) }, func(answered bool) {
		if answered && ok {
			g.step(PutResult{Record: action.Record, OK: true, Version: action.ExpectedVersion + 1})
			return
		}
		g.readBack(action)
	})
}

func (g *fakeGateway) readBack(action PutRecord) {
	var found snapshot
	g.call(callTimeout, func() { found = g.sim.read() }, func(answered bool) {
		if !answered {
			g.readBack(action)
			return
		}
		found.record.Pool = testPool
		g.step(PutResult{Record: found.record, OK: found.record.Write == action.Record.Write, Version: found.version})
	})
}

func (g *fakeGateway) readJournal(action ReadJournal) {
	var entries []dispatch.JournalEntry
	g.call(callTimeout, func() {
		entries = nil
		for key := range g.sim.store.journal {
			entries = append(entries, dispatch.JournalEntry{Key: key})
		}
	}, func(answered bool) {
		if !answered {
			g.readJournal(action)
			return
		}
		g.step(JournalRead{Pool: action.Pool, Epoch: action.Epoch, Entries: entries})
	})
}

func (g *fakeGateway) renew() {
	if g.renewing {
		return
	}
	g.renewing = true
	sentAt := g.now()
	s := &g.sim.store
	if g.lease == 0 {
		g.grant(sentAt)
		return
	}
	alive := false
	lease := g.lease
	g.call(renewTimeout, func() {
		if alive = s.leases[lease] > g.sim.now; alive {
			s.leases[lease] = g.sim.now + LeaseTTL
		}
	}, func(answered bool) {
		g.renewing = false
		switch {
		case answered && alive:
			g.step(LeaseRenewed{SentAt: sentAt})
		case answered:
			g.lease = 0
			g.step(LeaseExpired{})
		}
	})
}

// grant gets a lease and writes the member key under it. It fails while the key of an earlier incarnation or lease
// exists.
func (g *fakeGateway) grant(sentAt time.Duration) {
	s := &g.sim.store
	lease := uint64(0)
	ref := g.ref
	g.call(renewTimeout, func() {
		for member := range s.members {
			if member.ID == ref.ID {
				return
			}
		}
		s.lastLease++
		lease = s.lastLease
		s.leases[lease] = g.sim.now + LeaseTTL
		s.members[ref] = lease
		s.advanceRevision()
		g.sim.after(LeaseTTL, func() { s.expire(g.sim.now) })
	}, func(answered bool) {
		g.renewing = false
		if answered && lease != 0 {
			g.lease = lease
			g.step(LeaseRenewed{SentAt: sentAt})
		}
	})
}

func (g *fakeGateway) watch() {
	var members, record snapshot
	var revision uint64
	g.call(callTimeout, func() { members, record, revision = g.sim.read(), g.sim.read(), g.sim.store.revision }, func(answered bool) {
		if !answered {
			return
		}
		if members.memberRevision == g.sim.store.memberRevision {
			members.memberRevision = revision
		}
		g.step(Members{Live: members.live, Revision: members.memberRevision})
		if record.version > 0 {
			g.step(ObservedRecord{Record: record.record, Version: record.version, Revision: record.recordRevision})
		}
	})
}

func (g *fakeGateway) heartbeat() {
	epoch, _, _ := g.m.Mode(testPool, g.now())
	ack := AgentAck{Pool: testPool, Epoch: epoch, SentAt: g.now()}
	detached := g.m.DetachedFlag(testPool)
	g.seq++
	seq := g.seq
	gateway := g.ref
	for _, agent := range g.sim.agents {
		agent.receive(g, nil, time.Second, func() { agent.heartbeat(g, gateway, seq, ack, detached) })
	}
}

func (g *fakeGateway) receiveAck(ack AgentAck) {
	id := ack.Agent.ID
	if old, ok := g.linked[id]; !ok || old != ack.Agent {
		if ok && ack.Agent.Incarnation < old.Incarnation {
			return
		}
		if ok {
			g.step(AgentLost{Pool: testPool, Agent: old})
		}
		g.linked[id] = ack.Agent
		g.step(AgentLinked{Pool: testPool, Agent: ack.Agent})
	}
	g.lastContact[id] = g.now()
	g.step(ack)
}

func (g *fakeGateway) tick() {
	for _, agent := range g.sim.agents {
		if ref, ok := g.linked[agent.id]; ok && g.now()-g.lastContact[agent.id] >= structs.LostAfter {
			delete(g.linked, agent.id)
			g.step(AgentLost{Pool: testPool, Agent: ref})
		}
	}
	g.step(Tick{})
	_, mode, ok := g.m.Mode(testPool, g.now())
	if ok && mode == dispatch.Attached && len(g.queue) == 0 && g.m.DetachedFlag(testPool) {
		g.step(BacklogWritten{Pool: testPool})
	}
	g.writeJournal()
	if !ok {
		return
	}
	// Only one key is started per tick, so that some admitted keys are waiting when faults happen.
	for _, key := range slices.SortedFunc(mapKeys(g.state), compareKeys) {
		if g.tryStart(key) {
			return
		}
	}
}

// submit admits a key as the dispatcher does.
func (g *fakeGateway) submit(key structs.KeyHash) {
	epoch, mode, ok := g.m.Mode(testPool, g.now())
	if !ok || g.state[key] != 0 || (mode != dispatch.Attached && mode != dispatch.Detached) {
		return
	}
	ticket := ticketEpoch(key)
	switch {
	case ticket > epoch:
		return
	case g.adoption.records[key]:
		g.state[key] = keyStarted
	case ticket == epoch || (ticket > 0 && g.adoption.adopt.Complete):
		g.state[key] = keyJournaled
	case ticket > 0:
		g.state[key] = keyUncertain
	case g.adoption.journal[key] && g.adoption.adopt.Complete:
		g.state[key] = keyJournaled
	case g.adoption.journal[key] || g.adoption.adopt.KeysMayBeMissing:
		g.state[key] = keyUncertain
	default:
		g.state[key] = keyWaiting
		g.queue = append(g.queue, key)
	}
}

// tryStart sends the start of a key to a random eligible agent if the mode and the key's state allow it.
func (g *fakeGateway) tryStart(key structs.KeyHash) bool {
	state := g.state[key]
	epoch, mode, ok := g.m.Mode(testPool, g.now())
	allowed := mode == dispatch.Detached || (mode == dispatch.Attached && state == keyJournaled)
	if !ok || !allowed || (state != keyWaiting && state != keyJournaled) {
		return false
	}
	for _, i := range g.sim.random.Perm(len(g.sim.agents)) {
		agent := g.sim.agents[i]
		ref, linked := g.linked[agent.id]
		if !linked || !g.eligible[ref] {
			continue
		}
		g.state[key] = keyStarted
		g.sim.counts[fmt.Sprintf("started in mode %d", mode)]++
		sentAt := g.sim.now
		agent.receive(g, &ref, 10*time.Second, func() { agent.start(epoch, key, sentAt) })
		return true
	}
	return false
}

func (g *fakeGateway) writeJournal() {
	epoch, _, owned := g.m.Mode(testPool, g.now())
	if g.writing || !owned || len(g.queue) == 0 {
		return
	}
	g.writing = true
	batch := slices.Clone(g.queue)
	g.call(callTimeout, func() {
		for _, key := range batch {
			g.sim.store.journal[key] = true
		}
	}, func(answered bool) {
		g.writing = false
		current, _, owned := g.m.Mode(testPool, g.now())
		if !answered || !owned || current != epoch {
			return
		}
		g.queue = slices.DeleteFunc(g.queue, func(key structs.KeyHash) bool { return slices.Contains(batch, key) })
		for _, key := range batch {
			if g.state[key] == keyWaiting {
				g.state[key] = keyJournaled
			}
		}
	})
}

// handOver hands the pool over. The snapshot is taken before the machine gets the input.
func (g *fakeGateway) handOver(to *fakeGateway) {
	epoch, mode, ok := g.m.Mode(testPool, g.now())
	if !ok || (mode != dispatch.Attached && mode != dispatch.Detached) || to == g || to.down {
		return
	}
	to.handoverState = map[structs.KeyHash]keyState{}
	for key, state := range g.state {
		to.handoverState[key] = state
	}
	to.handoverEpoch = epoch + 1
	g.sim.trace("%s hands over to %s", g.ref, to.ref)
	g.step(Release{Pool: testPool, Successor: to.ref})
}

func (sim *simulation) findAgent(id structs.AgentID) *fakeAgent {
	for _, agent := range sim.agents {
		if agent.id == id {
			return agent
		}
	}
	panic("unknown agent " + id)
}
