package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/journal"
	"rosedrift.example/rosedrift/internal/ownership"
	"rosedrift.example/rosedrift/internal/structs"
)

// rereadPause is the pause before a journal that could not be read is read again. A malformed entry must be repaired by
// an operator: without the journal the owner cannot tell which keys are known.
const rereadPause = 5 * time.Second

// newJournal returns the journal for the runner's pool. It reports written keys back to the runner.
func (r *poolRunner) newJournal() *journal.Journal {
	return journal.New(journal.Options{
		Store:     r.g.options.Store,
		Pool:      r.pool,
		Epoch:     r.epoch,
		Budget:    r.g.journalBudget,
		Confirmed: func(keys []structs.KeyHash) { r.send(dispatch.JournalWritten{Keys: keys}) },
		Logger:    r.g.logger,
	})
}

// writeJournal writes keys to the store until the runner ends. The keys that are unwritten at that time belong to jobs
// that have not started, or to jobs of a detached owner, which the next owner learns of from the agents.
func (r *poolRunner) writeJournal(ctx context.Context) {
	if err := r.journal.Run(ctx); err != nil {
		_ = level.Error(r.g.logger).Log("msg", "journal writer ended", "pool", r.pool, "err", err)
	}
}

// readJournal reads the keys that all earlier owners have written, for the recovery of the pool.
func (r *poolRunner) readJournal(ctx context.Context) {
	for ctx.Err() == nil {
		contents, err := journal.Read(ctx, r.g.options.Store, r.pool, r.epoch)
		if err == nil {
			r.g.pools.push(ctx, ownership.JournalRead{
				Pool: r.pool, Epoch: r.epoch, Entries: contents.Entries, RecentNonRepeatable: contents.RecentNonRepeatable,
			})
			return
		}
		if ctx.Err() == nil {
			_ = level.Error(r.g.logger).Log("msg", "failed to read journal", "pool", r.pool, "err", err)
		}
		ctxtime.Sleep(ctx, rereadPause)
	}
}

// reportBacklogWritten reports to the ownership machine once, after the pool has become attached and every key is in
// the journal. Between the check and the machine's step neither the runner nor the journal accepts a key, so no key of
// a detached pool is missed.
func (r *poolRunner) reportBacklogWritten() {
	if !r.backlogPending {
		return
	}
	r.refreshMode()
	if r.mode != dispatch.Attached || !r.journal.AllConfirmed() {
		return
	}
	r.backlogPending = false
	r.g.pools.stepNow(ownership.BacklogWritten{Pool: r.pool})
}

// journalFull reports whether a submission needs a journal entry and the journal has no space for it. The journal fills
// up only if the store is unavailable for very long.
func (r *poolRunner) journalFull(s *structs.Submission) bool {
	if s.Ticketed || !r.journal.Full(1) {
		return false
	}
	_, known := r.machine.Status(s.Job, r.g.now())
	return !known
}
