package journal

import (
	"context"
	"errors"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

// Contents is what the journal of a pool holds.
type Contents struct {
	// Entries holds one entry per key.
	Entries []dispatch.JournalEntry
	// RecentNonRepeatable lists the keys of non-repeatable jobs whose start records cannot have expired yet.
	RecentNonRepeatable []structs.KeyHash
}

// errStaleRead makes Read try again.
var errStaleRead = errors.New("the store returned a state from before the call")

// Read returns the journal of a pool, of all epochs. The caller must have acquired the epoch before, so that entries
// which earlier owners still write do not matter. While the store is unavailable or returns states from before the
// call, Read tries again. It returns an *Error if ctx ends or an entry is malformed.
func Read(ctx context.Context, st store.Store, pool structs.PoolID, epoch structs.Epoch) (Contents, error) {
	retry := newRetry()
	for {
		contents, err := readOnce(ctx, st, pool, epoch)
		var malformed *Error
		if err == nil || errors.As(err, &malformed) {
			return contents, err
		}
		if waitRetry(ctx, retry) != nil {
			return Contents{}, &Error{Op: "read " + pool.String(), Err: err}
		}
	}
}

// readOnce reads all pages. It first writes a barrier key and rejects pages of a lower revision, which do not include
// it.
func readOnce(ctx context.Context, st store.Store, pool structs.PoolID, epoch structs.Epoch) (Contents, error) {
	barrier, err := writeBarrier(ctx, st, pool, epoch)
	if err != nil {
		return Contents{}, err
	}
	c := collector{seen: map[structs.KeyHash]bool{}, recent: map[structs.KeyHash]bool{}}
	after := ""
	for {
		page, revision, err := st.List(ctx, poolPrefix(pool), after, pageBatches)
		if err != nil {
			return Contents{}, err
		}
		if revision < barrier {
			return Contents{}, errStaleRead
		}
		if len(page) == 0 {
			return c.contents, nil
		}
		for _, entry := range page {
			if err := c.add(entry); err != nil {
				return Contents{}, err
			}
		}
		after = page[len(page)-1].Key
	}
}

// writeBarrier writes a key under a short lease and returns the store's revision of this write.
func writeBarrier(ctx context.Context, st store.Store, pool structs.PoolID, epoch structs.Epoch) (uint64, error) {
	lease, err := st.GrantLease(ctx, barrierTTL)
	if err != nil {
		return 0, err
	}
	key := batchKey(pool, epoch, 0, classBarrier)
	version, err := st.Put(ctx, key, nil, store.AnyVersion, lease)
	if err != nil {
		return 0, err
	}
	entry, err := st.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if entry.Version < version {
		return 0, errStaleRead
	}
	return entry.Revision, nil
}

// collector merges batches and drops duplicate keys.
type collector struct {
	contents Contents
	// seen and recent hold the keys that contents has in Entries and in RecentNonRepeatable.
	seen   map[structs.KeyHash]bool
	recent map[structs.KeyHash]bool
}

// add merges one stored batch.
func (c *collector) add(stored store.Entry) error {
	class := keyClass(stored.Key[strings.LastIndexByte(stored.Key, '-')+1:])
	if class == classBarrier {
		return nil
	}
	var entries []dispatch.JournalEntry
	if err := cbor.Unmarshal(stored.Value, &entries); err != nil {
		return &Error{Op: "decode " + stored.Key, Err: err}
	}
	for _, entry := range entries {
		if class == classRecent {
			c.addRecent(entry.Key)
			continue
		}
		if !c.seen[entry.Key] {
			c.seen[entry.Key] = true
			c.contents.Entries = append(c.contents.Entries, entry)
		}
	}
	return nil
}

func (c *collector) addRecent(key structs.KeyHash) {
	if !c.recent[key] {
		c.recent[key] = true
		c.contents.RecentNonRepeatable = append(c.contents.RecentNonRepeatable, key)
	}
}
