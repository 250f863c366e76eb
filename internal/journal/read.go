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

// Contents is the journal of a pool.
type Contents struct {
	// Entries holds each key once.
	Entries []dispatch.JournalEntry
	// RecentNonRepeatable lists the keys of jobs that are not repeatable and whose start records cannot have ended.
	RecentNonRepeatable []structs.KeyHash
}

// errStale is the cause of a repeated read.
var errStale = errors.New("the store answered with an old state")

// Read returns the journal of all epochs of a pool. The caller has acquired epoch before, so that earlier owners write
// nothing more that it relies on. Read waits out a store that is down or answers with states from before the call. It
// returns an *Error if ctx ends or an entry is malformed.
func Read(ctx context.Context, st store.Store, pool structs.PoolID, epoch structs.Epoch) (Contents, error) {
	retry := newRetry()
	for {
		contents, err := readOnce(ctx, st, pool, epoch)
		var malformed *Error
		if err == nil || errors.As(err, &malformed) {
			return contents, err
		}
		if pause(ctx, retry) != nil {
			return Contents{}, &Error{Op: "read " + pool.String(), Err: err}
		}
	}
}

// readOnce reads all pages. A key written at the start dates the state: pages from before it are refused.
func readOnce(ctx context.Context, st store.Store, pool structs.PoolID, epoch structs.Epoch) (Contents, error) {
	barrier, err := writeBarrier(ctx, st, pool, epoch)
	if err != nil {
		return Contents{}, err
	}
	c := collector{seen: map[structs.KeyHash]bool{}, recent: map[structs.KeyHash]bool{}}
	after := ""
	for {
		page, revision, err := st.List(ctx, poolPrefix(pool), after, pageEntries)
		if err != nil {
			return Contents{}, err
		}
		if revision < barrier {
			return Contents{}, errStale
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

// writeBarrier writes a key that ends by itself and returns the store's revision of it.
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
		return 0, errStale
	}
	return entry.Revision, nil
}

// collector merges batches.
type collector struct {
	contents Contents
	seen     map[structs.KeyHash]bool
	recent   map[structs.KeyHash]bool
}

func (c *collector) add(stored store.Entry) error {
	name := class(stored.Key[strings.LastIndexByte(stored.Key, '-')+1:])
	if name == classBarrier {
		return nil
	}
	var entries []dispatch.JournalEntry
	if err := cbor.Unmarshal(stored.Value, &entries); err != nil {
		return &Error{Op: "decode " + stored.Key, Err: err}
	}
	for _, entry := range entries {
		if name == classRecent {
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
