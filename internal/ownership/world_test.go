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
	keyLifetime  = 10 * time.Minute
	tickInterval = 50 * time.Millisecond
)

// event is a function due at a time of the world.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// world simulates gateways, agents and the store. All randomness comes from random, so that a run is reproducible.
type world struct {
	now      time.Duration
	events   []event
	seq      int
	random   *rand.Rand
	store    fakeStore
	gateways []*fakeGateway
	agents   []*fakeAgent
	// cut holds the directed connections that lose everything.
	cut map[string]bool
	// delayed is the longest time after which a request to the store still takes effect.
	delayed time.Duration
	nextInc structs.Incarnation
	keys    map[structs.KeyHash]time.Duration
	order   []structs.KeyHash
	// accepted holds the accepted start of each key; adoptions holds the collections by epoch.
	accepted  map[structs.KeyHash]accepted
	adoptions map[structs.Epoch]adoption
	firstSent map[structs.Epoch]time.Duration
	lastSent  map[structs.Epoch]time.Duration
	// lastAccept is the time of the last accepted start.
	lastAccept time.Duration
	fail       func(format string, args ...any)
	log        []string
	// counts shows that the runs reach the interesting cases.
	counts map[string]int
}

type accepted struct {
	epoch  structs.Epoch
	sentAt time.Duration
}

type adoption struct {
	adopt   dispatch.Adopt
	journal map[structs.KeyHash]bool
	records map[structs.KeyHash]bool
}

type snapshot struct {
	live           []structs.GatewayRef
	memberRevision uint64
	record         Record
	version        uint64
	recordRevision uint64
}

type fakeStore struct {
	outage   bool
	loseNext int
	slow     bool
	stale    bool
	revision uint64
	snapshot
	leases  map[uint64]time.Duration
	members map[structs.GatewayRef]uint64
	next    uint64
	journal map[structs.KeyHash]bool
	past    []snapshot
}

func newWorld(seed uint64, gateways, agents int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, seed)), cut: map[string]bool{}, keys: map[structs.KeyHash]time.Duration{},
		accepted: map[structs.KeyHash]accepted{}, adoptions: map[structs.Epoch]adoption{},
		firstSent: map[structs.Epoch]time.Duration{}, lastSent: map[structs.Epoch]time.Duration{},
		counts: map[string]int{}, delayed: 30 * time.Second,
	}
	w.store.leases = map[uint64]time.Duration{}
	w.store.members = map[structs.GatewayRef]uint64{}
	w.store.journal = map[structs.KeyHash]bool{}
	for i := range agents {
		w.agents = append(w.agents, &fakeAgent{w: w, id: structs.AgentID(fmt.Sprintf("a%d", i))})
		w.agents[i].restart()
	}
	for i := range gateways {
		g := &fakeGateway{w: w, id: structs.GatewayID(fmt.Sprintf("g%d", i))}
		w.gateways = append(w.gateways, g)
		g.restart()
	}
	return w
}

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
	if len(w.log) > 4000 {
		w.log = w.log[2000:]
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	e := event{at: w.now + d, seq: w.seq, run: run}
	at, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int {
		if a.at != b.at {
			return int(b.at - a.at)
		}
		return b.seq - a.seq
	})
	w.events = slices.Insert(w.events, at, e)
}

func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[len(w.events)-1].at <= end {
		e := w.events[len(w.events)-1]
		w.events = w.events[:len(w.events)-1]
		w.now = e.at
		e.run()
	}
	w.now = end
}

// delay draws a transit time: mostly short, sometimes up to most.
func (w *world) delay(most time.Duration) time.Duration {
	if w.random.IntN(30) == 0 {
		return time.Duration(w.random.Int64N(int64(most)))
	}
	return time.Millisecond + time.Duration(w.random.Int64N(int64(5*time.Millisecond)))
}

func (w *world) incarnation() structs.Incarnation { w.nextInc++; return w.nextInc }

// expire ends leases and keeps past states for stale reads.
func (s *fakeStore) expire(now time.Duration) {
	for ref, lease := range s.members {
		if s.leases[lease] <= now {
			delete(s.members, ref)
			s.changed()
		}
	}
}

func (s *fakeStore) changed() {
	s.past = append(s.past, s.snapshot)
	if len(s.past) > 30 {
		s.past = s.past[1:]
	}
	s.revision++
	s.memberRevision = s.revision
	s.live = nil
	for ref := range s.members {
		s.live = append(s.live, ref)
	}
}

// read returns the state, or a past one if reads are stale.
func (w *world) read() snapshot {
	s := &w.store
	if s.stale && len(s.past) > 0 && w.random.IntN(2) == 0 {
		return s.past[w.random.IntN(len(s.past))]
	}
	return s.snapshot
}

func (s *fakeStore) putRecord(record Record, expect uint64) bool {
	if s.version != expect {
		return false
	}
	s.changed()
	s.record, s.version, s.recordRevision = record, expect+1, s.revision
	return true
}

// call sends a request to the store. done gets ok if the answer arrived in time; the request may take effect later.
func (g *fakeGateway) call(timeout time.Duration, effect func(), done func(ok bool)) {
	w := g.w
	inc := g.ref.Incarnation
	over := false
	finish := func(ok bool) {
		if !over {
			over = true
			g.receive(inc, func() { done(ok) })
		}
	}
	most := 20 * time.Millisecond
	if w.store.slow {
		most = 6 * time.Second
	}
	w.after(timeout, func() { finish(false) })
	if w.cut[string(g.id)+">store"] {
		return
	}
	w.after(w.delay(max(most, time.Duration(w.random.IntN(2))*w.delayed)), func() {
		if w.store.outage {
			return
		}
		w.store.expire(w.now)
		effect()
		if w.store.loseNext > 0 {
			w.store.loseNext--
			return
		}
		if !w.cut["store>"+string(g.id)] {
			w.after(w.delay(most), func() { finish(true) })
		}
	})
}

// fakeAgent follows the promise rule.
type fakeAgent struct {
	w        *world
	id       structs.AgentID
	ref      structs.AgentRef
	promised structs.Epoch
	detached map[structs.Epoch]bool
	lastSeq  map[structs.GatewayRef]int
	heard    time.Duration
	records  map[structs.KeyHash]bool
	paused   time.Duration
}

func (a *fakeAgent) restart() {
	a.ref = structs.AgentRef{ID: a.id, Incarnation: a.w.incarnation()}
	a.promised = 0
	a.detached = map[structs.Epoch]bool{}
	a.lastSeq = map[structs.GatewayRef]int{}
	a.records = map[structs.KeyHash]bool{}
	a.heard = -time.Hour
	a.paused = 0
}

// receive runs what a message does when the agent is not paused. ref is nil for messages to any incarnation.
func (a *fakeAgent) receive(from *fakeGateway, ref *structs.AgentRef, most time.Duration, run func()) {
	w := a.w
	if w.cut[string(from.id)+">"+string(a.id)] {
		return
	}
	var arrive func()
	arrive = func() {
		if w.now < a.paused {
			w.after(a.paused-w.now, arrive)
			return
		}
		if ref == nil || *ref == a.ref {
			run()
		}
	}
	w.after(w.delay(most), arrive)
}

func (a *fakeAgent) send(to *fakeGateway, run func()) {
	inc := to.ref.Incarnation
	if !a.w.cut[string(a.id)+">"+string(to.id)] {
		a.w.after(a.w.delay(400*time.Millisecond), func() { to.receive(inc, run) })
	}
}

func (a *fakeAgent) heartbeat(from *fakeGateway, gateway structs.GatewayRef, seq int, ack AgentAck, detached bool) {
	if seq <= a.lastSeq[gateway] {
		return
	}
	a.lastSeq[gateway] = seq
	a.heard = a.w.now
	ack.Agent = a.ref
	if ack.Epoch < a.promised {
		ack.Epoch = 0
	} else {
		a.detached[ack.Epoch] = detached
	}
	a.send(from, func() { from.hear(ack) })
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
	w := a.w
	if epoch < a.promised || w.now-a.heard > structs.AgentContactTimeout {
		return
	}
	a.records[key] = true
	w.note("%s accepts %s of epoch %d sent %.3f", a.ref, key.String()[4:24], epoch, sentAt.Seconds())
	w.accept(epoch, key, sentAt)
}

// accept checks the properties in terms of what agents accepted.
func (w *world) accept(epoch structs.Epoch, key structs.KeyHash, sentAt time.Duration) {
	w.counts["accepted"]++
	w.lastAccept = w.now
	if earlier, ok := w.accepted[key]; ok {
		w.fail("key %s accepted twice: epochs %d and %d", key, earlier.epoch, epoch)
	}
	w.accepted[key] = accepted{epoch: epoch, sentAt: sentAt}
	for other, first := range w.firstSent {
		if other > epoch && first <= sentAt {
			w.fail("accepted starts of two gateways: epoch %d sent at %s, epoch %d from %s on", epoch, sentAt, other, first)
		}
	}
	for other, last := range w.lastSent {
		if other < epoch && last >= sentAt {
			w.fail("accepted starts of two gateways: epoch %d sent at %s, epoch %d until %s", epoch, sentAt, other, last)
		}
	}
	if first, ok := w.firstSent[epoch]; !ok || sentAt < first {
		w.firstSent[epoch] = sentAt
	}
	w.lastSent[epoch] = max(w.lastSent[epoch], sentAt)
	for later := range w.adoptions {
		w.checkKnown(key, later)
	}
}

// checkKnown checks that an accepted key of an earlier owner is known or in doubt at a later one.
func (w *world) checkKnown(key structs.KeyHash, later structs.Epoch) {
	a := w.adoptions[later]
	if w.accepted[key].epoch >= later || w.now-w.keys[key] > keyLifetime || a.records[key] {
		return
	}
	known := (a.journal[key] || ticketEpoch(key) > 0) && !a.adopt.Complete
	doubt := !a.journal[key] && a.adopt.KeysMayBeMissing
	if !known && !doubt {
		w.fail("key %s, accepted under epoch %d, looks unstarted to epoch %d: journaled %t complete %t doubt %t", key,
			w.accepted[key].epoch, later, a.journal[key], a.adopt.Complete, a.adopt.KeysMayBeMissing)
	}
}

func (w *world) adopted(epoch structs.Epoch, adopt dispatch.Adopt) adoption {
	a := adoption{adopt: adopt, journal: map[structs.KeyHash]bool{}, records: map[structs.KeyHash]bool{}}
	for _, entry := range adopt.Journal {
		a.journal[entry.Key] = true
	}
	for _, records := range adopt.Records {
		for _, job := range records.Jobs {
			a.records[job.Key] = true
		}
	}
	w.adoptions[epoch] = a
	for key := range w.accepted {
		w.checkKnown(key, epoch)
	}
	return a
}

// fakeGateway is the shell around a Machine with a minimal dispatcher of jobs of one task.
type fakeGateway struct {
	w   *world
	id  structs.GatewayID
	ref structs.GatewayRef
	m   *Machine
	// full gets the same inputs as m and evaluates everything at each of them.
	full    *Machine
	booted  time.Duration
	paused  time.Duration
	down    bool
	lease   uint64
	calling bool
	seq     int
	linked  map[structs.AgentID]structs.AgentRef
	heard   map[structs.AgentID]time.Duration
	// The dispatcher's memory of the owned epoch.
	adoption adoption
	eligible map[structs.AgentRef]bool
	state    map[structs.KeyHash]keyState
	queue    []structs.KeyHash
	writing  bool
	handed   map[structs.KeyHash]keyState
	handedTo structs.Epoch
}

// ticketEpoch returns the epoch that issued a key as a ticket, 0 for a key chosen by a client. Tickets start without the
// journal.
func ticketEpoch(key structs.KeyHash) structs.Epoch {
	return structs.Epoch(binary.BigEndian.Uint32(key[8:]))
}

type keyState uint8

const (
	keyWaiting keyState = iota + 1
	keyJournaled
	keyStarted
	keyInDoubt
)

func (g *fakeGateway) restart() {
	*g = fakeGateway{w: g.w, id: g.id, ref: structs.GatewayRef{ID: g.id, Incarnation: g.w.incarnation()}, booted: g.w.now}
	g.linked = map[structs.AgentID]structs.AgentRef{}
	g.heard = map[structs.AgentID]time.Duration{}
	g.m, g.full = New(g.now(), g.ref), New(g.now(), g.ref)
	g.forget()
	g.step(PoolConfigured{Pool: testPool})
	g.every(tickInterval, g.tick)
	g.every(LeaseRenewal, g.renew)
	g.every(structs.HeartbeatInterval, g.heartbeat)
	// Slow watches let an owner renew its lease for a while after another has taken over.
	g.every([]time.Duration{130 * time.Millisecond, time.Second, 4 * time.Second}[g.w.random.IntN(3)], g.watch)
}

// now is the gateway's own monotonic clock.
func (g *fakeGateway) now() time.Duration { return g.w.now - g.booted + time.Second }

// receive runs what a message or timer does when the gateway is not paused and still the same incarnation.
func (g *fakeGateway) receive(inc structs.Incarnation, run func()) {
	if g.ref.Incarnation != inc || g.down {
		return
	}
	if g.w.now < g.paused {
		g.w.after(g.paused-g.w.now, func() { g.receive(inc, run) })
		return
	}
	run()
}

func (g *fakeGateway) every(interval time.Duration, run func()) {
	inc := g.ref.Incarnation
	g.w.after(interval, func() {
		g.receive(inc, func() { run(); g.every(interval, run) })
	})
}

func (g *fakeGateway) forget() {
	g.eligible = map[structs.AgentRef]bool{}
	g.state = map[structs.KeyHash]keyState{}
	g.queue = nil
}

// step passes an input to the machine and checks that it orders the same as a machine that looks at every agent each
// time. This guards against a change of state after which a part of the evaluation is wrongly left out.
func (g *fakeGateway) step(in Input) {
	actions := g.m.Step(g.now(), in)
	for _, p := range g.full.order {
		p.invalidate()
	}
	if whole := g.full.Step(g.now(), in); !reflect.DeepEqual(actions, whole) {
		g.w.fail("%s on %T: incremental evaluation orders %v, full evaluation %v", g.ref, in, actions, whole)
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
		agent := g.w.agent(action.Agent.ID)
		agent.receive(g, &action.Agent, time.Second, func() { agent.fence(g, action.Fence) })
	case ReadJournal:
		g.readJournal(action)
	case Acquired:
		g.w.note("%s acquires epoch %d", g.ref, action.Epoch)
		g.forget()
	case Adopted:
		g.w.note("%s adopts epoch %d: complete %t doubt %t", g.ref, action.Epoch, action.Adopt.Complete, action.Adopt.KeysMayBeMissing)
		g.w.counts[fmt.Sprintf("adopted complete=%t doubt=%t", action.Adopt.Complete, action.Adopt.KeysMayBeMissing)]++
		for _, other := range g.w.gateways {
			if _, mode, _ := other.m.Mode(testPool, other.now()); other != g && mode == dispatch.Detached {
				g.w.counts["adopted beside a detached owner"]++
			}
		}
		g.adoption = g.w.adopted(action.Epoch, action.Adopt)
		if g.handedTo == action.Epoch {
			g.state = g.handed
			// The successor journals again what the snapshot does not prove to be journaled.
			g.queue = slices.DeleteFunc(slices.SortedFunc(mapKeys(g.handed), compareKeys),
				func(key structs.KeyHash) bool { return ticketEpoch(key) > 0 })
		}
	case ModeChanged:
		g.w.counts[fmt.Sprintf("mode %d", action.Mode)]++
		g.w.note("%s mode %d under epoch %d", g.ref, action.Mode, action.Epoch)
	case EligibleChanged:
		g.eligible[action.Agent] = action.Eligible
	case OwnershipLost:
		g.w.note("%s loses epoch %d", g.ref, action.Epoch)
		g.forget()
	}
}

func (g *fakeGateway) put(action PutRecord) {
	ok := false
	g.w.note("%s writes epoch %d owner %s roster %v expecting %d", g.ref, action.Record.Epoch, action.Record.Owner,
		action.Record.Roster, action.ExpectedVersion)
	g.call(callTimeout, func() { ok = g.w.store.putRecord(action.Record, action.ExpectedVersion) }, func(answered bool) {
		if answered && ok {
			g.step(PutResult{Record: action.Record, OK: true, Version: action.ExpectedVersion + 1})
			return
		}
		g.readBack(action)
	})
}

func (g *fakeGateway) readBack(action PutRecord) {
	var seen snapshot
	g.call(callTimeout, func() { seen = g.w.read() }, func(answered bool) {
		if !answered {
			g.readBack(action)
			return
		}
		seen.record.Pool = testPool
		g.step(PutResult{Record: seen.record, OK: seen.record.Write == action.Record.Write, Version: seen.version})
	})
}

func (g *fakeGateway) readJournal(action ReadJournal) {
	var entries []dispatch.JournalEntry
	g.call(callTimeout, func() {
		entries = nil
		for key := range g.w.store.journal {
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
	if g.calling {
		return
	}
	g.calling = true
	sentAt := g.now()
	s := &g.w.store
	if g.lease == 0 {
		g.grant(sentAt)
		return
	}
	alive := false
	lease := g.lease
	g.call(renewTimeout, func() {
		if alive = s.leases[lease] > g.w.now; alive {
			s.leases[lease] = g.w.now + LeaseTTL
		}
	}, func(answered bool) {
		g.calling = false
		switch {
		case answered && alive:
			g.step(LeaseRenewed{SentAt: sentAt})
		case answered:
			g.lease = 0
			g.step(LeaseExpired{})
		}
	})
}

// grant gets a lease with its member key. A key of an earlier incarnation or lease must end first.
func (g *fakeGateway) grant(sentAt time.Duration) {
	s := &g.w.store
	lease := uint64(0)
	ref := g.ref
	g.call(renewTimeout, func() {
		for member := range s.members {
			if member.ID == ref.ID {
				return
			}
		}
		s.next++
		lease = s.next
		s.leases[lease] = g.w.now + LeaseTTL
		s.members[ref] = lease
		s.changed()
		g.w.after(LeaseTTL, func() { s.expire(g.w.now) })
	}, func(answered bool) {
		g.calling = false
		if answered && lease != 0 {
			g.lease = lease
			g.step(LeaseRenewed{SentAt: sentAt})
		}
	})
}

func (g *fakeGateway) watch() {
	var members, record snapshot
	var revision uint64
	g.call(callTimeout, func() { members, record, revision = g.w.read(), g.w.read(), g.w.store.revision }, func(answered bool) {
		if !answered {
			return
		}
		if members.memberRevision == g.w.store.memberRevision {
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
	for _, agent := range g.w.agents {
		agent.receive(g, nil, time.Second, func() { agent.heartbeat(g, gateway, seq, ack, detached) })
	}
}

func (g *fakeGateway) hear(ack AgentAck) {
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
	g.heard[id] = g.now()
	g.step(ack)
}

func (g *fakeGateway) tick() {
	for _, agent := range g.w.agents {
		if ref, ok := g.linked[agent.id]; ok && g.now()-g.heard[agent.id] >= structs.LostAfter {
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
	// One start at a time leaves admitted keys waiting while faults happen.
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
		g.state[key] = keyInDoubt
	case g.adoption.journal[key] && g.adoption.adopt.Complete:
		g.state[key] = keyJournaled
	case g.adoption.journal[key] || g.adoption.adopt.KeysMayBeMissing:
		g.state[key] = keyInDoubt
	default:
		g.state[key] = keyWaiting
		g.queue = append(g.queue, key)
	}
}

func (g *fakeGateway) tryStart(key structs.KeyHash) bool {
	state := g.state[key]
	epoch, mode, ok := g.m.Mode(testPool, g.now())
	allowed := mode == dispatch.Detached || (mode == dispatch.Attached && state == keyJournaled)
	if !ok || !allowed || (state != keyWaiting && state != keyJournaled) {
		return false
	}
	for _, i := range g.w.random.Perm(len(g.w.agents)) {
		agent := g.w.agents[i]
		ref, linked := g.linked[agent.id]
		if !linked || !g.eligible[ref] {
			continue
		}
		g.state[key] = keyStarted
		g.w.counts[fmt.Sprintf("started in mode %d", mode)]++
		sentAt := g.w.now
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
			g.w.store.journal[key] = true
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

// release hands the pool over: the snapshot is taken before the machine is told.
func (g *fakeGateway) release(to *fakeGateway) {
	epoch, mode, ok := g.m.Mode(testPool, g.now())
	if !ok || (mode != dispatch.Attached && mode != dispatch.Detached) || to == g || to.down {
		return
	}
	to.handed = map[structs.KeyHash]keyState{}
	for key, state := range g.state {
		to.handed[key] = state
	}
	to.handedTo = epoch + 1
	g.w.note("%s hands over to %s", g.ref, to.ref)
	g.step(Release{Pool: testPool, Successor: to.ref})
}

func (w *world) agent(id structs.AgentID) *fakeAgent {
	for _, agent := range w.agents {
		if agent.id == id {
			return agent
		}
	}
	panic("unknown agent " + id)
}
