// Package standin implements stand-ins of the external systems for tests, benchmarks and demonstrations: the platform's
// key-value store and backend servers. Each speaks the published protocol and has faults on request.
package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/store"
)

// Limits of the store stand-in.
const (
	// historyEvents and historyBytes bound the events kept for watches.
	historyEvents = 8192
	historyBytes  = 16 << 20
	// maxListEntries and maxListBytes bound one page.
	maxListEntries = 10_000
	maxListBytes   = 8 << 20
	// maxWatchWait bounds one long poll.
	maxWatchWait = time.Minute
)

// StoreFaults holds the faults of the store stand-in. The zero value is a store without faults. SetFaults and POST /faults
// replace all previous faults.
type StoreFaults struct {
	// Outage refuses every call.
	Outage bool `json:"outage,omitempty"`
	// OutageMilliseconds is the time after which Outage ends by itself; 0 means never.
	OutageMilliseconds int64 `json:"outage_ms,omitempty"`
	// Hang makes calls block until the outage ends instead of being refused.
	Hang bool `json:"hang,omitempty"`
	// SlowMilliseconds delays every call before it takes effect.
	SlowMilliseconds int64 `json:"slow_ms,omitempty"`
	// LoseNext is the number of writes whose answers are lost after they took effect, from the next one on.
	LoseNext int `json:"lose_next,omitempty"`
	// LoseShare is the share of writes, 0 to 1, whose answers are lost after they took effect.
	LoseShare float64 `json:"lose_share,omitempty"`
	// StaleMilliseconds is how long, after the end of the outage, reads return the state from its beginning.
	StaleMilliseconds int64 `json:"stale_ms,omitempty"`
	// ReadBudget and WriteBudget are the numbers of calls per second above which calls are rejected; 0 means unlimited.
	ReadBudget  float64 `json:"read_budget,omitempty"`
	WriteBudget float64 `json:"write_budget,omitempty"`
}

// StoreStats counts the calls of the store stand-in since its start.
type StoreStats struct {
	// Calls counts calls by kind, including those that failed. A waiting watch is one call.
	Calls map[string]uint64 `json:"calls"`
	// Rejected counts calls above a budget, Refused counts calls that an outage refused, and Lost counts lost answers.
	Rejected uint64 `json:"rejected"`
	Refused  uint64 `json:"refused"`
	Lost     uint64 `json:"lost"`
	Keys     int    `json:"keys"`
	Leases   int    `json:"leases"`
	Revision uint64 `json:"revision"`
}

// storeLease is a lease with the keys that are attached to it.
type storeLease struct {
	ttl    time.Duration
	timer  *time.Timer
	expiry time.Time
	keys   map[string]bool
}

// storeView is a state of the store as reads return it. In a stale view, until is the time when reads stop returning it.
type storeView struct {
	entries  map[string]store.Entry
	keys     []string
	revision uint64
	until    time.Time
}

// Store is an in-memory stand-in of the platform's key-value store with faults on request. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	entries map[string]store.Entry
	// keys are the keys of entries in order.
	keys      []string
	revision  uint64
	leases    map[store.LeaseID]*storeLease
	lastLease store.LeaseID
	// history holds the events with revisions above compacted. historyValueBytes is the size of their values.
	history           []store.Event
	historyValueBytes int
	compacted         uint64
	// changed is closed and replaced at every event and every change of the faults.
	changed chan struct{}
	faults  StoreFaults
	// reads and writes enforce the budgets; nil means unlimited.
	reads  *rate.Limiter
	writes *rate.Limiter
	// beforeOutage is the state at the beginning of the current outage. After the outage it becomes stale.
	beforeOutage *storeView
	stale        *storeView
	// recovery ends an outage of limited time.
	recovery *time.Timer
	random   *rand.Rand
	stats    StoreStats
}

var _ store.Store = (*Store)(nil)

// The causes of errors of KindUnavailable.
var (
	errOutage = errors.New("outage")
	errBudget = errors.New("call budget exceeded")
	errLost   = errors.New("answer lost")
)

// NewStore returns an empty store without faults. The seed decides which answers are lost under StoreFaults.LoseShare.
func NewStore(seed uint64) *Store {
	return &Store{
		entries: map[string]store.Entry{},
		leases:  map[store.LeaseID]*storeLease{},
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(seed, seed)),
		stats:   StoreStats{Calls: map[string]uint64{}},
	}
}

// Stats returns a copy of the counters.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Calls = map[string]uint64{}
	for kind, count := range s.stats.Calls {
		stats.Calls[kind] = count
	}
	stats.Keys = len(s.keys)
	stats.Leases = len(s.leases)
	stats.Revision = s.revision
	return stats
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyFaults(faults)
}

// applyFaults replaces the faults. The caller holds s.mu.
func (s *Store) applyFaults(faults StoreFaults) {
	if s.recovery != nil {
		s.recovery.Stop()
		s.recovery = nil
	}
	if faults.Outage && !s.faults.Outage {
		s.beforeOutage = &storeView{entries: cloneEntries(s.entries), keys: slices.Clone(s.keys), revision: s.revision}
	}
	if !faults.Outage && s.faults.Outage {
		s.startStaleReads()
	}
	s.faults = faults
	s.reads = newLimiter(faults.ReadBudget)
	s.writes = newLimiter(faults.WriteBudget)
	if faults.Outage && faults.OutageMilliseconds > 0 {
		s.recovery = time.AfterFunc(milliseconds(faults.OutageMilliseconds), s.recover)
	}
	s.broadcast()
}

// recover ends an outage whose time is over, and keeps the other faults.
func (s *Store) recover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Outage {
		return
	}
	s.startStaleReads()
	s.faults.Outage = false
	s.broadcast()
}

// startStaleReads makes reads return the state from before the outage, for as long as the faults of the outage say. It is
// called before they are replaced, with s.mu held.
func (s *Store) startStaleReads() {
	s.stale = s.beforeOutage
	s.beforeOutage = nil
	s.stale.until = time.Now().Add(milliseconds(s.faults.StaleMilliseconds))
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func cloneEntries(entries map[string]store.Entry) map[string]store.Entry {
	clone := make(map[string]store.Entry, len(entries))
	for key, entry := range entries {
		clone[key] = entry
	}
	return clone
}

// The kinds of call in StoreStats.
const (
	callGet    = "get"
	callList   = "list"
	callPut    = "put"
	callDelete = "delete"
	callGrant  = "grant"
	callKeep   = "keepalive"
	callRevoke = "revoke"
	callWatch  = "watch"
)

// admit counts a call and applies the budgets, the delay and the outage. If it returns nil, s.mu is held.
func (s *Store) admit(ctx context.Context, kind, key string, write bool) error {
	s.mu.Lock()
	s.stats.Calls[kind]++
	limiter := s.reads
	if write {
		limiter = s.writes
	}
	if limiter != nil && !limiter.Allow() {
		s.stats.Rejected++
		s.mu.Unlock()
		return unavailable(kind, key, errBudget)
	}
	if delay := milliseconds(s.faults.SlowMilliseconds); delay > 0 {
		s.mu.Unlock()
		if err := sleep(ctx, delay); err != nil {
			return unavailable(kind, key, err)
		}
		s.mu.Lock()
	}
	for s.faults.Outage {
		changed := s.changed
		hang := s.faults.Hang
		if !hang {
			s.stats.Refused++
		}
		s.mu.Unlock()
		if !hang {
			return unavailable(kind, key, errOutage)
		}
		if err := waitFor(ctx, changed); err != nil {
			return unavailable(kind, key, err)
		}
		s.mu.Lock()
	}
	return nil
}

func unavailable(op, key string, err error) *store.Error {
	return &store.Error{Op: op, Key: key, Kind: store.KindUnavailable, Err: err}
}

func sleep(ctx context.Context, d time.Duration) error {
	if !ctxtime.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

func waitFor(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// maybeLoseAnswer returns an error if the faults lose the answer to a write that took effect. The caller holds s.mu.
func (s *Store) maybeLoseAnswer(op, key string) error {
	lose := s.faults.LoseShare > 0 && s.random.Float64() < s.faults.LoseShare
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		lose = true
	}
	if !lose {
		return nil
	}
	s.stats.Lost++
	return &store.Error{Op: op, Key: key, Kind: store.KindUnavailable, OutcomeUnknown: true, Err: errLost}
}

// view returns the state that reads see. The caller holds s.mu.
func (s *Store) view() storeView {
	if s.stale != nil && time.Now().Before(s.stale.until) {
		return *s.stale
	}
	s.stale = nil
	return storeView{entries: s.entries, keys: s.keys, revision: s.revision}
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.admit(ctx, callGet, key, false); err != nil {
		return store.Entry{}, err
	}
	defer s.mu.Unlock()
	entry, ok := s.view().entries[key]
	if !ok {
		return store.Entry{}, &store.Error{Op: callGet, Key: key, Kind: store.KindNotFound}
	}
	return entry, nil
}

// List implements store.Store. A page also ends at maxListBytes, so a page shorter than limit need not be the last: only an
// empty page shows the end.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]store.Entry, uint64, error) {
	if err := s.admit(ctx, callList, prefix, false); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	view := s.view()
	if limit <= 0 || limit > maxListEntries {
		limit = maxListEntries
	}
	start, _ := slices.BinarySearch(view.keys, max(prefix, after))
	var page []store.Entry
	size := 0
	for _, key := range view.keys[start:] {
		if !strings.HasPrefix(key, prefix) || len(page) == limit || size > maxListBytes {
			break
		}
		if key <= after {
			continue
		}
		page = append(page, view.entries[key])
		size += len(view.entries[key].Value)
	}
	return page, view.revision, nil
}

// Put implements store.Store.
func (s *Store) Put(
	ctx context.Context, key string, value []byte, expectedVersion uint64, lease store.LeaseID,
) (uint64, error) {
	if err := s.admit(ctx, callPut, key, true); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	old := s.entries[key]
	switch {
	case key == "":
		return 0, &store.Error{Op: callPut, Kind: store.KindInvalid}
	case len(value) > store.MaxValueBytes:
		return 0, &store.Error{Op: callPut, Key: key, Kind: store.KindTooLarge}
	case lease != 0 && s.leases[lease] == nil:
		return 0, &store.Error{Op: callPut, Key: key, Kind: store.KindNotFound, Err: errors.New("lease has ended")}
	case expectedVersion != store.AnyVersion && expectedVersion != old.Version:
		return 0, &store.Error{Op: callPut, Key: key, Kind: store.KindConflict}
	}
	s.revision++
	entry := store.Entry{
		Key: key, Value: slices.Clone(value), Version: s.revision, Revision: s.revision, Lease: lease,
	}
	s.write(entry, old)
	return entry.Version, s.maybeLoseAnswer(callPut, key)
}

// write stores an entry and moves its key from the lease of the old entry to that of the new one. The caller holds s.mu.
func (s *Store) write(entry, old store.Entry) {
	if old.Version == 0 {
		at, _ := slices.BinarySearch(s.keys, entry.Key)
		s.keys = slices.Insert(s.keys, at, entry.Key)
	}
	if holder := s.leases[old.Lease]; holder != nil {
		delete(holder.keys, entry.Key)
	}
	if holder := s.leases[entry.Lease]; holder != nil {
		holder.keys[entry.Key] = true
	}
	s.entries[entry.Key] = entry
	s.record(store.Event{Entry: entry})
}

// Delete implements store.Store. A missing key is an error of KindNotFound.
func (s *Store) Delete(ctx context.Context, key string, expectedVersion uint64) error {
	if err := s.admit(ctx, callDelete, key, true); err != nil {
		return err
	}
	defer s.mu.Unlock()
	old, ok := s.entries[key]
	if !ok {
		return &store.Error{Op: callDelete, Key: key, Kind: store.KindNotFound}
	}
	if expectedVersion != store.AnyVersion && expectedVersion != old.Version {
		return &store.Error{Op: callDelete, Key: key, Kind: store.KindConflict}
	}
	s.remove(key)
	return s.maybeLoseAnswer(callDelete, key)
}

// remove deletes an existing key. The caller holds s.mu.
func (s *Store) remove(key string) {
	old := s.entries[key]
	at, _ := slices.BinarySearch(s.keys, key)
	s.keys = slices.Delete(s.keys, at, at+1)
	delete(s.entries, key)
	if holder := s.leases[old.Lease]; holder != nil {
		delete(holder.keys, key)
	}
	s.revision++
	deleted := store.Entry{Key: key, Version: old.Version, Revision: s.revision, Lease: old.Lease}
	s.record(store.Event{Entry: deleted, Deleted: true})
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.admit(ctx, callGrant, "", true); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if ttl <= 0 {
		return 0, &store.Error{Op: callGrant, Kind: store.KindInvalid}
	}
	s.lastLease++
	id := s.lastLease
	lease := &storeLease{ttl: ttl, expiry: time.Now().Add(ttl), keys: map[string]bool{}}
	lease.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	s.leases[id] = lease
	return id, s.maybeLoseAnswer(callGrant, "")
}

// expire ends a lease whose time is over. If the lease has been renewed, expire resets its timer to the new expiry.
func (s *Store) expire(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		return
	}
	if left := time.Until(lease.expiry); left > 0 {
		lease.timer.Reset(left)
		return
	}
	s.endLease(id)
}

// endLease deletes a lease and its keys. The caller holds s.mu.
func (s *Store) endLease(id store.LeaseID) {
	lease := s.leases[id]
	delete(s.leases, id)
	lease.timer.Stop()
	keys := make([]string, 0, len(lease.keys))
	for key := range lease.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.remove(key)
	}
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if err := s.admit(ctx, callKeep, "", true); err != nil {
		return err
	}
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		return &store.Error{Op: callKeep, Kind: store.KindNotFound}
	}
	if !time.Now().Before(lease.expiry) {
		s.endLease(id)
		return &store.Error{Op: callKeep, Kind: store.KindNotFound}
	}
	lease.expiry = time.Now().Add(lease.ttl)
	return s.maybeLoseAnswer(callKeep, "")
}

// Revoke implements store.Store. A lease that has ended is an error of KindNotFound.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := s.admit(ctx, callRevoke, "", true); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return &store.Error{Op: callRevoke, Kind: store.KindNotFound}
	}
	s.endLease(id)
	return s.maybeLoseAnswer(callRevoke, "")
}

// record appends an event to the history, drops the oldest events above its limits and wakes the watches. The caller holds
// s.mu.
func (s *Store) record(event store.Event) {
	s.history = append(s.history, event)
	s.historyValueBytes += len(event.Value)
	for len(s.history) > historyEvents || s.historyValueBytes > historyBytes {
		s.compacted = s.history[0].Revision
		s.historyValueBytes -= len(s.history[0].Value)
		s.history = s.history[1:]
	}
	s.broadcast()
}

// broadcast wakes the waiting watches and the calls that hang in an outage. The caller holds s.mu.
func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements store.Store. An outage makes waiting watches fail.
func (s *Store) Watch(
	ctx context.Context, prefix string, after uint64, wait time.Duration,
) ([]store.Event, uint64, error) {
	if err := s.admit(ctx, callWatch, prefix, false); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	deadline := time.Now().Add(min(wait, maxWatchWait))
	for {
		if s.faults.Outage {
			return nil, 0, unavailable(callWatch, prefix, errOutage)
		}
		if after < s.compacted || after > s.revision {
			return nil, 0, &store.Error{Op: callWatch, Key: prefix, Kind: store.KindCompacted}
		}
		events := s.eventsAfter(prefix, after)
		left := time.Until(deadline)
		if len(events) > 0 || left <= 0 {
			return events, s.revision, nil
		}
		// The events up to this revision have been checked and need no second look.
		after = s.revision
		if err := s.waitChange(ctx, left); err != nil {
			return nil, 0, unavailable(callWatch, prefix, err)
		}
	}
}

// waitChange waits for a change of the store or its faults, at most for the time left. It releases s.mu while it waits.
func (s *Store) waitChange(ctx context.Context, left time.Duration) error {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// eventsAfter returns the events with a prefix and a revision higher than after. The caller holds s.mu.
func (s *Store) eventsAfter(prefix string, after uint64) []store.Event {
	start, _ := slices.BinarySearchFunc(s.history, after+1, func(event store.Event, revision uint64) int {
		if event.Revision < revision {
			return -1
		}
		return 1
	})
	var events []store.Event
	for _, event := range s.history[start:] {
		if strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

// Close stops all timers.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lease := range s.leases {
		lease.timer.Stop()
	}
	if s.recovery != nil {
		s.recovery.Stop()
	}
}
