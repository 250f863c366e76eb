package journal

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

// keyClass is the last part of a key in the store and decides how long the key stays. The package comment lists the
// classes.
type keyClass string

const (
	classRepeatable    keyClass = "keys"
	classNonRepeatable keyClass = "once"
	classRecent        keyClass = "recent"
	classBarrier       keyClass = "barrier"
)

// segment is a lease under which new batches are written up to the time until. The lease lasts longer by the retention
// period, so that each batch stays for the whole period after its write.
type segment struct {
	lease store.LeaseID
	until time.Time
}

// writeState is the state of a write between its attempts.
type writeState struct {
	// expectedVersion is the version of the key that the next attempt replaces, 0 unless an earlier attempt is known to
	// have taken effect.
	expectedVersion uint64
	// outcomeUnknown is true if an earlier attempt may have taken effect.
	outcomeUnknown bool
}

func poolPrefix(pool structs.PoolID) string {
	return fmt.Sprintf("journal/%s/%d/", pool.Service, pool.Index)
}

func batchKey(pool structs.PoolID, epoch structs.Epoch, batch uint64, c keyClass) string {
	return fmt.Sprintf("%s%020d/%012d-%s", poolPrefix(pool), epoch, batch, c)
}

// write writes the entries of one class, if there are any, and retries until the store has confirmed them.
func (j *Journal) write(ctx context.Context, c keyClass, entries []dispatch.JournalEntry) error {
	if len(entries) == 0 {
		return nil
	}
	value := encode(entries)
	retry := newRetry()
	state := &writeState{}
	for {
		err := j.tryWrite(ctx, c, value, state)
		if err == nil {
			return nil
		}
		if store.IsKind(err, store.KindInvalid) || store.IsKind(err, store.KindTooLarge) {
			return &Error{Op: "write " + string(c), Err: err}
		}
		j.updateStats(func(s *Stats) { s.Retries++ })
		_ = level.Debug(j.options.Logger).Log("msg", "journal write failed, retrying", "pool", j.options.Pool, "err", err)
		if err := waitRetry(ctx, retry); err != nil {
			return &Error{Op: "write " + string(c), Err: err}
		}
	}
}

// updateStats changes the counters under the lock.
func (j *Journal) updateStats(change func(*Stats)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(&j.stats)
}

// tryWrite makes one attempt to write a batch. Each batch has a key of its own, so a key that exists comes from an
// earlier attempt whose answer was lost. That attempt counts if the key is under the current lease. Otherwise the key
// is written again, since the older lease ends too early.
func (j *Journal) tryWrite(ctx context.Context, c keyClass, value []byte, state *writeState) error {
	lease, err := j.currentLease(ctx, c)
	if err != nil {
		return err
	}
	key := batchKey(j.options.Pool, j.options.Epoch, j.batchNumber, c)
	if state.outcomeUnknown {
		done, err := j.readBack(ctx, key, value, lease, state)
		if done || err != nil {
			return err
		}
	}
	if err := j.options.Budget.limiter.Wait(ctx); err != nil {
		return err
	}
	j.updateStats(func(s *Stats) { s.Writes++ })
	_, err = j.options.Store.Put(ctx, key, value, state.expectedVersion, lease)
	switch {
	case store.IsKind(err, store.KindNotFound):
		// The lease has ended early, for example because the store lost it. The next attempt asks for a new one.
		delete(j.segments, c)
	case store.IsKind(err, store.KindConflict), store.IsOutcomeUnknown(err):
		state.outcomeUnknown = true
	}
	return err
}

// readBack looks for the value of an earlier attempt and sets the version that the next Put expects. done is true if
// the value is stored under the current lease, so that no further Put is needed. If a stale read misses the value, the
// next Put fails with a conflict and the caller reads again.
func (j *Journal) readBack(
	ctx context.Context, key string, value []byte, lease store.LeaseID, state *writeState,
) (done bool, err error) {
	entry, err := j.options.Store.Get(ctx, key)
	if store.IsKind(err, store.KindNotFound) {
		state.expectedVersion = 0
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if !bytes.Equal(entry.Value, value) {
		panic("journal: another writer used the key " + key)
	}
	state.expectedVersion = entry.Version
	return entry.Lease == lease, nil
}

// currentLease returns the lease of the class's current segment and begins a new segment if it has ended.
func (j *Journal) currentLease(ctx context.Context, c keyClass) (store.LeaseID, error) {
	if s := j.segments[c]; s.lease != 0 && time.Now().Before(s.until) {
		return s.lease, nil
	}
	if err := j.options.Budget.limiter.Wait(ctx); err != nil {
		return 0, err
	}
	// The segment counts from before the call and the lease from the arrival at the store, so the lease ends last.
	until := time.Now().Add(SegmentDuration)
	lease, err := j.options.Store.GrantLease(ctx, j.retention(c)+SegmentDuration)
	if err != nil {
		return 0, err
	}
	j.segments[c] = segment{lease: lease, until: until}
	return lease, nil
}

// retention returns the shortest time that a batch of the class stays after its write.
func (j *Journal) retention(c keyClass) time.Duration {
	switch c {
	case classNonRepeatable:
		return NonRepeatableRetention
	case classRecent:
		return recentRetention
	default:
		return j.options.Retention
	}
}
