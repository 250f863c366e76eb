package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes to answer: 4 ms, as the sheets of the small sites say.
const storeDelay = 4 * time.Millisecond

type storeItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"createRevision"`
	Lease          uint64 `json:"lease"`
}

type storeEvent struct {
	storeItem
	Removed bool `json:"removed,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// kvStore is a stand-in of the platform's store, as PROTOCOL.md describes it. It loses nothing and answers linearizably.
type kvStore struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]storeItem
	history   []storeEvent
	leases    map[uint64]*storeLease
	nextLease uint64
	changed   chan struct{}
	listener  net.Listener
	server    *http.Server
}

func newStore() (*kvStore, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &kvStore{
		revision: 10, items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}), listener: listener,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	go s.expire()
	return s, nil
}

func (s *kvStore) address() string { return s.listener.Addr().String() }

func (s *kvStore) close() { _ = s.server.Close() }

func writeJSON(w http.ResponseWriter, status int, body any) {
	time.Sleep(storeDelay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// set writes a key. The caller holds s.mu.
func (s *kvStore) set(key string, value []byte, lease uint64) {
	s.revision++
	item := storeItem{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.CreateRevision = old.CreateRevision
	}
	s.items[key] = item
	s.note(storeEvent{storeItem: item})
}

// remove removes a key. The caller holds s.mu.
func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(storeEvent{storeItem: storeItem{Key: key, Revision: s.revision}, Removed: true})
}

func (s *kvStore) note(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// operatorPut writes a key of the operator and returns when it was acknowledged.
func (s *kvStore) operatorPut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, value, 0)
}

func (s *kvStore) operatorRemove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *kvStore) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *kvStore) dropLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{"storeRevision": revision})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		storeItem
		StoreRevision uint64 `json:"storeRevision"`
	}{item, revision})
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "storeRevision": revision})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func forbidden(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		SetKeys []storeItem `json:"setKeys"`
		Remove  []string    `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	status, answer := http.StatusOK, map[string]any{}
	for _, c := range body.ExpectedRev {
		if s.items[c.Key].Revision != c.Revision {
			status = http.StatusPreconditionFailed
			answer["items"] = []storeItem{s.items[c.Key]}
		}
	}
	for _, p := range body.SetKeys {
		if forbidden(p.Key) {
			status = http.StatusForbidden
		} else if p.Lease != 0 && s.leases[p.Lease] == nil {
			status = http.StatusNotFound
		}
	}
	if status == http.StatusOK {
		for _, p := range body.SetKeys {
			s.set(p.Key, p.Value, p.Lease)
		}
		for _, key := range body.Remove {
			s.remove(key)
		}
		answer["revision"] = s.revision
	}
	s.mu.Unlock()
	writeJSON(w, status, answer)
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	s.nextLease++
	id, ttl := s.nextLease, time.Duration(max(body.TTLMs, 1000))*time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": l.ttl.Milliseconds()})
}

func (s *kvStore) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.dropLease(id)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{})
}
