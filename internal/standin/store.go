// Package standin holds stand-ins of the outside systems: the platform's key-value store and backend servers. Each
// follows the published protocol and fails on request.
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

// Bounds of the store stand-in.
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

// StoreFaults describes the faults of the store stand-in. It replaces the previous faults as a whole; the zero value
// is a healthy store.
type StoreFaults struct {
	// Outage refuses every call.
	Outage bool `json:"outage,omitempty"`
	// OutageMilliseconds ends Outage by itself, 0 means never.
	OutageMilliseconds int64 `json:"outage_ms,omitempty"`
	// Hang makes calls wait for their end during an outage instead of being refused.
	Hang bool `json:"hang,omitempty"`
	// SlowMilliseconds delays every call before it takes effect.
	SlowMilliseconds int64 `json:"slow_ms,omitempty"`
	// LoseNext loses the answers of as many writes, after they took effect.
	LoseNext int `json:"lose_next,omitempty"`
	// LoseShare is the share of writes, 0 to 1, whose answer is lost.
	LoseShare float64 `json:"lose_share,omitempty"`
	// StaleMilliseconds is how long reads after the end of the outage see the state at its beginning.
	StaleMilliseconds int64 `json:"stale_ms,omitempty"`
	// ReadBudget and WriteBudget reject calls above as many per second, 0 means unlimited.
	ReadBudget  float64 `json:"read_budget,omitempty"`
	WriteBudget float64 `json:"write_budget,omitempty"`
}

// StoreStats counts the calls of the store stand-in since its start.
type StoreStats struct {
	// Calls counts calls by kind, including those that failed. A waiting watch is one call.
	Calls map[string]uint64 `json:"calls"`
	// Rejected counts calls above the budget, Refused those during an outage, Lost the lost answers.
	Rejected uint64 `json:"rejected"`
	Refused  uint64 `json:"refused"`
	Lost     uint64 `json:"lost"`
	Keys     int    `json:"keys"`
	Leases   int    `json:"leases"`
	Revision uint64 `json:"revision"`
}

type storeLease struct {
	ttl    time.Duration
	timer  *time.Timer
	expiry time.Time
	keys   map[string]bool
}

type staleView struct {
	entries  map[string]store.Entry
	keys     []string
	revision uint64
	until    time.Time
}

// Store is an in-memory stand-in of the platform's key-value service with faults on request. It is safe for
// concurrent use.
type Store struct {
	mu       sync.Mutex
	entries  map[string]store.Entry
	keys     []string
	revision uint64
	leases   map[store.LeaseID]*storeLease
	next     store.LeaseID
	// history holds the events above the revision compacted.
	history   []store.Event
	bytes     int
	compacted uint64
	// changed is closed and replaced at every event and every change of the faults.
	changed  chan struct{}
	faults   StoreFaults
	reads    *rate.Limiter
	writes   *rate.Limiter
	before   *staleView
	stale    *staleView
	recovery *time.Timer
	random   *rand.Rand
	stats    StoreStats
}

var _ store.Store = (*Store)(nil)

// errOutage and errBudget are the causes of KindUnavailable.
var (
	errOutage = errors.New("outage")
	errBudget = errors.New("call budget exceeded")
	errLost   = errors.New("answer lost")
)

// NewStore returns an empty, healthy store. The seed decides which answers StoreFaults.LoseShare loses.
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

func (s *Store) applyFaults(faults StoreFaults) {
	if s.recovery != nil {
		s.recovery.Stop()
		s.recovery = nil
	}
	if faults.Outage && !s.faults.Outage {
		s.before = &staleView{entries: cloneEntries(s.entries), keys: slices.Clone(s.keys), revision: s.revision}
	}
	if !faults.Outage && s.faults.Outage {
		s.endOutage()
	}
	s.faults = faults
	s.reads = newLimiter(faults.ReadBudget)
	s.writes = newLimiter(faults.WriteBudget)
	if faults.Outage && faults.OutageMilliseconds > 0 {
		s.recovery = time.AfterFunc(milliseconds(faults.OutageMilliseconds), s.recover)
	}
	s.broadcast()
}

// recover ends an outage of limited time and keeps the other faults.
func (s *Store) recover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Outage {
		return
	}
	s.endOutage()
	s.faults.Outage = false
	s.broadcast()
}

// endOutage keeps the view from before the outage for stale reads. The old faults decide how long.
func (s *Store) endOutage() {
	s.stale = s.before
	s.before = nil
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

// admit counts a call, applies the budget, slowness and outage, and returns with s.mu held if err is nil.
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

// answer decides whether the answer to a write that took effect is lost. The caller holds s.mu.
func (s *Store) answer(op, key string) error {
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

// view returns what reads see. The caller holds s.mu.
func (s *Store) view() staleView {
	if s.stale != nil && time.Now().Before(s.stale.until) {
		return *s.stale
	}
	s.stale = nil
	return staleView{entries: s.entries, keys: s.keys, revision: s.revision}
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

// List implements store.Store. A page ends early at maxListBytes, so only an empty page is the last one.
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
	ctx context.Context, key string, value []byte, expect uint64, lease store.LeaseID,
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
	case expect != store.AnyVersion && expect != old.Version:
		return 0, &store.Error{Op: callPut, Key: key, Kind: store.KindConflict}
	}
	s.revision++
	entry := store.Entry{
		Key: key, Value: slices.Clone(value), Version: s.revision, Revision: s.revision, Lease: lease,
	}
	s.write(entry, old)
	return entry.Version, s.answer(callPut, key)
}

// write stores an entry and moves the key to its lease. The caller holds s.mu.
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
func (s *Store) Delete(ctx context.Context, key string, expect uint64) error {
	if err := s.admit(ctx, callDelete, key, true); err != nil {
		return err
	}
	defer s.mu.Unlock()
	old, ok := s.entries[key]
	if !ok {
		return &store.Error{Op: callDelete, Key: key, Kind: store.KindNotFound}
	}
	if expect != store.AnyVersion && expect != old.Version {
		return &store.Error{Op: callDelete, Key: key, Kind: store.KindConflict}
	}
	s.remove(key)
	return s.answer(callDelete, key)
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
	s.next++
	id := s.next
	lease := &storeLease{ttl: ttl, expiry: time.Now().Add(ttl), keys: map[string]bool{}}
	lease.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	s.leases[id] = lease
	return id, s.answer(callGrant, "")
}

// expire ends a lease whose time has passed; a renewal that came first has moved the expiry.
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
	return s.answer(callKeep, "")
}

// Revoke implements store.Store. An ended lease is an error of KindNotFound.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := s.admit(ctx, callRevoke, "", true); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return &store.Error{Op: callRevoke, Kind: store.KindNotFound}
	}
	s.endLease(id)
	return s.answer(callRevoke, "")
}

// record appends an event to the bounded history and wakes the watches. The caller holds s.mu.
func (s *Store) record(event store.Event) {
	s.history = append(s.history, event)
	s.bytes += len(event.Value)
	for len(s.history) > historyEvents || s.bytes > historyBytes {
		s.compacted = s.history[0].Revision
		s.bytes -= len(s.history[0].Value)
		s.history = s.history[1:]
	}
	s.broadcast()
}

func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements store.Store. An outage ends waiting watches.
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
		// Later rounds need not look at these events again.
		after = s.revision
		if err := s.waitChange(ctx, left); err != nil {
			return nil, 0, unavailable(callWatch, prefix, err)
		}
	}
}

// waitChange waits for a change or until the time is over. It releases s.mu while it waits.
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

// Close stops the timers of all leases.
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
