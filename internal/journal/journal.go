// Package journal records in the store which idempotency keys a pool has admitted, so that the next owner of the pool
// knows them. Group commit bounds the number of writes: each pool has one write in flight while entries of the next
// batch accumulate, and all gateways together stay below FleetWritesPerSecond.
//
// A batch is stored at journal/<service>/<pool>/<epoch>/<batch>-<class>, under a lease that decides how long it stays:
//
//   - class "keys": keys of repeatable jobs, kept longer than start records and results
//   - class "once": keys of non-repeatable jobs, kept for 24 h
//   - class "recent": keys of non-repeatable jobs whose start records cannot have expired yet, kept for some minutes
//   - class "barrier": an empty value that Read writes to detect stale reads
package journal

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

// Limits and times of the journal.
const (
	// FleetWritesPerSecond is the share of the store's several hundred writes per second that all gateways together
	// use for journals.
	FleetWritesPerSecond = 100
	// budgetBurst is the number of calls that an idle journal may make without waiting: it grants a lease, writes a
	// batch and marks recent keys.
	budgetBurst = 3
	// SegmentDuration is how long new entries are written under the same lease.
	SegmentDuration = time.Minute
	// DefaultRetention is the default of Options.Retention: the retention period of results (10 min) plus the longest
	// deadline, since an entry is written before its job ends.
	DefaultRetention = 10*time.Minute + structs.DefaultMaxDeadline
	// NonRepeatableRetention is how long keys of non-repeatable jobs stay.
	NonRepeatableRetention = 24 * time.Hour
	// recentRetention is how long a key counts as recent. Start records last 15 min; the difference allows for the wait
	// before the write and for a store that extends its leases when it is available again.
	recentRetention = 4 * time.Minute
	// maxRecentDelay is the longest time between Append and the write with which a key still counts as recent.
	maxRecentDelay = 30 * time.Second
	// MaxBatchEntries bounds one write. An entry takes at most 48 bytes, so a batch stays below half of the largest
	// value that the store accepts.
	MaxBatchEntries = 8192
	// MaxBacklog bounds the entries in memory while the store is unavailable. It takes about 50 MB and holds 15 min of
	// entries at 500 jobs/s.
	MaxBacklog = 450_000
	// minRetryWait and maxRetryWait bound the randomized wait after a failed call. The randomness spreads the first
	// writes of the gateways when the store is available again.
	minRetryWait = 50 * time.Millisecond
	maxRetryWait = 2 * time.Second
	// barrierTTL is the lifetime of the key that Read writes to detect stale reads.
	barrierTTL = time.Minute
	// pageBatches is the number of batches in one page of Read.
	pageBatches = 64
)

// Error is the error of an operation of the journal.
type Error struct {
	Op  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return "journal: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Budget limits the rate of journal writes of one gateway, including grants of leases. It is safe for concurrent use.
type Budget struct{ limiter *rate.Limiter }

// NewBudget returns a budget that allows all of FleetWritesPerSecond, as for the only gateway.
func NewBudget() *Budget {
	return &Budget{limiter: rate.NewLimiter(FleetWritesPerSecond, budgetBurst)}
}

// SetGateways divides FleetWritesPerSecond by the number of live gateways.
func (b *Budget) SetGateways(gateways int) {
	b.limiter.SetLimit(rate.Limit(float64(FleetWritesPerSecond) / float64(max(1, gateways))))
}

// Options configures a journal.
type Options struct {
	Store store.Store
	Pool  structs.PoolID
	Epoch structs.Epoch
	// Budget is shared by the journals of a gateway.
	Budget *Budget
	// Confirmed is called with keys that are now in the store, by one goroutine at a time. It must not block on the
	// journal.
	Confirmed func(keys []structs.KeyHash)
	// Retention is how long keys of repeatable jobs stay; 0 means DefaultRetention.
	Retention time.Duration
	// Logger may be nil.
	Logger log.Logger
}

// Stats holds the counters of a journal.
type Stats struct {
	// Pending is the number of entries that are not confirmed yet.
	Pending int
	// Confirmed, Writes and Retries count entries, writes and repeated writes since New.
	Confirmed uint64
	Writes    uint64
	Retries   uint64
}

// pendingEntry is an entry that is not confirmed yet.
type pendingEntry struct {
	entry      dispatch.JournalEntry
	appendedAt time.Time
}

// Journal writes the admitted keys of one pool under one epoch. It is safe for concurrent use.
type Journal struct {
	options Options
	// wake has an element after Append has added entries.
	wake chan struct{}
	// mu guards queue, stats and overflow.
	mu sync.Mutex
	// queue holds the unconfirmed entries. Those of the batch that Run is writing stay at its head until they are
	// confirmed.
	queue []pendingEntry
	stats Stats
	// overflow is true after Append has rejected entries.
	overflow bool
	// batchNumber and segments are used only by the goroutine of Run.
	batchNumber uint64
	segments    map[keyClass]segment
}

// New returns an empty journal. The caller must call Run, which writes the entries.
func New(options Options) *Journal {
	if options.Retention <= 0 {
		options.Retention = DefaultRetention
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	return &Journal{options: options, wake: make(chan struct{}, 1), segments: map[keyClass]segment{}}
}

// errFull is the cause of the *Error that Append returns.
var errFull = fmt.Errorf("backlog limit of %d keys reached", MaxBacklog)

// Append adds entries and returns at once. If the backlog is full, it adds none and returns an *Error. These keys are
// never confirmed, and AllConfirmed returns false from then on, since the journal no longer holds all keys of the pool.
func (j *Journal) Append(entries []dispatch.JournalEntry) error {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.queue)+len(entries) > MaxBacklog {
		j.overflow = true
		return &Error{Op: "append to " + j.options.Pool.String(), Err: errFull}
	}
	for _, entry := range entries {
		j.queue = append(j.queue, pendingEntry{entry: entry, appendedAt: now})
	}
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return nil
}

// Full reports whether n more entries would exceed MaxBacklog. The caller refuses the work that they belong to.
func (j *Journal) Full(n int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.queue)+n > MaxBacklog
}

// AllConfirmed reports whether every key ever passed to Append is confirmed.
func (j *Journal) AllConfirmed() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.queue) == 0 && !j.overflow
}

// Stats returns the counters.
func (j *Journal) Stats() Stats {
	j.mu.Lock()
	defer j.mu.Unlock()
	stats := j.stats
	stats.Pending = len(j.queue)
	return stats
}

// Run writes the entries until ctx ends, and then returns nil; entries that are pending by then are not confirmed. It
// returns an error only if the store rejects a batch as invalid or too large.
func (j *Journal) Run(ctx context.Context) error {
	for {
		batch := j.nextBatch()
		if len(batch) == 0 {
			select {
			case <-j.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		if err := j.commitBatch(ctx, batch); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// nextBatch returns a copy of up to MaxBatchEntries entries from the head of the queue.
func (j *Journal) nextBatch() []pendingEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]pendingEntry(nil), j.queue[:min(len(j.queue), MaxBatchEntries)]...)
}

// commitBatch writes a batch, retrying until the store has it, and confirms it. If ctx ends first, it returns nil
// without confirming. An error means that the store rejects the batch, which is a bug.
func (j *Journal) commitBatch(ctx context.Context, batch []pendingEntry) error {
	j.batchNumber++
	var repeatable, nonRepeatable []dispatch.JournalEntry
	for _, p := range batch {
		if p.entry.Repeatable {
			repeatable = append(repeatable, p.entry)
		} else {
			nonRepeatable = append(nonRepeatable, p.entry)
		}
	}
	for _, part := range []struct {
		class   keyClass
		entries []dispatch.JournalEntry
	}{{classNonRepeatable, nonRepeatable}, {classRepeatable, repeatable}} {
		if err := j.write(ctx, part.class, part.entries); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
	}
	j.confirmBatch(batch)
	j.markRecent(ctx, batch, nonRepeatable)
	return nil
}

func (j *Journal) confirmBatch(batch []pendingEntry) {
	keys := make([]structs.KeyHash, len(batch))
	for i, p := range batch {
		keys[i] = p.entry.Key
	}
	j.mu.Lock()
	j.queue = j.queue[len(batch):]
	if len(j.queue) == 0 {
		// Frees the memory that the queue took during a long outage.
		j.queue = nil
	}
	j.stats.Confirmed += uint64(len(batch))
	j.mu.Unlock()
	j.options.Confirmed(keys)
}

// markRecent writes the batch's non-repeatable keys in the class "recent". There is no retry: without the mark, a later
// owner only cannot prove that a key without a start record has not started.
func (j *Journal) markRecent(ctx context.Context, batch []pendingEntry, nonRepeatable []dispatch.JournalEntry) {
	if len(nonRepeatable) == 0 || time.Since(batch[0].appendedAt) > maxRecentDelay {
		return
	}
	if err := j.tryWrite(ctx, classRecent, encode(nonRepeatable), &writeState{}); err != nil {
		_ = level.Debug(j.options.Logger).Log("msg", "recent keys not marked", "pool", j.options.Pool, "err", err)
	}
}

func encode(entries []dispatch.JournalEntry) []byte {
	value, err := cbor.Marshal(entries)
	if err != nil {
		panic("journal: cannot encode entries: " + err.Error())
	}
	if len(value) > store.MaxValueBytes {
		panic("journal: a batch exceeds the size limit of the store")
	}
	return value
}

// newRetry returns a randomized exponential backoff.
func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryWait
	retry.MaxInterval = maxRetryWait
	return retry
}

// waitRetry waits until the next attempt is due. It returns ctx.Err() if ctx ends first.
func waitRetry(ctx context.Context, retry *backoff.ExponentialBackOff) error {
	if !ctxtime.Sleep(ctx, retry.NextBackOff()) {
		return ctx.Err()
	}
	return nil
}
