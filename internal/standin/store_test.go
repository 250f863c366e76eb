package standin

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/platform"
)

// eachAccess runs a test twice: with direct calls of the stand-in, and through its HTTP interface.
func eachAccess(t *testing.T, run func(t *testing.T, standIn *Store, access store.Store)) {
	t.Run("direct", func(t *testing.T) {
		standIn := NewStore(1)
		defer standIn.Close()
		run(t, standIn, standIn)
	})
	t.Run("http", func(t *testing.T) {
		standIn := NewStore(1)
		defer standIn.Close()
		server := httptest.NewServer(standIn.Handler())
		defer server.Close()
		client := platform.NewStoreClient(server.URL, 0, nil)
		defer client.Close()
		run(t, standIn, client)
	})
}

// TestStoreCompareAndSwap guards against two writers that expect the same version and both succeed.
func TestStoreCompareAndSwap(t *testing.T) {
	eachAccess(t, func(t *testing.T, _ *Store, access store.Store) {
		ctx := t.Context()
		_, err := access.Get(ctx, "pools/a b/0")
		require.True(t, store.IsKind(err, store.KindNotFound), err)
		version, err := access.Put(ctx, "pools/a b/0", []byte("one"), 0, 0)
		require.NoError(t, err)
		_, err = access.Put(ctx, "pools/a b/0", []byte("two"), 0, 0)
		require.True(t, store.IsKind(err, store.KindConflict), err)
		_, err = access.Put(ctx, "pools/a b/0", []byte("three"), version, 0)
		require.NoError(t, err)
		entry, err := access.Get(ctx, "pools/a b/0")
		require.NoError(t, err)
		require.Equal(t, "three", string(entry.Value))
		require.True(t, store.IsKind(access.Delete(ctx, "pools/a b/0", version), store.KindConflict))
		require.NoError(t, access.Delete(ctx, "pools/a b/0", entry.Version))
		_, err = access.Put(ctx, "a//b", nil, 0, 77)
		require.Error(t, err)
	})
}

// TestStoreLostAnswer guards against a write with a lost answer that is reported as failed instead of uncertain.
func TestStoreLostAnswer(t *testing.T) {
	eachAccess(t, func(t *testing.T, standIn *Store, access store.Store) {
		ctx := t.Context()
		standIn.SetFaults(StoreFaults{LoseNext: 1})
		_, err := access.Put(ctx, "config", []byte("x"), 0, 0)
		require.True(t, store.IsOutcomeUnknown(err), err)
		entry, err := access.Get(ctx, "config")
		require.NoError(t, err)
		require.Equal(t, "x", string(entry.Value))
		require.Equal(t, uint64(1), standIn.Stats().Lost)
	})
}

// TestStoreOutage guards against a refused write that is reported as possibly done, and against a compare-and-swap that
// succeeds with the version from a stale read.
func TestStoreOutage(t *testing.T) {
	eachAccess(t, func(t *testing.T, standIn *Store, access store.Store) {
		ctx := t.Context()
		version, err := access.Put(ctx, "k", []byte("old"), 0, 0)
		require.NoError(t, err)
		standIn.SetFaults(StoreFaults{Outage: true, StaleMilliseconds: 60_000})
		_, err = access.Put(ctx, "k", []byte("x"), version, 0)
		require.True(t, store.IsKind(err, store.KindUnavailable), err)
		require.False(t, store.IsOutcomeUnknown(err))
		standIn.SetFaults(StoreFaults{})
		_, err = access.Put(ctx, "k", []byte("new"), version, 0)
		require.NoError(t, err)
		entry, err := access.Get(ctx, "k")
		require.NoError(t, err)
		require.Equal(t, "old", string(entry.Value))
		_, err = access.Put(ctx, "k", []byte("y"), entry.Version, 0)
		require.True(t, store.IsKind(err, store.KindConflict), err)
		standIn.SetFaults(StoreFaults{WriteBudget: 1})
		_, err = access.GrantLease(ctx, time.Second)
		require.NoError(t, err)
		_, err = access.GrantLease(ctx, time.Second)
		require.True(t, store.IsKind(err, store.KindUnavailable), err)
		require.Equal(t, uint64(1), standIn.Stats().Rejected)
	})
}

// TestStoreListAndWatch guards against pages and watches that miss entries or changes.
func TestStoreListAndWatch(t *testing.T) {
	eachAccess(t, func(t *testing.T, _ *Store, access store.Store) {
		ctx := t.Context()
		for _, key := range []string{"a/2", "b", "a/1", "a/3"} {
			_, err := access.Put(ctx, key, []byte(key), store.AnyVersion, 0)
			require.NoError(t, err)
		}
		first, revision, err := access.List(ctx, "a/", "", 2)
		require.NoError(t, err)
		require.Len(t, first, 2)
		rest, _, err := access.List(ctx, "a/", first[1].Key, 2)
		require.NoError(t, err)
		require.Len(t, rest, 1)
		require.Equal(t, "a/3", rest[0].Key)
		require.NoError(t, access.Delete(ctx, "a/2", store.AnyVersion))
		events, next, err := access.Watch(ctx, "a/", revision, time.Minute)
		require.NoError(t, err)
		require.Len(t, events, 1)
		require.True(t, events[0].Deleted)
		events, _, err = access.Watch(ctx, "a/", next, 0)
		require.NoError(t, err)
		require.Empty(t, events)
		_, _, err = access.Watch(ctx, "a/", next+1000, 0)
		require.True(t, store.IsKind(err, store.KindCompacted), err)
	})
}

// TestStoreWatchCompacted guards against a watch that silently skips events that the history no longer holds.
func TestStoreWatchCompacted(t *testing.T) {
	standIn := NewStore(1)
	for range historyEvents + 1 {
		_, err := standIn.Put(t.Context(), "k", nil, store.AnyVersion, 0)
		require.NoError(t, err)
	}
	_, _, err := standIn.Watch(t.Context(), "k", 0, 0)
	require.True(t, store.IsKind(err, store.KindCompacted), err)
	_, _, err = standIn.Watch(t.Context(), "k", 1, 0)
	require.NoError(t, err)
}

// TestStoreLease guards against keys that outlive their lease or are deleted before it ends.
func TestStoreLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := NewStore(1)
		defer standIn.Close()
		lease, err := standIn.GrantLease(t.Context(), time.Second)
		require.NoError(t, err)
		_, err = standIn.Put(t.Context(), "members/g1", nil, 0, lease)
		require.NoError(t, err)
		time.Sleep(900 * time.Millisecond)
		require.NoError(t, standIn.KeepAlive(t.Context(), lease))
		time.Sleep(900 * time.Millisecond)
		_, err = standIn.Get(t.Context(), "members/g1")
		require.NoError(t, err)
		events, _, err := standIn.Watch(t.Context(), "members/", 1, time.Minute)
		require.NoError(t, err)
		require.True(t, events[0].Deleted)
		require.True(t, store.IsKind(standIn.KeepAlive(t.Context(), lease), store.KindNotFound))
	})
}

// TestStoreTimedOutage guards against calls that still hang after the end of an outage.
func TestStoreTimedOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := NewStore(1)
		defer standIn.Close()
		standIn.SetFaults(StoreFaults{Outage: true, OutageMilliseconds: 5000, Hang: true, SlowMilliseconds: 3})
		_, err := standIn.Put(t.Context(), "k", nil, 0, 0)
		require.NoError(t, err)
		_, err = standIn.Put(t.Context(), "k", nil, 1, 0)
		require.NoError(t, err)
	})
}
