// Package journal keeps the admitted keys of a pool in the store. Group commit bounds the writes: one is in flight per
// pool while the next batch collects, and all gateways share FleetWritesPerSecond.
//
// Keys are journal/<service>/<pool>/<epoch>/<batch>-<class>. Repeatable jobs are in the class "keys", under leases that
// outlast start records and results. Keys of jobs that are not repeatable are in the class "once" for 24 h and, as a
// mark that their start records cannot have ended, for some minutes in the class "recent".
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

// Bounds and times of the journal.
const (
	// FleetWritesPerSecond is the share of the store's several hundred writes per second that all gateways together
	// use for journals.
	FleetWritesPerSecond = 100
	// budgetBurst lets an idle journal grant a lease, write and mark recent keys without a wait in between.
	budgetBurst = 3
	// SegmentDuration is how long new entries are written under the same lease.
	SegmentDuration = time.Minute
	// DefaultRetention is the retention period (10 min) and the longest deadline, since the entry is written before
	// the job ends. It is the default of Options.Retention.
	DefaultRetention = 10*time.Minute + structs.DefaultMaxDeadline
	// NonRepeatableRetention is how long keys of jobs that are not repeatable stay.
	NonRepeatableRetention = 24 * time.Hour
	// recentFor is how long a key counts as recent. Start records last 15 min; the difference allows for the wait
	// before the write and for a store that extends its leases when it returns.
	recentFor = 4 * time.Minute
	// recentWait is the longest wait before the write with which a key still counts as recent.
	recentWait = 30 * time.Second
	// MaxBatchEntries bounds one write: an entry takes at most 48 bytes, so a batch stays below half of the largest
	// value of the store.
	MaxBatchEntries = 8192
	// MaxBacklog bounds the entries in memory while the store is down, about 50 MB: 15 min with 500 jobs/s.
	MaxBacklog = 450_000
	// firstRetry and lastRetry bound the randomized wait after a failed call. The randomness spreads the gateways'
	// first writes when the store returns.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 2 * time.Second
	// barrierTTL is the life of the key that dates a read-back.
	barrierTTL = time.Minute
	// pageEntries is the size of a page of the read-back in batches.
	pageEntries = 64
)

// Error is an error of the journal.
type Error struct {
	Op  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return "journal: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Budget limits the journal writes of one gateway. It is safe for concurrent use.
type Budget struct{ limiter *rate.Limiter }

// NewBudget returns the budget of the only gateway.
func NewBudget() *Budget {
	return &Budget{limiter: rate.NewLimiter(FleetWritesPerSecond, budgetBurst)}
}

// SetGateways divides the fleet's budget by the number of live gateways.
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
	// Confirmed is called with the keys that are in the store, by one goroutine at a time. It must not wait for the
	// journal.
	Confirmed func(keys []structs.KeyHash)
	// Retention is how long keys of repeatable jobs stay, 0 means RetentionAfterWrite.
	Retention time.Duration
	// Logger may be nil.
	Logger log.Logger
}

// Stats describes a journal.
type Stats struct {
	// Pending counts the entries that are not confirmed yet.
	Pending int
	// Confirmed, Writes and Retries count since the start.
	Confirmed uint64
	Writes    uint64
	Retries   uint64
}

// pending is an entry that waits for its write since the time at.
type pending struct {
	entry dispatch.JournalEntry
	at    time.Time
}

// Journal writes the admitted keys of one pool under one epoch. It is safe for concurrent use.
type Journal struct {
	options Options
	wake    chan struct{}
	mu      sync.Mutex
	// queue holds the unconfirmed entries, guarded by mu as stats and overflow are. The first writing ones are on
	// their way to the store.
	queue    []pending
	stats    Stats
	overflow bool
	// batch and segments belong to Run.
	batch    uint64
	segments map[class]segment
}

// New returns a journal. Run writes the entries.
func New(options Options) *Journal {
	if options.Retention <= 0 {
		options.Retention = DefaultRetention
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	return &Journal{options: options, wake: make(chan struct{}, 1), segments: map[class]segment{}}
}

// errFull is the cause of the Error of Append.
var errFull = fmt.Errorf("%d keys wait for the store", MaxBacklog)

// Append adds entries and returns at once. If the backlog is full, it adds none and returns an *Error: these keys will
// not be confirmed, and Idle stays false for good, since the journal is no proof of the pool's keys any more.
func (j *Journal) Append(entries []dispatch.JournalEntry) error {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.queue)+len(entries) > MaxBacklog {
		j.overflow = true
		return &Error{Op: "append to " + j.options.Pool.String(), Err: errFull}
	}
	for _, entry := range entries {
		j.queue = append(j.queue, pending{entry: entry, at: now})
	}
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return nil
}

// Full reports whether the backlog has no room for n more entries. The caller refuses work that would not fit.
func (j *Journal) Full(n int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.queue)+n > MaxBacklog
}

// AllConfirmed reports whether every key that was ever appended is confirmed.
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

// Run writes the entries until ctx ends. It returns nil then; unconfirmed entries stay unconfirmed.
func (j *Journal) Run(ctx context.Context) error {
	for {
		batch := j.next()
		if len(batch) == 0 {
			select {
			case <-j.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		if err := j.commit(ctx, batch); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// next returns a copy of the entries at the head of the queue.
func (j *Journal) next() []pending {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]pending(nil), j.queue[:min(len(j.queue), MaxBatchEntries)]...)
}

// commit writes a batch, whatever time the store takes, and confirms it. It returns nil early if ctx ends; another
// error is a fault of the program.
func (j *Journal) commit(ctx context.Context, batch []pending) error {
	j.batch++
	var repeatable, once []dispatch.JournalEntry
	for _, p := range batch {
		if p.entry.Repeatable {
			repeatable = append(repeatable, p.entry)
		} else {
			once = append(once, p.entry)
		}
	}
	for _, part := range []struct {
		class   class
		entries []dispatch.JournalEntry
	}{{classOnce, once}, {classKeys, repeatable}} {
		if err := j.write(ctx, part.class, part.entries); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
	}
	j.confirm(batch)
	j.markRecent(ctx, batch, once)
	return nil
}

func (j *Journal) confirm(batch []pending) {
	keys := make([]structs.KeyHash, len(batch))
	for i, p := range batch {
		keys[i] = p.entry.Key
	}
	j.mu.Lock()
	j.queue = j.queue[len(batch):]
	if len(j.queue) == 0 {
		// The memory of a long outage is given back.
		j.queue = nil
	}
	j.stats.Confirmed += uint64(len(batch))
	j.mu.Unlock()
	j.options.Confirmed(keys)
}

// markRecent writes the mark of recent keys. A failure only costs the proof that a key without a record has not
// started, so there is no retry.
func (j *Journal) markRecent(ctx context.Context, batch []pending, once []dispatch.JournalEntry) {
	if len(once) == 0 || time.Since(batch[0].at) > recentWait {
		return
	}
	if err := j.attempt(ctx, classRecent, encode(once), &attempt{}); err != nil {
		_ = level.Debug(j.options.Logger).Log("msg", "recent keys not marked", "pool", j.options.Pool, "err", err)
	}
}

func encode(entries []dispatch.JournalEntry) []byte {
	value, err := cbor.Marshal(entries)
	if err != nil {
		panic("journal: encoding of plain values cannot fail: " + err.Error())
	}
	if len(value) > store.MaxValueBytes {
		panic("journal: a batch exceeds the largest value of the store")
	}
	return value
}

// newRetry returns randomized, growing waits.
func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	retry.MaxInterval = lastRetry
	return retry
}

// pause waits for the next attempt and returns ctx.Err() if ctx ends first.
func pause(ctx context.Context, retry *backoff.ExponentialBackOff) error {
	if !ctxtime.Sleep(ctx, retry.NextBackOff()) {
		return ctx.Err()
	}
	return nil
}
