package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an entry of the metadata store as PROTOCOL.md describes it.
type storeItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"createRevision"`
	Lease          uint64 `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is a stand-in of the platform's metadata store without faults.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	leases   map[uint64]*storeLease
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.revoke)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"storeRevision": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": item.Key, "value": item.Value, "revision": item.Revision, "createRevision": item.CreateRevision, "lease": item.Lease,
		"storeRevision": s.revision,
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const page = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > page
	reply(w, http.StatusOK, map[string]any{"items": items[:min(page, len(items))], "morePages": more, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

type txnBody struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expectedRev"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"setKeys"`
	Remove []string `json:"remove"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, put := range body.SetKeys {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, c := range body.ExpectedRev {
		if s.items[c.Key].Revision != c.Revision {
			items := []storeItem{}
			for _, c := range body.ExpectedRev {
				if item, ok := s.items[c.Key]; ok {
					items = append(items, item)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	for _, put := range body.SetKeys {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// put writes a key. The caller holds s.mu.
func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRevision
	}
	item := storeItem{Key: key, Value: value, Revision: s.revision, CreateRevision: created, Lease: lease}
	s.items[key] = item
	s.record(item)
}

// remove removes a key. The caller holds s.mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) record(event storeItem) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// operatorPut writes a key as the operator does. The return is the store's acknowledgement.
func (s *store) operatorPut(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, []byte(value), 0)
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := max(body.TTLMs, 1000)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	lease := &storeLease{ttl: time.Duration(ttl) * time.Millisecond}
	lease.timer = time.AfterFunc(lease.ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.end(id)
	})
	s.leases[id] = lease
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl})
}

// end ends a lease. The caller holds s.mu.
func (s *store) end(id uint64) {
	if s.leases[id] == nil {
		return
	}
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	lease.timer.Reset(lease.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": lease.ttl.Milliseconds()})
}

func (s *store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.end(id)
	reply(w, http.StatusOK, map[string]any{})
}
