package journal

import (
	"context"
	"encoding/binary"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/standin"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
	_ "rosedrift.example/rosedrift/internal/testseed"
	"rosedrift.example/rosedrift/platform"
)

var testPool = structs.PoolID{Service: "lending", Index: 3}

func testEntry(n int, repeatable bool) dispatch.JournalEntry {
	entry := dispatch.JournalEntry{Tasks: uint32(n), Repeatable: repeatable}
	binary.BigEndian.PutUint64(entry.Key[:], uint64(n))
	return entry
}

func testEntries(from, to int, repeatable bool) []dispatch.JournalEntry {
	var entries []dispatch.JournalEntry
	for n := from; n < to; n++ {
		entries = append(entries, testEntry(n, repeatable))
	}
	return entries
}

// confirmations counts how often each key was confirmed.
type confirmations struct {
	mu   sync.Mutex
	keys map[structs.KeyHash]int
}

func (c *confirmations) add(keys []structs.KeyHash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range keys {
		c.keys[key]++
	}
}

func (c *confirmations) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.keys)
}

// runJournal starts a journal that is stopped at the end of the test.
func runJournal(t *testing.T, st store.Store, epoch structs.Epoch) (*Journal, *confirmations) {
	c := &confirmations{keys: map[structs.KeyHash]int{}}
	j := New(Options{Store: st, Pool: testPool, Epoch: epoch, Budget: NewBudget(), Confirmed: c.add})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- j.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return j, c
}

func readEntries(t require.TestingT, st store.Store) map[structs.KeyHash]dispatch.JournalEntry {
	contents, err := Read(context.Background(), st, testPool, 99)
	require.NoError(t, err)
	found := map[structs.KeyHash]dispatch.JournalEntry{}
	for _, entry := range contents.Entries {
		_, twice := found[entry.Key]
		require.False(t, twice)
		found[entry.Key] = entry
	}
	return found
}

// TestJournalGroupCommit guards against one write per key, more writes than the budget allows, and keys that Read loses
// between pages or epochs.
func TestJournalGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := standin.NewStore(1)
		defer standIn.Close()
		standIn.SetFaults(standin.StoreFaults{SlowMilliseconds: 5})
		total := 0
		for epoch := structs.Epoch(1); epoch <= 3; epoch++ {
			j, confirmed := runJournal(t, standIn, epoch)
			for range 1000 {
				require.NoError(t, j.Append(testEntries(total, total+5, true)))
				total += 5
				time.Sleep(time.Millisecond)
			}
			time.Sleep(time.Second)
			require.Equal(t, 5000, confirmed.count())
			require.True(t, j.AllConfirmed())
			// The load lasts one second. The burst and one last write come on top of its budget.
			require.LessOrEqual(t, j.Stats().Writes, uint64(FleetWritesPerSecond+budgetBurst+1))
		}
		require.Len(t, readEntries(t, standIn), total)
	})
}

// TestJournalImmediateWhenIdle guards against a fixed delay before each write: on an idle system it would delay the
// start of every job.
func TestJournalImmediateWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := standin.NewStore(1)
		defer standIn.Close()
		j, confirmed := runJournal(t, standIn, 1)
		require.NoError(t, j.Append(testEntries(0, 1, true)))
		time.Sleep(time.Second)
		require.NoError(t, j.Append(testEntries(1, 2, true)))
		synctest.Wait()
		require.Equal(t, 2, confirmed.count())
	})
}

// TestJournalOutage guards against an unbounded backlog, retries at more than one per second during an outage, keys
// that are never written after it, and AllConfirmed returning true although Append has rejected keys.
func TestJournalOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := standin.NewStore(1)
		defer standIn.Close()
		standIn.SetFaults(standin.StoreFaults{Outage: true})
		j, confirmed := runJournal(t, standIn, 1)
		require.NoError(t, j.Append(testEntries(0, 30_000, true)))
		time.Sleep(10 * time.Minute)
		require.False(t, j.AllConfirmed())
		require.Less(t, standIn.Stats().Refused, uint64(600))
		standIn.SetFaults(standin.StoreFaults{})
		time.Sleep(maxRetryWait * 2)
		require.Equal(t, 30_000, confirmed.count())
		require.True(t, j.AllConfirmed())
		require.Len(t, readEntries(t, standIn), 30_000)
		require.True(t, j.Full(MaxBacklog+1))
		require.Error(t, j.Append(make([]dispatch.JournalEntry, MaxBacklog+1)))
		require.False(t, j.AllConfirmed())
	})
}

// TestJournalRetention guards against keys that expire before the retention period, never expire, or count as recent
// after their start records may have expired.
func TestJournalRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := standin.NewStore(1)
		defer standIn.Close()
		j, _ := runJournal(t, standIn, 1)
		require.NoError(t, j.Append(testEntries(0, 1, true)))
		time.Sleep(SegmentDuration - time.Second)
		require.NoError(t, j.Append([]dispatch.JournalEntry{testEntry(1, true), testEntry(2, false)}))
		time.Sleep(recentRetention - time.Second)
		contents, err := Read(t.Context(), standIn, testPool, 2)
		require.NoError(t, err)
		require.Equal(t, []structs.KeyHash{testEntry(2, false).Key}, contents.RecentNonRepeatable)
		time.Sleep(DefaultRetention - recentRetention)
		require.Contains(t, readEntries(t, standIn), testEntry(1, true).Key)
		time.Sleep(SegmentDuration + 2*time.Second)
		contents, err = Read(t.Context(), standIn, testPool, 2)
		require.NoError(t, err)
		require.Equal(t, []dispatch.JournalEntry{testEntry(2, false)}, contents.Entries)
		require.Empty(t, contents.RecentNonRepeatable)
		time.Sleep(NonRepeatableRetention)
		require.Empty(t, readEntries(t, standIn))
	})
}

// TestJournalLateKeyIsNotRecent guards against a non-repeatable job that ran during an outage and whose start records
// have expired, but that counts as not started because its key was written late and therefore looks recent.
func TestJournalLateKeyIsNotRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := standin.NewStore(1)
		defer standIn.Close()
		standIn.SetFaults(standin.StoreFaults{Outage: true, OutageMilliseconds: 60_000})
		j, _ := runJournal(t, standIn, 1)
		require.NoError(t, j.Append(testEntries(0, 1, false)))
		time.Sleep(2 * time.Minute)
		contents, err := Read(t.Context(), standIn, testPool, 2)
		require.NoError(t, err)
		require.Len(t, contents.Entries, 1)
		require.Empty(t, contents.RecentNonRepeatable)
	})
}

// TestJournalReadRejectsStaleState guards against a takeover that reads the journal as it was before an outage.
func TestJournalReadRejectsStaleState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := standin.NewStore(1)
		defer standIn.Close()
		standIn.SetFaults(standin.StoreFaults{Outage: true, StaleMilliseconds: 5000})
		standIn.SetFaults(standin.StoreFaults{})
		j, _ := runJournal(t, standIn, 1)
		require.NoError(t, j.Append(testEntries(0, 1, true)))
		synctest.Wait()
		require.Len(t, readEntries(t, standIn), 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		standIn.SetFaults(standin.StoreFaults{Outage: true})
		_, err := Read(ctx, standIn, testPool, 2)
		var failed *Error
		require.ErrorAs(t, err, &failed)
	})
}

// TestJournalOverHTTP guards against keys that are confirmed without being stored, or never confirmed, when connections
// break after a write took effect.
func TestJournalOverHTTP(t *testing.T) {
	standIn := standin.NewStore(1)
	defer standIn.Close()
	server := httptest.NewServer(standIn.Handler())
	defer server.Close()
	client := platform.NewStoreClient(server.URL, 0, nil)
	defer client.Close()
	standIn.SetFaults(standin.StoreFaults{LoseShare: 0.3})
	j, confirmed := runJournal(t, client, 1)
	for n := range 10 {
		require.NoError(t, j.Append(testEntries(n*10, n*10+10, n%2 == 0)))
		for !j.AllConfirmed() {
			time.Sleep(time.Millisecond)
		}
	}
	require.Equal(t, 100, confirmed.count())
	require.Len(t, readEntries(t, client), 100)
	require.NotZero(t, standIn.Stats().Lost)
}

// TestJournalUnderFaults guards against confirmed keys that are not in the store, and against keys that are never
// confirmed or confirmed twice, under outages, lost answers, stale reads and slow calls in any order.
func TestJournalUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			standIn := standin.NewStore(rapid.Uint64().Draw(rt, "seed"))
			defer standIn.Close()
			j, confirmed := runJournal(t, standIn, 1)
			total := 0
			for range rapid.IntRange(1, 20).Draw(rt, "steps") {
				drawFaults(rt, standIn)
				count := rapid.IntRange(0, 50).Draw(rt, "keys")
				require.NoError(rt, j.Append(testEntries(total, total+count, rapid.Bool().Draw(rt, "repeatable"))))
				total += count
				time.Sleep(time.Duration(rapid.IntRange(0, 40).Draw(rt, "wait")) * time.Second)
			}
			standIn.SetFaults(standin.StoreFaults{})
			time.Sleep(time.Minute)
			require.Equal(rt, total, confirmed.count())
			found := readEntries(rt, standIn)
			for key, times := range confirmed.keys {
				require.Equal(rt, 1, times)
				require.Contains(rt, found, key)
			}
		})
	})
}

// drawFaults sets new faults of the store.
func drawFaults(rt *rapid.T, standIn *standin.Store) {
	faults := standin.StoreFaults{
		Outage:            rapid.IntRange(0, 3).Draw(rt, "outage") == 0,
		StaleMilliseconds: int64(rapid.IntRange(0, 1).Draw(rt, "stale") * 20_000),
		SlowMilliseconds:  int64(rapid.IntRange(0, 300).Draw(rt, "slow")),
		LoseNext:          rapid.IntRange(0, 4).Draw(rt, "lost"),
	}
	standIn.SetFaults(faults)
}
