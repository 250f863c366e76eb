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

// fault is what happens to one call of fakeStore.
type fault int

const (
	answered fault = iota
	lostBefore
	lostAfter
	delayed
	down
	faults
)

// fakeStore is a key-value service in memory whose calls meet the planned faults in turn.
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

// begin waits for the latency of the next call and returns its fault.
func (s *fakeStore) begin() fault {
	s.mu.Lock()
	n := s.calls
	s.calls++
	next, wait := answered, time.Duration(0)
	if len(s.plan) > 0 {
		next, wait = s.plan[n%len(s.plan)], s.latency[n%len(s.latency)]
	}
	s.mu.Unlock()
	if next == answered {
		time.Sleep(wait)
	}
	return next
}

func failure(kind store.Kind, unknown bool) error {
	return &store.Error{Kind: kind, OutcomeUnknown: unknown}
}

func (s *fakeStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.begin() != answered {
		<-ctx.Done()
		return store.Entry{}, failure(store.KindUnavailable, false)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return entry, failure(store.KindNotFound, false)
	}
	return entry, nil
}

func (s *fakeStore) List(ctx context.Context, prefix, after string, limit int) ([]store.Entry, uint64, error) {
	if s.begin() != answered {
		<-ctx.Done()
		return nil, 0, failure(store.KindUnavailable, false)
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

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, expect uint64, _ store.LeaseID) (uint64, error) {
	met := s.begin()
	switch met {
	case answered:
		return s.write(key, value, expect)
	case lostAfter:
		// Other authors may write before this one stops waiting for its answer.
		_, _ = s.write(key, value, expect)
	case delayed:
		go func() {
			time.Sleep(1500 * time.Millisecond)
			_, _ = s.write(key, value, expect)
		}()
	case lostBefore, down, faults:
	}
	<-ctx.Done()
	return 0, failure(store.KindUnavailable, met != down)
}

func (s *fakeStore) write(key string, value []byte, expect uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[key]
	if entry.Version != expect {
		return 0, failure(store.KindConflict, false)
	}
	s.entries[key] = store.Entry{Key: key, Value: value, Version: expect + 1}
	if key == Key {
		document, _ := Decode(value)
		s.accepted = append(s.accepted, document.Change)
	}
	return expect + 1, nil
}

// counting is a proposal whose loss is visible: each accepted one adds 1.
func counting(author, number int) Proposal {
	return Proposal{
		Operator: fmt.Sprintf("operator-%d", author), Command: fmt.Sprintf("command %d", number),
		Apply: func(document *structs.Configuration) error {
			team := document.Teams["counter"]
			team.Weight = 1
			team.MaxRunning++
			document.Teams["counter"] = team
			return nil
		},
	}
}

type attempt struct {
	id  string
	err error
}

// proposeMany runs the proposals of one author and records what the author was told.
func proposeMany(s *fakeStore, number, proposals int) []attempt {
	var told []attempt
	id := ""
	next := 0
	author := NewWriter(s, WriterOptions{NewID: func() string {
		next++
		id = fmt.Sprintf("change-%d-%d", number, next)
		return id
	}})
	for n := range proposals {
		id = ""
		_, err := author.Propose(context.Background(), counting(number, n))
		told = append(told, attempt{id, err})
	}
	return told
}

// TestRacingAuthorsWithLostAnswers guards against lost updates, two winners of one revision, and authors that are
// told the wrong outcome, while answers get lost before or after the write and writes arrive late.
func TestRacingAuthorsWithLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			// Most calls succeed, otherwise no change gets as far as the document.
			return fault(max(0, rapid.IntRange(-8, int(faults)-1).Draw(t, "fault")))
		}), 1, 60).Draw(t, "plan")
		latency := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond
		}), 1, 20).Draw(t, "latency")
		authors := rapid.IntRange(1, 4).Draw(t, "authors")
		rapid.SyncTest(t, func(t *rapid.T) {
			s := newFakeStore()
			s.plan, s.latency = plan, latency
			told := raceAuthors(s, authors)
			s.plan = nil
			checkTold(t, s, slices.Concat(told...))
			checkTrail(t, s)
		})
	})
}

// raceAuthors returns after every late write has arrived.
func raceAuthors(s *fakeStore, authors int) [][]attempt {
	told := make([][]attempt, authors)
	var group sync.WaitGroup
	for n := range authors {
		group.Go(func() { told[n] = proposeMany(s, n, 3) })
	}
	group.Wait()
	time.Sleep(10 * time.Second)
	synctest.Wait()
	return told
}

func checkTold(t *rapid.T, s *fakeStore, told []attempt) {
	isAccepted := func(id string) bool {
		return slices.ContainsFunc(s.accepted, func(c structs.Change) bool { return c.ID == id })
	}
	for _, a := range told {
		var unknown *OutcomeUnknownError
		var conflict *ConflictError
		switch {
		case a.err == nil:
			require.True(t, isAccepted(a.id), "%s was told accepted", a.id)
		case errors.As(a.err, &unknown):
			require.Equal(t, structs.OutcomeMayHaveRun, Problem(a.err).Outcome)
		default:
			require.False(t, isAccepted(a.id), "%s was told %v", a.id, a.err)
			require.Equal(t, structs.OutcomeNotRun, Problem(a.err).Outcome)
		}
		if errors.As(a.err, &conflict) && conflict.Revision > 0 {
			require.Equal(t, s.accepted[conflict.Revision-1], conflict.Winner)
		}
	}
}

// checkTrail requires one accepted change per revision, none of them lost, and an audit trail that says the same.
func checkTrail(t *rapid.T, s *fakeStore) {
	author := NewWriter(s, WriterOptions{})
	now, err := author.read(context.Background())
	require.NoError(t, err)
	require.Equal(t, structs.Revision(len(s.accepted)), now.document.Revision)
	require.Equal(t, len(s.accepted), now.document.Teams["counter"].MaxRunning)
	var trail []structs.Change
	for before := structs.Revision(0); ; {
		page, err := author.History(context.Background(), before, 2)
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

// TestRefusalsChangeNothing guards against a refusal that leaves a document or hides its reason.
func TestRefusalsChangeNothing(t *testing.T) {
	s := newFakeStore()
	lacking := []structs.PoolID{{Service: "lending"}}
	author := NewWriter(s, WriterOptions{PoolsWithoutMajority: func(c *structs.Configuration) []structs.PoolID {
		// As after the removal of a service: only the old document has its pools.
		if c.Revision == 0 {
			return lacking
		}
		return nil
	}})
	_, err := author.Propose(t.Context(), counting(1, 1))
	require.Equal(t, structs.CodeNoMajority, Problem(err).Code)
	require.Contains(t, err.Error(), "lending.0")
	require.Empty(t, s.entries)

	lacking = nil
	document, err := author.Propose(t.Context(), counting(1, 1))
	require.NoError(t, err)
	stale := structs.Revision(0)
	late := counting(2, 1)
	late.Base = &stale
	_, err = author.Propose(t.Context(), late)
	require.EqualError(t, err, `operator-1 was faster: revision 1 is already accepted with the command "command 1"; `+
		"nothing was changed by this command")
	_, err = author.Propose(t.Context(), Proposal{Apply: func(c *structs.Configuration) error {
		c.Limits.MaxTasks = -1
		return nil
	}})
	require.Equal(t, structs.CodeInvalidConfig, Problem(err).Code)
	var unchanged *UnchangedError
	_, err = author.Propose(t.Context(), Proposal{Apply: func(*structs.Configuration) error { return nil }})
	require.ErrorAs(t, err, &unchanged)
	require.Equal(t, []structs.Change{document.Change}, s.accepted)
}

// TestStoreDownRefusesInTime guards against an operator who waits longer than the promised 3 s.
func TestStoreDownRefusesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.plan, s.latency = []fault{down}, []time.Duration{0}
		began := time.Now()
		_, err := NewWriter(s, WriterOptions{}).Propose(t.Context(), counting(1, 1))
		require.Equal(t, structs.CodeStoreUnavailable, Problem(err).Code)
		require.Equal(t, structs.OutcomeNotRun, Problem(err).Outcome)
		require.LessOrEqual(t, time.Since(began), ChangeTimeout)
	})
}

// TestAuditEntryFitsStore guards against a change that cannot be made because its audit entry is too large.
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
