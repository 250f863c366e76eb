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

// class is the last part of a key and decides how long it stays.
type class string

const (
	classKeys    class = "keys"
	classOnce    class = "once"
	classRecent  class = "recent"
	classBarrier class = "barrier"
)

// segment is a lease for new entries. It is used until the time until, so that each entry stays for the full
// retention after its write.
type segment struct {
	lease store.LeaseID
	until time.Time
}

// attempt is the state of a write between its attempts.
type attempt struct {
	// expect is the version of the key that the next attempt replaces, 0 before an earlier one took effect.
	expect uint64
	// unknown is true after a lost answer.
	unknown bool
}

func poolPrefix(pool structs.PoolID) string {
	return fmt.Sprintf("journal/%s/%d/", pool.Service, pool.Index)
}

func batchKey(pool structs.PoolID, epoch structs.Epoch, batch uint64, c class) string {
	return fmt.Sprintf("%s%020d/%012d-%s", poolPrefix(pool), epoch, batch, c)
}

// write writes the entries of a class, if there are any, until the store has confirmed them.
func (j *Journal) write(ctx context.Context, c class, entries []dispatch.JournalEntry) error {
	if len(entries) == 0 {
		return nil
	}
	value := encode(entries)
	retry := newRetry()
	state := &attempt{}
	for {
		err := j.attempt(ctx, c, value, state)
		if err == nil {
			return nil
		}
		if store.IsKind(err, store.KindInvalid) || store.IsKind(err, store.KindTooLarge) {
			return &Error{Op: "write " + string(c), Err: err}
		}
		j.count(func(s *Stats) { s.Retries++ })
		_ = level.Debug(j.options.Logger).Log("msg", "journal write repeated", "pool", j.options.Pool, "err", err)
		if err := pause(ctx, retry); err != nil {
			return &Error{Op: "write " + string(c), Err: err}
		}
	}
}

func (j *Journal) count(change func(*Stats)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(&j.stats)
}

// attempt writes a batch once. A batch has its key for itself, so a key that exists is an earlier attempt whose answer
// was lost; it counts if it is under the current lease, and is otherwise written again, since its lease ends sooner.
func (j *Journal) attempt(ctx context.Context, c class, value []byte, state *attempt) error {
	lease, err := j.lease(ctx, c)
	if err != nil {
		return err
	}
	key := batchKey(j.options.Pool, j.options.Epoch, j.batch, c)
	if state.unknown {
		done, err := j.readBack(ctx, key, value, lease, state)
		if done || err != nil {
			return err
		}
	}
	if err := j.options.Budget.limiter.Wait(ctx); err != nil {
		return err
	}
	j.count(func(s *Stats) { s.Writes++ })
	_, err = j.options.Store.Put(ctx, key, value, state.expect, lease)
	switch {
	case store.IsKind(err, store.KindNotFound):
		// The lease ended early, for example because the store lost it.
		delete(j.segments, c)
	case store.IsKind(err, store.KindConflict), store.IsOutcomeUnknown(err):
		state.unknown = true
	}
	return err
}

// readBack looks for an earlier attempt. done is true if it is as good as a new one. A read that misses it leaves
// state as it is, and the next Put decides.
func (j *Journal) readBack(
	ctx context.Context, key string, value []byte, lease store.LeaseID, state *attempt,
) (done bool, err error) {
	entry, err := j.options.Store.Get(ctx, key)
	if store.IsKind(err, store.KindNotFound) {
		state.expect = 0
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if !bytes.Equal(entry.Value, value) {
		panic("journal: another writer used the key " + key)
	}
	state.expect = entry.Version
	return entry.Lease == lease, nil
}

// lease returns the lease of the class's current segment.
func (j *Journal) lease(ctx context.Context, c class) (store.LeaseID, error) {
	if s := j.segments[c]; s.lease != 0 && time.Now().Before(s.until) {
		return s.lease, nil
	}
	if err := j.options.Budget.limiter.Wait(ctx); err != nil {
		return 0, err
	}
	// The segment counts from before the call, the lease from its arrival.
	until := time.Now().Add(SegmentDuration)
	lease, err := j.options.Store.GrantLease(ctx, j.stay(c)+SegmentDuration)
	if err != nil {
		return 0, err
	}
	j.segments[c] = segment{lease: lease, until: until}
	return lease, nil
}

// stay returns how long an entry of the class stays at least.
func (j *Journal) stay(c class) time.Duration {
	switch c {
	case classOnce:
		return NonRepeatableRetention
	case classRecent:
		return recentFor
	default:
		return j.options.Retention
	}
}
