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

// Timing of a graceful shutdown.
const (
	// readinessPause gives load balancers time to see that the gateway is not ready before its pools are handed over.
	readinessPause = 200 * time.Millisecond
	// handoverTimeout limits the transfer of one pool's snapshot and the change of the pool record that follows.
	handoverTimeout = 5 * time.Second
	// handoverPartBytes limits the size of the payloads and results in one part of a snapshot, unless one job alone is
	// larger.
	handoverPartBytes = 8 << 20
	// stopPoll is the interval of checks during a shutdown.
	stopPoll = 20 * time.Millisecond
	// lastReplyPause gives the last replies to other gateways time to be sent before the links close.
	lastReplyPause = 200 * time.Millisecond
)

// runShutdown waits for a request to stop and then shuts the gateway down gracefully.
func (g *Gateway) runShutdown(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.stopContext.Done():
	}
	_ = level.Info(g.logger).Log("msg", "graceful shutdown started")
	g.health.MarkNotReady("stopping", "a planned stop is under way")
	g.stopping.Store(true)
	g.peers.wake()
	ctxtime.Sleep(ctx, readinessPause)
	until := time.Now().Add(g.options.DrainTimeout)
	// The gateway may acquire pools while it hands others over.
	for runners := g.pools.all(); len(runners) > 0; runners = g.pools.all() {
		if !g.handOver(ctx, runners[0], until) {
			break
		}
	}
	g.awaitPendingJobs(ctx, until)
	g.finishResponses(ctx, until)
	g.revokeLease(ctx)
	_ = level.Info(g.logger).Log("msg", "graceful shutdown complete")
	return errStopped
}

// handOver hands a pool over to another gateway and reports whether this gateway no longer owns it. If there is no
// other gateway, it waits until no task of the pool is waiting or running.
func (g *Gateway) handOver(ctx context.Context, r *poolRunner, until time.Time) bool {
	for ctx.Err() == nil && time.Now().Before(until) {
		successors := g.peers.successors()
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

// handOverTo pauses the pool, sends its snapshot and requests the change of the pool record. It reports whether this
// gateway no longer owns the pool.
func (g *Gateway) handOverTo(ctx context.Context, r *poolRunner, successor structs.GatewayRef) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	out := g.peers.outboundTo(successor)
	if out == nil {
		return false
	}
	jobs, ok := r.pauseAndSnapshot(ctx)
	if !ok {
		return isClosed(r.done)
	}
	if !sendSnapshot(ctx, out, r, jobs) {
		r.send(runnerCall(func(r *poolRunner) { r.paused = false }))
		return false
	}
	g.pools.push(ctx, ownership.Release{Pool: r.pool, Successor: successor})
	select {
	case <-r.done:
		g.peers.countHandover(successor.ID, r.pool)
		_ = level.Info(g.logger).Log("msg", "pool handed over", "pool", r.pool, "to", successor, "jobs", len(jobs))
		return true
	case <-ctx.Done():
		r.send(runnerCall(func(r *poolRunner) { r.paused = false }))
		return false
	}
}

// sendSnapshot sends a snapshot in parts and reports whether the successor has accepted all of them.
func sendSnapshot(ctx context.Context, out *outbound, r *poolRunner, jobs []structs.HandoverJob) bool {
	for part := uint32(0); ; part++ {
		n := partLength(jobs)
		handover := &structs.Handover{Pool: r.pool, Epoch: r.epoch, Jobs: jobs[:n], Part: part, Last: n == len(jobs)}
		if !out.handover(ctx, handover) {
			return false
		}
		if jobs = jobs[n:]; len(jobs) == 0 {
			return true
		}
	}
}

// partLength returns the number of jobs for the next part.
func partLength(jobs []structs.HandoverJob) int {
	size := 0
	for i := range jobs {
		size += jobBytes(&jobs[i])
		if size > handoverPartBytes && i > 0 {
			return i
		}
	}
	return len(jobs)
}

// jobBytes returns the size of a job's payloads and results.
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

// pauseAndSnapshot pauses the runner and returns a snapshot of its pool. It fails if the pool is not attached, or if
// keys that were admitted while the store was unavailable are not in the journal yet, since the successor would not
// know them.
func (r *poolRunner) pauseAndSnapshot(ctx context.Context) ([]structs.HandoverJob, bool) {
	snapshot := make(chan []structs.HandoverJob, 1)
	r.send(runnerCall(func(r *poolRunner) {
		r.refreshMode()
		if !r.adopted || r.mode != dispatch.Attached || r.backlogPending {
			close(snapshot)
			return
		}
		r.paused = true
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

// idle reports whether no task of the pool is waiting or running.
func (r *poolRunner) idle(ctx context.Context) bool {
	result := make(chan bool, 1)
	r.send(runnerCall(func(r *poolRunner) {
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

// awaitPendingJobs waits until no job is pending.
func (g *Gateway) awaitPendingJobs(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		left := time.Until(until)
		count, empty := g.pending.idle()
		if count == 0 {
			break
		}
		if left <= 0 {
			_ = level.Warn(g.logger).Log("msg", "drain timeout reached with pending submissions", "submissions", count)
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
	ctxtime.Sleep(ctx, lastReplyPause)
}

// finishResponses closes the caller API after the current responses are written.
func (g *Gateway) finishResponses(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	if err := g.api.Shutdown(ctx); err != nil {
		_ = level.Warn(g.logger).Log("msg", "failed to finish all responses before the drain timeout", "err", err)
	}
}

// revokeLease ends the store lease, so that other gateways need not wait for its expiry.
func (g *Gateway) revokeLease(ctx context.Context) {
	lease := g.lease.Load()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	if err := g.options.Store.Revoke(ctx, store.LeaseID(lease)); err != nil {
		_ = level.Info(g.logger).Log("msg", "lease not revoked, it will expire", "err", err)
	}
}
