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

// Bounds of the control duty.
const (
	// ownershipQueue bounds the inputs that wait for the ownership machine.
	ownershipQueue = 8192
	// ownershipBatch bounds the inputs of one batch.
	ownershipBatch = 512
	// ownershipTick is the longest time between two inputs of the machine.
	ownershipTick = 50 * time.Millisecond
	// putTimeout bounds one store call for a pool record, readBackPause the pause between attempts to read back.
	putTimeout    = time.Second
	readBackPause = 100 * time.Millisecond
	// handoffLifetime is how long a received snapshot waits for the ownership of its pool.
	handoffLifetime = 30 * time.Second
)

// poolManager runs the ownership machine and the runners of the owned pools.
type poolManager struct {
	g      *Gateway
	inputs chan ownership.Input

	// mu guards the machine. Pool runners ask it for their mode before they start tasks.
	mu      sync.Mutex
	machine *ownership.Machine
	// deferred are the actions of stepNow, which the control duty carries out before those of later steps.
	deferred []ownership.Action

	// poolsMu guards the fields below.
	poolsMu  sync.RWMutex
	runners  map[structs.PoolID]*poolRunner
	handoffs map[structs.PoolID]receivedHandoff
	// changed is closed and replaced when an ownership changes.
	changed chan struct{}
}

// receivedHandoff is the snapshot of a pool that this gateway is to take over.
type receivedHandoff struct {
	epoch    structs.Epoch
	jobs     []structs.HandoffJob
	parts    uint32
	complete bool
	at       time.Duration
}

func newPoolManager(g *Gateway) *poolManager {
	return &poolManager{
		g:        g,
		inputs:   make(chan ownership.Input, ownershipQueue),
		machine:  ownership.New(0, g.self),
		runners:  map[structs.PoolID]*poolRunner{},
		handoffs: map[structs.PoolID]receivedHandoff{},
		changed:  make(chan struct{}),
	}
}

// push queues an input, waiting if the queue is full.
func (c *poolManager) push(ctx context.Context, in ownership.Input) {
	select {
	case c.inputs <- in:
	case <-ctx.Done():
	}
}

// run is the duty of the ownership machine.
func (c *poolManager) run(ctx context.Context) error {
	ticker := time.NewTicker(ownershipTick)
	defer ticker.Stop()
	batch := make([]ownership.Input, 0, ownershipBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			c.endRunners()
			return nil
		case <-ticker.C:
			batch = append(batch, ownership.Tick{})
		case in := <-c.inputs:
			batch = append(batch, in)
		}
		batch = c.drain(batch)
		c.execute(ctx, c.step(batch))
	}
}

func (c *poolManager) drain(batch []ownership.Input) []ownership.Input {
	for len(batch) < ownershipBatch {
		select {
		case in := <-c.inputs:
			batch = append(batch, in)
		default:
			return batch
		}
	}
	return batch
}

func (c *poolManager) step(batch []ownership.Input) []ownership.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	actions := c.deferred
	c.deferred = nil
	for _, in := range batch {
		actions = append(actions, c.machine.Step(c.g.now(), in)...)
	}
	return actions
}

// stepNow passes an input to the machine in the caller's goroutine. The control duty carries out the actions.
func (c *poolManager) stepNow(in ownership.Input) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deferred = append(c.deferred, c.machine.Step(c.g.now(), in)...)
}

// execute carries out the machine's orders. It holds no lock while it waits for a runner's queue.
func (c *poolManager) execute(ctx context.Context, actions []ownership.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case ownership.PutRecord:
			c.g.spawn(func() { c.putRecord(ctx, a) })
		case ownership.SendFence:
			c.g.agents.send(a.Agent, link.Control, structs.TypeFence, a.Fence)
		case ownership.ReadJournal:
			if r := c.runner(a.Pool); r != nil && r.epoch == a.Epoch {
				c.g.spawn(func() { r.readJournal(r.ctx) })
			}
		case ownership.Acquired:
			c.acquired(ctx, a)
		case ownership.Adopted:
			c.adopted(a)
		case ownership.ModeChanged:
			c.modeChanged(a)
		case ownership.EligibleChanged:
			if r := c.runner(a.Pool); r != nil {
				r.send(eligibilityChange{agent: a.Agent, eligible: a.Eligible})
			}
		case ownership.Lost:
			c.ownershipLost(a)
		}
	}
}

func (c *poolManager) acquired(ctx context.Context, a ownership.Acquired) {
	_ = level.Info(c.g.logger).Log("msg", "pool acquired", "pool", a.Pool, "epoch", a.Epoch, "handover", a.Handover)
	r := newPoolRunner(ctx, c.g, a.Pool, a.Epoch)
	c.poolsMu.Lock()
	old := c.runners[a.Pool]
	c.runners[a.Pool] = r
	c.poolsMu.Unlock()
	if old != nil {
		old.end()
	}
	r.configure(c.g.config.current(), c.g.agents.ofPool(a.Pool))
	c.g.spawn(r.run)
	c.g.spawn(func() { r.writeJournal(r.ctx) })
	c.ownershipChanged()
}

func (c *poolManager) adopted(a ownership.Adopted) {
	r := c.runner(a.Pool)
	if r == nil || r.epoch != a.Epoch {
		return
	}
	c.poolsMu.Lock()
	received := c.handoffs[a.Pool]
	delete(c.handoffs, a.Pool)
	c.poolsMu.Unlock()
	restore := received.complete && received.epoch+1 == a.Epoch
	_ = level.Info(c.g.logger).Log("msg", "pool recovered", "pool", a.Pool, "epoch", a.Epoch,
		"complete", a.Adopt.Complete, "doubt", a.Adopt.KeysMayBeMissing, "snapshot", restore)
	if restore {
		r.send(dispatch.Restore{Jobs: received.jobs, Collection: a.Adopt})
	} else {
		r.send(a.Adopt)
	}
	c.ownershipChanged()
}

// modeNames are the words for modes in log lines.
var modeNames = map[dispatch.Mode]string{
	dispatch.Recovering: "recovering", dispatch.Attached: "attached", dispatch.Detached: "detached",
	dispatch.Suspended: "suspended",
}

func (c *poolManager) modeChanged(a ownership.ModeChanged) {
	_ = level.Info(c.g.logger).Log("msg", "pool mode changed", "pool", a.Pool, "epoch", a.Epoch,
		"mode", modeNames[a.Mode])
	r := c.runner(a.Pool)
	if r != nil && r.epoch == a.Epoch {
		r.send(modeChange{a.Mode})
	}
	c.g.agents.wake()
	c.ownershipChanged()
}

func (c *poolManager) ownershipLost(a ownership.Lost) {
	_ = level.Warn(c.g.logger).Log("msg", "pool lost", "pool", a.Pool, "epoch", a.Epoch)
	c.poolsMu.Lock()
	r := c.runners[a.Pool]
	if r != nil && r.epoch <= a.Epoch {
		delete(c.runners, a.Pool)
	}
	c.poolsMu.Unlock()
	if r != nil && r.epoch <= a.Epoch {
		r.end()
	}
	c.ownershipChanged()
}

// endRunners ends the runners when the gateway ends.
func (c *poolManager) endRunners() {
	for _, r := range c.all() {
		r.end()
	}
}

// runner returns the runner of an owned pool or nil.
func (c *poolManager) runner(pool structs.PoolID) *poolRunner {
	c.poolsMu.RLock()
	defer c.poolsMu.RUnlock()
	return c.runners[pool]
}

// all returns the runners of all owned pools.
func (c *poolManager) all() []*poolRunner {
	c.poolsMu.RLock()
	defer c.poolsMu.RUnlock()
	list := make([]*poolRunner, 0, len(c.runners))
	for _, r := range c.runners {
		list = append(list, r)
	}
	return list
}

// storeHandoffPart stores a part of a received snapshot until the pool is acquired. It reports false for a part that does
// not follow the one before.
func (c *poolManager) storeHandoffPart(h *structs.Handoff) bool {
	c.poolsMu.Lock()
	defer c.poolsMu.Unlock()
	now := c.g.now()
	for pool, old := range c.handoffs {
		if now-old.at > handoffLifetime {
			delete(c.handoffs, pool)
		}
	}
	received := receivedHandoff{epoch: h.Epoch}
	if h.Part > 0 {
		received = c.handoffs[h.Pool]
	}
	if received.epoch != h.Epoch || received.parts != h.Part || received.complete {
		return false
	}
	received.at, received.complete = now, h.Last
	received.parts++
	received.jobs = append(received.jobs, h.Jobs...)
	c.handoffs[h.Pool] = received
	return true
}

// mode returns the right to start tasks at this moment. The machine compares with the clock, so a process that was
// paused learns here that its right has lapsed.
func (c *poolManager) mode(pool structs.PoolID) (structs.Epoch, dispatch.Mode, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Mode(pool, c.g.now())
}

// owner returns the owner of a pool as far as this gateway knows.
func (c *poolManager) owner(pool structs.PoolID) (structs.GatewayRef, structs.Epoch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Owner(pool)
}

// heartbeatFields returns the pool-dependent fields of a GatewayHeartbeat. The epoch is announced only when the runner is
// there to take the events that agents then send.
func (c *poolManager) heartbeatFields(pool structs.PoolID) (structs.Epoch, bool) {
	r := c.runner(pool)
	c.mu.Lock()
	defer c.mu.Unlock()
	epoch, _, owned := c.machine.Mode(pool, c.g.now())
	if !owned || r == nil || r.epoch != epoch {
		return 0, false
	}
	return epoch, c.machine.DetachedFlag(pool)
}

// hasMajority reports whether this gateway sees a majority of the pool's roster.
func (c *poolManager) hasMajority(pool structs.PoolID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.HasMajority(pool, c.g.now())
}

// ownedPools lists the pools of this gateway for heartbeats to peers.
func (c *poolManager) ownedPools() []structs.OwnedPool {
	var list []structs.OwnedPool
	for _, r := range c.all() {
		epoch, mode, ok := c.mode(r.pool)
		serving := mode == dispatch.Attached || mode == dispatch.Detached
		if ok {
			list = append(list, structs.OwnedPool{Pool: r.pool, Epoch: epoch, Serving: serving})
		}
	}
	return list
}

// ownershipChanged wakes requests that wait for an owner.
func (c *poolManager) ownershipChanged() {
	c.poolsMu.Lock()
	defer c.poolsMu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// ownershipChange returns a channel that is closed at the next ownershipChange of an ownership.
func (c *poolManager) ownershipChange() <-chan struct{} {
	c.poolsMu.RLock()
	defer c.poolsMu.RUnlock()
	return c.changed
}

// putRecord writes a pool record and reports the result. If the write was not confirmed, the record is read back
// until the store answers: the machine has at most one write of a pool in flight and must know how it ended.
func (c *poolManager) putRecord(ctx context.Context, a ownership.PutRecord) {
	value, err := json.Marshal(a.Record)
	if err != nil {
		_ = level.Error(c.g.logger).Log("msg", "pool record cannot be encoded", "pool", a.Record.Pool, "err", err)
		return
	}
	key := recordKey(a.Record.Pool)
	callCtx, cancel := context.WithTimeout(ctx, putTimeout)
	version, err := c.g.options.Store.Put(callCtx, key, value, a.ExpectedVersion, 0)
	cancel()
	if err == nil {
		c.push(ctx, ownership.PutResult{Record: a.Record, OK: true, Version: version})
		return
	}
	_ = level.Info(c.g.logger).Log("msg", "pool record not confirmed", "pool", a.Record.Pool, "err", err)
	for ctx.Err() == nil && !c.readBack(ctx, key, value, a) {
		ctxtime.Sleep(ctx, readBackPause)
	}
}

// readBack resolves a write without confirmation and reports whether it is resolved.
func (c *poolManager) readBack(ctx context.Context, key string, value []byte, a ownership.PutRecord) bool {
	callCtx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	entry, err := c.g.options.Store.Get(callCtx, key)
	if store.IsKind(err, store.KindNotFound) {
		c.push(ctx, ownership.PutResult{Record: a.Record})
		return true
	}
	if err != nil {
		return false
	}
	record, ok := c.g.parseRecord(entry)
	if !ok {
		return false
	}
	if entry.Version > a.ExpectedVersion && bytes.Equal(entry.Value, value) {
		c.push(ctx, ownership.PutResult{Record: a.Record, OK: true, Version: entry.Version})
		return true
	}
	c.push(ctx, ownership.ObservedRecord{Record: record, Version: entry.Version, Revision: entry.Revision})
	c.push(ctx, ownership.PutResult{Record: record, Version: entry.Version})
	return true
}
