package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/ownership"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

// Timing of a planned stop.
const (
	// readinessPause lets the load balancer see that the gateway is not ready before pools move.
	readinessPause = 200 * time.Millisecond
	// handoffTimeout bounds the transfer of one pool's snapshot and the following change of the record.
	handoffTimeout = 5 * time.Second
	// handoffPartBytes is the size of payloads and results in one part of a snapshot, unless one job is larger.
	handoffPartBytes = 8 << 20
	// stopPoll is the interval of checks during a stop.
	stopPoll = 20 * time.Millisecond
	// lingerPause lets the last replies to other gateways leave before links close.
	lingerPause = 200 * time.Millisecond
)

// awaitStop is the duty of the planned stop.
func (g *Gateway) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.stopContext.Done():
	}
	_ = level.Info(g.logger).Log("msg", "planned stop begins")
	g.health.MarkNotReady("stopping", "a planned stop is under way")
	g.stopping.Store(true)
	g.peers.wake()
	ctxtime.Sleep(ctx, readinessPause)
	until := time.Now().Add(g.options.DrainTimeout)
	// While pools are handed over, the gateway may acquire others.
	for runners := g.control.all(); len(runners) > 0; runners = g.control.all() {
		if !g.handOver(ctx, runners[0], until) {
			break
		}
	}
	g.drainCallers(ctx, until)
	g.finishResponses(ctx, until)
	g.leaveStore(ctx)
	_ = level.Info(g.logger).Log("msg", "planned stop is complete")
	return errStopped
}

// handOver passes a pool to another gateway and reports whether it has gone. Without another gateway, the pool's jobs
// finish here.
func (g *Gateway) handOver(ctx context.Context, r *runner, until time.Time) bool {
	for ctx.Err() == nil && time.Now().Before(until) {
		successors := g.peers.alive()
		for _, successor := range successors {
			if g.handOverTo(ctx, r, successor) {
				return true
			}
		}
		if len(successors) == 0 && r.idle(ctx) {
			return false
		}
		ctxtime.Sleep(ctx, stopPoll)
	}
	return false
}

// handOverTo freezes the pool, sends its snapshot and changes the record. It reports whether the pool has gone.
func (g *Gateway) handOverTo(ctx context.Context, r *runner, successor structs.GatewayRef) bool {
	ctx, cancel := context.WithTimeout(ctx, handoffTimeout)
	defer cancel()
	out := g.peers.outboundTo(successor)
	if out == nil {
		return false
	}
	jobs, ok := r.freeze(ctx)
	if !ok {
		return isClosed(r.done)
	}
	if !sendSnapshot(ctx, out, r, jobs) {
		r.send(call(func(r *runner) { r.frozen = false }))
		return false
	}
	g.control.push(ctx, ownership.Release{Pool: r.pool, Successor: successor})
	select {
	case <-r.done:
		g.peers.handedOver(successor.ID, r.pool)
		_ = level.Info(g.logger).Log("msg", "pool handed over", "pool", r.pool, "to", successor, "jobs", len(jobs))
		return true
	case <-ctx.Done():
		r.send(call(func(r *runner) { r.frozen = false }))
		return false
	}
}

// sendSnapshot sends a snapshot in parts and reports whether the successor has all of it.
func sendSnapshot(ctx context.Context, out *outbound, r *runner, jobs []structs.HandoverJob) bool {
	for part := uint32(0); ; part++ {
		n := partLength(jobs)
		handoff := &structs.Handover{Pool: r.pool, Epoch: r.epoch, Jobs: jobs[:n], Part: part, Last: n == len(jobs)}
		if !out.handoff(ctx, handoff) {
			return false
		}
		if jobs = jobs[n:]; len(jobs) == 0 {
			return true
		}
	}
}

// partLength returns how many of the jobs go into the next part.
func partLength(jobs []structs.HandoverJob) int {
	size := 0
	for i := range jobs {
		size += jobBytes(&jobs[i])
		if size > handoffPartBytes && i > 0 {
			return i
		}
	}
	return len(jobs)
}

func jobBytes(j *structs.HandoverJob) int {
	size := 0
	lists := [][][]byte{j.Submission.Payloads, j.Results}
	if j.Answer != nil {
		lists = append(lists, j.Answer.Results)
	}
	for _, list := range lists {
		for _, item := range list {
			size += len(item)
		}
	}
	return size
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// freeze stops the runner from handling anything and returns a snapshot of its pool. It fails while the pool is not
// attached or keys that were admitted without the store are not in the journal: the successor would not know these.
func (r *runner) freeze(ctx context.Context) ([]structs.HandoverJob, bool) {
	snapshot := make(chan []structs.HandoverJob, 1)
	r.send(call(func(r *runner) {
		r.refreshMode()
		if !r.adopted || r.mode != dispatch.Attached || r.backlogDue {
			close(snapshot)
			return
		}
		r.frozen = true
		snapshot <- r.machine.Snapshot(r.g.now())
	}))
	select {
	case jobs, ok := <-snapshot:
		return jobs, ok
	case <-r.done:
	case <-ctx.Done():
	}
	return nil, false
}

// idle reports whether the pool has no job that has not ended.
func (r *runner) idle(ctx context.Context) bool {
	result := make(chan bool, 1)
	r.send(call(func(r *runner) {
		stats := r.machine.Stats()
		result <- stats.Running+stats.QueuedUrgent+stats.QueuedRoutine == 0
	}))
	select {
	case idle := <-result:
		return idle
	case <-r.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// drainCallers waits until no job is pending.
func (g *Gateway) drainCallers(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		left := time.Until(until)
		count, empty := g.pending.idle()
		if count == 0 {
			break
		}
		if left <= 0 {
			_ = level.Warn(g.logger).Log("msg", "planned stop does not wait longer", "submissions", count)
			break
		}
		timer := time.NewTimer(left)
		select {
		case <-empty:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	ctxtime.Sleep(ctx, lingerPause)
}

// finishResponses closes the caller API after the responses under way.
func (g *Gateway) finishResponses(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	if err := g.api.Shutdown(ctx); err != nil {
		_ = level.Warn(g.logger).Log("msg", "planned stop cuts responses off", "err", err)
	}
}

// leaveStore ends the lease, so that nobody waits for it to lapse.
func (g *Gateway) leaveStore(ctx context.Context) {
	lease := g.lease.Load()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	if err := g.options.Store.Revoke(ctx, store.LeaseID(lease)); err != nil {
		_ = level.Info(g.logger).Log("msg", "store lease not revoked", "err", err)
	}
}
