package configuration

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

// fault is what happens to one call to fakeStore.
type fault int

const (
	answered fault = iota
	lostBeforeWrite
	lostAfterWrite
	delayedWrite
	unavailable
	faultCount
)

// fakeStore is an in-memory store. Its calls take the faults and latencies of the plan in turn.
type fakeStore struct {
	store.Store
	mu       sync.Mutex
	entries  map[string]store.Entry
	accepted []structs.Change
	plan     []fault
	latency  []time.Duration
	calls    int
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]store.Entry{}} }

// nextFault returns the planned fault of the next call, after its latency if the call is answered.
func (s *fakeStore) nextFault() fault {
	s.mu.Lock()
	n := s.calls
	s.calls++
	next, delay := answered, time.Duration(0)
	if len(s.plan) > 0 {
		next, delay = s.plan[n%len(s.plan)], s.latency[n%len(s.latency)]
	}
	s.mu.Unlock()
	if next == answered {
		time.Sleep(delay)
	}
	return next
}

func storeError(kind store.Kind, outcomeUnknown bool) error {
	return &store.Error{Kind: kind, OutcomeUnknown: outcomeUnknown}
}

func (s *fakeStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.nextFault() != answered {
		<-ctx.Done()
		return store.Entry{}, storeError(store.KindUnavailable, false)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return entry, storeError(store.KindNotFound, false)
	}
	return entry, nil
}

func (s *fakeStore) List(ctx context.Context, prefix, after string, limit int) ([]store.Entry, uint64, error) {
	if s.nextFault() != answered {
		<-ctx.Done()
		return nil, 0, storeError(store.KindUnavailable, false)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []store.Entry
	for _, key := range sortedKeys(s.entries) {
		if strings.HasPrefix(key, prefix) && key > after && len(found) < limit {
			found = append(found, s.entries[key])
		}
	}
	return found, 0, nil
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, expectedVersion uint64, _ store.LeaseID) (uint64, error) {
	planned := s.nextFault()
	switch planned {
	case answered:
		return s.write(key, value, expectedVersion)
	case lostAfterWrite:
		// The writer waits for the answer until its call times out. Others may write in the meantime.
		_, _ = s.write(key, value, expectedVersion)
	case delayedWrite:
		go func() {
			time.Sleep(1500 * time.Millisecond)
			_, _ = s.write(key, value, expectedVersion)
		}()
	case lostBeforeWrite, unavailable, faultCount:
	}
	<-ctx.Done()
	return 0, storeError(store.KindUnavailable, planned != unavailable)
}

func (s *fakeStore) write(key string, value []byte, expectedVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[key]
	if entry.Version != expectedVersion {
		return 0, storeError(store.KindConflict, false)
	}
	s.entries[key] = store.Entry{Key: key, Value: value, Version: expectedVersion + 1}
	if key == Key {
		document, _ := Decode(value)
		s.accepted = append(s.accepted, document.Change)
	}
	return expectedVersion + 1, nil
}

// incrementProposal returns a proposal that adds 1 to a setting, so that the setting counts the accepted changes.
func incrementProposal(writer, number int) Proposal {
	return Proposal{
		Operator: fmt.Sprintf("operator-%d", writer), Command: fmt.Sprintf("command %d", number),
		Apply: func(document *structs.Configuration) error {
			team := document.Teams["counter"]
			team.Weight = 1
			team.MaxRunning++
			document.Teams["counter"] = team
			return nil
		},
	}
}

// attempt is one proposal: its change id, empty if it did not get that far, and the error that Propose returned.
type attempt struct {
	id  string
	err error
}

// proposeMany makes the proposals of one writer and returns their results.
func proposeMany(s *fakeStore, number, proposals int) []attempt {
	var reported []attempt
	id := ""
	next := 0
	writer := NewWriter(s, WriterOptions{NewID: func() string {
		next++
		id = fmt.Sprintf("change-%d-%d", number, next)
		return id
	}})
	for n := range proposals {
		id = ""
		_, err := writer.Propose(context.Background(), incrementProposal(number, n))
		reported = append(reported, attempt{id, err})
	}
	return reported
}

// TestRacingWritersWithLostAnswers guards against lost updates, two accepted changes of one revision, and wrong
// outcomes returned to a writer, while calls are lost before or after the write and writes arrive late.
func TestRacingWritersWithLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			// Most calls succeed. Otherwise hardly any change would reach the write of the document.
			return fault(max(0, rapid.IntRange(-8, int(faultCount)-1).Draw(t, "fault")))
		}), 1, 60).Draw(t, "plan")
		latency := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond
		}), 1, 20).Draw(t, "latency")
		writers := rapid.IntRange(1, 4).Draw(t, "authors")
		rapid.SyncTest(t, func(t *rapid.T) {
			s := newFakeStore()
			s.plan, s.latency = plan, latency
			reported := raceWriters(s, writers)
			s.plan = nil
			checkReported(t, s, slices.Concat(reported...))
			checkAuditTrail(t, s)
		})
	})
}

// raceWriters makes the proposals of all writers concurrently. It returns after every delayed write has arrived.
func raceWriters(s *fakeStore, writers int) [][]attempt {
	reported := make([][]attempt, writers)
	var group sync.WaitGroup
	for n := range writers {
		group.Go(func() { reported[n] = proposeMany(s, n, 3) })
	}
	group.Wait()
	time.Sleep(10 * time.Second)
	synctest.Wait()
	return reported
}

// checkReported requires that each proposal returned the outcome that its change had in the store.
func checkReported(t *rapid.T, s *fakeStore, reported []attempt) {
	isAccepted := func(id string) bool {
		return slices.ContainsFunc(s.accepted, func(c structs.Change) bool { return c.ID == id })
	}
	for _, a := range reported {
		var outcomeUnknown *OutcomeUnknownError
		var conflict *ConflictError
		switch {
		case a.err == nil:
			require.True(t, isAccepted(a.id), "%s was reported as accepted", a.id)
		case errors.As(a.err, &outcomeUnknown):
			require.Equal(t, structs.OutcomeMayHaveRun, Problem(a.err).Outcome)
		default:
			require.False(t, isAccepted(a.id), "%s was reported as refused: %v", a.id, a.err)
			require.Equal(t, structs.OutcomeNotRun, Problem(a.err).Outcome)
		}
		if errors.As(a.err, &conflict) && conflict.Revision > 0 {
			require.Equal(t, s.accepted[conflict.Revision-1], conflict.Winner)
		}
	}
}

// checkAuditTrail requires one accepted change per revision, none of them lost, and the same changes in the audit
// trail.
func checkAuditTrail(t *rapid.T, s *fakeStore) {
	writer := NewWriter(s, WriterOptions{})
	current, err := writer.read(context.Background())
	require.NoError(t, err)
	require.Equal(t, structs.Revision(len(s.accepted)), current.document.Revision)
	require.Equal(t, len(s.accepted), current.document.Teams["counter"].MaxRunning)
	var trail []structs.Change
	for before := structs.Revision(0); ; {
		page, err := writer.History(context.Background(), before, 2)
		require.NoError(t, err)
		for _, entry := range page.Entries {
			if entry.State == AuditAccepted {
				trail = append(trail, entry.Change)
			}
		}
		if before = page.Next; before == 0 {
			break
		}
	}
	slices.Reverse(trail)
	require.Equal(t, len(s.accepted), len(trail))
	for i, change := range s.accepted {
		require.Equal(t, change.ID, trail[i].ID)
	}
}

// TestRefusalsChangeNothing guards against a refused change that still writes a document, and against a refusal without
// its reason.
func TestRefusalsChangeNothing(t *testing.T) {
	s := newFakeStore()
	withoutMajority := []structs.PoolID{{Service: "lending"}}
	writer := NewWriter(s, WriterOptions{PoolsWithoutMajority: func(c *structs.Configuration) []structs.PoolID {
		// The state after the removal of a service: only the old document has its pools.
		if c.Revision == 0 {
			return withoutMajority
		}
		return nil
	}})
	_, err := writer.Propose(t.Context(), incrementProposal(1, 1))
	require.Equal(t, structs.CodeNoMajority, Problem(err).Code)
	require.Contains(t, err.Error(), "lending.0")
	require.Empty(t, s.entries)

	withoutMajority = nil
	document, err := writer.Propose(t.Context(), incrementProposal(1, 1))
	require.NoError(t, err)
	stale := structs.Revision(0)
	late := incrementProposal(2, 1)
	late.Base = &stale
	_, err = writer.Propose(t.Context(), late)
	require.EqualError(t, err, `operator-1 was faster: revision 1 is already accepted with the command "command 1"; `+
		"nothing was changed by this command")
	_, err = writer.Propose(t.Context(), Proposal{Apply: func(c *structs.Configuration) error {
		c.Limits.MaxTasks = -1
		return nil
	}})
	require.Equal(t, structs.CodeInvalidConfig, Problem(err).Code)
	var unchanged *UnchangedError
	_, err = writer.Propose(t.Context(), Proposal{Apply: func(*structs.Configuration) error { return nil }})
	require.ErrorAs(t, err, &unchanged)
	require.Equal(t, []structs.Change{document.Change}, s.accepted)
}

// TestUnavailableStoreRefusesInTime guards against a change that is refused later than ChangeTimeout, 3 s, while the
// store is unavailable.
func TestUnavailableStoreRefusesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.plan, s.latency = []fault{unavailable}, []time.Duration{0}
		began := time.Now()
		_, err := NewWriter(s, WriterOptions{}).Propose(t.Context(), incrementProposal(1, 1))
		require.Equal(t, structs.CodeStoreUnavailable, Problem(err).Code)
		require.Equal(t, structs.OutcomeNotRun, Problem(err).Outcome)
		require.LessOrEqual(t, time.Since(began), ChangeTimeout)
	})
}

// TestAuditEntryFitsStore guards against a change that fails because its audit entry is too large for the store.
func TestAuditEntryFitsStore(t *testing.T) {
	s := newFakeStore()
	_, err := NewWriter(s, WriterOptions{}).Propose(t.Context(), Proposal{
		Command: strings.Repeat("import ", 100_000), Operator: strings.Repeat("x", 1000),
		Apply: func(c *structs.Configuration) error {
			for n := range 2000 {
				c.Servers[fmt.Sprintf("server-%d", n)] = structs.ServerConfig{State: structs.ServerDraining}
			}
			return nil
		},
	})
	require.NoError(t, err)
	for _, entry := range s.entries {
		require.Less(t, len(entry.Value), store.MaxValueBytes)
	}
	page, err := NewWriter(s, WriterOptions{}).History(t.Context(), 0, 10)
	require.NoError(t, err)
	require.Len(t, page.Entries, 1)
	require.Positive(t, page.Entries[0].Cut)
}
