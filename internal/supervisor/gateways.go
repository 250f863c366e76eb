package supervisor

import (
	"cmp"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

type pastEvent struct {
	event structs.PlacementEvent
	at    time.Duration
}

// gateway is one incarnation of a gateway.
type gateway struct {
	ref    structs.GatewayRef
	linked bool
	// heard is when the last message arrived, or when the link ended.
	heard time.Duration
	// ack is Seq of the last placement.
	ack      uint64
	runs     map[uint64]*run
	recent   map[uint64]pastEvent
	events   []structs.PlacementEvent
	report   bool // the room has changed since the last report
	reportAt time.Duration
	sentAt   time.Duration
	announce bool // the server report is due
	// resume and the tasks to stop are kept until the room is surveyed.
	resume  *structs.Resume
	stopped []uint64
}

// GatewayLinked says that a link with a gateway has begun, with the gateway's list of its tasks here.
func (r *Supervisor) GatewayLinked(now time.Duration, in *structs.Resume) {
	r.advance(now)
	r.endOlder(in.Gateway)
	o := r.gateways[in.Gateway]
	if o == nil {
		o = &gateway{ref: in.Gateway, runs: map[uint64]*run{}, recent: map[uint64]pastEvent{}}
		r.gateways[in.Gateway] = o
	}
	o.linked, o.heard, o.announce, o.events, o.resume, o.stopped = true, r.now, true, nil, in, nil
	if r.reconciled {
		r.compare(o)
	}
}

// compare answers a gateway's list of its tasks.
func (r *Supervisor) compare(o *gateway) {
	in := o.resume
	if in == nil {
		return
	}
	o.resume = nil
	listed := map[uint64]bool{}
	for i := range in.Tasks {
		listed[in.Tasks[i].ID] = true
		r.resume(o, &in.Tasks[i])
	}
	for _, run := range sortedRuns(o) {
		if !listed[run.id] {
			r.abandon(run)
		}
	}
	r.stopTasks(o, o.stopped)
	o.stopped = nil
}

func sortedRuns(o *gateway) []*run {
	runs := make([]*run, 0, len(o.runs))
	for _, run := range o.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.id, b.id) })
	return runs
}

// endOlder ends the tasks of earlier incarnations of a gateway, which cannot come back.
func (r *Supervisor) endOlder(ref structs.GatewayRef) {
	for _, o := range r.sortedGateways() {
		if o.ref.ID == ref.ID && o.ref != ref {
			r.abandonAll(o)
			delete(r.gateways, o.ref)
		}
	}
}

func (r *Supervisor) sortedGateways() []*gateway {
	owners := make([]*gateway, 0, len(r.gateways))
	for _, o := range r.gateways {
		owners = append(owners, o)
	}
	slices.SortFunc(owners, func(a, b *gateway) int {
		if c := cmp.Compare(a.ref.ID, b.ref.ID); c != 0 {
			return c
		}
		return cmp.Compare(a.ref.Incarnation, b.ref.Incarnation)
	})
	return owners
}

// resume answers for one task that the gateway believes to be here.
func (r *Supervisor) resume(o *gateway, t *structs.ResumedTask) {
	if o.runs[t.ID] != nil {
		return
	}
	if past, ok := o.recent[t.ID]; ok {
		o.events = append(o.events, past.event)
		return
	}
	ref := RunRef{Task: r.options.TaskName(t.Job, t.Step, t.Index), Run: t.Run}
	if found := r.unclaimed(ref); found != nil {
		found.gateway, found.id, found.need = o, t.ID, t.Need
		o.runs[t.ID] = found
		r.usedResources = r.usedResources.Add(t.Need)
		r.note(LogEntry{Message: "run claimed", Task: ref.Task, Run: found.Run, Gateway: o.ref})
		return
	}
	kind := structs.PlacementLost
	if past, ok := r.found[ref]; ok {
		delete(r.found, ref)
		kind = eventOf(past.end)
	}
	o.events = append(o.events, structs.PlacementEvent{ID: t.ID, Kind: kind, Run: max(t.Run, r.highest[ref.Task].run)})
}

// unclaimed returns a run of a task that was found and belongs to no gateway. Its number may be above the gateway's, since
// the agent before raised it when the server had seen the number.
func (r *Supervisor) unclaimed(ref RunRef) *run {
	if run := r.activeRuns[ref]; run != nil && run.gateway == nil {
		return run
	}
	if r.activeRunsByTask[ref.Task] == 0 {
		return nil
	}
	for _, run := range r.runsInOrder() {
		if run.Task == ref.Task && run.gateway == nil {
			return run
		}
	}
	return nil
}

func eventOf(end End) structs.PlacementEventKind {
	switch end {
	case EndDone:
		return structs.PlacementDone
	case EndFailed:
		return structs.PlacementFailed
	case EndLost:
	}
	return structs.PlacementLost
}

// GatewayUnlinked says that the link with a gateway has ended.
func (r *Supervisor) GatewayUnlinked(now time.Duration, ref structs.GatewayRef) {
	r.advance(now)
	if o := r.gateways[ref]; o != nil && o.linked {
		o.linked = false
		o.heard = r.now - structs.GatewayTimeout + linkGrace
	}
}

// RecordContact says that a message of a gateway has arrived.
func (r *Supervisor) RecordContact(now time.Duration, ref structs.GatewayRef) {
	r.advance(now)
	if o := r.gateways[ref]; o != nil && o.linked {
		o.heard = r.now
	}
}

// Place takes tasks of a gateway.
func (r *Supervisor) Place(now time.Duration, ref structs.GatewayRef, in *structs.Place) {
	r.advance(now)
	o := r.gateways[ref]
	if o == nil || !o.linked {
		return
	}
	o.heard, o.ack = r.now, max(o.ack, in.Seq)
	for i := range in.Tasks {
		t := &in.Tasks[i]
		if o.runs[t.ID] != nil {
			continue
		}
		run := &run{
			RunRef: RunRef{Task: r.options.TaskName(in.Job, in.Step, t.Index), Run: t.Run},
			id:     t.ID, gateway: o, payload: in.Payload, need: in.Need, expectedRunTime: in.ExpectedRunTime,
			priority: in.Priority, arrival: r.now - in.Age, placedAt: r.now,
		}
		if in.StartWithin > 0 {
			run.startBy = r.now + in.StartWithin
		}
		o.runs[t.ID] = run
		r.admit(run)
	}
}

// admit queues a run or reports why it cannot start here.
func (r *Supervisor) admit(run *run) {
	if r.closed() != "" {
		r.report(run, structs.PlacementClosed)
		return
	}
	if !r.server.Capacity.Covers(run.need) {
		r.report(run, structs.PlacementNoResources)
		return
	}
	r.stopEarlier(run)
	at, _ := slices.BinarySearchFunc(r.queue, run, compareRuns)
	r.queue = slices.Insert(r.queue, at, run)
	r.queuedResources = r.queuedResources.Add(run.need)
	r.changed = true
}

// compareRuns orders waiting runs: the priority of the queue first, then the job that arrived first.
func compareRuns(a, b *run) int {
	if c := cmp.Compare(a.priority, b.priority); c != 0 {
		return c
	}
	if c := cmp.Compare(a.arrival, b.arrival); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Task, b.Task); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

// stopEarlier stops a run of the same task that another gateway has placed. Its caller has sent the job again, so it no
// longer waits for the first answer.
func (r *Supervisor) stopEarlier(run *run) {
	for _, other := range r.runsInOrder() {
		if other.Task == run.Task && other != run {
			r.note(LogEntry{Message: "stops an earlier run of a task that was sent again", Task: other.Task, Run: other.Run})
			r.abandon(other)
		}
	}
}

func (r *Supervisor) dequeue(run *run) {
	if at := slices.Index(r.queue, run); at >= 0 {
		r.queue = slices.Delete(r.queue, at, at+1)
		r.queuedResources = r.queuedResources.Sub(run.need)
		r.changed = true
	}
}

// Stop ends tasks on the order of their gateway.
func (r *Supervisor) Stop(now time.Duration, ref structs.GatewayRef, in *structs.Stop) {
	r.advance(now)
	o := r.gateways[ref]
	if o == nil {
		return
	}
	o.heard = r.now
	if o.resume != nil {
		o.stopped = append(o.stopped, in.IDs...)
		return
	}
	r.stopTasks(o, in.IDs)
}

func (r *Supervisor) stopTasks(o *gateway, ids []uint64) {
	for _, id := range ids {
		if run := o.runs[id]; run != nil {
			r.abandon(run)
		}
	}
}

// abandon ends a run: a waiting one at once, others when the server says that they are gone.
func (r *Supervisor) abandon(run *run) {
	if run.state == waiting {
		r.dequeue(run)
		r.report(run, structs.PlacementWithdrawn)
		return
	}
	if run.state != stopping {
		run.state, run.endKind, run.nextStopAt = stopping, structs.PlacementLost, r.now
	}
}

func (r *Supervisor) abandonAll(o *gateway) {
	for _, run := range sortedRuns(o) {
		r.abandon(run)
	}
}

// report sends the last event of a run to its gateway and forgets the run.
func (r *Supervisor) report(run *run, kind structs.PlacementEventKind) {
	o := run.gateway
	if o == nil {
		return
	}
	event := structs.PlacementEvent{ID: run.id, Kind: kind, Run: max(run.Run, r.highest[run.Task].run)}
	if run.startedAt > 0 {
		event.RunTime = r.now - run.startedAt
	}
	delete(o.runs, run.id)
	o.recent[run.id] = pastEvent{event: event, at: r.now}
	if o.linked {
		o.events = append(o.events, event)
	}
	run.gateway = nil
}
