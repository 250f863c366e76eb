package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/ownership"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

// Limits and timing of the pool manager.
const (
	// ownershipQueue limits the inputs queued for the ownership machine.
	ownershipQueue = 8192
	// ownershipBatch limits the inputs processed as one batch.
	ownershipBatch = 512
	// ownershipTick is the longest time between two inputs to the ownership machine.
	ownershipTick = 50 * time.Millisecond
	// putTimeout limits one store call for a pool record, readBackPause is the pause between attempts to read a record
	// back.
	putTimeout    = time.Second
	readBackPause = 100 * time.Millisecond
	// handoverLifetime is how long a received snapshot is kept until this gateway acquires the pool.
	handoverLifetime = 30 * time.Second
)

// poolManager runs the ownership machine and manages the runners of the owned pools.
type poolManager struct {
	g      *Gateway
	inputs chan ownership.Input

	// mu guards the machine and deferred. Pool runners query the machine for their mode before they start tasks.
	mu      sync.Mutex
	machine *ownership.Machine
	// deferred holds the actions that stepNow has produced. The loop executes them before the actions of later steps.
	deferred []ownership.Action

	// poolsMu guards the fields below.
	poolsMu   sync.RWMutex
	runners   map[structs.PoolID]*poolRunner
	handovers map[structs.PoolID]receivedHandover
	// changed is closed and replaced whenever the ownership of a pool changes.
	changed chan struct{}
}

// receivedHandover is the snapshot of a pool that another gateway hands over to this one.
type receivedHandover struct {
	epoch structs.Epoch
	jobs  []structs.HandoverJob
	// parts is the number of parts received.
	parts      uint32
	complete   bool
	receivedAt time.Duration
}

func newPoolManager(g *Gateway) *poolManager {
	return &poolManager{
		g:         g,
		inputs:    make(chan ownership.Input, ownershipQueue),
		machine:   ownership.New(0, g.self),
		runners:   map[structs.PoolID]*poolRunner{},
		handovers: map[structs.PoolID]receivedHandover{},
		changed:   make(chan struct{}),
	}
}

// push queues an input and waits while the queue is full.
func (m *poolManager) push(ctx context.Context, in ownership.Input) {
	select {
	case m.inputs <- in:
	case <-ctx.Done():
	}
}

// run is the loop of the ownership machine.
func (m *poolManager) run(ctx context.Context) error {
	ticker := time.NewTicker(ownershipTick)
	defer ticker.Stop()
	batch := make([]ownership.Input, 0, ownershipBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			m.endRunners()
			return nil
		case <-ticker.C:
			batch = append(batch, ownership.Tick{})
		case in := <-m.inputs:
			batch = append(batch, in)
		}
		batch = m.drain(batch)
		m.execute(ctx, m.step(batch))
	}
}

// drain adds the queued inputs to the batch without waiting.
func (m *poolManager) drain(batch []ownership.Input) []ownership.Input {
	for len(batch) < ownershipBatch {
		select {
		case in := <-m.inputs:
			batch = append(batch, in)
		default:
			return batch
		}
	}
	return batch
}

// step passes a batch of inputs to the machine and returns the resulting actions.
func (m *poolManager) step(batch []ownership.Input) []ownership.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	actions := m.deferred
	m.deferred = nil
	for _, in := range batch {
		actions = append(actions, m.machine.Step(m.g.now(), in)...)
	}
	return actions
}

// stepNow passes an input to the machine in the calling goroutine. The loop executes the resulting actions.
func (m *poolManager) stepNow(in ownership.Input) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deferred = append(m.deferred, m.machine.Step(m.g.now(), in)...)
}

// execute carries out the machine's actions. It holds no lock while it waits for space in a runner's queue.
func (m *poolManager) execute(ctx context.Context, actions []ownership.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case ownership.PutRecord:
			m.g.spawn(func() { m.putRecord(ctx, a) })
		case ownership.SendFence:
			m.g.agents.send(a.Agent, link.Control, structs.TypeFence, a.Fence)
		case ownership.ReadJournal:
			if r := m.runner(a.Pool); r != nil && r.epoch == a.Epoch {
				m.g.spawn(func() { r.readJournal(r.ctx) })
			}
		case ownership.Acquired:
			m.acquired(ctx, a)
		case ownership.Adopted:
			m.adopted(a)
		case ownership.ModeChanged:
			m.modeChanged(a)
		case ownership.EligibleChanged:
			if r := m.runner(a.Pool); r != nil {
				r.send(eligibilityChange{agent: a.Agent, eligible: a.Eligible})
			}
		case ownership.PoolLost:
			m.ownershipLost(a)
		}
	}
}

// acquired starts a runner for a pool that this gateway now owns.
func (m *poolManager) acquired(ctx context.Context, a ownership.Acquired) {
	_ = level.Info(m.g.logger).Log("msg", "pool acquired", "pool", a.Pool, "epoch", a.Epoch, "handover", a.Handover)
	r := newPoolRunner(ctx, m.g, a.Pool, a.Epoch)
	m.poolsMu.Lock()
	old := m.runners[a.Pool]
	m.runners[a.Pool] = r
	m.poolsMu.Unlock()
	if old != nil {
		old.end()
	}
	r.configure(m.g.config.current(), m.g.agents.ofPool(a.Pool))
	m.g.spawn(r.run)
	m.g.spawn(func() { r.writeJournal(r.ctx) })
	m.ownershipChanged()
}

// adopted ends the recovery of a pool. If the previous owner has handed over a snapshot, the pool is restored from it.
func (m *poolManager) adopted(a ownership.Adopted) {
	r := m.runner(a.Pool)
	if r == nil || r.epoch != a.Epoch {
		return
	}
	m.poolsMu.Lock()
	received := m.handovers[a.Pool]
	delete(m.handovers, a.Pool)
	m.poolsMu.Unlock()
	// A snapshot from any other epoch than the previous one is outdated.
	restore := received.complete && received.epoch+1 == a.Epoch
	_ = level.Info(m.g.logger).Log("msg", "pool recovered", "pool", a.Pool, "epoch", a.Epoch,
		"complete", a.Adopt.Complete, "doubt", a.Adopt.KeysMayBeMissing, "snapshot", restore)
	if restore {
		r.send(dispatch.Restore{Jobs: received.jobs, Collection: a.Adopt})
	} else {
		r.send(a.Adopt)
	}
	m.ownershipChanged()
}

// modeNames are the names of the modes in log lines.
var modeNames = map[dispatch.Mode]string{
	dispatch.Recovering: "recovering", dispatch.Attached: "attached", dispatch.Detached: "detached",
	dispatch.Suspended: "suspended",
}

func (m *poolManager) modeChanged(a ownership.ModeChanged) {
	_ = level.Info(m.g.logger).Log("msg", "pool mode changed", "pool", a.Pool, "epoch", a.Epoch,
		"mode", modeNames[a.Mode])
	r := m.runner(a.Pool)
	if r != nil && r.epoch == a.Epoch {
		r.send(modeChange{a.Mode})
	}
	m.g.agents.wake()
	m.ownershipChanged()
}

// ownershipLost ends the runner of a pool that this gateway no longer owns.
func (m *poolManager) ownershipLost(a ownership.PoolLost) {
	_ = level.Warn(m.g.logger).Log("msg", "pool ownership lost", "pool", a.Pool, "epoch", a.Epoch)
	m.poolsMu.Lock()
	r := m.runners[a.Pool]
	if r != nil && r.epoch <= a.Epoch {
		delete(m.runners, a.Pool)
	}
	m.poolsMu.Unlock()
	if r != nil && r.epoch <= a.Epoch {
		r.end()
	}
	m.ownershipChanged()
}

// endRunners ends all pool runners when the gateway ends.
func (m *poolManager) endRunners() {
	for _, r := range m.all() {
		r.end()
	}
}

// runner returns the runner of an owned pool, or nil if this gateway does not own the pool.
func (m *poolManager) runner(pool structs.PoolID) *poolRunner {
	m.poolsMu.RLock()
	defer m.poolsMu.RUnlock()
	return m.runners[pool]
}

// all returns the runners of all owned pools.
func (m *poolManager) all() []*poolRunner {
	m.poolsMu.RLock()
	defer m.poolsMu.RUnlock()
	list := make([]*poolRunner, 0, len(m.runners))
	for _, r := range m.runners {
		list = append(list, r)
	}
	return list
}

// storeHandoverPart stores one part of a received snapshot until the pool is acquired. It returns false for a part that
// does not follow the previous one.
func (m *poolManager) storeHandoverPart(h *structs.Handover) bool {
	m.poolsMu.Lock()
	defer m.poolsMu.Unlock()
	now := m.g.now()
	for pool, old := range m.handovers {
		if now-old.receivedAt > handoverLifetime {
			delete(m.handovers, pool)
		}
	}
	received := receivedHandover{epoch: h.Epoch}
	if h.Part > 0 {
		received = m.handovers[h.Pool]
	}
	if received.epoch != h.Epoch || received.parts != h.Part || received.complete {
		return false
	}
	received.receivedAt, received.complete = now, h.Last
	received.parts++
	received.jobs = append(received.jobs, h.Jobs...)
	m.handovers[h.Pool] = received
	return true
}

// mode returns the pool's epoch and mode, and whether this gateway owns the pool. The mode determines whether tasks may
// be started now. The machine compares with the clock, so a process that was paused learns here that its right to start
// tasks has expired.
func (m *poolManager) mode(pool structs.PoolID) (structs.Epoch, dispatch.Mode, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Mode(pool, m.g.now())
}

// owner returns the owner of a pool, as far as this gateway knows.
func (m *poolManager) owner(pool structs.PoolID) (structs.GatewayRef, structs.Epoch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Owner(pool)
}

// heartbeatFields returns the fields of a GatewayHeartbeat that depend on the pool. The epoch is announced only once
// the runner exists, since agents send events as soon as they see the epoch.
func (m *poolManager) heartbeatFields(pool structs.PoolID) (structs.Epoch, bool) {
	r := m.runner(pool)
	m.mu.Lock()
	defer m.mu.Unlock()
	epoch, _, owned := m.machine.Mode(pool, m.g.now())
	if !owned || r == nil || r.epoch != epoch {
		return 0, false
	}
	return epoch, m.machine.DetachedFlag(pool)
}

// hasMajority reports whether this gateway sees a majority of the pool's roster.
func (m *poolManager) hasMajority(pool structs.PoolID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.HasMajority(pool, m.g.now())
}

// ownedPools lists the pools of this gateway for heartbeats to peers.
func (m *poolManager) ownedPools() []structs.OwnedPool {
	var list []structs.OwnedPool
	for _, r := range m.all() {
		epoch, mode, ok := m.mode(r.pool)
		serving := mode == dispatch.Attached || mode == dispatch.Detached
		if ok {
			list = append(list, structs.OwnedPool{Pool: r.pool, Epoch: epoch, Serving: serving})
		}
	}
	return list
}

// ownershipChanged wakes the requests that wait for a pool's owner.
func (m *poolManager) ownershipChanged() {
	m.poolsMu.Lock()
	defer m.poolsMu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// ownershipChange returns a channel that is closed when the ownership of any pool changes.
func (m *poolManager) ownershipChange() <-chan struct{} {
	m.poolsMu.RLock()
	defer m.poolsMu.RUnlock()
	return m.changed
}

// putRecord writes a pool record and reports the result. After an unconfirmed write it reads the record back until the
// store answers: the machine has at most one write per pool in flight and must know its outcome.
func (m *poolManager) putRecord(ctx context.Context, a ownership.PutRecord) {
	value, err := json.Marshal(a.Record)
	if err != nil {
		_ = level.Error(m.g.logger).Log("msg", "failed to encode pool record", "pool", a.Record.Pool, "err", err)
		return
	}
	key := recordKey(a.Record.Pool)
	callCtx, cancel := context.WithTimeout(ctx, putTimeout)
	version, err := m.g.options.Store.Put(callCtx, key, value, a.ExpectedVersion, 0)
	cancel()
	if err == nil {
		m.push(ctx, ownership.PutResult{Record: a.Record, OK: true, Version: version})
		return
	}
	_ = level.Info(m.g.logger).Log("msg", "pool record write not confirmed", "pool", a.Record.Pool, "err", err)
	for ctx.Err() == nil && !m.readBack(ctx, key, value, a) {
		ctxtime.Sleep(ctx, readBackPause)
	}
}

// readBack determines the outcome of an unconfirmed write and reports whether the outcome is known.
func (m *poolManager) readBack(ctx context.Context, key string, value []byte, a ownership.PutRecord) bool {
	callCtx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	entry, err := m.g.options.Store.Get(callCtx, key)
	if store.IsKind(err, store.KindNotFound) {
		m.push(ctx, ownership.PutResult{Record: a.Record})
		return true
	}
	if err != nil {
		return false
	}
	record, ok := m.g.parseRecord(entry)
	if !ok {
		return false
	}
	if entry.Version > a.ExpectedVersion && bytes.Equal(entry.Value, value) {
		m.push(ctx, ownership.PutResult{Record: a.Record, OK: true, Version: entry.Version})
		return true
	}
	m.push(ctx, ownership.ObservedRecord{Record: record, Version: entry.Version, Revision: entry.Revision})
	m.push(ctx, ownership.PutResult{Record: record, Version: entry.Version})
	return true
}
